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

PERIOD = 25.0  # seconds of one name; the service keeps names for 60 s, and the one before is still to be read
LIFE = 60.0
TOLERATED = 0.25  # of the burst: so far below nothing, or above it, a number is left, to spare the call
SLOT = 0.5  # seconds in which one puts a number right
MOST_OWED = 1000  # corrections that the service did not take, kept to be tried again
AT_ONCE = 20  # of them, each time
Told = Callable[[float | None], object]
Decide = Callable[[float | None], bool]


class Stores:
    """The numbers that this gateway calls; `act` takes its actions."""

    def __init__(self, limit: float, act: Callable[[i.Action], object]) -> None:
        """`limit`: seconds after which a call counts as unanswered."""
        self.act, self.now = act, 0.0
        self.budget = CallBudget(limit)
        self.out: dict[str, tuple[Quota, str]] = {}  # requests that are counted as out, and by which name
        self.calls: dict[
            int, deque[tuple[Told, Callable[[], object] | None]]
        ] = {}  # by name, in the order of the calls
        self.owed: deque[tuple[Quota, str, float]] = deque(maxlen=MOST_OWED)

    def ask(self, now: float, request: Request, share: bool, decide: Decide) -> None:
        """Has `decide` told what was used before this request, or None where nobody knows.

        It returns whether the request is taken. `share`: it would be let in unasked.
        """
        self.now = now
        if request.quota.plan.rate:
            self._ask_level(request.quota, request.units, share, decide)
        else:
            self._ask_open(request.quota, request.name, share, decide)

    def _ask_open(self, quota: Quota, request: str, share: bool, decide: Decide) -> None:
        """Counts a request as out until `ended`; used is how many others are out.

        A period's number begins with none, so that what a gateway that died had out is forgotten.
        """
        kind, which = (quota.plan, share), f"open {self._period(quota)}"

        def counted(total: float | None) -> None:
            if total is not None:
                self.budget.learn(kind, total > quota.plan.max_open)
            self.out[request] = quota, which
            if not decide(None if total is None else total - 1):
                self.ended(self.now, request)

        if self.budget.allows(kind):
            self._call(quota, which, 1.0, counted, lambda: decide(None))
        else:
            decide(None)

    def ended(self, now: float, request: str) -> None:
        """A request is out no more, if it was counted."""
        if counted := self.out.pop(request, None):
            self.now = now
            self._correct(*counted, -1.0)

    def _ask_level(self, quota: Quota, units: float, share: bool, decide: Decide) -> None:
        """Adds units; used is the store's level. What was let in unasked is added with the next ask."""
        period, burst, unsaid = self._period(quota), quota.plan.burst, quota.unsaid
        said, kind = units + unsaid, (quota.plan, share)

        def unheard() -> None:
            quota.unsaid += units * decide(None)

        def turned_away() -> None:
            quota.unsaid += unsaid
            unheard()

        def counted(total: float | None) -> None:
            if total is None:  # it is added all the same, now or later
                settle(0.0, decide(None))
                return
            level = self._level(quota, period, total) - units
            if total == said:  # a new name
                self._call(quota, f"{period - 1}", 0.0, lambda before: right(level, total, before))
            elif -min(1.0, TOLERATED / self.budget.share) * burst <= level <= (1 + TOLERATED) * burst + units:
                settle(0.0, told(max(0.0, level)))
            else:
                right(level, total, None)

        def right(level: float, total: float, before: float | None) -> None:
            """One alone puts a number right, of all that find it so."""
            left = 0.0 if before is None else self._level(quota, period - 1, before) + unsaid
            used = min(max(0.0, left if total == said else level), burst)
            taken = told(used)
            slot = f"{period} {int(self.now / SLOT)}"
            self._call(quota, slot, 1.0, lambda first: settle((used - level) * (first == 1.0), taken))

        def told(used: float) -> bool:
            self.budget.learn(kind, used + units > burst)
            return decide(used)

        def settle(more: float, taken: bool) -> None:
            if due := more - units * (not taken):
                self._correct(quota, f"{period}", due)

        if (known := quota.known(self.now)) + units > burst:
            decide(known)  # no call for that
        elif self.budget.allows(kind):
            quota.unsaid = 0.0
            self._call(quota, f"{period}", said, counted, turned_away)
        else:
            unheard()

    def answered(self, now: float, event: i.CounterAnswered) -> None:
        """The totals of one name come in the order of the calls."""
        self.now, waiting = now, self.calls.get(event.name)
        if not waiting:
            return
        told, refused = waiting.popleft()
        self.budget.answered(now, event.outcome, event.latency)
        if not waiting:
            del self.calls[event.name]
        if refused is not None and event.outcome.never_ran:
            refused()
        else:
            told(event.total if event.outcome is i.Outcome.OK else None)

    def again(self, now: float) -> None:
        """Now and then: what the service turned away is still owed to it."""
        self.now = now
        for _ in range(min(AT_ONCE, len(self.owed))):
            self._correct(*self.owed.popleft())

    def _correct(self, quota: Quota, which: str, amount: float) -> None:
        owed = (quota, which, amount)
        self._call(quota, which, amount, lambda total: None, lambda: self.owed.append(owed))

    def _period(self, quota: Quota) -> int:
        """Customers change periods at times of their own."""
        return int(self.now / PERIOD + quota.key[0] / 256)

    def _level(self, quota: Quota, period: int, total: float) -> float:
        return total - quota.plan.rate * (self.now - (period - quota.key[0] / 256) * PERIOD)

    def _call(
        self,
        quota: Quota,
        which: str,
        amount: float,
        told: Told,
        refused: Callable[[], object] | None = None,
    ) -> None:
        """`which`: of the customer's names."""
        digest = hashlib.blake2b(quota.key + which.encode(), digest_size=8).digest()
        name = int.from_bytes(digest) >> 1
        self.calls.setdefault(name, deque()).append((told, refused))
        self.act(i.AddToCounter(name, amount, LIFE))
