"""A client that closes its connection has gone: nothing of its requests is begun from then on."""

from __future__ import annotations

import select
import socket
import struct
from collections.abc import Callable

import pytest

from standflow.assembly import Ingress
from standflow.config import read
from standflow.exchange import Outcome, Served
from standflow.net import resp
from standflow.net.client_connection import MAX_PIPELINED, PAUSE_UNSENT
from standflow.net.client_side import ClientSide
from standflow.net.loop import Loop
from tests.test_connections import Recorder
from tests.test_endings import Wired, known
from tests.wire import command, config, listener, run_until

FEW_ROUNDS = 5  # of the loop, in which a close is noticed: by events, never by a timer
HOUR = 3600_000


def reset(client: socket.socket) -> None:
    """Closes by a reset."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


CLOSES: dict[str, Callable[[socket.socket], None]] = {"closes": socket.socket.close, "resets": reset}


def noticed(loop: Loop, met: Callable[[], object]) -> None:
    """The loop hears of it at once, with no timer of its own to wake it."""
    end = loop.iteration + FEW_ROUNDS
    while not met():
        assert loop.iteration < end
        loop.run_once()


@pytest.mark.parametrize("leaves", CLOSES.values(), ids=CLOSES)
def test_no_retry_begins_after_the_client_has_left_in_the_pause_before_it(
    leaves: Callable[[socket.socket], None],
) -> None:
    """The decision module asks for it all the same, as one would that has not heard yet."""
    with listener() as hop:
        wired = Wired(hop.getsockname(), cool_down=0.0)
        client = wired.ask("aa01")
        name = wired.at.opened[-1].name
        wired.send()
        at_backend = wired.accept(hop)
        at_backend.sendall(b"-BUSY\r\n")
        run_until(wired.at.loop, lambda: wired.at.ended)
        leaves(client)
        noticed(wired.at.loop, lambda: wired.at.gone)
        assert wired.at.exchange.send(name, "s-1", None) is None
        wired.at.loop.call_later(0.0, int)
        wired.at.loop.run_once()
        assert not select.select([at_backend, hop], [], [], 0)[0]
        assert wired.hops.forwards == 1
        at_backend.close()
        wired.at.close()


def test_no_second_copy_begins_beside_an_attempt_that_is_still_out() -> None:
    with listener() as hop:
        wired = Wired(hop.getsockname())
        client = wired.ask("aa01")
        name = wired.at.opened[-1].name
        wired.send()
        at_backend = wired.accept(hop)
        client.close()
        noticed(wired.at.loop, lambda: wired.at.gone)
        wired.at.exchange.send(name, "s-1", None)
        assert [outcome for _, outcome in wired.at.ended] == [Outcome.MOOT]
        assert not select.select([hop], [], [], 0)[0]
        at_backend.close()
        wired.at.close()


def test_the_timers_of_the_real_module_send_nothing_for_a_client_that_has_left() -> None:
    """A further attempt is due when the first one, at a backend that hangs, has had its time."""
    with listener() as hop:
        log: list[str] = []
        loop = Loop(log.append)
        ingress = Ingress(
            read(config(known=known(hop), discovery="127.0.0.1:1"), log.append), loop, log.append
        )
        ingress.start()
        run_until(loop, lambda: ingress.clients.ready)
        client = socket.create_connection(ingress.clients.address)
        client.sendall(command("aa01", d=3000))
        run_until(loop, lambda: ingress.next_hops.forwards == 1)
        module = ingress.driver.module
        assert module.timers
        client.close()
        run_until(loop, lambda: not module.requests)
        for handle in list(module.timers):
            ingress.driver._timer(handle)
        run_until(loop, lambda: not ingress.exchange.open_count)
        assert ingress.next_hops.forwards == 1
        assert len(ingress.next_hops.hops["s-1"].connections) == 1
        ingress.close()
        loop.epoll.close()


# Connections that are not being read.


class Unread:
    """A client with an open request, on a connection whose reading pauses."""

    def __init__(self) -> None:
        self.at = Recorder()
        self.side = ClientSide(
            self.at.loop, self.at.log.append, self.at.exchange, ("127.0.0.1", 0), 10, max_bodies=100_000
        )
        self.side.start_serving()
        self.others: list[socket.socket] = []
        self.client = self.connect(b"")

    def connect(self, sent: bytes) -> socket.socket:
        """A client that has sent something."""
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(self.side.address)
        client.sendall(sent)
        connections = len(self.side.connections)
        run_until(self.at.loop, lambda: len(self.side.connections) > connections)
        self.others.append(client)
        return client

    def ask(self, *idents: str) -> None:
        """The client's requests, taken in."""
        self.client.sendall(b"".join(command(ident, d=HOUR // 10) for ident in idents))
        run_until(self.at.loop, lambda: len(self.at.opened) == len(idents))

    def pipelined(self) -> None:
        """So many requests that further ones wait in the kernel, or in the ingress."""
        many = [f"aa{number:02x}" for number in range(MAX_PIPELINED + 20)]
        self.client.sendall(b"".join(command(ident, d=HOUR // 10) for ident in many))
        run_until(self.at.loop, lambda: len(self.at.opened) == MAX_PIPELINED)

    def slow_reader(self) -> None:
        """Answers that the client does not take."""
        connection = next(iter(self.side.connections))
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        self.ask("aa01", "aa02")
        first = self.at.opened[0]
        first.open = False
        first.reply(Served(b"x" * (3 * PAUSE_UNSENT)))
        assert len(connection.unsent) > PAUSE_UNSENT

    def draining(self) -> None:
        """The connection takes no more requests."""
        self.ask("aa01")
        self.side._drain_connection(next(iter(self.side.connections)))

    def long_body(self) -> None:
        """A long body behind the request waits for room."""
        size = resp.MAX_VALUE + 1000
        head = command("bb01", body=b"x" * size)[: -size // 2]
        self.connect(head)
        run_until(self.at.loop, lambda: self.side.body_budget.used)
        self.ask("aa01")
        self.client.sendall(head.replace(b"bb01", b"bb02"))
        run_until(self.at.loop, lambda: self.side.body_budget.waiting)

    def close(self) -> None:
        """All ends."""
        for client in self.others:
            client.close()
        self.at.close()


PAUSES = {
    "pipelined": Unread.pipelined,
    "slow_reader": Unread.slow_reader,
    "draining": Unread.draining,
    "long_body": Unread.long_body,
}


@pytest.mark.parametrize("leaves", CLOSES.values(), ids=CLOSES)
@pytest.mark.parametrize("pauses", PAUSES.values(), ids=PAUSES)
def test_a_close_is_noticed_where_the_connection_is_not_being_read(
    pauses: Callable[[Unread], None], leaves: Callable[[socket.socket], None]
) -> None:
    one = Unread()
    pauses(one)
    opened = [transaction for transaction in one.at.opened if transaction.open]
    leaves(one.client)
    noticed(one.at.loop, lambda: len(one.at.gone) == len(opened))
    assert one.at.gone == opened
    assert one.at.exchange.open_count <= len(one.at.opened) - len(opened)
    one.close()


@pytest.mark.parametrize("looks", ["the cap", "a drain", "the sweep of a drain"])
def test_a_request_sent_and_closed_is_not_opened_by_a_look_at_its_connection(looks: str) -> None:
    """What lies unread is taken before a connection is judged; the close lies behind it."""
    at = Recorder()
    side = ClientSide(at.loop, at.log.append, at.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    client = socket.create_connection(side.address)
    client.sendall(b"*1\r\n$4\r\nPING\r\n")
    run_until(at.loop, lambda: select.select([client], [], [], 0)[0])
    client.recv(100)
    connection = next(iter(side.connections))
    connection.created_at -= 60.0
    client.sendall(command("aa01"))
    client.close()
    side.draining = side.drain_expired = looks != "the cap"
    if looks == "the cap":
        side._evict_idle()
    elif looks == "a drain":
        side._expire_drain(side.drain_count)
    else:
        side._sweep()
    run_until(at.loop, lambda: not side.connections)
    assert at.opened == []
    at.close()


def test_a_close_is_heard_before_what_comes_up_in_the_same_round() -> None:
    """The loop may be late: what is begun first would be begun long after the close."""
    with listener() as hop:
        wired = Wired(hop.getsockname())
        client = wired.ask("aa01")
        wired.at.loop.call_later(0.0, int)
        wired.at.loop.run_once()  # else the client's connection, which was ready last, would be told first
        wired.send()  # the connection is up by now, and the loop has not heard of it
        client.close()
        noticed(wired.at.loop, lambda: wired.at.gone)
        wired.at.loop.run_once()
        assert wired.at.exchange.transactions == {}
        assert wired.hops.forwards == 0
        assert hop.accept()[0].recv(100) == b""
        wired.at.close()
