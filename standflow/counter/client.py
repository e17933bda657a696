"""Calls to the quota counter over HTTP/1.1, written one behind another.

I/O only: what a call means is decided elsewhere.

How a call ended is decided by bytes, as for branches: where its last byte was not written nothing was added;
from then on it may have been, or may yet be, until the counter says. A call is given up after `limit` seconds
and told as uncertain; the connection stays, and an answer that comes after all settles it, late.
"""

from __future__ import annotations

import math
import re
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

import h11

from standflow.net.loop import ERROR_EVENTS, IN, OUT, Coroutine, Loop, Task, Timer, error_reason

READ_SIZE = 16384
DIAL_LIMIT = 0.25  # seconds until a connection must be up
IDLE_LIMIT = 3.0  # seconds; the counter closes what stands idle for about 10 s or less
WAIT_LIMIT = 2.0  # seconds without any answer after which a connection with open calls is given up
MOST_QUIET = 4  # connections that owe an answer beside which another one is opened
PIPELINE = 16  # calls open on one connection; more open another one, while there may be more
MAX_BODY = 64  # bytes; seven digits, a point and an exponent are far less
MAX_LIFE = 60.0
TARGET = b"/target"  # stands for a call's in the frame that all calls share
ASKED = h11.Request(method="POST", target="/", headers=[("Host", "counter")])
END = h11.EndOfMessage()
NAME = re.compile(r"[A-Za-z0-9._~-]{1,64}")
TOTAL = re.compile(rb"-?\d{1,20}(\.\d{1,20})?([eE][-+]?\d{1,3})?")


class How(Enum):
    """What is known of a call's effect."""

    ADDED = "added"
    NOTHING = "nothing"  # surely not added
    UNCERTAIN = "uncertain"  # it may have been added, or may yet be


@dataclass(slots=True, frozen=True)
class Counted:
    """How a call ended. `total`: None where the counter gave none that can be read; `took`: seconds."""

    how: How
    total: float | None
    took: float
    full: bool = False  # turned away: the counter has too much to do
    late: bool = False  # settles a call that was told as uncertain


Ended = Callable[[Counted], None]


class Call:
    """One call: an amount added to a name that lives so long if it is new."""

    __slots__ = ("began", "ended", "said", "settled", "timer", "whole")

    def __init__(self, said: bytes, ended: Ended, began: float) -> None:
        self.said, self.ended, self.began = said, ended, began
        self.whole = False  # its last byte is written
        self.settled = False
        self.timer: Timer | None = None


