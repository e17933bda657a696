"""Plays seeds of the soak test: python -m lab.soak --first-seed N --seeds 50 --at-once 4

Prints one line per seed. A failed seed leaves its record, the logs of its ingresses and a timeline plot in a
folder, and the command that replays it is printed. A seed in which the machine held an ingress up for longer
than the terms allow is not judged, and played again with fewer at once. Exits with status 1 if a seed failed
or too many were not judged.
"""

from __future__ import annotations

import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import polars as pl

from lab.known_red import FILE_NAME, Kind, load
from lab.soak.judge import MAX_UNJUDGED_SHARE, Outcome, judge
from lab.soak.plan import draw
from lab.soak.play import SoakResult, SoakRunner
from lab.soak.record import table

SEED_TIMEOUT_SECONDS = 180
MAX_SHOWN_FAULTS = 12  # of one seed


@click.command()
@click.option("--first-seed", default=1, help="The first seed to play.")
@click.option("--seeds", default=1, help="How many seeds, one after the other from the first.")
@click.option("--at-once", default=1, help="How many seeds are played in parallel, each in its own process.")
@click.option(
    "--found",
    type=click.Path(path_type=Path),
    default=Path("found"),
    help="Folder for records of failed seeds.",
)
@click.option("--without-known", is_flag=True, help="Leave out the seeds that KNOWN-RED.txt lists.")
def main(first_seed: int, seeds: int, at_once: int, found: Path, without_known: bool) -> None:
    """Play seeds and print rule violations."""
    if seeds == 1:
        sys.exit(_play_here(first_seed, found))
    known = {entry.seed for entry in load(Path.cwd()) if entry.kind is Kind.SOAK} if without_known else set()
    numbers = [seed for seed in range(first_seed, first_seed + seeds) if seed not in known]
    if len(numbers) < seeds:
        click.echo(f"left out, as {FILE_NAME} lists them: {seeds - len(numbers)}")
    began = time.monotonic()
    outcomes = dict(_play_all(numbers, at_once, found, began))
    if again := [seed for seed, outcome in outcomes.items() if outcome is Outcome.NOT_JUDGED]:
        click.echo(f"not judged, played again with fewer at once: {again}")
        outcomes.update(_play_all(again, max(1, at_once // 2), found, began))
    counts = Counter(outcomes.values())
    held, failed, not_judged = (counts[one] for one in (Outcome.HELD, Outcome.FAILED, Outcome.NOT_JUDGED))
    click.echo(
        f"{held} of {len(numbers)} seeds from {first_seed} on held, {failed} failed, {not_judged} not judged"
    )
    sys.exit(bool(failed) or not_judged > MAX_UNJUDGED_SHARE * len(numbers))


def _play_all(seeds: list[int], at_once: int, found: Path, began: float) -> Iterator[tuple[int, Outcome]]:
    """Plays seeds, each in its own process, and prints their results in order."""
    with ThreadPoolExecutor(at_once) as pool:
        played = pool.map(lambda seed: _play_in_subprocess(seed, found), seeds)
        for number, (seed, (outcome, output)) in enumerate(zip(seeds, played, strict=True), 1):
            click.echo(f"[{number}/{len(seeds)}, {time.monotonic() - began:.0f} s] {output.rstrip()}")
            yield seed, outcome


def _play_in_subprocess(seed: int, found: Path) -> tuple[Outcome, str]:
    """Plays a seed in its own process; returns its outcome and output."""
    command = [sys.executable, "-m", "lab.soak", "--first-seed", str(seed), "--found", str(found)]
    try:
        ran = subprocess.run(
            command, capture_output=True, text=True, timeout=SEED_TIMEOUT_SECONDS, check=False
        )
    except subprocess.TimeoutExpired:
        return Outcome.FAILED, f"seed {seed}: not finished after {SEED_TIMEOUT_SECONDS} s"
    statuses = [outcome.value for outcome in Outcome]
    outcome = Outcome(ran.returncode) if ran.returncode in statuses else Outcome.FAILED
    return outcome, ran.stdout + ran.stderr


def _play_here(seed: int, found: Path) -> int:
    """Plays one seed in this process and prints its result."""
    run = draw(seed)
    played = SoakRunner(run).play()
    records = table(played.rows)
    judgement = judge(run, records)
    asked = records.filter(records["what"] == "asked").height
    crowd = ", crowd" if run.crowd else ""
    shape = (
        f"{run.ingresses} ingresses, {sum(map(len, run.process_runs))} lives, "
        f"deadline {run.longest_deadline}{crowd}"
    )
    if judgement.outcome is Outcome.HELD:
        click.echo(f"seed {seed}: held ({shape}, {asked} requests)")
        return int(judgement.outcome.value)
    folder = found / f"seed-{seed}"
    _keep(folder, records, played, f"seed {seed}: {judgement.violations[0]}")
    name = "FAILED" if judgement.outcome is Outcome.FAILED else "not judged"
    click.echo(f"seed {seed}: {name} ({shape}, {asked} requests)")
    for line in judgement.violations[:MAX_SHOWN_FAULTS]:
        click.echo(f"    {line}")
    if len(judgement.violations) > MAX_SHOWN_FAULTS:
        click.echo(f"    and {len(judgement.violations) - MAX_SHOWN_FAULTS} more")
    for line in judgement.evidence:
        click.echo(f"      {line}")
    click.echo(f"    play it alone: python -m lab.soak --first-seed {seed} --seeds 1; left in {folder}")
    return int(judgement.outcome.value)


def _keep(folder: Path, records: pl.DataFrame, played: SoakResult, title: str) -> None:
    """Writes the record of a run, the logs of its ingresses and its timeline to a folder."""
    from lab.soak.timeline import draw as draw_timeline  # slow to import

    folder.mkdir(parents=True, exist_ok=True)
    records.write_parquet(folder / "record.parquet")
    (folder / "ingresses.log").write_text("\n".join(played.logs) + "\n")
    draw_timeline(records, title, folder / "timeline.png")


if __name__ == "__main__":
    main()
