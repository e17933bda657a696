"""Runs the membership: its datagrams, timer and log lines, and reports to the decision module."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from standflow.fleet.membership import MemberSettings, Membership
from standflow.fleet.messages import MAGIC, Address, State, decode, derive_key, encode, updates_per_datagram
from standflow.fleet.outbox import Send
from standflow.fleet.own_member import Change
from standflow.fleet.snapshot import Snapshot
from standflow.isolation import run_for_each
from standflow.net.loop import Loop


@dataclass(slots=True)
class MemberCallbacks:
    """The ingress functions that a Member calls."""

    send: Callable[[int | Address, bytes], None]  # to a member, or to an address whose member id is unknown
    address_learned: Callable[[int, Address], None]  # where the settings do not list addresses
    membership_changed: Callable[[Snapshot], None]  # called only with a snapshot that differs


@dataclass(slots=True, frozen=True)
class MemberMetrics:
    """The metrics `fleet.*` that operators fetch."""

    present: int
    suspected: int
    settled_ms: int  # since a member last joined, failed or left
    sent: int
    taken: int
    dropped: int  # corrupted, from another fleet, from an earlier process, or above the receive limit


class Member:
    """One ingress as a member. `is_active` is False while another process of the ingress is the member."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        fleet: str,
        member_id: int,
        size: int,
        address: Address,
        seeds: tuple[Address, ...],
        rng: random.Random,
        callbacks: MemberCallbacks,
    ) -> None:
        """`seeds`: addresses to join by; given only where the settings do not list all addresses."""
        self.loop, self.log, self.callbacks = loop, log, callbacks
        self.key, self.with_addresses = derive_key(fleet), bool(seeds)
        boot_time_ms = round(time.time() * 1000)
        settings = MemberSettings(
            member_id,
            size,
            boot_time_ms,
            updates_per_datagram(self.with_addresses),
            listed=not seeds,
            address=address if seeds else None,
            seeds=tuple(seed for seed in seeds if seed != address),
        )
        self.membership = Membership(settings, loop.now(), rng)
        self.last_snapshot: Snapshot | None = None
        self.reported_revision: tuple[int, ...] | None = None
        self.is_active = True
        self.undecodable = 0  # datagrams that are corrupted or from another fleet
        self.closed = False
        log(f"fleet: this is place {member_id} of {size} in {fleet}")
        loop.every(lambda: self.membership.tick_interval, self._tick)

    def receive(self, content: bytes, sender: Address) -> bool:
        """Processes a datagram; False if it is not a membership datagram but one of the ring."""
        if not content.startswith(MAGIC):
            return False
        message = decode(content, self.key)
        if message is None:
            self.undecodable += 1
        elif self.is_active:
            self._execute(self.membership.receive(self.loop.now(), message, sender))
        return True

    def note_ring_datagram(self, member_id: int) -> None:
        """Records that a ring datagram from a member arrived."""
        self.membership.note_ring_datagram(self.loop.now(), member_id)

    def counted_members(self) -> dict[str, list[Any]] | None:
        """The other members that count for the quorum, to be stored for the next start.

        By member id, each with boot time, host and port. None while the membership is not known yet.
        """
        if self.last_snapshot is None:
            return None
        return {
            str(update.member_id): [update.boot_time_ms, *(update.address or ("", 0))]
            for update in self.membership.counted_updates()
        }

    def restore_members(self, members: dict[str, list[Any]]) -> None:
        """Restores the members that the previous process stored."""
        known = {
            int(n): (int(boot_time_ms), (host, port) if host else None)
            for n, (boot_time_ms, host, port) in members.items()
        }
        self.membership.restore_members(known)
        if known:
            self.log(f"fleet: {sorted(known)} known in an earlier life: unreachable until a datagram arrives")

    def leave(self) -> None:
        """Announces the orderly shutdown of the ingress, so that the others do not count it as failed."""
        if self.is_active:
            self._execute(self.membership.leave())

    def close(self) -> None:
        """Stops the timer's work."""
        self.closed = True

    def metrics(self) -> MemberMetrics:
        """The current metrics."""
        membership = self.membership
        states = [update.state for update in membership.table.updates.values()]
        return MemberMetrics(
            present=len(membership.table.alive),
            suspected=states.count(State.SUSPECTED),
            settled_ms=round((self.loop.now() - membership.changed_at) * 1000),
            sent=membership.outbox.sent,
            taken=membership.counts.taken,
            dropped=self.undecodable + membership.counts.dropped,
        )

    def _tick(self) -> None:
        if self.is_active and not self.closed:
            self._execute(self.membership.tick(self.loop.now()))

    def _execute(self, sends: list[Send]) -> None:
        """Carries out the results of an event: datagrams, log lines and the report to the module."""
        run_for_each(self.log, sends, self._send)
        run_for_each(self.log, self.membership.changes, self._log_change)
        self.membership.changes.clear()
        self._report()

    def _send(self, send: Send) -> None:
        to: int | Address | None = send.to
        if isinstance(to, int) and self.with_addresses:
            to = self._address(to)
        if to is not None:
            self.callbacks.send(to, encode(send.message, self.key, self.with_addresses))

    def _log_change(self, change: Change) -> None:
        count = len(self.membership.table.alive)
        became = f"{change.before} -> {change.after} ({change.reason})"
        self.log(f"fleet: place {change.member_id}: {became}, {count} present")
        address = self._address(change.member_id)
        if self.with_addresses and address is not None:
            self.callbacks.address_learned(change.member_id, address)

    def _address(self, member_id: int) -> Address | None:
        update = self.membership.table.updates.get(member_id)
        return None if update is None else update.address

    def _report(self) -> None:
        """Reports a snapshot that differs from the last one to the module."""
        membership, revision = self.membership, self.membership.revision
        if (
            membership.waiting
            or revision == self.reported_revision
            or not membership.joined
            or membership.left
        ):
            return
        self.reported_revision, snapshot = revision, membership.take_snapshot()
        if snapshot == self.last_snapshot:
            return
        if self.last_snapshot is not None and snapshot.has_quorum != self.last_snapshot.has_quorum:
            may = "may" if snapshot.has_quorum else "may not"
            self.log(f"fleet: {may} take over for {sorted(snapshot.unreachable)}")
        self.last_snapshot = snapshot
        self.callbacks.membership_changed(snapshot)
