"""Client side: accepts client connections and ends those that are idle or stuck."""

from __future__ import annotations

import contextlib
import math
import socket
from collections import OrderedDict
from collections.abc import Callable, Iterable
from itertools import chain

from standflow.exchange import Exchange
from standflow.isolation import check_isolated, run_for_each, run_isolated
from standflow.net import resp
from standflow.net.acceptor import Acceptor
from standflow.net.arrival import count_unread_bytes, seconds_since_received
from standflow.net.client_connection import ClientConnection
from standflow.net.client_memory import ClientMemory
from standflow.net.closing import MAX_READS, close_gracefully, shut_down_unless_unread
from standflow.net.long_body import BodyBudget
from standflow.net.loop import IN, NO_EVENT, READABLE, Loop, Task, error_reason
from standflow.net.memory_budget import MemoryBudget
from standflow.net.transient_errors import (
    disable_nagle,
)
from standflow.process_memory import ProcessMemory, Use, unlimited

MAX_BODIES = 16 * 1024 * 1024  # default limit for long bodies, in bytes
MAX_VALUES = 8 * 1024 * 1024  # default limit for buffered long values, in bytes
MAX_HELD = 32 * 1024 * 1024  # default limit of what is held for clients in other buffers, in bytes
CONNECTION_BYTES = 8 * 1024  # that a connection without a command needs, about
MIN_SHED_BYTES = 2 * 1024  # of a connection that is ended for its memory
SWEEP_INTERVAL = 0.25  # seconds
REPORT_INTERVAL = 5.0  # seconds
MAX_WRITE_STALLS = 80  # consecutive sweeps without a byte sent after which a slow reader is disconnected
BODY_STALL_TIMEOUT = 1.5  # seconds without a byte after which a body counts as stuck
MAX_READ_STALLS = 10  # sweeps without a byte received after which a partial command counts as stuck
FIRST_COMMAND_TIMEOUT = 2.3  # seconds for a new connection's first command; it ends at the next sweep
NEW_CONNECTION_GRACE = 0.05  # seconds for which a new connection is not evicted: its command is under way
PARTIAL_COMMAND_GRACE = 0.25  # the same for a new connection with a partial command
FIRST_COMMAND_GRACE = 1.0  # seconds for which an expired drain spares a connection without a command
PARTIAL_COMMAND_DRAIN = 1.5  # seconds for which a draining connection waits for the rest of a command
# Beyond one read of each connection, the last commands of all are read up to these bytes, and for this time.
LAST_READS_BYTES, LAST_READS_SECONDS = 256 * 1024, 0.1
DRAIN_PERIOD = 1.5  # seconds of an evacuation after which each connection gets at most one more command


