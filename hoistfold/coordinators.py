"""Quotas of rings too long to pass totals round: coordinators among the members keep a tenant's total.

A member asks a tenant's primary coordinator before it admits: for the units of the request, and for a
lease of a few more where the tenant is busy. The secondary one is told of the use; it is asked where the
primary is silent, or has started too lately to know the total.

What is sent follows the budget of messages that receivers take in, not the requests. Where the budget runs
out, tenants far from their quota are admitted by the total that was told last; their use is told with a later
message to the coordinator.

A plan's ceiling is divided (ceiling.py): a coordinator grants units of its own part along with the quota's,
and members share a small part for what they admit without a grant, so that all stay under it also in a
partition.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from hoistfold import interface as i
from hoistfold.codec import ENTRY, ROOM, packed, seal
from hoistfold.state import SCALE, Entry, Kept, MessageKind, Quota, Request, coordinator_place
from hoistfold.token_bucket import TokenBucket

INTAKE_PART = 0.44  # of a receiver's intake for what is asked and told, and as much again for answers
CANDIDATES = 6  # members looked at for coordinators that answer
TELL_ABOVE = 0.6  # of the budget: with less left the secondary is told with messages that go there anyway
RELAXED_BELOW = 0.5  # of the budget: with less left tenants far from their quota are not asked for
FAR_FROM_QUOTA = 0.5  # of the burst, expected to be used at most
LONGEST_PAUSE_PART = 0.5  # of a window: a tenant that was refused is asked for again before half has drained
TENANT_PART = 0.25  # of a receiver's intake, for the asks of one tenant that is refused again and again
SHORTEST_PAUSE_PART = 0.25
LEASE_SECONDS = 0.5  # for which units granted ahead may be used
LEASED_BELOW = 0.5  # of the burst in use nothing more is granted ahead
LEASE_PART = 0.125  # of the burst that a lease may hold
SKIP_SECONDS = 1.0  # for which a member that left asks unanswered is not asked
UNANSWERED_LIMIT = 2  # asks in a row without an answer after which a member is skipped
REPORTS_KEPT = 256  # tenants at most whose use is still to be told to one coordinator
WAITING_KEPT = 16  # requests at most that wait behind an ask for the same tenant
RATE_MEMORY_SECONDS = 2.0  # in which an observed rate of use loses most of its weight
KNOWING_WINDOWS = 2.0  # after so many windows (burst / rate) since its start a coordinator knows the total
STALE_WINDOWS = 4.0  # after so many a total that was told says nothing more

Admit = Callable[[Request, bool], None]


class Within(Protocol):
    """Whether units fit a quota, as far as it is known."""

    def __call__(self, quota: Quota, units: float, told: bool, ceiling_granted: bool = False) -> bool:
        """`told`: its total is known; `ceiling_granted`: no share of the ceiling is needed."""


class Coordination:
    """Both roles of one gateway: it asks the coordinators of tenants, and is one itself."""

    def __init__(self, gateway: Kept, admit: Admit, within: Within) -> None:
        """`admit` carries out the decision on a request."""
        self.gateway, self.admit, self.within = gateway, admit, within
        per_second = INTAKE_PART * gateway.settings.peer_intake
        self.budget = TokenBucket(per_second, max(1.0, per_second))
        self.answer_seconds = 0.05  # until a total asked for is back, learnt
        self.unreported: dict[int, dict[bytes, Quota]] = {}  # use not told yet, by receiver
        self.unanswered: dict[int, int] = {}  # asks in a row, by member

    # A member's side.

    def arrive(self, request: Request) -> None:
        """Decides on a request, at once or when the totals asked for are back."""
        quota, now = request.quota, self.gateway.now
        if quota.lease >= request.units and now < quota.lease_until:
            quota.lease -= request.units
            self._admit_granted(request)
        elif quota.asking is not None and len(quota.waiting) < WAITING_KEPT:
            quota.waiting.append(request)
        elif now < quota.shut_until or not self._may_fit(quota, request.units):
            self.admit(request, False)
        else:
            self._ask_or_estimate(request)

    def _may_fit(self, quota: Quota, units: float) -> bool:
        """False where what is known already rules a request out."""
        return quota.own + quota.others + units / quota.part <= quota.plan.burst

    def _ask_or_estimate(self, request: Request) -> None:
        quota, now = request.quota, self.gateway.now
        far = self._expected_use(quota) + request.units <= FAR_FROM_QUOTA * quota.plan.burst
        coordinator = self._coordinators(quota)[0]
        if coordinator == self.gateway.settings.number:
            self._ask(request, coordinator)
            return
        untold = quota.key in self.unreported.get(coordinator, {})
        fits = far and not untold and self.within(quota, request.units, True)
        short = self.budget.level(now) < RELAXED_BELOW
        if (fits and short) or not self.budget.take(now, 1):
            self._admit_unasked(request, coordinator, far)
        else:
            self._ask(request, coordinator)

    def _expected_use(self, quota: Quota) -> float:
        """What is used of the burst if the tenant goes on as it did; all of it where nothing is known."""
        window = quota.plan.burst / quota.plan.rate
        age = self.gateway.now - quota.total_at
        if age > STALE_WINDOWS * window:
            return quota.plan.burst
        return quota.own + quota.others + quota.use_rate * min(age, window)

    def _admit_unasked(self, request: Request, coordinator: int, known: bool) -> None:
        """By what is known alone; the use is told to the coordinator with a later message."""
        quota = request.quota
        self.admit(request, self.within(quota, request.units, known))
        if request.attempts:
            self._report_later(coordinator, quota)

    def _report_later(self, receiver: int, quota: Quota) -> None:
        reports = self.unreported.setdefault(receiver, {})
        if len(reports) < REPORTS_KEPT:
            reports[quota.key] = quota

    def _coordinators(self, quota: Quota) -> list[int]:
        """The members that answer, in the order in which they coordinate; never none."""
        candidates = self.gateway.members(quota, coordinator_place(quota))[:CANDIDATES]
        own = self.gateway.settings.number
        return [n for n in candidates if n == own or self.gateway.answers(n)] or candidates

    def _ask(self, request: Request, coordinator: int) -> None:
        """The request waits until its units are granted and the total is back."""
        quota, gateway = request.quota, self.gateway
        quota.asking, quota.grantor, quota.lease = request, coordinator, 0.0
        quota.owing, quota.told, quota.checked = [], False, False
        quota.granted, quota.ceiling_granted = request.units, False
        if coordinator == gateway.settings.number:
            self._grant_itself(quota, request.units)
            self._check_or_decide(request, gateway.now - gateway.started_at)
        else:
            quota.granted += self._lease_wanted(quota, request.units)
            self._question(request, coordinator, MessageKind.ASK)

    def _grant_itself(self, quota: Quota, units: float) -> None:
        """This gateway is the coordinator: the total is at hand."""
        quota.told, quota.total_at, quota.others = True, self.gateway.now, quota.member_use
        if quota.plan.ceiling_rate and quota.grant_credit >= units:
            quota.grant_credit -= units
            quota.ceiling_granted = True

    def _lease_wanted(self, quota: Quota, units: float) -> float:
        """What this member is likely to need soon, in whole requests of this size."""
        likely = max(quota.own_rate * LEASE_SECONDS / 2, sum(one.units for one in quota.waiting))
        return units * int(min(LEASE_PART * quota.plan.burst, likely) / units)

    def _question(self, request: Request, receiver: int, kind: MessageKind) -> None:
        quota, gateway = request.quota, self.gateway
        quota.owing, quota.asked_at = [receiver], gateway.now
        units = round(quota.granted * SCALE) if kind is MessageKind.ASK else 0
        count = (quota.counts[quota.place] + units) & 0xFFFF
        level = quota.own + units / SCALE
        entry = packed(gateway.settings.plans, quota, kind, quota.place, level, count, units)
        self._send(receiver, entry, quota)
        gateway.set_timer(2 * self.answer_seconds + 2 * gateway.settings.tick, request)

    def _send(self, receiver: int, entry: bytes, quota: Quota | None = None) -> None:
        """One message, with reports of use that wait for the same receiver; of `quota` it tells itself."""
        reports = self.unreported.get(receiver, {})
        if quota is not None:
            reports.pop(quota.key, None)
        room = (ROOM - len(entry)) // ENTRY.size
        for key in list(reports)[:room]:
            entry += self._report(reports.pop(key))
        self.gateway.actions.append(i.SendPeerMessage(receiver, seal(entry)))

    def _report(self, quota: Quota) -> bytes:
        return packed(self.gateway.settings.plans, quota, MessageKind.TELL, quota.place, quota.own)

    def total(self, quota: Quota, sender: int, entry: Entry) -> None:
        """A coordinator answers with what it granted, the total, and how long it has been up."""
        gateway = self.gateway
        quota.owing.remove(sender)
        self.unanswered.pop(sender, None)
        self.answer_seconds += 0.1 * (min(gateway.now - quota.asked_at, 0.5) - self.answer_seconds)
        granted = (entry.count - quota.counts[quota.place]) & 0xFFFF
        granted = 0 if granted > 0x7FFF else granted
        others = max(0.0, (entry.level - granted) / SCALE - quota.own)
        if sender == quota.grantor:
            quota.granted, quota.ceiling_granted = granted / SCALE, granted > 0
            self._observe(quota, others)
        quota.others = max(others, quota.others) if quota.told else others
        quota.told = True
        if quota.grantor == gateway.settings.number:  # it has started lately: what it was told it knows now
            quota.member_use = quota.others
        if quota.asking is not None:
            self._check_or_decide(quota.asking, entry.units / SCALE)

    def _check_or_decide(self, request: Request, seconds_up: float) -> None:
        """Where the grantor has started lately the next coordinator is asked for its total too."""
        quota = request.quota
        knows = seconds_up > KNOWING_WINDOWS * quota.plan.burst / quota.plan.rate
        passed_over = {quota.grantor, self.gateway.settings.number, *quota.silent_coordinators}
        others = [n for n in self._coordinators(quota) if n not in passed_over]
        fits = quota.granted >= request.units
        if not knows and not quota.checked and others and fits and self.budget.take(self.gateway.now, 1):
            quota.checked = True
            self._question(request, others[0], MessageKind.CHECK)
        else:
            self.decide(request)

    def _observe(self, quota: Quota, others: float) -> None:
        """Learns how fast the other members use the quota, beside what drains."""
        now = self.gateway.now
        passed = now - quota.total_at
        if 0.0 < passed <= 10.0:
            grown = max(0.0, others - quota.others) + min(quota.others, quota.plan.rate * passed)
            weight = min(1.0, passed / RATE_MEMORY_SECONDS)
            quota.use_rate += weight * (grown / passed - quota.use_rate)
        quota.total_at = now

    def decide(self, request: Request) -> None:
        """All that was asked for is back, or its time is over."""
        quota, gateway = request.quota, self.gateway
        for number in quota.owing:
            self._miss(number, quota.asked_at)
        quota.asking = None
        if request.name in gateway.requests:
            if not quota.told and not quota.silent_coordinators and self._ask_next(request):
                return
            self._decide_by_grant(request)
        quota.silent_coordinators = []
        waiting, quota.waiting = quota.waiting, []
        for one in waiting:
            if one.name in gateway.requests:
                self.arrive(one)

    def _ask_next(self, request: Request) -> bool:
        """One coordinator was silent: once the next one is asked, if the budget allows."""
        quota = request.quota
        quota.silent_coordinators = [quota.grantor]
        others = [n for n in self._coordinators(quota) if n != quota.grantor]
        if not others or not self.budget.take(self.gateway.now, 1):
            return False
        self._ask(request, others[0])
        return True

    def _decide_by_grant(self, request: Request) -> None:
        quota, units = request.quota, request.units
        fits = quota.granted >= units and self.within(quota, units, quota.told, quota.ceiling_granted)
        if quota.told:
            self._note_refusal(quota, units, fits)
        if not fits:
            self.admit(request, False)
            return
        if quota.told and quota.grantor != self.gateway.settings.number:
            quota.lease, quota.lease_until = quota.granted - units, self.gateway.now + LEASE_SECONDS
        self._admit_granted(request)
        self._tell_secondary(quota)

    def _note_refusal(self, quota: Quota, units: float, fits: bool) -> None:
        """Each refusal in a row doubles the pause, so that one tenant cannot flood its coordinators."""
        plan = quota.plan
        asks_per_second = TENANT_PART * max(1.0, self.gateway.settings.peer_intake)
        all_ask = quota.size / asks_per_second  # seconds in which each member may ask once
        longest = max(LONGEST_PAUSE_PART * plan.burst / plan.rate, all_ask)
        doubled = units * 2.0 ** min(quota.refusals, 9) / plan.rate
        pause = min(max(doubled, all_ask * SHORTEST_PAUSE_PART), longest)
        quota.refusals = 0 if fits else quota.refusals + 1
        quota.shut_until = 0.0 if fits else self.gateway.now + pause

    def _admit_granted(self, request: Request) -> None:
        quota = request.quota
        request.ceiling_granted = quota.ceiling_granted
        self.admit(request, self.within(quota, request.units, quota.told, quota.ceiling_granted))

    def _tell_secondary(self, quota: Quota) -> None:
        """It stands in for the primary one: at once where the budget allows, else with a later message."""
        own = self.gateway.settings.number
        others = [n for n in self._coordinators(quota)[:2] if n not in (quota.grantor, own)]
        if not others:
            return
        now = self.gateway.now
        if self.budget.level(now) >= TELL_ABOVE and self.budget.take(now, 1):
            self._send(others[0], self._report(quota), quota)
        else:
            self._report_later(others[0], quota)

    def _miss(self, number: int, asked_at: float) -> None:
        """A member that leaves asks unanswered, and is not heard of otherwise, is skipped for a while."""
        peer = self.gateway.peers[number]
        missed = 0 if peer.heard >= asked_at else self.unanswered.get(number, 0) + 1
        self.unanswered[number] = missed
        if missed >= UNANSWERED_LIMIT:
            peer.skip_until = self.gateway.now + SKIP_SECONDS

    # A coordinator's side.

    def asked(self, quota: Quota, sender: int, entry: Entry) -> None:
        """Grants units as far as they fit, and tells the total with them."""
        gateway = self.gateway
        place = (sender - entry.first) % gateway.settings.gateways
        before, own_level = (entry.count - entry.units) & 0xFFFF, max(0, entry.level - entry.units)
        self._settle(quota, place, before, own_level)
        granted = self._grantable(quota, entry.units)
        quota.member_use += granted / SCALE / quota.part
        quota.grant_credit -= granted / SCALE
        quota.counts[place] = (before + granted) & 0xFFFF
        level, seconds_up = quota.own + quota.member_use, gateway.now - gateway.started_at
        total = packed(
            gateway.settings.plans,
            quota,
            MessageKind.TOTAL,
            place,
            level,
            units=min(0xFFFF, round(seconds_up * SCALE)),
        )
        self._send(sender, total)

    def told(self, quota: Quota, entry: Entry) -> None:
        """A member tells its use; what it was granted and has not used yet it may still use."""
        known = quota.counts.get(entry.place)
        if known is None or not 0 < (known - entry.count) & 0xFFFF <= self._most_granted(quota):
            self._settle(quota, entry.place, entry.count, entry.level)

    def _settle(self, quota: Quota, place: int, count: int, own_level: int) -> None:
        """Takes what a member used unasked, and gives back what it was granted and did not use.

        Of the ceiling nothing is given back: that it was not used is only a member's word.
        """
        known = quota.counts.get(place)
        quota.counts[place] = count
        if known is None:
            # it may be in what another coordinator told of all
            quota.member_use = max(quota.member_use, own_level / SCALE / quota.part)
            return
        unused = (known - count) & 0xFFFF
        if unused <= self._most_granted(quota):
            quota.member_use = max(0.0, quota.member_use - unused / SCALE / quota.part)
        else:
            more = (count - known) & 0xFFFF
            more = more if more <= 0x7FFF else own_level  # one that started anew counts from nought
            quota.member_use += min(more, own_level) / SCALE / quota.part
        # what was sent on beyond the quota took nothing from it
        quota.member_use = min(quota.member_use, max(0.0, quota.plan.burst - quota.own))

    def _most_granted(self, quota: Quota) -> int:
        """Units that one ask may have been granted at most, in the fractions that counts are of."""
        return round((LEASE_PART * quota.plan.burst + self.gateway.settings.max_units) * SCALE)

    def _grantable(self, quota: Quota, units: int) -> int:
        """Of the units asked for, in fractions of one: those needed now, and a lease while little is used."""
        used = quota.own + quota.member_use
        room = (quota.plan.burst - used) * quota.part
        spare = (LEASED_BELOW * quota.plan.burst - used) * quota.part
        if quota.plan.ceiling_rate:
            room, spare = min(room, quota.grant_credit), min(spare, quota.grant_credit)
        if spare * SCALE >= units:
            return units
        needed = min(units, round(self.gateway.settings.max_units * SCALE))
        return needed if room * SCALE >= needed else 0
