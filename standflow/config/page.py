"""Generates docs/operators/configuration.md from the tables of directives.

python -m standflow.config.page > docs/operators/configuration.md
"""

from __future__ import annotations

import sys
from collections.abc import Iterator

from standflow.config.directives import TOP
from standflow.config.schema import Directive

HEAD = """# The operator's file

`deploy/standflow.conf`, or any other path given to `standflow run`. This page is generated from
`standflow/config/directives.py` by `python -m standflow.config.page`; a test checks that it is up to date.

Each directive is on a line of its own, followed by its values. Values that contain spaces, `#`, quotes or
braces are quoted: `"..."` with the escapes `\\"` and `\\\\`, or `'...'` without any. `#` starts a comment,
and a line that ends in `\\` continues on the next. A directive with parts opens a block with `{` at the end
of its line, and `}` closes it on a line of its own. Times have a unit, `us`, `ms`, `s`, `m`, `h` or `d` (`0`
needs none), fractions are written as `20%` or `0.2`, and relative paths are relative to the file's folder.

    standflow check FILE      # print all errors: file, line, column, directive, what was expected; status 2
    standflow show FILE       # print the settings in force and their origins
    standflow run FILE        # run one ingress in the foreground

On SIGHUP the file is read again and validated in the same way; a file with an error is logged and ignored.
Changes of `discovery`, `counter`, classes, `attempts` and all of `tls` are applied at run time. All others
require a restart, and the log says so.

`STANDFLOW_CONF` names the file if the platform starts `python -m standflow`. With `platform` or
`EDGE_CONFIG`, the platform's JSON is the base, and only the directives that the file contains override it.

"required" directives have no default. Those marked "repeatable" may be given more than once.
"""


def page() -> str:
    """The whole page."""
    return "\n".join([HEAD, *_table("Top level", TOP, "")]) + "\n"


def _table(title: str, table: tuple[Directive, ...], path: str) -> Iterator[str]:
    yield f"## {title}\n"
    yield "| directive | values | default | meaning |"
    yield "| --- | --- | --- | --- |"
    for directive in table:
        kinds = ", ".join(kind.name for kind in directive.value_types) + (
            " ..." if directive.variadic else ""
        )
        values = (kinds + " " if kinds else "") + ("{ block }" if directive.block is not None else "")
        default = (
            "required" if directive.required else f"`{directive.default}`" if directive.default else "none"
        )
        if directive.block is not None and directive.default is not None:
            default = "as below"
        repeatable = " (repeatable)" if directive.repeatable else ""
        yield f"| `{directive.name}`{repeatable} | {values.strip()} | {default} | {directive.description} |"
    yield ""
    for directive in table:
        if directive.block is not None:
            yield from _table(f"`{path}{directive.name}`", directive.block, f"{path}{directive.name} ")


if __name__ == "__main__":
    sys.stdout.write(page())
