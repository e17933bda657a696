"""Carries a member's decisions out: its datagrams, clock and log lines, and what the module is told."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from standflow.fleet.membership import Membership, Send, Snapshot
from standflow.fleet.messages import MAGIC, Address, State, decode, encode, key_of, updates_per_datagram
from standflow.net.loop import Loop


@dataclass(slots=True)
class Parts:
    """What the membership asks of the ingress."""

    send: Callable[[int | Address, bytes], None]  # to a member, or to an address whose member is not known
    filled: Callable[[int, Address], None]  # a member's address, where none is listed
    changed: Callable[[Snapshot], None]  # with what follows, each time it is another


@dataclass(slots=True, frozen=True)
class Figures:
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
        chance: random.Random,
        parts: Parts,
    ) -> None:
        """`seeds`: some to join by, where the members' addresses are not listed; else none."""
        self.loop, self.log, self.parts = loop, log, parts
        self.key, self.addresses = key_of(fleet), bool(seeds)
        boot_time_ms = round(time.time() * 1000)
        self.membership = Membership(
            member_id,
            size,
            boot_time_ms,
            loop.now(),
            updates_per_datagram(self.addresses),
            chance,
            listed=not seeds,
            address=address if seeds else None,
            seeds=tuple(seed for seed in seeds if seed != address),
        )
        self.reported: Snapshot | None = None
        self.reported_at = (-1, False)  # the revision, and whether it took itself for cut off
        self.speaks = True
        self.spoiled = 0  # datagrams of another fleet, or garbled
        self.closed = False
        log(f"fleet: this is place {member_id} of {size} in {fleet}")
        loop.call_later(self.membership.pace, self._tick)

    def hear(self, content: bytes, sender: Address) -> bool:
        """True for a datagram that looks like a membership's, sound or not; the ring's are none of it."""
        if not content.startswith(MAGIC):
            return False
        message = decode(content, self.key)
        if message is None:
            self.spoiled += 1
        elif self.speaks:
            self._carry(self.membership.hear(self.loop.now(), message, sender))
        return True

    def ring(self, member_id: int) -> None:
        """A datagram of the ring came from there."""
        self.membership.ring(self.loop.now(), member_id)

    def alive_members(self) -> dict[str, list[Any]] | None:
        """The others that are there, for the next start: by member id, their boot times and addresses.

        None while who is there is not known yet.
        """
        if self.reported is None:
            return None
        updates = (
            (member_id, self.membership.updates[member_id])
            for member_id in self.membership.alive - {self.membership.own_id}
        )
        return {
            str(member_id): [update.boot_time_ms, *(update.address or ("", 0))]
            for member_id, update in updates
        }

    def remember(self, members: dict[str, list[Any]]) -> None:
        """What the process before kept of it."""
        known = {
            int(n): (int(boot_time_ms), (host, port) if host else None)
            for n, (boot_time_ms, host, port) in members.items()
        }
        self.membership.remember(known)
        if known:
            self.log(f"fleet: {sorted(known)} were there in an earlier life: asked, and missing until heard")

    def leave(self) -> None:
        """The ingress ends in order: the others are told, and miss nobody."""
        if self.speaks:
            self._carry(self.membership.leave())

    def close(self) -> None:
        """Ends it."""
        self.closed = True

    def figures(self) -> Figures:
        """Of now."""
        membership = self.membership
        suspected = sum(update.state is State.SUSPECTED for update in membership.updates.values())
        settled = round((self.loop.now() - membership.changed) * 1000)
        dropped = self.spoiled + membership.counts.dropped
        return Figures(
            len(membership.alive),
            suspected,
            settled,
            membership.counts.sent,
            membership.counts.taken,
            dropped,
        )

    def _tick(self) -> None:
        if not self.closed:
            if self.speaks:
                self._carry(self.membership.tick(self.loop.now()))
            self.loop.call_later(self.membership.pace, self._tick)

    def _carry(self, sends: list[Send]) -> None:
        for send in sends:
            to: int | Address | None = send.to
            if isinstance(to, int) and self.addresses:
                to = self.membership.updates[to].address if to in self.membership.updates else None
            if to is not None:
                self.parts.send(to, encode(send.message, self.key, self.addresses))
        for change in self.membership.changes:
            count = len(self.membership.alive)
            became = f"{change.before} -> {change.after} ({change.why})"
            self.log(f"fleet: place {change.member_id}: {became}, {count} present")
            update = self.membership.updates.get(change.member_id)
            if self.addresses and update is not None and update.address is not None:
                self.parts.filled(change.member_id, update.address)
        self.membership.changes.clear()
        revision = (self.membership.revision, self.membership.unheard)
        if self.membership.waiting:
            return
        if revision != self.reported_at and self.membership.joined and not self.membership.left:
            self.reported_at, snapshot = revision, self.membership.take_snapshot()
            if self.reported is None or snapshot != self.reported:
                if self.reported is not None and snapshot.has_quorum != self.reported.has_quorum:
                    may = "may" if snapshot.has_quorum else "may not"
                    self.log(f"fleet: {may} take over for {sorted(snapshot.missing)}")
                self.reported = snapshot
                self.parts.changed(snapshot)
