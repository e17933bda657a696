"""Random legal events: one final answer in time, no effect twice, nothing to a draining backend."""

import heapq
import random

import pytest
from hypothesis import given, settings, strategies

from hoistfold import interface as i
from tests.world import backend, listed, request, sealed, started

ENDINGS = [i.Outcome.OK] * 4 + [o for o in i.Outcome if o is not i.Outcome.OK]


class Day:
    """One gateway among others that lose, repeat and garble what they tell it."""

    def __init__(self, gateways: int, seed: int) -> None:
        self.chance, self.gateways, self.now = random.Random(seed), gateways, 0.0
        self.gateway = started("", seed=seed, gateways=gateways)
        self.active = {f"b{n}" for n in range(6)}
        self.gateway.handle(0.0, listed(*(backend(name) for name in sorted(self.active))))
        self.due: list[tuple[float, int, i.Event]] = []
        self.order = 0
        self.finals: dict[str, int] = {}
        self.asked: dict[str, tuple[str, float]] = {}
        self.ran: set[str] = set()
        self.tries: dict[str, int] = {}
        self.told: list[bytes] = []

    def later(self, delay: float, event: i.Event) -> None:
        self.order += 1
        heapq.heappush(self.due, (self.now + delay, self.order, event))

    def handle(self, event: i.Event) -> None:
        if isinstance(event, i.AttemptEnded):
            event = self.ending(event)
        for action in self.gateway.handle(self.now, event):
            self.check(action)

    def ending(self, event: i.AttemptEnded) -> i.AttemptEnded:
        if not event.outcome.never_ran:
            self.ran.add(event.request)
        first = event.outcome is i.Outcome.OK and not self.finals[event.request]
        self.finals[event.request] += first
        done = bool(self.finals[event.request])
        return i.AttemptEnded(
            event.request, event.backend, event.attempt, event.latency, event.outcome, done, 0.0, 0.0, ()
        )

    def check(self, action: i.Action) -> None:
        if isinstance(action, i.SetTimer):
            self.later(action.delay, i.TimerFired(action.handle))
        elif isinstance(action, i.SendPeerMessage):
            assert len(action.content) <= 256
            self.told.append(action.content)
        elif isinstance(action, i.Send):
            assert action.backend in self.active
            assert not self.finals[action.request]
            unsafe = self.asked[action.request][0] == "buy"
            assert not (unsafe and (action.request in self.ran or self.pending(action.request)))
            attempt = self.tries.get(action.request, 0)
            self.tries[action.request] = attempt + 1
            outcome = self.chance.choice(ENDINGS)
            took = self.chance.choice([0.01, 0.1, 0.5, 2.0])
            ended = i.AttemptEnded(
                action.request, action.backend, attempt, took, outcome, False, 0.0, 0.0, ()
            )
            self.later(took, ended)
        elif isinstance(action, i.Refuse | i.Fail):
            assert not self.finals[action.request]
            self.finals[action.request] += 1
            assert self.now <= self.asked[action.request][1]
            if isinstance(action, i.Refuse) and self.asked[action.request][0] == "buy":
                assert action.request not in self.ran
                assert not self.pending(action.request)

    def pending(self, name: str) -> bool:
        return any(isinstance(e, i.AttemptEnded) and e.request == name for _, _, e in self.due)

    def step(self, number: int, what: str) -> None:
        if what == "ask":
            name, kind = f"r{number}", self.chance.choice(["read", "buy", "keyed"])
            left, size = self.chance.choice([0.3, 1.0, 3.0]), min(self.gateways, 100)
            self.asked[name], self.finals[name] = (kind, self.now + left), 0
            plan = self.chance.choice(["basic", "capped", "open"])
            customer = f"c{self.chance.randrange(3)}"
            self.handle(
                request(name, class_name=kind, plan=plan, tenant=customer, time_left=left, ring_size=size)
            )
        elif what == "drain":
            name = f"b{self.chance.randrange(6)}"
            self.active.discard(name)
            gone = backend(name, availability=i.Availability.DRAINING)
            self.handle(listed(gone, kind=i.ListKind.CHANGES))
        elif what == "return":
            name = f"b{self.chance.randrange(6)}"
            self.active.add(name)
            self.handle(listed(backend(name, started=self.now), kind=i.ListKind.CHANGES))
        elif self.told:
            body = self.chance.choice(self.told)[4:]
            at = self.chance.randrange(max(1, len(body)))
            body = body[:at] + bytes([self.chance.randrange(256)]) + body[at + 1 :]
            self.handle(i.PeerMessage(self.chance.randrange(self.gateways), sealed(body)))

    def pass_time(self, until: float) -> None:
        while self.due and self.due[0][0] <= until:
            self.now, _, event = heapq.heappop(self.due)
            self.handle(event)
        self.now = until


@pytest.mark.parametrize("gateways", [3, 300])
@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    seed=strategies.integers(0, 1000),
    steps=strategies.lists(
        strategies.sampled_from(["ask", "ask", "ask", "tell", "drain", "return"]), max_size=60
    ),
)
def test_random_legal_events_keep_the_rules(gateways: int, seed: int, steps: list[str]) -> None:
    day = Day(gateways, seed)
    for number, what in enumerate(steps):
        day.step(number, what)
        day.pass_time(day.now + day.chance.choice([0.0, 0.01, 0.1, 0.4]))
    day.pass_time(day.now + 8.0)
    assert all(count == 1 for count in day.finals.values())
