"""Memory for long bodies: slow writers keep none from others, and no request waits for it without a limit."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standflow.exchange import Transaction
from standflow.net.arrival import READ_SIZE
from standflow.net.client_side import ClientSide
from standflow.net.long_body import (
    PROMPT_SECONDS,
    WAIT_BEFORE_REFUSAL,
    WAIT_BEFORE_SHEDDING,
    BodyBudget,
    LongBody,
)
from standflow.net.loop import Loop
from tests.test_connections import Recorder
from tests.wire import LIMIT, command, run_until

BUDGET = 1_000_000  # bytes
WAIT_MS = 2000
ANSWER_SECONDS = 0.5  # in which an answer must follow the moment at which it is due, on a busy machine


class Writers:
    """Clients that write long bodies to a client side with a small memory budget."""

    def __init__(self) -> None:
        self.recorder = Recorder()
        self.loop = self.recorder.loop
        log, exchange = self.recorder.log.append, self.recorder.exchange
        self.side = ClientSide(self.loop, log, exchange, ("127.0.0.1", 0), 20, max_bodies=BUDGET)
        self.side.start_serving()
        self.clients: list[socket.socket] = []

    def begin(self, ident: str, size: int, part: float = 1.0, wait_ms: int = WAIT_MS) -> socket.socket:
        """Writes a part of a request with a long body, and gives the side time to read it."""
        client = socket.create_connection(self.side.address, LIMIT)
        client.settimeout(LIMIT)
        self.clients.append(client)
        text = command(ident, body=b"x" * size, d=wait_ms)
        connections = len(self.side.connections)
        client.sendall(text[: int(len(text) * part)])
        run_until(self.loop, lambda: len(self.side.connections) > connections)
        self.run(0.02)
        return client

    def finish(
        self, client: socket.socket, ident: str, size: int, part: float, wait_ms: int = WAIT_MS
    ) -> None:
        """Writes the rest of a request."""
        text = command(ident, body=b"x" * size, d=wait_ms)
        client.sendall(text[int(len(text) * part) :])

    def run(self, seconds: float) -> None:
        """Runs the loop for some time."""
        end = self.loop.now() + seconds
        run_until(self.loop, lambda: self.loop.now() >= end)

    def opened(self, ident: str) -> Transaction | None:
        """The request with this id, once it is opened."""
        return next((one for one in self.recorder.opened if one.request.ident == ident.encode()), None)

    def answer(self, client: socket.socket) -> bytes:
        """Waits for what the client gets next."""
        client.setblocking(False)
        got = bytearray()

        def read() -> bool:
            try:
                got.extend(client.recv(65536))
            except BlockingIOError:
                return False
            return got.endswith(b"\r\n")

        run_until(self.loop, read)
        return bytes(got)


@pytest.fixture
def writers() -> Iterator[Writers]:
    made = Writers()
    yield made
    for client in made.clients:
        client.close()
    run_until(made.loop, lambda: not made.side.connections)
    for transaction in made.recorder.opened:
        made.recorder.exchange.fail(transaction.name)
    assert (made.side.body_budget.used, len(made.side.body_budget.slow)) == (0, 0)
    assert not made.side.body_budget.waiting
    assert not made.side.body_budget.growing
    assert not [line for line in made.recorder.log if "fault" in line]
    made.recorder.close()


def test_whole_request_is_opened_while_slow_clients_write_long_bodies(writers: Writers) -> None:
    """Guards against slow writers that keep memory for what they have not written (review case 1)."""
    for number in range(4):
        writers.begin(f"aa0{number}", BUDGET // 4, part=0.4)
    begin = writers.loop.now()
    writers.begin("bb01", 200_000)
    run_until(writers.loop, lambda: writers.opened("bb01"))
    assert writers.loop.now() - begin < PROMPT_SECONDS + ANSWER_SECONDS


def test_request_that_waits_for_memory_is_refused_in_time(writers: Writers) -> None:
    """Guards against a wait for memory without a limit, here behind requests whose backends are silent."""
    for number in range(2):
        writers.begin(f"aa0{number}", BUDGET // 2, wait_ms=60_000)
    assert len(writers.recorder.opened) == 2
    begin = writers.loop.now()
    waiting = writers.begin("bb01", 200_000)
    waiting.sendall(command("bb02"))  # a request behind it is answered in its order
    assert writers.answer(waiting).startswith(b"-BUSY")
    taken = writers.loop.now() - begin
    expected = WAIT_BEFORE_REFUSAL * WAIT_MS / 1000
    assert expected - 0.1 < taken < expected + ANSWER_SECONDS
    assert writers.opened("bb01") is None
    run_until(writers.loop, lambda: writers.opened("bb02"))
    assert writers.recorder.exchange.counts["look"].declined == 1
    assert writers.side.body_budget.used <= BUDGET


def test_slow_bodies_make_room_for_a_whole_request_the_youngest_first(writers: Writers) -> None:
    """Guards against slow writers that fill the memory and keep others out for as long as they write."""
    slow = [writers.begin(f"aa0{number}", 400_000, part=0.1) for number in range(3)]
    writers.run(PROMPT_SECONDS + 0.1)
    for number, client in enumerate(slow):
        text = command(f"aa0{number}", body=b"x" * 400_000, d=WAIT_MS)
        client.sendall(text[int(len(text) * 0.1) : int(len(text) * 0.75)])
    writers.run(0.1)
    begin = writers.loop.now()
    writers.begin("bb01", 200_000)
    run_until(writers.loop, lambda: writers.opened("bb01"))
    taken = writers.loop.now() - begin
    assert taken < WAIT_BEFORE_SHEDDING * WAIT_MS / 1000 + ANSWER_SECONDS
    assert writers.side.body_budget.used <= BUDGET
    for number, client in enumerate(slow):
        writers.finish(client, f"aa0{number}", 400_000, 0.75)
    assert writers.answer(slow[2]).startswith(b"-BUSY")
    run_until(writers.loop, lambda: writers.opened("aa00") and writers.opened("aa01"))


def test_request_that_waits_for_memory_is_refused_at_the_end_of_a_shutdown(writers: Writers) -> None:
    """Guards against a request that is still unread, for want of memory, when the process must exit."""
    writers.begin("aa00", BUDGET, wait_ms=60_000)
    waiting = writers.begin("bb01", 500_000, wait_ms=60_000)
    assert writers.side.body_budget.waiting
    writers.side.refuse_new()
    writers.side.refuse_new()
    assert writers.answer(waiting).startswith(b"-BUSY")
    assert writers.opened("bb01") is None


def test_request_that_waits_for_memory_is_refused_at_once_as_its_connection_drains(writers: Writers) -> None:
    """Guards against an evacuation that lasts as long as a request of minutes waits for memory."""
    writers.begin("aa00", BUDGET, wait_ms=600_000)
    waiting = writers.begin("bb01", 500_000, wait_ms=600_000)
    writers.side.evacuate(True, 1.0)
    writers.side._expire_drain(writers.side.drain_count)
    begin = writers.loop.now()
    assert writers.answer(waiting).startswith(b"-BUSY")
    assert writers.loop.now() - begin < ANSWER_SECONDS


def test_connection_that_waits_for_memory_reads_nothing_when_others_need_its_place(writers: Writers) -> None:
    """Guards against reading beyond the memory budget as idle connections are looked through at the cap."""
    writers.begin("aa00", BUDGET, wait_ms=60_000)
    writers.begin("bb01", 500_000, wait_ms=60_000)
    waiting = next(one for one in writers.side.connections if one.awaiting_memory)
    read = len(waiting.buffer.data)
    for _ in range(5):
        writers.side.evict_idle()
    assert len(waiting.buffer.data) == read <= READ_SIZE
    assert waiting in writers.side.connections


def test_body_of_a_malformed_command_does_not_wait_for_memory(writers: Writers) -> None:
    """Guards against a wait by a request that is answered with an error in any case."""
    writers.begin("aa00", BUDGET, wait_ms=60_000)
    begin = writers.loop.now()
    wrong = writers.begin("bb01", 200_000, wait_ms=0)
    assert writers.answer(wrong).startswith(b"-ERR")
    assert writers.loop.now() - begin < ANSWER_SECONDS


class SimulatedLoop(Loop):
    """A loop whose clock is set by the test; only timers are used."""

    def __init__(self) -> None:
        super().__init__(lambda text: None)
        self.time = 0.0

    def now(self) -> float:
        return self.time

    def call_later(self, delay, call, *args):  # type: ignore[no-untyped-def]
        return self.call_at(self.time + max(0.0, delay), call, *args)

    def advance(self, seconds: float) -> None:
        """Fires the timers that become due, each at its time."""
        end = self.time + seconds
        while self.timers and self.timers[0][0] <= end:
            self.time = max(self.time, self.timers[0][0])
            timer = self.timers[0][2]
            del self.timers[0]
            self.timers.sort()
            if timer.call is not None:
                timer.call(*timer.args)
        self.time = end


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["begin", "receive", "receive", "receive", "release", "abandon", "wait"]),
        st.integers(0, 1000),
    ),
    max_size=80,
)


@settings(deadline=None, derandomize=True)
@given(STEPS)
def test_bodies_stay_within_the_budget_and_no_wait_is_longer_than_its_limit(
    steps: list[tuple[str, int]],
) -> None:
    """Guards against memory beyond the budget, memory that is never released, and endless waits."""
    loop = SimulatedLoop()
    budget = BodyBudget(600_000, loop)
    bodies: list[LongBody] = []
    at_backends: list[int] = []
    for step, number in steps:
        reading = [one for one in bodies if not one.dropped and not one.waiting]
        if step == "begin":
            size = READ_SIZE + number * 600
            bodies.append(LongBody(budget, size, 0.5 + number / 500, lambda: None))
            bodies[-1].bytes_received(READ_SIZE // 2)
        elif step == "receive" and reading:
            body = reading[number % len(reading)]
            received = min(body.size, body.received + number * READ_SIZE // 1000)
            if received < body.size:
                body.bytes_received(received)
            else:
                at_backends.append(body.whole())
                bodies.remove(body)
        elif step == "release" and at_backends:
            budget.release(at_backends.pop(number % len(at_backends)))
        elif step == "abandon" and bodies:
            bodies.pop(number % len(bodies)).abandon()
        elif step == "wait":
            loop.advance(number / 1000)
        assert budget.used == sum(one.reserved for one in bodies) + sum(at_backends)
        holders = sum(one.reserved > 0 for one in bodies) + len(at_backends)
        assert budget.used <= budget.budget or holders == 1
        for body in bodies:
            assert body.dropped or body.waiting or body.slow or body.reserved == body.size
            since = body.waiting_since
            assert since is None or loop.time - since <= WAIT_BEFORE_REFUSAL * body.time_limit
    for body in bodies:
        body.abandon()
    for size in at_backends:
        budget.release(size)
    assert (budget.used, len(budget.slow), len(budget.growing), len(budget.waiting)) == (0, 0, 0, 0)
    loop.epoll.close()
