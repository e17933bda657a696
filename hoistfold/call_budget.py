"""Which requests are worth a call of the counter, of as many as it answers in time.

The share of the requests that is asked for follows the counter: it falls where answers are slow or missing or
calls are turned away, and grows with the answers in time. Of the requests those are asked for first where an
answer most likely changes the decision, weighed by what that is worth.
"""

from __future__ import annotations

import math

from hoistfold import interface as i

SLOW = 0.5  # of the limit: a queue as long as that is about to answer nobody in time
STEP = 0.0125  # by which the share grows with each answer in time
DECREASE, LEAST_SHARE = 0.7, 0.02
MEMORY = 200.0  # requests over which the parts of the kinds are reckoned
UNSEEN = 0.3  # of a kind's asks, the part that is taken to find no room before any has been answered
WEIGHT = 4.0  # so much more a unit beyond a quota counts than one inside that is refused: it has a bound

Kind = tuple[i.Plan, bool]  # of a request: its plan, and whether it would be let in unasked


class CallBudget:
    """How many of the requests the counter is asked about, and which."""

    def __init__(self, limit: float) -> None:
        """`limit`: seconds after which a call counts as unanswered."""
        self.limit = limit
        self.share = 1.0  # of the requests, those that are asked for
        self.fell_at = -math.inf
        self.beyond: dict[Kind, float] = {}  # of the asks, the part that found no room
        self.requests: dict[Kind, float] = {}  # recent ones, whether they were asked for or not
        self.due: dict[Kind, float] = {}

    def answered(self, now: float, outcome: i.Outcome, latency: float) -> None:
        """What the end of a call says of the counter."""
        if outcome is i.Outcome.OK and latency < SLOW * self.limit:
            self.share = min(1.0, self.share + STEP)
        elif now - self.fell_at >= self.limit:  # else of the same queue
            self.fell_at = now
            self.share = max(LEAST_SHARE, self.share * DECREASE)

    def learn(self, kind: Kind, beyond: bool) -> None:
        """Whether an ask found no room."""
        known = self.beyond.get(kind, UNSEEN)
        self.beyond[kind] = known + 0.05 * (beyond - known)

    def allows(self, kind: Kind) -> bool:
        """False for a request that isn't asked for: of a pressed counter first those that are worth least."""
        self.requests[kind] = self.requests.get(kind, 0.0) + 1
        total = sum(self.requests.values())
        dearer = sum(count for known, count in self.requests.items() if self.worth(known) > self.worth(kind))
        part = (self.share * total - dearer) / self.requests[kind]
        self.due[kind] = self.due.get(kind, 0.0) + min(1.0, max(0.0, part))
        allowed = self.due[kind] >= 1.0
        self.due[kind] -= allowed
        if total > MEMORY:
            self.requests = {known: count / 2 for known, count in self.requests.items()}
        return allowed

    def worth(self, kind: Kind) -> float:
        """What an answer saves on a unit: being let in beyond the quota, or being refused inside it."""
        plan, share = kind
        beyond = self.beyond.get(kind, UNSEEN)
        return plan.price * (WEIGHT * beyond * plan.excess_cost if share else 1.0 - beyond)
