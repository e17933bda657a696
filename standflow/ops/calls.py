"""What each operators' call does and answers: a method and a target in, a status and a text out. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import unquote_to_bytes

MAX_ID_BYTES = 256  # bytes


@dataclass(slots=True, frozen=True)
class Answer:
    """An HTTP status and a text of one line, or the figures."""

    status: int
    text: str
    allow: str = ""  # the method that the path takes, where another came


class Operators(Protocol):
    """What the calls are carried out by; each returns an empty text, or why not."""

    def ready(self) -> str:
        """Empty once this process can serve."""

    def telemetry(self) -> str:
        """The figures."""

    def exclude(self, hop: str) -> str:
        """Takes a next hop out."""

    def include(self, hop: str) -> str:
        """Puts it back."""

    def evacuate(self) -> str:
        """Empties the ingress."""

    def rejoin(self) -> str:
        """Back to work."""


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
        """Carries a call out; what is asked of no known path, or by another method, changes nothing."""
        path = target.partition("?")[0]
        if path in self.fixed:
            wanted, call = self.fixed[path]
            return call() if method == wanted else _not_allowed(wanted)
        for prefix, named in self.by_hop.items():
            if path.startswith(prefix):
                if method != "POST":
                    return _not_allowed("POST")
                hop = _hop(path[len(prefix) :])
                return Answer(404, "no such id\n") if hop is None else _result(named(hop), 404)
        return Answer(404, "no such call\n")


def _result(fault: str, status: int) -> Answer:
    return Answer(status, fault + "\n") if fault else Answer(200, "yes\n")


def _not_allowed(wanted: str) -> Answer:
    return Answer(405, f"the call takes {wanted}\n", allow=wanted)


def _hop(text: str) -> str | None:
    """An id as the path has it, percent-encoded where it must be; None for what can be none."""
    raw = unquote_to_bytes(text)
    if not 0 < len(raw) <= MAX_ID_BYTES:
        return None
    try:
        hop = raw.decode("utf-8")
    except UnicodeDecodeError:
        return None
    return hop if hop.isprintable() else None
