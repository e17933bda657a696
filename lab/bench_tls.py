"""The measurement of TLS towards next hops: `make bench-tls`. See docs/design/tls.md for what it says.

Real ingress processes and real box processes on loopback. Boxes are slowed to a part of a core, so that the
machine carries twenty ingresses and the cold box is still the bottleneck; the handshakes' processor time is
real and is what the box books.
"""

from __future__ import annotations

import socket
import statistics
import sys
import tempfile
import time
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from lab.authority import Authority
from lab.callers import Callers, command, read
from lab.discovery import Discovery
from lab.processes import BoxProcess, Ingress
from lab.report import Report

SCALE = 0.1  # cores of a box in the cold runs: its handshakes weigh as ten times as much on a whole one
COLD_TIME = 8.0
WINDOW = 3.0
WORK = 0.0004  # processor seconds of a request at a box in the cold runs
DELAY = 0.1  # seconds that a request waits there for something else
RATE = 360.0  # requests a second, from all callers
COST = 1000  # microseconds of a full handshake, as stated to the ingresses: what the boxes here need
LATE = 2.0  # seconds by which the list tells late of the restart
BOXES = 4
FILE = """
name   n{number}
listen 127.0.0.1:0
zone   room-a
zones  room-a
number {number}
ingresses {ingresses}
{discovery}
class look {{
    aim       {aim}
    deadline  3s
}}
class change {{
    effect    unsafe
    aim       {aim}
    deadline  3s
}}
plan plain {{
    rate   100000
    burst  100000
}}
limits {{
    peer-messages  0
}}
cold {{
    time  {cold}s
}}
{hops}
{tls}
handshakes {{
    limit  {limit}
    cores  * {cores}
    cost   {cost}us
}}
"""
TLS = """
tls {{
    roots  {roots}
    names  {{id}}.{{zone}}.example.org
    watch  {watch}
}}
"""


class Site:
    """A folder with certificates, boxes and ingresses; all of it ends with the site."""

    def __init__(self) -> None:
        self.stack = ExitStack()
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.authority = Authority()
        self.roots = self.authority.write_roots(self.folder)
        self.files = 0

    def __enter__(self) -> Site:
        return self

    def __exit__(self, *error: object) -> None:
        self.stack.close()

    def certificate(self, name: str) -> str:
        """A certificate for a box, chain and key in one file."""
        self.files += 1
        path = self.folder / f"box-{self.files}.pem"
        cert = self.authority.issue(f"{name}.room-a.example.org")
        blobs = (cert.private_key_pem, *cert.cert_chain_pems)
        path.write_bytes(b"".join(blob.bytes() for blob in blobs))
        return str(path)

    def box(self, name: str, tls: bool = True) -> BoxProcess:
        """A box that proves its name."""
        box = BoxProcess()
        self.stack.callback(box.end)
        if tls:
            box.do("start", certificate=self.certificate(name))
        return box

    def ingress(self, **values: Any) -> Ingress:
        """An ingress on an operator's file of its own."""
        given: dict[str, Any] = {
            "number": 0,
            "ingresses": 1,
            "discovery": "",
            "cold": 17,
            "hops": "",
            "tls": TLS.format(roots=self.roots, watch=values.pop("watch", "0")),
            "limit": "on",
            "cores": 1,
            "cost": 700,
            "aim": "400ms",
        }
        self.files += 1
        path = self.folder / f"ingress-{self.files}.conf"
        path.write_text(FILE.format(**given | values))
        made = Ingress(path)
        self.stack.callback(made.end)
        return made


def hop(name: str, address: tuple[str, int]) -> str:
    """A next hop of the operator's file."""
    return f"next-hop {name} {{\n    address {address[0]}:{address[1]}\n    zone room-a\n}}\n"


def _look(ident: str) -> bytes:
    options = b"c=look,t=plain,d=3000,units=1,spread=1,first=0"
    return command([b"Q.ASK", b"%016x" % 0, ident.encode(), options])


def ask(sock: socket.socket, ident: str) -> bytes:
    """One request and its answer."""
    sock.sendall(_look(ident))
    return read(sock)


def ask_many(sock: socket.socket, idents: list[str]) -> None:
    """Some requests at once; each has to be served."""
    sock.sendall(b"".join(_look(ident) for ident in idents))
    due, got = b"".join(b"$%d\r\nran %b\r\n" % (len(one) + 4, one.encode()) for one in idents), b""
    while len(got) < len(due):
        more = sock.recv(65536)
        if not more:
            raise ConnectionResetError
        got += more
    if got != due:
        raise ValueError(f"not all were served: {got!r}")


