"""One member's table: the newest update on every member id, with the sets and the digest derived from it."""

from __future__ import annotations

import random
from bisect import bisect_left
from dataclasses import dataclass, field, replace
from zlib import crc32

from standflow.fleet.messages import MAX_BOOT_TIME_MS, MAX_INCARNATION, State, Update, pack_update

ALIVE_STATES = (State.ALIVE, State.SUSPECTED)


@dataclass(slots=True)
class MemberTable:
    """One member's table. `alive` includes suspected members and this member itself."""

    own_id: int
    size: int  # member ids are 0 to size - 1
    rng: random.Random
    updates: dict[int, Update] = field(default_factory=dict)
    digest: int = 0  # equal for equal tables; suspicions are excluded because they are temporary
    alive: set[int] = field(default_factory=set)
    dead: set[int] = field(default_factory=set)
    revision: int = 0  # incremented when `alive` or `dead` changes
    _others: list[int] = field(default_factory=list)  # cache of `alive` without this member; empty if stale
    _ids: list[int] = field(default_factory=list)  # cache of all known ids, sorted; empty if stale

    @property
    def own(self) -> Update:
        """This member's update on itself."""
        return self.updates[self.own_id]

    def state(self, member_id: int) -> State | None:
        """The state of a member; None if it is unknown."""
        update = self.updates.get(member_id)
        return None if update is None else update.state

    def is_newer(self, update: Update) -> bool:
        """True if an update is valid and newer than the stored one."""
        if update.boot_time_ms > MAX_BOOT_TIME_MS or update.incarnation > MAX_INCARNATION:
            return False
        known = self.updates.get(update.member_id)
        return known is None or (update.version, update.state) > (known.version, known.state)

    def put(self, update: Update) -> None:
        """Stores an update in place of the previous one."""
        known = self.updates.get(update.member_id)
        if known is None:
            self._ids = []
        else:
            self.digest ^= _digest(known)
        self.updates[update.member_id] = update
        self.digest ^= _digest(update)
        self._set_membership(self.alive, update.member_id, update.state in ALIVE_STATES)
        self._set_membership(self.dead, update.member_id, update.state is State.DEAD)

    def sample_others(self, max_members: int) -> list[int]:
        """A random sample of the other members that are alive."""
        if not self._others:
            self._others = sorted(self.alive - {self.own_id})
        return self.rng.sample(self._others, min(max_members, len(self._others)))

    def ids_from(self, first: int) -> list[int]:
        """All known member ids that are not below `first`, in order."""
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
