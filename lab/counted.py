"""A fleet whose quotas are held by the counter alone, in simulated time: `python -m lab.counted`.

Customers come unevenly and come again when refused; the counter serves calls in turn, so many a second, turns
calls away when its line is long, and works on calls that nobody waits for any more. Each decision is judged
against a store that sees every unit that was sent on.
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
SHARES = (0.4, 0.3, 0.3)  # of what is asked for inside quotas, by plan
LIMIT = 0.08  # seconds after which a call counts as unanswered
DELAY = 0.002  # seconds of the way to the counter and back
LINE = 1.5  # limits' worth of calls that wait before any is turned away
COME_AGAIN = 0.6  # of the refused, those that try once more
MOST_TRIES = 3
SKEW = 1.0  # of the logarithm of what comes to each gateway of a customer's set
SILENCE = 2.0  # seconds until a connection that fell silent is given up


@dataclass(slots=True)
class Customer:
    """One customer: how much of its rate it asks for, and the exact state of its store."""

    name: str
    plan: i.Plan
    first: int
    size: int
    use: float  # times the rate
    entries: list[float]  # how its tries divide on the gateways of its set
    level: float = 0.0
    at: float = 0.0
    offered_level: float = 0.0  # of a store that takes every first try that it has room for
    offered_at: float = 0.0

    def used(self, now: float) -> float:
        """Units in the exact store."""
        self.level = max(0.0, self.level - self.plan.rate * (now - self.at))
        self.at = now
        return self.level

    def offered(self, now: float) -> bool:
        """Whether one gateway that saw every first try would let this one in."""
        drained = max(0.0, self.offered_level - self.plan.rate * (now - self.offered_at))
        self.offered_at = now
        fits = drained + 1 <= self.plan.burst
        self.offered_level = drained + fits
        return fits


@dataclass(slots=True)
class Number:
    """A total of the counter, which is forgotten at some time."""

    total: float
    until: float


class CountedFleet(Fleet):
    """Gateways that may tell each other nothing, their customers and the counter."""

    def __init__(
        self, gateways: int, per_second: float, tries: float, seed: int = 1, silences: float = 0.0
    ) -> None:
        """`per_second`: calls the counter serves; `tries`: first tries a second at each gateway;
        `silences`: times a second that a gateway's connection to the counter falls silent.
        """
        self.per_second, self.free_at, self.silences = per_second, 0.0, silences
        self.numbers: dict[int, Number] = {}
        chance = random.Random(seed)
        self.silent_at = [chance.expovariate(silences) if silences else math.inf for _ in range(gateways)]
        self.answered_at: dict[tuple[int, int], float] = {}  # by gateway and name, when the last answer comes
        self.figures: Counter[str] = Counter()
        self.served, self.beyond, self.offered = 0.0, 0.0, 0.0  # worth
        self.asked: dict[str, tuple[Customer, int]] = {}  # by request, and how many tries there were before
        self.customers = list(customers(chance, gateways, tries * gateways))
        self.weights = [customer.use * customer.plan.rate for customer in self.customers]
        super().__init__(gateways, 2 * gateways, seed, tries, speedup=50.0, **COUNTING)

    def request(self, number: int) -> tuple[int, i.RequestArrived]:
        """The next first try, of any customer, at a gateway of its set."""
        self.post(self.random.expovariate(self.rate), number, None)
        customer = self.random.choices(self.customers, self.weights)[0]
        return self.entry_of(customer), self.try_of(customer, 0)

    def entry_of(self, customer: Customer) -> int:
        """One of the gateways that a customer's tries come to."""
        place = self.random.choices(range(customer.size), customer.entries)[0]
        return (customer.first + place) % len(self.live)

    def try_of(self, customer: Customer, before: int) -> i.RequestArrived:
        """A try of a customer."""
        self.requests += 1
        name = f"r{self.requests}"
        self.asked[name] = customer, before
        if not before and customer.offered(self.now):
            self.offered += customer.plan.price
        return i.RequestArrived(
            name, "view", customer.plan.name, customer.name, 4.5, 1.0, customer.size, customer.first
        )

    def apply_actions(self, number: int, actions: list[i.Action]) -> None:
        """Carries out what a gateway decides, and judges it."""
        for action in actions:
            if isinstance(action, i.Count):
                self.count(number, action)
            elif isinstance(action, i.Send):
                self.judge_sent(action)
            elif isinstance(action, i.Refuse):
                self.judge_refused(action)
        super().apply_actions(number, actions)

    def judge_sent(self, action: i.Send) -> None:
        """The exact store tells whether an attempt was inside the quota."""
        customer, _ = self.asked.pop(action.request, (None, 0))
        if customer is None:
            return
        self.figures["sent"] += 1
        if customer.used(self.now) + 1 <= customer.plan.burst:
            customer.level += 1
            self.served += customer.plan.price
        else:
            self.figures["beyond"] += 1
            self.beyond += customer.plan.price * customer.plan.excess_cost

    def judge_refused(self, action: i.Refuse) -> None:
        """A refusal while half of the quota is unused is wrong; many come again."""
        customer, before = self.asked.pop(action.request)
        self.figures["refused"] += 1
        self.figures["with-room"] += customer.used(self.now) + 1 <= customer.plan.burst / 2
        if before + 1 < MOST_TRIES and self.random.random() < COME_AGAIN:
            delay = self.random.uniform(0.1, 0.5)
            self.post(delay, self.entry_of(customer), self.try_of(customer, before + 1))

    def silent(self, number: int) -> bool:
        """Whether a gateway's connection to the counter has fallen silent, and was not given up yet."""
        if self.now >= self.silent_at[number] + SILENCE:
            self.silent_at[number] = self.now + self.random.expovariate(self.silences)
        return self.silences > 0 and self.now >= self.silent_at[number]

    def count(self, number: int, call: i.Count) -> None:
        """A call has its turn at the counter, whether or not anybody still waits for it."""
        self.figures["calls"] += 1
        begin = max(self.now, self.free_at)
        outcome, took, total = i.Outcome.OK, DELAY, 0.0
        if begin - self.now > LINE * LIMIT:
            outcome = i.Outcome.FULL
        else:
            self.free_at = begin + 1 / self.per_second
            kept = self.numbers.get(call.name)
            if kept is None or kept.until <= self.now:
                kept = self.numbers[call.name] = Number(0.0, self.now + call.lifetime)
            kept.total += call.amount
            took, total = self.free_at - self.now + DELAY, kept.total
        if took > LIMIT or self.silent(number):
            outcome, took = i.Outcome.TIMEOUT, LIMIT
        self.figures[f"calls.{outcome.value}"] += 1
        key = (number, call.name)
        comes = self.answered_at[key] = max(self.answered_at.get(key, 0.0), self.now + took)
        self.post(comes - self.now, number, i.CountAnswered(call.name, outcome, total, took))

    def report(self) -> str:
        """One line of what was decided."""
        f = self.figures
        ended = max(1, f["sent"] + f["refused"])
        return (
            f"G={(self.served - self.beyond) / self.offered:.3f} served={self.served / self.offered:.3f} "
            f"over_quota={self.beyond / self.offered:.3f} beyond={f['beyond'] / max(1, f['sent']):.3f} "
            f"with-room={f['with-room'] / ended:.3f} tries={ended} calls/try={f['calls'] / ended:.2f} "
            f"in-time={f['calls.ok'] / max(1, f['calls']):.2f}"
        )


