"""One connection of a client: reads commands, writes final answers in the order of the commands."""

from __future__ import annotations

import contextlib
import socket
from collections import OrderedDict, deque
from typing import Protocol

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
from standflow.net.flow import Flow
from standflow.net.loop import (
    ERROR_EVENTS,
    IN,
    NO_EVENT,
    OUT,
    READ_HANGUP,
    READABLE,
    Coroutine,
    Loop,
    Task,
    Timer,
    error_reason,
)
from standflow.net.memory_budget import MemoryBudget

READ_SIZE = 65536
MAX_PIPELINED = 64  # commands of one connection that wait for their answers; more stay in the kernel
PAUSE_UNSENT = 256 * 1024  # bytes that a slow reader may leave unread before no more is taken from it
MAX_UNSENT = 1024 * 1024  # and before it is given up
VALUE_CHUNK = 64 * 1024  # bytes of a long value that a connection has on its own, written or not, at most
LINGER = 1.0  # seconds for the last answer to arrive after framing was lost


class Host(Protocol):
    """What a connection asks of the side that accepted it."""

    loop: Loop
    exchange: Exchange
    body_budget: MemoryBudget  # room for long bodies that are being read
    value_budget: MemoryBudget  # room for long values that are gathered
    ready: bool  # clients are served
    drain_expired: bool  # each connection gets one more command served at the most
    refuse_unopened: bool  # what was read and not opened yet is refused
    unread: int  # bytes written by no connection yet
    max_unread: int
    idle: OrderedDict[ClientConnection, None]

    def pong(self) -> bytes:
        """The answer to PING."""

    def became_idle(self, connection: ClientConnection) -> None:
        """Nothing is open on the connection any more."""

    def has_pending_bytes(self, connection: ClientConnection) -> bool:
        """True where something lies unread on it."""

    def closed(self, connection: ClientConnection) -> None:
        """It has ended."""


class Slot:
    """The place of one command's answer in a connection's order."""

    __slots__ = ("answer", "buffering", "started", "flow", "reserved", "timer", "transaction")

    def __init__(self, answer: bytes | None = None) -> None:
        self.answer = answer
        self.flow: Flow | None = None  # what follows the answer's first bytes
        self.transaction: Transaction | None = None
        # Of a long value:
        self.started = False  # its first bytes are on their way to the client
        self.buffering = False  # it is gathered before that
        self.reserved = 0  # reserved for it
        self.timer: Timer | None = None  # at which it has to be there

    @property
    def streaming(self) -> bool:
        """A long value has begun and may yet be cut off: nothing behind it could be answered then."""
        return self.started and self.flow is not None and not self.flow.complete


