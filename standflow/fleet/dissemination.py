"""How updates spread: on whatever is sent anyway, some times each, and by walks through the table."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from heapq import nlargest

from standflow.fleet.member_table import MemberTable
from standflow.fleet.messages import NO_CURSOR, Address, State, Update

RETRANSMISSIONS = 3  # of an update, for each power of ten of the fleet's size
LEAVE_RETRANSMISSIONS = 99  # of the update by which this member leaves
SYNC_GOSSIP_DIVISOR = 4  # news take a part of this of a datagram that carries a walk through the table


@dataclass(slots=True)
class Dissemination:
    """The updates to be sent on. `remaining`: how often still, by member id."""

    table: MemberTable
    updates_per_datagram: int
    remaining: dict[int, int] = field(default_factory=dict)

    def publish(self, update: Update) -> None:
        """Holds an update in the table and sends it on."""
        self.table.put(update)
        powers_of_ten = math.ceil(math.log10(len(self.table.updates) + 1))
        self.remaining[update.member_id] = RETRANSMISSIONS * max(1, powers_of_ten)

    def publish_only(self, update: Update) -> None:
        """Holds an update in the table and sends on nothing else."""
        self.table.put(update)
        self.remaining = {update.member_id: LEAVE_RETRANSMISSIONS}

    def choose(self, to: int | Address, cursor: int) -> tuple[tuple[Update, ...], int]:
        """What a datagram carries: what its receiver is held for, news, and the walk from `cursor` on.

        Also where the walk goes on: 0 after its end.
        """
        chosen: dict[int, Update] = {}
        if isinstance(to, int) and self.table.state(to) not in (None, State.ALIVE):
            chosen[to] = self.table.updates[to]
        syncing = cursor != NO_CURSOR
        max_gossip = self.updates_per_datagram // (SYNC_GOSSIP_DIVISOR if syncing else 1)
        self._add_gossip(chosen, max_gossip - len(chosen))
        following = self._add_sync_page(chosen, cursor) if syncing else cursor
        return tuple(chosen.values()), following

    def _add_gossip(self, chosen: dict[int, Update], most: int) -> None:
        for member_id in nlargest(most, self.remaining, key=self.remaining.__getitem__):
            chosen[member_id] = self.table.updates[member_id]
            self.remaining[member_id] -= 1
            if not self.remaining[member_id]:
                del self.remaining[member_id]

    def _add_sync_page(self, chosen: dict[int, Update], cursor: int) -> int:
        for member_id in self.table.ids_from(cursor):
            if len(chosen) >= self.updates_per_datagram:
                return member_id
            chosen[member_id] = self.table.updates[member_id]
        return 0
