"""What of a store is trusted, and as what. Decisions without I/O; times are seconds.

The wall clock decides nothing: it may have been put back or forward. See docs/design/recovery.md.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from standflow.recovery.records import Record

LEARNED_MAX_AGE_SECONDS = 30.0  # seconds for which what was learnt of next hops is worth something
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
    """A boot of the machine, and the seconds since it began: a clock that nobody puts back."""

    boot_id: str
    uptime: float


@dataclass(slots=True, frozen=True)
class Plan:
    """A plan's window: units, and units a second."""

    burst: float
    rate: float


@dataclass(slots=True, frozen=True)
class Window:
    """A tenant's window as it is taken to be now."""

    key: str
    plan: str
    first: int
    size: int
    own: float
    others: float


@dataclass(slots=True)
class TrustedState:
    """What an ingress starts from. `open_in`: seconds until the last window taken for full has drained."""

    operator_overrides: dict[str, list[Any]] = field(default_factory=dict)
    evacuation: tuple[bool, float] | None = None
    next_hops: list[Any] = field(default_factory=list)
    members: dict[str, list[Any]] = field(default_factory=dict)
    windows: list[Window] = field(default_factory=list)
    learned: dict[str, Any] | None = None
    drained: int = 0  # windows that are open again by now
    skipped: int = 0
    drained_in: float = 0.0


def since(record: Record, clock: BootClock) -> tuple[float, bool]:
    """Seconds that have surely passed since a record was written, and whether it is no more than that."""
    if record.boot_id != clock.boot_id:
        return clock.uptime, False  # it was before this boot began
    passed = clock.uptime - record.uptime
    return (passed, True) if passed >= 0 else (0.0, False)


def select_trusted(records: Iterable[Record], clock: BootClock, plans: dict[str, Plan]) -> TrustedState:
    """Sorts what was kept into what holds, what is a hint and what is nothing any more."""
    found, known = TrustedState(), list(records)
    wrote = [one for one in known if one.kind in (USAGE, HEARTBEAT)]
    newest = min(wrote, key=lambda one: (since(one, clock)[0], -one.uptime), default=None)
    for record in known:
        try:
            _take(found, record, clock, plans, newest or record)
        except (TypeError, ValueError, KeyError, IndexError):
            found.skipped += 1  # it is whole, but of a version that says it otherwise
    return found


def _take(
    found: TrustedState, record: Record, clock: BootClock, plans: dict[str, Plan], newest: Record
) -> None:
    value = record.value
    if record.kind == OPERATOR_OVERRIDE:
        out, at, went = value
        found.operator_overrides[record.name] = [bool(out), float(at), float(went)]
    elif record.kind == EVACUATION:
        found.evacuation = (bool(value[0]), float(value[1]))
    elif record.kind == NEXT_HOP:
        found.next_hops.append(value)
    elif record.kind == MEMBER:
        life, host, port = value
        found.members[str(int(record.name))] = [int(life), str(host), int(port)]
    elif record.kind == LEARNED:
        passed, exact = since(record, clock)
        if exact and passed <= LEARNED_MAX_AGE_SECONDS:
            found.learned = dict(value)
    elif record.kind == USAGE:
        window, drained_in = full(record, clock, plans, newest)
        if window is None:
            found.drained += 1
        else:
            found.windows.append(window)
            found.drained_in = max(found.drained_in, drained_in)


def full(
    record: Record, clock: BootClock, plans: dict[str, Plan], newest: Record
) -> tuple[Window | None, float]:
    """A tenant's window, taken for full when the store was written last, which `newest` tells: all that was
    left of it may have gone after that. With it the seconds until it has drained.

    None where it has drained by now, or its plan is no more. One that was not used for a whole window before
    the last write is taken for as empty as it was.
    """
    name, first, size, own, others = value = record.value
    plan = plans.get(name)
    if len(value) != 5 or plan is None or plan.rate <= 0 or not own + others >= 0:
        return None, 0.0
    idle = newest.uptime - record.uptime if newest.boot_id == record.boot_id else 0.0
    if idle * plan.rate > plan.burst:
        return None, 0.0
    passed, last = since(record, clock)[0], since(newest, clock)[0]
    left = plan.burst - plan.rate * last
    if left <= 0:
        return None, 0.0
    own_left = min(left, max(0.0, float(own) - plan.rate * passed))
    window = Window(record.name, name, int(first), int(size), own_left, left - own_left)
    return window, left / plan.rate
