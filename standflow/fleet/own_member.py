"""This member's own entry: refutes wrong updates on it, and resolves conflicts over its member id."""

from __future__ import annotations

import math
from dataclasses import dataclass

from standflow.fleet.dissemination import Dissemination
from standflow.fleet.member_table import MemberTable
from standflow.fleet.messages import MAX_BOOT_TIME_MS, MAX_INCARNATION, State, Update
from standflow.fleet.reachability import Reachability

MANY_DEAD_SHARE = 0.25  # of the fleet; more dead members may be a partition whose other side holds us dead
RAISE_INTERVAL_SECONDS = 3.0  # between incarnations raised for that reason
ID_CONFLICT_SECONDS = 30.0  # a second claim to the member id within this time comes from another process


@dataclass(slots=True, frozen=True)
class Change:
    """A change of a member's state, for the log."""

    member_id: int
    before: str
    after: str
    reason: str


@dataclass(slots=True)
class OwnMember:
    """This member's own entry. `yielded`: another process has its member id, and this one sends nothing."""

    table: MemberTable
    dissemination: Dissemination
    reachability: Reachability
    changes: list[Change]
    yielded: bool = False
    claimed_at: float = -math.inf
    raised_at: float = -math.inf

    def refute_if_wrong(self, now: float, update: Update, reason: str) -> None:
        """Refutes a received update on this member if it is wrong, with a higher incarnation."""
        own = self.table.own
        if update.boot_time_ms > own.boot_time_ms:
            self.note_id_claim(now, update.boot_time_ms, reason)
        elif update.boot_time_ms < own.boot_time_ms:
            return
        elif update.incarnation >= own.incarnation and update.state is not State.ALIVE:
            self._log(update.state.log_name, State.ALIVE.log_name, f"refuted, {reason}")
            self._publish_alive(now, own.boot_time_ms, update.incarnation + 1)
        elif update.incarnation > own.incarnation:  # published before a process of this ingress took over
            self._publish_alive(now, own.boot_time_ms, update.incarnation)

    def raise_if_many_dead(self, now: float) -> None:
        """Raises the incarnation in advance when many members are dead at once.

        They may hold this member for dead as well, and after a partition would have to wait for a refutation.
        """
        dead, alive = len(self.table.dead), len(self.table.alive)
        if dead >= MANY_DEAD_SHARE * (dead + alive) and now - self.raised_at > RAISE_INTERVAL_SECONDS:
            self.raised_at = now
            own = self.table.own
            self._publish_alive(now, own.boot_time_ms, own.incarnation + 1)

    def note_id_claim(self, now: float, boot_time_ms: int, reason: str) -> None:
        """Handles a datagram or update in which a process with a later boot time has this member's id.

        The first claim may come from an earlier process of this ingress whose clock was ahead: this one then
        takes a later boot time. A second claim means that another process runs: this one gives the id up.
        """
        if boot_time_ms <= self.table.own.boot_time_ms or self.yielded or boot_time_ms >= MAX_BOOT_TIME_MS:
            return
        if now - self.claimed_at < ID_CONFLICT_SECONDS:
            self.yielded = True
            text = "another process uses this member id; this one stops sending and acts without a quorum"
        else:
            text = (
                "a run of it said to be later than this one: its clock was ahead, or two members share an id"
            )
            self._publish_alive(now, boot_time_ms + 1, 0)
        self.claimed_at = now
        self._log(State.ALIVE.log_name, text, reason)

    def leave(self) -> None:
        """Announces an orderly shutdown."""
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
