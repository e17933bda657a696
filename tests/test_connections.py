"""Stateful tests of client and next-hop connections with random steps on real sockets."""

from __future__ import annotations

import gc
import select
import socket
import time
from collections import deque
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from standflow.exchange import Attempt, Exchange, Transaction
from standflow.messages import Failed, Outcome, Refused, Request, Result
from standflow.net import resp
from standflow.net.acceptor import ACCEPT_BATCH
from standflow.net.arrival import MAX_SPANS, READ_SIZE, UnreadBytes
from standflow.net.backend_connection import REPLY_STALL_TIMEOUT
from standflow.net.client_connection import MAX_PIPELINED
from standflow.net.client_side import (
    FIRST_COMMAND_TIMEOUT,
    MAX_READ_STALLS,
    PARTIAL_COMMAND_DRAIN,
    SWEEP_INTERVAL,
    ClientSide,
)
from standflow.net.loop import Loop
from standflow.net.nexthop import NextHops
from standflow.net.timed_reader import LOGGED_UNREAD_SECONDS
from standflow.route_set import Phase, Route, RouteSet
from tests.wire import LIMIT, command, listener, read_until, run_until

STEPS = settings(derandomize=True, max_examples=60, stateful_step_count=30, deadline=None)
ASK = resp.decode_command([b"Q.ASK", b"%016x" % 7, b"aa", b"c=look,t=plain,d=600000,units=1"])


class Recorder:
    """Replaces the driver and the opposite side, and records the calls."""

    def __init__(self) -> None:
        self.log: list[str] = []
        self.loop = Loop(self.log.append)
        kinds = {"look": True, "change": False}
        self.exchange = Exchange(
            self.loop, self.log.append, kinds, frozenset(["plain"]), 1000, 100, default_retry_after=0.25
        )
        self.exchange.decisions = self
        self.opened: list[Transaction] = []
        self.gone: list[Transaction] = []
        self.began: list[Attempt] = []
        self.ended: list[tuple[Attempt, Outcome]] = []

    def transaction_opened(self, transaction: Transaction) -> None:
        self.opened.append(transaction)

    def transaction_gone(self, transaction: Transaction) -> None:
        self.gone.append(transaction)

    def stream_started(self, attempt: Attempt, latency: float) -> None:
        self.began.append(attempt)

    def attempt_ended(self, attempt: Attempt, result: Result, latency: float, finished: bool) -> None:
        self.ended.append((attempt, result.outcome))

    def close(self) -> None:
        for task in list(self.loop.tasks.values()):
            self.loop.end(task)
        self.loop.epoll.close()


class ClientConnectionModel(RuleBasedStateMachine):
    """Answers are sent in the order of the commands; the model is the queue of expected answers."""

    @initialize()
    def start(self) -> None:
        self.recorder = Recorder()
        self.side = ClientSide(
            self.recorder.loop, self.recorder.log.append, self.recorder.exchange, ("127.0.0.1", 0), 10
        )
        self.side.ready = True
        self.client = socket.create_connection(self.side.address)
        run_until(self.recorder.loop, lambda: len(self.side.connections) == 1)
        self.expected_answers: deque[list[bytes | None]] = deque()  # one cell per answer, in order
        self.open: list[tuple[Transaction, list[bytes | None]]] = []
        self.serial = 0

    def read_answers(self) -> None:
        due = b""
        while self.expected_answers and self.expected_answers[0][0] is not None:
            due += self.expected_answers.popleft()[0] or b""
        if due:
            self.client.setblocking(False)
            got = bytearray()

            def read() -> bool:
                try:
                    got.extend(self.client.recv(65536))
                except BlockingIOError:
                    return False
                return len(got) >= len(due)

            run_until(self.recorder.loop, read)
            self.client.setblocking(True)
            assert bytes(got) == due
            self.check_drain()

    @precondition(lambda self: len(self.expected_answers) < 40)
    @rule(cut=st.integers(1, 60))
    def ask(self, cut: int) -> None:
        self.serial += 1
        text = command(f"{self.serial:04x}")
        self.client.sendall(text[:cut])
        self.recorder.loop.call_later(0, int)
        self.recorder.loop.run_once()
        self.client.sendall(text[cut:])
        run_until(self.recorder.loop, lambda: len(self.recorder.opened) == self.serial)
        cell: list[bytes | None] = [None]
        self.expected_answers.append(cell)
        self.open.append((self.recorder.opened[-1], cell))

    @rule()
    def unknown_command(self) -> None:
        self.client.sendall(b"*1\r\n$4\r\nNOPE\r\n")
        self.expected_answers.append([b"-ERR unknown command\r\n"])
        self.read_answers()

    @precondition(lambda self: self.open)
    @rule(which=st.integers(0, 1000), what=st.sampled_from(["refuse", "fail"]))
    def decide(self, which: int, what: str) -> None:
        transaction, cell = self.open.pop(which % len(self.open))
        if what == "refuse":
            self.recorder.exchange.refuse(transaction.name, 0.02)
            cell[0] = b"-BUSY 20\r\n"
        else:
            self.recorder.exchange.fail(transaction.name)
            cell[0] = b"-ERR failed\r\n"
        self.read_answers()

    @rule()
    def evacuate(self) -> None:
        self.side.evacuate(True, 1.0)
        self.check_drain()

    @rule()
    def rejoin(self) -> None:
        self.side.evacuate(False, 2.0)
        assert self.side.pong() == resp.PONG

    def check_drain(self) -> None:
        """A connection of an evacuated ingress ends with the answer after which it has no open request."""
        if not self.side.draining or self.open or not next(iter(self.side.connections)).answered:
            return
        assert self.side.pong().startswith(b"-ERR")
        run_until(self.recorder.loop, self.client_saw_end)
        self.recorder.log.clear()
        self.client = socket.create_connection(self.side.address)
        run_until(self.recorder.loop, lambda: len(self.side.connections) == 1)

    def client_saw_end(self) -> bool:
        """The client sees the end and closes as well."""
        if select.select([self.client], [], [], 0)[0]:
            assert self.client.recv(10) == b""
            self.client.close()
            run_until(self.recorder.loop, lambda: not self.side.connections)
            return True
        return False

    @invariant()
    def nothing_is_answered_twice(self) -> None:
        if hasattr(self, "recorder"):
            assert self.recorder.exchange.open_count == len(self.open)
            assert sum(ends.open for ends in self.recorder.exchange.counts.values()) == len(self.open)

    def teardown(self) -> None:
        if hasattr(self, "recorder"):
            self.client.close()
            run_until(self.recorder.loop, lambda: not self.side.connections)
            # each open transaction is notified that its client has gone, and the connection logs one line
            assert self.recorder.gone == [transaction for transaction, _ in self.open]
            assert sum(line.startswith("end caller") for line in self.recorder.log) == 1
            self.recorder.close()


