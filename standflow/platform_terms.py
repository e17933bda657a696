"""Guarantees of the platform that more than one module relies on. No I/O."""

from __future__ import annotations

# The longest deadline that the platform waits for in a planned restart (protocol page, planned restarts).
MAX_COUNTED_DEADLINE_SECONDS = 3.0
KILL_AFTER_SECONDS = 0.7  # between that deadline and the earliest SIGKILL (same page)
# After SIGTERM; a request that comes later must have its whole answer when SIGKILL comes (same page).
LATE_REQUEST_SECONDS = 0.7
# For which a process may be paused between a clock reading and the write that depends on it (STANDING.md).
MAX_PAUSE_SECONDS = 0.15
