"""Runs the standard benchmark runs one after the other and checks each of them.

    python -m lab.regression [--kit DIR] [--why TEXT] [--standing --first-seed N --seeds COUNT] [SITE ...]

For each site: a quick run on real sockets and a quick run in the simulator; with `--standing` also quick
runs of the later days and of the standing test, and the brink days on COUNT fresh seeds starting at N.
Prints one line per run: site, panel, seed, score and result. A run fails on a nonzero exit status, on a
failure shown in its output or in the entry that it writes to `journal/`, or if either lacks the result. The
exit status is 1 if any run failed.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

DEFAULT_KIT = Path("../given/kit")
DEFAULT_SITES = ("sites/kingston-main.toml", "users/rennes-listings.toml")  # relative to the kit
DEFAULT_WHY = "Regression: the standard runs of the program as it stands"
MAX_WHY_LENGTH = 119  # characters; the limit of the benchmark programs
JOURNAL = Path("journal")  # relative to the working directory of a run
RUN_TIMEOUT_SECONDS = 1800
SHOWN_OUTPUT_LINES = 8  # of a failed run
HINTS_BEHIND_GATE = ("one day in full: ", "snapshot ")  # how lines begin that may follow the gate's result


@dataclass(slots=True, frozen=True)
class Run:
    """One call of a program of the kit. `gated`: its result must be `GATE passed` or `GATE failed`."""

    program: str  # relative to the kit
    site: Path
    panel: str
    options: tuple[str, ...]
    seed: int | None = None
    gated: bool = False

    def command(self, kit: Path, why: str) -> list[str]:
        """The command line of the run."""
        return [str(kit / self.program), "score", str(self.site), *self.options, "--why", why]


@dataclass(slots=True, frozen=True)
class Result:
    """The result of a run; it passed if there are no failures."""

    run: Run
    score: float | None
    failures: tuple[str, ...]

    def line(self) -> str:
        """The line printed for the run."""
        seed = "-" if self.run.seed is None else str(self.run.seed)
        score = "-" if self.score is None else f"{self.score:.3f}"
        verdict = f"failed: {'; '.join(self.failures)}" if self.failures else "passed"
        return f"{self.run.site.stem}  {self.run.panel}  seed {seed}  {score}  {verdict}"


def plan_runs(sites: list[Path], standing: bool, seeds: range) -> list[Run]:
    """All runs in order, grouped by site."""
    runs: list[Run] = []
    for site in sites:
        runs.append(Run("real/bin/lbreal", site, "real quick", ("--quick",)))
        runs.append(Run("bin/lbsim", site, "simulated quick", ("--quick",)))
        if standing:
            runs.append(Run("real/bin/lbreal", site, "real later quick", ("--panel", "later", "--quick")))
            runs.append(Run("more/mass/bin/lbreal", site, "standing quick", ("--quick",), gated=True))
            for seed in seeds:
                options = ("--panel", "brink", "--seed", str(seed))
                runs.append(Run("more/mass/bin/lbreal", site, "brink", options, seed=seed, gated=True))
    return runs


def output_failures(run: Run, status: int, output: str) -> list[str]:
    """The failures shown by a run's exit status and output."""
    failures = []
    if status != 0:
        failures.append(f"exit status {status}")
    if "GATE failed" in output:
        failures.append("gate failed")
    elif run.gated and "GATE passed" not in _result_line(output):
        failures.append("no gate result")
    return failures


def entry_failures(entry: dict[str, Any]) -> list[str]:
    """The failures shown by a run's journal entry."""
    failures = []
    if not entry.get("ok"):
        failures.append(f"did not finish: {entry.get('error')}")
    if entry.get("figures", {}).get("gate", 1.0) != 1.0:
        failures.append("gate failed according to the journal")
    if entry.get("figures", {}).get("rule_days_broken", 0.0) != 0.0:
        failures.append("a rule broken on the days that test the rules")
    for day in entry.get("days") or []:
        broken = [f"{rule} {count} times" for rule, count in day["rules"].items() if count]
        if broken:
            failures.append(f"rule broken on {day['name']}: {', '.join(broken)}")
    if entry_score(entry) is None:
        failures.append("no score")
    return failures


def entry_score(entry: dict[str, Any]) -> float | None:
    """The score in a journal entry; None if it has none."""
    score = entry.get("figures", {}).get("real_score", entry.get("score"))
    return None if score is None else float(score)


def execute(run: Run, kit: Path, why: str) -> tuple[Result, str]:
    """Executes a run; returns its result and its output."""
    before = _journal_entries()
    command = run.command(kit, why)
    try:
        finished = subprocess.run(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=RUN_TIMEOUT_SECONDS,
            check=False,
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        return Result(run, None, (f"did not complete: {error}",)), ""
    failures = output_failures(run, finished.returncode, finished.stdout)
    added = _journal_entries() - before
    if len(added) != 1:
        return Result(run, None, (*failures, f"{len(added)} journal entries, expected one")), finished.stdout
    entry = json.loads(added.pop().read_text())
    return Result(run, entry_score(entry), (*failures, *entry_failures(entry))), finished.stdout


def _journal_entries() -> set[Path]:
    return set(JOURNAL.glob("*.json"))


def _result_line(output: str) -> str:
    """The last line that is not one of the known hints."""
    lines = [line for line in output.strip().splitlines() if not line.startswith(HINTS_BEHIND_GATE)]
    return lines[-1] if lines else ""


def _arguments(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m lab.regression", description=__doc__.splitlines()[0])
    parser.add_argument(
        "sites", nargs="*", type=Path, metavar="SITE", help="site files (default: two sites of the kit)"
    )
    parser.add_argument("--kit", type=Path, default=DEFAULT_KIT, help="the directory of the kit")
    parser.add_argument("--why", default=DEFAULT_WHY, help="the reason recorded in the journal")
    parser.add_argument("--standing", action="store_true", help="also run the later, standing and brink days")
    parser.add_argument("--first-seed", type=int, help="first fresh seed of the brink days")
    parser.add_argument("--seeds", type=int, help="number of fresh seeds")
    parsed = parser.parse_args(arguments)
    if len(parsed.why) > MAX_WHY_LENGTH:
        parser.error(f"--why: {len(parsed.why)} characters, at most {MAX_WHY_LENGTH}")
    seeds_given = parsed.first_seed is not None and parsed.seeds is not None and parsed.seeds > 0
    if parsed.standing and not seeds_given:
        parser.error("--standing needs --first-seed and --seeds")
    if not parsed.standing and (parsed.first_seed, parsed.seeds) != (None, None):
        parser.error("--first-seed and --seeds require --standing")
    return parsed


def main(arguments: list[str]) -> int:
    """Returns the exit status."""
    parsed = _arguments(arguments)
    sites = parsed.sites or [parsed.kit / site for site in DEFAULT_SITES]
    seeds = range(parsed.first_seed, parsed.first_seed + parsed.seeds) if parsed.standing else range(0)
    results = []
    for run in plan_runs(sites, parsed.standing, seeds):
        result, output = execute(run, parsed.kit, parsed.why)
        results.append(result)
        print(result.line(), flush=True)
        if result.failures:
            print(*output.splitlines()[-SHOWN_OUTPUT_LINES:], sep="\n", file=sys.stderr, flush=True)
    return 1 if any(result.failures for result in results) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
