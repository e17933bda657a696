"""What is still owed at the instant in which something ends, the crossing forced on real sockets."""

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
from standflow.exchange import Outcome, Phase, Route, RouteSet
from standflow.net.client_connection import MAX_PIPELINED
from standflow.net.client_side import ClientSide
from standflow.net.loop import IN, Coroutine, Loop
from standflow.net.nexthop import COOL_DOWN, NextHops
from standflow.net.routes import ObjectSplitter, RouteWatch
from standflow.net.stream import PlainStream, Stream
from standflow.net.watch_timing import HEAD_TIMEOUT, MAX_BACK_OFF
from standflow.platform_terms import HOLD_UP_SECONDS
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
    """Both sides of an ingress and the exchange in one loop; `send` stands for the module."""

    def __init__(
        self,
        address: tuple[str, int],
        grace: float = 60.0,
        cool_down: float = COOL_DOWN,
        make: Callable[[Route, socket.socket], Stream] = lambda route, sock: PlainStream(sock),
    ) -> None:
        self.at = Recorder()
        self.clients = ClientSide(self.at.loop, self.at.log.append, self.at.exchange, ("127.0.0.1", 0), 10)
        self.clients.start_serving()
        times = (60.0, 600.0, grace)
        self.hops = NextHops(
            self.at.loop, self.at.log.append, self.at.exchange, *times, 10, make, cool_down=cool_down
        )
        self.at.exchange.next_hops = self.hops
        self.address = address
        self.tell(Phase.SERVING)

    def tell(self, phase: Phase) -> None:
        route = Route("s-1", self.address, "z1", "std", 0, phase, 1.0, None)
        self.hops.update_routes(RouteSet(1, True, (route,)))

    def ask(self, ident: str) -> socket.socket:
        """A caller of its own whose request has been taken."""
        caller, before = socket.create_connection(self.clients.address), len(self.at.opened)
        caller.settimeout(LIMIT)
        caller.sendall(command(ident, d=60_000))
        run_until(self.at.loop, lambda: len(self.at.opened) > before)
        return caller

    def send(self, timeout: float | None = None) -> None:
        """The request taken last is sent on."""
        self.at.exchange.send(self.at.opened[-1].name, "s-1", timeout)

    def accept(self, hop: socket.socket) -> socket.socket:
        """The next hop's end of a connection, when a command has come on it."""
        sock = hop.accept()[0]
        sock.settimeout(LIMIT)
        run_until(self.at.loop, lambda: select.select([sock], [], [], 0)[0])
        read_until(sock, b"first=0\r\n")
        return sock

    def answered(self, caller: socket.socket) -> bytes:
        """What a caller gets."""
        run_until(self.at.loop, lambda: select.select([caller], [], [], 0)[0])
        return caller.recv(65536)


class Held:
    """A next hop whose connections don't come up: its queue of accepted ones is full until `release`."""

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

    def __enter__(self) -> Held:
        return self

    def __exit__(self, *_: object) -> None:
        for one in (self.sock, *self.fillers):
            one.close()

    def release(self) -> None:
        """From now on connections come up; those that are dialled again by themselves after a second."""
        for filler in self.fillers:
            filler.close()
        self.sock.listen(64)

    def command(self) -> bytes:
        """What has come on the first connection that says anything."""
        while True:
            with self.sock.accept()[0] as sock:
                if data := sock.recv(65536):
                    return data


def test_a_request_whose_caller_leaves_while_its_connection_is_dialled_is_not_sent() -> None:
    with Held() as hop:
        wired = Wired(hop.sock.getsockname())
        loop = wired.at.loop
        leaves = wired.ask("aa01")
        wired.send()
        leaves.close()
        run_until(loop, lambda: "end nexthop s-1 given_up served=0" in "".join(wired.at.log))
        assert wired.at.exchange.transactions == {}
        hop.release()
        stays = wired.ask("aa02")
        wired.send()
        run_until(loop, lambda: wired.hops.forwards == 1)
        assert b"aa02" in hop.command()
        stays.close()
        wired.at.close()


class Greeted(PlainStream):
    """A handshake that goes on until the next hop says a byte."""

    def open(self) -> Coroutine[str]:
        """See Stream."""
        yield IN
        self.sock.recv(1)
        return ""


def test_a_request_whose_caller_leaves_in_the_middle_of_a_handshake_is_not_sent() -> None:
    with listener() as hop:
        wired = Wired(hop.getsockname(), make=lambda route, sock: Greeted(sock))
        leaves = wired.ask("aa01")
        wired.send()
        at_hop = hop.accept()[0]
        at_hop.settimeout(LIMIT)
        run_until(wired.at.loop, lambda: wired.hops.open_connections() == {} and wired.hops.connections == 1)
        leaves.close()
        run_until(wired.at.loop, lambda: wired.at.gone)
        with contextlib.suppress(OSError):  # the handshake would end now
            at_hop.sendall(b"!")
        run_until(wired.at.loop, lambda: any("end nexthop s-1" in line for line in wired.at.log))
        assert wired.hops.forwards == 0
        with contextlib.suppress(ConnectionError):  # closed over the byte it is a reset
            assert at_hop.recv(65536) == b""
        at_hop.close()
        wired.at.close()


