"""The answer to one command of a client connection, and the memory of a long value buffered for it."""

from __future__ import annotations

from collections.abc import Callable

from standflow.exchange import Transaction
from standflow.messages import Failed, FinalAnswer, Refused, Served
from standflow.net import resp
from standflow.net.flow import Flow
from standflow.net.loop import Timer
from standflow.net.memory_budget import MemoryBudget


class AnswerSlot:
    """The place of one command's answer in the order of its connection's commands."""

    __slots__ = (
        "answer", "buffering", "flow", "held", "memory", "received_at", "reserved", "started", "timer",
        "transaction",
    )  # fmt: skip

    def __init__(self, memory: MemoryBudget, received_at: float) -> None:
        """`memory` is that of buffered values; `received_at`: of the command, on the loop's clock."""
        self.memory, self.received_at = memory, received_at
        self.answer: bytes | None = None
        self.held = 0  # bytes that count as held by the connection
        self.flow: Flow | None = None  # a long value, which follows the answer's first bytes
        self.transaction: Transaction | None = None
        # For a long value:
        self.started = False  # its first bytes are on their way to the client
        self.buffering = False  # the rest of it is to be buffered as a whole
        self.reserved = 0  # bytes reserved for buffering
        self.timer: Timer | None = None  # fires when the value is due

    @property
    def streaming(self) -> bool:
        """True while a long value is being forwarded. If it is cut off, nothing behind it can be answered."""
        return self.started and self.flow is not None and not self.flow.complete

    @property
    def cut_off(self) -> bool:
        """True if a long value that was being forwarded will never be complete."""
        return self.started and self.flow is not None and self.flow.aborted

    @property
    def kept(self) -> int:
        """Bytes that are kept here until they can be sent, and for which no memory is reserved elsewhere.

        A long value may arrive whole before its turn if it fits into the window of its flow. Others count
        against the budget of the flows, or against that of buffered values, until they are complete.
        """
        kept, flow = len(self.answer or b""), self.flow
        if flow is None or self.reserved:
            return kept
        if flow.complete:
            return kept + flow.buffered
        return kept + (flow.size if flow.fits_window and not self.started else 0)

    def set_answer(self, final: FinalAnswer, value_changed: Callable[[], None]) -> None:
        """Sets the final answer. `value_changed` is called for more bytes of a long value and for its end."""
        if isinstance(final, Served) and isinstance(final.value, Flow):
            self.answer, self.flow = resp.bulk_head(final.value.size), final.value
            final.value.on_change = value_changed
        else:
            self.answer, self.transaction = encode_final(final), None  # breaks a reference cycle

    def value_ended(self) -> None:
        """The long value is complete or aborted: its transaction is over."""
        self.transaction = None
        self._detach_value()

    def buffer_value(self) -> None:
        """Buffers the whole value before any of it is sent, once memory for it is granted."""
        flow = self.flow
        if flow is None:
            return

        def granted() -> None:
            self.reserved = flow.size
            if self.flow is flow:
                flow.buffer_all()
            else:
                self.release_memory()

        self.buffering = True
        if self.memory.reserve(self, flow.size, granted):
            granted()

    def buffer_rest(self) -> None:
        """Buffers the rest of a value that is being forwarded, because another command has arrived behind it.

        The backend then delivers the rest at its own pace, however slowly the client reads, and the command
        is read once the value is complete.
        """
        self.buffering = True
        if self.flow is not None and self.memory.try_reserve(self.flow.remaining):
            self.reserved = self.flow.remaining
            self.flow.buffer_all()

    def fail_value(self) -> None:
        """Answers with an error in place of a long value of which nothing has been sent."""
        self._detach_value()
        self.answer, self.flow, self.transaction = resp.error("the value was cut off"), None, None
        self.release_memory()

    def release_memory(self) -> None:
        """Returns what is reserved or waited for."""
        if self.timer is not None:
            self.timer.cancel()
        if self.buffering:
            self.memory.cancel(self)
        if self.reserved:
            self.memory.release(self.reserved)
            self.reserved = 0

    def discard(self) -> None:
        """The connection has ended: frees the answer and everything that refers back to the connection."""
        self._detach_value()
        self.answer, self.flow, self.transaction, self.timer = None, None, None, None

    def _detach_value(self) -> None:
        if self.flow is not None:
            self.flow.on_change = _ignore


def _ignore() -> None:
    """Change handler of a value that has ended."""


def encode_final(final: FinalAnswer) -> bytes:
    """Encodes a final answer for the wire."""
    if isinstance(final, Served):
        return resp.bulk(final.value)
    if isinstance(final, Refused):
        return resp.busy(final.retry_after)
    if isinstance(final, Failed):
        return resp.error(final.reason)
    raise TypeError(final)
