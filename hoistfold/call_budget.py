"""Which requests are worth a call of the counter, of as many as it answers in time.

The share of the requests that is asked for follows the counter: it falls where answers are slow or missing or
calls are turned away, and grows with the answers in time. Of the requests those are asked for first where an
answer most likely changes the decision, weighed by what that is worth.
"""

from __future__ import annotations

import math

from hoistfold import interface as i

SLOW_ANSWER_SHARE = 0.5  # of the timeout: with a longer queue, the counter is about to miss all deadlines
INCREASE = 0.0125  # of the share, for each answer in time
DECREASE, MIN_SHARE = 0.7, 0.02
MAX_COUNTED_REQUESTS = 200.0  # above which the counts of request kinds are halved, to follow the traffic
INITIAL_OVER_QUOTA_RATE = 0.3  # assumed for a kind before its first answer
EXCESS_WEIGHT = 4.0  # of a unit over quota against a refused one within it; overuse has a fixed bound

RequestKind = tuple[i.Plan, bool]  # plan, and whether the request would be admitted without a call


class CallBudget:
    """How many of the requests the counter is asked about, and which."""

    def __init__(self, limit: float) -> None:
        """`limit`: seconds after which a call counts as unanswered."""
        self.timeout = limit
        self.share = 1.0  # of the requests, those that are asked for
        self.decreased_at = -math.inf
        self.over_quota_rate: dict[RequestKind, float] = {}  # of the asks, the part that found no room
        self.request_counts: dict[RequestKind, float] = {}  # recent ones, whether they were asked for or not
        self.call_credit: dict[RequestKind, float] = {}

    def call_ended(self, now: float, outcome: i.Outcome, latency: float) -> None:
        """What the end of a call says of the counter."""
        if outcome is i.Outcome.OK and latency < SLOW_ANSWER_SHARE * self.timeout:
            self.share = min(1.0, self.share + INCREASE)
        elif now - self.decreased_at >= self.timeout:  # else of the same queue
            self.decreased_at = now
            self.share = max(MIN_SHARE, self.share * DECREASE)

    def record_answer(self, kind: RequestKind, beyond: bool) -> None:
        """Whether an ask found no room."""
        known = self.over_quota_rate.get(kind, INITIAL_OVER_QUOTA_RATE)
        self.over_quota_rate[kind] = known + 0.05 * (beyond - known)

    def allows(self, kind: RequestKind) -> bool:
        """False for a request that isn't asked for: of a pressed counter first those that are worth least."""
        self.request_counts[kind] = self.request_counts.get(kind, 0.0) + 1
        total = sum(self.request_counts.values())
        dearer = sum(
            count
            for known, count in self.request_counts.items()
            if self.answer_value(known) > self.answer_value(kind)
        )
        part = (self.share * total - dearer) / self.request_counts[kind]
        self.call_credit[kind] = self.call_credit.get(kind, 0.0) + min(1.0, max(0.0, part))
        allowed = self.call_credit[kind] >= 1.0
        self.call_credit[kind] -= allowed
        if total > MAX_COUNTED_REQUESTS:
            self.request_counts = {known: count / 2 for known, count in self.request_counts.items()}
        return allowed

    def answer_value(self, kind: RequestKind) -> float:
        """What an answer saves on a unit: being let in beyond the quota, or being refused inside it."""
        plan, share = kind
        beyond = self.over_quota_rate.get(kind, INITIAL_OVER_QUOTA_RATE)
        return plan.price * (EXCESS_WEIGHT * beyond * plan.excess_cost if share else 1.0 - beyond)
