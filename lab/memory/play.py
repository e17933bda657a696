"""One play: an ingress with a memory limit, clients that take memory, and sound clients beside them."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import time
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
from lab.memory.watch import MemoryWatch
from lab.processes import ROOT, BoxProcess, Ingress

BACKENDS = 3
BACKEND_DELAY_SECONDS = 0.005
SOUND_RATE, SOUND_CONNECTIONS = 40.0, 4  # requests a second and connections of the sound clients
REST_SECONDS = 1.0  # after the load, before the memory at rest is read
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
    """Plays a mix against a new ingress."""
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
            folder, boxes, False, memory_mb=mix.memory_mb, longest_deadline=LONGEST_DEADLINE_SECONDS
        )
        ingress = setup.start()
        stack.callback(ingress.end)
        return _play_against(mix, ingress)


def _play_against(mix: Mix, ingress: Ingress) -> Played:
    address = ingress.address()
    watch = MemoryWatch(ingress.process.pid, mix.memory_mb)
    sound = Callers(address, SOUND_RATE, 0, SOUND_CONNECTIONS, seed=mix.seed)
    sound.start()
    time.sleep(0.3)
    rest_before = watch.last_mb
    load = start_load(address, mix)
    output, _ = load.communicate()
    time.sleep(REST_SECONDS)
    died = ingress.process.poll() is not None and watch.killed_at is None
    sound.stop()
    watch.stop()
    served = [one.took for one in sound.asked if one.end == "served"]
    return Played(
        rest_before,
        watch.peak_mb,
        watch.last_mb,
        watch.killed_at is not None,
        died,
        dict(sound.outcome_counts()),
        max(served, default=0.0),
        json.loads(output),
        list(ingress.log),
    )


def start_load(address: tuple[str, int], mix: Mix) -> subprocess.Popen[bytes]:
    """Starts the clients of a mix in a process of their own."""
    numbers = [f"{kind}={number}" for kind, number in mix.clients.items()]
    arguments = ["{}:{}".format(*address), str(mix.seed), str(mix.seconds), *numbers]
    return subprocess.Popen(
        [sys.executable, "-m", "lab.memory.load", *arguments], cwd=ROOT, stdout=subprocess.PIPE
    )
