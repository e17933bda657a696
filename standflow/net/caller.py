"""The caller side: accepts caller legs, and ends those that hold their place for nothing."""

from __future__ import annotations

import contextlib
import errno
import socket
from collections import OrderedDict
from collections.abc import Callable

from standflow.exchange import Exchange
from standflow.net import resp
from standflow.net.bodies import Bodies
from standflow.net.client_connection import Leg
from standflow.net.closing import MOST_READS, close_in_order
from standflow.net.listening import BACKLOG, adopted, listening
from standflow.net.loop import (
    IN,
    LACK_PAUSE,
    MOMENTARY_LACK,
    MOST_TRIES,
    READABLE,
    TICK,
    Coroutine,
    Loop,
    Task,
    broken,
    send_at_once,
)

MAX_BODIES = 16 * 1024 * 1024  # bytes of long bodies, where nothing else is said
MAX_UNREAD = 32 * 1024 * 1024  # bytes that all legs together may leave unread, where nothing else is said
SWEEP_EVERY = 0.25
MAX_STALLS = 80  # sweeps in a row without a byte taken after which a slow reader is given up
BODY_STALL = 1.5  # seconds without a byte after which a body counts as stuck
MAX_HALF = 10  # and without a byte sent after which half a command is
SPEAK_WITHIN = 2.3  # seconds in which a new leg has its first command whole; a sweep more, and it ends
JUST_ACCEPTED = 0.05  # seconds in which a new leg isn't asked to make way: its command is under way
SETTLE = 0.25  # seconds in which one with half a command isn't
JUST_COME = 1.0  # seconds in which a leg that has asked nothing is left to ask: its command is under way
PRESS = 1.5  # seconds of a drain after which no leg takes another command: what it has open may finish
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


