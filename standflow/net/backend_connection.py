"""One connection to a backend: it is dialled, carries one command at a time, and ends for a reason.

How a command ends is decided by bytes: where its last byte was not written the backend can't have run it,
from then on it may have.
"""

from __future__ import annotations

import errno
import math
import socket
from collections.abc import Callable
from typing import Protocol

from standflow.exchange import Outcome, Result, Route
from standflow.net import resp
from standflow.net.flow import Flow, Flows
from standflow.net.loop import BROKEN, IN, OUT, TICK, Coroutine, Loop, Task, broken
from standflow.net.momentary import MOMENTARY_LACK
from standflow.net.stream import READ_SIZE, Stream

STALL = 0.1  # seconds in which the rest of an answer follows its beginning
SPOILT = frozenset(("bad_framing", "stalled"))  # it has answered, though nothing that can be read
FLOW_STALL = 15.0  # seconds in which something more of a long value comes
# Why no connection came up for want of something of this machine's own.
OWN_LACKS = frozenset(
    f"connect_failed:{errno.errorcode[code]}" for code in MOMENTARY_LACK | {errno.EADDRNOTAVAIL, errno.EAGAIN}
)


class PendingCommand:
    """Something to ask of a next hop once; ended is called once, unless it is given up."""

    __slots__ = ("begin", "begun", "connection", "counted", "decode", "encode", "ended", "until", "whole")

    def __init__(
        self,
        encode: Callable[[], tuple[bytes, ...]],
        decode: Callable[[resp.Reply], Result],
        ended: Callable[[Result], None],
    ) -> None:
        self.encode, self.decode, self.ended = encode, decode, ended
        self.connection: Connection | None = None
        self.counted = False  # a branch, not a probe
        self.begin: Callable[[Flow], bool] | None = None  # a long value begins; false where nobody wants it
        self.until = math.inf  # from then on nothing of it may begin
        self.begun = False  # its first byte may be written
        self.whole = False  # its last one is


class Admission(Protocol):
    """Who limits the opening of connections, where anybody does."""

    def refusal(self, hop: str) -> Outcome | None:
        """None where a branch may dial now, else the outcome that it ends with."""

    def began(self, hop: str, stream: Stream) -> None:
        """A connection is dialled."""

    def opened(self, connection: Connection, reason: str | None) -> None:
        """It has come up (empty), failed (the reason) or was given up from here (None)."""

    def rested(self, connection: Connection) -> None:
        """One that was opened ahead of any branch is idle."""

    def ended(self, connection: Connection) -> None:
        """One that had come up has ended, for its `reason`."""


class ConnectionOwner(Protocol):
    """What a connection asks of the pool that it belongs to."""

    loop: Loop
    flows: Flows
    dial_timeout: float
    admission: Admission | None
    forwards: int  # attempts whose command was written whole

    def free(self, connection: Connection) -> None:
        """It has carried its command."""

    def closed(self, connection: Connection) -> None:
        """It has ended."""


class Hop:
    """A next hop of the route set and the connections to it."""

    __slots__ = ("connections", "idle", "route", "shut_at")

    def __init__(self, route: Route) -> None:
        self.route = route
        self.connections: set[Connection] = set()
        self.idle: list[Connection] = []  # the one used last is last
        self.shut_at: float | None = None  # from when on nothing new may be written


