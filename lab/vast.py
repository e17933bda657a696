"""A fleet of gateways in simulated time: `make bench-vast`, and the properties in tests/test_vast.py.

Uses no sockets and only simulated time. The model of a backend is rough (cores, a queue, cold starts, slow
backends), but sufficient to count what a fleet sends to it. The same seed gives the same run.
"""

from __future__ import annotations

import heapq
import math
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hoistfold import interface as i
from hoistfold.gateway import Gateway
from lab.report import Report

VIEW = i.RequestClass("view", 1.2, 4.5, 1.0, 0.0, i.Effect.SAFE, i.DedupScope.ALL, 15.0, False, 0.0)
CHANGE = i.RequestClass("change", 3.0, 9.0, 5.0, 0.2, i.Effect.UNSAFE, i.DedupScope.ALL, 15.0, False, 0.0)
PLAN = i.Plan("full", 7.5, 16.0, 0, 1.8, 0.3, 0.0, 0.0, 0.0, 0.0)
CORE_SECONDS = {"view": 0.15, "change": 0.37}  # of a request of each class
CORES = 2
IDLE_SECONDS = 5.0  # after which an idle connection is closed
MESSAGE_DELAY_SECONDS = 0.01
ZONES = ("a", "b", "c")


def settings(number: int, gateways: int, **changes: Any) -> i.Settings:
    """The settings of one gateway of the fleet."""
    values: dict[str, Any] = {
        "number": number, "gateways": gateways, "zone": ZONES[number % 3], "tick": 0.001,
        "classes": (VIEW, CHANGE), "plans": (PLAN,), "pushed_discovery": True,
        "size_hint": i.SizeHint.NOMINAL, "feedback": i.Feedback.NONE, "report_fields": (),
        "may_cancel": True, "may_probe": True, "may_message_peers": True, "second_copies": True,
        "retry_after": True, "max_attempts": 5, "max_retry_after": 0.5, "dial_timeout": 0.25,
        "max_units": 2.0, "units_settle": False, "peer_intake": 100.0, "ask_within": 10.0,
        "cold_from": 0.15, "cold_time": 17.0, "drain_grace": 0.5, "fall_multiple": 4.0, "fall_window": 3.0,
        "cross_zone_price": 0.0072, "waste_price": 0.058, "late_fail_price": 0.1, "probe_price": 0.08,
        "peer_price": 0.02,
    }  # fmt: skip
    return i.Settings(**(values | changes))


@dataclass(slots=True)
class Box:
    """A backend: how slow it is and when its cores become free."""

    entry: i.BackendEntry
    slow: float = 1.0  # multiple of the service time
    core_free_at: list[float] = field(default_factory=lambda: [0.0] * CORES)
    received: list[tuple[float, float]] = field(default_factory=list)  # time, core seconds
    overdue: int = 0  # requests answered after the latency target (aim) or never

    def serve(self, now: float, work: float, initial_speed: float, cold_time: float) -> float:
        """Returns the completion time; the speed of a cold backend rises linearly from `initial_speed`."""
        age = math.inf if self.entry.started is None else now - self.entry.started
        speed = 1.0 if age >= cold_time else initial_speed + (1 - initial_speed) * max(0.0, age) / cold_time
        core = min(range(CORES), key=self.core_free_at.__getitem__)
        self.core_free_at[core] = max(now, self.core_free_at[core]) + work * self.slow / speed
        self.received.append((now, work))
        return self.core_free_at[core]

    def windows(self, span: float, mean: float, until: float) -> list[tuple[float, float]]:
        """For each request before `until`: the time and the work within `span` from it, in mean requests."""
        windows, work, end = [], 0.0, 0
        for at, request_work in self.received:
            while end < len(self.received) and self.received[end][0] < at + span:
                work += self.received[end][1]
                end += 1
            if at < until:
                windows.append((at, work / mean))
            work -= request_work
        return windows


