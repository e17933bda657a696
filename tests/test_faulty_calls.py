"""The ingress keeps serving when system calls fail transiently and when its coroutines raise exceptions."""

from __future__ import annotations

import errno
import json
import select
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from lab.box import Box
from lab.callers import read, reply_outcome
from lab.faulty_calls import SHORT, VARIABLE
from lab.shutdown import process_state
from standflow.counter.client import CallEffect, CallResult, CounterClient
from standflow.messages import Outcome
from standflow.net import loop as loop_module
from standflow.net import transient_errors
from standflow.net.client_side import ClientSide
from standflow.net.loop import IN, Coroutine, Loop
from standflow.net.peers import Peers
from standflow.net.routes import RouteWatch
from standflow.ops.calls import Answer
from standflow.ops.server import Server
from standflow.route_set import RouteSet
from tests.test_adapter import ROOT
from tests.test_connections import Recorder
from tests.test_endings import Wired
from tests.wire import LIMIT, command, config, listener, member, program, read_until, run_until

PING = b"*1\r\n$4\r\nPING\r\n"
BEGIN = 0.6  # seconds after the start when calls begin to fail; startup takes 0.3 s, on a busy machine 2 s
END = 4.0  # seconds after the start when calls stop failing
RATE = 40.0  # requests per second, each on a new connection
AFTER = 0.4  # seconds of requests after that
FAULTS: dict[str, list[tuple[str, str, int]]] = {
    "setsockopt": [("setsockopt", "ENOBUFS", 3)],
    "accept-lacks": [("accept", "ENFILE", 2)],
    "accept-memory": [("accept", "ENOBUFS", 2)],
    "accept-forbidden": [("accept", "EPERM", 2)],
    "accept-aborted": [("accept", "ECONNABORTED", 2)],
    "connect-interrupted": [("connect_ex", "EINTR", 1)],
    "connect-no-address": [("connect_ex", "EADDRNOTAVAIL", 2)],
    "connect-no-route": [("connect_ex", "ENETUNREACH", 2)],
    "connect-no-buffers": [("connect_ex", "ENOBUFS", 2)],
    "short": [("send", SHORT, 1), ("recv", SHORT, 1)],
}


def ask_on(address: tuple[str, int], until: float) -> list[str]:
    """Sends requests on new connections until a time, at least one second's worth. Returns how they ended."""
    ends: list[str] = []
    while time.monotonic() < until or len(ends) <= RATE:
        due = time.monotonic() + 1 / RATE
        with socket.create_connection(address, LIMIT) as client:
            client.sendall(command(f"{len(ends):04x}", d=2000))
            try:
                ends.append(reply_outcome(read(client)))
            except OSError:
                ends.append("lost")
        time.sleep(max(0.0, due - time.monotonic()))
    return ends


@pytest.mark.parametrize("name", FAULTS)
def test_requests_are_served_despite_transient_system_call_failures(name: str, tmp_path: Path) -> None:
    """The backend answers once per connection, so that each request needs a new connection."""
    calls = [{"call": call, "error": error, "every": every} for call, error, every in FAULTS[name]]
    faults = json.dumps({"calls": calls, "from": BEGIN, "until": END})
    begun = time.monotonic()
    with ExitStack() as stack:
        box = stack.enter_context(Box())
        box.mode.answers = 1
        raw = config(known={"revision": 1, "complete": True, "members": [member(box.address)]})
        environment = {VARIABLE: faults}
        running = stack.enter_context(
            program(tmp_path, raw, module="lab.faulty_calls", environment=environment)
        )
        idle = running.call()
        idle.sendall(PING)
        read_until(idle, b"+PONG\r\n")
        address = ("127.0.0.1", int(running.logged(r"ready n0 on 127.0.0.1:(\d+)")[1]))
        ends = ask_on(address, begun + END + AFTER)
        assert set(ends) == {"served"}, running.log
        assert len(ends) > RATE
        # No idle client was evicted, as no descriptor was missing.
        assert not select.select([idle], [], [], 0)[0]
        running.terminate()
        running.logged("stopped")
        assert "fault" not in running.log


