"""The plan of one memory run, drawn from its seed. No I/O; the same seed draws the same run."""

from __future__ import annotations

import random
from dataclasses import dataclass

from lab.memory.load import KINDS

MEMORY_MB = (32, 64, 80, 128)
CROWD_SHARE = 0.4  # of the runs, with more clients than room
ROOM = 520  # client connections of an ingress with 1,024 descriptors, about
FEW_KINDS = frozenset(("flood", "unsound_flood"))  # at full speed: a few clients are enough
MAX_FLOODING = 8


@dataclass(slots=True, frozen=True)
class Run:
    """What one run is made of. Times are in seconds since the clients begin."""

    seed: int
    memory_mb: int
    clients: dict[str, int]  # by kind
    seconds: float  # of the load
    reloads: tuple[float, ...]  # SIGHUP
    pauses: tuple[float, ...]  # SIGSTOP, and SIGCONT after a pause that the platform terms allow
    terminated_at: float | None  # SIGTERM, while the clients go on; None: the load ends and memory comes back


def draw(seed: int) -> Run:
    """Draws a run."""
    rng = random.Random(f"memory {seed}")
    kinds = rng.sample(sorted(KINDS), rng.choice((1, 2, 3, 4)))
    total = rng.randrange(ROOM, 2 * ROOM) if rng.random() < CROWD_SHARE else rng.randrange(50, ROOM)
    weights = {kind: rng.uniform(0.2, 1.0) for kind in kinds}
    share = total / sum(weights.values())
    clients = {kind: max(1, int(weight * share)) for kind, weight in weights.items()}
    for kind in FEW_KINDS & clients.keys():
        clients[kind] = rng.randrange(1, MAX_FLOODING + 1)
    seconds = rng.uniform(2.5, 5.0)
    return Run(
        seed,
        rng.choice(MEMORY_MB),
        clients,
        seconds,
        tuple(sorted(rng.uniform(0.3, seconds) for _ in range(rng.choice((0, 0, 1, 3))))),
        tuple(sorted(rng.uniform(0.3, seconds) for _ in range(rng.choice((0, 0, 1, 4))))),
        rng.uniform(1.0, seconds - 0.5) if rng.random() < 0.5 else None,
    )
