"""Plays seeds of the soak test: python -m lab.soak --first-seed N --seeds 50 --at-once 4

Prints one line per seed. A failed seed leaves its record, the logs of its ingresses and a timeline plot in a
folder, and the command that replays it is printed. Exits with status 1 if a seed failed.
"""

from __future__ import annotations

import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click

from lab.known_red import FILE_NAME, Kind, load
from lab.soak.checks import rule_violations
from lab.soak.plan import draw
from lab.soak.play import SoakRunner
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
    with ThreadPoolExecutor(at_once) as pool:
        failed = 0
        for number, (status, output) in enumerate(
            pool.map(lambda seed: _play_in_subprocess(seed, found), numbers), 1
        ):
            failed += status != 0
            click.echo(f"[{number}/{len(numbers)}, {time.monotonic() - began:.0f} s] {output.rstrip()}")
    click.echo(f"{len(numbers) - failed} of {len(numbers)} seeds from {first_seed} on held, {failed} failed")
    sys.exit(bool(failed))


def _play_in_subprocess(seed: int, found: Path) -> tuple[int, str]:
    """Plays a seed in its own process; returns exit status and output."""
    command = [sys.executable, "-m", "lab.soak", "--first-seed", str(seed), "--found", str(found)]
    try:
        ran = subprocess.run(
            command, capture_output=True, text=True, timeout=SEED_TIMEOUT_SECONDS, check=False
        )
    except subprocess.TimeoutExpired:
        return 1, f"seed {seed}: not finished after {SEED_TIMEOUT_SECONDS} s"
    return ran.returncode, ran.stdout + ran.stderr


def _play_here(seed: int, found: Path) -> int:
    """Plays one seed in this process and prints its result."""
    run = draw(seed)
    played = SoakRunner(run).play()
    records = table(played.rows)
    faults = rule_violations(run, records)
    asked = records.filter(records["what"] == "asked").height
    crowd = ", crowd" if run.crowd else ""
    shape = (
        f"{run.ingresses} ingresses, {sum(map(len, run.process_runs))} lives, "
        f"deadline {run.longest_deadline}{crowd}"
    )
    if not faults:
        click.echo(f"seed {seed}: held ({shape}, {asked} requests)")
        return 0
    folder = found / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    records.write_parquet(folder / "record.parquet")
    (folder / "ingresses.log").write_text("\n".join(played.logs) + "\n")
    from lab.soak.timeline import draw as draw_timeline

    draw_timeline(records, f"seed {seed}: {faults[0]}", folder / "timeline.png")
    click.echo(f"seed {seed}: FAILED ({shape}, {asked} requests)")
    for fault in faults[:MAX_SHOWN_FAULTS]:
        click.echo(f"    {fault}")
    if len(faults) > MAX_SHOWN_FAULTS:
        click.echo(f"    and {len(faults) - MAX_SHOWN_FAULTS} more")
    click.echo(f"    play it alone: python -m lab.soak --first-seed {seed} --seeds 1; left in {folder}")
    return 1


if __name__ == "__main__":
    main()
