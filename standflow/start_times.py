"""Start times of backends on the clock that decisions use. No I/O; times are arguments, in seconds.

Discovery reports Unix time. Decisions use the monotonic clock plus the offset to Unix time measured when this
process started, so that a step of the wall clock changes no duration. After a step, or if the process was
started while the wall clock was wrong, that offset and the wall clock disagree, and it can't be known which
is right. The younger of the two ages is used, since a cold backend must not be taken for a warm one.
"""

from __future__ import annotations

NO_STEP_SECONDS = 0.5  # by which the two clocks may differ without a step, as the wall clock is also slewed


class StartTimes:
    """The start time of each backend, computed once for each start that discovery reports."""

    def __init__(self) -> None:
        self.known: dict[str, tuple[float, float]] = {}  # by backend: as reported, and as computed

    def start_time(self, backend: str, reported: float, now: float, wall: float) -> float:
        """On the clock of `now`; `reported`: Unix time, `wall`: Unix time at `now`."""
        before = self.known.get(backend)
        if before is not None and before[0] == reported:
            return before[1]
        started = reported
        if abs(wall - now) > NO_STEP_SECONDS:
            ages = [age for age in (now - reported, wall - reported) if age >= 0]
            started = now - min(ages, default=0.0)
        self.known[backend] = (reported, started)
        return started

    def forget(self, backend: str) -> None:
        """Removes a backend that has left the list."""
        self.known.pop(backend, None)

    def keep_only(self, backends: set[str]) -> None:
        """Removes all others."""
        self.known = {backend: start for backend, start in self.known.items() if backend in backends}
