"""Health of the quota counter, judged by the results, latencies and totals of calls alone. No I/O.

The counter is partitioned, and nothing tells which partition holds a name. Names that fail together while
others are answered are taken to be on an unreachable partition; a name never moves during its lifetime.

A state is entered after its signs have persisted for a short time, and left after they have been absent for a
longer time, so that a counter close to a threshold does not flap. Times are in seconds on one clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

CALL_TIMEOUT_SECONDS = 0.08
# Mean latency: the slow state is entered above the first, and left below the second.
SLOW_ABOVE_SECONDS, SLOW_UNTIL_SECONDS = 0.75 * CALL_TIMEOUT_SECONDS, 0.5 * CALL_TIMEOUT_SECONDS
ENTER_SECONDS, RECOVER_SECONDS = 0.5, 2.0  # how long the signs last, or are absent, before the state changes
NAME_EXPIRY_SECONDS = 3.0  # after the last result of a name
EWMA_WEIGHT = 0.1  # of one latency in the moving average
UNREACHABLE_FRACTION = 0.9  # of the names fail: the whole counter is unreachable
PARTITION_FRACTION = 0.1  # of the names fail: a partition is unreachable
MAX_NAMES = 4096  # the most recent ones are kept


class State(Enum):
    """The state of a counter."""

    HEALTHY = "good"
    SLOW = "slow"
    PARTLY_UNREACHABLE = "part_gone"
    UNREACHABLE = "gone"
    EMPTIED = "emptied"
    INCONSISTENT = "disagreeing"


@dataclass(slots=True)
class NameStatus:
    """The most recent results for one name."""

    last_seen: float
    consecutive_failures: int = 0
    shortfall_at: float = float("-inf")  # when the total was last below its confirmed value
    excess_at: float = float("-inf")  # when the total was last above everything ever added


@dataclass(slots=True)
class Health:
    """The state of one counter, as seen by one ingress."""

    state: State = State.HEALTHY
    generation: int = 0  # how often the counter was found emptied, which invalidates earlier totals
    mean_latency: float = 0.0  # seconds
    names: dict[str, NameStatus] = field(default_factory=dict)
    observed: State = State.HEALTHY  # the state that the signs point to
    observed_since: float = float("-inf")

    def record_answer(self, name: str, latency: float, now: float) -> None:
        """Records an answered call. A late answer counts with its full latency."""
        self._status(name, now).consecutive_failures = 0
        self.mean_latency += EWMA_WEIGHT * (min(latency, 2 * CALL_TIMEOUT_SECONDS) - self.mean_latency)

    def record_failure(self, name: str, now: float) -> None:
        """Records a call without a usable answer. A call rejected as overloaded is not a failure."""
        self._status(name, now).consecutive_failures += 1

    def record_shortfall(self, name: str, now: float) -> None:
        """Records a total below its confirmed value: the counter was emptied, or is another one."""
        self._status(name, now).shortfall_at = now

    def record_excess(self, name: str, now: float) -> None:
        """Records a total above everything that this ingress, its only writer, has ever added."""
        self._status(name, now).excess_at = now

    def update(self, now: float) -> State | None:
        """Returns the state that is entered now, or None if it does not change."""
        self.names = {
            key: name for key, name in self.names.items() if now - name.last_seen < NAME_EXPIRY_SECONDS
        }
        observed = self._observe(now)
        if observed is not self.observed:
            self.observed, self.observed_since = observed, now
        if observed is self.state or now - self.observed_since < (
            RECOVER_SECONDS if observed is State.HEALTHY else ENTER_SECONDS
        ):
            return None
        self.state = observed
        if observed is State.EMPTIED:
            self.generation += 1
        return observed

    def failing_names(self) -> frozenset[str]:
        """The names that fail now: those on an unreachable partition, while others are answered."""
        return frozenset(key for key, name in self.names.items() if name.consecutive_failures > 1)

    def _status(self, key: str, now: float) -> NameStatus:
        name = self.names.pop(key, None) or NameStatus(now)
        name.last_seen = now
        self.names[key] = name  # keeps the dict ordered by last use
        if len(self.names) > MAX_NAMES:
            del self.names[next(iter(self.names))]
        return name

    def _observe(self, now: float) -> State:
        known = list(self.names.values())
        if not known:
            return self.observed  # without calls there is no evidence
        failing = sum(name.consecutive_failures > 1 for name in known) / len(known)
        if failing >= UNREACHABLE_FRACTION:
            return State.UNREACHABLE
        if failing >= PARTITION_FRACTION:
            return State.PARTLY_UNREACHABLE
        short = [name for name in known if now - name.shortfall_at < NAME_EXPIRY_SECONDS]
        if any(now - name.excess_at < NAME_EXPIRY_SECONDS for name in short):
            return State.INCONSISTENT  # two counters answer for one name, each with its own total
        if short:
            return State.EMPTIED
        limit = SLOW_UNTIL_SECONDS if self.state is State.SLOW else SLOW_ABOVE_SECONDS
        return State.SLOW if self.mean_latency > limit else State.HEALTHY
