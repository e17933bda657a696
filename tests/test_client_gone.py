"""Once a client has closed its connection, no new work starts for its requests."""

from __future__ import annotations

import select
import socket
import struct
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from lab.box import Box
from standflow.assembly import Ingress
from standflow.config import read
from standflow.messages import Outcome, Served
from standflow.net import resp
from standflow.net.client_connection import MAX_PIPELINED, PAUSE_UNSENT
from standflow.net.client_side import ClientSide
from standflow.net.loop import Loop
from tests.test_connections import Recorder
from tests.test_endings import Wired, known
from tests.wire import command, config, listener, member, program, run_until

FEW_ITERATIONS = 5  # of the loop, within which a close is noticed: by events, not by a timer
HOUR = 3600_000
HUNG_TENANT = 0xBAD
MAX_LATE_ATTEMPT_SECONDS = 0.1  # behind a close: STANDING.md


def reset(client: socket.socket) -> None:
    """Closes with a reset."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


CLOSES: dict[str, Callable[[socket.socket], None]] = {"closes": socket.socket.close, "resets": reset}


def run_until_noticed(loop: Loop, met: Callable[[], object]) -> None:
    """Runs a few loop iterations, without timers, until the condition is met."""
    end = loop.iteration + FEW_ITERATIONS
    while not met():
        assert loop.iteration < end
        loop.run_once()


@pytest.mark.parametrize("leaves", CLOSES.values(), ids=CLOSES)
def test_no_retry_starts_after_the_client_has_closed(
    leaves: Callable[[socket.socket], None],
) -> None:
    """The decision module still asks for a retry, as if it had not been notified yet."""
    with listener() as hop:
        wired = Wired(hop.getsockname(), cool_down=0.0)
        client = wired.ask("aa01")
        name = wired.recorder.opened[-1].name
        wired.send()
        at_backend = wired.accept(hop)
        at_backend.sendall(b"-BUSY\r\n")
        run_until(wired.recorder.loop, lambda: wired.recorder.ended)
        leaves(client)
        run_until_noticed(wired.recorder.loop, lambda: wired.recorder.gone)
        assert wired.recorder.exchange.send(name, "s-1", None) is None
        wired.recorder.loop.call_later(0.0, int)
        wired.recorder.loop.run_once()
        assert not select.select([at_backend, hop], [], [], 0)[0]
        assert wired.hops.forwards == 1
        at_backend.close()
        wired.recorder.close()


def test_no_second_copy_starts_after_the_client_has_closed() -> None:
    with listener() as hop:
        wired = Wired(hop.getsockname())
        client = wired.ask("aa01")
        name = wired.recorder.opened[-1].name
        wired.send()
        at_backend = wired.accept(hop)
        client.close()
        run_until_noticed(wired.recorder.loop, lambda: wired.recorder.gone)
        wired.recorder.exchange.send(name, "s-1", None)
        assert [outcome for _, outcome in wired.recorder.ended] == [Outcome.MOOT]
        assert not select.select([hop], [], [], 0)[0]
        at_backend.close()
        wired.recorder.close()


def test_module_timers_send_nothing_for_a_closed_client() -> None:
    """The first attempt is at a hanging backend, so a second one is scheduled."""
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
        handles = list(module.timers)
        assert handles
        client.close()
        run_until(loop, lambda: not module.requests)
        for handle in handles:
            ingress.driver._timer_fired(handle)
        run_until(loop, lambda: not ingress.exchange.open_count)
        assert ingress.next_hops.forwards == 1
        assert len(ingress.next_hops.hops["s-1"].connections) == 1
        ingress.close()
        loop.epoll.close()


# Connections that are not being read.


class PausedClient:
    """A client with an open request, on a connection whose reading is paused."""

    def __init__(self) -> None:
        self.recorder = Recorder()
        self.side = ClientSide(
            self.recorder.loop,
            self.recorder.log.append,
            self.recorder.exchange,
            ("127.0.0.1", 0),
            10,
            max_bodies=100_000,
        )
        self.side.start_serving()
        self.others: list[socket.socket] = []
        self.client = self.connect(b"")

    def connect(self, sent: bytes) -> socket.socket:
        """Connects a client and sends data."""
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(self.side.address)
        client.sendall(sent)
        connections = len(self.side.connections)
        run_until(self.recorder.loop, lambda: len(self.side.connections) > connections)
        self.others.append(client)
        return client

    def ask(self, *idents: str) -> None:
        """Sends requests and waits until they are opened."""
        self.client.sendall(b"".join(command(ident, d=HOUR // 10) for ident in idents))
        run_until(self.recorder.loop, lambda: len(self.recorder.opened) == len(idents))

    def pipelined(self) -> None:
        """Sends so many requests that some wait in the kernel or in the connection's buffer."""
        many = [f"aa{number:02x}" for number in range(MAX_PIPELINED + 20)]
        self.client.sendall(b"".join(command(ident, d=HOUR // 10) for ident in many))
        run_until(self.recorder.loop, lambda: len(self.recorder.opened) == MAX_PIPELINED)

    def slow_reader(self) -> None:
        """Leaves large answers unread by the client."""
        connection = next(iter(self.side.connections))
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        self.ask("aa01", "aa02")
        first = self.recorder.opened[0]
        first.open = False
        first.reply(Served(b"x" * (3 * PAUSE_UNSENT)))
        assert len(connection.unsent) > PAUSE_UNSENT

    def draining(self) -> None:
        """Drains the connection, so that it takes no more requests."""
        self.ask("aa01")
        self.side._drain_connection(next(iter(self.side.connections)))

    def long_body(self) -> None:
        """Makes a long body behind the request wait for memory."""
        size = resp.MAX_VALUE + 1000
        head = command("bb01", body=b"x" * size)[: -size // 2]
        self.connect(head)
        run_until(self.recorder.loop, lambda: self.side.body_budget.used)
        self.ask("aa01")
        self.client.sendall(head.replace(b"bb01", b"bb02"))
        run_until(self.recorder.loop, lambda: self.side.body_budget.waiting)

    def close(self) -> None:
        """Closes the clients and the loop."""
        for client in self.others:
            client.close()
        self.recorder.close()


PAUSES = {
    "pipelined": PausedClient.pipelined,
    "slow_reader": PausedClient.slow_reader,
    "draining": PausedClient.draining,
    "long_body": PausedClient.long_body,
}


@pytest.mark.parametrize("leaves", CLOSES.values(), ids=CLOSES)
@pytest.mark.parametrize("pauses", PAUSES.values(), ids=PAUSES)
def test_client_close_is_noticed_while_reading_is_paused(
    pauses: Callable[[PausedClient], None], leaves: Callable[[socket.socket], None]
) -> None:
    one = PausedClient()
    pauses(one)
    opened = [transaction for transaction in one.recorder.opened if transaction.open]
    leaves(one.client)
    run_until_noticed(one.recorder.loop, lambda: len(one.recorder.gone) == len(opened))
    assert one.recorder.gone == opened
    assert one.recorder.exchange.open_count <= len(one.recorder.opened) - len(opened)
    one.close()


@pytest.mark.parametrize("looks", ["the cap", "a drain", "the sweep of a drain"])
def test_request_of_a_closed_client_is_not_opened_by_eviction_or_drain(looks: str) -> None:
    """Unread bytes are read before a connection is ended; here the client's close follows them."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    client = socket.create_connection(side.address)
    client.sendall(b"*1\r\n$4\r\nPING\r\n")
    run_until(recorder.loop, lambda: select.select([client], [], [], 0)[0])
    client.recv(100)
    connection = next(iter(side.connections))
    connection.created_at -= 60.0
    client.sendall(command("aa01"))
    client.close()
    side.draining = side.drain_expired = looks != "the cap"
    if looks == "the cap":
        side.evict_idle()
    elif looks == "a drain":
        side._expire_drain(side.drain_count)
    else:
        side._sweep()
    run_until(recorder.loop, lambda: not side.connections)
    assert recorder.opened == []
    recorder.close()


def test_client_close_is_handled_before_other_events_of_the_same_iteration() -> None:
    """With a late loop, work handled before the close would start long after it."""
    with listener() as hop:
        wired = Wired(hop.getsockname())
        client = wired.ask("aa01")
        wired.recorder.loop.call_later(0.0, int)
        wired.recorder.loop.run_once()  # otherwise the client, ready last, would be handled first
        wired.send()  # the connection is established, but the loop has not seen it yet
        client.close()
        run_until_noticed(wired.recorder.loop, lambda: wired.recorder.gone)
        wired.recorder.loop.run_once()
        assert wired.recorder.exchange.transactions == {}
        assert wired.hops.forwards == 0
        assert hop.accept()[0].recv(100) == b""
        wired.recorder.close()


def test_requests_behind_a_close_that_could_not_be_seen_are_not_sent_on(tmp_path: Path) -> None:
    """The close is behind more commands than the kernel takes, while the first one's answer is lost."""
    with Box(delay=0.005) as box:
        box.hung_tenants = frozenset([HUNG_TENANT])
        raw = config(known={"revision": 1, "complete": True, "members": [member(box.address)]})
        raw["settings"]["Caps"]["MaxOpen"] = 10_000
        with program(tmp_path, raw) as running:
            client = running.call()
            tenant = b"%016x" % HUNG_TENANT
            first = command("first", "Q.DO", "change", b"x", d=700).replace(b"00000000b4d65521", tenant)
            others = (command(f"a{number}", "Q.DO", "change", b"x" * 600) for number in range(600))
            client.sendall(first + b"".join(others))
            time.sleep(0.2)
            client.close()
            closed_at = time.monotonic()
            running.logged("end caller peer_closed")
            time.sleep(0.3)
        arrivals = [arrival.at - closed_at for arrival in box.counts.arrivals]
        assert min(arrivals) < 0
        assert max(arrivals) <= MAX_LATE_ATTEMPT_SECONDS
