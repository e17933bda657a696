"""Time slots for handshakes with a cold next hop, without communication among ingresses. No I/O.

At age a (seconds since its start) a next hop has a capacity of C(a) processor seconds a second, which rises
linearly from `cold_from` of its cores to all of them over `cold_time`. The share S of it is granted to
handshakes of cost h. Since its start it can have done

    n(a) = S * (integral of C from 0 to a) / h

handshakes. This divides its time into slots: slot k lasts while n(a) is between k and k + 1. Each slot
belongs to one ingress, in the order of their numbers from an offset derived from the next hop's name, and
allows one handshake to begin. An unused slot is lost; slots don't accumulate.

After a suspected restart the start time is unknown. Slots of the length h / (S * cores * cold_from) are then
counted on the wall clock, as if the next hop had just started.

Over any window the handshakes of all ingresses together thus cost at most S times the next hop's capacity in
it, plus one handshake: S * (integral of C) + h, whatever the number of ingresses. Failed ingresses leave
their slots unused. An ingress that has just learned of the next hop has accumulated nothing. A restarted
ingress skips the slot that is current at its start, as its previous process may have used it. Where ingresses
estimate different costs, slots overlap and each estimate adds at most h; costs are therefore rounded
(costs.py).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from zlib import crc32


@dataclass(slots=True, frozen=True)
class WarmUp:
    """How next hops warm up: the share of their capacity at the start, 0 to 1, and the seconds until all."""

    cold_from: float
    cold_time: float

    def capacity(self, age: float, cores: float) -> float:
        """Capacity at an age in seconds, in processor seconds a second."""
        if age >= self.cold_time:
            return cores
        return cores * (self.cold_from + (1 - self.cold_from) * max(0.0, age) / self.cold_time)

    def work(self, age: float, cores: float) -> float:
        """Integral of the capacity since the start, in processor seconds."""
        cold = min(max(0.0, age), self.cold_time)
        rise = (1 - self.cold_from) / self.cold_time if self.cold_time > 0 else 0.0
        return cores * (self.cold_from * cold + rise * cold * cold / 2 + max(0.0, age - self.cold_time))

    def age_at(self, work: float, cores: float) -> float:
        """The age at which so much work can be done: the inverse of `work`."""
        need, whole = work / cores, self.work(self.cold_time, 1.0)
        if need >= whole:
            return self.cold_time + need - whole
        rise = (1 - self.cold_from) / self.cold_time
        if rise <= 0:
            return need / self.cold_from
        # The root as a quotient: the usual form subtracts two nearly equal terms when `rise` is small.
        return 2 * need / (math.sqrt(self.cold_from**2 + 2 * rise * need) + self.cold_from)


@dataclass(slots=True, frozen=True)
class TimeSlots:
    """The slots of one next hop, shared by `ingresses`; `number` is this ingress."""

    warm_up: WarmUp
    cores: float
    share: float
    cost: float
    ingresses: int
    number: int
    hop: str

    def slot_at(self, age: float) -> int:
        """The slot at an age in seconds."""
        return math.floor(self.share * self.warm_up.work(age, self.cores) / self.cost + 1e-9)

    def is_own(self, slot: int) -> bool:
        """True if a slot belongs to this ingress."""
        return (slot - self.number - crc32(self.hop.encode())) % self.ingresses == 0

    def next_own(self, slot: int) -> int:
        """This ingress's first slot that is not before `slot`."""
        return slot + (self.number + crc32(self.hop.encode()) - slot) % self.ingresses

    def start_of(self, slot: int) -> float:
        """The age in seconds at which a slot begins."""
        return self.warm_up.age_at(slot * self.cost / self.share, self.cores)


@dataclass(slots=True, frozen=True)
class WallClockSlots(TimeSlots):
    """Slots of a next hop whose start time is unknown; ages are Unix time in seconds instead."""

    def slot_at(self, age: float) -> int:
        """The slot at a Unix time."""
        return math.floor(age / self._slot_seconds())

    def start_of(self, slot: int) -> float:
        """The Unix time at which a slot begins."""
        return slot * self._slot_seconds()

    def _slot_seconds(self) -> float:
        return self.cost / (self.share * self.cores * self.warm_up.cold_from)


def worst_case_share(slots: TimeSlots, age: float, window: float, costs_differ: bool = False) -> float:
    """Upper bound on the cost of all ingresses' handshakes in a window of seconds that begins at an age.

    Returned as a share of the next hop's capacity in that window.
    """
    capacity_in_window = slots.warm_up.work(age + window, slots.cores) - slots.warm_up.work(age, slots.cores)
    extra = slots.cost * (slots.ingresses if costs_differ else 1)
    return slots.share + extra / capacity_in_window
