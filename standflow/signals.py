"""Signals as bytes on a pipe, from the first moment of the process on: what comes early waits for the loop.

Nothing heavy is imported here: until `SignalInbox` stands signals have their default action, and end the
process.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from standflow.net.loop import Coroutine, Loop

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
READ_SIZE = 64


class SignalInbox:
    """Takes the signals of a planned end and of a reload, and ignores SIGPIPE."""

    def __init__(self) -> None:
        self.reader, writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        for number in HANDLED:  # also where the process was started with one of them ignored
            signal.signal(number, lambda *_: None)
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)

    def serve(self, loop: Loop, calls: Mapping[int, Callable[[], None]]) -> None:
        """Calls what belongs to each signal, those that have come already first."""
        from standflow.net.loop import IN

        def wait() -> Coroutine[None]:
            while True:
                yield IN
                try:
                    numbers = os.read(self.reader, READ_SIZE)
                except BlockingIOError:
                    continue
                for number in sorted(numbers):  # each one counts: a file may have come between
                    loop.call_later(0.0, calls[number])  # a fault of one must not end this coroutine

        loop.spawn(self.reader, loop.supervised(wait))
