"""A planned restart as the platform performs it: SIGTERM, clients that keep sending, then SIGKILL.

Records the client side of one ingress: when each request was sent, relative to SIGTERM, and what was received
until the process was killed. A request is lost if it has no complete answer, unless its connection had been
closed in order by the time it was sent (its client then retries elsewhere) and no backend received it.
"""

from __future__ import annotations

import contextlib
import heapq
import itertools
import os
import selectors
import signal
import socket
import subprocess
import time
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from lab.callers import command
from lab.scheduling import SchedulingMonitor, SchedulingSample, samples

MAX_COUNTED_DEADLINE_SECONDS = 3.0  # cap on the longest deadline (protocol page, planned restarts)
KILL_DELAY_SECONDS = 0.7  # from SIGTERM, on top of the capped deadline
IN_FLIGHT_SECONDS = 0.02  # sent this long before a close, a request may cross the close on the wire
READ_AFTER_KILL_SECONDS = 0.3  # drains what the process wrote before SIGKILL
STACK_SECONDS = 0.05  # for the traceback that Python writes on SIGABRT, where faulthandler is enabled


def kill_time(longest_deadline: float) -> float:
    """Seconds from SIGTERM to the earliest SIGKILL, given the deployment's longest deadline in seconds."""
    return min(longest_deadline, MAX_COUNTED_DEADLINE_SECONDS) + KILL_DELAY_SECONDS


@dataclass(slots=True, frozen=True)
class Send:
    """A request to send `at` seconds from SIGTERM. `timeout`: seconds; None for the default of the run."""

    at: float
    safe: bool
    tenant: int | None = None  # None: a new tenant for this request
    timeout: float | None = None


@dataclass(slots=True)
class Sent:
    """A request that was sent; times in seconds from SIGTERM."""

    ident: str
    safe: bool
    at: float
    tenant: int = 0
    timeout: float = 0.0
    answer: bytes = b""
    answered_at: float | None = None


@dataclass(slots=True, eq=False)
class Client:
    """One connection and its requests, in order. `disconnects_at`: closes then, even with requests open.

    `open_until_kill`: after the ingress closes the connection, the client keeps its side open until SIGKILL.
    """

    sends: list[Send]
    connects_at: float = -1.0
    disconnects_at: float | None = None
    open_until_kill: bool = False
    sock: socket.socket | None = None
    sent: list[Sent] = field(default_factory=list)
    connected_at: float | None = None
    data: bytes = b""
    ended_at: float | None = None
    ended_by: str = ""


@dataclass(slots=True)
class Shutdown:
    """The result of one planned restart."""

    sent: list[Sent]
    lost: list[Sent]
    reset: int  # connections reset before SIGKILL
    ended_at: float | None  # when the process exited by itself, seconds from SIGTERM; None: it was killed
    terminated: float = 0.0  # when SIGTERM was sent, monotonic clock
    killed_at: float = 0.0  # when the process was killed, or would have been, seconds from SIGTERM
    state_at_kill: str = ""  # of a process that was killed, see `process_state`
    scheduling: list[SchedulingSample] = field(default_factory=list)  # of the process, seconds from SIGTERM


