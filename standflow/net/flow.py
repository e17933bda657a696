"""A long value on its way from a next hop's connection to a client connection: a bounded pipe. No I/O.

The next hop's connection puts in what it has read and stops reading while there is no room; the client's
takes out what it can write and has the other go on. What all pipes hold together follows from one budget,
shared evenly.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

LEAST, MOST = 8 * 1024, 128 * 1024  # bytes that one pipe may hold, by how many there are


class Flows:
    """The budget of all pipes, in bytes."""

    def __init__(self, budget: int) -> None:
        self.budget = budget
        self.open = 0

    @property
    def window(self) -> int:
        """What one pipe may hold now."""
        return max(LEAST, min(MOST, self.budget // max(1, self.open)))


class Flow:
    """One value of a known size. It ends whole (`done`) or broken (`cut`), once."""

    __slots__ = (
        "broken", "flows", "gathers", "held", "left", "over", "parts", "resume", "size", "wake", "whole",
    )  # fmt: skip

    def __init__(self, flows: Flows, size: int, resume: Callable[[], None]) -> None:
        """`resume` has the connection read on."""
        self.flows, self.size, self.resume = flows, size, resume
        self.left = size  # bytes still to be put in
        self.parts: deque[memoryview] = deque()
        self.held = 0
        self.whole = self.broken = self.over = False
        self.gathers = False  # takes in all of it before anything is taken out
        self.wake: Callable[[], None] = lambda: (
            None
        )  # the connection has something to take, or the value has ended
        flows.open += 1

    @property
    def room(self) -> int:
        """Bytes that may be put in now; the connection reads nothing while there are none."""
        if self.gathers:
            return max(LEAST, self.left)  # also what follows the value has to be read
        return max(0, self.flows.window - self.held)

    @property
    def ended(self) -> bool:
        """Everything was taken out, and the value is whole."""
        return self.whole and not self.held

    def gather(self) -> None:
        """Takes in all of it, as there is room for it elsewhere."""
        was, self.gathers = self.room, True
        if not was and self.left:
            self.resume()

    def put(self, data: bytes) -> None:
        """Takes in the next bytes, at most those that are left."""
        self.left -= len(data)
        self.held += len(data)
        self.parts.append(memoryview(data))
        self.wake()

    def take(self, most: int) -> bytes:
        """Takes out up to so many bytes."""
        was, taken = self.room, bytearray()
        while self.parts and len(taken) < most:
            part = self.parts.popleft()
            piece = part[: most - len(taken)]
            taken += piece
            if len(piece) < len(part):
                self.parts.appendleft(part[len(piece) :])
        self.held -= len(taken)
        if taken and not was and self.room and not self.whole:
            self.resume()
        return bytes(taken)

    def done(self) -> None:
        """The next hop has given all of it, and its end."""
        self.whole = True
        self._end()

    def cut(self) -> None:
        """No more will come."""
        if not self.whole:
            self.broken = True
            self._end()

    def _end(self) -> None:
        if not self.over:
            self.over = True
            self.flows.open -= 1
            self.wake()
