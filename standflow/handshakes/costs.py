"""Estimates what a handshake costs a next hop, in processor seconds. No I/O.

The measured response time includes the handshake's own work, other load of the next hop and the round trip.
Low samples, with the round trip subtracted and scaled by the next hop's speed at the time, are closest to the
work alone. The estimate is therefore a low quantile of recent samples, and never below the configured cost.
"""

from __future__ import annotations

import math
from collections import deque

MAX_SAMPLES = 32  # per kind: some minutes of normal operation, or one reconnect storm
QUANTILE = 0.25
COST_STEP = math.sqrt(2.0)  # costs are rounded up to configured * COST_STEP ** k, so that ingresses agree
MAX_COST_FACTOR = 8.0  # of the configured cost: an overloaded next hop must not stop its own recovery
HYSTERESIS = 0.9  # the estimate must be below this share of the next lower step before the cost drops


class Costs:
    """The cost for each kind of next hop, full or resumed."""

    def __init__(self, full: float, resumed: float) -> None:
        """The configured costs, in seconds of a whole core."""
        self.configured = {False: full, True: resumed}
        self.samples: dict[tuple[str, bool], deque[float]] = {}
        self.steps: dict[tuple[str, bool], int] = {}

    def observe(self, kind: str, resumed: bool, waited: float, round_trip: float, speed: float) -> None:
        """Adds a sample of a successful handshake: `waited`, `round_trip` in seconds, `speed` from 0 to 1."""
        samples = self.samples.setdefault((kind, resumed), deque(maxlen=MAX_SAMPLES))
        samples.append(max(0.0, waited - round_trip) * min(1.0, max(0.0, speed)))
        if len(samples) < MAX_SAMPLES // 4:
            return
        low = sorted(samples)[int(QUANTILE * len(samples))]
        ratio = min(MAX_COST_FACTOR, max(1.0, low / self.configured[resumed]))
        step, now = math.ceil(math.log(ratio, COST_STEP) - 1e-9), self.steps.get((kind, resumed), 0)
        if step > now or ratio < HYSTERESIS * COST_STEP ** (now - 1):
            self.steps[kind, resumed] = step

    def cost(self, kind: str, resumed: bool) -> float:
        """The estimated cost in processor seconds of a whole core."""
        return self.configured[resumed] * COST_STEP ** self.steps.get((kind, resumed), 0)
