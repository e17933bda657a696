"""The route set: discovery's list of next hops, whole or as a change."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Phase(Enum):
    """The state of a next hop in the route set."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class Route:
    """One next hop of the route set."""

    hop: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    phase: Phase
    size: float
    up_since: float | None


@dataclass(slots=True, frozen=True)
class RouteSet:
    """A complete route set, or changes to it."""

    revision: int
    complete: bool
    routes: tuple[Route, ...]
    partial: bool = False  # some members of the message could not be parsed
