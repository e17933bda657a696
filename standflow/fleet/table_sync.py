"""Anti-entropy: fetches another member's table page by page, with a cursor, when the two tables differ."""

from __future__ import annotations

import math
from dataclasses import dataclass

from standflow.fleet.failure_detector import FailureDetector
from standflow.fleet.member_table import MemberTable
from standflow.fleet.messages import NO_CURSOR, Message

DIFFERING_SECONDS = 0.4  # without an equal table before a sync starts; gossip is faster until then
STEP_SECONDS = 0.25  # between pages


@dataclass(slots=True)
class TableSync:
    """The member whose table differs, and the position in it."""

    table: MemberTable
    detector: FailureDetector
    member_id: int = 0  # the member whose table was last seen to differ
    differing_since: float = math.inf  # no equal table was seen since then
    cursor: int = 0
    next_step: float = 0.0

    @property
    def tables_differ(self) -> bool:
        """True until a datagram from a member with an equal table arrives."""
        return self.differing_since < math.inf

    def compare(self, now: float, message: Message) -> None:
        """Records whether the sender's table equals this one, by their digests."""
        if message.digest == self.table.digest:
            self.differing_since = math.inf
        else:
            self.member_id, self.differing_since = message.member_id, min(now, self.differing_since)

    def advance(self, message: Message) -> None:
        """Moves the cursor to the position that an ACK returned."""
        if message.cursor != NO_CURSOR:
            self.cursor = message.cursor

    def is_prolonged(self, now: float) -> bool:
        """True if tables have differed for twice the time after which a sync starts."""
        return now - self.differing_since > 2 * DIFFERING_SECONDS

    def tick(self, now: float, catching_up: bool) -> None:
        """Requests the next page if tables have differed for long enough."""
        if now >= self.next_step and now - self.differing_since > DIFFERING_SECONDS:
            self.next_step = now + (STEP_SECONDS / 2 if catching_up else STEP_SECONDS)
            self.detector.ping(now, self.member_id, self.cursor)
