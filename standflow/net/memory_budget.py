"""Room for long bodies or values: one budget, reserved by declared length before one is read. No I/O.

Who finds no room waits, and holds nothing meanwhile, so that whoever has room can always go on to its end.
Room is given in the order in which it was asked for.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable


class MemoryBudget:
    """The budget, in bytes. A body larger than all of it gets it when nobody else has any."""

    def __init__(self, budget: int) -> None:
        self.budget = budget
        self.used = 0
        self.waiting: OrderedDict[Hashable, tuple[int, Callable[[], None]]] = OrderedDict()

    def reserve(self, who: Hashable, size: int, granted: Callable[[], None]) -> bool:
        """True where the room is had at once; else `granted` is called when it is."""
        if self.try_reserve(size):
            return True
        self.waiting[who] = (size, granted)
        return False

    def try_reserve(self, size: int) -> bool:
        """Reserves at once or not at all."""
        if self.waiting or not self._fits(size):
            return False
        self.used += size
        return True

    def cancel(self, who: Hashable) -> None:
        """Whoever waits no more."""
        if self.waiting.pop(who, None) is not None:
            self._grant()

    def release(self, size: int) -> None:
        """Room that is needed no more."""
        self.used -= size
        self._grant()

    def _fits(self, size: int) -> bool:
        return not self.used or self.used + size <= self.budget

    def _grant(self) -> None:
        while self.waiting:
            who, (size, granted) = next(iter(self.waiting.items()))
            if not self._fits(size):
                return
            del self.waiting[who]
            self.used += size
            granted()
