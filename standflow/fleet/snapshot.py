"""What follows from the membership at a moment, and which side of a cut may take over."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Snapshot:
    """Who is alive, who is missing, and whether this side may take over."""

    alive: frozenset[int]
    unreachable: frozenset[int]
    has_quorum: bool
    slow_start_members: frozenset[int]  # by whom cold backends are divided
    returned: frozenset[int]  # come, or come back, since the last one


def has_quorum(alive: Set[int], unreachable: Set[int]) -> bool:
    """True for the side of a cut that may take over: more than half of all, or just half with the lowest id.

    No two sides of one fleet can both be.
    """
    ours, both = len(alive), len(alive) + len(unreachable)
    return 2 * ours > both or (0 < 2 * ours == both and min(alive) < min(unreachable))
