"""Which side of a network partition this gateway is on, and what part of a quota that side may use.

The membership learns of the members behind a cut one after another, over seconds, while the ring tells within
some epochs who is not heard any more. So a member counts as unreached from its silence on, whether
it is held for dead yet or not: were those that are only silent counted as present until they are dead, the
first death would turn the smaller side into a majority until the last one. No I/O; time is an argument.
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
    """The members that are not reached, and whether this side goes on with the whole quota."""

    unreachable: frozenset[int] = frozenset()
    has_quorum: bool = True

    def quota_share(self, ring: Sequence[int]) -> float:
        """The part of the quota of a tenant whose requests come in by these members, 0 to 1."""
        unreached = sum(number in self.unreachable for number in ring)
        if self.has_quorum or not unreached:
            return 1.0
        return MINORITY_SHARE * (len(ring) - unreached) / len(ring)


def detect_partition(
    fleet: MembershipChanged, silences: Mapping[int, float], epoch_seconds: float
) -> Partition:
    """What follows from the membership and from the seconds for which each other member was not heard."""
    unreached = fleet.unreachable | _silent(fleet, silences, epoch_seconds)
    reached = fleet.alive - unreached
    # a member that nobody hears is told that it has no quorum, whatever it hears itself
    return Partition(unreached, fleet.has_quorum and _is_majority(reached, unreached))


def _silent(fleet: MembershipChanged, silences: Mapping[int, float], epoch_seconds: float) -> frozenset[int]:
    """Those held for present and not heard.

    One whose messages alone do not come is vouched for by others, and counts as present in the end; but while
    anybody is missing the deaths behind a cut may still be on their way, which takes longer in larger fleets.
    """
    least = SILENT_EPOCHS * epoch_seconds
    return frozenset(
        number
        for number, silence in silences.items()
        if number in fleet.alive
        and silence >= least
        and (fleet.unreachable or silence < MAX_UNEXPLAINED_SILENCE_SECONDS)
    )


def _is_majority(reached: Set[int], unreached: Set[int]) -> bool:
    """More than half of all, or just half with the lowest number: two sides can't both be."""
    ours, theirs = len(reached), len(unreached)
    return ours > theirs or (0 < ours == theirs and min(reached) < min(unreached))


def may_be_cut_off(silences: Collection[float], epoch_seconds: float) -> bool:
    """Whether this member may be on the smaller side of a cut that nobody has noticed yet.

    `silences`: seconds for which each of the others that count as reached was not heard.
    """
    silent = sum(silence >= SUSPICIOUS_EPOCHS * epoch_seconds for silence in silences)
    return 2 * silent >= len(silences) + 1