def test_commands_unread_behind_others_are_dropped_when_the_caller_leaves(tmp_path: Path) -> None:
    with listener() as hop, program(tmp_path, config(known=known(hop))) as running:
        caller = running.call()
        many = [f"aa{number:02}" for number in range(MAX_PIPELINED + 20)]
        caller.sendall(b"".join(command(ident, d=15_000) for ident in many))
        at_hop = hop.accept()[0]
        at_hop.settimeout(LIMIT)
        read_until(at_hop, b"first=0\r\n")
        caller.close()
        running.logged(f"end caller peer_closed answered=0 open={MAX_PIPELINED}")
        at_hop.sendall(VALUE)
        other = running.call()
        other.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert read_until(other, b"\r\n") == b"+PONG\r\n"
        running.terminate()
        running.logged("stopped")
        assert "taken=64" in running.log


def test_what_was_sent_before_the_ingress_was_ready_is_not_taken_when_its_caller_has_left() -> None:
    at = Recorder()
    side = ClientSide(at.loop, at.log.append, at.exchange, ("127.0.0.1", 0), 10)
    stays, leaves = (socket.create_connection(side.address) for _ in range(2))
    stays.sendall(command("aa01"))
    leaves.sendall(command("aa02"))
    run_until(at.loop, lambda: len(side.connections) == 2)
    leaves.close()
    run_until(at.loop, lambda: len(side.connections) == 1)
    side.start_serving()
    run_until(at.loop, lambda: at.opened)
    assert [transaction.request.ident for transaction in at.opened] == [b"aa01"]
    stays.close()
    at.close()


