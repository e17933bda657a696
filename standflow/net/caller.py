"""The caller side: accepts caller legs, reads commands, writes final answers in the order of the commands."""

from __future__ import annotations

import contextlib
import errno
import socket
from collections import OrderedDict, deque
from collections.abc import Callable

from standflow.exchange import (
    Exchange,
    Failed,
    Final,
    Refused,
    Request,
    Served,
    Transaction,
    UnacceptableError,
)
from standflow.net import resp
from standflow.net.bodies import Bodies
from standflow.net.closing import close_in_order
from standflow.net.flow import Flow
from standflow.net.loop import BROKEN, IN, LEFT, OUT, READABLE, TICK, Coroutine, Loop, Task, broken

READ_SIZE = 65536
MAX_PIPELINED = 64  # commands of one leg that wait for their answers; more stay in the kernel
PAUSE_OUT = 256 * 1024  # bytes that a slow reader may leave unread before no more is taken from it
MAX_OUT = 1024 * 1024  # and before it is given up
PIECE = 64 * 1024  # bytes of a long value that a leg has on its own, written or not, at most
MAX_BODIES = 16 * 1024 * 1024  # bytes of long bodies, where nothing else is said
MAX_UNREAD = 32 * 1024 * 1024  # bytes that all legs together may leave unread, where nothing else is said
SWEEP_EVERY = 0.25
MAX_STALLS = 80  # sweeps in a row without a byte taken after which a slow reader is given up
BODY_STALL = 1.5  # seconds without a byte after which a body counts as stuck
MAX_HALF = 10  # and without a byte sent after which half a command is
SPEAK_WITHIN = 2.3  # seconds in which a new leg has its first command whole; a sweep more, and it ends
JUST_ACCEPTED = 0.05  # seconds in which a new leg isn't asked to make way: its command is under way
SETTLE = 0.25  # seconds in which one with half a command isn't
LINGER = 1.0  # seconds for the last answer to arrive after framing was lost
JUST_COME = 1.0  # seconds in which a leg that has asked nothing is left to ask: its command is under way
PRESS = 1.5  # seconds of a drain after which no leg takes another command: what it has open may finish
BACKLOG = 1024  # connections that may wait to be accepted
ACCEPTED_IN_ONE_GO = 64
ACCEPT_PAUSE = 0.1  # seconds without accepting when descriptors run out


class Slot:
    """The place of one command's answer in a leg's order."""

    __slots__ = ("answer", "flow", "transaction")

    def __init__(self, answer: bytes | None = None) -> None:
        self.answer = answer
        self.flow: Flow | None = None  # what follows the answer's first bytes
        self.transaction: Transaction | None = None


