"""A customer's store as a number at the counter service, for gateways that may not tell each other anything.

The number is what was let in since its period began; whoever reads it takes off what has drained since.
It can only be added to: who finds it below nothing, as the store was full, or above the burst, as some was
let in unasked, puts it right, and what was not sent on after all is given back. A period's first caller
carries over what is left of the one before. What is decided with a level stands in brain.py.
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
    """The numbers that this gateway calls; `act` takes its actions."""

    def __init__(self, limit: float, act: Callable[[i.Action], object]) -> None:
        """`limit`: seconds after which a call counts as unanswered."""
        self.emit, self.now = act, 0.0
        self.budget = CallBudget(limit)
        self.counted_requests: dict[
            str, tuple[Quota, str]
        ] = {}  # requests that are counted as out, and by which name
        self.pending_calls: dict[
            int, deque[tuple[TotalHandler, Callable[[], object] | None]]
        ] = {}  # by name, in the order of the calls
        self.pending_corrections: deque[tuple[Quota, str, float]] = deque(maxlen=MAX_PENDING_CORRECTIONS)

    def check(self, now: float, request: Request, share: bool, decide: Decide) -> None:
        """Has `decide` told what was used before this request, or None where nobody knows.

        It returns whether the request is taken. `share`: it would be let in unasked.
        """
        self.now = now
        if request.quota.plan.rate:
            self._check_level(request.quota, request.units, share, decide)
        else:
            self._check_in_flight(request.quota, request.name, share, decide)

    def _check_in_flight(self, quota: Quota, request: str, share: bool, decide: Decide) -> None:
        """Counts a request as out until `ended`; used is how many others are out.

        A period's number begins with none, so that what a gateway that died had out is forgotten.
        """
        kind, which = (quota.plan, share), f"open {self._period(quota)}"

        def counted(total: float | None) -> None:
            if total is not None:
                self.budget.record_answer(kind, total > quota.plan.max_open)
            self.counted_requests[request] = quota, which
            if not decide(None if total is None else total - 1):
                self.request_ended(self.now, request)

        if self.budget.allows(kind):
            self._call(quota, which, 1.0, counted, lambda: decide(None))
        else:
            decide(None)

    def request_ended(self, now: float, request: str) -> None:
        """A request is out no more, if it was counted."""
        if counted := self.counted_requests.pop(request, None):
            self.now = now
            self._correct(*counted, -1.0)

    def _check_level(self, quota: Quota, units: float, share: bool, decide: Decide) -> None:
        """Adds units; used is the store's level. What was let in unasked is added with the next ask."""
        period, burst, unsaid = self._period(quota), quota.plan.burst, quota.uncounted_units
        said, kind = units + unsaid, (quota.plan, share)

        def unheard() -> None:
            quota.uncounted_units += units * decide(None)

        def turned_away() -> None:
            quota.uncounted_units += unsaid
            unheard()

        def counted(total: float | None) -> None:
            if total is None:  # it is added all the same, now or later
                settle(0.0, decide(None))
                return
            level = self._drained_level(quota, period, total) - units
            if total == said:  # a new name
                self._call(quota, f"{period - 1}", 0.0, lambda before: right(level, total, before))
            elif -min(1.0, TOLERANCE / self.budget.share) * burst <= level <= (1 + TOLERANCE) * burst + units:
                settle(0.0, told(max(0.0, level)))
            else:
                right(level, total, None)

        def right(level: float, total: float, before: float | None) -> None:
            """One alone puts a number right, of all that find it so."""
            left = 0.0 if before is None else self._drained_level(quota, period - 1, before) + unsaid
            used = min(max(0.0, left if total == said else level), burst)
            taken = told(used)
            slot = f"{period} {int(self.now / CORRECTION_SLOT_SECONDS)}"
            self._call(quota, slot, 1.0, lambda first: settle((used - level) * (first == 1.0), taken))

        def told(used: float) -> bool:
            self.budget.record_answer(kind, used + units > burst)
            return decide(used)

        def settle(more: float, taken: bool) -> None:
            if due := more - units * (not taken):
                self._correct(quota, f"{period}", due)

        if (known := quota.min_counter_level(self.now)) + units > burst:
            decide(known)  # no call for that
        elif self.budget.allows(kind):
            quota.uncounted_units = 0.0
            self._call(quota, f"{period}", said, counted, turned_away)
        else:
            unheard()

    def counter_answered(self, now: float, event: i.CounterAnswered) -> None:
        """The totals of one name come in the order of the calls."""
        self.now, waiting = now, self.pending_calls.get(event.name)
        if not waiting:
            return
        told, refused = waiting.popleft()
        self.budget.call_ended(now, event.outcome, event.latency)
        if not waiting:
            del self.pending_calls[event.name]
        if refused is not None and event.outcome.never_ran:
            refused()
        else:
            told(event.total if event.outcome is i.Outcome.OK else None)

    def retry_corrections(self, now: float) -> None:
        """Now and then: what the service turned away is still owed to it."""
        self.now = now
        for _ in range(min(RETRIES_PER_EPOCH, len(self.pending_corrections))):
            self._correct(*self.pending_corrections.popleft())

    def _correct(self, quota: Quota, which: str, amount: float) -> None:
        owed = (quota, which, amount)
        self._call(quota, which, amount, lambda total: None, lambda: self.pending_corrections.append(owed))

    def _period(self, quota: Quota) -> int:
        """Customers change periods at times of their own."""
        return int(self.now / PERIOD_SECONDS + quota.key[0] / 256)

    def _drained_level(self, quota: Quota, period: int, total: float) -> float:
        return total - quota.plan.rate * (self.now - (period - quota.key[0] / 256) * PERIOD_SECONDS)

    def _call(
        self,
        quota: Quota,
        which: str,
        amount: float,
        told: TotalHandler,
        refused: Callable[[], object] | None = None,
    ) -> None:
        """`which`: of the customer's names."""
        digest = hashlib.blake2b(quota.key + which.encode(), digest_size=8).digest()
        name = int.from_bytes(digest) >> 1
        self.pending_calls.setdefault(name, deque()).append((told, refused))
        self.emit(i.AddToCounter(name, amount, NAME_LIFETIME_SECONDS))
