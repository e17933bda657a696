"""What a client connection holds, while it is open and after its end."""

from __future__ import annotations

import gc
import weakref
from collections.abc import Iterator

import pytest

from lab.callers import command as encode
from standflow.messages import Served
from standflow.net import client_side
from standflow.net.arrival import READ_SIZE
from standflow.net.client_connection import SHORT_READ_BYTES, ClientConnection
from standflow.net.flow import Flow, FlowBudget
from standflow.net.resp import Buffer
from standflow.process_memory import ProcessMemory
from tests.test_long_body import Writers
from tests.wire import command, run_until

MB = 1 << 20


@pytest.fixture
def writers() -> Iterator[Writers]:
    writers = Writers()
    gc.disable()
    yield writers
    gc.enable()
    for client in writers.clients:
        client.close()
    writers.recorder.close()


@pytest.mark.parametrize("size", [300_000, 1_500_000], ids=["granted", "waiting"])
def test_connection_that_ended_in_the_middle_of_a_body_is_not_kept_until_a_collection(
    writers: Writers, size: int
) -> None:
    writers.begin("aa00", 900_000, 0.1)
    client = writers.begin("aa01", size, 0.5)
    ended = [weakref.ref(one) for one in writers.side.connections if one.buffer.body == size]
    assert len(ended) == 1
    client.close()
    run_until(writers.loop, lambda: len(writers.side.connections) == 1)
    assert ended[0]() is None


@pytest.mark.parametrize("streaming", [False, True])
def test_connection_that_ended_with_open_requests_is_not_kept_until_a_collection(
    writers: Writers, streaming: bool
) -> None:
    client = writers.begin("aa01", 100)
    client.sendall(command("aa02") + command("aa03"))
    run_until(writers.loop, lambda: len(writers.recorder.opened) == 3)
    ended = weakref.ref(next(iter(writers.side.connections)))
    if streaming:
        flow = Flow(FlowBudget(1 << 20), 100_000, lambda: None)
        writers.recorder.opened[1].answer(Served(flow))
    client.close()
    run_until(writers.loop, lambda: not writers.side.connections)
    assert not any(one.open for one in writers.recorder.opened)
    assert ended() is None


class Process:
    """The memory of a process, as the test sets it."""

    def __init__(self) -> None:
        self.resident = 20 * MB
        self.memory = ProcessMemory(64 * MB, lambda: self.time, resident=lambda: self.resident)

    time = 0.0

    def leave_free(self, size: int) -> None:
        self.resident = 64 * MB - self.memory.reserve - size
        self.time += 1.0
        self.memory.tick()


@pytest.fixture
def limited(monkeypatch: pytest.MonkeyPatch) -> Iterator[tuple[Writers, Process]]:
    process = Process()
    monkeypatch.setattr(client_side, "unlimited", lambda: process.memory)
    writers = Writers()
    yield writers, process
    for client in writers.clients:
        client.close()
    writers.recorder.close()


def only_connection(writers: Writers) -> ClientConnection:
    (connection,) = writers.side.connections
    return connection


def test_beginning_of_a_body_that_waits_for_memory_is_counted(writers: Writers) -> None:
    writers.begin("aa00", 900_000, 0.1)
    before = writers.side.client_memory.used
    writers.begin("aa01", 300_000, 0.5)
    waiting = next(one for one in writers.side.connections if one.awaiting_memory)
    assert 0 < len(waiting.buffer.data) <= READ_SIZE
    assert writers.side.client_memory.used - before == len(waiting.buffer.data)


def test_reads_are_short_while_the_process_is_short_of_memory(limited: tuple[Writers, Process]) -> None:
    writers, process = limited
    process.leave_free(3 * MB)
    writers.begin("aa01", 60_000, 0.9)
    connection = only_connection(writers)
    assert connection.awaiting_memory
    assert len(connection.buffer.data) <= SHORT_READ_BYTES
    process.leave_free(30 * MB)
    run_until(writers.loop, lambda: len(connection.buffer.data) > 50_000)