class Connection:
    """One connection: calls go out in order, and their answers come in that order."""

    __slots__ = (
        "body", "calls", "client", "heard", "http", "last", "made", "mask", "open", "out", "reason", "sock",
        "status", "task", "unwritten", "up",
    )  # fmt: skip

    def __init__(self, client: Client, sock: socket.socket) -> None:
        self.client, self.sock = client, sock
        self.calls: deque[Call] = deque()  # written or being written, the oldest first
        self.unwritten: deque[Call] = deque()
        self.out = b""
        self.http = h11.Connection(our_role=h11.CLIENT, max_incomplete_event_size=4096)
        self.open = False  # the parser expects an answer, and has so much of it:
        self.status, self.last, self.body = 0, False, bytearray()
        self.up = False
        self.mask = OUT
        self.reason = "moved"
        self.made = self.heard = client.loop.now()
        self.task: Task | None = None

    @property
    def load(self) -> int:
        """Calls that are not answered."""
        return len(self.calls) + len(self.unwritten)

    def quiet(self, now: float, limit: float) -> bool:
        """Whether its oldest call has waited for so long, with no byte heard meanwhile."""
        return bool(self.calls) and now - max(self.heard, self.calls[0].began) >= limit

    def live(self) -> Coroutine[None]:
        """The whole life of the connection."""
        try:
            failed = yield from self.client.loop.connect(self.sock, self.client.address, DIAL_LIMIT)
            self.reason = failed or (yield from self._serve())
        finally:
            self.client.closed(self)

    def _serve(self) -> Coroutine[str]:
        self.up = True
        ready = OUT
        while True:
            try:
                reason = self._advance(ready)
            except OSError as error:
                return error_reason(error)
            except h11.RemoteProtocolError:
                return "bad_http"
            if reason:
                return reason
            ready = yield self.mask

    def _advance(self, ready: int) -> str:
        if ready & OUT:
            self.push()
        if not ready & (IN | ERROR_EVENTS):
            return ""
        try:
            data = self.sock.recv(READ_SIZE)
        except BlockingIOError:
            return ""
        if not data:
            return "peer_closed"
        self.heard = self.client.loop.now()
        if not self.calls:
            return "unasked_bytes"
        self.http.receive_data(data)
        return self._answers()

    def _answers(self) -> str:
        """Takes the answers that are there; the reason of the connection's end, or nothing."""
        while self.calls:
            if not self.open:
                self._expect()
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                return ""
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.last = any(name == b"connection" and b"close" in value for name, value in event.headers)
            elif isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > MAX_BODY:
                    return self._answered() or "bad_total"
            elif isinstance(event, h11.EndOfMessage):
                if reason := self._answered():
                    return reason
                if self.last:
                    return "peer_closed"
                self.http.start_next_cycle()
                self.open = False
            elif isinstance(event, h11.ConnectionClosed):
                return "peer_closed"
        return "unasked_bytes" if self.http.trailing_data[0] else ""

    def _expect(self) -> None:
        """The parser is told of the request that the next answer belongs to; its bytes went out long ago."""
        self.http.send(ASKED)
        self.http.send(END)
        self.open, self.status, self.last = True, 0, False
        self.body.clear()

    def _answered(self) -> str:
        """The oldest call has its answer; the reason why the connection is of no further use, or nothing."""
        call, status = self.calls.popleft(), self.status
        if status == 200:
            total = read_total(bytes(self.body))
            self.client.settle(call, How.ADDED, total)
            return "" if total is not None else "bad_total"
        if status in (400, 404, 503):
            self.client.settle(call, How.NOTHING, None, full=status == 503)
            return ""
        self.client.settle(call, How.UNCERTAIN, None)
        return f"status:{status}"

    def push(self) -> None:
        """Writes what can be written at once."""
        while self.out or self.unwritten:
            if not self.out:
                call = self.unwritten.popleft()
                self.calls.append(call)
                self.out = call.said
            try:
                self.out = self.out[self.sock.send(self.out) :]
            except BlockingIOError:
                break
            if not self.out:
                self.calls[-1].whole = True
        self.mask = IN | OUT if self.out else IN


