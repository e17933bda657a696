"""State of a gateway and its queries and updates; the decisions are made in gateway.py."""

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
MIN_USED_UNITS = 1e-6  # of a window, below which it counts as drained
MIN_TIMEOUT_LATENCIES = 2.0  # clients with a shorter timeout rarely receive their response in time
MAX_QUOTAS = 1_000_000  # tenants whose state is kept, where the process sets no smaller number
PURGE_SECONDS = 0.1  # between two searches for quotas that can be dropped from a full table
PURGED_SHARE = 0.5  # of a full table, that is dropped at once if possible
LATENCY_DECAY_SECONDS = 5.0  # time constant with which an observed latency ratio returns to 1


class MessageKind(IntEnum):
    """Kind of an entry in a peer message."""

    REPORT = 0  # use by one ring member
    ACQUIRE = 1  # requests units of the quota, and of the part of the ceiling that the receiver grants from
    REPLY = 2  # granted units and the quota's total
    QUERY = 3  # requests the total only, where the coordinator that was asked first may not know it yet


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
        """False only if the outcome proves that the attempt was not executed."""
        return self.outcome is None or not self.outcome.never_ran


@dataclass(slots=True)
class Request:
    """A request without its final response."""

    name: str
    kind: i.RequestClass
    quota: Quota
    deadline: float
    late: bool  # unlikely to be answered within its aim
    units: float
    over_quota: bool = False  # served only from capacity that no request within its quota needs
    ceiling_granted: bool = False  # by a coordinator, for all units of the request
    attempts: list[Attempt] = field(default_factory=list)
    timers: list[int] = field(default_factory=list)  # handles of those that have not fired


@dataclass(slots=True)
class Backend:
    """State of a backend as observed by this gateway."""

    entry: i.BackendEntry
    started_at: float
    name_hash: int  # equal on all gateways
    cold_credit_at: float
    latency_ratio: float = 1.0  # observed latency relative to the baseline of the request class
    latency_ratio_at: float = 0.0
    last_answer_at: float = -math.inf
    pending: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    ejected_since: float | None = None
    next_trial_at: float = 0.0
    trial_interval: float = 0.0
    broken_connections: int = 0  # since the last response
    errors: int = 0  # since the last response
    cold_credit: float = 0.0

    @property
    def active(self) -> bool:
        """False while the list reports the backend as draining."""
        return self.entry.availability is i.Availability.ACTIVE

    @property
    def in_flight(self) -> int:
        """Attempts of this gateway that have no outcome yet."""
        return len(self.pending)

    def shares_dedup_with(self, other: Backend, scope: i.DedupScope) -> bool:
        """Whether both backends deduplicate repeats of the same keyed request."""
        if scope is i.DedupScope.ALL or self is other:
            return True
        return bool(getattr(self.entry, scope.value) == getattr(other.entry, scope.value))


