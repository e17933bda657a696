"""Counted things: one line every few seconds in place of a line an event."""

from __future__ import annotations

from collections.abc import Callable

from standflow.net.loop import Loop

EVERY = 5.0  # seconds between lines


class Tally:
    """Counts by name since the last line; names come from code, never from outside, so they are few."""

    def __init__(self, loop: Loop, log: Callable[[str], None]) -> None:
        self.loop, self.log = loop, log
        self.counts: dict[str, int] = {}

    def __call__(self, name: str, number: int = 1) -> None:
        """Counts something."""
        self.counts[name] = self.counts.get(name, 0) + number

    def serve(self) -> None:
        """Writes what was counted, now and again and again."""
        self.loop.call_later(EVERY, self.serve)
        self.flush()

    def flush(self) -> None:
        """One line with what was counted since the last; none where there was nothing."""
        if self.counts:
            self.log("tally " + " ".join(f"{name}={number}" for name, number in sorted(self.counts.items())))
            self.counts.clear()