class Client:
    """The counter at one address, which may move."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        address: tuple[str, int],
        limit: float = 0.08,
        most: int = 32,
    ) -> None:
        """`limit`: seconds after which a call is given up; `most`: connections the counter holds for us."""
        self.loop, self.log, self.address, self.limit, self.most = loop, log, address, limit, most
        self.connections: list[Connection] = []
        self.depth = PIPELINE  # halved where a connection's end takes calls along
        loop.every(1.0, self._sweep)

    def add(self, name: str, amount: float, life: float, ended: Ended) -> None:
        """Adds an amount. `ended` is called once in `limit` seconds, and again where that was uncertain
        and the answer came after all. `life`: seconds until a new name is forgotten.
        """
        call = Call(encode(name, amount, life, self.address), ended, self.loop.now())
        call.timer = self.loop.call_later(self.limit, self._late, call)
        connection = self._connection()
        if connection is None:
            self.loop.call_later(0.0, self.settle, call, How.NOTHING, None)
            return
        connection.unwritten.append(call)
        if connection.up:
            try:
                connection.push()
            except OSError as error:
                connection.reason = error_reason(error)
                self._end(connection)
                return
            if connection.task is not None:
                self.loop.watch(connection.task, connection.mask)

    def move(self, address: tuple[str, int]) -> None:
        """Another counter answers from now on; what is open at the one before ends as its bytes say."""
        self.address = address
        for connection in list(self.connections):
            self._end(connection)

    def close(self) -> None:
        """Ends every connection."""
        for connection in list(self.connections):
            connection.reason = "shutdown"
            self._end(connection)

    def settle(self, call: Call, how: How, total: float | None, full: bool = False) -> None:
        """Tells a call's end, or what came of it after all."""
        late, call.settled = call.settled, True
        if call.timer is not None:
            call.timer.cancel()
        if not (late and how is How.UNCERTAIN):
            call.ended(Counted(how, total, self.loop.now() - call.began, full, late))

    def closed(self, connection: Connection) -> None:
        """The end of a connection: its one log line, and its calls' ends."""
        if connection in self.connections:
            self.connections.remove(connection)
        connection.sock.close()
        left = [*connection.calls, *connection.unwritten]
        if connection.open and connection.status == 200 and connection.calls:
            # It has said that it was added; only the total never came.
            self.settle(connection.calls[0], How.ADDED, None)
        age = self.loop.now() - connection.made
        self.log(f"end counter {connection.reason} open={len(left)} age={age:.2f}")
        if left:
            self.depth = max(1, self.depth // 2)
        for call in left:
            if not call.settled:
                self.settle(call, How.UNCERTAIN if call.whole else How.NOTHING, None)

    def _late(self, call: Call) -> None:
        """The time is up: what was not written whole has had no effect, and never will."""
        if call.settled:
            return
        for connection in self.connections:
            if call in connection.unwritten:
                connection.unwritten.remove(call)
                self.settle(call, How.NOTHING, None)
                return
            if call in connection.calls and not call.whole:
                connection.reason = "stuck"
                self._end(connection)
                return
        self.settle(call, How.UNCERTAIN, None)

    def _connection(self) -> Connection | None:
        """The one with the fewest calls open; a new one where all have many, or have fallen silent."""
        now = self.loop.now()
        answering = [one for one in self.connections if not one.quiet(now, self.limit)]
        all_quiet = not answering and len(self.connections) < MOST_QUIET
        best = min(answering or self.connections, key=lambda one: one.load, default=None)
        full = len(self.connections) >= self.most
        if best is not None and (full or best.load < self.depth and not all_quiet):
            return best
        try:
            sock = self.loop.open_socket()
        except OSError as error:
            self.log(f"counter: no socket: {error}")
            return best
        connection = Connection(self, sock)
        self.connections.append(connection)
        try:
            connection.task = self.loop.spawn(sock.fileno(), connection.live())
        except OSError as error:
            connection.reason = error_reason(error)
            self.closed(connection)
            return best
        return connection

    def _end(self, connection: Connection) -> None:
        # Nobody may take one that ends at its coroutine's next yield only.
        if connection in self.connections:
            self.connections.remove(connection)
        if connection.task is not None:
            self.loop.end(connection.task)

    def _sweep(self) -> None:
        """Idle ones are closed before the counter would; one that says nothing for long is given up."""
        self.depth = min(PIPELINE, self.depth + 1)
        now = self.loop.now()
        for connection in list(self.connections):
            if not connection.load and now - connection.heard > IDLE_LIMIT:
                connection.reason = "idle"
                self._end(connection)
            elif connection.quiet(now, WAIT_LIMIT):
                connection.reason = "silent"
                self._end(connection)


def encode(name: str, amount: float, life: float, address: tuple[str, int]) -> bytes:
    """A call on the wire. ValueError where the counter would not take it."""
    if not NAME.fullmatch(name):
        raise ValueError(f"'{name}' is no name for a count")
    if not math.isfinite(amount) or abs(amount) > 1e9:
        raise ValueError(f"{amount} can't be added")
    written = f"{amount:.6f}".rstrip("0").rstrip(".")
    ttl = max(1, min(round(life * 1000), round(MAX_LIFE * 1000)))
    target = b"/v1/count/%b?add=%b&ttl_ms=%d" % (name.encode(), written.encode(), ttl)
    return _frame(address).replace(TARGET, target, 1)


@lru_cache(8)
def _frame(address: tuple[str, int]) -> bytes:
    """A call with a stand-in for its target; all else is the same in every call."""
    http = h11.Connection(our_role=h11.CLIENT)
    headers = [("Host", f"{address[0]}:{address[1]}"), ("Content-Length", "0")]
    request = h11.Request(method="POST", target=TARGET, headers=headers)
    return (http.send(request) or b"") + (http.send(END) or b"")


def read_total(body: bytes) -> float | None:
    """The total of an answer, or None where there is no number in it."""
    text = body.strip()
    if len(body) > MAX_BODY or not TOTAL.fullmatch(text):
        return None
    total = float(text)
    return total if math.isfinite(total) else None