class FailingEpoll:
    """An epoll whose `register` fails `times` times, and its `modify` once with each of `modify_errors`."""

    def __init__(self, real: Any, times: int, modify_errors: tuple[int, ...] = ()) -> None:
        self.real, self.times = real, times
        self.modify_errors = list(modify_errors)

    def register(self, fd: int, mask: int) -> None:
        """See select.epoll.register."""
        self.times -= 1
        if self.times >= 0:
            raise OSError(errno.ENOMEM, "no memory")
        self.real.register(fd, mask)

    def modify(self, fd: int, mask: int) -> None:
        """See select.epoll.modify."""
        if self.modify_errors:
            code = self.modify_errors.pop(0)
            raise OSError(code, errno.errorcode[code])
        self.real.modify(fd, mask)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


def test_epoll_registration_is_retried_and_the_connection_closed_if_it_keeps_failing() -> None:
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    recorder.loop.epoll = FailingEpoll(recorder.loop.epoll, 2)  # type: ignore[assignment]
    with socket.create_connection(side.address) as client:
        client.sendall(PING)
        run_until(recorder.loop, lambda: select.select([client], [], [], 0)[0])
        assert client.recv(100) == b"+PONG\r\n"
    recorder.loop.epoll = FailingEpoll(recorder.loop.epoll, 3)  # type: ignore[assignment]
    with socket.create_connection(side.address) as client:
        run_until(recorder.loop, lambda: select.select([client], [], [], 0)[0])
        assert client.recv(100) == b""
    with socket.create_connection(side.address) as client:  # the listener still works
        client.sendall(PING)
        run_until(recorder.loop, lambda: select.select([client], [], [], 0)[0])
        assert client.recv(100) == b"+PONG\r\n"
    assert [connection.reason for connection in side.connections if connection.task is None] == []
    recorder.close()


@pytest.mark.parametrize("times", [1, 5])
def test_poll_that_can_not_be_changed_for_a_moment_is_changed_later(times: int) -> None:
    """Guards against a process that ends as the kernel lacks memory for one connection's poll."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    client = socket.create_connection(side.address, LIMIT)
    run_until(recorder.loop, lambda: side.connections)
    connection = next(iter(side.connections))
    assert connection.task is not None
    recorder.loop.watch(connection.task, 0)
    recorder.loop.epoll = FailingEpoll(recorder.loop.epoll, 0, (errno.ENOMEM,) * times)  # type: ignore[assignment]
    recorder.loop.watch(connection.task, IN)
    client.sendall(command("aa01"))
    run_until(recorder.loop, lambda: recorder.opened)
    assert not recorder.loop.epoll.modify_errors  # type: ignore[attr-defined]
    assert recorder.log == []
    client.close()
    recorder.close()


def test_poll_that_can_not_be_changed_ends_its_connection_alone() -> None:
    """Guards against an error of one descriptor's poll that ends the loop, and all clients with it."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    clients = [socket.create_connection(side.address, LIMIT) for _ in range(2)]
    run_until(recorder.loop, lambda: len(side.connections) == 2)
    ended = next(iter(side.connections))
    other = next(client for client in clients if client.getsockname() != ended.sock.getpeername())
    recorder.loop.epoll = FailingEpoll(recorder.loop.epoll, 0, (errno.EBADF,))  # type: ignore[assignment]
    assert ended.task is not None
    recorder.loop.watch(ended.task, 0)
    assert ended not in side.connections
    other.sendall(command("aa01"))
    run_until(recorder.loop, lambda: recorder.opened)
    for client in clients:
        client.close()
    recorder.close()


@pytest.mark.parametrize("while_running", [True, False])
def test_fault_of_a_coroutine_as_it_is_ended_reaches_nobody_else(while_running: bool) -> None:
    """Guards against a fault of one connection that ends whoever closes it, or the loop itself."""
    log: list[str] = []
    loop = Loop(log.append)
    near, far = socket.socketpair()
    ended: list[bool] = []

    def faulty() -> Coroutine[None]:
        try:
            yield IN
            if while_running:
                loop.end(task)
            yield IN
        finally:
            ended.append(True)
            raise ValueError("a fault of the cleanup")

    task = loop.spawn(near.fileno(), faulty())
    far.sendall(b"x")
    loop.run_once()
    loop.end(task)
    assert ended == [True]
    assert task.fd not in loop.tasks
    assert [line[:37] for line in log] == ["fault of a coroutine that was ended: "]
    near.close()
    far.close()
    loop.epoll.close()


