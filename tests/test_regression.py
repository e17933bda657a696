"""The regression's order and verdicts, with a stand-in for the programs of the kit."""

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

# Notes its call, leaves the journal entry and says what the case tells it for that call.
STAND_IN = """#!PYTHON
import json, pathlib, sys
kit = pathlib.Path("KIT")
program = str(pathlib.Path(sys.argv[0]).relative_to(kit))
calls = kit / "calls.json"
made = json.loads(calls.read_text()) if calls.exists() else []
calls.write_text(json.dumps([*made, [program, *sys.argv[1:]]]))
case = json.loads((kit / "case.json").read_text()).get(str(len(made)), {})
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
    pathlib.Path(f"journal/{len(made)}-{n}.json").write_text(json.dumps(entry))
print(case.get("output", "score 0.9\\nGATE passed" if gated else "score 0.9"))
sys.exit(case.get("status", 0))
"""


def regression(
    folder: Path, *arguments: str, case: dict[str, Any] | None = None
) -> subprocess.CompletedProcess[str]:
    """Played in a folder of its own; `case` holds what differs, by the number of the run."""
    kit = folder / "kit"
    for name in PROGRAMS:
        path = kit / name
        path.parent.mkdir(parents=True)
        path.write_text(STAND_IN.replace("PYTHON", sys.executable).replace("KIT", str(kit)))
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
    made: list[list[str]] = json.loads((folder / "kit" / "calls.json").read_text())
    return made


def test_both_sites_quick_by_default(tmp_path: Path) -> None:
    ran = regression(tmp_path, "--why", "A look")
    assert ran.returncode == 0, ran.stderr
    kingston, rennes = (
        f"{tmp_path}/kit/{name}" for name in ("sites/kingston-main.toml", "users/rennes-listings.toml")
    )
    assert calls(tmp_path) == [
        [program, "score", site, "--quick", "--why", "A look"]
        for site in (kingston, rennes)
        for program in ("real/bin/lbreal", "bin/lbsim")
    ]
    assert ran.stdout.splitlines() == [
        f"{site}  {panel}  seed -  0.900  passed"
        for site in ("kingston-main", "rennes-listings")
        for panel in ("real quick", "simulated quick")
    ]


def test_the_standing_runs_follow_in_their_order(tmp_path: Path) -> None:
    ran = regression(tmp_path, *STANDING, "--why", "A look", "a.toml", "b.toml")
    assert ran.returncode == 0, ran.stderr
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
    assert ran.stdout.splitlines()[4] == "a  brink  seed 801  0.900  passed"
    assert len(ran.stdout.splitlines()) == 12


BROKEN = [{"name": "big-1", "rules": {"drain": 2, "lost": 0}}]
FAULTS = {
    "gate": (3, {"output": "score 0.3\nGATE failed"}, "gate failed"),
    "gate-in-brink": (5, {"output": "score 0.3\nGATE failed", "status": 0}, "gate failed"),
    "gate-in-the-journal": (3, {"entry": {"figures": {"gate": 0.0}}}, "gate failed, by the journal"),
    "no-gate": (3, {"output": "GATE passed\nand then it ended"}, "no verdict of the gate"),
    "no-output": (3, {"output": ""}, "no verdict of the gate"),
    "rule": (0, {"entry": {"days": BROKEN}}, "rule broken on big-1: drain 2 times"),
    "rule-when-tested": (1, {"entry": {"figures": {"rule_days_broken": 1.0}}}, "a rule broken on the days"),
    "status": (1, {"status": 3}, "exit status 3"),
    "not-finished": (2, {"entry": {"ok": False, "error": "n1 crashed"}}, "did not finish: n1 crashed"),
    "no-figure": (0, {"entry": {"score": None}}, "no figure"),
    "no-entry": (0, {"entries": 0}, "0 journal entries, not one"),
    "two-entries": (0, {"entries": 2}, "2 journal entries, not one"),
}  # fmt: skip


@pytest.mark.parametrize("name", FAULTS)
def test_a_fault_of_one_run_ends_in_status_1_and_the_others_are_played(tmp_path: Path, name: str) -> None:
    number, case, verdict = FAULTS[name]
    ran = regression(tmp_path, *STANDING, "a.toml", case={str(number): case})
    assert ran.returncode == 1
    lines = ran.stdout.splitlines()
    assert len(lines) == 6
    assert f"  failed: {verdict}" in lines[number]
    assert all(line.endswith("  passed") for n, line in enumerate(lines) if n != number)


def test_a_program_that_is_not_there_is_a_fault(tmp_path: Path) -> None:
    ran = regression(tmp_path, "--kit", str(tmp_path / "none"), "a.toml")
    assert ran.returncode == 1
    assert ran.stdout.count("failed: did not run to its end") == 2


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
def test_arguments_that_would_leave_a_run_out_are_refused(tmp_path: Path, arguments: tuple[str, ...]) -> None:
    assert regression(tmp_path, *arguments).returncode == 2
    assert not (tmp_path / "kit" / "calls.json").exists()
