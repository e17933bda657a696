"""Planned restarts with several deadlines, on real processes: every accepted request is answered."""

from __future__ import annotations

import contextlib
import json
import os
import re
import shlex
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from lab.box import Box, Mode
from lab.shutdown import Client, Send, Shutdown, kill_time, shut_down
from standflow.messages import Refused, Request
from standflow.net.acceptor import ACCEPT_BATCH
from standflow.net.client_side import ClientSide
from standflow.net.loop import LONG_ITERATION
from standflow.platform_terms import MAX_PAUSE_SECONDS
from standflow.shutdown import Shutdown as ShutdownSteps
from standflow.shutdown import close_all
from standflow.shutdown_schedule import schedule_for
from tests.test_adapter import ROOT
from tests.test_connections import Recorder
from tests.wire import (
    LIMIT,
    Program,
    command,
    config,
    listener,
    program,
    read_until,
    run_until,
    with_deadline,
    write_slowly,
)

DEADLINES = (0.3, 0.8, 1.6, 3.0, 5.0)  # seconds: the longest of a deployment
BACKENDS = 6
MIN_SENT = 10  # requests in a conclusive run
LAST_SEND = 0.01  # seconds before SIGKILL at which a client sends its last request


def deployment(boxes: list[Box], longest_deadline: float) -> dict[str, Any]:
    """A configuration with these backends and this longest deadline in seconds."""
    members = [
        {"id": f"s-{n}", "host_port": f"{host}:{port}", "locality": "z1", "phase": "SERVING"}
        for n, (host, port) in enumerate(box.address for box in boxes)
    ]
    raw = config(known={"revision": 1, "complete": True, "members": members})
    raw["settings"]["Caps"]["MaxOpen"] = 1000
    return with_deadline(raw, longest_deadline)


@contextmanager
def silent_backends() -> Iterator[list[Box]]:
    """Backends that accept every request and answer none."""
    with ExitStack() as stack:
        yield [stack.enter_context(Box(mode=Mode(silent=True))) for _ in range(BACKENDS)]


def usual_clients(end: float) -> list[Client]:
    """Clients with an open request, pipelining ones, and ones that connect and send late, until `end`."""
    steps = [-0.2 + 0.11 * n for n in range(round((end - LAST_SEND + 0.2) / 0.11))]
    clients = [Client([Send(-0.1, bool(n % 2))]) for n in range(4)]
    clients += [
        Client([Send(at + n / 50, bool((n + m) % 2)) for m, at in enumerate(steps)]) for n in range(3)
    ]
    moments = [at for at in steps if at > 0.45] + [end - LAST_SEND]
    clients += [
        Client([Send(at, bool(n % 2))], connects_at=0.02 + n % 7 / 20) for n, at in enumerate(moments)
    ]
    return clients


@dataclass(slots=True, frozen=True)
class Restart:
    """A restart to run; `reloaded`: another longest deadline, applied by SIGHUP before SIGTERM.

    `rewritten`: the longest deadline in the file when a SIGHUP of `signals` is sent. `spare_seconds`: the
    process must end this long before SIGKILL.
    """

    longest_deadline: float
    signals: tuple[tuple[float, int], ...] = ()
    reloaded: float | None = None
    rewritten: float | None = None
    spare_seconds: float = 0.0

    @property
    def counted(self) -> float:
        """The longest deadline that SIGKILL is timed by: the one that is worst for the ingress."""
        others = (self.reloaded, self.rewritten)
        return min([self.longest_deadline, *(one for one in others if one is not None)])


def run_restart(folder: Path, restart: Restart) -> list[str]:
    """Runs one restart with the usual clients and silent backends; returns the violations."""
    folder.mkdir()
    longest = restart.longest_deadline
    with silent_backends() as boxes, program(folder, deployment(boxes, longest)) as running:
        running.call().close()
        address = ("127.0.0.1", int(running.logged(r"ready n0 on 127.0.0.1:(\d+)")[1]))
        if restart.reloaded is not None:
            (folder / "config.json").write_text(json.dumps(deployment(boxes, restart.reloaded)))
            running.process.send_signal(signal.SIGHUP)
            running.logged("reload: done")
        arrived: set[str] = set()
        for box in boxes:
            box.received_ids = arrived

        def prepare(at: float, number: int) -> None:
            if number == signal.SIGHUP and restart.rewritten is not None:
                (folder / "config.json").write_text(json.dumps(deployment(boxes, restart.rewritten)))

        clients = usual_clients(kill_time(restart.counted))
        ended = shut_down(
            running.process,
            address,
            clients,
            restart.counted,
            longest,
            arrived,
            restart.signals,
            prepare=prepare,
        )
    return check(restart, ended)


