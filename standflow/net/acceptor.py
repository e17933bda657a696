"""Accepts client connections: in batches, with pauses while that is impossible, until it is ended."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Protocol

from standflow.isolation import run_isolated
from standflow.net.closing import close_gracefully
from standflow.net.listening import inherited_listener, tcp_listener
from standflow.net.loop import IN, Coroutine, Loop, Task, Timer
from standflow.net.transient_errors import MAX_TRIES, RETRY_PAUSE, TRANSIENT_ERRORS, retry_at_startup

ACCEPT_BATCH = 64  # connections accepted per event
# Errors of accept(2) that concern only the connection to be accepted; the next one may succeed.
ABORTED_CONNECTION_ERRORS = frozenset(
    (
        *(errno.ECONNABORTED, errno.ECONNRESET, errno.EPIPE, errno.EPERM, errno.EPROTO, errno.ENOPROTOOPT),
        *(errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ENETUNREACH, errno.ENONET),
        *(errno.EOPNOTSUPP, errno.ETIMEDOUT, errno.EINTR),
    )
)
ACCEPT_PAUSE = 0.1  # seconds without accepting after descriptors have run out


class Host(Protocol):
    """What the acceptor needs from the side that serves the connections."""

    refuse_unopened: bool  # the process is about to end: connections are only accepted to be refused

    def has_room(self) -> bool:
        """True if another connection may be accepted, possibly in place of an idle one."""

    def evict_idle(self) -> bool:
        """Closes an idle connection; false if there is none to close."""

    def connection_accepted(self, sock: socket.socket) -> None:
        """Serves a connection, whose socket does not block."""


class Acceptor:
    """The listening socket and the coroutine that accepts from it."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        host: Host,
        address: tuple[str, int],
        inherited_fd: int | None = None,
    ) -> None:
        """`inherited_fd` is a listening socket shared with other processes; it accepts from `begin` on.

        Raises OSError if the address or the descriptor can't be used for listening.
        """
        self.loop, self.log, self.host = loop, log, host
        self.shared = inherited_fd is not None
        self.paused = self.shared
        self.waiting_since: float | None = None  # since when clients may be waiting to be accepted
        self.sock = (
            retry_at_startup(lambda: tcp_listener(address))
            if inherited_fd is None
            else inherited_listener(inherited_fd)
        )
        self.address: tuple[str, int] = self.sock.getsockname()
        self.end_timer = Timer(0.0, self.end, ())  # scheduled while clients still wait
        self.listener: Task | None = loop.spawn(self.sock.fileno(), self._listen())

    def begin(self) -> None:
        """Starts accepting from a shared socket; any other one is accepted from at once."""
        if self.shared:
            self._unpause()

    def end(self) -> None:
        """Closes the listener once no client waits to be accepted; those would be reset otherwise.

        Accepts one batch per iteration of the loop, so that hundreds of waiting clients delay neither open
        requests nor the steps of a shutdown.
        """
        self.end_timer.cancel()
        if self.listener is None:
            return
        if not self.shared:
            self.end_timer = self.loop.call_later(RETRY_PAUSE, self.end)  # also after a fault in accepting
            if self._accept():
                self.end_timer.cancel()
                self.end_timer = self.loop.call_later(0.0, self.end)
                return
            if self.waiting_since is not None and not self.host.refuse_unopened:  # at the limit: try again
                return
            self.end_timer.cancel()
        self.loop.end(self.listener)
        self.listener = None

    def _listen(self) -> Coroutine[None]:
        try:
            yield from self.loop.supervised(self._accept_loop)
        finally:
            self.sock.close()

    def _accept_loop(self) -> Coroutine[None]:
        while True:
            yield 0 if self.paused else IN
            self._accept()

    def _accept(self) -> bool:
        """Accepts a bounded number of waiting connections. Returns true if more may be waiting."""
        shortages = 0
        for number in range(ACCEPT_BATCH):
            if not self.host.has_room():
                if not number:  # at least one client is waiting; further ones are reported by the poll
                    self._pause(ACCEPT_PAUSE)
                return False
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                self.waiting_since = None
                return False
            except OSError as error:
                if not self._may_accept_again(error, shortages):
                    return False
                shortages += error.errno in TRANSIENT_ERRORS
                continue
            sock.setblocking(False)
            if not run_isolated(self.log, self.host.connection_accepted, sock):
                close_gracefully(sock)
        return True

    def _may_accept_again(self, error: OSError, shortages: int) -> bool:
        """True if accepting may go on after this error. `shortages` counts the transient ones so far."""
        if error.errno in ABORTED_CONNECTION_ERRORS:
            return True
        self.log(f"caller: accept: {error}")
        # The listener stays readable after any other error: without a pause the loop would spin.
        if error.errno in TRANSIENT_ERRORS:
            if shortages < MAX_TRIES:
                return True
            self._pause(RETRY_PAUSE)
            return False
        if error.errno == errno.EMFILE and self.host.evict_idle():
            return True
        self._pause(ACCEPT_PAUSE)
        return False

    def _pause(self, seconds: float) -> None:
        self.paused = True
        if self.waiting_since is None:
            self.waiting_since = self.loop.earliest_arrival
        self.loop.call_later(seconds, self._unpause)

    def _unpause(self) -> None:
        self.paused = False
        if self.listener is not None:
            self.loop.watch(self.listener, IN)