def test_client_listener_survives_an_exception(monkeypatch: pytest.MonkeyPatch) -> None:
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    accept, faults = side.acceptor._accept, [ZeroDivisionError(), OSError(errno.EINVAL, "invalid")]

    def failing() -> bool:
        if faults:
            raise faults.pop()
        return accept()

    monkeypatch.setattr(side.acceptor, "_accept", failing)
    with socket.create_connection(side.address) as client:
        client.sendall(PING)
        run_until(recorder.loop, lambda: select.select([client], [], [], 0)[0])
        assert client.recv(100) == b"+PONG\r\n"
    assert sum("fault of a coroutine, begun anew" in line for line in recorder.log) == 2
    recorder.close()


def test_datagrams_are_received_after_an_exception() -> None:
    log, heard = list[str](), list[bytes]()
    loop = Loop(log.append)

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(("127.0.0.1", 0))
        members = (("0.0.0.0", 0), other.getsockname())

        def told(number: int, content: bytes) -> None:
            heard.append(content)

        peers = Peers(loop, log.append, ("127.0.0.1", 0), members, None, 0, told)
        sock = peers.sock

        def receive_first(size: int) -> None:
            peers.sock = sock
            sock.recvfrom(size)
            raise ZeroDivisionError

        peers.sock = SimpleNamespace(recvfrom=receive_first)  # type: ignore[assignment]
        for content in (b"bad", b"good"):
            other.sendto(content, peers.address)
        run_until(loop, lambda: heard)
        assert heard == [b"good"]
        assert "fault of a coroutine, begun anew" in log[0]
    loop.epoll.close()
    peers.sock.close()


def test_fault_over_one_datagram_delays_none_behind_it() -> None:
    """Guards against reports of all members that wait, or are lost, behind datagrams with a fault."""
    log, heard = list[str](), list[bytes]()
    loop = Loop(log.append)

    def told(number: int, content: bytes) -> None:
        if content == b"bad":
            raise ZeroDivisionError
        heard.append(content)

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(("127.0.0.1", 0))
        members = (("0.0.0.0", 0), other.getsockname())
        peers = Peers(loop, log.append, ("127.0.0.1", 0), members, None, 0, told)
        for _ in range(5):
            other.sendto(b"bad", peers.address)
            other.sendto(b"good", peers.address)
        run_until(loop, lambda: heard)
        assert heard == [b"good"] * 5
        assert sum("ZeroDivisionError" in line for line in log) == 5
    loop.epoll.close()
    peers.sock.close()


def test_repeated_call_survives_exceptions() -> None:
    log: list[str] = []
    loop, times = Loop(log.append), [0]

    def call() -> None:
        times[0] += 1
        raise ZeroDivisionError

    loop.every(0.001, call)
    run_until(loop, lambda: times[0] == 3)
    assert len(log) >= 2
    loop.epoll.close()


def test_complete_list_is_requested_after_an_exception_while_applying_a_change() -> None:
    """After an exception the route set may be incomplete and must not count as known."""
    log: list[str] = []
    loop, told = Loop(log.append), list[RouteSet]()

    def take(routes: RouteSet) -> None:
        told.append(routes)
        if len(told) == 1:
            raise ZeroDivisionError

    class ShortestPause:
        """Always draws the shortest pause."""

        def uniform(self, low: float, high: float) -> float:
            """Returns the lower bound."""
            return low

    whole = json.dumps({"revision": 7, "complete": True, "members": []}).encode() + b"\n"
    with listener() as agent:
        routes = RouteWatch(loop, log.append, agent.getsockname(), (), 3, take, ShortestPause())  # type: ignore[arg-type]
        routes.connect()
        asked = []
        for number in range(2):
            run_until(loop, lambda: select.select([agent], [], [], 0)[0])
            watch = agent.accept()[0]
            watch.settimeout(LIMIT)
            run_until(loop, lambda: select.select([watch], [], [], 0)[0])  # noqa: B023
            asked.append(read_until(watch, b"\r\n\r\n").split()[1])
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            watch.sendall(head + b"%x\r\n%b\r\n" % (len(whole), whole))
            wanted = number + 1
            run_until(loop, lambda: len(told) == wanted)  # noqa: B023
            if number:
                watch.close()
    assert asked == [b"/v1/endpoints?follow=1&since=3", b"/v1/endpoints?follow=1"]
    routes.close()
    loop.epoll.close()


