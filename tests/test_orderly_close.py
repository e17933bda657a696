"""Bytes that arrive while a connection is being closed cause no reset and are not forwarded."""

from __future__ import annotations

import socket
from collections.abc import Callable

import pytest

from standflow.net import client_side
from standflow.net.backend_connection import Connection
from standflow.net.client_connection import ClientConnection
from standflow.net.client_side import FIRST_COMMAND_TIMEOUT, MAX_READ_STALLS, ClientSide
from standflow.net.closing import shut_down_unless_unread
from tests.test_connections import Recorder
from tests.test_endings import Wired
from tests.wire import LIMIT, command, listener, read_until, run_until

PING = b"*1\r\n$4\r\nPING\r\n"
VALUE = b"*3\r\n$2\r\nva\r\n$-1\r\n$-1\r\n"


class IdleClient:
    """A client whose connection is idle after an answer."""

    def __init__(self, sent: bytes = PING) -> None:
        self.recorder = Recorder()
        self.side = ClientSide(
            self.recorder.loop, self.recorder.log.append, self.recorder.exchange, ("127.0.0.1", 0), 10
        )
        self.side.start_serving()
        self.client = socket.create_connection(self.side.address)
        self.client.settimeout(LIMIT)
        self.client.sendall(sent)
        run_until(self.recorder.loop, lambda: self.side.connections)
        self.connection = next(iter(self.side.connections))
        run_until(
            self.recorder.loop, lambda: self.connection.answered or self.connection.buffer.data or not sent
        )

    def crosses(self, monkeypatch: pytest.MonkeyPatch, name: str, sent: bytes) -> None:
        """Sends more bytes right after the named check of the connection has found none."""
        look: Callable[[ClientConnection], bool] = getattr(self.side, name)

        def looked(connection: ClientConnection) -> bool:
            seen = look(connection)
            if sent and not seen:
                self.client.sendall(sent)
            return seen

        monkeypatch.setattr(self.side, name, looked)

    def close(self) -> None:
        """Closes the client and the loop."""
        self.client.close()
        self.recorder.close()


def test_request_arriving_after_the_write_shutdown_is_dropped() -> None:
    one = IdleClient()
    one.side.evacuate(True, 1.0)  # shuts down sending
    one.client.sendall(command("aa01"))
    assert read_until(one.client, b"\r\n") == b"+PONG\r\n"
    assert one.client.recv(100) == b""
    one.client.sendall(command("aa02"))
    one.client.close()
    run_until(one.recorder.loop, lambda: not one.side.connections)
    assert one.recorder.opened == []
    one.close()


class CrossedSocket:
    """A server's socket to which a client sends a request just before sending is shut down."""

    def __init__(self, sock: socket.socket, client: socket.socket, request: bytes) -> None:
        self.sock, self.client, self.request = sock, client, request

    def __getattr__(self, name: str) -> object:
        if name == "shutdown" and self.request:  # the look-up comes before the call
            self.client.sendall(self.request)
            self.request = b""
        return getattr(self.sock, name)


def test_request_arriving_after_the_last_look_of_a_drain_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a pause between the last look for unread bytes and the end of sending.
    one = IdleClient()
    crossed = CrossedSocket(one.connection.sock, one.client, command("aa01"))
    monkeypatch.setattr(one.connection, "sock", crossed)
    one.side.evacuate(True, 1.0)
    run_until(one.recorder.loop, lambda: one.connection.write_shut)
    assert read_until(one.client, b"-BUSY 250\r\n") == b"+PONG\r\n-BUSY 250\r\n"
    one.close()


def test_request_arriving_after_the_last_look_of_an_eviction_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a pause between the last look for unread bytes and the end of an idle connection.
    one = IdleClient()
    crossed = CrossedSocket(one.connection.sock, one.client, command("aa01"))
    monkeypatch.setattr(one.connection, "sock", crossed)
    assert not one.side.evict_idle()
    assert len(one.recorder.opened) == 1
    one.close()


def test_sending_is_shut_down_only_after_everything_was_read() -> None:
    # Guards against a connection that ends over a request that it has not read.
    near, far = socket.socketpair()
    with near, far:
        far.sendall(b"x")
        assert not shut_down_unless_unread(near)
        near.sendall(b"y")
        assert far.recv(10) == b"y"
        assert near.recv(10) == b"x"
        assert shut_down_unless_unread(near)
        assert far.recv(10) == b""


@pytest.mark.parametrize("ends", ["at the cap", "with the process"])
def test_request_arriving_during_a_close_does_not_reset_the_previous_answer(
    ends: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    one = IdleClient()
    if ends == "at the cap":

        def crossed(sock: socket.socket) -> bool:
            shut_down = shut_down_unless_unread(sock)
            one.client.sendall(command("aa01"))
            return shut_down

        monkeypatch.setattr(client_side, "shut_down_unless_unread", crossed)
        one.side.evict_idle()
    else:
        one.client.sendall(command("aa01"))
        one.side.close()
    assert not one.side.connections
    assert read_until(one.client, b"\r\n") == b"+PONG\r\n"
    assert one.client.recv(100) == b""  # no reset
    assert one.recorder.opened == []
    one.close()


@pytest.mark.parametrize("sent", [b"*1\r\n$4\r\nPI", b""])
def test_bytes_arriving_as_a_stuck_connection_ends_do_not_reset_its_error(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    one = IdleClient(sent)
    one.crosses(monkeypatch, "has_pending_bytes", b"NG\r\n")
    one.connection.created_at -= FIRST_COMMAND_TIMEOUT + 1
    one.connection.stalls = MAX_READ_STALLS + 1
    one.side._sweep()
    assert read_until(one.client, b"\r\n").startswith(b"-ERR no whole command")
    assert one.client.recv(100) == b""
    one.close()


@pytest.mark.parametrize("ends", ["idle", "given up"])
def test_partial_reply_arriving_during_a_close_does_not_reset_the_backend_connection(ends: str) -> None:
    with listener() as hop:
        wired = Wired(hop.getsockname(), cool_down=0.0)
        client = wired.ask("aa01")
        wired.send()
        at_backend = wired.accept(hop)
        if ends == "idle":
            at_backend.sendall(VALUE)
            assert wired.answered(client) == b"$2\r\nva\r\n"
        at_backend.sendall(b"*3\r\n$")
        if ends == "idle":
            wired.hops.close_idle("s-1")
        else:
            wired.recorder.exchange.cancel(wired.recorder.opened[0].name, 0)
        assert not wired.hops.connections
        assert at_backend.recv(100) == b""
        for sock in (client, at_backend):
            sock.close()
        wired.recorder.close()


def test_queued_connections_are_accepted_before_the_listener_closes() -> None:
    """The queue is longer than one accept batch; the rest used to be reset with the listener."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 500)
    side.start_serving()
    clients = [socket.create_connection(side.address) for _ in range(150)]
    side.stop()
    run_until(recorder.loop, lambda: not side.listening)
    assert len(side.connections) == len(clients)
    for client in clients:
        client.close()
    recorder.close()


def test_nagle_is_disabled_on_both_sides() -> None:
    with listener() as hop:
        wired = Wired(hop.getsockname())
        client = wired.ask("aa01")
        wired.send()
        at_backend = wired.accept(hop)
        ends: list[ClientConnection | Connection] = [
            *wired.clients.connections,
            *wired.hops.hops["s-1"].connections,
        ]
        assert len(ends) == 2
        for end in ends:
            assert end.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        for sock in (client, at_backend):
            sock.close()
        wired.recorder.close()
