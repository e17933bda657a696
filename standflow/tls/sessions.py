"""Store of TLS sessions for resumption. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

# What a session is valid for: address, start time and name of the next hop, and the generation of the
# material. A session proves only what was verified at its full handshake, so it must not be used for anything
# else.
Identity = tuple[tuple[str, int], float | None, str, int]


@dataclass(slots=True, frozen=True)
class _StoredSession:
    session: Any
    expires_at: float
    single_use: bool


class Sessions:
    """A bounded store per next hop; the newest session is used first."""

    def __init__(self, limit: int, max_lifetime: float) -> None:
        self.limit, self.max_lifetime = limit, max_lifetime
        self.by_hop: dict[str, tuple[Identity, deque[_StoredSession]]] = {}

    def put(
        self, hop: str, identity: Identity, session: Any, now: float, lifetime: float, single_use: bool
    ) -> None:
        """Stores a session for at most `lifetime` seconds; `single_use` is set for TLS 1.3 tickets."""
        if self.limit <= 0 or lifetime <= 0:
            return
        entry = self.by_hop.get(hop)
        if entry is None or entry[0] != identity:
            entry = self.by_hop[hop] = (identity, deque(maxlen=self.limit))
        entry[1].append(_StoredSession(session, now + min(lifetime, self.max_lifetime), single_use))

    def take(self, hop: str, identity: Identity, now: float) -> Any | None:
        """Returns a session for a new connection, or None. A single-use session is removed."""
        entry = self.by_hop.get(hop)
        if entry is None:
            return None
        if entry[0] != identity:
            del self.by_hop[hop]
            return None
        while entry[1]:
            stored = entry[1].pop()
            if stored.expires_at > now:
                if not stored.single_use:
                    entry[1].append(stored)
                return stored.session
        del self.by_hop[hop]
        return None

    def forget(self, hop: str) -> None:
        """Drops all sessions of a next hop that is gone, was restarted or declined one."""
        self.by_hop.pop(hop, None)

    def clear(self) -> None:
        """Drops everything, after a change of the roots or the client certificate."""
        self.by_hop.clear()

    def count(self, hop: str) -> int:
        """Returns the number of sessions stored for a next hop."""
        entry = self.by_hop.get(hop)
        return 0 if entry is None else len(entry[1])
