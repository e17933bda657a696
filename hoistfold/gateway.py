"""The gateway's decisions. Types are in interface.py, the design in docs/design/decisions.md."""

from __future__ import annotations

import hashlib
import math
import random
import zlib
from collections.abc import Callable

from hoistfold import interface as i
from hoistfold.codec import decode_message
from hoistfold.coordinators import Coordination
from hoistfold.counter_quotas import CounterQuotas
from hoistfold.overload import ClassPriority
from hoistfold.partition import SILENT_EPOCHS, detect_partition, may_be_cut_off
from hoistfold.ring_reports import RingReports
from hoistfold.state import (
    COUNTS_PER_UNIT,
    PURGE_SECONDS,
    Attempt,
    Backend,
    Entry,
    GatewayState,
    MessageKind,
    Quota,
    Request,
)

INITIAL_LIMIT = 8.0  # concurrent attempts per backend, summed over all gateways
MIN_TRIAL_INTERVAL, MAX_TRIAL_INTERVAL = 1.0, 8.0  # seconds between trial requests to an ejected backend
LATE_SHARE = 0.4  # of capacity, above which requests that are likely to miss their aim are refused
OVER_QUOTA_SHARE = 0.5  # of capacity, above which requests beyond their quota are refused
MIN_SHARERS = 3.0  # gateways per backend, so that uneven load from single gateways averages out
MAX_WARM_LOAD = 2.0  # upper bound of the load estimate per warm backend, in seconds of work per second
MIN_SUBSET = 6  # backends per gateway, so that one bad backend affects a small share of the requests
ALLOWANCE = 0.1  # of an even share of a quota, while the others' use is unknown; all of it if it always is
OBSERVED_TOTAL_SECONDS = 1.5  # for which a total from counter reconciliation replaces one from the ring
MAX_PER_EPOCH = 250  # tenants reported on in one epoch, most utilized first
MIN_LEARNING_SECONDS = 0.8  # after a start, in which the other members may still report their use
IDLE_QUOTA_SECONDS = 30.0  # after which the state of an unused quota is evicted


