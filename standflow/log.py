"""Log lines on standard error that never make the ingress wait."""

from __future__ import annotations

import os
import select
import time
from collections import deque

from standflow.net.loop import Loop

CHUNK_BYTES = 4096  # a pipe that polls writable takes so much without blocking
MAX_LINES = 5000
FLUSH_SECONDS = 0.1


class Log:
    """Gathers lines and writes them while the reader keeps up; past a bound they are counted and dropped."""

    def __init__(self, fd: int = 2) -> None:
        self.fd = fd
        self.lines: deque[bytes] = deque()
        self.partial = b""
        self.dropped = 0
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def __call__(self, text: str) -> None:
        """Notes a line."""
        if len(self.lines) >= MAX_LINES:
            self.dropped += 1
            return
        stamp = f"{time.time():.3f} {text}"
        self.lines.append(stamp.encode("utf-8", "replace").replace(b"\n", b" ")[:8000] + b"\n")

    def serve(self, loop: Loop) -> None:
        """Writes what there is, now and again and again."""
        self.flush()
        loop.every(FLUSH_SECONDS, self.flush)

    def flush(self) -> None:
        """Writes as much as can be written without waiting."""
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
            except OSError:  # nobody reads it any more
                self.partial = b""
                self.lines.clear()
                return
