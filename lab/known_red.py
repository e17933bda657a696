"""Reads KNOWN-RED.txt, the list of known test failures; also a pytest plugin that deselects the listed tests.

The file has one entry per line:

    TEST | COMMAND | seed NUMBER | WHAT WAS SEEN | issue NUMBER

TEST is a pytest node id, `lab.soak` or a benchmark target of the Makefile (`bench-...`). COMMAND runs it:
`python -m pytest TEST ...`, `python -m lab.soak ...` or `make TARGET`. The seed must be an argument of the
command; a test without randomness has `no seed`. The issue must be open.

As a plugin (`pytest -p lab.known_red`) it adds the option `--known-red`. It compares whole node ids, whereas
pytest's `--deselect` matches prefixes.
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
ENTRY_FORMAT = "TEST | COMMAND | seed NUMBER or no seed | WHAT WAS SEEN | issue NUMBER"
_TEXT_PATTERN = r"\S[^|]*[^|\s]"
_ENTRY_PATTERN = re.compile(
    rf"(?P<test>\S+(?: \S+)*) \| (?P<command>{_TEXT_PATTERN}) \| (?P<seed>no seed|seed \d+) \| "
    rf"(?P<seen>{_TEXT_PATTERN}) \| issue (?P<issue>\d+)"
)
_TEST_ID_PATTERN = re.compile(r"tests/\S+\.py::\S.*")
_BENCH_PATTERN = re.compile(r"bench-[a-z]+")
SOAK = "lab.soak"


class KnownRedError(ValueError):
    """The list is invalid; the message names the line."""


class Kind(Enum):
    """The kind of test an entry names, which decides how it is run."""

    PYTEST = "pytest"
    SOAK = "soak"
    BENCH = "bench"  # takes minutes: lab.run_tests prints it, but does not run it


@dataclass(slots=True, frozen=True)
class KnownRed:
    """One known failure; `seed` is None if the test has no randomness."""

    test: str
    command: str
    seed: int | None
    seen: str
    issue: int

    @property
    def kind(self) -> Kind:
        """Derived from the format of the test name."""
        if _TEST_ID_PATTERN.fullmatch(self.test):
            return Kind.PYTEST
        return Kind.SOAK if self.test == SOAK else Kind.BENCH

    def arguments(self) -> list[str]:
        """The command as an argument list, run without a shell; `python` becomes the current interpreter."""
        program, *rest = shlex.split(self.command)
        return [sys.executable if program == "python" else program, *rest]


def parse(text: str) -> list[KnownRed]:
    """Parses the text of the list; raises KnownRedError on a malformed or duplicate line."""
    listed: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        try:
            entry = _parse_line(line)
        except ValueError as error:
            raise KnownRedError(f"{FILE_NAME}:{number}: {error}: {line!r}") from None
        if any((entry.test, entry.seed) == (known.test, known.seed) for known in listed):
            raise KnownRedError(f"{FILE_NAME}:{number}: listed twice: {entry.test}")
        listed.append(entry)
    return listed


def _parse_line(line: str) -> KnownRed:
    match = _ENTRY_PATTERN.fullmatch(line)
    if match is None:
        raise ValueError(f"expected `{ENTRY_FORMAT}`")
    seed = None if match["seed"] == "no seed" else int(match["seed"].split()[1])
    entry = KnownRed(match["test"], match["command"], seed, match["seen"], int(match["issue"]))
    words = shlex.split(entry.command)
    if entry.kind is Kind.PYTEST:
        prefix, names_test = ["python", "-m", "pytest"], entry.test in words[3:]
    elif entry.kind is Kind.SOAK:
        prefix, names_test = ["python", "-m", SOAK], True
    else:
        prefix, names_test = (
            ["make"],
            bool(_BENCH_PATTERN.fullmatch(entry.test)) and words[1:] == [entry.test],
        )
    if words[: len(prefix)] != prefix or not names_test:
        raise ValueError("the command does not run the test")
    if entry.seed is not None and str(entry.seed) not in words:
        raise ValueError("the command does not name the seed")
    if entry.seed is None and any(word.endswith("seed") for word in words):
        raise ValueError("the command names a seed, but the entry has none")
    return entry


def load(root: Path) -> list[KnownRed]:
    """Reads the list of a checkout; empty if there is no file."""
    path = root / FILE_NAME
    return parse(path.read_text()) if path.exists() else []


def missing_targets(root: Path, listed: list[KnownRed]) -> list[str]:
    """Listed soaks and benchmarks that the checkout lacks; pytest checks the test ids itself."""
    makefile = root / "Makefile"
    makefile_text = makefile.read_text() if makefile.exists() else ""
    has_soak = (root / "lab" / "soak" / "__main__.py").exists()
    return [
        entry.test
        for entry in listed
        if (entry.kind is Kind.SOAK and not has_soak)
        or (entry.kind is Kind.BENCH and not re.search(rf"^{entry.test}:", makefile_text, re.MULTILINE))
    ]


def pytest_addoption(parser: pytest.Parser) -> None:
    """Registers `--known-red`."""
    parser.addoption(
        "--known-red",
        choices=("include", "exclude", "only"),
        default="include",
        help=f"tests listed in {FILE_NAME}: include, exclude or run only these",
    )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselects tests according to the option; with `only`, a listed test not collected is an error."""
    mode = config.getoption("--known-red")
    if mode == "include":
        return
    listed = {known.test for known in load(config.rootpath) if known.kind is Kind.PYTEST}
    missing = listed - {item.nodeid for item in items}
    if mode == "only" and missing:
        raise pytest.UsageError(f"{FILE_NAME}: no such test: {', '.join(sorted(missing))}")
    keep_listed = mode == "only"
    config.hook.pytest_deselected(items=[item for item in items if (item.nodeid in listed) != keep_listed])
    items[:] = [item for item in items if (item.nodeid in listed) == keep_listed]
