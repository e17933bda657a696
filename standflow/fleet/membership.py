"""The membership protocol of one member: SWIM over member ids. No I/O.

`now` is a monotonic clock in seconds. The protocol's parts are `failure_detector`, `dissemination`,
`table_sync`, `join`, `reachability` and `own_member`. See docs/design/fleet.md.
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
IDLE_TICK_SECONDS = 0.3  # the same while there is nothing to do
STALL_SECONDS = 0.5  # a tick that is later than this counts as a stall of the process
GOSSIP_INTERVAL_SECONDS = 0.3  # between datagrams that carry only updates
SENDS_RESERVED_FOR_PROBES = 2.0  # of a burst, not available for gossip
LEAVE_FANOUT = 12  # members that are notified directly of an orderly shutdown
SETTLE_SECONDS = 5.0  # without a change before the membership counts as settled
ANSWERS_PER_SECOND, ANSWER_BURST = 9.0, 5.0
RECEIVED_PER_SECOND, RECEIVED_BURST = 16.0, 9.0  # more is dropped


@dataclass(slots=True)
class Counts:
    """Received datagrams: processed and dropped."""

    taken: int = 0
    dropped: int = 0


@dataclass(slots=True, frozen=True)
class MemberSettings:
    """This member's identity, and how it finds the others.

    `listed`: the settings have every member's address. Without that only members whose address was learned
    can be reached, and `seeds`.
    """

    own_id: int
    size: int  # member ids are 0 to size - 1
    boot_time_ms: int
    updates_per_datagram: int
    listed: bool = True
    address: Address | None = None
    seeds: tuple[Address, ...] = ()


class Membership:
    """The membership as one member sees it. Event methods return the datagrams to send."""

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
        self.changes: list[Change] = []  # cleared by the caller that logs them
        self.own = OwnMember(self.table, self.dissemination, self.reachability, self.changes)
        self.counts = Counts()
        self.answer_limit = TokenBucket.full(ANSWERS_PER_SECOND, ANSWER_BURST, now)
        self.receive_limit = TokenBucket.full(RECEIVED_PER_SECOND, RECEIVED_BURST, now)
        self.changed_at = now  # when a member last joined, failed or left
        self.left = False
        self._tick_due = now
        self._next_gossip = 0.0
        self._pinged_after_ring: dict[int, float] = {}  # dead members that sent a ring datagram
        self._slow_start_members = set(range(settings.size))
        self._returned: set[int] = set()
        self._own_revision = 0  # incremented when `_slow_start_members` or `_returned` changes
        own = Update(settings.own_id, settings.boot_time_ms, 0, State.ALIVE, settings.address)
        self.dissemination.publish(own)

    # Queries.

    def alive_ids(self) -> set[int]:
        """Members that are alive or suspected, including this one."""
        return set(self.table.alive)

    def dead_ids(self) -> set[int]:
        """Members that are dead and not removed yet."""
        return set(self.table.dead)

    def counted_updates(self) -> list[Update]:
        """The updates on the other members that count for the quorum: alive, or dead and not removed yet.

        Members on the other side of a partition are dead to this one. A restarted member must know of them:
        without them the smaller side would come back from a power loss as a complete fleet of its own.
        """
        counted = (self.table.alive | self.table.dead) - {self.table.own_id}
        return [self.table.updates[member_id] for member_id in sorted(counted)]

    @property
    def joined(self) -> bool:
        """True once any other member is known."""
        return len(self.table.updates) > 1

    @property
    def waiting(self) -> bool:
        """True while members known before the restart may still send their first datagram."""
        return self.join.is_waiting(self.now)

    @property
    def isolated(self) -> bool:
        """True if this member's datagrams probably do not reach the others."""
        return self.reachability.is_isolated(self.now)

    @property
    def tick_interval(self) -> float:
        """Seconds until the next `tick`; longer when idle, because each tick wakes the process."""
        busy = self.detector.probes or self.detector.deadlines or self.dissemination.remaining
        if busy or self.sync.tables_differ or not self.joined or self.join.is_starting(self.now):
            return TICK_SECONDS
        return IDLE_TICK_SECONDS

    @property
    def revision(self) -> tuple[int, ...]:
        """Changes whenever `take_snapshot` may return something different."""
        parts = (self.table.revision, self.reachability.revision, self._own_revision)
        return (*parts, self.own.yielded, self.isolated)

    def has_quorum(self) -> bool:
        """True if this side of a partition may take over the others' share."""
        return has_quorum(self._reachable(), self._unreachable())

    def take_snapshot(self) -> Snapshot:
        """The current snapshot; members that returned are in only one snapshot."""
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
        """Adds the members that counted before this member's restart, with their boot times and addresses.

        They are pinged, and unreachable until a datagram arrives. The updates entered for them are older than
        any that they publish themselves.
        """
        for member_id, (boot_time_ms, address) in members.items():
            known = member_id in self.table.updates or member_id >= self.table.size
            if not known and 0 < boot_time_ms <= MAX_BOOT_TIME_MS:
                self.dissemination.publish(Update(member_id, boot_time_ms - 1, 0, State.DEAD, address))
                self.detector.dead_since[member_id] = self.now
                self.join.expected.add(member_id)

    def tick(self, now: float) -> list[Send]:
        """Runs the timers; called about every `tick_interval` seconds."""
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
        """Processes a decoded datagram of this fleet."""
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
            self.counts.dropped += 1  # from an earlier process, or delayed
            return []
        self.detector.note_received(now, message.member_id)
        self._merge_all(message, sender)
        self.sync.compare(now, message)
        self._respond(message)
        return self.outbox.take()

    def note_ring_datagram(self, now: float, member_id: int) -> None:
        """Records that a ring datagram from a member arrived, which shows that it is alive."""
        state = self.table.state(member_id)
        if state is None:
            return
        self.detector.note_received(now, member_id)
        pinged_at = self._pinged_after_ring.get(member_id)
        if state not in ALIVE_STATES and (pinged_at is None or now - pinged_at > ABSENT_PING_SECONDS):
            self._pinged_after_ring[member_id] = now
            self.detector.ping(self.now, member_id)  # the ping carries its state, which it then refutes

    def leave(self) -> list[Send]:
        """Announces an orderly shutdown to some members, which spread it."""
        if not self.left and not self.own.yielded:
            self.own.leave()
            for member_id in self.table.sample_others(LEAVE_FANOUT):
                self.outbox.send(member_id, Kind.GOSSIP)
            self.left = True
        return self.outbox.take()

    def merge(self, update: Update, reason: str) -> None:
        """Applies an update if it is newer than the stored one."""
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

    # Helpers.

    def _reachable(self) -> set[int]:
        return self.table.alive - self.reachability.not_receiving

    def _unreachable(self) -> set[int]:
        return self.table.dead | (self.reachability.not_receiving & self.table.alive)

    def _discount_stall(self, stalled_for: float) -> None:
        """Moves timers by the length of a stall: datagrams missed in it are no sign of failed members."""
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
                self.merge(removed, "unreachable for long")

    def _update_slow_start_members(self) -> None:
        settled = self.joined and self.now - self.changed_at >= SETTLE_SECONDS
        if settled and self._slow_start_members != self.table.alive:
            self._slow_start_members = self.alive_ids()
            self._own_revision += 1

    def _merge_all(self, message: Message, sender: Address) -> None:
        """Merges what a message says of its sender, and its updates."""
        address = None if self.settings.listed else sender
        version = (message.boot_time_ms, message.incarnation)
        self.merge(Update(message.member_id, *version, State.ALIVE, address), "datagram received")
        self.reachability.note_own_state_held(self.now, message)
        for update in message.updates:
            if update.member_id < self.table.size and self.table.updates.get(update.member_id) != update:
                self.merge(update, f"reported by {message.member_id}")

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
        """Records members that joined, returned, failed or left."""
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
