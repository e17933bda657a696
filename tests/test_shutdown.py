"""Planned restarts at deadlines of several lengths, on real processes: all that was taken is answered."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

from lab.box import Box, Mode
from lab.shutdown import Client, Shutdown, kill_time, shut_down
from tests.wire import config, program

DEADLINES = (0.3, 0.8, 1.6, 3.0, 5.0)  # seconds: the longest of a deployment
BACKENDS = 6
LAST_SEND = 0.01  # seconds before SIGKILL in which a client sends for the last time


def deployment(boxes: list[Box], longest_deadline: float) -> dict[str, Any]:
    """A configuration whose longest deadline is that of its unsafe class; the safe class has half of it."""
    members = [
        {"id": f"s-{n}", "host_port": f"{host}:{port}", "locality": "z1", "phase": "SERVING"}
        for n, (host, port) in enumerate(box.address for box in boxes)
    ]
    raw = config(known={"revision": 1, "complete": True, "members": members})
    look, change = raw["settings"]["Classes"]
    microseconds = round(longest_deadline * 1e6)
    change |= {"DeadlineUs": microseconds, "AimUs": microseconds // 3}
    look |= {"DeadlineUs": microseconds // 2, "AimUs": microseconds // 6}
    raw["settings"]["Caps"]["MaxOpen"] = 1000
    return raw


@contextmanager
def silent_backends() -> Iterator[list[Box]]:
    """Backends that take every request and answer none."""
    with ExitStack() as stack:
        yield [stack.enter_context(Box(mode=Mode(silent=True))) for _ in range(BACKENDS)]


def usual_clients(end: float) -> list[Client]:
    """Clients with a request open, some that pipeline, some that connect late and send later; until `end`."""
    steps = [-0.2 + 0.11 * n for n in range(round((end - LAST_SEND + 0.2) / 0.11))]
    clients = [Client([(-0.1, bool(n % 2))]) for n in range(4)]
    clients += [Client([(at + n / 50, bool((n + m) % 2)) for m, at in enumerate(steps)]) for n in range(3)]
    moments = [at for at in steps if at > 0.45] + [end - LAST_SEND]
    clients += [Client([(at, bool(n % 2))], connects_at=0.02 + n % 7 / 20) for n, at in enumerate(moments)]
    return clients


def play(folder: Path, longest_deadline: float, signals: tuple[tuple[float, int], ...] = ()) -> Shutdown:
    """One restart under the usual clients, all backends being silent."""
    folder.mkdir()
    with silent_backends() as boxes, program(folder, deployment(boxes, longest_deadline)) as running:
        running.call().close()
        address = ("127.0.0.1", int(running.logged(r"ready n0 on 127.0.0.1:(\d+)")[1]))
        clients = usual_clients(kill_time(longest_deadline))
        arrived: set[str] = set()
        for box in boxes:
            box.arrived = arrived
        return shut_down(
            running.process, address, clients, longest_deadline, longest_deadline, arrived, signals
        )


def check(longest_deadline: float, ended: Shutdown) -> list[str]:
    """What broke in a shutdown."""
    broken = [
        f"deadline {longest_deadline}: {one.ident} (safe: {one.safe}), sent at {one.at:.3f}, is lost"
        for one in ended.lost
    ]
    if ended.ended_at is None:
        broken.append(f"deadline {longest_deadline}: the process was alive at SIGKILL")
    if ended.reset:
        broken.append(f"deadline {longest_deadline}: {ended.reset} connections were reset")
    if len(ended.sent) < 10:
        broken.append(f"deadline {longest_deadline}: only {len(ended.sent)} requests were sent")
    return broken


def test_nothing_taken_is_unanswered_at_sigkill_whatever_the_deadlines(tmp_path: Path) -> None:
    """Issue 32: the last moment was reckoned from 3 s at least, where SIGKILL counts 3 s at most."""
    with ThreadPoolExecutor(len(DEADLINES)) as pool:
        ends = list(pool.map(lambda one: play(tmp_path / f"{one}", one), DEADLINES))
    assert [line for one, end in zip(DEADLINES, ends, strict=True) for line in check(one, end)] == []
