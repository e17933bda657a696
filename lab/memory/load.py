"""Clients that take memory: python -m lab.memory.load HOST:PORT SEED SECONDS KIND=NUMBER ...

All run in this one process, on one epoll instance. A client whose connection ends connects again, so that
there can always be more clients than room. Clients connect within RAMP_SECONDS. One line of JSON on standard
output tells what became of them.
"""

from __future__ import annotations

import json
import random
import select
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lab.callers import command

RAMP_SECONDS = 0.3
RECONNECT_SECONDS = 0.02
TICK_SECONDS = 0.02  # between the steps of clients that pause
RECEIVE_BUFFER_BYTES = 4096  # of clients that read slowly
HUNG_TENANT = 0x500  # backends never answer its requests
LONG_VALUE_TENANT, FULL_VALUE_TENANT = 0x501, 0x502
LONG_VALUE_BYTES, FULL_VALUE_BYTES = 1 << 20, 64 * 1024
MAX_TIME_MILLISECONDS = 600_000
HUNG_MILLISECONDS = 3000
FIELDS_BYTES = 60_000  # of a command's options

Behaviour = Iterator[bytes]  # yields what to write next; nothing: a pause of TICK_SECONDS


@dataclass(slots=True)
class Kind:
    """How clients of one kind behave."""

    behave: Callable[[random.Random], Behaviour]
    reads: int = 65536  # bytes read at a time; 0: nothing is read
    receive_buffer: int | None = None
    read_seconds: float = 0.0  # between two reads
    close_at_end: bool = False  # closes when its behaviour has ended, with whatever is still unread


def ask(
    rng: random.Random,
    tenant: int,
    milliseconds: int = HUNG_MILLISECONDS,
    body: bytes = b"",
    fields: bytes = b"",
    name: bytes = b"Q.ASK",
) -> bytes:
    """One request; `fields` go in front of its options."""
    kind = b"look" if name == b"Q.ASK" else b"change"
    options = fields + b"c=%b,t=plain,d=%d,units=1,spread=1,first=0" % (kind, milliseconds)
    ident = b"%016x" % rng.getrandbits(64)
    return command([name, b"%016x" % tenant, ident, options, *([body] if body else [])])


