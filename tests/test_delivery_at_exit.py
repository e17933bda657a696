"""Answers that are on their way when a process has to exit: they are passed on whole, or not begun."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from standflow.net.client_side import ClientSide
from standflow.platform_terms import LATE_REQUEST_SECONDS
from standflow.shutdown import Shutdown
from standflow.shutdown_schedule import schedule_for
from tests.test_connections import Recorder
from tests.test_long import LONG, REPLY, PipelinedRig, Rig
from tests.test_ops import VALUE as SHORT_REPLY
from tests.wire import (
    LIMIT,
    Program,
    command,
    config,
    listener,
    member,
    program,
    read_until,
    run_until,
    with_deadline,
    write_slowly,
)

VALUE = bytes(range(256)) * 1200  # over 64 KiB
ANSWER = b"$%d\r\n%b\r\n" % (len(VALUE), VALUE)


@contextmanager
def slow_value(folder: Path, longest_deadline: float, seconds: float) -> Iterator[Program]:
    """The program before a backend whose first answer is a long value that takes `seconds` to write."""
    with listener() as backend:
        known = {"revision": 1, "complete": True, "members": [member(backend.getsockname())]}

        def answer() -> None:
            with contextlib.suppress(OSError), backend.accept()[0] as connection:
                connection.settimeout(LIMIT)
                read_until(connection, b"first=0\r\n")
                write_slowly(connection, b"*3\r\n" + ANSWER + b"$-1\r\n$-1\r\n", seconds)
                connection.recv(1)  # until the ingress ends the connection

        threading.Thread(target=answer, daemon=True).start()
        with program(folder, with_deadline(config(known=known), longest_deadline)) as running:
            yield running


def read_to_end(client: socket.socket) -> bytes:
    """What a client gets until its connection ends."""
    data = b""
    while more := client.recv(65536):
        data += more
    return data


def test_long_value_on_its_way_at_the_exit_is_passed_on_whole(tmp_path: Path) -> None:
    """Guards against an exit that cuts off a value which its backend still gives (review case 3)."""
    with slow_value(tmp_path, longest_deadline=0.6, seconds=2.5) as running:
        client, idle = running.call(), running.call()
        client.sendall(command("aa01", d=300))
        assert client.recv(1) == b"$"
        running.terminate()
        assert idle.recv(1) == b""
        running.logged("shutdown: stays for 1 answers")
        assert running.process.poll() is None
        client.sendall(command("aa02"))  # it comes late, and is answered in its order
        assert b"$" + read_to_end(client) == ANSWER + b"-BUSY 100\r\n"
        assert running.process.wait(LIMIT) == 0
        assert "fault" not in running.log


def test_long_value_that_its_client_has_not_read_at_the_exit_is_passed_on_whole(tmp_path: Path) -> None:
    """Guards against an exit that cuts off what a slow client has not taken yet."""
    size = 4 * 1024 * 1024
    reply = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (size, bytes(size))
    with listener() as backend:
        known = {"revision": 1, "complete": True, "members": [member(backend.getsockname())]}
        with program(tmp_path, with_deadline(config(known=known), 0.6)) as running:
            port = int(running.logged(r"ready n0 on 127.0.0.1:(\d+)")[1])
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            client.settimeout(LIMIT)
            client.connect(("127.0.0.1", port))
            client.sendall(command("aa01", d=300))
            connection = backend.accept()[0]
            read_until(connection, b"first=0\r\n")
            threading.Thread(target=lambda: write_slowly(connection, reply, 0.0), daemon=True).start()
            assert client.recv(1) == b"$"
            running.terminate()
            running.logged("shutdown: stays for 1 answers")
            assert len(read_to_end(client)) == len(b"%d\r\n" % size) + size + 2
            assert running.process.wait(LIMIT) == 0


@pytest.mark.parametrize("seconds", [0.3, 6.0])
def test_late_request_is_answered_whole_before_sigkill(seconds: float, tmp_path: Path) -> None:
    """Guards against a value that is begun for a request which came so late that SIGKILL must not find it."""
    longest = 2.0
    with slow_value(tmp_path, longest, seconds) as running:
        client = running.call()
        running.terminate()
        begin = time.monotonic()
        running.logged("accepts no more")
        time.sleep(max(0.0, begin + LATE_REQUEST_SECONDS + 0.05 - time.monotonic()))
        client.sendall(command("aa01", d=1900))
        answer = read_to_end(client)
        assert answer == (ANSWER if seconds < 1.0 else b"-ERR the value was cut off\r\n")
        assert time.monotonic() - begin < schedule_for(longest).kill
        assert running.process.wait(LIMIT) == 0


def test_value_that_begins_early_in_a_shutdown_is_passed_on_as_it_comes() -> None:
    """Guards against values that are buffered where SIGKILL may find them: their first bytes are timed."""
    rig = Rig()
    shutdown = Shutdown(rig.recorder.loop, rig.recorder.log.append, rig.side, rig.recorder.exchange)
    shutdown.begin(3.0)
    backend = rig.ask(command("aa01"))
    backend.sendall(REPLY[:1000])
    rig.until(lambda: len(rig.got) > 900)
    backend.sendall(REPLY[1000:])
    rig.until(lambda: rig.got.endswith(LONG[-10:] + b"\r\n"))
    rig.close()


def test_what_must_not_be_lost_is_saved_before_a_process_stays_for_an_answer() -> None:
    """Guards against state that SIGKILL takes along because the process is still passing on a value."""
    rig = Rig()
    loop = rig.recorder.loop
    saved: list[float] = []
    shutdown = Shutdown(
        loop, rig.recorder.log.append, rig.side, rig.recorder.exchange, lambda: saved.append(loop.now())
    )
    backend = rig.ask(command("aa01", d=300))
    backend.sendall(REPLY[:1000])
    rig.until(lambda: rig.recorder.began)
    begin = loop.now()
    shutdown.begin(0.3, begin)
    rig.until(lambda: saved)
    assert saved[0] - begin < schedule_for(0.3).kill
    assert not loop.stopped
    backend.sendall(REPLY[1000:])
    rig.until(lambda: loop.stopped)
    assert len(saved) == 1
    rig.close()


def test_reload_while_a_process_stays_for_an_answer_does_not_extend_its_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that stays for longer than the operators' page has it, by a reload."""
    limit = 1.0
    monkeypatch.setattr("standflow.shutdown.MAX_DELIVERY_SECONDS", limit)
    rig = Rig()
    loop = rig.recorder.loop
    shutdown = Shutdown(loop, rig.recorder.log.append, rig.side, rig.recorder.exchange)
    backend = rig.ask(command("aa01", d=300))
    backend.sendall(REPLY[:1000])
    rig.until(lambda: len(rig.got) > 900)
    begin = loop.now()
    shutdown.begin(3.0, begin - schedule_for(3.0).exit)  # the exit is due
    loop.call_at(begin + 0.3, shutdown.shorten, 0.3)
    rig.until(lambda: loop.stopped)
    assert sum("shutdown: stays for 1 answers" in line for line in rig.recorder.log) == 2
    assert loop.now() - begin < limit
    rig.close()


