"""Races between the end of a connection or process and outstanding work, forced on real sockets."""

from __future__ import annotations

import contextlib
import json
import random
import select
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from lab.shutdown import kill_time
from standflow.assembly import Ingress
from standflow.config import read
from standflow.messages import Outcome
from standflow.net.client_connection import MAX_PIPELINED
from standflow.net.client_side import ClientSide
from standflow.net.loop import IN, Coroutine, Loop
from standflow.net.nexthop import COOL_DOWN, NextHops
from standflow.net.routes import ObjectSplitter, RouteWatch
from standflow.net.stream import PlainStream, Stream
from standflow.net.watch_timing import HEAD_TIMEOUT, MAX_BACK_OFF
from standflow.platform_terms import MAX_PAUSE_SECONDS
from standflow.route_set import Phase, Route, RouteSet
from tests.test_connections import Recorder
from tests.wire import (
    LIMIT,
    command,
    config,
    listener,
    member,
    program,
    read_until,
    run_until,
    with_deadline,
)

VALUE = b"*3\r\n$2\r\nva\r\n$-1\r\n$-1\r\n"


def known(hop: socket.socket) -> dict[str, object]:
    return {"revision": 1, "complete": True, "members": [member(hop.getsockname())]}


class Wired:
    """Client side, next-hop side and exchange in one loop; `send` replaces the decision module."""

    def __init__(
        self,
        address: tuple[str, int],
        grace: float = 60.0,
        cool_down: float = COOL_DOWN,
        make: Callable[[Route, socket.socket], Stream] = lambda route, sock: PlainStream(sock),
    ) -> None:
        self.recorder = Recorder()
        self.clients = ClientSide(
            self.recorder.loop, self.recorder.log.append, self.recorder.exchange, ("127.0.0.1", 0), 10
        )
        self.clients.start_serving()
        times = (60.0, 600.0, grace)
        self.hops = NextHops(
            self.recorder.loop,
            self.recorder.log.append,
            self.recorder.exchange,
            *times,
            10,
            make,
            cool_down=cool_down,
        )
        self.recorder.exchange.next_hops = self.hops
        self.address = address
        self.set_phase(Phase.SERVING)

    def set_phase(self, phase: Phase) -> None:
        route = Route("s-1", self.address, "z1", "std", 0, phase, 1.0, None)
        self.hops.update_routes(RouteSet(1, True, (route,)))

    def ask(self, ident: str) -> socket.socket:
        """Connects a new client and waits until its request is opened."""
        client, before = socket.create_connection(self.clients.address), len(self.recorder.opened)
        client.settimeout(LIMIT)
        client.sendall(command(ident, d=60_000))
        run_until(self.recorder.loop, lambda: len(self.recorder.opened) > before)
        return client

    def send(self, timeout: float | None = None) -> None:
        """Sends the most recently opened request to the next hop."""
        self.recorder.exchange.send(self.recorder.opened[-1].name, "s-1", timeout)

    def accept(self, hop: socket.socket) -> socket.socket:
        """Accepts a connection at the next hop and reads one command."""
        sock = hop.accept()[0]
        sock.settimeout(LIMIT)
        run_until(self.recorder.loop, lambda: select.select([sock], [], [], 0)[0])
        read_until(sock, b"first=0\r\n")
        return sock

    def answered(self, client: socket.socket) -> bytes:
        """Waits for a client's answer."""
        run_until(self.recorder.loop, lambda: select.select([client], [], [], 0)[0])
        return client.recv(65536)


