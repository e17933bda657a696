"""Spreads updates: piggybacked on other datagrams a limited number of times each, and by table sync."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from heapq import nlargest

from standflow.fleet.member_table import MemberTable
from standflow.fleet.messages import NO_CURSOR, Address, State, Update

RETRANSMISSIONS = 3  # of an update, for each power of ten of the fleet's size
LEAVE_RETRANSMISSIONS = 99  # of this member's own LEFT update
SYNC_GOSSIP_DIVISOR = 4  # a datagram with a page of the table carries fewer recent updates by this factor


@dataclass(slots=True)
class Dissemination:
    """Updates to retransmit. `remaining`: transmissions left, by member id."""

    table: MemberTable
    updates_per_datagram: int
    remaining: dict[int, int] = field(default_factory=dict)

    def publish(self, update: Update) -> None:
        """Stores an update in the table and schedules its transmission."""
        self.table.put(update)
        powers_of_ten = math.ceil(math.log10(len(self.table.updates) + 1))
        self.remaining[update.member_id] = RETRANSMISSIONS * max(1, powers_of_ten)

    def publish_only(self, update: Update) -> None:
        """Stores an update in the table and from now on transmits no other."""
        self.table.put(update)
        self.remaining = {update.member_id: LEAVE_RETRANSMISSIONS}

    def choose(self, to: int | Address, cursor: int) -> tuple[tuple[Update, ...], int]:
        """The updates of one datagram, and the cursor of the next page of the table (0 after the last page).

        A receiver that this member does not hold for alive gets its own state first, so that it can refute
        it. Recent updates follow, then a page of the table from `cursor` on.
        """
        chosen: dict[int, Update] = {}
        if isinstance(to, int) and self.table.state(to) not in (None, State.ALIVE):
            chosen[to] = self.table.updates[to]
        syncing = cursor != NO_CURSOR
        max_gossip = self.updates_per_datagram // (SYNC_GOSSIP_DIVISOR if syncing else 1)
        self._add_gossip(chosen, max_gossip - len(chosen))
        following = self._add_sync_page(chosen, cursor) if syncing else cursor
        return tuple(chosen.values()), following

    def _add_gossip(self, chosen: dict[int, Update], max_updates: int) -> None:
        for member_id in nlargest(max_updates, self.remaining, key=self.remaining.__getitem__):
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
