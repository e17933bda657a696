"""Carries the module's own calls to the counter, where no peer may be told and the counter keeps the totals.

A request waits for each of them, `limit` seconds at most; what the module does without a total is its own.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from standflow.counter.client import CallEffect, CallResult, CounterClient
from standflow.exchange import Outcome
from standflow.net.loop import Loop

CONNECTIONS = 4  # at most; one carries sixteen calls
AGAIN = 0.1  # seconds until an amount that was told as maybe added, and was not, is added after all
TIMES = 5  # at most

Told = Callable[[int, Outcome, float, float], None]


class QuotaCalls:
    """One ingress's calls, the totals of a name told in the order of its calls."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        address: tuple[str, int],
        limit: float,
        told: Told,
        tally: Callable[[str], None],
    ) -> None:
        """`told`: name, outcome, total and seconds of a call."""
        self.loop, self.told, self.tally = loop, told, tally
        self.closed = False
        self.client = CounterClient(loop, log, address, limit, CONNECTIONS)
        self.pending: dict[int, deque[list[tuple[Outcome, float, float]]]] = {}  # by name, the oldest first

    def count(self, name: int, amount: float, life: float) -> None:
        """Adds an amount; how that ended is told once."""
        end: list[tuple[Outcome, float, float]] = []  # empty until it has come
        self.pending.setdefault(name, deque()).append(end)
        self._add(name, amount, life, end, TIMES)

    def _add(
        self, name: int, amount: float, life: float, end: list[tuple[Outcome, float, float]], times: int
    ) -> None:
        def ended(counted: CallResult) -> None:
            if not end:
                self._finish_call(name, end, counted)
            elif counted.effect is CallEffect.NOT_ADDED and times and not self.closed:
                # Told as unanswered, which counts as added: the number would be wrong for its whole life.
                self.loop.call_later(AGAIN, self._add, name, amount, life, end, times - 1)

        self.client.add(f"s{name:x}", amount, life, ended)

    def close(self) -> None:
        """Ends every connection."""
        self.closed = True
        self.client.close()

    def _finish_call(self, name: int, end: list[tuple[Outcome, float, float]], counted: CallResult) -> None:
        outcome, total = Outcome.OK, counted.total
        if counted.effect is CallEffect.NOT_ADDED:
            outcome = Outcome.FULL if counted.overloaded else Outcome.CONNECT_FAILED
        elif total is None:
            outcome = Outcome.TIMEOUT  # it may have been added
        self.tally(f"count.{outcome.value}")
        end.append((outcome, total or 0.0, counted.latency))
        line = self.pending[name]
        while line and line[0]:
            self.told(name, *line.popleft()[0])
        if not line and self.pending.get(name) is line:
            del self.pending[name]
