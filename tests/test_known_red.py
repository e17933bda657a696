"""The list of known failures, and the runner that excludes exactly its tests."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from lab.known_red import Kind, KnownRed, KnownRedError, load, missing_targets, parse
from lab.processes import ROOT

PASSING = "tests/test_a.py::test_green"
FAILING = "tests/test_a.py::test_red"
LINE = f"{FAILING} | python -m pytest -q {FAILING} | no seed | one is not two | issue 28\n"


def entry(test_id: str, seen: str = "rare") -> str:
    """A line of the list for a test without a seed."""
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
    folder: Path, listed: str | None, unlisted_passes: bool = True, each_passes: bool = True, workers: int = 0
) -> subprocess.CompletedProcess[str]:
    (folder / "tests").mkdir()
    (folder / "tests" / "test_a.py").write_text(SUITE.format(another=unlisted_passes, each=each_passes))
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    command = [sys.executable, "-m", "lab.run_tests", "-n", str(workers), "-p", "no:cacheprovider"]
    return subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, text=True, timeout=120, check=False
    )


def test_a_listed_failure_is_excluded_printed_and_run_separately(tmp_path: Path) -> None:
    ran = run(tmp_path, LINE, workers=2)
    assert ran.returncode == 0, ran.stdout
    main_run, _, known_failures = ran.stdout.partition("Known failures")
    assert "4 passed" in main_run
    assert (
        f"python -m pytest -q {FAILING} (issue 28)\n"
        "    seen: one is not two\n"
        "    now: still failing (status 1)" in known_failures
    )
    assert "1 failed" in known_failures


def test_a_listed_test_that_passes_is_reported(tmp_path: Path) -> None:
    ran = run(tmp_path, entry(PASSING) + LINE + entry("tests/test_a.py::test_each[2]"))
    assert ran.returncode == 0, ran.stdout
    assert ran.stdout.count("now: passed this time") == 2
    assert ran.stdout.count("now: still failing") == 1
    (tmp_path / "b").mkdir()
    ran = run(tmp_path / "b", entry(PASSING))
    assert ran.returncode == 1, ran.stdout  # test_red is not listed
    assert ran.stdout.count("now: passed this time") == 1


@pytest.mark.parametrize("listed", [None, "", entry(PASSING, "another than the one that fails")])
def test_a_failure_that_is_not_listed_fails(tmp_path: Path, listed: str | None) -> None:
    assert run(tmp_path, listed).returncode == 1


def test_an_id_matches_only_the_whole_id(tmp_path: Path) -> None:
    """test_red is listed; test_red_by_another_cause has it as a prefix, and fails."""
    ran = run(tmp_path, LINE, unlisted_passes=False)
    assert ran.returncode == 1
    assert "1 failed, 3 passed" in ran.stdout


def test_a_parametrized_case_is_listed_by_its_whole_id(tmp_path: Path) -> None:
    ran = run(tmp_path, LINE + entry("tests/test_a.py::test_each[2]"), each_passes=False)
    assert ran.returncode == 0, ran.stdout


@pytest.mark.parametrize(
    "test_id", ["tests/test_a.py::test_gone", "tests/test_a.py::test_each", "tests/test_b.py::test_red"]
)
def test_a_line_that_names_no_test_fails_before_the_run(tmp_path: Path, test_id: str) -> None:
    ran = run(tmp_path, LINE + entry(test_id, "gone"))
    assert ran.returncode == 1
    assert f"no such test: {test_id}" in ran.stdout
    assert "passed" not in ran.stdout


COMMAND = f"python -m pytest {FAILING}"
MALFORMED = [
    "\n",
    "# a comment\n",
    f"{FAILING}\n",
    f"{FAILING} | {COMMAND} | no seed | one is not two\n",
    f"{FAILING} | {COMMAND} | no seed |  | issue 28\n",
    f"{FAILING} | {COMMAND} | no seed | one is not two | issue\n",
    f"{FAILING} | {COMMAND} | no seed | one | is not two | issue 28\n",
    f"{FAILING} {COMMAND} no seed one is not two issue 28\n",
    "tests/test_a.py | python -m pytest tests/test_a.py | no seed | the whole file | issue 28\n",
    f" {LINE}",
    f"{LINE}\n",
    LINE * 2,
    # the earlier format, without command and seed
    f"{FAILING} | one is not two | issue 28\n",
    # the command is missing, runs another test, is of an unknown kind, or needs a shell
    f"{FAILING} |  | no seed | one is not two | issue 28\n",
    f"{FAILING} | python -m pytest {PASSING} | no seed | one is not two | issue 28\n",
    f"{FAILING} | python -m pytest | no seed | one is not two | issue 28\n",
    f"{FAILING} | ls {FAILING} | no seed | one is not two | issue 28\n",
    f"{FAILING} | true; {COMMAND} | no seed | one is not two | issue 28\n",
    f"{FAILING} | python -m pytest '{FAILING} | no seed | one is not two | issue 28\n",
    "bench-fleet | make bench-power | no seed | 1.2 of 1.1 | issue 8\n",
    "bench-fleet | make bench-fleet install | no seed | 1.2 of 1.1 | issue 8\n",
    "install | make install | no seed | 1.2 of 1.1 | issue 8\n",
    "lab.soak | python -m lab.fleet --seed 7 | seed 7 | late | issue 35\n",
    # the seed is missing, or differs from that of the command
    f"{FAILING} | {COMMAND} | one is not two | issue 28\n",
    f"{FAILING} | {COMMAND} | seed | one is not two | issue 28\n",
    f"{FAILING} | {COMMAND} --seed 7 | seed 8 | one is not two | issue 28\n",
    f"{FAILING} | {COMMAND} --seed 7 | no seed | one is not two | issue 28\n",
    f"{FAILING} | {COMMAND} | seed 7 | one is not two | issue 28\n",
]


@pytest.mark.parametrize("text", MALFORMED)
def test_a_malformed_line_is_an_error(text: str) -> None:
    with pytest.raises(KnownRedError, match="KNOWN-RED.txt:"):
        parse(text)


def test_a_malformed_line_fails_the_run(tmp_path: Path) -> None:
    ran = run(tmp_path, f"{FAILING}\n")
    assert ran.returncode == 1
    assert "KNOWN-RED.txt:1: expected" in ran.stdout
    assert "passed" not in ran.stdout


def test_an_entry_has_test_command_seed_failure_and_issue() -> None:
    text = (
        f"{FAILING} | {COMMAND} --seed 7 | seed 7 | one is not two | issue 28\n"
        f"{FAILING} | {COMMAND} --seed 8 | seed 8 | nor three | issue 28\n"
        "lab.soak | python -m lab.soak --first-seed 9 --seeds 1 | seed 9 | late | issue 35\n"
        "bench-counter | make bench-counter | no seed | 1.2 of 1.1 | issue 8\n"
    )
    listed = parse(text)
    assert listed[0] == KnownRed(FAILING, f"{COMMAND} --seed 7", 7, "one is not two", 28)
    assert listed[0].arguments() == [sys.executable, "-m", "pytest", FAILING, "--seed", "7"]
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


def test_a_bench_is_printed_and_not_run(tmp_path: Path) -> None:
    (tmp_path / "Makefile").write_text("bench-slow:\n\ttouch ran\n")
    ran = run(tmp_path, LINE + "bench-slow | make bench-slow | no seed | 1.2 of 1.1 | issue 8\n")
    assert ran.returncode == 0, ran.stdout
    assert (
        "make bench-slow (issue 8)\n    seen: 1.2 of 1.1\n    now: not run: benchmarks are run by hand"
        in ran.stdout
    )
    assert not (tmp_path / "ran").exists()


SEEDED = """
def test_seeded(seed):
    assert seed != 7
"""


def test_a_seed_comes_from_the_command_and_is_printed_where_the_test_fails(tmp_path: Path) -> None:
    (tmp_path / "conftest.py").write_text((ROOT / "tests" / "conftest.py").read_text())
    (tmp_path / "test_s.py").write_text(SEEDED)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "test_s.py"]
    for options, status, expected in (([], 0, ""), (["--seed", "7"], 1, "--seed 7")):
        ran = subprocess.run(
            [*command, *options], cwd=tmp_path, capture_output=True, text=True, timeout=120, check=False
        )
        assert ran.returncode == status, ran.stdout
        assert expected in ran.stdout


def test_the_list_of_this_checkout_is_valid() -> None:
    listed = load(ROOT)
    assert missing_targets(ROOT, listed) == []
    for known in listed:
        if known.kind is Kind.PYTEST:
            path, _, name = known.test.partition("::")
            assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text()
