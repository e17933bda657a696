"""Whether the others hear this member: by the answers to its calls, and by what they hold of it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from standflow.fleet.failure_detector import FailureDetector
from standflow.fleet.member_table import MemberTable
from standflow.fleet.messages import Message, State, Update

PING_AFTER_SECONDS = 1.0  # without an answer, one that is heard is asked
PING_INTERVAL_SECONDS = 0.35
MAX_SAMPLED = 5  # of whom one that was heard just now is asked
ISOLATION_TIMEOUT_SECONDS = (
    2.5  # without an answer from any that are heard: this member takes itself for cut off
)
ISOLATION_MIN_UNANSWERED = 6  # as many calls must have stayed unanswered, as single ones get lost


@dataclass(slots=True)
class Reachability:
    """`deaf`: members that hold this one for dead whatever it says, so that it does not reach them."""

    table: MemberTable
    detector: FailureDetector
    last_answer_at: float
    unanswered_pings: int = 0
    next_ping: float = 0.0
    refuted_at: float = -math.inf  # when this member said that it is alive last
    not_receiving: set[int] = field(default_factory=set)
    revision: int = 0  # raised when `deaf` changes

    def is_isolated(self, now: float) -> bool:
        """Whom this one calls, does not answer: it may hear the others, and they not it."""
        return (
            self.unanswered_pings >= ISOLATION_MIN_UNANSWERED
            and now - self.last_answer_at > ISOLATION_TIMEOUT_SECONDS
        )

    def note_answer(self, now: float) -> None:
        """A call was answered."""
        self.last_answer_at, self.unanswered_pings = now, 0

    def note_refutation(self, now: float) -> None:
        """This member says that it is alive; whoever holds it for dead should soon know better."""
        if now - self.refuted_at > ISOLATION_TIMEOUT_SECONDS:
            self.refuted_at = now

    def note_own_state_held(self, now: float, message: Message) -> None:
        """Notes what a message's sender holds this member for."""
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
        """Asks one that was heard, where no call was answered for long; tables are compared by it as well."""
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
