"""The measurement of running an ingress day by day: `make bench-ops`. See docs/design/operations.md.

Real ingress processes, boxes and callers on loopback. The ingress is asked, drained, upgraded and worked on
under load; every caller's answer is noted.
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

BOXES = 3
RATE = 250.0  # requests a second
HOLDERS = 50  # connections to the operators' address that say half a call
UPGRADES = DRAINS = 10
MEMORY = 64  # megabytes that the ingress may take in the run with long values
READERS = 12  # callers of long values at once, each slow
LONG = 4 * 1024 * 1024 - 64
PAIRS = 4  # runs with and without the operators' address, in turn
SPELL = 3.0  # seconds of each


class Place:
    """One ingress's configuration, its boxes and its listening socket, which outlives its processes."""

    def __init__(self, folder: Path, boxes: list[BoxProcess], passed: bool, ops: bool = True) -> None:
        self.folder, self.ops = folder, ops
        self.door = socket.create_server(("127.0.0.1", 0), backlog=1024) if passed else None
        raw: dict[str, Any] = json.loads((ROOT / "deploy" / "example.json").read_text())
        settings = raw["settings"]
        for kind, name in zip(settings["Classes"], ("look", "change"), strict=True):
            kind |= {"Name": name, "DeadlineUs": 10_000_000, "AimUs": 5_000_000}
        settings["Contracts"] = [settings["Contracts"][0] | {"Name": "plain", "Rate": 1e5, "PeakUnits": 1e5}]
        member = raw["known"]["members"][0]
        raw["known"]["members"] = [
            member | {"id": f"s-{n}", "host_port": "{}:{}".format(*box.address)}
            for n, box in enumerate(boxes)
        ]
        raw |= {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "limits": {"memory_mb": MEMORY}}
        (folder / "config.json").write_text(json.dumps(raw))

    def start(self) -> Ingress:
        """One process, ready to serve."""
        environment = {"EDGE_CONFIG": f"{self.folder / 'config.json'}", "TMPDIR": f"{self.folder}"}
        if self.ops:
            environment["EDGE_OPS"] = "127.0.0.1:0"
        passed: tuple[int, ...] = ()
        if self.door is not None:
            passed = (self.door.fileno(),)
            environment["EDGE_PASSED_SOCKET"] = f"{self.door.fileno()}"
        ingress = Ingress(None, passed, environment)
        ingress.address()
        return ingress


def call(ingress: Ingress, method: str, path: str) -> tuple[int, str, float]:
    """One operators' call: the status, the text, and the seconds that it took."""
    match = ingress.wait_for_log(r"ops \S+ on ([\d.]+):(\d+)")
    began = time.monotonic()
    with socket.create_connection((match[1], int(match[2])), 10.0) as sock:
        sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
        data = b""
        while more := sock.recv(65536):
            data += more
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), body.decode(), time.monotonic() - began


def figure(ingress: Ingress, name: str) -> int:
    """One of the figures."""
    text = call(ingress, "GET", "/api/telemetry")[1]
    return int(dict(line.split("=") for line in text.split())[name])


@contextmanager
def loaded(address: tuple[str, int], rate: float = RATE, connections: int = 16) -> Iterator[Callers]:
    """Callers who ask all the while."""
    callers = Callers(address, rate, 0, connections=connections)
    callers.start()
    try:
        yield callers
    finally:
        callers.stop()


def answers(report: Report, place: Place) -> None:
    """The slowest operators' answer under full load, beside connections that say nothing whole."""
    ingress, held = place.start(), list[socket.socket]()
    match = ingress.wait_for_log(r"ops \S+ on ([\d.]+):(\d+)")
    with loaded(ingress.address(), rate=4 * RATE, connections=48):
        slowest, wrong = 0.0, 0
        end = time.monotonic() + 8.0
        while time.monotonic() < end:
            while len(held) < HOLDERS:
                sock = socket.create_connection((match[1], int(match[2])), 10.0)
                sock.sendall(b"POST /api/evacu")
                held.append(sock)
            for path in ("/api/ready", "/api/telemetry"):
                status, _, took = call(ingress, "GET", path)
                slowest, wrong = max(slowest, took), wrong + (status != 200)
            held.pop(0).close()
            time.sleep(0.05)
    for sock in held:
        sock.close()
    ingress.end()
    report.tell("ops.slowest_answer", slowest, "s", "<=1")
    report.tell("ops.wrong_answers", wrong, "calls", "==0")


