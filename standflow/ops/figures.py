"""The figures that operators fetch: typed values to text. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from standflow.exchange import Ends


@dataclass(slots=True, frozen=True)
class Figures:
    """All that is shown; counts but for `outstanding`, `discovered` and `ejected`, which are of now."""

    ends: Mapping[str, Ends]  # by class
    forwards: int
    outstanding: int
    discovered: int
    ejected: int
    sighup_applied: int
    sighup_rejected: int


def text(figures: Figures) -> str:
    """One figure a line, `name=value`."""
    lines = []
    for name, ends in sorted(figures.ends.items()):
        for key in ("succeeded", "declined", "aborted"):
            lines.append(f"results.{name}.{key}={getattr(ends, key)}")
    for key in (
        "forwards",
        "outstanding",
        "discovered",
        "ejected",
        "sighup_applied",
        "sighup_rejected",
    ):
        lines.append(f"{key}={getattr(figures, key)}")
    return "\n".join(lines) + "\n"
