"""One connection to a backend: it is dialled, carries one command at a time and ends with a reason code.

The outcome of a failed command depends on the bytes written: until its last byte is written the backend can't
have run it, and afterwards it may have.
"""

from __future__ import annotations

import errno
import math
import socket
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from standflow.isolation import run_isolated
from standflow.messages import Outcome, Result
from standflow.net import resp
from standflow.net.flow import Flow, FlowBudget
from standflow.net.loop import ERROR_EVENTS, IN, NO_EVENT, OUT, Coroutine, Loop, Task, error_reason
from standflow.net.stream import READ_SIZE, Stream
from standflow.net.transient_errors import TRANSIENT_ERRORS
from standflow.route_set import Route

REPLY_STALL_TIMEOUT = 0.1  # seconds within which the rest of a reply must follow its beginning
PAUSE_STALL_TIMEOUT = 2.0  # the same for what a sound backend may write after a pause
UNREADABLE_REPLY = frozenset(("bad_framing", "stalled"))  # the backend has answered, but not readably
VALUE_STALL_TIMEOUT = 15.0  # the same for more of a long value, up to its line end
LOGGED_PAUSE_SECONDS = 5.0  # for which a client takes nothing of a long value
# Connect failures caused by a shortage on this machine.
LOCAL_CONNECT_ERRORS = frozenset(
    f"connect_failed:{errno.errorcode[code]}"
    for code in TRANSIENT_ERRORS | {errno.EADDRNOTAVAIL, errno.EAGAIN}
)


RESTARTED = "restarted"  # reason of the end of a connection to an earlier process of a next hop


class ReplyPart(Enum):
    """What a connection waits for, as the log names it."""

    BEGINNING = "the beginning of an answer"
    REST = "the rest of an answer"
    VALUE_BEGINNING = "the beginning of a long value"
    VALUE = "the rest of a long value"
    LINE_END = "the line end of a long value"
    FIGURES = "the figures behind a long value"


STALL_TIMEOUTS = {  # seconds without another byte after which a long value counts as stalled
    ReplyPart.VALUE_BEGINNING: PAUSE_STALL_TIMEOUT,
    ReplyPart.VALUE: VALUE_STALL_TIMEOUT,
    ReplyPart.LINE_END: VALUE_STALL_TIMEOUT,
    ReplyPart.FIGURES: PAUSE_STALL_TIMEOUT,
}


class PendingCommand:
    """A command to be sent to a next hop once. `on_result` is called once, unless the command is given up."""

    __slots__ = (
        "on_value",
        "write_started",
        "connection",
        "is_attempt",
        "decode",
        "encode",
        "on_result",
        "deadline",
        "fully_written",
        "rest_timeout",
    )

    def __init__(
        self,
        encode: Callable[[], tuple[resp.Part, ...]],
        decode: Callable[[resp.Reply], Result],
        on_result: Callable[[Result], None],
    ) -> None:
        self.encode, self.decode, self.on_result = encode, decode, on_result
        self.connection: Connection | None = None
        self.is_attempt = False  # as opposed to a probe
        # Called when a long value begins; returns false if nobody wants it any more.
        self.on_value: Callable[[Flow], bool] | None = None
        # Seconds without another byte after which an incomplete short reply counts as stalled. Short, so that
        # another attempt can be made in time, unless there can't be one.
        self.rest_timeout = REPLY_STALL_TIMEOUT
        self.deadline = math.inf  # writing must not start from this time on
        self.write_started = False  # the first byte may have been written
        self.fully_written = False  # the last byte has been written


class Admission(Protocol):
    """Limits the opening of connections and is notified of their progress."""

    def refusal(self, hop: str) -> Outcome | None:
        """Returns None if an attempt may dial now, otherwise the outcome that the attempt ends with."""

    def dial_started(self, hop: str, stream: Stream) -> None:
        """A connection is being dialled."""

    def opened(self, connection: Connection, reason: str | None) -> None:
        """Dialling ended: `reason` is empty on success, the failure's code, or None if it was given up."""

    def idle_ahead(self, connection: Connection) -> None:
        """A connection that was opened ahead of any attempt is idle."""

    def closed(self, connection: Connection) -> None:
        """An established connection has ended, for its `reason`."""


