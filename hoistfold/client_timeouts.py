"""Estimates how long a client has been waiting from the timeout of its request.

Clients use the same timeout for most requests. The last retry gets what is left of the class's deadline,
which may be longer or shorter: a timeout that differs from the usual one reveals the time of the first
attempt.
"""

from __future__ import annotations

from dataclasses import dataclass

TOLERANCE = 0.05  # of the deadline: timeouts that differ by less are equal, as busy event loops add delay
MAX_VOTES = 50.0  # so that a new common timeout is learned within a few hundred requests
MISMATCH_VOTE = 0.25  # subtracted by each other timeout: the common one needs a fifth of all requests
MIN_VOTES = 2.0  # from which a common timeout is known


@dataclass(slots=True)
class UsualTimeout:
    """The most common timeout of a request class, found by a running vote."""

    deadline: float
    timeout: float = 0.0
    votes: float = 0.0

    def observe(self, time_left: float) -> float:
        """Records a request; returns the seconds that its client has surely waited before, 0 if unknown."""
        if abs(time_left - self.timeout) <= TOLERANCE * self.deadline:
            self.votes = min(MAX_VOTES, self.votes + 1)
            return 0.0
        self.votes -= MISMATCH_VOTE
        if self.votes < 0:
            self.timeout, self.votes = time_left, 1.0
        return max(0.0, self.deadline - time_left) if self.votes >= MIN_VOTES else 0.0
