"""One play: an ingress with a memory limit, clients that take memory, and sound clients beside them."""

from __future__ import annotations

import json
import math
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

from lab.bench_ops import IngressSetup
from lab.callers import Callers
from lab.memory.load import (
    FULL_VALUE_BYTES,
    FULL_VALUE_TENANT,
    HUNG_TENANT,
    LONG_VALUE_BYTES,
    LONG_VALUE_TENANT,
)
from lab.memory.plan import Run
from lab.memory.watch import MemoryWatch
from lab.processes import ROOT, BoxProcess, Ingress
from lab.shutdown import kill_time

BACKENDS = 3
BACKEND_DELAY_SECONDS = 0.005
SOUND_RATE, SOUND_CONNECTIONS = 40.0, 4  # requests a second and connections of the sound clients
REST_SECONDS, LONG_REST_SECONDS = 1.0, 5.0  # after the load, before the memory at rest is read
PAUSE_SECONDS = 0.14  # of a process, within the platform terms
IN_FLIGHT_SECONDS = 0.05  # before SIGTERM; what is sent later is judged by the soak of restarts
LONGEST_DEADLINE_SECONDS = 3.0


@dataclass(slots=True)
class Mix:
    """What one play is made of: clients by their kind, for some seconds."""

    memory_mb: int
    clients: dict[str, int]
    seconds: float = 4.0
    seed: int = 1


@dataclass(slots=True)
class Played:
    """What was seen in one play."""

    rest_before_mb: float
    peak_mb: float
    rest_after_mb: float
    killed: bool  # over the limit
    died: bool  # by itself
    sound: dict[str, int]  # requests of the sound clients, by their end
    slowest_seconds: float  # of a sound request that was served
    load: dict[str, int]
    log: list[str]

    def describe(self) -> str:
        """One line."""
        end = "KILLED over the limit" if self.killed else "DIED" if self.died else "held"
        return (
            f"{end}: {self.rest_before_mb:.1f} MB at rest, peak {self.peak_mb:.1f}, "
            f"after {self.rest_after_mb:.1f}; sound {self.sound}, slowest {self.slowest_seconds:.2f} s"
        )


def play(mix: Mix) -> Played:
    """Plays a mix against a new ingress, without signals."""
    run = Run(mix.seed, mix.memory_mb, mix.clients, mix.seconds, (), (), None)
    return play_run(run, REST_SECONDS)


def play_run(run: Run, rest_seconds: float = LONG_REST_SECONDS) -> Played:
    """Plays a run against a new ingress."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        boxes = [BoxProcess() for _ in range(BACKENDS)]
        for box in boxes:
            stack.callback(box.end)
            box.do(
                "set",
                delay=BACKEND_DELAY_SECONDS,
                hung_tenants=[HUNG_TENANT],
                tenant_values=[[LONG_VALUE_TENANT, LONG_VALUE_BYTES], [FULL_VALUE_TENANT, FULL_VALUE_BYTES]],
            )
        setup = IngressSetup(
            folder, boxes, False, memory_mb=run.memory_mb, longest_deadline=LONGEST_DEADLINE_SECONDS
        )
        ingress = setup.start()
        stack.callback(ingress.end)
        return _play_against(run, ingress, rest_seconds)


def _play_against(run: Run, ingress: Ingress, rest_seconds: float) -> Played:
    address = ingress.address()
    watch = MemoryWatch(ingress.process.pid, run.memory_mb)
    sound = Callers(address, SOUND_RATE, 0, SOUND_CONNECTIONS, seed=run.seed)
    sound.start()
    time.sleep(0.3)
    rest_before = watch.last_mb
    load = start_load(address, run)
    terminated_at = _send_signals(run, ingress)
    output, _ = load.communicate()
    if run.terminated_at is None:
        time.sleep(rest_seconds)
        died = ingress.process.poll() is not None and watch.killed_at is None
    else:
        died = ingress.process.poll() not in (None, 0) and watch.killed_at is None
        ingress.process.kill()
    watch.stop()
    sound.stop()
    judged = [one for one in sound.asked if one.at < terminated_at - IN_FLIGHT_SECONDS]
    served = [one.took for one in judged if one.end == "served"]
    return Played(
        rest_before,
        watch.peak_mb,
        watch.last_mb,
        watch.killed_at is not None,
        died,
        dict(Counter(one.end for one in judged)),
        max(served, default=0.0),
        json.loads(output),
        list(ingress.log),
    )


def _send_signals(run: Run, ingress: Ingress) -> float:
    """Sends the signals of a run at their times; returns when SIGTERM was sent, in Unix time."""
    begin, terminated_at = time.monotonic(), math.inf
    due = [(at, signal.SIGHUP) for at in run.reloads] + [(at, signal.SIGSTOP) for at in run.pauses]
    if run.terminated_at is not None:
        due.append((run.terminated_at, signal.SIGTERM))
    for at, number in sorted(due):
        time.sleep(max(0.0, begin + at - time.monotonic()))
        if number is signal.SIGTERM:
            terminated_at = time.time()
        if ingress.process.poll() is not None:
            continue
        ingress.signal(number)
        if number is signal.SIGSTOP:
            time.sleep(PAUSE_SECONDS)
            ingress.signal(signal.SIGCONT)
    return terminated_at


def start_load(address: tuple[str, int], run: Run) -> subprocess.Popen[bytes]:
    """Starts the clients of a run in a process of their own; they go on up to SIGKILL."""
    seconds = run.seconds
    if run.terminated_at is not None:
        seconds = run.terminated_at + kill_time(LONGEST_DEADLINE_SECONDS)
    numbers = [f"{kind}={number}" for kind, number in run.clients.items()]
    arguments = ["{}:{}".format(*address), str(run.seed), str(seconds), *numbers]
    return subprocess.Popen(
        [sys.executable, "-m", "lab.memory.load", *arguments], cwd=ROOT, stdout=subprocess.PIPE
    )
