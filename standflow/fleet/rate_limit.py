"""A token bucket, with time as an argument."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Lets through so many a second, and at most `burst` at once."""

    rate_per_second: float
    burst: float
    tokens: float
    filled_at: float

    @classmethod
    def full(cls, rate_per_second: float, burst: float, now: float) -> TokenBucket:
        """A bucket that lets a whole burst through at once."""
        return cls(rate_per_second, burst, burst, now)

    def take(self, now: float, tokens: int = 1) -> bool:
        """Takes the tokens and returns true, or takes none where there are too few."""
        self.tokens = min(self.burst, self.tokens + (now - self.filled_at) * self.rate_per_second)
        self.filled_at = now
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True
