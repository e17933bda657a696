"""The bench's standard runs one after the other, with a verdict on each.

    python -m lab.regression [--kit DIR] [--why TEXT] [--standing --first-seed N --seeds COUNT] [SITE ...]

Each site is played quick on real sockets and quick in the simulator; with `--standing` also the later days
and the standing test quick, and the brink days on COUNT fresh seeds from N on. One line is printed for each
run: site, panel, seed, figure and verdict. The verdict is read from the run's exit status, its output and the
entry that it leaves in `journal/`; what is missing there is a fault. Exit status 1 where any run has one.
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
DEFAULT_SITES = ("sites/kingston-main.toml", "users/rennes-listings.toml")  # within the kit
DEFAULT_WHY = "Regression: the standard runs of the program as it stands"
LONGEST_WHY = 119  # characters that the bench takes
JOURNAL = Path("journal")  # within the folder where a run is started
RUN_TIMEOUT_SECONDS = 1800
SHOWN_LINES = 8  # of the output of a run with a fault


@dataclass(slots=True, frozen=True)
class Run:
    """One call of a program of the kit. `gated`: its last line tells the verdict of a gate."""

    program: str  # within the kit
    site: Path
    panel: str
    options: tuple[str, ...]
    seed: int | None = None
    gated: bool = False

    def command(self, kit: Path, why: str) -> list[str]:
        """The arguments that start it."""
        return [str(kit / self.program), "score", str(self.site), *self.options, "--why", why]


@dataclass(slots=True, frozen=True)
class Result:
    """What a run came to; it passed where it has no faults."""

    run: Run
    score: float | None
    faults: tuple[str, ...]

    def line(self) -> str:
        """The line that is printed of it."""
        seed = "-" if self.run.seed is None else str(self.run.seed)
        score = "-" if self.score is None else f"{self.score:.3f}"
        verdict = f"failed: {'; '.join(self.faults)}" if self.faults else "passed"
        return f"{self.run.site.stem}  {self.run.panel}  seed {seed}  {score}  {verdict}"


def planned(sites: list[Path], standing: bool, seeds: range) -> list[Run]:
    """The runs in their order: all of one site, then all of the next."""
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


def output_faults(run: Run, status: int, output: str) -> list[str]:
    """What a run's exit status and output say against it."""
    faults = []
    if status != 0:
        faults.append(f"exit status {status}")
    if "GATE failed" in output:
        faults.append("gate failed")
    elif run.gated and "GATE passed" not in _last_line(output):
        faults.append("no verdict of the gate")
    return faults


def entry_faults(entry: dict[str, Any]) -> list[str]:
    """What a run's journal entry says against it."""
    faults = []
    if not entry.get("ok"):
        faults.append(f"did not finish: {entry.get('error')}")
    if entry.get("figures", {}).get("gate", 1.0) != 1.0:
        faults.append("gate failed, by the journal")
    if entry.get("figures", {}).get("rule_days_broken", 0.0) != 0.0:
        faults.append("a rule broken on the days drawn to test them")
    for day in entry.get("days") or []:
        broken = [f"{rule} {count} times" for rule, count in day["rules"].items() if count]
        if broken:
            faults.append(f"rule broken on {day['name']}: {', '.join(broken)}")
    if entry_score(entry) is None:
        faults.append("no figure")
    return faults


def entry_score(entry: dict[str, Any]) -> float | None:
    """The figure of a run, by its journal entry."""
    score = entry.get("figures", {}).get("real_score", entry.get("score"))
    return None if score is None else float(score)


def play(run: Run, kit: Path, why: str) -> tuple[Result, str]:
    """Plays a run to its end; its result and its output."""
    before = _journal_entries()
    command = run.command(kit, why)
    try:
        ended = subprocess.run(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=RUN_TIMEOUT_SECONDS,
            check=False,
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        return Result(run, None, (f"did not run to its end: {error}",)), ""
    faults = output_faults(run, ended.returncode, ended.stdout)
    left = _journal_entries() - before
    if len(left) != 1:
        return Result(run, None, (*faults, f"{len(left)} journal entries, not one")), ended.stdout
    entry = json.loads(left.pop().read_text())
    return Result(run, entry_score(entry), (*faults, *entry_faults(entry))), ended.stdout


def _journal_entries() -> set[Path]:
    return set(JOURNAL.glob("*.json"))


def _last_line(output: str) -> str:
    lines = output.strip().splitlines()
    return lines[-1] if lines else ""


def _arguments(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m lab.regression", description=__doc__.splitlines()[0])
    parser.add_argument("sites", nargs="*", type=Path, metavar="SITE", help="site files, else two of the kit")
    parser.add_argument("--kit", type=Path, default=DEFAULT_KIT, help="the folder of the bench")
    parser.add_argument("--why", default=DEFAULT_WHY, help="the sentence for the journal")
    parser.add_argument("--standing", action="store_true", help="later, standing and brink days too")
    parser.add_argument("--first-seed", type=int, help="first fresh seed of the brink days")
    parser.add_argument("--seeds", type=int, help="how many fresh seeds")
    parsed = parser.parse_args(arguments)
    if len(parsed.why) > LONGEST_WHY:
        parser.error(f"--why: {len(parsed.why)} characters, at most {LONGEST_WHY}")
    seeds_given = parsed.first_seed is not None and parsed.seeds is not None and parsed.seeds > 0
    if parsed.standing and not seeds_given:
        parser.error("--standing needs --first-seed and --seeds")
    if not parsed.standing and (parsed.first_seed, parsed.seeds) != (None, None):
        parser.error("--first-seed and --seeds belong to --standing")
    return parsed


def main(arguments: list[str]) -> int:
    """The exit status."""
    parsed = _arguments(arguments)
    sites = parsed.sites or [parsed.kit / site for site in DEFAULT_SITES]
    seeds = range(parsed.first_seed, parsed.first_seed + parsed.seeds) if parsed.standing else range(0)
    results = []
    for run in planned(sites, parsed.standing, seeds):
        result, output = play(run, parsed.kit, parsed.why)
        results.append(result)
        print(result.line(), flush=True)
        if result.faults:
            print(*output.splitlines()[-SHOWN_LINES:], sep="\n", file=sys.stderr, flush=True)
    return 1 if any(result.faults for result in results) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
