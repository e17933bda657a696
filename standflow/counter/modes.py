"""By what an ingress holds quotas now, and how far use may go beyond them. No I/O; seconds of one clock.

Two witnesses tell of the other ingresses: the ring's datagrams, and the counter. A witness that falls silent
is given up after a moment and trusted again only after a longer one, so that one which hovers does not flap.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from standflow.counter.health import State

GIVEN_UP = 1.0  # seconds of silence after which a witness counts for nothing
TRUSTED = 2.0  # seconds for which it speaks again before it counts
CALM = 0.05  # of the calls are made where the ring tells the same as the counter could
WINDOW = 10.0  # seconds over which use is held against the allowance
MISS = 0.01  # part of the tellings that may come later than the bound takes for granted

USABLE = frozenset({State.GOOD, State.PART_GONE, State.EMPTIED})  # what the others put there is read in time


class Mode(Enum):
    """The witnesses that speak."""

    BOTH = "both"
    RING = "ring"
    COUNTER = "counter"
    NEITHER = "neither"


MODES = {(True, True): Mode.BOTH, (True, False): Mode.RING, (False, True): Mode.COUNTER}


@dataclass(slots=True)
class Side:
    """One witness: whether it counts, and since when what was seen of it has spoken against that."""

    counts: bool = False
    against: float = -math.inf  # at first one word is enough

    def look(self, speaks: bool, now: float) -> None:
        """What was seen of it just now."""
        if speaks is self.counts:
            self.against = math.inf
            return
        self.against = min(self.against, now)
        if now - self.against >= (GIVEN_UP if self.counts else TRUSTED):
            self.counts, self.against = speaks, math.inf


class ModeTracker:
    """The mode of one ingress; it begins with neither."""

    def __init__(self, epoch: float, now: float) -> None:
        """`epoch`: seconds between tellings of the ring; four without a word are silence."""
        self.ring, self.counter, self.quiet, self.began = Side(), Side(), 4 * epoch, now
        self.mode = Mode.NEITHER
        self.whole = False  # all others are heard

    def look(self, heard: Iterable[float], counter: State, now: float) -> Mode | None:
        """`heard`: when each other ingress was heard last. The mode entered now, or None."""
        speaks = [now - at < self.quiet for at in heard]
        self.ring.look(any(speaks), now)
        self.whole = all(speaks)
        self.counter.look(counter in USABLE, now)
        mode = MODES.get((self.ring.counts, self.counter.counts), Mode.NEITHER)
        if mode is self.mode:
            return None
        self.mode = mode
        return mode

    def share(self, now: float) -> float:
        """The part of the calls that is of use: all after a start, for what an earlier life let in, and while
        any other ingress is silent.
        """
        return CALM if self.ring.counts and self.whole and now - self.began >= WINDOW else 1.0


@dataclass(slots=True, frozen=True)
class Fleet:
    """What the bound follows from; seconds, units and units a second."""

    rate: float
    burst: float
    members: int  # of a customer's set
    asked: float  # the most that a customer asks for a second within that age, through all members
    epoch: float  # of the ring
    every: float  # between rounds of calls of the counter
    delay: float = 0.0  # of a datagram, or of a call's answer
    loss: float = 0.0  # part of the datagrams
    least: float = 1.0  # units that one ingress lets in while it hears of nobody
    allowance: float = 0.1  # of an even share, the same


def age(mode: Mode, fleet: Fleet) -> float:
    """Seconds after which what one member let in is known to all others; infinite with no witness."""
    # A place is told twice at each of the ring's hops: so many tellings until one has come through.
    tries = 1 if fleet.loss <= MISS else math.ceil(math.log(MISS) / math.log(min(fleet.loss, 0.999)))
    ring = (fleet.members - 1) * (tries * fleet.epoch + fleet.delay)
    counter = 2 * (fleet.every + fleet.delay)  # written in one round, read in the next
    return {
        Mode.BOTH: min(ring, counter),
        Mode.RING: ring,
        Mode.COUNTER: counter,
        Mode.NEITHER: math.inf,
    }[mode]


def bound(mode: Mode, fleet: Fleet) -> float:
    """The most that a customer's use over any WINDOW reaches, as a part of burst + WINDOW * rate.

    A member lets in what fits under what it knows, so the level goes beyond the burst by what the others let
    in unseen: at most what was asked for in that time, or a burst for each. ValueError without a rate.
    """
    if fleet.rate <= 0:
        raise ValueError("a plan without a rate has no quota to go beyond")
    allowed = fleet.burst + WINDOW * fleet.rate
    if mode is Mode.NEITHER:
        alone = max(fleet.least, fleet.allowance * fleet.burst / fleet.members)
        return (fleet.members * alone + WINDOW * fleet.rate) / allowed
    unseen = min((fleet.members - 1) * fleet.burst, fleet.asked * age(mode, fleet))
    return 1 + unseen / allowed
