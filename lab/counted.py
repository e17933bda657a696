"""A fleet whose quotas are enforced through the counter alone, in simulated time: `python -m lab.counted`.

Tenants send requests unevenly over the gateways and retry when refused. The counter serves a limited number
of calls per second in order of arrival, rejects calls when its queue is long, and also processes calls whose
callers have timed out. Each decision is compared with an exact store that sees every unit that was sent.
"""

from __future__ import annotations

import math
import random
import sys
from collections import Counter
from dataclasses import dataclass
from typing import Any

from hoistfold import interface as i
from lab.vast import Fleet

PLANS = (
    i.Plan("small", 0.8, 4.0, 0, 0.45, 0.0, 1.0, 0.0, 0.0, 0.0),
    i.Plan("middle", 2.0, 9.0, 0, 0.72, 0.0, 1.2, 0.0, 0.0, 0.0),
    i.Plan("large", 16.0, 30.0, 0, 1.6, 0.0, 1.0, 0.0, 0.0, 0.0),
)
DEMAND_SHARES = (0.4, 0.3, 0.3)  # of the demand within quotas, by plan
CALL_TIMEOUT_SECONDS = 0.08  # after which a call counts as unanswered
ROUND_TRIP_SECONDS = 0.002
MAX_QUEUE_TIMEOUTS = 1.5  # queueing delay, in call timeouts, beyond which a call is rejected
RETRY_PROBABILITY = 0.6  # that a refused try is repeated
MAX_TRIES = 3
ARRIVAL_SIGMA = 1.0  # of the log-normal weights with which a tenant's tries reach its gateways
SILENCE_SECONDS = 2.0  # until a silent connection is closed


@dataclass(slots=True)
class Tenant:
    """A tenant: its demand relative to its rate, and the exact state of its store."""

    name: str
    plan: i.Plan
    first: int
    size: int
    use: float  # demand as a multiple of the rate
    gateway_weights: list[float]  # relative frequency of its tries at each gateway of its set
    level: float = 0.0
    level_at: float = 0.0
    offered_level: float = 0.0  # of a store that admits every first try that fits
    offered_at: float = 0.0

    def used(self, now: float) -> float:
        """Units in the exact store now."""
        self.level = max(0.0, self.level - self.plan.rate * (now - self.level_at))
        self.level_at = now
        return self.level

    def offered(self, now: float) -> bool:
        """Whether a single gateway that sees every first try would admit this one."""
        drained = max(0.0, self.offered_level - self.plan.rate * (now - self.offered_at))
        self.offered_at = now
        fits = drained + 1 <= self.plan.burst
        self.offered_level = drained + fits
        return fits


@dataclass(slots=True)
class StoredTotal:
    """A total of the counter, with the time at which it expires."""

    total: float
    expires_at: float


