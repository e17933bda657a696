"""Token bucket; the current time is an argument."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Allows `rate_per_second` tokens a second and at most `burst` at once."""

    rate_per_second: float
    burst: float
    tokens: float
    filled_at: float

    @classmethod
    def full(cls, rate_per_second: float, burst: float, now: float) -> TokenBucket:
        """A bucket that starts with a whole burst."""
        return cls(rate_per_second, burst, burst, now)

    def take(self, now: float, tokens: int = 1) -> bool:
        """Takes the tokens and returns True, or takes none and returns False if there are too few."""
        self.tokens = min(self.burst, self.tokens + (now - self.filled_at) * self.rate_per_second)
        self.filled_at = now
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True
