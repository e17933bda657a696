"""Connections against models of their states, by random steps on real sockets."""

from __future__ import annotations

import gc
import select
import socket
import time
from collections import deque
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from standflow.exchange import (
    Branch,
    Exchange,
    Failed,
    Outcome,
    Phase,
    Refused,
    Request,
    Result,
    Route,
    RouteSet,
    Transaction,
)
from standflow.net import resp
from standflow.net.client_connection import MAX_PIPELINED
from standflow.net.client_side import FIRST_COMMAND_TIMEOUT, MAX_READ_STALLS, ClientSide
from standflow.net.loop import Loop
from standflow.net.nexthop import NextHops
from tests.wire import command, listener, read_until, run_until

STEPS = settings(derandomize=True, max_examples=60, stateful_step_count=30, deadline=None)
ASK = resp.decode_command([b"Q.ASK", b"%016x" % 7, b"aa", b"c=look,t=plain,d=600000,units=1"])


class Recorder:
    """Stands where the driver and the other side would be, and notes what it is told."""

    def __init__(self) -> None:
        self.log: list[str] = []
        self.loop = Loop(self.log.append)
        kinds = {"look": True, "change": False}
        self.exchange = Exchange(
            self.loop, self.log.append, kinds, frozenset(["plain"]), 1000, 100, come_back=0.25
        )
        self.exchange.decisions = self
        self.opened: list[Transaction] = []
        self.gone: list[Transaction] = []
        self.began: list[Branch] = []
        self.ended: list[tuple[Branch, Outcome]] = []

    def transaction_opened(self, transaction: Transaction) -> None:
        self.opened.append(transaction)

    def transaction_gone(self, transaction: Transaction) -> None:
        self.gone.append(transaction)

    def branch_began(self, branch: Branch, latency: float) -> None:
        self.began.append(branch)

    def branch_ended(self, branch: Branch, result: Result, latency: float, finished: bool) -> None:
        self.ended.append((branch, result.outcome))

    def close(self) -> None:
        for task in list(self.loop.tasks.values()):
            self.loop.end(task)
        self.loop.epoll.close()


class ClientConnectionModel(RuleBasedStateMachine):
    """A connection owes its answers in the order of its commands; the model is the queue of what is owed."""

    @initialize()
    def start(self) -> None:
        self.at = Recorder()
        self.side = ClientSide(self.at.loop, self.at.log.append, self.at.exchange, ("127.0.0.1", 0), 10)
        self.side.ready = True
        self.caller = socket.create_connection(self.side.address)
        run_until(self.at.loop, lambda: len(self.side.connections) == 1)
        self.owed: deque[list[bytes | None]] = deque()  # one cell an answer, in order
        self.open: list[tuple[Transaction, list[bytes | None]]] = []
        self.serial = 0

    def flushed(self) -> None:
        due = b""
        while self.owed and self.owed[0][0] is not None:
            due += self.owed.popleft()[0] or b""
        if due:
            self.caller.setblocking(False)
            got = bytearray()

            def read() -> bool:
                try:
                    got.extend(self.caller.recv(65536))
                except BlockingIOError:
                    return False
                return len(got) >= len(due)

            run_until(self.at.loop, read)
            self.caller.setblocking(True)
            assert bytes(got) == due
            self.left()

    @precondition(lambda self: len(self.owed) < 40)
    @rule(cut=st.integers(1, 60))
    def ask(self, cut: int) -> None:
        self.serial += 1
        text = command(f"{self.serial:04x}")
        self.caller.sendall(text[:cut])
        self.at.loop.call_later(0, int)
        self.at.loop.run_once()
        self.caller.sendall(text[cut:])
        run_until(self.at.loop, lambda: len(self.at.opened) == self.serial)
        cell: list[bytes | None] = [None]
        self.owed.append(cell)
        self.open.append((self.at.opened[-1], cell))

    @rule()
    def bad(self) -> None:
        self.caller.sendall(b"*1\r\n$4\r\nNOPE\r\n")
        self.owed.append([b"-ERR unknown command\r\n"])
        self.flushed()

    @precondition(lambda self: self.open)
    @rule(which=st.integers(0, 1000), what=st.sampled_from(["refuse", "fail"]))
    def decide(self, which: int, what: str) -> None:
        transaction, cell = self.open.pop(which % len(self.open))
        if what == "refuse":
            self.at.exchange.refuse(transaction.name, 0.02)
            cell[0] = b"-BUSY 20\r\n"
        else:
            self.at.exchange.fail(transaction.name)
            cell[0] = b"-ERR failed\r\n"
        self.flushed()

    @rule()
    def evacuate(self) -> None:
        self.side.evacuate(True, 1.0)
        self.left()

    @rule()
    def rejoin(self) -> None:
        self.side.evacuate(False, 2.0)
        assert self.side.pong() == resp.PONG

    def left(self) -> None:
        """A connection of an emptied ingress ends with the answer that leaves nothing open on it."""
        if not self.side.draining or self.open or not next(iter(self.side.connections)).answered:
            return
        assert self.side.pong().startswith(b"-ERR")
        run_until(self.at.loop, self.gone)
        self.at.log.clear()
        self.caller = socket.create_connection(self.side.address)
        run_until(self.at.loop, lambda: len(self.side.connections) == 1)

    def gone(self) -> bool:
        """The caller sees the end, and closes as well."""
        if select.select([self.caller], [], [], 0)[0]:
            assert self.caller.recv(10) == b""
            self.caller.close()
            run_until(self.at.loop, lambda: not self.side.connections)
            return True
        return False

    @invariant()
    def nothing_is_answered_twice(self) -> None:
        if hasattr(self, "at"):
            assert self.at.exchange.open_count == len(self.open)
            assert sum(ends.open for ends in self.at.exchange.ends.values()) == len(self.open)

    def teardown(self) -> None:
        if hasattr(self, "at"):
            self.caller.close()
            run_until(self.at.loop, lambda: not self.side.connections)
            # each transaction still open hears that its caller has left, and the connection leaves one line
            assert self.at.gone == [transaction for transaction, _ in self.open]
            assert sum(line.startswith("end caller") for line in self.at.log) == 1
            self.at.close()


