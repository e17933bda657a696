"""Judges a soak run: whether an ingress broke a rule, or the machine held it up for too long.

The platform terms allow an ingress to be paused for `MAX_PAUSE_SECONDS` at any one time. Where the record
shows a longer wait for a processor, what the rules say of that process run proves nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import polars as pl

from lab.soak.checks import rule_violations, violations_in_spite_of_pauses
from lab.soak.plan import MAX_PAUSE_SECONDS, Run

MAX_UNJUDGED_SHARE = 0.1  # of the seeds of a soak

ProcessRunId = tuple[int, int]  # member and number of the process run


class Outcome(Enum):
    """The outcome of a run; the values are exit statuses."""

    HELD = 0
    FAILED = 1
    NOT_JUDGED = 3


@dataclass(slots=True, frozen=True)
class Judgement:
    """The outcome of a run, the rules that it broke and the evidence on processes that were killed."""

    outcome: Outcome
    violations: list[str]
    evidence: list[str]


def judge(run: Run, table: pl.DataFrame) -> Judgement:
    """Judges a run by its record."""
    violations = rule_violations(run, table)
    if not violations:
        return Judgement(Outcome.HELD, [], [])
    evidence = [line for one in _killed(table) for line in shutdown_evidence(table, one)]
    held_up = held_up_process_runs(table)
    rest = rule_violations(run, _without(table, held_up)) + violations_in_spite_of_pauses(table)
    outcome = Outcome.NOT_JUDGED if held_up and not rest else Outcome.FAILED
    return Judgement(outcome, violations, evidence)


def held_up_process_runs(table: pl.DataFrame) -> set[ProcessRunId]:
    """Process runs that were killed and had waited too long for a processor since SIGTERM."""
    waits = _rows(table, "scheduled").filter(pl.col("longest_wait") > MAX_PAUSE_SECONDS)
    return {
        one
        for one in _killed(table)
        if _of(waits, one).filter(pl.col("until") > _terminated_at(table, one)).height
    }


def shutdown_evidence(table: pl.DataFrame, one: ProcessRunId) -> list[str]:
    """The steps that a process logged in its shutdown, and what it got of the processors from SIGTERM on."""
    zero = _terminated_at(table, one)
    steps = _of(_rows(table, "step"), one)
    lines = [f"n{one[0]} life {one[1]} {row['t'] - zero:.3f} {row['detail']}" for row in steps.to_dicts()]
    samples = _of(_rows(table, "scheduled"), one).filter(pl.col("until") > zero).to_dicts()
    longest = max((row["longest_wait"] for row in samples), default=0.0)
    parts = [
        f"{row['t'] - zero:.2f}:{1000 * row['wait']:.0f}/{1000 * row['processor']:.0f}" for row in samples
    ]
    name = f"n{one[0]} life {one[1]} from SIGTERM on"
    longest_sample = max((row["until"] - row["t"] for row in samples), default=0.0)
    starved = _rows(table, "starved").filter(pl.col("until") > zero).to_dicts()
    late = max((row["until"] - row["t"] for row in starved), default=0.0)
    stolen = _rows(table, "stolen").filter(pl.col("until") > zero).to_dicts()
    steal = max((row["wait"] for row in stolen), default=0.0)
    return [
        *lines,
        f"{name}, longest wait {longest:.3f} s, longest sample {longest_sample:.3f} s,"
        f" the soak was late by up to {late:.3f} s,"
        f" the host took up to {steal:.3f} s of the processors in a sample;"
        f" ms of wait/processor: {' '.join(parts)}",
    ]


def _rows(table: pl.DataFrame, what: str) -> pl.DataFrame:
    return table.filter(pl.col("what") == what)


def _of(table: pl.DataFrame, one: ProcessRunId) -> pl.DataFrame:
    return table.filter((pl.col("member") == one[0]) & (pl.col("life") == one[1]))


def _killed(table: pl.DataFrame) -> list[ProcessRunId]:
    killed = _rows(table, "life").filter(pl.col("end") == "killed")
    return [(row["member"], row["life"]) for row in killed.iter_rows(named=True)]


def _terminated_at(table: pl.DataFrame, one: ProcessRunId) -> float:
    sent = _of(_rows(table, "signal"), one).filter(pl.col("detail") == "SIGTERM")["t"].min()
    return float(sent) if isinstance(sent, float) else 0.0


def _without(table: pl.DataFrame, process_runs: set[ProcessRunId]) -> pl.DataFrame:
    """The record without these process runs and their requests."""
    for one in process_runs:
        idents = _of(_rows(table, "asked"), one)["ident"].to_list()
        of_run = (pl.col("member") == one[0]) & (pl.col("life") == one[1])
        arrived = (pl.col("what") == "came") & pl.col("ident").is_in(idents)
        table = table.filter(~(of_run.fill_null(False) | arrived))
    return table
