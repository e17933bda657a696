"""Whether the others hear this member: by the answers to its calls, and by what they hold of it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from standflow.fleet.failure_detector import FailureDetector
from standflow.fleet.member_table import MemberTable
from standflow.fleet.messages import Message, State, Update

ASK_AFTER_SECONDS = 1.0  # without an answer, one that is heard is asked
ASK_AGAIN_SECONDS = 0.35
MOST_SAMPLED = 5  # of whom one that was heard just now is asked
UNHEARD_SECONDS = 2.5  # without an answer from any that are heard: this member takes itself for cut off
UNHEARD_CALLS = 6  # as many calls must have stayed unanswered, as single ones get lost


@dataclass(slots=True)
class Reachability:
    """`deaf`: members that hold this one for dead whatever it says, so that it does not reach them."""

    table: MemberTable
    detector: FailureDetector
    answered_at: float
    unanswered_calls: int = 0
    next_ask: float = 0.0
    refuted_at: float = -math.inf  # when this member said that it is alive last
    deaf: set[int] = field(default_factory=set)
    revision: int = 0  # raised when `deaf` changes

    def is_unheard(self, now: float) -> bool:
        """Whom this one calls, does not answer: it may hear the others, and they not it."""
        return self.unanswered_calls >= UNHEARD_CALLS and now - self.answered_at > UNHEARD_SECONDS

    def note_answer(self, now: float) -> None:
        """A call was answered."""
        self.answered_at, self.unanswered_calls = now, 0

    def note_refutation(self, now: float) -> None:
        """This member says that it is alive; whoever holds it for dead should soon know better."""
        if now - self.refuted_at > UNHEARD_SECONDS:
            self.refuted_at = now

    def note_held_for(self, now: float, message: Message) -> None:
        """Notes what a message's sender holds this member for."""
        own = self.table.own
        held = next((update for update in message.updates if _is_of(update, own)), None)
        if held is not None and held.state >= State.DEAD and held.incarnation < own.incarnation:
            if now - self.refuted_at > UNHEARD_SECONDS and message.member_id not in self.deaf:
                self.deaf.add(message.member_id)
                self.revision += 1
        elif message.member_id in self.deaf:
            self.deaf.discard(message.member_id)
            self.revision += 1

    def tick(self, now: float) -> None:
        """Asks one that was heard, where no call was answered for long; tables are compared by it as well."""
        if now < self.next_ask or now - self.answered_at <= ASK_AFTER_SECONDS:
            return
        sampled = self.table.sample_others(MOST_SAMPLED)
        fresh = [member_id for member_id in sampled if self.detector.is_fresh(now, member_id)]
        if fresh:
            self.next_ask = now + ASK_AGAIN_SECONDS
            self.unanswered_calls += 1
            self.detector.ping(now, fresh[0])


def _is_of(update: Update, own: Update) -> bool:
    return update.member_id == own.member_id and update.boot_time_ms == own.boot_time_ms