def short_fields(rng: random.Random) -> bytes:
    """Very many short fields of a command's options."""
    first = rng.randrange(1 << 20)
    return b"".join(b"k%x=1," % (first + n) for n in range(FIELDS_BYTES // 9))


def half_bodies(rng: random.Random) -> Behaviour:
    """Stops half way through a long body."""
    text = ask(rng, 1, body=bytes(rng.choice((128, 300, 600, 1400, 3000)) * 1024))
    yield text[: len(text) // 2]
    while True:
        yield b""


def slow_writers(rng: random.Random) -> Behaviour:
    """Writes long bodies slowly, one after another."""
    while True:
        text, ticks = ask(rng, 1, body=bytes(rng.randrange(100, 1500) * 1024)), rng.randrange(20, 120)
        size = len(text) // ticks + 1
        for at in range(0, len(text), size):
            yield text[at : at + size]
            yield b""


def whole_bodies(rng: random.Random) -> Behaviour:
    """Writes long bodies at full speed to backends that never answer."""
    while True:
        yield ask(rng, HUNG_TENANT, body=bytes(rng.randrange(100, 4000) * 1024))
        for _ in range(20):
            yield b""


def open_fields(rng: random.Random) -> Behaviour:
    """Keeps requests of very many short fields open."""
    while True:
        for _ in range(16):
            yield ask(rng, HUNG_TENANT, fields=short_fields(rng))
        for _ in range(20):
            yield b""


def half_fields(rng: random.Random) -> Behaviour:
    """Stops half way through options of very many short fields."""
    text = ask(rng, 1, fields=short_fields(rng))
    yield text[: len(text) - 60]
    while True:
        yield b""


def open_small(rng: random.Random) -> Behaviour:
    """Keeps as many small requests open as a connection may have."""
    while True:
        yield b"".join(ask(rng, HUNG_TENANT) for _ in range(64))
        for _ in range(20):
            yield b""


def slow_long_readers(rng: random.Random) -> Behaviour:
    """Asks for long values."""
    while True:
        yield ask(rng, LONG_VALUE_TENANT)
        for _ in range(100):
            yield b""


def slow_readers(rng: random.Random) -> Behaviour:
    """Asks for many values of the largest short size."""
    while True:
        yield b"".join(ask(rng, FULL_VALUE_TENANT) for _ in range(30))
        for _ in range(100):
            yield b""


def flood(rng: random.Random) -> Behaviour:
    """Small requests at full speed with the longest time, each of a new tenant."""
    while True:
        yield b"".join(ask(rng, rng.randrange(1 << 33), MAX_TIME_MILLISECONDS) for _ in range(64))


def unsound_flood(rng: random.Random) -> Behaviour:
    """Unsound requests at full speed."""
    while True:
        options = b"c=look,t=none%d,d=600000" % rng.randrange(1 << 30)
        yield command([b"Q.ASK", b"%016x" % rng.randrange(1 << 33), b"a1", options]) * 200


def leavers(rng: random.Random) -> Behaviour:
    """Sends a part of a long body, then closes."""
    text = ask(rng, 1, body=bytes(rng.choice((128, 600, 3000)) * 1024))
    yield text[: rng.randrange(65536, len(text) * 9 // 10)]
    for _ in range(rng.randrange(4)):
        yield b""


KINDS: dict[str, Kind] = {
    "half_bodies": Kind(half_bodies),
    "slow_writers": Kind(slow_writers),
    "whole_bodies": Kind(whole_bodies),
    "open_fields": Kind(open_fields),
    "half_fields": Kind(half_fields),
    "open_small": Kind(open_small),
    "slow_long_readers": Kind(
        slow_long_readers, reads=2048, receive_buffer=RECEIVE_BUFFER_BYTES, read_seconds=0.1
    ),
    "slow_readers": Kind(slow_readers, reads=2048, receive_buffer=RECEIVE_BUFFER_BYTES, read_seconds=0.1),
    "flood": Kind(flood),
    "unsound_flood": Kind(unsound_flood),
    "leavers": Kind(leavers, close_at_end=True),
}


class Client:
    """One client, which connects again whenever its connection ends."""

    def __init__(self, load: Load, kind: Kind, seed: str, begins_at: float) -> None:
        self.load, self.kind, self.rng = load, kind, random.Random(seed)
        self.sock: socket.socket | None = None
        self.unsent = memoryview(b"")
        self.behaviour: Behaviour = iter(())
        self.next_at = begins_at  # of its next step, on the monotonic clock
        self.read_at = 0.0  # of its next read
        self.mask = 0

    def step(self, now: float) -> None:
        """Connects, or writes what comes next."""
        if self.sock is None:
            self._connect()
        else:
            self._write(now)

    def _connect(self) -> None:
        self.sock = sock = socket.socket()
        if self.kind.receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.kind.receive_buffer)
        sock.setblocking(False)
        sock.connect_ex(self.load.address)
        self.behaviour, self.unsent = self.kind.behave(self.rng), memoryview(b"")
        self.load.clients[sock.fileno()] = self
        self.mask = select.EPOLLOUT
        self.load.epoll.register(sock.fileno(), self.mask)
        self.next_at = float("inf")
        self.load.counts["connected"] += 1

    def events(self, ready: int, now: float) -> None:
        """Handles what epoll tells of its socket."""
        if ready & select.EPOLLIN and self.kind.reads and now >= self.read_at:
            self._read(now)
        if self.sock is not None and ready & (select.EPOLLERR | select.EPOLLHUP):
            self._end(now)
        if self.sock is not None and ready & select.EPOLLOUT:
            self._write(now)

    def _read(self, now: float) -> None:
        assert self.sock is not None
        try:
            data = self.sock.recv(self.kind.reads)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self.load.counts["bytes"] += len(data)
        self.read_at = now + self.kind.read_seconds
        if not data:
            self._end(now)
        elif self.kind.read_seconds:
            self._watch(self.mask & ~select.EPOLLIN)
            self.next_at = min(self.next_at, self.read_at)

    def _write(self, now: float) -> None:
        assert self.sock is not None
        read_mask = select.EPOLLIN if self.kind.reads and now >= self.read_at else 0
        for _ in range(4):  # no client keeps all others from their turn
            if not self.unsent:
                try:
                    self.unsent = memoryview(next(self.behaviour))
                except StopIteration:
                    if self.kind.close_at_end:
                        self._end(now)
                        return
                if not self.unsent:
                    self._watch(read_mask)
                    self.next_at = now + TICK_SECONDS
                    return
            try:
                taken = self.sock.send(self.unsent)
            except BlockingIOError:
                break
            except OSError:
                self._end(now)
                return
            self.load.counts["sent"] += taken
            self.unsent = self.unsent[taken:]
        self._watch(select.EPOLLOUT | read_mask)
        self.next_at = float("inf") if read_mask or not self.kind.reads else self.read_at

    def _watch(self, mask: int) -> None:
        if self.sock is not None and mask != self.mask:
            self.mask = mask
            self.load.epoll.modify(self.sock.fileno(), mask)

    def _end(self, now: float) -> None:
        assert self.sock is not None
        del self.load.clients[self.sock.fileno()]
        self.sock.close()
        self.sock = None
        self.next_at = now + RECONNECT_SECONDS


class Load:
    """All clients."""

    def __init__(self, address: tuple[str, int], seed: int, numbers: dict[str, int]) -> None:
        self.address = address
        self.epoll = select.epoll()
        self.clients: dict[int, Client] = {}  # those that are connected, by descriptor
        self.counts: Counter[str] = Counter()
        rng, now = random.Random(seed), time.monotonic()
        self.all = [
            Client(self, KINDS[name], f"{seed} {name} {n}", now + rng.uniform(0, RAMP_SECONDS))
            for name, number in numbers.items()
            for n in range(number)
        ]

    def run(self, seconds: float) -> None:
        """Runs all clients for some time."""
        end = time.monotonic() + seconds
        while (now := time.monotonic()) < end:
            for client in self.all:
                if client.next_at <= now:
                    client.step(now)
            for fd, ready in self.epoll.poll(TICK_SECONDS / 4, 256):
                if (one := self.clients.get(fd)) is not None:
                    one.events(ready, now)


def main(arguments: list[str]) -> None:
    """Runs the clients that the arguments name."""
    address, seed, seconds, *numbers = arguments
    host, _, port = address.rpartition(":")
    wanted = {name: int(number) for name, _, number in (text.partition("=") for text in numbers)}
    load = Load((host, int(port)), int(seed), wanted)
    load.run(float(seconds))
    print(json.dumps(dict(load.counts)), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
