"""The known failures, as KNOWN-RED.txt lists them, and a pytest plugin that leaves out the tests among them.

The file holds one line an entry:

    TEST | COMMAND | seed NUMBER | WHAT WAS SEEN | issue NUMBER

TEST is the id of a pytest test, `lab.soak` or a target of the Makefile that measures (`bench-...`). COMMAND
plays it: `python -m pytest TEST ...`, `python -m lab.soak ...` or `make TARGET`. The seed is an argument of
the command; `no seed` stands in its place where there is no chance in the test. The issue is an open one.

As a plugin (`pytest -p lab.known_red`) it adds the option `--known-red`. Ids are compared whole; those of
pytest's `--deselect` are prefixes.
"""

from __future__ import annotations

import re
import shlex
import sys
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
FORM = "TEST | COMMAND | seed NUMBER or no seed | WHAT WAS SEEN | issue NUMBER"
_TEXT = r"\S[^|]*[^|\s]"
_LINE = re.compile(
    rf"(?P<test>\S+(?: \S+)*) \| (?P<command>{_TEXT}) \| (?P<seed>no seed|seed \d+) \| (?P<seen>{_TEXT}) \| "
    r"issue (?P<issue>\d+)"
)
_TEST_ID = re.compile(r"tests/\S+\.py::\S.*")
_BENCH = re.compile(r"bench-[a-z]+")
SOAK = "lab.soak"


class KnownRedError(ValueError):
    """The list itself is at fault; the message names its line."""


class Kind(Enum):
    """What an entry names, and so who plays it."""

    PYTEST = "pytest"
    SOAK = "soak"
    BENCH = "bench"  # takes minutes: printed by the gate, played by hand


@dataclass(slots=True, frozen=True)
class KnownRed:
    """One known failure. `seed`: None where there is no chance in the test."""

    test: str
    command: str
    seed: int | None
    seen: str
    issue: int

    @property
    def kind(self) -> Kind:
        """Told by the form of the test's name."""
        if _TEST_ID.fullmatch(self.test):
            return Kind.PYTEST
        return Kind.SOAK if self.test == SOAK else Kind.BENCH

    def arguments(self) -> list[str]:
        """The command as a list, without a shell; `python` is the interpreter that runs this."""
        program, *rest = shlex.split(self.command)
        return [sys.executable if program == "python" else program, *rest]


def parse(text: str) -> list[KnownRed]:
    """The entries of a list; raises KnownRedError where a line is malformed."""
    listed: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        try:
            entry = _entry(line)
        except ValueError as error:
            raise KnownRedError(f"{FILE_NAME}:{number}: {error}: {line!r}") from None
        if any((entry.test, entry.seed) == (known.test, known.seed) for known in listed):
            raise KnownRedError(f"{FILE_NAME}:{number}: listed twice: {entry.test}")
        listed.append(entry)
    return listed


def _entry(line: str) -> KnownRed:
    match = _LINE.fullmatch(line)
    if match is None:
        raise ValueError(f"expected `{FORM}`")
    seed = None if match["seed"] == "no seed" else int(match["seed"].split()[1])
    entry = KnownRed(match["test"], match["command"], seed, match["seen"], int(match["issue"]))
    words = shlex.split(entry.command)
    if entry.kind is Kind.PYTEST:
        expected, named = ["python", "-m", "pytest"], entry.test in words[3:]
    elif entry.kind is Kind.SOAK:
        expected, named = ["python", "-m", SOAK], True
    else:
        expected, named = ["make"], bool(_BENCH.fullmatch(entry.test)) and words[1:] == [entry.test]
    if words[: len(expected)] != expected or not named:
        raise ValueError("the command does not play the test")
    if entry.seed is not None and str(entry.seed) not in words:
        raise ValueError("the command does not name the seed")
    if entry.seed is None and any(word.endswith("seed") for word in words):
        raise ValueError("the command names a seed, and the entry none")
    return entry


def load(root: Path) -> list[KnownRed]:
    """The list of a checkout; without the file nothing is known to fail."""
    path = root / FILE_NAME
    return parse(path.read_text()) if path.exists() else []


def absent(root: Path, listed: list[KnownRed]) -> list[str]:
    """Soaks and benches that the checkout does not have; pytest itself looks for tests."""
    makefile = root / "Makefile"
    rules = makefile.read_text() if makefile.exists() else ""
    has_soak = (root / "lab" / "soak" / "__main__.py").exists()
    return [
        entry.test
        for entry in listed
        if (entry.kind is Kind.SOAK and not has_soak)
        or (entry.kind is Kind.BENCH and not re.search(rf"^{entry.test}:", rules, re.MULTILINE))
    ]


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
    listed = {known.test for known in load(config.rootpath) if known.kind is Kind.PYTEST}
    missing = listed - {item.nodeid for item in items}
    if mode == "only" and missing:
        raise pytest.UsageError(f"{FILE_NAME}: no such test: {', '.join(sorted(missing))}")
    wanted = mode == "only"
    config.hook.pytest_deselected(items=[item for item in items if (item.nodeid in listed) != wanted])
    items[:] = [item for item in items if (item.nodeid in listed) == wanted]
