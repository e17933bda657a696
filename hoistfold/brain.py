"""Every decision of the gateway; its types are in interface.py, the mechanism in docs/design/decisions.md."""

from __future__ import annotations

import hashlib
import math
import random
import zlib
from collections.abc import Callable

from hoistfold import interface as i
from hoistfold.codec import ENTRY, ROOM, opened, packed, seal
from hoistfold.coordinators import Coordination
from hoistfold.counted import Stores
from hoistfold.overload import ClassPriority
from hoistfold.partition import may_be_cut_off, partition_of
from hoistfold.state import (
    FORGOTTEN,
    ONCE,
    SCALE,
    TWICE,
    Attempt,
    Backend,
    Entry,
    Kept,
    MessageKind,
    Quota,
    Request,
)

FIRST_LIMIT = 8.0  # attempts out at a backend at first, from all gateways together
FIRST_PAUSE, LONGEST_PAUSE = 1.0, 8.0  # seconds between trials of a suspected backend
LATE_PART = 0.4  # of the room, that may be taken before late retries are refused
SPARE = 0.5  # of the room, the part that may be taken by what is beyond a quota
SHARERS = 3.0  # gateways at least that work with one backend, so that their loads even out
MOST_TAKEN = 2.0  # seconds of usual work a second that a warm backend is trusted with, whatever is seen
CHOICES = 6  # backends at least that a gateway works with, so that a bad one has a small part
ALLOWANCE = 0.1  # of an even share, while no total is known; where none can be, all keep to whole ones
WITNESSED_FOR = 1.5  # seconds for which a total from the second witness stands for one from the ring
MOST = 250  # customers at most that an epoch looks after, the fullest
ASKING = 0.8  # seconds at least in which one that has come may still be told what others have used
IDLE_FOR = 30.0  # seconds after which an unused entry is forgotten


