"""When a connection may have its next command taken: others have their turn in between. No I/O.

A command that has waited for some time waits a little longer, until it is known that its client has not left.
The close can't be seen while it is behind more than the kernel takes: what is read makes room for it there,
and an answer to a client that has left is met with a reset. The next poll tells of either.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from standflow.net.loop import Loop

TURN_COMMANDS = 4  # commands that a connection may have taken before all others had their turn
UNCHECKED_SECONDS = 0.05  # for which a command may have waited without a look whether its client has left
CHECK_SECONDS = 0.005  # for which such a look lasts


class CommandTurn:
    """The turns of one connection."""

    __slots__ = ("checked_at", "checking", "limit", "loop", "resume", "taken")

    def __init__(self, loop: Loop, resume: Callable[[], None]) -> None:
        """`resume` is called when the connection may go on."""
        self.loop, self.resume = loop, resume
        self.taken = 0  # commands in this turn
        self.limit = TURN_COMMANDS
        self.checking = False  # commands wait until it is known that their client has not left
        self.checked_at = loop.now()

    @property
    def used_up(self) -> bool:
        """True if other connections have their turn first."""
        return self.taken >= self.limit

    def lift_limit(self) -> None:
        """All commands that were read may be taken at once, as the connection is about to end."""
        self.limit = sys.maxsize

    def bytes_read(self) -> None:
        """Nothing that was read before is left to take."""
        self.taken = 0

    def command_taken(self) -> None:
        """Ends the turn with its last command."""
        self.taken += 1
        if self.taken == self.limit:
            self.loop.call_soon(self._next)

    def check_client(self, received_at: float) -> bool:
        """Begins a look whether the client has left, if it is due; returns true while it lasts.

        `received_at`: the earliest time at which the next command can have arrived, on the loop's clock.
        """
        if not self.checking and self.loop.now() - max(received_at, self.checked_at) > UNCHECKED_SECONDS:
            self.checking = True
            self.loop.call_later(CHECK_SECONDS, self._checked)
        return self.checking

    def end(self) -> None:
        """The connection has ended, and is not kept by a turn that is still to come."""
        self.resume = _nothing

    def _checked(self) -> None:
        """The client has not left, or the connection would have ended."""
        self.checking = False
        self._next()

    def _next(self) -> None:
        self.taken, self.checked_at = 0, self.loop.now()
        self.resume()


def _nothing() -> None:
    """In place of a connection that has ended."""
