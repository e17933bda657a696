"""What waits for clients is counted and bounded, and a client that reads late gets what is ready."""

from __future__ import annotations

import random
import socket
from collections.abc import Callable

from standflow.exchange import Transaction
from standflow.messages import Served
from standflow.net.client_connection import MAX_PIPELINED, ClientConnection
from standflow.net.client_memory import ClientMemory, HeldBytes
from standflow.net.client_side import MAX_WRITE_STALLS, ClientSide
from tests.test_connections import Recorder
from tests.wire import command, run_until

LARGEST = 64 * 1024  # bytes of a value that is no long one


class Readers:
    """Clients of one ingress that read when the test says so; the test answers their requests."""

    def __init__(self, number: int, limit: int = 1 << 40) -> None:
        self.recorder = Recorder()
        self.recorder.exchange.max_open = 100_000
        loop, log = self.recorder.loop, self.recorder.log.append
        self.side = ClientSide(loop, log, self.recorder.exchange, ("127.0.0.1", 0), 100, limit)
        self.side.start_serving()
        self.clients: list[socket.socket] = []
        self.connections: list[ClientConnection] = []
        self.got: list[bytearray] = []
        self.asked: list[list[bytes]] = []
        self.serial = 0
        for _ in range(number):
            self.connect()

    @property
    def memory(self) -> ClientMemory:
        return self.side.client_memory

    @property
    def open(self) -> list[Transaction]:
        return [one for one in self.recorder.opened if one.open]

    def connect(self) -> None:
        """Connects a client; the kernel takes little of what it does not read."""
        before, client = set(self.side.connections), socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(self.side.address)
        client.setblocking(False)
        run_until(self.recorder.loop, lambda: len(self.side.connections) > len(before))
        connection = next(iter(self.side.connections - before))
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        self.clients.append(client)
        self.connections.append(connection)
        self.got.append(bytearray())
        self.asked.append([])

    def ask(self, client: int, number: int, body: bytes = b"") -> None:
        """Sends several requests at once."""
        idents = [f"{self.serial + n:06x}" for n in range(number)]
        self.serial += number
        self.asked[client] += [ident.encode() for ident in idents]
        self.clients[client].sendall(b"".join(command(ident, body=body, d=600_000) for ident in idents))
        self.turn()

    def answer(self, transaction: Transaction, size: int) -> None:
        """Serves a request with a value that begins with its id."""
        assert isinstance(transaction.request.ident, bytes)
        value = transaction.request.ident.ljust(size, b"x")
        self.recorder.exchange._answer(transaction, Served(value))
        self.turn()

    def read_until(self, client: int, met: Callable[[], object]) -> None:
        """Reads what comes to a client until a condition is met."""

        def read() -> object:
            self.read(client)
            return met()

        run_until(self.recorder.loop, read)

    def read(self, client: int) -> None:
        """Reads all that has come to a client."""
        try:
            while data := self.clients[client].recv(65536):
                self.got[client] += data
        except BlockingIOError:
            self.turn()

    def turn(self) -> None:
        """Runs the loop until each connection has taken what it has read."""
        self.recorder.loop.call_later(0, int)
        self.recorder.loop.run_once()
        while self.recorder.loop.soon:
            self.recorder.loop.run_once()

    def answers(self, client: int) -> list[bytes]:
        """The whole answers that a client has got; of a value the beginning."""
        got, at, answers = self.got[client], 0, []
        while (end := got.find(b"\r\n", at) + 2) >= 2:
            if got[at : at + 1] != b"$":
                answers.append(bytes(got[at:end]))
                at = end
                continue
            at = end + int(got[at + 1 : end - 2]) + 2
            if at > len(got):
                break
            answers.append(bytes(got[end : end + 6]))
        return answers

    def finish(self) -> int:
        """Answers what is open until each client has all answers; returns how many requests were served."""

        def settled() -> bool:
            for transaction in self.open:
                self.answer(transaction, 6)
            for client in range(len(self.clients)):
                self.read(client)
            return all(len(self.answers(client)) == len(asked) for client, asked in enumerate(self.asked))

        run_until(self.recorder.loop, settled)
        served = 0
        for client, asked in enumerate(self.asked):
            for ident, answer in zip(asked, self.answers(client), strict=True):
                assert answer.startswith((ident, b"-BUSY", b"-ERR no memory"))
                served += answer.startswith(ident)
        return served

    def check_account(self) -> None:
        """What the account says is what the connections hold."""
        sizes = []
        for connection in self.connections:
            waiting = list(connection.slots)[1:]
            answers = sum(len(slot.answer or b"") for slot in waiting)
            sizes.append(len(connection.buffer.data) + answers + len(connection.unsent))
            assert connection.held.size == sizes[-1]
        sizes.append(sum(len(one.request.message.body or b"") for one in self.open))
        assert self.memory.bodies.size == sizes[-1]
        assert self.memory.used == sum(sizes)
        assert self.memory.holders == sum(map(bool, sizes))

    def close(self) -> None:
        for client in self.clients:
            client.close()
        run_until(self.recorder.loop, lambda: not self.side.connections)
        assert (self.memory.used, self.memory.holders) == (0, 0)
        self.recorder.close()


