"""Evens out tables that differ: a cursor walks through another's table, some updates a datagram."""

from __future__ import annotations

import math
from dataclasses import dataclass

from standflow.fleet.failure_detector import FailureDetector
from standflow.fleet.member_table import MemberTable
from standflow.fleet.messages import NO_CURSOR, Message

DIFFERING_SECONDS = 0.4  # in which nobody holds the same, before a walk begins: news are quicker
STEP_SECONDS = 0.25  # between steps of a walk


@dataclass(slots=True)
class TableSync:
    """Which member holds something else, and how far the walk through its table has come."""

    table: MemberTable
    detector: FailureDetector
    member_id: int = 0  # who held something else last
    differing_since: float = math.inf  # nobody has held the same since then
    cursor: int = 0
    next_step: float = 0.0

    @property
    def tables_differ(self) -> bool:
        """True while nobody was heard that holds the same."""
        return self.differing_since < math.inf

    def compare(self, now: float, message: Message) -> None:
        """Notes whether the sender of a message holds the same."""
        if message.digest == self.table.digest:
            self.differing_since = math.inf
        else:
            self.member_id, self.differing_since = message.member_id, min(now, self.differing_since)

    def advance(self, message: Message) -> None:
        """The step that this message answers brought the walk to its cursor."""
        if message.cursor != NO_CURSOR:
            self.cursor = message.cursor

    def is_prolonged(self, now: float) -> bool:
        """True where tables have differed for twice the time after which a walk begins."""
        return now - self.differing_since > 2 * DIFFERING_SECONDS

    def tick(self, now: float, catching_up: bool) -> None:
        """Takes the next step where tables have differed for long enough."""
        if now >= self.next_step and now - self.differing_since > DIFFERING_SECONDS:
            self.next_step = now + (STEP_SECONDS / 2 if catching_up else STEP_SECONDS)
            self.detector.ping(now, self.member_id, self.cursor)
