"""How long a process waits for a processor, from /proc/PID/schedstat, and what the machine's host takes."""

from __future__ import annotations

import os
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path

POLL_SECONDS = 0.01  # between readings
SAMPLE_SECONDS = 0.05  # that one sample covers


@dataclass(slots=True, frozen=True)
class Reading:
    """Times of a process since its start, read `at` seconds of the caller's clock."""

    at: float
    processor: float  # seconds
    wait: float  # seconds in which it could run and had no processor


@dataclass(slots=True, frozen=True)
class SchedulingSample:
    """What a process got of the processors in an interval."""

    begin: float
    end: float
    processor: float  # seconds
    wait: float  # seconds
    longest_wait: float  # seconds; the longest single wait is at least as long


def read_times(pid: int, now: float) -> Reading | None:
    """The times of a process; None where the kernel does not count them or the process is gone."""
    try:
        fields = Path(f"/proc/{pid}/schedstat").read_text().split()
        return Reading(now, int(fields[0]) / 1e9, int(fields[1]) / 1e9)
    except (OSError, IndexError, ValueError):
        return None


def read_steal() -> float:
    """Processor seconds that the host has taken from all processors of this machine; 0 if it is not told."""
    try:
        fields = Path("/proc/stat").read_text().split(maxsplit=9)
        return int(fields[8]) / os.sysconf("SC_CLK_TCK")  # cpu user nice system idle iowait irq softirq steal
    except (OSError, IndexError, ValueError):
        return 0.0


@dataclass(slots=True)
class SchedulingMonitor:
    """Reads the times of one process."""

    pid: int
    readings: list[Reading] = field(default_factory=list)

    def poll(self, now: float) -> None:
        """Reads the times if that is due; to be called often."""
        if not self.readings or now - self.readings[-1].at >= POLL_SECONDS:
            self.read(now)

    def read(self, now: float) -> None:
        """Reads the times. Those of a process that has ended are kept until it is waited for."""
        if (reading := read_times(self.pid, now)) is not None:
            self.readings.append(reading)

    @property
    def waited(self) -> float:
        """Seconds without a processor since the first reading."""
        return self.readings[-1].wait - self.readings[0].wait if self.readings else 0.0


def samples(readings: Iterable[Reading]) -> list[SchedulingSample]:
    """Combines readings to samples of `SAMPLE_SECONDS`, the last one possibly shorter."""
    found: list[SchedulingSample] = []
    begin, longest = None, 0.0
    for before, after in pairwise(readings):
        begin = begin or before
        longest = max(longest, _single_wait(before, after))
        if after.at - begin.at >= SAMPLE_SECONDS:
            found.append(_sample(begin, after, longest))
            begin, longest = None, 0.0
    if begin is not None:
        found.append(_sample(begin, after, longest))
    return found


def _single_wait(before: Reading, after: Reading) -> float:
    """Lower bound of the longest wait that ended between two readings.

    The kernel counts a wait when it ends. Of those counted, one at most began before the first reading, and
    the others are no longer together than the time between.
    """
    return max(0.0, (after.wait - before.wait) - (after.at - before.at))


def _sample(begin: Reading, end: Reading, longest_wait: float) -> SchedulingSample:
    processor, wait = end.processor - begin.processor, end.wait - begin.wait
    return SchedulingSample(begin.at, end.at, processor, wait, longest_wait)
