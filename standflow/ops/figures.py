"""The figures for operators, formatted as text. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from standflow.exchange import TransactionCounts


@dataclass(slots=True, frozen=True)
class Counts:
    """Counts since the start, except `outstanding`, which is the current number of open requests."""

    by_class: Mapping[str, TransactionCounts]
    forwards: int
    outstanding: int
    sighup_applied: int
    sighup_rejected: int


class Fleet(Protocol):
    """The current membership; `sent`, `taken` and `dropped` are datagrams since the start."""

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
    """What was restored from the store, and the cost of writing it since the start."""

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
    """All figures; those beside the counts are current values."""

    counts: Counts
    discovered: int
    ejected: int
    fleet: Fleet | None = None
    recovery: Recovery | None = None


def text(figures: Figures) -> str:
    """Formats one figure a line as `name=value`."""
    lines, counts = [], figures.counts
    for name, class_counts in sorted(counts.by_class.items()):
        for key in ("succeeded", "declined", "aborted"):
            lines.append(f"results.{name}.{key}={getattr(class_counts, key)}")
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
