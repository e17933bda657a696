"""Bounded pipe that carries a long value from a next hop's connection to a client connection. No I/O.

The next hop's connection puts in what it reads, and waits while the pipe is full. It is resumed as soon as
there is capacity again, whatever made it: the client connection took something out, memory for the whole
value was reserved, or all pipes may hold more. All pipes share one memory budget evenly.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

MIN_WINDOW, MAX_WINDOW = 8 * 1024, 128 * 1024  # bytes that one pipe may hold, depending on how many are open


class FlowBudget:
    """Memory budget of all pipes, in bytes."""

    def __init__(self, budget: int) -> None:
        self.budget = budget
        self.open = 0
        self.waiting: dict[Flow, None] = {}  # pipes without capacity whose readers wait for it

    @property
    def window(self) -> int:
        """Bytes that one pipe may hold now."""
        return max(MIN_WINDOW, min(MAX_WINDOW, self.budget // max(1, self.open)))

    def resize(self, budget: int) -> None:
        """Changes the budget."""
        self.budget = budget
        self._resume_readers()

    def flow_opened(self) -> None:
        """Another pipe shares the budget."""
        self.open += 1

    def flow_ended(self, flow: Flow) -> None:
        """A pipe has ended; the others may hold more."""
        self.open -= 1
        self.waiting.pop(flow, None)
        self._resume_readers()

    def _resume_readers(self) -> None:
        for flow in list(self.waiting):
            flow.resume_reader()


class Flow:
    """Carries one value of a known size. It ends once, either complete (`finish`) or aborted (`abort`)."""

    __slots__ = (
        "aborted", "buffered", "buffers_all", "closed", "complete", "flows", "narrowed", "on_change",
        "parts", "remaining", "resume", "size",
    )  # fmt: skip

    def __init__(self, flows: FlowBudget, size: int, resume: Callable[[], None]) -> None:
        """`resume` makes the next hop's connection continue reading."""
        self.flows, self.size, self.resume = flows, size, resume
        self.remaining = size  # bytes still to be put in
        self.parts: deque[memoryview] = deque()
        self.buffered = 0
        self.complete = self.aborted = self.closed = False
        self.buffers_all = False  # the whole value is buffered before anything is taken out
        self.narrowed = False  # the window is the smallest one
        # Called when bytes have been put in or the value has ended.
        self.on_change: Callable[[], None] = lambda: None
        flows.flow_opened()

    @property
    def capacity(self) -> int:
        """Bytes that may be put in now; the connection reads nothing while this is zero."""
        if self.buffers_all:
            # At least one window, as the reply's parts behind the value have to be read as well.
            return max(MIN_WINDOW, self.remaining)
        return max(0, (MIN_WINDOW if self.narrowed else self.flows.window) - self.buffered)

    @property
    def fits_window(self) -> bool:
        """True if the whole value may be put in before any of it is taken out."""
        return self.size <= MAX_WINDOW and not self.narrowed

    @property
    def drained(self) -> bool:
        """True if the value is complete and all of it was taken out."""
        return self.complete and not self.buffered

    def narrow(self) -> None:
        """Reduces the window to the smallest one, until memory for the whole value is reserved."""
        self.narrowed = True

    def buffer_all(self) -> None:
        """Lifts the window, because memory for the whole value has been reserved elsewhere."""
        self.buffers_all = True
        self.resume_reader()

    def wait_for_capacity(self) -> None:
        """The next hop's connection reads nothing more until `resume` is called, which is done once."""
        self.flows.waiting[self] = None
        self.resume_reader()

    def resume_reader(self) -> None:
        """Resumes the next hop's connection if it waits and there is capacity."""
        if self in self.flows.waiting and self.capacity:
            del self.flows.waiting[self]
            self.resume()

    def put(self, data: bytes) -> None:
        """Appends the next bytes of the value, at most `remaining`."""
        self.remaining -= len(data)
        self.buffered += len(data)
        self.parts.append(memoryview(data))
        self.on_change()

    def take(self, max_bytes: int) -> bytes:
        """Removes and returns up to `max_bytes` bytes."""
        taken = bytearray()
        while self.parts and len(taken) < max_bytes:
            part = self.parts.popleft()
            piece = part[: max_bytes - len(taken)]
            taken += piece
            if len(piece) < len(part):
                self.parts.appendleft(part[len(piece) :])
        self.buffered -= len(taken)
        self.resume_reader()
        return bytes(taken)

    def finish(self) -> None:
        """Marks the value as completely received, including its terminator."""
        self.complete = True
        self._end()

    def abort(self) -> None:
        """Marks the value as cut off, unless it is complete."""
        if not self.complete:
            self.aborted = True
            self._end()

    def _end(self) -> None:
        if not self.closed:
            self.closed = True
            self.flows.flow_ended(self)
            self.on_change()
