"""The columnar record of a run, the only input of the checks. Times are seconds since the start of the run.

A row is a request (`asked`), a client connection (`connection`), a complete request received by a backend
(`came`), a process run of an ingress (`life`), a signal (`signal`), a backend fault (`backend`), a phase
change in discovery (`drain`, `back`), a discovery outage (`silence`), a time during which the soak's own
threads were not scheduled (`starved`), an interval with what the machine's host took of all processors
(`stolen`), an interval of a process with what it got of the processors (`scheduled`), a step that a
process logged in its shutdown (`step`), or the first call of a process to discovery (`discovery`).
"""

from __future__ import annotations

from dataclasses import dataclass

import polars as pl

SCHEMA = {
    "what": pl.String,
    "t": pl.Float64,
    "until": pl.Float64,  # time of the answer, of the close, of the exit, or of the backend's read
    "member": pl.Int64,
    "life": pl.Int64,
    "connection": pl.Int64,
    "ident": pl.String,
    "tenant": pl.Int64,
    "safe": pl.Boolean,
    "seconds": pl.Float64,  # the client's timeout, or the remaining time sent to a backend
    "end": pl.String,
    "backend": pl.Int64,
    "detail": pl.String,
    "processor": pl.Float64,  # seconds in an interval
    "wait": pl.Float64,  # seconds in which the process could run and had no processor
    "longest_wait": pl.Float64,  # at one time, at least
}


@dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """One row; the module docstring lists the kinds."""

    what: str
    t: float
    until: float | None = None
    member: int | None = None
    life: int | None = None
    connection: int | None = None
    ident: str | None = None
    tenant: int | None = None
    safe: bool | None = None
    seconds: float | None = None
    end: str | None = None
    backend: int | None = None
    detail: str | None = None
    processor: float | None = None
    wait: float | None = None
    longest_wait: float | None = None


def table(rows: list[Row]) -> pl.DataFrame:
    """Builds the table, ordered by time."""
    values = [[getattr(row, name) for name in SCHEMA] for row in rows]
    return pl.DataFrame(values, schema=SCHEMA, orient="row").sort("t", maintain_order=True)
