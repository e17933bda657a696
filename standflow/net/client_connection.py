"""One connection of a client: reads commands, writes final answers in the order of the commands."""

from __future__ import annotations

import contextlib
import socket
from collections import OrderedDict, deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from standflow.exchange import Exchange
from standflow.isolation import run_for_each, run_isolated
from standflow.messages import FinalAnswer, InvalidRequestError, Refused, Request, Served
from standflow.net import resp
from standflow.net.answer_slot import AnswerSlot, encode_final
from standflow.net.arrival import READ_SIZE, count_unread_bytes
from standflow.net.client_memory import ClientMemory, HeldBytes
from standflow.net.closing import shut_down_unless_unread
from standflow.net.command_turn import CommandTurn
from standflow.net.flow import Flow
from standflow.net.long_body import BodyBudget, LongBody
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
    error_reason,
)
from standflow.net.memory_budget import MemoryBudget, Reservation
from standflow.net.timed_reader import TimedReader
from standflow.process_memory import ProcessMemory, Use

# Bytes of one read while no long command is being read and the process is short of memory: less so, and more.
# What a connection holds of a command beyond the shortest read is reserved.
MEDIUM_READ_BYTES, SHORT_READ_BYTES = 16 * 1024, 4 * 1024
MAX_LAST_BYTES = 32 * 1024  # unread bytes of a connection that ends, above which its client is flooding
USUAL_OPTIONS_BYTES = 256
HEAD_TIME_SECONDS = 1.0  # in place of a time limit for a command whose options have not come
MAX_PIPELINED = 64  # commands of one connection that wait for answers; further ones stay in the kernel
PAUSE_UNSENT = 256 * 1024  # unsent bytes at which no more commands are read from a connection
# Bytes of a long value in a connection's send buffer, at most.
MIN_VALUE_CHUNK, MAX_VALUE_CHUNK = 8 * 1024, 64 * 1024
LINGER = 1.0  # seconds for which a connection keeps reading after its last answer, to avoid a reset


class Host(Protocol):
    """What a connection needs from the side that accepted it."""

    loop: Loop
    log: Callable[[str], None]
    exchange: Exchange
    memory: ProcessMemory
    body_budget: BodyBudget  # for long bodies that are being read
    command_budget: BodyBudget  # for shorter commands of more than a few KiB that are being read
    value_budget: MemoryBudget  # for long values that are buffered as a whole
    ready: bool  # clients are served
    drain_expired: bool  # each connection gets at most one more command served
    refuse_unopened: bool  # commands that have not become a request yet are refused
    buffer_values_from: float  # long values of requests received later are buffered as a whole
    client_memory: ClientMemory  # for what is held for clients in other buffers
    idle: OrderedDict[ClientConnection, None]

    def pong(self) -> bytes:
        """Returns the answer to PING."""

    def became_idle(self, connection: ClientConnection) -> None:
        """The connection has no open request any more."""

    def closed(self, connection: ClientConnection) -> None:
        """The connection has ended."""


