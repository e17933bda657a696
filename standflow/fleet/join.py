"""How a member finds the others: neighbours, seeds, absent members, and who was alive before a restart."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from standflow.fleet.failure_detector import FailureDetector
from standflow.fleet.member_table import ALIVE_STATES, MemberTable
from standflow.fleet.messages import Address, Kind, State
from standflow.fleet.table_sync import TableSync

CALL_SECONDS = 1.0  # between calls to an absent member
LONELY_CALL_SECONDS = 0.25  # the same while nobody is known
MOST_GREETED = 4  # member ids before ours that are called first: they have to tell us what the ring knows
EXPECTED_SECONDS = 0.8  # in which those known before a restart have to be heard, or they count as missing
YOUNG_SECONDS = 6.0  # for which a member is new


@dataclass(slots=True)
class Join:
    """Calls to members that nobody holds for alive. `listed`: each can be called by its id alone."""

    table: MemberTable
    detector: FailureDetector
    sync: TableSync
    chance: random.Random
    born: float
    listed: bool
    seeds: tuple[Address, ...]
    greeted: int = 0
    next_call: float = 0.0
    expected: set[int] = field(default_factory=set)  # alive before our restart, and not heard yet

    def is_young(self, now: float) -> bool:
        """True while this member is new."""
        return now - self.born < YOUNG_SECONDS

    def is_waiting(self, now: float) -> bool:
        """Others were alive before our restart, and they have not had the time to be heard."""
        return bool(self.expected) and now - self.born < EXPECTED_SECONDS

    def tick(self, now: float) -> None:
        """Calls a member before ours, and an absent one, when it is time."""
        if self.greeted < min(MOST_GREETED, self.table.size - 1) and self.listed:
            self.greeted += 1
            self.detector.ping(now, (self.table.own_id - self.greeted) % self.table.size)
        if now >= self.next_call:
            pause = CALL_SECONDS if len(self.table.updates) > 1 else LONELY_CALL_SECONDS
            self.next_call = now + pause * self.chance.uniform(0.8, 1.2)
            self._call_absent(now)

    def _call_absent(self, now: float) -> None:
        """A member never heard of, a dead one, or a seed."""
        absent = self._absent()
        known = {update.address for update in self.table.updates.values()}
        seeds = [seed for seed in self.seeds if seed not in known]
        if seeds and (not absent or self.chance.random() < 0.5):
            self._call_seed(now, seeds)
        elif absent:
            self.detector.ping(now, self.chance.choice(absent))

    def _call_seed(self, now: float, seeds: list[Address]) -> None:
        outbox = self.detector.outbox
        if outbox.sends.take(now):
            seed = self.chance.choice(seeds)
            outbox.send(seed, Kind.PING, serial=outbox.next_serial(), cursor=self.sync.cursor)

    def _absent(self) -> list[int]:
        if self.listed:
            not_absent = (*ALIVE_STATES, State.LEFT)
            return [one for one in range(self.table.size) if self.table.state(one) not in not_absent]
        return [
            member_id
            for member_id, update in self.table.updates.items()
            if update.state in (State.DEAD, State.REMOVED) and update.address
        ]
