"""A box: a stand-in for a shared timetable server, as a process of its own or within a test.

It speaks RESP2, plain or in TLS, counts what runs by id, and holds its handshakes and requests to what it can
do at the moment: right after a start a part of its cores, rising evenly. It fails in the ways named in Mode.

    python -m lab.box                               # one JSON command a line in, one JSON answer out
    python -m lab.box --listen HOST:PORT --certificate FILE       # serves until it is ended
"""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import ssl
import struct
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

NOTHING = b"$-1\r\n"
TCP_INFO = struct.Struct("=8x12I")  # up to the milliseconds since data was received last


@dataclass
class Mode:
    """How a box behaves; the default is well."""

    plain: bool = False  # answers a handshake with plain text
    stall_at: int | None = None  # the flight of the handshake that is never sent
    cut_after: int | None = None  # bytes on the wire after which a connection is cut
    split: int | None = None  # bytes in each write
    notify: bool = True  # close_notify at an end
    answers: int | None = None  # answers on a connection until it ends
    alert: bool = False  # a fatal alert in the middle of an answer
    behind: bytes = b""  # more behind each answer
    silent: bool = False  # takes requests and never answers
    reset_accepts: bool = False  # ends connections at once


@dataclass
class Event:
    """Something that took the box's processor, at Unix time `at`: seconds of one core."""

    at: float
    what: str  # full, resumed, failed or request
    cpu: float


@dataclass
class Arrival:
    """A request that has come whole, at `at` seconds of the monotonic clock by the kernel, and was read at
    `read_at`; `left`: seconds, as it says.
    """

    at: float
    read_at: float
    ident: str
    safe: bool
    left: float


@dataclass
class Counts:
    """What a box has seen."""

    full: int = 0
    resumed: int = 0
    failed: int = 0
    connections: int = 0
    open: int = 0
    runs: Counter[str] = field(default_factory=Counter)
    changes: Counter[str] = field(default_factory=Counter)  # of them, what must never run twice
    events: list[Event] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)


class Box:
    """A server on a port of its own. `work`: processor seconds of a request; `cores` are shared by all."""

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
        """`cores` 0: as fast as the machine. `delay`: seconds that a request waits without any work."""
        self.context, self.mode = context, mode or Mode()
        self.delay = delay
        self.value = 0  # bytes of a value at least
        self.hung_tenants: frozenset[int] = frozenset()  # their requests are taken and never answered
        self.work, self.cores, self.cold_from, self.cold_time = work, cores, cold_from, cold_time
        self.started = 0.0  # Unix time; long ago
        self.counts = Counts()
        self.received_ids: set[str] = (
            set()
        )  # ids of requests that have come whole; several boxes may share it
        self.lock = threading.Lock()
        self.free_at = 0.0
        self.wires: set[Wire] = set()
        self.acceptor = Acceptor(self._handle_connection, address)
        self.address = self.acceptor.address

    # What a test or the control does to it.

    def forget_sessions(self, context: ssl.SSLContext) -> None:
        """Another context knows none of the sessions made before; also a swap of the certificate."""
        self.context = context

    def restart(self, context: ssl.SSLContext | None = None) -> None:
        """Cold, with every connection reset and all sessions lost; the port stays."""
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
        """Ends it."""
        self.acceptor.close()
        self.cut_all()

    def __enter__(self) -> Box:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def run_counts(self) -> Counter[str]:
        """How often each id ran."""
        with self.lock:
            return Counter(self.counts.runs)

    # What it does.

    def capacity(self, at: float) -> float:
        """Processor seconds a second at a Unix time."""
        age = at - self.started
        if age >= self.cold_time:
            return self.cores
        return self.cores * (self.cold_from + (1 - self.cold_from) * max(0.0, age) / self.cold_time)

    def _spend(self, what: str, cpu: float, done: float = 0.0) -> None:
        """Holds the caller until the work has had its turn; `done` seconds of it passed on the real clock."""
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
            self._spend("failed", wire.cpu, wire.cpu)
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
        self._spend("resumed" if resumed else "full", wire.cpu, wire.cpu)
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
                if mode.silent or self._hangs(parts):
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

    def _hangs(self, parts: list[bytes]) -> bool:
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
            self._spend("request", self.work)
        if self.delay:
            time.sleep(self.delay)
        value = (b"ran " + parts[2]).ljust(self.value, b".")
        return b"*3\r\n$%d\r\n%b\r\n" % (len(value), value) + NOTHING + NOTHING


def seconds_since_received(sock: socket.socket) -> float:
    """Seconds since the kernel received data on a connection, however late this process reads it.

    `tcpi_last_data_recv` of tcp_info (linux/tcp.h): the twelfth of the numbers behind eight bytes of flags.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
    return float(TCP_INFO.unpack(info)[-1]) / 1000


def _time_left(options: bytes) -> float:
    """Seconds that a request says its ingress will wait; 0 where it says nothing."""
    said = dict(option.partition(b"=")[::2] for option in options.split(b","))
    return int(said.get(b"d", b"0")) / 1000


def command(data: bytes) -> tuple[list[bytes], int] | None:
    """The first command in some bytes and its size, or None while it is not whole."""
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
@click.option("--certificate", help="PEM file with certificate, chain and key: serve TLS until ended.")
@click.option("--clients", help="PEM file of roots: callers must show a certificate.")
def main(listen: str, certificate: str | None, clients: str | None) -> None:
    """The box as a process: `start`, `mode`, `restart`, `forget`, `stats`, `cut`, `end` on standard input."""
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
    """Carries out one command of the control."""
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
    """A server's context from files; the key lies in the same file as the certificate."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(Path(certificate))
    if clients is not None:
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(clients)
    return context


if __name__ == "__main__":
    main()
