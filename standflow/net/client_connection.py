"""One connection of a client: reads commands, writes final answers in the order of the commands."""

from __future__ import annotations

import contextlib
import socket
from collections import OrderedDict, deque
from typing import Protocol

from standflow.exchange import (
    Exchange,
    Failed,
    FinalAnswer,
    InvalidRequestError,
    Refused,
    Request,
    Served,
    Transaction,
)
from standflow.net import resp
from standflow.net.bodies import Bodies
from standflow.net.flow import Flow
from standflow.net.loop import BROKEN, IN, LEFT, OUT, READABLE, TICK, Coroutine, Loop, Task, Timer, broken

READ_SIZE = 65536
MAX_PIPELINED = 64  # commands of one connection that wait for their answers; more stay in the kernel
PAUSE_OUT = 256 * 1024  # bytes that a slow reader may leave unread before no more is taken from it
MAX_OUT = 1024 * 1024  # and before it is given up
PIECE = 64 * 1024  # bytes of a long value that a connection has on its own, written or not, at most
LINGER = 1.0  # seconds for the last answer to arrive after framing was lost


class Host(Protocol):
    """What a connection asks of the side that accepted it."""

    loop: Loop
    exchange: Exchange
    bodies: Bodies  # room for long bodies that are being read
    values: Bodies  # room for long values that are gathered
    ready: bool  # clients are served
    pressing: bool  # each connection gets one more command served at the most
    dismissed: bool  # what was read and not opened yet is refused
    unread: int  # bytes written by no connection yet
    max_unread: int
    idle: OrderedDict[ClientConnection, None]

    def pong(self) -> bytes:
        """The answer to PING."""

    def rest(self, connection: ClientConnection) -> None:
        """Nothing is open on the connection any more."""

    def has_more(self, connection: ClientConnection) -> bool:
        """True where something lies unread on it."""

    def closed(self, connection: ClientConnection) -> None:
        """It has ended."""


class Slot:
    """The place of one command's answer in a connection's order."""

    __slots__ = ("answer", "asked_room", "begun", "flow", "room", "timer", "transaction")

    def __init__(self, answer: bytes | None = None) -> None:
        self.answer = answer
        self.flow: Flow | None = None  # what follows the answer's first bytes
        self.transaction: Transaction | None = None
        # Of a long value:
        self.begun = False  # its first bytes are on their way to the client
        self.asked_room = False  # it is gathered before that
        self.room = 0  # reserved for it
        self.timer: Timer | None = None  # at which it has to be there

    @property
    def passing(self) -> bool:
        """A long value has begun and may yet be cut off: nothing behind it could be answered then."""
        return self.begun and self.flow is not None and not self.flow.whole


