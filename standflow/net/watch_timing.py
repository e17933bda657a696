"""When the discovery watch is opened again, and how long a call may stay silent. No I/O; time is an argument.

Each kind of failure has an exponential back-off of its own, and all of them start afresh at a sign of life:
a whole object or an empty line. Pauses are counted from the beginning of the failed call, so that the time
spent on waiting for it is not spent again. The limits are chosen so that CHANGE_DEADLINE holds on every path;
the table of the worst cases is in docs/design/endings.md.
"""

from __future__ import annotations

from enum import Enum
from random import Random

CHANGE_DEADLINE = 6.0  # seconds after which a change counts as told, once discovery has it and can be reached

FIRST_BACK_OFF = 0.05
MAX_BACK_OFF = 2.0
# A watch that ended without a word was answered, by a discovery that can be reached: asked again soon.
MAX_ENDED_BACK_OFF = 1.0
# Turned away by a discovery that is overbooked: all ingresses come back at such times, so rarely and apart.
MIN_UNAVAILABLE_BACK_OFF, MAX_UNAVAILABLE_BACK_OFF = 1.0, 4.0
SILENCE_TIMEOUT = (
    2.6  # seconds without a whole object or an empty line that break a watch: one comes every 2 s
)
CONNECT_TIMEOUT = 1.0
HEAD_TIMEOUT = 1.0  # and without the head of an answer, which comes at once where nobody waits
# Where it doesn't, the call may stand in a line of all ingresses' calls: given up and repeated it makes that
# longer, so each is waited for twice as long as the one before, up to a time in which a list must not age.
MAX_HEAD_TIMEOUT = 3.0


class CallEnd(Enum):
    """How a call to discovery ended, as far as the next pause depends on it."""

    FAILED = "failed"  # no connection, no answer in time, or one that can't be read
    UNAVAILABLE = "turned away"  # status 503
    ENDED = "ended"  # answered, and closed by discovery


class WatchTiming:
    """The back-off of one watch and the time limits of its calls, in seconds."""

    def __init__(self, max_back_off: float = MAX_BACK_OFF) -> None:
        self.max_back_off = max_back_off
        self.began = 0.0
        self.back_off = self.ended_back_off = FIRST_BACK_OFF
        self.head_timeout, self.unavailable_back_off = HEAD_TIMEOUT, 0.0

    def begin(self, now: float) -> None:
        """A call begins."""
        self.began = now

    def head_due(self, now: float) -> float:
        """When the head of the answer is due, of a call that is connected now."""
        return min(now + self.head_timeout, self.began + MAX_HEAD_TIMEOUT)

    def timed_out(self) -> None:
        """The call was given up for its silence: the next may stand in a line, and is waited for longer."""
        self.head_timeout = min(MAX_HEAD_TIMEOUT, 2 * self.head_timeout)

    def reset(self) -> None:
        """The watch is open and well, so that its next break is the first one again."""
        self.back_off = self.ended_back_off = FIRST_BACK_OFF
        self.head_timeout, self.unavailable_back_off = HEAD_TIMEOUT, 0.0

    def address_changed(self) -> None:
        """Another address: nothing is held against it."""
        self.reset()
        self.back_off = 0.0

    def pause(self, end: CallEnd, now: float, rng: Random) -> float:
        """How long the next call waits from now on."""
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
