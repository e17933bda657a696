"""A box: a test backend in place of a shared timetable server, as its own process or inside a test.

It speaks RESP2 in plaintext or TLS, counts executions by request id, and limits handshakes and requests to
its current capacity: after a start a fraction of its cores, growing linearly. Mode lists its faults.

    python -m lab.box                               # one JSON command per input line, one JSON answer each
    python -m lab.box --listen HOST:PORT --certificate FILE       # serves until it is killed
"""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import ssl
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from lab.accept import RESET, Acceptor, reset
from lab.wire import CutError, Wire
from standflow.net.arrival import seconds_since_received

NOTHING = b"$-1\r\n"


@dataclass
class Mode:
    """Faults that a box injects; none by default."""

    plain: bool = False  # answers a TLS handshake in plaintext
    stall_at: int | None = None  # the handshake flight that is never sent
    cut_after: int | None = None  # bytes sent after which a connection is cut
    split: int | None = None  # bytes per write
    notify: bool = True  # sends close_notify before a close
    answers: int | None = None  # answers per connection before it is closed
    alert: bool = False  # sends a fatal alert in the middle of an answer
    behind: bytes = b""  # bytes appended to each answer
    silent: bool = False  # reads requests and never answers
    reset_accepts: bool = False  # resets connections on accept


@dataclass
class Event:
    """Work of the box at Unix time `at`; `cpu`: seconds of one core."""

    at: float
    what: str  # full, resumed, failed or request
    cpu: float


@dataclass
class Arrival:
    """A complete request: received by the kernel at `at` and read at `read_at`, both on the monotonic clock.

    `left`: the remaining time in seconds that the request states.
    """

    at: float
    read_at: float
    ident: str
    safe: bool
    left: float


@dataclass
class Counts:
    """Counters and events of a box."""

    full: int = 0
    resumed: int = 0
    failed: int = 0
    connections: int = 0
    open: int = 0
    runs: Counter[str] = field(default_factory=Counter)
    changes: Counter[str] = field(default_factory=Counter)  # of these, requests that must not run twice
    events: list[Event] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)


