"""Quotas of rings in which passing totals round would outlast a window: coordinators hold the totals.

A member asks the tenant's primary coordinator before it admits a request: for the units of the request and,
if the tenant is busy, for a lease of a few more. Use is reported to the secondary coordinator, which is asked
if the primary does not reply or has started too recently to know the total.

The number of messages is bounded by the receivers' intake, not by the number of requests. Without budget,
tenants with low use are admitted by the last known total, and their use is reported with a later message to
the coordinator.

A plan's ceiling is divided (ceiling.py): a coordinator grants units of its own part together with those of
the quota, and the members share a small part for what they admit without a grant, so that the ceiling also
holds in a partition.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from hoistfold import interface as i
from hoistfold.codec import ENTRY, MAX_ENTRY_BYTES, encode_message, pack_entry
from hoistfold.state import (
    COUNTS_PER_UNIT,
    Entry,
    GatewayState,
    MessageKind,
    Quota,
    Request,
    primary_coordinator_index,
)
from hoistfold.token_bucket import TokenBucket

INTAKE_SHARE = 0.44  # of a receiver's message intake, for requests and reports; as much again for replies
MAX_CANDIDATES = 6  # ring members considered in the search for reachable coordinators
REPORT_ABOVE = 0.6  # of the budget; below it, reports to the secondary wait for the next message sent there
ESTIMATE_BELOW = 0.5  # of the budget; below it, tenants with low use are admitted by an estimate
LOW_USE_SHARE = 0.5  # of the burst
MAX_PAUSE_WINDOWS = 0.5  # so that a refused tenant is asked for again before half of its window has drained
TENANT_INTAKE_SHARE = 0.25  # of a receiver's intake, for the requests of one repeatedly refused tenant
MIN_PAUSE_SHARE = 0.25  # of the time in which every member may ask once
LEASE_SECONDS = 0.5  # for which units granted in advance are valid
LEASE_BELOW = 0.5  # of the burst; nothing is granted in advance at higher use
LEASE_BURST_SHARE = 0.125  # of the burst, upper bound of one lease
SKIP_SECONDS = 1.0  # for which a member that leaves requests unanswered is not asked
UNANSWERED_LIMIT = 2  # consecutive requests without a reply, after which a member is skipped
MAX_REPORTS = 256  # tenants with use that is still to be reported to one coordinator
MAX_QUEUED = 16  # requests that wait for the same tenant's grant
RATE_DECAY_SECONDS = 2.0  # time constant of the observed rate of use
WARM_UP_WINDOWS = 2.0  # windows (burst / rate) after its start, from which a coordinator knows the total
STALE_WINDOWS = 4.0  # windows after which a reported total says nothing any more

Admit = Callable[[Request, bool], None]


class QuotaCheck(Protocol):
    """Checks whether units fit into a quota, as far as its use is known."""

    def __call__(self, quota: Quota, units: float, known: bool, ceiling_granted: bool = False) -> bool:
        """`known`: whether the total is known; `ceiling_granted`: whether a coordinator granted its part."""


class Coordination:
    """Both roles of a gateway: it asks the coordinators of tenants and is a coordinator itself."""

    def __init__(self, gateway: GatewayState, admit: Admit, fits_quota: QuotaCheck) -> None:
        """`admit` carries out the decision on a request."""
        self.gateway, self.admit, self.fits_quota = gateway, admit, fits_quota
        per_second = INTAKE_SHARE * gateway.settings.peer_intake
        self.budget = TokenBucket(per_second, max(1.0, per_second))
        self.reply_seconds = 0.05  # until a reply arrives, learned
        self.unreported: dict[int, dict[bytes, Quota]] = {}  # use to be reported, by receiver
        self.unanswered: dict[int, int] = {}  # consecutive requests without a reply, by member

    # Member.

    def request_arrived(self, request: Request) -> None:
        """Decides on a request, at once or when its grant has arrived."""
        quota, now = request.quota, self.gateway.now
        if quota.lease >= request.units and now < quota.lease_expires_at:
            quota.lease -= request.units
            self._admit_granted(request)
        elif quota.acquiring is not None and len(quota.queued) < MAX_QUEUED:
            quota.queued.append(request)
        elif now < quota.blocked_until or not self._may_fit(quota, request.units):
            self.admit(request, False)
        else:
            self._acquire_or_estimate(request)

    def _may_fit(self, quota: Quota, units: float) -> bool:
        """False if the known use already rules the request out."""
        return quota.own + quota.others + units / quota.share <= quota.plan.burst

    def _acquire_or_estimate(self, request: Request) -> None:
        quota, now = request.quota, self.gateway.now
        low_use = self._expected_use(quota) + request.units <= LOW_USE_SHARE * quota.plan.burst
        coordinator = self._coordinators(quota)[0]
        if coordinator == self.gateway.settings.number:
            self._acquire(request, coordinator)
            return
        unreported = quota.key in self.unreported.get(coordinator, {})
        fits = low_use and not unreported and self.fits_quota(quota, request.units, True)
        low_budget = self.budget.level(now) < ESTIMATE_BELOW
        if (fits and low_budget) or not self.budget.take(now, 1):
            self._admit_by_estimate(request, coordinator, low_use)
        else:
            self._acquire(request, coordinator)

    def _expected_use(self, quota: Quota) -> float:
        """Expected use if the tenant keeps its rate; the whole burst if the last total is stale."""
        window = quota.plan.burst / quota.plan.rate
        age = self.gateway.now - quota.total_at
        if age > STALE_WINDOWS * window:
            return quota.plan.burst
        return quota.own + quota.others + quota.observed_others_rate * min(age, window)

    def _admit_by_estimate(self, request: Request, coordinator: int, known: bool) -> None:
        """Decides by the known use; the units are reported to the coordinator with a later message."""
        quota = request.quota
        self.admit(request, self.fits_quota(quota, request.units, known))
        if request.attempts:
            self._report_later(coordinator, quota)

    def _report_later(self, receiver: int, quota: Quota) -> None:
        reports = self.unreported.setdefault(receiver, {})
        if len(reports) < MAX_REPORTS:
            reports[quota.key] = quota

    def _coordinators(self, quota: Quota) -> list[int]:
        """Reachable members in the order in which they coordinate; never empty."""
        candidates = self.gateway.members(quota, primary_coordinator_index(quota))[:MAX_CANDIDATES]
        own = self.gateway.settings.number
        return [n for n in candidates if n == own or self.gateway.reachable(n)] or candidates

    def _acquire(self, request: Request, coordinator: int) -> None:
        """Requests units from a coordinator; the request waits for the reply."""
        quota, gateway = request.quota, self.gateway
        quota.acquiring, quota.grantor, quota.lease = request, coordinator, 0.0
        quota.awaiting_reply, quota.total_known, quota.queried = [], False, False
        quota.granted_units, quota.ceiling_granted = request.units, False
        if coordinator == gateway.settings.number:
            self._grant_to_self(quota, request.units)
            self._query_or_decide(request, gateway.now - gateway.started_at)
        else:
            quota.granted_units += self._lease_wanted(quota, request.units)
            self._send_request(request, coordinator, MessageKind.ACQUIRE)

    def _grant_to_self(self, quota: Quota, units: float) -> None:
        """Grants units as coordinator; the total is known locally."""
        quota.total_known, quota.total_at, quota.others = True, self.gateway.now, quota.member_use
        if quota.plan.ceiling_rate and quota.grantable_ceiling >= units:
            quota.grantable_ceiling -= units
            quota.ceiling_granted = True

    def _lease_wanted(self, quota: Quota, units: float) -> float:
        """Units that this member is likely to need soon, in multiples of the request's units."""
        expected = max(quota.own_rate * LEASE_SECONDS / 2, sum(request.units for request in quota.queued))
        return units * int(min(LEASE_BURST_SHARE * quota.plan.burst, expected) / units)

    def _send_request(self, request: Request, receiver: int, kind: MessageKind) -> None:
        quota, gateway = request.quota, self.gateway
        quota.awaiting_reply, quota.acquired_at = [receiver], gateway.now
        units = round(quota.granted_units * COUNTS_PER_UNIT) if kind is MessageKind.ACQUIRE else 0
        count = (quota.counts[quota.index] + units) & 0xFFFF
        level = quota.own + units / COUNTS_PER_UNIT
        entry = pack_entry(gateway.settings.plans, quota, kind, quota.index, level, count, units)
        self._send_message(receiver, entry, quota)
        gateway.set_timer(2 * self.reply_seconds + 2 * gateway.settings.tick, request)

    def _send_message(self, receiver: int, entry: bytes, quota: Quota | None = None) -> None:
        """Sends an entry and pending reports to a receiver; the entry replaces a report of `quota`."""
        reports = self.unreported.get(receiver, {})
        if quota is not None:
            reports.pop(quota.key, None)
        capacity = (MAX_ENTRY_BYTES - len(entry)) // ENTRY.size
        for key in list(reports)[:capacity]:
            entry += self._report(reports.pop(key))
        self.gateway.actions.append(i.SendPeerMessage(receiver, encode_message(entry)))

    def _report(self, quota: Quota) -> bytes:
        return pack_entry(self.gateway.settings.plans, quota, MessageKind.REPORT, quota.index, quota.own)

    def reply_received(self, quota: Quota, sender: int, entry: Entry) -> None:
        """Handles a reply: the granted units, the total, and the coordinator's uptime."""
        gateway = self.gateway
        quota.awaiting_reply.remove(sender)
        self.unanswered.pop(sender, None)
        self.reply_seconds += 0.1 * (min(gateway.now - quota.acquired_at, 0.5) - self.reply_seconds)
        granted = (entry.count - quota.counts[quota.index]) & 0xFFFF
        granted = 0 if granted > 0x7FFF else granted
        others = max(0.0, (entry.level - granted) / COUNTS_PER_UNIT - quota.own)
        if sender == quota.grantor:
            quota.granted_units, quota.ceiling_granted = granted / COUNTS_PER_UNIT, granted > 0
            self._update_others_rate(quota, others)
        quota.others = max(others, quota.others) if quota.total_known else others
        quota.total_known = True
        if quota.grantor == gateway.settings.number:  # recently started: adopts the total that was queried
            quota.member_use = quota.others
        if quota.acquiring is not None:
            self._query_or_decide(quota.acquiring, entry.units / COUNTS_PER_UNIT)

    def _query_or_decide(self, request: Request, seconds_up: float) -> None:
        """Queries the next coordinator's total too if the grantor has started too recently to know it."""
        quota = request.quota
        warmed_up = seconds_up > WARM_UP_WINDOWS * quota.plan.burst / quota.plan.rate
        excluded = {quota.grantor, self.gateway.settings.number, *quota.unresponsive_coordinators}
        others = [n for n in self._coordinators(quota) if n not in excluded]
        fits = quota.granted_units >= request.units
        if not warmed_up and not quota.queried and others and fits and self.budget.take(self.gateway.now, 1):
            quota.queried = True
            self._send_request(request, others[0], MessageKind.QUERY)
        else:
            self.decide(request)

    def _update_others_rate(self, quota: Quota, others: float) -> None:
        """Estimates the rate at which the other members use the quota, including what drains."""
        now = self.gateway.now
        elapsed = now - quota.total_at
        if 0.0 < elapsed <= 10.0:
            grown = max(0.0, others - quota.others) + min(quota.others, quota.plan.rate * elapsed)
            weight = min(1.0, elapsed / RATE_DECAY_SECONDS)
            quota.observed_others_rate += weight * (grown / elapsed - quota.observed_others_rate)
        quota.total_at = now

    def decide(self, request: Request) -> None:
        """Decides after all replies have arrived or the timeout has expired."""
        quota, gateway = request.quota, self.gateway
        for number in quota.awaiting_reply:
            self._record_missed_reply(number, quota.acquired_at)
        quota.acquiring = None
        if request.name in gateway.requests:
            if (
                not quota.total_known
                and not quota.unresponsive_coordinators
                and self._acquire_from_next(request)
            ):
                return
            self._decide_by_grant(request)
        quota.unresponsive_coordinators = []
        queued, quota.queued = quota.queued, []
        for following in queued:
            if following.name in gateway.requests:
                self.request_arrived(following)

    def _acquire_from_next(self, request: Request) -> bool:
        """Asks the next coordinator after a missing reply, once and only within the budget."""
        quota = request.quota
        quota.unresponsive_coordinators = [quota.grantor]
        others = [n for n in self._coordinators(quota) if n != quota.grantor]
        if not others or not self.budget.take(self.gateway.now, 1):
            return False
        self._acquire(request, others[0])
        return True

    def _decide_by_grant(self, request: Request) -> None:
        quota, units = request.quota, request.units
        fits = quota.granted_units >= units and self.fits_quota(
            quota, units, quota.total_known, quota.ceiling_granted
        )
        if quota.total_known:
            self._record_refusal(quota, units, fits)
        if not fits:
            self.admit(request, False)
            return
        if quota.total_known and quota.grantor != self.gateway.settings.number:
            quota.lease, quota.lease_expires_at = (
                quota.granted_units - units,
                self.gateway.now + LEASE_SECONDS,
            )
        self._admit_granted(request)
        self._report_to_secondary(quota)

    def _record_refusal(self, quota: Quota, units: float, fits: bool) -> None:
        """Doubles the pause with each consecutive refusal, so that no tenant can flood its coordinators."""
        plan = quota.plan
        requests_per_second = TENANT_INTAKE_SHARE * max(1.0, self.gateway.settings.peer_intake)
        round_seconds = quota.size / requests_per_second  # in which each member may ask once
        longest = max(MAX_PAUSE_WINDOWS * plan.burst / plan.rate, round_seconds)
        doubled = units * 2.0 ** min(quota.refusals, 9) / plan.rate
        pause = min(max(doubled, round_seconds * MIN_PAUSE_SHARE), longest)
        quota.refusals = 0 if fits else quota.refusals + 1
        quota.blocked_until = 0.0 if fits else self.gateway.now + pause

    def _admit_granted(self, request: Request) -> None:
        quota = request.quota
        request.ceiling_granted = quota.ceiling_granted
        self.admit(request, self.fits_quota(quota, request.units, quota.total_known, quota.ceiling_granted))

    def _report_to_secondary(self, quota: Quota) -> None:
        """Reports to the secondary coordinator, at once if the budget allows, else with a later message."""
        own = self.gateway.settings.number
        others = [n for n in self._coordinators(quota)[:2] if n not in (quota.grantor, own)]
        if not others:
            return
        now = self.gateway.now
        if self.budget.level(now) >= REPORT_ABOVE and self.budget.take(now, 1):
            self._send_message(others[0], self._report(quota), quota)
        else:
            self._report_later(others[0], quota)

    def _record_missed_reply(self, number: int, requested_at: float) -> None:
        """Skips a member for a while if it leaves requests unanswered and sends nothing else either."""
        peer = self.gateway.peers[number]
        missed = 0 if peer.last_seen >= requested_at else self.unanswered.get(number, 0) + 1
        self.unanswered[number] = missed
        if missed >= UNANSWERED_LIMIT:
            peer.skip_until = self.gateway.now + SKIP_SECONDS

    # Coordinator.

    def request_received(self, quota: Quota, sender: int, entry: Entry) -> None:
        """Grants units as far as they fit and replies with the total."""
        gateway = self.gateway
        index = (sender - entry.first) % gateway.settings.gateways
        count_before, own_level = (entry.count - entry.units) & 0xFFFF, max(0, entry.level - entry.units)
        self._reconcile_use(quota, index, count_before, own_level)
        granted = self._grantable(quota, entry.units)
        quota.member_use += granted / COUNTS_PER_UNIT / quota.share
        quota.grantable_ceiling -= granted / COUNTS_PER_UNIT
        quota.counts[index] = (count_before + granted) & 0xFFFF
        level, seconds_up = quota.own + quota.member_use, gateway.now - gateway.started_at
        reply = pack_entry(
            gateway.settings.plans,
            quota,
            MessageKind.REPLY,
            index,
            level,
            units=min(0xFFFF, round(seconds_up * COUNTS_PER_UNIT)),
        )
        self._send_message(sender, reply)

    def report_received(self, quota: Quota, entry: Entry) -> None:
        """Handles a report of use; units of a lease that is not used up yet stay reserved."""
        known = quota.counts.get(entry.index)
        if known is None or not 0 < (known - entry.count) & 0xFFFF <= self._max_grant(quota):
            self._reconcile_use(quota, entry.index, entry.count, entry.level)

    def _reconcile_use(self, quota: Quota, index: int, count: int, own_level: int) -> None:
        """Adds use without a grant and returns granted units that were not used.

        Units of the ceiling are never returned, as the report alone does not prove that they were not used.
        """
        known = quota.counts.get(index)
        quota.counts[index] = count
        if known is None:
            # may be included in the total of another coordinator
            quota.member_use = max(quota.member_use, own_level / COUNTS_PER_UNIT / quota.share)
            return
        unused = (known - count) & 0xFFFF
        if unused <= self._max_grant(quota):
            quota.member_use = max(0.0, quota.member_use - unused / COUNTS_PER_UNIT / quota.share)
        else:
            increase = (count - known) & 0xFFFF
            increase = increase if increase <= 0x7FFF else own_level  # after a restart counts begin at 0
            quota.member_use += min(increase, own_level) / COUNTS_PER_UNIT / quota.share
        # Requests sent over quota were not charged to it.
        quota.member_use = min(quota.member_use, max(0.0, quota.plan.burst - quota.own))

    def _max_grant(self, quota: Quota) -> int:
        """Upper bound of a single grant, in counts."""
        return round(
            (LEASE_BURST_SHARE * quota.plan.burst + self.gateway.settings.max_units) * COUNTS_PER_UNIT
        )

    def _grantable(self, quota: Quota, units: int) -> int:
        """Grantable counts out of those requested: what is needed now, plus a lease while use is low."""
        used = quota.own + quota.member_use
        available = (quota.plan.burst - used) * quota.share
        available_ahead = (LEASE_BELOW * quota.plan.burst - used) * quota.share
        if quota.plan.ceiling_rate:
            available, available_ahead = (
                min(available, quota.grantable_ceiling),
                min(available_ahead, quota.grantable_ceiling),
            )
        if available_ahead * COUNTS_PER_UNIT >= units:
            return units
        needed = min(units, round(self.gateway.settings.max_units * COUNTS_PER_UNIT))
        return needed if available * COUNTS_PER_UNIT >= needed else 0
