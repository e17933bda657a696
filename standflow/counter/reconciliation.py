"""Counter reconciliation: reports the module's use to the counter, and the counter's totals to the module.

No request waits for a call; each is decided by what is known when it arrives.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from standflow.config.model import ReconciliationOptions
from standflow.counter.client import CallEffect, CallResult, CounterClient
from standflow.counter.health import Health
from standflow.counter.ledger import TTL_SECONDS, CallOutcome, Ledger, RegisterCall, RegisterReading
from standflow.counter.modes import ModeTracker
from standflow.counter.rate_limit import AdaptiveRateLimit
from standflow.net.loop import Loop

OUTCOMES = {
    CallEffect.ADDED: CallOutcome.ADDED,
    CallEffect.NOT_ADDED: CallOutcome.NOT_ADDED,
    CallEffect.UNCERTAIN: CallOutcome.UNCERTAIN,
}
EXPIRY_INTERVAL_SECONDS = 5.0


class CounterReconciliation:
    """Reconciles the use that one ingress knows of with the counter."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        options: ReconciliationOptions,
        address: tuple[str, int],
        on_reading: Callable[[RegisterReading], None],
        modes: ModeTracker,
        last_received: Callable[[], Iterable[float]],
    ) -> None:
        """`last_received`: by other ingress, when its last ring message arrived, on the loop's clock."""
        self.loop, self.log, self.options, self.on_reading = loop, log, options, on_reading
        self.modes, self.last_received = modes, last_received
        self.client = CounterClient(loop, log, address)
        self.ledger = Ledger()
        self.health = Health()
        self.rate_limit = AdaptiveRateLimit(options.calls_per_second, loop.now())
        # The offset is fixed for the whole run, so that steps of the wall clock do not affect the periods.
        self.offset = time.time() - time.monotonic()
        loop.every(options.interval, self._tick)
        loop.every(EXPIRY_INTERVAL_SECONDS, self._drop_expired)

    def record_use(
        self, key: bytes, ring_size: int, ring_index: int, count: int, level: float, utilization: float
    ) -> None:
        """Records this ingress's own use; see hoistfold.interface.UseReported."""
        self.ledger.record_use(key, ring_size, ring_index, count, level, utilization, self._unix_now())

    def close(self) -> None:
        """Closes every connection."""
        self.client.close()

    def _unix_now(self) -> float:
        return self.loop.now() + self.offset

    def _tick(self) -> None:
        now = self.loop.now()
        before = self.health.state
        if self.health.update(now) is not None:
            failing, known = len(self.health.failing_names()), len(self.health.names)
            self.log(
                f"counter: {before.value} -> {self.health.state.value}"
                f" mean={1000 * self.health.mean_latency:.0f}ms"
                f" failing={failing}/{known} generation={self.health.generation}"
            )
        before_mode = self.modes.mode
        if self.modes.update(self.last_received(), self.health.state, now) is not None:
            self.log(f"quotas: {before_mode.value} -> {self.modes.mode.value}")
        self.rate_limit.set_max_rate(self.options.calls_per_second * self.modes.call_share(now))
        # Without the ring an ingress sees only its own use, which may be far below the quota. So every tenant
        # is polled, those with the highest utilization first.
        min_utilization = self.options.min_utilization if self.modes.ring.in_use else 0.0
        for call in self.ledger.due_calls(self._unix_now(), self.rate_limit.available(now), min_utilization):
            self.rate_limit.spend()
            self.client.add(
                call.name,
                call.amount,
                TTL_SECONDS,
                lambda result, call=call: self._finish_call(call, result),  # type: ignore[misc]
            )

    def _finish_call(self, call: RegisterCall, result: CallResult) -> None:
        now = self.loop.now()
        if result.effect is CallEffect.ADDED:
            self.health.record_answer(call.name, result.latency, now)
        elif not result.overloaded:
            self.health.record_failure(call.name, now)
        if result.late:
            return  # the ledger reads the register after the settle time, and that total is more recent
        self.rate_limit.record_result(result.overloaded, now)
        shortfalls, excesses = self.ledger.shortfalls, self.ledger.excesses
        reading = self.ledger.record_outcome(call, OUTCOMES[result.effect], result.total, self._unix_now())
        if self.ledger.shortfalls > shortfalls:
            self.health.record_shortfall(call.name, now)
        if self.ledger.excesses > excesses:
            self.health.record_excess(call.name, now)
        if reading is not None:
            self.on_reading(reading)

    def _drop_expired(self) -> None:
        self.ledger.drop_expired(self._unix_now())
