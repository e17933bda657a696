"""Who is a member of the fleet: the decisions of one member. No I/O.

SWIM over member ids. `now` is any clock in seconds that never goes back. The parts: `failure_detector`,
`dissemination` of updates, `table_sync`, `join`, `reachability` and `own_member`. See docs/design/fleet.md.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from standflow.fleet.dissemination import Dissemination
from standflow.fleet.failure_detector import NO_ANSWER, PROBE_PERIOD_SECONDS, FailureDetector, ProbeRequester
from standflow.fleet.join import ABSENT_PING_SECONDS, Join
from standflow.fleet.member_table import ALIVE_STATES, MemberTable
from standflow.fleet.messages import MAX_BOOT_TIME_MS, Address, Kind, Message, State, Update
from standflow.fleet.outbox import CATCH_UP_SENDS_PER_SECOND, SEND_BURST, SENDS_PER_SECOND, Outbox, Send
from standflow.fleet.own_member import Change, OwnMember
from standflow.fleet.rate_limit import TokenBucket
from standflow.fleet.reachability import Reachability
from standflow.fleet.snapshot import Snapshot, has_quorum
from standflow.fleet.table_sync import TableSync

TICK_SECONDS = 0.1  # between calls of `tick`
IDLE_TICK_SECONDS = 0.3  # the same while nothing is under way
STALL_SECONDS = 0.5  # by which a tick may be late before the member doubts itself
GOSSIP_INTERVAL_SECONDS = 0.3  # between datagrams that carry news alone
SENDS_RESERVED_FOR_PROBES = 2.0  # of a burst, kept from news for probes
LEAVE_FANOUT = 12  # others that are told of an orderly end
SETTLE_SECONDS = 5.0  # without a change after which the membership counts as settled
ANSWERS_PER_SECOND, ANSWER_BURST = 9.0, 5.0
RECEIVED_PER_SECOND, RECEIVED_BURST = 16.0, 9.0  # more is dropped


@dataclass(slots=True)
class Counts:
    """Datagrams that came, and what became of them."""

    taken: int = 0
    dropped: int = 0


@dataclass(slots=True, frozen=True)
class MemberSettings:
    """Who this member is, and how it finds the others.

    `listed`: every member can be called by its id; else only those whose address is known, and `seeds`.
    """

    own_id: int
    size: int  # member ids are below it
    boot_time_ms: int
    updates_per_datagram: int
    listed: bool = True
    address: Address | None = None
    seeds: tuple[Address, ...] = ()


class Membership:
    """One member's part in the fleet. Its events return what is to be sent."""

    def __init__(self, settings: MemberSettings, now: float, rng: random.Random) -> None:
        self.settings, self.now = settings, now
        self.table = MemberTable(settings.own_id, settings.size, rng)
        self.dissemination = Dissemination(self.table, settings.updates_per_datagram)
        send_limit = TokenBucket.full(SENDS_PER_SECOND, SEND_BURST, now)
        self.outbox = Outbox(self.table, self.dissemination, send_limit)
        first_probe = now + PROBE_PERIOD_SECONDS * rng.random()
        self.detector = FailureDetector(self.table, self.outbox, rng, self.merge, now, first_probe)
        self.sync = TableSync(self.table, self.detector)
        self.join = Join(self.table, self.detector, self.sync, rng, now, settings.listed, settings.seeds)
        self.reachability = Reachability(self.table, self.detector, now)
        self.changes: list[Change] = []  # taken out by whoever logs them
        self.own = OwnMember(self.table, self.dissemination, self.reachability, self.changes)
        self.counts = Counts()
        self.answer_limit = TokenBucket.full(ANSWERS_PER_SECOND, ANSWER_BURST, now)
        self.receive_limit = TokenBucket.full(RECEIVED_PER_SECOND, RECEIVED_BURST, now)
        self.changed_at = now  # when a member came or went last
        self.left = False
        self._tick_due = now  # the next tick
        self._next_gossip = 0.0
        self._pinged_after_ring: dict[int, float] = {}  # heard on the ring though dead, and called
        self._slow_start_members = set(range(settings.size))
        self._returned: set[int] = set()
        self._own_revision = 0  # raised when `_among` or `_returned` change
        own = Update(settings.own_id, settings.boot_time_ms, 0, State.ALIVE, settings.address)
        self.dissemination.publish(own)

    # What is read of it.

    def alive_ids(self) -> set[int]:
        """The members held for alive or suspected, this one among them."""
        return set(self.table.alive)

    def dead_ids(self) -> set[int]:
        """Dead, and not for so long that they count no more."""
        return set(self.table.dead)

    def counted_updates(self) -> list[Update]:
        """The updates on the others that count in the fleet: alive, or dead and not removed yet.

        Those behind a cut are dead to this member. One that restarts has to know of them: were they left out,
        the smaller side would come back from a loss of power as a whole fleet of its own.
        """
        counted = (self.table.alive | self.table.dead) - {self.table.own_id}
        return [self.table.updates[member_id] for member_id in sorted(counted)]

    @property
    def joined(self) -> bool:
        """Another member is or was there."""
        return len(self.table.updates) > 1

    @property
    def waiting(self) -> bool:
        """Others were alive before our restart, and they have not had the time to be heard."""
        return self.join.is_waiting(self.now)

    @property
    def isolated(self) -> bool:
        """This member may hear the others, and they not it."""
        return self.reachability.is_isolated(self.now)

    @property
    def tick_interval(self) -> float:
        """Seconds until `tick` is due again: each one wakes the process."""
        busy = self.detector.probes or self.detector.deadlines or self.dissemination.remaining
        if busy or self.sync.tables_differ or not self.joined or self.join.is_starting(self.now):
            return TICK_SECONDS
        return IDLE_TICK_SECONDS

    @property
    def revision(self) -> tuple[int, ...]:
        """Another one where `take_snapshot` may say something else."""
        parts = (self.table.revision, self.reachability.revision, self._own_revision)
        return (*parts, self.own.yielded, self.isolated)

    def has_quorum(self) -> bool:
        """True for the side of a cut that may take over."""
        return has_quorum(self._reachable(), self._unreachable())

    def take_snapshot(self) -> Snapshot:
        """What follows, for now; who has returned is told once."""
        returned, slow_start_members = frozenset(self._returned), frozenset(self._slow_start_members)
        self._returned = set()
        counted = self.table.alive | self.table.dead
        if self.own.yielded or (self.isolated and len(counted) > 1):
            alone = frozenset({self.table.own_id})
            return Snapshot(alone, frozenset(counted - alone), False, slow_start_members, returned)
        alive = frozenset(self._reachable())
        return Snapshot(alive, frozenset(counted - alive), self.has_quorum(), slow_start_members, returned)

    # Events.

    def restore_members(self, members: dict[int, tuple[int, Address | None]]) -> None:
        """Who counted in the fleet before this member's restart, with their boot times and addresses.

        They are asked, and missing until heard. An update on them is older than any of their own.
        """
        for member_id, (boot_time_ms, address) in members.items():
            known = member_id in self.table.updates or member_id >= self.table.size
            if not known and 0 < boot_time_ms <= MAX_BOOT_TIME_MS:
                self.dissemination.publish(Update(member_id, boot_time_ms - 1, 0, State.DEAD, address))
                self.detector.dead_since[member_id] = self.now
                self.join.expected.add(member_id)

    def tick(self, now: float) -> list[Send]:
        """Every `pace`, or so."""
        stalled_for = now - self._tick_due
        self.now = now
        if stalled_for > STALL_SECONDS:
            self._discount_stall(stalled_for)
        if self.left or self.own.yielded:
            self._tick_due = now + TICK_SECONDS
            return self.outbox.take()
        catching_up = self.join.is_starting(now) or self.sync.is_prolonged(now)
        self.outbox.send_limit.rate_per_second = (
            CATCH_UP_SENDS_PER_SECOND if catching_up else SENDS_PER_SECOND
        )
        self.detector.tick(now)
        self.sync.tick(now, catching_up)
        self._send_gossip()
        self.join.tick(now)
        self.reachability.tick(now)
        self._remove_long_dead()
        self._update_slow_start_members()
        self._tick_due = now + self.tick_interval
        return self.outbox.take()

    def receive(self, now: float, message: Message, sender: Address) -> list[Send]:
        """A sound datagram of this fleet."""
        self.now = now = max(self.now, now)
        if message.member_id >= self.table.size or self.left or not self.receive_limit.take(now):
            self.counts.dropped += 1
            return []
        self.counts.taken += 1
        if message.member_id == self.table.own_id:
            self.own.note_id_claim(now, message.boot_time_ms, f"{sender[0]}:{sender[1]}")
            return self.outbox.take()
        known = self.table.updates.get(message.member_id)
        if known is not None and (message.boot_time_ms, message.incarnation) < known.version:
            self.counts.dropped += 1  # of a process before, or an old datagram
            return []
        self.detector.note_received(now, message.member_id)
        self._merge_all(message, sender)
        self.sync.compare(now, message)
        self._respond(message)
        return self.outbox.take()

    def note_ring_datagram(self, now: float, member_id: int) -> None:
        """A datagram of the ring came from a member: a sign of life."""
        state = self.table.state(member_id)
        if state is None:
            return
        self.detector.note_received(now, member_id)
        pinged_at = self._pinged_after_ring.get(member_id)
        if state not in ALIVE_STATES and (pinged_at is None or now - pinged_at > ABSENT_PING_SECONDS):
            self._pinged_after_ring[member_id] = now
            self.detector.ping(self.now, member_id)  # it hears what it is held for, and says otherwise

    def leave(self) -> list[Send]:
        """This member ends in order: some are told, and they tell the others."""
        if not self.left and not self.own.yielded:
            self.own.leave()
            for member_id in self.table.sample_others(LEAVE_FANOUT):
                self.outbox.send(member_id, Kind.GOSSIP)
            self.left = True
        return self.outbox.take()

    def merge(self, update: Update, reason: str) -> None:
        """Takes an update in where it is newer than the one held."""
        if update.member_id == self.table.own_id:
            self.own.refute_if_wrong(self.now, update, reason)
            return
        if not self.table.is_newer(update):
            return
        known = self.table.updates.get(update.member_id)
        if known is not None and update.address is None:
            update = replace(update, address=known.address)
        self.dissemination.publish(update)
        self._log(known, update, reason)
        self._note_transition(known, update)
        self.join.expected.discard(update.member_id)
        self.detector.note_update(self.now, update, own_probe=reason == NO_ANSWER)
        if update.state is State.DEAD:
            self.own.raise_if_many_dead(self.now)

    # Parts of those.

    def _reachable(self) -> set[int]:
        return self.table.alive - self.reachability.not_receiving

    def _unreachable(self) -> set[int]:
        return self.table.dead | (self.reachability.not_receiving & self.table.alive)

    def _discount_stall(self, stalled_for: float) -> None:
        """What was missed while this process stood still is no silence of the others."""
        self.detector.shift(stalled_for)
        self.reachability.last_answer_at += stalled_for
        self.changed_at += stalled_for

    def _send_gossip(self) -> None:
        if self.now < self._next_gossip or not self.dissemination.remaining:
            return
        self._next_gossip = self.now + GOSSIP_INTERVAL_SECONDS
        if self.outbox.send_limit.tokens > SENDS_RESERVED_FOR_PROBES:
            for member_id in self.table.sample_others(1):
                self.outbox.send_limit.take(self.now)
                self.outbox.send(member_id, Kind.GOSSIP)

    def _remove_long_dead(self) -> None:
        if not self.detector.dead_since or self.isolated:
            return
        quorum = self.has_quorum()
        for member_id in self.detector.long_dead(self.now):
            if quorum or member_id in self.join.expected:
                removed = replace(self.table.updates[member_id], state=State.REMOVED)
                self.merge(removed, "gone for long")

    def _update_slow_start_members(self) -> None:
        settled = self.joined and self.now - self.changed_at >= SETTLE_SECONDS
        if settled and self._slow_start_members != self.table.alive:
            self._slow_start_members = self.alive_ids()
            self._own_revision += 1

    def _merge_all(self, message: Message, sender: Address) -> None:
        """What a message says of its sender, and what it brings of others."""
        address = None if self.settings.listed else sender
        version = (message.boot_time_ms, message.incarnation)
        self.merge(Update(message.member_id, *version, State.ALIVE, address), "heard")
        self.reachability.note_own_state_held(self.now, message)
        for update in message.updates:
            if update.member_id < self.table.size and self.table.updates.get(update.member_id) != update:
                self.merge(update, f"told by {message.member_id}")

    def _respond(self, message: Message) -> None:
        if message.kind is Kind.PING:
            if self.answer_limit.take(self.now):
                self.outbox.send(message.member_id, Kind.ACK, serial=message.serial, cursor=message.cursor)
        elif message.kind is Kind.ACK:
            self._take_ack(message)
        elif message.kind is Kind.INDIRECT_PING:
            self._probe_for(message)

    def _probe_for(self, message: Message) -> None:
        if message.about in self.table.updates and self.answer_limit.take(self.now):
            requester = ProbeRequester(message.member_id, message.serial)
            self.detector.ping_for(self.now, message.about, requester)

    def _take_ack(self, message: Message) -> None:
        probe = self.detector.pop_answered_probe(message)
        if probe is None:
            return
        self.sync.advance(message)
        if probe.requester is None:
            self.reachability.note_answer(self.now)
        else:
            requester = probe.requester
            self.outbox.send(requester.member_id, Kind.ACK, serial=requester.serial, about=probe.member_id)

    def _log(self, known: Update | None, update: Update, reason: str) -> None:
        before = "unknown" if known is None else known.state.log_name
        after = update.state.log_name
        if known is not None and update.boot_time_ms > known.boot_time_ms and update.state in ALIVE_STATES:
            after += " in a new life"
        if after != before:
            self.changes.append(Change(update.member_id, before, after, reason))

    def _note_transition(self, known: Update | None, update: Update) -> None:
        """Notes who came, came back or went."""
        was_alive = known is not None and known.state in ALIVE_STATES
        is_alive = update.state in ALIVE_STATES
        restarted = known is not None and update.boot_time_ms > known.boot_time_ms
        if is_alive and (not was_alive or restarted):
            self._returned.add(update.member_id)
            self._own_revision += 1
        if is_alive != was_alive or update.state is State.REMOVED:
            self.changed_at = self.now
        if is_alive and update.member_id not in self._slow_start_members:
            self._slow_start_members.add(update.member_id)
            self._own_revision += 1