def test_pause_is_not_shortened_by_events_on_the_descriptor() -> None:
    loop, ended = Loop(list[str]().append), list[float]()

    def wait() -> Coroutine[None]:
        yield from loop.pause(0.05)
        ended.append(loop.now())
        yield IN

    ours, other = socket.socketpair()
    other.sendall(b"!")
    began = loop.now()
    loop.spawn(ours.fileno(), wait())
    turns = [0]

    def over() -> bool:
        turns[0] += 1
        return bool(ended)

    run_until(loop, over)
    assert ended[0] - began >= 0.05
    for sock in (ours, other):
        sock.close()
    loop.epoll.close()


def test_dial_without_a_free_local_address_is_not_blamed_on_the_backend(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connect: Callable[..., int] = lambda sock, address: errno.EADDRNOTAVAIL  # noqa: E731
    with listener() as hop:
        wired = Wired(hop.getsockname())
        client = wired.ask("aa01")
        monkeypatch.setattr(socket.socket, "connect_ex", connect)
        monkeypatch.setattr(loop_module, "RETRY_PAUSE", 0.001)
        wired.send()
        run_until(wired.recorder.loop, lambda: wired.recorder.ended)
        assert [outcome for _, outcome in wired.recorder.ended] == [Outcome.MOOT]
        client.close()
        wired.recorder.close()


def test_watch_request_is_sent_completely_despite_short_writes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An incomplete request is never answered, and the watch would wait until its timeout."""
    log: list[str] = []
    loop, send = Loop(log.append), socket.socket.send
    monkeypatch.setattr(socket.socket, "send", lambda sock, data: send(sock, data[:7]))
    with listener() as agent:
        routes = RouteWatch(loop, log.append, agent.getsockname(), (), 3, lambda told: None, Random(1))
        routes.connect()
        run_until(loop, lambda: select.select([agent], [], [], 0)[0])
        watch = agent.accept()[0]
        watch.settimeout(LIMIT)
        run_until(loop, lambda: select.select([watch], [], [], 0)[0])
        assert read_until(watch, b"\r\n\r\n").startswith(b"GET /v1/endpoints?follow=1&since=3 HTTP/1.1\r\n")
        watch.close()
    routes.close()
    loop.epoll.close()


@pytest.mark.parametrize("call", ["listen", "bind", "setsockopt"])
def test_startup_retries_on_transient_shortages(call: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The process used to exit with status 2, as for a configuration error."""
    real, faults = getattr(socket.socket, call), [errno.ENOBUFS] * 3

    def failing(sock: socket.socket, *arguments: Any) -> Any:
        if faults:
            raise OSError(faults.pop(), "lacks")
        return real(sock, *arguments)

    monkeypatch.setattr(socket.socket, call, failing)
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 10)
    assert faults == []
    side.stop()
    recorder.close()


def test_startup_fails_at_once_if_the_address_is_in_use() -> None:
    recorder = Recorder()
    with listener() as other:
        began = time.monotonic()
        with pytest.raises(OSError, match="in use"):
            ClientSide(recorder.loop, recorder.log.append, recorder.exchange, other.getsockname(), 10)
        assert time.monotonic() - began < transient_errors.STARTUP_TIMEOUT / 2
    recorder.close()


