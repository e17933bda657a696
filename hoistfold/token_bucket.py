"""A token bucket without a clock of its own."""

from __future__ import annotations


class TokenBucket:
    """Starts full; times are in seconds of any monotonic clock."""

    def __init__(self, per_second: float, capacity: float) -> None:
        self.per_second = per_second
        self.capacity = capacity
        self.tokens = capacity
        self.filled_at: float | None = None

    def level(self, now: float) -> float:
        """Remaining fraction of the capacity."""
        self._fill(now)
        return self.tokens / self.capacity

    def take(self, now: float, tokens: float) -> bool:
        """Takes tokens, or none and returns False if there are not enough."""
        self._fill(now)
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True

    def _fill(self, now: float) -> None:
        since = now if self.filled_at is None else self.filled_at
        self.tokens = min(self.capacity, self.tokens + self.per_second * max(0.0, now - since))
        self.filled_at = now
