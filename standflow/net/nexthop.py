"""Next-hop side: connection pools, dialling, attempts and probes.

A connection carries one command (of an attempt or a probe) at a time; see backend_connection.py.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable

from standflow.exchange import Attempt, Exchange
from standflow.isolation import run_for_each, run_isolated
from standflow.messages import Outcome, Result
from standflow.net import resp
from standflow.net.backend_connection import (
    PAUSE_STALL_TIMEOUT,
    RESTARTED,
    Admission,
    Connection,
    Hop,
    PendingCommand,
)
from standflow.net.closing import close_gracefully
from standflow.net.flow import FlowBudget
from standflow.net.loop import Loop, error_reason
from standflow.net.stream import PlainStream, Stream
from standflow.platform_terms import MAX_PAUSE_SECONDS
from standflow.route_set import Phase, Route, RouteSet

FLOW_BUDGET = 16 * 1024 * 1024  # default, in bytes of long values that are being forwarded
# Seconds for which a connection is not reused after an answer. A duplicate answer to the same command may
# follow 0.5 to 7 ms later, and the next command would take it for its own.
COOL_DOWN = 0.025

# Reason codes of connections that were ended by this side or for a protocol error; Admission.closed tells
# them from lost connections.
LOCAL_REASONS = frozenset(
    (
        *("idle", "stale", "cap", "drained", "restarted", "given_up", "close_idle", "rotated", "shutdown"),
        *("bad_framing", "stalled", "unasked_bytes"),
    )
)


class RoutesNotAppliedError(Exception):
    """A route set was applied to some of its next hops only; the log has told why."""


class NextHops:
    """Connections to all next hops of the route set; implements exchange.NextHopSide."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        exchange: Exchange,
        dial_timeout: float,
        idle_limit: float,
        drain_grace: float,
        max_connections: int,
        make_stream: Callable[[Route, socket.socket], Stream] = lambda route, sock: PlainStream(sock),
        flows: FlowBudget | None = None,
        cool_down: float = 0.0,
    ) -> None:
        self.loop, self.log, self.exchange, self.cool_down = loop, log, exchange, cool_down
        self.dial_timeout, self.idle_limit, self.drain_grace = dial_timeout, idle_limit, drain_grace
        self.max_connections = max_connections
        self.make_stream = make_stream
        self.flows = FlowBudget(FLOW_BUDGET) if flows is None else flows
        self.tally = exchange.tally
        self.admission: Admission | None = None
        self.hops: dict[str, Hop] = {}
        self.connections = 0
        self.forwards = 0  # attempts whose command was fully written
        loop.every(1.0, self._sweep)

    # The route set.

    def update_routes(self, routes: RouteSet) -> None:
        """Applies routes from discovery. Next hops that are missing from a complete set are gone.

        A fault with one next hop must not keep the drains of others from being applied. It is reported as
        RoutesNotAppliedError after them: the complete set has to be requested again.
        """
        named = {route.hop for route in routes.routes}
        applied = run_for_each(self.log, routes.routes, self._update_route)
        if routes.complete:
            gone = [hop for name, hop in self.hops.items() if name not in named]
            applied = run_for_each(self.log, gone, self._end_writes) and applied
        if not applied:
            raise RoutesNotAppliedError

    def _update_route(self, route: Route) -> None:
        hop = self.hops.get(route.hop)
        if hop is None:
            if route.phase is Phase.GONE:
                return
            hop = self.hops[route.hop] = Hop(route)
        before, hop.route = hop.route, route
        if (before.address, before.up_since) != (route.address, route.up_since):
            # Another process: connections to the old one carry nothing new, wherever they lead by now.
            self._close_idle(hop, RESTARTED)
            run_for_each(self.log, hop.connections, self._end_if_stale)
        if route.phase is Phase.SERVING:
            hop.writes_end_at = None
        else:
            self._end_writes(hop)

    def _end_writes(self, hop: Hop) -> None:
        """For a next hop that drains or is gone: no command is started after the drain grace period."""
        self._close_idle(hop, "drained")
        if hop.writes_end_at is None:
            # Counted from the earliest time at which the change can have arrived, and shortened by the time
            # for which the process may be held up between reading the clock and writing the first byte.
            hop.writes_end_at = self.loop.earliest_arrival + max(0.0, self.drain_grace - MAX_PAUSE_SECONDS)
            self.loop.call_at(hop.writes_end_at, self._grace_over, hop)

    def _grace_over(self, hop: Hop) -> None:
        if hop.writes_end_at is None or self.loop.now() < hop.writes_end_at:
            return  # the next hop serves again
        run_for_each(self.log, hop.connections, self._end_unwritten)
        self._remove_closed(hop)

    def _end_if_stale(self, connection: Connection) -> None:
        """Ends a connection to an address that is another's by now, unless a command is being written."""
        moved = connection.route.address != connection.hop.route.address
        if moved and connection.pending is not None and not connection.pending.write_started:
            self._end(connection, RESTARTED)

    def _end_unwritten(self, connection: Connection) -> None:
        """Ends a connection to what drains, unless a command is being written: its first byte was in time."""
        if connection.pending is not None and not connection.pending.write_started:
            self._end(connection, "drained")

    def _remove_closed(self, hop: Hop) -> None:
        if hop.writes_end_at is not None and not hop.connections and self.hops.get(hop.route.hop) is hop:
            del self.hops[hop.route.hop]

    # Commands.

    def start(self, attempt: Attempt) -> None:
        """Sends an attempt to its next hop; see exchange.NextHopSide."""
        message = attempt.transaction.request.message

        def encode() -> tuple[resp.Part, ...]:
            return resp.encode_ask(message, attempt.deadline - self.loop.now())

        def ended(result: Result) -> None:
            self.exchange.attempt_ended(attempt, result)

        attempt.context = PendingCommand(encode, read_answer, ended)
        attempt.context.is_attempt = True
        attempt.context.deadline = attempt.deadline
        if not attempt.may_be_followed:
            attempt.context.rest_timeout = PAUSE_STALL_TIMEOUT
        attempt.context.on_value = lambda flow: self.exchange.stream_started(attempt, flow)
        self._dispatch(attempt.hop, attempt.context)

    def give_up(self, attempt: Attempt) -> bool:
        """Closes the attempt's connection; see exchange.NextHopSide."""
        pending: PendingCommand | None = attempt.context
        if pending is None:  # the attempt could not be started
            return False
        connection = pending.connection
        if connection is not None and connection.pending is pending:
            connection.pending = None
            self._end(connection, "given_up")
        return pending.fully_written

    def unsent(self, attempt: Attempt) -> bool:
        """See exchange.NextHopSide."""
        return attempt.context is None or not attempt.context.fully_written

    def probe(self, name: str, ended: Callable[[Result], None]) -> None:
        """Sends PING on a pooled connection, with a time limit of twice the dial timeout."""
        pending = PendingCommand(lambda: (resp.PING,), read_pong, lambda result: done(result))
        timer = self.loop.call_later(2 * self.dial_timeout, lambda: late())

        def done(result: Result) -> None:
            timer.cancel()
            ended(result)

        def late() -> None:
            if pending.connection is not None and pending.connection.pending is pending:
                pending.connection.pending = None
                self._end(pending.connection, "given_up")
            ended(Result(Outcome.TIMEOUT if pending.fully_written else Outcome.CONNECT_FAILED))

        self._dispatch(name, pending)

    def open_connections(self) -> dict[str, int]:
        """Number of established connections by next hop."""
        up = {
            name: sum(one.established for one in hop.connections)
            for name, hop in self.hops.items()
            if hop.connections
        }
        return {name: number for name, number in up.items() if number}

    def close_idle(self, name: str) -> None:
        """Closes the idle connections to a next hop."""
        if name in self.hops:
            self._close_idle(self.hops[name], "close_idle")

    def _dispatch(self, name: str, pending: PendingCommand) -> None:
        hop = self.hops.get(name)
        if hop is None or (hop.writes_end_at is not None and self.loop.now() >= hop.writes_end_at):
            self._fail(pending)
            return
        while (connection := self._take_idle(hop)) is not None:
            if connection.begin(pending):
                return
            self._end(connection, "stale")
        # A local shortage says nothing about the next hop, which must not be ejected for it.
        if self.connections >= self.max_connections and not self._evict_idle():
            self._fail(pending, Outcome.MOOT)
            return
        refusal = None if self.admission is None else self.admission.refusal(name)
        if refusal is not None or not self._dial(hop, pending):
            self._fail(pending, refusal or Outcome.MOOT)

    def _take_idle(self, hop: Hop) -> Connection | None:
        """Takes the connection last used that has cooled down: it is the least likely to be closed by now."""
        cooled_down = self.loop.now() - self.cool_down
        for connection in reversed(hop.idle):
            if connection.idle_since <= cooled_down or not connection.served:
                hop.idle.remove(connection)
                return connection
        return None

    def open_ahead(self, name: str) -> bool:
        """Opens a connection ahead of any attempt. Returns false if the limit or a drain doesn't allow it."""
        hop = self.hops.get(name)
        if hop is None or hop.writes_end_at is not None or self.connections >= self.max_connections:
            return False
        return self._dial(hop, None)

    def has_idle(self, name: str, number: int) -> bool:
        """True if at least `number` connections to a next hop are idle, or being opened in advance."""
        hop = self.hops.get(name)
        return hop is not None and sum(one.pending is None for one in hop.connections) >= number

    def _dial(self, hop: Hop, pending: PendingCommand | None) -> bool:
        connection = Connection(self, hop, pending)
        try:
            connection.sock = self.loop.open_socket()
        except OSError as error:  # out of descriptors: the command was never written
            self.log(f"nexthop: no socket: {error}")
            return False
        self.tally("dials.busy" if hop.connections else "dials.first")
        connection.stream = self.make_stream(hop.route, connection.sock)
        if pending is not None:
            pending.connection = connection
        hop.connections.add(connection)
        self.connections += 1
        if self.admission is not None:
            run_isolated(self.log, self.admission.dial_started, hop.route.hop, connection.stream)
        try:
            connection.task = self.loop.spawn(connection.sock.fileno(), connection.run())
        except OSError as error:
            self.log(f"nexthop: {error}")
            connection.pending, connection.reason = None, error_reason(error)
            self.closed(connection)
            return False
        return True

    def _fail(self, pending: PendingCommand, outcome: Outcome = Outcome.CONNECT_FAILED) -> None:
        """Reports the outcome later: no outcome may arrive within the call that sent the command."""
        self.loop.call_later(0.0, pending.on_result, Result(outcome))

    def close(self) -> None:
        """Ends every connection at once, without reporting results."""
        connections = [connection for hop in self.hops.values() for connection in hop.connections]
        for connection in connections:
            connection.pending = None
        self._end_all(connections, "shutdown")

    # Connections.

    def release(self, connection: Connection) -> None:
        """Returns a connection to the pool."""
        connection.idle_since = self.loop.now()
        if not connection.is_current:
            self._end(connection, RESTARTED)
        elif connection.hop.writes_end_at is None:
            connection.hop.idle.append(connection)
        else:
            self._end(connection, "drained")

    def closed(self, connection: Connection) -> None:
        """Cleans up after a connection has ended and writes its log line."""
        hop = connection.hop
        hop.connections.discard(connection)
        if connection in hop.idle:
            hop.idle.remove(connection)
        self.connections -= 1
        run_isolated(self.log, connection.stream.close)
        run_isolated(self.log, close_gracefully, connection.sock)
        if self.admission is not None and connection.established:
            run_isolated(self.log, self.admission.closed, connection)
        age, notes = self.loop.now() - connection.created_at, connection.stream.log_suffix()
        self.log(
            f"end nexthop {hop.route.hop} {connection.reason} served={connection.served} age={age:.2f}{notes}"
        )
        self._remove_closed(hop)

    def end(self, connection: Connection, reason: str) -> None:
        """Ends a connection if it is idle."""
        if connection in connection.hop.idle:
            self._end(connection, reason)

    def _end(self, connection: Connection, reason: str) -> None:
        connection.reason = reason
        # A running coroutine ends only at its next yield; until then its connection must not be reused.
        if connection in connection.hop.idle:
            connection.hop.idle.remove(connection)
        if connection.task is not None:
            self.loop.end(connection.task)

    def _close_idle(self, hop: Hop, reason: str) -> None:
        self._end_all(hop.idle, reason)

    def _end_all(self, connections: Iterable[Connection], reason: str) -> None:
        """Ends several connections; a fault with one of them keeps none of the others."""
        run_for_each(self.log, connections, lambda connection: self._end(connection, reason))

    def _evict_idle(self) -> bool:
        """Closes the connection that has been idle longest, to stay within the limit."""
        oldest = min((h.idle[0] for h in self.hops.values() if h.idle), key=_idle_since, default=None)
        if oldest is not None:
            self._end(oldest, "cap")
        return oldest is not None

    def _sweep(self) -> None:
        """Closes idle connections before the next hop's own idle timeout would close them."""
        limit = self.loop.now() - self.idle_limit
        idle = [
            connection
            for hop in self.hops.values()
            for connection in hop.idle
            if connection.idle_since < limit
        ]
        self._end_all(idle, "idle")


def _idle_since(connection: Connection) -> float:
    return connection.idle_since


def read_answer(reply: resp.Reply) -> Result:
    """Converts a reply to the result of an attempt."""
    answer = resp.decode_answer(reply)
    if isinstance(answer, resp.Value):
        return Result(Outcome.OK, answer.value, answer.used_percent, answer.report)
    if isinstance(answer, resp.BusyReply):
        return Result(Outcome.FULL, report=answer.report)
    return Result(Outcome.ERROR, report=answer.report)


def read_pong(reply: resp.Reply) -> Result:
    """Converts a reply to the result of a probe."""
    if isinstance(reply, resp.SimpleString | resp.ErrorReply):
        return Result(Outcome.OK if reply.text == b"PONG" else Outcome.ERROR)
    raise resp.FramingError("a reply of another form")