class ClientConnection:
    """One connection of a client."""

    def __init__(self, host: Host, sock: socket.socket) -> None:
        self.host, self.sock = host, sock
        self.buffer = resp.Buffer()
        self.slots: deque[Slot] = deque()
        self.unsent = bytearray()
        self.reason = "shutdown"
        self.draining = False  # it ends once nothing is open or unread
        self.refusing = False  # what was read since then is refused: it came too late to be served
        self.framing_lost = False  # what was read behind that is no command
        self.write_shut = False  # the sending has ended: what still comes has crossed that, and is dropped
        self.answered = 0
        self.stalls = 0
        self.created_at = host.loop.now()
        self.received_at = self.created_at  # when the bytes read last can have come at the earliest
        self.paused_since: float | None = None
        self.last_received_at = self.created_at  # when bytes came last
        self.reserved = 0  # reserved for the body that is being read
        self.awaiting_memory = False  # for such room
        self.client_closed = (
            False  # the client has closed: what is read now was sent before, and nobody waits for it
        )
        self.task: Task | None = None

    @property
    def ending(self) -> bool:
        """True where the connection ends by itself after what it owes."""
        return self.framing_lost or self.draining

    @property
    def accepts_commands(self) -> bool:
        """True where it may take more commands, to serve or to refuse them."""
        return not (self.framing_lost or self.write_shut or self.full())

    def start_drain(self) -> None:
        """A drain: it ends once all that has come is answered; what comes from now on is refused."""
        self.draining, self.reason = True, "drained"

    def run(self) -> Coroutine[None]:
        """The whole life of the connection."""
        try:
            self.reason = yield from self._serve()
            if self.reason in ("bad_framing", "drained"):
                yield from self._linger()
        finally:
            self.host.closed(self)
            for slot in self.slots:
                self._release_memory(slot)
                if slot.transaction is not None:
                    self.host.exchange.client_gone(slot.transaction)

    def _serve(self) -> Coroutine[str]:
        while True:
            ready = yield self.mask()
            try:
                if ready & READ_HANGUP and not ready & READABLE:
                    return "peer_closed"  # while reading paused: what lies unread is nobody's any more
                if ready & OUT:
                    self._write()
                if ready & IN and self.slots and self.slots[0].streaming:
                    self._buffer_rest(self.slots[0])
                elif ready & IN and not self.framing_lost:
                    self.client_closed = bool(ready & READ_HANGUP)
                    data = self.sock.recv(READ_SIZE)
                    if not data:
                        return "peer_closed"
                    self.buffer.feed(data)
                    self.stalls = 0
                    self.refusing = self.draining
                    self.last_received_at = self.host.loop.now()
                    # what lay in the kernel while reading paused has used up its client's time all the same
                    self.received_at = self.paused_since or self.host.loop.earliest_arrival
                    self.paused_since = None
                elif ready & ERROR_EVENTS:
                    return "broken"
                self._process()
            except BlockingIOError:
                continue
            except OSError as error:
                return error_reason(error)
            if self._cut_off():
                return "cut_off"  # in the middle of the value: the client can tell
            if self._done():
                return self.reason
            if self.too_slow():
                return "slow_reader"

    def _cut_off(self) -> bool:
        flow = self.slots[0].flow if self.slots and self.slots[0].started else None
        return flow is not None and flow.aborted

    def _done(self) -> bool:
        """True where it is ending and owes nothing more: what lies unread is owed an answer too."""
        if self.unsent or self.slots or not self.ending:
            return False
        return self.framing_lost or not self.host.has_pending_bytes(self)

    def _linger(self) -> Coroutine[None]:
        """Reads what still comes and drops it: closing over unread bytes would take the answer back."""
        self.write_shut = True
        loop, end = self.host.loop, self.host.loop.now() + LINGER
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
            while (yield from loop.wait(IN, end - loop.now())) and self.sock.recv(READ_SIZE):
                continue

    def too_slow(self) -> bool:
        """What waits for slow readers must not outgrow the memory."""
        size = len(self.unsent)
        return size > MAX_UNSENT or (size > PAUSE_UNSENT and self.host.unread > self.host.max_unread)

    def mask(self) -> int:
        """Reading pauses while too much of this connection is open or unread, and until clients are served.

        That the client leaves is heard all the same.
        """
        not_served_yet = not self.host.ready and not self.draining
        paused = self.full() or self.framing_lost or self.awaiting_memory or not_served_yet
        if paused and not self.framing_lost and self.slots and self.slots[0].streaming:
            paused = self.slots[0].buffering  # that something lies unread has the rest of the value gathered
        if paused and self.paused_since is None:
            self.paused_since = self.host.loop.now()
        return (READ_HANGUP if paused else IN) | (OUT if self.unsent else 0)

    def full(self) -> bool:
        """Too much is open or unread for another command, or it could have no answer.

        What is read behind a long value that has begun is lost if that is cut off: it stays unread.
        """
        if self.slots and self.slots[0].streaming:
            return True
        return len(self.slots) >= MAX_PIPELINED or len(self.unsent) > PAUSE_UNSENT

    def _process(self) -> None:
        """Takes commands and writes answers in turns: those answered at once make room for the next."""
        self._take_commands()
        while self.full():
            self._flush()
            if self.full():
                return
            self._take_commands()
        self._flush()

    def _take_commands(self) -> None:
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
                if self.buffer.body > resp.MAX_VALUE and not self.reserved and not self.framing_lost:
                    self._reserve(self.buffer.body)
                return
            room, self.reserved = self.reserved, 0
            self.host.idle.pop(self, None)
            if self.host.drain_expired:
                self.start_drain()
            slot = Slot()
            self.slots.append(slot)
            try:
                command = resp.decode_command(parts)
                if isinstance(command, resp.Ping):
                    slot.answer = self.host.pong()
                elif self.host.refuse_unopened or self.refusing:
                    self.host.exchange.tally("refused.leaving")
                    slot.answer = encode_final(Refused(self.host.exchange.come_back))
                elif self.client_closed:
                    # Never opened: the end of the connection comes next.
                    self.host.exchange.tally("left.unread")
                else:
                    self._open(slot, command, room)
                    room = 0  # the exchange gives it back
            except (resp.CommandError, UnacceptableError) as error:
                slot.answer = resp.error(str(error))
            if room:
                self.host.body_budget.release(room)

    def _reserve(self, size: int) -> None:
        """A long body is read on when there is room for it."""

        def granted() -> None:
            self.reserved, self.awaiting_memory, self.last_received_at = size, False, self.host.loop.now()
            if self.task is not None and not self.task.running:
                self.host.loop.watch(self.task, self.mask())

        if self.host.body_budget.reserve(self, size, granted):
            self.reserved = size
        else:
            self.awaiting_memory = True

    def _open(self, slot: Slot, ask: resp.Ask, room: int) -> None:
        exchange = self.host.exchange
        if (said := exchange.effects(ask.class_name)) and ask.safe not in said:
            raise resp.CommandError("the class goes with the other command")
        request = Request(
            ask.class_name,
            ask.plan,
            ask.tenant,
            ask.time_left,
            ask.units,
            ask.spread,
            ask.first,
            ask,
            ask.ident,
            (lambda: self.host.body_budget.release(room)) if room else None,
        )

        def reply(final: Final) -> None:
            if isinstance(final, Served) and isinstance(final.value, Flow):
                slot.answer, slot.flow = resp.bulk_head(final.value.size), final.value
                final.value.on_change = lambda: self._value_changed(slot)
            else:
                slot.answer, slot.transaction = encode_final(final), None  # a circle else: it holds this call
            if self.task is not None and not self.task.running and self.slots[0] is slot:
                self._answered()

        transaction = exchange.open(request, self.received_at, reply)
        if slot.answer is None:
            slot.transaction = transaction

    def _value_changed(self, slot: Slot) -> None:
        """More of a long value has come, or its end."""
        flow = slot.flow
        if flow is not None and flow.closed:
            slot.transaction, flow.on_change = None, _ignore
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
            self.host.loop.resume(self.task, NO_EVENT)
        else:
            self.host.loop.watch(self.task, self.mask())

    def _flush(self) -> None:
        """Moves the answers that are next in order out."""
        slots, ready = self.slots, bytearray()
        while slots and slots[0].answer is not None:
            slot = slots[0]
            if slot.flow is not None and not slot.started and not self._may_start(slot, slot.flow):
                break
            ready += slot.answer or b""
            if slot.flow is not None:
                slot.answer = b""
                ready += slot.flow.take(max(0, VALUE_CHUNK - len(ready) - len(self.unsent)))
                if not slot.flow.drained:
                    break
                ready += b"\r\n"
            self._release_memory(slots.popleft())
            self.answered += 1
        if ready:
            self.host.unread += len(ready)
            if self.unsent:
                self.unsent += ready
            else:
                self.unsent = ready
                self._write()
        if not slots and not self.unsent and not self.ending:
            self.host.became_idle(self)

    def _may_start(self, slot: Slot, flow: Flow) -> bool:
        """Whether the first bytes of a long value, whose turn it is, may leave.

        Once they have, nothing else can be answered on this connection if the value is cut off. So it is
        passed on as it comes only while nothing has been read behind it; else it is gathered first, and where
        it is cut off or late meanwhile it fails alone.
        """
        if flow.aborted:
            self._fail_value(slot)
            return True
        if flow.complete or (len(self.slots) == 1 and not self.buffer.data):
            slot.started = True
            return True
        if not slot.buffering:
            self._buffer_value(slot, flow)
        return False

    def _buffer_value(self, slot: Slot, flow: Flow) -> None:
        """Has all of a value come, as soon as there is room for it, until its deadline."""

        def granted() -> None:
            slot.reserved = flow.size
            if slot.flow is flow:
                flow.buffer_all()
            else:
                self._release_memory(slot)

        slot.buffering = True
        if slot.transaction is not None:
            slot.timer = self.host.loop.call_at(slot.transaction.deadline, self._value_late, slot)
        if self.host.value_budget.reserve(slot, flow.size, granted):
            granted()

    def _buffer_rest(self, slot: Slot) -> None:
        """Something has come behind a value that is being passed on: it is read once the value is whole.

        The backend gives the rest at its own pace then, however slowly the client takes it.
        """
        slot.buffering = True
        if slot.flow is not None and self.host.value_budget.try_reserve(slot.flow.remaining):
            slot.reserved = slot.flow.remaining
            slot.flow.buffer_all()

    def _value_late(self, slot: Slot) -> None:
        """A value that was gathered is not whole in time: it fails, and those behind it go on."""
        transaction = slot.transaction
        if slot.flow is None or slot.started or transaction is None:
            return
        self._fail_value(slot)
        self.host.exchange.value_late(transaction)
        self._answered()

    def _fail_value(self, slot: Slot) -> None:
        if slot.flow is not None:
            slot.flow.on_change = _ignore
        slot.answer, slot.flow, slot.transaction = resp.error("the value was cut off"), None, None
        self._release_memory(slot)

    def fail_late_values(self) -> None:
        """The process is about to end: a value that has not begun fails, so that those behind it go on."""
        for slot in self.slots:
            self._value_late(slot)

    def _release_memory(self, slot: Slot) -> None:
        if slot.timer is not None:
            slot.timer.cancel()
        if slot.buffering:
            self.host.value_budget.cancel(slot)
        if slot.reserved:
            self.host.value_budget.release(slot.reserved)
            slot.reserved = 0

    def _write(self) -> None:
        """Writes at once; the poll is armed only for what was not taken."""
        if self.unsent:
            try:
                taken = self.sock.send(self.unsent)
            except BlockingIOError:
                return
            del self.unsent[:taken]
            self.stalls = 0
            self.host.unread -= taken
            if (
                taken
                and self.slots
                and self.slots[0].flow is not None
                and len(self.unsent) <= VALUE_CHUNK // 2
            ):
                self._flush()


def _ignore() -> None:
    """A value that has ended wakes nobody."""


def encode_final(final: Final) -> bytes:
    """A final answer on the wire."""
    if isinstance(final, Served):
        return resp.bulk(final.value)
    if isinstance(final, Refused):
        return resp.busy(final.retry_after)
    if isinstance(final, Failed):
        return resp.error(final.reason)
    raise TypeError(final)