def run_all(folder: Path, restarts: Sequence[Restart]) -> list[str]:
    """Runs restarts concurrently; returns the violations."""
    with ThreadPoolExecutor(len(restarts)) as pool:
        results = pool.map(lambda one: run_restart(folder / f"{one[0]}", one[1]), enumerate(restarts))
        return [line for lines in results for line in lines]


def check(restart: Restart, ended: Shutdown) -> list[str]:
    """The violations in a shutdown."""
    violations = [f"{one.ident} (safe: {one.safe}), sent at {one.at:.3f}, is lost" for one in ended.lost]
    if ended.ended_at is None:
        violations.append("the process was alive at SIGKILL")
    elif ended.ended_at > ended.killed_at - restart.spare_seconds:
        violations.append(f"the process ended at {ended.ended_at:.3f}, SIGKILL came at {ended.killed_at:.3f}")
    if ended.reset:
        violations.append(f"{ended.reset} connections were reset")
    if len(ended.sent) < MIN_SENT:
        violations.append(f"only {len(ended.sent)} requests were sent")
    return [f"{restart}: {line}" for line in violations]


def test_every_accepted_request_is_answered_before_sigkill_for_any_deadline(tmp_path: Path) -> None:
    """Issue 32: the last moment was computed from at least 3 s, while SIGKILL is timed by at most 3 s."""
    assert run_all(tmp_path, [Restart(deadline) for deadline in DEADLINES]) == []


def test_other_signals_around_sigterm_change_nothing(tmp_path: Path) -> None:
    hup, term = int(signal.SIGHUP), int(signal.SIGTERM)
    around = ((-0.3, hup), (-0.001, hup), (0.001, hup), (0.05, term), (0.3, hup), (0.6, term))
    assert run_all(tmp_path, [Restart(deadline, around) for deadline in (0.3, 1.6, 3.0)]) == []


@pytest.mark.parametrize("before", [0.14, 0.07, 0.01])
def test_a_process_paused_while_it_answers_all_is_in_time(before: float, tmp_path: Path) -> None:
    """Paused for 0.15 s, starting `before` seconds before all open requests are answered."""
    restarts = []
    for deadline in (0.3, 0.8, 1.6, 5.0):
        paused_at = schedule_for(deadline).answer_all - before
        stops = ((paused_at, int(signal.SIGSTOP)), (paused_at + MAX_PAUSE_SECONDS, int(signal.SIGCONT)))
        restarts.append(Restart(deadline, stops))
    assert run_all(tmp_path, restarts) == []


def test_a_process_paused_when_sigterm_arrives_has_time_left_for_its_end(tmp_path: Path) -> None:
    # Guards against a schedule that spends the whole pause of the terms before the end of the process begins.
    pause = ((-0.0001, int(signal.SIGSTOP)), (-0.0001 + MAX_PAUSE_SECONDS, int(signal.SIGCONT)))
    restarts = [Restart(deadline, pause, spare_seconds=0.05) for deadline in (0.3, 0.8, 1.6, 5.0)]
    assert run_all(tmp_path, restarts) == []


def test_a_shutdown_counts_from_the_receipt_of_sigterm_and_not_from_its_handling() -> None:
    # Guards against an end that is later by the time in which a busy loop leaves SIGTERM unread.
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 2)
    received_at = recorder.loop.now() - 0.25
    shutdown = ShutdownSteps(recorder.loop, recorder.log.append, side, recorder.exchange)
    assert shutdown.begin(0.3, received_at)
    begun = time.monotonic()
    recorder.loop.run()
    assert time.monotonic() - begun < schedule_for(0.3).exit - 0.2
    side.close()
    recorder.close()


