"""The benchmark of operating an ingress: `make bench-ops`. See docs/design/operations.md.

Real ingress processes, boxes and callers on loopback. The ingress answers operators' calls, is drained and
upgraded, and has next hops excluded by hand, all under load; the answers to all callers are recorded.
"""

from __future__ import annotations

import json
import socket
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

from lab.callers import Callers, command
from lab.processes import ROOT, BoxProcess, Ingress
from lab.report import Report

BOX_COUNT = 3
REQUESTS_PER_SECOND = 250.0
INCOMPLETE_OPS_CALLS = 50  # connections to the operators' address that send only part of a call
UPGRADES = DRAINS = 10
MEMORY_LIMIT_MB = 64  # limit of the ingress, checked in the run with long values
SLOW_READERS = 12  # concurrent slow callers of long values
LONG_VALUE_BYTES = 4 * 1024 * 1024 - 64
COST_ROUNDS = 4  # alternating runs with and without the operators' address
COST_ROUND_SECONDS = 3.0


class IngressSetup:
    """The configuration of an ingress, with the listening socket that its processes share."""

    def __init__(
        self,
        folder: Path,
        boxes: list[BoxProcess],
        passed: bool,
        ops: bool = True,
        memory_mb: int = MEMORY_LIMIT_MB,
        longest_deadline: float = 10.0,
    ) -> None:
        self.folder, self.ops = folder, ops
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024) if passed else None
        raw: dict[str, Any] = json.loads((ROOT / "deploy" / "example.json").read_text())
        settings = raw["settings"]
        for kind, name in zip(settings["Classes"], ("look", "change"), strict=True):
            microseconds = round(longest_deadline * 1e6)
            kind |= {"Name": name, "DeadlineUs": microseconds, "AimUs": microseconds // 2}
        settings["Contracts"] = [settings["Contracts"][0] | {"Name": "plain", "Rate": 1e5, "PeakUnits": 1e5}]
        member = raw["known"]["members"][0]
        raw["known"]["members"] = [
            member | {"id": f"s-{n}", "host_port": "{}:{}".format(*box.address)}
            for n, box in enumerate(boxes)
        ]
        limits = {"memory_mb": memory_mb, "sockets": 1024}
        raw |= {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "limits": limits}
        (folder / "config.json").write_text(json.dumps(raw))

    def start(self) -> Ingress:
        """Starts a process and waits until it is ready."""
        environment = {"EDGE_CONFIG": f"{self.folder / 'config.json'}", "TMPDIR": f"{self.folder}"}
        if self.ops:
            environment["EDGE_OPS"] = "127.0.0.1:0"
        passed: tuple[int, ...] = ()
        if self.listener is not None:
            passed = (self.listener.fileno(),)
            environment["EDGE_PASSED_SOCKET"] = f"{self.listener.fileno()}"
        ingress = Ingress(None, passed, environment)
        ingress.address()
        return ingress


def ops_call(ingress: Ingress, method: str, path: str) -> tuple[int, str, float]:
    """Makes an operators' call; returns the status, the body and the seconds that it took."""
    match = ingress.wait_for_log(r"ops \S+ on ([\d.]+):(\d+)")
    began = time.monotonic()
    with socket.create_connection((match[1], int(match[2])), 10.0) as sock:
        sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
        data = b""
        while more := sock.recv(65536):
            data += more
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), body.decode(), time.monotonic() - began


def ops_figure(ingress: Ingress, name: str) -> int:
    """Reads one of the telemetry figures."""
    text = ops_call(ingress, "GET", "/api/telemetry")[1]
    return int(dict(line.split("=") for line in text.split())[name])


@contextmanager
def under_load(
    address: tuple[str, int], rate: float = REQUESTS_PER_SECOND, connections: int = 16
) -> Iterator[Callers]:
    """Callers that send requests inside the context."""
    callers = Callers(address, rate, 0, connections=connections)
    callers.start()
    try:
        yield callers
    finally:
        callers.stop()


