"""Shutdowns over random clients and backends: no step has a fault, and each whole command gets its answer."""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import Container, Iterator
from typing import Any

import pytest

from standflow.exchange import Attempt, Transaction
from standflow.messages import Result
from standflow.net.client_connection import ClientConnection
from standflow.net.client_side import ClientSide
from standflow.net.loop import IN, NO_EVENT, OUT, Coroutine
from standflow.net.nexthop import NextHops
from standflow.net.resp import Buffer, FramingError
from standflow.route_set import Phase, Route, RouteSet
from standflow.shutdown import Shutdown
from tests.test_connections import Recorder
from tests.wire import command, listener, run_until

CLIENTS = 8
MAX_PLAY_SECONDS = 3.0  # from SIGTERM on; a process that stays for an answer is stopped then
READING_SECONDS = 0.1  # for the clients, after the end
# In bytes: what is held for clients, long bodies, and long values that are buffered as a whole.
LARGE_BUDGETS, SMALL_BUDGETS = (1 << 25, 1 << 24, 1 << 23), (200_000, 150_000, 300_000)
ANSWERS = ("short", "short", "late", "silent", "long", "long", "long", "cut", "busy", "wrong")
COMMANDS = ("ask", "ask", "ask", "do", "ping", "body", "long")
NEVER = 60.0  # seconds
SHORT = b"*3\r\n$2\r\nva\r\n$-1\r\n$-1\r\n"
PING = b"*1\r\n$4\r\nPING\r\n"


class Module(Recorder):
    """Decides at random: a request is sent once or twice or left open, and sent again or failed later."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng

    def transaction_opened(self, transaction: Transaction) -> None:
        for _ in range(self.rng.choice((0, 1, 1, 1, 2))):
            self.loop.call_later(self.rng.choice((0.0, 0.0, 0.01)), self.send, transaction)

    def send(self, transaction: Transaction) -> None:
        if transaction.open:
            self.exchange.send(transaction.name, "s-1", self.rng.choice((None, None, 0.2)))

    def attempt_ended(self, attempt: Attempt, result: Result, latency: float, finished: bool) -> None:
        if not finished:
            choice = self.rng.choice((self.exchange.fail, self.send, None))
            if choice == self.send:
                self.loop.call_later(0.0, self.send, attempt.transaction)
            elif choice is not None:
                self.loop.call_later(0.0, self.exchange.fail, attempt.transaction.name)


class Backends:
    """A backend that answers each command in another way: late, in pieces, in part, wrongly or not at all."""

    def __init__(self, module: Module) -> None:
        self.loop, self.rng = module.loop, module.rng
        self.listener = listener()
        self.listener.setblocking(False)
        self.address: tuple[str, int] = self.listener.getsockname()[:2]
        self.loop.spawn(self.listener.fileno(), self._accept())
        self.sockets: list[socket.socket] = [self.listener]

    def _accept(self) -> Coroutine[None]:
        while True:
            yield IN
            with contextlib.suppress(BlockingIOError):
                sock, _ = self.listener.accept()
                sock.setblocking(False)
                self.sockets.append(sock)
                self.loop.spawn(sock.fileno(), self._serve(sock))

    def _serve(self, sock: socket.socket) -> Coroutine[None]:
        received = b""
        try:
            while True:
                yield IN
                with contextlib.suppress(BlockingIOError):
                    more = sock.recv(1 << 20)
                    if not more:
                        return
                    received += more
                buffer = Buffer()
                buffer.feed(received)
                if buffer.command() is None:
                    continue
                received = b""
                for piece, pause in self._answer():
                    yield from self._send(sock, piece)
                    if (yield from self.loop.wait(0, pause)) != NO_EVENT:
                        return
        except (OSError, FramingError):
            return
        finally:
            sock.close()

    def _send(self, sock: socket.socket, data: bytes) -> Coroutine[None]:
        while data:
            try:
                data = data[sock.send(data) :]
            except BlockingIOError:
                yield OUT

    def _answer(self) -> Iterator[tuple[bytes, float]]:
        """The pieces of an answer, each with the pause behind it."""
        kind = self.rng.choice(ANSWERS)
        if kind == "silent":
            yield b"", NEVER
        elif kind in ("short", "late"):
            yield b"", 0.0 if kind == "short" else 0.4 * self.rng.random()
            yield SHORT, 0.0
        elif kind == "busy":
            yield b"-BUSY 20\r\n", 0.0
        elif kind == "wrong":
            yield b"?\r\n", 0.0
        else:
            size = self.rng.choice((70_000, 200_000, 1_000_000))
            end = self.rng.randrange(size) if kind == "cut" else size
            yield b"*3\r\n$%d\r\n" % size, 0.0
            pieces, pause = self.rng.choice((1, 4, 20)), self.rng.choice((0.0, 0.02, 0.1))
            for begin in range(0, end, size // pieces):
                yield bytes(min(size // pieces, end - begin)), pause
            if kind == "cut":
                yield b"", self.rng.choice((0.0, NEVER))
                raise ConnectionResetError
            yield b"\r\n$-1\r\n$-1\r\n", 0.0


class RecordingSide(ClientSide):
    """Records how the connection of each client has ended, by the client's address."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.reasons: dict[object, str] = {}
        self.peers: dict[socket.socket, object] = {}

    def connection_accepted(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):  # reset already
            self.peers[sock] = sock.getpeername()
        super().connection_accepted(sock)

    def closed(self, connection: ClientConnection) -> None:
        self.reasons[self.peers.get(connection.sock)] = connection.reason
        super().closed(connection)

    def can_answer(self, address: object) -> bool:
        """False once the connection of a client has ended, or nothing more is sent on it."""
        shut = any(one.write_shut and self.peers.get(one.sock) == address for one in self.connections)
        return not shut and address not in self.reasons

    def cut_off(self, address: object) -> bool:
        """True if the connection of a client was ended in the middle of a value."""
        return self.reasons.get(address) == "cut_off"