COUNTING: dict[str, Any] = {"may_tell_peers": False, "may_count": True, "count_limit": LIMIT, "plans": PLANS}


def customers(chance: random.Random, gateways: int, tries: float) -> list[Customer]:
    """Most use a part of their quota, some nearly all, some ask for far more."""
    made: list[Customer] = []
    for plan, share in zip(PLANS, SHARES, strict=True):
        inside, due = 0.0, share * tries / 1.4  # what heavy ones ask for beyond comes on top
        while inside < due:
            kind = chance.random()
            use = chance.uniform(0.16, 0.47)
            if kind < 0.15:
                use = chance.uniform(0.85, 1.0)
            elif kind < 0.3:
                use = chance.uniform(2.4, 4.4)
            size = max(1, round(gateways * chance.uniform(0.5, 1.0)))
            first = chance.randrange(gateways)
            entries = [chance.lognormvariate(0.0, SKEW) for _ in range(size)]
            made.append(Customer(f"{plan.name}{len(made)}", plan, first, size, use, entries))
            inside += min(1.0, use) * plan.rate
    return made


def main() -> int:
    """Fleets whose counter answers three calls a second for each gateway, or more, or falls silent."""
    for gateways, tries in ((8, 20.0), (32, 13.0), (184, 5.0)):
        for per_second, silences in ((3.0, 0.0), (20.0, 0.0), (20.0, 0.1)):
            fleet = CountedFleet(gateways, per_second * gateways, tries, silences=silences)
            fleet.run(25.0)
            print(f"{gateways:4} {per_second:4.0f} {silences:3.1f} {fleet.report()}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
