"""Event counts, logged as one or two lines every few seconds instead of a line per event."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from standflow.net.loop import Loop

INTERVAL_SECONDS = 5.0  # between lines
MAX_HOPS = 100  # next hops on a line, the busiest; a log line holds 8,000 bytes


class Tally:
    """Counts since the last lines. Names come from the code and hops from the route set, so they are few."""

    def __init__(self, loop: Loop, log: Callable[[str], None]) -> None:
        self.loop, self.log = loop, log
        self.counts: dict[str, int] = {}
        self.hops: dict[str, dict[str, int]] = {}  # attempts, by next hop and outcome
        self.open: Callable[[], Mapping[str, int]] = dict  # established connections, by next hop

    def __call__(self, name: str) -> None:
        """Counts an event."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def attempt(self, hop: str, outcome: str) -> None:
        """Counts an attempt that ended."""
        ended = self.hops.setdefault(hop, {})
        ended[outcome] = ended.get(outcome, 0) + 1

    def serve(self) -> None:
        """Writes the counts now and then periodically."""
        self.loop.every(INTERVAL_SECONDS, self.flush)
        self.flush()

    def flush(self) -> None:
        """Writes what was counted since the last lines, and the open connections; nothing if all is zero."""
        counts, hops = self.counts, self.hops
        self.counts, self.hops = {}, {}
        for ended in hops.values():
            for outcome, number in ended.items():
                counts[f"branch.{outcome}"] = counts.get(f"branch.{outcome}", 0) + number
        if counts:
            self.log("tally " + " ".join(f"{name}={number}" for name, number in sorted(counts.items())))
        for hop, number in self.open().items():
            hops.setdefault(hop, {})["open"] = number
        busiest = sorted(hops, key=lambda hop: (-sum(hops[hop].values()), hop))[:MAX_HOPS]
        if busiest:
            fields = (
                ",".join(f"{name}:{number}" for name, number in sorted(hops[hop].items())) for hop in busiest
            )
            self.log("hops " + " ".join(f"{hop}={field}" for hop, field in zip(busiest, fields, strict=True)))
