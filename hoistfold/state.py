"""What a gateway keeps; the decisions on it are all in brain.py."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from enum import IntEnum

from hoistfold import interface as i
from hoistfold.ceiling import ceiling_shares
from hoistfold.client_timeouts import UsualTimeout
from hoistfold.partition import Partition

COUNTS_PER_UNIT = 4  # resolution of running use counts
REPORT_ONCE, REPORT_TWICE, REPORT_TO_OWNER = range(1, 4)  # pending reports of a ring member's count
MIN_TIMEOUT_LATENCIES = 2.0  # clients with a shorter timeout rarely receive their response in time
LATENCY_DECAY_SECONDS = 5.0  # time constant with which an observed latency ratio returns to 1


class MessageKind(IntEnum):
    """What one entry of a peer message says."""

    REPORT = 0  # a member's use
    ACQUIRE = 1  # for units of the quota, and of the ceiling's part that the receiver grants from
    REPLY = 2  # the answer: what was granted, and the total with it
    QUERY = 3  # for the total alone, where the one asked first may not know it


@dataclass(slots=True)
class Attempt:
    """One attempt of a request."""

    backend: Backend
    sent_at: float
    kind: i.RequestClass
    quota: Quota
    outcome: i.Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """False only when the outcome proves that it did not run."""
        return self.outcome is None or not self.outcome.never_ran


@dataclass(slots=True)
class Request:
    """A request that is owed its final answer."""

    name: str
    kind: i.RequestClass
    quota: Quota
    deadline: float
    late: bool  # can hardly be served within the aim
    units: float
    over_quota: bool = False  # beyond its quota: served only from room that nobody else needs
    ceiling_granted: bool = False  # a coordinator granted its units of the ceiling
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class Backend:
    """What this gateway has seen of a backend."""

    entry: i.BackendEntry
    started_at: float
    name_hash: int  # of its name, the same for all gateways
    cold_credit_at: float
    latency_ratio: float = 1.0  # latency against what the class usually takes
    latency_ratio_at: float = 0.0  # when stretch was learnt last
    last_answer_at: float = -math.inf
    pending: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    ejected_since: float | None = None
    next_trial_at: float = 0.0
    trial_interval: float = 0.0  # until the trial after that
    broken_connections: int = 0  # connections that broke since it answered last
    errors: int = 0  # errors since then
    cold_credit: float = 0.0

    @property
    def active(self) -> bool:
        """True unless the list says that it drains."""
        return self.entry.availability is i.Availability.ACTIVE

    @property
    def in_flight(self) -> int:
        """Attempts out at once from here."""
        return len(self.pending)

    def shares_dedup_with(self, other: Backend, scope: i.DedupScope) -> bool:
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
    index: int  # this gateway's own
    drained_at: float  # when it was drained last
    used_at: float  # when a request or a peer named it last
    counts: dict[int, int] = field(default_factory=dict)  # running, by ring place, merged by maximum
    own: float = 0.0
    others: float = 0.0
    ceiling_tokens: float = 0.0
    in_flight: int = 0
    others_rate: float = 0.0
    unreported: dict[int, int] = field(default_factory=dict)  # places still to be told, and how
    # Of a long ring, where coordinators keep the total:
    acquiring: Request | None = None  # waits for their answers
    acquired_at: float = 0.0
    unresponsive_coordinators: list[int] = field(default_factory=list)  # that left the request unanswered
    queried: bool = False  # the next coordinator was asked for its total too
    queued: list[Request] = field(default_factory=list)  # requests behind it
    awaiting_reply: list[int] = field(default_factory=list)  # coordinators whose answer is due
    grantor: int = -1  # the one of them that grants units of the ceiling
    granted_units: float = 0.0  # units that it grants
    ceiling_granted: bool = False  # by the grantor
    total_known: bool = False  # a coordinator was heard
    total_at: float = -math.inf  # when
    observed_others_rate: float = 0.0  # units a second that the other members were seen to use
    own_rate: float = 0.0  # units a second that this member uses
    lease: float = 0.0  # units granted ahead
    lease_expires_at: float = -math.inf
    member_use: float = 0.0  # of the window by the others, as they told this gateway as a coordinator
    grantable_ceiling: float = 0.0  # units of the ceiling that this gateway may grant as a coordinator
    granted_ceiling_share: float = 0.0  # of the ceiling, from which it grants
    member_ceiling_share: float = 1.0  # of the ceiling, from which members take without a grant
    refusals: int = 0
    blocked_until: float = 0.0
    silent_members: int = 0  # other members that only the second witness tells of: each is taken to have used
    since_observed: float = 0.0  # as much as we since it told of another member last, so many units
    isolated: bool = False  # nobody at all was heard of when it was last asked for
    observed_at: float = -math.inf  # when the second witness told of another member last
    counter_level: float = 0.0  # of the whole store, as the counter told last
    counter_level_at: float = -math.inf  # when that was
    uncounted_units: float = 0.0  # units let in of which the counter was not told
    # Of burst and rate, for those of the ring that hear each other: each unit counts for so many times more.
    share: float = 1.0
    share_limited_at: float = -math.inf  # when no larger part was due last

    @property
    def utilization(self) -> float:
        """What is used of the window, as a part of the burst."""
        return (self.own + self.others) / self.plan.burst

    def fits_one_per_member(self, units: float) -> bool:
        """Whether a request of so many units from each member fits at once; an unused window holds one."""
        used = self.own + self.others
        return not used or used + units * self.size <= self.plan.burst

    def set_share(self, part: float, units: float) -> None:
        """Takes another part of the quota, of which as much counts as used as of the one before.

        Of a part under one request the window is that request of so many units: one has to fit.
        """
        burst = self.plan.burst
        scale = max(burst, units / part) / max(burst, units / self.share)
        self.share, self.own, self.others = part, self.own * scale, self.others * scale

    def min_counter_level(self, now: float) -> float:
        """What must at least be used of the whole store, by what the counter told last."""
        return self.counter_level - self.plan.rate * (now - self.counter_level_at)


@dataclass(slots=True, frozen=True)
class Entry:
    """One customer's part of a peer message."""

    key: bytes
    plan: int
    kind: int
    first: int
    size: int
    index: int
    count: int
    level: int
    units: int