def handshakes(report: Report) -> None:
    """Processor time of a full and a resumed handshake at both ends, and the share that is resumed."""
    with Site() as site:
        box = site.box("s-1")
        one = site.ingress(hops=hop("s-1", box.address), limit="off")
        sock = socket.create_connection(one.address(), 5.0)
        for serial in range(200):
            if serial % 10 == 0:
                box.do("forget", certificate=site.certificate("s-1"))
            ask(sock, f"aa{serial}")
            box.do("cut")
            _ends(one, serial + 1)
        seen = box.do("stats")
        own: dict[str, list[float]] = {"0": [], "1": []}
        for line in one.log:
            if " handshake=" in line:
                resumed = line.split("resumed=")[1][0]
                own[resumed].append(float(line.split("handshake=")[1].removesuffix("ms")))
        there = _by(seen["events"])
        report.tell("handshake_full_ingress", statistics.median(own["0"]), "ms", "<=4")
        report.tell("handshake_resumed_ingress", statistics.median(own["1"]), "ms", "<=2")
        report.tell("handshake_full_box", statistics.median(there["full"]) * 1e3, "ms", "<=3")
        report.tell("handshake_resumed_box", statistics.median(there["resumed"]) * 1e3, "ms", "<=2")
        report.tell("resumed_share_sessions_kept", len(own["1"]) / 180, "share", ">=0.95")


def _by(events: list[tuple[float, str, float]]) -> dict[str, list[float]]:
    found: dict[str, list[float]] = {}
    for _, what, cpu in events:
        found.setdefault(what, []).append(cpu)
    return found


def _ends(one: Ingress, count: int) -> None:
    """Waits until so many connections have ended."""
    end = time.monotonic() + 5.0
    while sum(line.split()[1:3] == ["end", "nexthop"] for line in one.log) < count:
        if time.monotonic() > end:
            raise TimeoutError("a connection did not end")
        time.sleep(0.001)


def requests(report: Report) -> None:
    """Processor time of a request at the ingress, plain and in TLS, in turns of the same run."""
    with Site() as site:
        sides = {}
        for name, tls in (("plain", False), ("tls", True)):
            box = site.box("s-1", tls)
            extra: dict[str, Any] = {} if tls else {"tls": ""}
            one = site.ingress(hops=hop("s-1", box.address), **extra)
            sides[name] = (one, socket.create_connection(one.address(), 5.0))
        cost: dict[str, list[float]] = {"plain": [], "tls": []}
        for turn in range(60):
            # in turns, and each in front as often: what else the machine does hits both
            for name in ("plain", "tls") if turn % 2 else ("tls", "plain"):
                one, sock = sides[name]
                before = one.cpu()
                for serial in range(30):
                    ask_many(sock, [f"{name}{turn}x{serial}y{n}" for n in range(8)])
                if turn > 3:
                    cost[name].append((one.cpu() - before) / 240)
        # What else the machine does only ever adds: the low end of many turns is the cost itself.
        low = {name: statistics.quantiles(cost[name], n=10)[0] for name in cost}
        report.tell("request_plain_ingress", low["plain"] * 1e6, "us")
        report.tell("request_tls_ingress", low["tls"] * 1e6, "us")
        report.tell("request_tls_over_plain", low["tls"] / low["plain"], "ratio", "<=1.15")
        ratios = [one / other for other, one in zip(cost["plain"], cost["tls"], strict=True)]
        report.tell("request_tls_over_plain_median_of_pairs", statistics.median(ratios), "ratio")