def test_late_last_answers_leave_time_to_close_the_connections_in_order() -> None:
    # Guards against an exit in the round of late last answers, which loses a request that arrives meanwhile.
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 2)
    side.start_serving()
    client = socket.create_connection(side.address)
    client.sendall(command("aa01", d=60_000))
    run_until(recorder.loop, lambda: len(recorder.opened) == 1)
    shutdown = ShutdownSteps(recorder.loop, recorder.log.append, side, recorder.exchange)
    shutdown.begin(0.3, recorder.loop.now() - schedule_for(0.3).exit)  # every step is due at once
    recorder.loop.run_once()
    assert not recorder.loop.stopped
    recorder.loop.run()
    assert read_until(client, b"\r\n").startswith(b"-")
    client.close()
    side.close()
    recorder.close()


def test_the_exit_waits_for_the_disk_no_longer_than_its_schedule_allows() -> None:
    # Guards against a last write to a slow disk that delays the exit by a second, beyond SIGKILL.
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 2)
    exit_at = schedule_for(0.3).exit
    for since_sigterm, longest in ((exit_at + 0.1, 0.051), (exit_at, 0.051), (exit_at - 0.3, 0.301)):
        shutdown = ShutdownSteps(recorder.loop, recorder.log.append, side, recorder.exchange)
        shutdown.begin(0.3, recorder.loop.now() - since_sigterm)
        assert shutdown.store_time_limit() <= longest
    side.close()
    recorder.close()


