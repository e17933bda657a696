"""SWIM failure detector: probes, indirect probes and suspicions. No I/O; time is an argument.

An unanswered probe is followed by indirect probes through other members. If these are not answered either,
the member is suspected, and a suspicion that is not refuted in time makes it dead. A member that learned of a
suspicion by gossip probes the suspected member itself before it declares it dead. Timeouts are longer while a
member receives nothing from anybody, and a stall of its own process does not count.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from standflow.fleet.member_table import MemberTable
from standflow.fleet.messages import NO_CURSOR, Kind, Message, State, Update
from standflow.fleet.outbox import SEND_BURST, Outbox

PROBE_PERIOD_SECONDS = 0.6
RECENTLY_SEEN_SECONDS = 0.6  # a member that sent a datagram within this time is not probed
DIRECT_TIMEOUT_SECONDS, INDIRECT_TIMEOUT_SECONDS = 0.2, 0.4
INDIRECT_PROBERS = 3  # members that are asked to probe another
MAX_PROBES = 4 * SEND_BURST  # tracked at once
FINAL_PROBE_TIMEOUT_SECONDS = 1.0  # for the reply to the probe before a gossiped suspicion is confirmed
FINAL_PROBE_SPREAD = 1.7  # maximum factor on the suspicion's time, so that these probes do not coincide
FINAL_PROBE_MAX_DELAY_SECONDS = 2.0  # for which the send limit may delay that probe
SUSPECT_PROBE_INTERVAL_SECONDS = 0.4  # between probes of a member that this one suspected itself
REMOVE_AFTER_SECONDS = 10.0  # a side with a quorum then removes a dead member
NO_ANSWER = "no answer"  # reason, in the log, of a suspicion raised by this member


@dataclass(slots=True, frozen=True)
class ProbeRequester:
    """The member that requested an indirect probe, and the serial of its request."""

    member_id: int
    serial: int


@dataclass(slots=True)
class Probe:
    """A ping without a reply so far. `relayed`: indirect probes were requested as well."""

    member_id: int
    at: float
    relayed: bool = False
    requester: ProbeRequester | None = None


@dataclass(slots=True)
class FailureDetector:
    """Decides which members are suspected or dead, from received datagrams and unanswered probes.

    `merge` applies an update with its reason, as Membership does with updates from other members.
    """

    table: MemberTable
    outbox: Outbox
    rng: random.Random
    merge: Callable[[Update, str], None]
    last_received_at: float  # from any member
    next_probe: float
    last_seen: dict[int, float] = field(default_factory=dict)  # by datagrams from the member itself
    probes: dict[int, Probe] = field(default_factory=dict)  # by serial
    deadlines: dict[int, float] = field(default_factory=dict)  # of suspicions
    suspected_since: dict[int, float] = field(default_factory=dict)
    suspect_probed_at: dict[int, float] = field(default_factory=dict)  # last probe of a suspected member
    dead_since: dict[int, float] = field(default_factory=dict)
    _probe_order: list[int] = field(default_factory=list)  # probed from the end

    def note_received(self, now: float, member_id: int) -> None:
        """Records that a datagram from a member arrived."""
        self.last_seen[member_id] = self.last_received_at = now

    def is_recently_seen(self, now: float, member_id: int) -> bool:
        """True if a datagram from a member arrived within RECENTLY_SEEN_SECONDS."""
        return now - self.last_seen.get(member_id, -math.inf) < RECENTLY_SEEN_SECONDS

    def suspicion_seconds(self, now: float) -> float:
        """Time to refute a suspicion; grows with the fleet, as updates take more rounds to reach all."""
        return (0.8 + 0.2 * math.log2(max(2, len(self.table.updates)))) * self._timeout_factor(now)

    def note_update(self, now: float, update: Update, own_probe: bool) -> None:
        """Updates the timers after a change of state. `own_probe`: it did not answer this member's probes."""
        member_id = update.member_id
        for times in (self.deadlines, self.suspected_since, self.dead_since):
            times.pop(member_id, None)
        if update.state is not State.SUSPECTED:
            self.suspect_probed_at.pop(member_id, None)
        if update.state is State.SUSPECTED:
            self.suspected_since[member_id] = now
            # Members that learned of the suspicion by gossip probe the suspect as well before its deadline
            # counts. All at the same moment would be more probes than it may answer, so deadlines are spread.
            spread = 1.0 if own_probe else self.rng.uniform(1.0, FINAL_PROBE_SPREAD)
            self.deadlines[member_id] = now + spread * self.suspicion_seconds(now)
        elif update.state is State.DEAD:
            self.dead_since[member_id] = now

    def shift(self, seconds: float) -> None:
        """Moves all timers by the length of a stall: datagrams missed in it are no sign of failed members."""
        for times in (self.last_seen, self.deadlines, self.suspected_since, self.dead_since):
            for member_id in times:
                times[member_id] += seconds
        for probe in self.probes.values():
            probe.at += seconds
        self.last_received_at += seconds

    def tick(self, now: float) -> None:
        """Checks probes and suspicions that are under way, and probes the next member when due."""
        for serial, probe in list(self.probes.items()):
            self._check_probe(now, serial, probe)
        for member_id, deadline in list(self.deadlines.items()):
            self._check_suspicion(now, member_id, deadline)
        if now >= self.next_probe:
            self.next_probe = now + PROBE_PERIOD_SECONDS * self.rng.uniform(0.9, 1.1)
            self._probe_next(now)

    def ping(self, now: float, member_id: int, cursor: int = NO_CURSOR) -> bool:
        """Sends a ping; False if the send limit does not allow it now."""
        if not self.outbox.send_limit.take(now):
            return False
        self._send_ping(now, member_id, cursor, None)
        return True

    def ping_for(self, now: float, member_id: int, requester: ProbeRequester) -> None:
        """Sends a ping on behalf of another member; the answer limit covers it, not the send limit."""
        self._send_ping(now, member_id, NO_CURSOR, requester)

    def pop_answered_probe(self, message: Message) -> Probe | None:
        """Removes and returns the probe that a message answers; None if there is no such probe."""
        probe = self.probes.get(message.serial)
        if probe is None or probe.member_id != message.about:
            return None
        return self.probes.pop(message.serial)

    def long_dead(self, now: float) -> list[int]:
        """Members dead for longer than REMOVE_AFTER_SECONDS."""
        return [
            member_id for member_id, since in self.dead_since.items() if now - since > REMOVE_AFTER_SECONDS
        ]

    def _timeout_factor(self, now: float) -> float:
        """Timeouts double when nothing was received: this member is probably slow or cut off itself."""
        return 2.0 if now - self.last_received_at > 2 * RECENTLY_SEEN_SECONDS else 1.0

    def _send_ping(self, now: float, member_id: int, cursor: int, requester: ProbeRequester | None) -> None:
        serial = self.outbox.next_serial()
        if len(self.probes) < MAX_PROBES:
            self.probes[serial] = Probe(member_id, now, requester=requester)
        self.outbox.send(member_id, Kind.PING, serial=serial, cursor=cursor)

    def _check_probe(self, now: float, serial: int, probe: Probe) -> None:
        elapsed, timeout_factor = now - probe.at, self._timeout_factor(now)
        if probe.requester is not None:
            if elapsed > INDIRECT_TIMEOUT_SECONDS:
                del self.probes[serial]
        elif probe.relayed and elapsed > (DIRECT_TIMEOUT_SECONDS + INDIRECT_TIMEOUT_SECONDS) * timeout_factor:
            del self.probes[serial]
            self._suspect(now, probe)
        elif elapsed > DIRECT_TIMEOUT_SECONDS * timeout_factor and not probe.relayed:
            self._send_indirect_probes(now, serial, probe, timeout_factor)

    def _suspect(self, now: float, probe: Probe) -> None:
        update = self.table.updates.get(probe.member_id)
        silent = self.last_seen.get(probe.member_id, -math.inf) < probe.at
        if silent and update is not None and update.state is State.ALIVE:
            self.merge(replace(update, state=State.SUSPECTED), NO_ANSWER)
            self.next_probe = now  # others may have failed at the same time
            self.suspect_probed_at[probe.member_id] = now

    def _send_indirect_probes(self, now: float, serial: int, probe: Probe, timeout_factor: float) -> None:
        sampled = self.table.sample_others(INDIRECT_PROBERS + 1)
        others = [member_id for member_id in sampled if member_id != probe.member_id][:INDIRECT_PROBERS]
        if self.table.state(probe.member_id) is not State.ALIVE or not others:
            probe.relayed = True
        elif self.outbox.send_limit.take(now, len(others)):
            probe.relayed, probe.at = True, now - DIRECT_TIMEOUT_SECONDS * timeout_factor
            for member_id in others:
                self.outbox.send(member_id, Kind.INDIRECT_PING, serial=serial, about=probe.member_id)

    def _check_suspicion(self, now: float, member_id: int, deadline: float) -> None:
        if now < deadline:
            probe_due = now - self.suspect_probed_at.get(member_id, math.inf) > SUSPECT_PROBE_INTERVAL_SECONDS
            if probe_due and self.ping(now, member_id):
                self.suspect_probed_at[member_id] = now
        elif self.last_seen.get(member_id, -math.inf) > self.suspected_since[member_id]:
            # A datagram arrived since: it is alive and gets more time to refute the suspicion.
            self.suspected_since[member_id] = now
            self.deadlines[member_id] = now + self.suspicion_seconds(now)
        elif member_id in self.suspect_probed_at:
            self.merge(replace(self.table.updates[member_id], state=State.DEAD), "suspicion timed out")
        elif self.ping(now, member_id) or now >= deadline + FINAL_PROBE_MAX_DELAY_SECONDS:
            # The suspicion came by gossip: probe the member from here too, as soon as the send limit allows.
            self.suspect_probed_at[member_id] = now
            self.deadlines[member_id] = now + FINAL_PROBE_TIMEOUT_SECONDS

    def _probe_next(self, now: float) -> None:
        for _ in range(len(self.table.updates) + 1):
            if not self._probe_order:
                self._probe_order = [one for one in self.table.updates if one != self.table.own_id]
                self.rng.shuffle(self._probe_order)
                if not self._probe_order:
                    return
            member_id = self._probe_order.pop()
            stale = now - self.last_seen.get(member_id, -math.inf) > RECENTLY_SEEN_SECONDS
            if self.table.state(member_id) is State.ALIVE and stale:
                self.ping(now, member_id)
                return
