"""The next-hop side: pools of connections, dialling, branches and probes on the wire.

A connection carries one errand (a branch or a probe) at a time. How an errand ends is decided by bytes: where
the last byte of its command was not written the next hop can't have run it, from then on it may have.
"""

from __future__ import annotations

import errno
import math
import socket
from collections.abc import Callable
from typing import Protocol

from standflow.exchange import Branch, Exchange, Outcome, Phase, Result, Route, RouteSet
from standflow.net import resp
from standflow.net.closing import close_in_order
from standflow.net.flow import Flow, Flows
from standflow.net.loop import BROKEN, IN, OUT, TICK, Coroutine, Loop, Task, broken
from standflow.net.momentary import MOMENTARY_LACK
from standflow.net.stream import READ_SIZE, PlainStream, Stream
from standflow.platform_terms import HOLD_UP_SECONDS

STALL = 0.1  # seconds in which the rest of an answer follows its beginning
SPOILT = frozenset(("bad_framing", "stalled"))  # it has answered, though nothing that can be read
FLOW_BUDGET = 16 * 1024 * 1024  # bytes of long values on their way, where nothing else is said
FLOW_STALL = 15.0  # seconds in which something more of a long value comes
# Seconds for which a connection rests after an answer: a second one to the same command may follow some
# milliseconds late (0.5 to 7 where it was measured), and the next command would take it for its own.
REST = 0.025


class Errand:
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


# Why connections end that were not lost: whoever reads `ended` of Admission needs to tell.
OURS = frozenset(
    (
        *("idle", "stale", "cap", "drained", "restarted", "given_up", "close_idle", "rotated", "shutdown"),
        *("bad_framing", "stalled", "unasked_bytes"),
    )
)


# Why no connection came up for want of something of this machine's own.
OWN_LACKS = frozenset(
    f"connect_failed:{errno.errorcode[code]}" for code in MOMENTARY_LACK | {errno.EADDRNOTAVAIL, errno.EAGAIN}
)


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
        "buffer", "errand", "flow", "hop", "idle_since", "made", "mask", "parts", "reason", "served", "side",
        "sock", "stream", "task", "up",
    )  # fmt: skip

    def __init__(self, side: NextHops, hop: Hop, errand: Errand | None) -> None:
        self.side, self.hop = side, hop
        self.errand: Errand | None = errand
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
            errand, self.errand = self.errand, None
            if errand is not None and errand.whole:
                outcome = Outcome.ERROR if self.reason in SPOILT else Outcome.RESET
            flow, self.flow = self.flow, None
            if flow is not None:
                flow.cut()
                outcome = Outcome.OK if flow.whole else outcome  # what follows the value is no part of it
            self.side.closed(self)
            if errand is not None:
                errand.ended(Result(outcome))

    def _opened(self, reason: str | None) -> None:
        admission = self.side.admission
        self.up = reason == ""
        if admission is None:
            return
        ahead = self.errand is None and reason == ""
        if ahead:
            self.side.free(self)
        admission.opened(self, reason)
        if ahead and self in self.hop.idle:
            admission.rested(self)

    def _serve(self) -> Coroutine[str]:
        ready = OUT  # the first errand's command is due
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
        errand, flow = self.errand, Flow(self.side.flows, size, self._more)
        assert errand is not None
        self.flow, self.parts = flow, parts
        if errand.begin is None or not errand.begin(flow):
            self.flow = self.errand = None
            flow.cut()
            errand.ended(Result(Outcome.OK))  # it was served, but nobody waits for it any more
            return "given_up"
        data = bytes(self.buffer.data)
        self.buffer.data.clear()
        return self._pour(data)

    def _pour(self, data: bytes) -> str:
        """Passes on what has come of a long value; what follows it goes to the buffer."""
        flow, errand, stream = self.flow, self.errand, self.stream
        if flow is None or errand is None:
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
        self.flow = self.errand = None
        self.served += 1
        more = bool(self.buffer.data)
        if not more and not stream.ended:
            self.side.free(self)
        errand.ended(Result(Outcome.OK, None, *resp.decode_rest(following)))
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
        if self.errand is None or not self.errand.whole:
            return "unasked_bytes"  # an answer to nothing: the framing can't be trusted any more
        if flow is not None:
            return self._pour(data)
        self.buffer.feed(data)
        if (long := self.buffer.long_reply()) is not None:
            return self._begin(*long)
        try:
            reply = self.buffer.reply()
            result = None if reply is None else self.errand.decode(reply[0])
        except resp.FramingError:
            return "bad_framing"
        if result is None:
            return stream.ended
        errand, self.errand = self.errand, None
        self.served += 1
        more = bool(self.buffer.data)
        if not more and not stream.ended:  # before the result is told: what follows from it can use it
            self.side.free(self)
        errand.ended(result)
        return "unasked_bytes" if more else stream.ended

    def _too_late(self) -> str:
        """The reason for which an errand that has not begun may not begin any more.

        What comes up is told before timers that are as due: the loop itself may be late.
        """
        errand = self.errand
        if errand is None or errand.begun:
            return ""
        now, shut_at = self.side.loop.now(), self.hop.shut_at
        if shut_at is not None and now >= shut_at:
            return "drained"
        return "given_up" if now >= errand.until else ""

    def begin(self, errand: Errand) -> bool:
        """Takes an errand on an idle connection; false where the next hop has closed it by now."""
        if not self.stream.fresh():
            return False
        self.errand, errand.connection = errand, self
        try:
            self._write()
        except OSError:
            # Nothing of the command left this machine, or it would be no error of the first write.
            self.errand, errand.connection, errand.begun = None, None, False
            return False
        if self.task is not None:
            self.side.loop.watch(self.task, self.mask)
        return True

    def _write(self) -> None:
        """Writes at once, and arms the poll only for what was not taken."""
        errand, stream = self.errand, self.stream
        if stream.left or stream.busy:
            stream.flush()
        if errand is not None and not errand.whole:
            if not errand.begun:
                errand.begun = True
                stream.write(*errand.encode())
            if not stream.left:
                errand.whole = True
                self.side.forwards += errand.counted
        self._arm()

    def _arm(self) -> None:
        stream = self.stream
        self.mask = IN | OUT if stream.left or stream.busy else IN


