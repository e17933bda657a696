"""Whose turn it is to handshake with a cold next hop. No I/O, no talk among ingresses.

A next hop that started at `up` can do C(a) processor seconds a second at age a, which rises evenly from
`cold_from` of its cores to all of them over `cold_time`. Of that the share S is granted to handshakes of cost
h. Since its start it can have borne

    n(a) = S * (integral of C from 0 to a) / h

handshakes. This cuts its time into turns: turn k lasts while n(a) is within k and k + 1. Each turn belongs to
one ingress, in the order of their numbers from an offset that the next hop's name gives, and allows one
handshake to begin. A turn that is not used is lost, never saved up.

Where a next hop may have been restarted and nothing has told when, its start is unknown: then turns of the
length h / (S * cores * cold_from) are counted on the clock that all machines read, as if it had just started.

So over any window the handshakes begun by all ingresses together cost at most S times what the next hop can
do in it, and one more: S * (integral of C) + h, whatever the number of ingresses. Dead ingresses leave their
turns unused. One that has just learnt of the next hop has saved nothing. One that was restarted lets the turn
pass that was on when it came up, as its life before may have used it. Where ingresses hold different costs
for true, turns overlap, and each of them adds h at most; costs are therefore rounded (costs.py).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from zlib import crc32


@dataclass(slots=True, frozen=True)
class WarmUp:
    """How next hops warm up: the share of their cores at the start, 0 to 1, and the seconds until all."""

    cold_from: float
    cold_time: float

    def capacity(self, age: float, cores: float) -> float:
        """Processor seconds a second that a next hop surely can do at an age in seconds."""
        if age >= self.cold_time:
            return cores
        return cores * (self.cold_from + (1 - self.cold_from) * max(0.0, age) / self.cold_time)

    def work(self, age: float, cores: float) -> float:
        """Processor seconds that it surely can have done since its start."""
        cold = min(max(0.0, age), self.cold_time)
        rise = (1 - self.cold_from) / self.cold_time if self.cold_time > 0 else 0.0
        return cores * (self.cold_from * cold + rise * cold * cold / 2 + max(0.0, age - self.cold_time))

    def age_at(self, work: float, cores: float) -> float:
        """The age at which it can have done so much: the inverse of `work`."""
        need, whole = work / cores, self.work(self.cold_time, 1.0)
        if need >= whole:
            return self.cold_time + need - whole
        rise = (1 - self.cold_from) / self.cold_time
        if rise <= 0:
            return need / self.cold_from
        # As a quotient of sums: where the rise is small, a difference of the two roots would be lost.
        return 2 * need / (math.sqrt(self.cold_from**2 + 2 * rise * need) + self.cold_from)


@dataclass(slots=True, frozen=True)
class TimeSlots:
    """The turns of one next hop among `ingresses`, seen from the one with a number."""

    warm_up: WarmUp
    cores: float
    share: float
    cost: float
    ingresses: int
    number: int
    hop: str

    def slot_at(self, age: float) -> int:
        """The turn that is on at an age in seconds."""
        return math.floor(self.share * self.warm_up.work(age, self.cores) / self.cost + 1e-9)

    def is_own(self, slot: int) -> bool:
        """True where a turn belongs to this ingress."""
        return (slot - self.number - crc32(self.hop.encode())) % self.ingresses == 0

    def next_own(self, slot: int) -> int:
        """This ingress's first turn from one on."""
        return slot + (self.number + crc32(self.hop.encode()) - slot) % self.ingresses

    def start_of(self, slot: int) -> float:
        """The age in seconds at which a turn begins."""
        return self.warm_up.age_at(slot * self.cost / self.share, self.cores)


@dataclass(slots=True, frozen=True)
class WallClockSlots(TimeSlots):
    """Turns at a next hop whose start is not known; ages are Unix time instead, in seconds."""

    def slot_at(self, age: float) -> int:
        """The turn that is on at a Unix time."""
        return math.floor(age / self._slot_seconds())

    def start_of(self, slot: int) -> float:
        """The Unix time at which a turn begins."""
        return slot * self._slot_seconds()

    def _slot_seconds(self) -> float:
        return self.cost / (self.share * self.cores * self.warm_up.cold_from)


def worst_case_share(slots: TimeSlots, age: float, window: float, costs_differ: bool = False) -> float:
    """The most that all ingresses' handshakes can cost a next hop within a window that begins at an age.

    Both in seconds; what is returned is a share of what the next hop can do in that window.
    """
    capacity_in_window = slots.warm_up.work(age + window, slots.cores) - slots.warm_up.work(age, slots.cores)
    extra = slots.cost * (slots.ingresses if costs_differ else 1)
    return slots.share + extra / capacity_in_window
