"""The order in which the suite starts its tests."""

from __future__ import annotations

import subprocess
import sys

from lab.processes import ROOT
from tests.conftest import LONGEST_FIRST


def test_the_files_with_the_longest_tests_come_first() -> None:
    short = "tests/test_adapter.py"
    command = [sys.executable, "-m", "pytest", "--collect-only", "-q", short, *reversed(LONGEST_FIRST)]
    collected = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    files = [line.partition("::")[0] for line in collected.splitlines() if "::" in line]
    assert list(dict.fromkeys(files)) == [*LONGEST_FIRST, short]