class Gateway(GatewayState):
    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings)
        self.random = random.Random(seed)
        self.limit = INITIAL_LIMIT
        self.handlers: dict[type, Callable[..., object]] = {
            i.Started: self._start,
            i.BackendsListed: self._backends_listed,
            i.ListFailed: self._start,
            i.RequestArrived: self._request_arrived,
            i.AttemptEnded: self._attempt_ended,
            i.TimerFired: self._timer_fired,
            i.RequestCancelled: lambda event: self.end_request(event.request),
            i.StreamStarted: self._stream_started,
            i.SettingsChanged: self._settings_changed,
            i.PeerMessage: self._peer_message,
            i.UseObserved: self._use_observed,
            i.CounterAnswered: lambda event: self.counter.counter_answered(self.now, event),
            i.MembershipChanged: self._membership_changed,
        }
        # Reports to all peers fit three quarters of a receiver's intake; reconciliation alone needs none.
        peers = 0 if settings.counter_reconciliation and not settings.may_message_peers else len(self.peers)
        self.epoch = max(0.1, peers / (0.75 * max(settings.peer_intake, 1.0)))
        self.allowance = ALLOWANCE if settings.may_message_peers or settings.counter_reconciliation else 1.0
        self.counter = CounterQuotas(settings.count_limit, lambda action: self.actions.append(action))
        # If a round of the ring outlasts a window, coordinators hold the totals instead.
        window = min((plan.burst / plan.rate for plan in settings.plans if plan.rate), default=math.inf)
        self.long_ring = settings.may_message_peers and settings.gateways * self.epoch > window
        self.epoch = IDLE_QUOTA_SECONDS / 4 if self.long_ring else self.epoch
        self.ring_reports = RingReports(self)
        self.priority = ClassPriority()
        self.coordination = Coordination(self, self._admit, self._within_quota)

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Handles one event and returns the actions to carry out, in order."""
        self.now, self.actions, self.cancelled_timers = now, [], []
        if type(event) in self.handlers:
            self.handlers[type(event)](event)
        return self.actions

    def _start(self, event: i.Started | i.ListFailed) -> None:
        if not self.settings.pushed_discovery:
            self.actions.append(i.Subscribe(True))
        if isinstance(event, i.Started):
            self.started_at = self.now
            self.actions.append(i.SetTimer(self.epoch, 0))  # handle 0 is the epoch timer
            self.learning_until = self.now + max(MIN_LEARNING_SECONDS, 4 * self.epoch)

    def _request_arrived(self, event: i.RequestArrived) -> None:
        kind, plan = self.classes[event.class_name], self.plans[event.plan]
        key = hashlib.blake2b(f"{plan.name} {event.tenant}".encode(), digest_size=5).digest()
        if not self.has_room_for(key):  # its use could not be counted
            delay = min(PURGE_SECONDS, self.settings.max_retry_after)
            self.actions.append(
                i.Refuse(event.request, delay if self.settings.retry_after else None, "tenants")
            )
            return
        quota = self.quota_of(key, plan, event.ring_first, event.ring_size)
        self._drain(quota)
        self._update_quota_share(quota, event.units)
        quota.used_at, quota.requests = self.now, quota.requests + 1
        late = self._is_late(kind, event.time_left)
        request = Request(event.request, kind, quota, self.now + event.time_left, late, event.units)
        self.requests[event.request] = request
        # A response is due before the client disconnects, even if no attempt ever ends.
        self.set_timer(event.time_left - 2 * self.settings.tick, request)
        if self.long_ring and quota.size > 1 and plan.rate:
            if self._choose(request) is None:  # no message for a request that can't be sent
                self._admit(request, True)
            else:
                self.coordination.request_arrived(request)
        elif self.uses_counter and quota.size > 1 and (plan.rate or plan.max_open and not plan.ceiling_rate):
            share = self._within_quota(quota, event.units, False)
            if self._choose(request) is None:  # no counter call either
                self._refuse(request, kind.aim / 2, "room")
            else:
                self.counter.check(self.now, request, share, lambda used: self._admit_counted(request, used))
        else:
            others = self.members(quota, quota.index)[1:]
            reachable, age = sum(map(self.reachable, others)), self.now - quota.observed_at
            known = self._totals_known(others, reachable, age)
            quota.silent_members = len(others) - reachable if age < OBSERVED_TOTAL_SECONDS else 0
            # Silent members are dead where other gateways are reachable; where none is, this one is isolated.
            quota.isolated = not (known or self.membership or any(self.reachable(n) for n in self.peers))
            within = self._within_quota(quota, event.units, known)
            self._admit(request, within and not self._contended(quota, event.units, others))

    def _totals_known(self, others: list[int], reachable: int, age: float) -> bool:
        """Whether the use by the other members is known, or is none as they are dead.

        `reachable`: number of the others that are; `age`: seconds since reconciliation reported one of them.
        """
        if not others:
            return True
        if self.membership is not None:  # the membership tells who is alive, some epochs tell their use
            return self.now >= self.learning_until
        if self.settings.membership and not self.took_over:
            # Members known before the restart may be partitioned off: one reachable member is not enough.
            return age < OBSERVED_TOTAL_SECONDS
        return reachable > 0 or age < OBSERVED_TOTAL_SECONDS or self._silent_members_are_dead()

    def _contended(self, quota: Quota, units: float, others: list[int]) -> bool:
        """Whether little is left of a quota that the other side of an unnoticed partition may use as well."""
        if self.membership is None or not self.settings.may_message_peers:
            return False
        if quota.share < 1 or not quota.plan.rate or quota.fits_one_per_member(units):
            return False
        # Members count until the membership declares them dead, however long they have been silent.
        alive = (n for n in others if n not in self.membership.unreachable)
        silences = [self.now - max(self.peers[n].last_seen, self.started_at) for n in alive]
        return may_be_cut_off(silences, self.epoch)

    def _timer_fired(self, event: i.TimerFired) -> None:
        request = self.timers.pop(event.handle, None)
        if event.handle == 0:
            self._run_epoch()
        if request is not None and request.quota.acquiring is request:
            self._drain(request.quota)
            self.coordination.decide(request)
            if request.name not in self.requests:
                self.cancel_timers(request)
        if request is not None and self.now >= request.deadline - 3 * self.settings.tick:
            self._fail(request)

    def _admit(self, request: Request, within: bool) -> None:
        quota, plan = request.quota, request.quota.plan
        request.over_quota = not within
        # Where a plan pays for excess, requests over quota may use capacity that nobody else needs.
        paid_excess = plan.excess_worth > plan.excess_cost and not plan.ceiling_rate and not plan.max_open
        backend = self._choose(request) if within or paid_excess else None
        fits = within or quota.own + quota.others + request.units / quota.share <= plan.burst
        if backend is not None:
            if fits:  # otherwise the quota is not charged
                self._record_use(quota, request.units, request.ceiling_granted)
                self.ring_reports.use_recorded(quota)
            self._send(request, backend)
        else:  # retry within the aim, or once the window has capacity or more totals are known
            needed = quota.own + quota.others + request.units / quota.share
            gap = max(self.epoch * plan.rate, needed - plan.burst)
            reason = "room" if within else "quota"
            self._refuse(
                request, request.kind.aim / 2 if within or not plan.rate else gap / plan.rate, reason
            )

    def _refuse(self, request: Request, retry_after: float, reason: str) -> None:
        delay = min(max(retry_after, 0.0), self.settings.max_retry_after)
        self.actions.append(i.Refuse(request.name, delay if self.settings.retry_after else None, reason))
        self.end_request(request.name)

    def _send(self, request: Request, backend: Backend) -> None:
        attempt = Attempt(backend, self.now, request.kind, request.quota)
        key = (request.name, len(request.attempts))
        backend.pending[key] = self.open_attempts[key] = attempt
        request.attempts.append(attempt)
        request.quota.in_flight += 1
        backend.cold_credit -= self.baseline[request.kind.name]
        backend.next_trial_at = self.now + backend.trial_interval
        self.actions.append(i.Send(request.name, backend.entry.backend, None))

    def _attempt_ended(self, event: i.AttemptEnded) -> None:
        attempt = self.open_attempts.pop((event.request, event.attempt))
        attempt.outcome = event.outcome
        attempt.quota.in_flight -= 1
        attempt.backend.pending.pop((event.request, event.attempt), None)
        self._record_outcome(attempt.backend, attempt.kind, event)
        if event.finished:
            self.end_request(event.request)
        elif event.request in self.requests:
            self._retry(self.requests[event.request])
        if event.request not in self.requests:
            self.counter.request_ended(self.now, event.request)

    def _retry(self, request: Request) -> None:
        if any(attempt.outcome is None for attempt in request.attempts):
            return
        choice = self._choose(request)
        if choice is not None and self.now < request.deadline:
            self._send(request, choice)
        elif self._may_refuse(request):
            self._refuse(request, request.kind.aim / 3, "again")
        else:
            self._fail(request)

    def _may_send(self, request: Request, backend: Backend) -> bool:
        """Prevents repeated side effects; ejected backends get only trial requests that are safe to lose."""
        unresolved, kind = [attempt for attempt in request.attempts if attempt.may_have_run], request.kind
        has_effect = kind.effect is not i.Effect.SAFE
        # Only first attempts are trials: several failed trials would use up a request's attempts.
        trial = not has_effect and not request.attempts and self.now >= backend.next_trial_at
        if backend.ejected_since is not None and not trial:
            return False
        if not unresolved or not has_effect:
            return True
        # A keyed retry must arrive within the deduplication window.
        until = unresolved[0].sent_at + kind.dedup_window - self.settings.dial_timeout
        remembered = all(a.backend.shares_dedup_with(backend, kind.dedup_scope) for a in unresolved)
        return kind.effect is i.Effect.KEYED and self.now <= until and remembered

    def _may_refuse(self, request: Request) -> bool:
        kind = request.kind
        safe = (
            kind.effect is i.Effect.KEYED
            and kind.dedup_scope is i.DedupScope.ALL
            or kind.effect is i.Effect.SAFE
        )
        return safe or not any(attempt.may_have_run for attempt in request.attempts)

    def _fail(self, request: Request) -> None:
        if self.end_request(request.name) is not None:
            self.actions.append(i.Fail(request.name))

    def _choose(self, request: Request) -> Backend | None:
        subset = self._subset()
        overloaded = self._may_refuse(request) and self._overloaded(request, subset)
        if overloaded and request.over_quota or len(request.attempts) >= self.settings.max_attempts:
            return None
        usable = [b for b in subset if self._may_send(request, b) and self._cold_headroom(request, b)]
        if overloaded:  # cold backends have their own limit
            usable = [b for b in usable if self._warm_share(b) < 1]
        return min(usable, key=lambda b: self._cost(request, b), default=None)

    def _subset(self) -> list[Backend]:
        """The backends that this gateway sends to; stable, so that what it learns about them stays useful."""
        subset, warm, healthy = [], 0, 0
        for n, backend in enumerate(self.backend_order):
            if self._warm_share(backend) < 1:  # limited sharers, those with it in their subset first
                if self.slow_start_rank(n) < self._slow_start_sharers(backend):
                    subset.append(backend)
                continue
            warm += 1
            if healthy < self.subset_size:
                self._check_health(backend)
                subset.append(backend)
                healthy += backend.ejected_since is None
        # With fewer warm backends, each is shared by more gateways.
        self.sharers = max(1.0, len(self.slow_start_members) * min(self.subset_size, warm) / max(1, warm))
        return subset

    def _cost(self, request: Request, backend: Backend) -> float:
        """Expected response time; random where other gateways cause most of the load, to avoid herding."""
        cross_zone = self.settings.cross_zone_price * (backend.entry.zone != self.settings.zone)
        penalty = 1 + 3 * any(attempt.backend is backend for attempt in request.attempts)
        jitter = math.pow(self.random.expovariate(1.0), max(0.1, 1 - 4 / self.sharers))
        load = penalty * self._latency_ratio(backend) * (backend.in_flight + 1) / backend.entry.size
        return load * (1 + 5 * cross_zone) * jitter

    def _overloaded(self, request: Request, subset: list[Backend]) -> bool:
        """Whether attempts in flight, averaged and without those that are likely lost, reach the capacity."""
        healthy = [b for b in subset if b.ejected_since is None and self._warm_share(b) == 1]
        capacity = self.capacity = self.limit / self.sharers * len(healthy)
        pending = (a for b in healthy for a in b.pending.values())
        in_flight = sum(self.now - a.sent_at < 5 * self.baseline[a.kind.name] for a in pending)
        self.avg_in_flight += min(1.0, max(0.1, capacity / 10)) * (in_flight - self.avg_in_flight)
        load = min(MAX_WARM_LOAD, max(1.0, self.sharers * self.avg_in_flight / max(1, len(healthy))))
        self.warm_load += 0.01 * (self.avg_in_flight < OVER_QUOTA_SHARE * capacity) * (load - self.warm_load)
        # Late retries would delay the others too; classes with low earnings yield to the rest.
        best = max(kind.worth / self.baseline[kind.name] for kind in self.classes.values())
        earnings = min(1.0, request.kind.worth / self.baseline[request.kind.name] / best)
        cap = self.priority.capacity_share(earnings)
        cap = min(cap, LATE_SHARE if request.late else 1.0, OVER_QUOTA_SHARE if request.over_quota else 1.0)
        # With all backends ejected the capacity is unknown: trial requests show which are back.
        overloaded = bool(healthy) and self.avg_in_flight >= capacity * cap
        if not (request.late or request.over_quota or request.attempts):
            self.priority.observe(earnings, overloaded)
        return overloaded

    def _slow_start_sharers(self, backend: Backend) -> float:
        """Gateways that send to it; few while it is cold, so that each may send whole requests."""
        warm, s = self._warm_share(backend), self.settings
        cap = max(MIN_SUBSET, int(0.7 * s.fall_multiple * warm * s.fall_window / max(self.baseline.values())))
        return self.sharers if warm == 1 else min(len(self.slow_start_members), cap)

    def _cold_headroom(self, request: Request, backend: Backend) -> bool:
        """Whether a cold backend has credit for the request, based on the load that warm ones take."""
        s, sharers, warm = self.settings, self._slow_start_sharers(backend), self._warm_share(backend)
        rate = 0.7 * s.fall_multiple * warm * self.warm_load / sharers
        refill, backend.cold_credit_at = rate * (self.now - backend.cold_credit_at), self.now
        backend.cold_credit = min(rate * s.fall_window, backend.cold_credit + refill)
        return warm == 1 or backend.cold_credit >= min(self.baseline[request.kind.name], rate * s.fall_window)

    def _check_health(self, backend: Backend) -> None:
        """Ejects a backend that has old attempts in flight and has answered nothing since they were sent."""
        attempt = next(iter(backend.pending.values()), None)
        if attempt is not None and backend.last_answer_at < attempt.sent_at:
            usual, waited = self.baseline[attempt.kind.name], self.now - attempt.sent_at
            if waited > 5 * usual * max(1.0, self._latency_ratio(backend)) + 0.2:
                self._eject(backend, f"no answer for {waited:.2f} s")

    def _eject(self, backend: Backend, reason: str) -> None:
        if backend.ejected_since is None:
            backend.ejected_since, backend.trial_interval = self.now, MIN_TRIAL_INTERVAL
            backend.next_trial_at = self.now + MIN_TRIAL_INTERVAL
            self.actions.append(i.Log(f"backend {backend.entry.backend} suspected: {reason}"))

    def _record_outcome(self, backend: Backend, kind: i.RequestClass, event: i.AttemptEnded) -> None:
        backend.latency_ratio, backend.latency_ratio_at = self._latency_ratio(backend), self.now
        if event.outcome is i.Outcome.OK:
            backend.last_answer_at, backend.broken_connections, backend.errors = self.now, 0, 0
            if backend.ejected_since is not None:
                backend.ejected_since = None
                self.actions.append(i.Log(f"backend {event.backend} answers again"))
            ratio = event.latency / self.baseline[kind.name]
            self.baseline[kind.name] *= 1 + 0.02 * (min(ratio, 2.0) - 1)
            backend.latency_ratio += 0.15 * (min(ratio, 10.0) - backend.latency_ratio)
            self._adjust_limit(event.latency <= kind.aim / 3)
        elif event.outcome in (i.Outcome.CONNECT_FAILED, i.Outcome.RESET):
            # A single connection may break; a dead process fails the next attempt too.
            backend.broken_connections += 1 if event.outcome is i.Outcome.RESET else 2
            if backend.broken_connections > 1:
                self._eject(backend, event.outcome.value)
                backend.trial_interval = min(2 * backend.trial_interval, MAX_TRIAL_INTERVAL)
        elif event.outcome is i.Outcome.FULL:  # draining, or busier than others: says nothing of the rest
            self._eject(backend, event.outcome.value)
        elif event.outcome in (i.Outcome.TIMEOUT, i.Outcome.ERROR):  # a fault of this backend alone
            backend.latency_ratio += 0.15 * (10.0 - backend.latency_ratio)
            backend.errors += event.outcome is i.Outcome.ERROR
            if backend.errors > 2:  # garbled responses hit all backends alike, rarely one in a row
                self._eject(backend, "errors in a row")

    def _adjust_limit(self, in_time: bool) -> None:
        """Weights outcomes by elapsed time, so that the learning rate does not depend on traffic."""
        weight, self.limit_adjusted_at = min(1.0, (self.now - self.limit_adjusted_at) / 0.5), self.now
        if self.avg_in_flight < 0.5 * self.capacity:
            return  # the limit was not in use, so slow answers do not reduce it
        self.limit = self.limit + 0.4 * weight if in_time else max(0.6, self.limit * 0.85**weight)

    def _backends_listed(self, event: i.BackendsListed) -> None:
        """Forgets backends that are removed or missing from a full list: they get no more requests."""
        listed = {e.backend: e for e in event.entries if e.availability is not i.Availability.REMOVED}
        named = {e.backend for e in event.entries} if event.kind is i.ListKind.CHANGES else set(self.backends)
        self.backends = {name: b for name, b in self.backends.items() if name in listed or name not in named}
        for name, entry in listed.items():
            known, started = self.backends.get(name), entry.started
            if started is None and known is None and event.kind is i.ListKind.CHANGES:
                started = self.now  # newly listed without a start time: assume cold
            if known is None or (entry.started is not None and entry.started != known.entry.started):
                started = -math.inf if started is None else started
                self.backends[name] = known = Backend(entry, started, zlib.crc32(name.encode()), self.now)
            known.entry = entry
        self.backend_order = self.ordered_backends([b for b in self.backends.values() if b.active])
        self._resize_subset()

    def _resize_subset(self) -> None:
        """Enlarges the subsets where gateways are few or some of them are missing."""
        n, self.slow_start_ranks = len(self.backend_order), {}
        self.subset_size = min(n, max(MIN_SUBSET, math.ceil(MIN_SHARERS / len(self.slow_start_members) * n)))

    def _within_quota(self, quota: Quota, units: float, known: bool, ceiling_granted: bool = False) -> bool:
        plan = quota.plan
        # Even shares of the ceiling and of concurrent attempts need no messages, so no fault can exceed them.
        over = plan.ceiling_rate and not ceiling_granted and quota.ceiling_tokens < units * quota.size
        max_open = max(1, plan.max_open // quota.size + (quota.index < plan.max_open % quota.size))
        if over or (plan.max_open and quota.in_flight >= max_open):
            return False
        if quota.share < 1 and not quota.own + quota.others:
            return True  # a small share may be less than one request
        left = plan.burst - quota.others - quota.silent_members * quota.since_observed
        # Reserves what the others are likely to have used since their last report: an epoch ago at most where
        # it matters, longer where members are silent and known by counter reconciliation.
        report_age = self.epoch * (quota.size - 1 if quota.silent_members else 1)
        reserve = min(0.5, quota.others_rate * report_age / max(left, 1 / COUNTS_PER_UNIT))
        if not known:  # part of an even share; at least one request if none was refused before
            minimum = 0.0 if quota.refusals else self.settings.max_units
            share = max(self.allowance, self._isolated_share(quota))
            left = min(left, max(minimum, share * plan.burst / quota.size))
        if self.ring_reports.must_wait(quota, units):
            return False
        # Own use drains at the rate, so it acts as the local token bucket too.
        return not plan.rate or quota.own + units / quota.share <= (1 - reserve) * left

    def _admit_counted(self, request: Request, used: float | None) -> bool:
        """Decides by the counter's level, None if unknown; returns whether the request was sent in quota."""
        quota = request.quota
        self._drain(quota)
        if used is not None:
            quota.counter_level, quota.counter_level_at, quota.others = used, self.now, used - quota.own
        within = self._within_quota(quota, request.units, used is not None)
        if used is not None and not quota.plan.rate:
            within = used < quota.plan.max_open
        if request.name in self.requests:
            self._admit(request, within)
        quota.others = 0.0
        return within and bool(request.attempts)  # otherwise the units are given back

    # Membership, where it is kept.

    def _membership_changed(self, event: i.MembershipChanged) -> None:
        """Reports the windows to members that joined or returned."""
        if self.membership is None:  # they may still report their use from here on
            self.learning_until = min(self.now, self.first_seen_at) + max(
                MIN_LEARNING_SECONDS, 4 * self.epoch
            )
        self.membership, self.membership_at, self.slow_start_members = (
            event,
            self.now,
            event.slow_start_members,
        )
        self._update_partition()
        self._resize_subset()
        if event.returned:
            self.ring_reports.queue_windows_for(event.returned, event.alive)

    def _update_partition(self) -> None:
        """Updates the partition from the membership and, where all exchange messages, from silences."""
        if self.membership is not None:
            numbers = self.peers if self.settings.may_message_peers and not self.long_ring else ()
            silences = {n: self.now - max(self.peers[n].last_seen, self.started_at) for n in numbers}
            self.partition = detect_partition(self.membership, silences, self.epoch)

    def _update_quota_share(self, quota: Quota, units: float) -> None:
        """Applies a smaller share at once and a larger one when totals have passed round the ring."""
        if self.membership is None or quota.share == 1 and not self.partition.unreachable:
            return
        share = self.partition.quota_share(self.members(quota, 0))
        if share <= quota.share:
            quota.set_share(share, units)
            quota.share_limited_at = self.now
        elif self.now - max(quota.share_limited_at, self.membership_at) > 4 * self.epoch:
            quota.set_share(share, units)

    def _run_epoch(self) -> None:
        self.actions.append(i.SetTimer(self.epoch, 0))
        self._evict_idle(IDLE_QUOTA_SECONDS)
        self.counter.retry_corrections(self.now)
        self._update_partition()
        if self.settings.counter_reconciliation:
            self._report_to_reconciliation()
        self.ring_reports.send_pending(lambda quotas: self._most_utilized(quotas, MAX_PER_EPOCH))

    def _report_to_reconciliation(self) -> None:
        """Reports use to counter reconciliation until it has drained."""
        for quota in self._most_utilized(self.unreconciled, MAX_PER_EPOCH):
            level, total, count = quota.own / quota.plan.burst, quota.utilization, quota.counts[quota.index]
            self.actions.append(i.UseReported(quota.key, quota.size, quota.index, count, level, total))
            if quota.own + quota.others < 1 / COUNTS_PER_UNIT:
                del self.unreconciled[quota.key]

    def _use_observed(self, event: i.UseObserved) -> None:
        """Merges a count read by reconciliation; a counter that was reset and holds too little is ignored."""
        quota = self.quotas.get(event.tenant_key)
        if quota is not None and event.ring_index < quota.size:
            self._drain(quota)
            if event.ring_index != quota.index:
                quota.observed_at, quota.since_observed = self.now, 0.0
            if (event.count - quota.counts.get(event.ring_index, event.count)) & 0xFFFF <= 0x7FFF:
                # A register tells the member's own part of the window.
                window_count = round(event.level * quota.plan.burst * COUNTS_PER_UNIT)
                self.merge(quota, event.ring_index, event.count, window_count, window_count)

    def _peer_message(self, event: i.PeerMessage) -> None:
        entries = decode_message(event.content)
        if entries is not None and event.sender in self.peers:
            silent_for = self.now - self.peers[event.sender].last_seen
            self.peers[event.sender].last_seen = self.now
            if SILENT_EPOCHS * self.epoch <= silent_for < math.inf and not self.long_ring:
                # Reports that it missed meanwhile are not repeated otherwise.
                self.ring_reports.queue_windows_for(
                    {event.sender}, {n for n in self.peers if self.reachable(n)}
                )
            self.first_seen_at = min(self.first_seen_at, self.now)
            for entry in entries:
                self._entry_received(event.sender, entry)

    def _entry_received(self, sender: int, entry: Entry) -> None:
        """Handles an entry; those that fit no ring of both gateways are ignored."""
        if self._is_valid_entry(sender, entry) and self.has_room_for(entry.key):
            quota = self.quota_of(entry.key, self.settings.plans[entry.plan], entry.first, entry.size)
            self._drain(quota)
            quota.used_at = self.now
            if entry.kind in (MessageKind.ACQUIRE, MessageKind.QUERY):
                self.coordination.request_received(quota, sender, entry)
            elif entry.kind == MessageKind.REPORT and self.long_ring:
                self.coordination.report_received(quota, entry)
            elif entry.kind == MessageKind.REPORT:
                self.ring_reports.received(quota, sender, entry)
            elif entry.kind == MessageKind.REPLY and sender in quota.awaiting_reply:
                self.coordination.reply_received(quota, sender, entry)
