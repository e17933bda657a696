"""Account of the answers that wait for clients: behind an earlier one, or in a send buffer. No I/O."""

from __future__ import annotations

from collections.abc import Callable

LOGGED_SHARE = 0.25  # of the limit; a peak below it is not worth a log line


class AnswerMemory:
    """What all connections hold together, in bytes."""

    def __init__(self, limit: int, log: Callable[[str], None] = lambda text: None) -> None:
        self.limit, self.log = limit, log
        self.used = 0
        self.holders = 0  # connections that hold something
        self.peak = 0  # since the last report

    def report(self) -> None:
        """Logs the most that was held since the last report. To be called now and then."""
        if self.peak >= LOGGED_SHARE * self.limit:
            self.log(
                f"caller: answers that wait for clients: peak={self.peak} now={self.used}"
                f" limit={self.limit} connections={self.holders}"
            )
        self.peak = self.used


class HeldAnswers:
    """What one connection holds, in bytes."""

    __slots__ = ("memory", "size")

    def __init__(self, memory: AnswerMemory) -> None:
        self.memory = memory
        self.size = 0

    def add(self, size: int) -> None:
        """The connection holds more."""
        memory = self.memory
        if not self.size and size:
            memory.holders += 1
        self.size += size
        memory.used += size
        if memory.used > memory.peak:
            memory.peak = memory.used

    def remove(self, size: int) -> None:
        """A client has been sent a part of what was held."""
        if size:
            self.size -= size
            self.memory.used -= size
            if not self.size:
                self.memory.holders -= 1

    def release(self) -> None:
        """The connection has ended."""
        self.remove(self.size)