class ClientConnection:
    """One connection of a client."""

    def __init__(self, host: Host, sock: socket.socket) -> None:
        self.host, self.sock = host, sock
        self.buffer = resp.Buffer()
        self.slots: deque[AnswerSlot] = deque()
        self.unsent = bytearray()
        self.held = HeldBytes(host.client_memory)  # in `buffer`, `slots` and `unsent`
        self.received = 0  # bytes in `buffer` that count as held
        self.reason = "shutdown"
        self.draining = False  # the connection ends once nothing is open or unread
        self.draining_since = 0.0
        self.refusing = False  # commands read after the drain began arrived too late and are refused
        self.framing_lost = False  # bytes behind a framing error can't be parsed
        self.write_shut = False  # sending is shut down; bytes that still arrive are dropped
        self.answered = 0
        self.stalls = 0
        self.created_at = host.loop.now()
        self.turn = CommandTurn(host.loop, partial(self._isolate, self._go_on))
        self.reader = TimedReader(host.loop, host.log, sock)
        self.progress_at = self.created_at  # when bytes were last read, or a body was granted memory
        # The memory of the long body, or of the command of more than a few KiB, that is being read.
        self.long_body: LongBody | None = None
        self.client_closed = False  # the client has closed: nobody waits for answers to what is read now
        self.task: Task | None = None

    @property
    def ending(self) -> bool:
        """True if the connection ends by itself after its outstanding answers."""
        return self.framing_lost or self.draining

    @property
    def awaiting_memory(self) -> bool:
        """True while nothing is read, as there is no memory for a command."""
        return self.long_body is not None and self.long_body.waiting

    @property
    def mid_command(self) -> bool:
        """True if a part of a command has been read; its client may be writing the rest."""
        return self.buffer.holds_part and not self.framing_lost

    @property
    def delivering(self) -> bool:
        """True while an answer is on its way: its client has not been sent all of what has begun."""
        return bool(self.unsent) or bool(self.slots and self.slots[0].started)

    @property
    def accepts_commands(self) -> bool:
        """True if more commands may be read, to serve or to refuse them."""
        return not (self.framing_lost or self.write_shut or self.awaiting_memory or self.full())

    def start_drain(self) -> None:
        """Ends the connection once all commands are answered. Commands that arrive later are refused."""
        self.turn.lift_limit()
        if not self.draining:
            self.draining, self.draining_since, self.reason = True, self.host.loop.now(), "drained"
            self.drop_long_body()

    def run(self) -> Coroutine[None]:
        """Serves commands until the connection ends, and cleans up."""
        try:
            self.reason = yield from self._serve()
            if self.reason in ("bad_framing", "drained", "memory"):
                yield from self._linger()
        except Exception:
            self.reason = "fault"
            raise
        finally:
            self.task = None  # nothing may resume it any more, not even the end of a value that it gives up
            self._clean_up()

    def _clean_up(self) -> None:
        """Returns everything that the ended connection holds, whatever fails of it."""
        log = self.host.log
        run_isolated(log, self.host.closed, self)
        if self.long_body is not None:
            run_isolated(log, self.long_body.abandon)
        run_for_each(log, self.slots, AnswerSlot.release_memory)
        run_for_each(log, self.slots, self._give_up)
        self.held.release()
        self._drop_buffers()

    def _drop_buffers(self) -> None:
        """Frees what was received and not sent, and breaks reference cycles: garbage collection is rare."""
        self.buffer, self.unsent, self.long_body = resp.Buffer(), bytearray(), None
        self.turn.end()
        for slot in self.slots:
            slot.discard()

    def _give_up(self, slot: AnswerSlot) -> None:
        if slot.transaction is not None:
            self.host.exchange.client_gone(slot.transaction)

    def _isolate(self, step: Callable[..., object], *args: object) -> None:
        """Runs a step on behalf of another component. A fault in it ends this connection and goes no further.

        Without an end the client would wait for answers that can't be sent any more.
        """
        if run_isolated(self.host.log, step, *args):
            return
        self.reason = "fault"
        if self.task is not None:
            self.host.loop.end(self.task)

    def _serve(self) -> Coroutine[str]:
        while True:
            ready = yield self.mask()
            try:
                if ready & READ_HANGUP and not ready & READABLE:
                    # Closed while reading was paused: nobody waits for the unread commands.
                    return "peer_closed"
                if ready & OUT:
                    self._write()
                if ready & IN and self.slots and self.slots[0].streaming:
                    self.slots[0].buffer_rest()
                elif ready & IN and not (self.framing_lost or self.awaiting_memory or self.full()):
                    self.client_closed = bool(ready & READ_HANGUP)
                    if not self._read():
                        return "peer_closed"
                elif ready & ERROR_EVENTS:
                    return "broken"
                self._process()
                self._count_received()
            except BlockingIOError:
                continue
            except OSError as error:
                return error_reason(error)
            if self._cut_off():
                return "cut_off"  # closing in the middle of a value tells the client that it is incomplete
            if self._finish():
                return self.reason

    def _read(self) -> bool:
        """Reads what has arrived; returns false at the end of the stream."""
        data = self.reader.read(self.read_size())
        if not data:
            return False
        self.buffer.feed(data)
        self.stalls = 0
        self.turn.bytes_read()
        self.refusing = self.draining
        self.progress_at = self.reader.read_at
        return True

    def read_size(self) -> int:
        """Bytes that may be read now. Beyond a few KiB a command is read only into memory reserved for it."""
        body = self.long_body
        if self.draining or self.host.refuse_unopened:  # what is refused needs no memory, and time is short
            return self._last_read_size()
        if body is None:
            return self._unreserved_read_size()
        if body.dropped:
            return READ_SIZE
        reserved = body.reserved - len(self.buffer.data)
        return min(READ_SIZE, max(0, reserved) + SHORT_READ_BYTES)

    def _last_read_size(self) -> int:
        """The same for a connection that ends: small commands at full speed would take too long to refuse."""
        in_long_command = self.long_body is not None or self.buffer.dropping is not None
        if in_long_command or count_unread_bytes(self.sock) <= MAX_LAST_BYTES:
            return READ_SIZE
        return MEDIUM_READ_BYTES

    def _unreserved_read_size(self) -> int:
        memory = self.host.memory
        if self.host.client_memory.strained:  # what is read might have to wait, and others be refused for it
            return SHORT_READ_BYTES
        if memory.fits(READ_SIZE, Use.LONG):
            return READ_SIZE
        return MEDIUM_READ_BYTES if memory.fits(MEDIUM_READ_BYTES, Use.REQUEST) else SHORT_READ_BYTES

    def _count_received(self) -> None:
        """Counts what was read and not taken, without what is reserved for it."""
        reserved = 0 if self.long_body is None else self.long_body.reserved
        received = max(0, len(self.buffer.data) - reserved)
        if received != self.received:
            self.held.change(received - self.received)
            self.received = received

    def _cut_off(self) -> bool:
        return bool(self.slots) and self.slots[0].cut_off

    def _finish(self) -> bool:
        """Shuts down sending if the connection is ending and every command has been read and answered.

        A command of which a part has arrived is waited for: it may be whole any moment, and is answered then.
        """
        if self.unsent or self.slots or self.mid_command or not self.ending:
            return False
        if self.framing_lost:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
            return True
        return shut_down_unless_unread(self.sock)

    def _linger(self) -> Coroutine[None]:
        """Reads and drops what still arrives after the end of sending.

        Closing with unread bytes would cause a reset, and the client could lose the last answer.
        """
        self.write_shut = True
        loop, end = self.host.loop, self.host.loop.now() + LINGER
        with contextlib.suppress(OSError):
            while (yield from loop.wait(IN, end - loop.now())) and self.sock.recv(READ_SIZE):
                continue

    def mask(self) -> int:
        """Events to wait for.

        Reading pauses while the connection has too many open commands or unsent bytes, and until clients are
        served. A close by the client is noticed even then.
        """
        not_served_yet = not self.host.ready and not self.draining
        paused = self.full() or self.framing_lost or self.awaiting_memory or not_served_yet
        if paused and not self.framing_lost and self.slots and self.slots[0].streaming:
            paused = self.slots[0].buffering  # an unread command makes the rest be buffered
        self.reader.pause(paused)
        return (READ_HANGUP if paused else IN) | (OUT if self.unsent else 0)

    def full(self) -> bool:
        """True if no further command may be taken.

        While a long value is being forwarded, later commands stay unread: they could not be answered if the
        value were cut off.
        """
        if self.slots and self.slots[0].streaming:
            return True
        if self.turn.used_up or (self.turn.checking and not self.host.refuse_unopened):
            return True
        return len(self.slots) >= MAX_PIPELINED or len(self.unsent) > PAUSE_UNSENT

    def _process(self) -> None:
        """Takes commands and writes answers alternately: immediate answers allow further commands."""
        self._take_commands()
        while self.full():
            self._flush()
            if self.full():
                return
            self._take_commands()
        self._flush()

    def _take_commands(self) -> None:
        """Takes complete commands from the buffer, as long as the connection may have more open.

        This includes commands read before the connection began to drain, as each needs an answer.
        """
        while not self.full() and not self.framing_lost:
            if self._client_is_checked():
                return
            try:
                parts = self.buffer.command()
            except resp.FramingError as error:
                self._new_slot().answer = resp.error(str(error))
                self.framing_lost, self.reason = True, "bad_framing"
                return
            if parts is None:
                self._reserve_for_command()
                return
            self._take_command(parts)

    def _take_command(self, parts: list[resp.Part]) -> None:
        """Answers a complete command at once, or opens a request for it."""
        self.turn.command_taken()
        memory, dropped = self._end_long_body()
        body = memory if len(parts[-1]) > resp.MAX_VALUE else None
        opened = False
        try:
            opened = self._open_or_answer(parts, body, dropped)
        finally:
            if memory is not None and not (body and opened):  # the exchange releases it otherwise
                memory.release()

    def _client_is_checked(self) -> bool:
        """True while the next command, if it has come whole, waits for a look whether its client has left."""
        if not self.buffer.data or self.buffer.body_missing or self.host.refuse_unopened:
            return False
        return self.turn.check_client(self.reader.received_at)

    def _go_on(self) -> None:
        """Takes further commands that were read."""
        if self.task is not None and not self.task.running:
            self.host.loop.resume(self.task, NO_EVENT)

    def _open_or_answer(self, parts: list[resp.Part], body: Reservation | None, dropped: bool) -> bool:
        """Takes a complete command; true if a request was opened for it, which keeps its body's memory."""
        self.host.idle.pop(self, None)
        if self.host.drain_expired:
            self.start_drain()
        slot = self._new_slot()
        try:
            command = resp.decode_command(parts)
            if isinstance(command, resp.Ping):
                slot.answer = self.host.pong()
            elif not self._refuse_at_once(slot, command, dropped, body is not None):
                self._open(slot, command, body)
                return True
        except (resp.CommandError, InvalidRequestError) as error:
            slot.answer = resp.error(str(error))
        return False

    def _refuse_at_once(self, slot: AnswerSlot, ask: resp.Ask, dropped: bool, reserved: bool) -> bool:
        """Refuses a command for which no request may be opened; returns false if one may.

        A client that has closed is owed no answer.
        """
        exchange = self.host.exchange
        if self.host.refuse_unopened or self.refusing:
            exchange.tally("refused.leaving")
            slot.answer = encode_final(Refused(exchange.default_retry_after))
            return True
        if self.client_closed:  # the connection ends next
            exchange.tally("left.unread")
            return True
        if dropped or not self._admits(ask, reserved):
            slot.answer = encode_final(exchange.refuse_unopened(ask.class_name))
            return True
        return False

    def _admits(self, ask: resp.Ask, reserved: bool) -> bool:
        """True if there is memory for a request that was just read, beside what may be reserved for its body.

        Under strain a connection has one request at a time. Others are refused rather than left unread: their
        time is running.
        """
        memory = self.host.client_memory
        if memory.strained and (len(self.slots) > 1 or self.unsent):
            return False
        return memory.admits(0 if reserved else _counted_size(ask))

    def _new_slot(self) -> AnswerSlot:
        """The place of the next command's answer."""
        slot = AnswerSlot(self.host.value_budget, self.reader.received_at)
        self.slots.append(slot)
        return slot

    def _reserve_for_command(self) -> None:
        """Reserves memory for a command that has not arrived whole; reading pauses while there is none."""
        if self.buffer.dropping is not None:
            return
        if self.buffer.body > resp.MAX_VALUE:
            self._reserve(self.host.body_budget, self.buffer.body)
        elif self.buffer.command_size > SHORT_READ_BYTES:
            self._reserve(self.host.command_budget, self.buffer.command_size)

    def _reserve(self, budget: BodyBudget, size: int) -> None:
        """The body of a command that is refused in any case needs no memory."""
        if self.long_body is not None and (self.long_body.budget, self.long_body.size) != (budget, size):
            self.long_body.abandon()
            self.long_body = None
        if self.long_body is None:
            known = bool(self.buffer.body)
            time_limit = resp.time_limit(self.buffer.parts_before_body) if known else HEAD_TIME_SECONDS
            changed = partial(self._isolate, self._memory_changed)
            self.long_body = LongBody(budget, size, time_limit, changed)
        if self.host.refuse_unopened or self.refusing or self.client_closed:
            self.long_body.drop()
        self.long_body.bytes_received(len(self.buffer.data))

    def _memory_changed(self) -> None:
        """Continues reading a command for which memory was granted, or whose body was dropped."""
        if self.long_body is not None and self.long_body.dropped:
            if self.buffer.body:
                self.buffer.drop_body()
            else:
                self._refuse_head()
        self._count_received()
        self.progress_at = self.host.loop.now()
        if self.task is not None and not self.task.running:
            self.host.loop.watch(self.task, self.mask())

    def _refuse_head(self) -> None:
        """Refuses a command whose options have not come: where it ends is unknown, so the connection ends."""
        if self.framing_lost:
            return
        self.buffer = resp.Buffer()
        self._new_slot().answer = encode_final(self.host.exchange.refuse_unopened(""))
        self.framing_lost, self.reason = True, "memory"
        if self.task is not None and not self.task.running:
            self.host.loop.resume(self.task, NO_EVENT)

    def _end_long_body(self) -> tuple[Reservation | None, bool]:
        """A command is complete: returns the memory reserved for it, and whether its body was dropped."""
        body, self.long_body = self.long_body, None
        if body is None:
            return None, False
        reserved = body.whole()
        memory = Reservation(partial(body.budget.release, reserved)) if reserved else None
        return memory, body.dropped

    def refuse_partial_command(self) -> None:
        """Answers a command that has not arrived whole, as the connection is about to be closed.

        What still arrives of it can't be told from another command, and is dropped.
        """
        if not self.mid_command or self.slots or self.unsent:
            return
        refusal = encode_final(Refused(self.host.exchange.default_retry_after))
        with contextlib.suppress(OSError):  # the connection is closed in any case
            self.sock.send(refusal)
        self.framing_lost = True

    def drop_long_body(self) -> None:
        """Refuses the command whose long body is being read, as no further requests are opened."""
        if self.long_body is not None:
            self.long_body.drop()

    def _open(self, slot: AnswerSlot, ask: resp.Ask, body: Reservation | None) -> None:
        """Opens a request. `body`: the memory that is reserved for its body, if it is long."""
        exchange = self.host.exchange
        if (effects := exchange.safe_flags(ask.class_name)) and ask.safe not in effects:
            raise resp.CommandError("the class goes with the other command")
        body = body or self._count_body(ask)
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
            None if body is None else body.release,
        )

        reply = partial(self._isolate, self._reply, slot)
        try:
            transaction = exchange.open(request, self.reader.received_at, reply)
        except Exception:
            if body is not None:
                body.release()
            raise
        if slot.answer is None:
            slot.transaction = transaction

    def _reply(self, slot: AnswerSlot, final: FinalAnswer) -> None:
        """Takes the final answer to a request, and sends it if it is next in order."""
        first = self.slots[0] is slot
        if not first or self.unsent:
            final = self._fit(final, slot)
        slot.set_answer(final, partial(self._isolate, self._value_changed, slot))
        if not first:
            self._hold(slot)
        elif self.task is not None and not self.task.running:
            self._answered()

    def _count_body(self, ask: resp.Ask) -> Reservation | None:
        """Counts the short body of a request that is opened."""
        size = _counted_size(ask)
        if not size:
            return None
        bodies = self.host.client_memory.bodies
        bodies.change(size)
        return Reservation(partial(bodies.change, -size))

    def _fit(self, final: FinalAnswer, slot: AnswerSlot) -> FinalAnswer:
        """Returns what may wait here until the answers before it are sent: the answer, if there is memory.

        A long value has its own memory. It must not arrive whole before its turn unless there is memory here.
        """
        if not isinstance(final, Served):
            return final
        value = final.value
        if isinstance(value, Flow):
            if value.fits_window and not self.held.has_room(value.size):
                value.narrow()
        elif slot.transaction is not None and not self.held.has_room(len(value)):
            return self.host.exchange.drop_answer(slot.transaction)
        return final

    def _hold(self, slot: AnswerSlot) -> None:
        """Counts what a slot keeps until the answers before it are sent."""
        if self.task is None:  # the connection has ended, and a value that it gave up ends after it
            return
        before, slot.held = slot.held, slot.kept
        self.held.change(slot.held - before)

    def _value_changed(self, slot: AnswerSlot) -> None:
        """Handles more bytes of a long value, or its end."""
        if slot.flow is not None and slot.flow.closed:
            slot.value_ended()
            self._hold(slot)
        if self.task is not None and not self.task.running and self.slots and self.slots[0] is slot:
            self._answered()

    def _answered(self) -> None:
        """Writes an answer that was set from outside the coroutine at once."""
        with contextlib.suppress(OSError):  # the coroutine sees the error at its next poll
            self._flush()
        if self.task is None:
            return
        if self.ending or self.buffer.data or self._cut_off():
            # the connection may be done, or buffered commands may now be taken
            self.host.loop.resume(self.task, NO_EVENT)
        else:
            self.host.loop.watch(self.task, self.mask())

    def _flush(self) -> None:
        """Moves the answers that are next in order to the send buffer."""
        slots, ready, already_held = self.slots, bytearray(), 0
        while slots and slots[0].answer is not None:
            slot = slots[0]
            if slot.flow is not None and not slot.started and not self._may_start(slot, slot.flow):
                break
            ready += slot.answer or b""
            already_held += slot.held
            slot.held = 0
            if slot.flow is not None:
                slot.answer = b""
                ready += slot.flow.take(max(0, self._value_chunk - len(ready) - len(self.unsent)))
                if not slot.flow.drained:
                    break
                ready += b"\r\n"
            slots.popleft().release_memory()
            self.answered += 1
        if slots and slots[0].started:
            self._hold(slots[0])
        self.held.change(len(ready) - already_held)
        if ready:
            if self.unsent:
                self.unsent += ready
            else:
                self.unsent = ready
                self._write()
        if not slots and not self.unsent and not self.ending:
            self.host.became_idle(self)

    @property
    def _value_chunk(self) -> int:
        """Bytes of a long value that may be in the send buffer."""
        return MIN_VALUE_CHUNK if self.host.client_memory.strained else MAX_VALUE_CHUNK

    def _may_start(self, slot: AnswerSlot, flow: Flow) -> bool:
        """True if the first bytes of the long value that is next in order may be sent.

        Once they are sent, no later command on this connection can be answered if the value is cut off. So
        the value is forwarded as it arrives only while no other command has been read. Otherwise it is
        buffered first; if it is cut off or late meanwhile, only its own request fails. The same holds for a
        request that came so late in a shutdown that its answer must be whole before the process is killed.
        """
        if flow.aborted:
            slot.fail_value()
            return True
        alone = len(self.slots) == 1 and not self.buffer.holds_part
        if flow.complete or (alone and slot.received_at < self.host.buffer_values_from):
            slot.started = True
            return True
        if not slot.buffering:
            if slot.transaction is not None:
                deadline = slot.transaction.deadline
                slot.timer = self.host.loop.call_at(deadline, self._isolate, self._value_late, slot)
            slot.buffer_value()
        return False

    def _value_late(self, slot: AnswerSlot) -> None:
        """Fails a buffered value that is incomplete at its deadline, so that later answers can be sent."""
        transaction = slot.transaction
        if self.task is None or slot.flow is None or slot.started or transaction is None:
            return
        slot.fail_value()
        self.host.exchange.value_timed_out(transaction)
        self._answered()

    def fail_late_values(self) -> None:
        """Fails values that have not started, to let later answers through before the process ends.

        Each failure sends the answers behind it, which takes their slots out of the queue.
        """
        for slot in list(self.slots):
            self._isolate(self._value_late, slot)

    def _write(self) -> None:
        """Writes at once; the rest waits until the socket is writable."""
        if self.unsent:
            try:
                taken = self.sock.send(self.unsent)
            except BlockingIOError:
                return
            del self.unsent[:taken]
            self.stalls = 0
            self.held.change(-taken)
            if (
                taken
                and self.slots
                and self.slots[0].flow is not None
                and len(self.unsent) <= self._value_chunk // 2
            ):
                self._flush()


def _counted_size(ask: resp.Ask) -> int:
    """Bytes that an open request keeps, besides what each request needs: its body, and unusual options."""
    options = len(ask.options_before) + len(ask.options_after)
    return len(ask.body or b"") + (options if options > USUAL_OPTIONS_BYTES else 0)