class HangingHop:
    """A next hop to which connects hang, because its accept queue is full until `release`."""

    def __init__(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.settimeout(LIMIT)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.fillers: list[socket.socket] = []
        while len(self.fillers) < 8:  # Linux takes one more than the backlog says
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            filler.connect_ex(self.sock.getsockname())
            self.fillers.append(filler)

    def __enter__(self) -> HangingHop:
        return self

    def __exit__(self, *_: object) -> None:
        for one in (self.sock, *self.fillers):
            one.close()

    def release(self) -> None:
        """Lets connects succeed; TCP retries the pending ones after a second."""
        for filler in self.fillers:
            filler.close()
        self.sock.listen(64)

    def command(self) -> bytes:
        """Returns the first data received on any connection."""
        while True:
            with self.sock.accept()[0] as sock:
                if data := sock.recv(65536):
                    return data


def test_request_is_not_sent_if_its_client_closes_during_a_dial() -> None:
    with HangingHop() as hop:
        wired = Wired(hop.sock.getsockname())
        loop = wired.recorder.loop
        leaves = wired.ask("aa01")
        wired.send()
        leaves.close()
        run_until(loop, lambda: "end nexthop s-1 given_up served=0" in "".join(wired.recorder.log))
        assert wired.recorder.exchange.transactions == {}
        hop.release()
        stays = wired.ask("aa02")
        wired.send()
        run_until(loop, lambda: wired.hops.forwards == 1)
        assert b"aa02" in hop.command()
        stays.close()
        wired.recorder.close()


class SlowHandshakeStream(PlainStream):
    """A stream whose handshake lasts until the next hop sends a byte."""

    def open(self) -> Coroutine[str]:
        """See Stream."""
        yield IN
        self.sock.recv(1)
        return ""


def test_request_is_not_sent_if_its_client_closes_during_a_handshake() -> None:
    with listener() as hop:
        wired = Wired(hop.getsockname(), make=lambda route, sock: SlowHandshakeStream(sock))
        leaves = wired.ask("aa01")
        wired.send()
        at_hop = hop.accept()[0]
        at_hop.settimeout(LIMIT)
        run_until(
            wired.recorder.loop, lambda: wired.hops.open_connections() == {} and wired.hops.connections == 1
        )
        leaves.close()
        run_until(wired.recorder.loop, lambda: wired.recorder.gone)
        with contextlib.suppress(OSError):  # completes the handshake
            at_hop.sendall(b"!")
        run_until(wired.recorder.loop, lambda: any("end nexthop s-1" in line for line in wired.recorder.log))
        assert wired.hops.forwards == 0
        with contextlib.suppress(ConnectionError):  # a reset, if the byte was unread at the close
            assert at_hop.recv(65536) == b""
        at_hop.close()
        wired.recorder.close()


def test_unread_commands_are_dropped_when_the_client_closes(tmp_path: Path) -> None:
    with listener() as hop, program(tmp_path, config(known=known(hop))) as running:
        client = running.call()
        many = [f"aa{number:02}" for number in range(MAX_PIPELINED + 20)]
        client.sendall(b"".join(command(ident, d=15_000) for ident in many))
        at_hop = hop.accept()[0]
        at_hop.settimeout(LIMIT)
        read_until(at_hop, b"first=0\r\n")
        with running.call() as other:
            for _ in range(MAX_PIPELINED):  # the client has a turn in between
                other.sendall(b"*1\r\n$4\r\nPING\r\n")
                read_until(other, b"+PONG\r\n")
        client.close()
        running.logged(f"end caller peer_closed answered=0 open={MAX_PIPELINED}")
        at_hop.sendall(VALUE)
        other = running.call()
        other.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert read_until(other, b"\r\n") == b"+PONG\r\n"
        running.terminate()
        running.logged("stopped")
        assert "taken=64" in running.log


def test_requests_sent_before_readiness_are_dropped_if_the_client_has_closed() -> None:
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 10)
    stays, leaves = (socket.create_connection(side.address) for _ in range(2))
    stays.sendall(command("aa01"))
    leaves.sendall(command("aa02"))
    run_until(recorder.loop, lambda: len(side.connections) == 2)
    leaves.close()
    run_until(recorder.loop, lambda: len(side.connections) == 1)
    side.start_serving()
    run_until(recorder.loop, lambda: recorder.opened)
    assert [transaction.request.ident for transaction in recorder.opened] == [b"aa01"]
    stays.close()
    recorder.close()


def test_client_that_closed_before_it_was_accepted_is_not_served() -> None:
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    with socket.create_connection(side.address) as leaves:
        leaves.sendall(command("aa01"))
    run_until(recorder.loop, lambda: any(line.startswith("end caller peer_closed") for line in recorder.log))
    assert recorder.opened == []
    recorder.close()


# The ends of connections and of the process.