class Connection:
    """One connection: dialling, then busy and idle in turns, until it ends for a reason."""

    __slots__ = (
        "buffer", "pending", "flow", "hop", "idle_since", "made", "mask", "parts", "reason", "served", "side",
        "sock", "stream", "task", "up",
    )  # fmt: skip

    def __init__(self, side: ConnectionOwner, hop: Hop, pending: PendingCommand | None) -> None:
        self.side, self.hop = side, hop
        self.pending: PendingCommand | None = pending
        self.buffer = resp.Buffer()
        self.flow: Flow | None = None  # the long value that is being passed on
        self.parts = 0  # of the reply that it is of
        self.mask = IN
        self.reason = "given_up"
        self.served = 0
        self.up = False
        self.made = side.loop.now()
        self.idle_since = self.made
        self.sock: socket.socket
        self.stream: Stream
        self.task: Task | None = None

    def live(self) -> Coroutine[None]:
        """The whole life of the connection."""
        outcome, opening = Outcome.CONNECT_FAILED, True  # until a command may have been written
        try:
            loop, address = self.side.loop, self.hop.route.address
            failed = yield from loop.connect(self.sock, address, self.side.dial_timeout)
            failed = failed or (yield from self.stream.open())
            self.reason, opening = failed, False
            self._opened(failed)
            if failed in OWN_LACKS:  # it says nothing about the backend, which would be avoided for it
                outcome = Outcome.MOOT
            if not failed:
                self.reason = yield from self._serve()
        finally:
            if opening:
                self._opened(None)
            pending, self.pending = self.pending, None
            if pending is not None and pending.whole:
                outcome = Outcome.ERROR if self.reason in SPOILT else Outcome.RESET
            flow, self.flow = self.flow, None
            if flow is not None:
                flow.cut()
                outcome = Outcome.OK if flow.whole else outcome  # what follows the value is no part of it
            self.side.closed(self)
            if pending is not None:
                pending.ended(Result(outcome))

    def _opened(self, reason: str | None) -> None:
        admission = self.side.admission
        self.up = reason == ""
        if admission is None:
            return
        ahead = self.pending is None and reason == ""
        if ahead:
            self.side.free(self)
        admission.opened(self, reason)
        if ahead and self in self.hop.idle:
            admission.rested(self)

    def _serve(self) -> Coroutine[str]:
        ready = OUT  # the first command is due
        while True:
            if (late := self._too_late()) and ready & OUT:
                return late
            try:
                reason = self._advance(ready)
            except OSError as error:  # also one that comes right after the connection came up
                return broken(error)
            if reason:
                return reason
            if self.flow is not None and not self.flow.whole:
                ready = yield from self._wait_for_more()
                if ready == TICK:
                    return "stalled"
            elif self.flow is None and not self.buffer.data:
                ready = yield self.mask
            elif (ready := (yield from self.side.loop.wait(self.mask, STALL))) == TICK:
                return "stalled"  # a length that doesn't fit: the rest never comes

    def _wait_for_more(self) -> Coroutine[int]:
        """The next bytes of a long value; while its client takes nothing, none are read and no time runs."""
        assert self.flow is not None
        while not self.flow.room:
            ready = yield self.mask & ~IN
            if ready & BROKEN or self.flow is None or self.flow.room:
                return ready
        if self.flow.left:
            return (yield from self.side.loop.wait(self.mask, FLOW_STALL))
        return (yield from self.side.loop.wait(self.mask, STALL))

    def _more(self) -> None:
        """The client has taken something: reading goes on, at once, as bytes may lie in the stream itself."""
        if self.task is not None and not self.task.running:
            self.side.loop.call_later(0.0, self.side.loop.resume, self.task, IN)

    def _begin(self, parts: int, size: int) -> str:
        """A long value begins: it is passed on as it comes."""
        pending, flow = self.pending, Flow(self.side.flows, size, self._more)
        assert pending is not None
        self.flow, self.parts = flow, parts
        if pending.begin is None or not pending.begin(flow):
            self.flow = self.pending = None
            flow.cut()
            pending.ended(Result(Outcome.OK))  # it was served, but nobody waits for it any more
            return "given_up"
        data = bytes(self.buffer.data)
        self.buffer.data.clear()
        return self._pour(data)

    def _pour(self, data: bytes) -> str:
        """Passes on what has come of a long value; what follows it goes to the buffer."""
        flow, pending, stream = self.flow, self.pending, self.stream
        if flow is None or pending is None:
            return "given_up"
        value, rest = data[: flow.left], data[flow.left :]
        if value:
            flow.put(value)
        self.buffer.feed(rest)
        if not flow.left and not flow.whole and len(self.buffer.data) >= 2:
            if not self.buffer.data.startswith(b"\r\n"):
                return "bad_framing"
            del self.buffer.data[:2]
            flow.done()
        if not flow.whole:
            return stream.ended
        try:
            following = self.buffer.rest(self.parts)
        except resp.FramingError:
            return "bad_framing"
        if following is None:
            return stream.ended
        self.flow = self.pending = None
        self.served += 1
        more = bool(self.buffer.data)
        if not more and not stream.ended:
            self.side.free(self)
        pending.ended(Result(Outcome.OK, None, *resp.decode_rest(following)))
        return "unasked_bytes" if more else stream.ended

    def _advance(self, ready: int) -> str:
        """Does what the events allow; the reason of the connection's end, or nothing."""
        stream = self.stream
        if ready & OUT:
            self._write()
        if not ready & (IN | BROKEN):
            return ""
        flow = self.flow
        data = stream.read() if flow is None or not flow.left else stream.read(flow.room or READ_SIZE)
        if stream.busy:
            self._arm()
        if not data:
            return stream.ended
        if self.pending is None or not self.pending.whole:
            return "unasked_bytes"  # an answer to nothing: the framing can't be trusted any more
        if flow is not None:
            return self._pour(data)
        self.buffer.feed(data)
        if (long := self.buffer.long_reply()) is not None:
            return self._begin(*long)
        try:
            reply = self.buffer.reply()
            result = None if reply is None else self.pending.decode(reply[0])
        except resp.FramingError:
            return "bad_framing"
        if result is None:
            return stream.ended
        pending, self.pending = self.pending, None
        self.served += 1
        more = bool(self.buffer.data)
        if not more and not stream.ended:  # before the result is told: what follows from it can use it
            self.side.free(self)
        pending.ended(result)
        return "unasked_bytes" if more else stream.ended

    def _too_late(self) -> str:
        """The reason for which a pending command that has not begun may not begin any more.

        What comes up is told before timers that are as due: the loop itself may be late.
        """
        pending = self.pending
        if pending is None or pending.begun:
            return ""
        now, shut_at = self.side.loop.now(), self.hop.shut_at
        if shut_at is not None and now >= shut_at:
            return "drained"
        return "given_up" if now >= pending.until else ""

    def begin(self, pending: PendingCommand) -> bool:
        """Takes a command on an idle connection; false where the next hop has closed it by now."""
        if not self.stream.fresh():
            return False
        self.pending, pending.connection = pending, self
        try:
            self._write()
        except OSError:
            # Nothing of the command left this machine, or it would be no error of the first write.
            self.pending, pending.connection, pending.begun = None, None, False
            return False
        if self.task is not None:
            self.side.loop.watch(self.task, self.mask)
        return True

    def _write(self) -> None:
        """Writes at once, and arms the poll only for what was not taken."""
        pending, stream = self.pending, self.stream
        if stream.left or stream.busy:
            stream.flush()
        if pending is not None and not pending.whole:
            if not pending.begun:
                pending.begun = True
                stream.write(*pending.encode())
            if not stream.left:
                pending.whole = True
                self.side.forwards += pending.counted
        self._arm()

    def _arm(self) -> None:
        stream = self.stream
        self.mask = IN | OUT if stream.left or stream.busy else IN
