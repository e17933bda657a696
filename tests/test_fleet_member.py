"""A member's log lines, metrics and reports; the quorum rule and the token bucket."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from itertools import chain, combinations, count
from typing import cast

import pytest

from standflow.fleet.member import Member, MemberCallbacks
from standflow.fleet.rate_limit import TokenBucket
from standflow.fleet.snapshot import Snapshot, has_quorum
from standflow.net.loop import Loop


class FakeLoop:
    """Simulated time in place of the epoll loop."""

    def __init__(self) -> None:
        self.time = 1000.0
        self.order = count()
        self.timers: list[tuple[float, int, Callable[[], None]]] = []

    def now(self) -> float:
        return self.time

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.timers, (self.time + delay, next(self.order), call))

    def every(self, seconds: Callable[[], float], call: Callable[[], None]) -> None:
        def again() -> None:
            call()
            self.call_later(seconds(), again)

        self.call_later(seconds(), again)

    def run(self, seconds: float) -> None:
        end = self.time + seconds
        while self.timers and self.timers[0][0] <= end:
            self.time, _, call = heapq.heappop(self.timers)
            call()
        self.time = end


class Two:
    """Two members on one loop; while `is_cut` is set, their datagrams are dropped."""

    def __init__(self) -> None:
        self.loop, self.is_cut = FakeLoop(), False
        self.logs: list[list[str]] = [[], []]
        self.reports: list[list[Snapshot]] = [[], []]
        self.members = [self._member(own_id) for own_id in (0, 1)]

    def _member(self, own_id: int) -> Member:
        def send(to: object, content: bytes) -> None:
            if not self.is_cut:
                self.loop.call_later(0.001, lambda: self._deliver(1 - own_id, content))

        callbacks = MemberCallbacks(send, lambda number, address: None, self.reports[own_id].append)
        log = self.logs[own_id].append
        loop = cast(Loop, self.loop)
        return Member(loop, log, "lab", own_id, 2, ("127.0.0.1", 1), (), random.Random(own_id), callbacks)

    def _deliver(self, to: int, content: bytes) -> None:
        assert self.members[to].receive(content, ("127.0.0.1", 1))


def test_log_lines_metrics_and_reports_of_a_partition_and_its_end() -> None:
    two = Two()
    two.loop.run(2.0)
    for own_id in (0, 1):
        assert two.logs[own_id] == [
            f"fleet: this is place {own_id} of 2 in lab",
            f"fleet: place {1 - own_id}: unknown -> present (datagram received), 2 present",
        ]
        assert two.reports[own_id][-1].has_quorum
        assert two.members[own_id].metrics().present == 2
    two.is_cut = True
    two.loop.run(8.0)
    assert two.logs[1][2:] == [
        "fleet: place 0: present -> suspected (no answer), 2 present",
        "fleet: place 0: suspected -> gone (suspicion timed out), 1 present",
        "fleet: may not take over for [0]",
    ]
    assert two.reports[0][-1].has_quorum
    assert two.reports[1][-1] == Snapshot(
        frozenset({1}), frozenset({0}), False, frozenset({0, 1}), frozenset()
    )
    figures = two.members[1].metrics()
    assert (figures.present, figures.suspected) == (1, 0)
    assert figures.sent > 0 < figures.taken
    two.is_cut = False
    two.loop.run(3.0)
    assert "fleet: may take over for []" in two.logs[1]
    assert [report.returned for report in two.reports[1]].count(frozenset({0})) == 2  # first join and return
    assert two.reports[1][-1].has_quorum
    assert all(member.metrics().present == 2 for member in two.members)


def test_fault_as_a_datagram_is_sent_does_not_keep_a_change_from_the_module() -> None:
    """Guards against quotas by a membership of before, as one datagram of an event was not sent."""

    def fail(to: object, content: bytes) -> None:
        raise ZeroDivisionError

    two = Two()
    two.loop.run(2.0)
    two.is_cut = True
    two.members[1].callbacks.send = fail
    two.loop.run(8.0)
    assert not two.reports[1][-1].has_quorum
    assert "fleet: place 0: suspected -> gone (suspicion timed out), 1 present" in two.logs[1]
    assert any("ZeroDivisionError" in line for line in two.logs[1])


def test_dead_members_are_stored_for_the_next_start_and_members_that_left_are_not() -> None:
    two = Two()
    two.loop.run(2.0)
    known = two.members[1].counted_members()
    assert known is not None
    assert set(known) == {"0"}
    two.is_cut = True
    two.loop.run(8.0)
    assert two.members[1].metrics().present == 1
    assert two.members[1].counted_members() == known
    two.is_cut = False
    two.loop.run(3.0)
    two.members[0].leave()
    two.loop.run(1.0)
    assert two.members[1].counted_members() == {}


def test_an_orderly_shutdown_is_logged_as_such() -> None:
    two = Two()
    two.loop.run(2.0)
    two.members[0].leave()
    two.members[0].close()
    two.loop.run(1.0)
    assert two.logs[1][-1].startswith("fleet: place 0: present -> left (reported by 0)")


@pytest.mark.parametrize("size", range(1, 7))
def test_exactly_one_side_of_each_partition_has_a_quorum(size: int) -> None:
    members = set(range(size))
    sides = chain.from_iterable(combinations(members, taken) for taken in range(size + 1))
    for side in map(set, sides):
        assert has_quorum(side, members - side) != has_quorum(members - side, side)


def test_a_token_bucket_allows_a_burst_and_then_its_rate() -> None:
    bucket = TokenBucket.full(2.0, 3.0, 10.0)
    assert [bucket.take(10.0) for _ in range(4)] == [True, True, True, False]
    assert not bucket.take(10.4)
    assert bucket.take(10.5)
    assert bucket.take(99.0, 3)
    assert not bucket.take(99.0)
