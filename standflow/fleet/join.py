"""How a member finds the others: neighbours, seeds, absent members, and who was alive before a restart."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from standflow.fleet.failure_detector import FailureDetector
from standflow.fleet.member_table import ALIVE_STATES, MemberTable
from standflow.fleet.messages import Address, Kind, State
from standflow.fleet.table_sync import TableSync

ABSENT_PING_SECONDS = 1.0  # between calls to an absent member
ABSENT_PING_ALONE_SECONDS = 0.25  # the same while nobody is known
MAX_NEIGHBOURS_PINGED = (
    4  # member ids before ours that are called first: they have to tell us what the ring knows
)
EXPECTED_TIMEOUT_SECONDS = (
    0.8  # in which those known before a restart have to be heard, or they count as missing
)
STARTUP_SECONDS = 6.0  # for which a member is new


@dataclass(slots=True)
class Join:
    """Calls to members that nobody holds for alive. `listed`: each can be called by its id alone."""

    table: MemberTable
    detector: FailureDetector
    sync: TableSync
    rng: random.Random
    started_at: float
    listed: bool
    seeds: tuple[Address, ...]
    neighbours_pinged: int = 0
    next_ping: float = 0.0
    expected: set[int] = field(default_factory=set)  # alive before our restart, and not heard yet

    def is_starting(self, now: float) -> bool:
        """True while this member is new."""
        return now - self.started_at < STARTUP_SECONDS

    def is_waiting(self, now: float) -> bool:
        """Others were alive before our restart, and they have not had the time to be heard."""
        return bool(self.expected) and now - self.started_at < EXPECTED_TIMEOUT_SECONDS

    def tick(self, now: float) -> None:
        """Calls a member before ours, and an absent one, when it is time."""
        if self.neighbours_pinged < min(MAX_NEIGHBOURS_PINGED, self.table.size - 1) and self.listed:
            self.neighbours_pinged += 1
            self.detector.ping(now, (self.table.own_id - self.neighbours_pinged) % self.table.size)
        if now >= self.next_ping:
            pause = ABSENT_PING_SECONDS if len(self.table.updates) > 1 else ABSENT_PING_ALONE_SECONDS
            self.next_ping = now + pause * self.rng.uniform(0.8, 1.2)
            self._ping_absent(now)

    def _ping_absent(self, now: float) -> None:
        """A member never heard of, a dead one, or a seed."""
        absent = self._absent()
        known = {update.address for update in self.table.updates.values()}
        seeds = [seed for seed in self.seeds if seed not in known]
        if seeds and (not absent or self.rng.random() < 0.5):
            self._ping_seed(now, seeds)
        elif absent:
            self.detector.ping(now, self.rng.choice(absent))

    def _ping_seed(self, now: float, seeds: list[Address]) -> None:
        outbox = self.detector.outbox
        if outbox.send_limit.take(now):
            seed = self.rng.choice(seeds)
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
