"""SWIM's failure detector: probes, indirect probes and suspicions. No I/O; time is an argument.

A probe that gets no answer is sent on by way of others; without an answer from them either its member is
suspected, and a suspicion that is not refuted in time makes it dead. Whoever only heard of a suspicion asks
the suspected member itself first. A member that hears nobody, or that stood still, waits longer.
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
RECENTLY_SEEN_SECONDS = 0.6  # for which whoever was heard is not probed
DIRECT_TIMEOUT_SECONDS, INDIRECT_TIMEOUT_SECONDS = 0.2, 0.4  # for an answer, and for one by way of others
INDIRECT_PROBERS = 3  # others that are asked to probe
MAX_PROBES = 4 * SEND_BURST  # that are remembered at once
FINAL_PROBE_TIMEOUT_SECONDS = 1.0  # for an answer to one who only heard of a suspicion
FINAL_PROBE_SPREAD = 1.7  # of the suspicion's time, by which they ask in turns
FINAL_PROBE_MAX_DELAY_SECONDS = 2.0  # for which that probe may wait for its turn to be sent
SUSPECT_PROBE_INTERVAL_SECONDS = 0.4  # between probes of one suspected by us
REMOVE_AFTER_SECONDS = 10.0  # after which a quorum counts a dead member no more
NO_ANSWER = "no answer"  # the reason of a suspicion of our own, in the log


@dataclass(slots=True, frozen=True)
class ProbeRequester:
    """A member for whom a probe is made, and the serial by which it knows the answer."""

    member_id: int
    serial: int


@dataclass(slots=True)
class Probe:
    """A ping that waits for its answer. `relayed`: others were asked to probe as well."""

    member_id: int
    at: float
    relayed: bool = False
    requester: ProbeRequester | None = None


@dataclass(slots=True)
class FailureDetector:
    """Who is suspected and who is dead, by what was heard and not answered.

    `merge` takes in an update with its reason, as Membership does with any other.
    """

    table: MemberTable
    outbox: Outbox
    rng: random.Random
    merge: Callable[[Update, str], None]
    last_received_at: float  # anybody
    next_probe: float
    last_seen: dict[int, float] = field(default_factory=dict)  # directly
    probes: dict[int, Probe] = field(default_factory=dict)  # by serial
    deadlines: dict[int, float] = field(default_factory=dict)  # of those suspected
    suspected_since: dict[int, float] = field(default_factory=dict)
    suspect_probed_at: dict[int, float] = field(
        default_factory=dict
    )  # suspected members that we probed for it
    dead_since: dict[int, float] = field(default_factory=dict)
    _probe_order: list[int] = field(default_factory=list)  # to be probed next, from its end

    def note_received(self, now: float, member_id: int) -> None:
        """A sign of life of a member."""
        self.last_seen[member_id] = self.last_received_at = now

    def is_recently_seen(self, now: float, member_id: int) -> bool:
        """True where a member was heard just now."""
        return now - self.last_seen.get(member_id, -math.inf) < RECENTLY_SEEN_SECONDS

    def suspicion_seconds(self, now: float) -> float:
        """For the refutation of a suspicion; an update takes some rounds to reach all."""
        return (0.8 + 0.2 * math.log2(max(2, len(self.table.updates)))) * self._timeout_factor(now)

    def note_update(self, now: float, update: Update, own_probe: bool) -> None:
        """A member is held for something else. `by_us`: it did not answer this member."""
        member_id = update.member_id
        for times in (self.deadlines, self.suspected_since, self.dead_since):
            times.pop(member_id, None)
        if update.state is not State.SUSPECTED:
            self.suspect_probed_at.pop(member_id, None)
        if update.state is State.SUSPECTED:
            self.suspected_since[member_id] = now
            # Whoever only heard of it asks as well, in the end: all at one moment, and it can't answer them.
            spread = 1.0 if own_probe else self.rng.uniform(1.0, FINAL_PROBE_SPREAD)
            self.deadlines[member_id] = now + spread * self.suspicion_seconds(now)
        elif update.state is State.DEAD:
            self.dead_since[member_id] = now

    def shift(self, seconds: float) -> None:
        """What was missed while this process stood still is no silence of the others."""
        for times in (self.last_seen, self.deadlines, self.suspected_since, self.dead_since):
            for member_id in times:
                times[member_id] += seconds
        for probe in self.probes.values():
            probe.at += seconds
        self.last_received_at += seconds

    def tick(self, now: float) -> None:
        """Goes on with probes and suspicions."""
        for serial, probe in list(self.probes.items()):
            self._check_probe(now, serial, probe)
        for member_id, deadline in list(self.deadlines.items()):
            self._check_suspicion(now, member_id, deadline)
        if now >= self.next_probe:
            self.next_probe = now + PROBE_PERIOD_SECONDS * self.rng.uniform(0.9, 1.1)
            self._probe_next(now)

    def ping(self, now: float, member_id: int, cursor: int = NO_CURSOR) -> bool:
        """Asks a member for a sign of life; false where the rate leaves no place for it now."""
        if not self.outbox.send_limit.take(now):
            return False
        self._send_ping(now, member_id, cursor, None)
        return True

    def ping_for(self, now: float, member_id: int, requester: ProbeRequester) -> None:
        """Asks a member for a sign of life on behalf of another, who has paid for it."""
        self._send_ping(now, member_id, NO_CURSOR, requester)

    def pop_answered_probe(self, message: Message) -> Probe | None:
        """The probe that a message answers, which is over; None for an answer to nothing."""
        probe = self.probes.get(message.serial)
        if probe is None or probe.member_id != message.about:
            return None
        return self.probes.pop(message.serial)

    def long_dead(self, now: float) -> list[int]:
        """Those dead for so long that a quorum may count them no more."""
        return [
            member_id for member_id, since in self.dead_since.items() if now - since > REMOVE_AFTER_SECONDS
        ]

    def _timeout_factor(self, now: float) -> float:
        """Who hears nobody is the one that is slow, or cut off."""
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
            self.next_probe = now  # where one is silent, others may be
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
            self.suspected_since[member_id] = now  # heard since: it only has to say so itself
            self.deadlines[member_id] = now + self.suspicion_seconds(now)
        elif member_id in self.suspect_probed_at:
            self.merge(replace(self.table.updates[member_id], state=State.DEAD), "silent")
        elif self.ping(now, member_id) or now >= deadline + FINAL_PROBE_MAX_DELAY_SECONDS:
            # We only heard of it: it is asked by us too, as soon as the rate allows.
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
