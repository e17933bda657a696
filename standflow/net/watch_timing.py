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
LAST_BACK_OFF = 2.0
# A watch that ended without a word was answered, by a discovery that can be reached: asked again soon.
LAST_ENDED_BACK_OFF = 1.0
# Turned away by a discovery that is overbooked: all ingresses come back at such times, so rarely and apart.
FIRST_TURNED_AWAY, LAST_TURNED_AWAY = 1.0, 4.0
SILENCE = 2.6  # seconds without a whole object or an empty line that break a watch: one comes every 2 s
CONNECT_LIMIT = 1.0
HEAD_LIMIT = 1.0  # and without the head of an answer, which comes at once where nobody waits
# Where it doesn't, the call may stand in a line of all ingresses' calls: given up and repeated it makes that
# longer, so each is waited for twice as long as the one before, up to a time in which a list must not age.
LONGEST_HEAD_LIMIT = 3.0


class CallEnd(Enum):
    """How a call to discovery ended, as far as the next pause depends on it."""

    FAILED = "failed"  # no connection, no answer in time, or one that can't be read
    TURNED_AWAY = "turned away"  # status 503
    ENDED = "ended"  # answered, and closed by discovery


class WatchTiming:
    """The back-off of one watch and the time limits of its calls, in seconds."""

    def __init__(self, last_back_off: float = LAST_BACK_OFF) -> None:
        self.last_back_off = last_back_off
        self.began = 0.0
        self.back_off = self.ended = FIRST_BACK_OFF
        self.patience, self.turned_away = HEAD_LIMIT, 0.0

    def begin(self, now: float) -> None:
        """A call begins."""
        self.began = now

    def head_due(self, now: float) -> float:
        """When the head of the answer is due, of a call that is connected now."""
        return min(now + self.patience, self.began + LONGEST_HEAD_LIMIT)

    def silent(self) -> None:
        """The call was given up for its silence: the next may stand in a line, and is waited for longer."""
        self.patience = min(LONGEST_HEAD_LIMIT, 2 * self.patience)

    def alive(self) -> None:
        """The watch is open and well, so that its next break is the first one again."""
        self.back_off = self.ended = FIRST_BACK_OFF
        self.patience, self.turned_away = HEAD_LIMIT, 0.0

    def move(self) -> None:
        """Another address: nothing is held against it."""
        self.alive()
        self.back_off = 0.0

    def pause(self, end: CallEnd, now: float, chance: Random) -> float:
        """How long the next call waits from now on."""
        if end is not CallEnd.ENDED:
            self.ended = FIRST_BACK_OFF
        if end is CallEnd.TURNED_AWAY:
            self.turned_away = min(LAST_TURNED_AWAY, max(FIRST_TURNED_AWAY, 2 * self.turned_away))
            share = chance.uniform(0.75, 1.0)
            return max(share * FIRST_TURNED_AWAY, share * self.turned_away - (now - self.began))
        share = chance.uniform(0.5, 1.0)
        if end is CallEnd.ENDED:
            pause = self.ended
            self.ended = min(LAST_ENDED_BACK_OFF, self.last_back_off, 2 * pause)
        else:
            pause = self.back_off
            self.back_off = min(self.last_back_off, max(FIRST_BACK_OFF, 2 * pause))
        return max(share * min(pause, FIRST_BACK_OFF), share * pause - (now - self.began))
