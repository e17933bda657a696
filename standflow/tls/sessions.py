"""The sessions that were taken up with next hops, to be taken up again. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

# What a session is good for: address, start and name of the next hop, and the generation of the material.
# A session proves only what was proved when it was made, so it serves nothing else.
Identity = tuple[tuple[str, int], float | None, str, int]


@dataclass(slots=True, frozen=True)
class _StoredSession:
    session: Any
    expires_at: float
    single_use: bool


class Sessions:
    """A bounded store for each next hop; the newest is used first."""

    def __init__(self, limit: int, max_lifetime: float) -> None:
        self.limit, self.max_lifetime = limit, max_lifetime
        self.by_hop: dict[str, tuple[Identity, deque[_StoredSession]]] = {}

    def put(
        self, hop: str, identity: Identity, session: Any, now: float, lifetime: float, single_use: bool
    ) -> None:
        """Keeps a session for `lifetime` seconds at most; `single_use` is set for TLS 1.3 tickets."""
        if self.limit <= 0 or lifetime <= 0:
            return
        held = self.by_hop.get(hop)
        if held is None or held[0] != identity:
            held = self.by_hop[hop] = (identity, deque(maxlen=self.limit))
        held[1].append(_StoredSession(session, now + min(lifetime, self.max_lifetime), single_use))

    def take(self, hop: str, identity: Identity, now: float) -> Any | None:
        """A session for a new connection, or None; one that is used once is gone from here."""
        held = self.by_hop.get(hop)
        if held is None:
            return None
        if held[0] != identity:
            del self.by_hop[hop]
            return None
        while held[1]:
            kept = held[1].pop()
            if kept.expires_at > now:
                if not kept.single_use:
                    held[1].append(kept)
                return kept.session
        del self.by_hop[hop]
        return None

    def forget(self, hop: str) -> None:
        """The next hop is gone, has started anew or declined one: what is kept is worth nothing."""
        self.by_hop.pop(hop, None)

    def clear(self) -> None:
        """Roots or the client's certificate have changed."""
        self.by_hop.clear()

    def count(self, hop: str) -> int:
        """How many are kept for a next hop."""
        held = self.by_hop.get(hop)
        return 0 if held is None else len(held[1])