class Fleet:
    """Gateways with their peer messages and connections, and backends."""

    def __init__(
        self,
        gateways: int,
        backends: int,
        seed: int = 1,
        rate: float = 12.0,
        speedup: float = 1.0,
        **changes: Any,
    ) -> None:
        """`speedup`: factor of the backends' speed; `changes`: settings that differ from the default."""
        self.random, self.speedup = random.Random(seed), speedup
        self.warm_up = 0.3, 11.0  # initial speed of a cold backend, and seconds until full speed
        self.rate = rate  # requests per second at each gateway
        self.now, self.serial, self.requests = 0.0, 0, 0
        self.queue: list[tuple[float, int, int, i.Event | None]] = []
        self.counts: Counter[str] = Counter()
        self.cpu_seconds = 0.0  # processor time spent in the gateways
        self.idle: dict[tuple[int, str], list[float]] = {}  # expiry of connections, by gateway and backend
        self.sent: list[tuple[float, int, str]] = []  # time, gateway, backend
        self.taken: dict[int, tuple[int, int]] = {}  # second and messages taken in it, by gateway
        self.boxes: dict[str, Box] = {}
        for n in range(backends):
            self.add(f"b{n}", ZONES[n % 3], None)
        self.live = [Gateway(settings(n, gateways, **changes), seed * 1000 + n) for n in range(gateways)]
        for number, gateway in enumerate(self.live):
            self.apply_actions(number, gateway.handle(0.0, i.Started()))
            self.send_backend_list(number, i.ListKind.SAVED)
            self.post(self.random.expovariate(self.rate), number, None)

    def add(self, name: str, zone: str, started: float | None) -> None:
        """Adds a backend, which is warm if it started long ago or `started` is None."""
        entry = i.BackendEntry(name, zone, "small-2c", 0, i.Availability.ACTIVE, 1.5, started)
        self.boxes[name] = Box(entry)

    def send_backend_list(self, number: int, kind: i.ListKind = i.ListKind.FULL) -> None:
        """Sends the complete backend list to one gateway."""
        entries = tuple(box.entry for box in self.boxes.values())
        self.apply_actions(number, self.live[number].handle(self.now, i.BackendsListed(kind, entries)))

    def post(self, delay: float, number: int, event: i.Event | None) -> None:
        """Schedules an event for a gateway after a delay; None is its next request."""
        self.post_at(self.now + delay, number, event)

    def post_at(self, at: float, number: int, event: i.Event | None) -> None:
        """Schedules an event for a gateway at a time; None is its next request."""
        self.serial += 1
        heapq.heappush(self.queue, (at, self.serial, number, event))

    def run(self, until: float) -> None:
        """Runs the fleet up to a time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, number, event = heapq.heappop(self.queue)
            self.step(number, event)
        self.now = until

    def step(self, number: int, event: i.Event | None) -> None:
        """Handles one event of a gateway; None is its next request."""
        if event is None:
            number, event = self.request(number)
        began = time.process_time()
        actions = self.live[number].handle(self.now, event)
        self.cpu_seconds += time.process_time() - began
        self.apply_actions(number, actions)

    def request(self, number: int) -> tuple[int, i.RequestArrived]:
        """The next request at a gateway, of a tenant whose set of gateways is half of the fleet."""
        self.post(self.random.expovariate(self.rate), number, None)
        self.requests += 1
        size = max(1, len(self.live) // 2)
        first = (number - self.random.randrange(size)) % len(self.live)
        kind = CHANGE if self.random.random() < 0.18 else VIEW
        tenant = f"c{first}-{self.random.randrange(8)}"
        return number, i.RequestArrived(
            f"r{self.requests}", kind.name, "full", tenant, kind.deadline, 1.0, size, first
        )

    def apply_actions(self, number: int, actions: list[i.Action]) -> None:
        """Carries out the actions of a gateway."""
        for action in actions:
            if isinstance(action, i.Send):
                self.send(number, action)
            elif isinstance(action, i.SendPeerMessage) and action.peer is not None:
                self.counts["messages"] += 1
                self.counts["bytes"] += len(action.content)
                self.counts["longest"] = max(self.counts["longest"], len(action.content))
                self.deliver(number, action)
            elif isinstance(action, i.SetTimer):
                self.post(action.delay, number, i.TimerFired(action.handle))
            elif isinstance(action, i.Refuse):
                self.counts["refused"] += 1
                self.counts[f"refused for {action.reason}"] += 1
                self.refuse(number, action)

    def refuse(self, number: int, action: i.Refuse) -> None:
        """Called when a request is refused; clients don't retry here."""

    def deliver(self, sender: int, action: i.SendPeerMessage) -> None:
        """Delivers a message to a gateway, which drops messages beyond its intake per second."""
        assert action.peer is not None
        second, taken = self.taken.get(action.peer, (0, 0))
        taken = taken + 1 if second == int(self.now) else 1
        self.taken[action.peer] = int(self.now), taken
        if taken > self.live[action.peer].settings.peer_intake:
            self.counts["lost"] += 1
        else:
            self.post(MESSAGE_DELAY_SECONDS, action.peer, i.PeerMessage(sender, action.content))

    def send(self, number: int, action: i.Send) -> None:
        """Starts an attempt, on an idle connection if there is one."""
        key = (number, action.backend)
        ready = [until for until in self.idle.get(key, []) if until >= self.now]
        if ready:
            ready.pop()
        else:
            self.counts["dials"] += 1
        self.idle[key] = ready
        self.sent.append((self.now, number, action.backend))
        gateway = self.live[number]
        kind = gateway.requests[action.request].kind.name
        work = self.random.expovariate(1 / CORE_SECONDS[kind]) / self.speedup
        done = self.boxes[action.backend].serve(self.now, work, *self.warm_up) + 0.002
        attempt = len(gateway.requests[action.request].attempts) - 1
        latency = done - self.now
        late = latency > gateway.classes[kind].deadline
        outcome = i.Outcome.TIMEOUT if late else i.Outcome.OK
        latency = min(latency, gateway.classes[kind].deadline)
        self.counts["late" if late else "served"] += 1
        overdue = latency > gateway.classes[kind].aim
        self.counts["overdue"] += overdue
        self.boxes[action.backend].overdue += overdue
        ended = i.AttemptEnded(action.request, action.backend, attempt, latency, outcome, True, 0.0, 0.0, ())
        self.idle[key].append(self.now + latency + IDLE_SECONDS)
        self.post(latency, number, ended)


