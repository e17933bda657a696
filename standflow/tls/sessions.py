"""The sessions that were taken up with next hops, to be taken up again. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

# What a session is good for: address, start and name of the next hop, and the generation of the material.
# A session proves only what was proved when it was made, so it serves nothing else.
Identity = tuple[tuple[str, int], float | None, str, int]


@dataclass(slots=True, frozen=True)
class _Kept:
    session: Any
    until: float
    once: bool


class Sessions:
    """A bounded store for each next hop; the newest is used first."""

    def __init__(self, most: int, life: float) -> None:
        self.most, self.life = most, life
        self.kept: dict[str, tuple[Identity, deque[_Kept]]] = {}

    def put(self, hop: str, identity: Identity, session: Any, now: float, life: float, once: bool) -> None:
        """Keeps a session for `life` seconds at most; `once`: a ticket of TLS 1.3, which is used once."""
        if self.most <= 0 or life <= 0:
            return
        held = self.kept.get(hop)
        if held is None or held[0] != identity:
            held = self.kept[hop] = (identity, deque(maxlen=self.most))
        held[1].append(_Kept(session, now + min(life, self.life), once))

    def take(self, hop: str, identity: Identity, now: float) -> Any | None:
        """A session for a new connection, or None; one that is used once is gone from here."""
        held = self.kept.get(hop)
        if held is None:
            return None
        if held[0] != identity:
            del self.kept[hop]
            return None
        while held[1]:
            kept = held[1].pop()
            if kept.until > now:
                if not kept.once:
                    held[1].append(kept)
                return kept.session
        del self.kept[hop]
        return None

    def forget(self, hop: str) -> None:
        """The next hop is gone, has started anew or declined one: what is kept is worth nothing."""
        self.kept.pop(hop, None)

    def clear(self) -> None:
        """Roots or the client's certificate have changed."""
        self.kept.clear()

    def count(self, hop: str) -> int:
        """How many are kept for a next hop."""
        held = self.kept.get(hop)
        return 0 if held is None else len(held[1])