@dataclass(slots=True)
class Quota:
    """One tenant's quota: the total of a window that drains at the plan's rate."""

    key: bytes
    plan: i.Plan
    first: int  # gateway number of the ring's first member; the others follow by number
    size: int  # members of the ring
    index: int  # of this gateway in the ring
    drained_at: float
    used_at: float  # last mention by a request or a peer
    # running use counts by ring index, merged by maximum
    counts: dict[int, int] = field(default_factory=dict)
    # of the counts, how much may still be in the window, for members that reported it
    window_counts: dict[int, int] = field(default_factory=dict)
    requests: int = 0  # seen by this gateway
    level_restored: bool = False  # by a member that knew this gateway's use from before a restart
    # Units of the window, used by this gateway and by the other members.
    own: float = 0.0
    others: float = 0.0
    ceiling_tokens: float = 0.0
    in_flight: int = 0
    others_rate: float = 0.0
    unreported_units: float = 0.0  # used by this gateway since its last report to other members
    # ring indices whose counts are still to be reported, and how
    unreported: dict[int, int] = field(default_factory=dict)
    # Long rings, where coordinators keep the total:
    acquiring: Request | None = None  # request that waits for a grant
    acquired_at: float = 0.0
    # that left the current request unanswered
    unresponsive_coordinators: list[int] = field(default_factory=list)
    queried: bool = False  # a second coordinator was asked for its total
    queued: list[Request] = field(default_factory=list)  # requests behind the one that waits
    awaiting_reply: list[int] = field(default_factory=list)  # coordinators that owe a reply
    grantor: int = -1  # coordinator that grants units of the ceiling
    granted_units: float = 0.0
    ceiling_granted: bool = False
    total_known: bool = False  # a coordinator has replied
    total_at: float = -math.inf  # time of the last total
    observed_others_rate: float = 0.0  # units per second, by the other members
    own_rate: float = 0.0  # units per second, by this member
    lease: float = 0.0  # units granted in advance
    lease_expires_at: float = -math.inf
    # units of the window, as the other members reported them to this gateway as coordinator
    member_use: float = 0.0
    grantable_ceiling: float = 0.0  # units of the ceiling that this gateway may still grant as coordinator
    granted_ceiling_share: float = 0.0  # of the ceiling, from which this gateway grants
    member_ceiling_share: float = 1.0  # of the ceiling, which members use without a grant
    refusals: int = 0
    blocked_until: float = 0.0
    # unreachable members known through reconciliation only; each is assumed to use as much as this gateway
    silent_members: int = 0
    since_observed: float = 0.0  # units used here since reconciliation last reported another member
    isolated: bool = False  # no other gateway was reachable at the last request
    observed_at: float = -math.inf  # last report on another member by reconciliation
    counter_level: float = 0.0  # level of the whole window in the last answer of the counter service
    counter_level_at: float = -math.inf
    uncounted_units: float = 0.0  # admitted without a call of the counter service, and not added to it yet
    # Part of burst and rate that this side of a partition may use. Use is scaled up by its inverse.
    share: float = 1.0
    share_limited_at: float = -math.inf  # last time at which no larger share was due

    @property
    def utilization(self) -> float:
        """Used fraction of the burst."""
        return (self.own + self.others) / self.plan.burst

    @property
    def is_unused(self) -> bool:
        """Whether the window has drained and nothing is under way: a new quota would be the same."""
        waiting = self.acquiring is not None or self.queued or self.awaiting_reply
        used = self.own + self.others + self.member_use + self.uncounted_units
        ceiling_used = self.plan.ceiling_rate and self.ceiling_tokens < (
            self.member_ceiling_share * self.plan.ceiling_burst
        )
        limits_open = not self.plan.rate and not self.plan.ceiling_rate
        return not (waiting or self.in_flight or ceiling_used) and (limits_open or used < MIN_USED_UNITS)

    def fits_one_per_member(self, units: float) -> bool:
        """Whether one such request per member still fits; an unused window always fits one."""
        used = self.own + self.others
        return not used or used + units * self.size <= self.plan.burst

    def set_share(self, share: float, units: float) -> None:
        """Changes the usable part of the quota and keeps the used fraction of it.

        A part that is smaller than one request is treated as large enough for one request of `units`.
        """
        before, after = (max(self.plan.burst, units / part) for part in (self.share, share))
        scale = after / before
        if share > self.share:  # more than the whole window is not carried over
            scale *= before / max(before, self.own + self.others)
        self.share, self.own, self.others = share, self.own * scale, self.others * scale

    def min_counter_level(self, now: float) -> float:
        """Lower bound of the current level, derived from the last answer of the counter service."""
        return self.counter_level - self.plan.rate * (now - self.counter_level_at)


@dataclass(slots=True, frozen=True)
class Entry:
    """One tenant's entry in a peer message."""

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
    """What is known of another gateway."""

    last_seen: float = -math.inf
    skip_until: float = 0.0


def primary_coordinator_index(quota: Quota) -> int:
    """Ring index of the primary coordinator; the tenant's key spreads the load over the members."""
    return int.from_bytes(quota.key, "big") % quota.size