def test_what_is_held_is_counted_until_it_is_sent_or_over(seed: int) -> None:
    """Guards against buffers that are in no account, so that the process outgrows its memory limit."""
    rng, readers = random.Random(seed), Readers(4)
    for _ in range(400):
        step, client = rng.choice(("ask", "answer", "answer", "read")), rng.randrange(4)
        if step == "ask":
            readers.ask(client, rng.randint(1, 20), b"b" * rng.choice((0, 10, 1000)))
        elif step == "read":
            readers.read(client)
        elif waiting := readers.open:
            readers.answer(rng.choice(waiting), rng.choice((6, 1000, LARGEST)))
        readers.check_account()
    assert readers.memory.peak > LARGEST
    readers.finish()
    readers.close()


def test_peak_of_what_waits_for_clients_is_told_in_the_log() -> None:
    """Guards against memory that grows without a trace of what holds it."""
    log: list[str] = []
    memory = ClientMemory(1000, log.append)
    held = HeldBytes(memory)
    held.change(200)
    memory.report()
    held.change(300)
    held.change(-450)
    memory.report()
    held.release()
    memory.report()
    assert log == ["caller: memory held for clients: peak=500 now=50 limit=1000 connections=1"]


def test_answers_behind_lost_ones_stay_within_the_limit_and_each_request_is_answered(seed: int) -> None:
    """Guards against a process that outgrows its memory as answers wait behind lost ones."""
    rng, limit = random.Random(seed), 20 * LARGEST
    readers = Readers(10, limit)
    for client in range(10):
        readers.ask(client, 60)
    first = {id(one) for one in readers.open[::60]}
    for _ in range(700):
        waiting = [one for one in readers.open if id(one) not in first]
        if waiting:
            readers.answer(rng.choice(waiting), LARGEST)
        assert readers.memory.used <= limit
    assert readers.memory.peak > limit // 2
    served = readers.finish()
    assert served >= 10
    counts = readers.recorder.exchange.counts["look"]
    assert (counts.open, counts.succeeded) == (0, served)
    readers.close()


def test_client_that_reads_is_served_while_others_fill_the_memory_of_answers() -> None:
    """Guards against a few clients that do not read and keep the memory of answers from all others."""
    limit = 20 * LARGEST
    readers = Readers(4, limit)
    for client in range(3):
        readers.ask(client, 60)
    for transaction in readers.open:
        readers.answer(transaction, LARGEST)
    assert limit // 2 <= readers.memory.used < limit
    for _ in range(5):
        readers.ask(3, 1)
        transaction = readers.open[-1]
        readers.answer(transaction, LARGEST)
        readers.read_until(3, lambda: not readers.connections[3].held.size)
    readers.read(3)
    assert len(readers.got[3]) > 5 * LARGEST
    readers.finish()
    readers.close()


def test_requests_are_refused_at_once_while_the_memory_of_answers_is_exhausted() -> None:
    """Guards against requests that wait, or are run in vain, when there is no memory for their answers."""
    readers = Readers(2, 10 * LARGEST)
    readers.memory.used += readers.memory.limit
    readers.ask(0, 1)
    assert not readers.recorder.opened
    readers.read_until(0, lambda: readers.got[0])
    assert readers.got[0] == b"-BUSY 250\r\n"
    readers.memory.used -= readers.memory.limit
    readers.ask(0, 1)
    assert len(readers.recorder.opened) == 1
    readers.finish()
    readers.close()