class NextHopModel(RuleBasedStateMachine):
    """A connection is busy, idle or ended; the model says which, and how each branch must end."""

    @initialize()
    def start(self) -> None:
        self.at = Recorder()
        self.hop = listener()
        self.side = self.make_side()
        self.at.exchange.next_hops = self.side
        self.tell(Phase.SERVING)
        self.busy: list[tuple[Branch, Any]] = []
        self.idle: list[Any] = []  # at the hop's end, the one used last is last
        self.expected: dict[Branch, Outcome] = {}
        self.ends = 0

    def make_side(self) -> NextHops:
        return NextHops(self.at.loop, self.at.log.append, self.at.exchange, 60.0, 600.0, 60.0, 10)

    def accepted(self) -> Any:
        """The next hop's end of a connection that was just dialled."""
        return self.hop.accept()[0]

    def tell(self, phase: Phase) -> None:
        route = Route("s-1", self.hop.getsockname()[:2], "z1", "std", 0, phase, 1.0, None)
        self.side.update_routes(RouteSet(1, True, (route,)))
        self.serving = phase is Phase.SERVING

    def send(self) -> Branch:
        request = Request("look", "plain", "7", 600.0, 1.0, 1, 0, ASK)
        transaction = self.at.exchange.open(request, self.at.loop.now(), lambda final: None)
        sent = self.at.exchange.send(transaction.name, "s-1", None)
        assert isinstance(sent, Branch)
        return sent

    @precondition(lambda self: self.serving and len(self.busy) < 8)
    @rule()
    def begin(self) -> None:
        branch = self.send()
        if self.idle:
            sock = self.idle.pop()  # the latest is used again
        else:
            sock = self.accepted()
            sock.settimeout(20)
        run_until(self.at.loop, lambda: branch.carrier.fully_written)
        read_until(sock, b"units=1\r\n")
        self.busy.append((branch, sock))

    @precondition(lambda self: self.busy)
    @rule(
        which=st.integers(0, 1000),
        answer=st.sampled_from(
            [
                (b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", Outcome.OK, True),
                (b"-BUSY\r\n", Outcome.FULL, True),
                (b"-ERR failed\r\n", Outcome.ERROR, True),
                (b"*0\r\n", Outcome.ERROR, False),  # spoilt: a failed branch, and the end of its connection
                (b":5\r\n", Outcome.ERROR, False),
                (b"what\r\n", Outcome.ERROR, False),
                (b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n*3\r\n$1\r\n", Outcome.OK, False),
                (b"*3\r\n$1\r\nv\r\n$-1", Outcome.RESET, False),
                (b"", Outcome.RESET, False),
            ]
        ),
    )
    def answer(self, which: int, answer: tuple[bytes, Outcome, bool]) -> None:
        branch, sock = self.busy.pop(which % len(self.busy))
        text, outcome, whole = answer
        sock.sendall(text)
        if whole and self.serving:
            self.idle.append(sock)
        else:
            sock.close()
            self.ends += 1
        self.expected[branch] = outcome
        run_until(self.at.loop, lambda: branch.ended is not None)

    @precondition(lambda self: self.busy)
    @rule(which=st.integers(0, 1000))
    def cancel(self, which: int) -> None:
        branch, sock = self.busy.pop(which % len(self.busy))
        self.at.exchange.cancel(branch.transaction.name, branch.number)
        assert sock.recv(1) == b""  # giving up closes, so that the hop can stop working
        sock.close()
        self.ends += 1
        self.expected[branch] = Outcome.CANCELLED

    @precondition(lambda self: self.idle)
    @rule(noticed=st.booleans())
    def hop_closes_idle(self, noticed: bool) -> None:
        """Noticed by the poll or only before the next write: no command may go there."""
        self.idle.pop().close()
        self.ends += 1
        if noticed:
            run_until(self.at.loop, lambda: len(self.lines()) == self.ends)
        elif self.serving and len(self.busy) < 8:
            self.begin()

    @rule(phase=st.sampled_from([Phase.SERVING, Phase.DRAINING]))
    def told(self, phase: Phase) -> None:
        self.tell(phase)
        if not self.serving:
            self.ends += len(self.idle)
            for sock in self.idle:
                sock.close()
            self.idle = []

    def lines(self) -> list[str]:
        return [line for line in self.at.log if line.startswith("end nexthop")]

    @invariant()
    def outcomes_are_the_models(self) -> None:
        if hasattr(self, "at"):
            assert dict(self.at.ended) == self.expected
            assert len(self.at.ended) == len(self.expected)

    def teardown(self) -> None:
        if hasattr(self, "at"):
            run_until(self.at.loop, lambda: len(self.lines()) == self.ends)
            assert self.side.connections == len(self.busy) + len(self.idle)
            assert not [line for line in self.at.log if "fault" in line]
            for sock in [self.hop, *self.idle, *(s for _, s in self.busy)]:
                sock.close()
            self.at.close()


TestClientConnection = ClientConnectionModel.TestCase
TestClientConnection.settings = STEPS
TestNextHop = NextHopModel.TestCase
TestNextHop.settings = STEPS


def test_a_hop_that_never_comes_up_or_refuses_is_a_failed_connect() -> None:
    at, hop = Recorder(), listener()
    side = NextHops(at.loop, at.log.append, at.exchange, 0.01, 5.0, 60.0, 10)
    at.exchange.next_hops = side
    route = Route("s-1", hop.getsockname()[:2], "z1", "std", 0, Phase.SERVING, 1.0, None)
    hop.close()
    side.update_routes(RouteSet(1, True, (route,)))
    finals: list[object] = []
    request = Request("look", "plain", "7", 60.0, 1.0, 1, 0, ASK)
    transaction = at.exchange.open(request, at.loop.now(), finals.append)
    for name in ("s-1", "s-unheard"):
        at.exchange.send(transaction.name, name, None)
    assert at.ended == []  # an outcome never comes within the call that asked for it
    run_until(at.loop, lambda: len(at.ended) == 2)
    assert [outcome for _, outcome in at.ended] == [Outcome.CONNECT_FAILED] * 2
    at.exchange.refuse(transaction.name, None)
    assert finals == [Refused(None)]
    at.close()


def test_past_the_grace_an_unsent_branch_is_ended_and_never_sent() -> None:
    at = Recorder()
    with socket.socket() as hop:
        hop.bind(("127.0.0.1", 0))
        hop.listen(0)
        full = [socket.socket() for _ in range(3)]  # the backlog is full: dialling hangs
        for sock in full:
            sock.setblocking(False)
            sock.connect_ex(hop.getsockname())
        side = NextHops(at.loop, at.log.append, at.exchange, 60.0, 5.0, 0.06, 10)
        at.exchange.next_hops = side
        route = Route("s-1", hop.getsockname()[:2], "z1", "std", 0, Phase.SERVING, 1.0, None)
        side.update_routes(RouteSet(1, True, (route,)))
        request = Request("look", "plain", "7", 60.0, 1.0, 1, 0, ASK)
        transaction = at.exchange.open(request, at.loop.now(), lambda final: None)
        at.exchange.send(transaction.name, "s-1", None)
        side.update_routes(RouteSet(2, True, ()))
        run_until(at.loop, lambda: at.ended)
        assert at.ended[0][1] is Outcome.CONNECT_FAILED
        assert any("end nexthop s-1 drained" in line for line in at.log)
        for sock in full:
            sock.close()
    at.close()


def test_the_exchange_answers_once_and_in_time_whatever_the_module_does() -> None:
    at = Recorder()
    finals: dict[str, list[object]] = {}
    for number, (kind, ran) in enumerate([("look", True), ("change", False), ("change", True)]):
        got = finals.setdefault(f"{kind} {ran}", [])
        request = Request(kind, "plain", "7", 0.05, 1.0, 1, 0, None)
        transaction = at.exchange.open(request, at.loop.now(), got.append)
        if ran:
            branch = Branch(transaction, 0, "s-1", 0.0, 0.0)
            transaction.branches.append(branch)
            transaction.out += 1
        run_until(at.loop, lambda: got)  # noqa: B023
        assert at.loop.now() >= transaction.deadline - Exchange.GUARD
        assert at.gone[number] is transaction
        at.exchange.refuse(transaction.name, 1.0)
        at.exchange.fail(transaction.name)
        if ran:
            at.exchange.branch_ended(branch, Result(Outcome.OK, b"late"))
            assert at.ended[-1] == (branch, Outcome.OK)  # the late result reaches the module all the same
    mild = [Refused(0.25)]
    assert finals == {"look True": mild, "change False": mild, "change True": [Failed("failed")]}
    assert not at.exchange.transactions
    at.close()


def test_an_answer_whose_rest_never_comes_is_given_up_long_before_its_request() -> None:
    """A length that doesn't fit held its request until its time was up."""
    at, hop = Recorder(), listener()
    side = NextHops(at.loop, at.log.append, at.exchange, 60.0, 600.0, 60.0, 10)
    at.exchange.next_hops = side
    route = Route("s-1", hop.getsockname()[:2], "z1", "std", 0, Phase.SERVING, 1.0, None)
    side.update_routes(RouteSet(1, True, (route,)))
    request = Request("look", "plain", "7", 600.0, 1.0, 1, 0, ASK)
    branch = at.exchange.send(at.exchange.open(request, at.loop.now(), lambda final: None).name, "s-1", None)
    with hop.accept()[0] as sock:
        assert branch is not None
        run_until(at.loop, lambda: branch.carrier.fully_written)
        sock.sendall(b"*3\r\n$900\r\nvalue\r\n$-1\r\n$-1\r\n")
        run_until(at.loop, lambda: at.ended)
    assert at.ended == [(branch, Outcome.ERROR)]
    assert any("end nexthop s-1 stalled" in line for line in at.log)
    hop.close()
    at.close()


def test_a_change_that_may_have_run_is_neither_sent_again_nor_refused() -> None:
    at = Recorder()
    finals: list[object] = []
    request = Request("change", "plain", "7", 60.0, 1.0, 1, 0, None)
    transaction = at.exchange.open(request, at.loop.now(), finals.append)
    branch = Branch(transaction, 0, "s-1", 0.0, 60.0)
    transaction.branches.append(branch)
    transaction.out += 1
    sent = at.exchange.send(transaction.name, "s-1", None)
    assert sent is not None
    assert at.ended == [(sent, Outcome.MOOT)]
    at.exchange.refuse(transaction.name, 1.0)
    assert finals == [Failed("failed")]
    at.close()


def test_a_connection_closed_within_its_own_outcome_gets_no_further_branch() -> None:
    """It lives on until its coroutine yields: a branch written to it in between would be reset."""
    at, hop = Recorder(), listener()
    side = NextHops(at.loop, at.log.append, at.exchange, 60.0, 600.0, 60.0, 10)
    at.exchange.next_hops = side
    route = Route("s-1", hop.getsockname()[:2], "z1", "std", 0, Phase.SERVING, 1.0, None)
    side.update_routes(RouteSet(1, True, (route,)))
    request = Request("look", "plain", "7", 60.0, 1.0, 1, 0, ASK)
    names = [at.exchange.open(request, at.loop.now(), lambda final: None).name for _ in range(2)]
    told = at.branch_ended

    def branch_ended(branch: Branch, result: Result, latency: float, finished: bool) -> None:
        told(branch, result, latency, finished)
        if branch.transaction.name == names[0]:
            side.close_idle("s-1")
            at.exchange.send(names[1], "s-1", None)

    at.branch_ended = branch_ended  # type: ignore[method-assign]
    at.exchange.send(names[0], "s-1", None)
    first, _ = hop.accept()
    run_until(at.loop, lambda: at.exchange.transactions[names[0]].branches[0].carrier.fully_written)
    first.sendall(b"-BUSY\r\n")
    run_until(at.loop, lambda: at.ended)
    second, _ = hop.accept()
    run_until(at.loop, lambda: at.exchange.transactions[names[1]].branches[0].carrier.fully_written)
    second.sendall(b"-BUSY\r\n")
    run_until(at.loop, lambda: len(at.ended) == 2)
    assert [outcome for _, outcome in at.ended] == [Outcome.FULL, Outcome.FULL]
    for sock in (hop, first, second):
        sock.close()
    at.close()


def test_nothing_is_read_before_callers_are_served_and_the_wait_is_their_time() -> None:
    """A restarted ingress sent what came at once by its saved list, a moment before discovery's word."""
    at = Recorder()
    side = ClientSide(at.loop, at.log.append, at.exchange, ("127.0.0.1", 0), 4)
    with socket.create_connection(side.address) as caller:
        caller.sendall(b"*1\r\n$4\r\nPING\r\n" + command("0001", d=300))
        run_until(at.loop, lambda: side.connections)
        began = at.loop.now()
        run_until(at.loop, lambda: at.loop.now() > began + 0.05)
        assert at.opened == []
        assert not select.select([caller], [], [], 0)[0]
        side.start_serving()
        run_until(at.loop, lambda: at.opened)
        assert at.opened[0].deadline <= began + 0.3  # of the connection's beginning, not of when it was read
        assert read_until(caller, b"\r\n") == b"+PONG\r\n"
    at.close()


def test_a_connection_that_has_just_come_is_not_closed_over_its_command_by_a_drain() -> None:
    """1.5 s after the call every connection was ended, new ones over what was under way: 3 to 8 of 5,100."""
    at = Recorder()
    side = ClientSide(at.loop, at.log.append, at.exchange, ("127.0.0.1", 0), 4)
    side.start_serving()
    with socket.create_connection(side.address) as caller:
        run_until(at.loop, lambda: side.connections)
        side.evacuate(True, 1.0)
        side._expire_drain(side.drain_count)
        caller.sendall(b"*1\r\n$4\r\nPING\r\n")
        run_until(at.loop, lambda: select.select([caller], [], [], 0)[0])
        assert read_until(caller, b"\r\n") == b"-ERR evacuated\r\n"
        run_until(at.loop, lambda: not side.connections or select.select([caller], [], [], 0)[0])
    at.close()


def test_connections_that_never_ask_end_with_an_error_and_usual_ones_stay() -> None:
    """They held their places for 20 s."""
    at, clock = Recorder(), [100.0]
    at.loop.now = lambda: clock[0]  # type: ignore[method-assign]
    side = ClientSide(at.loop, at.log.append, at.exchange, ("127.0.0.1", 0), 4)
    side.ready = True

    def sweep() -> None:
        at.loop.timers.clear()  # none but those that the test asks for
        side._sweep()
        at.loop.timers.clear()

    at.loop.timers.clear()
    usual, silent, half, done = callers = [socket.create_connection(side.address) for _ in range(4)]
    for caller, sent in zip(callers, (b"PING", b"", b"PI", b"PING"), strict=True):
        caller.settimeout(20)
        caller.sendall(b"*1\r\n$4\r\n" + sent + b"\r\n" if sent else b"")
    for caller in (usual, done):
        run_until(at.loop, lambda: sum(connection.answered for connection in side.connections) == 2)
        assert read_until(caller, b"\r\n") == b"+PONG\r\n"
    done.sendall(b"*1\r\n$4\r\nPI")  # half a command that moves on is let be
    run_until(at.loop, lambda: sum(bool(connection.buffer.data) for connection in side.connections) == 2)
    clock[0] += FIRST_COMMAND_TIMEOUT / 2
    sweep()
    assert len(side.connections) == 4
    fresh = socket.create_connection(side.address)  # at the cap the one idle longest makes way
    run_until(at.loop, lambda: any("end caller cap answered=0" in line for line in at.log))
    clock[0] += FIRST_COMMAND_TIMEOUT / 2 + 0.1
    sweep()
    assert len(side.connections) == 3
    assert [line.split()[2] for line in at.log if line.startswith("end caller")] == ["cap", "silent"]
    answers = sorted(caller.recv(100) for caller in (silent, half))
    assert answers == [b"", b"-ERR no whole command in time\r\n"]
    for _ in range(MAX_READ_STALLS + 1):
        sweep()
    assert "end caller slow_writer" in at.log[-1]
    usual.sendall(b"*1\r\n$4\r\nPING\r\n")
    run_until(at.loop, lambda: sum(connection.answered for connection in side.connections) == 2)
    for caller in (*callers, fresh):
        caller.close()
    at.close()


def test_an_answered_request_leaves_no_circle_of_objects() -> None:
    """Such circles waited for the collector by the megabyte, and read as memory that keeps growing."""
    at = Recorder()
    side = ClientSide(at.loop, at.log.append, at.exchange, ("127.0.0.1", 0), 4)
    side.start_serving()
    with socket.create_connection(side.address) as caller:
        for serial in range(20):
            caller.sendall(command(f"{serial:04x}"))
            run_until(at.loop, lambda: len(at.opened) == 1)
            at.exchange.fail(at.opened.pop().name)
            if serial == 9:
                gc.collect()
                gc.disable()
        try:
            assert gc.collect() < 10
        finally:
            gc.enable()
    at.close()


def test_a_command_held_back_behind_others_has_less_time_left() -> None:
    at = Recorder()
    side = ClientSide(at.loop, at.log.append, at.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    with socket.create_connection(side.address) as caller:
        caller.sendall(b"".join(command(f"{n:04x}") for n in range(MAX_PIPELINED + 1)))
        run_until(at.loop, lambda: len(at.opened) == MAX_PIPELINED)
        caller.sendall(command("ffff"))
        since = at.loop.now()
        time.sleep(0.02)
        rounds = at.loop.iteration
        run_until(at.loop, lambda: at.loop.iteration >= rounds + 3)  # the loop itself is not late any more
        for transaction in at.opened[:2]:
            at.exchange.fail(transaction.name)
            run_until(at.loop, lambda: len(at.opened) > MAX_PIPELINED)
        run_until(at.loop, lambda: len(at.opened) == MAX_PIPELINED + 2)
        for transaction in at.opened[MAX_PIPELINED:]:
            assert transaction.deadline - transaction.request.patience <= since
    at.close()


def test_a_command_whose_first_write_fails_goes_whole_to_another_connection() -> None:
    """Nothing of it had left; it must neither be lost nor count as begun."""
    at, hop = Recorder(), listener()
    side = NextHops(at.loop, at.log.append, at.exchange, 60.0, 600.0, 60.0, 10)
    at.exchange.next_hops = side
    route = Route("s-1", hop.getsockname()[:2], "z1", "std", 0, Phase.SERVING, 1.0, None)
    side.update_routes(RouteSet(1, True, (route,)))
    request = Request("change", "plain", "7", 600.0, 1.0, 1, 0, ASK)
    names = [at.exchange.open(request, at.loop.now(), lambda final: None).name for _ in range(2)]
    first = at.exchange.send(names[0], "s-1", None)
    with hop.accept()[0] as sock:
        assert first is not None
        run_until(at.loop, lambda: first.carrier.fully_written)
        sock.sendall(b"-BUSY\r\n")
        run_until(at.loop, lambda: at.ended)
        idle = side.hops["s-1"].idle[0]
        idle.sock.shutdown(socket.SHUT_WR)  # the next write fails, though nothing shows before it
        second = at.exchange.send(names[1], "s-1", None)
        assert second is not None
        with hop.accept()[0] as other:
            run_until(at.loop, lambda: second.carrier.fully_written)
            read_until(other, b"units=1\r\n")
            other.sendall(b"-BUSY\r\n")
            run_until(at.loop, lambda: second.ended)
    assert second.ended is Outcome.FULL
    assert any("end nexthop s-1 stale served=1" in line for line in at.log)
    hop.close()
    at.close()
