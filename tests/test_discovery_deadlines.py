"""A change of the endpoint list is received in time, whatever calls to discovery failed before."""

from __future__ import annotations

import json
import random
import select
import socket
import struct
from collections.abc import Callable
from itertools import product
from pathlib import Path

import pytest

from standflow.net import watch_timing
from standflow.net.watch_timing import (
    CHANGE_DEADLINE,
    CONNECT_TIMEOUT,
    FIRST_BACK_OFF,
    MAX_BACK_OFF,
    MAX_HEAD_TIMEOUT,
    SILENCE_TIMEOUT,
    CallEnd,
    WatchTiming,
)
from tests.test_endings import agent, change, known
from tests.wire import LIMIT, command, config, listener, member, program, read_until, run_until

ANSWER_TIME = 0.3  # seconds that a reachable discovery needs for a response, at most
EARLIER_CALLS = 4  # failed calls of any kind before the last one
ROW = 7  # repetitions of the first of them, enough for a back-off to reach its limit
ENDS_WITHOUT_AN_OBJECT = 3  # consecutive watches that end without an object after discovery is back


class LongestPause(random.Random):
    """Always draws the longest pause."""

    def uniform(self, a: float, b: float) -> float:
        """Returns the upper bound."""
        return b


class Watch:
    """Simulates calls on its own clock; a method is one call, up to the beginning of the next."""

    def __init__(self, max_back_off: float = MAX_BACK_OFF) -> None:
        self.now, self.timing, self.chance = 0.0, WatchTiming(max_back_off), LongestPause()
        self.timing.begin(self.now)

    def ended(self, end: CallEnd) -> None:
        """Ends the call and starts the next one after the pause."""
        self.now += self.timing.pause(end, self.now, self.chance)
        self.timing.begin(self.now)

    def refused_connection(self) -> None:
        """The connection is refused."""
        self.ended(CallEnd.FAILED)

    def silent_connection(self) -> None:
        """The connect times out."""
        self.now += CONNECT_TIMEOUT
        self.ended(CallEnd.FAILED)

    def no_head(self) -> None:
        """The connection is established late and no response follows."""
        self.now = self.timing.head_due(self.now + 0.9 * CONNECT_TIMEOUT)
        self.timing.timed_out()
        self.ended(CallEnd.FAILED)

    def late_head_then_silent(self) -> None:
        """The response head arrives at the last moment, and then nothing."""
        self.now = self.timing.head_due(self.now + 0.9 * CONNECT_TIMEOUT) + SILENCE_TIMEOUT
        self.timing.timed_out()
        self.ended(CallEnd.FAILED)

    def late_refusal(self) -> None:
        """Status 503 arrives at the last moment."""
        self.now = self.timing.head_due(self.now)
        self.ended(CallEnd.UNAVAILABLE)

    def refusal(self) -> None:
        """Status 503 arrives at once."""
        self.ended(CallEnd.UNAVAILABLE)

    def ended_without_an_object(self) -> None:
        """The response head and then the end arrive."""
        self.now += ANSWER_TIME
        self.ended(CallEnd.ENDED)

    def healthy_then_silent(self) -> None:
        """The watch works and then times out; the change occurs right after the last object."""
        self.timing.reset()
        self.now += SILENCE_TIMEOUT
        self.timing.timed_out()
        self.ended(CallEnd.FAILED)

    def cut(self) -> None:
        """The watch works and is then reset."""
        self.timing.reset()
        self.ended(CallEnd.FAILED)


CALLS: tuple[Callable[[Watch], None], ...] = (
    Watch.refused_connection,
    Watch.silent_connection,
    Watch.no_head,
    Watch.late_head_then_silent,
    Watch.late_refusal,
    Watch.refusal,
    Watch.ended_without_an_object,
    Watch.healthy_then_silent,
    Watch.cut,
)
# The worst case of each path in seconds, as in the table in docs/design/endings.md.
WORST = {
    "refused_connection": 2.0,
    "silent_connection": 2.0,
    "no_head": 3.05,
    "late_head_then_silent": 5.65,
    "late_refusal": 4.0,
    "refusal": 4.0,
    "ended_without_an_object": 1.0,
    "healthy_then_silent": 2.65,
    "cut": 0.05,
}


