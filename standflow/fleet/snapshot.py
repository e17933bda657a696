"""A snapshot of the membership, and the quorum rule for network partitions."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Snapshot:
    """Which members are alive or unreachable, and whether this side of a partition has a quorum."""

    alive: frozenset[int]
    unreachable: frozenset[int]
    has_quorum: bool
    slow_start_members: frozenset[int]  # share the slow start of cold backends
    returned: frozenset[int]  # joined or rejoined since the previous snapshot


def has_quorum(alive: Set[int], unreachable: Set[int]) -> bool:
    """True for a side with more than half of all members, or with exactly half including the lowest id.

    At most one side of a partition has a quorum.
    """
    alive_count, total = len(alive), len(alive) + len(unreachable)
    return 2 * alive_count > total or (0 < 2 * alive_count == total and min(alive) < min(unreachable))
