"""What this ingress has put into the quota counter, may have put there, and what others have. No I/O.

Each ingress of a customer's ring has a register in the counter: a name that only it adds to, holding its
running count and the level of its window as one number. So a total is the truth about its writer: what was
uncertain shows in the next total, an emptied counter shows as a total that fell behind, and both are put
right by adding the difference. Readers merge counts by maximum, as they do with what the ring tells, so
nothing counts twice.

A name begins at 0 and lives for a minute at most, whoever calls. Names are therefore cut by periods of Unix
time; the first write of a period puts the whole number there. Readers ask for the present period, and for the
one before while the present one is young.

Times are Unix seconds, given as arguments.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

PERIOD = 20.0  # seconds of one name
YOUNG = 2.0  # seconds into a period in which a writer may not have come to it yet
LIFE = 2 * PERIOD + YOUNG + 5.0  # a name is asked for no longer than that after its first call
SETTLE = 1.0  # seconds in which a call that nobody waits for has had its turn, if it ever has
VERIFY = 1.0  # seconds after which a register is read anyway: the counter may have been emptied
LEVELS = 99  # steps of a level, 0 to a whole burst
COUNTS = 1 << 16  # a running count wraps there
FIRST_TURN = 2.0  # seconds that a new customer counts as having waited
FORGET = 45.0  # seconds after which a customer without news is dropped

assert COUNTS * (LEVELS + 1) <= 9_999_999  # seven digits of a total are exact


class End(Enum):
    """How a call ended."""

    ADDED = "added"
    NOT_ADDED = "nothing"
    UNCERTAIN = "uncertain"


@dataclass(slots=True, frozen=True)
class Call:
    """An amount for a name; 0 only reads it. `place` is the ring place whose register it is."""

    key: bytes
    ring_index: int
    period: int
    amount: int

    @property
    def name(self) -> str:
        """The counter's name for it."""
        return f"q{self.period}.{self.key.hex()}.{self.ring_index}"


@dataclass(slots=True, frozen=True)
class RegisterReading:
    """What a register says: the running count of a place, and its level as a part of the burst."""

    key: bytes
    ring_index: int
    count: int
    level: float


@dataclass(slots=True)
class Own:
    """This ingress's register of one customer, in the present period."""

    period: int
    wanted: int  # the number that it is to hold
    held: int | None = None  # what the last total showed; None: not known
    least: int = 0  # of it, where it is not known, by what was surely added
    most: int = 0
    calling: bool = False
    after: float = 0.0  # not to be called before
    seen: float = -math.inf  # when the last total came

    def behind(self, now: float) -> bool:
        """True where the counter does not surely hold what is wanted."""
        return self.held != self.wanted or now - self.seen >= VERIFY


@dataclass(slots=True)
class Customer:
    """One customer's registers, as far as they are known here."""

    size: int
    ring_index: int
    fullness: float
    news: float  # when it was noted or read last
    own: Own
    reading: dict[int, float]  # by place: when a call for it began
    read_at: dict[int, float]  # and when one was answered last
    turn: float  # when it was called for last


