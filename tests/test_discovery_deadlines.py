"""A change of the endpoint list is known in time, whatever calls to discovery failed before."""

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

ANSWER_TIME = 0.3  # seconds that a discovery that can be reached takes for an answer at the most
EARLIER_CALLS = 4  # of any kind that ended badly before,
ROW = 7  # the first of them so many times: a back-off has reached its bound by then
ENDS_WITHOUT_A_WORD = 3  # watches in a row that end instead of telling, after discovery is back


class Longest(random.Random):
    """Draws the longest pause each time."""

    def uniform(self, a: float, b: float) -> float:
        """The upper bound."""
        return b


class Watch:
    """Calls on a clock of its own; a method is one call, up to the beginning of the next."""

    def __init__(self, max_back_off: float = MAX_BACK_OFF) -> None:
        self.now, self.timing, self.chance = 0.0, WatchTiming(max_back_off), Longest()
        self.timing.begin(self.now)

    def ended(self, end: CallEnd) -> None:
        """The call is over; the next one begins after the pause."""
        self.now += self.timing.pause(end, self.now, self.chance)
        self.timing.begin(self.now)

    def refused_connection(self) -> None:
        """Nobody listens."""
        self.ended(CallEnd.FAILED)

    def silent_connection(self) -> None:
        """The connection never comes up."""
        self.now += CONNECT_TIMEOUT
        self.ended(CallEnd.FAILED)

    def no_head(self) -> None:
        """The connection comes up late, and nothing is answered."""
        self.now = self.timing.head_due(self.now + 0.9 * CONNECT_TIMEOUT)
        self.timing.timed_out()
        self.ended(CallEnd.FAILED)

    def late_head_then_silent(self) -> None:
        """The head comes in the last moment, and then nothing."""
        self.now = self.timing.head_due(self.now + 0.9 * CONNECT_TIMEOUT) + SILENCE_TIMEOUT
        self.timing.timed_out()
        self.ended(CallEnd.FAILED)

    def late_refusal(self) -> None:
        """Status 503 in the last moment."""
        self.now = self.timing.head_due(self.now)
        self.ended(CallEnd.UNAVAILABLE)

    def refusal(self) -> None:
        """Status 503 at once."""
        self.ended(CallEnd.UNAVAILABLE)

    def ended_without_a_word(self) -> None:
        """The head, and then the end."""
        self.now += ANSWER_TIME
        self.ended(CallEnd.ENDED)

    def healthy_then_silent(self) -> None:
        """A sign of life, and from then on nothing: the change came right after it."""
        self.timing.reset()
        self.now += SILENCE_TIMEOUT
        self.timing.timed_out()
        self.ended(CallEnd.FAILED)

    def cut(self) -> None:
        """A sign of life, and a reset."""
        self.timing.reset()
        self.ended(CallEnd.FAILED)


CALLS: tuple[Callable[[Watch], None], ...] = (
    Watch.refused_connection,
    Watch.silent_connection,
    Watch.no_head,
    Watch.late_head_then_silent,
    Watch.late_refusal,
    Watch.refusal,
    Watch.ended_without_a_word,
    Watch.healthy_then_silent,
    Watch.cut,
)
# The worst case of each path, as the table in docs/design/endings.md has it.
WORST = {
    "refused_connection": 2.0,
    "silent_connection": 2.0,
    "no_head": 3.05,
    "late_head_then_silent": 5.65,
    "late_refusal": 4.0,
    "refusal": 4.0,
    "ended_without_a_word": 1.0,
    "healthy_then_silent": 2.65,
    "cut": 0.05,
}


@pytest.mark.parametrize("last", CALLS, ids=lambda call: call.__name__)
def test_a_change_is_known_in_time_on_every_path(last: Callable[[Watch], None]) -> None:
    """Discovery has the change and can be reached from the beginning of the `last` bad call on."""
    worst = 0.0
    for earlier in product(CALLS, repeat=EARLIER_CALLS):
        watch = Watch()
        for call in (earlier[0],) * ROW + earlier[1:]:
            call(watch)
        back = watch.now
        last(watch)
        worst = max(worst, watch.now - back)
        for _ in range(ENDS_WITHOUT_A_WORD if last is not Watch.late_head_then_silent else 0):
            watch.ended_without_a_word()
        assert watch.now + ANSWER_TIME - back < CHANGE_DEADLINE, [call.__name__ for call in earlier]
    assert worst == pytest.approx(WORST[last.__name__])


def test_where_lists_are_pushed_no_pause_of_a_watch_that_ended_outlasts_half_of_the_grace() -> None:
    watch = Watch(max_back_off=0.25)
    for _ in range(10):
        before = watch.now
        watch.ended_without_a_word()
        assert watch.now - before <= 0.25 + ANSWER_TIME


def test_a_discovery_that_keeps_ending_watches_is_asked_ever_more_rarely() -> None:
    watch, begins = Watch(), [0.0]
    for _ in range(8):
        watch.ended(CallEnd.ENDED)
        begins.append(watch.now)
    pauses = [later - before for before, later in zip(begins, begins[1:], strict=False)]
    assert pauses == pytest.approx([0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.0, 1.0])


def test_the_pause_after_a_call_that_was_waited_for_is_counted_from_its_beginning() -> None:
    with agent() as one:
        timing = one.routes.timing
        timing.back_off = 2.0
        timing.began = one.at.loop.now() - MAX_HEAD_TIMEOUT
        one.watch.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )  # a close is a reset
        one.watch.close()
        run_until(one.at.loop, lambda: one.routes.reconnect_timer)
        assert one.routes.reconnect_timer is not None
        assert one.routes.reconnect_timer.when - one.at.loop.now() <= FIRST_BACK_OFF
        one.watch = one.accept()


def test_a_head_is_due_by_the_beginning_of_its_call(monkeypatch: pytest.MonkeyPatch) -> None:
    """A late connection and a late head would add up."""
    timing = WatchTiming()
    timing.begin(10.0)
    timing.head_timeout = MAX_HEAD_TIMEOUT
    assert timing.head_due(10.0 + CONNECT_TIMEOUT) == 10.0 + MAX_HEAD_TIMEOUT
    monkeypatch.setattr(watch_timing, "MAX_HEAD_TIMEOUT", 0.05)
    with agent() as one:
        one.routes.timing.head_timeout = LIMIT
        one.say(json.dumps(change(8)).encode() + b"\n")
        run_until(one.at.loop, lambda: len(one.told) == 1)
        one.watch.close()
        run_until(one.at.loop, lambda: select.select([one.sock], [], [], 0)[0])
        one.watch = one.sock.accept()[0]  # and no head is sent
        run_until(one.at.loop, lambda: any("end routes silent" in line for line in one.at.log))


def test_a_watch_ends_instead_of_telling_and_the_whole_list_leaves_out_what_drains(tmp_path: Path) -> None:
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
            watch.sendall(b"0\r\n\r\n")  # the watch ends: it should have told that s-1 drains
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
