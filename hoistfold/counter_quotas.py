"""Quotas kept as numbers at the counter service, for gateways that may not exchange messages.

A number is the total of admitted units since its period began; readers subtract what has drained since. It
can only be added to: whoever finds a level below 0 (more has drained than was used) or above the burst (some
requests were admitted without a call) corrects it, and units of requests that were not sent are given back.
The first caller of a period carries over the level of the previous one. Decisions are made in gateway.py.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Callable

from hoistfold import interface as i
from hoistfold.call_budget import CallBudget
from hoistfold.state import Quota, Request

PERIOD_SECONDS = 25.0  # per counter name; the service drops names after 60 s and the previous one is read too
NAME_LIFETIME_SECONDS = 60.0
TOLERANCE = 0.25  # of the burst: levels this far below 0 or above the burst are left, to save a correction
CORRECTION_SLOT_SECONDS = 0.5  # in which one gateway corrects a number
MAX_PENDING_CORRECTIONS = 1000  # that the service refused and that are retried
RETRIES_PER_EPOCH = 20
TotalHandler = Callable[[float | None], object]
Decide = Callable[[float | None], bool]


class CounterQuotas:
    """Calls of the counter service; `emit` receives the actions."""

    def __init__(self, timeout: float, emit: Callable[[i.Action], object]) -> None:
        """`timeout`: of a call, in seconds."""
        self.emit, self.now = emit, 0.0
        self.budget = CallBudget(timeout)
        # By request: the quota and the name suffix that it was counted under.
        self.counted_requests: dict[str, tuple[Quota, str]] = {}
        # By name, in call order: what to do with the total, and if the service refuses the call.
        self.pending_calls: dict[int, deque[tuple[TotalHandler, Callable[[], object] | None]]] = {}
        self.pending_corrections: deque[tuple[Quota, str, float]] = deque(maxlen=MAX_PENDING_CORRECTIONS)

    def check(self, now: float, request: Request, admitted: bool, decide: Decide) -> None:
        """Calls `decide` with the use before this request, or None if it is unknown.

        `decide` returns whether the request is admitted. `admitted`: whether it would be without a call.
        """
        self.now = now
        if request.quota.plan.rate:
            self._check_level(request.quota, request.units, admitted, decide)
        else:
            self._check_in_flight(request.quota, request.name, admitted, decide)

    def _check_in_flight(self, quota: Quota, request: str, admitted: bool, decide: Decide) -> None:
        """Counts a request as in flight until `request_ended`; the use is the number of other ones in flight.

        A period's number starts at 0, so that requests of a gateway that died are forgotten.
        """
        kind, suffix = (quota.plan, admitted), f"open {self._period(quota)}"

        def answered(total: float | None) -> None:
            if total is not None:
                self.budget.record_answer(kind, total > quota.plan.max_open)
            self.counted_requests[request] = quota, suffix
            if not decide(None if total is None else total - 1):
                self.request_ended(self.now, request)

        if self.budget.allows(kind):
            self._call(quota, suffix, 1.0, answered, lambda: decide(None))
        else:
            decide(None)

    def request_ended(self, now: float, request: str) -> None:
        """Ends a counted request."""
        if counted := self.counted_requests.pop(request, None):
            self.now = now
            self._correct(*counted, -1.0)

    def _check_level(self, quota: Quota, units: float, admitted: bool, decide: Decide) -> None:
        """Adds units; the use is the window's level. The next call adds what was admitted without one."""
        period, burst, uncounted = self._period(quota), quota.plan.burst, quota.uncounted_units
        added, kind = units + uncounted, (quota.plan, admitted)

        def decide_without_call() -> None:
            quota.uncounted_units += units * decide(None)

        def refused() -> None:
            quota.uncounted_units += uncounted
            decide_without_call()

        def answered(total: float | None) -> None:
            if total is None:  # the service adds it all the same, now or later
                settle(0.0, decide(None))
                return
            level = self._drained_level(quota, period, total) - units
            if total == added:  # first call under this name
                self._call(quota, f"{period - 1}", 0.0, lambda previous: correct(level, total, previous))
            elif -min(1.0, TOLERANCE / self.budget.share) * burst <= level <= (1 + TOLERANCE) * burst + units:
                settle(0.0, decide_by_level(max(0.0, level)))
            else:
                correct(level, total, None)

        def correct(level: float, total: float, previous: float | None) -> None:
            """Corrects a number; of all callers that find it wrong, only the first of the slot does."""
            carried_over = (
                0.0 if previous is None else self._drained_level(quota, period - 1, previous) + uncounted
            )
            used = min(max(0.0, carried_over if total == added else level), burst)
            accepted = decide_by_level(used)
            slot = f"{period} {int(self.now / CORRECTION_SLOT_SECONDS)}"
            self._call(quota, slot, 1.0, lambda first: settle((used - level) * (first == 1.0), accepted))

        def decide_by_level(used: float) -> bool:
            self.budget.record_answer(kind, used + units > burst)
            return decide(used)

        def settle(correction: float, accepted: bool) -> None:
            if amount := correction - units * (not accepted):
                self._correct(quota, f"{period}", amount)

        if (known := quota.min_counter_level(self.now)) + units > burst:
            decide(known)  # no call needed
        elif self.budget.allows(kind):
            quota.uncounted_units = 0.0
            self._call(quota, f"{period}", added, answered, refused)
        else:
            decide_without_call()

    def counter_answered(self, now: float, event: i.CounterAnswered) -> None:
        """Answers under one name arrive in call order."""
        self.now, calls = now, self.pending_calls.get(event.name)
        if not calls:
            return
        on_total, on_refused = calls.popleft()
        self.budget.call_ended(now, event.outcome, event.latency)
        if not calls:
            del self.pending_calls[event.name]
        if on_refused is not None and event.outcome.never_ran:
            on_refused()
        else:
            on_total(event.total if event.outcome is i.Outcome.OK else None)

    def retry_corrections(self, now: float) -> None:
        """Retries corrections that the service has refused."""
        self.now = now
        for _ in range(min(RETRIES_PER_EPOCH, len(self.pending_corrections))):
            self._correct(*self.pending_corrections.popleft())

    def _correct(self, quota: Quota, suffix: str, amount: float) -> None:
        correction = (quota, suffix, amount)
        self._call(
            quota, suffix, amount, lambda total: None, lambda: self.pending_corrections.append(correction)
        )

    def _period(self, quota: Quota) -> int:
        """Tenants change periods at different times."""
        return int(self.now / PERIOD_SECONDS + quota.key[0] / 256)

    def _drained_level(self, quota: Quota, period: int, total: float) -> float:
        return total - quota.plan.rate * (self.now - (period - quota.key[0] / 256) * PERIOD_SECONDS)

    def _call(
        self,
        quota: Quota,
        suffix: str,
        amount: float,
        on_total: TotalHandler,
        on_refused: Callable[[], object] | None = None,
    ) -> None:
        """`suffix`: distinguishes the names of a tenant."""
        digest = hashlib.blake2b(quota.key + suffix.encode(), digest_size=8).digest()
        name = int.from_bytes(digest) >> 1
        self.pending_calls.setdefault(name, deque()).append((on_total, on_refused))
        self.emit(i.AddToCounter(name, amount, NAME_LIFETIME_SECONDS))
