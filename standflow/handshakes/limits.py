"""When a handshake with a next hop may begin. No I/O; times are seconds of one clock, given as arguments.

While a next hop is cold, turns hold (turns.py). Once it is warm, this ingress's even part of the stated share
is a bucket. A failure is followed by a pause, longer each time and drawn at random, so that no two ingresses
knock in step. At a cold next hop one handshake is out at once: one that takes long says that there is less
to be had than was thought.

A next hop whose last connection was lost, or that will not take a session up again, may have been restarted
long before the route set says so. From then on it is in doubt: it counts as just started, until the route set
tells of a start, a session is taken up again after all, or the time to get warm has passed since it answered.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from enum import Enum

from standflow.config.model import HandshakeOptions
from standflow.handshakes.costs import Costs
from standflow.handshakes.time_slots import TimeSlots, WallClockSlots, WarmUp

BUCKET_SECONDS = 1.0  # seconds' worth that a warm next hop's bucket holds
MAX_IN_FLIGHT = 8  # handshakes out at once at a warm next hop, from here


class Decision(Enum):
    """What the limits say of a handshake that is wanted now."""

    ALLOW = "go"
    DEFER = "later"  # the next hop is well, its share is used up for now
    BACK_OFF = "failing"  # the last ones failed and the pause is not over


@dataclass(slots=True)
class _HopState:
    kind: str
    up: float  # when it started, as the route set has it; -inf for long ago
    last_slot: int = -1  # the last turn that is used or was on when it became known
    tokens: float = math.inf
    at: float = 0.0
    in_flight: dict[bool, int] = field(default_factory=lambda: {True: 0, False: 0})
    failures: int = 0
    backoff_until: float = -math.inf
    restart_suspected: bool = False
    suspected_until: float = math.inf  # once it has answered
    last_wall_slot: int = -1  # the last blind turn that is used


class Limits:
    """The limits of one ingress on its handshakes with all next hops."""

    def __init__(
        self,
        options: HandshakeOptions,
        warm_up: WarmUp,
        ingresses: int,
        number: int,
        rng: random.Random,
        wall_offset: float = 0.0,
    ) -> None:
        """`clock`: what is to be added to a time given here for Unix time, the same at all ingresses."""
        self.wall_offset = wall_offset
        self.options, self.warm_up, self.rng = options, warm_up, rng
        self.ingresses, self.number = ingresses, number
        self.sharers = ingresses  # of a warm next hop's share: fewer where a view of the fleet says so
        self.costs = Costs(options.cost, options.resumed_cost)
        self.hops: dict[str, _HopState] = {}

    def update_hop(self, hop: str, kind: str, up: float | None, now: float) -> None:
        """A next hop is there and has started at a time (None: long ago); again when anything changes."""
        start = -math.inf if up is None else up
        known = self.hops.get(hop)
        if known is not None and known.up == start:
            known.kind = kind
            return
        created = self.hops[hop] = _HopState(kind, start, at=now)
        if known is not None:
            created.in_flight = known.in_flight  # those still end, and tell
        if self.is_cold(hop, now):
            created.last_slot = self._time_slots(hop, created).slot_at(now - start)

    def connection_lost(self, hop: str, now: float) -> None:
        """The last connection to a next hop was lost: from now on it is in doubt."""
        known = self.hops.get(hop)
        if known is not None and not self.is_cold(hop, now):
            self._suspect_restart(hop, known, now)

    def _suspect_restart(self, hop: str, known: _HopState, now: float) -> None:
        if not known.restart_suspected:
            known.restart_suspected, known.suspected_until = True, math.inf
            known.last_wall_slot = max(
                known.last_wall_slot, self._wall_clock_slots(hop, known).slot_at(now + self.wall_offset)
            )

    def remove(self, hop: str) -> None:
        """Forgets a next hop."""
        self.hops.pop(hop, None)

    def is_cold(self, hop: str, now: float) -> bool:
        """True while a next hop warms up, as far as the route set tells."""
        return now - self.hops[hop].up < self.warm_up.cold_time

    def is_restart_suspected(self, hop: str, now: float) -> bool:
        """True while a next hop may have been restarted with nothing told of it."""
        known = self.hops[hop]
        if known.restart_suspected and now >= known.suspected_until:
            known.restart_suspected = False
        return known.restart_suspected and not self.is_cold(hop, now)

    def decide(self, hop: str, resumed: bool, now: float) -> Decision:
        """Whether a handshake may begin now; `resumed`: a session is there to be taken up."""
        known = self.hops.get(hop)
        if known is None:
            return Decision.DEFER
        if now < known.backoff_until:
            return Decision.BACK_OFF
        in_flight = known.in_flight[False] + known.in_flight[True]
        if self.is_cold(hop, now):
            slots = self._time_slots(hop, known)
            slot = slots.slot_at(now - known.up)
            return (
                Decision.ALLOW
                if not in_flight and slot > known.last_slot and slots.is_own(slot)
                else Decision.DEFER
            )
        if self.is_restart_suspected(hop, now):
            slots = self._wall_clock_slots(hop, known)
            slot = slots.slot_at(now + self.wall_offset)
            return (
                Decision.ALLOW
                if not in_flight and slot > known.last_wall_slot and slots.is_own(slot)
                else Decision.DEFER
            )
        self._fill(known, now)
        enough = known.tokens >= self.costs.cost(known.kind, resumed) and in_flight < MAX_IN_FLIGHT
        return Decision.ALLOW if enough else Decision.DEFER

    def next_attempt(self, hop: str, resumed: bool, now: float) -> float:
        """The time at which it is worth asking again; now, where it may begin at once."""
        known = self.hops.get(hop)
        if known is None:
            return math.inf
        at = max(now, known.backoff_until)
        if self.is_cold(hop, at):
            return known.up + self._next_own_slot(
                self._time_slots(hop, known), at - known.up, known.last_slot
            )
        if self.is_restart_suspected(hop, at):
            return (
                self._next_own_slot(
                    self._wall_clock_slots(hop, known), at + self.wall_offset, known.last_wall_slot
                )
                - self.wall_offset
            )
        self._fill(known, now)
        lacks = self.costs.cost(known.kind, resumed) - known.tokens
        return max(at, now + lacks / self._rate(known)) if lacks > 0 else at

    @staticmethod
    def _next_own_slot(slots: TimeSlots, age: float, last_slot: int) -> float:
        slot = slots.slot_at(age)
        if slot > last_slot and slots.is_own(slot):
            return age
        return slots.start_of(slots.next_own(max(slot, last_slot) + 1))

    def began(self, hop: str, resumed: bool, now: float) -> None:
        """A handshake begins."""
        known = self.hops[hop]
        known.in_flight[resumed] += 1
        if self.is_cold(hop, now):
            known.last_slot = self._time_slots(hop, known).slot_at(now - known.up)
        elif self.is_restart_suspected(hop, now):
            known.last_wall_slot = self._wall_clock_slots(hop, known).slot_at(now + self.wall_offset)
        else:
            self._fill(known, now)
            known.tokens -= self.costs.cost(known.kind, resumed)

    def succeeded(
        self, hop: str, offered: bool, resumed: bool, waited: float, round_trip: float, now: float
    ) -> None:
        """A handshake that began has ended well: `offered` as it began, `resumed` as it turned out."""
        known = self.hops.get(hop)
        if known is None:
            return
        known.in_flight[offered] = max(0, known.in_flight[offered] - 1)
        known.failures, known.backoff_until = 0, -math.inf
        if self.is_cold(hop, now):
            speed = self.warm_up.capacity(now - known.up, 1.0)
        elif offered and resumed:
            known.restart_suspected, speed = False, 1.0
        elif offered or known.restart_suspected:
            self._suspect_restart(hop, known, now)
            known.suspected_until = min(known.suspected_until, now + self.warm_up.cold_time)
            return  # how fast it was just now is not known
        else:
            speed = 1.0
        self.costs.observe(known.kind, resumed, waited, round_trip, speed)

    def failed(self, hop: str, offered: bool, now: float) -> None:
        """A handshake that began has failed: the next one waits, up to twice as long each time."""
        known = self.hops.get(hop)
        if known is None:
            return
        known.in_flight[offered] = max(0, known.in_flight[offered] - 1)
        first, longest = self.options.back_off
        pause = min(longest, first * 2.0 ** min(known.failures, 30))
        known.failures += 1
        known.backoff_until = now + pause * self.rng.uniform(0.5, 1.0)

    def given_up(self, hop: str, offered: bool) -> None:
        """A handshake was given up from this side: it says nothing of the next hop."""
        known = self.hops.get(hop)
        if known is not None:
            known.in_flight[offered] = max(0, known.in_flight[offered] - 1)

    def _time_slots(self, hop: str, known: _HopState) -> TimeSlots:
        # A cold next hop has lost its sessions: every turn is reckoned as a full handshake.
        cost, cores = self.costs.cost(known.kind, False), self._cores(known.kind)
        return TimeSlots(self.warm_up, cores, self.options.share, cost, self.ingresses, self.number, hop)

    def _wall_clock_slots(self, hop: str, known: _HopState) -> TimeSlots:
        cost, cores = self.costs.cost(known.kind, False), self._cores(known.kind)
        return WallClockSlots(self.warm_up, cores, self.options.share, cost, self.ingresses, self.number, hop)

    def _cores(self, kind: str) -> float:
        return self.options.cores.get(kind, self.options.cores.get("*", 1.0))

    def _rate(self, known: _HopState) -> float:
        return self.options.warm_share * self._cores(known.kind) / self.sharers

    def _fill(self, known: _HopState, now: float) -> None:
        rate = self._rate(known)
        most = max(rate * BUCKET_SECONDS, self.costs.cost(known.kind, False))
        known.tokens = min(most, known.tokens + rate * max(0.0, now - known.at))
        known.at = now