class Gateway(Kept):
    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings)
        self.random = random.Random(seed)
        self.limit = FIRST_LIMIT
        self.handlers: dict[type, Callable[..., object]] = {
            i.Started: self._start,
            i.BackendsListed: self._listed,
            i.ListFailed: self._start,
            i.RequestArrived: self._arrive,
            i.AttemptEnded: self._attempt_ended,
            i.TimerFired: self._timer,
            i.RequestCancelled: lambda event: self.requests.pop(event.request, None),
            i.StreamStarted: self._stream_started,
            i.SettingsChanged: self._retuned,
            i.PeerMessage: self._peer_message,
            i.UseObserved: self._witnessed,
            i.CounterAnswered: lambda event: self.stores.answered(self.now, event),
            i.MembershipChanged: self._fleet_seen,
        }
        # every peer is told each epoch, in three quarters of what a receiver takes in, or only notes leave
        told = 0 if settings.counter_reconciliation and not settings.may_message_peers else len(self.peers)
        self.epoch = max(0.1, told / (0.75 * max(settings.peer_intake, 1.0)))
        self.allowance = ALLOWANCE if settings.may_message_peers or settings.counter_reconciliation else 1.0
        self.stores = Stores(settings.count_limit, lambda action: self.actions.append(action))
        # where a lap takes longer than a window the members without use are skipped
        window = min((plan.burst / plan.rate for plan in settings.plans if plan.rate), default=math.inf)
        self.long_ring = settings.may_message_peers and settings.gateways * self.epoch > window
        self.epoch = IDLE_FOR / 4 if self.long_ring else self.epoch
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
            self.asks_until = self.now + max(ASKING, 4 * self.epoch)

    def _arrive(self, event: i.RequestArrived) -> None:
        kind, plan = self.classes[event.class_name], self.plans[event.plan]
        key = hashlib.blake2b(f"{plan.name} {event.tenant}".encode(), digest_size=5).digest()
        quota = self.quota_of(key, plan, event.ring_first, event.ring_size)
        self._drain(quota)
        self._share(quota, event.units)
        quota.used = self.now
        late = self._late(kind, event.time_left)
        request = Request(event.request, kind, quota, self.now + event.time_left, late, event.units)
        self.requests[event.request] = request
        # an answer is owed before the client leaves, also when no outcome ever comes
        self.set_timer(event.time_left - 2 * self.settings.tick, request)
        if self.long_ring and quota.size > 1 and plan.rate:
            if self._choose(request) is None:  # no message is spent on what can't be sent
                self._admit(request, True)
            else:
                self.coordination.arrive(request)
        elif self.counting and quota.size > 1 and (plan.rate or plan.max_open and not plan.ceiling_rate):
            share = self._within_quota(quota, event.units, False)
            if self._choose(request) is None:  # no call of the counter for what can't be sent on anyway
                self._refuse(request, kind.aim / 2, "room")
            else:
                self.stores.ask(self.now, request, share, lambda used: self._counted(request, used))
        else:
            others = self.members(quota, quota.place)[1:]
            heard, read = sum(map(self.answers, others)), self.now - quota.witnessed
            told = self._totals_known(others, heard, read)
            quota.silent = len(others) - heard if read < WITNESSED_FOR else 0
            # where others are heard the members are gone and ask no more; where nobody is, we are cut off
            quota.alone = not (told or self.fleet or any(self.answers(n) for n in self.peers))
            within = self._within_quota(quota, event.units, told)
            self._admit(request, within and not self._contended(quota, event.units, others))

    def _totals_known(self, others: list[int], heard: int, read: float) -> bool:
        """Whether what the other members use is known, or that they are gone.

        `heard`: how many of them were, on the ring; `read`: seconds since a second witness told of one.
        """
        if not others:
            return True
        if self.fleet is not None:  # those that are there are known, and their use after some epochs
            return self.now >= self.asks_until
        if self.settings.membership and not self.took_over:
            # whom an earlier life knew may be behind a cut: that one of the others is heard is not enough
            return read < WITNESSED_FOR
        return heard > 0 or read < WITNESSED_FOR or self._silent_are_gone()

    def _contended(self, quota: Quota, units: float, others: list[int]) -> bool:
        """Little is left of a quota, and the other side of a cut that has just begun may take the same."""
        on_ring = self.fleet is not None and self.settings.may_message_peers
        if not on_ring or quota.part < 1 or not quota.plan.rate or quota.holds_one_from_each(units):
            return False
        reached = (n for n in others if n not in self.partition.unreached)
        silences = [self.now - max(self.peers[n].heard, self.started_at) for n in reached]
        return may_be_cut_off(silences, self.epoch)

    def _timer(self, event: i.TimerFired) -> None:
        request = self.timers.pop(event.handle, None)
        if event.handle == 0:
            self._epoch()
        if request is not None and request.quota.asking is request:
            self._drain(request.quota)
            self.coordination.decide(request)
        if request is not None and self.now >= request.deadline - 3 * self.settings.tick:
            self._fail(request)

    def _admit(self, request: Request, within: bool) -> None:
        quota, plan = request.quota, request.quota.plan
        request.spare = not within
        # where a plan pays for what is beyond its quota, room that nobody else needs is given to that
        pays = plan.excess_worth > plan.excess_cost and not plan.ceiling_rate and not plan.max_open
        backend = self._choose(request) if within or pays else None
        fits = within or quota.own + quota.others + request.units / quota.part <= plan.burst
        if backend is not None:
            if fits:  # else it takes nothing from the quota
                self._take(quota, request.units, request.ceiling_granted)
                self._news(quota, quota.place, TWICE)
            self._send(request, backend)
        else:  # soon enough to be served within the aim, or when the window has room or more is told
            full = quota.own + quota.others + request.units / quota.part
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
        backend.pending[key] = self.open[key] = attempt
        request.attempts.append(attempt)
        request.quota.open += 1
        backend.cold_credit -= self.base[request.kind.name]
        backend.next_trial = self.now + backend.pause  # while suspected, a trial now and then
        self.actions.append(i.Send(request.name, backend.entry.backend, None))

    def _attempt_ended(self, event: i.AttemptEnded) -> None:
        attempt = self.open.pop((event.request, event.attempt))
        attempt.ended = event.outcome
        attempt.quota.open -= 1
        attempt.backend.pending.pop((event.request, event.attempt), None)
        self._learn(attempt.backend, attempt.kind, event)
        if event.finished:
            self.requests.pop(event.request, None)
        elif event.request in self.requests:
            self._try_again(self.requests[event.request])
        if event.request not in self.requests:
            self.stores.ended(self.now, event.request)

    def _try_again(self, request: Request) -> None:
        if any(attempt.ended is None for attempt in request.attempts):
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
        trial = not harmful and not request.attempts and self.now >= backend.next_trial
        if backend.suspect_since is not None and not trial:
            return False
        if not risky or not harmful:
            return True
        # a keyed repeat must arrive while it is still remembered
        until = risky[0].sent + kind.dedup_window - self.settings.dial_timeout
        remembered = all(attempt.backend.remembers_with(backend, kind.dedup_scope) for attempt in risky)
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
        near = self._nearest()
        pressed = self._may_refuse(request) and self._pressed(request, near)
        if pressed and request.spare or len(request.attempts) >= self.settings.max_attempts:
            return None
        usable = [b for b in near if self._may_send(request, b) and self._cold_room(request, b)]
        if pressed:  # a cold one has a limit of its own
            usable = [b for b in usable if self._warmth(b) < 1]
        return min(usable, key=lambda b: self._cost(request, b), default=None)

    def _nearest(self) -> list[Backend]:
        """A stable choice of each gateway's own, so that what it learns is of use."""
        near, warm, fit = [], 0, 0
        for n, backend in enumerate(self.order):
            if self._warmth(backend) < 1:  # as many as its doors: those that work with it anyway first
                if self.turn(n) < self._doors(backend):
                    near.append(backend)
                continue
            warm += 1
            if fit < self.reach:
                self._check_health(backend)
                near.append(backend)
                fit += backend.suspect_since is None
        # fewer warm ones are shared by more gateways each
        self.sharers = max(1.0, len(self.among) * min(self.reach, warm) / max(1, warm))
        return near

    def _cost(self, request: Request, backend: Backend) -> float:
        """Expected time to answer; where little of the load is its own, chance, lest all choose alike."""
        far = self.settings.cross_zone_price * (backend.entry.zone != self.settings.zone)
        tried = 1 + 3 * any(attempt.backend is backend for attempt in request.attempts)
        chance = math.pow(self.random.expovariate(1.0), max(0.1, 1 - 4 / self.sharers))
        load = tried * self._stretch(backend) * (backend.out + 1) / backend.entry.size
        return load * (1 + 5 * far) * chance

    def _pressed(self, request: Request, near: list[Backend]) -> bool:
        """Out is what can be answered in time, on average if few, less what is out too long and so lost."""
        fit = [b for b in near if b.suspect_since is None and self._warmth(b) == 1]
        room = self.room = self.limit / self.sharers * len(fit)
        pending = (attempt for b in fit for attempt in b.pending.values())
        out = sum(self.now - attempt.sent < 5 * self.base[attempt.kind.name] for attempt in pending)
        self.busy += min(1.0, max(0.1, room / 10)) * (out - self.busy)
        took = min(MOST_TAKEN, max(1.0, self.sharers * self.busy / max(1, len(fit))))
        self.took += 0.01 * (self.busy < SPARE * room) * (took - self.took)
        # a late retry would make the others late too; what earns little for its work yields to the rest
        best = max(kind.worth / self.base[kind.name] for kind in self.classes.values())
        earnings = min(1.0, request.kind.worth / self.base[request.kind.name] / best)
        part = self.priority.part_of_room(earnings)
        part = min(part, LATE_PART if request.late else 1.0, SPARE if request.spare else 1.0)
        # where all are suspected no room is known: only trials tell that they are back
        pressed = bool(fit) and self.busy >= room * part
        if not (request.late or request.spare or request.attempts):
            self.priority.observe(earnings, pressed)
        return pressed

    def _doors(self, backend: Backend) -> float:
        """Gateways that work with it; while it is cold few, each with a whole request, who weigh it more."""
        warmth, s = self._warmth(backend), self.settings
        most = max(CHOICES, int(0.7 * s.fall_multiple * warmth * s.fall_window / max(self.base.values())))
        return self.sharers if warmth == 1 else min(len(self.among), most)

    def _cold_room(self, request: Request, backend: Backend) -> bool:
        """This gateway's share of what a cold backend stands, by what like warm ones were seen to take."""
        s, doors, warmth = self.settings, self._doors(backend), self._warmth(backend)
        rate = 0.7 * s.fall_multiple * warmth * self.took / doors
        gained, backend.cold_at = rate * (self.now - backend.cold_at), self.now
        backend.cold_credit = min(rate * s.fall_window, backend.cold_credit + gained)
        return warmth == 1 or backend.cold_credit >= min(self.base[request.kind.name], rate * s.fall_window)

    def _check_health(self, backend: Backend) -> None:
        """Suspects a backend that holds old attempts and has answered none since they were sent."""
        attempt = next(iter(backend.pending.values()), None)
        if attempt is not None and backend.answered < attempt.sent:
            usual, waited = self.base[attempt.kind.name], self.now - attempt.sent
            if waited > 5 * usual * max(1.0, self._stretch(backend)) + 0.2:
                self._suspect(backend, f"no answer for {waited:.2f} s")

    def _suspect(self, backend: Backend, why: str) -> None:
        if backend.suspect_since is None:
            backend.suspect_since, backend.pause = self.now, FIRST_PAUSE
            backend.next_trial = self.now + FIRST_PAUSE
            self.actions.append(i.Log(f"backend {backend.entry.backend} suspected: {why}"))

    def _learn(self, backend: Backend, kind: i.RequestClass, event: i.AttemptEnded) -> None:
        backend.stretch, backend.judged = self._stretch(backend), self.now
        if event.outcome is i.Outcome.OK:
            backend.answered, backend.resets, backend.errors = self.now, 0, 0
            if backend.suspect_since is not None:
                backend.suspect_since = None
                self.actions.append(i.Log(f"backend {event.backend} answers again"))
            ratio = event.latency / self.base[kind.name]
            self.base[kind.name] *= 1 + 0.02 * (min(ratio, 2.0) - 1)
            backend.stretch += 0.15 * (min(ratio, 10.0) - backend.stretch)
            self._adjust(event.latency <= kind.aim / 3)
        elif event.outcome in (i.Outcome.CONNECT_FAILED, i.Outcome.RESET):
            # one connection may break by itself; where the process is gone the next attempt shows it
            backend.resets += 1 if event.outcome is i.Outcome.RESET else 2
            if backend.resets > 1:
                self._suspect(backend, event.outcome.value)
                backend.pause = min(2 * backend.pause, LONGEST_PAUSE)  # many work with it and try it too
        elif event.outcome is i.Outcome.FULL:  # it drains, or is fuller than the others: no word on them
            self._suspect(backend, event.outcome.value)
        elif event.outcome in (i.Outcome.TIMEOUT, i.Outcome.ERROR):  # a fault of its own, not the fleet's
            backend.stretch += 0.15 * (10.0 - backend.stretch)
            backend.errors += event.outcome is i.Outcome.ERROR
            if backend.errors > 2:  # spoilt answers come from all alike, and not in a row
                self._suspect(backend, "errors in a row")

    def _adjust(self, good: bool) -> None:
        """Each outcome speaks for the time since the last, so that few gateways and many learn alike."""
        weight, self.learnt = min(1.0, (self.now - self.learnt) / 0.5), self.now
        if self.busy < 0.5 * self.room:
            return  # the limit had no part in it: long work alone must not wear it down
        self.limit = self.limit + 0.4 * weight if good else max(0.6, self.limit * 0.85**weight)

    def _listed(self, event: i.BackendsListed) -> None:
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
        self.order = self.ring([backend for backend in self.backends.values() if backend.active])
        self._extend()

    def _extend(self) -> None:
        """Where gateways are few, or some of them gone, each works with more backends."""
        count, self.turns = len(self.order), {}
        self.reach = min(count, max(CHOICES, math.ceil(SHARERS / len(self.among) * count)))

    def _within_quota(self, quota: Quota, units: float, told: bool, ceiling_granted: bool = False) -> bool:
        plan = quota.plan
        # even shares of the ceiling and of what may be out are kept by each alone: no peer can break them
        over = plan.ceiling_rate and not ceiling_granted and quota.ceiling < units * quota.size
        most = max(1, plan.max_open // quota.size + (quota.place < plan.max_open % quota.size))
        if over or (plan.max_open and quota.open >= most):
            return False
        if quota.part < 1 and not quota.own + quota.others:
            return True  # of a small part even one request may be more than all
        left = plan.burst - quota.others - quota.silent * quota.since
        # the rollover ratio: what the others are likely to have used since they were last heard
        ratio = min(0.5, quota.others_rate * self.epoch * (quota.size - 1) / max(left, 1 / SCALE))
        if not told:  # part of an even share, one request at least if none was refused before
            least = 0.0 if quota.refusals else self.settings.max_units
            part = max(self.allowance, self._part_alone(quota))
            left = min(left, max(least, part * plan.burst / quota.size))
        # own use drains at the rate and so is the local bucket too
        return not plan.rate or quota.own + units / quota.part <= (1 - ratio) * left

    def _counted(self, request: Request, used: float | None) -> bool:
        """The counter tells what is used, or nobody does; whether the request is sent on within its quota."""
        quota = request.quota
        self._drain(quota)
        if used is not None:
            quota.level, quota.told_at, quota.others = used, self.now, used - quota.own
        within = self._within_quota(quota, request.units, used is not None)
        if used is not None and not quota.plan.rate:
            within = used < quota.plan.max_open
        if request.name in self.requests:
            self._admit(request, within)
        quota.others = 0.0
        return within and bool(request.attempts)  # what was not sent on is given back

    # A view of the fleet, where one is kept.

    def _fleet_seen(self, event: i.MembershipChanged) -> None:
        """Who has come or come back is told the windows again, by whoever is before it in a ring."""
        if self.fleet is None:  # since it hears the others they may tell it what they have used
            self.asks_until = min(self.now, self.first_heard) + max(ASKING, 4 * self.epoch)
        self.fleet, self.fleet_at, self.among = event, self.now, event.slow_start_members
        self._note_partition()
        self._extend()
        for quota in self.quotas.values() if event.returned else ():
            following = (n for n in self.members(quota, quota.place)[1:] if n in event.alive)
            if next(following, None) in event.returned and quota.own + quota.others:
                for place in quota.counts:
                    self._news(quota, place, TWICE)

    def _note_partition(self) -> None:
        """Who is not reached, by the membership and by who was heard on the ring, where it tells of all."""
        if self.fleet is not None:
            numbers = self.peers if self.settings.may_message_peers and not self.long_ring else ()
            silences = {n: self.now - max(self.peers[n].heard, self.started_at) for n in numbers}
            self.partition = partition_of(self.fleet, silences, self.epoch)

    def _share(self, quota: Quota, units: float) -> None:
        """A smaller part holds at once, a larger one when totals have gone round."""
        if self.fleet is None or quota.part == 1 and not self.partition.unreached:
            return
        part = self.partition.part_of_quota(self.members(quota, 0))
        if part <= quota.part:
            quota.take_part(part, units)
            quota.parted = self.now
        elif self.now - max(quota.parted, self.fleet_at) > 4 * self.epoch:
            quota.take_part(part, units)
            keep = min(1.0, quota.plan.burst / max(quota.plan.burst, quota.own + quota.others))
            quota.own, quota.others = quota.own * keep, quota.others * keep

    def _epoch(self) -> None:
        self.actions.append(i.SetTimer(self.epoch, 0))
        self._forget(IDLE_FOR)
        self.stores.again(self.now)
        self._note_partition()
        if self.settings.counter_reconciliation:
            self._note()
        due = dict.fromkeys(() if self.long_ring or not self.settings.may_message_peers else self.peers, b"")
        # those nearest their quota first: where a message is full, the rest waits for the next epoch
        for quota in self._fullest(self.telling, MOST) if due else ():
            self._tell(quota, due)
        for number, entries in due.items():
            self.actions.append(i.SendPeerMessage(number, seal(entries)))

    def _note(self) -> None:
        """What a second witness is to know of this gateway's use; of what has drained, no more after that."""
        for quota in self._fullest(self.touched, MOST):
            level, full, count = quota.own / quota.plan.burst, quota.fullness, quota.counts[quota.place]
            self.actions.append(i.UseReported(quota.key, quota.size, quota.place, count, level, full))
            if quota.own + quota.others < 1 / SCALE:
                del self.touched[quota.key]

    def _witnessed(self, event: i.UseObserved) -> None:
        """Merged as what the ring tells; of one that was emptied and holds too little, nothing."""
        quota = self.quotas.get(event.tenant_key)
        if quota is not None and event.ring_index < quota.size:
            self._drain(quota)
            if event.ring_index != quota.place:
                quota.witnessed, quota.since = self.now, 0.0
            if (event.count - quota.counts.get(event.ring_index, event.count)) & 0xFFFF <= 0x7FFF:
                self.merge(
                    quota, event.ring_index, event.count, round(event.level * quota.plan.burst * SCALE)
                )

    def _tell(self, quota: Quota, due: dict[int, bytes]) -> None:
        """Adds a customer's untold places to the messages for its successor, as far as they fit."""
        following, level = self.members(quota, quota.place)[1:], quota.own + quota.others
        successor = next((n for n in following if self.answers(n)), following[0])
        for place, times in sorted(quota.untold.items()):
            owner = (quota.first + place) % self.settings.gateways
            target = owner if times == FORGOTTEN else successor
            # a member knows its own use, and what has left the window is no news: both only took room
            if times != FORGOTTEN and (target == owner or level * SCALE < 1):
                del quota.untold[place]
            elif len(due[target]) + ENTRY.size <= ROOM:
                due[target] += packed(self.settings.plans, quota, MessageKind.TELL, place, level)
                quota.untold[place] = ONCE
                if times != TWICE:
                    del quota.untold[place]
        if not quota.untold:
            del self.telling[quota.key]

    def _peer_message(self, event: i.PeerMessage) -> None:
        entries = opened(event.content)
        if entries is not None and event.sender in self.peers:
            self.peers[event.sender].heard = self.now
            self.first_heard = min(self.first_heard, self.now)
            for entry in entries:
                self._entry_told(event.sender, entry)

    def _entry_told(self, sender: int, entry: Entry) -> None:
        """What cannot be of a ring that both are members of is passed over."""
        if self._fitting(sender, entry):
            quota = self.quota_of(entry.key, self.settings.plans[entry.plan], entry.first, entry.size)
            self._drain(quota)
            quota.used = self.now
            if entry.what in (MessageKind.ASK, MessageKind.CHECK):
                self.coordination.asked(quota, sender, entry)
            elif entry.what == MessageKind.TELL and self.long_ring:
                self.coordination.told(quota, entry)
            elif entry.what == MessageKind.TELL:
                before = quota.counts.get(entry.place)
                self.merge(quota, entry.place, entry.count, entry.level)
                changed = self.fleet is not None and quota.counts.get(entry.place) != before
                # told on to those that the sender skipped, as it doesn't hear them, though we do
                for number in filter(self.answers, self.between(quota, sender) if changed else ()):
                    told = packed(
                        self.settings.plans, quota, MessageKind.TELL, entry.place, quota.own + quota.others
                    )
                    self.actions.append(i.SendPeerMessage(number, seal(told)))
            elif entry.what == MessageKind.TOTAL and sender in quota.owing:
                self.coordination.total(quota, sender, entry)
