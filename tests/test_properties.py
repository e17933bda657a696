"""Random valid events: one final response in time, no repeated effect, nothing to draining backends."""

import heapq
import random

import pytest
from hypothesis import given, settings, strategies

from hoistfold import interface as i
from tests.world import backend, listed, request, started, with_checksum

ENDINGS = [i.Outcome.OK] * 4 + [o for o in i.Outcome if o is not i.Outcome.OK]


class Simulation:
    """One gateway whose peers send lost, repeated and corrupted messages."""

    def __init__(self, gateways: int, seed: int) -> None:
        self.random, self.gateways, self.now = random.Random(seed), gateways, 0.0
        self.gateway = started("", seed=seed, gateways=gateways)
        self.active = {f"b{n}" for n in range(6)}
        self.gateway.handle(0.0, listed(*(backend(name) for name in sorted(self.active))))
        self.events: list[tuple[float, int, i.Event]] = []
        self.order = 0
        self.responses: dict[str, int] = {}
        self.requests: dict[str, tuple[str, float]] = {}
        self.executed: set[str] = set()
        self.attempts: dict[str, int] = {}
        self.messages: list[bytes] = []

    def schedule(self, delay: float, event: i.Event) -> None:
        self.order += 1
        heapq.heappush(self.events, (self.now + delay, self.order, event))

    def handle(self, event: i.Event) -> None:
        if isinstance(event, i.AttemptEnded):
            event = self.with_finished(event)
        for action in self.gateway.handle(self.now, event):
            self.check(action)

    def with_finished(self, event: i.AttemptEnded) -> i.AttemptEnded:
        if not event.outcome.never_ran:
            self.executed.add(event.request)
        first = event.outcome is i.Outcome.OK and not self.responses[event.request]
        self.responses[event.request] += first
        done = bool(self.responses[event.request])
        return i.AttemptEnded(
            event.request, event.backend, event.attempt, event.latency, event.outcome, done, 0.0, 0.0, ()
        )

    def check(self, action: i.Action) -> None:
        if isinstance(action, i.SetTimer):
            self.schedule(action.delay, i.TimerFired(action.handle))
        elif isinstance(action, i.SendPeerMessage):
            assert len(action.content) <= 256
            self.messages.append(action.content)
        elif isinstance(action, i.Send):
            assert action.backend in self.active
            assert not self.responses[action.request]
            unsafe = self.requests[action.request][0] == "buy"
            assert not (unsafe and (action.request in self.executed or self.pending(action.request)))
            attempt = self.attempts.get(action.request, 0)
            self.attempts[action.request] = attempt + 1
            outcome = self.random.choice(ENDINGS)
            latency = self.random.choice([0.01, 0.1, 0.5, 2.0])
            ended = i.AttemptEnded(
                action.request, action.backend, attempt, latency, outcome, False, 0.0, 0.0, ()
            )
            self.schedule(latency, ended)
        elif isinstance(action, i.Refuse | i.Fail):
            assert not self.responses[action.request]
            self.responses[action.request] += 1
            assert self.now <= self.requests[action.request][1]
            if isinstance(action, i.Refuse) and self.requests[action.request][0] == "buy":
                assert action.request not in self.executed
                assert not self.pending(action.request)

    def pending(self, name: str) -> bool:
        return any(isinstance(e, i.AttemptEnded) and e.request == name for _, _, e in self.events)

    def step(self, number: int, what: str) -> None:
        if what == "ask":
            name, kind = f"r{number}", self.random.choice(["read", "buy", "keyed"])
            left, size = self.random.choice([0.3, 1.0, 3.0]), min(self.gateways, 100)
            self.requests[name], self.responses[name] = (kind, self.now + left), 0
            plan = self.random.choice(["basic", "capped", "open"])
            tenant = f"c{self.random.randrange(3)}"
            self.handle(
                request(name, class_name=kind, plan=plan, tenant=tenant, time_left=left, ring_size=size)
            )
        elif what == "drain":
            name = f"b{self.random.randrange(6)}"
            self.active.discard(name)
            draining = backend(name, availability=i.Availability.DRAINING)
            self.handle(listed(draining, kind=i.ListKind.CHANGES))
        elif what == "return":
            name = f"b{self.random.randrange(6)}"
            self.active.add(name)
            self.handle(listed(backend(name, started=self.now), kind=i.ListKind.CHANGES))
        elif self.messages:
            body = self.random.choice(self.messages)[4:]
            at = self.random.randrange(max(1, len(body)))
            body = body[:at] + bytes([self.random.randrange(256)]) + body[at + 1 :]
            self.handle(i.PeerMessage(self.random.randrange(self.gateways), with_checksum(body)))

    def pass_time(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, event = heapq.heappop(self.events)
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
    simulation = Simulation(gateways, seed)
    for number, what in enumerate(steps):
        simulation.step(number, what)
        simulation.pass_time(simulation.now + simulation.random.choice([0.0, 0.01, 0.1, 0.4]))
    simulation.pass_time(simulation.now + 8.0)
    assert all(count == 1 for count in simulation.responses.values())