class NextHopModel(RuleBasedStateMachine):
    """A connection is busy, idle or ended; the model tracks this and the expected outcome of each attempt."""

    @initialize()
    def start(self) -> None:
        self.recorder = Recorder()
        self.hop = listener()
        self.side = self.make_side()
        self.recorder.exchange.next_hops = self.side
        self.set_phase(Phase.SERVING)
        self.busy: list[tuple[Attempt, Any]] = []
        self.idle: list[Any] = []  # the next hop's sockets, most recently used last
        self.expected: dict[Attempt, Outcome] = {}
        self.ends = 0

    def make_side(self) -> NextHops:
        return NextHops(
            self.recorder.loop, self.recorder.log.append, self.recorder.exchange, 60.0, 600.0, 60.0, 10
        )

    def accepted(self) -> Any:
        """Accepts a connection that was just dialled."""
        return self.hop.accept()[0]

    def set_phase(self, phase: Phase) -> None:
        route = Route("s-1", self.hop.getsockname()[:2], "z1", "std", 0, phase, 1.0, None)
        self.side.update_routes(RouteSet(1, True, (route,)))
        self.serving = phase is Phase.SERVING

    def send(self) -> Attempt:
        request = Request("look", "plain", "7", 600.0, 1.0, 1, 0, ASK)
        transaction = self.recorder.exchange.open(request, self.recorder.loop.now(), lambda final: None)
        sent = self.recorder.exchange.send(transaction.name, "s-1", None)
        assert isinstance(sent, Attempt)
        return sent

    @precondition(lambda self: self.serving and len(self.busy) < 8)
    @rule()
    def begin(self) -> None:
        attempt = self.send()
        if self.idle:
            sock = self.idle.pop()  # the most recently used one is reused
        else:
            sock = self.accepted()
            sock.settimeout(20)
        run_until(self.recorder.loop, lambda: attempt.context.fully_written)
        read_until(sock, b"units=1\r\n")
        self.busy.append((attempt, sock))

    @precondition(lambda self: self.busy)
    @rule(
        which=st.integers(0, 1000),
        answer=st.sampled_from(
            [
                (b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", Outcome.OK, True),
                (b"-BUSY\r\n", Outcome.FULL, True),
                (b"-ERR failed\r\n", Outcome.ERROR, True),
                (b"*0\r\n", Outcome.ERROR, False),  # unreadable: the attempt fails and its connection ends
                (b":5\r\n", Outcome.ERROR, False),
                (b"what\r\n", Outcome.ERROR, False),
                (b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n*3\r\n$1\r\n", Outcome.OK, False),
                (b"*3\r\n$1\r\nv\r\n$-1", Outcome.RESET, False),
                (b"", Outcome.RESET, False),
            ]
        ),
    )
    def answer(self, which: int, answer: tuple[bytes, Outcome, bool]) -> None:
        attempt, sock = self.busy.pop(which % len(self.busy))
        text, outcome, whole = answer
        sock.sendall(text)
        if whole and self.serving:
            self.idle.append(sock)
        else:
            sock.close()
            self.ends += 1
        self.expected[attempt] = outcome
        run_until(self.recorder.loop, lambda: attempt.outcome is not None)

    @precondition(lambda self: self.busy)
    @rule(which=st.integers(0, 1000))
    def cancel(self, which: int) -> None:
        attempt, sock = self.busy.pop(which % len(self.busy))
        self.recorder.exchange.cancel(attempt.transaction.name, attempt.number)
        assert sock.recv(1) == b""  # closed, so that the next hop can stop working
        sock.close()
        self.ends += 1
        self.expected[attempt] = Outcome.CANCELLED

    @precondition(lambda self: self.idle)
    @rule(noticed=st.booleans())
    def hop_closes_idle(self, noticed: bool) -> None:
        """Whether the close is noticed by the poll or before the next write, no command may be sent."""
        self.idle.pop().close()
        self.ends += 1
        if noticed:
            run_until(self.recorder.loop, lambda: len(self.lines()) == self.ends)
        elif self.serving and len(self.busy) < 8:
            self.begin()

    @rule(phase=st.sampled_from([Phase.SERVING, Phase.DRAINING]))
    def change_phase(self, phase: Phase) -> None:
        self.set_phase(phase)
        if not self.serving:
            self.ends += len(self.idle)
            for sock in self.idle:
                sock.close()
            self.idle = []

    def lines(self) -> list[str]:
        return [line for line in self.recorder.log if line.startswith("end nexthop")]

    @invariant()
    def outcomes_are_the_models(self) -> None:
        if hasattr(self, "recorder"):
            assert dict(self.recorder.ended) == self.expected
            assert len(self.recorder.ended) == len(self.expected)

    def teardown(self) -> None:
        if hasattr(self, "recorder"):
            run_until(self.recorder.loop, lambda: len(self.lines()) == self.ends)
            assert self.side.connections == len(self.busy) + len(self.idle)
            assert not [line for line in self.recorder.log if "fault" in line]
            for sock in [self.hop, *self.idle, *(s for _, s in self.busy)]:
                sock.close()
            self.recorder.close()


TestClientConnection = ClientConnectionModel.TestCase
TestClientConnection.settings = STEPS
TestNextHop = NextHopModel.TestCase
TestNextHop.settings = STEPS


def test_unknown_or_refusing_next_hop_is_a_failed_connect() -> None:
    recorder, hop = Recorder(), listener()
    side = NextHops(recorder.loop, recorder.log.append, recorder.exchange, 0.01, 5.0, 60.0, 10)
    recorder.exchange.next_hops = side
    route = Route("s-1", hop.getsockname()[:2], "z1", "std", 0, Phase.SERVING, 1.0, None)
    hop.close()
    side.update_routes(RouteSet(1, True, (route,)))
    finals: list[object] = []
    request = Request("look", "plain", "7", 60.0, 1.0, 1, 0, ASK)
    transaction = recorder.exchange.open(request, recorder.loop.now(), finals.append)
    for name in ("s-1", "s-unheard"):
        recorder.exchange.send(transaction.name, name, None)
    assert recorder.ended == []  # an outcome is never reported within the call that sent the attempt
    run_until(recorder.loop, lambda: len(recorder.ended) == 2)
    assert [outcome for _, outcome in recorder.ended] == [Outcome.CONNECT_FAILED] * 2
    recorder.exchange.refuse(transaction.name, None)
    assert finals == [Refused(None)]
    recorder.close()


def test_unsent_attempt_ends_with_the_drain_grace() -> None:
    recorder = Recorder()
    with socket.socket() as hop:
        hop.bind(("127.0.0.1", 0))
        hop.listen(0)
        full = [socket.socket() for _ in range(3)]  # the backlog is full: dialling hangs
        for sock in full:
            sock.setblocking(False)
            sock.connect_ex(hop.getsockname())
        side = NextHops(recorder.loop, recorder.log.append, recorder.exchange, 60.0, 5.0, 0.06, 10)
        recorder.exchange.next_hops = side
        route = Route("s-1", hop.getsockname()[:2], "z1", "std", 0, Phase.SERVING, 1.0, None)
        side.update_routes(RouteSet(1, True, (route,)))
        request = Request("look", "plain", "7", 60.0, 1.0, 1, 0, ASK)
        transaction = recorder.exchange.open(request, recorder.loop.now(), lambda final: None)
        recorder.exchange.send(transaction.name, "s-1", None)
        side.update_routes(RouteSet(2, True, ()))
        run_until(recorder.loop, lambda: recorder.ended)
        assert recorder.ended[0][1] is Outcome.CONNECT_FAILED
        assert any("end nexthop s-1 drained" in line for line in recorder.log)
        for sock in full:
            sock.close()
    recorder.close()


def test_exchange_answers_once_and_in_time_whatever_the_module_does() -> None:
    recorder = Recorder()
    finals: dict[str, list[object]] = {}
    for number, (kind, ran) in enumerate([("look", True), ("change", False), ("change", True)]):
        got = finals.setdefault(f"{kind} {ran}", [])
        request = Request(kind, "plain", "7", 0.05, 1.0, 1, 0, None)
        transaction = recorder.exchange.open(request, recorder.loop.now(), got.append)
        if ran:
            attempt = Attempt(transaction, 0, "s-1", 0.0, 0.0)
            transaction.attempts.append(attempt)
            transaction.running += 1
        run_until(recorder.loop, lambda: got)  # noqa: B023
        assert recorder.loop.now() >= transaction.deadline - Exchange.DEADLINE_MARGIN
        assert recorder.gone[number] is transaction
        recorder.exchange.refuse(transaction.name, 1.0)
        recorder.exchange.fail(transaction.name)
        if ran:
            recorder.exchange.attempt_ended(attempt, Result(Outcome.OK, b"late"))
            assert recorder.ended[-1] == (attempt, Outcome.OK)  # the module gets the late result as well
    refused = [Refused(0.25)]
    assert finals == {"look True": refused, "change False": refused, "change True": [Failed("failed")]}
    assert not recorder.exchange.transactions
    recorder.close()


def test_incomplete_answer_is_given_up_before_the_request_times_out() -> None:
    """An answer with a wrong length used to hold its request until the deadline."""
    recorder, hop = Recorder(), listener()
    side = NextHops(recorder.loop, recorder.log.append, recorder.exchange, 60.0, 600.0, 60.0, 10)
    recorder.exchange.next_hops = side
    route = Route("s-1", hop.getsockname()[:2], "z1", "std", 0, Phase.SERVING, 1.0, None)
    side.update_routes(RouteSet(1, True, (route,)))
    request = Request("look", "plain", "7", 600.0, 1.0, 1, 0, ASK)
    attempt = recorder.exchange.send(
        recorder.exchange.open(request, recorder.loop.now(), lambda final: None).name, "s-1", None
    )
    with hop.accept()[0] as sock:
        assert attempt is not None
        run_until(recorder.loop, lambda: attempt.context.fully_written)
        sock.sendall(b"*3\r\n$900\r\nvalue\r\n$-1\r\n$-1\r\n")
        run_until(recorder.loop, lambda: recorder.ended)
    assert recorder.ended == [(attempt, Outcome.ERROR)]
    assert any("end nexthop s-1 stalled" in line for line in recorder.log)
    hop.close()
    recorder.close()


@pytest.mark.parametrize("kind", ["unsafe", "last attempt", "another may follow"])
@pytest.mark.parametrize("cut", [1, 8, 20])
def test_answer_in_pieces_is_waited_for_where_no_other_attempt_may_follow(cut: int, kind: str) -> None:
    """Guards against a short answer that is given up in a pause though nothing else can serve its request."""
    recorder, hop = Recorder(), listener()
    side = NextHops(recorder.loop, recorder.log.append, recorder.exchange, 60.0, 600.0, 60.0, 10)
    recorder.exchange.next_hops = side
    recorder.exchange.max_attempts = 1 if kind == "last attempt" else 2
    route = Route("s-1", hop.getsockname()[:2], "z1", "std", 0, Phase.SERVING, 1.0, None)
    side.update_routes(RouteSet(1, True, (route,)))
    request = Request("change" if kind == "unsafe" else "look", "plain", "7", 600.0, 1.0, 1, 0, ASK)
    transaction = recorder.exchange.open(request, recorder.loop.now(), lambda final: None)
    attempt = recorder.exchange.send(transaction.name, "s-1", None)
    answer = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
    with hop.accept()[0] as sock:
        assert attempt is not None
        run_until(recorder.loop, lambda: attempt.context.fully_written)
        sock.sendall(answer[:cut])
        end = recorder.loop.now() + 3 * REPLY_STALL_TIMEOUT
        run_until(recorder.loop, lambda: recorder.loop.now() > end)
        followed = kind == "another may follow"
        assert recorder.ended == ([(attempt, Outcome.ERROR)] if followed else [])
        if not followed:
            sock.sendall(answer[cut:])
            run_until(recorder.loop, lambda: recorder.ended)
            assert recorder.ended == [(attempt, Outcome.OK)]
    hop.close()
    recorder.close()


def test_unsafe_request_that_may_have_run_is_neither_retried_nor_refused() -> None:
    recorder = Recorder()
    finals: list[object] = []
    request = Request("change", "plain", "7", 60.0, 1.0, 1, 0, None)
    transaction = recorder.exchange.open(request, recorder.loop.now(), finals.append)
    attempt = Attempt(transaction, 0, "s-1", 0.0, 60.0)
    transaction.attempts.append(attempt)
    transaction.running += 1
    sent = recorder.exchange.send(transaction.name, "s-1", None)
    assert sent is not None
    assert recorder.ended == [(sent, Outcome.MOOT)]
    recorder.exchange.refuse(transaction.name, 1.0)
    assert finals == [Failed("failed")]
    recorder.close()


def test_connection_closed_while_reporting_its_outcome_gets_no_further_attempt() -> None:
    """The connection ends only when its coroutine yields; an attempt written before that would be reset."""
    recorder, hop = Recorder(), listener()
    side = NextHops(recorder.loop, recorder.log.append, recorder.exchange, 60.0, 600.0, 60.0, 10)
    recorder.exchange.next_hops = side
    route = Route("s-1", hop.getsockname()[:2], "z1", "std", 0, Phase.SERVING, 1.0, None)
    side.update_routes(RouteSet(1, True, (route,)))
    request = Request("look", "plain", "7", 60.0, 1.0, 1, 0, ASK)
    names = [recorder.exchange.open(request, recorder.loop.now(), lambda final: None).name for _ in range(2)]
    told = recorder.attempt_ended

    def attempt_ended(attempt: Attempt, result: Result, latency: float, finished: bool) -> None:
        told(attempt, result, latency, finished)
        if attempt.transaction.name == names[0]:
            side.close_idle("s-1")
            recorder.exchange.send(names[1], "s-1", None)

    recorder.attempt_ended = attempt_ended  # type: ignore[method-assign]
    recorder.exchange.send(names[0], "s-1", None)
    first, _ = hop.accept()
    run_until(
        recorder.loop, lambda: recorder.exchange.transactions[names[0]].attempts[0].context.fully_written
    )
    first.sendall(b"-BUSY\r\n")
    run_until(recorder.loop, lambda: recorder.ended)
    second, _ = hop.accept()
    run_until(
        recorder.loop, lambda: recorder.exchange.transactions[names[1]].attempts[0].context.fully_written
    )
    second.sendall(b"-BUSY\r\n")
    run_until(recorder.loop, lambda: len(recorder.ended) == 2)
    assert [outcome for _, outcome in recorder.ended] == [Outcome.FULL, Outcome.FULL]
    for sock in (hop, first, second):
        sock.close()
    recorder.close()


def test_nothing_is_read_before_serving_starts_and_the_wait_counts() -> None:
    """A restarted ingress used to send early requests by its saved, stale route set."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 4)
    with socket.create_connection(side.address) as client:
        client.sendall(b"*1\r\n$4\r\nPING\r\n" + command("0001", d=300))
        run_until(recorder.loop, lambda: side.connections)
        began = recorder.loop.now()
        run_until(recorder.loop, lambda: recorder.loop.now() > began + 0.05)
        assert recorder.opened == []
        assert not select.select([client], [], [], 0)[0]
        side.start_serving()
        run_until(recorder.loop, lambda: recorder.opened)
        # The time limit counts from the start of the connection, not from the read.
        assert recorder.opened[0].deadline <= began + 0.3
        assert read_until(client, b"\r\n") == b"+PONG\r\n"
    recorder.close()


def test_expired_drain_spares_a_new_connection_before_its_first_command() -> None:
    """1.5 s into an evacuation new connections used to be closed over commands under way: 3 to 8 of 5,100."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 4)
    side.start_serving()
    with socket.create_connection(side.address) as client:
        run_until(recorder.loop, lambda: side.connections)
        side.evacuate(True, 1.0)
        side._expire_drain(side.drain_count)
        client.sendall(b"*1\r\n$4\r\nPING\r\n")
        run_until(recorder.loop, lambda: select.select([client], [], [], 0)[0])
        assert read_until(client, b"\r\n") == b"-ERR evacuated\r\n"
        run_until(recorder.loop, lambda: not side.connections or select.select([client], [], [], 0)[0])
    recorder.close()


@pytest.mark.parametrize("end", ["rest", "close", "nothing"])
def test_draining_connection_whose_command_takes_long_is_ended(end: str) -> None:
    """Guards against a sweep that fails, or leaves a draining connection, as its client does its worst."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    text = command("aa01", body=b"x" * 100_000)
    with socket.create_connection(side.address) as client:
        client.settimeout(LIMIT)
        client.sendall(text[:80_000])
        run_until(recorder.loop, lambda: any(one.long_body for one in side.connections))
        connection = next(iter(side.connections))
        side._drain_connection(connection)
        connection.draining_since -= PARTIAL_COMMAND_DRAIN
        if end == "rest":
            client.sendall(text[80_000:])
        elif end == "close":
            client.close()
        side._sweep()
        if end != "close":
            run_until(recorder.loop, lambda: select.select([client], [], [], 0)[0])
            assert read_until(client, b"\r\n") == b"-BUSY 250\r\n"
            client.close()
        run_until(recorder.loop, lambda: not side.connections)
    assert side.body_budget.used == 0
    assert recorder.opened == []
    recorder.close()


def test_connections_without_a_command_are_closed_and_others_stay() -> None:
    """Silent connections used to occupy their slots for 20 s."""
    recorder, clock = Recorder(), [100.0]
    recorder.loop.now = lambda: clock[0]  # type: ignore[method-assign]
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 4)
    side.ready = True

    def sweep() -> None:
        recorder.loop.timers.clear()  # only sweeps called by the test
        side._sweep()
        recorder.loop.timers.clear()

    recorder.loop.timers.clear()
    usual, silent, half, done = clients = [socket.create_connection(side.address) for _ in range(4)]
    for client, sent in zip(clients, (b"PING", b"", b"PI", b"PING"), strict=True):
        client.settimeout(20)
        client.sendall(b"*1\r\n$4\r\n" + sent + b"\r\n" if sent else b"")
    for client in (usual, done):
        run_until(recorder.loop, lambda: sum(connection.answered for connection in side.connections) == 2)
        assert read_until(client, b"\r\n") == b"+PONG\r\n"
    done.sendall(b"*1\r\n$4\r\nPI")  # a partial command that keeps growing is tolerated
    run_until(
        recorder.loop, lambda: sum(bool(connection.buffer.data) for connection in side.connections) == 2
    )
    clock[0] += FIRST_COMMAND_TIMEOUT / 2
    sweep()
    assert len(side.connections) == 4
    fresh = socket.create_connection(side.address)  # at the limit the longest idle one is evicted
    run_until(recorder.loop, lambda: any("end caller cap answered=0" in line for line in recorder.log))
    clock[0] += FIRST_COMMAND_TIMEOUT / 2 + 0.1
    sweep()
    assert len(side.connections) == 3
    assert [line.split()[2] for line in recorder.log if line.startswith("end caller")] == ["cap", "silent"]
    answers = sorted(client.recv(100) for client in (silent, half))
    assert answers == [b"", b"-ERR no whole command in time\r\n"]
    for _ in range(MAX_READ_STALLS + 1):
        sweep()
    assert "end caller slow_writer" in recorder.log[-1]
    usual.sendall(b"*1\r\n$4\r\nPING\r\n")
    run_until(recorder.loop, lambda: sum(connection.answered for connection in side.connections) == 2)
    for client in (*clients, fresh):
        client.close()
    recorder.close()


def test_answered_request_leaves_no_reference_cycle() -> None:
    """Such cycles waited for the garbage collector by the megabyte and looked like a memory leak."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 4)
    side.start_serving()
    with socket.create_connection(side.address) as client:
        for serial in range(20):
            client.sendall(command(f"{serial:04x}"))
            run_until(recorder.loop, lambda: len(recorder.opened) == 1)
            recorder.exchange.fail(recorder.opened.pop().name)
            if serial == 9:
                gc.collect()
                gc.disable()
        try:
            assert gc.collect() < 10
        finally:
            gc.enable()
    recorder.close()


def test_pause_in_which_nothing_waited_does_not_count_against_the_time_left() -> None:
    """Guards against a pause of reading that is charged to a command which came long after it."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    with socket.create_connection(side.address) as client:
        client.sendall(b"".join(command(f"{n:04x}") for n in range(MAX_PIPELINED)))
        run_until(recorder.loop, lambda: len(recorder.opened) == MAX_PIPELINED)
        assert next(iter(side.connections)).reader.paused
        for transaction in recorder.opened:
            recorder.exchange.fail(transaction.name)
        end = recorder.loop.now() + 0.3
        run_until(recorder.loop, lambda: recorder.loop.now() > end)
        sent_at = recorder.loop.now()
        client.sendall(command("ffff"))
        run_until(recorder.loop, lambda: len(recorder.opened) > MAX_PIPELINED)
        late = recorder.opened[-1]
        assert late.deadline - late.request.timeout > sent_at - 0.1
    recorder.close()


def test_wait_behind_other_commands_counts_against_the_time_left() -> None:
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    with socket.create_connection(side.address) as client:
        client.sendall(b"".join(command(f"{n:04x}") for n in range(MAX_PIPELINED + 1)))
        run_until(recorder.loop, lambda: len(recorder.opened) == MAX_PIPELINED)
        client.sendall(command("ffff"))
        since = recorder.loop.now()
        time.sleep(0.02)
        iterations = recorder.loop.iteration
        run_until(recorder.loop, lambda: recorder.loop.iteration >= iterations + 3)  # the loop has caught up
        for transaction in recorder.opened[:2]:
            recorder.exchange.fail(transaction.name)
            run_until(recorder.loop, lambda: len(recorder.opened) > MAX_PIPELINED)
        run_until(recorder.loop, lambda: len(recorder.opened) == MAX_PIPELINED + 2)
        for transaction in recorder.opened[MAX_PIPELINED:]:
            assert transaction.deadline - transaction.request.timeout <= since
    recorder.close()


def connect_with_room(side: ClientSide) -> socket.socket:
    """Connects a client, of which the ingress's kernel takes some 200 KiB while nothing is read."""
    client = socket.create_connection(side.address)
    run_until(side.loop, lambda: side.connections)
    next(iter(side.connections)).sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * READ_SIZE)
    return client


def test_commands_beyond_one_read_that_waited_unread_are_not_dated_as_new() -> None:
    """Guards against commands that are served seconds late, as only the first read counted their wait."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    many = MAX_PIPELINED + 3 * READ_SIZE // len(command("0000", body=b"x" * 400))
    with connect_with_room(side) as client:
        client.sendall(b"".join(command(f"{n:04x}", body=b"x" * 400) for n in range(many)))
        run_until(recorder.loop, lambda: len(recorder.opened) == MAX_PIPELINED)
        sent_at = recorder.loop.now()
        end = sent_at + LOGGED_UNREAD_SECONDS + 0.1
        run_until(recorder.loop, lambda: recorder.loop.now() > end)
        for number in range(many):
            run_until(recorder.loop, lambda number=number: len(recorder.opened) > number)  # type: ignore[misc]
            recorder.exchange.fail(recorder.opened[number].name)
    latest = max(transaction.deadline - transaction.request.timeout for transaction in recorder.opened)
    assert latest - sent_at < 0.05
    assert any("bytes waited unread for up to 0.6" in line for line in recorder.log)
    recorder.close()


def test_command_that_comes_late_in_a_pause_of_reading_keeps_its_time() -> None:
    """Guards against a command that is refused as late, as all of a long pause is charged to it."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    with socket.create_connection(side.address) as client:
        client.sendall(b"".join(command(f"{n:04x}") for n in range(MAX_PIPELINED)))
        run_until(recorder.loop, lambda: len(recorder.opened) == MAX_PIPELINED)
        client.sendall(command("fffe"))
        first_sent_at = recorder.loop.now()
        end = first_sent_at + 1.0
        run_until(recorder.loop, lambda: recorder.loop.now() > end)
        sent_at = recorder.loop.now()
        client.sendall(command("ffff"))
        run_until(recorder.loop, lambda: recorder.loop.now() > sent_at + 0.02)
        for transaction in list(recorder.opened):
            recorder.exchange.fail(transaction.name)
        run_until(recorder.loop, lambda: len(recorder.opened) == MAX_PIPELINED + 2)
    first, last = (one.deadline - one.request.timeout for one in recorder.opened[MAX_PIPELINED:])
    assert first <= first_sent_at
    assert sent_at - 2 * SWEEP_INTERVAL < last <= sent_at + 0.02
    recorder.close()


def test_body_that_waited_for_memory_is_not_dated_as_new() -> None:
    """Guards against a backend that is told more time than is left, as a body waited unread for memory."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    size = 3 * READ_SIZE
    side.body_budget.budget = size
    taken = side.body_budget.reserve("another", size, lambda: None)
    assert taken
    with connect_with_room(side) as client:
        client.sendall(command("aa01", body=b"x" * size))
        sent_at = recorder.loop.now()
        run_until(recorder.loop, lambda: side.body_budget.waiting)
        run_until(recorder.loop, lambda: recorder.loop.now() > sent_at + 0.4)
        side.body_budget.release(size)
        run_until(recorder.loop, lambda: recorder.opened)
    dated = recorder.opened[0].deadline - recorder.opened[0].request.timeout
    assert dated - sent_at < 0.1
    recorder.close()


def test_connection_with_enough_open_commands_is_not_read_as_its_drain_is_overdue() -> None:
    """Guards against commands read beyond the limit, which would take the place and time of earlier ones."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    text = command("0000", body=b"x" * 2000)
    many = MAX_PIPELINED + 4 * READ_SIZE // len(text)
    with socket.create_connection(side.address) as client:
        client.sendall(b"".join(command(f"{n:04x}", body=b"x" * 2000) for n in range(many)))
        run_until(recorder.loop, lambda: len(recorder.opened) == MAX_PIPELINED)
        connection = next(iter(side.connections))
        side._drain_connection(connection)
        connection.draining_since -= PARTIAL_COMMAND_DRAIN
        held = len(connection.buffer.data)
        for _ in range(3):
            side._sweep()
        assert len(connection.buffer.data) == held
    recorder.close()


class KernelModel:
    """The receive buffer of one connection: consecutive bytes and the times at which they arrived."""

    def __init__(self) -> None:
        self.arrivals: deque[tuple[int, float]] = deque()

    @property
    def size(self) -> int:
        return sum(size for size, _ in self.arrivals)

    def read(self, size: int) -> tuple[int, float]:
        """Returns the number of bytes read, and when the last of them arrived."""
        taken, last = 0, 0.0
        while self.arrivals and taken < size:
            part, last = self.arrivals.popleft()
            if taken + part > size:
                self.arrivals.appendleft((taken + part - size, last))
            taken = min(size, taken + part)
        return taken, last


@given(st.lists(st.tuples(st.sampled_from(["arrive", "read", "count"]), st.integers(1, 3 * READ_SIZE))))
def test_unread_bytes_are_never_dated_later_than_they_arrived(steps: list[tuple[str, int]]) -> None:
    """Guards against a backend that is told more time than is left, however reads and arrivals alternate."""
    unread, kernel, clock = UnreadBytes(), KernelModel(), 0.0
    for step, size in [*steps, *[("read", 0)] * (3 * len(steps) + MAX_SPANS)]:
        clock += 1.0
        reported = kernel.arrivals[0][1] if kernel.arrivals else clock  # by the poll that noticed it
        if step == "arrive":
            kernel.arrivals.append((size, clock))
        elif step == "count":
            unread.count(kernel.size, clock, reported)
        elif kernel.size:
            wanted = unread.next_read_size()
            taken, arrived_at = kernel.read(wanted)
            assert unread.bytes_read(taken, wanted, reported) <= arrived_at
            if taken == wanted:
                unread.count(kernel.size, clock, reported)
        assert len(unread.spans) <= MAX_SPANS
    assert not kernel.size


def test_wait_to_be_accepted_counts_against_the_time_left() -> None:
    # Guards against a backend that is told more time than is left, after a burst of new connections.
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 200)
    side.start_serving()
    clients = [socket.create_connection(side.address) for _ in range(ACCEPT_BATCH + 20)]
    for number, client in enumerate(clients):
        client.sendall(command(f"{number:04x}"))
    sent_at = recorder.loop.now()
    recorder.loop.every(0.0, lambda: time.sleep(0.1))  # a slow iteration after each batch
    run_until(recorder.loop, lambda: len(recorder.opened) == len(clients))
    latest = max(transaction.deadline - transaction.request.timeout for transaction in recorder.opened)
    assert latest - sent_at < 0.05
    for client in clients:
        client.close()
    recorder.close()


