"""The registers of use in the quota counter: what this ingress (possibly) wrote, and what others wrote.

Each ingress of a tenant's ring has a register in the counter. It is a name that only this ingress adds to,
and its total encodes the running count and the level of the window in one number. A total is therefore
authoritative for its writer: the effect of an uncertain call shows in the next total, and an emptied counter
shows as a total that is too low. Adding the difference corrects both. Readers merge counts by maximum, as
they do with peer messages, so nothing is counted twice.

A name starts at 0 and expires after a minute at most, whoever calls it. Names are therefore divided into
periods of Unix time, and the first write in a period adds the whole number. Readers use the current period,
or the previous one while the current one has only begun.

No I/O. Times are Unix seconds, passed as arguments.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

PERIOD_SECONDS = 20.0  # covered by one name
PERIOD_GRACE_SECONDS = 2.0  # into a period, in which a writer may not have written to it yet
TTL_SECONDS = (
    2 * PERIOD_SECONDS + PERIOD_GRACE_SECONDS + 5.0
)  # no name is called for longer after its first call
SETTLE_SECONDS = 1.0  # after which a call that timed out has been executed, or never will be
VERIFY_SECONDS = 1.0  # between reads of a register that needs no write, in case the counter was emptied
LEVEL_STEPS = 99  # of a level, from 0 to the whole burst
COUNT_MODULUS = 1 << 16  # running counts wrap around here
INITIAL_WAIT_SECONDS = 2.0  # that a new tenant is taken to have waited for its first call
TENANT_EXPIRY_SECONDS = 45.0  # after the last update of a tenant

assert COUNT_MODULUS * (LEVEL_STEPS + 1) <= 9_999_999  # totals are exact to seven digits


class CallOutcome(Enum):
    """What is known of a call's effect on the register."""

    ADDED = "added"
    NOT_ADDED = "nothing"
    UNCERTAIN = "uncertain"


@dataclass(slots=True, frozen=True)
class RegisterCall:
    """A call for the register of the ring member at `ring_index`. Amount 0 only reads it."""

    key: bytes
    ring_index: int
    period: int
    amount: int

    @property
    def name(self) -> str:
        """The name in the counter."""
        return f"q{self.period}.{self.key.hex()}.{self.ring_index}"


@dataclass(slots=True, frozen=True)
class RegisterReading:
    """The content of a register: a member's running count, and its level as a fraction of the burst."""

    key: bytes
    ring_index: int
    count: int
    level: float


@dataclass(slots=True)
class OwnRegister:
    """This ingress's register for one tenant in the current period."""

    period: int
    target: int  # the number that the register should hold
    confirmed: int | None = None  # by the last total; None: not known
    min_held: int = 0  # bounds while `confirmed` is not known
    max_held: int = 0
    in_flight: bool = False
    not_before: float = 0.0  # the earliest time of the next call
    confirmed_at: float = -math.inf

    def needs_call(self, now: float) -> bool:
        """Whether the counter is not known to hold the target, or that was confirmed too long ago."""
        return self.confirmed != self.target or now - self.confirmed_at >= VERIFY_SECONDS


@dataclass(slots=True)
class TenantRegisters:
    """The known registers of one tenant."""

    ring_size: int
    ring_index: int
    utilization: float
    updated_at: float  # by this ingress's own use or a reading
    own: OwnRegister
    reads_in_flight: dict[int, float]  # by ring index: when the call began
    read_at: dict[int, float]  # by ring index: when the last read was answered
    last_called: float


