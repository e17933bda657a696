"""The role of each process of an ingress. No I/O; times are of one clock, in seconds.

A generation is the start time of a process in nanoseconds: the higher one is the newer. A process is alive
while its file is not older than LIVENESS_SECONDS. The stages of a process:

STARTING it can't serve yet
ASKING   it can serve, and waits for the state of its predecessor
SERVING  it serves, and sends to peers on the ring
HANDED   it has handed its state to a newer process: it serves its open connections, and sends to no peer
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

LIVENESS_SECONDS = 1.5  # after which a process that writes nothing counts as dead
STATE_TIMEOUT_SECONDS = 0.8  # for which a new process waits for the state of its predecessor


class Stage(Enum):
    """See the module."""

    STARTING = "starting"
    ASKING = "asking"
    SERVING = "serving"
    HANDED = "handed"


@dataclass(slots=True, frozen=True)
class ProcessStatus:
    """The status of another process, from its file."""

    generation: int
    at: float
    stage: Stage
    handed_to: int


def read(generation: int, raw: Mapping[str, Any]) -> ProcessStatus:
    """Parses the status in a record; ValueError, KeyError or TypeError if it has none."""
    return ProcessStatus(generation, float(raw["at"]), Stage(raw["stage"]), int(raw["handed_to"]))


@dataclass(slots=True)
class Role:
    """The role of this process."""

    generation: int
    stage: Stage = Stage.STARTING
    handed_to: int = 0
    asked_at: float = 0.0

    def ask(self, now: float) -> None:
        """This process can serve: it asks its predecessor for its state."""
        self.stage, self.asked_at = Stage.ASKING, now

    def predecessor(self, others: list[ProcessStatus], now: float) -> ProcessStatus | None:
        """The newest live process that is older than this one."""
        return max(
            (one for one in others if one.generation < self.generation and _alive(one, now)),
            key=lambda one: one.generation,
            default=None,
        )

    def successor(self, others: list[ProcessStatus], now: float) -> ProcessStatus | None:
        """The newest live process that is newer than this one and can serve."""
        ready = (Stage.ASKING, Stage.SERVING, Stage.HANDED)
        newer = (
            one
            for one in others
            if one.generation > self.generation and _alive(one, now) and one.stage in ready
        )
        return max(newer, key=lambda one: one.generation, default=None)

    def step(self, others: list[ProcessStatus], now: float) -> str:
        """The action that is due: `take`, `begin`, `hand`, `resume` or none."""
        if self.stage is Stage.ASKING:
            predecessor = self.predecessor(others, now)
            if predecessor is not None and predecessor.handed_to == self.generation:
                self.stage = Stage.SERVING
                return "take"
            if (
                predecessor is None
                or predecessor.stage is Stage.STARTING
                or now - self.asked_at > STATE_TIMEOUT_SECONDS
            ):
                self.stage = Stage.SERVING
                return "begin"
        elif self.stage in (Stage.SERVING, Stage.HANDED):
            successor = self.successor(others, now)
            if successor is not None and successor.generation != self.handed_to:
                self.stage, self.handed_to = Stage.HANDED, successor.generation
                return "hand"
            if successor is None and self.stage is Stage.HANDED:
                self.stage, self.handed_to = Stage.SERVING, 0
                return "resume"
        return ""


def _alive(process: ProcessStatus, now: float) -> bool:
    return now - process.at < LIVENESS_SECONDS
