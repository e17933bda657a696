"""Plays seeds of the memory runs: python -m lab.memory --first-seed N --seeds 50 --at-once 4

Prints one line per seed and what broke a rule: a process over its limit, one that ended by itself, a sound
client without an answer, and memory that does not come back. Exits with status 1 if a seed failed. The log of
the ingress of a failed seed is left in the folder `found`.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click

from lab.memory.plan import Run, draw
from lab.memory.play import Played, play_run

KEPT_SHARE = 0.25  # of what the limit leaves beside the process at rest, that may stay resident after a load


def violations(run: Run, played: Played) -> Iterator[str]:
    """The rules that a run broke."""
    if played.killed:
        yield f"over its limit: {played.peak_mb:.1f} of {run.memory_mb} MB"
    if played.died:
        yield "ended by itself"
    if lost := played.sound.get("lost"):
        yield f"{lost} sound requests without an answer"
    if run.terminated_at is None:
        allowed = played.rest_before_mb + KEPT_SHARE * (run.memory_mb - played.rest_before_mb)
        if played.rest_after_mb > allowed:
            yield f"{played.rest_after_mb:.1f} MB resident after the load, {allowed:.1f} allowed"


def _play(seed: int, found: Path) -> tuple[bool, str]:
    run = draw(seed)
    played = play_run(run)
    broken = list(violations(run, played))
    clients = " ".join(f"{kind}={number}" for kind, number in run.clients.items())
    ended = "" if run.terminated_at is None else ", SIGTERM"
    text = f"seed {seed}: {run.memory_mb} MB, {clients}{ended}: {played.describe()}"
    if broken:
        found.mkdir(parents=True, exist_ok=True)
        (found / f"memory-{seed}.log").write_text("\n".join(played.log) + "\n")
        text = f"{text}\n    FAILED: {'; '.join(broken)}"
    return not broken, text


@click.command()
@click.option("--first-seed", default=1, help="The first seed to play.")
@click.option("--seeds", default=1, help="How many seeds, one after the other from the first.")
@click.option("--at-once", default=1, help="How many seeds are played in parallel.")
@click.option(
    "--found", type=click.Path(path_type=Path), default=Path("found"), help="Folder for logs of failed seeds."
)
def main(first_seed: int, seeds: int, at_once: int, found: Path) -> None:
    """Play seeds and print rule violations."""
    began, held = time.monotonic(), 0
    with ThreadPoolExecutor(at_once) as pool:
        played = pool.map(lambda seed: _play(seed, found), range(first_seed, first_seed + seeds))
        for number, (good, text) in enumerate(played, 1):
            held += good
            click.echo(f"[{number}/{seeds}, {time.monotonic() - began:.0f} s] {text}")
    click.echo(f"{held} of {seeds} seeds from {first_seed} on held")
    sys.exit(held < seeds)


if __name__ == "__main__":
    main()
