"""Which stored records are trusted after a restart, and how far. No I/O; times are seconds.

The wall clock is not used, as it may have been stepped. See docs/design/recovery.md.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from standflow.recovery.records import Record

LEARNED_MAX_AGE_SECONDS = 30.0  # of measurements of next hops; older ones say little about their state
# Kinds of records, as stored.
OPERATOR_OVERRIDE, EVACUATION, NEXT_HOP, USAGE, LEARNED, HEARTBEAT = (
    "word",
    "emptied",
    "hop",
    "use",
    "learnt",
    "beat",
)
MEMBER = "member"


@dataclass(slots=True, frozen=True)
class BootClock:
    """The machine's boot and the seconds since it, a clock that is never set back."""

    boot_id: str
    uptime: float


@dataclass(slots=True, frozen=True)
class Plan:
    """A plan's quota: burst in units, rate in units per second."""

    burst: float
    rate: float


@dataclass(slots=True, frozen=True)
class Window:
    """The assumed state of a tenant's quota window; `own` and `others` are used units."""

    key: str
    plan: str
    first: int
    size: int
    own: float
    others: float


@dataclass(slots=True)
class TrustedState:
    """The state that an ingress starts from. `drained_in`: seconds until all assumed windows have drained."""

    operator_overrides: dict[str, list[Any]] = field(default_factory=dict)
    evacuation: tuple[bool, float] | None = None
    next_hops: list[Any] = field(default_factory=list)
    members: dict[str, list[Any]] = field(default_factory=dict)
    windows: list[Window] = field(default_factory=list)
    learned_estimates: dict[str, Any] | None = None
    drained: int = 0  # windows that have drained by now
    skipped: int = 0  # records that can't be interpreted
    drained_in: float = 0.0


def elapsed_since(record: Record, clock: BootClock) -> tuple[float, bool]:
    """Seconds that have passed at least since a record was written, and whether that is the exact time."""
    if record.boot_id != clock.boot_id:
        return clock.uptime, False  # written before this boot
    passed = clock.uptime - record.uptime
    return (passed, True) if passed >= 0 else (0.0, False)


def select_trusted(records: Iterable[Record], clock: BootClock, plans: dict[str, Plan]) -> TrustedState:
    """Selects the records that are still valid, and converts stored usage to assumed windows."""
    state, candidates = TrustedState(), list(records)
    writes = [one for one in candidates if one.kind in (USAGE, HEARTBEAT)]
    newest = min(writes, key=lambda one: (elapsed_since(one, clock)[0], -one.uptime), default=None)
    for record in candidates:
        try:
            _add_record(state, record, clock, plans, newest or record)
        except Exception:
            state.skipped += 1  # undamaged, but in the format of another version
    return state


def _add_record(
    state: TrustedState, record: Record, clock: BootClock, plans: dict[str, Plan], newest: Record
) -> None:
    value = record.value
    if record.kind == OPERATOR_OVERRIDE:
        excluded, changed_at, excluded_at = value
        state.operator_overrides[record.name] = [bool(excluded), float(changed_at), float(excluded_at)]
    elif record.kind == EVACUATION:
        state.evacuation = (bool(value[0]), float(value[1]))
    elif record.kind == NEXT_HOP:
        state.next_hops.append(value)
    elif record.kind == MEMBER:
        boot_time_ms, host, port = value
        state.members[str(int(record.name))] = [int(boot_time_ms), str(host), int(port)]
    elif record.kind == LEARNED:
        passed, exact = elapsed_since(record, clock)
        if exact and passed <= LEARNED_MAX_AGE_SECONDS:
            state.learned_estimates = dict(value)
    elif record.kind == USAGE:
        window, drained_in = assume_full(record, clock, plans, newest)
        if window is None:
            state.drained += 1
        else:
            state.windows.append(window)
            state.drained_in = max(state.drained_in, drained_in)


def assume_full(
    record: Record, clock: BootClock, plans: dict[str, Plan], newest: Record
) -> tuple[Window | None, float]:
    """A tenant's window, assumed full at the last write, and the seconds until it has drained.

    All the quota left at the last write (`newest`) may have been used after it. None if the window has
    drained by now or its plan no longer exists. A window that was idle for its whole length before the last
    write is assumed to have stayed empty.
    """
    name, first, size, own, others = value = record.value
    plan = plans.get(name)
    if len(value) != 5 or plan is None or plan.rate <= 0 or not own + others >= 0:
        return None, 0.0
    idle = newest.uptime - record.uptime if newest.boot_id == record.boot_id else 0.0
    if idle * plan.rate > plan.burst:
        return None, 0.0
    passed, last = elapsed_since(record, clock)[0], elapsed_since(newest, clock)[0]
    left = plan.burst - plan.rate * last
    if left <= 0:
        return None, 0.0
    own_left = min(left, max(0.0, float(own) - plan.rate * passed))
    window = Window(record.name, name, int(first), int(size), own_left, left - own_left)
    return window, left / plan.rate
