"""Every decision of the gateway; its types are in interface.py, the mechanism in docs/design/decisions.md."""

from __future__ import annotations

import hashlib
import math
import random
import zlib
from collections.abc import Callable

from hoistfold import interface as i
from hoistfold.codec import ENTRY, MAX_ENTRY_BYTES, decode_message, encode_message, pack_entry
from hoistfold.coordinators import Coordination
from hoistfold.counter_quotas import CounterQuotas
from hoistfold.overload import ClassPriority
from hoistfold.partition import detect_partition, may_be_cut_off
from hoistfold.state import (
    COUNTS_PER_UNIT,
    REPORT_ONCE,
    REPORT_TO_OWNER,
    REPORT_TWICE,
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
ALLOWANCE = 0.1  # of an even share of the quota, granted while the use by the other members is unknown
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
            i.RequestCancelled: lambda event: self.requests.pop(event.request, None),
            i.StreamStarted: self._stream_started,
            i.SettingsChanged: self._settings_changed,
            i.PeerMessage: self._peer_message,
            i.UseObserved: self._use_observed,
            i.CounterAnswered: lambda event: self.counter.counter_answered(self.now, event),
            i.MembershipChanged: self._membership_changed,
        }
        # every peer is told each epoch, in three quarters of what a receiver takes in, or only notes leave
        told = 0 if settings.counter_reconciliation and not settings.may_message_peers else len(self.peers)
        self.epoch = max(0.1, told / (0.75 * max(settings.peer_intake, 1.0)))
        self.allowance = ALLOWANCE if settings.may_message_peers or settings.counter_reconciliation else 1.0
        self.counter = CounterQuotas(settings.count_limit, lambda action: self.actions.append(action))
        # where a lap takes longer than a window the members without use are skipped
        window = min((plan.burst / plan.rate for plan in settings.plans if plan.rate), default=math.inf)
        self.long_ring = settings.may_message_peers and settings.gateways * self.epoch > window
        self.epoch = IDLE_QUOTA_SECONDS / 4 if self.long_ring else self.epoch
        self.priority = ClassPriority()
        self.coordination = Coordination(self, self._admit, self._within_quota)

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Takes one event at its time and returns what to do, in order."""
        self.now, self.actions = now, []
        if type(event) in self.handlers:
            self.handlers[type(event)](event)
        return self.actions

    def _start(self, event: i.Started | i.ListFailed) -> None:
        if not self.settings.pushed_discovery:
            self.actions.append(i.Subscribe(True))
        if isinstance(event, i.Started):
            self.started_at = self.now
            self.actions.append(i.SetTimer(self.epoch, 0))  # handle 0 is the epoch
            self.learning_until = self.now + max(MIN_LEARNING_SECONDS, 4 * self.epoch)

    def _request_arrived(self, event: i.RequestArrived) -> None:
        kind, plan = self.classes[event.class_name], self.plans[event.plan]
        key = hashlib.blake2b(f"{plan.name} {event.tenant}".encode(), digest_size=5).digest()
        quota = self.quota_of(key, plan, event.ring_first, event.ring_size)
        self._drain(quota)
        self._update_quota_share(quota, event.units)
        quota.used_at = self.now
        late = self._is_late(kind, event.time_left)
        request = Request(event.request, kind, quota, self.now + event.time_left, late, event.units)
        self.requests[event.request] = request
        # an answer is owed before the client leaves, also when no outcome ever comes
        self.set_timer(event.time_left - 2 * self.settings.tick, request)
        if self.long_ring and quota.size > 1 and plan.rate:
            if self._choose(request) is None:  # no message is spent on what can't be sent
                self._admit(request, True)
            else:
                self.coordination.request_arrived(request)
        elif self.uses_counter and quota.size > 1 and (plan.rate or plan.max_open and not plan.ceiling_rate):
            share = self._within_quota(quota, event.units, False)
            if self._choose(request) is None:  # no call of the counter for what can't be sent on anyway
                self._refuse(request, kind.aim / 2, "room")
            else:
                self.counter.check(self.now, request, share, lambda used: self._admit_counted(request, used))
        else:
            others = self.members(quota, quota.index)[1:]
            heard, read = sum(map(self.reachable, others)), self.now - quota.observed_at
            told = self._totals_known(others, heard, read)
            quota.silent_members = len(others) - heard if read < OBSERVED_TOTAL_SECONDS else 0
            # where others are heard the members are gone and ask no more; where nobody is, we are cut off
            quota.isolated = not (told or self.membership or any(self.reachable(n) for n in self.peers))
            within = self._within_quota(quota, event.units, told)
            self._admit(request, within and not self._contended(quota, event.units, others))

    def _totals_known(self, others: list[int], heard: int, read: float) -> bool:
        """Whether what the other members use is known, or that they are gone.

        `heard`: how many of them were, on the ring; `read`: seconds since a second witness told of one.
        """
        if not others:
            return True
        if self.membership is not None:  # those that are there are known, and their use after some epochs
            return self.now >= self.learning_until
        if self.settings.membership and not self.took_over:
            # whom an earlier life knew may be behind a cut: that one of the others is heard is not enough
            return read < OBSERVED_TOTAL_SECONDS
        return heard > 0 or read < OBSERVED_TOTAL_SECONDS or self._silent_members_are_dead()

    def _contended(self, quota: Quota, units: float, others: list[int]) -> bool:
        """Little is left of a quota, and the other side of a cut that has just begun may take the same."""
        on_ring = self.membership is not None and self.settings.may_message_peers
        if not on_ring or quota.share < 1 or not quota.plan.rate or quota.fits_one_per_member(units):
            return False
        reached = (n for n in others if n not in self.partition.unreachable)
        silences = [self.now - max(self.peers[n].last_seen, self.started_at) for n in reached]
        return may_be_cut_off(silences, self.epoch)

    def _timer_fired(self, event: i.TimerFired) -> None:
        request = self.timers.pop(event.handle, None)
        if event.handle == 0:
            self._run_epoch()
        if request is not None and request.quota.acquiring is request:
            self._drain(request.quota)
            self.coordination.decide(request)
        if request is not None and self.now >= request.deadline - 3 * self.settings.tick:
            self._fail(request)

    def _admit(self, request: Request, within: bool) -> None:
        quota, plan = request.quota, request.quota.plan
        request.over_quota = not within
        # where a plan pays for what is beyond its quota, room that nobody else needs is given to that
        pays = plan.excess_worth > plan.excess_cost and not plan.ceiling_rate and not plan.max_open
        backend = self._choose(request) if within or pays else None
        fits = within or quota.own + quota.others + request.units / quota.share <= plan.burst
        if backend is not None:
            if fits:  # else it takes nothing from the quota
                self._record_use(quota, request.units, request.ceiling_granted)
                self._queue_report(quota, quota.index, REPORT_TWICE)
            self._send(request, backend)
        else:  # soon enough to be served within the aim, or when the window has room or more is told
            full = quota.own + quota.others + request.units / quota.share
            short = max(self.epoch * plan.rate, full - plan.burst)
            why = "room" if within else "quota"
            self._refuse(request, request.kind.aim / 2 if within or not plan.rate else short / plan.rate, why)

    def _refuse(self, request: Request, retry_after: float, why: str) -> None:
        advice = min(max(retry_after, 0.0), self.settings.max_retry_after)
        self.actions.append(i.Refuse(request.name, advice if self.settings.retry_after else None, why))
        self.requests.pop(request.name, None)

    def _send(self, request: Request, backend: Backend) -> None:
        attempt = Attempt(backend, self.now, request.kind, request.quota)
        key = (request.name, len(request.attempts))
        backend.pending[key] = self.open_attempts[key] = attempt
        request.attempts.append(attempt)
        request.quota.in_flight += 1
        backend.cold_credit -= self.baseline[request.kind.name]
        backend.next_trial_at = self.now + backend.trial_interval  # while suspected, a trial now and then
        self.actions.append(i.Send(request.name, backend.entry.backend, None))

    def _attempt_ended(self, event: i.AttemptEnded) -> None:
        attempt = self.open_attempts.pop((event.request, event.attempt))
        attempt.outcome = event.outcome
        attempt.quota.in_flight -= 1
        attempt.backend.pending.pop((event.request, event.attempt), None)
        self._record_outcome(attempt.backend, attempt.kind, event)
        if event.finished:
            self.requests.pop(event.request, None)
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
        """The rule against repeated effects; a suspected backend gets trials that are safe to lose."""
        risky, kind = [attempt for attempt in request.attempts if attempt.may_have_run], request.kind
        harmful = kind.effect is not i.Effect.SAFE
        # a trial is a first attempt: five dead ones in a row would use up all that a request may have
        trial = not harmful and not request.attempts and self.now >= backend.next_trial_at
        if backend.ejected_since is not None and not trial:
            return False
        if not risky or not harmful:
            return True
        # a keyed repeat must arrive while it is still remembered
        until = risky[0].sent_at + kind.dedup_window - self.settings.dial_timeout
        remembered = all(attempt.backend.shares_dedup_with(backend, kind.dedup_scope) for attempt in risky)
        return kind.effect is i.Effect.KEYED and self.now <= until and remembered

    def _may_refuse(self, request: Request) -> bool:
        kind = request.kind
        harmless = (
            kind.effect is i.Effect.KEYED
            and kind.dedup_scope is i.DedupScope.ALL
            or kind.effect is i.Effect.SAFE
        )
        return harmless or not any(attempt.may_have_run for attempt in request.attempts)

    def _fail(self, request: Request) -> None:
        if self.requests.pop(request.name, None) is not None:
            self.actions.append(i.Fail(request.name))

    def _choose(self, request: Request) -> Backend | None:
        near = self._subset()
        pressed = self._may_refuse(request) and self._overloaded(request, near)
        if pressed and request.over_quota or len(request.attempts) >= self.settings.max_attempts:
            return None
        usable = [b for b in near if self._may_send(request, b) and self._cold_headroom(request, b)]
        if pressed:  # a cold one has a limit of its own
            usable = [b for b in usable if self._warm_share(b) < 1]
        return min(usable, key=lambda b: self._cost(request, b), default=None)

    def _subset(self) -> list[Backend]:
        """A stable choice of each gateway's own, so that what it learns is of use."""
        near, warm, fit = [], 0, 0
        for n, backend in enumerate(self.backend_order):
            if self._warm_share(backend) < 1:  # as many as its doors: those that work with it anyway first
                if self.slow_start_rank(n) < self._slow_start_sharers(backend):
                    near.append(backend)
                continue
            warm += 1
            if fit < self.subset_size:
                self._check_health(backend)
                near.append(backend)
                fit += backend.ejected_since is None
        # fewer warm ones are shared by more gateways each
        self.sharers = max(1.0, len(self.slow_start_members) * min(self.subset_size, warm) / max(1, warm))
        return near

    def _cost(self, request: Request, backend: Backend) -> float:
        """Expected time to answer; where little of the load is its own, chance, lest all choose alike."""
        far = self.settings.cross_zone_price * (backend.entry.zone != self.settings.zone)
        tried = 1 + 3 * any(attempt.backend is backend for attempt in request.attempts)
        chance = math.pow(self.random.expovariate(1.0), max(0.1, 1 - 4 / self.sharers))
        load = tried * self._latency_ratio(backend) * (backend.in_flight + 1) / backend.entry.size
        return load * (1 + 5 * far) * chance

    def _overloaded(self, request: Request, near: list[Backend]) -> bool:
        """Out is what can be answered in time, on average if few, less what is out too long and so lost."""
        fit = [b for b in near if b.ejected_since is None and self._warm_share(b) == 1]
        room = self.capacity = self.limit / self.sharers * len(fit)
        pending = (attempt for b in fit for attempt in b.pending.values())
        out = sum(self.now - attempt.sent_at < 5 * self.baseline[attempt.kind.name] for attempt in pending)
        self.avg_in_flight += min(1.0, max(0.1, room / 10)) * (out - self.avg_in_flight)
        took = min(MAX_WARM_LOAD, max(1.0, self.sharers * self.avg_in_flight / max(1, len(fit))))
        self.warm_load += 0.01 * (self.avg_in_flight < OVER_QUOTA_SHARE * room) * (took - self.warm_load)
        # a late retry would make the others late too; what earns little for its work yields to the rest
        best = max(kind.worth / self.baseline[kind.name] for kind in self.classes.values())
        earnings = min(1.0, request.kind.worth / self.baseline[request.kind.name] / best)
        part = self.priority.capacity_share(earnings)
        part = min(part, LATE_SHARE if request.late else 1.0, OVER_QUOTA_SHARE if request.over_quota else 1.0)
        # where all are suspected no room is known: only trials tell that they are back
        pressed = bool(fit) and self.avg_in_flight >= room * part
        if not (request.late or request.over_quota or request.attempts):
            self.priority.observe(earnings, pressed)
        return pressed

    def _slow_start_sharers(self, backend: Backend) -> float:
        """Gateways that work with it; while it is cold few, each with a whole request, who weigh it more."""
        warmth, s = self._warm_share(backend), self.settings
        most = max(
            MIN_SUBSET, int(0.7 * s.fall_multiple * warmth * s.fall_window / max(self.baseline.values()))
        )
        return self.sharers if warmth == 1 else min(len(self.slow_start_members), most)

    def _cold_headroom(self, request: Request, backend: Backend) -> bool:
        """This gateway's share of what a cold backend stands, by what like warm ones were seen to take."""
        s, doors, warmth = self.settings, self._slow_start_sharers(backend), self._warm_share(backend)
        rate = 0.7 * s.fall_multiple * warmth * self.warm_load / doors
        gained, backend.cold_credit_at = rate * (self.now - backend.cold_credit_at), self.now
        backend.cold_credit = min(rate * s.fall_window, backend.cold_credit + gained)
        return warmth == 1 or backend.cold_credit >= min(
            self.baseline[request.kind.name], rate * s.fall_window
        )

    def _check_health(self, backend: Backend) -> None:
        """Suspects a backend that holds old attempts and has answered none since they were sent."""
        attempt = next(iter(backend.pending.values()), None)
        if attempt is not None and backend.last_answer_at < attempt.sent_at:
            usual, waited = self.baseline[attempt.kind.name], self.now - attempt.sent_at
            if waited > 5 * usual * max(1.0, self._latency_ratio(backend)) + 0.2:
                self._eject(backend, f"no answer for {waited:.2f} s")

    def _eject(self, backend: Backend, why: str) -> None:
        if backend.ejected_since is None:
            backend.ejected_since, backend.trial_interval = self.now, MIN_TRIAL_INTERVAL
            backend.next_trial_at = self.now + MIN_TRIAL_INTERVAL
            self.actions.append(i.Log(f"backend {backend.entry.backend} suspected: {why}"))

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
            # one connection may break by itself; where the process is gone the next attempt shows it
            backend.broken_connections += 1 if event.outcome is i.Outcome.RESET else 2
            if backend.broken_connections > 1:
                self._eject(backend, event.outcome.value)
                backend.trial_interval = min(2 * backend.trial_interval, MAX_TRIAL_INTERVAL)
        elif event.outcome is i.Outcome.FULL:  # it drains, or is fuller than the others: no word on them
            self._eject(backend, event.outcome.value)
        elif event.outcome in (i.Outcome.TIMEOUT, i.Outcome.ERROR):  # a fault of its own, not the fleet's
            backend.latency_ratio += 0.15 * (10.0 - backend.latency_ratio)
            backend.errors += event.outcome is i.Outcome.ERROR
            if backend.errors > 2:  # spoilt answers come from all alike, and not in a row
                self._eject(backend, "errors in a row")

    def _adjust_limit(self, good: bool) -> None:
        """Each outcome speaks for the time since the last, so that few gateways and many learn alike."""
        weight, self.limit_adjusted_at = min(1.0, (self.now - self.limit_adjusted_at) / 0.5), self.now
        if self.avg_in_flight < 0.5 * self.capacity:
            return  # the limit had no part in it: long work alone must not wear it down
        self.limit = self.limit + 0.4 * weight if good else max(0.6, self.limit * 0.85**weight)

    def _backends_listed(self, event: i.BackendsListed) -> None:
        """What is gone, or missing from a whole list, is forgotten and so gets nothing more."""
        named = {e.backend: e for e in event.entries if e.availability is not i.Availability.REMOVED}
        told = {e.backend for e in event.entries} if event.kind is i.ListKind.CHANGES else set(self.backends)
        self.backends = {name: b for name, b in self.backends.items() if name in named or name not in told}
        for name, entry in named.items():
            known, started = self.backends.get(name), entry.started
            if started is None and known is None and event.kind is i.ListKind.CHANGES:
                started = self.now  # newly listed without a start: cold is the safe reading
            if known is None or (entry.started is not None and entry.started != known.entry.started):
                started = -math.inf if started is None else started
                self.backends[name] = known = Backend(entry, started, zlib.crc32(name.encode()), self.now)
            known.entry = entry
        self.backend_order = self.ordered_backends([b for b in self.backends.values() if b.active])
        self._resize_subset()

    def _resize_subset(self) -> None:
        """Where gateways are few, or some of them gone, each works with more backends."""
        count, self.slow_start_ranks = len(self.backend_order), {}
        self.subset_size = min(
            count, max(MIN_SUBSET, math.ceil(MIN_SHARERS / len(self.slow_start_members) * count))
        )

    def _within_quota(self, quota: Quota, units: float, told: bool, ceiling_granted: bool = False) -> bool:
        plan = quota.plan
        # even shares of the ceiling and of what may be out are kept by each alone: no peer can break them
        over = plan.ceiling_rate and not ceiling_granted and quota.ceiling_tokens < units * quota.size
        most = max(1, plan.max_open // quota.size + (quota.index < plan.max_open % quota.size))
        if over or (plan.max_open and quota.in_flight >= most):
            return False
        if quota.share < 1 and not quota.own + quota.others:
            return True  # of a small part even one request may be more than all
        left = plan.burst - quota.others - quota.silent_members * quota.since_observed
        # the rollover ratio: what the others are likely to have used since they were last heard
        ratio = min(0.5, quota.others_rate * self.epoch * (quota.size - 1) / max(left, 1 / COUNTS_PER_UNIT))
        if not told:  # part of an even share, one request at least if none was refused before
            least = 0.0 if quota.refusals else self.settings.max_units
            part = max(self.allowance, self._isolated_share(quota))
            left = min(left, max(least, part * plan.burst / quota.size))
        # own use drains at the rate and so is the local bucket too
        return not plan.rate or quota.own + units / quota.share <= (1 - ratio) * left

    def _admit_counted(self, request: Request, used: float | None) -> bool:
        """The counter tells what is used, or nobody does; whether the request is sent on within its quota."""
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
        return within and bool(request.attempts)  # what was not sent on is given back

    # A view of the fleet, where one is kept.

    def _membership_changed(self, event: i.MembershipChanged) -> None:
        """Who has come or come back is told the windows again, by whoever is before it in a ring."""
        if self.membership is None:  # since it hears the others they may tell it what they have used
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
        for quota in self.quotas.values() if event.returned else ():
            following = (n for n in self.members(quota, quota.index)[1:] if n in event.alive)
            if next(following, None) in event.returned and quota.own + quota.others:
                for place in quota.counts:
                    self._queue_report(quota, place, REPORT_TWICE)

    def _update_partition(self) -> None:
        """Who is not reached, by the membership and by who was heard on the ring, where it tells of all."""
        if self.membership is not None:
            numbers = self.peers if self.settings.may_message_peers and not self.long_ring else ()
            silences = {n: self.now - max(self.peers[n].last_seen, self.started_at) for n in numbers}
            self.partition = detect_partition(self.membership, silences, self.epoch)

    def _update_quota_share(self, quota: Quota, units: float) -> None:
        """A smaller part holds at once, a larger one when totals have gone round."""
        if self.membership is None or quota.share == 1 and not self.partition.unreachable:
            return
        part = self.partition.quota_share(self.members(quota, 0))
        if part <= quota.share:
            quota.set_share(part, units)
            quota.share_limited_at = self.now
        elif self.now - max(quota.share_limited_at, self.membership_at) > 4 * self.epoch:
            quota.set_share(part, units)
            keep = min(1.0, quota.plan.burst / max(quota.plan.burst, quota.own + quota.others))
            quota.own, quota.others = quota.own * keep, quota.others * keep

    def _run_epoch(self) -> None:
        self.actions.append(i.SetTimer(self.epoch, 0))
        self._evict_idle(IDLE_QUOTA_SECONDS)
        self.counter.retry_corrections(self.now)
        self._update_partition()
        if self.settings.counter_reconciliation:
            self._report_to_reconciliation()
        due = dict.fromkeys(() if self.long_ring or not self.settings.may_message_peers else self.peers, b"")
        # those nearest their quota first: where a message is full, the rest waits for the next epoch
        for quota in self._most_utilized(self.unreported, MAX_PER_EPOCH) if due else ():
            self._append_reports(quota, due)
        for number, entries in due.items():
            self.actions.append(i.SendPeerMessage(number, encode_message(entries)))

    def _report_to_reconciliation(self) -> None:
        """What a second witness is to know of this gateway's use; of what has drained, no more after that."""
        for quota in self._most_utilized(self.unreconciled, MAX_PER_EPOCH):
            level, full, count = quota.own / quota.plan.burst, quota.utilization, quota.counts[quota.index]
            self.actions.append(i.UseReported(quota.key, quota.size, quota.index, count, level, full))
            if quota.own + quota.others < 1 / COUNTS_PER_UNIT:
                del self.unreconciled[quota.key]

    def _use_observed(self, event: i.UseObserved) -> None:
        """Merged as what the ring tells; of one that was emptied and holds too little, nothing."""
        quota = self.quotas.get(event.tenant_key)
        if quota is not None and event.ring_index < quota.size:
            self._drain(quota)
            if event.ring_index != quota.index:
                quota.observed_at, quota.since_observed = self.now, 0.0
            if (event.count - quota.counts.get(event.ring_index, event.count)) & 0xFFFF <= 0x7FFF:
                self.merge(
                    quota,
                    event.ring_index,
                    event.count,
                    round(event.level * quota.plan.burst * COUNTS_PER_UNIT),
                )

    def _append_reports(self, quota: Quota, due: dict[int, bytes]) -> None:
        """Adds a customer's untold places to the messages for its successor, as far as they fit."""
        following, level = self.members(quota, quota.index)[1:], quota.own + quota.others
        successor = next((n for n in following if self.reachable(n)), following[0])
        for place, times in sorted(quota.unreported.items()):
            owner = (quota.first + place) % self.settings.gateways
            target = owner if times == REPORT_TO_OWNER else successor
            # a member knows its own use, and what has left the window is no news: both only took room
            if times != REPORT_TO_OWNER and (target == owner or level * COUNTS_PER_UNIT < 1):
                del quota.unreported[place]
            elif len(due[target]) + ENTRY.size <= MAX_ENTRY_BYTES:
                due[target] += pack_entry(self.settings.plans, quota, MessageKind.REPORT, place, level)
                quota.unreported[place] = REPORT_ONCE
                if times != REPORT_TWICE:
                    del quota.unreported[place]
        if not quota.unreported:
            del self.unreported[quota.key]

    def _peer_message(self, event: i.PeerMessage) -> None:
        entries = decode_message(event.content)
        if entries is not None and event.sender in self.peers:
            self.peers[event.sender].last_seen = self.now
            self.first_seen_at = min(self.first_seen_at, self.now)
            for entry in entries:
                self._entry_received(event.sender, entry)

    def _entry_received(self, sender: int, entry: Entry) -> None:
        """What cannot be of a ring that both are members of is passed over."""
        if self._is_valid_entry(sender, entry):
            quota = self.quota_of(entry.key, self.settings.plans[entry.plan], entry.first, entry.size)
            self._drain(quota)
            quota.used_at = self.now
            if entry.kind in (MessageKind.ACQUIRE, MessageKind.QUERY):
                self.coordination.request_received(quota, sender, entry)
            elif entry.kind == MessageKind.REPORT and self.long_ring:
                self.coordination.report_received(quota, entry)
            elif entry.kind == MessageKind.REPORT:
                before = quota.counts.get(entry.index)
                self.merge(quota, entry.index, entry.count, entry.level)
                changed = self.membership is not None and quota.counts.get(entry.index) != before
                # told on to those that the sender skipped, as it doesn't hear them, though we do
                for number in filter(self.reachable, self.members_between(quota, sender) if changed else ()):
                    told = pack_entry(
                        self.settings.plans, quota, MessageKind.REPORT, entry.index, quota.own + quota.others
                    )
                    self.actions.append(i.SendPeerMessage(number, encode_message(told)))
            elif entry.kind == MessageKind.REPLY and sender in quota.awaiting_reply:
                self.coordination.reply_received(quota, sender, entry)
