"""The operators' calls, the overlay of next hops excluded by hand, and the evacuation of an ingress."""

from __future__ import annotations

import errno
import json
import select
import socket
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from standflow.exchange import TransactionCounts
from standflow.net.client_side import DRAIN_PERIOD
from standflow.net.loop import IN, Coroutine, Loop
from standflow.net.nexthop import COOL_DOWN
from standflow.ops import figures, server
from standflow.ops.calls import Answer, Calls
from standflow.ops.overlay import MAX_EXCLUDED, Overlay
from standflow.route_set import Phase, Route, RouteSet
from tests.wire import LIMIT, Program, command, config, listener, member, program, read_until, run_until

EVACUATED_SECONDS = 4.0  # after the call, in which every connection has ended (operation/DAYS)
VALUE = b"*3\r\n$5\r\nva\r\nl\r\n$-1\r\n$-1\r\n"
PING = b"*1\r\n$4\r\nPING\r\n"


def at(running: Program) -> tuple[str, int]:
    host, port = running.logged(r"ops n0 on ([\d.]+):(\d+)").groups()
    return host, int(port)


def dial(running: Program) -> socket.socket:
    sock = socket.create_connection(at(running), LIMIT)
    sock.settimeout(LIMIT)
    return sock


def ask(running: Program, method: str, path: str) -> tuple[int, str]:
    """One call over HTTP: the status and the text."""
    with dial(running) as sock:
        sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: n0\r\n\r\n".encode())
        data = b""
        while more := sock.recv(65536):
            data += more
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), body.decode()


def telemetry(running: Program) -> dict[str, int]:
    lines = ask(running, "GET", "/api/telemetry")[1].split()
    return {name: int(value) for name, value in (line.split("=") for line in lines)}


def with_ops(**changes: Any) -> dict[str, Any]:
    return config(ops="127.0.0.1:0", **changes)


def serve(client: socket.socket, at_hop: socket.socket, ident: str) -> None:
    client.sendall(command(ident))
    read_until(at_hop, b"first=0\r\n")
    at_hop.sendall(VALUE)
    assert read_until(client, b"l\r\n").startswith(b"$5")