class Leg:
    """One connection of a caller."""

    def __init__(self, side: CallerSide, sock: socket.socket) -> None:
        self.side, self.sock = side, sock
        self.buffer = resp.Buffer()
        self.slots: deque[Slot] = deque()
        self.out = bytearray()
        self.reason = "shutdown"
        self.last_words = False  # nothing more is read, and after what is to be written the leg ends
        self.framing_lost = False  # what was read behind that is no command
        self.answered = 0
        self.stalls = 0
        self.made = side.loop.now()
        self.heard = self.made  # when the bytes read last can have come at the earliest
        self.held_since: float | None = None
        self.moved = self.made  # when bytes came last
        self.room = 0  # reserved for the body that is being read
        self.waits = False  # for such room
        self.left = False  # the caller has closed: what is read now was sent before, and nobody waits for it
        self.task: Task | None = None

    def live(self) -> Coroutine[None]:
        """The whole life of the leg."""
        try:
            self.reason = yield from self._serve()
            if self.reason in ("bad_framing", "drained"):
                yield from self._linger()
        finally:
            self.side.closed(self)
            for slot in self.slots:
                if slot.transaction is not None:
                    self.side.exchange.caller_gone(slot.transaction)

    def _serve(self) -> Coroutine[str]:
        while True:
            ready = yield self.mask()
            try:
                if ready & LEFT and not ready & READABLE:
                    return "peer_closed"  # while reading paused: what lies unread is nobody's any more
                if ready & OUT:
                    self._push()
                if ready & IN and not self.last_words:
                    self.left = bool(ready & LEFT)
                    data = self.sock.recv(READ_SIZE)
                    if not data:
                        return "peer_closed"
                    self.buffer.feed(data)
                    self.stalls = 0
                    self.moved = self.side.loop.now()
                    # what lay in the kernel while reading paused has used up its caller's time all the same
                    self.heard = self.held_since or self.side.loop.heard
                    self.held_since = None
                elif ready & BROKEN:
                    return "broken"
                self._work()
            except BlockingIOError:
                continue
            except OSError as error:
                return broken(error)
            if self.slots and (flow := self.slots[0].flow) is not None and flow.broken:
                return "cut_off"  # in the middle of the value: the caller can tell
            if self.last_words and not self.out and not self.slots:
                return self.reason
            if self.too_slow():
                return "slow_reader"

    def _linger(self) -> Coroutine[None]:
        """Reads what still comes and drops it: closing over unread bytes would take the answer back."""
        loop, end = self.side.loop, self.side.loop.now() + LINGER
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
            while (yield from loop.wait(IN, end - loop.now())) and self.sock.recv(READ_SIZE):
                continue

    def too_slow(self) -> bool:
        """What waits for slow readers must not outgrow the memory."""
        size = len(self.out)
        return size > MAX_OUT or (size > PAUSE_OUT and self.side.unread > self.side.max_unread)

    def mask(self) -> int:
        """Reading pauses while too much of this leg is open or unread, and until callers are served.

        That the caller leaves is heard all the same.
        """
        paused = self._full() or self.last_words or self.waits or not self.side.ready
        if paused and self.held_since is None:
            self.held_since = self.side.loop.now()
        return (LEFT if paused else IN) | (OUT if self.out else 0)

    def _full(self) -> bool:
        """Too much is open or unread for another command."""
        return len(self.slots) >= MAX_PIPELINED or len(self.out) > PAUSE_OUT

    def _work(self) -> None:
        """Takes commands and writes answers in turns: those answered at once make room for the next."""
        self._take()
        while self._full():
            self._flush()
            if self._full():
                return
            self._take()
        self._flush()

    def _take(self) -> None:
        """Takes the whole commands that were read, as long as the leg may have more open.

        Also those read before the leg began to drain: each is owed an answer.
        """
        while not self._full() and not self.framing_lost:
            try:
                parts = self.buffer.command()
            except resp.FramingError as error:
                self.slots.append(Slot(resp.error(str(error))))
                self.last_words, self.framing_lost, self.reason = True, True, "bad_framing"
                return
            if parts is None:
                if self.buffer.body > resp.MAX_VALUE and not self.room and not self.last_words:
                    self._reserve(self.buffer.body)
                return
            room, self.room = self.room, 0
            self.side.idle.pop(self, None)
            if self.side.pressing:
                self.last_words, self.reason = True, "drained"
            slot = Slot()
            self.slots.append(slot)
            try:
                command = resp.decode_command(parts)
                if isinstance(command, resp.Ping):
                    slot.answer = self.side.pong()
                elif self.side.dismissed:
                    slot.answer = encode_final(Refused(self.side.exchange.come_back))
                elif self.left:
                    self.side.exchange.tally("left.unread")  # never opened: the end of the leg comes next
                else:
                    self._open(slot, command, room)
                    room = 0  # the exchange gives it back
            except (resp.CommandError, UnacceptableError) as error:
                slot.answer = resp.error(str(error))
            if room:
                self.side.bodies.release(room)

    def _reserve(self, size: int) -> None:
        """A long body is read on when there is room for it."""

        def granted() -> None:
            self.room, self.waits, self.moved = size, False, self.side.loop.now()
            if self.task is not None and not self.task.running:
                self.side.loop.watch(self.task, self.mask())

        if self.side.bodies.reserve(self, size, granted):
            self.room = size
        else:
            self.waits = True

    def _open(self, slot: Slot, ask: resp.Ask, room: int) -> None:
        exchange = self.side.exchange
        if (said := exchange.effects(ask.class_name)) and ask.safe not in said:
            raise resp.CommandError("the class goes with the other command")
        request = Request(
            ask.class_name,
            ask.plan,
            ask.customer,
            ask.patience,
            ask.units,
            ask.spread,
            ask.first,
            ask,
            ask.ident,
            (lambda: self.side.bodies.release(room)) if room else None,
        )

        def reply(final: Final) -> None:
            if isinstance(final, Served) and isinstance(final.value, Flow):
                slot.answer, slot.flow = resp.bulk_head(final.value.size), final.value
                final.value.wake = lambda: self._woken(slot)
            else:
                slot.answer, slot.transaction = encode_final(final), None  # a circle else: it holds this call
            if self.task is not None and not self.task.running and self.slots[0] is slot:
                self._answered()

        transaction = exchange.open(request, self.heard, reply)
        if slot.answer is None:
            slot.transaction = transaction

    def _woken(self, slot: Slot) -> None:
        """More of a long value has come, or its end."""
        flow = slot.flow
        if flow is not None and flow.over:
            slot.transaction, flow.wake = None, _nothing
        if self.task is not None and not self.task.running and self.slots and self.slots[0] is slot:
            self._answered()

    def _answered(self) -> None:
        """An answer has come from outside the coroutine: it leaves at once."""
        with contextlib.suppress(OSError):  # the poll tells the coroutine
            self._flush()
        if self.task is None:
            return
        cut = bool(self.slots) and self.slots[0].flow is not None and self.slots[0].flow.broken
        if self.last_words or self.buffer.data or cut or self.too_slow():
            # the leg may be done, or what was held back for room may go on
            self.side.loop.resume(self.task, TICK)
        else:
            self.side.loop.watch(self.task, self.mask())

    def _flush(self) -> None:
        """Moves the answers that are next in order out."""
        slots, ready = self.slots, bytearray()
        while slots and slots[0].answer is not None:
            slot = slots[0]
            ready += slot.answer or b""
            if slot.flow is not None:
                slot.answer = b""
                ready += slot.flow.take(max(0, PIECE - len(ready) - len(self.out)))
                if not slot.flow.ended:
                    break
                ready += b"\r\n"
            slots.popleft()
            self.answered += 1
        if ready:
            self.side.unread += len(ready)
            if self.out:
                self.out += ready
            else:
                self.out = ready
                self._push()
        if not slots and not self.out and not self.last_words:
            self.side.rest(self)

    def _push(self) -> None:
        """Writes at once; the poll is armed only for what was not taken."""
        if self.out:
            try:
                taken = self.sock.send(self.out)
            except BlockingIOError:
                return
            del self.out[:taken]
            self.stalls = 0
            self.side.unread -= taken
            if taken and self.slots and self.slots[0].flow is not None and len(self.out) <= PIECE // 2:
                self._flush()


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
        loop.call_later(SWEEP_EVERY, self._sweep)

    def _listen(self) -> Coroutine[None]:
        try:
            while True:
                yield 0 if self.paused else IN
                self._accept()
        finally:
            self.sock.close()

    def _accept(self) -> bool:
        """Accepts those that wait, a bounded number in one go; true where more may wait."""
        for number in range(ACCEPTED_IN_ONE_GO):
            if len(self.legs) >= self.max_legs and not any(map(self._spare, self.idle)):
                if not number:  # somebody waits, that's known; later the poll tells
                    self._pause()
                return False
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                self.waiting_since = None
                return False
            except ConnectionError:
                continue  # it was gone before it was taken
            except OSError as error:
                # Out of descriptors the listener stays ready: without a pause the loop would spin on it.
                self.log(f"caller: accept: {error}")
                if not self._make_room():
                    self._pause()
                    return False
                continue
            if len(self.legs) >= self.max_legs:  # only now: nobody makes way for a caller that isn't there
                self._make_room()
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            leg = Leg(self, sock)
            if self.waiting_since is not None and self._more(leg):
                leg.held_since = self.waiting_since  # its caller may have waited so long to be accepted
            self.legs.add(leg)
            self.idle[leg] = None
            leg.task = self.loop.spawn(sock.fileno(), leg.live())
        return True

    def _pause(self) -> None:
        self.paused = True
        if self.waiting_since is None:
            self.waiting_since = self.loop.heard
        self.loop.call_later(ACCEPT_PAUSE, self._unpause)

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
        return not fresh and not self._more(leg) and (half or not leg.buffer.data)

    def _unread(self, leg: Leg) -> bool:
        """Closing over unread bytes would reset the connection, and with it the answer just written."""
        return bool(leg.buffer.data) or self._more(leg)

    def _more(self, leg: Leg) -> bool:
        """Bytes lie in the kernel: what they say is taken before the leg is judged."""
        try:
            return bool(leg.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _sweep(self) -> None:
        """A leg that never asks, or is stuck in a command or an answer, holds its place for nothing."""
        self.loop.call_later(SWEEP_EVERY, self._sweep)
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
            if not reason or leg.task is None or leg.last_words or (not leg.out and self._more(leg)):
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
        leg.last_words, leg.reason = True, "drained"

    def _leave(self, leg: Leg) -> None:
        """A leg takes no more commands, and ends when the answers to those it has are written."""
        if not leg.last_words and leg.task is not None:  # else it may be reading out what still comes
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

    def stop(self) -> None:
        """No new legs; each leg ends when it has nothing open."""
        if self.listener is not None:
            if not self.shared:
                # What the kernel has taken in already would be reset with the listener.
                for _ in range(BACKLOG // ACCEPTED_IN_ONE_GO):
                    if not self._accept():
                        break
            self.loop.end(self.listener)
            self.listener = None
        self._drain()

    def evacuate(self, wanted: bool, at: float) -> None:
        """Fronts are told to send nobody, and legs end as in a drain, new ones too; or that is over.

        `at`: when it was said, Unix time in seconds.
        """
        self.evacuated_at = at
        if wanted and not self.evacuated:
            self.evacuated = True
            self._drain()
        elif not wanted and self.evacuated:
            self.evacuated = False
            if self.listener is not None:
                self.draining = self.pressing = False
                self.drains += 1

    def _drain(self) -> None:
        self.draining = True
        self.drains += 1
        self.loop.call_later(PRESS, self._press, self.drains)
        for leg in list(self.idle):
            # A new one that has asked nothing yet has come to ask: its command is under way.
            if leg.answered and not self._unread(leg):
                self._leave(leg)

    def _press(self, drain: int) -> None:
        """Whoever asks on and on, or has come and not asked, has had its time."""
        if not self.draining or drain != self.drains:
            return
        self.pressing = True
        for leg in list(self.legs):
            if leg.answered or leg.slots or self.loop.now() - leg.made > JUST_COME:
                self._last_call(leg)

    def _last_call(self, leg: Leg) -> None:
        """A leg leaves; a command that has come is taken first, and is its last."""
        if leg.task is not None and self._unread(leg):
            self._read(leg, leg.task)
        self._leave(leg)

    def dismiss(self) -> None:
        """The process is about to end: no leg opens another request."""
        self.draining = self.pressing = self.dismissed = True
        for leg in list(self.legs):
            self._leave(leg)


def _nothing() -> None:
    """A value that has ended wakes nobody."""


def listening(address: tuple[str, int]) -> socket.socket:
    """A listener of this process's own."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


def adopted(number: int) -> socket.socket:
    """A listener that was inherited. It is never shut down: what waits in it belongs to others too."""
    sock = socket.socket(fileno=number)
    if (
        sock.family != socket.AF_INET
        or sock.type != socket.SOCK_STREAM
        or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    ):
        sock.detach()
        raise OSError(errno.EINVAL, "not a listening TCP socket")
    sock.setblocking(False)
    return sock


def encode_final(final: Final) -> bytes:
    """A final answer on the wire."""
    if isinstance(final, Served):
        return resp.bulk(final.value)
    if isinstance(final, Refused):
        return resp.busy(final.retry_after)
    if isinstance(final, Failed):
        return resp.error(final.reason)
    raise TypeError(final)
