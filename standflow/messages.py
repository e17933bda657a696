"""Typed messages between the client side, the exchange, the driver and the next-hop side."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Outcome(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT))


@dataclass(slots=True, frozen=True)
class Request:
    """A request as the client side received it, for any protocol."""

    class_name: str
    plan: str
    tenant: str
    timeout: float
    units: float
    ring_size: int
    ring_first: int
    message: Any
    ident: object = None  # the client's request id, unique among open requests
    release: Callable[[], None] | None = None  # called once when the request's resources are no longer needed


@dataclass(slots=True, frozen=True)
class Served:
    """Final answer: the value of a next hop."""

    value: Any


@dataclass(slots=True, frozen=True)
class Refused:
    """Final answer: a retry does no harm, preferably after this many seconds."""

    retry_after: float | None


@dataclass(slots=True, frozen=True)
class Failed:
    """Final answer: the request may or may not have run."""

    reason: str


FinalAnswer = Served | Refused | Failed


@dataclass(slots=True, frozen=True)
class Result:
    """How an attempt or a probe ended, with the load report of the next hop."""

    outcome: Outcome
    value: Any = None
    used_percent: float = 0.0
    report: Mapping[str, float] = field(default_factory=dict)


class InvalidRequestError(ValueError):
    """A request that can't be accepted; the message is sent to the client."""