class GatewayState:
    """The state of a gateway with its queries and updates; starts empty."""

    def __init__(self, settings: i.Settings) -> None:
        self.settings = settings
        self.classes = {kind.name: kind for kind in settings.classes}
        # latency per request class, learned
        self.baseline = {kind.name: kind.aim / 8 for kind in settings.classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        self.now = 0.0
        self.started_at = 0.0
        self.actions: list[i.Action] = []
        self.backends: dict[str, Backend] = {}
        self.backend_order: list[Backend] = []  # active backends, in this gateway's order of preference
        self.subset_size = 1  # backends that this gateway sends to
        self.sharers = 1.0  # gateways per warm backend
        self.limit_adjusted_at = 0.0
        # learned load of a warm backend that is not overloaded, in seconds of baseline work per second
        self.warm_load = 1.0
        self.avg_in_flight = 0.0  # attempts in flight, averaged over recent requests
        self.capacity = 0.0  # attempts that this gateway may have in flight
        self.requests: dict[str, Request] = {}
        self.usual_timeouts: dict[str, UsualTimeout] = {}
        self.open_attempts: dict[tuple[str, int], Attempt] = {}
        self.timers: dict[int, Request] = {}
        self.cancelled_timers: list[int] = []  # by the current event: they need not fire any more
        self.last_timer_handle = 0
        self.quotas: dict[bytes, Quota] = {}
        self.unreported: dict[bytes, Quota] = {}  # quotas with counts to report to peers
        self.unreconciled: dict[bytes, Quota] = {}  # quotas to report to the counter service
        self.max_quotas = MAX_QUOTAS
        self.next_sweep_at = 0.0
        self.next_purge_at = 0.0
        self.peers = {n: Peer() for n in range(settings.gateways) if n != settings.number}
        self.epoch = 0.1  # seconds between reports to peers
        self.long_ring = False  # coordinators hold the totals, as a round of the ring outlasts a window
        # The counter service holds the totals where peer messages are not allowed.
        self.uses_counter = (
            settings.may_use_counter
            and not settings.may_message_peers
            and not settings.counter_reconciliation
        )
        self.membership: i.MembershipChanged | None = None  # None until the first event
        self.first_seen_at = math.inf  # first message from any other gateway
        self.took_over = False  # imported the state of another process of this gateway
        self.partition = Partition()
        self.membership_at = -math.inf  # last membership event
        self.learning_until = -math.inf  # until then the use by other members is unknown
        # gateways that cold backends are divided among
        self.slow_start_members = frozenset(range(settings.gateways))
        # by position in the backend order, cached while some members are missing
        self.slow_start_ranks: dict[int, float] = {}
        # Gateways with neighboring numbers serve the same tenants; a stride coprime to the gateway count
        # gives them different backends.
        count = settings.gateways
        self.subset_stride = next(
            n for n in range(math.ceil(0.618 * count), count + 2) if math.gcd(n, count) == 1
        )
        self.subset_index = settings.number * self.subset_stride % count

    def quota_of(self, key: bytes, plan: i.Plan, first: int, size: int) -> Quota:
        """Returns a tenant's quota, creating it if needed."""
        if key not in self.quotas:
            index = (self.settings.number - first) % self.settings.gateways
            quota = Quota(key, plan, first, size, index, self.now, self.now, {index: 0})
            quota.isolated = self.uses_counter  # own use drains at an even share of the rate
            if self.long_ring:
                shares = ceiling_shares(plan)
                quota.member_ceiling_share = shares.members
                quota.granted_ceiling_share = shares.granted_by(
                    (index - primary_coordinator_index(quota)) % size
                )
                # Refills for the time since the start, as nothing was admitted meanwhile.
                self.refill_ceiling(quota, self.now - self.started_at)
            self.quotas[key] = quota
        return self.quotas[key]

    def has_room_for(self, key: bytes) -> bool:
        """Whether a tenant's quota is kept or may be: clients can make up tenants at any rate."""
        if key in self.quotas or len(self.quotas) < self.max_quotas:
            return True
        if self.now >= self.next_purge_at:
            self.next_purge_at = self.now + PURGE_SECONDS
            self._drop_drained_quotas()
        return len(self.quotas) < self.max_quotas

    def _drop_drained_quotas(self) -> None:
        """Drops quotas of which a new one would hold the same: those of a single request, then the oldest."""
        candidates = sorted(self.quotas.values(), key=lambda quota: (quota.requests > 1, quota.used_at))
        wanted = max(1, int(PURGED_SHARE * self.max_quotas))
        for quota in candidates:
            if not wanted:
                return
            self._drain(quota)
            if quota.is_unused:
                wanted -= 1
                for table in (self.quotas, self.unreported, self.unreconciled):
                    table.pop(quota.key, None)

    def members(self, quota: Quota, start: int) -> list[int]:
        """Members of a tenant's ring in ring order, from a ring index on."""
        indices = ((start + step) % quota.size for step in range(quota.size))
        return [(quota.first + index) % self.settings.gateways for index in indices]

    def members_between(self, quota: Quota, sender: int) -> list[int]:
        """Ring members after the sender and before this gateway."""
        sender_index = (sender - quota.first) % self.settings.gateways
        indices = range(sender_index + 1, sender_index + 1 + (quota.index - sender_index - 1) % quota.size)
        return [(quota.first + index % quota.size) % self.settings.gateways for index in indices]

    def slow_start_rank(self, position: int) -> float:
        """Number of gateways that precede this one in the slow start of a backend in its order."""
        count, size = self.settings.gateways, len(self.backend_order)
        offset = (position + 1) * count - 1 - self.subset_index * size % count
        if len(self.slow_start_members) == count:
            return offset / size
        if position not in self.slow_start_ranks:
            distances = (
                (self.subset_index - other * self.subset_stride) * size for other in self.slow_start_members
            )
            self.slow_start_ranks[position] = sum(
                (offset + distance) % (size * count) < offset for distance in distances
            )
        return self.slow_start_ranks[position]

    def reachable(self, number: int) -> bool:
        """Whether a member was seen within four epochs; in long rings, whether it is not being skipped."""
        peer = self.peers[number]
        return self.now >= peer.skip_until if self.long_ring else self.now - peer.last_seen < 4 * self.epoch

    def _silent_members_are_dead(self) -> bool:
        """Another gateway is reachable, so this one is not isolated, and the learning period is over."""
        return self.now >= self.learning_until and any(self.reachable(number) for number in self.peers)

    def _isolated_share(self, quota: Quota) -> float:
        """Fraction of its even share that a gateway may use while it can reach no other one.

        It excludes what the others may have used in the four epochs until they were found unreachable, so
        that the total stays within the quota. 0 during the learning period, and where counter reconciliation
        is silent too, since the gateway is then partitioned.
        """
        plan, cut_off = quota.plan, self.settings.counter_reconciliation
        if not quota.isolated or not plan.rate or cut_off or self.now < self.learning_until:
            return 0.0
        return 1 - 4 * self.epoch * plan.rate / plan.burst

    def used_classes(self) -> set[str]:
        """Names of the classes of open requests and attempts."""
        requests = {request.kind.name for request in self.requests.values()}
        return requests | {attempt.kind.name for attempt in self.open_attempts.values()}

    def ejected_backends(self) -> set[str]:
        """Backends ejected by outlier detection; backends outside this gateway's subset are not included."""
        return {name for name, backend in self.backends.items() if backend.ejected_since is not None}

    def _warm_share(self, backend: Backend) -> float:
        """Fraction of its capacity that a starting backend is assumed to have reached."""
        s, age = self.settings, max(0.0, self.now - backend.started_at)
        return 1.0 if age >= s.cold_time else s.cold_from + (1 - s.cold_from) * age / s.cold_time

    def _latency_ratio(self, backend: Backend) -> float:
        """Decays towards 1, since an ejected backend yields no new measurements."""
        return 1.0 + (backend.latency_ratio - 1.0) * math.exp(
            (backend.latency_ratio_at - self.now) / LATENCY_DECAY_SECONDS
        )

    def ordered_backends(self, active: list[Backend]) -> list[Backend]:
        """All backends, interleaved by zone; the gateways start at offsets that spread evenly over them."""
        zones: dict[str, list[Backend]] = {}
        for backend in sorted(active, key=lambda b: (b.name_hash, b.entry.backend)):
            zones.setdefault(backend.entry.zone, []).append(backend)
        positions = [
            ((n + 0.5) / len(group), zone, n) for zone, group in zones.items() for n in range(len(group))
        ]
        interleaved = [zones[zone][n] for _, zone, n in sorted(positions)]
        start = self.subset_index * len(interleaved) // self.settings.gateways
        return interleaved[start:] + interleaved[:start]

    def _is_late(self, kind: i.RequestClass, time_left: float) -> bool:
        """Whether the client has waited too long, or its timeout is too short, for an answer in time."""
        usual = self.usual_timeouts.setdefault(kind.name, UsualTimeout(kind.deadline))
        waited = usual.observe(time_left)
        impatient = time_left < MIN_TIMEOUT_LATENCIES * self.baseline[kind.name]
        return impatient or waited > 0 and waited + self.baseline[kind.name] > kind.aim

    def set_timer(self, delay: float, request: Request) -> None:
        self.last_timer_handle += 1
        self.timers[self.last_timer_handle] = request
        request.timers.append(self.last_timer_handle)
        self.actions.append(i.SetTimer(max(0.0, delay), self.last_timer_handle))

    def end_request(self, name: str) -> Request | None:
        """Forgets a request that has its response; None if it had one before."""
        request = self.requests.pop(name, None)
        if request is not None:
            self.cancel_timers(request)
        return request

    def cancel_timers(self, request: Request) -> None:
        """Cancels the timers of a request without need for them, as clients may set their times very late.

        One that waits for a grant keeps them: requests behind it depend on the decision.
        """
        if request.quota.acquiring is request:
            return
        for handle in request.timers:
            if self.timers.pop(handle, None) is not None:
                self.cancelled_timers.append(handle)
        request.timers = []

    def queue_report(self, quota: Quota, index: int, report: int) -> None:
        """Queues the report of a member's count. It is sent twice to tolerate one lost message."""
        if quota.size > 1 and quota.plan.rate and not self.long_ring:
            quota.unreported[index], self.unreported[quota.key] = report, quota

    def merge(self, quota: Quota, index: int, count: int, level: int, window_count: int = 0) -> None:
        """Merges a running count. Counts only grow, so late, repeated or reordered messages are harmless.

        `level`: of the whole window; `window_count`: the member's part of it, 0 if unknown. Both in counts.
        """
        first = index == quota.index or index not in quota.counts
        # A restored level already holds the parts of all members.
        part_known = window_count > 0 and index != quota.index and not quota.level_restored
        # Counts wrap at 16 bits.
        in_window = min(window_count if part_known else level, 0x7FFF)
        increase = (count - quota.counts.get(index, max(0, count - in_window))) & 0xFFFF
        if increase > 0x7FFF and index != quota.index:
            # the member has lost its own count: report it back
            self.queue_report(quota, index, REPORT_TO_OWNER)
            increase = 0
        if 0 < increase <= 0x7FFF:
            # A count from an earlier boot of this gateway: the use since the start is added to it.
            quota.counts[index] = (count + (index == quota.index) * quota.counts.get(index, 0)) & 0xFFFF
            quota.level_restored = quota.level_restored or index == quota.index
            if part_known:
                quota.window_counts[index] = window_count
            # The window holds no more than the level, so first reports that do not tell the member's part of
            # it are limited to it together.
            limited = first and not part_known
            limit = max(quota.others, level / COUNTS_PER_UNIT) if limited else math.inf
            quota.others = min(quota.others + min(increase, level) / COUNTS_PER_UNIT / quota.share, limit)
            quota.others_rate += increase / COUNTS_PER_UNIT / 2
            self.queue_report(quota, index, REPORT_TWICE)

    def _is_valid_entry(self, sender: int, entry: Entry) -> bool:
        """Whether the entry belongs to a ring that both the sender and this gateway are members of."""
        gateways, plans = self.settings.gateways, self.settings.plans
        indices = [(number - entry.first) % gateways for number in (self.settings.number, sender)]
        if entry.plan >= len(plans) or max(*indices, entry.index) >= entry.size or entry.size > gateways:
            return False
        known = self.quotas.get(entry.key)
        same_ring = known is None or (known.first, known.size) == (entry.first, entry.size)
        return same_ring and plans[entry.plan].rate > 0

    def _record_use(self, quota: Quota, units: float, ceiling_granted: bool = False) -> None:
        """Accounts for units that were sent to a backend."""
        quota.own += units / quota.share
        quota.since_observed += units
        quota.own_rate += units / 2
        quota.unreported_units += units
        quota.ceiling_tokens -= 0.0 if ceiling_granted else units * quota.size
        quota.counts[quota.index] = (quota.counts[quota.index] + round(units * COUNTS_PER_UNIT)) & 0xFFFF
        if self.settings.counter_reconciliation and quota.size > 1 and quota.plan.rate:
            self.unreconciled[quota.key] = quota

    def _drain(self, quota: Quota) -> None:
        """Drains the window at the plan's rate, in proportion to each part; an even share while isolated."""
        elapsed, quota.drained_at = self.now - quota.drained_at, self.now
        total, plan = max(quota.own + quota.others, quota.isolated * quota.size * quota.own), quota.plan
        factor = max(0.0, 1 - plan.rate * elapsed / total) if total > 0 else 0.0
        known_use = quota.own + quota.member_use
        quota.member_use *= max(0.0, 1 - plan.rate * elapsed / known_use) if known_use > 0 else 0.0
        quota.own, quota.others = quota.own * factor, quota.others * factor
        quota.others_rate *= math.exp(-elapsed / 2)
        quota.own_rate *= math.exp(-elapsed / 2)
        self.refill_ceiling(quota, elapsed)

    def refill_ceiling(self, quota: Quota, seconds: float) -> None:
        """Refills the token buckets of the ceiling: the members' part and the part that is granted here."""
        plan = quota.plan
        burst, refill = plan.ceiling_burst, plan.ceiling_rate * seconds
        quota.ceiling_tokens = min(
            quota.member_ceiling_share * burst, quota.ceiling_tokens + quota.member_ceiling_share * refill
        )
        quota.grantable_ceiling = min(
            quota.granted_ceiling_share * burst,
            quota.grantable_ceiling + quota.granted_ceiling_share * refill,
        )

    def _most_utilized(self, quotas: dict[bytes, Quota], limit: int) -> list[Quota]:
        selected = heapq.nlargest(limit, quotas.values(), key=lambda q: q.utilization)
        for quota in selected:
            self._drain(quota)
        return sorted(selected, key=lambda q: q.utilization, reverse=True)

    def _evict_idle(self, idle_for: float) -> None:
        """Removes quotas that were not used for `idle_for` seconds."""
        if self.now >= self.next_sweep_at:
            self.next_sweep_at = self.now + idle_for / 10
            kept = {k: q for k, q in self.quotas.items() if self.now - q.used_at < idle_for or q.in_flight}
            self.quotas, self.unreported = kept, {k: q for k, q in self.unreported.items() if k in kept}
            self.unreconciled = {k: q for k, q in self.unreconciled.items() if k in kept}

    def _settings_changed(self, event: i.SettingsChanged) -> None:
        """Replaces the request classes; baselines are kept while a request or attempt still needs them."""
        self.settings, self.usual_timeouts = event.settings, {}
        self.classes = {kind.name: kind for kind in event.settings.classes}
        initial = {kind.name: kind.aim / 8 for kind in event.settings.classes}
        self.baseline = initial | {
            n: usual for n, usual in self.baseline.items() if n in initial.keys() | self.used_classes()
        }

    def _stream_started(self, event: i.StreamStarted) -> None:
        """Ties the attempt to the client; the started response shows that the backend is alive."""
        self.end_request(event.request)
        if attempt := self.open_attempts.get((event.request, event.attempt)):
            attempt.backend.pending.pop((event.request, event.attempt), None)
            attempt.backend.last_answer_at = self.now
