"""Limits the calls to the counter service and selects the requests that are worth one.

The share of requests with a call follows the service: it falls when answers are slow or missing or calls are
refused, and grows with answers in time. Requests whose decision most likely depends on the answer come first,
weighted by the value of that decision.
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
    """Decides for which requests the counter service is called."""

    def __init__(self, timeout: float) -> None:
        """`timeout`: of a call, in seconds."""
        self.timeout = timeout
        self.share = 1.0  # of requests with a call
        self.decreased_at = -math.inf
        self.over_quota_rate: dict[RequestKind, float] = {}  # by kind, of answered calls
        self.request_counts: dict[RequestKind, float] = {}  # recent requests, with or without a call
        self.call_credit: dict[RequestKind, float] = {}

    def call_ended(self, now: float, outcome: i.Outcome, latency: float) -> None:
        """Adjusts the share to the result of a call."""
        if outcome is i.Outcome.OK and latency < SLOW_ANSWER_SHARE * self.timeout:
            self.share = min(1.0, self.share + INCREASE)
        elif now - self.decreased_at >= self.timeout:  # otherwise due to the same queue
            self.decreased_at = now
            self.share = max(MIN_SHARE, self.share * DECREASE)

    def record_answer(self, kind: RequestKind, over_quota: bool) -> None:
        """Records whether a call found the quota exhausted."""
        rate = self.over_quota_rate.get(kind, INITIAL_OVER_QUOTA_RATE)
        self.over_quota_rate[kind] = rate + 0.05 * (over_quota - rate)

    def allows(self, kind: RequestKind) -> bool:
        """Whether to call for a request; kinds with the most valuable answers come first."""
        self.request_counts[kind] = self.request_counts.get(kind, 0.0) + 1
        total = sum(self.request_counts.values())
        more_valuable = sum(
            count
            for other, count in self.request_counts.items()
            if self.answer_value(other) > self.answer_value(kind)
        )
        share = (self.share * total - more_valuable) / self.request_counts[kind]
        self.call_credit[kind] = self.call_credit.get(kind, 0.0) + min(1.0, max(0.0, share))
        allowed = self.call_credit[kind] >= 1.0
        self.call_credit[kind] -= allowed
        if total > MAX_COUNTED_REQUESTS:
            self.request_counts = {other: count / 2 for other, count in self.request_counts.items()}
        return allowed

    def answer_value(self, kind: RequestKind) -> float:
        """Value of an answer per unit: it prevents excess, or a refusal within the quota."""
        plan, admitted = kind
        over_quota_rate = self.over_quota_rate.get(kind, INITIAL_OVER_QUOTA_RATE)
        return plan.price * (
            EXCESS_WEIGHT * over_quota_rate * plan.excess_cost if admitted else 1.0 - over_quota_rate
        )