def upgrades(report: Report, place: Place) -> None:
    """Requests lost over ten upgrades and ten drains."""
    assert place.door is not None
    ingress = place.start()
    with loaded(place.door.getsockname()) as callers:
        slowest = leaves = 0.0
        for _ in range(UPGRADES):
            time.sleep(0.3)
            began = time.monotonic()
            newer = place.start()
            slowest, began = max(slowest, time.monotonic() - began), time.monotonic()
            ingress.end()
            leaves, ingress = max(leaves, time.monotonic() - began), newer
    valid_until, again = callers.outcome_counts(), sum(one.again for one in callers.asked)
    report.tell("upgrade.requests", sum(valid_until.values()), "requests")
    report.tell("upgrade.lost", valid_until["lost"], "requests", "==0")
    report.tell("upgrade.failed", valid_until["failed"], "requests", "==0")
    report.tell("upgrade.sent_once_more", again, "requests")
    report.tell("upgrade.slowest_yes", slowest, "s", "<=6")
    report.tell("upgrade.slowest_leave", leaves, "s", "<=3.7")
    with loaded(place.door.getsockname()) as callers:
        emptied = 0.0
        for _ in range(DRAINS):
            time.sleep(0.3)
            began = time.monotonic()
            call(ingress, "POST", "/api/evacuate")
            time.sleep(1.7)
            # the callers here ask no front, and come back: each connection lives for one request
            emptied = max(emptied, time.monotonic() - began)
            call(ingress, "POST", "/api/rejoin")
    valid_until, again = callers.outcome_counts(), sum(one.again for one in callers.asked)
    report.tell("drain.requests", sum(valid_until.values()), "requests")
    report.tell("drain.lost", valid_until["lost"], "requests", "==0")
    report.tell("drain.failed", valid_until["failed"], "requests", "==0")
    report.tell("drain.sent_once_more", again, "requests")
    ingress.end()


def by_hand(report: Report, place: Place, boxes: list[BoxProcess]) -> None:
    """From a call out to the last new send, and from a call back to the first."""
    ingress = place.start()
    with loaded(ingress.address()):
        time.sleep(1.0)
        call(ingress, "POST", "/api/exclude/s-0")
        out = time.time()
        time.sleep(2.0)
        boxes[0].do("restart")
        call(ingress, "POST", "/api/include/s-0")
        back = time.time()
        time.sleep(5.5)
    ingress.end()
    sent = [at for at, what, _ in boxes[0].do("stats")["events"] if what == "request"]
    last = max((at for at in sent if at < back), default=out)
    first = min((at for at in sent if at >= back), default=back + 100)
    report.tell("hand.sends_before", sum(at < out for at in sent), "sends", ">=1")
    report.tell("hand.last_send_after_out", last - out, "s", "<=0.5")
    report.tell("hand.first_send_after_back", first - back, "s", "<=5")


def long_values(report: Report, place: Place, boxes: list[BoxProcess]) -> None:
    """Peak memory with values of 4 MiB to slow readers, more at once than memory holds."""
    ingress = place.start()
    for box in boxes:
        box.do("set", value=LONG)
    address, whole = ingress.address(), list[bool]()

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
                if data.endswith(b"\r\n") and size > LONG:
                    break
                time.sleep(0.03)
        whole.append(size == LONG + len(b"$%d\r\n\r\n" % LONG))

    readers = [threading.Thread(target=read_slowly, args=(n,)) for n in range(READERS)]
    for reader in readers:
        reader.start()
    for reader in readers:
        reader.join(60.0)
    report.tell("long.whole", sum(whole), "values", f"=={READERS}")
    report.tell("long.on_their_way", READERS * LONG / 2**20, "MB")
    report.tell("long.peak", ingress.peak_rss_mb(), "MB", f"<={MEMORY}")
    ingress.end()
    for box in boxes:
        box.do("set", value=0)


def cost(report: Report, folder: Path, boxes: list[BoxProcess]) -> None:
    """Processor time a request with the operators' address, and figures fetched, against without."""
    used: dict[bool, float] = {True: 0.0, False: 0.0}
    asked: dict[bool, int] = {True: 0, False: 0}
    with ExitStack() as stack:
        running = {}
        for ops in (True, False):
            inner = folder / f"{ops}"
            inner.mkdir()
            running[ops] = Place(inner, boxes, passed=False, ops=ops).start()
            stack.callback(running[ops].end)
        for _ in range(PAIRS):
            for ops, ingress in running.items():
                before = ingress.cpu()
                with loaded(ingress.address()) as callers:
                    end = time.monotonic() + SPELL
                    while time.monotonic() < end:
                        if ops:
                            call(ingress, "GET", "/api/telemetry")
                        time.sleep(0.5)
                used[ops] += ingress.cpu() - before
                asked[ops] += len(callers.asked)
    on, off = (used[ops] / asked[ops] * 1000 for ops in (True, False))
    report.tell("ops.cpu_a_request", on, "ms")
    report.tell("ops.cpu_against_off", on / off, "times", "<=1.1")


def main() -> int:
    """All parts; 1 where a bound fails."""
    report = Report()
    with tempfile.TemporaryDirectory() as name, ExitStack() as stack:
        boxes = [BoxProcess() for _ in range(BOXES)]
        for box in boxes:
            stack.callback(box.end)
            box.do("set", work=0.0005, delay=0.01)
        places = {}
        for part in ("answers", "upgrades", "hand", "long"):
            folder = Path(name) / part
            folder.mkdir()
            places[part] = Place(folder, boxes, passed=part == "upgrades")
        answers(report, places["answers"])
        upgrades(report, places["upgrades"])
        by_hand(report, places["hand"], boxes)
        long_values(report, places["long"], boxes)
        cost(report, Path(name), boxes)
    return report.status


if __name__ == "__main__":
    sys.exit(main())