@pytest.mark.parametrize("last", CALLS, ids=lambda call: call.__name__)
def test_change_is_received_within_the_deadline_on_every_path(last: Callable[[Watch], None]) -> None:
    """Discovery has the change and can be reached from the beginning of the `last` failed call."""
    worst = 0.0
    for earlier in product(CALLS, repeat=EARLIER_CALLS):
        watch = Watch()
        for call in (earlier[0],) * ROW + earlier[1:]:
            call(watch)
        back = watch.now
        last(watch)
        worst = max(worst, watch.now - back)
        for _ in range(ENDS_WITHOUT_AN_OBJECT if last is not Watch.late_head_then_silent else 0):
            watch.ended_without_an_object()
        assert watch.now + ANSWER_TIME - back < CHANGE_DEADLINE, [call.__name__ for call in earlier]
    assert worst == pytest.approx(WORST[last.__name__])


def test_ended_watch_back_off_is_limited_with_pushed_lists() -> None:
    watch = Watch(max_back_off=0.25)
    for _ in range(10):
        before = watch.now
        watch.ended_without_an_object()
        assert watch.now - before <= 0.25 + ANSWER_TIME


def test_back_off_grows_while_discovery_keeps_ending_watches() -> None:
    watch, begins = Watch(), [0.0]
    for _ in range(8):
        watch.ended(CallEnd.ENDED)
        begins.append(watch.now)
    pauses = [later - before for before, later in zip(begins, begins[1:], strict=False)]
    assert pauses == pytest.approx([0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.0, 1.0])


def test_back_off_counts_from_the_beginning_of_the_call() -> None:
    with agent() as one:
        timing = one.routes.timing
        timing.back_off = 2.0
        timing.began = one.recorder.loop.now() - MAX_HEAD_TIMEOUT
        # Makes the close a reset.
        one.watch.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        one.watch.close()
        run_until(one.recorder.loop, lambda: one.routes.reconnect_timer)
        assert one.routes.reconnect_timer is not None
        assert one.routes.reconnect_timer.when - one.recorder.loop.now() <= FIRST_BACK_OFF
        one.watch = one.accept()


def test_head_timeout_is_limited_from_the_beginning_of_the_call(monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise a late connection and a late head would add up."""
    timing = WatchTiming()
    timing.begin(10.0)
    timing.head_timeout = MAX_HEAD_TIMEOUT
    assert timing.head_due(10.0 + CONNECT_TIMEOUT) == 10.0 + MAX_HEAD_TIMEOUT
    monkeypatch.setattr(watch_timing, "MAX_HEAD_TIMEOUT", 0.05)
    with agent() as one:
        one.routes.timing.head_timeout = LIMIT
        one.send(json.dumps(change(8)).encode() + b"\n")
        run_until(one.recorder.loop, lambda: len(one.received) == 1)
        one.watch.close()
        run_until(one.recorder.loop, lambda: select.select([one.sock], [], [], 0)[0])
        one.watch = one.sock.accept()[0]  # no response head is sent
        run_until(one.recorder.loop, lambda: any("end routes silent" in line for line in one.recorder.log))


def test_draining_next_hop_missing_from_the_complete_list_after_a_watch_ended(tmp_path: Path) -> None:
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

    def told(agent: socket.socket, *chunks: bytes) -> socket.socket:
        sock = agent.accept()[0]
        sock.settimeout(LIMIT)
        read_until(sock, b"\r\n\r\n")
        sock.sendall(head + b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks))
        return sock

    with listener() as drains, listener() as stays, listener() as agent:
        raw = config(known=known(drains), discovery=f"127.0.0.1:{agent.getsockname()[1]}")
        with program(tmp_path, raw) as running:
            watch = told(agent, b"\n")
            client = running.call()
            watch.sendall(b"0\r\n\r\n")  # the watch ends without reporting that s-1 drains
            told(agent).close()
            other = member(stays.getsockname()) | {"id": "s-2"}
            whole = {"revision": 9, "complete": True, "members": [other]}
            last = told(agent, json.dumps(whole).encode() + b"\n")
            running.logged("end routes peer_closed(.|\n)*end routes")
            client.sendall(command("aa01", d=15_000))
            at_backend = stays.accept()[0]
            at_backend.settimeout(LIMIT)
            read_until(at_backend, b"first=0\r\n")
            assert not select.select([drains], [], [], 0)[0]
            for sock in (watch, client, at_backend, last):
                sock.close()
