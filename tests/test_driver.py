"""Unit tests of the driver, the peers, the route set, the tally and the log."""

from __future__ import annotations

import json
import os
import select
import socket
import time
from dataclasses import replace
from functools import partial
from random import Random

import pytest

from hoistfold import interface as i
from hoistfold.gateway import Gateway
from standflow.config import read
from standflow.driver import Driver
from standflow.log import MAX_LINES, Log
from standflow.messages import Failed, Outcome, Refused, Request, Result
from standflow.net.loop import IN, Coroutine
from standflow.net.peers import Peers
from standflow.net.routes import RouteError, RouteWatch, read_routes, zone_of
from standflow.net.watch_timing import MAX_HEAD_TIMEOUT
from standflow.route_set import Phase, Route, RouteSet
from standflow.start_times import StartTimes
from standflow.tally import MAX_HOPS, Tally
from tests.test_connections import Recorder
from tests.wire import config, listener, read_until, run_until
from tests.world import with_checksum


class ScriptedDriver:
    """A driver whose module returns the actions set by the test."""

    def __init__(self, gateways: int = 1) -> None:
        self.recorder = Recorder()
        self.sent: list[object] = []
        self.closed_idle: list[str] = []
        settings = replace(read(config(), self.recorder.log.append).settings, gateways=gateways)
        self.driver = Driver(
            self.recorder.loop,
            self.recorder.log.append,
            settings,
            7,
            self.recorder.exchange,
            probe=lambda hop, ended: ended(Result(Outcome.OK)),
            close_idle=self.closed_idle.append,
            send_to_peer=lambda peer, content: self.sent.append((peer, content)),
            fetch_routes=lambda: self.sent.append("fetch"),
        )
        self.recorder.exchange.decisions = self.driver
        self.events: list[i.Event] = []
        self.answers: dict[type, list[i.Action]] = {}
        self.fault: type | None = None
        self.driver.module.handle = self.handle  # type: ignore[method-assign]

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.events.append(event)
        if type(event) is self.fault:
            raise ZeroDivisionError
        return self.answers.get(type(event), [])


@pytest.mark.parametrize(("kind", "final"), [("look", Refused(0.25)), ("change", Refused(0.25))])
def test_an_exception_of_the_module_is_logged_and_its_transaction_answered(kind: str, final: object) -> None:
    scripted = ScriptedDriver()
    scripted.fault = i.RequestArrived
    finals: list[object] = []
    request = Request(kind, "plain", "7", 5.0, 1.0, 1, 0, None)
    scripted.recorder.exchange.open(request, scripted.recorder.loop.now(), finals.append)
    assert finals == [final]
    assert "ZeroDivisionError" in scripted.recorder.log[0]
    assert scripted.events[-1] == i.RequestCancelled("1")
    scripted.fault = None
    scripted.answers[i.RequestArrived] = [i.Fail("2")]
    scripted.recorder.exchange.open(request, scripted.recorder.loop.now(), finals.append)
    assert finals == [final, Failed("failed")]
    scripted.recorder.close()