def test_dial_whose_socket_cannot_be_registered_is_cleaned_up_and_not_blamed_on_the_backend() -> None:
    with listener() as hop:
        wired = Wired(hop.getsockname())
        client = wired.ask("aa01")
        wired.recorder.loop.epoll = FailingEpoll(wired.recorder.loop.epoll, 3)  # type: ignore[assignment]
        wired.send()
        run_until(wired.recorder.loop, lambda: wired.recorder.ended)
        assert [outcome for _, outcome in wired.recorder.ended] == [Outcome.MOOT]
        assert wired.hops.connections == 0
        assert not wired.hops.hops["s-1"].connections
        wired.send()  # the next one succeeds
        wired.accept(hop).close()
        client.close()
        wired.recorder.close()


def test_watch_whose_socket_cannot_be_registered_is_reopened() -> None:
    log: list[str] = []
    loop = Loop(log.append)
    loop.epoll = FailingEpoll(loop.epoll, 3)  # type: ignore[assignment]
    with listener() as agent:
        routes = RouteWatch(loop, log.append, agent.getsockname(), (), 3, lambda told: None, Random(1))
        routes.connect()
        assert routes.task is None
        run_until(loop, lambda: select.select([agent], [], [], 0)[0])
        agent.accept()[0].close()
    routes.close()
    loop.epoll.close()


def test_counter_call_whose_socket_cannot_be_registered_adds_nothing() -> None:
    log: list[str] = []
    loop, ends = Loop(log.append), list[CallResult]()
    loop.epoll = FailingEpoll(loop.epoll, 3)  # type: ignore[assignment]
    with listener() as counter:
        client = CounterClient(loop, log.append, counter.getsockname())
        client.add("a", 1.0, 1.0, ends.append)
        run_until(loop, lambda: ends)
        assert [end.effect for end in ends] == [CallEffect.NOT_ADDED]
        assert client.connections == []
        client.add("a", 1.0, 1.0, ends.append)
        run_until(loop, lambda: select.select([counter], [], [], 0)[0])
    client.close()
    loop.epoll.close()


def test_operator_listener_survives_an_exception(monkeypatch: pytest.MonkeyPatch) -> None:
    log: list[str] = []
    loop = Loop(log.append)
    server = Server(loop, log.append, ("127.0.0.1", 0), lambda method, target: Answer(200, "yes"))
    accept, faults = server._accept, [ZeroDivisionError()]

    def failing() -> bool:
        if faults:
            raise faults.pop()
        return accept()

    monkeypatch.setattr(server, "_accept", failing)
    with socket.create_connection(server.address) as operator:
        operator.sendall(b"GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        run_until(loop, lambda: select.select([operator], [], [], 0)[0])
        assert operator.recv(4096).startswith(b"HTTP/1.1 200")
    assert "fault of a coroutine, begun anew" in log[0]
    server.close()
    loop.epoll.close()


ORDER_AFTER_PAUSE = """
import socket, sys
from standflow.net.loop import IN, Loop

loop = Loop(print)
reader = socket.socket(fileno=int(sys.argv[1]))

def read():
    yield IN
    print(reader.recv(10).decode())
    yield 0

loop.spawn(reader.fileno(), read())
loop.call_later(TIMER_SECONDS, print, "timer")
loop.call_later(TIMER_SECONDS, loop.stop)
print("up", flush=True)
loop.run()
"""


def test_what_arrives_in_a_pause_is_handled_before_overdue_timers() -> None:
    # Guards against a pause after which a request fails though its answer is there.
    timer_seconds, near, far = 0.6, *socket.socketpair()
    source = ORDER_AFTER_PAUSE.replace("TIMER_SECONDS", f"{timer_seconds}")
    arguments = [sys.executable, "-c", source, f"{far.fileno()}"]
    with (
        near,
        far,
        subprocess.Popen(arguments, cwd=ROOT, pass_fds=[far.fileno()], stdout=subprocess.PIPE) as process,
    ):
        assert process.stdout is not None
        assert process.stdout.readline() == b"up\n"
        time.sleep(0.1)  # the loop waits for the timer
        process.send_signal(signal.SIGSTOP)
        while not process_state(process.pid).startswith("T"):
            time.sleep(0.001)
        near.sendall(b"answer")
        time.sleep(timer_seconds)
        process.send_signal(signal.SIGCONT)
        assert process.stdout.read().split() == [b"answer", b"timer"]
