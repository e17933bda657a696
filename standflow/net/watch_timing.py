"""Back-off and time limits of the discovery watch. No I/O; time is an argument.

Each kind of failure has its own exponential back-off. All of them are reset when the watch proves to work: by
a complete object or an empty line. Pauses are counted from the beginning of the failed call, so that the time
spent waiting for it is not added to the pause. The limits are chosen so that CHANGE_DEADLINE holds on every
path; the table of the worst cases is in docs/design/endings.md.
"""

from __future__ import annotations

from enum import Enum
from random import Random

# Seconds within which a change must be received, once discovery has it and can be reached.
CHANGE_DEADLINE = 6.0

FIRST_BACK_OFF = 0.05  # seconds
MAX_BACK_OFF = 2.0  # seconds
# Seconds after a watch that ended without an object. Discovery answered and can be reached, so retry soon.
MAX_ENDED_BACK_OFF = 1.0
# Seconds after status 503. Discovery is overloaded and all ingresses retry at once, so retry rarely and
# spread out.
MIN_UNAVAILABLE_BACK_OFF, MAX_UNAVAILABLE_BACK_OFF = 1.0, 4.0
SILENCE_TIMEOUT = (
    2.6  # seconds without a whole object or an empty line that break a watch: one comes every 2 s
)
CONNECT_TIMEOUT = 1.0  # seconds
HEAD_TIMEOUT = 1.0  # seconds without a response head, which is sent at once unless calls are queued
# Seconds. A call without a response head may be queued behind the calls of other ingresses; giving it up and
# repeating it makes the queue longer. So each call waits twice as long as the one before, up to a limit that
# keeps the route set from getting too old.
MAX_HEAD_TIMEOUT = 3.0


class CallEnd(Enum):
    """How a call to discovery ended, as far as this affects the next pause."""

    FAILED = "failed"  # no connection, no response in time, or an unreadable one
    UNAVAILABLE = "turned away"  # status 503
    ENDED = "ended"  # discovery sent a response and closed it


class WatchTiming:
    """Back-off of one watch and the time limits of its calls, in seconds."""

    def __init__(self, max_back_off: float = MAX_BACK_OFF) -> None:
        self.max_back_off = max_back_off
        self.began = 0.0
        self.back_off = self.ended_back_off = FIRST_BACK_OFF
        self.head_timeout, self.unavailable_back_off = HEAD_TIMEOUT, 0.0

    def begin(self, now: float) -> None:
        """A call begins."""
        self.began = now

    def head_due(self, now: float) -> float:
        """Deadline for the response head of a call that is connected at `now`."""
        return min(now + self.head_timeout, self.began + MAX_HEAD_TIMEOUT)

    def timed_out(self) -> None:
        """The call timed out. The next one may be queued and gets a longer head timeout."""
        self.head_timeout = min(MAX_HEAD_TIMEOUT, 2 * self.head_timeout)

    def reset(self) -> None:
        """The watch works: resets the back-off and the head timeout."""
        self.back_off = self.ended_back_off = FIRST_BACK_OFF
        self.head_timeout, self.unavailable_back_off = HEAD_TIMEOUT, 0.0

    def address_changed(self) -> None:
        """Discovery has a new address: resets everything and allows a call at once."""
        self.reset()
        self.back_off = 0.0

    def pause(self, end: CallEnd, now: float, rng: Random) -> float:
        """Seconds from `now` until the next call."""
        if end is not CallEnd.ENDED:
            self.ended_back_off = FIRST_BACK_OFF
        if end is CallEnd.UNAVAILABLE:
            self.unavailable_back_off = min(
                MAX_UNAVAILABLE_BACK_OFF, max(MIN_UNAVAILABLE_BACK_OFF, 2 * self.unavailable_back_off)
            )
            share = rng.uniform(0.75, 1.0)
            return max(
                share * MIN_UNAVAILABLE_BACK_OFF, share * self.unavailable_back_off - (now - self.began)
            )
        share = rng.uniform(0.5, 1.0)
        if end is CallEnd.ENDED:
            pause = self.ended_back_off
            self.ended_back_off = min(MAX_ENDED_BACK_OFF, self.max_back_off, 2 * pause)
        else:
            pause = self.back_off
            self.back_off = min(self.max_back_off, max(FIRST_BACK_OFF, 2 * pause))
        return max(share * min(pause, FIRST_BACK_OFF), share * pause - (now - self.began))
