"""The command line. The platform runs `python -m standflow`, which imports none of this."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Iterator
from importlib.metadata import version
from typing import Any

import click

from standflow.config.model import ConfigError, TlsOptions
from standflow.config.operators import configure, read_block
from standflow.config.schema import Block
from standflow.config.text import ConfigFileError

FILE = click.Path(dir_okay=False)
DEFAULT_FILE = "deploy/standflow.conf"


class InvalidConfigError(click.ClickException):
    """An invalid configuration: one line per error, exit status 2."""

    exit_code = 2

    def show(self, file: Any = None) -> None:
        """Writes the errors to standard error."""
        click.echo(self.message, err=True)


def _read(path: str) -> Block:
    try:
        block = read_block(path, os.environ)
        config = configure(block, path, os.environ, lambda line: click.echo(line, err=True))
        if config.tls is not None:
            _check_material(config.tls)
    except ConfigFileError as error:
        raise InvalidConfigError("\n".join(f"standflow: {fault}" for fault in error.errors)) from None
    except ConfigError as error:
        raise InvalidConfigError(f"standflow: {error}") from None
    return block


def _check_material(options: TlsOptions) -> None:
    """Loads the files of the `tls` block as a start would."""
    try:
        from standflow.tls import material
    except ImportError as error:
        raise ConfigError(f"tls: needs the package {error.name}: pip install 'standflow[tls]'") from None
    try:
        for warning in material.load(options, 1).warnings:
            click.echo(f"tls: {warning}", err=True)
    except material.MaterialError as error:
        raise ConfigError(f"tls: {error}") from None


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(version("standflow"), prog_name="standflow")
def main() -> None:
    """The ingress of a fleet of shared servers.

    Clients speak RESP2 to it. It enforces plan quotas across all ingresses, picks a next hop, retries what is
    safe to retry, and gives exactly one answer before the deadline.

    FILE is the operator's file, by default deploy/standflow.conf. Every directive of it is explained in
    docs/operators/configuration.md.
    """


@main.command()
@click.argument("file", type=FILE, default=DEFAULT_FILE)
def run(file: str) -> None:
    """Run one ingress in the foreground.

    SIGHUP reads FILE again, SIGTERM stops the ingress once every open request is answered. The log goes to
    standard error. Status: 0 after a planned shutdown, 2 if FILE is invalid.
    """
    os.environ["STANDFLOW_CONF"] = os.path.abspath(file)
    from standflow.__main__ import main as serve

    sys.exit(serve())


@main.command()
@click.argument("file", type=FILE, default=DEFAULT_FILE)
def check(file: str) -> None:
    """Check FILE and the files that it names, and start nothing.

    Each error is one line: file, line, column, directive, what was expected. Status 2 if there is any.
    """
    _read(file)
    click.echo(f"{file}: can be used")


@main.command()
@click.argument("file", type=FILE, default=DEFAULT_FILE)
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line instead of columns.")
def show(file: str, as_json: bool) -> None:
    """Show the configuration in force: each directive, its values, and where they come from.

    The last column is the position in FILE, `default`, or `not set`.
    """
    rows = list(in_force(_read(file)))
    if as_json:
        for name, values, origin in rows:
            click.echo(json.dumps({"directive": name, "values": values, "from": origin}))
        return
    names, shown = ([max(len(row[at]) for row in rows)] for at in (0, 1))
    for name, values, origin in rows:
        click.echo(f"{name:<{names[0]}}  {values:<{min(40, shown[0])}}  {origin}")


def in_force(block: Block) -> Iterator[tuple[str, str, str]]:
    """Directive, values and origin of everything in force, including directives that are not set."""
    for path, given in block.walk():
        if given.directive.block is None:
            yield path, " ".join(given.raw_values), given.origin or "default"
    for directive in block.table:
        if not block.all(directive.name):
            yield directive.name, "", "not set"


if __name__ == "__main__":
    main()