def seconds_until_avoided(fleet: Fleet, name: str, since: float, span: float) -> float:
    """Seconds until 90% of the gateways that use a backend send it at most one request in three seconds."""
    users = {number for at, number, hop in fleet.sent if hop == name and since - 5.0 <= at < since}
    sent = [(at - since, number) for at, number, hop in fleet.sent if hop == name and at >= since]
    for second in range(int(span) - 3):
        window = Counter(number for at, number in sent if second <= at < second + 3)
        if sum(window[number] > 1 for number in users) <= 0.1 * len(users):
            return float(second)
    return span


def bench() -> int:
    """`make bench-vast`: fleets of 3 to 100 gateways in simulated time, each figure with its bound."""
    report = Report()
    for gateways, backends in ((3, 10), (10, 20), (40, 60), (100, 150)):
        rate = 0.55 * CORES * backends / gateways / 0.19  # 55% utilisation
        fleet = Fleet(gateways, backends, rate=rate)
        fleet.run(10.0)
        name = f"vast.{gateways}x{backends}"
        users = Counter(hop for _, hop in fleet.idle)  # gateways that ever had a connection to a backend
        users_expected = gateways * fleet.live[0].subset_size / backends
        requests, counts = fleet.requests, Counter(fleet.counts)
        report.print_figure(f"{name}.dials", counts["dials"] / requests, "a-request", "<=0.15")
        bound = f"<={math.ceil(users_expected) + 2}"
        report.print_figure(f"{name}.connections", max(users.values()), "ingresses-a-next-hop", bound)
        message_rate = counts["messages"] / gateways / 10.0
        report.print_figure(f"{name}.messages", message_rate, "a-second-to-each", "<=100")
        report.print_figure(f"{name}.longest", counts["longest"], "bytes", "<=256")
        report.print_figure(f"{name}.cpu", 1e6 * fleet.cpu_seconds / requests, "us-a-request", "<=600")
        report.print_figure(f"{name}.refused", counts["refused"] / requests, "of-requests", "<=0.02")
        report.print_figure(
            f"{name}.lost", counts["lost"] / max(1, counts["messages"]), "of-messages", "<=0.01"
        )
        fleet.boxes["b1"].slow = 20.0
        since = fleet.now
        fleet.run(since + 15.0)
        report.print_figure(
            f"{name}.bad-avoided", seconds_until_avoided(fleet, "b1", since, 15.0), "s", "<=8"
        )
    for factor in (3, 6):  # more requests at faster backends: where peer messages are lost
        fleet = Fleet(40, 60, rate=factor * 8.7, speedup=factor)
        fleet.run(6.0)
        lost = fleet.counts["lost"] / fleet.counts["messages"]
        report.print_figure(f"vast.40x60.lost-at-{factor * 8.7:.0f}-a-second", lost, "of-messages")
    return report.status


if __name__ == "__main__":
    sys.exit(bench())
