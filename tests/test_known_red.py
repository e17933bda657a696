"""The list of known failures, and the runner that passes over just its tests."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from lab.known_red import KnownRed, KnownRedError, load, parse
from lab.processes import ROOT

GREEN = "tests/test_a.py::test_green"
RED = "tests/test_a.py::test_red"
LINE = f"{RED} | one is not two | issue 28\n"
SUITE = """
import pytest

def test_green():
    assert True

def test_red():
    assert 1 == 2

def test_red_by_another_cause():
    assert {another}

@pytest.mark.parametrize("n", [1, 2])
def test_each(n):
    assert n == 1 or {each}
"""


def run(
    folder: Path, listed: str | None, another: bool = True, each: bool = True, workers: int = 0
) -> subprocess.CompletedProcess[str]:
    (folder / "tests").mkdir()
    (folder / "tests" / "test_a.py").write_text(SUITE.format(another=another, each=each))
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    command = [sys.executable, "-m", "lab.run_tests", "-n", str(workers), "-p", "no:cacheprovider"]
    return subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, text=True, timeout=120, check=False
    )


def test_a_listed_failure_is_passed_over_named_and_run_apart(tmp_path: Path) -> None:
    ran = run(tmp_path, LINE, workers=2)
    assert ran.returncode == 0, ran.stdout
    decided, _, apart = ran.stdout.partition("Known failures")
    assert "4 passed" in decided
    assert f"{RED}: one is not two (issue 28)" in apart
    assert "1 failed, 4 deselected" in apart
    assert "still failing" in apart


def test_a_listed_test_that_passes_is_said(tmp_path: Path) -> None:
    ran = run(tmp_path, f"{GREEN} | rare | issue 28\n{LINE}tests/test_a.py::test_each[2] | rare | issue 28\n")
    assert ran.returncode == 0, ran.stdout
    assert "1 failed, 2 passed, 2 deselected" in ran.stdout
    (tmp_path / "b").mkdir()
    ran = run(tmp_path / "b", f"{GREEN} | rare | issue 28\n")
    assert ran.returncode == 1, ran.stdout  # test_red is not listed
    assert "all passed this time" in ran.stdout


@pytest.mark.parametrize("listed", [None, "", f"{GREEN} | another than the one that fails | issue 28\n"])
def test_a_failure_that_is_not_listed_fails(tmp_path: Path, listed: str | None) -> None:
    assert run(tmp_path, listed).returncode == 1


def test_an_id_stands_for_itself_alone(tmp_path: Path) -> None:
    """test_red is listed; test_red_by_another_cause begins alike, and fails."""
    ran = run(tmp_path, LINE, another=False)
    assert ran.returncode == 1
    assert "1 failed, 3 passed" in ran.stdout


def test_one_case_of_many_is_listed_by_its_whole_id(tmp_path: Path) -> None:
    ran = run(tmp_path, LINE + "tests/test_a.py::test_each[2] | rare | issue 28\n", each=False)
    assert ran.returncode == 0, ran.stdout


@pytest.mark.parametrize(
    "test_id", ["tests/test_a.py::test_gone", "tests/test_a.py::test_each", "tests/test_b.py::test_red"]
)
def test_a_line_that_names_no_test_fails_before_the_run(tmp_path: Path, test_id: str) -> None:
    ran = run(tmp_path, LINE + f"{test_id} | gone | issue 28\n")
    assert ran.returncode == 1
    assert f"no such test: {test_id}" in ran.stdout
    assert "passed" not in ran.stdout


MALFORMED = [
    "\n",
    "# a comment\n",
    f"{RED}\n",
    f"{RED} | one is not two\n",
    f"{RED} |  | issue 28\n",
    f"{RED} | one is not two | issue\n",
    f"{RED} | one | is not two | issue 28\n",
    f"{RED} one is not two issue 28\n",
    "tests/test_a.py | the whole file | issue 28\n",
    f" {LINE}",
    f"{LINE}\n",
    LINE * 2,
]


@pytest.mark.parametrize("text", MALFORMED)
def test_a_malformed_line_is_an_error(text: str) -> None:
    with pytest.raises(KnownRedError, match="KNOWN-RED.txt:"):
        parse(text)


def test_a_malformed_line_fails_the_run(tmp_path: Path) -> None:
    ran = run(tmp_path, f"{RED}\n")
    assert ran.returncode == 1
    assert "KNOWN-RED.txt:1: expected" in ran.stdout
    assert "passed" not in ran.stdout


def test_three_lines_are_the_most() -> None:
    lines = [f"tests/test_a.py::test_{n} | cause | issue 28\n" for n in range(4)]
    assert parse("".join(lines[:3]))[2] == KnownRed("tests/test_a.py::test_2", "cause", 28)
    with pytest.raises(KnownRedError, match="4 lines, at most 3"):
        parse("".join(lines))


def test_the_list_of_this_checkout_is_sound() -> None:
    for known in load(ROOT):
        path, _, name = known.test_id.partition("::")
        assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text()
