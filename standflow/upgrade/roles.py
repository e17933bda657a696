"""Which process of an ingress does what. No I/O; times are of one clock, in seconds.

A generation is the moment at which a process began, in nanoseconds: the higher one is the newer. A process
lives while its file is not older than LIVENESS_SECONDS. The stages of one:

ASKING   it can serve, and waits for what the one before it knows
SERVING  it serves and speaks on the ring
HANDED   it has told what it knows to a newer one: it serves what it has, and is silent on the ring
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

LIVENESS_SECONDS = 1.5  # seconds after which a process that writes nothing counts as dead
STATE_TIMEOUT_SECONDS = 0.8  # seconds for which a new process waits for what the one before it knows


class Stage(Enum):
    """See the module."""

    STARTING = "starting"
    ASKING = "asking"
    SERVING = "serving"
    HANDED = "handed"


@dataclass(slots=True, frozen=True)
class ProcessStatus:
    """What another process's file says of its part."""

    generation: int
    at: float
    stage: Stage
    handed_to: int


def read(generation: int, raw: Mapping[str, Any]) -> ProcessStatus:
    """A file's part of it; ValueError, KeyError or TypeError where it says none."""
    return ProcessStatus(generation, float(raw["at"]), Stage(raw["stage"]), int(raw["handed_to"]))


@dataclass(slots=True)
class Role:
    """The part of this process."""

    generation: int
    stage: Stage = Stage.STARTING
    handed_to: int = 0
    asked_at: float = 0.0

    def ask(self, now: float) -> None:
        """It can serve: whoever came before it is asked for what it knows."""
        self.stage, self.asked_at = Stage.ASKING, now

    def predecessor(self, seen: list[ProcessStatus], now: float) -> ProcessStatus | None:
        """The newest live process before this one."""
        return max(
            (s for s in seen if s.generation < self.generation and _alive(s, now)),
            key=lambda s: s.generation,
            default=None,
        )

    def successor(self, seen: list[ProcessStatus], now: float) -> ProcessStatus | None:
        """The newest live process after this one that can serve."""
        able = (Stage.ASKING, Stage.SERVING, Stage.HANDED)
        newer = (s for s in seen if s.generation > self.generation and _alive(s, now) and s.stage in able)
        return max(newer, key=lambda s: s.generation, default=None)

    def step(self, seen: list[ProcessStatus], now: float) -> str:
        """What is to be done now: `take`, `begin`, `hand`, `resume` or nothing."""
        if self.stage is Stage.ASKING:
            before = self.predecessor(seen, now)
            if before is not None and before.handed_to == self.generation:
                self.stage = Stage.SERVING
                return "take"
            if (
                before is None
                or before.stage is Stage.STARTING
                or now - self.asked_at > STATE_TIMEOUT_SECONDS
            ):
                self.stage = Stage.SERVING
                return "begin"
        elif self.stage in (Stage.SERVING, Stage.HANDED):
            after = self.successor(seen, now)
            if after is not None and after.generation != self.handed_to:
                self.stage, self.handed_to = Stage.HANDED, after.generation
                return "hand"
            if after is None and self.stage is Stage.HANDED:
                self.stage, self.handed_to = Stage.SERVING, 0
                return "resume"
        return ""


def _alive(seen: ProcessStatus, now: float) -> bool:
    return now - seen.at < LIVENESS_SECONDS