class Ledger:
    """The registers of all tenants."""

    def __init__(self) -> None:
        self.tenants: dict[bytes, TenantRegisters] = {}
        self.shortfalls = 0  # totals below the confirmed number
        self.excesses = 0  # totals above the target

    def record_use(
        self,
        key: bytes,
        ring_size: int,
        ring_index: int,
        count: int,
        level: float,
        utilization: float,
        now: float,
    ) -> None:
        """Sets this ingress's running count and level for a tenant.

        `utilization` is the use by all members as a fraction of the burst.
        """
        target = encode_register(count, level)
        tenant = self.tenants.get(key)
        if tenant is None:
            own = OwnRegister(period_of(now), target)
            self.tenants[key] = TenantRegisters(
                ring_size, ring_index, utilization, now, own, {}, {}, now - INITIAL_WAIT_SECONDS
            )
            return
        tenant.utilization, tenant.updated_at, tenant.own.target = utilization, now, target

    def due_calls(self, now: float, limit: int, min_utilization: float) -> list[RegisterCall]:
        """Up to `limit` calls to make now, for tenants with at least `min_utilization` of their burst in use.

        Tenants are ordered by utilization times waiting time. For each of them the own register comes first,
        then the others', starting with the one not read for the longest time.
        """
        calls: list[RegisterCall] = []
        eligible = [(c, key) for key, c in self.tenants.items() if c.utilization >= min_utilization]
        ranked = [(c.utilization * (now - c.last_called), key) for c, key in eligible]
        for _, key in sorted(ranked, reverse=True):
            if len(calls) >= limit:
                break
            if more := self._calls_for(key, now):
                self.tenants[key].last_called = now
            calls.extend(more[: limit - len(calls)])
        for call in calls:
            tenant = self.tenants[call.key]
            if call.ring_index == tenant.ring_index:
                tenant.own.in_flight = True
            else:
                tenant.reads_in_flight[call.ring_index] = now
        return calls

    def _calls_for(self, key: bytes, now: float) -> list[RegisterCall]:
        tenant = self.tenants[key]
        own, period = tenant.own, period_of(now)
        if own.period != period and not own.in_flight:
            tenant.own = own = OwnRegister(period, own.target)  # a new name with unknown content
        calls = []
        if own.period == period and not own.in_flight and now >= own.not_before and own.needs_call(now):
            # Unknown content is read first; adding to an assumed value could count it twice.
            amount = own.target - own.confirmed if own.confirmed is not None else 0
            calls.append(RegisterCall(key, tenant.ring_index, period, amount))
        in_grace = now - period * PERIOD_SECONDS < PERIOD_GRACE_SECONDS
        others = [index for index in range(tenant.ring_size) if index != tenant.ring_index]
        for index in sorted(others, key=lambda one: tenant.read_at.get(one, -math.inf)):
            if index not in tenant.reads_in_flight:
                calls.append(RegisterCall(key, index, period - in_grace, 0))
        return calls

    def record_outcome(
        self, call: RegisterCall, outcome: CallOutcome, total: float | None, now: float
    ) -> RegisterReading | None:
        """Records the outcome of a call. Returns a reading that the module should receive, if any."""
        tenant = self.tenants.get(call.key)
        if tenant is None:
            return None
        if call.ring_index != tenant.ring_index:
            tenant.reads_in_flight.pop(call.ring_index, None)
            if outcome is not CallOutcome.ADDED or total is None:
                return None
            tenant.read_at[call.ring_index] = tenant.updated_at = now
            return decode_register(call.key, call.ring_index, total)
        own = tenant.own
        own.in_flight = False
        if own.period != call.period:
            return None
        if outcome is CallOutcome.ADDED and total is not None:
            return self._record_own_total(tenant, call, round(total), now)
        if outcome is CallOutcome.NOT_ADDED:
            return None
        # The amount may have been added, or may still be. The next call reads, once that is settled.
        own.confirmed = None
        own.min_held, own.max_held = (
            min(own.min_held, own.min_held + call.amount),
            max(own.max_held, own.max_held + call.amount),
        )
        own.not_before = now + SETTLE_SECONDS
        return None

    def _record_own_total(
        self, tenant: TenantRegisters, call: RegisterCall, total: int, now: float
    ) -> RegisterReading | None:
        own = tenant.own
        if own.confirmed is not None and total < own.confirmed + call.amount:
            self.shortfalls += 1
        elif own.confirmed is not None and total > own.confirmed + call.amount:
            self.excesses += (
                1  # an earlier call, perhaps of a previous run, took effect; the next one subtracts it
            )
        first = own.confirmed is None and own.max_held == 0
        own.confirmed = own.min_held = own.max_held = total
        own.confirmed_at = now
        # A total found before this process has written anything comes from its previous run.
        return decode_register(call.key, call.ring_index, total) if first and total > 0 else None

    def held_bounds(self, key: bytes) -> tuple[int, int]:
        """The lowest and the highest number that this ingress's register may hold now."""
        own = self.tenants[key].own
        return (own.min_held, own.max_held) if own.confirmed is None else (own.confirmed, own.confirmed)

    def drop_expired(self, now: float) -> None:
        """Drops tenants without recent updates."""
        for key in [
            key for key, tenant in self.tenants.items() if now - tenant.updated_at > TENANT_EXPIRY_SECONDS
        ]:
            del self.tenants[key]


def encode_register(count: int, level: float) -> int:
    """Encodes a count and a level, as a fraction of the burst, in one number of up to seven digits."""
    return (count % COUNT_MODULUS) * (LEVEL_STEPS + 1) + min(LEVEL_STEPS, max(0, round(level * LEVEL_STEPS)))


def decode_register(key: bytes, ring_index: int, total: float) -> RegisterReading | None:
    """Decodes a total; None if no register can hold it."""
    number = round(total)
    if not 0 < number < COUNT_MODULUS * (LEVEL_STEPS + 1):
        return None
    return RegisterReading(
        key, ring_index, number // (LEVEL_STEPS + 1), number % (LEVEL_STEPS + 1) / LEVEL_STEPS
    )


def period_of(now: float) -> int:
    """The period that contains a Unix time."""
    return math.floor(now / PERIOD_SECONDS)
