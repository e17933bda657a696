"""Forwards the module's calls to the counter, which holds the totals where peer messages are not allowed.

A request waits for each call, for at most `timeout` seconds. What happens without a total is the module's
decision.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from standflow.counter.client import CallEffect, CallResult, CounterClient
from standflow.messages import Outcome
from standflow.net.loop import Loop

MAX_CONNECTIONS = 4  # each carries up to PIPELINE_DEPTH calls
RETRY_DELAY_SECONDS = 0.1  # before a call is repeated that was reported as possibly added, but was not
MAX_RETRIES = 5

OnTotal = Callable[[int, Outcome, float, float], None]


class QuotaCalls:
    """The quota calls of one ingress. Results for one name are reported in the order of its calls."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        address: tuple[str, int],
        timeout: float,
        on_total: OnTotal,
        tally: Callable[[str], None],
    ) -> None:
        """`on_total` receives the name, outcome, total and latency in seconds of a call."""
        self.loop, self.on_total, self.tally = loop, on_total, tally
        self.closed = False
        self.client = CounterClient(loop, log, address, timeout, MAX_CONNECTIONS)
        # By name, oldest call first.
        self.pending: dict[int, deque[list[tuple[Outcome, float, float]]]] = {}

    def count(self, name: int, amount: float, ttl: float) -> None:
        """Adds an amount; its result is reported exactly once."""
        result: list[tuple[Outcome, float, float]] = []  # empty until the result is known
        self.pending.setdefault(name, deque()).append(result)
        self._add(name, amount, ttl, result, MAX_RETRIES)

    def _add(
        self, name: int, amount: float, ttl: float, result: list[tuple[Outcome, float, float]], retries: int
    ) -> None:
        def on_result(call_result: CallResult) -> None:
            if not result:
                self._finish_call(name, result, call_result)
            elif call_result.effect is CallEffect.NOT_ADDED and retries and not self.closed:
                # The module was told of a timeout and assumes that the amount was added. Without this retry
                # the total would stay wrong until the name expires.
                self.loop.call_later(RETRY_DELAY_SECONDS, self._add, name, amount, ttl, result, retries - 1)

        self.client.add(f"s{name:x}", amount, ttl, on_result)

    def close(self) -> None:
        """Closes every connection."""
        self.closed = True
        self.client.close()

    def _finish_call(
        self, name: int, result: list[tuple[Outcome, float, float]], call_result: CallResult
    ) -> None:
        outcome, total = Outcome.OK, call_result.total
        if call_result.effect is CallEffect.NOT_ADDED:
            outcome = Outcome.FULL if call_result.overloaded else Outcome.CONNECT_FAILED
        elif total is None:
            outcome = Outcome.TIMEOUT  # the amount may have been added
        self.tally(f"count.{outcome.value}")
        result.append((outcome, total or 0.0, call_result.latency))
        calls = self.pending[name]
        while calls and calls[0]:
            self.on_total(name, *calls.popleft()[0])
        if not calls and self.pending.get(name) is calls:
            del self.pending[name]