def cold(report: Report, ingresses: int, limit: str) -> tuple[float, float]:
    """A box comes back cold, without its sessions, in front of all ingresses, and the list tells it late.

    The worst share of a window that handshakes took, and seconds until the box does its share of the work.
    """
    with Site() as site, Discovery() as discovery:
        boxes = {f"s-{n}": site.box(f"s-{n}") for n in range(BOXES)}
        for name, box in boxes.items():
            box.do("set", work=WORK, delay=DELAY, cores=SCALE, cold_time=COLD_TIME)
            discovery.publish(name, box.address)
        agent = f"discovery {discovery.address[0]}:{discovery.address[1]}"
        values = {
            "ingresses": ingresses,
            "discovery": agent,
            "cold": COLD_TIME,
            "limit": limit,
            "cost": COST,
            "cores": SCALE,
            "aim": "2s",
        }
        all_of_them = [site.ingress(number=number, **values) for number in range(ingresses)]
        callers = [
            Callers(one.address(), RATE / ingresses, number, connections=180 // ingresses, seed=ingresses)
            for number, one in enumerate(all_of_them)
        ]
        for caller in callers:
            caller.start()
        time.sleep(2.5)
        victim = boxes["s-0"]
        started = victim.do("restart", certificate=site.certificate("s-0"))["started"]
        time.sleep(LATE)
        discovery.publish("s-0", victim.address, up_since=started)
        time.sleep(COLD_TIME + 2.0 - LATE)
        for caller in callers:
            caller.stop()
        # What was out when the process died may have run, and fails for that; it is no matter of handshakes.
        valid_until = sum((caller.outcome_counts(started + 0.1) for caller in callers), Counter[str]())
        stats = {name: box.do("stats") for name, box in boxes.items()}
        worst = _worst(stats["s-0"]["events"], started)
        name = f"cold_{ingresses}_{'limited' if limit == 'on' else 'unlimited'}"
        report.tell(f"{name}_worst_share", worst, "share", "<=0.25" if limit == "on" else "-")
        report.tell(f"{name}_handshakes", _handshakes(stats["s-0"]["events"], started), "count")
        after = _share_after(stats, started)
        report.tell(f"{name}_own_share_after", after, "s")
        lost = valid_until["lost"] + valid_until["failed"]
        report.tell(f"{name}_requests", sum(valid_until.values()), "count")
        report.tell(f"{name}_refused", valid_until["refused"], "count")
        report.tell(f"{name}_lost_or_failed", lost, "count", "==0" if limit == "on" else "-")
        twice = sum(count > 1 for seen in stats.values() for count in seen["changes"].values())
        report.tell(f"{name}_ran_twice", twice, "count", "==0")
        return worst, after


def _handshakes(events: list[tuple[float, str, float]], started: float) -> int:
    return sum(what != "request" and at >= started for at, what, _ in events)


def _worst(events: list[tuple[float, str, float]], started: float) -> float:
    """The most that handshakes took of what the box could do in any window, from its start on."""
    own = [(at, cpu) for at, what, cpu in sorted(events) if what != "request" and at >= started]
    worst, first, spent = 0.0, 0, 0.0
    for at, cpu in own:
        spent += cpu
        while own[first][0] <= at - WINDOW:
            spent -= own[first][1]
            first += 1
        age = at - WINDOW - started
        able = _able(age + WINDOW) - _able(age) if age > 0 else _able(WINDOW)
        worst = max(worst, spent / able)
    return worst


def _able(age: float) -> float:
    """Processor seconds that the box can have done since its start."""
    cold_from, within = 0.15, min(age, COLD_TIME)
    rise = (1 - cold_from) / COLD_TIME
    return SCALE * (cold_from * within + rise * within**2 / 2 + max(0.0, age - COLD_TIME))


def _share_after(stats: dict[str, Any], started: float) -> float:
    """Seconds until the box does half as much in a second as the others do on average, and goes on so."""
    seconds = int(COLD_TIME) + 1
    rates: dict[str, list[int]] = {}
    for name, seen in stats.items():
        rates[name] = [0] * seconds
        for at, what, _ in seen["events"]:
            if what == "request" and 0 <= at - started < seconds:
                rates[name][int(at - started)] += 1
    others = [sum(rates[name][n] for name in rates if name != "s-0") / (BOXES - 1) for n in range(seconds)]
    good = [rates["s-0"][n] >= 0.5 * others[n] for n in range(seconds)]
    for n in range(seconds):
        if all(good[n:]):
            return float(n)
    return float(seconds)


def rotations(report: Report) -> None:
    """Certificates and roots swapped ten times under load."""
    with Site() as site:
        boxes = {f"s-{n}": site.box(f"s-{n}") for n in range(2)}
        hops = "".join(hop(name, box.address) for name, box in boxes.items())
        one = site.ingress(hops=hops, watch="100ms")
        callers = Callers(one.address(), 150.0, 0, connections=6)
        callers.start()
        for turn in range(2, 12):
            before, site.authority = site.authority, Authority()
            site.authority.write_roots(site.folder, before, name="next.pem").replace(site.roots)
            one.wait_for_log(rf"tls: set {turn} in use")
            for name, box in boxes.items():
                box.do("forget", certificate=site.certificate(name))
            time.sleep(0.7)
        callers.stop()
        valid_until = callers.outcome_counts()
        stats = [box.do("stats") for box in boxes.values()]
        report.tell("rotations_requests", sum(valid_until.values()), "count", ">=500")
        report.tell("rotations_lost_or_failed", valid_until["lost"] + valid_until["failed"], "count", "==0")
        report.tell("rotations_refused", valid_until["refused"], "count", "==0")
        report.tell("rotations_handshakes", sum(seen["full"] + seen["resumed"] for seen in stats), "count")
        report.tell("rotations_failed_handshakes", sum(seen["failed"] for seen in stats), "count", "==0")


def main() -> int:
    """Everything, or the parts that are named."""
    report, parts = Report(), sys.argv[1:]

    def wanted(part: str) -> bool:
        return not parts or part in parts

    if wanted("handshakes"):
        handshakes(report)
    if wanted("requests"):
        requests(report)
    if wanted("cold"):
        for ingresses in (3, 20):
            (limited, after), (unlimited, before) = (
                cold(report, ingresses, limit) for limit in ("on", "off")
            )
            report.tell(f"cold_{ingresses}_limited_over_unlimited", limited / unlimited, "ratio", "<=1")
            report.tell(f"cold_{ingresses}_own_share_later_by", after - before, "s", "<=2")
    if wanted("rotations"):
        rotations(report)
    return report.status


if __name__ == "__main__":
    sys.exit(main())