def shut_down(
    process: subprocess.Popen[bytes],
    address: tuple[str, int],
    clients: list[Client],
    longest_deadline: float,
    wait: float,
    arrived: Collection[str],
    signals: Iterable[tuple[float, int]] = (),
    extend_by_starvation: bool = True,
    first_serial: int = 0,
    spread: int = 1,
    prepare: Callable[[float, int], None] = lambda at, number: None,
) -> Shutdown:
    """Runs the clients against an ingress that gets SIGTERM at second 0 and SIGKILL at the earliest time.

    `wait`: timeout in seconds that clients send by default; `arrived`: filled by backends with the request
    ids they received; `signals`: additional ones, as (time, number); `prepare` is called before each.
    `extend_by_starvation`: delays SIGKILL by the time that the process waited for a CPU. `first_serial`:
    request ids count up from it; `spread`: ingresses per tenant.
    """
    loop = _ClientLoop(address, clients, wait, first_serial, spread)
    begin = min([client.connects_at for client in clients] + [0.0])
    loop.origin = time.monotonic() - begin
    due = sorted([(0.0, int(signal.SIGTERM)), *signals])
    kill_at, ended_at, terminated = kill_time(longest_deadline), None, 0.0
    monitor = SchedulingMonitor(process.pid)
    # Delayed by the time without a processor, so that the result does not depend on other load.
    while (now := loop.now()) < kill_at + extend_by_starvation * monitor.waited:
        if ended_at is None:
            monitor.poll(now)
        while due and due[0][0] <= now:
            at, number = due.pop(0)
            prepare(at, number)
            process.send_signal(number)
            # Sent late, or the process was stopped for longer than planned.
            if number == signal.SIGCONT or at == 0.0:
                kill_at += loop.now() - at
            if at == 0.0:
                terminated = loop.now() + loop.origin
        loop.step(0.002)
        if ended_at is None and now > 0 and process.poll() is not None:
            ended_at = loop.now()
    killed_at, state = loop.now(), ""
    if ended_at is None:
        state = process_state(process.pid)
        _kill_with_traceback(process)
        monitor.read(loop.now())
    process.wait()
    while loop.now() < killed_at + READ_AFTER_KILL_SECONDS:
        loop.read(0.01)
    loop.close()
    everything = [sent for client in clients for sent in client.sent]
    lost = [sent for client in clients for sent in client.sent if _lost(client, sent, arrived)]
    reset = sum(client.ended_by == "reset" and (client.ended_at or 0) < kill_at for client in clients)
    scheduling = samples(monitor.readings)
    return Shutdown(everything, lost, reset, ended_at, terminated, killed_at, state, scheduling)


def process_state(pid: int) -> str:
    """State and processor time of a process, such as `R user 1.20 s system 0.31 s`; empty if it is gone.

    The state is that of proc(5): R runs or waits for a processor, S sleeps, D waits for a disk, T is stopped.
    """
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return ""
    user, system = (int(ticks) / os.sysconf("SC_CLK_TCK") for ticks in fields[11:13])
    return f"{fields[0]} user {user:.2f} s system {system:.2f} s"


def _kill_with_traceback(process: subprocess.Popen[bytes]) -> None:
    """Ends a process at once; where faulthandler is enabled, it writes its stack first.

    The handler of SIGABRT runs none of the program's code, so no answer can follow the signal.
    """
    os.kill(process.pid, signal.SIGABRT)  # Popen's own methods would reap it before its last reading
    end = time.monotonic() + STACK_SECONDS
    while time.monotonic() < end and not _has_exited(process.pid):
        time.sleep(0.001)
    os.kill(process.pid, signal.SIGKILL)
    os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)


def _has_exited(pid: int) -> bool:
    """True once a child has exited; it can still be waited for."""
    return os.waitid(os.P_PID, pid, os.WEXITED | os.WNOWAIT | os.WNOHANG) is not None


def _lost(client: Client, sent: Sent, arrived: Collection[str]) -> bool:
    if sent.answered_at is not None:
        return False
    in_order = client.ended_by == "closed" and client.ended_at is not None
    return not in_order or sent.at < (client.ended_at or 0.0) - IN_FLIGHT_SECONDS or sent.ident in arrived