class CountedFleet(Fleet):
    """Gateways that may not send peer messages, with their tenants and the counter."""

    def __init__(
        self, gateways: int, per_second: float, tries: float, seed: int = 1, silences: float = 0.0
    ) -> None:
        """`per_second`: calls the counter serves; `tries`: first tries per second at each gateway;
        `silences`: how often per second a gateway's connection to the counter stops responding.
        """
        self.per_second, self.free_at, self.silences = per_second, 0.0, silences
        self.totals: dict[int, StoredTotal] = {}
        rng = random.Random(seed)
        self.silent_at = [rng.expovariate(silences) if silences else math.inf for _ in range(gateways)]
        self.answered_at: dict[tuple[int, int], float] = {}  # time of the last answer, by gateway and name
        self.figures: Counter[str] = Counter()
        self.served, self.beyond, self.offered = 0.0, 0.0, 0.0  # in units of plan price
        self.pending: dict[str, tuple[Tenant, int]] = {}  # tenant and number of earlier tries, by request
        self.tenants = list(make_tenants(rng, gateways, tries * gateways))
        self.weights = [tenant.use * tenant.plan.rate for tenant in self.tenants]
        super().__init__(gateways, 2 * gateways, seed, tries, speedup=50.0, **COUNTING)

    def request(self, number: int) -> tuple[int, i.RequestArrived]:
        """The next first try of a random tenant, at a gateway of its set."""
        self.post(self.random.expovariate(self.rate), number, None)
        tenant = self.random.choices(self.tenants, self.weights)[0]
        return self.pick_gateway(tenant), self.make_try(tenant, 0)

    def pick_gateway(self, tenant: Tenant) -> int:
        """A random gateway of the tenant's set."""
        index = self.random.choices(range(tenant.size), tenant.gateway_weights)[0]
        return (tenant.first + index) % len(self.live)

    def make_try(self, tenant: Tenant, earlier_tries: int) -> i.RequestArrived:
        """A try of the tenant, registered as pending."""
        self.requests += 1
        name = f"r{self.requests}"
        self.pending[name] = tenant, earlier_tries
        if not earlier_tries and tenant.offered(self.now):
            self.offered += tenant.plan.price
        return i.RequestArrived(
            name, "view", tenant.plan.name, tenant.name, 4.5, 1.0, tenant.size, tenant.first
        )

    def apply_actions(self, number: int, actions: list[i.Action]) -> None:
        """Carries out a gateway's actions and evaluates its decisions."""
        for action in actions:
            if isinstance(action, i.AddToCounter):
                self.count(number, action)
            elif isinstance(action, i.Send):
                self.judge_sent(action)
            elif isinstance(action, i.Refuse):
                self.judge_refused(action)
        super().apply_actions(number, actions)

    def judge_sent(self, action: i.Send) -> None:
        """Evaluates a request that was sent: was it within the quota by the exact store?"""
        tenant, _ = self.pending.pop(action.request, (None, 0))
        if tenant is None:
            return
        self.figures["sent"] += 1
        if tenant.used(self.now) + 1 <= tenant.plan.burst:
            tenant.level += 1
            self.served += tenant.plan.price
        else:
            self.figures["beyond"] += 1
            self.beyond += tenant.plan.price * tenant.plan.excess_cost

    def judge_refused(self, action: i.Refuse) -> None:
        """Evaluates a refusal, wrong if half of the burst or more is unused; may schedule a retry."""
        tenant, earlier_tries = self.pending.pop(action.request)
        self.figures["refused"] += 1
        self.figures["with-room"] += tenant.used(self.now) + 1 <= tenant.plan.burst / 2
        if earlier_tries + 1 < MAX_TRIES and self.random.random() < RETRY_PROBABILITY:
            delay = self.random.uniform(0.1, 0.5)
            self.post(delay, self.pick_gateway(tenant), self.make_try(tenant, earlier_tries + 1))

    def is_silent(self, number: int) -> bool:
        """Whether a gateway's connection to the counter doesn't respond and has not been closed yet."""
        if self.now >= self.silent_at[number] + SILENCE_SECONDS:
            self.silent_at[number] = self.now + self.random.expovariate(self.silences)
        return self.silences > 0 and self.now >= self.silent_at[number]

    def count(self, number: int, call: i.AddToCounter) -> None:
        """Processes a call at the counter, even if its caller has timed out by then."""
        self.figures["calls"] += 1
        begin = max(self.now, self.free_at)
        outcome, took, total = i.Outcome.OK, ROUND_TRIP_SECONDS, 0.0
        if begin - self.now > MAX_QUEUE_TIMEOUTS * CALL_TIMEOUT_SECONDS:
            outcome = i.Outcome.FULL
        else:
            self.free_at = begin + 1 / self.per_second
            stored = self.totals.get(call.name)
            if stored is None or stored.expires_at <= self.now:
                stored = self.totals[call.name] = StoredTotal(0.0, self.now + call.lifetime)
            stored.total += call.amount
            took, total = self.free_at - self.now + ROUND_TRIP_SECONDS, stored.total
        if took > CALL_TIMEOUT_SECONDS or self.is_silent(number):
            outcome, took = i.Outcome.TIMEOUT, CALL_TIMEOUT_SECONDS
        self.figures[f"calls.{outcome.value}"] += 1
        key = (number, call.name)
        answer_at = self.answered_at[key] = max(self.answered_at.get(key, 0.0), self.now + took)
        self.post(answer_at - self.now, number, i.CounterAnswered(call.name, outcome, total, took))

    def report(self) -> str:
        """One line with the results."""
        f = self.figures
        ended = max(1, f["sent"] + f["refused"])
        return (
            f"G={(self.served - self.beyond) / self.offered:.3f} served={self.served / self.offered:.3f} "
            f"over_quota={self.beyond / self.offered:.3f} beyond={f['beyond'] / max(1, f['sent']):.3f} "
            f"with-room={f['with-room'] / ended:.3f} tries={ended} calls/try={f['calls'] / ended:.2f} "
            f"in-time={f['calls.ok'] / max(1, f['calls']):.2f}"
        )


COUNTING: dict[str, Any] = {
    "may_message_peers": False,
    "may_use_counter": True,
    "count_limit": CALL_TIMEOUT_SECONDS,
    "plans": PLANS,
}


def make_tenants(rng: random.Random, gateways: int, tries: float) -> list[Tenant]:
    """Creates tenants: most use a part of their quota, some nearly all of it, some demand far more."""
    created: list[Tenant] = []
    for plan, share in zip(PLANS, DEMAND_SHARES, strict=True):
        inside, target = 0.0, share * tries / 1.4  # demand beyond the quotas comes on top
        while inside < target:
            kind = rng.random()
            use = rng.uniform(0.16, 0.47)
            if kind < 0.15:
                use = rng.uniform(0.85, 1.0)
            elif kind < 0.3:
                use = rng.uniform(2.4, 4.4)
            size = max(1, round(gateways * rng.uniform(0.5, 1.0)))
            first = rng.randrange(gateways)
            gateway_weights = [rng.lognormvariate(0.0, ARRIVAL_SIGMA) for _ in range(size)]
            created.append(Tenant(f"{plan.name}{len(created)}", plan, first, size, use, gateway_weights))
            inside += min(1.0, use) * plan.rate
    return created


def main() -> int:
    """Fleets whose counter serves 3 or 20 calls per second per gateway, the last with silent connections."""
    for gateways, tries in ((8, 20.0), (32, 13.0), (184, 5.0)):
        for per_second, silences in ((3.0, 0.0), (20.0, 0.0), (20.0, 0.1)):
            fleet = CountedFleet(gateways, per_second * gateways, tries, silences=silences)
            fleet.run(25.0)
            print(f"{gateways:4} {per_second:4.0f} {silences:3.1f} {fleet.report()}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
