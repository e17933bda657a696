"""The client side: accepts client connections, and ends those that hold their place for nothing."""

from __future__ import annotations

import contextlib
import errno
import socket
from collections import OrderedDict
from collections.abc import Callable

from standflow.exchange import Exchange
from standflow.net import resp
from standflow.net.bodies import Bodies
from standflow.net.client_connection import ClientConnection
from standflow.net.closing import MOST_READS, close_in_order
from standflow.net.listening import BACKLOG, adopted, listening
from standflow.net.loop import IN, READABLE, TICK, Coroutine, Loop, Task, broken
from standflow.net.momentary import LACK_PAUSE, MOMENTARY_LACK, MOST_TRIES, at_start, send_at_once

MAX_BODIES = 16 * 1024 * 1024  # bytes of long bodies, where nothing else is said
MAX_VALUES = 8 * 1024 * 1024  # bytes of long values that are gathered, where nothing else is said
MAX_UNREAD = 32 * 1024 * 1024  # bytes that clients together may leave unread, where nothing else is said
SWEEP_EVERY = 0.25
MAX_STALLS = 80  # sweeps in a row without a byte taken after which a slow reader is given up
BODY_STALL = 1.5  # seconds without a byte after which a body counts as stuck
MAX_HALF = 10  # and without a byte sent after which half a command is
SPEAK_WITHIN = 2.3  # seconds in which a new connection has its first command whole; a sweep more, and it ends
JUST_ACCEPTED = 0.05  # seconds in which a new connection isn't asked to make way: its command is under way
SETTLE = 0.25  # seconds in which one with half a command isn't
JUST_COME = 1.0  # seconds in which a connection that has asked nothing is left to ask
PRESS = 1.5  # seconds of an evacuation after which no connection is served another command
ACCEPTED_IN_ONE_GO = 64
# What accept(2) tells of the connection that was to be accepted: the next one is another matter.
GONE_BEFORE = frozenset(
    (
        *(errno.ECONNABORTED, errno.ECONNRESET, errno.EPIPE, errno.EPERM, errno.EPROTO, errno.ENOPROTOOPT),
        *(errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ENETUNREACH, errno.ENONET),
        *(errno.EOPNOTSUPP, errno.ETIMEDOUT, errno.EINTR),
    )
)
ACCEPT_PAUSE = 0.1  # seconds without accepting when descriptors run out


