"""When a planned shutdown does what. No I/O; every moment is in seconds after SIGTERM.

The platform may send SIGKILL as early as the longest deadline of the deployment, counted as three seconds at
most, and 0.7 s more after SIGTERM, and the process may be held up for 0.15 s at any point before that. All
moments follow from the longest deadline: a shorter one brings SIGKILL nearer, a longer one does not delay it.
"""

from __future__ import annotations

from dataclasses import dataclass

from standflow.platform_terms import KILL_AFTER_SECONDS, MAX_COUNTED_DEADLINE_SECONDS, MAX_PAUSE_SECONDS

FLUSH_SECONDS = 0.05  # in which the last answers leave and connections are ended in order
ACCEPT_SECONDS = 0.5  # of accepting after SIGTERM: new connections keep coming for 0.2 to 0.4 s
SERVING_SHARE = 0.5  # of the time after accepting in which connections may still be given requests to serve


@dataclass(slots=True, frozen=True)
class ShutdownSchedule:
    """The moments of a shutdown, in their order."""

    stop_accepting: float  # the listener ends; idle connections are closed from here on
    stop_serving: float  # a connection that stays gets no further request served, but refused
    answer_all: float  # whatever is open is answered, and nothing is opened from here on
    exit: float  # the process ends, whatever is left
    kill: float  # SIGKILL may come


def schedule_for(longest_deadline: float) -> ShutdownSchedule:
    """The schedule of a deployment whose longest deadline is so many seconds."""
    kill = min(longest_deadline, MAX_COUNTED_DEADLINE_SECONDS) + KILL_AFTER_SECONDS
    latest_exit = kill - MAX_PAUSE_SECONDS
    answer_all = latest_exit - FLUSH_SECONDS
    stop_accepting = min(ACCEPT_SECONDS, answer_all)
    stop_serving = stop_accepting + (answer_all - stop_accepting) * SERVING_SHARE
    return ShutdownSchedule(stop_accepting, stop_serving, answer_all, latest_exit, kill)