def test_reload_in_a_shutdown_ends_serving_by_the_shorter_schedule() -> None:
    """Guards against requests that are sent on up to the last answers, and fail then, after such a reload."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 2)
    side.start_serving()
    client = socket.create_connection(side.address)
    client.sendall(command("aa01", d=60_000))
    run_until(recorder.loop, lambda: len(recorder.opened) == 1)
    shutdown = ShutdownSteps(recorder.loop, recorder.log.append, side, recorder.exchange)
    shutdown.begin(3.0, recorder.loop.now() - schedule_for(2.8).stop_serving)
    run_until(recorder.loop, lambda: any("accepts no more" in line for line in recorder.log))
    shutdown.shorten(2.8)
    client.sendall(command("aa02", d=60_000))
    recorder.loop.run()
    lines = [line for line in recorder.log if line.startswith(("drain: no more", "shutdown: answers all"))]
    assert [line.split(",")[0] for line in lines] == ["drain: no more is served", "shutdown: answers all"]
    assert read_until(client, b"-BUSY 250\r\n-BUSY 250\r\n")
    assert len(recorder.opened) <= 2  # the second one as the last that is served, or none
    client.close()
    side.close()
    recorder.close()


def test_sigkill_may_be_timed_by_the_deadlines_before_or_after_a_reload(tmp_path: Path) -> None:
    assert run_all(tmp_path, [Restart(0.8, reloaded=2.4), Restart(2.4, reloaded=0.8)]) == []


@pytest.mark.parametrize(("at", "before", "after"), [(0.1, 2.4, 0.8), (0.3, 5.0, 0.5), (0.55, 1.6, 0.3)])
def test_a_reload_with_shorter_deadlines_during_a_shutdown_brings_the_exit_forward(
    at: float, before: float, after: float, tmp_path: Path
) -> None:
    """A SIGHUP after SIGTERM did not change the end of the process, which was then later than SIGKILL.

    SIGKILL is timed by the shorter deadline of the two files and ended the process with open requests, since
    the schedule of the shutdown was computed only once, at SIGTERM.
    """
    hup = ((at, int(signal.SIGHUP)),)
    assert run_all(tmp_path, [Restart(before, hup, rewritten=after)]) == []


def test_the_schedule_of_a_shutdown_follows_from_the_longest_deadline() -> None:
    for deadline in (0.001, 0.3, 0.8, 1.6, 3.0, 5.0, 600.0):
        schedule = schedule_for(deadline)
        assert schedule.kill == pytest.approx(min(deadline, 3.0) + 0.7)
        assert 0.4 < schedule.stop_accepting <= schedule.stop_serving <= schedule.answer_all < schedule.exit
        assert schedule.exit + MAX_PAUSE_SECONDS <= schedule.kill + 1e-9


def request(ident: str, patience: float) -> Request:
    return Request("look", "plain", "7", patience, 1.0, 1, 0, None, ident)


def test_no_request_has_a_deadline_after_the_last_answers_of_a_shutdown() -> None:
    """Neither an open one nor a new one: the deadlines of their attempts follow from it."""
    recorder = Recorder()
    now = recorder.loop.now()
    before = recorder.exchange.open(request("a", 60.0), now, lambda final: None)
    short = recorder.exchange.open(request("b", 0.2), now, lambda final: None)
    recorder.exchange.set_final_deadline(now + 1.0)
    late = recorder.exchange.open(request("c", 60.0), now, lambda final: None)
    assert (before.deadline, short.deadline, late.deadline) == (now + 1.0, now + 0.2, now + 1.0)
    recorder.close()


def test_a_request_after_the_last_answers_is_refused_and_not_opened() -> None:
    """If the loop is late, it may read a request before the overdue timer runs."""
    recorder = Recorder()
    recorder.exchange.set_final_deadline(recorder.loop.now())
    finals: list[object] = []
    recorder.exchange.open(request("a", 60.0), recorder.loop.now(), finals.append)
    assert finals == [Refused(0.25)]
    assert recorder.opened == []
    recorder.close()


@pytest.mark.parametrize("delay", [0.0, 0.03, 0.06, 0.1, 0.15, 0.25])
def test_sighup_does_not_end_a_process_that_has_just_started(delay: float, tmp_path: Path) -> None:
    """Started as the platform does, with the command of the deploy file."""
    run = re.search(r'^run = "(.*)"$', (ROOT / "deploy" / "balancer.toml").read_text(), re.MULTILINE)
    assert run is not None
    assert ".venv/bin/python" in run[1]
    (tmp_path / "config.json").write_text(json.dumps(config()))
    process = subprocess.Popen(
        ["/bin/sh", "-c", run[1].replace(".venv/bin/python", shlex.quote(sys.executable))],
        cwd=ROOT,
        env=os.environ | {"EDGE_CONFIG": str(tmp_path / "config.json")},
        stderr=subprocess.PIPE,
    )
    running = Program(process)
    try:
        until_ignored(process.pid, signal.SIGHUP)
        time.sleep(delay)
        process.send_signal(signal.SIGHUP)
        client = running.call()
        client.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert read_until(client, b"\r\n") == b"+PONG\r\n"
        process.send_signal(signal.SIGHUP)
        running.logged("reload: nothing to do")
    finally:
        process.kill()
        process.communicate()


def until_ignored(pid: int, number: int) -> None:
    """Waits until the shell has set the signal to be ignored, the first part of its command."""
    end = time.monotonic() + LIMIT
    while True:
        status = Path(f"/proc/{pid}/status").read_text()
        ignored = re.search(r"^SigIgn:\s*([0-9a-f]+)$", status, re.MULTILINE)
        if ignored is None or int(ignored[1], 16) >> (number - 1) & 1:
            return
        assert time.monotonic() < end, status
        time.sleep(0.001)


def test_a_signal_received_before_the_loop_runs_is_handled(tmp_path: Path) -> None:
    """One sent while the configuration is read: the file may change right after that."""
    source = (
        "import os, signal; from standflow.signals import SignalInbox; inbox = SignalInbox();"
        "[os.kill(os.getpid(), number) for number in (signal.SIGHUP, signal.SIGTERM)];"
        "from standflow.program import run; raise SystemExit(run(inbox))"
    )
    (tmp_path / "config.json").write_text(json.dumps(config()))
    environment = os.environ | {"EDGE_CONFIG": str(tmp_path / "config.json")}
    ended = subprocess.run(
        [sys.executable, "-c", source], cwd=ROOT, env=environment, capture_output=True, timeout=LIMIT
    )
    assert ended.returncode == 0
    log = ended.stderr.decode()
    assert log.index("reload: nothing to do") < log.index("stopping") < log.index("stopped")


@pytest.mark.parametrize("silent", [True, False])
def test_requests_received_before_the_ingress_was_ready_are_answered_on_sigterm(
    silent: bool, tmp_path: Path
) -> None:
    """Discovery is silent, or refuses connections."""
    with listener() as agent, socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
        free.close()
        discovery = f"127.0.0.1:{agent.getsockname()[1]}" if silent else "127.0.0.1:1"
        raw = config(listen=f"127.0.0.1:{address[1]}", discovery=discovery)
        with program(tmp_path, raw) as running:
            running.logged("starting n0")
            client = connected(address)
            client.sendall(b"".join(command(f"aa{n:02}", d=300) for n in range(3)))
            running.terminate()
            got = b""
            while more := client.recv(65536):
                got += more
            assert got.count(b"-BUSY") == 3
            assert running.process.wait(LIMIT) == 0
            running.logged("stopped")


@pytest.mark.parametrize("seconds", [1.6, 2.8])  # 1.45: no more is served; 2.45: the process exits
@pytest.mark.parametrize("size", [50_000, 200_000])
@pytest.mark.parametrize("new", [True, False])
def test_request_whose_last_bytes_come_late_in_a_shutdown_is_refused(
    new: bool, size: int, seconds: float, tmp_path: Path
) -> None:
    """Guards against a drain or an exit that ends a connection with no answer while a request is written."""
    with program(tmp_path, with_deadline(config(), 2.0)) as running:
        client = running.call()
        if not new:
            client.sendall(command("aa00"))
            read_until(client, b"\r\n")
        running.terminate()
        text = command("aa01", body=b"x" * size, d=2000)
        writer = threading.Thread(target=write_slowly, args=(client, text, seconds))
        writer.start()
        assert read_until(client, b"\r\n").startswith(b"-BUSY")
        with contextlib.suppress(ConnectionError):  # what is still written after the exit resets it
            assert client.recv(10) == b""
        writer.join(LIMIT)
        assert running.process.wait(LIMIT) == 0


def connected(address: tuple[str, int]) -> socket.socket:
    """Connects as soon as the address accepts connections."""
    end = time.monotonic() + LIMIT
    while True:
        try:
            return socket.create_connection(address, LIMIT)
        except OSError:
            assert time.monotonic() < end
            time.sleep(0.005)


def test_clients_that_wait_to_be_accepted_are_not_reset_with_the_listener() -> None:
    """All connections are in use when the listener should close: it waits until all clients are accepted."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 2)
    side.start_serving()
    clients = [socket.create_connection(side.address) for _ in range(3)]
    for number, client in enumerate(clients):
        client.settimeout(LIMIT)
        client.sendall(command(f"aa{number:02}", d=60_000))
    run_until(recorder.loop, lambda: len(recorder.opened) == 2 and side.acceptor.waiting_since is not None)
    side.stop()
    assert side.listening
    recorder.exchange.refuse(recorder.opened[0].name, None)
    run_until(recorder.loop, lambda: len(recorder.opened) == 3)
    recorder.exchange.refuse(recorder.opened[2].name, None)
    run_until(recorder.loop, lambda: len(side.connections) == 1)
    assert read_until(clients[2], b"\r\n") == b"-BUSY\r\n"
    run_until(recorder.loop, lambda: not side.listening)
    for client in clients:
        client.close()
    recorder.close()


