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
from standflow.handshakes.turns import BlindTurns, Turns, Warming

BUCKET = 1.0  # seconds' worth that a warm next hop's bucket holds
MOST_OUT = 8  # handshakes out at once at a warm next hop, from here


class Answer(Enum):
    """What the limits say of a handshake that is wanted now."""

    GO = "go"
    LATER = "later"  # the next hop is well, its share is used up for now
    FAILING = "failing"  # the last ones failed and the pause is not over


@dataclass(slots=True)
class _Hop:
    kind: str
    up: float  # when it started, as the route set has it; -inf for long ago
    after: int = -1  # the last turn that is used or was on when it became known
    tokens: float = math.inf
    at: float = 0.0
    out: dict[bool, int] = field(default_factory=lambda: {True: 0, False: 0})
    failures: int = 0
    wait: float = -math.inf
    doubt: bool = False
    doubt_until: float = math.inf  # once it has answered
    blind: int = -1  # the last blind turn that is used


class Limits:
    """The limits of one ingress on its handshakes with all next hops."""

    def __init__(
        self,
        options: HandshakeOptions,
        warming: Warming,
        ingresses: int,
        number: int,
        chance: random.Random,
        clock: float = 0.0,
    ) -> None:
        """`clock`: what is to be added to a time given here for Unix time, the same at all ingresses."""
        self.clock = clock
        self.options, self.warming, self.chance = options, warming, chance
        self.ingresses, self.number = ingresses, number
        self.sharers = ingresses  # of a warm next hop's share: fewer where a view of the fleet says so
        self.costs = Costs(options.cost, options.resumed_cost)
        self.hops: dict[str, _Hop] = {}

    def told(self, hop: str, kind: str, up: float | None, now: float) -> None:
        """A next hop is there and has started at a time (None: long ago); again when anything changes."""
        start = -math.inf if up is None else up
        known = self.hops.get(hop)
        if known is not None and known.up == start:
            known.kind = kind
            return
        found = self.hops[hop] = _Hop(kind, start, at=now)
        if known is not None:
            found.out = known.out  # those still end, and tell
        if self.cold(hop, now):
            found.after = self._turns(hop, found).turn(now - start)

    def lost(self, hop: str, now: float) -> None:
        """The last connection to a next hop was lost: from now on it is in doubt."""
        known = self.hops.get(hop)
        if known is not None and not self.cold(hop, now):
            self._doubt(hop, known, now)

    def _doubt(self, hop: str, known: _Hop, now: float) -> None:
        if not known.doubt:
            known.doubt, known.doubt_until = True, math.inf
            known.blind = max(known.blind, self._blind(hop, known).turn(now + self.clock))

    def gone(self, hop: str) -> None:
        """Forgets a next hop."""
        self.hops.pop(hop, None)

    def cold(self, hop: str, now: float) -> bool:
        """True while a next hop warms up, as far as the route set tells."""
        return now - self.hops[hop].up < self.warming.cold_time

    def doubted(self, hop: str, now: float) -> bool:
        """True while a next hop may have been restarted with nothing told of it."""
        known = self.hops[hop]
        if known.doubt and now >= known.doubt_until:
            known.doubt = False
        return known.doubt and not self.cold(hop, now)

    def ask(self, hop: str, resumed: bool, now: float) -> Answer:
        """Whether a handshake may begin now; `resumed`: a session is there to be taken up."""
        known = self.hops.get(hop)
        if known is None:
            return Answer.LATER
        if now < known.wait:
            return Answer.FAILING
        out = known.out[False] + known.out[True]
        if self.cold(hop, now):
            turns = self._turns(hop, known)
            turn = turns.turn(now - known.up)
            return Answer.GO if not out and turn > known.after and turns.mine(turn) else Answer.LATER
        if self.doubted(hop, now):
            turns = self._blind(hop, known)
            turn = turns.turn(now + self.clock)
            return Answer.GO if not out and turn > known.blind and turns.mine(turn) else Answer.LATER
        self._fill(known, now)
        enough = known.tokens >= self.costs.cost(known.kind, resumed) and out < MOST_OUT
        return Answer.GO if enough else Answer.LATER

    def when(self, hop: str, resumed: bool, now: float) -> float:
        """The time at which it is worth asking again; now, where it may begin at once."""
        known = self.hops.get(hop)
        if known is None:
            return math.inf
        at = max(now, known.wait)
        if self.cold(hop, at):
            return known.up + self._next(self._turns(hop, known), at - known.up, known.after)
        if self.doubted(hop, at):
            return self._next(self._blind(hop, known), at + self.clock, known.blind) - self.clock
        self._fill(known, now)
        lacks = self.costs.cost(known.kind, resumed) - known.tokens
        return max(at, now + lacks / self._rate(known)) if lacks > 0 else at

    @staticmethod
    def _next(turns: Turns, age: float, after: int) -> float:
        turn = turns.turn(age)
        if turn > after and turns.mine(turn):
            return age
        return turns.begins(turns.next_mine(max(turn, after) + 1))

    def began(self, hop: str, resumed: bool, now: float) -> None:
        """A handshake begins."""
        known = self.hops[hop]
        known.out[resumed] += 1
        if self.cold(hop, now):
            known.after = self._turns(hop, known).turn(now - known.up)
        elif self.doubted(hop, now):
            known.blind = self._blind(hop, known).turn(now + self.clock)
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
        known.out[offered] = max(0, known.out[offered] - 1)
        known.failures, known.wait = 0, -math.inf
        if self.cold(hop, now):
            speed = self.warming.capacity(now - known.up, 1.0)
        elif offered and resumed:
            known.doubt, speed = False, 1.0
        elif offered or known.doubt:
            self._doubt(hop, known, now)
            known.doubt_until = min(known.doubt_until, now + self.warming.cold_time)
            return  # how fast it was just now is not known
        else:
            speed = 1.0
        self.costs.seen(known.kind, resumed, waited, round_trip, speed)

    def failed(self, hop: str, offered: bool, now: float) -> None:
        """A handshake that began has failed: the next one waits, up to twice as long each time."""
        known = self.hops.get(hop)
        if known is None:
            return
        known.out[offered] = max(0, known.out[offered] - 1)
        first, longest = self.options.back_off
        pause = min(longest, first * 2.0 ** min(known.failures, 30))
        known.failures += 1
        known.wait = now + pause * self.chance.uniform(0.5, 1.0)

    def given_up(self, hop: str, offered: bool) -> None:
        """A handshake was given up from this side: it says nothing of the next hop."""
        known = self.hops.get(hop)
        if known is not None:
            known.out[offered] = max(0, known.out[offered] - 1)

    def _turns(self, hop: str, known: _Hop) -> Turns:
        # A cold next hop has lost its sessions: every turn is reckoned as a full handshake.
        cost, cores = self.costs.cost(known.kind, False), self._cores(known.kind)
        return Turns(self.warming, cores, self.options.cold_share, cost, self.ingresses, self.number, hop)

    def _blind(self, hop: str, known: _Hop) -> Turns:
        cost, cores = self.costs.cost(known.kind, False), self._cores(known.kind)
        return BlindTurns(
            self.warming, cores, self.options.cold_share, cost, self.ingresses, self.number, hop
        )

    def _cores(self, kind: str) -> float:
        return self.options.cores.get(kind, self.options.cores.get("*", 1.0))

    def _rate(self, known: _Hop) -> float:
        return self.options.warm_share * self._cores(known.kind) / self.sharers

    def _fill(self, known: _Hop, now: float) -> None:
        rate = self._rate(known)
        most = max(rate * BUCKET, self.costs.cost(known.kind, False))
        known.tokens = min(most, known.tokens + rate * max(0.0, now - known.at))
        known.at = now
