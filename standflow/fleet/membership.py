"""Who is there: the decisions of one member. No I/O; `now` is any clock in seconds that never goes back.

SWIM over member ids: a probe that fails directly and by way of others makes a suspicion; one not refuted
in time makes its member dead. Updates spread on whatever is sent anyway. See docs/design/fleet.md.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left
from dataclasses import dataclass, field, replace
from heapq import nlargest
from zlib import crc32

from standflow.fleet.messages import (
    MAX_BOOT_TIME_MS,
    MAX_INCARNATION,
    Address,
    Kind,
    Message,
    State,
    Update,
    packed,
)

TICK = 0.1  # seconds between calls of `tick`
CALM = 0.3  # the same while nothing is under way
LATE = 0.5  # seconds by which a tick may be late before the member doubts itself
PERIOD = 0.6  # seconds between probes
FRESH = 0.6  # seconds for which whoever was heard is not probed
DIRECT, INDIRECT = 0.2, 0.4  # seconds for an answer, and for one by way of others
RELAYS = 3  # others that are asked to probe
IDLE, AGAIN = 1.0, 0.35  # seconds without an answer after which one that is heard is asked, and asked again
REACH = 1.0  # seconds between calls to whom nobody holds for alive
JOINING = 0.25  # the same while nobody is known
FAREWELLS = 12  # others that are told of an orderly end
GREETED = 4  # member ids before ours that are called first: they have to tell us what the ring knows
NEWS = 0.3  # seconds between datagrams that carry news alone
UNLIKE = 0.4  # seconds in which nobody holds the same, before tables are walked through: news are quicker
SYNC = 0.25  # seconds between steps of the walk through another's table
LAST_ASK = 1.0  # seconds for an answer to one who only heard of a suspicion
SPREAD = 1.7  # of the suspicion's time, by which they ask in turns
PUT_OFF = 2.0  # seconds for which that call may wait for room
REMIND = 0.4  # seconds between calls to one suspected
REMOVE_AFTER = 10.0  # seconds after which a majority counts a dead member no more
SETTLE = 5.0  # seconds without a change after which the membership counts as settled
UNHEARD = 2.5  # seconds without an answer from any that are heard: this member takes itself for cut off
CALLS = 6  # as many calls must have stayed unanswered, as single ones get lost
SENDS, BURST = 5.0, 5.0  # datagrams a second begun from here, and at once
HURRIED = 6.5  # the same while this member is new, or nobody holds what it holds
YOUNG = 6.0  # seconds for which a member is new
RESERVE = 2.0  # of those at once, kept from news for probes
ANSWERS, MOST_ANSWERS = 9.0, 5.0  # the same of answers
TAKES, MOST_TAKES = 16.0, 9.0  # the same of what is taken in; more is dropped
MANY = 0.25  # of the fleet dead at once: those may hold us for dead as well
ASSUMED = (
    0.8  # seconds that those of an earlier life's membership have to be heard, before they count as missing
)
BUMP = 3.0  # seconds between two counts raised for that
CLASH = 30.0  # seconds within which a second claim to our member id is another process
NO_CURSOR = 0xFFFF
ALIVE_STATES = (State.ALIVE, State.SUSPECTED)


@dataclass(slots=True, frozen=True)
class Send:
    """A datagram to a member, or to an address where its id is not known yet."""

    to: int | Address
    message: Message


@dataclass(slots=True, frozen=True)
class Change:
    """One line of the log: what a member was held for, and is now."""

    member_id: int
    before: str
    after: str
    why: str


@dataclass(slots=True, frozen=True)
class Snapshot:
    """What follows from the membership: who is alive, who is missing, and whether this side may take over."""

    alive: frozenset[int]
    missing: frozenset[int]
    has_quorum: bool
    among: frozenset[int]  # by whom cold next hops are divided
    returned: frozenset[int]  # come, or come back, since the last one


@dataclass(slots=True)
class Probe:
    """A call that waits for its answer. `relayed`: others were asked; `asker`: for whom it is made."""

    member_id: int
    at: float
    relayed: bool = False
    asker: tuple[int, int] | None = None  # member id and serial


@dataclass(slots=True)
class Bucket:
    """So many a second, and so many at once."""

    rate: float
    most: float
    left: float
    at: float

    def take(self, now: float, so_many: int = 1) -> bool:
        """True where they may go."""
        self.left, self.at = min(self.most, self.left + (now - self.at) * self.rate), now
        if self.left < so_many:
            return False
        self.left -= so_many
        return True


@dataclass(slots=True)
class Counts:
    """Datagrams of the membership, and what became of them."""

    sent: int = 0
    taken: int = 0
    dropped: int = 0


@dataclass(slots=True)
class Membership:
    """One member's table of the fleet. `updates_per_datagram`: how many one holds."""

    own_id: int
    size: int  # member ids
    boot_time_ms: int
    now: float
    updates_per_datagram: int
    chance: random.Random
    listed: bool = True  # every member can be called; else those whose address is known
    address: Address | None = None
    seeds: tuple[Address, ...] = ()
    incarnation: int = 0
    updates: dict[int, Update] = field(default_factory=dict)
    digest: int = 0
    heard: dict[int, float] = field(default_factory=dict)  # directly
    last_heard: float = 0.0  # anybody
    alive: set[int] = field(default_factory=set)  # held for alive or suspected
    dead: set[int] = field(default_factory=set)  # held for dead
    others: list[int] = field(default_factory=list)  # the filled ones but ours, and the known ones, in order;
    member_ids: list[int] = field(
        default_factory=list
    )  # both made anew when they are asked for after a change
    deadlines: dict[int, float] = field(default_factory=dict)  # of those suspected
    reminded: dict[int, float] = field(default_factory=dict)  # suspected by us, when they were told last
    rung: dict[int, float] = field(default_factory=dict)  # heard on the ring though dead, and called
    suspected_since: dict[int, float] = field(default_factory=dict)  # since when
    dead_since: dict[int, float] = field(default_factory=dict)  # since when
    news: dict[int, int] = field(default_factory=dict)  # members to be told of, and how often still
    probes: dict[int, Probe] = field(default_factory=dict)  # by serial
    order: list[int] = field(default_factory=list)  # to be probed next, from its end
    changes: list[Change] = field(default_factory=list)  # taken out by whoever logs them
    counts: Counts = field(default_factory=Counts)
    due: float = 0.0  # the next tick
    born: float = 0.0
    left: bool = False
    yielded: bool = False  # another process holds our member id
    serial: int = 0
    cursor: int = 0
    greeted: int = 0
    unlike: int = 0  # who held something else last
    unlike_since: float = math.inf  # nobody has held the same since then
    claimed: float = -math.inf
    bumped: float = -math.inf
    changed: float = 0.0
    answered: float = 0.0  # when a call from here was answered last
    called: int = 0  # calls since then, of those that were heard lately
    next_probe: float = 0.0
    next_idle: float = 0.0
    next_reach: float = 0.0
    next_news: float = 0.0
    next_sync: float = 0.0
    deaf: set[int] = field(default_factory=set)  # they hold us for dead, whatever we say: we don't reach them
    refuted: float = -math.inf  # when we said otherwise last
    returned: set[int] = field(default_factory=set)
    among: set[int] = field(default_factory=set)
    remembered: set[int] = field(default_factory=set)  # of an earlier life's membership, not heard yet
    revision: int = 0  # raised with whatever `seen` tells, but for what passing time alone changes
    sends: Bucket = field(init=False)
    answers: Bucket = field(init=False)
    takes: Bucket = field(init=False)
    out: list[Send] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.sends = Bucket(SENDS, BURST, BURST, self.now)
        self.answers = Bucket(ANSWERS, MOST_ANSWERS, MOST_ANSWERS, self.now)
        self.takes = Bucket(TAKES, MOST_TAKES, MOST_TAKES, self.now)
        self.changed = self.answered = self.born = self.due = self.last_heard = self.now
        self.next_probe = self.now + PERIOD * self.chance.random()
        self.among = set(range(self.size))
        self._hold(Update(self.own_id, self.boot_time_ms, self.incarnation, State.ALIVE, self.address))

    # What is read of it.

    def alive_ids(self) -> set[int]:
        """The members held for alive or suspected, this one among them."""
        return set(self.alive)

    def dead_ids(self) -> set[int]:
        """Dead, and not for so long that they count no more."""
        return set(self.dead)

    @property
    def joined(self) -> bool:
        """Another member is or was there."""
        return len(self.updates) > 1

    @property
    def waiting(self) -> bool:
        """An earlier life knew others, and they have not had the time to be heard."""
        return bool(self.remembered) and self.now - self.born < ASSUMED

    @property
    def unheard(self) -> bool:
        """Whom this one calls, does not answer: it may hear the others, and they not it."""
        return self.called >= CALLS and self.now - self.answered > UNHEARD

    @property
    def pace(self) -> float:
        """Seconds until `tick` is due again: each one wakes the process."""
        waits = self.probes or self.deadlines or self.news or self.unlike_since < math.inf
        return TICK if waits or not self.joined or self.now - self.born < YOUNG else CALM

    def has_quorum(self) -> bool:
        """True for the side of a cut that may take over: more than half of those that count, or just half
        with the lowest member id among them. No two sides of one fleet can both be.
        """
        here, missing = self.alive - self.deaf, self.dead | (self.deaf & self.alive)
        ours, both = len(here), len(here) + len(missing)
        return 2 * ours > both or (0 < 2 * ours == both and min(here) < min(missing))

    def take_snapshot(self) -> Snapshot:
        """What follows, for now; who has returned is told once."""
        returned, among = frozenset(self.returned), frozenset(self.among)
        self.returned = set()
        counted = self.alive | self.dead
        if self.yielded or (self.unheard and len(counted) > 1):
            return Snapshot(
                frozenset({self.own_id}), frozenset(counted - {self.own_id}), False, among, returned
            )
        here = frozenset(self.alive - self.deaf)
        return Snapshot(here, frozenset(counted - here), self.has_quorum(), among, returned)

    def remember(self, members: dict[int, tuple[int, Address | None]]) -> None:
        """Whom an earlier life of this member held for alive last, with their lives: whom to ask, and who
        is missing until heard. An update on them is older than any of their own.
        """
        for member_id, (boot_time_ms, address) in members.items():
            if (
                member_id not in self.updates
                and member_id < self.size
                and 0 < boot_time_ms <= MAX_BOOT_TIME_MS
            ):
                self._hold(Update(member_id, boot_time_ms - 1, 0, State.DEAD, address))
                self.dead_since[member_id] = self.now
                self.remembered.add(member_id)

    # Events. Each returns what is to be sent.

    def tick(self, now: float) -> list[Send]:
        """Every `pace`, or so."""
        late = now - self.due
        self.now = now
        if late > LATE:
            self._doubt(late)
        if self.left or self.yielded:
            self.due = now + TICK
            return self._taken()
        hurried = now - self.born < YOUNG or now - self.unlike_since > 2 * UNLIKE
        self.sends.rate = HURRIED if hurried else SENDS
        self._follow_probes()
        self._follow_suspicions()
        if now >= self.next_probe:
            self.next_probe = now + PERIOD * self.chance.uniform(0.9, 1.1)
            self._probe_next()
        if now >= self.next_sync and now - self.unlike_since > UNLIKE:
            self.next_sync = now + (SYNC / 2 if hurried else SYNC)
            self._call(self.unlike, self.cursor)
        if now >= self.next_news and self.news:
            self.next_news = now + NEWS
            for to in self._some(1) if self.sends.left > RESERVE else ():
                self.sends.take(now)
                self._send(to, Kind.GOSSIP)
        if self.greeted < min(GREETED, self.size - 1) and self.listed:
            self.greeted += 1
            self._call((self.own_id - self.greeted) % self.size)
        if now >= self.next_reach:
            self.next_reach = now + (REACH if self.joined else JOINING) * self.chance.uniform(0.8, 1.2)
            self._reach_out()
        if now >= self.next_idle and now - self.answered > IDLE:
            self._ask_idle()
        self._remove_long_dead()
        if self.joined and now - self.changed >= SETTLE and self.among != self.alive:
            self.among, self.revision = self.alive_ids(), self.revision + 1
        self.due = now + self.pace
        return self._taken()

    def hear(self, now: float, message: Message, sender: Address) -> list[Send]:
        """A sound datagram of this fleet."""
        self.now = max(self.now, now)
        m = message
        if m.member_id >= self.size or self.left or not self.takes.take(self.now):
            self.counts.dropped += 1
            return []
        self.counts.taken += 1
        if m.member_id == self.own_id:
            if m.boot_time_ms != self.boot_time_ms:
                self._claim(m.boot_time_ms, f"{sender[0]}:{sender[1]}")
            return self._taken()
        known = self.updates.get(m.member_id)
        if known is not None and (m.boot_time_ms, m.incarnation) < known.version:
            self.counts.dropped += 1  # of a process before, or an old datagram
            return []
        self.heard[m.member_id] = self.last_heard = now
        address = None if self.listed else sender
        self._merge(Update(m.member_id, m.boot_time_ms, m.incarnation, State.ALIVE, address), "heard")
        held = next(
            (
                update
                for update in m.updates
                if update.member_id == self.own_id and update.boot_time_ms == self.boot_time_ms
            ),
            None,
        )
        if held is not None and held.state >= State.DEAD and held.incarnation < self.incarnation:
            if now - self.refuted > UNHEARD and m.member_id not in self.deaf:
                self.deaf.add(m.member_id)
                self.revision += 1
        elif m.member_id in self.deaf:
            self.deaf.discard(m.member_id)
            self.revision += 1
        for update in m.updates:
            if update.member_id < self.size and self.updates.get(update.member_id) != update:
                self._merge(update, f"told by {m.member_id}")
        if m.digest == self.digest:
            self.unlike_since = math.inf
        else:
            self.unlike, self.unlike_since = m.member_id, min(now, self.unlike_since)
        if m.kind is Kind.PING:
            if self.answers.take(now):
                self._send(m.member_id, Kind.ACK, serial=m.serial, cursor=m.cursor)
        elif m.kind is Kind.ACK:
            self._answered(m)
        elif m.kind is Kind.INDIRECT_PING and m.about in self.updates and self.answers.take(now):
            self._call(m.about, asker=(m.member_id, m.serial), free=True)
        return self._taken()

    def ring(self, now: float, member_id: int) -> None:
        """A datagram of the ring came from a member: a sign of life."""
        if member_id in self.updates:
            self.heard[member_id] = self.last_heard = now
            if (
                self.updates[member_id].state not in ALIVE_STATES
                and now - self.rung.get(member_id, -math.inf) > REACH
            ):
                self.rung[member_id] = now
                self._call(member_id)  # it hears what it is held for, and says otherwise

    def leave(self) -> list[Send]:
        """This member ends in order: some are told, and they tell the others."""
        if not self.left and not self.yielded:
            self._hold(Update(self.own_id, self.boot_time_ms, self.incarnation, State.LEFT, self.address))
            self.news = {self.own_id: 99}
            for member_id in self._some(FAREWELLS):
                self._send(member_id, Kind.GOSSIP)
            self.left = True
        return self._taken()

    # Probes.

    def _patience(self) -> float:
        """Who hears nobody is the one that is slow, or cut off."""
        return 2.0 if self.now - self.last_heard > 2 * FRESH else 1.0

    def suspicion_time(self) -> float:
        """Seconds that a suspicion has for its refutation; an update takes some rounds to reach all."""
        return (0.8 + 0.2 * math.log2(max(2, len(self.updates)))) * self._patience()

    def _doubt(self, late: float) -> None:
        """What was missed while this process stood still is no silence of the others."""
        for times in (self.heard, self.deadlines, self.suspected_since, self.dead_since):
            for member_id in times:
                times[member_id] += late
        for probe in self.probes.values():
            probe.at += late
        self.answered += late
        self.changed += late
        self.last_heard += late

    def _follow_probes(self) -> None:
        patience = self._patience()
        for serial, probe in list(self.probes.items()):
            waited = self.now - probe.at
            if probe.asker is not None:
                if waited > INDIRECT:
                    del self.probes[serial]
            elif probe.relayed and waited > (DIRECT + INDIRECT) * patience:
                del self.probes[serial]
                update = self.updates.get(probe.member_id)
                silent = self.heard.get(probe.member_id, -math.inf) < probe.at
                if silent and update is not None and update.state is State.ALIVE:
                    self._merge(replace(update, state=State.SUSPECTED), "no answer")
                    self.next_probe = self.now  # where one is silent, others may be
                    self.reminded[probe.member_id] = self.now
            elif waited > DIRECT * patience and not probe.relayed:
                update = self.updates.get(probe.member_id)
                others = [member_id for member_id in self._some(RELAYS + 1) if member_id != probe.member_id][
                    :RELAYS
                ]
                if update is None or update.state is not State.ALIVE or not others:
                    probe.relayed = True
                elif self.sends.take(self.now, len(others)):
                    probe.relayed, probe.at = True, self.now - DIRECT * patience
                    for member_id in others:
                        self._send(member_id, Kind.INDIRECT_PING, serial=serial, about=probe.member_id)

    def _follow_suspicions(self) -> None:
        for member_id, deadline in list(self.deadlines.items()):
            update = self.updates[member_id]
            if self.now >= deadline:
                if self.heard.get(member_id, -math.inf) > self.suspected_since[member_id]:
                    self.suspected_since[member_id] = self.now  # heard since: it only has to say so itself
                    self.deadlines[member_id] = self.now + self.suspicion_time()
                elif member_id not in self.reminded:
                    # we only heard of it: it is asked by us too, as soon as there is room for that
                    if self._call(member_id) or self.now >= deadline + PUT_OFF:
                        self.reminded[member_id] = self.now
                        self.deadlines[member_id] = self.now + LAST_ASK
                else:
                    self._merge(replace(update, state=State.DEAD), "silent")
            elif self.now - self.reminded.get(member_id, math.inf) > REMIND and self._call(member_id):
                self.reminded[member_id] = self.now  # by whom it was not answered

    def _probe_next(self) -> None:
        for _ in range(len(self.updates) + 1):
            if not self.order:
                self.order = [member_id for member_id in self.updates if member_id != self.own_id]
                self.chance.shuffle(self.order)
                if not self.order:
                    return
            member_id = self.order.pop()
            update = self.updates.get(member_id)
            stale = self.now - self.heard.get(member_id, -math.inf) > FRESH
            if update is not None and update.state is State.ALIVE and stale:
                self._call(member_id)
                return

    def _ask_idle(self) -> None:
        """Tables are compared, and we learn whether we are heard."""
        fresh = [
            member_id
            for member_id in self._some(5)
            if self.now - self.heard.get(member_id, -math.inf) < FRESH
        ]
        if fresh:
            self.next_idle = self.now + AGAIN
            self.called += 1
            self._call(fresh[0])

    def _reach_out(self) -> None:
        """Calls one that nobody holds for alive: a member never seen, a dead one, a seed."""
        if self.listed:
            reachable = (*ALIVE_STATES, State.LEFT)
            absent = [
                member_id
                for member_id in range(self.size)
                if member_id not in self.updates or self.updates[member_id].state not in reachable
            ]
        else:
            absent = [
                p for p, w in self.updates.items() if w.state in (State.DEAD, State.REMOVED) and w.address
            ]
        known = {update.address for update in self.updates.values()}
        seeds = [seed for seed in self.seeds if seed not in known]
        if seeds and (not absent or self.chance.random() < 0.5):
            if self.sends.take(self.now):
                self._send(self.chance.choice(seeds), Kind.PING, serial=self._serial(), cursor=self.cursor)
        elif absent:
            self._call(self.chance.choice(absent))

    def _call(
        self, to: int, cursor: int = NO_CURSOR, asker: tuple[int, int] | None = None, free: bool = False
    ) -> bool:
        """Asks a member for a sign of life; false where there is no room for it now. `free`: paid for by
        whoever asked for it.
        """
        if not free and not self.sends.take(self.now):
            return False
        serial = self._serial()
        if len(self.probes) < 4 * BURST:
            self.probes[serial] = Probe(to, self.now, asker=asker)
        self._send(to, Kind.PING, serial=serial, cursor=cursor)
        return True

    def _answered(self, message: Message) -> None:
        probe = self.probes.get(message.serial)
        if probe is None or probe.member_id != message.about:
            return
        del self.probes[message.serial]
        if message.cursor != NO_CURSOR:
            self.cursor = message.cursor
        if probe.asker is not None:
            self._send(probe.asker[0], Kind.ACK, serial=probe.asker[1], about=probe.member_id)
            return
        self.answered, self.called = self.now, 0

    def _some(self, most: int) -> list[int]:
        """Some of the others that are there, by chance."""
        if not self.others:
            self.others = sorted(self.alive - {self.own_id})
        return self.chance.sample(self.others, min(most, len(self.others)))

    # Updates.

    def _merge(self, update: Update, why: str) -> None:
        """Takes an update in where it is newer than the one held."""
        if update.member_id == self.own_id:
            self._of_us(update, why)
            return
        known = self.updates.get(update.member_id)
        newer = known is None or (update.version, update.state) > (known.version, known.state)
        if not newer or update.boot_time_ms > MAX_BOOT_TIME_MS or update.incarnation > MAX_INCARNATION:
            return
        if update.address is None and known is not None:
            update = replace(update, address=known.address)
        self._hold(update)
        before = "unknown" if known is None else known.state.log_name
        after = update.state.log_name
        if known is not None and update.boot_time_ms > known.boot_time_ms and update.state in ALIVE_STATES:
            after += " in a new life"
        if after != before:
            self.changes.append(Change(update.member_id, before, after, why))
        member_id, was_here = update.member_id, known is not None and known.state in ALIVE_STATES
        self.remembered.discard(member_id)
        if update.state in ALIVE_STATES and (
            not was_here or (known is not None and update.boot_time_ms > known.boot_time_ms)
        ):
            self.returned.add(member_id)
            self.revision += 1
        if (update.state in ALIVE_STATES) != was_here or update.state is State.REMOVED:
            self.changed = self.now
        if update.state in ALIVE_STATES and member_id not in self.among:
            self.among.add(member_id)
            self.revision += 1
        for times in (self.deadlines, self.suspected_since, self.dead_since):
            times.pop(member_id, None)
        if update.state is not State.SUSPECTED:
            self.reminded.pop(member_id, None)
        if update.state is State.SUSPECTED:
            self.suspected_since[member_id] = self.now
            # Whoever only heard of it asks as well, in the end: all at one moment, and it can't answer them.
            late = self.chance.uniform(1.0, SPREAD) if why != "no answer" else 1.0
            self.deadlines[member_id] = self.now + late * self.suspicion_time()
        elif update.state is State.DEAD:
            self.dead_since[member_id] = self.now
            self._raise()

    def _hold(self, update: Update) -> None:
        """Puts an update into the table, and among the news."""
        known = self.updates.get(update.member_id)
        if known is not None:
            self.digest ^= _mark(known)
        else:
            self.member_ids = []
        self.updates[update.member_id] = update
        self.digest ^= _mark(update)
        for member_ids, held in (
            (self.alive, update.state in ALIVE_STATES),
            (self.dead, update.state is State.DEAD),
        ):
            if held != (update.member_id in member_ids):
                (member_ids.add if held else member_ids.discard)(update.member_id)
                self.others = []
                self.revision += 1
        self.news[update.member_id] = 3 * max(1, math.ceil(math.log10(len(self.updates) + 1)))

    def _of_us(self, update: Update, why: str) -> None:
        """Somebody holds something of us: what is untrue is refuted, by a higher incarnation."""
        if update.boot_time_ms > self.boot_time_ms:
            self._claim(update.boot_time_ms, why)
        elif (
            update.boot_time_ms == self.boot_time_ms
            and update.incarnation >= self.incarnation
            and update.state is not State.ALIVE
        ):
            self.changes.append(Change(self.own_id, update.state.log_name, "present", f"refuted, {why}"))
            self._again(update.incarnation + 1)
        elif update.boot_time_ms == self.boot_time_ms and update.incarnation > self.incarnation:
            self._again(update.incarnation)  # said before a process of this ingress took over

    def _again(self, incarnation: int) -> None:
        if self.now - self.refuted > UNHEARD:
            self.refuted = self.now
        if incarnation > MAX_INCARNATION:
            self.boot_time_ms, incarnation = self.boot_time_ms + 1, 0
        self.incarnation = incarnation
        self._hold(Update(self.own_id, self.boot_time_ms, self.incarnation, State.ALIVE, self.address))

    def _raise(self) -> None:
        """Many are dead at once: they may hold us for dead, and the join would wait for our refutation."""
        missing, here = len(self.dead), len(self.alive)
        if missing >= MANY * (missing + here) and self.now - self.bumped > BUMP:
            self.bumped = self.now
            self._again(self.incarnation + 1)

    def _claim(self, boot_time_ms: int, why: str) -> None:
        """A process with a later boot time claims our member id: one of ours before, its clock ahead, or
        another. The first is passed by; whoever meets a second claim gives the member id up.
        """
        if boot_time_ms <= self.boot_time_ms or self.yielded or boot_time_ms >= MAX_BOOT_TIME_MS:
            return
        if self.now - self.claimed < CLASH:
            self.yielded, self.revision = True, self.revision + 1
            text = "another process fills this place; this one is silent and keeps to its part of a cut"
        else:
            text = "a life of it said to be later than this one: its clock was ahead, or two have one number"
            self.boot_time_ms = boot_time_ms + 1
            self._again(0)
        self.claimed = self.now
        self.changes.append(Change(self.own_id, "present", text, why))

    def _remove_long_dead(self) -> None:
        if not self.dead_since or self.unheard:
            return
        has_quorum = self.has_quorum()
        for member_id, since in list(self.dead_since.items()):
            if self.now - since > REMOVE_AFTER and (has_quorum or member_id in self.remembered):
                self._merge(replace(self.updates[member_id], state=State.REMOVED), "gone for long")

    # Sending.

    def _serial(self) -> int:
        self.serial = (self.serial + 1) & 0xFFFFFFFF
        return self.serial

    def _send(
        self,
        to: int | Address,
        kind: Kind,
        serial: int = 0,
        about: int | None = None,
        cursor: int = NO_CURSOR,
    ) -> None:
        updates, following = self._choose(to, cursor)
        message = Message(
            kind,
            self.own_id,
            self.boot_time_ms,
            self.incarnation,
            serial,
            self.digest,
            self.own_id if about is None else about,
            following if kind is Kind.ACK else cursor,
            updates,
        )
        self.counts.sent += 1
        self.out.append(Send(to, message))

    def _choose(self, to: int | Address, cursor: int) -> tuple[tuple[Update, ...], int]:
        """What a datagram carries: what its receiver is held for, news, and the walk from `cursor` on;
        also where the walk goes on.
        """
        chosen: dict[int, Update] = {}
        if isinstance(to, int) and to in self.updates and self.updates[to].state is not State.ALIVE:
            chosen[to] = self.updates[to]
        most = self.updates_per_datagram if cursor == NO_CURSOR else self.updates_per_datagram // 4
        for member_id in nlargest(most - len(chosen), self.news, key=self.news.__getitem__):
            chosen[member_id] = self.updates[member_id]
            self.news[member_id] -= 1
            if not self.news[member_id]:
                del self.news[member_id]
        following = cursor
        if cursor != NO_CURSOR:
            following = 0
            self.member_ids = self.member_ids or sorted(self.updates)
            for member_id in self.member_ids[bisect_left(self.member_ids, cursor) :]:
                if len(chosen) >= self.updates_per_datagram:
                    following = member_id
                    break
                chosen[member_id] = self.updates[member_id]
        return tuple(chosen.values()), following

    def _taken(self) -> list[Send]:
        sends, self.out = self.out, []
        return sends


def _mark(update: Update) -> int:
    """An update's part of the digest; a suspicion passes by and is left out."""
    state = State.ALIVE if update.state is State.SUSPECTED else update.state
    return crc32(packed(Update(update.member_id, update.boot_time_ms, update.incarnation, state)))
