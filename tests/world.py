"""Settings, events and simulated networks shared by the tests."""

from __future__ import annotations

import struct
import zlib
from dataclasses import replace
from typing import Any

from hoistfold import interface as i
from hoistfold.gateway import Gateway

READ = i.RequestClass("read", 1.0, 3.0, 1.0, 0.0, i.Effect.SAFE, i.DedupScope.ALL, 5.0, False, 0.0)
BUY = i.RequestClass("buy", 3.0, 7.0, 5.0, 0.0, i.Effect.UNSAFE, i.DedupScope.ALL, 5.0, False, 0.0)
KEYED = i.RequestClass("keyed", 1.0, 3.0, 3.0, 0.0, i.Effect.KEYED, i.DedupScope.CELL, 2.0, False, 0.0)
BASIC = i.Plan("basic", 2.0, 10.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
CAPPED = i.Plan("capped", 10.0, 20.0, 0, 1.0, 0.0, 0.5, 20.0, 40.0, 4.0)
OPEN = i.Plan("open", 2.0, 10.0, 3, 1.0, 0.0, 0.6, 0.0, 0.0, 0.0)
LIMITED = i.Plan("limited", 0.0, 0.0, 3, 1.0, 0.0, 0.6, 0.0, 0.0, 0.0)

SETTINGS = i.Settings(
    number=0,
    gateways=3,
    zone="a",
    tick=0.002,
    classes=(READ, BUY, KEYED),
    plans=(BASIC, CAPPED, OPEN, LIMITED),
    pushed_discovery=True,
    size_hint=i.SizeHint.NONE,
    feedback=i.Feedback.NONE,
    report_fields=(),
    may_cancel=True,
    may_probe=True,
    may_message_peers=True,
    second_copies=True,
    retry_after=True,
    max_attempts=3,
    max_retry_after=2.0,
    dial_timeout=0.25,
    max_units=4.0,
    units_settle=False,
    peer_intake=60.0,
    ask_within=10.0,
    cold_from=0.3,
    cold_time=15.0,
    drain_grace=0.25,
    fall_multiple=2.5,
    fall_window=2.0,
    cross_zone_price=0.0,
    waste_price=0.03,
    late_fail_price=0.05,
    probe_price=0.01,
    peer_price=0.01,
)


def settings(**changes: Any) -> i.Settings:
    """The default settings with some changed."""
    return replace(SETTINGS, **changes)


def backend(name: str, **changes: Any) -> i.BackendEntry:
    """A warm backend in a list."""
    entry = i.BackendEntry(name, "a", "std", 0, i.Availability.ACTIVE, 1.0, None)
    return replace(entry, **changes)


def listed(*entries: i.BackendEntry, kind: i.ListKind = i.ListKind.SAVED) -> i.BackendsListed:
    """A list event."""
    return i.BackendsListed(kind, entries)


def started(names: str = "b1 b2 b3", seed: int = 1, now: float = 0.0, **changes: Any) -> Gateway:
    """A started gateway with a backend list."""
    gateway = Gateway(settings(**changes), seed)
    gateway.handle(now, i.Started())
    gateway.handle(now, listed(*(backend(name) for name in names.split())))
    return gateway


def request(name: str, **changes: Any) -> i.RequestArrived:
    """An incoming request."""
    event = i.RequestArrived(name, "read", "basic", "c1", 3.0, 1.0, 1, 0)
    return replace(event, **changes)


def ended(send: i.Send, outcome: i.Outcome, attempt: int = 0, latency: float = 0.1) -> i.AttemptEnded:
    """The outcome of an attempt."""
    done = outcome is i.Outcome.OK
    return i.AttemptEnded(send.request, send.backend, attempt, latency, outcome, done, 0.0, 0.0, ())


def sends(actions: list[i.Action]) -> list[i.Send]:
    """The attempts among the actions."""
    return [action for action in actions if isinstance(action, i.Send)]


def actions_of(actions: list[i.Action], kind: type) -> list[Any]:
    """The actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


class PeerNetwork:
    """Gateways that exchange peer messages, without clients and servers."""

    def __init__(self, count: int = 2, **changes: Any) -> None:
        self.now = 0.0
        self.changes = {"gateways": count} | changes
        self.gateways: dict[int, Gateway] = {}
        for number in range(count):
            self.restart(number)

    def restart(self, number: int) -> None:
        """Replaces a gateway by an empty one."""
        gateway = Gateway(settings(number=number, **self.changes), 100 + number + int(self.now * 1000))
        self.gateways[number] = gateway
        start = gateway.handle(self.now, i.Started())
        gateway.handle(self.now, listed(*(backend(f"b{n}") for n in range(8))))
        self.deliver(number, start)

    def deliver(self, sender: int, actions: list[i.Action]) -> None:
        """Delivers the peer messages among the actions."""
        for action in actions_of(actions, i.SendPeerMessage):
            for number in sorted(self.gateways):
                if number != sender and action.peer in (None, number):
                    self.gateways[number].handle(self.now, i.PeerMessage(sender, action.content))

    def run_epochs(self, count: int) -> None:
        """Advances the time by a number of epochs."""
        for _ in range(count):
            self.now += next(iter(self.gateways.values())).epoch
            for number in sorted(self.gateways):
                self.deliver(number, self.gateways[number].handle(self.now, i.TimerFired(0)))

    def submit(self, number: int, name: str, **changes: Any) -> bool:
        """Submits a request, answered at once if it is sent; returns whether it was."""
        event = request(name, **({"ring_size": 2} | changes))
        actions = self.gateways[number].handle(self.now, event)
        self.deliver(number, actions)
        for send in sends(actions):
            self.gateways[number].handle(self.now, ended(send, i.Outcome.OK))
        return bool(sends(actions))


def with_checksum(entries: bytes) -> bytes:
    """A peer message with a valid checksum."""
    return struct.pack(">I", zlib.crc32(entries)) + entries


class LongRing:
    """A cluster so large that coordinators hold the totals; messages arrive at once or are lost."""

    def __init__(self, count: int = 300, **changes: Any) -> None:
        self.now = 1.0
        self.bytes_sent = 0
        self.unreachable: set[int] = set()
        self.changes = {"gateways": count} | changes
        self.gateways: dict[int, Gateway] = {}
        for number in range(count):
            self.restart(number)

    def restart(self, number: int) -> None:
        """Replaces a gateway by an empty one."""
        self.gateways[number] = started(seed=number, now=self.now, number=number, **self.changes)

    def deliver(self, sender: int, actions: list[i.Action]) -> list[i.Action]:
        """Delivers messages until none is left; returns the other actions."""
        done: list[i.Action] = []
        waiting = [(sender, action) for action in actions]
        while waiting:
            sender, action = waiting.pop(0)
            if not isinstance(action, i.SendPeerMessage):
                done.append(action)
            elif action.peer is not None and action.peer not in self.unreachable:
                self.bytes_sent += len(action.content)
                assert len(action.content) <= 256
                after = self.gateways[action.peer].handle(self.now, i.PeerMessage(sender, action.content))
                waiting += [(action.peer, event) for event in after]
        return done

    def submit(self, number: int, name: str, **changes: Any) -> bool:
        """Submits a request and fires the timers that end its wait; returns whether it was sent."""
        event = request(name, **({"ring_size": 100, "ring_first": 250} | changes))
        actions = self.deliver(number, self.gateways[number].handle(self.now, event))
        self.now += 0.2
        for timer in actions_of(actions, i.SetTimer):
            if timer.delay < 0.2:
                actions += self.deliver(
                    number, self.gateways[number].handle(self.now, i.TimerFired(timer.handle))
                )
        for send in sends(actions):
            self.gateways[number].handle(self.now, ended(send, i.Outcome.OK))
        return bool(sends(actions))


class CounterNetwork:
    """Gateways with a counter and without peer messages; answers arrive at once or are delayed."""

    def __init__(self, count: int = 3, **changes: Any) -> None:
        self.now = 1000.0
        self.numbers: dict[int, float] = {}
        self.delayed_calls: list[tuple[int, i.AddToCounter]] | None = None
        self.outcome = i.Outcome.OK
        self.calls = 0
        changes = {"gateways": count, "may_message_peers": False, "may_use_counter": True} | changes
        self.gateways = [started(seed=n, now=self.now, number=n, **changes) for n in range(count)]

    def deliver(self, number: int, actions: list[i.Action]) -> list[i.Action]:
        """Carries out counter calls until none is left; returns the other actions."""
        done: list[i.Action] = []
        for action in actions:
            if not isinstance(action, i.AddToCounter):
                done.append(action)
            elif self.delayed_calls is not None:
                self.delayed_calls.append((number, action))
            else:
                done += self.answer_call(number, action)
        return done

    def answer_call(self, number: int, call: i.AddToCounter) -> list[i.Action]:
        """Executes one counter call and delivers its answer."""
        self.calls += 1
        if self.outcome is i.Outcome.OK:
            self.numbers[call.name] = self.numbers.get(call.name, 0.0) + call.amount
        total = self.numbers.get(call.name, 0.0)
        answered = i.CounterAnswered(call.name, self.outcome, total, 0.002)
        return self.deliver(number, self.gateways[number].handle(self.now, answered))

    def release_calls(self, at_once: bool = True) -> list[i.Action]:
        """Executes delayed calls in order; calls that follow from them are delayed again if not `at_once`."""
        waiting, self.delayed_calls = self.delayed_calls or [], None if at_once else []
        return [action for number, call in waiting for action in self.answer_call(number, call)]

    def receive(self, number: int, name: str, **changes: Any) -> list[i.Action]:
        """Submits a request to one gateway."""
        event = request(name, **({"ring_size": len(self.gateways)} | changes))
        return self.deliver(number, self.gateways[number].handle(self.now, event))

    def submit(self, number: int, name: str, **changes: Any) -> bool:
        """Submits a request, answered at once if it is sent; returns whether it was."""
        actions = self.receive(number, name, **changes)
        for send in sends(actions):
            self.deliver(number, self.gateways[number].handle(self.now, ended(send, i.Outcome.OK)))
        return bool(sends(actions))
