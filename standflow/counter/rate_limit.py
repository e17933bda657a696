"""Adaptive rate limit for calls to the counter. No I/O; times are in seconds on one clock.

Additive increase, multiplicative decrease: a counter that rejects calls as overloaded is called less often.
"""

from __future__ import annotations

DECREASE_FACTOR = 0.5  # applied to the rate after a rejected call
DECREASE_INTERVAL_SECONDS = 0.5  # further rejections within this time are ignored
INCREASE_PER_SECOND = 0.1  # as a fraction of the maximum rate
MIN_RATE_FRACTION = 0.02  # of the maximum rate


class AdaptiveRateLimit:
    """A token bucket whose rate, in calls per second, never exceeds the operator's maximum."""

    def __init__(self, max_rate: float, now: float) -> None:
        self.max_rate, self.rate, self.tokens, self.updated_at, self.decreased_at = (
            max_rate,
            max_rate,
            0.0,
            now,
            float("-inf"),
        )

    def available(self, now: float) -> int:
        """Refills the bucket and returns the number of whole calls that may be made now."""
        elapsed, self.updated_at = max(0.0, now - self.updated_at), now
        self.rate = min(self.max_rate, self.rate + INCREASE_PER_SECOND * self.max_rate * elapsed)
        self.tokens = min(max(1.0, self.rate), self.tokens + self.rate * elapsed)
        return int(self.tokens)

    def set_max_rate(self, max_rate: float) -> None:
        """Changes the maximum and scales the current rate in proportion."""
        self.rate, self.max_rate = self.rate * max_rate / self.max_rate, max_rate

    def spend(self) -> None:
        """Takes the token of one call."""
        self.tokens -= 1

    def record_result(self, rejected: bool, now: float) -> None:
        """Lowers the rate if the counter rejected the call as overloaded."""
        if rejected and now - self.decreased_at >= DECREASE_INTERVAL_SECONDS:
            self.decreased_at, self.rate = (
                now,
                max(MIN_RATE_FRACTION * self.max_rate, DECREASE_FACTOR * self.rate),
            )
            self.tokens = min(self.tokens, self.rate)