class CallerSide:
    """The listener and the caller legs; the exchange's caller side."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        exchange: Exchange,
        address: tuple[str, int],
        max_legs: int,
        max_unread: int = MAX_UNREAD,
        passed: int | None = None,
        max_bodies: int = MAX_BODIES,
    ) -> None:
        """`passed`: a listening socket that other processes hold too; nothing is accepted before `ready`.
        OSError where the address, or that descriptor, can't be listened at.
        """
        self.loop, self.log, self.exchange, self.max_legs = loop, log, exchange, max_legs
        self.max_unread = max_unread
        self.bodies = Bodies(max_bodies)
        self.ready = False
        self.draining = False  # each leg ends when it has nothing open
        self.pressing = False  # and takes no command more
        self.dismissed = False  # what was read and not opened yet is refused
        self.evacuated = False  # by an operator: no front should send callers
        self.evacuated_at = 0.0
        self.drains = 0
        self.legs: set[Leg] = set()
        self.idle: OrderedDict[Leg, None] = OrderedDict()  # legs with nothing open, the longest idle first
        self.waiting_since: float | None = None  # since when callers may have waited to be accepted
        self.unread = 0  # bytes written by no leg yet
        self.shared = passed is not None
        self.paused = self.shared
        self.sock = listening(address) if passed is None else adopted(passed)
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
            if len(self.legs) >= self.max_legs and not any(map(self._spare, self.idle)):
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
            if len(self.legs) >= self.max_legs:  # only now: nobody makes way for a caller that isn't there
                self._make_room()
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
        leg = Leg(self, sock)
        if self.waiting_since is not None and self.has_more(leg):
            leg.held_since = self.waiting_since  # its caller may have waited so long to be accepted
        self.legs.add(leg)
        self.idle[leg] = None
        try:
            leg.task = self.loop.spawn(sock.fileno(), leg.live())
        except OSError as error:
            leg.reason = broken(error)
            self.closed(leg)

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
        """At the cap the leg idle longest makes way; one with something open never does."""
        if self.making_room:  # a request taken on the way wants a descriptor too: one in hand is enough
            return False
        self.making_room = True
        try:
            return any(self._end(leg, "cap") for leg in list(self.idle))
        finally:
            self.making_room = False

    def _end(self, leg: Leg, reason: str) -> bool:
        """Ends an idle leg unless a request has come on it meanwhile: that one is taken first."""
        if leg.task is None or leg not in self.legs:
            return False
        if not self._spare(leg):
            if self._unread(leg):
                self._read(leg, leg.task)
            return False
        leg.reason = reason
        self.loop.end(leg.task)
        return True

    def _read(self, leg: Leg, task: Task) -> None:
        """Has a leg take what has come; whether its caller has closed behind that must be known first."""
        self.loop.resume(task, READABLE | self.loop.ready(leg.sock.fileno(), IN))

    def _spare(self, leg: Leg) -> bool:
        """True for an idle leg with no request on its way, as far as can be known."""
        age = self.loop.now() - leg.made
        fresh = not leg.answered and age <= JUST_ACCEPTED
        half = not leg.answered and age > SETTLE
        return not fresh and not self.has_more(leg) and (half or not leg.buffer.data)

    def _unread(self, leg: Leg) -> bool:
        """Closing over unread bytes would reset the connection, and with it the answer just written."""
        return bool(leg.buffer.data) or self.has_more(leg)

    def has_more(self, leg: Leg) -> bool:
        """True where bytes lie in the kernel: what they say is taken before the leg is judged."""
        try:
            return bool(leg.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _sweep(self) -> None:
        """A leg that never asks, or is stuck in a command or an answer, holds its place for nothing."""
        now = self.loop.now()
        if self.pressing:
            for leg in [leg for leg in self.idle if now - leg.made > SWEEP_EVERY]:
                self._last_call(leg)
        for leg in [leg for leg in self.legs if (leg.out or not leg.slots) and not leg.waits]:
            leg.stalls += 1
            reason = ""
            if leg.out:
                reason = "slow_reader" if leg.stalls > MAX_STALLS else ""
            elif leg.buffer.body:
                late = now - leg.made > SPEAK_WITHIN or leg.answered
                reason = "slow_writer" if late and now - leg.moved > BODY_STALL else ""
            elif not leg.answered and now - leg.made > SPEAK_WITHIN:
                reason = "silent"
            elif leg.buffer.data and leg.stalls > MAX_HALF:
                reason = "slow_writer"
            if not reason or leg.task is None or leg.ending or (not leg.out and self.has_more(leg)):
                continue
            leg.reason = reason
            if not leg.out:
                with contextlib.suppress(OSError):  # where it can't be written, the close says the same
                    leg.sock.send(resp.error("no whole command in time"))
            self.loop.end(leg.task)

    def rest(self, leg: Leg) -> None:
        """A leg has nothing open any more."""
        if leg in self.legs:
            self.idle[leg] = None
            if self.draining and leg.answered and (self.pressing or not self._unread(leg)):
                self._last(leg)

    def _last(self, leg: Leg) -> None:
        self.idle.pop(leg, None)
        leg.leave()

    def _leave(self, leg: Leg) -> None:
        """A leg is served no more commands, and ends when all that came have their answers."""
        if not leg.leaving and not leg.last_words and leg.task is not None:  # else it may be reading out
            self._last(leg)
            self.loop.resume(leg.task, TICK)

    def pong(self) -> bytes:
        """The answer to a front that asks whether callers may be sent here."""
        return resp.error("evacuated") if self.evacuated else resp.PONG

    def closed(self, leg: Leg) -> None:
        """The end of a leg: its one log line."""
        self.legs.discard(leg)
        self.idle.pop(leg, None)
        self.bodies.forget(leg)
        if leg.room:
            self.bodies.release(leg.room)
        self.unread -= len(leg.out)
        close_in_order(leg.sock)
        age = self.loop.now() - leg.made
        self.log(f"end caller {leg.reason} answered={leg.answered} open={len(leg.slots)} age={age:.2f}")

    def close(self) -> None:
        """Ends what is left, at once."""
        for leg in list(self.legs):
            if leg.task is not None:
                self.loop.end(leg.task)

    def open(self) -> None:
        """Callers are served from now on; until now nothing was read, as the route set may be stale."""
        self.ready = True
        if self.shared:
            self._unpause()
        for leg in self.legs:
            if leg.task is not None:
                self.loop.watch(leg.task, leg.mask())

    def stop(self, serve_for: float = PRESS) -> None:
        """No new legs; each ends when it has nothing open, and after so many seconds no more is served."""
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
        """Fronts are told to send nobody, and legs end as in a drain, new ones too; or that is over.

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
        for leg in list(self.idle):
            # A new one that has asked nothing yet has come to ask: its command is under way.
            if leg.answered and not self._unread(leg):
                self._leave(leg)

    def _press(self, drain: int) -> None:
        """Whoever asks on and on, or has come and not asked, has had its time."""
        if not self.draining or drain != self.drains:
            return
        self.log(f"drain: no more is served, connections={len(self.legs)} open={self.exchange.open_count}")
        self.pressing = True
        for leg in list(self.legs):
            if leg.answered or leg.slots or self.loop.now() - leg.made > JUST_COME:
                self._last_call(leg)

    def _last_call(self, leg: Leg) -> None:
        """A leg leaves; a command that has come is taken first, and is its last one to be served."""
        for _ in range(MOST_READS):
            if leg.task is None or leg.last_words or leg.shut or leg.full() or not self._unread(leg):
                break
            self._read(leg, leg.task)
            if not self.has_more(leg):
                break
        self._leave(leg)

    def dismiss(self) -> None:
        """The process is about to end: no leg opens another request."""
        self.draining = self.pressing = self.dismissed = True
        self._end_listener()
        for leg in list(self.legs):
            self._last_call(leg)
