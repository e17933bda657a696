"""What a handshake costs a next hop, in processor seconds, as far as that shows from here. No I/O.

The time that the other end takes to answer holds its work, what else it was doing, and the way there and
back. The least of many such times, less the way and taken at the speed that the next hop had, comes closest
to the work alone; so a low quantile of the last ones is held, never less than what the operator states.
"""

from __future__ import annotations

import math
from collections import deque

MAX_SAMPLES = 32  # samples of a kind; some minutes of a calm day, one storm of a bad one
QUANTILE = 0.25
COST_STEP = math.sqrt(2.0)  # costs are rounded up to stated * STEP ** k: ingresses that measure alike agree
MAX_COST_FACTOR = 8.0  # times what is stated: a next hop in trouble must not stop its own recovery
HYSTERESIS = 0.9  # of the step below must be undercut before the cost falls, so that it does not flap


class Costs:
    """The cost for each kind of next hop, full or resumed."""

    def __init__(self, full: float, resumed: float) -> None:
        """Both stated by the operator, seconds on a whole core."""
        self.configured = {False: full, True: resumed}
        self.samples: dict[tuple[str, bool], deque[float]] = {}
        self.steps: dict[tuple[str, bool], int] = {}

    def observe(self, kind: str, resumed: bool, waited: float, round_trip: float, speed: float) -> None:
        """A handshake that succeeded: seconds waited in all, of the way, and the part of its speed it had."""
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
        """Processor seconds on a whole core."""
        return self.configured[resumed] * COST_STEP ** self.steps.get((kind, resumed), 0)
