"""How many calls the counter is asked for. No I/O; times are seconds of one clock.

It rises evenly and falls at once: a counter that turns calls away is asked less, not more.
"""

from __future__ import annotations

FALL = 0.5  # of the rate is left after a call that was turned away
PAUSE = 0.5  # seconds in which further ones do not count again
RISE = 0.1  # of the most, a second
LEAST = 0.02  # of the most


class AdaptiveRateLimit:
    """A rate of calls a second that is at most what the operator states."""

    def __init__(self, most: float, now: float) -> None:
        self.most, self.rate, self.tokens, self.at, self.fell = most, most, 0.0, now, float("-inf")

    def take(self, now: float) -> int:
        """Whole calls that may be made now."""
        passed, self.at = max(0.0, now - self.at), now
        self.rate = min(self.most, self.rate + RISE * self.most * passed)
        self.tokens = min(max(1.0, self.rate), self.tokens + self.rate * passed)
        return int(self.tokens)

    def allow(self, most: float) -> None:
        """Another rate is the most; what the counter bore of the old one is kept in proportion."""
        self.rate, self.most = self.rate * most / self.most, most

    def spend(self) -> None:
        """One call is made."""
        self.tokens -= 1

    def ended(self, full: bool, now: float) -> None:
        """How one ended: true where it was turned away."""
        if full and now - self.fell >= PAUSE:
            self.fell, self.rate = now, max(LEAST * self.most, FALL * self.rate)
            self.tokens = min(self.tokens, self.rate)