def measure_ops_answers(report: Report, setup: IngressSetup) -> None:
    """The slowest operators' answer under full load, with other connections that send incomplete calls."""
    ingress, incomplete_calls = setup.start(), list[socket.socket]()
    match = ingress.wait_for_log(r"ops \S+ on ([\d.]+):(\d+)")
    with under_load(ingress.address(), rate=4 * REQUESTS_PER_SECOND, connections=48):
        slowest, wrong = 0.0, 0
        end = time.monotonic() + 8.0
        while time.monotonic() < end:
            while len(incomplete_calls) < INCOMPLETE_OPS_CALLS:
                sock = socket.create_connection((match[1], int(match[2])), 10.0)
                sock.sendall(b"POST /api/evacu")
                incomplete_calls.append(sock)
            for path in ("/api/ready", "/api/telemetry"):
                status, _, took = ops_call(ingress, "GET", path)
                slowest, wrong = max(slowest, took), wrong + (status != 200)
            incomplete_calls.pop(0).close()
            time.sleep(0.05)
    for sock in incomplete_calls:
        sock.close()
    ingress.end()
    report.print_figure("ops.slowest_answer", slowest, "s", "<=1")
    report.print_figure("ops.wrong_answers", wrong, "calls", "==0")


def measure_upgrades(report: Report, setup: IngressSetup) -> None:
    """Requests lost over ten upgrades and ten drains."""
    assert setup.listener is not None
    ingress = setup.start()
    with under_load(setup.listener.getsockname()) as callers:
        slowest_ready = slowest_exit = 0.0
        for _ in range(UPGRADES):
            time.sleep(0.3)
            began = time.monotonic()
            newer = setup.start()
            slowest_ready, began = max(slowest_ready, time.monotonic() - began), time.monotonic()
            ingress.end()
            slowest_exit, ingress = max(slowest_exit, time.monotonic() - began), newer
    outcomes, retried = callers.outcome_counts(), sum(one.again for one in callers.asked)
    report.print_figure("upgrade.requests", sum(outcomes.values()), "requests")
    report.print_figure("upgrade.lost", outcomes["lost"], "requests", "==0")
    report.print_figure("upgrade.failed", outcomes["failed"], "requests", "==0")
    report.print_figure("upgrade.sent_once_more", retried, "requests")
    report.print_figure("upgrade.slowest_yes", slowest_ready, "s", "<=6")
    report.print_figure("upgrade.slowest_leave", slowest_exit, "s", "<=3.7")
    with under_load(setup.listener.getsockname()) as callers:
        drain_seconds = 0.0
        for _ in range(DRAINS):
            time.sleep(0.3)
            began = time.monotonic()
            ops_call(ingress, "POST", "/api/evacuate")
            time.sleep(1.7)
            # the callers use no load balancer and reconnect at once; each connection has one request
            drain_seconds = max(drain_seconds, time.monotonic() - began)
            ops_call(ingress, "POST", "/api/rejoin")
    outcomes, retried = callers.outcome_counts(), sum(one.again for one in callers.asked)
    report.print_figure("drain.requests", sum(outcomes.values()), "requests")
    report.print_figure("drain.lost", outcomes["lost"], "requests", "==0")
    report.print_figure("drain.failed", outcomes["failed"], "requests", "==0")
    report.print_figure("drain.sent_once_more", retried, "requests")
    ingress.end()


def measure_manual_exclusion(report: Report, setup: IngressSetup, boxes: list[BoxProcess]) -> None:
    """Seconds from excluding a next hop to the last new send, and from including it to the first."""
    ingress = setup.start()
    with under_load(ingress.address()):
        time.sleep(1.0)
        ops_call(ingress, "POST", "/api/exclude/s-0")
        excluded_at = time.time()
        time.sleep(2.0)
        boxes[0].do("restart")
        ops_call(ingress, "POST", "/api/include/s-0")
        included_at = time.time()
        time.sleep(5.5)
    ingress.end()
    sent = [at for at, what, _ in boxes[0].do("stats")["events"] if what == "request"]
    last = max((at for at in sent if at < included_at), default=excluded_at)
    first = min((at for at in sent if at >= included_at), default=included_at + 100)
    report.print_figure("hand.sends_before", sum(at < excluded_at for at in sent), "sends", ">=1")
    report.print_figure("hand.last_send_after_out", last - excluded_at, "s", "<=0.5")
    report.print_figure("hand.first_send_after_back", first - included_at, "s", "<=5")


