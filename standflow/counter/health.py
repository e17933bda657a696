"""How the quota counter fares, from outcomes, latencies and totals alone. No I/O; seconds of one clock.

Nothing tells which part of the counter a name lies on. Names that fail together while others are answered
are taken for one part that is gone; names never move during their life. A state is entered once what speaks
for it has lasted a moment, and left once that has been absent for longer, so a counter that hovers at its
time limit does not flap.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

LIMIT = 0.08  # seconds after which a call is given up
SLOW_FROM, SLOW_UNTIL = 0.75 * LIMIT, 0.5 * LIMIT  # mean seconds of an answer: entered above, left below
ENTER, LEAVE = 0.5, 2.0  # seconds for which a state's signs last, or are absent, before it changes
HEARD = 3.0  # seconds for which a name's last word counts
WEIGHT = 0.1  # of one answer in the mean
MOST = 0.9  # of the names fail: the counter is gone, not a part of it
PART = 0.1  # of the names fail: a part is gone
NAMES = 4096  # names kept at most, the latest


class State(Enum):
    """What a counter is like."""

    GOOD = "good"
    SLOW = "slow"
    PART_GONE = "part_gone"
    GONE = "gone"
    EMPTIED = "emptied"
    DISAGREEING = "disagreeing"


@dataclass(slots=True)
class Name:
    """The last that was heard of a name."""

    at: float
    failed: int = 0  # in a row
    fell: float = float("-inf")  # when its total was last below what it surely held
    rose: float = float("-inf")  # when it was above what was ever put there


@dataclass(slots=True)
class Health:
    """The state of one counter, as one ingress sees it."""

    state: State = State.GOOD
    generation: int = 0  # how often it was found emptied: what was held before counts for nothing after
    mean: float = 0.0  # seconds of an answer
    names: dict[str, Name] = field(default_factory=dict)
    sign: State = State.GOOD  # what the last look spoke for
    since: float = float("-inf")  # from when on it has

    def answered(self, name: str, took: float, now: float) -> None:
        """A call got its answer; a late one counts with the time that it took."""
        self._name(name, now).failed = 0
        self.mean += WEIGHT * (min(took, 2 * LIMIT) - self.mean)

    def failed(self, name: str, now: float) -> None:
        """A call got no answer, or none that tells anything. One turned away is no failure."""
        self._name(name, now).failed += 1

    def fell(self, name: str, now: float) -> None:
        """A total was below what the name surely held: emptied, or another counter."""
        self._name(name, now).fell = now

    def rose(self, name: str, now: float) -> None:
        """A total was above what this ingress, its only writer, ever put there."""
        self._name(name, now).rose = now

    def look(self, now: float) -> State | None:
        """The state that is entered now, or None where it stays as it was."""
        self.names = {key: name for key, name in self.names.items() if now - name.at < HEARD}
        sign = self._sign(now)
        if sign is not self.sign:
            self.sign, self.since = sign, now
        if sign is self.state or now - self.since < (LEAVE if sign is State.GOOD else ENTER):
            return None
        self.state = sign
        if sign is State.EMPTIED:
            self.generation += 1
        return sign

    def failing(self) -> frozenset[str]:
        """The names that fail now: those on a part that is gone, while others are answered."""
        return frozenset(key for key, name in self.names.items() if name.failed > 1)

    def _name(self, key: str, now: float) -> Name:
        name = self.names.pop(key, None) or Name(now)
        name.at = now
        self.names[key] = name  # the latest is last
        if len(self.names) > NAMES:
            del self.names[next(iter(self.names))]
        return name

    def _sign(self, now: float) -> State:
        known = list(self.names.values())
        if not known:
            return self.sign  # nothing was asked: nothing is known
        failing = sum(name.failed > 1 for name in known) / len(known)
        if failing >= MOST:
            return State.GONE
        if failing >= PART:
            return State.PART_GONE
        fell = [name for name in known if now - name.fell < HEARD]
        if any(now - name.rose < HEARD for name in fell):
            return State.DISAGREEING  # two answer for one name, each with its own total
        if fell:
            return State.EMPTIED
        limit = SLOW_UNTIL if self.state is State.SLOW else SLOW_FROM
        return State.SLOW if self.mean > limit else State.GOOD
