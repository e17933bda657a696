"""A planned shutdown, from SIGTERM to the end of the process."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable

from standflow.exchange import Exchange
from standflow.net.client_side import ClientSide
from standflow.net.loop import Loop, Timer
from standflow.shutdown_schedule import ShutdownSchedule, schedule_for

POLL_SECONDS = 0.01  # between checks whether all connections have ended
MAX_DESCRIBED = 50  # requests answered at the end that are described in the log


class Shutdown:
    """Keeps accepting for a short time, closes connections as they become idle, and answers what is left
    before SIGKILL.
    """

    def __init__(
        self, loop: Loop, log: Callable[[str], None], clients: ClientSide, exchange: Exchange
    ) -> None:
        self.loop, self.log, self.clients, self.exchange = loop, log, clients, exchange
        self.begun_at: float | None = None  # on the loop's clock
        self.schedule: ShutdownSchedule | None = None
        self.timers: list[Timer] = []

    @property
    def begun(self) -> bool:
        """True once SIGTERM was received."""
        return self.begun_at is not None

    def begin(self, longest_deadline: float) -> bool:
        """Starts the shutdown on SIGTERM; `longest_deadline` of the deployment in seconds.

        False if it has started before.
        """
        if self.begun:
            return False
        self.begun_at = self.loop.now()
        schedule = schedule_for(longest_deadline)
        self.log(f"stopping answer_all={schedule.answer_all:.2f} exit={schedule.exit:.2f}")
        self._follow(schedule, self.begun_at)
        self._stop_when_done()
        return True

    def shorten(self, longest_deadline: float) -> None:
        """A reload changed the longest deadline: if it is shorter, SIGKILL may come earlier.

        Steps still to come are rescheduled relative to SIGTERM; those already due run at once.
        """
        schedule = schedule_for(longest_deadline)
        if self.begun_at is None or self.schedule is None or schedule.exit >= self.schedule.exit:
            return
        self.log(
            f"shutdown: by a shorter deadline, answer_all={schedule.answer_all:.2f} exit={schedule.exit:.2f}"
        )
        for timer in self.timers:
            timer.cancel()
        self._follow(schedule, self.begun_at)

    def _follow(self, schedule: ShutdownSchedule, begun_at: float) -> None:
        """Sets the timers for the steps of a schedule."""
        self.schedule = schedule
        self.exchange.set_final_deadline(begun_at + schedule.answer_all)
        # A listener that was passed in is served by the next process: this one stops accepting at once.
        stop_accepting = 0.0 if self.clients.shared else schedule.stop_accepting
        serve_for = schedule.stop_serving - stop_accepting
        self.timers = [
            self.loop.call_at(begun_at + stop_accepting, self._stop_accepting, serve_for),
            self.loop.call_at(begun_at + schedule.answer_all, self.answer_all),
            self.loop.call_at(begun_at + schedule.exit, self._exit),
        ]

    def _stop_accepting(self, serve_for: float) -> None:
        self.clients.stop(serve_for)
        self._log_state("accepts no more")

    def answer_all(self) -> None:
        """Answers every request that is open or was received, as the process is about to exit."""
        self._log_state("answers all")
        # First: each answer makes room for a pipelined command, which must be refused and not opened.
        self.clients.refuse_new()
        left = self.exchange.abandon_all()
        self.clients.refuse_new()  # again for unread commands: this may be the last iteration of the loop
        for transaction in left[:MAX_DESCRIBED]:
            self.log(f"shutdown: answered at the end: {transaction.describe()}")
        if len(left) > MAX_DESCRIBED:
            self.log(f"shutdown: answered at the end: {len(left) - MAX_DESCRIBED} more")

    def _exit(self) -> None:
        self._log_state("ends")
        self.loop.stop()

    def _log_state(self, state: str) -> None:
        """Logs a step with the connections and requests still open."""
        self.log(
            f"shutdown: {state}, connections={len(self.clients.connections)} open={self.exchange.open_count}"
        )

    def _stop_when_done(self) -> None:
        if self.clients.listener is None and not self.clients.connections:
            self.loop.stop()
        else:
            self.loop.call_later(POLL_SECONDS, self._stop_when_done)


def close_all(closes: Iterable[Callable[[], None]], log: Callable[[str], None]) -> None:
    """Calls each; an exception in one is logged and does not prevent the others."""
    for close in closes:
        try:
            close()
        except Exception:
            log("fault at the end: " + traceback.format_exc().replace("\n", " | "))
