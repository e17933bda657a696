"""What a member says of itself: refutations of what is untrue, and claims of others to its member id."""

from __future__ import annotations

import math
from dataclasses import dataclass

from standflow.fleet.dissemination import Dissemination
from standflow.fleet.member_table import MemberTable
from standflow.fleet.messages import MAX_BOOT_TIME_MS, MAX_INCARNATION, State, Update
from standflow.fleet.reachability import Reachability

MANY_DEAD_SHARE = 0.25  # of the fleet, dead at once: those may hold us for dead as well
RAISE_INTERVAL_SECONDS = 3.0  # between two incarnations begun for that
ID_CONFLICT_SECONDS = 30.0  # within which a second claim to our member id is another process


@dataclass(slots=True, frozen=True)
class Change:
    """One line of the log: what a member was held for, and is now."""

    member_id: int
    before: str
    after: str
    reason: str


@dataclass(slots=True)
class OwnMember:
    """This member's own entry. `yielded`: another process has its member id, and this one is silent."""

    table: MemberTable
    dissemination: Dissemination
    reachability: Reachability
    changes: list[Change]
    yielded: bool = False
    claimed_at: float = -math.inf
    raised_at: float = -math.inf

    def refute_if_wrong(self, now: float, update: Update, reason: str) -> None:
        """Somebody holds something of us: what is untrue is refuted, by a higher incarnation."""
        own = self.table.own
        if update.boot_time_ms > own.boot_time_ms:
            self.note_id_claim(now, update.boot_time_ms, reason)
        elif update.boot_time_ms < own.boot_time_ms:
            return
        elif update.incarnation >= own.incarnation and update.state is not State.ALIVE:
            self._log(update.state.log_name, State.ALIVE.log_name, f"refuted, {reason}")
            self._publish_alive(now, own.boot_time_ms, update.incarnation + 1)
        elif update.incarnation > own.incarnation:  # said before a process of this ingress took over
            self._publish_alive(now, own.boot_time_ms, update.incarnation)

    def raise_if_many_dead(self, now: float) -> None:
        """Many are dead at once: they may hold us for dead, and the join would wait for our refutation."""
        unreachable, here = len(self.table.dead), len(self.table.alive)
        if (
            unreachable >= MANY_DEAD_SHARE * (unreachable + here)
            and now - self.raised_at > RAISE_INTERVAL_SECONDS
        ):
            self.raised_at = now
            own = self.table.own
            self._publish_alive(now, own.boot_time_ms, own.incarnation + 1)

    def note_id_claim(self, now: float, boot_time_ms: int, reason: str) -> None:
        """A process with a later boot time claims our member id: an earlier one of ours, or another.

        The first, whose clock was ahead, is passed by; whoever meets a second claim gives the member id up.
        """
        if boot_time_ms <= self.table.own.boot_time_ms or self.yielded or boot_time_ms >= MAX_BOOT_TIME_MS:
            return
        if now - self.claimed_at < ID_CONFLICT_SECONDS:
            self.yielded = True
            text = "another process fills this place; this one is silent and keeps to its part of a cut"
        else:
            text = "a life of it said to be later than this one: its clock was ahead, or two have one number"
            self._publish_alive(now, boot_time_ms + 1, 0)
        self.claimed_at = now
        self._log(State.ALIVE.log_name, text, reason)

    def leave(self) -> None:
        """This member ends in order."""
        own = self.table.own
        left = Update(own.member_id, own.boot_time_ms, own.incarnation, State.LEFT, own.address)
        self.dissemination.publish_only(left)

    def _publish_alive(self, now: float, boot_time_ms: int, incarnation: int) -> None:
        self.reachability.note_refutation(now)
        if incarnation > MAX_INCARNATION:
            boot_time_ms, incarnation = boot_time_ms + 1, 0
        own = self.table.own
        alive = Update(own.member_id, boot_time_ms, incarnation, State.ALIVE, own.address)
        self.dissemination.publish(alive)

    def _log(self, before: str, after: str, reason: str) -> None:
        self.changes.append(Change(self.table.own_id, before, after, reason))
