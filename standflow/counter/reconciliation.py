"""Carries the module's notes to the counter and what the counter tells back to the module.

Nothing waits for it: a request is decided by what is known when it comes.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from standflow.config.model import ReconciliationOptions
from standflow.counter.client import CallEffect, CallResult, CounterClient
from standflow.counter.health import Health
from standflow.counter.ledger import LIFE, Call, End, Ledger, RegisterReading
from standflow.counter.modes import ModeTracker
from standflow.counter.rate_limit import AdaptiveRateLimit
from standflow.net.loop import Loop

ENDS = {CallEffect.ADDED: End.ADDED, CallEffect.NOT_ADDED: End.NOT_ADDED, CallEffect.UNCERTAIN: End.UNCERTAIN}
FORGET_EVERY = 5.0  # seconds


class CounterReconciliation:
    """One ingress's side of the counter."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        options: ReconciliationOptions,
        address: tuple[str, int],
        told: Callable[[RegisterReading], None],
        modes: ModeTracker,
        heard: Callable[[], Iterable[float]],
    ) -> None:
        """`heard`: when each other ingress was heard last, of the loop's clock."""
        self.loop, self.log, self.options, self.told = loop, log, options, told
        self.modes, self.heard = modes, heard
        self.client = CounterClient(loop, log, address)
        self.ledger = Ledger()
        self.health = Health()
        self.budget = AdaptiveRateLimit(options.calls_per_second, loop.now())
        # One offset for the whole run: steps of the wall clock must not reach the periods.
        self.offset = time.time() - time.monotonic()
        loop.every(options.interval, self._tick)
        loop.every(FORGET_EVERY, self._forget)

    def record_use(
        self, key: bytes, size: int, place: int, count: int, level: float, fullness: float
    ) -> None:
        """The module's note of its own use; see hoistfold.interface.UseNoted."""
        self.ledger.record_use(key, size, place, count, level, fullness, self._now())

    def close(self) -> None:
        """Ends every connection."""
        self.client.close()

    def _now(self) -> float:
        return self.loop.now() + self.offset

    def _tick(self) -> None:
        now = self.loop.now()
        before = self.health.state
        if self.health.look(now) is not None:
            failing, known = len(self.health.failing()), len(self.health.names)
            self.log(
                f"counter: {before.value} -> {self.health.state.value} mean={1000 * self.health.mean:.0f}ms"
                f" failing={failing}/{known} generation={self.health.generation}"
            )
        before_mode = self.modes.mode
        if self.modes.look(self.heard(), self.health.state, now) is not None:
            self.log(f"quotas: {before_mode.value} -> {self.modes.mode.value}")
        self.budget.set_max_rate(self.options.calls_per_second * self.modes.share(now))
        # Alone nobody comes near a quota: without the ring every customer is asked for, the fullest first.
        near = self.options.min_utilization if self.modes.ring.counts else 0.0
        for call in self.ledger.due_calls(self._now(), self.budget.available(now), near):
            self.budget.spend()
            self.client.add(call.name, call.amount, LIFE, lambda end, call=call: self._ended(call, end))  # type: ignore[misc]

    def _ended(self, call: Call, counted: CallResult) -> None:
        now = self.loop.now()
        if counted.effect is CallEffect.ADDED:
            self.health.answered(call.name, counted.latency, now)
        elif not counted.overloaded:
            self.health.failed(call.name, now)
        if counted.late:
            return  # the register is read after all that may still land; a late word is older than that
        self.budget.record_result(counted.overloaded, now)
        emptied, excess = self.ledger.emptied, self.ledger.excess
        told = self.ledger.ended(call, ENDS[counted.effect], counted.total, self._now())
        if self.ledger.emptied > emptied:
            self.health.fell(call.name, now)
        if self.ledger.excess > excess:
            self.health.rose(call.name, now)
        if told is not None:
            self.told(told)

    def _forget(self) -> None:
        self.ledger.forget(self._now())
