"""The tests known to fail, as KNOWN-RED.txt lists them, and a pytest plugin that leaves them out.

The file holds one line a test: `TEST ID | CAUSE | issue NUMBER`. As a plugin (`pytest -p lab.known_red`) it
adds the option `--known-red`. Ids are compared whole; those of pytest's `--deselect` are prefixes.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MOST_TESTS = 3  # by the rules of the project
_LINE = re.compile(r"(?P<test_id>tests/\S+\.py::\S+) \| (?P<cause>\S[^|]*[^|\s]) \| issue (?P<issue>\d+)")


class KnownRedError(ValueError):
    """The list itself is at fault; the message names its line."""


@dataclass(slots=True, frozen=True)
class KnownRed:
    """One test that is known to fail."""

    test_id: str
    cause: str
    issue: int


def parse(text: str) -> list[KnownRed]:
    """The tests of a list; raises KnownRedError where the list is too long or a line is malformed."""
    listed: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        match = _LINE.fullmatch(line)
        if match is None:
            raise KnownRedError(f"{FILE_NAME}:{number}: expected `TEST ID | CAUSE | issue NUMBER`: {line!r}")
        if any(match["test_id"] == known.test_id for known in listed):
            raise KnownRedError(f"{FILE_NAME}:{number}: listed twice: {match['test_id']}")
        listed.append(KnownRed(match["test_id"], match["cause"], int(match["issue"])))
    if len(listed) > MOST_TESTS:
        raise KnownRedError(f"{FILE_NAME}: {len(listed)} lines, at most {MOST_TESTS} may be listed")
    return listed


def load(root: Path) -> list[KnownRed]:
    """The list of a checkout; without the file nothing is known to fail."""
    path = root / FILE_NAME
    return parse(path.read_text()) if path.exists() else []


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds `--known-red`."""
    parser.addoption(
        "--known-red",
        choices=("include", "exclude", "only"),
        default="include",
        help=f"the tests of {FILE_NAME}: run with the others, leave out, or run alone",
    )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Leaves out what the option says; with `only`, a listed test that was not collected is an error."""
    mode = config.getoption("--known-red")
    if mode == "include":
        return
    listed = {known.test_id for known in load(config.rootpath)}
    missing = listed - {item.nodeid for item in items}
    if mode == "only" and missing:
        raise pytest.UsageError(f"{FILE_NAME}: no such test: {', '.join(sorted(missing))}")
    wanted = mode == "only"
    config.hook.pytest_deselected(items=[item for item in items if (item.nodeid in listed) != wanted])
    items[:] = [item for item in items if (item.nodeid in listed) == wanted]
