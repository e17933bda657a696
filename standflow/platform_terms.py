"""Terms of the platform that more than one module reckons with. No I/O."""

from __future__ import annotations

MAX_COUNTED_DEADLINE_SECONDS = (
    3.0  # that a longest deadline counts as at most (protocol page, planned restarts)
)
KILL_AFTER_SECONDS = 0.7  # between that deadline and the earliest SIGKILL (same place)
MAX_PAUSE_SECONDS = 0.15  # for which a process may be held up between its clock and a write (STANDING.md)
