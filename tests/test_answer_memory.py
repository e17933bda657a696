"""What waits for clients is counted and bounded, and a client that reads late gets what is ready."""

from __future__ import annotations

import random
import socket

from standflow.exchange import Served, Transaction
from standflow.net.answer_memory import AnswerMemory, HeldAnswers
from standflow.net.client_connection import ClientConnection
from standflow.net.client_side import ClientSide
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
        self.serial = 0
        for _ in range(number):
            self.connect()

    @property
    def memory(self) -> AnswerMemory:
        return self.side.answer_memory

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

    def ask(self, client: int, number: int) -> None:
        """Sends several requests at once."""
        texts = [command(f"{self.serial + n:06x}", d=600_000) for n in range(number)]
        self.serial += number
        self.clients[client].sendall(b"".join(texts))
        self.turn()

    def answer(self, transaction: Transaction, size: int) -> None:
        """Serves a request with a value that begins with its id."""
        assert isinstance(transaction.request.ident, bytes)
        value = transaction.request.ident.ljust(size, b"x")
        self.recorder.exchange._answer(transaction, Served(value))
        self.turn()

    def read(self, client: int) -> None:
        """Reads all that has come to a client."""
        try:
            while data := self.clients[client].recv(65536):
                self.got[client] += data
        except BlockingIOError:
            self.turn()

    def turn(self) -> None:
        self.recorder.loop.call_later(0, int)
        self.recorder.loop.run_once()

    def check_account(self) -> None:
        """What the account says is what the connections hold."""
        sizes = []
        for connection in self.connections:
            waiting = list(connection.slots)[1:]
            sizes.append(len(connection.unsent) + sum(len(slot.answer or b"") for slot in waiting))
            assert connection.held.size == sizes[-1]
        assert self.memory.used == sum(sizes)
        assert self.memory.holders == sum(map(bool, sizes))

    def close(self) -> None:
        for client in self.clients:
            client.close()
        run_until(self.recorder.loop, lambda: not self.side.connections)
        assert (self.memory.used, self.memory.holders) == (0, 0)
        self.recorder.close()


def test_answers_are_counted_from_when_they_are_ready_until_they_are_sent(seed: int) -> None:
    """Guards against answers that are in no account, so that the process outgrows its memory limit."""
    rng, readers = random.Random(seed), Readers(4)
    for _ in range(400):
        step, client = rng.choice(("ask", "answer", "answer", "read")), rng.randrange(4)
        if step == "ask":
            readers.ask(client, rng.randint(1, 20))
        elif step == "read":
            readers.read(client)
        elif waiting := readers.open:
            readers.answer(rng.choice(waiting), rng.choice((6, 1000, LARGEST)))
        readers.check_account()
    assert readers.memory.peak > LARGEST
    readers.close()


def test_peak_of_what_waits_for_clients_is_told_in_the_log() -> None:
    """Guards against memory that grows without a trace of what holds it."""
    log: list[str] = []
    memory = AnswerMemory(1000, log.append)
    held = HeldAnswers(memory)
    held.add(200)
    memory.report()
    held.add(300)
    held.remove(450)
    memory.report()
    held.release()
    memory.report()
    assert log == ["caller: answers that wait for clients: peak=500 now=50 limit=1000 connections=1"]
