"""A planned shutdown, from SIGTERM to the end of the process."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from standflow.exchange import Exchange, Transaction
from standflow.isolation import log_fault, run_for_each, run_isolated
from standflow.net.client_side import ClientSide
from standflow.net.loop import Loop, Timer
from standflow.platform_terms import LATE_REQUEST_SECONDS, MAX_PAUSE_SECONDS
from standflow.shutdown_schedule import FLUSH_SECONDS, ShutdownSchedule, schedule_for

POLL_SECONDS = 0.01  # between checks whether all connections have ended
MIN_STORE_SECONDS = 0.05  # for the last write of the store, however late the exit is
MAX_STORE_SECONDS = 1.0
MAX_DESCRIBED = 50  # requests that one step describes in the log
MAX_DELIVERY_SECONDS = 60.0  # after the exit is due, for answers that are still on their way
SLOW_CLOSE_SECONDS = 0.01  # a component that takes longer to close is named in the log


class Shutdown:
    """Keeps accepting for a short time, closes connections as they become idle, and answers what is left
    before SIGKILL may come. Only answers that are on their way by then keep the process alive.
    """

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        clients: ClientSide,
        exchange: Exchange,
        save: Callable[[], None] = lambda: None,
    ) -> None:
        """`save` writes what must not be lost, before SIGKILL may come to a process that stays."""
        self.loop, self.log, self.clients, self.exchange = loop, log, clients, exchange
        self.save = save
        self.begun_at: float | None = None  # on the loop's clock
        self.schedule: ShutdownSchedule | None = None
        self.timers: list[Timer] = []
        self.exit_timer: Timer | None = None

    @property
    def begun(self) -> bool:
        """True once SIGTERM was received."""
        return self.begun_at is not None

    def begin(self, longest_deadline: float, received_at: float | None = None) -> bool:
        """Starts the shutdown on SIGTERM; `longest_deadline` of the deployment in seconds.

        `received_at`: when SIGTERM was received, as the loop may come to it late. False if the shutdown has
        started before.
        """
        if self.begun:
            return False
        self.begun_at = self.loop.now() if received_at is None else received_at
        schedule = schedule_for(longest_deadline)
        late = self.loop.now() - self.begun_at
        self.log(f"stopping answer_all={schedule.answer_all:.2f} exit={schedule.exit:.2f} at={late:.3f}")
        # SIGKILL may come over a value of a late request; the time of receipt can be late by a pause.
        self.clients.buffer_values_from = self.begun_at + LATE_REQUEST_SECONDS - MAX_PAUSE_SECONDS
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
        for timer in (*self.timers, self.exit_timer):
            if timer is not None:
                timer.cancel()
        self._follow(schedule, self.begun_at)

    def _follow(self, schedule: ShutdownSchedule, begun_at: float) -> None:
        """Sets the timers for the steps of a schedule: first, so that no fault leaves a step out."""
        self.schedule = schedule
        # A listener that was passed in is served by the next process: this one stops accepting at once.
        stop_accepting = 0.0 if self.clients.shared else schedule.stop_accepting
        stop_serving_at = begun_at + schedule.stop_serving
        self.timers = [
            self.loop.call_at(begun_at + stop_accepting, self._stop_accepting, stop_serving_at),
            self.loop.call_at(begun_at + schedule.answer_all, self.answer_all),
        ]
        self.exit_timer = self.loop.call_at(begun_at + schedule.exit, self._exit)
        run_isolated(self.log, self.exchange.set_final_deadline, begun_at + schedule.answer_all)

    def _stop_accepting(self, stop_serving_at: float) -> None:
        """Ends accepting. Serving ends at its own moment, however late accepting ends or is ended again."""
        self.clients.stop(max(0.0, stop_serving_at - self.loop.now()))
        self._log_state("accepts no more")

    def answer_all(self) -> None:
        """Answers every request that is open or was received, as the process is about to exit."""
        self._log_state("answers all")
        # First: each answer makes room for a pipelined command, which must be refused and not opened.
        run_isolated(self.log, self.clients.refuse_new)
        self._answer_open_requests("answered at the end")
        # Again for unread commands: this may be the last iteration of the loop.
        run_isolated(self.log, self.clients.refuse_new)
        self._keep_time_to_flush()

    def _answer_open_requests(self, how: str) -> None:
        """Answers every open request and describes it in the log."""
        left = self.exchange.unanswered()
        run_isolated(self.log, self.exchange.abandon_all)
        self._describe(how, left)

    def _keep_time_to_flush(self) -> None:
        """Postpones an exit that would follow at once because the last answers were late."""
        earliest = self.loop.now() + FLUSH_SECONDS
        if self.exit_timer is not None and self._exit_due() < earliest:
            self.exit_timer.cancel()
            self.exit_timer = self.loop.call_at(earliest, self._exit)

    def _exit(self) -> None:
        """Ends the process, unless an answer is on its way: ending then would cut it off."""
        self._log_state("ends")
        self._answer_open_requests("not answered by the exit")
        run_isolated(self.log, self.clients.close_unless_delivering)
        delivering = self.clients.delivering
        if not delivering:
            self.loop.stop()
            return
        self.log(f"shutdown: stays for {delivering} answers that are on their way")
        abort_at = self._exit_due() + MAX_DELIVERY_SECONDS
        self.exit_timer = self.loop.call_at(abort_at, self._abort_deliveries)
        run_isolated(self.log, self.save)

    def _exit_due(self) -> float:
        """When the exit was due, on the loop's clock: the same for each time that a reload repeats it."""
        if self.begun_at is None or self.schedule is None:
            return self.loop.now()
        return self.begun_at + self.schedule.exit

    def _abort_deliveries(self) -> None:
        self._log_state("cuts off what is still on its way")
        self.loop.stop()

    def _log_state(self, state: str) -> None:
        """Logs a step with the connections and requests still open."""
        since = 0.0 if self.begun_at is None else self.loop.now() - self.begun_at
        self.log(
            f"shutdown: {state}, connections={len(self.clients.connections)} open={self.exchange.open_count}"
            f" at={since:.3f}"
        )

    def _describe(self, what: str, transactions: list[Transaction]) -> None:
        """Logs requests, one line each, and the number of those that are left out."""
        described = transactions[:MAX_DESCRIBED]
        run_for_each(self.log, described, lambda one: self.log(f"shutdown: {what}: {one.describe()}"))
        if len(transactions) > MAX_DESCRIBED:
            self.log(f"shutdown: {what}: {len(transactions) - MAX_DESCRIBED} more")

    def store_time_limit(self) -> float:
        """Seconds that the exit may wait for a slow disk."""
        if not self.begun:
            return MAX_STORE_SECONDS
        left = self._exit_due() - self.loop.now()
        return min(MAX_STORE_SECONDS, max(MIN_STORE_SECONDS, left))

    def _stop_when_done(self) -> None:
        if not self.clients.listening and not self.clients.connections:
            self.loop.stop()
        else:
            self.loop.call_later(POLL_SECONDS, self._stop_when_done)


def close_all(closes: Iterable[Callable[[], None]], log: Callable[[str], None]) -> None:
    """Calls each; an exception in one is logged and does not prevent the others, and slow ones are named."""
    begin = time.monotonic()
    for close in closes:
        before = time.monotonic()
        try:
            close()
        except Exception:
            log_fault(log, "at the end")
        taken = time.monotonic() - before
        if taken > SLOW_CLOSE_SECONDS:
            log(f"shutdown: {close.__qualname__} took {taken:.3f}")
    log(f"shutdown: closed in {time.monotonic() - begin:.3f}")
