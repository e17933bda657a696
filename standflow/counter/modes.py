"""The sources that an ingress uses to enforce quotas, and the bound on use beyond them. No I/O.

The use by other ingresses is known from two sources: peer messages on the ring, and the counter. A source
that fails is dropped after a short time and used again only after a longer one, so that it does not flap.
Times are in seconds on one clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from standflow.counter.health import State

FAIL_SECONDS = 1.0  # for which a source fails before it is dropped
RECOVER_SECONDS = 2.0  # for which it works again before it is used
CROSS_CHECK_SHARE = 0.05  # of the calls, while the ring reports everything that the counter could
WINDOW_SECONDS = 10.0  # over which use is compared with the allowance
MISS_PROBABILITY = 0.01  # accepted for a report to arrive later than the bound assumes

# In these states the registers of other ingresses are read in time.
USABLE_STATES = frozenset({State.HEALTHY, State.PARTLY_UNREACHABLE, State.EMPTIED})


class Mode(Enum):
    """The sources in use."""

    BOTH = "both"
    RING = "ring"
    COUNTER = "counter"
    NEITHER = "neither"


MODES = {(True, True): Mode.BOTH, (True, False): Mode.RING, (False, True): Mode.COUNTER}


@dataclass(slots=True)
class Source:
    """Whether one source is in use, and since when observations contradict that."""

    in_use: bool = False
    contradicted_since: float = -math.inf  # the first observation of a working source is enough

    def update(self, working: bool, now: float) -> None:
        """Records whether the source works now."""
        if working is self.in_use:
            self.contradicted_since = math.inf
            return
        self.contradicted_since = min(self.contradicted_since, now)
        if now - self.contradicted_since >= (FAIL_SECONDS if self.in_use else RECOVER_SECONDS):
            self.in_use, self.contradicted_since = working, math.inf


class ModeTracker:
    """The mode of one ingress, NEITHER at first."""

    def __init__(self, epoch: float, now: float) -> None:
        """`epoch`: seconds between ring messages. A member is silent after four epochs without one."""
        self.ring, self.counter, self.silence_limit, self.started_at = Source(), Source(), 4 * epoch, now
        self.mode = Mode.NEITHER
        self.all_members_seen = False  # none is silent

    def update(self, last_received: Iterable[float], counter: State, now: float) -> Mode | None:
        """Returns the mode entered now, or None. `last_received`: by other ingress, its last ring message."""
        recent = [now - at < self.silence_limit for at in last_received]
        self.ring.update(any(recent), now)
        self.all_members_seen = all(recent)
        self.counter.update(counter in USABLE_STATES, now)
        mode = MODES.get((self.ring.in_use, self.counter.in_use), Mode.NEITHER)
        if mode is self.mode:
            return None
        self.mode = mode
        return mode

    def call_share(self, now: float) -> float:
        """The fraction of the configured calls to make.

        All of them are made after a start, to learn what the previous run admitted, and while any other
        ingress is silent.
        """
        return (
            CROSS_CHECK_SHARE
            if self.ring.in_use and self.all_members_seen and now - self.started_at >= WINDOW_SECONDS
            else 1.0
        )


@dataclass(slots=True, frozen=True)
class FleetParameters:
    """The inputs of the bound: seconds, units, and units per second."""

    rate: float
    burst: float
    members: int  # of a tenant's ring
    demand: float  # the most units per second that a tenant requests through all members, over the age
    epoch: float  # of the ring
    call_interval: float  # between rounds of counter calls
    delay: float = 0.0  # of a datagram, or of a call's answer
    loss: float = 0.0  # fraction of the datagrams
    min_units: float = 1.0  # that one ingress admits without any source
    allowance: float = 0.1  # of an even share of the burst, likewise


def report_age(mode: Mode, fleet: FleetParameters) -> float:
    """Seconds until all members know what one of them admitted; infinite without any source."""
    # A count is sent twice over each hop of the ring; this is the number of sends until one arrives.
    tries = (
        1
        if fleet.loss <= MISS_PROBABILITY
        else math.ceil(math.log(MISS_PROBABILITY) / math.log(min(fleet.loss, 0.999)))
    )
    ring = (fleet.members - 1) * (tries * fleet.epoch + fleet.delay)
    counter = 2 * (fleet.call_interval + fleet.delay)  # written in one round of calls, read in the next
    return {
        Mode.BOTH: min(ring, counter),
        Mode.RING: ring,
        Mode.COUNTER: counter,
        Mode.NEITHER: math.inf,
    }[mode]


def use_bound(mode: Mode, fleet: FleetParameters) -> float:
    """The bound on a tenant's use over any window, as a fraction of burst + window * rate.

    A member admits what fits under the use known to it. The level therefore exceeds the burst by what others
    have admitted without its knowledge, which is limited by the demand in that time and by one burst for each
    other member. Raises ValueError without a rate.
    """
    if fleet.rate <= 0:
        raise ValueError("a plan without a rate has no quota to exceed")
    allowed = fleet.burst + WINDOW_SECONDS * fleet.rate
    if mode is Mode.NEITHER:
        alone = max(fleet.min_units, fleet.allowance * fleet.burst / fleet.members)
        return (fleet.members * alone + WINDOW_SECONDS * fleet.rate) / allowed
    unseen = min((fleet.members - 1) * fleet.burst, fleet.demand * report_age(mode, fleet))
    return 1 + unseen / allowed
