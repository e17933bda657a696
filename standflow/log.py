"""Log lines on standard error that never block the ingress."""

from __future__ import annotations

import os
import select
import time
from collections import deque

from standflow.net.loop import Loop

CHUNK_BYTES = 4096  # PIPE_BUF: a pipe that polls writable accepts this much without blocking
MAX_LINES = 5000
FLUSH_SECONDS = 0.1


class Log:
    """Buffers lines and writes them as the reader keeps up; beyond a limit they are counted and dropped."""

    def __init__(self, fd: int = 2) -> None:
        self.fd = fd
        self.lines: deque[bytes] = deque()
        self.partial = b""  # taken from `lines` and not written yet
        self.dropped = 0
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def __call__(self, text: str) -> None:
        """Adds a line."""
        if len(self.lines) >= MAX_LINES:
            self.dropped += 1
            return
        line = f"{time.time():.3f} {text}"
        self.lines.append(line.encode("utf-8", "replace").replace(b"\n", b" ")[:8000] + b"\n")

    def serve(self, loop: Loop) -> None:
        """Writes the buffered lines now and then periodically."""
        self.flush()
        loop.every(FLUSH_SECONDS, self.flush)

    def flush(self) -> None:
        """Writes as much as can be written without blocking."""
        if self.dropped and len(self.lines) < MAX_LINES:
            dropped, self.dropped = self.dropped, 0
            self(f"log: {dropped} lines dropped")
        while self.partial or self.lines:
            while len(self.partial) < CHUNK_BYTES and self.lines:
                self.partial += self.lines.popleft()
            try:
                if not any(mask & (select.POLLOUT | select.POLLERR) for _, mask in self.poll.poll(0)):
                    return
                self.partial = self.partial[os.write(self.fd, self.partial[:CHUNK_BYTES]) :]
            except OSError:  # the reader has closed the pipe
                self.partial = b""
                self.lines.clear()
                return
