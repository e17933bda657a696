"""A planned shutdown, from SIGTERM to the end of the process."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable

from standflow.exchange import Exchange
from standflow.net.client_side import ClientSide
from standflow.net.loop import Loop, Timer
from standflow.shutdown_schedule import ShutdownSchedule, schedule_for

LOOK_EVERY_SECONDS = 0.01  # whether all is done
MOST_DESCRIBED = 50  # requests that are described in the log, of those answered at the end


class Shutdown:
    """Accepts a little longer, ends connections as they fall idle, answers the rest before SIGKILL."""

    def __init__(
        self, loop: Loop, log: Callable[[str], None], clients: ClientSide, exchange: Exchange
    ) -> None:
        self.loop, self.log, self.clients, self.exchange = loop, log, clients, exchange
        self.begun_at: float | None = None  # of the loop's clock
        self.plan: ShutdownSchedule | None = None
        self.timers: list[Timer] = []

    @property
    def begun(self) -> bool:
        """True once SIGTERM has come."""
        return self.begun_at is not None

    def begin(self, longest_deadline: float) -> bool:
        """SIGTERM, in a deployment with this longest deadline in seconds; false where it came before."""
        if self.begun:
            return False
        self.begun_at = self.loop.now()
        plan = schedule_for(longest_deadline)
        self.log(f"stopping answer_all={plan.answer_all:.2f} exit={plan.exit:.2f}")
        self._follow(plan, self.begun_at)
        self._stop_when_done()
        return True

    def shorten(self, longest_deadline: float) -> None:
        """The deployment has this longest deadline now: SIGKILL goes by it where it is the shorter one.

        The moments that are still to come are reckoned anew from SIGTERM; what has passed comes at once.
        """
        plan = schedule_for(longest_deadline)
        if self.begun_at is None or self.plan is None or plan.exit >= self.plan.exit:
            return
        self.log(f"shutdown: by a shorter deadline, answer_all={plan.answer_all:.2f} exit={plan.exit:.2f}")
        for timer in self.timers:
            timer.cancel()
        self._follow(plan, self.begun_at)

    def _follow(self, plan: ShutdownSchedule, begun_at: float) -> None:
        """Has everything done at its moment."""
        self.plan = plan
        self.exchange.answer_by(begun_at + plan.answer_all)
        # A listener that was passed in goes on with the next process: this one leaves it at once.
        stop_accepting = 0.0 if self.clients.shared else plan.stop_accepting
        serve_for = plan.stop_serving - stop_accepting
        self.timers = [
            self.loop.call_at(begun_at + stop_accepting, self._stop_accepting, serve_for),
            self.loop.call_at(begun_at + plan.answer_all, self.answer_all),
            self.loop.call_at(begun_at + plan.exit, self._exit),
        ]

    def _stop_accepting(self, serve_for: float) -> None:
        self.clients.stop(serve_for)
        self._note("accepts no more")

    def answer_all(self) -> None:
        """Answers whatever is open or has come: nobody will later."""
        self._note("answers all")
        self.clients.refuse_new()  # first: what is answered makes room for what was read behind it
        left = self.exchange.abandon_all()
        self.clients.refuse_new()  # and for what lies unread: this may be the last round before the end
        for transaction in left[:MOST_DESCRIBED]:
            self.log(f"shutdown: answered at the end: {transaction.describe()}")
        if len(left) > MOST_DESCRIBED:
            self.log(f"shutdown: answered at the end: {len(left) - MOST_DESCRIBED} more")

    def _exit(self) -> None:
        self._note("ends")
        self.loop.stop()

    def _note(self, state: str) -> None:
        """Each state is a line of the log, with what is owed in it."""
        self.log(
            f"shutdown: {state}, connections={len(self.clients.connections)} open={self.exchange.open_count}"
        )

    def _stop_when_done(self) -> None:
        if self.clients.listener is None and not self.clients.connections:
            self.loop.stop()
        else:
            self.loop.call_later(LOOK_EVERY_SECONDS, self._stop_when_done)


def close_all(closes: Iterable[Callable[[], None]], log: Callable[[str], None]) -> None:
    """Calls each; a fault of one is logged and leaves none of the others undone."""
    for close in closes:
        try:
            close()
        except Exception:
            log("fault at the end: " + traceback.format_exc().replace("\n", " | "))
