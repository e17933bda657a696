"""A long value on its way from a next hop's connection to a client connection: a bounded pipe. No I/O.

The next hop's connection puts in what it has read and stops reading while there is no room; the client's
takes out what it can write and has the other go on. What all pipes hold together follows from one budget,
shared evenly.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

MIN_WINDOW, MAX_WINDOW = 8 * 1024, 128 * 1024  # bytes that one pipe may hold, by how many there are


class FlowBudget:
    """The budget of all pipes, in bytes."""

    def __init__(self, budget: int) -> None:
        self.budget = budget
        self.open = 0

    @property
    def window(self) -> int:
        """What one pipe may hold now."""
        return max(MIN_WINDOW, min(MAX_WINDOW, self.budget // max(1, self.open)))


class Flow:
    """One value of a known size. It ends whole (`done`) or broken (`cut`), once."""

    __slots__ = (
        "aborted", "buffered", "buffers_all", "closed", "complete", "flows", "on_change", "parts",
        "remaining", "resume", "size",
    )  # fmt: skip

    def __init__(self, flows: FlowBudget, size: int, resume: Callable[[], None]) -> None:
        """`resume` has the connection read on."""
        self.flows, self.size, self.resume = flows, size, resume
        self.remaining = size  # bytes still to be put in
        self.parts: deque[memoryview] = deque()
        self.buffered = 0
        self.complete = self.aborted = self.closed = False
        self.buffers_all = False  # takes in all of it before anything is taken out
        self.on_change: Callable[[], None] = lambda: (
            None
        )  # the connection has something to take, or the value has ended
        flows.open += 1

    @property
    def capacity(self) -> int:
        """Bytes that may be put in now; the connection reads nothing while there are none."""
        if self.buffers_all:
            return max(MIN_WINDOW, self.remaining)  # also what follows the value has to be read
        return max(0, self.flows.window - self.buffered)

    @property
    def drained(self) -> bool:
        """Everything was taken out, and the value is whole."""
        return self.complete and not self.buffered

    def buffer_all(self) -> None:
        """Takes in all of it, as there is room for it elsewhere."""
        was, self.buffers_all = self.capacity, True
        if not was and self.remaining:
            self.resume()

    def put(self, data: bytes) -> None:
        """Takes in the next bytes, at most those that are left."""
        self.remaining -= len(data)
        self.buffered += len(data)
        self.parts.append(memoryview(data))
        self.on_change()

    def take(self, most: int) -> bytes:
        """Takes out up to so many bytes."""
        was, taken = self.capacity, bytearray()
        while self.parts and len(taken) < most:
            part = self.parts.popleft()
            piece = part[: most - len(taken)]
            taken += piece
            if len(piece) < len(part):
                self.parts.appendleft(part[len(piece) :])
        self.buffered -= len(taken)
        if taken and not was and self.capacity and not self.complete:
            self.resume()
        return bytes(taken)

    def finish(self) -> None:
        """The next hop has given all of it, and its end."""
        self.complete = True
        self._end()

    def abort(self) -> None:
        """No more will come."""
        if not self.complete:
            self.aborted = True
            self._end()

    def _end(self) -> None:
        if not self.closed:
            self.closed = True
            self.flows.open -= 1
            self.on_change()