@pytest.mark.parametrize("deadline", [0.3, 0.8, 3.0, 5.0])
def test_open_requests_are_answered_before_the_process_must_exit(deadline: float, tmp_path: Path) -> None:
    """The remaining time of a late request exceeds the time until SIGKILL, and its next hop hangs."""
    raw = with_deadline(config(known=known(hop := listener())), deadline)
    with hop, program(tmp_path, raw) as running:
        change, view = running.call(), running.call()
        change.sendall(command("aa01", "Q.DO", "change", d=60_000))
        view.sendall(command("aa02", d=60_000))
        at_hop = [hop.accept()[0] for _ in range(2)]
        running.terminate()
        told = time.monotonic()
        assert read_until(change, b"\r\n") == b"-ERR failed\r\n"  # the command may have run
        assert read_until(view, b"\r\n").startswith(b"-BUSY")
        assert change.recv(10) == view.recv(10) == b""
        assert time.monotonic() - told < kill_time(deadline)
        assert running.process.wait(LIMIT) == 0
        for sock in at_hop:
            sock.close()


def test_new_connections_are_not_evicted_and_the_limit_holds() -> None:
    """The first command is under way; closing the connection would drop it without an answer."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 3)
    side.start_serving()
    clients = [socket.create_connection(side.address) for _ in range(6)]
    recorder.loop.run_once()
    recorder.loop.run_once()
    assert len(side.connections) == 3
    for client in clients[:3]:
        client.sendall(b"*1\r\n$4\r\nPING\r\n")
    run_until(recorder.loop, lambda: all(select.select([client], [], [], 0)[0] for client in clients[:3]))
    assert [client.recv(10) for client in clients[:3]] == [b"+PONG\r\n"] * 3
    run_until(recorder.loop, lambda: sum("end caller cap answered=1" in line for line in recorder.log) == 3)
    assert len(side.connections) == 3
    for client in clients:
        client.close()
    recorder.close()


def test_command_that_arrived_before_the_drain_expired_is_served() -> None:
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 3)
    side.start_serving()
    client = socket.create_connection(side.address)
    run_until(recorder.loop, lambda: side.connections)
    side.draining = side.drain_expired = True
    next(iter(side.connections)).created_at -= 1.0
    client.sendall(command("aa01"))
    side._sweep()
    assert [transaction.request.ident for transaction in recorder.opened] == [b"aa01"]
    recorder.exchange.refuse(recorder.opened[0].name, None)
    client.settimeout(LIMIT)
    assert read_until(client, b"\r\n") == b"-BUSY\r\n"
    client.close()
    recorder.close()


# Next hops.


def test_late_duplicate_answer_is_not_taken_for_the_next_command_s() -> None:
    with listener() as hop:
        wired = Wired(hop.getsockname(), cool_down=60.0)
        first = wired.ask("aa01")
        wired.send()
        at_first = wired.accept(hop)
        at_first.sendall(VALUE)
        assert wired.answered(first) == b"$2\r\nva\r\n"
        second = wired.ask("aa02")
        wired.send()
        at_second = wired.accept(hop)
        at_first.sendall(VALUE.replace(b"va", b"no"))
        run_until(
            wired.recorder.loop, lambda: any("unasked_bytes served=1" in line for line in wired.recorder.log)
        )
        at_second.sendall(VALUE.replace(b"va", b"vb"))
        assert wired.answered(second) == b"$2\r\nvb\r\n"
        assert COOL_DOWN > 0.01
        for sock in (first, second, at_first, at_second):
            sock.close()
        wired.recorder.close()


def test_late_loop_starts_nothing_after_the_drain_grace() -> None:
    """An established connection is reported before an earlier timer, here the end of the grace period."""
    with listener() as hop:
        wired = Wired(hop.getsockname(), grace=0.06)
        client = wired.ask("aa01")
        wired.send()
        wired.set_phase(Phase.DRAINING)
        time.sleep(0.1)
        run_until(wired.recorder.loop, lambda: wired.recorder.ended)
        assert [outcome for _, outcome in wired.recorder.ended] == [Outcome.CONNECT_FAILED]
        assert wired.hops.forwards == 0
        assert hop.accept()[0].recv(10) == b""
        client.close()
        wired.recorder.close()


def test_drain_grace_covers_a_delay_between_the_clock_and_the_write() -> None:
    """No command starts so late that a delay of 0.15 s would make it be written after the grace period."""
    grace = 0.4
    with listener() as hop:
        wired = Wired(hop.getsockname(), grace=grace)
        loop = wired.recorder.loop
        client = wired.ask("aa01")
        told = loop.now()
        wired.set_phase(Phase.DRAINING)
        run_until(loop, lambda: loop.now() > told + grace - MAX_PAUSE_SECONDS)
        wired.send()
        run_until(loop, lambda: wired.recorder.ended)
        assert [outcome for _, outcome in wired.recorder.ended] == [Outcome.CONNECT_FAILED]
        assert wired.hops.forwards == 0
        client.close()
        wired.recorder.close()


def test_drain_grace_counts_from_the_earliest_arrival_of_the_change() -> None:
    """A late loop reads the change after its arrival."""
    grace, late = 0.5, 0.1
    with listener() as hop:
        wired = Wired(hop.getsockname(), grace=grace)
        wired.recorder.loop.earliest_arrival = wired.recorder.loop.now() - late
        wired.set_phase(Phase.DRAINING)
        assert (
            wired.hops.hops["s-1"].writes_end_at
            == wired.recorder.loop.earliest_arrival + grace - MAX_PAUSE_SECONDS
        )
        wired.recorder.close()


def test_late_loop_starts_no_attempt_after_its_deadline() -> None:
    with listener() as hop:
        wired = Wired(hop.getsockname())
        client = wired.ask("aa01")
        wired.send(0.02)
        time.sleep(0.05)
        run_until(wired.recorder.loop, lambda: wired.recorder.ended)
        assert [outcome for _, outcome in wired.recorder.ended] == [Outcome.CONNECT_FAILED]
        assert wired.hops.forwards == 0
        client.close()
        wired.recorder.close()


# The watch of discovery.


def entry(hop: str, phase: str) -> dict[str, object]:
    return member(("127.0.0.1", 1), phase) | {"id": hop}


def change(revision: int, *members: object, complete: bool = False) -> dict[str, object]:
    return {"revision": revision, "complete": complete, "members": list(members)}


class Agent:
    """A discovery agent whose responses are scripted by the test."""

    def __init__(self) -> None:
        self.recorder, self.received = Recorder(), list[RouteSet]()
        self.sock = listener()
        chance = random.Random(1)
        self.routes = RouteWatch(
            self.recorder.loop,
            self.recorder.log.append,
            self.sock.getsockname(),
            (),
            7,
            self.received.append,
            chance,
        )
        self.routes.connect()
        self.request_head = b""
        self.watch = self.accept()

    def accept(self) -> socket.socket:
        """Accepts the next watch and sends the response head."""
        self.sock.setblocking(False)
        watches: list[socket.socket] = []

        def came() -> bool:
            try:
                watches.append(self.sock.accept()[0])
            except BlockingIOError:
                return False
            return True

        run_until(self.recorder.loop, came)
        run_until(self.recorder.loop, lambda: select.select([watches[0]], [], [], 0)[0])
        watches[0].settimeout(LIMIT)
        self.request_head = read_until(watches[0], b"\r\n\r\n")
        watches[0].sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return watches[0]

    def send(self, data: bytes) -> None:
        self.watch.sendall(b"%x\r\n%b\r\n" % (len(data), data))


@contextmanager
def agent() -> Iterator[Agent]:
    made = Agent()
    yield made
    made.routes.close()
    made.watch.close()
    made.sock.close()
    made.recorder.close()


def test_lists_are_parsed_indented_and_independently_of_segmentation() -> None:
    awkward = entry('s-"}]{\\', "DRAINING") | {"flavor": "a}\nb"}
    texts = [
        json.dumps(change(8, awkward)),
        json.dumps(change(9, awkward, entry("s-2", "SERVING")), indent=4),
        json.dumps(change(10), indent="\t"),
    ]
    whole = "\r\n\n".join(texts).encode() + b"\n\n"
    for step in (1, 2, 3, 7, len(whole)):
        objects, found = ObjectSplitter(), list[bytes]()
        for at in range(0, len(whole), step):
            found += objects.feed(whole[at : at + step])
        assert [json.loads(text) for text in found if text] == [json.loads(text) for text in texts], step
    with agent() as one:
        for text in texts:
            one.send(text.encode() + b"\n")
        run_until(one.recorder.loop, lambda: len(one.received) == 3)
        assert [routes.revision for routes in one.received] == [8, 9, 10]
        assert one.received[1].routes[0].hop == awkward["id"]


def test_complete_object_is_applied_without_the_end_of_its_line() -> None:
    with agent() as one:
        one.send(json.dumps(change(8, entry("s-1", "DRAINING"))).encode())
        run_until(one.recorder.loop, lambda: len(one.received) == 1)


def test_watch_that_sends_bytes_but_never_completes_an_object_times_out() -> None:
    with agent() as one:
        one.send(b'{"revision": 8,\n')
        drips = 0

        def broken() -> bool:
            nonlocal drips
            if any("end routes silent" in line for line in one.recorder.log):
                return True
            drips += 1
            one.send(b" \n")
            return False

        run_until(one.recorder.loop, broken)
        assert drips > 100
        one.watch.close()
        one.watch = one.accept()
        assert b"since=7 " in one.request_head


def test_working_watch_resets_the_back_off() -> None:
    """An empty line is enough: back-off, slow head and silence together would exceed the change deadline."""
    with agent() as one:
        timing = one.routes.timing
        timing.back_off = timing.head_timeout = timing.unavailable_back_off = 4.0
        one.send(b"\n")
        run_until(one.recorder.loop, lambda: timing.head_timeout == HEAD_TIMEOUT)
        assert timing.back_off < 0.1
        assert not timing.unavailable_back_off


def test_unreadable_member_is_skipped_and_the_complete_list_is_requested() -> None:
    with agent() as one:
        gone: dict[str, object] = {"id": "s-3", "phase": "DELETED"}  # no other fields are needed
        one.send(json.dumps(change(8, entry("s-1", "DRAINING"), entry("s-2", "ODD"), gone)).encode() + b"\n")
        run_until(one.recorder.loop, lambda: len(one.received) == 1)
        assert [route.hop for route in one.received[0].routes] == ["s-1", "s-3"]
        one.watch.close()
        one.watch = one.accept()
        assert b"since" not in one.request_head
        one.send(json.dumps(change(8, entry("s-1", "DRAINING"), entry("s-2", "ODD"), complete=True)).encode())
        # An unreadable member of a complete list is gone for good.
        run_until(one.recorder.loop, lambda: len(one.received) == 2)
        one.send(json.dumps(change(9, entry("s-1", "SERVING"))).encode())
        run_until(one.recorder.loop, lambda: len(one.received) == 3)


def test_revision_that_goes_back_is_ignored_and_the_complete_list_requested() -> None:
    with agent() as one:
        one.send(json.dumps(change(9, entry("s-1", "DRAINING"))).encode() + b"\n")
        one.send(json.dumps(change(8, entry("s-1", "SERVING"))).encode() + b"\n")
        run_until(one.recorder.loop, lambda: any("goes back" in line for line in one.recorder.log))
        assert [routes.revision for routes in one.received] == [9]
        one.watch.close()
        one.watch = one.accept()
        assert b"since" not in one.request_head
        one.send(json.dumps(change(3, entry("s-1", "SERVING"), complete=True)).encode() + b"\n")
        run_until(one.recorder.loop, lambda: len(one.received) == 2)


@pytest.mark.parametrize(("pushed", "longest"), [(True, 0.25), (False, MAX_BACK_OFF)])
def test_back_off_is_at_most_half_of_the_drain_grace_with_pushed_lists(pushed: bool, longest: float) -> None:
    """With pushed lists, a change counts as received once the agent has it, even if no watch is open."""
    raw = config()
    raw["settings"]["Rules"]["DrainGraceUs"] = 500_000
    raw["settings"]["Discovery"] = "pushed" if pushed else "on_request"
    log: list[str] = []
    loop = Loop(log.append)
    ingress = Ingress(read(raw, log.append), loop, log.append)  # nobody listens at its agent's address
    assert ingress.routes is not None
    ingress.routes.connect()
    run_until(loop, lambda: sum("end routes connect_failed" in line for line in log) >= 8)
    assert ingress.routes.timing.back_off == longest
    assert ingress.routes.reconnect_timer is not None
    assert ingress.routes.reconnect_timer.when - loop.now() <= longest
    ingress.close()
    loop.epoll.close()
