"""Every request that was read is answered, however many arrive at once and whatever is closed meanwhile."""

from __future__ import annotations

import contextlib
import errno
import select
import socket
from pathlib import Path

import pytest

from standflow.assembly import Ingress
from standflow.config import read
from standflow.exchange import Attempt, Transaction
from standflow.messages import Result
from standflow.net import resp
from standflow.net.client_connection import MAX_PIPELINED
from standflow.net.client_side import ClientSide
from standflow.net.loop import Loop
from tests.test_connections import Recorder
from tests.test_endings import Wired, known
from tests.wire import LIMIT, command, config, listener, program, read_until, run_until

PING = b"*1\r\n$4\r\nPING\r\n"
MANY = 2 * MAX_PIPELINED + 20  # commands that fit in one write and in one read of the ingress
BUSY = resp.busy(0.25)  # the refusal of the recorder's exchange


class Pipelined:
    """A client that sends many commands at once to a client side."""

    def __init__(self) -> None:
        self.at = Recorder()
        self.side = ClientSide(self.at.loop, self.at.log.append, self.at.exchange, ("127.0.0.1", 0), 10)
        self.side.start_serving()
        self.client = socket.create_connection(self.side.address)
        self.got = b""

    def send(self, number: int) -> None:
        """Sends this many requests in one write."""
        self.client.sendall(b"".join(command(f"{n:04x}") for n in range(number)))

    def refuse_at_once(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Has each request refused as soon as it is opened."""

        def opened(transaction: Transaction) -> None:
            self.at.opened.append(transaction)
            self.at.exchange.refuse(transaction.name, 0.25)

        monkeypatch.setattr(self.at, "transaction_opened", opened)

    def reads(self, end: int) -> bool:
        """Reads what has arrived; true once `end` bytes have."""
        while len(self.got) < end and select.select([self.client], [], [], 0)[0]:
            more = self.client.recv(65536)
            assert more, f"closed after {len(self.got)} of {end} bytes"
            self.got += more
        return len(self.got) >= end

    def answered(self, expected: bytes) -> None:
        """Waits for exactly these answers."""
        run_until(self.at.loop, lambda: self.reads(len(expected)))
        assert self.got == expected

    def ended(self) -> None:
        """Waits until the ingress has closed the connection, without a reset."""
        run_until(self.at.loop, lambda: select.select([self.client], [], [], 0)[0])
        assert self.client.recv(100) == b""

    def close(self) -> None:
        self.client.close()
        self.at.close()


class Undecided:
    """A decision module that decides nothing."""

    def transaction_opened(self, transaction: Transaction) -> None:
        """Ignored."""

    def transaction_gone(self, transaction: Transaction) -> None:
        """Ignored."""

    def stream_started(self, attempt: Attempt, latency: float) -> None:
        """Ignored."""

    def attempt_ended(self, attempt: Attempt, result: Result, latency: float, finished: bool) -> None:
        """Ignored."""


def test_more_commands_than_may_be_open_are_all_answered_if_each_is_answered_at_once() -> None:
    """The rest stayed in the buffer until more data arrived, and the connection was closed before that."""
    one = Pipelined()
    one.client.sendall(MANY * PING)
    one.answered(MANY * b"+PONG\r\n")
    one.close()


def test_requests_that_are_refused_as_they_are_opened_are_all_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    one = Pipelined()
    one.refuse_at_once(monkeypatch)
    one.send(MANY)
    one.answered(MANY * BUSY)
    assert len(one.at.opened) == MANY
    one.close()


@pytest.mark.parametrize("pressing", [True, False])
def test_commands_read_before_a_connection_drains_are_answered_before_its_end(pressing: bool) -> None:
    """Also those that could not be opened yet because too many were open."""
    one = Pipelined()
    if pressing:
        run_until(one.at.loop, lambda: one.side.connections)
        one.side.draining = one.side.drain_expired = True
    one.send(MANY)
    run_until(one.at.loop, lambda: len(one.at.opened) == MAX_PIPELINED)
    connection = next(iter(one.side.connections))
    assert connection.buffer.data
    if not pressing:
        one.side._drain_connection(connection)
    for number in range(MANY):
        due = number + 1
        run_until(one.at.loop, lambda: len(one.at.opened) >= due)  # noqa: B023
        one.at.exchange.refuse(one.at.opened[number].name, 0.25)
    one.answered(MANY * BUSY)
    one.ended()
    one.close()


@pytest.mark.parametrize(("many", "paused"), [(MANY, False), (MANY, True), (12 * MANY, True)])
def test_commands_received_before_the_process_exits_are_refused_and_not_opened(
    many: int, paused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No time is left for an attempt; after a pause the process exits right after it answers all."""
    log: list[str] = []
    with listener() as hop:
        loop = Loop(log.append)
        ingress = Ingress(read(config(known=known(hop)), log.append), loop, log.append)
        ingress.start()
        run_until(loop, lambda: ingress.clients.ready)
        monkeypatch.setattr(ingress.exchange, "decisions", Undecided())
        client = socket.create_connection(ingress.clients.address, LIMIT)
        sent = b"".join(command(f"{n:04x}", d=60_000) for n in range(many))
        client.sendall(sent)
        run_until(loop, lambda: ingress.exchange.open_count == MAX_PIPELINED)
        ingress.stop()
        ingress.shutdown.answer_all()
        assert ingress.exchange.open_count == 0
        assert ingress.exchange.counts["look"].taken == MAX_PIPELINED
        if not paused:
            run_until(loop, lambda: loop.stopped)
        ingress.close()
        got = b""
        while more := client.recv(65536):
            got += more
        assert got.count(b"-BUSY") == many
        client.close()
        loop.epoll.close()


def test_the_program_answers_a_long_pipeline_of_requests_that_it_must_refuse(tmp_path: Path) -> None:
    with program(tmp_path, config()) as running:  # without any backend
        client = running.call()
        client.sendall(b"".join(command(f"{n:04x}") for n in range(MANY)) + PING)
        got = read_until(client, b"+PONG\r\n")
        assert got.count(b"-BUSY") == MANY


def test_after_failures_of_every_kind_the_next_request_is_accepted_and_forwarded() -> None:
    """No failed request is still counted as open."""
    with listener() as hop:
        wired = Wired(hop.getsockname(), cool_down=0.0)
        wired.recorder.exchange.max_open = 2
        for number in range(12):
            client, ended = wired.ask(f"aa{number:02}"), len(wired.recorder.ended)
            wired.send()
            at_backend = wired.accept(hop)
            if number % 4 == 0:
                client.close()
                run_until(wired.recorder.loop, lambda: wired.recorder.exchange.open_count == 0)
            if number % 4 != 1:
                at_backend.sendall((b"-BUSY\r\n", b"", b"*9\r\n", b"-ERR failed\r\n")[number % 4])
            at_backend.close()
            run_until(wired.recorder.loop, lambda: len(wired.recorder.ended) > ended)  # noqa: B023
            wired.recorder.exchange.fail(wired.recorder.opened[-1].name)
            client.close()
            run_until(wired.recorder.loop, lambda: not wired.hops.connections)
        assert wired.hops.forwards == 12
        assert wired.recorder.exchange.open_count == 0
        assert wired.recorder.exchange.transactions == {}
        assert wired.recorder.exchange.open_idents == set()
        wired.recorder.close()


@pytest.mark.parametrize("shortage", ["connections", "descriptors"])
def test_a_shortage_of_its_own_resources_does_not_eject_a_backend(
    shortage: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Backends were ejected for it until none was left, and every request was refused."""

    def none_left() -> socket.socket:
        raise OSError(errno.EMFILE, "Too many open files")

    log: list[str] = []
    with listener() as hop, contextlib.ExitStack() as stack:
        loop = Loop(log.append)
        ingress = Ingress(read(config(known=known(hop)), log.append), loop, log.append)
        ingress.start()
        run_until(loop, lambda: ingress.clients.ready)

        def ask(ident: str) -> socket.socket:
            client = stack.enter_context(socket.create_connection(ingress.clients.address, LIMIT))
            client.sendall(command(ident, d=60_000))
            return client

        def forwarded() -> socket.socket:
            run_until(loop, lambda: select.select([hop], [], [], 0)[0])
            at_backend = stack.enter_context(hop.accept()[0])
            run_until(loop, lambda: select.select([at_backend], [], [], 0)[0])
            return at_backend

        ask("aa01")
        forwarded()
        with monkeypatch.context() as patched:
            if shortage == "connections":
                patched.setattr(ingress.next_hops, "max_connections", 1)
            else:
                patched.setattr(loop, "open_socket", none_left)
            for number in range(5):
                refused = ask(f"bb{number:02}")
                run_until(loop, lambda: select.select([refused], [], [], 0)[0])  # noqa: B023
                assert refused.recv(100).startswith(b"-BUSY")
        assert ingress.driver.ejected() == set()
        ask("aa02")
        forwarded()
        ingress.close()
        loop.epoll.close()
