"""The schedule of a planned shutdown. No I/O; every moment is in seconds after SIGTERM.

The platform may send SIGKILL as early as the longest deadline of the deployment, counted as three seconds at
most, plus 0.7 s after SIGTERM, and the process may be paused for 0.15 s at any point before that. All moments
follow from the longest deadline: a shorter one brings SIGKILL forward, a longer one does not delay it.
"""

from __future__ import annotations

from dataclasses import dataclass

from standflow.platform_terms import KILL_AFTER_SECONDS, MAX_COUNTED_DEADLINE_SECONDS, MAX_PAUSE_SECONDS

FLUSH_SECONDS = 0.05  # for sending the last answers and closing connections in order
END_SECONDS = 0.1  # for the exit itself, also where SIGTERM was handled after the longest pause
ACCEPT_SECONDS = 0.5  # of accepting after SIGTERM: new connections keep arriving for 0.2 to 0.4 s
SERVING_SHARE = 0.5  # of the time after accepting in which requests on open connections are still served


@dataclass(slots=True, frozen=True)
class ShutdownSchedule:
    """The moments of a shutdown, in order."""

    stop_accepting: float  # the listener is closed; idle connections are closed from here on
    stop_serving: float  # further requests on the remaining connections are refused
    answer_all: float  # every open request is answered, and none is opened from here on
    exit: float  # the process exits, whatever is left
    kill: float  # SIGKILL may arrive


def schedule_for(longest_deadline: float) -> ShutdownSchedule:
    """The schedule for a deployment with this longest deadline in seconds."""
    kill = min(longest_deadline, MAX_COUNTED_DEADLINE_SECONDS) + KILL_AFTER_SECONDS
    latest_exit = kill - MAX_PAUSE_SECONDS - END_SECONDS
    answer_all = latest_exit - FLUSH_SECONDS
    stop_accepting = min(ACCEPT_SECONDS, answer_all)
    stop_serving = stop_accepting + (answer_all - stop_accepting) * SERVING_SHARE
    return ShutdownSchedule(stop_accepting, stop_serving, answer_all, latest_exit, kill)
