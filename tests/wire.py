"""Configuration, sockets and program runner shared by the network tests."""

from __future__ import annotations

import contextlib
import json
import os
import re
import select
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from standflow.net.loop import Loop
from tests.test_adapter import INFO, ROOT

LIMIT = 20.0  # seconds after which a condition counts as never met; no test depends on a shorter time


def config(**changes: Any) -> dict[str, Any]:
    """A complete configuration for a single ingress."""
    settings = json.loads(json.dumps(INFO)) | {"Balancers": 1, "Zones": ["room-z1", "room-z2"]}
    settings["Caps"] |= {"IdleCloseUs": 15000000, "MaxOpen": 100}
    change = settings["Classes"][0] | {"Name": "change", "Effect": "non_idempotent"}
    settings["Classes"].append(change)
    settings["Contracts"][0] |= {"PeakUnits": 1000, "Rate": 1000}
    base = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "known": {"revision": 1, "complete": True, "members": []},
        "settings": settings,
    }
    return base | changes


def with_deadline(raw: dict[str, Any], longest: float) -> dict[str, Any]:
    """Sets the longest deadline in seconds: that of the unsafe class; the safe one gets half of it."""
    look, change = raw["settings"]["Classes"]
    microseconds = round(longest * 1e6)
    change |= {"DeadlineUs": microseconds, "AimUs": microseconds // 3}
    look |= {"DeadlineUs": microseconds // 2, "AimUs": microseconds // 6}
    return raw


def member(address: tuple[str, int], phase: str = "SERVING") -> dict[str, Any]:
    return {"id": "s-1", "host_port": f"{address[0]}:{address[1]}", "locality": "z1", "phase": phase}


def listener() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0))
    sock.settimeout(LIMIT)
    return sock


def command(ident: str, name: str = "Q.ASK", kind: str = "look", body: bytes = b"", d: int = 3000) -> bytes:
    options = f"c={kind},t=plain,d={d},k=a7,units=1,spread=1,first=0"
    parts = [name.encode(), b"00000000b4d65521", ident.encode(), options.encode(), *([body] if body else [])]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)


def run_until(loop: Loop, met: Callable[[], object]) -> None:
    """Runs the loop until a condition is met."""
    end = time.monotonic() + LIMIT
    while not met():
        assert time.monotonic() < end
        loop.call_later(0.002, int)
        loop.run_once()


def read_until(sock: socket.socket, end: bytes) -> bytes:
    """Reads until the data ends with `end`."""
    data = b""
    while not data.endswith(end):
        more = sock.recv(65536)
        assert more, f"closed after {data!r}"
        data += more
    return data


def write_slowly(sock: socket.socket, data: bytes, seconds: float, pieces: int = 40) -> None:
    """Writes data in equal pieces at equal intervals, until the peer resets the connection."""
    size = len(data) // pieces + 1
    with contextlib.suppress(OSError):
        for begin in range(0, len(data), size):
            time.sleep(seconds / pieces)
            sock.sendall(data[begin : begin + size])


class Program:
    """A running program and its log so far."""

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        self.process, self.log = process, ""

    def logged(self, pattern: str) -> re.Match[str]:
        """Waits until the log matches a pattern."""
        end = time.monotonic() + LIMIT
        assert self.process.stderr is not None
        while not (match := re.search(pattern, self.log)):
            assert time.monotonic() < end, f"no '{pattern}' in: {self.log}"
            if select.select([self.process.stderr], [], [], 0.1)[0]:
                more = os.read(self.process.stderr.fileno(), 65536).decode()
                assert more, f"ended without '{pattern}': {self.log}"
                self.log += more
        return match

    def call(self) -> socket.socket:
        """A new client connection."""
        port = int(self.logged(r"ready n0 on 127.0.0.1:(\d+)")[1])
        sock = socket.create_connection(("127.0.0.1", port), LIMIT)
        sock.settimeout(LIMIT)
        return sock

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)


@contextmanager
def program(
    folder: Path,
    raw: Any,
    passed: socket.socket | None = None,
    module: str = "standflow",
    environment: Mapping[str, str] | None = None,
) -> Iterator[Program]:
    """Starts the program with a configuration, and kills it at the end.

    `passed`: a listening socket that it inherits; processes started in the same folder then hand over to each
    other. `module`: what `python -m` runs.
    """
    path = folder / "config.json"
    handed = {} if passed is None else {"EDGE_PASSED_SOCKET": f"{passed.fileno()}", "TMPDIR": f"{folder}"}
    path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
    process = subprocess.Popen(
        [sys.executable, "-m", module],
        cwd=ROOT,
        env=os.environ | {"EDGE_CONFIG": str(path)} | handed | dict(environment or {}),
        pass_fds=() if passed is None else (passed.fileno(),),
        stderr=subprocess.PIPE,
    )
    try:
        yield Program(process)
    finally:
        process.kill()
        process.communicate()
