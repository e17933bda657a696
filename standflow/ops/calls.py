"""The operators' calls: maps a method and a target to a status and a text. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import unquote_to_bytes

MAX_ID_BYTES = 256


@dataclass(slots=True, frozen=True)
class Answer:
    """An HTTP status and a text: one line, or the figures."""

    status: int
    text: str
    allow: str = ""  # for 405: the method that the path accepts


class Operators(Protocol):
    """Carries out the calls. Each but `telemetry` returns an empty text, or why it can't be done."""

    def ready(self) -> str:
        """Empty once this process can serve."""

    def telemetry(self) -> str:
        """The figures."""

    def exclude(self, hop: str) -> str:
        """Takes a next hop out of service."""

    def include(self, hop: str) -> str:
        """Puts it back into service."""

    def evacuate(self) -> str:
        """Moves clients away from this ingress."""

    def rejoin(self) -> str:
        """Ends the evacuation."""


class Calls:
    """The table of calls."""

    def __init__(self, operators: Operators) -> None:
        self.operators = operators
        self.fixed: dict[str, tuple[str, Callable[[], Answer]]] = {
            "/api/ready": ("GET", lambda: _result(operators.ready(), 503)),
            "/api/telemetry": ("GET", lambda: Answer(200, operators.telemetry())),
            "/api/evacuate": ("POST", lambda: _result(operators.evacuate(), 409)),
            "/api/rejoin": ("POST", lambda: _result(operators.rejoin(), 409)),
        }
        self.by_hop: dict[str, Callable[[str], str]] = {
            "/api/exclude/": operators.exclude,
            "/api/include/": operators.include,
        }

    def answer(self, method: str, target: str) -> Answer:
        """Carries out a call. An unknown path or another method changes nothing."""
        path = target.partition("?")[0]
        if path in self.fixed:
            allowed, call = self.fixed[path]
            return call() if method == allowed else _not_allowed(allowed)
        for prefix, hop_call in self.by_hop.items():
            if path.startswith(prefix):
                if method != "POST":
                    return _not_allowed("POST")
                hop = _hop(path[len(prefix) :])
                return Answer(404, "no such id\n") if hop is None else _result(hop_call(hop), 404)
        return Answer(404, "no such call\n")


def _result(error: str, status: int) -> Answer:
    return Answer(status, error + "\n") if error else Answer(200, "yes\n")


def _not_allowed(allowed: str) -> Answer:
    return Answer(405, f"the call takes {allowed}\n", allow=allowed)


def _hop(text: str) -> str | None:
    """A percent-decoded id of a path; None if it can't be the id of a next hop."""
    raw = unquote_to_bytes(text)
    if not 0 < len(raw) <= MAX_ID_BYTES:
        return None
    try:
        hop = raw.decode("utf-8")
    except UnicodeDecodeError:
        return None
    return hop if hop.isprintable() else None