class ClientConnection:
    """One connection of a client."""

    def __init__(self, side: Host, sock: socket.socket) -> None:
        self.side, self.sock = side, sock
        self.buffer = resp.Buffer()
        self.slots: deque[Slot] = deque()
        self.out = bytearray()
        self.reason = "shutdown"
        self.leaving = False  # it ends once nothing is open or unread
        self.refusing = False  # what was read since then is refused: it came too late to be served
        self.framing_lost = False  # what was read behind that is no command
        self.shut = False  # the sending has ended: what still comes has crossed that, and is dropped
        self.answered = 0
        self.stalls = 0
        self.made = side.loop.now()
        self.heard = self.made  # when the bytes read last can have come at the earliest
        self.held_since: float | None = None
        self.moved = self.made  # when bytes came last
        self.room = 0  # reserved for the body that is being read
        self.waits = False  # for such room
        self.left = False  # the client has closed: what is read now was sent before, and nobody waits for it
        self.task: Task | None = None

    @property
    def ending(self) -> bool:
        """True where the connection ends by itself after what it owes."""
        return self.framing_lost or self.leaving

    @property
    def reads(self) -> bool:
        """True where it may take more commands, to serve or to refuse them."""
        return not (self.framing_lost or self.shut or self.full())

    def leave(self) -> None:
        """A drain: it ends once all that has come is answered; what comes from now on is refused."""
        self.leaving, self.reason = True, "drained"

    def live(self) -> Coroutine[None]:
        """The whole life of the connection."""
        try:
            self.reason = yield from self._serve()
            if self.reason in ("bad_framing", "drained"):
                yield from self._linger()
        finally:
            self.side.closed(self)
            for slot in self.slots:
                self._release_room(slot)
                if slot.transaction is not None:
                    self.side.exchange.client_gone(slot.transaction)

    def _serve(self) -> Coroutine[str]:
        while True:
            ready = yield self.mask()
            try:
                if ready & LEFT and not ready & READABLE:
                    return "peer_closed"  # while reading paused: what lies unread is nobody's any more
                if ready & OUT:
                    self._push()
                if ready & IN and self.slots and self.slots[0].passing:
                    self._gather_rest(self.slots[0])
                elif ready & IN and not self.framing_lost:
                    self.left = bool(ready & LEFT)
                    data = self.sock.recv(READ_SIZE)
                    if not data:
                        return "peer_closed"
                    self.buffer.feed(data)
                    self.stalls = 0
                    self.refusing = self.leaving
                    self.moved = self.side.loop.now()
                    # what lay in the kernel while reading paused has used up its client's time all the same
                    self.heard = self.held_since or self.side.loop.heard
                    self.held_since = None
                elif ready & BROKEN:
                    return "broken"
                self._work()
            except BlockingIOError:
                continue
            except OSError as error:
                return broken(error)
            if self._cut_off():
                return "cut_off"  # in the middle of the value: the client can tell
            if self._done():
                return self.reason
            if self.too_slow():
                return "slow_reader"

    def _cut_off(self) -> bool:
        flow = self.slots[0].flow if self.slots and self.slots[0].begun else None
        return flow is not None and flow.broken

    def _done(self) -> bool:
        """True where it is ending and owes nothing more: what lies unread is owed an answer too."""
        if self.out or self.slots or not self.ending:
            return False
        return self.framing_lost or not self.side.has_more(self)

    def _linger(self) -> Coroutine[None]:
        """Reads what still comes and drops it: closing over unread bytes would take the answer back."""
        self.shut = True
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
        """Reading pauses while too much of this connection is open or unread, and until clients are served.

        That the client leaves is heard all the same.
        """
        not_served_yet = not self.side.ready and not self.leaving
        paused = self.full() or self.framing_lost or self.waits or not_served_yet
        if paused and not self.framing_lost and self.slots and self.slots[0].passing:
            paused = self.slots[0].asked_room  # that something lies unread has the rest of the value gathered
        if paused and self.held_since is None:
            self.held_since = self.side.loop.now()
        return (LEFT if paused else IN) | (OUT if self.out else 0)

    def full(self) -> bool:
        """Too much is open or unread for another command, or it could have no answer.

        What is read behind a long value that has begun is lost if that is cut off: it stays unread.
        """
        if self.slots and self.slots[0].passing:
            return True
        return len(self.slots) >= MAX_PIPELINED or len(self.out) > PAUSE_OUT

    def _work(self) -> None:
        """Takes commands and writes answers in turns: those answered at once make room for the next."""
        self._take()
        while self.full():
            self._flush()
            if self.full():
                return
            self._take()
        self._flush()

    def _take(self) -> None:
        """Takes the whole commands that were read, as long as the connection may have more open.

        Also those read before the connection began to drain: each is owed an answer.
        """
        while not self.full() and not self.framing_lost:
            try:
                parts = self.buffer.command()
            except resp.FramingError as error:
                self.slots.append(Slot(resp.error(str(error))))
                self.framing_lost, self.reason = True, "bad_framing"
                return
            if parts is None:
                if self.buffer.body > resp.MAX_VALUE and not self.room and not self.framing_lost:
                    self._reserve(self.buffer.body)
                return
            room, self.room = self.room, 0
            self.side.idle.pop(self, None)
            if self.side.pressing:
                self.leave()
            slot = Slot()
            self.slots.append(slot)
            try:
                command = resp.decode_command(parts)
                if isinstance(command, resp.Ping):
                    slot.answer = self.side.pong()
                elif self.side.dismissed or self.refusing:
                    self.side.exchange.tally("refused.leaving")
                    slot.answer = encode_final(Refused(self.side.exchange.default_retry_after))
                elif self.left:
                    # Never opened: the end of the connection comes next.
                    self.side.exchange.tally("left.unread")
                else:
                    self._open(slot, command, room)
                    room = 0  # the exchange gives it back
            except (resp.CommandError, InvalidRequestError) as error:
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
        if (said := exchange.safe_flags(ask.class_name)) and ask.safe not in said:
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

        def reply(final: FinalAnswer) -> None:
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
        if self.ending or self.buffer.data or self._cut_off() or self.too_slow():
            # the connection may be done, or what was held back for room may go on
            self.side.loop.resume(self.task, TICK)
        else:
            self.side.loop.watch(self.task, self.mask())

    def _flush(self) -> None:
        """Moves the answers that are next in order out."""
        slots, ready = self.slots, bytearray()
        while slots and slots[0].answer is not None:
            slot = slots[0]
            if slot.flow is not None and not slot.begun and not self._may_begin(slot, slot.flow):
                break
            ready += slot.answer or b""
            if slot.flow is not None:
                slot.answer = b""
                ready += slot.flow.take(max(0, PIECE - len(ready) - len(self.out)))
                if not slot.flow.ended:
                    break
                ready += b"\r\n"
            self._release_room(slots.popleft())
            self.answered += 1
        if ready:
            self.side.unread += len(ready)
            if self.out:
                self.out += ready
            else:
                self.out = ready
                self._push()
        if not slots and not self.out and not self.ending:
            self.side.rest(self)

    def _may_begin(self, slot: Slot, flow: Flow) -> bool:
        """Whether the first bytes of a long value, whose turn it is, may leave.

        Once they have, nothing else can be answered on this connection if the value is cut off. So it is
        passed on as it comes only while nothing has been read behind it; else it is gathered first, and where
        it is cut off or late meanwhile it fails alone.
        """
        if flow.broken:
            self._fail_value(slot)
            return True
        if flow.whole or (len(self.slots) == 1 and not self.buffer.data):
            slot.begun = True
            return True
        if not slot.asked_room:
            self._gather(slot, flow)
        return False

    def _gather(self, slot: Slot, flow: Flow) -> None:
        """Has all of a value come, as soon as there is room for it, until its deadline."""

        def granted() -> None:
            slot.room = flow.size
            if slot.flow is flow:
                flow.gather()
            else:
                self._release_room(slot)

        slot.asked_room = True
        if slot.transaction is not None:
            slot.timer = self.side.loop.call_at(slot.transaction.deadline, self._value_late, slot)
        if self.side.values.reserve(slot, flow.size, granted):
            granted()

    def _gather_rest(self, slot: Slot) -> None:
        """Something has come behind a value that is being passed on: it is read once the value is whole.

        The backend gives the rest at its own pace then, however slowly the client takes it.
        """
        slot.asked_room = True
        if slot.flow is not None and self.side.values.take(slot.flow.left):
            slot.room = slot.flow.left
            slot.flow.gather()

    def _value_late(self, slot: Slot) -> None:
        """A value that was gathered is not whole in time: it fails, and those behind it go on."""
        transaction = slot.transaction
        if slot.flow is None or slot.begun or transaction is None:
            return
        self._fail_value(slot)
        self.side.exchange.value_timed_out(transaction)
        self._answered()

    def _fail_value(self, slot: Slot) -> None:
        if slot.flow is not None:
            slot.flow.wake = _nothing
        slot.answer, slot.flow, slot.transaction = resp.error("the value was cut off"), None, None
        self._release_room(slot)

    def fail_late_values(self) -> None:
        """The process is about to end: a value that has not begun fails, so that those behind it go on."""
        for slot in self.slots:
            self._value_late(slot)

    def _release_room(self, slot: Slot) -> None:
        if slot.timer is not None:
            slot.timer.cancel()
        if slot.asked_room:
            self.side.values.forget(slot)
        if slot.room:
            self.side.values.release(slot.room)
            slot.room = 0

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


def _nothing() -> None:
    """A value that has ended wakes nobody."""


def encode_final(final: FinalAnswer) -> bytes:
    """A final answer on the wire."""
    if isinstance(final, Served):
        return resp.bulk(final.value)
    if isinstance(final, Refused):
        return resp.busy(final.retry_after)
    if isinstance(final, Failed):
        return resp.error(final.reason)
    raise TypeError(final)