@dataclass(slots=True)
class Peer:
    """What this gateway has heard of another one."""

    last_seen: float = -math.inf
    skip_until: float = 0.0


def primary_coordinator_index(quota: Quota) -> int:
    """The place of the first coordinator in a long ring; spread by the tenant's key."""
    return int.from_bytes(quota.key, "big") % quota.size


class GatewayState:
    """The tables that a gateway starts with, all empty, and what is read from them without a decision."""

    def __init__(self, settings: i.Settings) -> None:
        self.settings = settings
        self.classes = {kind.name: kind for kind in settings.classes}
        self.baseline = {kind.name: kind.aim / 8 for kind in settings.classes}  # usual latency, learnt
        self.plans = {plan.name: plan for plan in settings.plans}
        self.now = 0.0
        self.started_at = 0.0
        self.actions: list[i.Action] = []
        self.backends: dict[str, Backend] = {}
        self.backend_order: list[Backend] = []  # the active ones, in this gateway's own order
        self.subset_size = 1  # backends that this gateway works with
        self.sharers = 1.0  # gateways that work with one warm backend
        self.limit_adjusted_at = 0.0
        self.warm_load = 1.0  # seconds of usual work a second that a warm backend was seen to take at ease
        self.avg_in_flight = 0.0  # attempts out, on average over the last requests
        self.capacity = 0.0  # attempts that may be out at once from here
        self.requests: dict[str, Request] = {}
        self.usual_timeouts: dict[str, UsualTimeout] = {}
        self.open_attempts: dict[tuple[str, int], Attempt] = {}
        self.timers: dict[int, Request] = {}
        self.last_timer_handle = 0
        self.quotas: dict[bytes, Quota] = {}
        self.unreported: dict[bytes, Quota] = {}  # those with places still to be told
        self.unreconciled: dict[bytes, Quota] = {}  # those whose use is noted for the second witness
        self.next_sweep_at = 0.0
        self.peers = {n: Peer() for n in range(settings.gateways) if n != settings.number}
        self.epoch = 0.1  # seconds between tellings
        self.long_ring = False
        # the counter keeps the totals where no peer may be told
        self.uses_counter = (
            settings.may_use_counter
            and not settings.may_message_peers
            and not settings.counter_reconciliation
        )
        self.membership: i.MembershipChanged | None = None  # where a view is kept
        self.first_seen_at = math.inf  # when any other gateway was
        self.took_over = False  # from another process of this gateway, with all that it knew
        self.partition = Partition()  # by the membership, and by who is heard
        self.membership_at = -math.inf  # when it was told last
        self.learning_until = -math.inf  # until then the others' use is not known
        self.slow_start_members = frozenset(range(settings.gateways))  # by whom cold backends are divided
        self.slow_start_ranks: dict[
            int, float
        ] = {}  # at backends by their place in the order, where some are not there
        # neighbours by number serve the same customers: a step without common divisor sets them apart
        count = settings.gateways
        self.subset_stride = next(
            n for n in range(math.ceil(0.618 * count), count + 2) if math.gcd(n, count) == 1
        )
        self.subset_index = settings.number * self.subset_stride % count

    def quota_of(self, key: bytes, plan: i.Plan, first: int, size: int) -> Quota:
        """A customer's quota, a new one where there is none."""
        if key not in self.quotas:
            place = (self.settings.number - first) % self.settings.gateways
            quota = Quota(key, plan, first, size, place, self.now, self.now, {place: 0})
            quota.isolated = self.uses_counter  # what is its own drains at an even share
            if self.long_ring:
                parts = ceiling_shares(plan)
                quota.member_ceiling_share = parts.members
                quota.granted_ceiling_share = parts.granted_by(
                    (place - primary_coordinator_index(quota)) % size
                )
                # nothing was let in for it since the start, or since it was forgotten
                self.refill_ceiling(quota, self.now - self.started_at)
            self.quotas[key] = quota
        return self.quotas[key]

    def members(self, quota: Quota, place: int) -> list[int]:
        """In the ring's order from a place on; it is that of the numbers, wherever its set begins."""
        places = ((place + step) % quota.size for step in range(quota.size))
        return [(quota.first + p) % self.settings.gateways for p in places]

    def members_between(self, quota: Quota, sender: int) -> list[int]:
        """The members of a ring that come after the sender and before this gateway."""
        place = (sender - quota.first) % self.settings.gateways
        places = range(place + 1, place + 1 + (quota.index - place - 1) % quota.size)
        return [(quota.first + at % quota.size) % self.settings.gateways for at in places]

    def slow_start_rank(self, n: int) -> float:
        """How many gateways come before this one at the backend in place n of its order."""
        count, size = self.settings.gateways, len(self.backend_order)
        mine = (n + 1) * count - 1 - self.subset_index * size % count
        if len(self.slow_start_members) == count:
            return mine / size
        if n not in self.slow_start_ranks:
            ways = (
                (self.subset_index - other * self.subset_stride) * size for other in self.slow_start_members
            )
            self.slow_start_ranks[n] = sum((mine + way) % (size * count) < mine for way in ways)
        return self.slow_start_ranks[n]

    def reachable(self, number: int) -> bool:
        """Four epochs without a message, or a total not sent back, and a member is skipped."""
        peer = self.peers[number]
        return self.now >= peer.skip_until if self.long_ring else self.now - peer.last_seen < 4 * self.epoch

    def _silent_members_are_dead(self) -> bool:
        """Another gateway is heard, so this one is not cut off, and it has listened long enough."""
        return self.now >= self.learning_until and any(self.reachable(number) for number in self.peers)

    def _isolated_share(self, quota: Quota) -> float:
        """Of an even share, what one that hears nobody any more may use: what all may use stays one quota.

        The others fell silent within four epochs, and what they used in that time is taken off. Nothing is
        known before a gateway has listened that long; where a second witness is silent too, it is cut off.
        """
        plan, cut_off = quota.plan, self.settings.counter_reconciliation
        if not quota.isolated or not plan.rate or cut_off or self.now < self.learning_until:
            return 0.0
        return 1 - 4 * self.epoch * plan.rate / plan.burst

    def used_classes(self) -> set[str]:
        """The classes of what is open or still out."""
        requests = {request.kind.name for request in self.requests.values()}
        return requests | {attempt.kind.name for attempt in self.open_attempts.values()}

    def ejected_backends(self) -> set[str]:
        """The backends that are suspected; what merely lies outside this gateway's reach is not."""
        return {name for name, backend in self.backends.items() if backend.ejected_since is not None}

    def _warm_share(self, backend: Backend) -> float:
        """The part of its capacity that a backend surely has by now."""
        s, age = self.settings, max(0.0, self.now - backend.started_at)
        return 1.0 if age >= s.cold_time else s.cold_from + (1 - s.cold_from) * age / s.cold_time

    def _latency_ratio(self, backend: Backend) -> float:
        """What was seen of it loses its weight: one that is avoided shows nothing new."""
        return 1.0 + (backend.latency_ratio - 1.0) * math.exp(
            (backend.latency_ratio_at - self.now) / LATENCY_DECAY_SECONDS
        )

    def ordered_backends(self, active: list[Backend]) -> list[Backend]:
        """All of them from this gateway's place on: as many gateways begin at each, and rooms take turns."""
        rooms: dict[str, list[Backend]] = {}
        for backend in sorted(active, key=lambda b: (b.name_hash, b.entry.backend)):
            rooms.setdefault(backend.entry.zone, []).append(backend)
        placed = [((n + 0.5) / len(room), zone, n) for zone, room in rooms.items() for n in range(len(room))]
        ring = [rooms[zone][n] for _, zone, n in sorted(placed)]
        begin = self.subset_index * len(ring) // self.settings.gateways
        return ring[begin:] + ring[:begin]

    def _is_late(self, kind: i.RequestClass, left: float) -> bool:
        """Its client has waited so long, or waits for so short, that an answer can hardly be in time."""
        usual = self.usual_timeouts.setdefault(kind.name, UsualTimeout(kind.deadline))
        waited = usual.observe(left)
        hasty = left < MIN_TIMEOUT_LATENCIES * self.baseline[kind.name]
        return hasty or waited > 0 and waited + self.baseline[kind.name] > kind.aim

    def set_timer(self, delay: float, request: Request) -> None:
        self.last_timer_handle += 1
        self.timers[self.last_timer_handle] = request
        self.actions.append(i.SetTimer(max(0.0, delay), self.last_timer_handle))

    def _queue_report(self, quota: Quota, place: int, times: int) -> None:
        """A place's count is to be told: twice, so that one lost message does no harm."""
        if quota.size > 1 and quota.plan.rate and not self.long_ring:
            quota.unreported[place], self.unreported[quota.key] = times, quota

    def merge(self, quota: Quota, place: int, count: int, level: int) -> None:
        """Counts only grow, so late, repeated and reordered messages change nothing."""
        first = place == quota.index or place not in quota.counts
        more = (count - quota.counts.get(place, max(0, count - min(level, 0x7FFF)))) & 0xFFFF  # counts wrap
        if more > 0x7FFF and place != quota.index:
            self._queue_report(quota, place, REPORT_TO_OWNER)  # its member knows less than we do: tell it
            more = 0
        if 0 < more <= 0x7FFF:
            # an earlier life's count that comes back: this life's use goes on top
            quota.counts[place] = (count + (place == quota.index) * quota.counts.get(place, 0)) & 0xFFFF
            # the window holds no more than the level, all that is heard of for the first time together
            most = max(quota.others, level / COUNTS_PER_UNIT) if first else math.inf
            quota.others = min(quota.others + min(more, level) / COUNTS_PER_UNIT / quota.share, most)
            quota.others_rate += more / COUNTS_PER_UNIT / 2
            self._queue_report(quota, place, REPORT_TWICE)

    def _is_valid_entry(self, sender: int, entry: Entry) -> bool:
        """True for what can be of a ring that the sender and this gateway are members of."""
        gateways, plans = self.settings.gateways, self.settings.plans
        places = [(number - entry.first) % gateways for number in (self.settings.number, sender)]
        if entry.plan >= len(plans) or max(*places, entry.index) >= entry.size or entry.size > gateways:
            return False
        known = self.quotas.get(entry.key)
        ring = known is None or (known.first, known.size) == (entry.first, entry.size)
        return ring and plans[entry.plan].rate > 0

    def _record_use(self, quota: Quota, units: float, ceiling_granted: bool = False) -> None:
        """Units that are sent on, in all that keeps account of them."""
        quota.own += units / quota.share
        quota.since_observed += units
        quota.own_rate += units / 2
        quota.ceiling_tokens -= 0.0 if ceiling_granted else units * quota.size
        quota.counts[quota.index] = (quota.counts[quota.index] + round(units * COUNTS_PER_UNIT)) & 0xFFFF
        if self.settings.counter_reconciliation and quota.size > 1 and quota.plan.rate:
            self.unreconciled[quota.key] = quota

    def _drain(self, quota: Quota) -> None:
        """The window slides: the total drains at the rate, each part in its proportion, alone an even one."""
        passed, quota.drained_at = self.now - quota.drained_at, self.now
        total, plan = max(quota.own + quota.others, quota.isolated * quota.size * quota.own), quota.plan
        keep = max(0.0, 1 - plan.rate * passed / total) if total > 0 else 0.0
        known = quota.own + quota.member_use
        quota.member_use *= max(0.0, 1 - plan.rate * passed / known) if known > 0 else 0.0
        quota.own, quota.others = quota.own * keep, quota.others * keep
        quota.others_rate *= math.exp(-passed / 2)
        quota.own_rate *= math.exp(-passed / 2)
        self.refill_ceiling(quota, passed)

    def refill_ceiling(self, quota: Quota, seconds: float) -> None:
        """The ceiling's store, in the part that members take from alone and the part that is granted here."""
        plan = quota.plan
        most, gained = plan.ceiling_burst, plan.ceiling_rate * seconds
        quota.ceiling_tokens = min(
            quota.member_ceiling_share * most, quota.ceiling_tokens + quota.member_ceiling_share * gained
        )
        quota.grantable_ceiling = min(
            quota.granted_ceiling_share * most, quota.grantable_ceiling + quota.granted_ceiling_share * gained
        )

    def _most_utilized(self, quotas: dict[bytes, Quota], most: int) -> list[Quota]:
        fullest = heapq.nlargest(most, quotas.values(), key=lambda q: q.utilization)
        for quota in fullest:
            self._drain(quota)
        return sorted(fullest, key=lambda q: q.utilization, reverse=True)

    def _evict_idle(self, idle_for: float) -> None:
        """Entries that nobody used for so long, looked for now and then."""
        if self.now >= self.next_sweep_at:
            self.next_sweep_at = self.now + idle_for / 10
            kept = {k: q for k, q in self.quotas.items() if self.now - q.used_at < idle_for or q.in_flight}
            self.quotas, self.unreported = kept, {k: q for k, q in self.unreported.items() if k in kept}
            self.unreconciled = {k: q for k, q in self.unreconciled.items() if k in kept}

    def _settings_changed(self, event: i.SettingsChanged) -> None:
        """What is open keeps its own class, and what was learnt stays as long as something needs it."""
        self.settings, self.usual_timeouts = event.settings, {}
        self.classes = {kind.name: kind for kind in event.settings.classes}
        fresh = {kind.name: kind.aim / 8 for kind in event.settings.classes}
        self.baseline = fresh | {
            n: usual for n, usual in self.baseline.items() if n in fresh.keys() | self.used_classes()
        }

    def _stream_started(self, event: i.StreamStarted) -> None:
        """The answer belongs to the client from now on, and its backend answers."""
        self.requests.pop(event.request, None)
        if attempt := self.open_attempts.get((event.request, event.attempt)):
            attempt.backend.pending.pop((event.request, event.attempt), None)
            attempt.backend.last_answer_at = self.now
