"""Watches the resident memory of a process as the platform does, and kills the process over its limit."""

from __future__ import annotations

import os
import signal
import threading
import time
from pathlib import Path

SAMPLE_SECONDS = 0.01
BYTES_PER_MB = 1 << 20


class MemoryWatch:
    """Samples one process until it ends or `stop` is called."""

    def __init__(self, pid: int, limit_mb: float) -> None:
        self.pid, self.limit_mb = pid, limit_mb
        self.samples: list[tuple[float, float]] = []  # monotonic time, megabytes
        self.killed_at: float | None = None  # monotonic time
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    @property
    def peak_mb(self) -> float:
        """The largest sample, in megabytes."""
        return max((megabytes for _, megabytes in self.samples), default=0.0)

    @property
    def last_mb(self) -> float:
        """The latest sample, in megabytes."""
        return self.samples[-1][1] if self.samples else 0.0

    def stop(self) -> None:
        """Ends the sampling."""
        self.stopped.set()
        self.thread.join()

    def _run(self) -> None:
        statm, page = Path(f"/proc/{self.pid}/statm"), os.sysconf("SC_PAGE_SIZE")
        while not self.stopped.wait(SAMPLE_SECONDS):
            try:
                megabytes = int(statm.read_text().split()[1]) * page / BYTES_PER_MB
            except (OSError, IndexError):
                return
            if not megabytes:  # the process has ended
                return
            self.samples.append((time.monotonic(), megabytes))
            if megabytes > self.limit_mb:
                self.killed_at = time.monotonic()
                os.kill(self.pid, signal.SIGKILL)
                return
