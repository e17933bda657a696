"""Runs the ingress with injected system call failures of the kinds that Linux documents.

    FAULTS='{"calls": [{"call": "accept", "error": "ENFILE", "every": 2}], "from": 0.5, "until": 2}' \
        python -m lab.faulty_calls

Starts `python -m standflow` with the methods of its sockets replaced: one call in `every` fails with `error`,
or transfers one byte if that is `short`, between `from` and `until` seconds after the start. A `connect_ex`
that fails with EINTR continues in the background, as connect(2) describes.
"""

from __future__ import annotations

import errno
import json
import os
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

VARIABLE = "FAULTS"
SHORT = "short"


@dataclass(slots=True)
class Window:
    """The time window in which faults are injected, in seconds of the monotonic clock."""

    begin: float
    end: float

    def open(self) -> bool:
        """True inside the window."""
        return self.begin <= time.monotonic() < self.end


def faulty(
    original: Callable[..., Any], name: str, error: str, every: int, window: Window
) -> Callable[..., Any]:
    """Wraps a socket method so that every `every`-th call in the window fails."""
    count = 0

    def call(sock: socket.socket, *arguments: Any) -> Any:
        nonlocal count
        if not window.open() or (name == "setsockopt" and arguments[0] != socket.IPPROTO_TCP):
            return original(sock, *arguments)
        count += 1
        if count % every:
            return original(sock, *arguments)
        if error == SHORT:
            first = arguments[0][:1] if name == "send" else 1
            return original(sock, first, *arguments[1:])
        code = getattr(errno, error)
        if name == "connect_ex":
            if code == errno.EINTR:
                original(sock, *arguments)
            return code
        raise OSError(code, os.strerror(code))

    return call


def install(faults: dict[str, Any]) -> None:
    """Replaces the socket methods named in `faults`."""
    now = time.monotonic()
    window = Window(now + faults["from"], now + faults["until"])
    for fault in faults["calls"]:
        name = fault["call"]
        original = getattr(socket.socket, name)
        setattr(socket.socket, name, faulty(original, name, fault["error"], fault["every"], window))


if __name__ == "__main__":
    install(json.loads(os.environ[VARIABLE]))
    from standflow.__main__ import main

    sys.exit(main())