class ConnectionOwner(Protocol):
    """What a connection needs from the pool that it belongs to."""

    loop: Loop
    log: Callable[[str], None]
    flows: FlowBudget
    dial_timeout: float
    admission: Admission | None
    forwards: int  # attempts whose command was fully written

    def release(self, connection: Connection) -> None:
        """Returns a connection that has carried its command to the pool."""

    def closed(self, connection: Connection) -> None:
        """Removes a connection that has ended."""


class Hop:
    """A next hop of the route set and the connections to it."""

    __slots__ = ("connections", "idle", "route", "writes_end_at")

    def __init__(self, route: Route) -> None:
        self.route = route
        self.connections: set[Connection] = set()
        self.idle: list[Connection] = []  # most recently used last
        self.writes_end_at: float | None = None  # time from which no command may start to be written


class Connection:
    """One connection: dialling, then alternately busy and idle, until it ends with a reason code."""

    __slots__ = (
        "buffer", "created_at", "established", "flow", "hop", "idle_since", "mask", "owner", "pending",
        "reason", "reply_parts", "route", "served", "sock", "stream", "task",
    )  # fmt: skip

    def __init__(self, owner: ConnectionOwner, hop: Hop, pending: PendingCommand | None) -> None:
        self.owner, self.hop = owner, hop
        self.route = hop.route  # as it was when the connection was begun
        self.pending: PendingCommand | None = pending
        self.buffer = resp.Buffer()
        self.flow: Flow | None = None  # the long value that is being forwarded
        self.reply_parts = 0  # number of parts of the reply that contains this value
        self.mask = IN
        self.reason = "given_up"
        self.served = 0
        self.established = False
        self.created_at = owner.loop.now()
        self.idle_since = self.created_at
        self.sock: socket.socket
        self.stream: Stream
        self.task: Task | None = None

    @property
    def is_current(self) -> bool:
        """False if the next hop is another process by now, at this or at another address."""
        now = self.hop.route
        return (self.route.address, self.route.up_since) == (now.address, now.up_since)

    def run(self) -> Coroutine[None]:
        """Dials, serves commands and cleans up."""
        outcome, opening = Outcome.CONNECT_FAILED, True  # the outcome until a command is fully written
        try:
            loop, address = self.owner.loop, self.route.address
            failed = yield from loop.connect(self.sock, address, self.owner.dial_timeout)
            failed = failed or (yield from self.stream.open())
            self.reason, opening = failed, False
            self._report_opened(failed)
            if (
                failed in LOCAL_CONNECT_ERRORS
            ):  # it says nothing about the backend, which would be avoided for it
                outcome = Outcome.MOOT
            if not failed:
                self.reason = yield from self._serve()
        finally:
            self._clean_up(outcome, opening)

    def _clean_up(self, unwritten_outcome: Outcome, opening: bool) -> None:
        """Ends what is under way, whatever fails of it: the request must learn its outcome.

        `unwritten_outcome`: of a command that is not fully written; `opening`: dialling has not ended.
        """
        log, outcome = self.owner.log, unwritten_outcome
        if opening:
            run_isolated(log, self._report_opened, None)
        pending, self.pending = self.pending, None
        if self.reason == RESTARTED:  # it says nothing about the next hop as it is now
            outcome = Outcome.MOOT
        if pending is not None and pending.fully_written:
            outcome = Outcome.ERROR if self.reason in UNREADABLE_REPLY else Outcome.RESET
        flow, self.flow = self.flow, None
        if flow is not None:
            run_isolated(log, flow.abort)
            # Behind a complete value only the figures can be missing.
            outcome = Outcome.OK if flow.complete else outcome
        run_isolated(log, self.owner.closed, self)
        if pending is not None:
            pending.on_result(Result(outcome))

    def _report_opened(self, reason: str | None) -> None:
        admission = self.owner.admission
        self.established = reason == ""
        if admission is None:
            return
        ahead = self.pending is None and reason == ""
        if ahead:
            self.owner.release(self)
        admission.opened(self, reason)
        if ahead and self in self.hop.idle:
            admission.idle_ahead(self)

    def _serve(self) -> Coroutine[str]:
        ready = OUT  # the first command can be written
        while True:
            if (late := self._expiry_reason()) and ready & OUT:
                return late
            try:
                reason = self._handle_events(ready)
            except OSError as error:  # including one that occurs right after the connection was established
                return error_reason(error)
            if reason:
                return reason
            if self._awaited is ReplyPart.BEGINNING:
                ready = yield self.mask
            elif (ready := (yield from self._wait_for_rest())) == NO_EVENT:
                self.owner.log(f"nexthop: {self.hop.route.hop} stalled, waiting for {self._awaited.value}")
                return "stalled"

    @property
    def _awaited(self) -> ReplyPart:
        """The part of a reply that comes next."""
        if self.flow is None and not self.buffer.data:
            return ReplyPart.BEGINNING
        if self.flow is None:
            return ReplyPart.VALUE_BEGINNING if self.buffer.awaits_value else ReplyPart.REST
        if self.flow.remaining:
            return ReplyPart.VALUE
        return ReplyPart.FIGURES if self.flow.complete else ReplyPart.LINE_END

    def _wait_for_rest(self) -> Coroutine[int]:
        """Waits for more of a reply. While a long value's client takes nothing, reading and time pause."""
        while self.flow is not None and not self.flow.complete and not self.flow.capacity:
            self.flow.wait_for_capacity()
            ready = yield from self.owner.loop.wait(self.mask & ~IN, LOGGED_PAUSE_SECONDS)
            if ready == NO_EVENT:
                self._log_pause(self.flow)
            if ready & ERROR_EVENTS or self.flow is None:
                return ready
            if self.flow.capacity:  # possibly just as the pause ended, before reading was resumed
                return ready or IN
        return (yield from self.owner.loop.wait(self.mask, self._stall_timeout()))

    def _log_pause(self, flow: Flow) -> None:
        self.owner.log(
            f"nexthop: {self.hop.route.hop} paused for {LOGGED_PAUSE_SECONDS:.0f} s,"
            " as a client takes nothing of its long value:"
            f" buffered={flow.buffered} capacity={flow.capacity} values={flow.flows.open}"
        )

    def _stall_timeout(self) -> float:
        """Seconds without another byte after which the reply counts as stalled."""
        if self._awaited is not ReplyPart.REST:
            return STALL_TIMEOUTS[self._awaited]
        return REPLY_STALL_TIMEOUT if self.pending is None else self.pending.rest_timeout

    def _capacity_available(self) -> None:
        """Called by the client's side, or as another value ends: a fault here is none of theirs.

        Reading goes on at the end of the pause in any case.
        """
        run_isolated(self.owner.log, self._resume_reading)

    def _resume_reading(self) -> None:
        """Continues reading after the client took some bytes; the stream itself may hold buffered data."""
        if self.task is not None and not self.task.running:
            self.owner.loop.call_later(0.0, self.owner.loop.resume, self.task, IN)

    def _begin_value(self, parts: int, size: int) -> str:
        """Starts forwarding a long value as it arrives."""
        pending, flow = self.pending, Flow(self.owner.flows, size, self._capacity_available)
        assert pending is not None
        self.flow, self.reply_parts = flow, parts
        if pending.on_value is None or not pending.on_value(flow):
            self.flow = self.pending = None
            flow.abort()
            pending.on_result(Result(Outcome.OK))  # it was served, but its client no longer waits
            return "given_up"
        data = bytes(self.buffer.data)
        self.buffer.data.clear()
        return self._forward_value(data)

    def _forward_value(self, data: bytes) -> str:
        """Forwards received bytes of a long value; what follows the value goes to the buffer."""
        flow, pending, stream = self.flow, self.pending, self.stream
        if flow is None or pending is None:
            return "given_up"
        value, rest = data[: flow.remaining], data[flow.remaining :]
        if value:
            flow.put(value)
        self.buffer.feed(rest)
        if not flow.remaining and not flow.complete and len(self.buffer.data) >= 2:
            if not self.buffer.data.startswith(b"\r\n"):
                return "bad_framing"
            del self.buffer.data[:2]
            flow.finish()
        if not flow.complete:
            return stream.end_reason
        try:
            following = self.buffer.value_trailer(self.reply_parts)
        except resp.FramingError:
            return "bad_framing"
        if following is None:
            return stream.end_reason
        self.flow = self.pending = None
        self.served += 1
        more = bool(self.buffer.data)
        if not more and not stream.end_reason:
            self.owner.release(self)
        pending.on_result(Result(Outcome.OK, None, *resp.decode_trailer(following)))
        return "unasked_bytes" if more else stream.end_reason

    def _handle_events(self, ready: int) -> str:
        """Reads and writes as the events allow. Returns the reason code if the connection ends."""
        stream = self.stream
        if ready & OUT:
            self._write()
        if not ready & (IN | ERROR_EVENTS):
            return ""
        flow = self.flow
        data = (
            stream.read() if flow is None or not flow.remaining else stream.read(flow.capacity or READ_SIZE)
        )
        if stream.wants_write:
            self._update_mask()
        if not data:
            return stream.end_reason
        if self.pending is None or not self.pending.fully_written:
            return "unasked_bytes"  # a reply without a command: the framing can't be trusted any more
        if flow is not None:
            return self._forward_value(data)
        self.buffer.feed(data)
        if (long := self.buffer.long_reply()) is not None:
            return self._begin_value(*long)
        try:
            reply = self.buffer.reply()
            result = None if reply is None else self.pending.decode(reply[0])
        except resp.FramingError:
            return "bad_framing"
        if result is None:
            return stream.end_reason
        pending, self.pending = self.pending, None
        self.served += 1
        more = bool(self.buffer.data)
        if not more and not stream.end_reason:  # before the result is reported, so that a retry can reuse it
            self.owner.release(self)
        pending.on_result(result)
        return "unasked_bytes" if more else stream.end_reason

    def _expiry_reason(self) -> str:
        """Reason code if the pending command must not be started any more.

        It is checked here because a late loop handles connection events before timers that are already due.
        """
        pending = self.pending
        if pending is None or pending.write_started:
            return ""
        now, writes_end_at = self.owner.loop.now(), self.hop.writes_end_at
        if writes_end_at is not None and now >= writes_end_at:
            return "drained"
        return "given_up" if now >= pending.deadline else ""

    def begin(self, pending: PendingCommand) -> bool:
        """Starts a command on an idle connection. Returns false if the next hop has closed it meanwhile."""
        if not self.stream.usable():
            return False
        self.pending, pending.connection = pending, self
        try:
            self._write()
        except OSError:
            # The first write failed, so that no byte of the command has left this machine.
            self.pending, pending.connection, pending.write_started = None, None, False
            return False
        if self.task is not None:
            self.owner.loop.watch(self.task, self.mask)
        return True

    def _write(self) -> None:
        """Writes at once, and polls for writability only if bytes remain."""
        pending, stream = self.pending, self.stream
        if stream.unsent or stream.wants_write:
            stream.flush()
        if pending is not None and not pending.fully_written:
            if not pending.write_started:
                pending.write_started = True
                stream.write(*pending.encode())
            if not stream.unsent:
                pending.fully_written = True
                self.owner.forwards += pending.is_attempt
        self._update_mask()

    def _update_mask(self) -> None:
        stream = self.stream
        self.mask = IN | OUT if stream.unsent or stream.wants_write else IN