def test_options_that_have_not_come_whole_are_read_into_reserved_memory_only(writers: Writers) -> None:
    options = b"c=look,t=plain,d=3000,units=1,spread=1,first=0,k=" + b"a" * 60_000
    text = encode([b"Q.ASK", b"%016x" % 7, b"aa01", options])
    client = writers.begin("aa00", 10)
    client.sendall(text[: len(text) // 2])
    writers.run(0.1)
    connection = only_connection(writers)
    assert connection.long_body is not None
    assert connection.long_body.budget is writers.side.command_budget
    assert connection.held.size == 0
    client.sendall(text[len(text) // 2 :])
    run_until(writers.loop, lambda: writers.opened("aa01"))
    assert writers.side.command_budget.used == 0
    assert writers.side.client_memory.used > 60_000  # now of an open request


def test_options_for_which_there_is_no_memory_are_refused_and_the_connection_ends(
    limited: tuple[Writers, Process],
) -> None:
    writers, process = limited
    process.leave_free(3 * MB)
    client = writers.begin("aa00", 10)
    client.sendall(
        b"*4\r\n$5\r\nQ.ASK\r\n$16\r\n00000000b4d65521\r\n$4\r\naa01\r\n$60000\r\n" + b"k" * 30_000
    )
    assert writers.answer(client).startswith(b"-BUSY")
    run_until(writers.loop, lambda: not writers.side.connections)


def test_long_body_waits_while_the_process_is_short_and_is_read_afterwards(
    limited: tuple[Writers, Process],
) -> None:
    writers, process = limited
    process.leave_free(3 * MB)
    writers.begin("aa01", 300_000)
    assert writers.opened("aa01") is None
    process.leave_free(30 * MB)
    run_until(writers.loop, lambda: writers.opened("aa01"))
    assert process.memory.promised == 0


def test_process_about_to_pass_its_limit_ends_what_holds_most_and_is_owed_no_answer(
    limited: tuple[Writers, Process],
) -> None:
    writers, process = limited
    sound = writers.begin("aa00", 100)
    writers.begin("aa01", 300_000, 0.5)
    writers.begin("aa02", 60_000, 0.5)
    assert len(writers.side.connections) == 3
    process.leave_free(-100_000)
    writers.run(0.05)
    assert not any(one.buffer.body and one.buffer.dropping is None for one in writers.side.connections)
    opened = writers.opened("aa00")
    assert opened is not None
    writers.recorder.exchange._answer(opened, Served(b"value"))
    assert writers.answer(sound) == b"$5\r\nvalue\r\n"


def test_long_body_is_taken_out_of_its_buffer_without_a_copy() -> None:
    body, behind = bytes(range(256)) * 1000, command("aa02")
    buffer = Buffer()
    buffer.feed(command("aa01", body=body) + behind)
    data = buffer.data
    parts = buffer.command()
    assert parts is not None
    assert parts[-1] is data
    assert parts[-1] == body
    assert buffer.data == behind
    assert buffer.command() is not None


def test_bodies_that_wait_for_memory_do_not_fill_the_account_of_requests(writers: Writers) -> None:
    writers.side.client_memory.resize(8 * READ_SIZE)
    writers.begin("aa00", 900_000, 0.1)
    for number in range(16):
        writers.begin(f"ab{number:02}", 300_000, 0.5)
    waiting = [one for one in writers.side.connections if one.awaiting_memory]
    assert len(waiting) > 8  # more than the account holds of whole reads
    assert min(len(one.buffer.data) for one in waiting) <= SHORT_READ_BYTES
    sound = writers.begin("aa99", 100)
    opened = writers.opened("aa99")
    assert opened is not None
    writers.recorder.exchange._answer(opened, Served(b"value"))
    assert writers.answer(sound) == b"$5\r\nvalue\r\n"