class Box:
    """A server on its own port. `work`: CPU seconds per request; `cores` are shared by all connections."""

    def __init__(
        self,
        context: ssl.SSLContext | None = None,
        mode: Mode | None = None,
        address: tuple[str, int] = ("127.0.0.1", 0),
        work: float = 0.0,
        delay: float = 0.0,
        cores: float = 0.0,
        cold_from: float = 0.15,
        cold_time: float = 17.0,
    ) -> None:
        """`cores` 0: no capacity limit. `delay`: seconds that a request waits without using CPU."""
        self.context, self.mode = context, mode or Mode()
        self.delay = delay
        self.value = 0  # minimum size of a value, bytes
        self.tenant_values: dict[int, int] = {}  # minimum size of their values, by tenant, bytes
        self.hung_tenants: frozenset[int] = frozenset()  # their requests are read and never answered
        self.work, self.cores, self.cold_from, self.cold_time = work, cores, cold_from, cold_time
        self.started = 0.0  # Unix time; 0: warm from the beginning
        self.counts = Counts()
        self.received_ids: set[str] = (
            set()
        )  # ids of requests that have come whole; several boxes may share it
        self.lock = threading.Lock()
        self.free_at = 0.0
        self.wires: set[Wire] = set()
        self.acceptor = Acceptor(self._handle_connection, address)
        self.address = self.acceptor.address

    # Operations for tests and the control interface.

    def forget_sessions(self, context: ssl.SSLContext) -> None:
        """Replaces the TLS context, which drops all sessions; also used to swap the certificate."""
        self.context = context

    def restart(self, context: ssl.SSLContext | None = None) -> None:
        """Simulates a restart: cold capacity, all connections reset; the port stays the same.

        TLS sessions are lost with a new `context`.
        """
        if context is not None:
            self.context = context
        self.started = time.time()
        self.cut_all()

    def cut_all(self) -> None:
        """Resets every connection."""
        with self.lock:
            wires = list(self.wires)
        for wire in wires:
            reset(wire.sock)

    def close(self) -> None:
        """Closes the listener and resets every connection."""
        self.acceptor.close()
        self.cut_all()

    def __enter__(self) -> Box:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def run_counts(self) -> Counter[str]:
        """Executions by request id."""
        with self.lock:
            return Counter(self.counts.runs)

    # Serving.

    def capacity(self, at: float) -> float:
        """CPU seconds per second at a Unix time."""
        age = at - self.started
        if age >= self.cold_time:
            return self.cores
        return self.cores * (self.cold_from + (1 - self.cold_from) * max(0.0, age) / self.cold_time)

    def _use_cpu(self, what: str, cpu: float, done: float = 0.0) -> None:
        """Blocks until the queued work is done; `done` seconds of it have already elapsed in real time."""
        now = time.time()
        with self.lock:
            self.counts.events.append(Event(now, what, cpu))
            if not self.cores:
                wait = cpu - done
            else:
                begin = max(self.free_at, now)
                self.free_at = begin + cpu / self.capacity(begin)
                wait = self.free_at - now - done
        if wait > 0:
            time.sleep(wait)

    def _handle_connection(self, sock: socket.socket) -> None:
        mode = self.mode
        if mode.reset_accepts:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()
            return
        wire = Wire(sock, None if mode.plain else self.context)
        wire.cut_after, wire.split = mode.cut_after, mode.split
        with self._counted(wire):
            try:
                if mode.plain and self.context is not None:
                    sock.recv(65536)
                    wire.write_raw(b"-ERR this is no TLS\r\n")
                elif wire.tls is None or self._handshake(wire, mode):
                    self._serve(wire, mode)
            except (CutError, OSError):
                wire.close(notify=False)

    @contextmanager
    def _counted(self, wire: Wire) -> Iterator[None]:
        with self.lock:
            self.wires.add(wire)
            self.counts.connections += 1
            self.counts.open += 1
        try:
            yield
        finally:
            with self.lock:
                self.wires.discard(wire)
                self.counts.open -= 1
            wire.sock.close()

    def _handshake(self, wire: Wire, mode: Mode) -> bool:
        try:
            resumed = wire.handshake(mode.stall_at)
        except (OSError, CutError):
            with self.lock:
                self.counts.failed += 1
            self._use_cpu("failed", wire.cpu, wire.cpu)
            raise
        if mode.stall_at is not None:
            with contextlib.suppress(OSError):
                while wire.sock.recv(65536):
                    continue
            return False
        with self.lock:
            if resumed:
                self.counts.resumed += 1
            else:
                self.counts.full += 1
        self._use_cpu("resumed" if resumed else "full", wire.cpu, wire.cpu)
        return True

    def _serve(self, wire: Wire, mode: Mode) -> None:
        data, answered = b"", 0
        while True:
            more = wire.read()
            if not more:
                wire.close(mode.notify)
                return
            data += more
            while (found := command(data)) is not None:
                parts, size = found
                data = data[size:]
                answer = self._answer(parts, time.monotonic() - seconds_since_received(wire.sock))
                if mode.silent or self._is_hung(parts):
                    continue
                if mode.alert:
                    wire.write(answer[:5])
                    wire.write_raw(wire.alert())
                    return
                wire.write(answer + mode.behind)
                answered += 1
                if answered == mode.answers:
                    wire.close(mode.notify)
                    return

    def _is_hung(self, parts: list[bytes]) -> bool:
        return bool(self.hung_tenants) and parts[0] != b"PING" and int(parts[1], 16) in self.hung_tenants

    def _answer(self, parts: list[bytes], came_at: float) -> bytes:
        if parts[0] == b"PING":
            return b"+PONG\r\n"
        ident = parts[2].decode()
        with self.lock:
            safe, left = parts[0] == b"Q.ASK", _time_left(parts[3])
            self.counts.arrivals.append(Arrival(came_at, time.monotonic(), ident, safe, left))
            self.counts.runs[ident] += 1
            self.received_ids.add(ident)
            if parts[0] == b"Q.DO":
                self.counts.changes[ident] += 1
        if self.work:
            self._use_cpu("request", self.work)
        if self.delay:
            time.sleep(self.delay)
        size = self.tenant_values.get(int(parts[1], 16), self.value)
        value = (b"ran " + parts[2]).ljust(size, b".")
        return b"*3\r\n$%d\r\n%b\r\n" % (len(value), value) + NOTHING + NOTHING


