"""Resident memory of the process against its limit.

What is free is measured, so that everything counts: buffers, tables, garbage and what the allocator keeps.
Between two measurements, whoever takes memory or promises it says so. The less is free, the less may be taken
for what can wait or be refused: see Use.
"""

from __future__ import annotations

import contextlib
import gc
import os
from collections.abc import Callable
from enum import Enum

MIN_RESERVE_BYTES = 2 * 1024 * 1024
MIN_USABLE_BYTES = 2 * 1024 * 1024  # also where the limit leaves less than that beside the process at rest
RESERVE_SHARE = 0.05  # of the limit, kept for what nobody announces
MEASURE_SECONDS = 0.05  # between measurements
MIN_MEASURE_SECONDS = 0.002  # between those that are made before something is denied
RECLAIM_BELOW = 0.4  # of the usable memory; with less free, what was freed is given back to the system
RECLAIM_SECONDS = 0.25  # between two times of that
COLLECT_SECONDS = 1.0  # between two collections of garbage
# The same without shortage, while more than a share of the usable memory is resident.
CALM_RECLAIM_SECONDS, CALM_COLLECT_SECONDS, CALM_SHARE = 2.0, 10.0, 0.1
REPORT_SECONDS = 5.0
STATM_BYTES = 128  # more than /proc/self/statm holds
REPORTED_SHARE = 0.6  # of the limit; a lower peak is not worth a log line


class Use(float, Enum):
    """What memory is taken for; the value: the share of the usable memory that must stay free for others."""

    LONG = 0.35  # long bodies, and long values that are gathered
    REQUEST = 0.2  # requests beyond the first of a connection, and commands above a few KiB
    ANSWER = 0.1  # answers that wait for earlier ones or for their reader
    NEW = 0.05  # connections, and the first request of each


class ResidentMemory:
    """Reads the resident memory of this process; its descriptor stays open, as there may be none later."""

    def __init__(self) -> None:
        self.page_bytes = os.sysconf("SC_PAGE_SIZE")
        self.last = 0
        try:
            self.fd = os.open("/proc/self/statm", os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self.fd = -1

    def __call__(self) -> int:
        """Bytes; the last figure if the kernel does not tell, 0 if it never did."""
        with contextlib.suppress(OSError, IndexError, ValueError):
            self.last = int(os.pread(self.fd, STATM_BYTES, 0).split()[1]) * self.page_bytes
        return self.last


class ProcessMemory:
    """How much memory is free, by measurements and by what was taken since the last one."""

    def __init__(
        self,
        limit: int,
        now: Callable[[], float],
        log: Callable[[str], None] = lambda text: None,
        resident: Callable[[], int] | None = None,
        trim: Callable[[], None] = lambda: None,
    ) -> None:
        self.now, self.log, self.trim = now, log, trim
        self.resident = ResidentMemory() if resident is None else resident
        self.peak = 0  # bytes, since the last report
        self.promised = 0  # bytes that were reserved and are not filled yet
        self.taken = 0  # bytes since the last measurement
        self.measured_at = self.reclaimed_at = self.collected_at = now()
        self.reclaimed = 0  # times since the last report
        self.at_rest = self.resident()
        self.room_found: list[Callable[[], None]] = []  # called after each regular measurement
        self.ran_short: Callable[[int], None] = lambda missing: None  # called with the missing bytes
        self.resize(limit)

    def resize(self, limit: int) -> None:
        """Changes the limit."""
        self.reserve = max(MIN_RESERVE_BYTES, int(RESERVE_SHARE * limit))
        self.usable = max(MIN_USABLE_BYTES, limit - self.reserve - self.at_rest)
        self.limit = self.at_rest + self.usable + self.reserve
        self.measure()

    def serving_begins(self) -> None:
        """All that the process needs at rest is resident now."""
        self.at_rest = self.resident()
        self.resize(self.limit)

    @property
    def free(self) -> int:
        """Bytes that may still be taken; negative if the reserve is touched."""
        return self.headroom - self.taken - self.promised

    def fits(self, size: int, use: Use) -> bool:
        """True if `size` more bytes may be taken."""
        kept = use * self.usable
        if self.headroom - self.taken - self.promised - size >= kept:
            return True
        if self.now() - self.measured_at < MIN_MEASURE_SECONDS:
            return False
        self.measure()
        return self.free - size >= kept

    def take(self, size: int) -> None:
        """Bytes are taken, or were freed if `size` is negative."""
        self.taken += size

    def measure(self) -> None:
        """Reads the resident memory."""
        resident = self.resident()
        self.headroom = self.limit - self.reserve - resident
        self.taken, self.measured_at = 0, self.now()
        self.peak = max(self.peak, resident)

    def tick(self) -> None:
        """To be called every MEASURE_SECONDS: measures, gives back what is free, and wakes who waits."""
        self.measure()
        if self.free < RECLAIM_BELOW * self.usable:
            self._reclaim(RECLAIM_SECONDS, COLLECT_SECONDS)
        elif self.free < (1 - CALM_SHARE) * self.usable:
            self._reclaim(CALM_RECLAIM_SECONDS, CALM_COLLECT_SECONDS)
        wanted = int(Use.NEW * self.usable)
        if self.free < wanted:
            self.ran_short(wanted - self.free)
        for found in self.room_found:
            found()

    def _reclaim(self, reclaim_seconds: float, collect_seconds: float) -> None:
        """Collects garbage and gives free pages back to the system, each at most once in some time."""
        now = self.now()
        if now - self.reclaimed_at < reclaim_seconds:
            return
        self.reclaimed_at = now
        self.reclaimed += 1
        if now - self.collected_at >= collect_seconds:
            self.collected_at = now
            gc.collect()
        self.trim()
        self.measure()

    def report(self) -> None:
        """Logs the peak since the last report. To be called every REPORT_SECONDS."""
        if self.peak >= REPORTED_SHARE * self.limit:
            self.log(
                f"memory: resident peak={self.peak} now={self.limit - self.reserve - self.headroom}"
                f" at_rest={self.at_rest} limit={self.limit} promised={self.promised}"
                f" reclaimed={self.reclaimed}"
            )
        self.peak = self.reclaimed = 0


def unlimited() -> ProcessMemory:
    """For components without a limit of their own."""
    return ProcessMemory(1 << 60, lambda: 0.0, resident=lambda: 0)