WAITING_CLIENTS = 4 * ACCEPT_BATCH


def waiting_clients(side: ClientSide) -> list[socket.socket]:
    """Clients that have sent a request and wait to be accepted."""
    clients = [socket.create_connection(side.address, LIMIT) for _ in range(WAITING_CLIENTS)]
    for number, client in enumerate(clients):
        client.sendall(command(f"{number:04x}", d=60_000))
    return clients


def test_clients_that_wait_at_the_end_of_accepting_delay_no_timer() -> None:
    # Guards against an end of accepting that serves hundreds of clients before anything else runs.
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 500)
    side.start_serving()
    clients = waiting_clients(side)
    side.stop()
    assert len(side.connections) == ACCEPT_BATCH
    accepted: list[int] = []
    recorder.loop.call_later(0.0, lambda: accepted.append(len(side.connections)))
    run_until(recorder.loop, lambda: not side.listening)
    assert accepted[0] < WAITING_CLIENTS
    run_until(recorder.loop, lambda: recorder.exchange.serial == WAITING_CLIENTS)
    recorder.exchange.abandon_all()
    for client in clients:
        assert read_until(client, b"\r\n").startswith(b"-")
        client.close()
    recorder.close()


def test_open_requests_are_answered_before_the_clients_that_wait_to_be_accepted() -> None:
    # Guards against last answers that come late because of a burst of new connections.
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 500)
    side.start_serving()
    client = socket.create_connection(side.address, LIMIT)
    client.sendall(command("aa01", d=60_000))
    run_until(recorder.loop, lambda: len(recorder.opened) == 1)
    clients = waiting_clients(side)
    shutdown = ShutdownSteps(recorder.loop, recorder.log.append, side, recorder.exchange)
    shutdown.answer_all()
    assert len(side.connections) <= 2 * ACCEPT_BATCH + 1
    assert read_until(client, b"\r\n").startswith(b"-")
    run_until(recorder.loop, lambda: not side.listening)
    for one in clients:
        assert read_until(one, b"\r\n") == b"-BUSY 250\r\n"
    for one in (client, *clients):
        one.close()
    recorder.close()