def test_a_caller_that_has_sent_and_closed_before_it_was_accepted_is_not_served() -> None:
    at = Recorder()
    side = ClientSide(at.loop, at.log.append, at.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    with socket.create_connection(side.address) as leaves:
        leaves.sendall(command("aa01"))
    run_until(at.loop, lambda: any(line.startswith("end caller peer_closed") for line in at.log))
    assert at.opened == []
    at.close()


# The ends of connections and of the process.


@pytest.mark.parametrize("deadline", [0.3, 0.8, 3.0, 5.0])
def test_what_is_open_when_the_process_may_wait_no_longer_is_answered(
    deadline: float, tmp_path: Path
) -> None:
    """A request that came late is owed for longer than SIGKILL is put off; its next hop hangs."""
    raw = with_deadline(config(known=known(hop := listener())), deadline)
    with hop, program(tmp_path, raw) as running:
        change, view = running.call(), running.call()
        change.sendall(command("aa01", "Q.DO", "change", d=60_000))
        view.sendall(command("aa02", d=60_000))
        at_hop = [hop.accept()[0] for _ in range(2)]
        running.terminate()
        told = time.monotonic()
        assert read_until(change, b"\r\n") == b"-ERR failed\r\n"  # it may have run
        assert read_until(view, b"\r\n").startswith(b"-BUSY")
        assert change.recv(10) == view.recv(10) == b""
        assert time.monotonic() - told < kill_time(deadline)
        assert running.process.wait(LIMIT) == 0
        for sock in at_hop:
            sock.close()


def test_a_connection_that_was_just_accepted_is_not_asked_to_make_way_and_the_cap_holds() -> None:
    """Its command is under way: closed with no answer it would be a request turned away unheard."""
    at = Recorder()
    side = ClientSide(at.loop, at.log.append, at.exchange, ("127.0.0.1", 0), 3)
    side.start_serving()
    callers = [socket.create_connection(side.address) for _ in range(6)]
    at.loop.run_once()
    at.loop.run_once()
    assert len(side.connections) == 3
    for caller in callers[:3]:
        caller.sendall(b"*1\r\n$4\r\nPING\r\n")
    run_until(at.loop, lambda: all(select.select([caller], [], [], 0)[0] for caller in callers[:3]))
    assert [caller.recv(10) for caller in callers[:3]] == [b"+PONG\r\n"] * 3
    run_until(at.loop, lambda: sum("end caller cap answered=1" in line for line in at.log) == 3)
    assert len(side.connections) == 3
    for caller in callers:
        caller.close()
    at.close()


def test_a_command_that_has_come_as_a_drain_presses_is_taken_first() -> None:
    at = Recorder()
    side = ClientSide(at.loop, at.log.append, at.exchange, ("127.0.0.1", 0), 3)
    side.start_serving()
    caller = socket.create_connection(side.address)
    run_until(at.loop, lambda: side.connections)
    side.draining = side.drain_expired = True
    next(iter(side.connections)).created_at -= 1.0
    caller.sendall(command("aa01"))
    side._sweep()
    assert [transaction.request.ident for transaction in at.opened] == [b"aa01"]
    at.exchange.refuse(at.opened[0].name, None)
    caller.settimeout(LIMIT)
    assert read_until(caller, b"\r\n") == b"-BUSY\r\n"
    caller.close()
    at.close()


# Next hops.


def test_a_second_answer_some_milliseconds_late_is_not_the_next_command_s() -> None:
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
        run_until(wired.at.loop, lambda: any("unasked_bytes served=1" in line for line in wired.at.log))
        at_second.sendall(VALUE.replace(b"va", b"vb"))
        assert wired.answered(second) == b"$2\r\nvb\r\n"
        assert COOL_DOWN > 0.01
        for sock in (first, second, at_first, at_second):
            sock.close()
        wired.at.close()


def test_nothing_begins_after_the_grace_though_the_loop_itself_is_late() -> None:
    """What comes up is told before timers that were due earlier: a connection before the grace's end."""
    with listener() as hop:
        wired = Wired(hop.getsockname(), grace=0.06)
        caller = wired.ask("aa01")
        wired.send()
        wired.tell(Phase.DRAINING)
        time.sleep(0.1)
        run_until(wired.at.loop, lambda: wired.at.ended)
        assert [outcome for _, outcome in wired.at.ended] == [Outcome.CONNECT_FAILED]
        assert wired.hops.forwards == 0
        assert hop.accept()[0].recv(10) == b""
        caller.close()
        wired.at.close()


def test_the_grace_covers_what_a_process_may_be_held_up_between_its_clock_and_a_write() -> None:
    """Nothing begins so late that, held up for 0.15 s, it would be written after the grace."""
    grace = 0.4
    with listener() as hop:
        wired = Wired(hop.getsockname(), grace=grace)
        loop = wired.at.loop
        caller = wired.ask("aa01")
        told = loop.now()
        wired.tell(Phase.DRAINING)
        run_until(loop, lambda: loop.now() > told + grace - HOLD_UP_SECONDS)
        wired.send()
        run_until(loop, lambda: wired.at.ended)
        assert [outcome for _, outcome in wired.at.ended] == [Outcome.CONNECT_FAILED]
        assert wired.hops.forwards == 0
        caller.close()
        wired.at.close()


def test_the_grace_counts_from_when_the_change_can_have_come() -> None:
    """A loop that was late has read it after that."""
    grace, late = 0.5, 0.1
    with listener() as hop:
        wired = Wired(hop.getsockname(), grace=grace)
        wired.at.loop.earliest_arrival = wired.at.loop.now() - late
        wired.tell(Phase.DRAINING)
        assert (
            wired.hops.hops["s-1"].writes_end_at == wired.at.loop.earliest_arrival + grace - HOLD_UP_SECONDS
        )
        wired.at.close()


def test_nothing_begins_after_the_branch_s_time_though_the_loop_itself_is_late() -> None:
    with listener() as hop:
        wired = Wired(hop.getsockname())
        caller = wired.ask("aa01")
        wired.send(0.02)
        time.sleep(0.05)
        run_until(wired.at.loop, lambda: wired.at.ended)
        assert [outcome for _, outcome in wired.at.ended] == [Outcome.CONNECT_FAILED]
        assert wired.hops.forwards == 0
        caller.close()
        wired.at.close()


# The watch of discovery.


def entry(hop: str, phase: str) -> dict[str, object]:
    return member(("127.0.0.1", 1), phase) | {"id": hop}


def change(revision: int, *members: object, complete: bool = False) -> dict[str, object]:
    return {"revision": revision, "complete": complete, "members": list(members)}


class Agent:
    """Discovery's agent, which says on each watch just what it is told to say."""

    def __init__(self) -> None:
        self.at, self.told = Recorder(), list[RouteSet]()
        self.sock = listener()
        chance = random.Random(1)
        self.routes = RouteWatch(
            self.at.loop, self.at.log.append, self.sock.getsockname(), (), 7, self.told.append, chance
        )
        self.routes.connect()
        self.asked = b""
        self.watch = self.accept()

    def accept(self) -> socket.socket:
        """The next watch, with the head of its answer."""
        self.sock.setblocking(False)
        watches: list[socket.socket] = []

        def came() -> bool:
            try:
                watches.append(self.sock.accept()[0])
            except BlockingIOError:
                return False
            return True

        run_until(self.at.loop, came)
        run_until(self.at.loop, lambda: select.select([watches[0]], [], [], 0)[0])
        watches[0].settimeout(LIMIT)
        self.asked = read_until(watches[0], b"\r\n\r\n")
        watches[0].sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return watches[0]

    def say(self, data: bytes) -> None:
        self.watch.sendall(b"%x\r\n%b\r\n" % (len(data), data))


@contextmanager
def agent() -> Iterator[Agent]:
    made = Agent()
    yield made
    made.routes.close()
    made.watch.close()
    made.sock.close()
    made.at.close()


def test_lists_may_come_indented_and_cut_at_any_byte() -> None:
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
            one.say(text.encode() + b"\n")
        run_until(one.at.loop, lambda: len(one.told) == 3)
        assert [routes.revision for routes in one.told] == [8, 9, 10]
        assert one.told[1].routes[0].hop == awkward["id"]


def test_what_is_written_whole_is_told_though_its_line_has_not_ended() -> None:
    with agent() as one:
        one.say(json.dumps(change(8, entry("s-1", "DRAINING"))).encode())
        run_until(one.at.loop, lambda: len(one.told) == 1)


def test_a_watch_that_drips_and_never_ends_an_object_is_broken() -> None:
    with agent() as one:
        one.say(b'{"revision": 8,\n')
        drips = 0

        def broken() -> bool:
            nonlocal drips
            if any("end routes silent" in line for line in one.at.log):
                return True
            drips += 1
            one.say(b" \n")
            return False

        run_until(one.at.loop, broken)
        assert drips > 100
        one.watch.close()
        one.watch = one.accept()
        assert b"since=7 " in one.asked


def test_a_watch_that_is_open_and_well_makes_the_next_break_the_first_one() -> None:
    """An empty line is enough: pause, slow head and silence together would outlast what counts as told."""
    with agent() as one:
        timing = one.routes.timing
        timing.back_off = timing.head_timeout = timing.unavailable_back_off = 4.0
        one.say(b"\n")
        run_until(one.at.loop, lambda: timing.head_timeout == HEAD_TIMEOUT)
        assert timing.back_off < 0.1
        assert not timing.unavailable_back_off


def test_a_change_that_cannot_be_read_is_asked_for_again_and_the_good_ones_hold() -> None:
    with agent() as one:
        gone: dict[str, object] = {"id": "s-3", "phase": "DELETED"}  # nothing more is needed of it
        one.say(json.dumps(change(8, entry("s-1", "DRAINING"), entry("s-2", "ODD"), gone)).encode() + b"\n")
        run_until(one.at.loop, lambda: len(one.told) == 1)
        assert [route.hop for route in one.told[0].routes] == ["s-1", "s-3"]
        one.watch.close()
        one.watch = one.accept()
        assert b"since" not in one.asked
        one.say(json.dumps(change(8, entry("s-1", "DRAINING"), entry("s-2", "ODD"), complete=True)).encode())
        run_until(one.at.loop, lambda: len(one.told) == 2)  # of a whole list the unread is gone, once for all
        one.say(json.dumps(change(9, entry("s-1", "SERVING"))).encode())
        run_until(one.at.loop, lambda: len(one.told) == 3)


def test_a_revision_that_goes_back_is_not_taken_in_and_the_whole_list_is_asked_for() -> None:
    with agent() as one:
        one.say(json.dumps(change(9, entry("s-1", "DRAINING"))).encode() + b"\n")
        one.say(json.dumps(change(8, entry("s-1", "SERVING"))).encode() + b"\n")
        run_until(one.at.loop, lambda: any("goes back" in line for line in one.at.log))
        assert [routes.revision for routes in one.told] == [9]
        one.watch.close()
        one.watch = one.accept()
        assert b"since" not in one.asked
        one.say(json.dumps(change(3, entry("s-1", "SERVING"), complete=True)).encode() + b"\n")
        run_until(one.at.loop, lambda: len(one.told) == 2)


@pytest.mark.parametrize(("pushed", "longest"), [(True, 0.25), (False, MAX_BACK_OFF)])
def test_no_pause_outlasts_half_of_the_grace_where_lists_are_pushed(pushed: bool, longest: float) -> None:
    """What the agent has counts as told, whether a watch is open or not."""
    raw = config()
    raw["settings"]["Rules"]["DrainGraceUs"] = 500_000
    raw["settings"]["Discovery"] = "pushed" if pushed else "on_request"
    log: list[str] = []
    loop = Loop(log.append)
    ingress = Ingress(read(raw, log.append), loop, log.append)  # nobody listens where its agent should be
    assert ingress.routes is not None
    ingress.routes.connect()
    run_until(loop, lambda: sum("end routes connect_failed" in line for line in log) >= 8)
    assert ingress.routes.timing.back_off == longest
    assert ingress.routes.reconnect_timer is not None
    assert ingress.routes.reconnect_timer.when - loop.now() <= longest
    ingress.close()
    loop.epoll.close()