class ClientSide:
    """The listener and the client connections; the exchange's client side."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        exchange: Exchange,
        address: tuple[str, int],
        max_clients: int,
        max_unread: int = MAX_UNREAD,
        passed: int | None = None,
        max_bodies: int = MAX_BODIES,
        max_values: int = MAX_VALUES,
    ) -> None:
        """`passed`: a listening socket that other processes hold too; nothing is accepted before `ready`.
        OSError where the address, or that descriptor, can't be listened at.
        """
        self.loop, self.log, self.exchange, self.max_clients = loop, log, exchange, max_clients
        self.max_unread = max_unread
        self.bodies = Bodies(max_bodies)
        self.values = Bodies(max_values)  # for long values that are gathered before they are passed on
        self.ready = False
        self.draining = False  # each connection ends when it has nothing open
        self.pressing = False  # and takes no command more
        self.dismissed = False  # what was read and not opened yet is refused
        self.evacuated = False  # by an operator: no front should send callers
        self.evacuated_at = 0.0
        self.drains = 0
        self.connections: set[ClientConnection] = set()
        # Those with nothing open, the longest idle first.
        self.idle: OrderedDict[ClientConnection, None] = OrderedDict()
        self.waiting_since: float | None = None  # since when clients may have waited to be accepted
        self.unread = 0  # bytes written by no connection yet
        self.shared = passed is not None
        self.paused = self.shared
        self.sock = at_start(lambda: listening(address)) if passed is None else adopted(passed)
        self.address: tuple[str, int] = self.sock.getsockname()
        self.making_room = False
        loop.make_room = self._make_room
        self.listener: Task | None = loop.spawn(self.sock.fileno(), self._listen())
        loop.every(SWEEP_EVERY, self._sweep)

    def _listen(self) -> Coroutine[None]:
        try:
            yield from self.loop.supervised(self._accept_on)
        finally:
            self.sock.close()

    def _accept_on(self) -> Coroutine[None]:
        while True:
            yield 0 if self.paused else IN
            self._accept()

    def _accept(self) -> bool:
        """Accepts those that wait, a bounded number in one go; true where more may wait."""
        lacks = 0
        for number in range(ACCEPTED_IN_ONE_GO):
            if len(self.connections) >= self.max_clients and not any(map(self._spare, self.idle)):
                if not number:  # somebody waits, that's known; later the poll tells
                    self._pause(ACCEPT_PAUSE)
                return False
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                self.waiting_since = None
                return False
            except OSError as error:
                if not self._accept_again(error, lacks):
                    return False
                lacks += error.errno in MOMENTARY_LACK
                continue
            if len(self.connections) >= self.max_clients:
                self._make_room()  # only now: nobody makes way for a client that isn't there
            self._welcome(sock)
        return True

    def _accept_again(self, error: OSError, lacks: int) -> bool:
        """True where the next accept may go well after this error; `lacks`: failures for want so far."""
        if error.errno in GONE_BEFORE:
            return True
        self.log(f"caller: accept: {error}")
        # Whatever it is, the listener stays ready: without a pause the loop would spin on it.
        if error.errno in MOMENTARY_LACK:
            if lacks < MOST_TRIES:
                return True
            self._pause(LACK_PAUSE)
            return False
        if error.errno == errno.EMFILE and self._make_room():
            return True
        self._pause(ACCEPT_PAUSE)
        return False

    def _welcome(self, sock: socket.socket) -> None:
        """Serves a connection that was accepted: whatever fails now, a request may be on it."""
        sock.setblocking(False)
        send_at_once(sock)
        connection = ClientConnection(self, sock)
        if self.waiting_since is not None and self.has_more(connection):
            connection.held_since = self.waiting_since  # its client may have waited so long to be accepted
        self.connections.add(connection)
        self.idle[connection] = None
        try:
            connection.task = self.loop.spawn(sock.fileno(), connection.live())
        except OSError as error:
            connection.reason = broken(error)
            self.closed(connection)

    def _pause(self, seconds: float) -> None:
        self.paused = True
        if self.waiting_since is None:
            self.waiting_since = self.loop.heard
        self.loop.call_later(seconds, self._unpause)

    def _unpause(self) -> None:
        self.paused = False
        if self.listener is not None:
            self.loop.watch(self.listener, IN)

    def _make_room(self) -> bool:
        """At the cap the connection idle longest makes way; one with something open never does."""
        if self.making_room:  # a request taken on the way wants a descriptor too: one in hand is enough
            return False
        self.making_room = True
        try:
            return any(self._end(connection, "cap") for connection in list(self.idle))
        finally:
            self.making_room = False

    def _end(self, connection: ClientConnection, reason: str) -> bool:
        """Ends an idle connection unless a request has come on it meanwhile: that one is taken first."""
        if connection.task is None or connection not in self.connections:
            return False
        if not self._spare(connection):
            if self._unread(connection):
                self._read(connection, connection.task)
            return False
        connection.reason = reason
        self.loop.end(connection.task)
        return True

    def _read(self, connection: ClientConnection, task: Task) -> None:
        """Has a connection take what has come; whether the client has closed behind that is known first."""
        self.loop.resume(task, READABLE | self.loop.ready(connection.sock.fileno(), IN))

    def _spare(self, connection: ClientConnection) -> bool:
        """True for an idle connection with no request on its way, as far as can be known."""
        age = self.loop.now() - connection.made
        fresh = not connection.answered and age <= JUST_ACCEPTED
        half = not connection.answered and age > SETTLE
        return not fresh and not self.has_more(connection) and (half or not connection.buffer.data)

    def _unread(self, connection: ClientConnection) -> bool:
        """Closing over unread bytes would reset the connection, and with it the answer just written."""
        return bool(connection.buffer.data) or self.has_more(connection)

    def has_more(self, connection: ClientConnection) -> bool:
        """True where bytes lie in the kernel: what they say is taken before the connection is judged."""
        try:
            return bool(connection.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _sweep(self) -> None:
        """A connection that never asks, or is stuck in a command or an answer, holds its place in vain."""
        now = self.loop.now()
        if self.pressing:
            for connection in [one for one in self.idle if now - one.made > SWEEP_EVERY]:
                self._last_call(connection)
        for connection in [one for one in self.connections if (one.out or not one.slots) and not one.waits]:
            connection.stalls += 1
            reason = _stuck(connection, now)
            unread = not connection.out and self.has_more(connection)
            if not reason or connection.task is None or connection.ending or unread:
                continue
            connection.reason = reason
            if not connection.out:
                with contextlib.suppress(OSError):  # where it can't be written, the close says the same
                    connection.sock.send(resp.error("no whole command in time"))
            self.loop.end(connection.task)

    def rest(self, connection: ClientConnection) -> None:
        """A connection has nothing open any more."""
        if connection in self.connections:
            self.idle[connection] = None
            if self.draining and connection.answered and (self.pressing or not self._unread(connection)):
                self._last(connection)

    def _last(self, connection: ClientConnection) -> None:
        self.idle.pop(connection, None)
        connection.leave()

    def _leave(self, connection: ClientConnection) -> None:
        """A connection is served no more commands, and ends when all that came have their answers."""
        if not connection.ending and connection.task is not None:
            self._last(connection)
            self.loop.resume(connection.task, TICK)

    def pong(self) -> bytes:
        """The answer to a front that asks whether clients may be sent here."""
        return resp.error("evacuated") if self.evacuated else resp.PONG

    def closed(self, connection: ClientConnection) -> None:
        """The end of a connection: its one log line."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)
        self.bodies.forget(connection)
        if connection.room:
            self.bodies.release(connection.room)
        self.unread -= len(connection.out)
        close_in_order(connection.sock)
        age = self.loop.now() - connection.made
        self.log(
            f"end caller {connection.reason} answered={connection.answered}"
            f" open={len(connection.slots)} age={age:.2f}"
        )

    def close(self) -> None:
        """Ends what is left, at once."""
        for connection in list(self.connections):
            if connection.task is not None:
                self.loop.end(connection.task)

    def open(self) -> None:
        """Callers are served from now on; until now nothing was read, as the route set may be stale."""
        self.ready = True
        if self.shared:
            self._unpause()
        for connection in self.connections:
            if connection.task is not None:
                self.loop.watch(connection.task, connection.mask())

    def stop(self, serve_for: float = PRESS) -> None:
        """Accepts no more; connections end as they fall idle, and after so many seconds no more is served."""
        self._end_listener()
        self._drain(serve_for)

    def _end_listener(self) -> None:
        """What the kernel has taken in already would be reset with the listener: it is let in first."""
        if self.listener is None:
            return
        if not self.shared:
            for _ in range(BACKLOG // ACCEPTED_IN_ONE_GO):
                if not self._accept():
                    break
            if self.waiting_since is not None and not self.dismissed:  # there is no room for them yet
                self.loop.call_later(LACK_PAUSE, self._end_listener)
                return
        self.loop.end(self.listener)
        self.listener = None

    def evacuate(self, wanted: bool, at: float) -> None:
        """Fronts are told to send nobody, and connections end as in a drain, new ones too; or that is over.

        `at`: when it was said, Unix time in seconds.
        """
        self.evacuated_at = at
        if wanted and not self.evacuated:
            self.evacuated = True
            self._drain(PRESS)
        elif not wanted and self.evacuated:
            self.evacuated = False
            if self.listener is not None:
                self.draining = self.pressing = False
                self.drains += 1

    def _drain(self, serve_for: float) -> None:
        self.draining = True
        self.drains += 1
        self.loop.call_later(serve_for, self._press, self.drains)
        for connection in list(self.idle):
            # A new one that has asked nothing yet has come to ask: its command is under way.
            if connection.answered and not self._unread(connection):
                self._leave(connection)

    def _press(self, drain: int) -> None:
        """Whoever asks on and on, or has come and not asked, has had its time."""
        if not self.draining or drain != self.drains:
            return
        self.log(
            f"drain: no more is served, connections={len(self.connections)} open={self.exchange.open_count}"
        )
        self.pressing = True
        for connection in list(self.connections):
            if connection.answered or connection.slots or self.loop.now() - connection.made > JUST_COME:
                self._last_call(connection)

    def _last_call(self, connection: ClientConnection) -> None:
        """A connection leaves; a command that has come is taken first, and is its last one to be served."""
        for _ in range(MOST_READS):
            if connection.task is None or not connection.reads or not self._unread(connection):
                break
            self._read(connection, connection.task)
            if not self.has_more(connection):
                break
        self._leave(connection)

    def dismiss(self) -> None:
        """The process is about to end: no connection opens another request."""
        self.draining = self.pressing = self.dismissed = True
        self._end_listener()
        for connection in list(self.connections):
            connection.fail_late_values()
            self._last_call(connection)


def _stuck(connection: ClientConnection, now: float) -> str:
    """The reason for which a connection has to end, or nothing; looked at once a sweep."""
    late = now - connection.made > SPEAK_WITHIN
    if connection.out:
        return "slow_reader" if connection.stalls > MAX_STALLS else ""
    if connection.buffer.body:
        stalled = now - connection.moved > BODY_STALL
        return "slow_writer" if stalled and (late or connection.answered) else ""
    if late and not connection.answered:
        return "silent"
    return "slow_writer" if connection.buffer.data and connection.stalls > MAX_HALF else ""
