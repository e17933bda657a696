"""When backends started, on the clock that decisions go by. No I/O; times are arguments, in seconds.

Discovery tells Unix time. Decisions go by the monotonic clock plus the offset to Unix time that this process
found at its start, so that a step of the wall clock moves no span of time. After a step, or where the process
was started before one was put right, that offset and the wall clock disagree, and which of the two is right
can't be known: the backend is taken for as young as either says, since a cold one must not be taken for warm.
"""

from __future__ import annotations

NO_STEP_SECONDS = 0.5  # by which the two clocks may differ without a step: the wall clock is also slewed


class StartTimes:
    """The start of each backend, reckoned once for each start that discovery tells."""

    def __init__(self) -> None:
        self.known: dict[str, tuple[float, float]] = {}  # by backend: as told, and as reckoned

    def start_time(self, backend: str, told: float, now: float, wall: float) -> float:
        """On the clock of `now`; `told`: Unix time, `wall`: the same moment as `now`, Unix time."""
        before = self.known.get(backend)
        if before is not None and before[0] == told:
            return before[1]
        started = told
        if abs(wall - now) > NO_STEP_SECONDS:
            ages = [age for age in (now - told, wall - told) if age >= 0]
            started = now - min(ages, default=0.0)
        self.known[backend] = (told, started)
        return started

    def forget(self, backend: str) -> None:
        """It is gone."""
        self.known.pop(backend, None)

    def keep_only(self, backends: set[str]) -> None:
        """All others are gone."""
        self.known = {backend: start for backend, start in self.known.items() if backend in backends}
