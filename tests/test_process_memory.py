"""What is free of the process's memory is measured, and what may be taken follows from it."""

from __future__ import annotations

import subprocess
import sys

from lab.processes import ROOT
from standflow.process_memory import MEASURE_SECONDS, MIN_USABLE_BYTES, ProcessMemory, ResidentMemory, Use

MB = 1 << 20


class Measured:
    """A process whose resident memory the test sets."""

    def __init__(self, limit: int = 64 * MB, at_rest: int = 20 * MB) -> None:
        self.resident, self.time, self.trims, self.log = at_rest, 0.0, 0, list[str]()
        self.memory = ProcessMemory(
            limit, lambda: self.time, self.log.append, lambda: self.resident, self.trim
        )

    def trim(self) -> None:
        self.trims += 1

    def tick(self) -> None:
        self.time += MEASURE_SECONDS
        self.memory.tick()


def test_memory_that_no_account_knows_is_not_given_away_twice() -> None:
    measured = Measured()
    free = measured.memory.free
    measured.resident += 30 * MB  # no component told of it
    measured.tick()
    assert measured.memory.free == free - 30 * MB
    assert not measured.memory.fits(free - 30 * MB, Use.NEW)


def test_memory_taken_between_two_measurements_counts_at_once_and_once() -> None:
    measured = Measured()
    memory, free = measured.memory, measured.memory.free
    memory.take(10 * MB)
    assert memory.free == free - 10 * MB
    measured.resident += 10 * MB
    measured.tick()
    assert memory.free == free - 10 * MB


def test_promised_memory_stays_promised_until_it_is_filled() -> None:
    measured = Measured()
    memory, free = measured.memory, measured.memory.free
    memory.promised += 8 * MB
    measured.tick()
    assert memory.free == free - 8 * MB


def test_what_can_wait_is_denied_before_what_a_new_client_needs() -> None:
    measured = Measured()
    usable = measured.memory.usable
    allowed = []
    for used in range(0, usable, usable // 100):
        measured.resident = 20 * MB + used
        measured.tick()
        allowed.append([measured.memory.fits(0, use) for use in (Use.LONG, Use.REQUEST, Use.ANSWER, Use.NEW)])
    assert [sum(row[n] for row in allowed) for n in range(4)] == [66, 81, 91, 96]


def test_shortage_tells_how_much_is_missing_and_memory_is_given_back_to_the_system_first() -> None:
    measured, missing = Measured(), list[int]()
    measured.memory.ran_short = missing.append
    measured.time += 1.0
    measured.resident = 64 * MB
    measured.tick()
    assert missing == [measured.memory.reserve + int(Use.NEW * measured.memory.usable)]
    assert measured.trims == 1


def test_memory_is_given_back_after_a_load_also_where_much_is_free() -> None:
    measured = Measured()
    for _ in range(int(5.0 / MEASURE_SECONDS)):
        measured.tick()
    assert measured.trims == 0
    measured.resident = 30 * MB
    for _ in range(int(5.0 / MEASURE_SECONDS)):
        measured.tick()
    assert 2 <= measured.trims <= 3


def test_limit_below_the_memory_at_rest_leaves_the_least_that_serving_needs() -> None:
    memory = Measured(limit=16 * MB).memory
    assert memory.usable == MIN_USABLE_BYTES
    assert memory.free == MIN_USABLE_BYTES


def test_log_tells_the_peak_of_resident_memory() -> None:
    measured = Measured()
    measured.memory.report()
    assert measured.log == []
    measured.resident = 50 * MB
    measured.tick()
    measured.memory.report()
    assert f"peak={50 * MB}" in measured.log[0]


def test_resident_memory_of_this_process_is_read() -> None:
    assert 5 * MB < ResidentMemory()() < 4096 * MB


def test_freed_buffers_go_back_to_the_system() -> None:
    text = """
import random
from standflow.allocator import Allocator
from standflow.process_memory import ResidentMemory
allocator, resident = Allocator(), ResidentMemory()
allocator.configure()
rng, kept, before = random.Random(1), [], resident()
for _ in range(20):
    buffers = [bytearray() for _ in range(100)]
    for _ in range(10):
        for one in buffers:
            one += bytes(rng.randrange(60_000))
    kept += [bytes(600) for _ in range(100)]
    del buffers, one
allocator.trim()
print(resident() - before)
"""
    ran = subprocess.run([sys.executable, "-c", text], cwd=ROOT, capture_output=True, text=True, check=True)
    assert int(ran.stdout) < 8 * MB