def test_bodies_of_open_requests_stay_within_the_limit() -> None:
    """Guards against memory that outgrows its limit by bodies of up to 64 KiB while backends are slow."""
    limit = 20 * LARGEST
    readers = Readers(30, limit)
    for _ in range(2):  # the second ones are refused
        for client in range(30):
            readers.ask(client, 1, b"b" * (LARGEST - 1000))
            readers.turn()
            assert readers.memory.used < limit + LARGEST
    assert limit // 2 < readers.memory.bodies.size < limit
    assert 10 < readers.finish() < 30
    assert readers.memory.bodies.size == 0
    readers.close()


def test_body_of_a_request_counts_until_it_is_over_and_not_where_it_is_invalid() -> None:
    """Guards against an account that fills up with what is gone."""
    readers = Readers(1)
    text = command("aa", body=b"b" * 1000)
    readers.clients[0].sendall(text.replace(b"c=look", b"c=luck") + command("bb", kind="change", body=b"b"))
    readers.read_until(0, lambda: len(readers.answers(0)) == 2)
    assert readers.memory.used == 0
    readers.ask(0, 1, b"b" * 1000)
    assert readers.memory.used == 1000
    readers.clients[0].close()
    run_until(readers.recorder.loop, lambda: not readers.side.connections)
    assert readers.memory.used == 0
    readers.close()


def test_requests_behind_an_open_one_are_refused_while_memory_is_short() -> None:
    """Guards against requests that wait unread for memory, beyond their time."""
    readers = Readers(1)
    readers.memory.used += readers.memory.strained_from
    readers.ask(0, 3)
    assert len(readers.recorder.opened) == 1
    assert not readers.connections[0].reader.unread.spans
    assert [bool(slot.answer) for slot in readers.connections[0].slots] == [False, True, True]
    readers.memory.used -= readers.memory.strained_from
    assert readers.finish() == 1
    readers.close()


def test_value_that_does_not_fit_fails_if_its_request_may_not_be_repeated() -> None:
    """Guards against a refusal, which says that nothing has run, of a request that was served."""
    readers = Readers(1, 2 * LARGEST)
    readers.serial = 2
    readers.asked[0] += [b"aa", b"bb"]
    readers.clients[0].sendall(command("aa") + command("bb", "Q.DO", "change"))
    run_until(readers.recorder.loop, lambda: len(readers.open) == 2)
    first, second = readers.open
    readers.memory.used += 2 * LARGEST
    readers.answer(second, LARGEST)
    readers.memory.used -= 2 * LARGEST
    readers.answer(first, 6)
    readers.finish()
    assert readers.got[0].endswith(b"-ERR no memory for the value\r\n")
    counts = readers.recorder.exchange.counts["change"]
    assert (counts.succeeded, counts.declined, counts.aborted) == (0, 0, 1)
    readers.close()


def test_client_that_begins_to_read_late_gets_all_answers_that_are_ready() -> None:
    """Guards against a client that is cut off as a slow reader over answers that are ready."""
    readers = Readers(1)
    for _ in range(2):
        readers.ask(0, MAX_PIPELINED)
        for transaction in readers.open:
            readers.answer(transaction, LARGEST)
    for _ in range(MAX_WRITE_STALLS - 1):
        readers.side._sweep()
    readers.turn()
    assert readers.connections[0] in readers.side.connections
    assert len(readers.connections[0].unsent) > (MAX_PIPELINED - 2) * LARGEST
    assert readers.finish() == 2 * MAX_PIPELINED
    readers.close()


def test_client_that_takes_nothing_for_long_is_ended() -> None:
    """Guards against answers that are kept for ever for a client that has stopped to read."""
    readers = Readers(1)
    readers.ask(0, MAX_PIPELINED)
    for transaction in readers.open:
        readers.answer(transaction, LARGEST)
    for _ in range(MAX_WRITE_STALLS + 1):
        readers.side._sweep()
    assert not readers.side.connections
    assert any(line.startswith("end caller slow_reader") for line in readers.recorder.log)
    readers.close()
