"""Quotas of a whole fleet in simulated time: tenants of several plans, lossy messages, a bounded intake.

The fleet of `lab.vast` with tenants whose sets of ingresses overlap, and with backends so fast that room
never binds: what is refused is refused for quota. A store that sees every try in order judges each decision.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from typing import Any

from hoistfold import interface as i
from hoistfold.gateway import Gateway
from lab.vast import CHANGE, VIEW, Fleet, settings

BASIC = i.Plan("basic", 1.1, 6.0, 0, 0.88, 0.3, 0.0, 0.0, 0.0, 0.0)
OFFICE = i.Plan("office", 4.8, 11.0, 0, 1.1, 0.0, 0.6, 0.0, 0.0, 0.0)
CHAMBERS = i.Plan("chambers", 18.0, 25.0, 0, 1.6, 0.0, 1.0, 35.0, 47.0, 5.0)
PLANS = (BASIC, OFFICE, CHAMBERS)
# Tenants of each plan for an ingress, as on a day with 32 ingresses before 14 backends.
PER_INGRESS = {"basic": 3.25, "office": 1.2, "chambers": 0.4}
# Of the tenants: those that ask too much all the time, now and then, and those that use nearly all.
HEAVY, SPIKY, FULL = 0.10, 0.16, 0.15
SPIKE_SECONDS, SPIKE_EVERY_SECONDS = 2.0, 15.0
RETRIES = 2  # by the client after a refusal
BACKOFF_SECONDS = 0.1
LOSS = 0.05  # of the messages, whatever the intake
DELAY_SECONDS = (0.0011, 0.038)
CLIENTS = -1  # in the place of a gateway's number: an event of the tenants' own


@dataclass(slots=True)
class Tenant:
    """A customer, the ingresses it comes in by, and the store that its quota describes."""

    name: str
    plan: i.Plan
    first: int
    size: int
    weights: list[float]
    mean_rate: float  # tries a second, without retries
    spike_rate: float  # the same while it spikes
    spike_offset: float
    level: float = 0.0  # units used of the burst
    level_at: float = 0.0
    ceiling_level: float = 0.0
    ceiling_at: float = 0.0

    def rate(self, now: float) -> float:
        """Tries a second at this moment."""
        spikes = (now + self.spike_offset) % SPIKE_EVERY_SECONDS < SPIKE_SECONDS
        return self.spike_rate if spikes else self.mean_rate

    def used(self, now: float) -> float:
        """Units used of the burst at this moment."""
        self.level = max(0.0, self.level - self.plan.rate * (now - self.level_at))
        self.level_at = now
        return self.level

    def take_from_ceiling(self, now: float, units: float) -> float:
        """Takes units of the second store and returns its level."""
        drained = self.plan.ceiling_rate * (now - self.ceiling_at)
        self.ceiling_level = max(0.0, self.ceiling_level - drained) + units
        self.ceiling_at = now
        return self.ceiling_level


@dataclass(slots=True)
class Outcome:
    """Counts of tries, by what the store that sees everything says of them."""

    tries: int = 0
    inside: int = 0  # tries whose units the store held
    refused_inside: int = 0
    refused_half_unused: int = 0  # refused with half of the burst or more unused
    sent: int = 0
    sent_beyond: int = 0  # of plans that do not pay for it
    ceiling_overrun: float = 0.0  # units past a ceiling at the worst moment, without its slack
    waits: list[float] = field(default_factory=list)  # seconds from a try to its first attempt


class TenantFleet(Fleet):
    """Gateways whose tenants come in unevenly through many of them."""

    def __init__(self, gateways: int, seed: int = 1, intake: float = 40.0, load: float = 1.0) -> None:
        """`load`: times the tenants' usual number; `intake`: messages a second that a gateway takes in."""
        self.tenants: dict[str, Tenant] = {}
        self.intake = intake
        self.outcome = Outcome()
        self.undecided: dict[
            str, tuple[Tenant, int, float]
        ] = {}  # by request: tenant, tries before, its time
        self.cut_off: set[int] = set()  # gateways that only hear each other
        self.received: dict[tuple[int, int], int] = {}  # messages by receiver and second
        self.changes: dict[str, Any] = {"peer_intake": intake, "plans": PLANS, "max_units": 1.0}
        super().__init__(gateways, max(8, gateways), seed, rate=1.0, fast=100.0, **self.changes)
        self.queue = [entry for entry in self.queue if entry[3] is not None]
        self.arrivals = random.Random(seed + 1)
        for plan in PLANS:
            for number in range(max(1, round(PER_INGRESS[plan.name] * gateways * load))):
                self._add_tenant(plan, f"{plan.name}-{number}")

    def _add_tenant(self, plan: i.Plan, name: str) -> None:
        rng, gateways = self.arrivals, len(self.live)
        size = max(min(2, gateways), round(gateways * rng.uniform(0.5, 1.0)))
        kind = rng.random()
        mean = spike = plan.rate * rng.uniform(0.22, 0.41)
        if kind < HEAVY:
            mean = spike = plan.rate * rng.uniform(2.1, 5.0)
        elif kind < HEAVY + SPIKY:
            spike = plan.rate * rng.uniform(3.2, 7.9)
        elif kind < HEAVY + SPIKY + FULL:
            mean = spike = plan.rate * 0.85
        weights = [rng.expovariate(1.0) for _ in range(size)]
        first, offset = rng.randrange(gateways), rng.uniform(0, SPIKE_EVERY_SECONDS)
        tenant = Tenant(name, plan, first, size, weights, mean, spike, offset)
        self.tenants[name] = tenant
        self._post_arrival(tenant)

    def _post_arrival(self, tenant: Tenant) -> None:
        at = self.now + self.arrivals.expovariate(tenant.rate(self.now))
        self.push(at, CLIENTS, i.RequestCancelled(tenant.name))

    def step(self, number: int, event: i.Event | None) -> None:
        """An arrival of a tenant's, or a gateway's own event."""
        if number != CLIENTS:
            super().step(number, event)
            return
        assert isinstance(event, i.RequestCancelled)
        name, _, tries = event.request.partition("/")
        tenant = self.tenants[name]
        if not tries:
            self._post_arrival(tenant)
        self._try(tenant, int(tries or 0))

    def _try(self, tenant: Tenant, tries: int) -> None:
        offset = self.arrivals.choices(range(tenant.size), tenant.weights)[0]
        number = (tenant.first + offset) % len(self.live)
        kind = CHANGE if self.arrivals.random() < 0.44 else VIEW
        self.requests += 1
        name = f"r{self.requests}"
        self.undecided[name] = tenant, tries, self.now
        event = i.RequestArrived(
            name, kind.name, tenant.plan.name, tenant.name, kind.deadline, 1.0, tenant.size, tenant.first
        )
        super().step(number, event)

    def settle(self, until: float) -> None:
        """Plays up to a time and counts anew from there."""
        self.run(until)
        self.outcome = Outcome()
        self.received.clear()

    def restart(self, number: int) -> None:
        """A gateway begins anew, empty; what it had open is forgotten."""
        gateway = Gateway(settings(number, len(self.live), **self.changes), 7000 + number)
        self.queue = [entry for entry in self.queue if entry[2] != number]
        heapq.heapify(self.queue)
        self.live[number] = gateway
        self.carry(number, gateway.handle(self.now, i.Started()))
        self.tell_list(number, i.ListKind.SAVED)

    def deliver(self, sender: int, action: i.SendPeerMessage) -> None:
        """A message, lost now and then on its way or past the receiver's intake."""
        assert action.peer is not None
        second = (action.peer, int(self.now))
        self.received[second] = self.received.get(second, 0) + 1
        apart = (sender in self.cut_off) != (action.peer in self.cut_off)
        if apart or self.received[second] > self.intake or self.random.random() < LOSS:
            self.counts["lost"] += 1
            return
        self.post(self.random.uniform(*DELAY_SECONDS), action.peer, i.PeerMessage(sender, action.content))

    def send(self, number: int, action: i.Send) -> None:
        """Judges a first attempt by the tenant's true store."""
        if action.request in self.undecided:
            tenant, _, came = self.undecided.pop(action.request)
            used = tenant.used(self.now)
            self._judge(tenant, used, sent=True)
            self.outcome.waits.append(self.now - came)
            if used + 1.0 <= tenant.plan.burst:
                tenant.level += 1.0
            if tenant.plan.ceiling_rate:
                over = tenant.take_from_ceiling(self.now, 1.0) - tenant.plan.ceiling_burst
                self.outcome.ceiling_overrun = max(self.outcome.ceiling_overrun, over)
        super().send(number, action)

    def refuse(self, number: int, action: i.Refuse) -> None:
        """Judges a refusal for quota, and lets the client come again."""
        tenant, tries, _ = self.undecided.pop(action.request)
        if action.reason == "quota":
            self._judge(tenant, tenant.used(self.now), sent=False)
        if tries < RETRIES:
            self.push(self.now + BACKOFF_SECONDS, CLIENTS, i.RequestCancelled(f"{tenant.name}/{tries + 1}"))

    def _judge(self, tenant: Tenant, used: float, sent: bool) -> None:
        outcome, plan = self.outcome, tenant.plan
        inside = used + 1.0 <= plan.burst
        outcome.tries += 1
        outcome.inside += inside
        outcome.sent += sent
        outcome.sent_beyond += sent and not inside and plan.excess_cost > plan.excess_worth
        outcome.refused_inside += inside and not sent
        outcome.refused_half_unused += used <= plan.burst / 2 and not sent

    def busiest_second(self) -> float:
        """Messages that came to a gateway in its worst second, as a part of its intake."""
        return max(self.received.values(), default=0) / self.intake

    def messages_to_intake(self) -> float:
        """Messages sent in the mean second to a gateway, as a part of its intake."""
        seconds = len({second for _, second in self.received})
        return sum(self.received.values()) / (len(self.live) * max(1, seconds) * self.intake)