class Client:
    """A client that pipelines random commands, and reads at once, late or never."""

    def __init__(self, module: Module, side: RecordingSide) -> None:
        self.loop, self.rng, self.side = module.loop, module.rng, side
        self.sock = socket.socket()
        if self.rng.random() < 0.3:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.setblocking(False)
        self.sock.connect_ex(side.address)
        self.address = self.sock.getsockname()
        self.sent = 0  # whole commands
        self.received = bytearray()
        self.may_send, self.saw_end = True, False
        self.reads_from = self.loop.now() + self.rng.choice((0.0, 0.0, 0.0, 0.3, NEVER))
        self.task = self.loop.spawn(self.sock.fileno(), self._read())
        for _ in range(self.rng.randrange(4)):
            self.loop.call_later(0.6 * self.rng.random(), self.ask)
        if self.rng.random() < 0.15:
            self.loop.call_later(0.6 * self.rng.random(), self.leave)

    def ask(self) -> None:
        """Sends one to four commands at once; the last one may be cut, and nothing follows then."""
        if not self.may_send or not self.side.can_answer(self.address):
            return
        commands = [self._command() for _ in range(self.rng.randrange(1, 5))]
        cut = self.rng.random() < 0.1
        data = b"".join(commands)
        if cut:
            data = data[: -self.rng.randrange(1, len(commands[-1]))]
        taken = 0
        with contextlib.suppress(OSError):
            taken = self.sock.send(data)
        whole = taken == len(data)
        self.may_send = whole and not cut
        if whole:
            self.sent += len(commands) - cut

    def _command(self) -> bytes:
        kind, ident = self.rng.choice(COMMANDS), f"{self.rng.getrandbits(40):010x}"
        if kind == "ping":
            return PING
        d = self.rng.choice((100, 300, 60_000))
        if kind == "ask":
            return command(ident, d=d)
        body = {"body": b"x" * 1000, "long": b"x" * 100_000}.get(kind, b"")
        return command(ident, "Q.DO", "change", body, d)

    def leave(self) -> None:
        """Closes the connection, whatever is open."""
        self.may_send = False
        self.loop.end(self.task)
        self.sock.close()

    def _read(self) -> Coroutine[None]:
        yield from self.loop.pause(self.reads_from - self.loop.now())
        while True:
            yield IN
            try:
                while more := self.sock.recv(1 << 16):
                    self.received += more
            except BlockingIOError:
                continue
            except OSError:
                return
            self.saw_end = True
            return

    def answers(self) -> int:
        """The number of whole answers that have come."""
        data, number = bytes(self.received), 0
        while data:
            line, found, rest = data.partition(b"\r\n")
            size = int(line[1:]) + 2 if line.startswith(b"$") else 0
            if not found or len(rest) < size:
                break
            data, number = rest[size:], number + 1
        return number