def _time_left(options: bytes) -> float:
    """Seconds that the ingress will still wait, from the request's options; 0 if not stated."""
    fields = dict(option.partition(b"=")[::2] for option in options.split(b","))
    return int(fields.get(b"d", b"0")) / 1000


def command(data: bytes) -> tuple[list[bytes], int] | None:
    """The first command in the buffer and its size, or None while it is incomplete."""
    lines = data.split(b"\r\n", 1)
    if len(lines) < 2:
        return None
    at, parts = len(lines[0]) + 2, []
    for _ in range(int(lines[0][1:])):
        end = data.find(b"\r\n", at)
        if end < 0:
            return None
        size = int(data[at + 1 : end])
        at = end + 2 + size + 2
        if at > len(data):
            return None
        parts.append(data[end + 2 : at - 2])
    return parts, at


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="Address and port.")
@click.option("--certificate", help="PEM file with certificate, chain and key; serves TLS until killed.")
@click.option("--clients", help="PEM file of trusted roots; callers must show a certificate.")
def main(listen: str, certificate: str | None, clients: str | None) -> None:
    """Run a box; commands on standard input: start, mode, set, restart, forget, stats, cut, end."""
    host, _, port = listen.rpartition(":")
    box = Box(address=(host, int(port)))
    print(json.dumps({"address": box.address}), flush=True)
    if certificate is not None:
        box.forget_sessions(load_context(certificate, clients))
        signal.pause()
    for line in sys.stdin:
        asked = json.loads(line)
        answer = control(box, asked)
        print(json.dumps(answer), flush=True)
        if asked["do"] == "end":
            return


def control(box: Box, asked: dict[str, Any]) -> dict[str, Any]:
    """Executes one control command."""
    what = asked["do"]
    if what in ("start", "restart", "forget") and "certificate" in asked:
        context = load_context(asked["certificate"], asked.get("clients"))
        if what == "restart":
            box.restart(context)
        else:
            box.forget_sessions(context)
    elif what == "restart":
        box.restart()
    if what == "mode":
        box.mode = Mode(**asked["mode"])
    if what == "set":
        for name in ("work", "delay", "value", "cores", "cold_from", "cold_time", "started"):
            if name in asked:
                setattr(box, name, asked[name])
        if "tenant_values" in asked:
            box.tenant_values = {int(tenant): size for tenant, size in asked["tenant_values"]}
        if "hung_tenants" in asked:
            box.hung_tenants = frozenset(asked["hung_tenants"])
    if what == "cut":
        box.cut_all()
    if what == "stats":
        with box.lock:
            counts = box.counts
            return {
                "full": counts.full,
                "resumed": counts.resumed,
                "failed": counts.failed,
                "connections": counts.connections,
                "open": counts.open,
                "runs": dict(counts.runs),
                "changes": dict(counts.changes),
                "events": [(event.at, event.what, event.cpu) for event in counts.events],
                "cpu": time.process_time(),
                "started": box.started,
            }
    return {"ok": True, "started": box.started}


def load_context(certificate: str, clients: str | None) -> ssl.SSLContext:
    """A server's TLS context from files; the certificate file also holds the key."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(Path(certificate))
    if clients is not None:
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(clients)
    return context


if __name__ == "__main__":
    main()