@pytest.mark.parametrize("late_values", [1, 2, 3])
def test_values_that_are_late_at_the_exit_cost_no_other_client_its_answer(late_values: int) -> None:
    """Guards against last answers that are skipped as late values are failed (review case 7)."""
    rig = PipelinedRig(3)
    for value in rig.sent[:late_values]:
        value.sendall(REPLY[:-100])
    for answered in rig.sent[late_values:]:
        answered.sendall(SHORT_REPLY)
    rig.until(lambda: len(rig.recorder.began) == late_values)
    rig.until(lambda: len(rig.recorder.ended) == 4 - late_values)
    others = [socket.create_connection(rig.side.address, LIMIT) for _ in range(3)]
    for number, other in enumerate(others):
        other.sendall(command(f"bb{number:02}", d=60_000))
    rig.until(lambda: len(rig.recorder.opened) == 4 + len(others))
    shutdown = Shutdown(rig.recorder.loop, rig.recorder.log.append, rig.side, rig.recorder.exchange)
    rig.recorder.loop.call_later(0.0, shutdown.answer_all)
    rig.until(lambda: rig.closed)
    answers = [
        *[b"-ERR the value was cut off\r\n"] * late_values,
        *[b"$5\r\nva\r\nl\r\n"] * (4 - late_values),
    ]
    assert bytes(rig.got) == b"".join(answers)
    for other in others:
        assert read_until(other, b"\r\n") == b"-BUSY 250\r\n"
        other.close()
    assert not [line for line in rig.recorder.log if "fault" in line]
    rig.close()


@pytest.mark.parametrize("reloaded", [None, 1.0])
def test_planned_restart_over_a_slow_value_answers_all_other_clients(
    reloaded: float | None, tmp_path: Path
) -> None:
    """Guards against a process that ends with requests open, by its deadline or a reloaded one (case 7)."""
    longest = 5.0  # above the 3 s that count, so that the requests' own time is not over before the exit
    with slow_value(tmp_path, longest, seconds=longest) as running:
        reader = running.call()
        reader.sendall(command("aa01", "Q.DO", "change", d=5000) + command("aa02", "Q.DO", "change", d=5000))
        time.sleep(0.3)  # the value has come in part, and is buffered as another command is behind it
        others = [running.call() for _ in range(3)]
        for number, other in enumerate(others):
            other.sendall(command(f"bb{number:02}", "Q.DO", "change", d=5000))
        time.sleep(0.2)
        if reloaded is not None:
            path = tmp_path / "config.json"
            path.write_text(json.dumps(with_deadline(json.loads(path.read_text()), reloaded)))
            running.process.send_signal(signal.SIGHUP)
            running.logged("reload: done")
        running.terminate()
        begin = time.monotonic()
        for other in others:
            assert read_until(other, b"\r\n") == b"-ERR failed\r\n"
        assert time.monotonic() - begin < schedule_for(reloaded or longest).kill
        running.logged("shutdown: answers all")
        assert "fault" not in running.log


def test_exit_with_nothing_on_its_way_is_at_its_time() -> None:
    """Guards against a process that stays for connections on which no answer is on its way."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 10)
    side.start_serving()
    clients = [socket.create_connection(side.address) for _ in range(3)]
    clients[0].sendall(command("aa01", d=60_000))
    clients[1].sendall(command("aa02", body=b"x" * 100_000)[:80_000])  # never written whole
    run_until(recorder.loop, lambda: len(side.connections) == 3 and recorder.opened)
    shutdown = Shutdown(recorder.loop, recorder.log.append, side, recorder.exchange)
    begin = recorder.loop.now()
    shutdown.begin(0.3, begin)
    run_until(recorder.loop, lambda: recorder.loop.stopped)
    assert recorder.loop.now() - begin < schedule_for(0.3).kill
    side.close()
    for client, answered in zip(clients, (True, True, False), strict=True):
        client.settimeout(LIMIT)
        assert read_to_end(client).startswith(b"-") == answered
        client.close()
    recorder.close()
