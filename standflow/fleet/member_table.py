"""What one member holds of each other: the newest update on every member id, and what follows from it."""

from __future__ import annotations

import random
from bisect import bisect_left
from dataclasses import dataclass, field, replace
from zlib import crc32

from standflow.fleet.messages import MAX_BOOT_TIME_MS, MAX_INCARNATION, State, Update, pack_update

ALIVE_STATES = (State.ALIVE, State.SUSPECTED)


@dataclass(slots=True)
class MemberTable:
    """One member's table. `alive` holds those alive or suspected, this member among them."""

    own_id: int
    size: int  # member ids are below it
    rng: random.Random
    updates: dict[int, Update] = field(default_factory=dict)
    digest: int = 0  # equal for equal tables; suspicions are left out, as they pass
    alive: set[int] = field(default_factory=set)
    dead: set[int] = field(default_factory=set)
    revision: int = 0  # raised when `alive` or `dead` change
    _others: list[int] = field(default_factory=list)  # alive, without this one; empty: to be made anew
    _ids: list[int] = field(default_factory=list)  # all known, sorted; empty: to be made anew

    @property
    def own(self) -> Update:
        """What this member says of itself."""
        return self.updates[self.own_id]

    def state(self, member_id: int) -> State | None:
        """None for a member that was never heard of."""
        update = self.updates.get(member_id)
        return None if update is None else update.state

    def is_newer(self, update: Update) -> bool:
        """True for a sound update that is newer than the one held."""
        if update.boot_time_ms > MAX_BOOT_TIME_MS or update.incarnation > MAX_INCARNATION:
            return False
        known = self.updates.get(update.member_id)
        return known is None or (update.version, update.state) > (known.version, known.state)

    def put(self, update: Update) -> None:
        """Holds an update in place of the one before."""
        known = self.updates.get(update.member_id)
        if known is None:
            self._ids = []
        else:
            self.digest ^= _digest(known)
        self.updates[update.member_id] = update
        self.digest ^= _digest(update)
        self._set_membership(self.alive, update.member_id, update.state in ALIVE_STATES)
        self._set_membership(self.dead, update.member_id, update.state is State.DEAD)

    def sample_others(self, most: int) -> list[int]:
        """Some of the others that are alive, by chance."""
        if not self._others:
            self._others = sorted(self.alive - {self.own_id})
        return self.rng.sample(self._others, min(most, len(self._others)))

    def ids_from(self, first: int) -> list[int]:
        """All known member ids from one on, in order."""
        self._ids = self._ids or sorted(self.updates)
        return self._ids[bisect_left(self._ids, first) :]

    def _set_membership(self, members: set[int], member_id: int, belongs: bool) -> None:
        if belongs == (member_id in members):
            return
        if belongs:
            members.add(member_id)
        else:
            members.discard(member_id)
        self._others = []
        self.revision += 1


def _digest(update: Update) -> int:
    state = State.ALIVE if update.state is State.SUSPECTED else update.state
    return crc32(pack_update(replace(update, state=state, address=None)))
