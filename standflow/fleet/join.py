"""Discovery of other members: by neighbouring ids, seeds, absent members and those known before a restart."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from standflow.fleet.failure_detector import FailureDetector
from standflow.fleet.member_table import ALIVE_STATES, MemberTable
from standflow.fleet.messages import Address, Kind, State
from standflow.fleet.table_sync import TableSync

ABSENT_PING_SECONDS = 1.0  # between pings to absent members
ABSENT_PING_ALONE_SECONDS = 0.25  # the same while no other member is known
MAX_NEIGHBOURS_PINGED = 4  # preceding ids, pinged first because they forward the ring's state to this member
EXPECTED_TIMEOUT_SECONDS = 0.8  # members known before a restart count as unreachable if not seen by then
STARTUP_SECONDS = 6.0


@dataclass(slots=True)
class Join:
    """Pings members that are not known to be alive. `listed`: the settings list every member's address."""

    table: MemberTable
    detector: FailureDetector
    sync: TableSync
    rng: random.Random
    started_at: float
    listed: bool
    seeds: tuple[Address, ...]
    neighbours_pinged: int = 0
    next_ping: float = 0.0
    expected: set[int] = field(default_factory=set)  # counted before this member's restart, not seen yet

    def is_starting(self, now: float) -> bool:
        """True for STARTUP_SECONDS after the start."""
        return now - self.started_at < STARTUP_SECONDS

    def is_waiting(self, now: float) -> bool:
        """True while members known before the restart may still send their first datagram."""
        return bool(self.expected) and now - self.started_at < EXPECTED_TIMEOUT_SECONDS

    def tick(self, now: float) -> None:
        """Pings a preceding neighbour, and an absent member when due."""
        if self.neighbours_pinged < min(MAX_NEIGHBOURS_PINGED, self.table.size - 1) and self.listed:
            self.neighbours_pinged += 1
            self.detector.ping(now, (self.table.own_id - self.neighbours_pinged) % self.table.size)
        if now >= self.next_ping:
            pause = ABSENT_PING_SECONDS if len(self.table.updates) > 1 else ABSENT_PING_ALONE_SECONDS
            self.next_ping = now + pause * self.rng.uniform(0.8, 1.2)
            self._ping_absent(now)

    def _ping_absent(self, now: float) -> None:
        """Pings an unknown or dead member, or a seed."""
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
