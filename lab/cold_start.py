"""A burst on a fleet of which a part has just started, in simulated time: how far cold next hops are used.

The rule on cold next hops grants N requests of mean work in each window, N being the stated multiple of what
the settings say that the next hop can do then; 2 x root of N + 2 more are left to chance. `make bench-cold`.
"""

from __future__ import annotations

import math
import random
import sys
from dataclasses import dataclass, replace

from hoistfold import interface as i
from lab.report import Report
from lab.vast import CORE_SECONDS, CORES, Box, Fleet

# For the mix of requests that Fleet sends.
MEAN_CORE_SECONDS = 0.82 * CORE_SECONDS["view"] + 0.18 * CORE_SECONDS["change"]
CALM, BURST = 0.5, 0.9  # of what the fleet can do
COLD_PART = 0.4  # of the next hops are back cold at the beginning of the burst
BEGIN = 6.0  # when the burst begins
GONE_FOR = 1.0  # seconds for which those next hops are away before
TOLD_WITHIN = 1.0  # seconds until the last ingress hears of the starts
STEP = 0.25  # seconds between adjustments of the load, and between the windows that use is averaged over
SIZES = ((3, 9), (8, 16), (30, 45), (200, 200))  # ingresses, next hops


def capacity(box: Box, now: float, cold_from: float, cold_time: float) -> float:
    """Seconds of work a second that a next hop surely does, by the settings."""
    age = math.inf if box.entry.started is None else max(0.0, now - box.entry.started)
    return CORES * (1.0 if age >= cold_time else cold_from + (1 - cold_from) * age / cold_time)


@dataclass(slots=True, frozen=True)
class Measured:
    """What one burst did; shares are of the requests that came during it."""

    use: float  # mean of what was sent in a window by N
    worst: float  # the fullest window by N + 2 x root of N + 2
    refused: float  # share refused for room
    late: float  # share answered after its aim or never
    cold_late: float  # the same of what was sent to cold next hops


class Burst:
    """Calm first; then some next hops are back cold, and the load is a stated part of what all can do."""

    def __init__(self, gateways: int, backends: int, seed: int = 1, load: float = BURST) -> None:
        self.fleet = Fleet(
            gateways, backends, seed, rate=CALM * CORES * backends / gateways / MEAN_CORE_SECONDS
        )
        self.load, self.random = load, random.Random(seed)
        self.settings = self.fleet.live[0].settings
        self.cold = [f"b{n}" for n in range(int(COLD_PART * backends))]

    def play(self) -> Measured:
        """Up to the end of the cold time."""
        fleet, end = self.fleet, BEGIN + self.settings.cold_time
        fleet.run(BEGIN - GONE_FOR)
        self.drain()
        fleet.run(BEGIN)
        before, requests = fleet.counts.copy(), fleet.requests
        self.restart()
        while fleet.now < end:
            fleet.rate = self.load * self.able() / len(fleet.live) / MEAN_CORE_SECONDS
            fleet.run(fleet.now + STEP)
        counts, requests = fleet.counts - before, fleet.requests - requests
        cold = [fleet.boxes[name] for name in self.cold]
        return Measured(
            use=self.use(cold),
            worst=max(self.worst(box) for box in cold),
            refused=counts["refused for room"] / requests,
            late=counts["overdue"] / requests,
            cold_late=sum(box.overdue for box in cold) / max(1, sum(len(box.received) for box in cold)),
        )

    def drain(self) -> None:
        """The next hops that are to be cold leave; all ingresses are told at once."""
        listed = [self.fleet.boxes[name].entry for name in self.cold]
        entries = tuple(replace(entry, availability=i.Availability.DRAINING) for entry in listed)
        for number in range(len(self.fleet.live)):
            self.fleet.post(0.0, number, i.BackendsListed(i.ListKind.CHANGES, entries))

    def restart(self) -> None:
        """Their processes begin anew; each ingress hears of it in its own time."""
        fleet = self.fleet
        for name in self.cold:
            fleet.boxes[name] = Box(replace(fleet.boxes[name].entry, started=fleet.now))
        entries = tuple(fleet.boxes[name].entry for name in self.cold)
        for number in range(len(fleet.live)):
            told = i.BackendsListed(i.ListKind.CHANGES, entries)
            fleet.post(self.random.uniform(0.0, TOLD_WITHIN), number, told)

    def able(self) -> float:
        """Seconds of work a second that the fleet surely does now."""
        s = self.settings
        boxes = self.fleet.boxes.values()
        return sum(capacity(box, self.fleet.now, s.cold_from, s.cold_time) for box in boxes)

    def allowed(self, box: Box, now: float) -> float:
        """N of the window that begins now."""
        s = self.settings
        return (
            s.fall_multiple * capacity(box, now, s.cold_from, s.cold_time) * s.fall_window / MEAN_CORE_SECONDS
        )

    def use(self, cold: list[Box]) -> float:
        """The mean over next hops and over windows that begin one after the other."""
        span, last = self.settings.fall_window, BEGIN + self.settings.cold_time - self.settings.fall_window
        shares = []
        for box in cold:
            at = BEGIN + TOLD_WITHIN
            while at < last:
                work = sum(work for when, work in box.received if at <= when < at + span)
                shares.append(work / MEAN_CORE_SECONDS / self.allowed(box, at))
                at += span / 4
        return sum(shares) / len(shares)

    def worst(self, box: Box) -> float:
        """The fullest of all windows that begin while it is cold, by what makes it fall."""
        windows = box.windows(self.settings.fall_window, MEAN_CORE_SECONDS, BEGIN + self.settings.cold_time)
        bounds = ((work, self.allowed(box, at)) for at, work in windows if at >= BEGIN)
        return max((work / (n + 2 * math.sqrt(n) + 2) for work, n in bounds), default=0.0)


def bench() -> int:
    """`make bench-cold`: sizes from 3 to 200 ingresses, at the burst's load and beyond all that is there."""
    report = Report()
    for load in (BURST, 1.3):
        for gateways, backends in SIZES:
            found = Burst(gateways, backends, load=load).play()
            name = f"cold.{gateways}x{backends}.at-{load:g}"
            report.print_figure(f"{name}.use", found.use, "of-N")
            report.print_figure(f"{name}.worst", found.worst, "of-N+2rootN+2", "<=1")
            report.print_figure(f"{name}.refused", found.refused, "of-requests")
            report.print_figure(f"{name}.late", found.late, "of-requests")
            report.print_figure(f"{name}.cold-late", found.cold_late, "of-those-sent-to-cold-ones")
    return report.status


if __name__ == "__main__":
    sys.exit(bench())
