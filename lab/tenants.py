"""Quotas of a whole fleet in simulated time: tenants of several plans, message loss, bounded intake.

The fleet of `lab.vast` with tenants whose ingress sets overlap, and with backends so fast that capacity is
never the limit: every refusal is for quota. An ideal bucket that sees every try in order classifies each
decision.
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
# Tenants of each plan per ingress, as in a deployment of 32 ingresses and 14 backends.
PER_INGRESS = {"basic": 3.25, "office": 1.2, "chambers": 0.4}
# Shares of tenants that exceed their quota all the time, exceed it in spikes, or use nearly all of it.
HEAVY, SPIKY, FULL = 0.10, 0.16, 0.15
SPIKE_SECONDS, SPIKE_EVERY_SECONDS = 2.0, 15.0
RETRIES = 2  # of a client after a refusal
BACKOFF_SECONDS = 0.1
LOSS = 0.05  # of messages, before the intake limit
DELAY_SECONDS = (0.0011, 0.038)
CLIENTS = -1  # instead of a gateway's number: an arrival event of a tenant


@dataclass(slots=True)
class Tenant:
    """A tenant, the ingresses that its requests come through, and the ideal bucket of its quota."""

    name: str
    plan: i.Plan
    first: int
    size: int
    weights: list[float]
    mean_rate: float  # tries a second, not counting retries
    spike_rate: float  # the same during a spike
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
        """Adds units to the level of the ceiling's bucket and returns it."""
        drained = self.plan.ceiling_rate * (now - self.ceiling_at)
        self.ceiling_level = max(0.0, self.ceiling_level - drained) + units
        self.ceiling_at = now
        return self.ceiling_level


@dataclass(slots=True)
class Outcome:
    """Counts of tries, classified by the ideal bucket."""

    tries: int = 0
    inside: int = 0  # tries that the ideal bucket admits
    refused_inside: int = 0
    refused_half_unused: int = 0  # refused with half of the burst or more unused
    sent: int = 0
    sent_beyond: int = 0  # outside quota, of plans that do not pay for excess
    ceiling_overrun: float = 0.0  # most units above a ceiling, not counting its slack
    waits: list[float] = field(default_factory=list)  # seconds from a try to its first attempt


class TenantFleet(Fleet):
    """Gateways whose tenants spread requests unevenly over many of them."""

    def __init__(self, gateways: int, seed: int = 1, intake: float = 40.0, load: float = 1.0) -> None:
        """`load`: multiple of the usual number of tenants; `intake`: messages a second per gateway."""
        self.tenants: dict[str, Tenant] = {}
        self.intake = intake
        self.outcome = Outcome()
        self.undecided: dict[
            str, tuple[Tenant, int, float]
        ] = {}  # by request: tenant, earlier tries, arrival time
        self.cut_off: set[int] = set()  # gateways that only reach each other
        self.received: dict[tuple[int, int], int] = {}  # message counts by receiver and second
        self.changes: dict[str, Any] = {"peer_intake": intake, "plans": PLANS, "max_units": 1.0}
        super().__init__(gateways, max(8, gateways), seed, rate=1.0, speedup=100.0, **self.changes)
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
        self.post_at(at, CLIENTS, i.RequestCancelled(tenant.name))

    def step(self, number: int, event: i.Event | None) -> None:
        """Handles a tenant's arrival or a gateway's event."""
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
        """Runs up to a time, then resets the counters."""
        self.run(until)
        self.outcome = Outcome()
        self.received.clear()

    def restart(self, number: int) -> None:
        """Restarts a gateway with empty state; its open requests are dropped."""
        gateway = Gateway(settings(number, len(self.live), **self.changes), 7000 + number)
        self.queue = [entry for entry in self.queue if entry[2] != number]
        heapq.heapify(self.queue)
        self.live[number] = gateway
        self.apply_actions(number, gateway.handle(self.now, i.Started()))
        self.send_backend_list(number, i.ListKind.SAVED)

    def deliver(self, sender: int, action: i.SendPeerMessage) -> None:
        """Delivers a message unless it is lost, crosses a partition, or exceeds the receiver's intake."""
        assert action.peer is not None
        second = (action.peer, int(self.now))
        self.received[second] = self.received.get(second, 0) + 1
        apart = (sender in self.cut_off) != (action.peer in self.cut_off)
        if apart or self.received[second] > self.intake or self.random.random() < LOSS:
            self.counts["lost"] += 1
            return
        self.post(self.random.uniform(*DELAY_SECONDS), action.peer, i.PeerMessage(sender, action.content))

    def send(self, number: int, action: i.Send) -> None:
        """Classifies a first attempt by the tenant's ideal bucket."""
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
        """Classifies a refusal for quota and schedules the client's retry."""
        tenant, tries, _ = self.undecided.pop(action.request)
        if action.reason == "quota":
            self._judge(tenant, tenant.used(self.now), sent=False)
        if tries < RETRIES:
            self.post_at(
                self.now + BACKOFF_SECONDS, CLIENTS, i.RequestCancelled(f"{tenant.name}/{tries + 1}")
            )

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
        """Most messages that a gateway received in one second, as a fraction of its intake."""
        return max(self.received.values(), default=0) / self.intake

    def messages_to_intake(self) -> float:
        """Mean messages a second sent to a gateway, as a fraction of its intake."""
        seconds = len({second for _, second in self.received})
        return sum(self.received.values()) / (len(self.live) * max(1, seconds) * self.intake)
