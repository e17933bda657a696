"""A test quota counter that keeps totals by name and injects faults on demand.

Names are hashed to parts. A part serves calls in order at a fixed rate and rejects them once its queue is
full. Each listener is the entry point of one zone: it can cut off single parts and may have its own store.
"""

from __future__ import annotations

import contextlib
import random
import socket
import threading
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit
from zlib import crc32

from lab.accept import Acceptor, reset

MAX_TTL_SECONDS = 60.0


@dataclass
class StoredTotal:
    """A total that expires at `until`, monotonic clock."""

    total: float
    until: float


class Store:
    """The totals of a counter, split into parts."""

    def __init__(self, parts: int = 1, per_second: float = 800.0, line: float = 0.2) -> None:
        """`line`: queue length of a part, in seconds of work; a longer wait is rejected."""
        self.parts, self.per_second, self.line = parts, per_second, line
        self.lock = threading.Lock()
        self.numbers: dict[str, StoredTotal] = {}
        self.free_at = [0.0] * parts
        self.calls = 0
        self.reads: Counter[str] = Counter()  # by name, calls that add 0
        self.rejected = 0

    def part(self, name: str) -> int:
        """The part that a name is hashed to."""
        return crc32(name.encode()) % self.parts

    def empty(self) -> None:
        """Drops all totals, as if the store had been replaced."""
        with self.lock:
            self.numbers.clear()

    def add(self, name: str, amount: float, ttl: float) -> tuple[float | None, float]:
        """The total after a call, or None if it is rejected, and the seconds until the call is done."""
        now = time.monotonic()
        with self.lock:
            self.calls += 1
            self.reads[name] += not amount
            part = self.part(name)
            begin = max(now, self.free_at[part])
            if begin - now > self.line:
                self.rejected += 1
                return None, 0.0
            self.free_at[part] = begin + 1 / self.per_second
            stored = self.numbers.get(name)
            if stored is None or stored.until <= now:
                stored = self.numbers[name] = StoredTotal(0.0, now + min(ttl, MAX_TTL_SECONDS))
            stored.total += amount
            return stored.total, self.free_at[part] - now


@dataclass
class ServerFaults:
    """Faults at the entry point of one zone; none by default."""

    delay: float = 0.0  # extra seconds before an answer is sent
    cut: set[int] = field(default_factory=set)  # parts whose calls are never answered
    drop_share: float = 0.0  # share of answers never sent, though the amount was added
    corrupt_share: float = 0.0  # share of answers that hold no number
    refuse: bool = False  # connections are reset on accept
    seed: int = 0


class CounterServer:
    """A listener of the counter, the entry point of one zone."""

    def __init__(
        self, store: Store, faults: ServerFaults | None = None, idle: float = 10.0, max_per_peer: int = 32
    ) -> None:
        self.store, self.faults, self.idle, self.max_per_peer = (
            store,
            faults or ServerFaults(),
            idle,
            max_per_peer,
        )
        self.rng = random.Random(self.faults.seed)
        self.lock = threading.Lock()
        self.open_by_peer: Counter[str] = Counter()
        self.connections: set[socket.socket] = set()
        self.acceptor = Acceptor(self._serve)
        self.address = self.acceptor.address

    def __enter__(self) -> CounterServer:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Closes the listener and resets open connections."""
        self.acceptor.close()
        with self.lock:
            connections = list(self.connections)
        for sock in connections:
            reset(sock)

    def _serve(self, sock: socket.socket) -> None:
        peer = sock.getpeername()[0]
        with self.lock:
            self.open_by_peer[peer] += 1
            many = self.open_by_peer[peer] > self.max_per_peer or self.faults.refuse
            self.connections.add(sock)
        try:
            if many:
                reset(sock)
            else:
                self._answer(sock)
        finally:
            with self.lock:
                self.open_by_peer[peer] -= 1
                self.connections.discard(sock)
            sock.close()

    def _answer(self, sock: socket.socket) -> None:
        """Reads calls; a second thread answers in order, so that pipelined calls are counted at once."""
        due: deque[tuple[float, bytes | None]] = deque()
        more = threading.Condition()
        writer = threading.Thread(target=self._write, args=(sock, due, more), daemon=True)
        writer.start()
        sock.settimeout(self.idle)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b""
        with contextlib.suppress(OSError):
            while got := sock.recv(65536):
                data += got
                while b"\r\n\r\n" in data:
                    head, _, data = data.partition(b"\r\n\r\n")
                    with more:
                        due.append(self._call(head))
                        more.notify()
        with more:
            due.append((0.0, None))
            more.notify()
        writer.join(30.0)

    def _write(
        self, sock: socket.socket, due: deque[tuple[float, bytes | None]], more: threading.Condition
    ) -> None:
        while True:
            with more:
                while not due:
                    more.wait(1.0)
                at, answer = due.popleft()
            if answer is None:
                return
            time.sleep(max(0.0, at - time.monotonic()))
            if not answer:  # dropped, with all later answers on this connection
                return
            try:
                sock.sendall(answer)
            except OSError:
                return

    def _call(self, head: bytes) -> tuple[float, bytes | None]:
        """When to send the answer, and the answer; empty: never sent."""
        faults, now = self.faults, time.monotonic()
        try:
            method, target, _ = head.split(b"\r\n", 1)[0].split(b" ")
            url = urlsplit(target.decode())
            name = url.path.removeprefix("/v1/count/")
            asked = parse_qs(url.query)
            amount, ttl = float(asked["add"][0]), int(asked["ttl_ms"][0]) / 1000
            if method != b"POST" or not 1 <= len(name) <= 64 or ttl <= 0 or abs(amount) > 1e9:
                raise ValueError
        except (ValueError, KeyError):
            return now, reply(b"400 Bad Request", b"")
        if self.store.part(name) in faults.cut:
            return now, b""
        total, took = self.store.add(name, amount, ttl)
        at = now + took + faults.delay
        if total is None:
            return at, reply(b"503 Service Unavailable", b"")
        with self.lock:
            lost, spoilt = self.rng.random() < faults.drop_share, self.rng.random() < faults.corrupt_share
        if lost:
            return at, b""
        return at, reply(b"200 OK", b"no number" if spoilt else b"%.7g" % total)


def reply(status: bytes, body: bytes) -> bytes:
    """Encodes an HTTP answer."""
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)
