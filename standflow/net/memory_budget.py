"""Memory budget for long bodies or values, reserved by declared length before one is read. No I/O.

A request that doesn't fit waits without holding anything, so that holders of memory can always finish. Memory
is granted in the order of the requests.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable

from standflow.isolation import run_isolated
from standflow.process_memory import ProcessMemory, Use, unlimited


class MemoryBudget:
    """A budget in bytes. A body larger than the whole budget is granted when nothing else is reserved."""

    def __init__(
        self,
        budget: int,
        log: Callable[[str], None] = lambda text: None,
        process: ProcessMemory | None = None,
        use: Use = Use.LONG,
    ) -> None:
        """`process`: the memory of the whole process, which may be short before this budget is used up."""
        self.budget, self.log = budget, log
        self.process, self.use = process or unlimited(), use
        self.used = 0
        self.waiting: OrderedDict[Hashable, tuple[int, Callable[[], None]]] = OrderedDict()

    def reserve(self, owner: Hashable, size: int, granted: Callable[[], None]) -> bool:
        """Returns true if the memory was reserved at once; otherwise `granted` is called when it is."""
        if self.try_reserve(size):
            return True
        self.waiting[owner] = (size, granted)
        return False

    def try_reserve(self, size: int) -> bool:
        """Reserves the memory at once or not at all."""
        if self.waiting or not self._fits(size):
            return False
        self.used += size
        return True

    def resize(self, budget: int) -> None:
        """Changes the budget, and grants what fits into a larger one."""
        self.budget = budget
        self._grant()

    def cancel(self, owner: Hashable) -> None:
        """Withdraws a waiting request."""
        if self.waiting.pop(owner, None) is not None:
            self._grant()

    def release(self, size: int) -> None:
        """Returns reserved memory."""
        self.used -= size
        self._grant()

    def _fits(self, size: int) -> bool:
        within_budget = not self.used or self.used + size <= self.budget
        return within_budget and self.process.fits(size, self.use)

    def room_found(self) -> None:
        """The process may have more memory than before: grants what fits."""
        self._grant()

    def _grant(self) -> None:
        """Grants what fits. A fault of a receiver is not one of whoever gives memory back."""
        while self.waiting:
            owner, (size, granted) = next(iter(self.waiting.items()))
            if not self._fits(size):
                return
            del self.waiting[owner]
            self.used += size
            run_isolated(self.log, granted)


class Reservation:
    """Reserved memory that is given back once, however often that is asked for."""

    __slots__ = ("_give_back",)

    def __init__(self, give_back: Callable[[], None]) -> None:
        self._give_back: Callable[[], None] | None = give_back

    def release(self) -> None:
        """Gives the memory back."""
        give_back, self._give_back = self._give_back, None
        if give_back is not None:
            give_back()
