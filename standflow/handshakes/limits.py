"""When a handshake with a next hop may begin. No I/O; times are seconds of one clock, given as arguments.

While a next hop is cold, time slots apply (time_slots.py), and this ingress has at most one handshake in
flight: one that takes long shows that the capacity is lower than assumed. Once the next hop is warm, this
ingress's equal part of the configured share is a token bucket. After failures an exponential back-off with
jitter applies, so that ingresses do not retry in step.

A next hop whose last connection was lost, or that declines to resume a session, may have been restarted long
before the route set reports it. It is then treated as just started until the route set reports a start, a
session is resumed after all, or the warm-up time has passed since it answered.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from enum import Enum

from standflow.config.model import HandshakeOptions
from standflow.handshakes.costs import Costs
from standflow.handshakes.time_slots import TimeSlots, WallClockSlots, WarmUp

BUCKET_SECONDS = 1.0  # of its rate that a warm next hop's bucket holds
MAX_IN_FLIGHT = 8  # handshakes of this ingress with one warm next hop


class Decision(Enum):
    """Whether a requested handshake may begin now."""

    ALLOW = "go"
    DEFER = "later"  # the share of a healthy next hop is used up for now
    BACK_OFF = "failing"  # recent handshakes failed and the back-off is not over


@dataclass(slots=True)
class _HopState:
    kind: str
    started_at: float  # by the route set; -inf for long ago
    last_slot: int = -1  # the last slot that is used, or that was current when the next hop became known
    tokens: float = math.inf
    filled_at: float = 0.0
    in_flight: dict[bool, int] = field(default_factory=lambda: {True: 0, False: 0})  # by session offered
    failures: int = 0
    backoff_until: float = -math.inf
    restart_suspected: bool = False
    suspected_until: float = math.inf  # infinite until it has answered
    last_wall_slot: int = -1  # the last used slot on the wall clock, for suspected restarts


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
        """`wall_offset`: added to a time argument it gives Unix time, the clock that all ingresses share."""
        self.wall_offset = wall_offset
        self.options, self.warm_up, self.rng = options, warm_up, rng
        self.ingresses, self.number = ingresses, number
        self.sharers = ingresses  # of a warm next hop's share; fewer where the membership is known
        self.costs = Costs(options.cost, options.resumed_cost)
        self.hops: dict[str, _HopState] = {}

    def update_hop(self, hop: str, kind: str, up: float | None, now: float) -> None:
        """Adds or updates a next hop; `up` is its start time, None for long ago."""
        start = -math.inf if up is None else up
        state = self.hops.get(hop)
        if state is not None and state.started_at == start:
            state.kind = kind
            return
        created = self.hops[hop] = _HopState(kind, start, filled_at=now)
        if state is not None:
            created.in_flight = state.in_flight  # their results are still to come
        if self.is_cold(hop, now):
            created.last_slot = self._time_slots(hop, created).slot_at(now - start)

    def connection_lost(self, hop: str, now: float) -> None:
        """Suspects a restart of a next hop whose last connection was lost."""
        state = self.hops.get(hop)
        if state is not None and not self.is_cold(hop, now):
            self._suspect_restart(hop, state, now)

    def _suspect_restart(self, hop: str, state: _HopState, now: float) -> None:
        if not state.restart_suspected:
            state.restart_suspected, state.suspected_until = True, math.inf
            state.last_wall_slot = max(
                state.last_wall_slot, self._wall_clock_slots(hop, state).slot_at(now + self.wall_offset)
            )

    def remove(self, hop: str) -> None:
        """Forgets a next hop."""
        self.hops.pop(hop, None)

    def is_cold(self, hop: str, now: float) -> bool:
        """True while a next hop warms up after a start in the route set."""
        return now - self.hops[hop].started_at < self.warm_up.cold_time

    def is_restart_suspected(self, hop: str, now: float) -> bool:
        """True while a next hop may have been restarted without the route set reporting it."""
        state = self.hops[hop]
        if state.restart_suspected and now >= state.suspected_until:
            state.restart_suspected = False
        return state.restart_suspected and not self.is_cold(hop, now)

    def decide(self, hop: str, resumed: bool, now: float) -> Decision:
        """Whether a handshake may begin now; `resumed`: a session to resume is available."""
        state = self.hops.get(hop)
        if state is None:
            return Decision.DEFER
        if now < state.backoff_until:
            return Decision.BACK_OFF
        in_flight = state.in_flight[False] + state.in_flight[True]
        if self.is_cold(hop, now):
            slots = self._time_slots(hop, state)
            slot = slots.slot_at(now - state.started_at)
            return (
                Decision.ALLOW
                if not in_flight and slot > state.last_slot and slots.is_own(slot)
                else Decision.DEFER
            )
        if self.is_restart_suspected(hop, now):
            slots = self._wall_clock_slots(hop, state)
            slot = slots.slot_at(now + self.wall_offset)
            return (
                Decision.ALLOW
                if not in_flight and slot > state.last_wall_slot and slots.is_own(slot)
                else Decision.DEFER
            )
        self._fill(state, now)
        allowed = state.tokens >= self.costs.cost(state.kind, resumed) and in_flight < MAX_IN_FLIGHT
        return Decision.ALLOW if allowed else Decision.DEFER

    def next_attempt(self, hop: str, resumed: bool, now: float) -> float:
        """The earliest time at which a handshake may be allowed; `now` if it may begin at once."""
        state = self.hops.get(hop)
        if state is None:
            return math.inf
        earliest = max(now, state.backoff_until)
        if self.is_cold(hop, earliest):
            return state.started_at + self._next_own_slot(
                self._time_slots(hop, state), earliest - state.started_at, state.last_slot
            )
        if self.is_restart_suspected(hop, earliest):
            return (
                self._next_own_slot(
                    self._wall_clock_slots(hop, state), earliest + self.wall_offset, state.last_wall_slot
                )
                - self.wall_offset
            )
        self._fill(state, now)
        missing_tokens = self.costs.cost(state.kind, resumed) - state.tokens
        return max(earliest, now + missing_tokens / self._rate(state)) if missing_tokens > 0 else earliest

    @staticmethod
    def _next_own_slot(slots: TimeSlots, age: float, last_slot: int) -> float:
        slot = slots.slot_at(age)
        if slot > last_slot and slots.is_own(slot):
            return age
        return slots.start_of(slots.next_own(max(slot, last_slot) + 1))

    def began(self, hop: str, resumed: bool, now: float) -> None:
        """Records the start of a handshake."""
        state = self.hops[hop]
        state.in_flight[resumed] += 1
        if self.is_cold(hop, now):
            state.last_slot = self._time_slots(hop, state).slot_at(now - state.started_at)
        elif self.is_restart_suspected(hop, now):
            state.last_wall_slot = self._wall_clock_slots(hop, state).slot_at(now + self.wall_offset)
        else:
            self._fill(state, now)
            state.tokens -= self.costs.cost(state.kind, resumed)

    def succeeded(
        self, hop: str, offered: bool, resumed: bool, waited: float, round_trip: float, now: float
    ) -> None:
        """Records the success of a handshake: a session was `offered`, and `resumed` if it was accepted."""
        state = self.hops.get(hop)
        if state is None:
            return
        state.in_flight[offered] = max(0, state.in_flight[offered] - 1)
        state.failures, state.backoff_until = 0, -math.inf
        if self.is_cold(hop, now):
            speed = self.warm_up.capacity(now - state.started_at, 1.0)
        elif offered and resumed:
            state.restart_suspected, speed = False, 1.0
        elif offered or state.restart_suspected:
            self._suspect_restart(hop, state, now)
            state.suspected_until = min(state.suspected_until, now + self.warm_up.cold_time)
            return  # no cost sample: its speed after a suspected restart is unknown
        else:
            speed = 1.0
        self.costs.observe(state.kind, resumed, waited, round_trip, speed)

    def failed(self, hop: str, offered: bool, now: float) -> None:
        """Records the failure of a handshake; the delay before the next one doubles with each failure."""
        state = self.hops.get(hop)
        if state is None:
            return
        state.in_flight[offered] = max(0, state.in_flight[offered] - 1)
        first, longest = self.options.back_off
        delay = min(longest, first * 2.0 ** min(state.failures, 30))
        state.failures += 1
        state.backoff_until = now + delay * self.rng.uniform(0.5, 1.0)

    def given_up(self, hop: str, offered: bool) -> None:
        """Records that this side gave a handshake up, which says nothing about the next hop."""
        state = self.hops.get(hop)
        if state is not None:
            state.in_flight[offered] = max(0, state.in_flight[offered] - 1)

    def _time_slots(self, hop: str, state: _HopState) -> TimeSlots:
        # A cold next hop has lost its sessions, so every slot is sized for a full handshake.
        cost, cores = self.costs.cost(state.kind, False), self._cores(state.kind)
        return TimeSlots(self.warm_up, cores, self.options.cold_share, cost, self.ingresses, self.number, hop)

    def _wall_clock_slots(self, hop: str, state: _HopState) -> TimeSlots:
        cost, cores = self.costs.cost(state.kind, False), self._cores(state.kind)
        return WallClockSlots(
            self.warm_up, cores, self.options.cold_share, cost, self.ingresses, self.number, hop
        )

    def _cores(self, kind: str) -> float:
        return self.options.cores.get(kind, self.options.cores.get("*", 1.0))

    def _rate(self, state: _HopState) -> float:
        return self.options.warm_share * self._cores(state.kind) / self.sharers

    def _fill(self, state: _HopState, now: float) -> None:
        rate = self._rate(state)
        max_tokens = max(rate * BUCKET_SECONDS, self.costs.cost(state.kind, False))
        state.tokens = min(max_tokens, state.tokens + rate * max(0.0, now - state.filled_at))
        state.filled_at = now
