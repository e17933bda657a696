"""A burst of load on a fleet of which a part has just restarted, in simulated time: `make bench-cold`.

Measures how much cold backends are used. The rule for cold backends allows N requests of mean work in each
window, where N is `fall_multiple` times the capacity that the settings state for the backend at that time;
2 x sqrt(N) + 2 more are tolerated for random variation.
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
CALM_LOAD, BURST_LOAD = 0.5, 0.9  # share of the fleet's capacity
COLD_SHARE = 0.4  # share of the backends that restart cold when the burst begins
BURST_START = 6.0  # seconds of simulated time
DOWN_SECONDS = 1.0  # for which these backends are drained before their restart
MAX_NOTIFY_SECONDS = 1.0  # until the last ingress is notified of the restarts
STEP_SECONDS = 0.25  # between adjustments of the load
SIZES = ((3, 9), (8, 16), (30, 45), (200, 200))  # ingresses, backends


def capacity_of(box: Box, now: float, cold_from: float, cold_time: float) -> float:
    """Core seconds per second that a backend can do according to the settings."""
    age = math.inf if box.entry.started is None else max(0.0, now - box.entry.started)
    return CORES * (1.0 if age >= cold_time else cold_from + (1 - cold_from) * age / cold_time)


@dataclass(slots=True, frozen=True)
class BurstResult:
    """The result of one burst; shares are of the requests that arrived during it."""

    use: float  # mean over windows of the work sent, divided by N
    worst: float  # the fullest window, divided by N + 2 x sqrt(N) + 2
    refused: float  # share refused for lack of capacity
    late: float  # share answered after the latency target (aim) or never
    cold_late: float  # the same share of the requests sent to cold backends


class Burst:
    """Low load, then a restart of some backends and a load that is a given share of the capacity."""

    def __init__(self, gateways: int, backends: int, seed: int = 1, load: float = BURST_LOAD) -> None:
        self.fleet = Fleet(
            gateways, backends, seed, rate=CALM_LOAD * CORES * backends / gateways / MEAN_CORE_SECONDS
        )
        self.load, self.random = load, random.Random(seed)
        self.settings = self.fleet.live[0].settings
        self.cold = [f"b{n}" for n in range(int(COLD_SHARE * backends))]

    def run(self) -> BurstResult:
        """Runs until the end of the cold time."""
        fleet, end = self.fleet, BURST_START + self.settings.cold_time
        fleet.run(BURST_START - DOWN_SECONDS)
        self.drain()
        fleet.run(BURST_START)
        before, requests = fleet.counts.copy(), fleet.requests
        self.restart()
        while fleet.now < end:
            fleet.rate = self.load * self.fleet_capacity() / len(fleet.live) / MEAN_CORE_SECONDS
            fleet.run(fleet.now + STEP_SECONDS)
        counts, requests = fleet.counts - before, fleet.requests - requests
        cold = [fleet.boxes[name] for name in self.cold]
        return BurstResult(
            use=self.mean_use(cold),
            worst=max(self.worst_window(box) for box in cold),
            refused=counts["refused for room"] / requests,
            late=counts["overdue"] / requests,
            cold_late=sum(box.overdue for box in cold) / max(1, sum(len(box.received) for box in cold)),
        )

    def drain(self) -> None:
        """Drains the backends that will be cold; all ingresses are notified at once."""
        listed = [self.fleet.boxes[name].entry for name in self.cold]
        entries = tuple(replace(entry, availability=i.Availability.DRAINING) for entry in listed)
        for number in range(len(self.fleet.live)):
            self.fleet.post(0.0, number, i.BackendsListed(i.ListKind.CHANGES, entries))

    def restart(self) -> None:
        """Restarts their processes; each ingress is notified after a random delay."""
        fleet = self.fleet
        for name in self.cold:
            fleet.boxes[name] = Box(replace(fleet.boxes[name].entry, started=fleet.now))
        entries = tuple(fleet.boxes[name].entry for name in self.cold)
        for number in range(len(fleet.live)):
            listed = i.BackendsListed(i.ListKind.CHANGES, entries)
            fleet.post(self.random.uniform(0.0, MAX_NOTIFY_SECONDS), number, listed)

    def fleet_capacity(self) -> float:
        """Core seconds per second that all backends can do now, according to the settings."""
        s = self.settings
        boxes = self.fleet.boxes.values()
        return sum(capacity_of(box, self.fleet.now, s.cold_from, s.cold_time) for box in boxes)

    def allowance(self, box: Box, now: float) -> float:
        """N for the window that begins at `now`."""
        s = self.settings
        return (
            s.fall_multiple
            * capacity_of(box, now, s.cold_from, s.cold_time)
            * s.fall_window
            / MEAN_CORE_SECONDS
        )

    def mean_use(self, cold: list[Box]) -> float:
        """Mean share of N that was sent to cold backends, in windows that start a quarter window apart."""
        span, last = (
            self.settings.fall_window,
            BURST_START + self.settings.cold_time - self.settings.fall_window,
        )
        shares = []
        for box in cold:
            at = BURST_START + MAX_NOTIFY_SECONDS
            while at < last:
                work = sum(work for when, work in box.received if at <= when < at + span)
                shares.append(work / MEAN_CORE_SECONDS / self.allowance(box, at))
                at += span / 4
        return sum(shares) / len(shares)

    def worst_window(self, box: Box) -> float:
        """The fullest window that begins while the backend is cold, divided by its limit with tolerance."""
        windows = box.windows(
            self.settings.fall_window, MEAN_CORE_SECONDS, BURST_START + self.settings.cold_time
        )
        bounds = ((work, self.allowance(box, at)) for at, work in windows if at >= BURST_START)
        return max((work / (n + 2 * math.sqrt(n) + 2) for work, n in bounds), default=0.0)


def bench() -> int:
    """`make bench-cold`: 3 to 200 ingresses, with a load below and a load above the fleet's capacity."""
    report = Report()
    for load in (BURST_LOAD, 1.3):
        for gateways, backends in SIZES:
            result = Burst(gateways, backends, load=load).run()
            name = f"cold.{gateways}x{backends}.at-{load:g}"
            report.print_figure(f"{name}.use", result.use, "of-N")
            report.print_figure(f"{name}.worst", result.worst, "of-N+2rootN+2", "<=1")
            report.print_figure(f"{name}.refused", result.refused, "of-requests")
            report.print_figure(f"{name}.late", result.late, "of-requests")
            report.print_figure(f"{name}.cold-late", result.cold_late, "of-those-sent-to-cold-ones")
    return report.status


if __name__ == "__main__":
    sys.exit(bench())