class NextHops:
    """All next hops, by the route set; the exchange's next-hop side."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        exchange: Exchange,
        dial_timeout: float,
        idle_limit: float,
        drain_grace: float,
        max_connections: int,
        make: Callable[[Route, socket.socket], Stream] = lambda route, sock: PlainStream(sock),
        flows: Flows | None = None,
        rest: float = 0.0,
    ) -> None:
        self.loop, self.log, self.exchange, self.rest = loop, log, exchange, rest
        self.dial_timeout, self.idle_limit, self.drain_grace = dial_timeout, idle_limit, drain_grace
        self.max_connections = max_connections
        self.make = make
        self.flows = Flows(FLOW_BUDGET) if flows is None else flows
        self.tally = exchange.tally
        self.admission: Admission | None = None
        self.hops: dict[str, Hop] = {}
        self.connections = 0
        self.forwards = 0  # branches whose command was written whole
        loop.every(1.0, self._sweep)

    # The route set.

    def routes_told(self, routes: RouteSet) -> None:
        """Takes in what discovery says; what is missing from a whole set is gone."""
        told = {route.hop for route in routes.routes}
        for route in routes.routes:
            self._told(route)
        if routes.complete:
            for name in [name for name in self.hops if name not in told]:
                self._shut(self.hops[name])

    def _told(self, route: Route) -> None:
        hop = self.hops.get(route.hop)
        if hop is None:
            if route.phase is Phase.GONE:
                return
            hop = self.hops[route.hop] = Hop(route)
        before, hop.route = hop.route, route
        if (before.address, before.up_since) != (route.address, route.up_since):
            # Another process: what is idle belongs to the one before and would end as a reset.
            self._close_idle(hop, "restarted")
        if route.phase is Phase.SERVING:
            hop.shut_at = None
        else:
            self._shut(hop)

    def _shut(self, hop: Hop) -> None:
        """A next hop that drains or is gone: nothing new is written once the grace is over."""
        self._close_idle(hop, "drained")
        if hop.shut_at is None:
            # From when the change can have come at the earliest; and the first byte may leave so much later
            # than the clock was read.
            hop.shut_at = self.loop.heard + max(0.0, self.drain_grace - HOLD_UP_SECONDS)
            self.loop.call_at(hop.shut_at, self._grace_over, hop)

    def _grace_over(self, hop: Hop) -> None:
        if hop.shut_at is None or self.loop.now() < hop.shut_at:
            return  # it serves again
        for connection in list(hop.connections):
            # One that has begun to write goes on: a send's time is that of its first byte.
            if connection.errand is not None and not connection.errand.begun:
                self._end(connection, "drained")
        self._forget(hop)

    def _forget(self, hop: Hop) -> None:
        if hop.shut_at is not None and not hop.connections and self.hops.get(hop.route.hop) is hop:
            del self.hops[hop.route.hop]

    # Errands.

    def start(self, branch: Branch) -> None:
        """Takes a branch to its next hop; see exchange.NextHopSide."""
        message = branch.transaction.request.message

        def encode() -> tuple[bytes, ...]:
            return resp.encode_ask(message, branch.deadline - self.loop.now())

        def ended(result: Result) -> None:
            self.exchange.branch_ended(branch, result)

        branch.carrier = Errand(encode, read_answer, ended)
        branch.carrier.counted = True
        branch.carrier.until = branch.deadline
        branch.carrier.begin = lambda flow: self.exchange.branch_began(branch, flow)
        self._carry(branch.hop, branch.carrier)

    def give_up(self, branch: Branch) -> bool:
        """Closes the branch's connection; see exchange.NextHopSide."""
        errand: Errand = branch.carrier
        connection = errand.connection
        if connection is not None and connection.errand is errand:
            connection.errand = None
            self._end(connection, "given_up")
        return errand.whole

    def unsent(self, branch: Branch) -> bool:
        """See exchange.NextHopSide."""
        return not branch.carrier.whole

    def probe(self, name: str, ended: Callable[[Result], None]) -> None:
        """PING, on a connection like any other; given up when the dialling time is over twice."""
        errand = Errand(lambda: (resp.PING,), read_pong, lambda result: done(result))
        timer = self.loop.call_later(2 * self.dial_timeout, lambda: late())

        def done(result: Result) -> None:
            timer.cancel()
            ended(result)

        def late() -> None:
            if errand.connection is not None and errand.connection.errand is errand:
                errand.connection.errand = None
                self._end(errand.connection, "given_up")
            ended(Result(Outcome.TIMEOUT if errand.whole else Outcome.CONNECT_FAILED))

        self._carry(name, errand)

    def open_connections(self) -> dict[str, int]:
        """Connections that are up, by next hop."""
        up = {
            name: sum(one.up for one in hop.connections) for name, hop in self.hops.items() if hop.connections
        }
        return {name: number for name, number in up.items() if number}

    def close_idle(self, name: str) -> None:
        """Closes the idle connections to a next hop."""
        if name in self.hops:
            self._close_idle(self.hops[name], "close_idle")

    def _carry(self, name: str, errand: Errand) -> None:
        hop = self.hops.get(name)
        if hop is None or (hop.shut_at is not None and self.loop.now() >= hop.shut_at):
            self._fail(errand)
            return
        while (connection := self._rested(hop)) is not None:
            if connection.begin(errand):
                return
            self._end(connection, "stale")
        # A lack of this ingress's own is no word on the next hop, which would be avoided for it.
        if self.connections >= self.max_connections and not self._make_room():
            self._fail(errand, Outcome.MOOT)
            return
        refusal = None if self.admission is None else self.admission.refusal(name)
        if refusal is not None or not self._dial(hop, errand):
            self._fail(errand, refusal or Outcome.MOOT)

    def _rested(self, hop: Hop) -> Connection | None:
        """Of the idle connections that have rested the one used last: it is the least likely to be closed."""
        rested = self.loop.now() - self.rest
        for connection in reversed(hop.idle):
            if connection.idle_since <= rested or not connection.served:
                hop.idle.remove(connection)
                return connection
        return None

    def open_ahead(self, name: str) -> bool:
        """Opens a connection ahead of any branch; false where there is no room for one."""
        hop = self.hops.get(name)
        if hop is None or hop.shut_at is not None or self.connections >= self.max_connections:
            return False
        return self._dial(hop, None)

    def ready(self, name: str, number: int) -> bool:
        """True where so many connections to a next hop are idle, or on the way up ahead of any branch."""
        hop = self.hops.get(name)
        return hop is not None and sum(one.errand is None for one in hop.connections) >= number

    def _dial(self, hop: Hop, errand: Errand | None) -> bool:
        connection = Connection(self, hop, errand)
        try:
            connection.sock = self.loop.open_socket()
        except OSError as error:  # no descriptor left: the command was never written
            self.log(f"nexthop: no socket: {error}")
            return False
        self.tally("dials.busy" if hop.connections else "dials.first")
        connection.stream = self.make(hop.route, connection.sock)
        if errand is not None:
            errand.connection = connection
        hop.connections.add(connection)
        self.connections += 1
        if self.admission is not None:
            self.admission.began(hop.route.hop, connection.stream)
        try:
            connection.task = self.loop.spawn(connection.sock.fileno(), connection.live())
        except OSError as error:
            self.log(f"nexthop: {error}")
            connection.errand, connection.reason = None, broken(error)
            self.closed(connection)
            return False
        return True

    def _fail(self, errand: Errand, outcome: Outcome = Outcome.CONNECT_FAILED) -> None:
        """The outcome comes after the action that asked for the errand, as all outcomes do."""
        self.loop.call_later(0.0, errand.ended, Result(outcome))

    def close(self) -> None:
        """Ends every connection, at once; no results follow."""
        for connection in [c for hop in self.hops.values() for c in hop.connections]:
            connection.errand = None
            self._end(connection, "shutdown")

    # Connections.

    def free(self, connection: Connection) -> None:
        """A connection that has done its errand."""
        connection.idle_since = self.loop.now()
        if connection.hop.shut_at is None:
            connection.hop.idle.append(connection)
        else:
            self._end(connection, "drained")

    def closed(self, connection: Connection) -> None:
        """The end of a connection: its one log line."""
        hop = connection.hop
        hop.connections.discard(connection)
        if connection in hop.idle:
            hop.idle.remove(connection)
        connection.stream.close()
        close_in_order(connection.sock)
        if self.admission is not None and connection.up:
            self.admission.ended(connection)
        self.connections -= 1
        age, notes = self.loop.now() - connection.made, connection.stream.notes()
        self.log(
            f"end nexthop {hop.route.hop} {connection.reason} served={connection.served} age={age:.2f}{notes}"
        )
        self._forget(hop)

    def end(self, connection: Connection, reason: str) -> None:
        """Ends an idle connection from outside."""
        if connection in connection.hop.idle:
            self._end(connection, reason)

    def _end(self, connection: Connection, reason: str) -> None:
        connection.reason = reason
        # One that is at work just now ends at its next yield only: until then nobody may take it.
        if connection in connection.hop.idle:
            connection.hop.idle.remove(connection)
        if connection.task is not None:
            self.loop.end(connection.task)

    def _close_idle(self, hop: Hop, reason: str) -> None:
        for connection in list(hop.idle):
            self._end(connection, reason)

    def _make_room(self) -> bool:
        """At the cap the connection idle longest makes way."""
        oldest = min((h.idle[0] for h in self.hops.values() if h.idle), key=_idle_since, default=None)
        if oldest is not None:
            self._end(oldest, "cap")
        return oldest is not None

    def _sweep(self) -> None:
        """Ours are closed well before the next hop's machine would close them."""
        limit = self.loop.now() - self.idle_limit
        for hop in list(self.hops.values()):
            for connection in [c for c in hop.idle if c.idle_since < limit]:
                self._end(connection, "idle")


def _idle_since(connection: Connection) -> float:
    return connection.idle_since


def read_answer(reply: resp.Reply) -> Result:
    """What a reply means for a branch."""
    answer = resp.decode_answer(reply)
    if isinstance(answer, resp.Value):
        return Result(Outcome.OK, answer.value, answer.used_percent, answer.report)
    if isinstance(answer, resp.TurnedAway):
        return Result(Outcome.FULL, report=answer.report)
    return Result(Outcome.ERROR, report=answer.report)


def read_pong(reply: resp.Reply) -> Result:
    """What a reply means for a probe."""
    if isinstance(reply, resp.Line | resp.ErrorLine):
        return Result(Outcome.OK if reply.text == b"PONG" else Outcome.ERROR)
    raise resp.FramingError("a reply of another form")
