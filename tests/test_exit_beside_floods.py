"""A planned restart beside clients that send at full speed ends in time, and answers all others."""

from __future__ import annotations

import signal
import socket
import time
from contextlib import ExitStack
from pathlib import Path

import pytest

from lab.bench_ops import IngressSetup
from lab.callers import command, read
from lab.memory.load import HUNG_TENANT
from lab.memory.plan import Run
from lab.memory.play import LONGEST_DEADLINE_SECONDS, start_load
from lab.processes import BoxProcess
from lab.shutdown import kill_time

WAITING = 20  # sound clients whose requests are open when the process answers all


@pytest.mark.parametrize("kind", ["flood", "unsound_flood"])
def test_process_beside_clients_at_full_speed_exits_before_it_is_killed(kind: str, tmp_path: Path) -> None:
    with ExitStack() as stack:
        box = BoxProcess()
        stack.callback(box.end)
        box.do("set", hung_tenants=[HUNG_TENANT])
        setup = IngressSetup(tmp_path, [box], False, longest_deadline=LONGEST_DEADLINE_SECONDS)
        ingress = setup.start()
        stack.callback(ingress.end)
        address = ingress.address()
        load = start_load(address, Run(1, 64, {kind: 4}, 8.0, (), (), None))
        stack.callback(load.wait)
        stack.callback(load.kill)
        time.sleep(0.5)
        ingress.signal(signal.SIGTERM)
        begun = time.monotonic()
        time.sleep(0.2)
        clients = [stack.enter_context(socket.create_connection(address, 10.0)) for _ in range(WAITING)]
        for number, client in enumerate(clients):
            options = b"c=look,t=plain,d=10000,units=1,spread=1,first=0"
            parts = [b"Q.ASK", b"%016x" % HUNG_TENANT, b"%016x" % (1000 + number), options]
            client.sendall(command(parts))
        for client in clients:
            assert read(client).startswith((b"-", b"$"))
        ingress.process.wait(20.0)
        assert time.monotonic() - begun <= kill_time(LONGEST_DEADLINE_SECONDS)