class Ledger:
    """The registers of all customers."""

    def __init__(self) -> None:
        self.tenants: dict[bytes, Customer] = {}
        self.emptied = 0  # times that a register had fallen behind what it surely held
        self.excess = 0  # times that one held more than was ever wanted

    def record_use(
        self, key: bytes, size: int, place: int, count: int, level: float, fullness: float, now: float
    ) -> None:
        """This ingress's running count and level of a customer; `fullness` is what all use of its burst."""
        wanted = encode(count, level)
        customer = self.tenants.get(key)
        if customer is None:
            own = Own(period_of(now), wanted)
            self.tenants[key] = Customer(size, place, fullness, now, own, {}, {}, now - FIRST_TURN)
            return
        customer.fullness, customer.news, customer.own.wanted = fullness, now, wanted

    def due_calls(self, now: float, budget: int, near: float) -> list[Call]:
        """The calls to make now, `budget` at most, for customers that use `near` of their burst or more.

        The fullest and the longest waiting come first, by the product of both; of one customer its own
        register, then the others', the longest unread first.
        """
        calls: list[Call] = []
        known = [(c, key) for key, c in self.tenants.items() if c.fullness >= near]
        wanted = [(c.fullness * (now - c.turn), key) for c, key in known]
        for _, key in sorted(wanted, reverse=True):
            if len(calls) >= budget:
                break
            if more := self._calls(key, now):
                self.tenants[key].turn = now
            calls.extend(more[: budget - len(calls)])
        for call in calls:
            customer = self.tenants[call.key]
            if call.ring_index == customer.ring_index:
                customer.own.calling = True
            else:
                customer.reading[call.ring_index] = now
        return calls

    def _calls(self, key: bytes, now: float) -> list[Call]:
        customer = self.tenants[key]
        own, period = customer.own, period_of(now)
        if own.period != period and not own.calling:
            customer.own = own = Own(period, own.wanted)  # a new name: nothing of it is known yet
        calls = []
        if own.period == period and not own.calling and now >= own.after and own.behind(now):
            # What is not known is read first: to add on a guess could count it twice.
            amount = own.wanted - own.held if own.held is not None else 0
            calls.append(Call(key, customer.ring_index, period, amount))
        young = now - period * PERIOD < YOUNG
        others = [place for place in range(customer.size) if place != customer.ring_index]
        for place in sorted(others, key=lambda one: customer.read_at.get(one, -math.inf)):
            if place not in customer.reading:
                calls.append(Call(key, place, period - young, 0))
        return calls

    def ended(self, call: Call, end: End, total: float | None, now: float) -> RegisterReading | None:
        """How a call ended; what it tells of its register, if it tells anything."""
        customer = self.tenants.get(call.key)
        if customer is None:
            return None
        if call.ring_index != customer.ring_index:
            customer.reading.pop(call.ring_index, None)
            if end is not End.ADDED or total is None:
                return None
            customer.read_at[call.ring_index] = customer.news = now
            return decode(call.key, call.ring_index, total)
        own = customer.own
        own.calling = False
        if own.period != call.period:
            return None
        if end is End.ADDED and total is not None:
            return self._own_told(customer, call, round(total), now)
        if end is End.NOT_ADDED:
            return None
        # It may have been added, or may yet be: the next call reads, once it has surely had its turn.
        own.held = None
        own.least, own.most = min(own.least, own.least + call.amount), max(own.most, own.most + call.amount)
        own.after = now + SETTLE
        return None

    def _own_told(self, customer: Customer, call: Call, total: int, now: float) -> RegisterReading | None:
        own = customer.own
        if own.held is not None and total < own.held + call.amount:
            self.emptied += 1
        elif own.held is not None and total > own.held + call.amount:
            self.excess += 1  # a call of an earlier try or life: the next call takes it off
        first = own.held is None and own.most == 0
        own.held = own.least = own.most = total
        own.seen = now
        # What stands there before this life has written anything is an earlier life's.
        return decode(call.key, call.ring_index, total) if first and total > 0 else None

    def uncertain(self, key: bytes) -> tuple[int, int]:
        """The least and the most that this ingress's register holds now."""
        own = self.tenants[key].own
        return (own.least, own.most) if own.held is None else (own.held, own.held)

    def forget(self, now: float) -> None:
        """Drops customers without news."""
        for key in [key for key, customer in self.tenants.items() if now - customer.news > FORGET]:
            del self.tenants[key]


def encode(count: int, level: float) -> int:
    """A running count and a level, a part of the burst, as one number of seven digits."""
    return (count % COUNTS) * (LEVELS + 1) + min(LEVELS, max(0, round(level * LEVELS)))


def decode(key: bytes, place: int, total: float) -> RegisterReading | None:
    """What a total says, or None where no register holds such a number."""
    number = round(total)
    if not 0 < number < COUNTS * (LEVELS + 1):
        return None
    return RegisterReading(key, place, number // (LEVELS + 1), number % (LEVELS + 1) / LEVELS)


def period_of(now: float) -> int:
    """The period that a Unix time falls into."""
    return math.floor(now / PERIOD)
