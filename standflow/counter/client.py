"""Client of the quota counter: HTTP/1.1 calls, pipelined on a few connections.

I/O only; what a call means is decided by the callers.

As for attempts, the effect of a call follows from the bytes exchanged. Until the last byte of the request is
written, nothing has been added; from then on the amount may have been added, or may be added later, until the
counter answers. After `timeout` seconds a call is reported as uncertain. Its connection stays open, and an
answer that arrives later settles the call after all.
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

from standflow.isolation import run_for_each, run_isolated
from standflow.net.loop import ERROR_EVENTS, IN, OUT, Coroutine, Loop, Task, Timer, error_reason

READ_SIZE_BYTES = 16384
CONNECT_TIMEOUT_SECONDS = 0.25
IDLE_TIMEOUT_SECONDS = 3.0  # the counter closes idle connections after about 10 s, or sooner
SILENCE_TIMEOUT_SECONDS = 2.0  # closes a connection that has open calls and receives nothing
MAX_SILENT_CONNECTIONS = 4  # with this many open and none answering, no further one is opened
PIPELINE_DEPTH = 16  # open calls on one connection before another one is opened, if allowed
MAX_BODY_BYTES = 64  # well above seven digits, a point and an exponent
MAX_TTL_SECONDS = 60.0
TARGET_PLACEHOLDER = b"/target"  # stands for the call's target in the cached request template
PARSER_REQUEST = h11.Request(method="POST", target="/", headers=[("Host", "counter")])
END_OF_MESSAGE = h11.EndOfMessage()
NAME_PATTERN = re.compile(r"[A-Za-z0-9._~-]{1,64}")
TOTAL_PATTERN = re.compile(rb"-?\d{1,20}(\.\d{1,20})?([eE][-+]?\d{1,3})?")


class CallEffect(Enum):
    """What is known of a call's effect on the total."""

    ADDED = "added"
    NOT_ADDED = "nothing"  # and it never will be
    UNCERTAIN = "uncertain"  # it may have been added, or may still be


@dataclass(slots=True, frozen=True)
class CallResult:
    """The result of a call. `total` is None where the counter sent none that can be parsed."""

    effect: CallEffect
    total: float | None
    latency: float  # seconds
    overloaded: bool = False  # the counter rejected the call
    late: bool = False  # settles a call that was reported as uncertain


OnResult = Callable[[CallResult], None]


class Call:
    """One request to add an amount to a name."""

    __slots__ = ("on_result", "request", "settled", "started_at", "timer", "written")

    def __init__(self, request: bytes, on_result: OnResult, started_at: float) -> None:
        self.request, self.on_result, self.started_at = request, on_result, started_at
        self.written = False  # up to the last byte
        self.settled = False
        self.timer: Timer | None = None


