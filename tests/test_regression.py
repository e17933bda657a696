"""The order of the regression runs and their results, with a stub for the programs of the kit."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from lab.processes import ROOT

PROGRAMS = ("real/bin/lbreal", "bin/lbsim", "more/mass/bin/lbreal")
STANDING = ("--standing", "--first-seed", "801", "--seeds", "2")

# Records its call, then writes the journal entry and the output that the case defines for this call.
STUB = """#!PYTHON
import json, pathlib, sys
kit = pathlib.Path("KIT")
program = str(pathlib.Path(sys.argv[0]).relative_to(kit))
calls = kit / "calls.json"
earlier = json.loads(calls.read_text()) if calls.exists() else []
calls.write_text(json.dumps([*earlier, [program, *sys.argv[1:]]]))
case = json.loads((kit / "case.json").read_text()).get(str(len(earlier)), {})
gated = "mass" in program
entry = {
    "ok": True,
    "error": None,
    "score": 0.9,
    "figures": {"gate": 1.0} if gated else {},
    "days": [{"name": "quiet", "rules": {"drain": 0, "lost": 0}}],
}
entry.update(case.get("entry", {}))
for n in range(case.get("entries", 1)):
    pathlib.Path(f"journal/{len(earlier)}-{n}.json").write_text(json.dumps(entry))
print(case.get("output", "score 0.9\\nGATE passed" if gated else "score 0.9"))
sys.exit(case.get("status", 0))
"""


def regression(
    folder: Path, *arguments: str, case: dict[str, Any] | None = None
) -> subprocess.CompletedProcess[str]:
    """Runs in a directory of its own; `case` holds the deviations by number of the run."""
    kit = folder / "kit"
    for name in PROGRAMS:
        path = kit / name
        path.parent.mkdir(parents=True)
        path.write_text(STUB.replace("PYTHON", sys.executable).replace("KIT", str(kit)))
        path.chmod(0o755)
    (kit / "case.json").write_text(json.dumps(case or {}))
    (folder / "journal").mkdir()
    (folder / "journal" / "earlier.json").write_text("{}")
    command = [sys.executable, "-m", "lab.regression", "--kit", str(kit), *arguments]
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    return subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, text=True, timeout=60, check=False
    )


def calls(folder: Path) -> list[list[str]]:
    recorded: list[list[str]] = json.loads((folder / "kit" / "calls.json").read_text())
    return recorded


def test_runs_both_default_sites_quick(tmp_path: Path) -> None:
    finished = regression(tmp_path, "--why", "A look")
    assert finished.returncode == 0, finished.stderr
    kingston, rennes = (
        f"{tmp_path}/kit/{name}" for name in ("sites/kingston-main.toml", "users/rennes-listings.toml")
    )
    assert calls(tmp_path) == [
        [program, "score", site, "--quick", "--why", "A look"]
        for site in (kingston, rennes)
        for program in ("real/bin/lbreal", "bin/lbsim")
    ]
    assert finished.stdout.splitlines() == [
        f"{site}  {panel}  seed -  0.900  passed"
        for site in ("kingston-main", "rennes-listings")
        for panel in ("real quick", "simulated quick")
    ]


def test_standing_runs_follow_in_order(tmp_path: Path) -> None:
    finished = regression(tmp_path, *STANDING, "--why", "A look", "a.toml", "b.toml")
    assert finished.returncode == 0, finished.stderr
    expected = [
        ["real/bin/lbreal", "score", "SITE", "--quick"],
        ["bin/lbsim", "score", "SITE", "--quick"],
        ["real/bin/lbreal", "score", "SITE", "--panel", "later", "--quick"],
        ["more/mass/bin/lbreal", "score", "SITE", "--quick"],
        ["more/mass/bin/lbreal", "score", "SITE", "--panel", "brink", "--seed", "801"],
        ["more/mass/bin/lbreal", "score", "SITE", "--panel", "brink", "--seed", "802"],
    ]
    assert calls(tmp_path) == [
        [site if word == "SITE" else word for word in call] + ["--why", "A look"]
        for site in ("a.toml", "b.toml")
        for call in expected
    ]
    assert finished.stdout.splitlines()[4] == "a  brink  seed 801  0.900  passed"
    assert len(finished.stdout.splitlines()) == 12


RULE_BROKEN = [{"name": "big-1", "rules": {"drain": 2, "lost": 0}}]
FAILURES = {
    "gate": (3, {"output": "score 0.3\nGATE failed"}, "gate failed"),
    "gate-in-brink": (5, {"output": "score 0.3\nGATE failed", "status": 0}, "gate failed"),
    "gate-in-the-journal": (3, {"entry": {"figures": {"gate": 0.0}}}, "gate failed according to the journal"),
    "no-gate": (3, {"output": "GATE passed\nand then it ended"}, "no gate result"),
    "no-gate-before-hints": (3, {"output": "score 0.3\none day in full: x\nsnapshot 1f"}, "no gate result"),
    "no-output": (3, {"output": ""}, "no gate result"),
    "rule": (0, {"entry": {"days": RULE_BROKEN}}, "rule broken on big-1: drain 2 times"),
    "rule-when-tested": (1, {"entry": {"figures": {"rule_days_broken": 1.0}}}, "a rule broken on the days"),
    "status": (1, {"status": 3}, "exit status 3"),
    "not-finished": (2, {"entry": {"ok": False, "error": "n1 crashed"}}, "did not finish: n1 crashed"),
    "no-figure": (0, {"entry": {"score": None}}, "no score"),
    "no-entry": (0, {"entries": 0}, "0 journal entries, expected one"),
    "two-entries": (0, {"entries": 2}, "2 journal entries, expected one"),
}  # fmt: skip


@pytest.mark.parametrize("name", FAILURES)
def test_a_failed_run_gives_status_1_and_the_others_still_run(tmp_path: Path, name: str) -> None:
    number, case, expected = FAILURES[name]
    finished = regression(tmp_path, *STANDING, "a.toml", case={str(number): case})
    assert finished.returncode == 1
    lines = finished.stdout.splitlines()
    assert len(lines) == 6
    assert f"  failed: {expected}" in lines[number]
    assert all(line.endswith("  passed") for n, line in enumerate(lines) if n != number)


def test_hints_behind_the_result_of_the_gate_are_no_failure(tmp_path: Path) -> None:
    """Guards against a run that passed and is told as failed, as the bench adds hints behind its result."""
    output = "score 0.9\nGATE passed (three of the six days)\none day in full: lbreal\nsnapshot 01c9"
    finished = regression(tmp_path, *STANDING, "a.toml", case={"3": {"output": output}})
    assert finished.returncode == 0
    assert all(line.endswith("  passed") for line in finished.stdout.splitlines())


def test_a_missing_program_is_a_failure(tmp_path: Path) -> None:
    finished = regression(tmp_path, "--kit", str(tmp_path / "none"), "a.toml")
    assert finished.returncode == 1
    assert finished.stdout.count("failed: did not complete") == 2


@pytest.mark.parametrize(
    "arguments",
    [
        ("--standing",),
        ("--standing", "--seeds", "2"),
        ("--standing", "--first-seed", "801", "--seeds", "0"),
        ("--seeds", "2"),
        ("--why", "x" * 120),
    ],
)
def test_arguments_that_would_skip_a_run_are_refused(tmp_path: Path, arguments: tuple[str, ...]) -> None:
    assert regression(tmp_path, *arguments).returncode == 2
    assert not (tmp_path / "kit" / "calls.json").exists()
