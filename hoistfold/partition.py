"""Detects partitions and the share of a quota that each side may use.

The membership detects unreachable members one after another over seconds, the ring's silence within a few
epochs. A member therefore counts as unreachable from its silence on, whether the membership considers it dead
yet or not. If silent members counted as alive until they are declared dead, the first death would make a
minority a majority again until the last one.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence, Set
from dataclasses import dataclass

from hoistfold.interface import MembershipChanged

MINORITY_SHARE = 0.1  # of its even shares of a quota, for a side without quorum
SILENT_EPOCHS = 4  # without a message, after which a member counts as unreachable
SUSPICIOUS_EPOCHS = 2  # without a message from half of the members, after which a partition may have begun
MAX_UNEXPLAINED_SILENCE_SECONDS = 6.0  # after which a silent member is alive if the membership says so


@dataclass(slots=True, frozen=True)
class Partition:
    """Unreachable members, and whether this side may use the whole quota."""

    unreachable: frozenset[int] = frozenset()
    has_quorum: bool = True

    def quota_share(self, ring: Sequence[int]) -> float:
        """Usable share (0 to 1) of the quota of a tenant with these ring members."""
        unreachable = sum(number in self.unreachable for number in ring)
        if self.has_quorum or not unreachable:
            return 1.0
        return MINORITY_SHARE * (len(ring) - unreachable) / len(ring)


def detect_partition(
    membership: MembershipChanged, silences: Mapping[int, float], epoch_seconds: float
) -> Partition:
    """Combines the membership with the seconds since each other member was last seen."""
    unreachable = membership.unreachable | _silent(membership, silences, epoch_seconds)
    reachable = membership.alive - unreachable
    # The membership denies a quorum to a member that no other one can reach, whatever it receives itself.
    return Partition(unreachable, membership.has_quorum and _is_majority(reachable, unreachable))


def _silent(
    membership: MembershipChanged, silences: Mapping[int, float], epoch_seconds: float
) -> frozenset[int]:
    """Alive members that have been silent for too long.

    A member whose messages to this gateway alone are lost is kept alive by others and counts as reachable in
    the end. While any member is unreachable, more deaths from the same partition may follow, later in larger
    clusters.
    """
    threshold = SILENT_EPOCHS * epoch_seconds
    return frozenset(
        number
        for number, silence in silences.items()
        if number in membership.alive
        and silence >= threshold
        and (membership.unreachable or silence < MAX_UNEXPLAINED_SILENCE_SECONDS)
    )


def _is_majority(reachable: Set[int], unreachable: Set[int]) -> bool:
    """More than half, or exactly half with the lowest number, which only one side can be."""
    ours, theirs = len(reachable), len(unreachable)
    return ours > theirs or (0 < ours == theirs and min(reachable) < min(unreachable))


def may_be_cut_off(silences: Collection[float], epoch_seconds: float) -> bool:
    """Whether this member may be on the smaller side of a partition that was not detected yet.

    `silences`: seconds since each other member that the membership holds for alive was last seen.
    """
    silent = sum(silence >= SUSPICIOUS_EPOCHS * epoch_seconds for silence in silences)
    return 2 * silent >= len(silences) + 1
