"""The memory soak draws all that it should, and its judge sees what breaks a rule."""

from __future__ import annotations

import subprocess
import sys
import time

import pytest

from lab.memory.__main__ import violations
from lab.memory.load import KINDS
from lab.memory.plan import MEMORY_MB, ROOM, Run, draw
from lab.memory.play import Played
from lab.memory.watch import MemoryWatch

SEEDS = range(1, 101)


def played(**changes: object) -> Played:
    seen = {
        "rest_before_mb": 22.0,
        "peak_mb": 40.0,
        "rest_after_mb": 24.0,
        "killed": False,
        "died": False,
        "sound": {"served": 10, "refused": 2},
        "slowest_seconds": 0.1,
        "load": {},
        "log": [],
    }
    return Played(**seen | changes)  # type: ignore[arg-type]


def test_runs_of_the_soak_cover_all_kinds_sizes_crowds_and_signals() -> None:
    runs = [draw(seed) for seed in SEEDS]
    assert {kind for run in runs for kind in run.clients} == set(KINDS)
    assert {run.memory_mb for run in runs} == set(MEMORY_MB)
    assert any(sum(run.clients.values()) > ROOM for run in runs)
    assert any(run.terminated_at for run in runs)
    assert any(len(run.reloads) > 1 for run in runs)
    assert any(len(run.pauses) > 1 for run in runs)
    assert runs == [draw(seed) for seed in SEEDS]


@pytest.mark.parametrize(
    ("changes", "seen"),
    [
        ({}, []),
        ({"killed": True}, ["over its limit"]),
        ({"died": True}, ["ended by itself"]),
        ({"sound": {"lost": 1}}, ["1 sound requests"]),
        ({"rest_after_mb": 40.0}, ["40.0 MB resident"]),
    ],
)
def test_judge_sees_each_rule_that_is_broken(changes: dict[str, object], seen: list[str]) -> None:
    run = Run(1, 64, {"flood": 1}, 3.0, (), (), None)
    found = list(violations(run, played(**changes)))
    assert [text.startswith(start) for text, start in zip(found, seen, strict=True)] == [True] * len(seen)


def test_process_over_its_limit_is_killed_within_some_samples() -> None:
    text = "import time; time.sleep(0.3); kept = bytearray(b'x') * (100 << 20); time.sleep(20)"
    process = subprocess.Popen([sys.executable, "-c", text])
    watch, began = MemoryWatch(process.pid, 64.0), time.monotonic()
    assert process.wait(10.0) == -9
    watch.stop()
    assert watch.killed_at is not None
    assert time.monotonic() - began < 5.0
    assert watch.peak_mb > 64.0
