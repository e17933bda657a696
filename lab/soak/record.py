"""The columnar record of a run: all that the checks read. Times are seconds since the run's begin.

A row is a request (`asked`), a connection of a client (`connection`), a request that came whole to a backend
(`came`), a life of an ingress (`life`), a signal (`signal`), a trouble of a backend (`backend`), a word of
discovery (`drain`, `back`), a time without discovery (`silence`), or a moment at which the soak's own clients
or the ingress had no processor for long (`starved`).
"""

from __future__ import annotations

from dataclasses import dataclass

import polars as pl

SCHEMA = {
    "what": pl.String,
    "t": pl.Float64,
    "until": pl.Float64,  # of the answer, the connection's end, the life's end, a backend's reading
    "member": pl.Int64,
    "life": pl.Int64,
    "connection": pl.Int64,
    "ident": pl.String,
    "tenant": pl.Int64,
    "safe": pl.Boolean,
    "seconds": pl.Float64,  # that the client waits, or that a backend was told
    "end": pl.String,
    "backend": pl.Int64,
    "detail": pl.String,
}


@dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """One row; see the module's page for what is set where."""

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


def table(rows: list[Row]) -> pl.DataFrame:
    """The rows by their time."""
    values = [[getattr(row, name) for name in SCHEMA] for row in rows]
    return pl.DataFrame(values, schema=SCHEMA, orient="row").sort("t", maintain_order=True)
