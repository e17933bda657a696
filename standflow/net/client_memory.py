"""Account of what is held for clients, whichever buffer it is in. No I/O.

It counts commands that were read and not taken, bodies of open requests, answers behind an earlier one of
their connection, and unsent bytes. Bodies and values above 64 KiB have budgets of their own.

As the account fills, less is taken in: from half of the limit on each connection has one request at a time,
and its others are refused; at the limit all are. From that half on a connection that holds more than its
share of it keeps no more answers, so that a few clients can't take the memory of all others.
"""

from __future__ import annotations

from collections.abc import Callable

from standflow.process_memory import ProcessMemory, Use, unlimited

STRAINED_SHARE = 0.5  # of the limit, from which less is taken in
LOGGED_SHARE = 0.25  # of the limit; a peak below it is not worth a log line


class ClientMemory:
    """What all connections hold together, in bytes."""

    def __init__(
        self,
        limit: int,
        log: Callable[[str], None] = lambda text: None,
        process: ProcessMemory | None = None,
    ) -> None:
        """`process`: the memory of the whole process, which may be short before this account is full."""
        self.log, self.process = log, process or unlimited()
        self.resize(limit)
        self.used = 0
        self.holders = 0  # connections that hold something
        self.peak = 0  # since the last report
        # Bodies of open requests. They stay until no backend needs them, also if their clients leave.
        self.bodies = HeldBytes(self)

    def resize(self, limit: int) -> None:
        """Changes the limit."""
        self.limit = limit
        self.strained_from = int(STRAINED_SHARE * limit)

    @property
    def strained(self) -> bool:
        """True if each connection may have only one request at a time."""
        return self.used >= self.strained_from or not self.process.fits(0, Use.REQUEST)

    def admits(self, size: int) -> bool:
        """True if a request with a body of `size` bytes may be opened."""
        return self.used + size < self.limit and self.process.fits(size, Use.NEW)

    def report(self) -> None:
        """Logs the most that was held since the last report. To be called now and then."""
        if self.peak >= LOGGED_SHARE * self.limit:
            self.log(
                f"caller: memory held for clients: peak={self.peak} now={self.used}"
                f" limit={self.limit} connections={self.holders}"
            )
        self.peak = self.used


class HeldBytes:
    """What one connection holds, in bytes."""

    __slots__ = ("memory", "size")

    def __init__(self, memory: ClientMemory) -> None:
        self.memory = memory
        self.size = 0

    def has_room(self, size: int) -> bool:
        """True if an answer may wait here."""
        memory = self.memory
        if not memory.process.fits(size, Use.ANSWER):
            return False
        if memory.used + size <= memory.strained_from:
            return True
        share = memory.strained_from / (memory.holders + (not self.size))
        return memory.used + size <= memory.limit and self.size + size <= share

    def change(self, size: int) -> None:
        """The connection holds more, or less if `size` is negative."""
        memory, held_before = self.memory, self.size
        self.size += size
        memory.used += size
        memory.process.take(size)
        memory.holders += bool(self.size) - bool(held_before)
        if memory.used > memory.peak:
            memory.peak = memory.used

    def release(self) -> None:
        """The connection has ended."""
        self.change(-self.size)