def test_fault_of_the_module_in_an_epoch_keeps_its_periodic_work_going(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a module whose timer is never set again, so that quotas are reported no more."""
    scripted = ScriptedDriver()
    module, loop = scripted.driver.module, scripted.recorder.loop
    monkeypatch.setattr(module, "handle", partial(Gateway.handle, module))
    epochs: list[float] = []

    def fail_first(seconds: float) -> None:
        epochs.append(loop.now())
        if len(epochs) == 1:
            raise ZeroDivisionError

    monkeypatch.setattr(module, "_evict_idle", fail_first)
    scripted.driver.start(None)
    run_until(loop, lambda: len(epochs) == 2)
    assert sum("fault of the module on TimerFired" in line for line in scripted.recorder.log) == 1
    scripted.recorder.close()


def test_a_malformed_datagram_does_not_count_as_a_peer_message() -> None:
    scripted = ScriptedDriver(gateways=3)
    del scripted.driver.module.handle
    began = scripted.recorder.loop.now()
    scripted.driver.peer_message_received(1, b"garbled")
    assert max(scripted.driver.peers_last_seen()) < began
    scripted.driver.peer_message_received(1, with_checksum(b""))
    assert sum(at >= began for at in scripted.driver.peers_last_seen()) == 1
    scripted.recorder.close()


def test_actions_are_carried_out_and_the_events_they_cause_are_queued() -> None:
    scripted = ScriptedDriver()
    actions: list[i.Action] = [
        i.Probe("s-1"), i.AddToCounter(5, 1.0, 1.0), i.CloseIdle("s-1"), i.SendPeerMessage(None, b"x"),
        i.FetchList(), i.Log("text"), i.SetTimer(0.001, 9), i.Send("unknown", "s-1", None), i.Subscribe(True),
    ]  # fmt: skip
    scripted.answers[i.Started] = actions
    scripted.driver.start(None)
    assert scripted.events[:2] == [
        i.Started(),
        i.ProbeEnded("s-1", i.Outcome.OK, scripted.events[1].latency, ()),  # type: ignore[union-attr]
    ]
    assert scripted.events[2] == i.CounterAnswered(5, i.Outcome.CONNECT_FAILED, 0.0, 0.0)
    assert scripted.closed_idle == ["s-1"]
    assert scripted.sent == [(None, b"x"), "fetch"]
    run_until(scripted.recorder.loop, lambda: i.TimerFired(9) in scripted.events)
    assert "module: text" in scripted.recorder.log
    assert any("count 5 has no client" in line for line in scripted.recorder.log)
    scripted.recorder.close()


def test_the_latency_of_the_loop_counts_as_waiting_time_of_the_client() -> None:
    recorder = Recorder()
    reader, writer = socket.socketpair()
    received: list[float] = []

    def wait() -> Coroutine[None]:
        yield IN
        received.append(recorder.loop.earliest_arrival)

    def work() -> None:
        sent.append(recorder.loop.now())
        writer.send(b"x")
        time.sleep(0.02)  # the loop is busy while the byte waits in the kernel

    sent: list[float] = []
    recorder.loop.spawn(reader.fileno(), wait())
    recorder.loop.call_later(0, work)
    run_until(recorder.loop, lambda: received)
    assert received[0] <= sent[0]
    reader.close()
    writer.close()
    recorder.close()


def test_datagrams_that_are_oversize_or_from_unknown_senders_are_dropped() -> None:
    recorder = Recorder()
    got: list[tuple[int, bytes]] = []
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger,
    ):
        for sock in (peer, stranger):
            sock.bind(("127.0.0.1", 0))
            sock.settimeout(20)
        known = (("127.0.0.1", 1), peer.getsockname())
        count: list[str] = []
        receive = lambda *m: got.append(m)  # noqa: E731
        peers = Peers(
            recorder.loop, recorder.log.append, ("127.0.0.1", 0), known, None, 0, receive, count.append
        )
        stranger.sendto(b"no", peers.address)
        peer.sendto(b"x" * 257, peers.address)
        peer.sendto(b"x" * 256, peers.address)
        run_until(recorder.loop, lambda: got)
        assert got == [(1, b"x" * 256)]
        assert sum(line.startswith("peers: dropped") for line in recorder.log) == 2
        peers.send_message(1, b"y" * 257)
        peers.send_message(9, b"lost")
        peers.send_message(None, b"all")
        assert peer.recv(300) == b"all"
        assert count == ["peers.dropped", "peers.dropped", "peers.in", "peers.out"]
    recorder.close()


def test_tally_lines_hold_the_counts_since_the_last_line_and_the_busiest_next_hops() -> None:
    recorder = Recorder()
    tally = Tally(recorder.loop, recorder.log.append)
    tally("taken")
    tally.attempt("s-1", "ok")
    tally.open = lambda: {"s-1": 2}
    tally.flush()
    tally.flush()
    assert recorder.log == ["tally branch.ok=1 taken=1", "hops s-1=ok:1,open:2", "hops s-1=open:2"]
    tally.open = lambda: {f"s-{n}": n for n in range(1, 5000)}
    tally.flush()
    assert len(recorder.log[-1].split()) == 1 + MAX_HOPS
    assert recorder.log[-1].startswith("hops s-4999=open:4999 ")
    recorder.close()


def test_a_silent_watch_is_closed_after_one_missed_keepalive() -> None:
    """One stayed open without data for 8 s: next hops that drained meanwhile got requests past the grace."""
    recorder, revisions = Recorder(), [0]

    def waits() -> float:
        """Seconds until the longest pending timeout of the watch."""
        return (
            max(when for when, _, timer in recorder.loop.timers if timer.call is not None)
            - recorder.loop.now()
        )

    with listener() as agent:
        routes = RouteWatch(
            recorder.loop,
            recorder.log.append,
            agent.getsockname(),
            (),
            7,
            lambda r: revisions.append(r.revision),
            Random(1),
        )
        routes.connect()
        sock = agent.accept()[0]
        run_until(recorder.loop, lambda: select.select([sock], [], [], 0)[0])
        read_until(sock, b"\r\n\r\n")
        assert waits() <= 1.5  # a working agent answers at once
        line = b'{"revision": 8, "complete": true, "members": []}\n'
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line))
        routes.timing.head_timeout = routes.timing.unavailable_back_off = 4.0
        run_until(recorder.loop, lambda: revisions[-1] == 8)
        assert (routes.timing.head_timeout, routes.timing.unavailable_back_off) == (
            1.0,
            0.0,
        )  # reset by an answer
        assert 2.0 < waits() <= 3.0  # a keepalive is due every 2 s
        run_until(recorder.loop, lambda: any("end routes silent" in line for line in recorder.log))
        assert routes.timing.head_timeout == 2.0  # longer for the next one, which may be queued
        sock.close()
    routes.close()
    recorder.close()


def test_discovery_is_asked_less_often_if_it_refuses_and_waited_for_longer_if_it_is_slow() -> None:
    """Twenty-four ingresses made 600 calls in 26 s: queued calls timed out and were repeated."""
    recorder = Recorder()
    with listener() as agent:
        routes = RouteWatch(
            recorder.loop, recorder.log.append, agent.getsockname(), (), 7, lambda r: None, Random(1)
        )
        waits: list[float] = []

        def refused() -> None:
            routes.connect()
            sock = agent.accept()[0]
            run_until(recorder.loop, lambda: bool(select.select([sock], [], [], 0)[0]))
            sock.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            lines = len(recorder.log)
            run_until(recorder.loop, lambda: len(recorder.log) > lines)
            assert routes.reconnect_timer is not None
            waits.append(routes.reconnect_timer.when - recorder.loop.now())
            routes.reconnect_timer.cancel()
            sock.close()

        for _ in range(6):
            refused()
        assert 0.4 < waits[0] <= 1.0
        # A change counts as known 6 s after discovery has it, even after a refused call: 8 s were too long.
        assert all(2.5 < wait <= 4.0 for wait in waits[3:])
        routes.timing.head_timeout = MAX_HEAD_TIMEOUT
        routes.move(agent.getsockname())  # another agent starts with the initial timeouts
        assert (routes.timing.head_timeout, routes.timing.unavailable_back_off) == (1.0, 0.0)
    routes.close()
    recorder.close()


def test_route_sets_keep_the_members_that_can_be_parsed() -> None:
    log: list[str] = []
    good = {"id": "s", "host_port": "127.0.0.1:1", "locality": "a", "phase": "SERVING", "up_since_ms": 5000}
    bad = [3, {}, good | {"phase": "ODD"}, good | {"host_port": "x"}, good | {"size": 0}, good | {"id": 3}]
    routes = read_routes({"revision": 4, "complete": True, "members": [good, *bad]}, ("room-a",), log.append)
    assert [(r.hop, r.zone, r.up_since) for r in routes.routes] == [("s", "room-a", 5.0)]
    assert len(log) == len(bad)
    raws: list[object] = [3, {}, {"members": []}, {"members": [], "revision": "4", "complete": True}]
    for raw in raws:
        with pytest.raises(RouteError):
            read_routes(raw, (), log.append)


def test_a_locality_maps_to_a_zone_of_the_settings() -> None:
    zones = ("room-a", "room-b", "hall-b")
    assert [zone_of(text, zones) for text in ("room-b", "a", "b", "c")] == ["room-b", "room-a", "b", "c"]


def test_a_log_without_a_reader_never_blocks() -> None:
    reader, writer = os.pipe()
    log = Log(writer)
    for _ in range(2 * MAX_LINES):
        log("x" * 100)
        if len(log.lines) == MAX_LINES:
            log.flush()
    log.flush()
    assert len(log.lines) > 0
    before = len(log.lines)
    os.read(reader, 65536)
    log.flush()
    assert len(log.lines) < before
    os.close(reader)
    log("last")
    log.flush()
    assert not log.lines
    os.close(writer)


def test_a_delay_counts_from_when_the_module_handled_the_event() -> None:
    """After a pause the module's timer fired later than the exchange's own, which answered in its place."""
    scripted = ScriptedDriver()
    pause_seconds, respond = 0.05, scripted.handle

    def handle(now: float, event: i.Event) -> list[i.Action]:
        time.sleep(pause_seconds)
        return respond(now, event)

    scripted.driver.module.handle = handle  # type: ignore[method-assign]
    scripted.answers[i.RequestArrived] = [i.SetTimer(0.25, 7)]
    request = Request("look", "plain", "7", 5.0, 1.0, 1, 0, None)
    opened = scripted.recorder.exchange.open(request, scripted.recorder.loop.now(), lambda final: None)
    due = next(when for when, _, timer in scripted.recorder.loop.timers if timer.args == (7,))
    arrived = next(event for event in scripted.events if isinstance(event, i.RequestArrived))
    assert due - 0.25 == pytest.approx(opened.deadline - arrived.time_left, abs=1e-6)
    scripted.recorder.close()


HOUR = 3600.0


@pytest.mark.parametrize(
    ("age", "off_at_start", "off_now", "expected"),
    [
        (10.0, 0.0, 0.0, 10.0),
        (10.0, HOUR, 0.0, 10.0),  # the clock was wrong at the start and is right now
        (10.0, -HOUR, 0.0, 10.0),
        (10.0, 0.0, HOUR, 10.0),  # the reverse
        (10.0, 0.0, -HOUR, 10.0),
        (10.0, 0.0, 5.0, 10.0),
        (10.0, 0.0, -5.0, 5.0),  # the younger age: a cold backend is never taken for a warm one
        (10.0, -HOUR, -2 * HOUR, 0.0),  # neither can be right
        (86400.0, 0.0, -HOUR, 86400.0 - HOUR),
    ],
)
def test_the_age_of_a_backend_survives_steps_of_the_wall_clock(
    age: float, off_at_start: float, off_now: float, expected: float
) -> None:
    true = 1_000_000.0  # Unix time at which discovery reports it
    now, wall = true + off_at_start, true + off_now
    starts = StartTimes()
    started = starts.start_time("s-1", true - age, now, wall)
    assert now - started == pytest.approx(expected)
    # Reported again: the same start.
    assert starts.start_time("s-1", true - age, now + 7.0, wall + 7.0) == started
    assert starts.start_time("s-1", true + 6.0, now + 7.0, wall + 7.0) != started
    starts.keep_only(set())
    assert starts.known == {}


def test_the_module_gets_a_start_time_unaffected_by_clock_steps(monkeypatch: pytest.MonkeyPatch) -> None:
    wall = time.time
    reported = wall() - 10.0
    with monkeypatch.context() as patch:
        patch.setattr(time, "time", lambda: wall() + HOUR)
        scripted = ScriptedDriver()
    route = Route("s-1", ("127.0.0.1", 1), "z1", "std", 0, Phase.SERVING, 1.0, reported + 1.0)
    scripted.driver.routes_updated(RouteSet(1, True, (route,)))
    gone = Route("s-1", ("127.0.0.1", 1), "z1", "std", 0, Phase.GONE, 1.0, None)
    listed = scripted.events[-1]
    assert isinstance(listed, i.BackendsListed)
    started = listed.entries[0].started
    assert started is not None
    age = scripted.recorder.loop.now() + scripted.driver.clock_offset - started
    assert age == pytest.approx(9.0, abs=1.0)
    scripted.driver.routes_updated(RouteSet(2, False, (gone,)))
    assert scripted.driver.start_times.known == {}
    scripted.recorder.close()


@pytest.mark.parametrize("step", [3600.0, -3600.0, 0.0])
def test_state_handed_over_stays_valid_if_the_wall_clock_was_stepped_between_the_starts(
    step: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A newer process took spent quota windows for unused, or for full for an hour.

    This happened if the wall clock was stepped between the starts of two processes of one ingress: each
    module runs on the monotonic clock plus an offset taken at its own start, and times were handed over
    unconverted (incident 32).
    """
    older = ScriptedDriver()
    module = older.driver.module
    spent = module.quota_of(b"12345", next(iter(module.plans.values())), 0, 1)
    spent.drained_at, spent.own = older.recorder.loop.now() + older.driver.clock_offset, spent.plan.burst
    began = older.recorder.loop.now()
    state = json.loads(json.dumps(older.driver.export_state()))
    wall = time.time
    monkeypatch.setattr(time, "time", lambda: wall() + step)
    newer = ScriptedDriver()
    newer.driver.import_state(state)
    module = newer.driver.module
    module.now = newer.recorder.loop.now() + newer.driver.clock_offset
    imported = module.quotas[b"12345"]
    module._drain(imported)
    drained = spent.plan.rate * (newer.recorder.loop.now() - began)
    assert imported.own == pytest.approx(spent.plan.burst - drained, abs=0.1)
    older.recorder.close()
    newer.recorder.close()
