"""Plays a schedule on a fleet of real ingresses: python -m lab.fleet SCHEDULE --seed N --plot FILE

SCHEDULE is a file (lab/fleet/schedule.py describes the format), `-` for no steps, or `draw` for faults drawn
from the seed. Prints the results; exits with status 1 if a rule was violated.
"""

from __future__ import annotations

import sys
from pathlib import Path

import click
import polars as pl

from lab.fleet import schedule
from lab.fleet.record import faults, membership_agreement, quotas, record
from lab.fleet.site import Site


@click.command()
@click.argument("what")
@click.option("--size", default=6, help="Number of ingresses.")
@click.option("--span", default=24.0, help="Seconds of load.")
@click.option("--seed", default=0)
@click.option(
    "--view/--no-view", default=True, help="With the membership view (the fleet block), or without."
)
@click.option(
    "--store/--no-store", default=False, help="A store folder for each ingress that survives restarts."
)
@click.option("--plot", type=click.Path(path_type=Path), help="Write a plot (PNG, SVG or PDF).")
@click.option("--save", type=click.Path(path_type=Path), help="Write the record (Parquet).")
def main(
    what: str,
    size: int,
    span: float,
    seed: int,
    view: bool,
    store: bool,
    plot: Path | None,
    save: Path | None,
) -> None:
    """Play WHAT on a fleet and print the results."""
    try:
        if what == "draw":
            steps = schedule.draw(seed, size, span)
        else:
            steps = schedule.read("" if what == "-" else Path(what).read_text(), size)
    except (schedule.ScheduleError, OSError) as error:
        raise click.ClickException(str(error)) from None
    for step in steps:
        click.echo(
            f"{step.at:6.1f} s  {step.what} {' '.join(map(str, step.members))} {step.amount or ''}".rstrip()
        )
    streams = any(step.what in schedule.NEEDS_STREAMS for step in steps)
    boxes = 3 if streams else 2
    with Site(size, view, boxes, seed, store, streams) as site:
        if view:
            click.echo(f"one view after {site.wait_for_agreement(10.0):.2f} s")
        offset = site.now()
        site.run(steps, span)
        settled = site.wait_for_agreement(10.0) if view else 0.0
        table = record(site)
    verdict = quotas(table)
    asked = table.filter(pl.col("what") == "asked")
    ends = ", ".join(f"{row[1]} {row[0]}" for row in asked.group_by("end").len().sort("end").iter_rows())
    click.echo(f"{asked.height} requests: {ends}")
    click.echo(
        f"use {verdict.use:.2f} of an allowance at most, "
        f"{verdict.refused_share:.1%} refused though inside quota"
    )
    if view:
        click.echo(
            f"one view since {membership_agreement(table).since - offset:.1f} s "
            f"({settled:.1f} s after the end)"
        )
    if save is not None:
        table.write_parquet(save)
    if plot is not None:
        from lab.fleet.plot import draw

        draw(table, offset, plot)
    found = [fault for fault in faults(table) if view or not fault.startswith("views")]
    for fault in found or ["every rule held"]:
        click.echo(fault)
    sys.exit(bool(found))


if __name__ == "__main__":
    main()