class _ClientLoop:
    """Event loop that runs all clients on one thread."""

    def __init__(
        self, address: tuple[str, int], clients: list[Client], wait: float, first_serial: int, spread: int
    ) -> None:
        self.address, self.clients, self.wait, self.spread = address, clients, wait, spread
        self.origin = 0.0
        self.serial = first_serial
        self.selector = selectors.DefaultSelector()
        self.closed_by_ingress: list[
            socket.socket
        ] = []  # closed by the ingress, of clients with open_until_kill
        self.due: list[tuple[float, int, Callable[[], None]]] = []  # a heap
        self.order = itertools.count()  # tie-breaker for equal times
        for client in clients:
            self._schedule_client(client)

    def now(self) -> float:
        return time.monotonic() - self.origin

    def step(self, pause: float) -> None:
        """Performs the actions that are due, then reads what was received."""
        while self.due and self.due[0][0] <= self.now():
            _, _, act = heapq.heappop(self.due)
            act()
        self.read(pause)

    def _schedule_client(self, client: Client) -> None:
        """Schedules all actions of a client, so that idle clients cost nothing per step."""
        self._schedule(client.connects_at, lambda: self._connect(client))
        for send in client.sends:
            self._schedule(max(send.at, client.connects_at), lambda send=send: self._send(client, send))  # type: ignore[misc]
        if client.disconnects_at is not None:
            self._schedule(client.disconnects_at, lambda: self._disconnect(client))

    def _schedule(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.due, (at, next(self.order), act))

    def _disconnect(self, client: Client) -> None:
        if client.sock is not None:
            self._close(client, "left")

    def _connect(self, client: Client) -> None:
        try:
            client.sock = socket.create_connection(self.address, 2.0)
        except OSError:
            client.ended_by, client.ended_at = "refused", self.now()
            return
        client.connected_at = self.now()
        client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client.sock.setblocking(False)
        self.selector.register(client.sock, selectors.EVENT_READ, client)

    def _send(self, client: Client, send: Send) -> None:
        self.read(0.0)  # notices a close before sending on the connection
        if client.sock is None:
            return
        self.serial += 1
        ident, safe = f"{self.serial:016x}", send.safe
        tenant = self.serial if send.tenant is None else send.tenant
        timeout = self.wait if send.timeout is None else send.timeout
        kind = "look" if safe else "change"
        options = f"c={kind},t=plain,d={timeout * 1000:.0f},units=1,spread={self.spread},first=0"
        parts = [b"Q.ASK" if safe else b"Q.DO", b"%016x" % tenant, ident.encode(), options.encode()]
        try:
            client.sock.sendall(command(parts))
        except OSError:
            self._close(client, "reset")
            return
        at = self.now()  # a request's deadline counts from its last byte
        client.sent.append(Sent(ident, safe, at, tenant, timeout))

    def read(self, pause: float) -> None:
        """Reads what was received, waiting up to `pause` seconds."""
        for key, _ in self.selector.select(pause):
            client: Client = key.data
            assert client.sock is not None
            try:
                data = client.sock.recv(65536)
            except BlockingIOError:
                continue
            except OSError:
                self._close(client, "reset")
                continue
            if not data:
                self._close(client, "closed")
                continue
            client.data += data
            self._answers(client)

    def _answers(self, client: Client) -> None:
        """Takes complete answers off the buffer: lines and bulk strings."""
        for sent in client.sent:
            if sent.answered_at is not None:
                continue
            line, found, rest = client.data.partition(b"\r\n")
            if not found:
                return
            if line.startswith(b"$") and line != b"$-1":
                size = int(line[1:])
                if len(rest) < size + 2:
                    return
                line, rest = rest[:size], rest[size + 2 :]
            client.data, sent.answer, sent.answered_at = rest, line, self.now()

    def _close(self, client: Client, how: str) -> None:
        sock, client.sock = client.sock, None
        if sock is not None:
            self.selector.unregister(sock)
            if client.open_until_kill and how == "closed":
                self.closed_by_ingress.append(sock)
            else:
                with contextlib.suppress(OSError):
                    sock.close()
        client.ended_by, client.ended_at = how, self.now()

    def close(self) -> None:
        for client in self.clients:
            if client.sock is not None:
                self._close(client, "open")
        for sock in self.closed_by_ingress:
            sock.close()
        self.selector.close()
