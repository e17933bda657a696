"""What a gateway keeps; the decisions on it are all in brain.py."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from enum import IntEnum

from hoistfold import interface as i
from hoistfold.ceiling import ceiling_parts
from hoistfold.partition import Partition
from hoistfold.tries import UsualTime

SCALE = 4  # fractions of a unit that counts are of
ONCE, TWICE, FORGOTTEN = range(1, 4)  # how a place is still to be told, the last to its own member
HASTY = 2.0  # times the usual latency: a client that waits for less seldom gets its answer
FORGIVEN = 5.0  # seconds in which what was seen of a backend's speed loses most of its weight


class MessageKind(IntEnum):
    """What one entry of a peer message says."""

    TELL = 0  # a member's use
    ASK = 1  # for units of the quota, and of the ceiling's part that the receiver grants from
    TOTAL = 2  # the answer: what was granted, and the total with it
    CHECK = 3  # for the total alone, where the one asked first may not know it


@dataclass(slots=True)
class Attempt:
    """One attempt of a request."""

    backend: Backend
    sent: float
    kind: i.RequestClass
    quota: Quota
    ended: i.Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """False only when the outcome proves that it did not run."""
        return self.ended is None or not self.ended.never_ran


@dataclass(slots=True)
class Request:
    """A request that is owed its final answer."""

    name: str
    kind: i.RequestClass
    quota: Quota
    deadline: float
    late: bool  # can hardly be served within the aim
    units: float
    spare: bool = False  # beyond its quota: served only from room that nobody else needs
    ceiling_granted: bool = False  # a coordinator granted its units of the ceiling
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class Backend:
    """What this gateway has seen of a backend."""

    entry: i.BackendEntry
    cold_since: float
    rank: int  # of its name, the same for all gateways
    cold_at: float
    stretch: float = 1.0  # latency against what the class usually takes
    judged: float = 0.0  # when stretch was learnt last
    answered: float = -math.inf
    pending: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    suspect_since: float | None = None
    next_trial: float = 0.0
    pause: float = 0.0  # until the trial after that
    resets: int = 0  # connections that broke since it answered last
    errors: int = 0  # errors since then
    cold_credit: float = 0.0

    @property
    def active(self) -> bool:
        """True unless the list says that it drains."""
        return self.entry.availability is i.Availability.ACTIVE

    @property
    def out(self) -> int:
        """Attempts out at once from here."""
        return len(self.pending)

    def remembers_with(self, other: Backend, scope: i.DedupScope) -> bool:
        """True when both drop repeats of the same keyed requests."""
        if scope is i.DedupScope.ALL or self is other:
            return True
        return bool(getattr(self.entry, scope.value) == getattr(other.entry, scope.value))


@dataclass(slots=True)
class Quota:
    """One customer's place in the ring: the window's total, which drains at the plan's rate."""

    key: bytes
    plan: i.Plan
    first: int  # the ring is this gateway and the next ones, so many
    size: int
    place: int  # this gateway's own
    at: float  # when it was drained last
    used: float  # when a request or a peer named it last
    counts: dict[int, int] = field(default_factory=dict)  # running, by ring place, merged by maximum
    own: float = 0.0
    others: float = 0.0
    ceiling: float = 0.0
    open: int = 0
    others_rate: float = 0.0
    untold: dict[int, int] = field(default_factory=dict)  # places still to be told, and how
    # Of a long ring, where coordinators keep the total:
    asking: Request | None = None  # waits for their answers
    asked_at: float = 0.0
    silent_coordinators: list[int] = field(default_factory=list)  # that left the request unanswered
    checked: bool = False  # the next coordinator was asked for its total too
    waiting: list[Request] = field(default_factory=list)  # requests behind it
    owing: list[int] = field(default_factory=list)  # coordinators whose answer is due
    grantor: int = -1  # the one of them that grants units of the ceiling
    granted: float = 0.0  # units that it grants
    ceiling_granted: bool = False  # by the grantor
    told: bool = False  # a coordinator was heard
    total_at: float = -math.inf  # when
    use_rate: float = 0.0  # units a second that the other members were seen to use
    own_rate: float = 0.0  # units a second that this member uses
    lease: float = 0.0  # units granted ahead
    lease_until: float = -math.inf
    member_use: float = 0.0  # of the window by the others, as they told this gateway as a coordinator
    grant_credit: float = 0.0  # units of the ceiling that this gateway may grant as a coordinator
    grant_part: float = 0.0  # of the ceiling, from which it grants
    alone_part: float = 1.0  # of the ceiling, from which members take without a grant
    refusals: int = 0
    shut_until: float = 0.0
    silent: int = 0  # other members that only the second witness tells of: each is taken to have used
    since: float = 0.0  # as much as we since it told of another member last, so many units
    alone: bool = False  # nobody at all was heard of when it was last asked for
    witnessed: float = -math.inf  # when the second witness told of another member last
    level: float = 0.0  # of the whole store, as the counter told last
    told_at: float = -math.inf  # when that was
    unsaid: float = 0.0  # units let in of which the counter was not told
    # Of burst and rate, for those of the ring that hear each other: each unit counts for so many times more.
    part: float = 1.0
    parted: float = -math.inf  # when no larger part was due last

    @property
    def fullness(self) -> float:
        """What is used of the window, as a part of the burst."""
        return (self.own + self.others) / self.plan.burst

    def holds_one_from_each(self, units: float) -> bool:
        """Whether a request of so many units from each member fits at once; an unused window holds one."""
        used = self.own + self.others
        return not used or used + units * self.size <= self.plan.burst

    def take_part(self, part: float, units: float) -> None:
        """Takes another part of the quota, of which as much counts as used as of the one before.

        Of a part under one request the window is that request of so many units: one has to fit.
        """
        burst = self.plan.burst
        scale = max(burst, units / part) / max(burst, units / self.part)
        self.part, self.own, self.others = part, self.own * scale, self.others * scale

    def known(self, now: float) -> float:
        """What must at least be used of the whole store, by what the counter told last."""
        return self.level - self.plan.rate * (now - self.told_at)


