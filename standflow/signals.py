"""Signals as bytes on a pipe from the start of the process: early ones wait until the loop runs.

Nothing slow is imported here: until `SignalInbox` is created, signals have their default action and end the
process.
"""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from standflow.net.loop import Coroutine, Loop

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
READ_SIZE = 64


class SignalInbox:
    """Receives the signals for shutdown and reload, and ignores SIGPIPE."""

    def __init__(self) -> None:
        self.reader, writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        self.first_received_at: dict[int, float] = {}  # by signal, on the monotonic clock
        for number in HANDLED:  # also if the process was started with one of them ignored
            signal.signal(number, self._received)
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)

    def _received(self, number: int, _frame: object) -> None:
        """Runs as soon as the process does, while the loop may still be busy for longer."""
        self.first_received_at.setdefault(number, time.monotonic())

    def serve(self, loop: Loop, calls: Mapping[int, Callable[[], None]]) -> None:
        """Calls the handler of each signal, starting with those already received."""
        from standflow.net.loop import IN

        def wait() -> Coroutine[None]:
            while True:
                yield IN
                try:
                    numbers = os.read(self.reader, READ_SIZE)
                except BlockingIOError:
                    continue
                for number in sorted(numbers):  # repeats count: the file may have changed in between
                    loop.call_later(0.0, calls[number])  # an exception must not end this coroutine

        loop.spawn(self.reader, loop.supervised(wait))