def test_command_whose_first_write_fails_is_sent_on_another_connection() -> None:
    """No byte of it was sent: it must neither be lost nor count as started."""
    recorder, hop = Recorder(), listener()
    side = NextHops(recorder.loop, recorder.log.append, recorder.exchange, 60.0, 600.0, 60.0, 10)
    recorder.exchange.next_hops = side
    route = Route("s-1", hop.getsockname()[:2], "z1", "std", 0, Phase.SERVING, 1.0, None)
    side.update_routes(RouteSet(1, True, (route,)))
    request = Request("change", "plain", "7", 600.0, 1.0, 1, 0, ASK)
    names = [recorder.exchange.open(request, recorder.loop.now(), lambda final: None).name for _ in range(2)]
    first = recorder.exchange.send(names[0], "s-1", None)
    with hop.accept()[0] as sock:
        assert first is not None
        run_until(recorder.loop, lambda: first.context.fully_written)
        sock.sendall(b"-BUSY\r\n")
        run_until(recorder.loop, lambda: recorder.ended)
        idle = side.hops["s-1"].idle[0]
        idle.sock.shutdown(socket.SHUT_WR)  # the next write fails without any earlier sign
        second = recorder.exchange.send(names[1], "s-1", None)
        assert second is not None
        with hop.accept()[0] as other:
            run_until(recorder.loop, lambda: second.context.fully_written)
            read_until(other, b"units=1\r\n")
            other.sendall(b"-BUSY\r\n")
            run_until(recorder.loop, lambda: second.outcome)
    assert second.outcome is Outcome.FULL
    assert any("end nexthop s-1 stale served=1" in line for line in recorder.log)
    hop.close()
    recorder.close()