class Connection:
    """One connection. Calls are written in order, and their answers arrive in that order."""

    __slots__ = (
        "awaiting_response", "body", "calls", "client", "close_after_response", "close_reason", "connected",
        "created_at", "event_mask", "last_received", "parser", "sock", "status", "task", "unsent",
        "unwritten",
    )  # fmt: skip

    def __init__(self, client: CounterClient, sock: socket.socket) -> None:
        self.client, self.sock = client, sock
        self.calls: deque[Call] = deque()  # written or being written, oldest first
        self.unwritten: deque[Call] = deque()
        self.unsent = b""
        self.parser = h11.Connection(our_role=h11.CLIENT, max_incomplete_event_size=4096)
        self.awaiting_response = False  # the parser expects a response; what it has read of it follows:
        self.status, self.close_after_response, self.body = 0, False, bytearray()
        self.connected = False
        self.event_mask = OUT
        self.close_reason = "moved"
        self.created_at = self.last_received = client.loop.now()
        self.task: Task | None = None

    @property
    def open_calls(self) -> int:
        """The number of unanswered calls."""
        return len(self.calls) + len(self.unwritten)

    def is_silent(self, now: float, timeout: float) -> bool:
        """Whether the oldest call has waited for `timeout` seconds and nothing was received meanwhile."""
        return bool(self.calls) and now - max(self.last_received, self.calls[0].started_at) >= timeout

    def run(self) -> Coroutine[None]:
        """Connects and serves calls until the connection ends."""
        try:
            failed = yield from self.client.loop.connect(
                self.sock, self.client.address, CONNECT_TIMEOUT_SECONDS
            )
            self.close_reason = failed or (yield from self._serve())
        finally:
            self.client.on_closed(self)

    def _serve(self) -> Coroutine[str]:
        self.connected = True
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
            ready = yield self.event_mask

    def _advance(self, ready: int) -> str:
        if ready & OUT:
            self.flush()
        if not ready & (IN | ERROR_EVENTS):
            return ""
        try:
            data = self.sock.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            return ""
        if not data:
            return "peer_closed"
        self.last_received = self.client.loop.now()
        if not self.calls:
            return "unasked_bytes"
        self.parser.receive_data(data)
        return self._read_responses()

    def _read_responses(self) -> str:
        """Parses the responses received so far. Returns the reason to close the connection, or ""."""
        while self.calls:
            if not self.awaiting_response:
                self._expect_response()
            event = self.parser.next_event()
            if event is h11.NEED_DATA:
                return ""
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.close_after_response = any(
                    name == b"connection" and b"close" in value for name, value in event.headers
                )
            elif isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > MAX_BODY_BYTES:
                    return self._finish_call() or "bad_total"
            elif isinstance(event, h11.EndOfMessage):
                if reason := self._finish_call():
                    return reason
                if self.close_after_response:
                    return "peer_closed"
                self.parser.start_next_cycle()
                self.awaiting_response = False
            elif isinstance(event, h11.ConnectionClosed):
                return "peer_closed"
        return "unasked_bytes" if self.parser.trailing_data[0] else ""

    def _expect_response(self) -> None:
        """Gives the parser the request that the next response belongs to; its bytes were written earlier."""
        self.parser.send(PARSER_REQUEST)
        self.parser.send(END_OF_MESSAGE)
        self.awaiting_response, self.status, self.close_after_response = True, 0, False
        self.body.clear()

    def _finish_call(self) -> str:
        """Settles the oldest call by its response. Returns the reason to close the connection, or ""."""
        call, status = self.calls.popleft(), self.status
        if status == 200:
            total = parse_total(bytes(self.body))
            self.client.settle(call, CallEffect.ADDED, total)
            return "" if total is not None else "bad_total"
        if status in (400, 404, 503):
            self.client.settle(call, CallEffect.NOT_ADDED, None, overloaded=status == 503)
            return ""
        self.client.settle(call, CallEffect.UNCERTAIN, None)
        return f"status:{status}"

    def flush(self) -> None:
        """Writes as many calls as the socket takes without blocking."""
        while self.unsent or self.unwritten:
            if not self.unsent:
                call = self.unwritten.popleft()
                self.calls.append(call)
                self.unsent = call.request
            try:
                self.unsent = self.unsent[self.sock.send(self.unsent) :]
            except BlockingIOError:
                break
            if not self.unsent:
                self.calls[-1].written = True
        self.event_mask = IN | OUT if self.unsent else IN


