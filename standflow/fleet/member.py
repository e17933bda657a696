"""Carries a member's decisions out: its datagrams, clock and log lines, and what the module is told."""

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
from standflow.net.loop import Loop


@dataclass(slots=True)
class MemberCallbacks:
    """What the membership asks of the ingress."""

    send: Callable[[int | Address, bytes], None]  # to a member, or to an address whose member is not known
    address_learned: Callable[[int, Address], None]  # a member's address, where none is listed
    membership_changed: Callable[[Snapshot], None]  # with what follows, each time it is another


@dataclass(slots=True, frozen=True)
class MemberMetrics:
    """What operators are shown."""

    present: int
    suspected: int
    settled_ms: int  # since the last change of who is there
    sent: int
    taken: int
    dropped: int  # garbled, of another fleet, of an earlier start, or more than is taken in


class Member:
    """One ingress as a member. `speak` is false while another process of it is the member."""

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
        """`seeds`: some to join by, where the members' addresses are not listed; else none."""
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
        self.reported_revision: tuple[int, ...] | None = None  # the revision of that
        self.is_active = True
        self.undecodable = 0  # datagrams of another fleet, or garbled
        self.closed = False
        log(f"fleet: this is place {member_id} of {size} in {fleet}")
        loop.every(lambda: self.membership.tick_interval, self._tick)

    def receive(self, content: bytes, sender: Address) -> bool:
        """True for a datagram that looks like a membership's, sound or not; the ring's are none of it."""
        if not content.startswith(MAGIC):
            return False
        message = decode(content, self.key)
        if message is None:
            self.undecodable += 1
        elif self.is_active:
            self._execute(self.membership.receive(self.loop.now(), message, sender))
        return True

    def note_ring_datagram(self, member_id: int) -> None:
        """A datagram of the ring came from there."""
        self.membership.note_ring_datagram(self.loop.now(), member_id)

    def counted_members(self) -> dict[str, list[Any]] | None:
        """The others that count in the fleet, for the next start: by member id, boot times and addresses.

        None while who is there is not known yet.
        """
        if self.last_snapshot is None:
            return None
        return {
            str(update.member_id): [update.boot_time_ms, *(update.address or ("", 0))]
            for update in self.membership.counted_updates()
        }

    def restore_members(self, members: dict[str, list[Any]]) -> None:
        """What the process before kept of it."""
        known = {
            int(n): (int(boot_time_ms), (host, port) if host else None)
            for n, (boot_time_ms, host, port) in members.items()
        }
        self.membership.restore_members(known)
        if known:
            self.log(f"fleet: {sorted(known)} were there in an earlier life: asked, and missing until heard")

    def leave(self) -> None:
        """The ingress ends in order: the others are told, and miss nobody."""
        if self.is_active:
            self._execute(self.membership.leave())

    def close(self) -> None:
        """Ends it."""
        self.closed = True

    def metrics(self) -> MemberMetrics:
        """Of now."""
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
        """Carries out what an event led to: datagrams, log lines, and what the module is told."""
        for send in sends:
            self._send(send)
        for change in self.membership.changes:
            self._log_change(change)
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
        """Tells the module of a snapshot that differs from the last one."""
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
