"""Memory for the long bodies that clients are writing. No I/O.

A long body reserves its declared length before it is read, so that bodies which arrive promptly are read one
after another within a budget. A client that writes slowly must not keep memory from others: after a short
time its body gives back what it has not filled, and reserves more only as bytes arrive. No request waits for
memory without a limit. After a part of its time slow bodies make room for it, the youngest first. After a
larger part it is refused. The rest of a refused body is read and dropped, and the refusal is sent behind it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from standflow.isolation import run_isolated
from standflow.net.arrival import READ_SIZE
from standflow.net.loop import Loop, Timer
from standflow.net.memory_budget import MemoryBudget
from standflow.process_memory import ProcessMemory, Use

PROMPT_SECONDS = 0.25  # after its reservation; a body that has not arrived by then is slow
# Parts of a request's time limit. A refusal within half of it leaves the client time to try again.
WAIT_BEFORE_SHEDDING = 0.2  # after which slow bodies make room for the request
WAIT_BEFORE_REFUSAL = 0.4  # after which it is refused
LOGGED_WAIT_SECONDS = 0.1


class BodyBudget(MemoryBudget):
    """The memory budget of long bodies. Those that hold memory already are granted more before others."""

    def __init__(
        self,
        budget: int,
        loop: Loop,
        log: Callable[[str], None] = lambda text: None,
        tally: Callable[[str], None] = lambda name: None,
        process: ProcessMemory | None = None,
        use: Use = Use.LONG,
    ) -> None:
        super().__init__(budget, log, process, use)
        self.loop, self.tally = loop, tally
        self.growing: OrderedDict[LongBody, int] = OrderedDict()  # bodies that wait for more bytes
        self.slow: OrderedDict[LongBody, None] = OrderedDict()  # slow bodies, the oldest first

    def grow(self, body: LongBody, size: int) -> bool:
        """Reserves more for a body that holds memory; if there is none, the body is resumed once there is."""
        if self._may_grow(body, size):
            self.used += size
            return True
        self.growing[body] = size
        return False

    def _may_grow(self, body: LongBody, size: int) -> bool:
        """A body larger than the whole budget grows while nothing else is reserved."""
        within_budget = self.used <= body.reserved or self.used + size <= self.budget
        return within_budget and self.process.fits(size, self.use)

    def _grant(self) -> None:
        while self.growing:
            body, size = next(iter(self.growing.items()))
            if not self._may_grow(body, size):
                return
            del self.growing[body]
            self.used += size
            run_isolated(self.log, body.granted, size)
        super()._grant()

    def withdraw(self, body: LongBody) -> None:
        """Withdraws what a body waits for."""
        self.growing.pop(body, None)
        self.cancel(body)

    def droppable(self) -> list[LongBody]:
        """Bodies to drop for their memory, in order: slow ones, then waiting ones, the youngest first."""
        waiting = [body for body in reversed(self.waiting) if isinstance(body, LongBody)]
        return [*reversed(self.slow), *(body for body in waiting if body not in self.slow)]

    def youngest_slow(self, than: LongBody) -> LongBody | None:
        """The slow body that makes room for another one: the youngest, if it is younger than that one.

        A body that is not slow has just arrived, and counts as older than all slow ones.
        """
        youngest = next(reversed(self.slow), None)
        return None if youngest is than else youngest


class LongBody:
    """The memory of one body, from its length line until it has arrived whole, is dropped or is abandoned."""

    def __init__(self, budget: BodyBudget, size: int, time_limit: float, changed: Callable[[], None]) -> None:
        """`time_limit`: of the request, in seconds; `changed` is called when reading may go on."""
        self.budget, self.size, self.time_limit, self.changed = budget, size, time_limit, changed
        self.reserved = 0  # bytes
        self.received = 0  # bytes
        self.promised = 0  # bytes that are reserved and have not arrived
        self.dropped = False
        self.slow = False
        self.waiting_since: float | None = None  # on the loop's clock
        self.timers: list[Timer] = []
        if budget.reserve(self, size, lambda: self.granted(size)):
            self._hold(size)
        else:
            self._wait()

    @property
    def waiting(self) -> bool:
        """True while nothing may be read, as there is no memory for it."""
        return self.waiting_since is not None

    def bytes_received(self, received: int) -> None:
        """Reserves memory for the next read, if it is not reserved yet."""
        self.budget.process.take(received - self.received)
        self.received = received
        self._count_promised()
        if not self.slow or self.dropped or self.waiting:
            return
        missing = self._next_size() - self.reserved
        if missing <= 0:
            return
        if self.budget.grow(self, missing):
            self._hold(missing)
        else:
            self._wait()

    def granted(self, size: int) -> None:
        """Called by the budget once it has reserved what the body waits for."""
        self._end_wait()
        self._hold(size)
        self.changed()

    def drop(self) -> None:
        """Gives up the body: nothing is reserved any more, and what still arrives needs no memory."""
        if self.dropped:
            return
        self.dropped = True
        self._leave()
        self.changed()

    def whole(self) -> int:
        """The body has arrived. Returns the bytes reserved for it, which its request has to release."""
        self._end_wait()
        self.budget.slow.pop(self, None)
        reserved, self.reserved = self.reserved, 0
        self._count_promised()
        return reserved

    def abandon(self) -> None:
        """The connection has ended."""
        self.dropped = True
        self._leave()

    def _hold(self, size: int) -> None:
        self.reserved += size
        self._count_promised()
        if not self.slow:
            self.timers.append(self.budget.loop.call_later(PROMPT_SECONDS, self._become_slow))

    def _count_promised(self) -> None:
        """Tells the process what has still to be filled."""
        promised = max(0, self.reserved - self.received)
        self.budget.process.promised += promised - self.promised
        self.promised = promised

    def _next_size(self) -> int:
        """Bytes that the body may have after its next read."""
        return min(self.size, self.received + READ_SIZE)

    def _become_slow(self) -> None:
        self.slow = True
        self.budget.slow[self] = None
        unfilled = self.reserved - self._next_size()
        self.reserved -= unfilled
        self._count_promised()
        self.budget.release(unfilled)

    def _wait(self) -> None:
        now = self.waiting_since = self.budget.loop.now()
        self.budget.tally("body.waits")
        call_at = self.budget.loop.call_at
        self.timers = [
            call_at(now + WAIT_BEFORE_SHEDDING * self.time_limit, self._shed_slow_bodies),
            call_at(now + WAIT_BEFORE_REFUSAL * self.time_limit, self.drop),
        ]

    def _shed_slow_bodies(self) -> None:
        while self.waiting and (slow := self.budget.youngest_slow(self)) is not None:
            self.budget.tally("body.shed")
            slow.drop()

    def _end_wait(self) -> None:
        for timer in self.timers:
            timer.cancel()
        self.timers = []
        if self.waiting_since is None:
            return
        waited, self.waiting_since = self.budget.loop.now() - self.waiting_since, None
        if waited > LOGGED_WAIT_SECONDS:
            budget = self.budget
            self.budget.log(
                f"caller: a long body waited {waited:.2f} s for memory,"
                f" waiting={len(budget.waiting) + len(budget.growing)} slow={len(budget.slow)}"
                f" reserved={budget.used} of={budget.budget}"
            )

    def _leave(self) -> None:
        self._end_wait()
        self.budget.slow.pop(self, None)
        self.budget.withdraw(self)
        reserved, self.reserved = self.reserved, 0
        self._count_promised()
        self.budget.release(reserved)
