"""The figures that operators fetch: typed values to text. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from standflow.exchange import TransactionCounts


@dataclass(slots=True, frozen=True)
class Counts:
    """Counts since the start, but for `outstanding`, which is of now."""

    by_class: Mapping[str, TransactionCounts]  # by class
    forwards: int
    outstanding: int
    sighup_applied: int
    sighup_rejected: int


class Fleet(Protocol):
    """The view of the fleet, of now; `sent`, `taken` and `dropped` are datagrams since the start."""

    @property
    def present(self) -> int: ...
    @property
    def suspected(self) -> int: ...
    @property
    def settled_ms(self) -> int: ...
    @property
    def sent(self) -> int: ...
    @property
    def taken(self) -> int: ...
    @property
    def dropped(self) -> int: ...


class Recovery(Protocol):
    """What the store gave back, and what it costs since the start."""

    @property
    def stage(self) -> str: ...
    @property
    def trusted(self) -> int: ...
    @property
    def assumed(self) -> int: ...
    @property
    def spoilt(self) -> int: ...
    @property
    def written(self) -> int: ...
    @property
    def syncs(self) -> int: ...


@dataclass(slots=True, frozen=True)
class Figures:
    """All that is shown; what stands beside the counts is of now."""

    counts: Counts
    discovered: int
    ejected: int
    fleet: Fleet | None = None
    recovery: Recovery | None = None


def text(figures: Figures) -> str:
    """One figure a line, `name=value`."""
    lines, counts = [], figures.counts
    for name, ends in sorted(counts.by_class.items()):
        for key in ("succeeded", "declined", "aborted"):
            lines.append(f"results.{name}.{key}={getattr(ends, key)}")
    for key, value in (
        ("forwards", counts.forwards),
        ("outstanding", counts.outstanding),
        ("discovered", figures.discovered),
        ("ejected", figures.ejected),
        ("sighup_applied", counts.sighup_applied),
        ("sighup_rejected", counts.sighup_rejected),
    ):
        lines.append(f"{key}={value}")
    if figures.fleet is not None:
        for key in ("present", "suspected", "settled_ms", "sent", "taken", "dropped"):
            lines.append(f"fleet.{key}={getattr(figures.fleet, key)}")
    if figures.recovery is not None:
        for key in ("stage", "trusted", "assumed", "spoilt", "written", "syncs"):
            lines.append(f"recovery.{key}={getattr(figures.recovery, key)}")
    return "\n".join(lines) + "\n"
