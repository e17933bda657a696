"""The list of known failures, and the runner that passes over just its tests."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from lab.known_red import Kind, KnownRed, KnownRedError, absent, load, parse
from lab.processes import ROOT

GREEN = "tests/test_a.py::test_green"
RED = "tests/test_a.py::test_red"
LINE = f"{RED} | python -m pytest -q {RED} | no seed | one is not two | issue 28\n"


def entry(test_id: str, seen: str = "rare") -> str:
    """A line of the list on a test without chance."""
    return f"{test_id} | python -m pytest -q '{test_id}' | no seed | {seen} | issue 28\n"


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
    assert (
        f"python -m pytest -q {RED} (issue 28)\n    seen: one is not two\n    now: still failing (status 1)"
        in apart
    )
    assert "1 failed" in apart


def test_a_listed_test_that_passes_is_said(tmp_path: Path) -> None:
    ran = run(tmp_path, entry(GREEN) + LINE + entry("tests/test_a.py::test_each[2]"))
    assert ran.returncode == 0, ran.stdout
    assert ran.stdout.count("now: passed this time") == 2
    assert ran.stdout.count("now: still failing") == 1
    (tmp_path / "b").mkdir()
    ran = run(tmp_path / "b", entry(GREEN))
    assert ran.returncode == 1, ran.stdout  # test_red is not listed
    assert ran.stdout.count("now: passed this time") == 1


@pytest.mark.parametrize("listed", [None, "", entry(GREEN, "another than the one that fails")])
def test_a_failure_that_is_not_listed_fails(tmp_path: Path, listed: str | None) -> None:
    assert run(tmp_path, listed).returncode == 1


def test_an_id_stands_for_itself_alone(tmp_path: Path) -> None:
    """test_red is listed; test_red_by_another_cause begins alike, and fails."""
    ran = run(tmp_path, LINE, another=False)
    assert ran.returncode == 1
    assert "1 failed, 3 passed" in ran.stdout


def test_one_case_of_many_is_listed_by_its_whole_id(tmp_path: Path) -> None:
    ran = run(tmp_path, LINE + entry("tests/test_a.py::test_each[2]"), each=False)
    assert ran.returncode == 0, ran.stdout


@pytest.mark.parametrize(
    "test_id", ["tests/test_a.py::test_gone", "tests/test_a.py::test_each", "tests/test_b.py::test_red"]
)
def test_a_line_that_names_no_test_fails_before_the_run(tmp_path: Path, test_id: str) -> None:
    ran = run(tmp_path, LINE + entry(test_id, "gone"))
    assert ran.returncode == 1
    assert f"no such test: {test_id}" in ran.stdout
    assert "passed" not in ran.stdout


PLAY = f"python -m pytest {RED}"
MALFORMED = [
    "\n",
    "# a comment\n",
    f"{RED}\n",
    f"{RED} | {PLAY} | no seed | one is not two\n",
    f"{RED} | {PLAY} | no seed |  | issue 28\n",
    f"{RED} | {PLAY} | no seed | one is not two | issue\n",
    f"{RED} | {PLAY} | no seed | one | is not two | issue 28\n",
    f"{RED} {PLAY} no seed one is not two issue 28\n",
    "tests/test_a.py | python -m pytest tests/test_a.py | no seed | the whole file | issue 28\n",
    f" {LINE}",
    f"{LINE}\n",
    LINE * 2,
    # of the form before
    f"{RED} | one is not two | issue 28\n",
    # the command is missing, plays another test, is none of those known, or takes a shell
    f"{RED} |  | no seed | one is not two | issue 28\n",
    f"{RED} | python -m pytest {GREEN} | no seed | one is not two | issue 28\n",
    f"{RED} | python -m pytest | no seed | one is not two | issue 28\n",
    f"{RED} | ls {RED} | no seed | one is not two | issue 28\n",
    f"{RED} | true; {PLAY} | no seed | one is not two | issue 28\n",
    f"{RED} | python -m pytest '{RED} | no seed | one is not two | issue 28\n",
    "bench-fleet | make bench-power | no seed | 1.2 of 1.1 | issue 8\n",
    "bench-fleet | make bench-fleet install | no seed | 1.2 of 1.1 | issue 8\n",
    "install | make install | no seed | 1.2 of 1.1 | issue 8\n",
    "lab.soak | python -m lab.fleet --seed 7 | seed 7 | late | issue 35\n",
    # the seed is missing, or another one than the command's
    f"{RED} | {PLAY} | one is not two | issue 28\n",
    f"{RED} | {PLAY} | seed | one is not two | issue 28\n",
    f"{RED} | {PLAY} --seed 7 | seed 8 | one is not two | issue 28\n",
    f"{RED} | {PLAY} --seed 7 | no seed | one is not two | issue 28\n",
    f"{RED} | {PLAY} | seed 7 | one is not two | issue 28\n",
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


def test_an_entry_names_test_command_seed_what_was_seen_and_issue() -> None:
    text = (
        f"{RED} | {PLAY} --seed 7 | seed 7 | one is not two | issue 28\n"
        f"{RED} | {PLAY} --seed 8 | seed 8 | nor three | issue 28\n"
        "lab.soak | python -m lab.soak --first-seed 9 --seeds 1 | seed 9 | late | issue 35\n"
        "bench-counter | make bench-counter | no seed | 1.2 of 1.1 | issue 8\n"
    )
    listed = parse(text)
    assert listed[0] == KnownRed(RED, f"{PLAY} --seed 7", 7, "one is not two", 28)
    assert listed[0].arguments() == [sys.executable, "-m", "pytest", RED, "--seed", "7"]
    assert [one.seed for one in listed] == [7, 8, 9, None]
    assert [one.kind for one in listed] == [Kind.PYTEST, Kind.PYTEST, Kind.SOAK, Kind.BENCH]


def test_a_soak_or_a_bench_that_does_not_exist_fails_before_the_run(tmp_path: Path) -> None:
    for line in (
        "lab.soak | python -m lab.soak --first-seed 9 --seeds 1 | seed 9 | late | issue 35\n",
        "bench-gone | make bench-gone | no seed | 1.2 of 1.1 | issue 8\n",
    ):
        folder = tmp_path / line.split()[0]
        folder.mkdir()
        ran = run(folder, line)
        assert ran.returncode == 1
        assert f"no such test: {line.split()[0]}" in ran.stdout
        assert "passed" not in ran.stdout


def test_a_bench_is_printed_and_not_played(tmp_path: Path) -> None:
    (tmp_path / "Makefile").write_text("bench-slow:\n\ttouch played\n")
    ran = run(tmp_path, LINE + "bench-slow | make bench-slow | no seed | 1.2 of 1.1 | issue 8\n")
    assert ran.returncode == 0, ran.stdout
    assert "make bench-slow (issue 8)\n    seen: 1.2 of 1.1\n    now: not played by the gate" in ran.stdout
    assert not (tmp_path / "played").exists()


SEEDED = """
def test_seeded(seed):
    assert seed != 7
"""


def test_a_seed_comes_from_the_command_and_is_printed_where_the_test_fails(tmp_path: Path) -> None:
    (tmp_path / "conftest.py").write_text((ROOT / "tests" / "conftest.py").read_text())
    (tmp_path / "test_s.py").write_text(SEEDED)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "test_s.py"]
    for options, status, said in (([], 0, ""), (["--seed", "7"], 1, "--seed 7")):
        ran = subprocess.run(
            [*command, *options], cwd=tmp_path, capture_output=True, text=True, timeout=120, check=False
        )
        assert ran.returncode == status, ran.stdout
        assert said in ran.stdout


def test_the_list_of_this_checkout_is_sound() -> None:
    listed = load(ROOT)
    assert absent(ROOT, listed) == []
    for known in listed:
        if known.kind is Kind.PYTEST:
            path, _, name = known.test.partition("::")
            assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text()