def test_all_requests_are_answered_before_the_module_is_notified_of_the_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It visits all backends for each request: with many of them the last answers would come too late."""
    recorder = Recorder()
    finals: list[object] = []
    answered_before: list[int] = []
    monkeypatch.setattr(recorder, "transaction_gone", lambda transaction: answered_before.append(len(finals)))
    for number in range(5):
        recorder.exchange.open(request(f"{number}", 60.0), recorder.loop.now(), finals.append)
    left = recorder.exchange.abandon_all()
    assert [transaction.request.ident for transaction in left] == ["0", "1", "2", "3", "4"]
    assert answered_before == [5] * 5
    recorder.close()


def test_the_log_of_a_shutdown_shows_its_steps_and_the_requests_answered_at_its_end(tmp_path: Path) -> None:
    with silent_backends() as boxes, program(tmp_path, deployment(boxes, 0.8)) as running:
        client = running.call()
        client.sendall(command("00000000000000aa", "Q.DO", "change", d=5000))
        time.sleep(0.1)
        running.terminate()
        assert read_until(client, b"\r\n") == b"-ERR failed\r\n"
        running.logged("stopped")
        states = re.findall(r"shutdown: ([a-z ]+), connections=\d+ open=\d+", running.log)
        assert states == ["accepts no more", "answers all", "ends"]  # the client has not closed yet
        assert "drain: no more is served, connections=1 open=1" in running.log
        assert re.search(r"answered at the end: 00000000000000aa class=change attempts=s-\d:out", running.log)
        assert re.search(r"tally .*abandoned.ending=1", running.log)


def test_a_process_that_is_busy_until_sigkill_leaves_its_stack_and_state() -> None:
    # Guards against a killed process whose log does not show what it was doing.
    source = (
        "import signal, sys, time; signal.signal(signal.SIGTERM, signal.SIG_IGN); print('up', flush=True)\n"
        "def spins():\n    while True: pass\n"
        "spins()"
    )
    process = subprocess.Popen(
        [sys.executable, "-X", "faulthandler", "-c", source], stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )
    assert process.stdout is not None
    assert process.stdout.readline() == b"up\n"
    ended = shut_down(process, ("127.0.0.1", 9), [], 0.1, 0.1, set(), extend_by_starvation=False)
    assert ended.ended_at is None
    assert ended.state_at_kill.startswith("R user 0.")
    assert b" in spins\n" in process.communicate()[1]


def test_a_long_iteration_of_the_loop_is_logged() -> None:
    # Guards against a step that delays every timer and leaves no trace.
    recorder = Recorder()
    for pause in (0.0, LONG_ITERATION / 2, LONG_ITERATION + 0.01):
        recorder.loop.call_later(0.0, time.sleep, pause)
        recorder.loop.run_once()
    recorder.loop.call_later(0.0, recorder.loop.stop)
    recorder.loop.run()
    assert [line[:26] for line in recorder.log] == ["loop: an iteration took 0."]
    recorder.close()


def test_a_component_that_fails_to_close_leaves_no_other_open() -> None:
    closed: list[str] = []
    log: list[str] = []

    def fails() -> None:
        raise OSError("no")

    close_all([lambda: closed.append("a"), fails, lambda: closed.append("b")], log.append)
    assert closed == ["a", "b"]
    assert "fault at the end" in log[0]
