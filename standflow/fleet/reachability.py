"""Whether this member's datagrams reach the others: by replies to its pings and by its state in updates."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from standflow.fleet.failure_detector import FailureDetector
from standflow.fleet.member_table import MemberTable
from standflow.fleet.messages import Message, State, Update

PING_AFTER_SECONDS = 1.0  # without a reply from anybody, a recently seen member is pinged
PING_INTERVAL_SECONDS = 0.35
MAX_SAMPLED = 5  # members among which a recently seen one is searched
ISOLATION_TIMEOUT_SECONDS = 2.5  # without a reply, this member considers itself isolated
ISOLATION_MIN_UNANSWERED = 6  # unanswered pings before that, as single datagrams get lost


@dataclass(slots=True)
class Reachability:
    """`not_receiving`: members that hold this one for dead despite refutations, so do not receive them."""

    table: MemberTable
    detector: FailureDetector
    last_answer_at: float
    unanswered_pings: int = 0
    next_ping: float = 0.0
    refuted_at: float = -math.inf  # last refutation
    not_receiving: set[int] = field(default_factory=set)
    revision: int = 0  # incremented when `not_receiving` changes

    def is_isolated(self, now: float) -> bool:
        """True if no pings are answered: this member may receive from the others, but not they from it."""
        return (
            self.unanswered_pings >= ISOLATION_MIN_UNANSWERED
            and now - self.last_answer_at > ISOLATION_TIMEOUT_SECONDS
        )

    def note_answer(self, now: float) -> None:
        """Records the reply to a ping."""
        self.last_answer_at, self.unanswered_pings = now, 0

    def note_refutation(self, now: float) -> None:
        """Records a refutation; members that it reaches stop holding this one for dead soon after."""
        if now - self.refuted_at > ISOLATION_TIMEOUT_SECONDS:
            self.refuted_at = now

    def note_own_state_held(self, now: float, message: Message) -> None:
        """Checks the state of this member in a message's updates, and keeps `not_receiving` current."""
        own = self.table.own
        reported = next((update for update in message.updates if _is_of(update, own)), None)
        if reported is not None and reported.state >= State.DEAD and reported.incarnation < own.incarnation:
            if (
                now - self.refuted_at > ISOLATION_TIMEOUT_SECONDS
                and message.member_id not in self.not_receiving
            ):
                self.not_receiving.add(message.member_id)
                self.revision += 1
        elif message.member_id in self.not_receiving:
            self.not_receiving.discard(message.member_id)
            self.revision += 1

    def tick(self, now: float) -> None:
        """Pings a recently seen member after a long time without a reply; the reply also compares digests."""
        if now < self.next_ping or now - self.last_answer_at <= PING_AFTER_SECONDS:
            return
        sampled = self.table.sample_others(MAX_SAMPLED)
        fresh = [member_id for member_id in sampled if self.detector.is_recently_seen(now, member_id)]
        if fresh:
            self.next_ping = now + PING_INTERVAL_SECONDS
            self.unanswered_pings += 1
            self.detector.ping(now, fresh[0])


def _is_of(update: Update, own: Update) -> bool:
    return update.member_id == own.member_id and update.boot_time_ms == own.boot_time_ms