@dataclass(slots=True, frozen=True)
class Entry:
    """One customer's part of a peer message."""

    key: bytes
    plan: int
    what: int
    first: int
    size: int
    place: int
    count: int
    level: int
    units: int


@dataclass(slots=True)
class Peer:
    """What this gateway has heard of another one."""

    heard: float = -math.inf
    skip_until: float = 0.0


def coordinator_place(quota: Quota) -> int:
    """The place of the first coordinator in a long ring; spread by the tenant's key."""
    return int.from_bytes(quota.key, "big") % quota.size


class Kept:
    """The tables that a gateway starts with, all empty, and what is read from them without a decision."""

    def __init__(self, settings: i.Settings) -> None:
        self.settings = settings
        self.classes = {kind.name: kind for kind in settings.classes}
        self.base = {kind.name: kind.aim / 8 for kind in settings.classes}  # usual latency, learnt
        self.plans = {plan.name: plan for plan in settings.plans}
        self.now = 0.0
        self.started_at = 0.0
        self.actions: list[i.Action] = []
        self.backends: dict[str, Backend] = {}
        self.order: list[Backend] = []  # the active ones, in this gateway's own order
        self.reach = 1  # backends that this gateway works with
        self.sharers = 1.0  # gateways that work with one warm backend
        self.learnt = 0.0
        self.took = 1.0  # seconds of usual work a second that a warm backend was seen to take at ease
        self.busy = 0.0  # attempts out, on average over the last requests
        self.room = 0.0  # attempts that may be out at once from here
        self.requests: dict[str, Request] = {}
        self.usual_left: dict[str, UsualTime] = {}
        self.open: dict[tuple[str, int], Attempt] = {}
        self.timers: dict[int, Request] = {}
        self.serial = 0
        self.quotas: dict[bytes, Quota] = {}
        self.telling: dict[bytes, Quota] = {}  # those with places still to be told
        self.touched: dict[bytes, Quota] = {}  # those whose use is noted for the second witness
        self.sweep_at = 0.0
        self.peers = {n: Peer() for n in range(settings.gateways) if n != settings.number}
        self.epoch = 0.1  # seconds between tellings
        self.long_ring = False
        # the counter keeps the totals where no peer may be told
        self.counting = (
            settings.may_use_counter
            and not settings.may_message_peers
            and not settings.counter_reconciliation
        )
        self.fleet: i.MembershipChanged | None = None  # where a view is kept
        self.first_heard = math.inf  # when any other gateway was
        self.took_over = False  # from another process of this gateway, with all that it knew
        self.partition = Partition()  # by the membership, and by who is heard
        self.fleet_at = -math.inf  # when it was told last
        self.asks_until = -math.inf  # until then the others' use is not known
        self.among = frozenset(range(settings.gateways))  # by whom cold backends are divided
        self.turns: dict[int, float] = {}  # at backends by their place in the order, where some are not there
        # neighbours by number serve the same customers: a step without common divisor sets them apart
        count = settings.gateways
        self.step = next(n for n in range(math.ceil(0.618 * count), count + 2) if math.gcd(n, count) == 1)
        self.place = settings.number * self.step % count

    def quota_of(self, key: bytes, plan: i.Plan, first: int, size: int) -> Quota:
        """A customer's quota, a new one where there is none."""
        if key not in self.quotas:
            place = (self.settings.number - first) % self.settings.gateways
            quota = Quota(key, plan, first, size, place, self.now, self.now, {place: 0})
            quota.alone = self.counting  # what is its own drains at an even share
            if self.long_ring:
                parts = ceiling_parts(plan)
                quota.alone_part = parts.members
                quota.grant_part = parts.granted_by((place - coordinator_place(quota)) % size)
                # nothing was let in for it since the start, or since it was forgotten
                self.fill_ceiling(quota, self.now - self.started_at)
            self.quotas[key] = quota
        return self.quotas[key]

    def members(self, quota: Quota, place: int) -> list[int]:
        """In the ring's order from a place on; it is that of the numbers, wherever its set begins."""
        places = ((place + step) % quota.size for step in range(quota.size))
        return [(quota.first + p) % self.settings.gateways for p in places]

    def between(self, quota: Quota, sender: int) -> list[int]:
        """The members of a ring that come after the sender and before this gateway."""
        place = (sender - quota.first) % self.settings.gateways
        places = range(place + 1, place + 1 + (quota.place - place - 1) % quota.size)
        return [(quota.first + at % quota.size) % self.settings.gateways for at in places]

    def turn(self, n: int) -> float:
        """How many gateways come before this one at the backend in place n of its order."""
        count, size = self.settings.gateways, len(self.order)
        mine = (n + 1) * count - 1 - self.place * size % count
        if len(self.among) == count:
            return mine / size
        if n not in self.turns:
            ways = ((self.place - other * self.step) * size for other in self.among)
            self.turns[n] = sum((mine + way) % (size * count) < mine for way in ways)
        return self.turns[n]

    def answers(self, number: int) -> bool:
        """Four epochs without a message, or a total not sent back, and a member is skipped."""
        peer = self.peers[number]
        return self.now >= peer.skip_until if self.long_ring else self.now - peer.heard < 4 * self.epoch

    def _silent_are_gone(self) -> bool:
        """Another gateway is heard, so this one is not cut off, and it has listened long enough."""
        return self.now >= self.asks_until and any(self.answers(number) for number in self.peers)

    def _part_alone(self, quota: Quota) -> float:
        """Of an even share, what one that hears nobody any more may use: what all may use stays one quota.

        The others fell silent within four epochs, and what they used in that time is taken off. Nothing is
        known before a gateway has listened that long; where a second witness is silent too, it is cut off.
        """
        plan, cut_off = quota.plan, self.settings.counter_reconciliation
        if not quota.alone or not plan.rate or cut_off or self.now < self.asks_until:
            return 0.0
        return 1 - 4 * self.epoch * plan.rate / plan.burst

    def used(self) -> set[str]:
        """The classes of what is open or still out."""
        requests = {request.kind.name for request in self.requests.values()}
        return requests | {attempt.kind.name for attempt in self.open.values()}

    def avoided(self) -> set[str]:
        """The backends that are suspected; what merely lies outside this gateway's reach is not."""
        return {name for name, backend in self.backends.items() if backend.suspect_since is not None}

    def _warmth(self, backend: Backend) -> float:
        """The part of its capacity that a backend surely has by now."""
        s, age = self.settings, max(0.0, self.now - backend.cold_since)
        return 1.0 if age >= s.cold_time else s.cold_from + (1 - s.cold_from) * age / s.cold_time

    def _stretch(self, backend: Backend) -> float:
        """What was seen of it loses its weight: one that is avoided shows nothing new."""
        return 1.0 + (backend.stretch - 1.0) * math.exp((backend.judged - self.now) / FORGIVEN)

    def ring(self, active: list[Backend]) -> list[Backend]:
        """All of them from this gateway's place on: as many gateways begin at each, and rooms take turns."""
        rooms: dict[str, list[Backend]] = {}
        for backend in sorted(active, key=lambda b: (b.rank, b.entry.backend)):
            rooms.setdefault(backend.entry.zone, []).append(backend)
        placed = [((n + 0.5) / len(room), zone, n) for zone, room in rooms.items() for n in range(len(room))]
        ring = [rooms[zone][n] for _, zone, n in sorted(placed)]
        begin = self.place * len(ring) // self.settings.gateways
        return ring[begin:] + ring[:begin]

    def _late(self, kind: i.RequestClass, left: float) -> bool:
        """Its client has waited so long, or waits for so short, that an answer can hardly be in time."""
        usual = self.usual_left.setdefault(kind.name, UsualTime(kind.deadline))
        waited = usual.waited(left)
        hasty = left < HASTY * self.base[kind.name]
        return hasty or waited > 0 and waited + self.base[kind.name] > kind.aim

    def set_timer(self, delay: float, request: Request) -> None:
        self.serial += 1
        self.timers[self.serial] = request
        self.actions.append(i.SetTimer(max(0.0, delay), self.serial))

    def _news(self, quota: Quota, place: int, times: int) -> None:
        """A place's count is to be told: twice, so that one lost message does no harm."""
        if quota.size > 1 and quota.plan.rate and not self.long_ring:
            quota.untold[place], self.telling[quota.key] = times, quota

    def merge(self, quota: Quota, place: int, count: int, level: int) -> None:
        """Counts only grow, so late, repeated and reordered messages change nothing."""
        first = place == quota.place or place not in quota.counts
        more = (count - quota.counts.get(place, max(0, count - min(level, 0x7FFF)))) & 0xFFFF  # counts wrap
        if more > 0x7FFF and place != quota.place:
            self._news(quota, place, FORGOTTEN)  # its member knows less than we do: tell it
            more = 0
        if 0 < more <= 0x7FFF:
            # an earlier life's count that comes back: this life's use goes on top
            quota.counts[place] = (count + (place == quota.place) * quota.counts.get(place, 0)) & 0xFFFF
            # the window holds no more than the level, all that is heard of for the first time together
            most = max(quota.others, level / SCALE) if first else math.inf
            quota.others = min(quota.others + min(more, level) / SCALE / quota.part, most)
            quota.others_rate += more / SCALE / 2
            self._news(quota, place, TWICE)

    def _fitting(self, sender: int, entry: Entry) -> bool:
        """True for what can be of a ring that the sender and this gateway are members of."""
        gateways, plans = self.settings.gateways, self.settings.plans
        places = [(number - entry.first) % gateways for number in (self.settings.number, sender)]
        if entry.plan >= len(plans) or max(*places, entry.place) >= entry.size or entry.size > gateways:
            return False
        known = self.quotas.get(entry.key)
        ring = known is None or (known.first, known.size) == (entry.first, entry.size)
        return ring and plans[entry.plan].rate > 0

    def _take(self, quota: Quota, units: float, ceiling_granted: bool = False) -> None:
        """Units that are sent on, in all that keeps account of them."""
        quota.own += units / quota.part
        quota.since += units
        quota.own_rate += units / 2
        quota.ceiling -= 0.0 if ceiling_granted else units * quota.size
        quota.counts[quota.place] = (quota.counts[quota.place] + round(units * SCALE)) & 0xFFFF
        if self.settings.counter_reconciliation and quota.size > 1 and quota.plan.rate:
            self.touched[quota.key] = quota

    def _drain(self, quota: Quota) -> None:
        """The window slides: the total drains at the rate, each part in its proportion, alone an even one."""
        passed, quota.at = self.now - quota.at, self.now
        total, plan = max(quota.own + quota.others, quota.alone * quota.size * quota.own), quota.plan
        keep = max(0.0, 1 - plan.rate * passed / total) if total > 0 else 0.0
        known = quota.own + quota.member_use
        quota.member_use *= max(0.0, 1 - plan.rate * passed / known) if known > 0 else 0.0
        quota.own, quota.others = quota.own * keep, quota.others * keep
        quota.others_rate *= math.exp(-passed / 2)
        quota.own_rate *= math.exp(-passed / 2)
        self.fill_ceiling(quota, passed)

    def fill_ceiling(self, quota: Quota, seconds: float) -> None:
        """The ceiling's store, in the part that members take from alone and the part that is granted here."""
        plan = quota.plan
        most, gained = plan.ceiling_burst, plan.ceiling_rate * seconds
        quota.ceiling = min(quota.alone_part * most, quota.ceiling + quota.alone_part * gained)
        quota.grant_credit = min(quota.grant_part * most, quota.grant_credit + quota.grant_part * gained)

    def _fullest(self, quotas: dict[bytes, Quota], most: int) -> list[Quota]:
        fullest = heapq.nlargest(most, quotas.values(), key=lambda q: q.fullness)
        for quota in fullest:
            self._drain(quota)
        return sorted(fullest, key=lambda q: q.fullness, reverse=True)

    def _forget(self, idle_for: float) -> None:
        """Entries that nobody used for so long, looked for now and then."""
        if self.now >= self.sweep_at:
            self.sweep_at = self.now + idle_for / 10
            kept = {k: q for k, q in self.quotas.items() if self.now - q.used < idle_for or q.open}
            self.quotas, self.telling = kept, {k: q for k, q in self.telling.items() if k in kept}
            self.touched = {k: q for k, q in self.touched.items() if k in kept}

    def _retuned(self, event: i.SettingsChanged) -> None:
        """What is open keeps its own class, and what was learnt stays as long as something needs it."""
        self.settings, self.usual_left = event.settings, {}
        self.classes = {kind.name: kind for kind in event.settings.classes}
        fresh = {kind.name: kind.aim / 8 for kind in event.settings.classes}
        self.base = fresh | {n: usual for n, usual in self.base.items() if n in fresh.keys() | self.used()}

    def _stream_started(self, event: i.StreamStarted) -> None:
        """The answer belongs to the client from now on, and its backend answers."""
        self.requests.pop(event.request, None)
        if attempt := self.open.get((event.request, event.attempt)):
            attempt.backend.pending.pop((event.request, event.attempt), None)
            attempt.backend.answered = self.now