def measure_long_values(report: Report, setup: IngressSetup, boxes: list[BoxProcess]) -> None:
    """Peak memory with values of 4 MiB to slow readers, in total more than the memory limit."""
    ingress = setup.start()
    for box in boxes:
        box.do("set", value=LONG_VALUE_BYTES)
    address, complete = ingress.address(), list[bool]()

    def read_slowly(number: int) -> None:
        parts = [
            b"Q.ASK",
            b"%016x" % number,
            b"%04x" % number,
            b"c=look,t=plain,d=9000,units=1,spread=1,first=0",
        ]
        size = 0
        with socket.create_connection(address, 30.0) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            sock.sendall(command(parts))
            while data := sock.recv(65536):
                size += len(data)
                if data.endswith(b"\r\n") and size > LONG_VALUE_BYTES:
                    break
                time.sleep(0.03)
        complete.append(size == LONG_VALUE_BYTES + len(b"$%d\r\n\r\n" % LONG_VALUE_BYTES))

    readers = [threading.Thread(target=read_slowly, args=(n,)) for n in range(SLOW_READERS)]
    for reader in readers:
        reader.start()
    for reader in readers:
        reader.join(60.0)
    report.print_figure("long.whole", sum(complete), "values", f"=={SLOW_READERS}")
    report.print_figure("long.on_their_way", SLOW_READERS * LONG_VALUE_BYTES / 2**20, "MB")
    report.print_figure("long.peak", ingress.peak_rss_mb(), "MB", f"<={MEMORY_LIMIT_MB}")
    ingress.end()
    for box in boxes:
        box.do("set", value=0)


def measure_cost(report: Report, folder: Path, boxes: list[BoxProcess]) -> None:
    """Processor time per request with the operators' address, fetching figures, and without it."""
    used: dict[bool, float] = {True: 0.0, False: 0.0}
    asked: dict[bool, int] = {True: 0, False: 0}
    with ExitStack() as stack:
        running = {}
        for ops in (True, False):
            inner = folder / f"{ops}"
            inner.mkdir()
            running[ops] = IngressSetup(inner, boxes, passed=False, ops=ops).start()
            stack.callback(running[ops].end)
        for _ in range(COST_ROUNDS):
            for ops, ingress in running.items():
                before = ingress.cpu()
                with under_load(ingress.address()) as callers:
                    end = time.monotonic() + COST_ROUND_SECONDS
                    while time.monotonic() < end:
                        if ops:
                            ops_call(ingress, "GET", "/api/telemetry")
                        time.sleep(0.5)
                used[ops] += ingress.cpu() - before
                asked[ops] += len(callers.asked)
    on, off = (used[ops] / asked[ops] * 1000 for ops in (True, False))
    report.print_figure("ops.cpu_a_request", on, "ms")
    report.print_figure("ops.cpu_against_off", on / off, "times", "<=1.1")


def main() -> int:
    """Runs all parts; returns 1 if a bound fails."""
    report = Report()
    with tempfile.TemporaryDirectory() as name, ExitStack() as stack:
        boxes = [BoxProcess() for _ in range(BOX_COUNT)]
        for box in boxes:
            stack.callback(box.end)
            box.do("set", work=0.0005, delay=0.01)
        setups = {}
        for part in ("answers", "upgrades", "hand", "long"):
            folder = Path(name) / part
            folder.mkdir()
            setups[part] = IngressSetup(folder, boxes, passed=part == "upgrades")
        measure_ops_answers(report, setups["answers"])
        measure_upgrades(report, setups["upgrades"])
        measure_manual_exclusion(report, setups["hand"], boxes)
        measure_long_values(report, setups["long"], boxes)
        measure_cost(report, Path(name), boxes)
    return report.status


if __name__ == "__main__":
    sys.exit(main())