class Play:
    """One shutdown of an ingress between random clients and backends, with random events around it."""

    def __init__(self, seed: int) -> None:
        self.rng = rng = random.Random(seed)
        self.module = module = Module(rng)
        loop, log, exchange = module.loop, module.log.append, module.exchange
        self.hops = exchange.next_hops = NextHops(loop, log, exchange, 5.0, 9.0, 0.05, 200)
        self.backends = Backends(module)
        self.revision = 0
        self.list_backend(Phase.SERVING)
        self.budgets = rng.choice((LARGE_BUDGETS, SMALL_BUDGETS))
        held, bodies, values = self.budgets
        limit = rng.choice((CLIENTS - 2, 100))
        self.side = RecordingSide(
            loop, log, exchange, ("127.0.0.1", 0), limit, held, max_bodies=bodies, max_values=values
        )
        self.side.start_serving()
        self.shutdown = Shutdown(loop, log, self.side, exchange)
        self.clients = [Client(module, self.side) for _ in range(CLIENTS)]

    def run(self) -> None:
        """Plays up to the exit; values that are still on their way then are cut off."""
        loop, rng = self.module.loop, self.rng
        begin = loop.now() + 0.3 * rng.random()
        longest, handled_late = rng.choice(((0.3, 0.0), (3.0, 2.5)))
        loop.call_at(begin, self.shutdown.begin, longest, begin - handled_late)
        events = (
            (self.side.evacuate, True, 1.0),
            (self.side.evacuate, False, 2.0),
            (self.list_backend, Phase.DRAINING),
            (self.list_backend, Phase.SERVING),
            (self.resize_budgets, 2),
            (self.resize_budgets, 1),
            (self.shutdown.shorten, 0.3 * rng.random()),
        )
        for event in events:
            if rng.random() < 0.4:
                loop.call_at(begin + rng.uniform(-0.3, 0.6), *event)
        loop.call_at(begin + MAX_PLAY_SECONDS, loop.stop)
        run_until(loop, lambda: loop.stopped)
        self.side.close()
        for transaction in list(self.module.exchange.transactions.values()):
            for number in range(len(transaction.attempts)):
                self.module.exchange.cancel(transaction.name, number)
        self.hops.close()
        end = loop.now() + READING_SECONDS
        run_until(loop, lambda: loop.now() > end)

    def list_backend(self, phase: Phase) -> None:
        """Tells of the backend as discovery does."""
        self.revision += 1
        route = Route("s-1", self.backends.address, "z1", "std", 0, phase, 1.0, None)
        self.hops.update_routes(RouteSet(self.revision, True, (route,)))

    def resize_budgets(self, processes: int) -> None:
        """Shares the memory with another process, as in an upgrade."""
        held, bodies, values = self.budgets
        self.side.client_memory.resize(held // processes)
        self.side.body_budget.resize(bodies // processes)
        self.side.value_budget.resize(values // processes)

    def unanswered(self, besides: Container[object] = ()) -> list[tuple[int, int]]:
        """Whole commands and answers of each client that got too few on a connection that ended in order.

        Behind a value that was cut off nothing can be answered. `besides`: clients that are not looked at.
        """
        ended = [
            client
            for client in self.clients
            if client.saw_end and not self.side.cut_off(client.address) and client.address not in besides
        ]
        return [(client.sent, client.answers()) for client in ended if client.answers() < client.sent]

    def held(self) -> tuple[int, ...]:
        """Requests, values and bytes that still count as held."""
        side = self.side
        budgets = (side.client_memory.used, side.value_budget.used, side.body_budget.used)
        return (self.module.exchange.open_count, self.hops.flows.open, self.hops.connections, *budgets)

    def close(self) -> None:
        self.module.close()
        for sock in (*self.backends.sockets, *(client.sock for client in self.clients)):
            sock.close()


@pytest.mark.parametrize("seed", range(24))
def test_random_shutdown_has_no_fault_and_answers_every_whole_command(seed: int) -> None:
    """Guards against steps of a shutdown that fail over what clients and backends do (review case 7)."""
    play = Play(seed)
    play.run()
    play.close()
    assert not [line for line in play.module.log if "fault" in line]
    assert not play.unanswered()
    assert not any(play.held())