class RecordingOperators:
    """Accepts every call and records it."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def __getattr__(self, name: str) -> Any:
        def call(*args: str) -> str:
            self.calls.append(" ".join((name, *args)))
            return ""

        return call


@pytest.mark.parametrize(
    ("method", "target", "status", "expected"),
    [
        ("GET", "/api/ready", 200, "ready"),
        ("POST", "/api/exclude/s-1", 200, "exclude s-1"),
        ("POST", "/api/include/s%2D1", 200, "include s-1"),
        ("POST", "/api/ready", 405, None),
        ("GET", "/api/exclude/s-1", 405, None),
        ("GET", "/api/evacuate", 405, None),
        ("POST", "/api/exclude/", 404, None),
        ("POST", "/api/exclude/%ff", 404, None),
        ("POST", "/api/exclude/a%0ab", 404, None),
        ("POST", "/api/exclude/" + "a" * 300, 404, None),
        ("GET", "/", 404, None),
    ],
)
def test_each_call_is_selected_by_method_and_path(
    method: str, target: str, status: int, expected: str | None
) -> None:
    operators = RecordingOperators()
    assert Calls(operators).answer(method, target).status == status
    assert operators.calls == ([] if expected is None else [expected])


def test_the_figures_text_has_one_figure_a_line() -> None:
    counts = {"view": TransactionCounts(9, 4, 2, 1, 1), "change": TransactionCounts()}
    text = figures.text(figures.Figures(figures.Counts(counts, 7, 1, 1, 0), 5, 2))
    assert text.startswith("results.change.succeeded=0\nresults.change.declined=0\n")
    assert "results.view.succeeded=4\nresults.view.declined=2\nresults.view.aborted=1\nforwards=7\n" in text
    assert counts["view"].open == 1


def route(hop: str, phase: Phase = Phase.SERVING, up: float | None = None) -> Route:
    return Route(hop, ("127.0.0.1", 1), "z", "k", 0, phase, 1.0, up)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("override"), st.sampled_from("abc"), st.booleans()),
        st.tuples(st.just("change"), st.sampled_from("abc"), st.sampled_from(list(Phase))),
        st.tuples(st.just("complete"), st.sets(st.sampled_from("abc")), st.just(Phase.SERVING)),
    ),
    max_size=30,
)


@given(STEPS)
def test_the_overlay_shows_the_current_route_set_with_excluded_next_hops_draining(steps: list[Any]) -> None:
    overlay, discovered, excluded, known_ids = Overlay(), dict[str, Phase](), set[str](), set[str]()
    shown: dict[str, Phase] = {}

    def show(routes: RouteSet) -> None:
        if routes.complete:
            shown.clear()
        for one in routes.routes:
            shown.pop(one.hop, None)
            if one.phase is not Phase.GONE:
                shown[one.hop] = one.phase

    for now, (step, what, how) in enumerate(steps, 1):
        if step == "override":
            assert bool(overlay.set_excluded(what, how, float(now))) == (what not in known_ids)
            if what in known_ids:
                (excluded.add if how else excluded.discard)(what)
            if (change := overlay.change(what)) is not None:
                show(change)
        elif step == "change":
            show(overlay.apply(RouteSet(now, False, (route(what, how),))))
            discovered.pop(what, None)
            if how is not Phase.GONE:
                discovered[what] = how
                known_ids.add(what)
        else:
            show(overlay.apply(RouteSet(now, True, tuple(route(hop) for hop in sorted(what)))))
            discovered = dict.fromkeys(what, Phase.SERVING)
            known_ids |= what
        assert shown == {
            hop: Phase.DRAINING if hop in excluded else phase for hop, phase in discovered.items()
        }
        assert overlay.listed_excluded() == excluded & discovered.keys()


def test_a_next_hop_included_again_counts_as_cold_until_discovery_reports_its_restart() -> None:
    overlay = Overlay()
    overlay.apply(RouteSet(1, True, (route("a", up=5.0),)))
    assert overlay.set_excluded("a", True, 100.0) == ""
    assert overlay.set_excluded("a", True, 101.0) == ""  # a repeated call changes nothing
    overlay.set_excluded("a", False, 110.0)
    late = RouteSet(2, True, (route("a", up=5.0),))
    assert overlay.apply(late).routes[0].up_since == 110.0
    assert overlay.apply(replace(late, routes=(route("a", up=104.0),))).routes[0].up_since == 104.0
    assert overlay.apply(late).routes[0].up_since == 5.0  # from then on discovery is followed


def test_the_number_of_excluded_next_hops_is_limited() -> None:
    overlay = Overlay()
    overlay.apply(RouteSet(1, True, tuple(route(f"s{n}") for n in range(MAX_EXCLUDED + 1))))
    errors = [overlay.set_excluded(f"s{n}", True, float(n)) for n in range(MAX_EXCLUDED + 1)]
    assert [n for n, error in enumerate(errors) if error] == [MAX_EXCLUDED]


def test_an_excluded_next_hop_gets_no_requests_until_it_is_included_again(tmp_path: Path) -> None:
    with listener() as hop:
        known = {"revision": 1, "complete": True, "members": [member(hop.getsockname())]}
        with program(tmp_path, with_ops(known=known)) as running:
            client = running.call()
            client.sendall(command("aa01"))
            first = hop.accept()[0]
            first.settimeout(LIMIT)
            read_until(first, b"first=0\r\n")
            assert ask(running, "POST", "/api/exclude/s-2") == (404, "s-2 was never listed\n")
            assert ask(running, "POST", "/api/exclude/s-1") == (200, "yes\n")
            first.sendall(VALUE)  # an open request may finish
            assert read_until(client, b"l\r\n").startswith(b"$5")
            assert first.recv(10) == b""  # and the connection is not kept
            client.sendall(command("aa02"))
            assert read_until(client, b"\r\n").startswith(b"-BUSY ")
            figures = telemetry(running)
            assert (figures["discovered"], figures["ejected"], figures["forwards"]) == (1, 1, 1)
            assert figures["results.look.succeeded"] == figures["results.look.declined"] == 1
            assert ask(running, "POST", "/api/include/s-1")[0] == 200
            hop.settimeout(0.05)
            for number in range(200):  # it is cold: its credit grows from zero
                client.sendall(command(f"ab{number}"))
                try:
                    again = hop.accept()[0]
                    break
                except TimeoutError:
                    assert read_until(client, b"\r\n").startswith(b"-BUSY ")
            again.settimeout(LIMIT)
            read_until(again, b"first=0\r\n")
            again.sendall(VALUE)
            assert read_until(client, b"l\r\n").startswith(b"$5")
            assert telemetry(running)["ejected"] == 0


def test_calls_are_answered_while_many_connections_hold_a_partial_call(tmp_path: Path) -> None:
    with program(tmp_path, with_ops()) as running:
        running.logged("ready n0")
        held = [dial(running) for _ in range(2 * server.MAX_CALLS)]
        for sock in held:
            sock.sendall(b"GET /api/ready HT")
        assert ask(running, "GET", "/api/ready") == (200, "yes\n")
        running.logged("end ops cap")
        for sent, status in ((b"nonsense\r\n\r\n", 400), (b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n", 404)):
            with dial(running) as sock:
                sock.sendall(sent)
                assert int(sock.recv(100).split()[1]) == status
        with dial(running) as sock:
            sock.sendall(
                b"POST /api/rejoin HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n" + b"x" * 200_000
            )
            assert int(sock.recv(100).split()[1]) == 413
        for sock in held:
            sock.close()


def test_an_evacuated_ingress_fails_health_checks_and_closes_connections_once_served(tmp_path: Path) -> None:
    with listener() as hop:
        known = {"revision": 1, "complete": True, "members": [member(hop.getsockname())]}
        with program(tmp_path, with_ops(known=known)) as running:
            idle, busy = running.call(), running.call()
            idle.sendall(PING)
            assert read_until(idle, b"\r\n") == b"+PONG\r\n"
            busy.sendall(command("aa01"))
            at_hop = hop.accept()[0]
            at_hop.settimeout(LIMIT)
            read_until(at_hop, b"first=0\r\n")
            for _ in range(2):
                assert ask(running, "POST", "/api/evacuate") == (200, "yes\n")
            assert idle.recv(10) == b""
            late = running.call()
            late.sendall(PING)
            assert read_until(late, b"\r\n") == b"-ERR evacuated\r\n"
            assert late.recv(10) == b""
            busy.sendall(command("aa02"))  # accepted while its connection has an open request
            second = hop.accept()[0]
            second.settimeout(LIMIT)
            read_until(second, b"first=0\r\n")
            second.sendall(VALUE)
            at_hop.sendall(VALUE)
            assert read_until(busy, b"l\r\n$5\r\nva\r\nl\r\n")
            assert busy.recv(10) == b""
            silent = running.call()
            assert silent.recv(10) == b""  # a connection without a command is closed
            assert ask(running, "GET", "/api/ready")[0] == 200
            assert ask(running, "POST", "/api/rejoin") == (200, "yes\n")
            back = running.call()
            back.sendall(PING)
            assert read_until(back, b"\r\n") == b"+PONG\r\n"
            serve(back, at_hop, "aa03")
            running.logged("(?:end caller drained(?:.|\n)*){4}")


def test_a_connection_that_keeps_sending_is_closed_and_each_command_is_answered(tmp_path: Path) -> None:
    """Guards against an evacuation without an end, and one that ends a connection while a command is sent."""
    with listener() as hop:
        known = {"revision": 1, "complete": True, "members": [member(hop.getsockname())]}
        with program(tmp_path, with_ops(known=known)) as running:
            client, sent, answers = running.call(), 1, b""
            backends = [hop]
            client.sendall(command("a0"))
            ask(running, "POST", "/api/evacuate")
            begin = time.monotonic()
            client.sendall(command("a1")[:20])  # the next command starts before each answer
            while True:
                for sock in select.select([client, *backends], [], [], LIMIT)[0]:
                    if sock is hop:
                        backends.append(hop.accept()[0])
                    elif sock is not client:
                        read_until(sock, b"first=0\r\n")
                        sock.sendall(VALUE)
                if not select.select([client], [], [], 0)[0]:
                    continue
                if not (more := client.recv(65536)):
                    break
                answers += more
                if not answers.endswith((b"l\r\n", b"-BUSY 100\r\n")):
                    continue
                client.sendall(command(f"a{sent}")[20:] + command(f"a{sent + 1}")[:20])  # in one segment
                sent += 1
                time.sleep(0.05)
            ended = time.monotonic() - begin
            served, refused = answers.count(VALUE[4:15]), answers.count(b"-BUSY 100\r\n")
            assert answers == VALUE[4:15] * served + b"-BUSY 100\r\n" * refused
            assert min(served, refused) > 1
            assert served + refused in (sent, sent + 1)  # also the one that had begun
            assert DRAIN_PERIOD < ended < EVACUATED_SECONDS
            assert running.logged(r"end caller drained answered=\d+ open=0")
            late = running.call()  # from then on a connection is served a single command
            late.sendall(PING + PING[:9])
            assert read_until(late, b"\r\n") == b"-ERR evacuated\r\n"
            late.sendall(PING[9:] + PING[:9])
            assert read_until(late, b"\r\n") == b"-ERR evacuated\r\n"
            assert read_until(late, b"\r\n") == b"-BUSY 100\r\n"
            assert late.recv(10) == b""


def test_closing_a_drained_connection_loses_no_answer(tmp_path: Path) -> None:
    with listener() as hop:
        known = {"revision": 1, "complete": True, "members": [member(hop.getsockname())]}
        with program(tmp_path, with_ops(known=known)) as running:
            client = running.call()
            client.sendall(command("a0", d=20000))
            at_hop = hop.accept()[0]
            read_until(at_hop, b"first=0\r\n")
            ask(running, "POST", "/api/evacuate")
            time.sleep(DRAIN_PERIOD + 0.2)
            client.sendall(command("a1"))  # too late to be served, but it must be answered
            at_hop.sendall(VALUE)
            answers = b""
            while more := client.recv(65536):
                answers += more
            assert answers == b"$5\r\nva\r\nl\r\n-BUSY 100\r\n"


def test_rejoin_at_once_and_twice_keeps_a_busy_connection_and_is_refused_after_sigterm(
    tmp_path: Path,
) -> None:
    with listener() as hop:
        known = {"revision": 1, "complete": True, "members": [member(hop.getsockname())]}
        with program(tmp_path, with_ops(known=known)) as running:
            busy = running.call()
            busy.sendall(command("aa01"))
            at_hop = hop.accept()[0]
            at_hop.settimeout(LIMIT)
            read_until(at_hop, b"first=0\r\n")
            for call in ("evacuate", "rejoin", "rejoin"):
                assert ask(running, "POST", f"/api/{call}")[0] == 200
            time.sleep(DRAIN_PERIOD + 0.2)  # the cancelled drain closes no connection
            at_hop.sendall(VALUE)
            assert read_until(busy, b"l\r\n").startswith(b"$5")
            time.sleep(2 * COOL_DOWN)  # a connection is quarantined after an answer
            busy.sendall(command("aa02"))
            read_until(at_hop, b"first=0\r\n")
            assert ask(running, "POST", "/api/evacuate")[0] == 200
            running.terminate()
            running.logged("stopping")
            assert ask(running, "POST", "/api/rejoin") == (409, "stopping\n")
            assert ask(running, "GET", "/api/ready")[0] == 503
            at_hop.sendall(VALUE)
            assert read_until(busy, b"l\r\n").startswith(b"$5")
            assert busy.recv(10) == b""
            assert running.process.wait(LIMIT) == 0


def test_the_operators_events_are_handled_first_however_many_wait() -> None:
    loop, order, pairs = Loop(print), list[int](), [socket.socketpair() for _ in range(60)]

    def wait(number: int, sock: socket.socket) -> Coroutine[None]:
        yield IN
        order.append(number)

    for number, (ours, theirs) in enumerate(pairs):
        loop.spawn(ours.fileno(), wait(number, ours))
        theirs.send(b"x")
    loop.priority_fds.add(pairs[41][0].fileno())
    loop.run_once()
    assert order[0] == 41
    assert sorted(order) == list(range(60))
    for pair in pairs:
        for sock in pair:
            sock.close()
    loop.epoll.close()


def test_without_a_free_descriptor_the_listener_pauses_and_resumes(monkeypatch: pytest.MonkeyPatch) -> None:
    loop, log = Loop(print), list[str]()
    listening = server.Server(loop, log.append, ("127.0.0.1", 0), lambda method, target: Answer(200, "yes\n"))
    with socket.create_connection(listening.address, LIMIT) as client, monkeypatch.context() as patched:

        def none_left(sock: socket.socket) -> None:
            raise OSError(errno.EMFILE, "Too many open files")

        patched.setattr(socket.socket, "accept", none_left)
        for _ in range(50):
            loop.call_later(0.0, int)
            loop.run_once()
        assert len(log) == 1
        patched.undo()
        client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        run_until(loop, lambda: select.select([client], [], [], 0)[0])
        assert client.recv(100).startswith(b"HTTP/1.1 200")
    listening.close()
    loop.epoll.close()


def test_without_an_address_for_them_the_operators_calls_are_not_imported() -> None:
    code = "import sys, standflow.__main__; print([m for m in sys.modules if 'standflow.ops' in m])"
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout == b"[]\n"


def test_an_invalid_address_is_reported_with_its_key(tmp_path: Path) -> None:
    raw = with_ops() | {"ops": "nowhere"}
    with program(tmp_path, json.dumps(raw)) as running:
        assert running.process.wait(LIMIT) == 2
        assert running.process.stderr is not None
        assert b"standflow: ops: 'nowhere'" in running.process.stderr.read()