class ClientSide:
    """The listener and all client connections."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        exchange: Exchange,
        address: tuple[str, int],
        max_clients: int,
        max_held: int = MAX_HELD,
        inherited_fd: int | None = None,
        max_bodies: int = MAX_BODIES,
        max_values: int = MAX_VALUES,
        memory: ProcessMemory | None = None,
    ) -> None:
        """`inherited_fd` is a listening socket shared with other processes; it accepts only when `ready`.

        Raises OSError if the address or the descriptor can't be used for listening.
        """
        self.loop, self.log, self.exchange, self.max_clients = loop, log, exchange, max_clients
        self.memory = memory = unlimited() if memory is None else memory
        self.client_memory = ClientMemory(max_held, log, memory)  # for what is held in other buffers
        self.body_budget = BodyBudget(max_bodies, loop, log, exchange.tally, memory)
        self.command_budget = BodyBudget(max_values, loop, log, exchange.tally, memory, Use.REQUEST)
        # For long values that are buffered as a whole.
        self.value_budget = MemoryBudget(max_values, log, memory)
        memory.ran_short = self.free_memory
        for budget in (self.body_budget, self.command_budget, self.value_budget):
            memory.room_found.append(budget.room_found)
        self.ready = False
        self.draining = False  # each connection ends when it has no open request
        self.drain_expired = False  # each connection gets at most one more command served
        self.refuse_unopened = False  # commands that have not become a request yet are refused
        self.buffer_values_from = math.inf  # long values of requests received later are buffered as a whole
        self.evacuated = False  # by an operator: load balancers should send no clients
        self.evacuated_at = 0.0
        self.drain_count = 0
        self.connections: set[ClientConnection] = set()
        # Connections without an open request, the longest idle first.
        self.idle: OrderedDict[ClientConnection, None] = OrderedDict()
        self.acceptor = Acceptor(loop, log, self, address, inherited_fd)
        self.address = self.acceptor.address
        self.evicting = False
        self.last_reads_until = 0.0  # on the loop's clock
        self.last_reads_bytes = 0  # that may still be read
        self.last_reads_begun = False
        loop.free_descriptor = self.evict_idle
        loop.every(SWEEP_INTERVAL, self._sweep)
        loop.every(REPORT_INTERVAL, self.client_memory.report)

    @property
    def listening(self) -> bool:
        """False once no further connections are accepted."""
        return self.acceptor.listener is not None

    @property
    def shared(self) -> bool:
        """True if other processes accept from the same listening socket."""
        return self.acceptor.shared

    @property
    def delivering(self) -> int:
        """The number of connections on which an answer is on its way."""
        return sum(map(self._is_delivering, self.connections))

    def _is_delivering(self, connection: ClientConnection) -> bool:
        return check_isolated(self.log, lambda one: one.delivering, connection)

    # Called by the acceptor.

    def has_room(self) -> bool:
        """True if another connection may be accepted, possibly in place of an idle one."""
        below_limit = len(self.connections) < self.max_clients
        if below_limit and self.memory.fits(CONNECTION_BYTES, Use.NEW):
            return True
        return any(check_isolated(self.log, self._may_be_replaced, connection) for connection in self.idle)

    def connection_accepted(self, sock: socket.socket) -> None:
        """Serves an accepted connection, at the limit in place of an idle one."""
        if len(self.connections) >= self.max_clients or not self.memory.fits(CONNECTION_BYTES, Use.NEW):
            self.evict_idle()
        self.memory.take(CONNECTION_BYTES)
        self._start_connection(sock)

    def _start_connection(self, sock: socket.socket) -> None:
        """Starts serving an accepted connection. It may carry a request already, so no failure may escape."""
        disable_nagle(sock)
        connection = ClientConnection(self, sock)
        if self.has_pending_bytes(connection):
            connection.reader.unread.waited_since(self._arrived_at(sock))
        self.connections.add(connection)
        self.idle[connection] = None
        try:
            connection.task = self.loop.spawn(sock.fileno(), connection.run())
        except OSError as error:
            connection.reason = error_reason(error)
            self.closed(connection)
            return
        if self.refuse_unopened:  # the process may exit before the next poll
            self._serve_last_command(connection)

    def _arrived_at(self, sock: socket.socket) -> float:
        """The earliest time at which what an accepted connection has sent can have arrived.

        It may have waited behind others for several iterations of the loop.
        """
        if self.acceptor.waiting_since is not None:
            return self.acceptor.waiting_since
        earliest = self.loop.earliest_arrival
        with contextlib.suppress(OSError):
            earliest = min(earliest, self.loop.now() - seconds_since_received(sock))
        return earliest

    def free_memory(self, missing: int) -> None:
        """The process is about to pass its limit: ends what holds most and is owed no answer yet.

        First the bodies whose clients write slowly, then those that wait for memory, then connections in the
        middle of a command, then those whose clients read slowly. `missing`: bytes.
        """
        freed = 0
        for budget in (self.body_budget, self.command_budget):
            for body in budget.droppable():
                if freed >= missing:
                    return
                freed += body.received
                self.exchange.tally("body.shed")
                body.drop()
        largest = sorted(self.connections, key=_shedding_order)
        for connection in largest:
            size = len(connection.buffer.data) + len(connection.unsent)
            if freed >= missing or size < MIN_SHED_BYTES:
                return
            freed += size
            run_isolated(self.log, self._shed, connection)

    def _shed(self, connection: ClientConnection) -> None:
        if connection.task is not None:
            self.exchange.tally("ended.memory")
            connection.reason = "memory"
            connection.refuse_partial_command()
            self.loop.end(connection.task)

    def evict_idle(self) -> bool:
        """Closes the longest idle connection at the limit; one with an open request is never closed.

        Those that have had no answer come first: they are in the middle of a command, or wait for memory. A
        fault of one of them makes room at the next one: whoever asks for room is another client, or the watch
        of discovery.
        """
        if self.evicting:  # reading from a candidate may open a request that needs a descriptor, too
            return False
        self.evicting = True
        try:
            idle = list(self.idle)
            unanswered = (
                one
                for one in idle
                if not one.answered and check_isolated(self.log, self._may_be_replaced, one)
            )
            candidates = chain(unanswered, idle)
            return any(check_isolated(self.log, self._evict, connection) for connection in candidates)
        finally:
            self.evicting = False

    def _evict(self, connection: ClientConnection) -> bool:
        """Ends an idle connection, unless bytes have arrived on it meanwhile: those are read first."""
        if connection.task is None or connection not in self.connections:
            return False
        if self._waits_for_memory(connection):
            connection.reason = "cap"
            connection.refuse_partial_command()
            self.loop.end(connection.task)
            return True
        if not self._evictable(connection):
            if self._has_unread(connection):
                self._read_now(connection, connection.task)
            return False
        if not shut_down_unless_unread(connection.sock):
            self._read_now(connection, connection.task)
            return False
        connection.reason = "cap"
        self.loop.end(connection.task)
        return True

    def _read_now(self, connection: ClientConnection, task: Task) -> None:
        """Makes a connection read at once. Current events tell it whether the client has closed, too."""
        self.loop.resume(task, READABLE | self.loop.ready(connection.sock.fileno(), IN))

    def _may_be_replaced(self, connection: ClientConnection) -> bool:
        """True if an eviction may end a connection without reading from it before."""
        return self._waits_for_memory(connection) or self._evictable(connection)

    def _evictable(self, connection: ClientConnection) -> bool:
        """True for an idle connection on which no request seems to be under way."""
        age = self.loop.now() - connection.created_at
        fresh = not connection.answered and age <= NEW_CONNECTION_GRACE
        abandoned = not connection.answered and age > PARTIAL_COMMAND_GRACE
        return (
            not fresh
            and not self.has_pending_bytes(connection)
            and (abandoned or not connection.buffer.holds_part)
        )

    def _waits_for_memory(self, connection: ClientConnection) -> bool:
        """True for a new connection whose first command has waited for memory for some time."""
        body, now = connection.long_body, self.loop.now()
        if body is None or body.waiting_since is None or connection.answered or connection.slots:
            return False
        return now - body.waiting_since > PARTIAL_COMMAND_GRACE

    def _has_unread(self, connection: ClientConnection) -> bool:
        """True if there are unread bytes; closing now would reset the connection and lose its last answer."""
        return connection.buffer.holds_part or self.has_pending_bytes(connection)

    def has_pending_bytes(self, connection: ClientConnection) -> bool:
        """True if the kernel holds unread bytes; they are read before the connection is ended."""
        return connection.reader.has_unread_bytes()

    def _sweep(self) -> None:
        """Ends connections without a command in time, or stuck in a command or an answer."""
        now = self.loop.now()
        if self.drain_expired:
            old = [one for one in self.idle if now - one.created_at > SWEEP_INTERVAL]
            self._serve_last_commands(old, self._serve_last_command)
        run_for_each(self.log, self.connections, self._end_overdue_drain)
        run_for_each(self.log, self.connections, lambda connection: connection.reader.note_arrivals())
        run_for_each(self.log, self.connections, self._end_if_stuck)

    def _end_if_stuck(self, connection: ClientConnection) -> None:
        """Ends a connection that has been stuck for too long."""
        if (connection.slots and not connection.unsent) or connection.awaiting_memory:
            return
        connection.stalls += 1
        reason = _stuck_reason(connection, self.loop.now())
        unread = not connection.unsent and self.has_pending_bytes(connection)
        if not reason or connection.task is None or connection.ending or unread:
            return
        connection.reason = reason
        if not connection.unsent:
            with contextlib.suppress(OSError):  # the connection is closed in any case
                connection.sock.send(resp.error("no whole command in time"))
        self.loop.end(connection.task)

    def _end_overdue_drain(self, connection: ClientConnection) -> None:
        """Ends a draining connection whose client has begun a command and takes long to write it."""
        if connection.task is None or not (connection.draining and connection.mid_command):
            return
        if self.loop.now() - connection.draining_since < PARTIAL_COMMAND_DRAIN:
            return
        if self.has_pending_bytes(connection):
            self._read_now(connection, connection.task)
        connection.refuse_partial_command()
        if connection.task is not None:  # it may have ended by what was read
            self.loop.resume(connection.task, NO_EVENT)

    def became_idle(self, connection: ClientConnection) -> None:
        """A connection has no open request any more."""
        if connection in self.connections:
            self.idle[connection] = None
            if (
                self.draining
                and connection.answered
                and (self.drain_expired or not self._has_unread(connection))
            ):
                self._start_drain(connection)

    def _start_drain(self, connection: ClientConnection) -> None:
        self.idle.pop(connection, None)
        connection.start_drain()

    def _drain_connection(self, connection: ClientConnection) -> None:
        """Ends a connection after the answers to the commands that have arrived; no more are served."""
        if not connection.ending and connection.task is not None:
            self._start_drain(connection)
            if connection.task is not None:  # it may have ended as its long body was dropped
                self.loop.resume(connection.task, NO_EVENT)

    def pong(self) -> bytes:
        """Answer to the health check of a load balancer."""
        return resp.error("evacuated") if self.evacuated else resp.PONG

    def closed(self, connection: ClientConnection) -> None:
        """Cleans up after a connection has ended and writes its log line."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)
        close_gracefully(connection.sock)
        age = self.loop.now() - connection.created_at
        self.log(
            f"end caller {connection.reason} answered={connection.answered}"
            f" open={len(connection.slots)} age={age:.2f}"
        )

    def close(self) -> None:
        """Ends the remaining connections at once."""
        run_for_each(self.log, self.connections, self._close)

    def close_unless_delivering(self) -> None:
        """Ends the connections on which no answer is on its way."""
        ended = [connection for connection in self.connections if not self._is_delivering(connection)]
        run_for_each(self.log, ended, self._close)

    def _close(self, connection: ClientConnection) -> None:
        if connection.task is None:
            return
        if self._is_delivering(connection):
            connection.reason = "cut_off"
        run_isolated(self.log, connection.refuse_partial_command)
        self.loop.end(connection.task)

    def start_serving(self) -> None:
        """Starts serving clients. Before, nothing is read, as the route set may be stale."""
        self.ready = True
        self.acceptor.begin()
        run_for_each(self.log, self.connections, self._watch)

    def _watch(self, connection: ClientConnection) -> None:
        if connection.task is not None:
            self.loop.watch(connection.task, connection.mask())

    def stop(self, serve_for: float = DRAIN_PERIOD) -> None:
        """Stops accepting and drains the connections; the drain expires after `serve_for` seconds."""
        run_isolated(self.log, self.acceptor.end)
        self._drain(serve_for)

    def evacuate(self, wanted: bool, at: float) -> None:
        """Starts or ends an evacuation: health checks fail, and all connections, even new ones, are drained.

        `at` is the Unix time of the operator's call, in seconds.
        """
        self.evacuated_at = at
        if wanted and not self.evacuated:
            self.evacuated = True
            self._drain(DRAIN_PERIOD)
        elif not wanted and self.evacuated:
            self.evacuated = False
            if self.listening:
                self.draining = self.drain_expired = False
                self.drain_count += 1

    def _drain(self, serve_for: float) -> None:
        self.draining = True
        self.drain_count += 1
        self.loop.call_later(serve_for, self._expire_drain, self.drain_count)
        run_for_each(self.log, self.idle, self._drain_if_answered)

    def _drain_if_answered(self, connection: ClientConnection) -> None:
        """Drains an idle connection. A new one without a command is spared: its first one is under way."""
        if connection.answered and not self._has_unread(connection):
            self._drain_connection(connection)

    def _expire_drain(self, drain: int) -> None:
        """Ends the drain period: each connection gets at most one more command served."""
        if not self.draining or drain != self.drain_count:
            return
        self.log(
            f"drain: no more is served, connections={len(self.connections)} open={self.exchange.open_count}"
        )
        self.drain_expired = True
        self._serve_last_commands(self.connections, self._expire_drain_of)

    def _expire_drain_of(self, connection: ClientConnection) -> None:
        """Serves the last command of a connection, unless its first one may still be under way."""
        age = self.loop.now() - connection.created_at
        if connection.answered or connection.slots or age > FIRST_COMMAND_GRACE:
            self._serve_last_command(connection)

    def _serve_last_commands(
        self, connections: Iterable[ClientConnection], step: Callable[[ClientConnection], object]
    ) -> None:
        """Serves the last command of each connection: those with the least unread first.

        A client that sends at full speed must keep neither the others from their answers nor the process from
        its end.
        """
        if not self.last_reads_begun:
            self.last_reads_begun = self.refuse_unopened  # the last ones of all share one time
            self.last_reads_until = self.loop.now() + LAST_READS_SECONDS
            self.last_reads_bytes = LAST_READS_BYTES
        by_unread = sorted(connections, key=lambda connection: count_unread_bytes(connection.sock))
        run_for_each(self.log, by_unread, step)

    def _serve_last_command(self, connection: ClientConnection) -> None:
        """Drains a connection; commands that have arrived are read first, and one more of them is served."""
        connection.turn.lift_limit()
        for number in range(MAX_READS):
            if number and (self.last_reads_bytes <= 0 or self.loop.now() > self.last_reads_until):
                break
            self.last_reads_bytes -= connection.read_size()
            if connection.task is None or not connection.accepts_commands or not self._has_unread(connection):
                break
            self._read_now(connection, connection.task)
            if not self.has_pending_bytes(connection):
                break
        self._drain_connection(connection)

    def refuse_new(self) -> None:
        """Opens no further requests, as the process is about to end."""
        self.draining = self.drain_expired = self.refuse_unopened = True
        run_isolated(self.log, self.acceptor.end)
        self._serve_last_commands(self.connections, self._refuse_new_on)

    def _refuse_new_on(self, connection: ClientConnection) -> None:
        run_isolated(self.log, connection.fail_late_values)
        run_isolated(self.log, connection.drop_long_body)
        self._serve_last_command(connection)


def _shedding_order(connection: ClientConnection) -> tuple[bool, int]:
    """Sort key: connections without an answer on its way first, and of those the largest."""
    return connection.delivering, -len(connection.buffer.data) - len(connection.unsent)


def _stuck_reason(connection: ClientConnection, now: float) -> str:
    """Reason code if a connection has to be ended at this sweep, or an empty string."""
    late = now - connection.created_at > FIRST_COMMAND_TIMEOUT
    if connection.unsent:
        return "slow_reader" if connection.stalls > MAX_WRITE_STALLS else ""
    if connection.buffer.body:
        stalled = now - connection.progress_at > BODY_STALL_TIMEOUT
        return "slow_writer" if stalled and (late or connection.answered) else ""
    if late and not connection.answered:
        return "silent"
    return "slow_writer" if connection.buffer.holds_part and connection.stalls > MAX_READ_STALLS else ""
