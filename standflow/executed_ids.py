"""Ids of unsafe requests that may have run, so that none runs again when it comes again. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

KEPT_SECONDS = 30.0  # longer than any client that has left would try again
DEFAULT_LIMIT = 20_000  # ids


class ExecutedIds:
    """A bounded table; the oldest ids are dropped first."""

    def __init__(self, now: Callable[[], float], limit: int = DEFAULT_LIMIT) -> None:
        self.now, self.limit = now, limit
        self.added_at: OrderedDict[object, float] = OrderedDict()
        # Called with an id and whether its request may have run, when that changes.
        self.changed: Callable[[object, bool], None] = lambda ident, may_have_run: None
        # True if another process of this ingress knows the id.
        self.known_elsewhere: Callable[[object], bool] = lambda ident: False

    def __contains__(self, ident: object) -> bool:
        """True if a request with this id may have run, here or in another process."""
        return ident in self.added_at or self.known_elsewhere(ident)

    def add(self, ident: object) -> None:
        """A request with this id is about to be sent."""
        oldest_kept = self.now() - KEPT_SECONDS
        while self.added_at and (
            len(self.added_at) >= self.limit or next(iter(self.added_at.values())) < oldest_kept
        ):
            self.added_at.popitem(last=False)
        self.added_at[ident] = self.now()
        self.changed(ident, True)

    def discard(self, ident: object) -> None:
        """The request has ended, and no attempt of it can have run."""
        if self.added_at.pop(ident, None) is not None:
            self.changed(ident, False)
