"""docs/operators/configuration.md, made from the tables of directives.

python -m standflow.config.page > docs/operators/configuration.md
"""

from __future__ import annotations

import sys
from collections.abc import Iterator

from standflow.config.directives import TOP
from standflow.config.schema import Directive

HEAD = """# The operator's file

`deploy/standflow.conf`, or any other path given to `standflow run`. Made from
`standflow/config/directives.py` by `python -m standflow.config.page`; a test holds the two together.

A directive stands on a line of its own, its values behind it. Values that hold spaces, `#`, quotes or
braces are quoted, `"..."` with `\\"` and `\\\\`, or `'...'` as it stands. `#` begins a comment. A line
that ends in `\\` goes on. A directive that has parts opens a block with `{` at the end of its line, and
`}` stands on a line of its own. Times carry `us`, `ms`, `s`, `m`, `h` or `d` (`0` needs none), shares are
`20%` or `0.2`, relative paths count from the file's folder.

    standflow check FILE      # every fault: file, line, column, directive, what was expected; status 2
    standflow show FILE       # what is in force, and where each value comes from
    standflow run FILE        # one ingress in the foreground

SIGHUP reads the file anew with the same checks; one with a fault is logged and changes nothing.
`discovery`, `counter`, classes, `attempts` and all of `tls` change while it runs, the rest takes a restart,
and the log says so.

`STANDFLOW_CONF` names the file where the platform starts `python -m standflow`. With `platform` or
`EDGE_CONFIG` the platform's JSON lies below, and only what the file itself says stands over it.

"needed" directives have no default. Those marked "many" may stand more than once.
"""


def page() -> str:
    """The whole page."""
    return "\n".join([HEAD, *_table("First level", TOP, "")]) + "\n"


def _table(title: str, table: tuple[Directive, ...], path: str) -> Iterator[str]:
    yield f"## {title}\n"
    yield "| directive | values | default | meaning |"
    yield "| --- | --- | --- | --- |"
    for directive in table:
        kinds = ", ".join(kind.name for kind in directive.takes) + (" ..." if directive.rest else "")
        shape = (kinds + " " if kinds else "") + ("{ block }" if directive.block is not None else "")
        default = "needed" if directive.needed else f"`{directive.default}`" if directive.default else "none"
        if directive.block is not None and directive.default is not None:
            default = "as below"
        many = " (many)" if directive.many else ""
        yield f"| `{directive.name}`{many} | {shape.strip()} | {default} | {directive.text} |"
    yield ""
    for directive in table:
        if directive.block is not None:
            yield from _table(f"`{path}{directive.name}`", directive.block, f"{path}{directive.name} ")


if __name__ == "__main__":
    sys.stdout.write(page())