class CounterClient:
    """A client of the counter at one address, which can be changed."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        address: tuple[str, int],
        timeout: float = 0.08,
        max_connections: int = 32,
    ) -> None:
        """`max_connections`: the counter's limit of connections from one client."""
        self.loop, self.log, self.address, self.timeout, self.max_connections = (
            loop,
            log,
            address,
            timeout,
            max_connections,
        )
        self.connections: list[Connection] = []
        self.depth = PIPELINE_DEPTH  # halved when a connection ends with open calls
        loop.every(1.0, self._sweep)

    def add(self, name: str, amount: float, ttl: float, on_result: OnResult) -> None:
        """Adds an amount. A new name expires after `ttl` seconds.

        `on_result` is called once within the timeout, and a second time if that result was uncertain and the
        answer arrives later.
        """
        call = Call(encode_request(name, amount, ttl, self.address), on_result, self.loop.now())
        call.timer = self.loop.call_later(self.timeout, self._time_out, call)
        if not run_isolated(self.log, self._begin, call):  # whoever adds has other calls to make
            self.loop.call_later(0.0, self.settle, call, CallEffect.UNCERTAIN, None)

    def _begin(self, call: Call) -> None:
        """Hands a call to a connection, and writes as much of it as can be written."""
        connection = self._pick_connection()
        if connection is None:
            self.loop.call_later(0.0, self.settle, call, CallEffect.NOT_ADDED, None)
            return
        connection.unwritten.append(call)
        if connection.connected:
            try:
                connection.flush()
            except OSError as error:
                connection.close_reason = error_reason(error)
                self._end(connection)
                return
            if connection.task is not None:
                self.loop.watch(connection.task, connection.event_mask)

    def switch_address(self, address: tuple[str, int]) -> None:
        """Sends new calls to another counter and closes the connections to the previous one.

        Open calls there are settled by the bytes exchanged so far.
        """
        self.address = address
        for connection in list(self.connections):
            self._end(connection)

    def close(self) -> None:
        """Closes every connection."""
        for connection in list(self.connections):
            connection.close_reason = "shutdown"
            self._end(connection)

    def settle(self, call: Call, effect: CallEffect, total: float | None, overloaded: bool = False) -> None:
        """Reports the result of a call; for a call reported as uncertain, only a definite late result."""
        late, call.settled = call.settled, True
        if call.timer is not None:
            call.timer.cancel()
        if not (late and effect is CallEffect.UNCERTAIN):
            call.on_result(CallResult(effect, total, self.loop.now() - call.started_at, overloaded, late))

    def on_closed(self, connection: Connection) -> None:
        """Logs the end of a connection and settles its open calls."""
        if connection in self.connections:
            self.connections.remove(connection)
        connection.sock.close()
        left = [*connection.calls, *connection.unwritten]
        if connection.awaiting_response and connection.status == 200 and connection.calls:
            # The status confirms that the amount was added; only the total is missing.
            run_isolated(self.log, self.settle, connection.calls[0], CallEffect.ADDED, None)
        age = self.loop.now() - connection.created_at
        self.log(f"end counter {connection.close_reason} open={len(left)} age={age:.2f}")
        if left:
            self.depth = max(1, self.depth // 2)
        run_for_each(self.log, left, self._settle_by_bytes)

    def _settle_by_bytes(self, call: Call) -> None:
        """Settles a call whose connection has ended, by what was written of it."""
        if not call.settled:
            self.settle(call, CallEffect.UNCERTAIN if call.written else CallEffect.NOT_ADDED, None)

    def _time_out(self, call: Call) -> None:
        """Reports a call that exceeded the timeout.

        A call that is not fully written had no effect, and is dropped so that it never has one.
        """
        if call.settled:
            return
        for connection in self.connections:
            if call in connection.unwritten:
                connection.unwritten.remove(call)
                self.settle(call, CallEffect.NOT_ADDED, None)
                return
            if call in connection.calls and not call.written:
                connection.close_reason = "stuck"
                self._end(connection)
                return
        self.settle(call, CallEffect.UNCERTAIN, None)

    def _pick_connection(self) -> Connection | None:
        """The connection with the fewest open calls, or a new one if all are at their depth or silent."""
        now = self.loop.now()
        responsive = [one for one in self.connections if not one.is_silent(now, self.timeout)]
        all_silent = not responsive and len(self.connections) < MAX_SILENT_CONNECTIONS
        best = min(responsive or self.connections, key=lambda one: one.open_calls, default=None)
        at_limit = len(self.connections) >= self.max_connections
        if best is not None and (at_limit or best.open_calls < self.depth and not all_silent):
            return best
        try:
            sock = self.loop.open_socket()
        except OSError as error:
            self.log(f"counter: cannot create a socket: {error}")
            return best
        connection = Connection(self, sock)
        self.connections.append(connection)
        try:
            connection.task = self.loop.spawn(sock.fileno(), connection.run())
        except OSError as error:
            connection.close_reason = error_reason(error)
            self.on_closed(connection)
            return best
        return connection

    def _end(self, connection: Connection) -> None:
        # Removed at once, as the coroutine ends only at its next yield and must get no new calls until then.
        if connection in self.connections:
            self.connections.remove(connection)
        if connection.task is not None:
            self.loop.end(connection.task)

    def _sweep(self) -> None:
        """Closes idle connections before the counter does, and those that stay silent with open calls."""
        self.depth = min(PIPELINE_DEPTH, self.depth + 1)
        now = self.loop.now()
        for connection in list(self.connections):
            if not connection.open_calls and now - connection.last_received > IDLE_TIMEOUT_SECONDS:
                connection.close_reason = "idle"
                self._end(connection)
            elif connection.is_silent(now, SILENCE_TIMEOUT_SECONDS):
                connection.close_reason = "silent"
                self._end(connection)


def encode_request(name: str, amount: float, ttl: float, address: tuple[str, int]) -> bytes:
    """The bytes of a call. Raises ValueError for a name or an amount that the counter would reject."""
    if not NAME_PATTERN.fullmatch(name):
        raise ValueError(f"invalid counter name '{name}'")
    if not math.isfinite(amount) or abs(amount) > 1e9:
        raise ValueError(f"amount {amount} is out of range")
    written = f"{amount:.6f}".rstrip("0").rstrip(".")
    ttl_ms = max(1, min(round(ttl * 1000), round(MAX_TTL_SECONDS * 1000)))
    target = b"/v1/count/%b?add=%b&ttl_ms=%d" % (name.encode(), written.encode(), ttl_ms)
    return _request_template(address).replace(TARGET_PLACEHOLDER, target, 1)


@lru_cache(8)
def _request_template(address: tuple[str, int]) -> bytes:
    """A request with a placeholder for the target; everything else is the same in every call."""
    parser = h11.Connection(our_role=h11.CLIENT)
    headers = [("Host", f"{address[0]}:{address[1]}"), ("Content-Length", "0")]
    request = h11.Request(method="POST", target=TARGET_PLACEHOLDER, headers=headers)
    return (parser.send(request) or b"") + (parser.send(END_OF_MESSAGE) or b"")


def parse_total(body: bytes) -> float | None:
    """The total of a response body, or None if it holds no valid number."""
    text = body.strip()
    if len(body) > MAX_BODY_BYTES or not TOTAL_PATTERN.fullmatch(text):
        return None
    total = float(text)
    return total if math.isfinite(total) else None
