"""The benchmark of TLS towards next hops: `make bench-tls`. See docs/design/tls.md for the results.

Real ingress processes and real box processes on loopback. Boxes are slowed to a fraction of a core, so that
the cold box is the bottleneck even if one machine runs twenty ingresses. The processor time of the handshakes
is real, and the box charges it to its modelled cores.
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

BOX_CORES = (
    0.1  # of a box in the cold runs; a handshake takes ten times the share that it takes of a whole core
)
COLD_SECONDS = 8.0
WINDOW_SECONDS = 3.0
REQUEST_CPU_SECONDS = 0.0004  # of a request at a box in the cold runs
REQUEST_DELAY_SECONDS = 0.1  # that a request waits at the box without using a core
REQUESTS_PER_SECOND = 360.0  # of all callers together
HANDSHAKE_COST_US = 1000  # of a full handshake at these boxes, as configured at the ingresses
LIST_DELAY_SECONDS = 2.0  # until discovery announces the restart
BOX_COUNT = 4
CONFIG = """
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
TLS_CONFIG = """
tls {{
    roots  {roots}
    names  {{id}}.{{zone}}.example.org
    watch  {watch}
}}
"""


class Site:
    """A folder with certificates, boxes and ingresses; leaving the context stops all of them."""

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
        """Writes a certificate for a box, with chain and key in one file, and returns its path."""
        self.files += 1
        path = self.folder / f"box-{self.files}.pem"
        cert = self.authority.issue(f"{name}.room-a.example.org")
        blobs = (cert.private_key_pem, *cert.cert_chain_pems)
        path.write_bytes(b"".join(blob.bytes() for blob in blobs))
        return str(path)

    def box(self, name: str, tls: bool = True) -> BoxProcess:
        """Starts a box, with a certificate for its name unless `tls` is False."""
        box = BoxProcess()
        self.stack.callback(box.end)
        if tls:
            box.do("start", certificate=self.certificate(name))
        return box

    def ingress(self, **values: Any) -> Ingress:
        """Starts an ingress with a configuration file of its own."""
        given: dict[str, Any] = {
            "number": 0,
            "ingresses": 1,
            "discovery": "",
            "cold": 17,
            "hops": "",
            "tls": TLS_CONFIG.format(roots=self.roots, watch=values.pop("watch", "0")),
            "limit": "on",
            "cores": 1,
            "cost": 700,
            "aim": "400ms",
        }
        self.files += 1
        path = self.folder / f"ingress-{self.files}.conf"
        path.write_text(CONFIG.format(**given | values))
        ingress = Ingress(path)
        self.stack.callback(ingress.end)
        return ingress


def next_hop_block(name: str, address: tuple[str, int]) -> str:
    """The block of a next hop in the configuration file."""
    return f"next-hop {name} {{\n    address {address[0]}:{address[1]}\n    zone room-a\n}}\n"


def _look_command(ident: str) -> bytes:
    options = b"c=look,t=plain,d=3000,units=1,spread=1,first=0"
    return command([b"Q.ASK", b"%016x" % 0, ident.encode(), options])


def ask(sock: socket.socket, ident: str) -> bytes:
    """Sends one request and returns the answer."""
    sock.sendall(_look_command(ident))
    return read(sock)


def ask_many(sock: socket.socket, idents: list[str]) -> None:
    """Sends several requests at once; raises ValueError unless each is served."""
    sock.sendall(b"".join(_look_command(ident) for ident in idents))
    expected, received = b"".join(b"$%d\r\nran %b\r\n" % (len(one) + 4, one.encode()) for one in idents), b""
    while len(received) < len(expected):
        more = sock.recv(65536)
        if not more:
            raise ConnectionResetError
        received += more
    if received != expected:
        raise ValueError(f"not all were served: {received!r}")


def measure_handshakes(report: Report) -> None:
    """Processor time of full and resumed handshakes at both ends, and the share of resumed ones."""
    with Site() as site:
        box = site.box("s-1")
        one = site.ingress(hops=next_hop_block("s-1", box.address), limit="off")
        sock = socket.create_connection(one.address(), 5.0)
        for serial in range(200):
            if serial % 10 == 0:
                box.do("forget", certificate=site.certificate("s-1"))
            ask(sock, f"aa{serial}")
            box.do("cut")
            _wait_for_ends(one, serial + 1)
        seen = box.do("stats")
        own: dict[str, list[float]] = {"0": [], "1": []}
        for line in one.log:
            if " handshake=" in line:
                resumed = line.split("resumed=")[1][0]
                own[resumed].append(float(line.split("handshake=")[1].removesuffix("ms")))
        there = _cpu_by_kind(seen["events"])
        report.print_figure("handshake_full_ingress", statistics.median(own["0"]), "ms", "<=4")
        report.print_figure("handshake_resumed_ingress", statistics.median(own["1"]), "ms", "<=2")
        report.print_figure("handshake_full_box", statistics.median(there["full"]) * 1e3, "ms", "<=3")
        report.print_figure("handshake_resumed_box", statistics.median(there["resumed"]) * 1e3, "ms", "<=2")
        report.print_figure("resumed_share_sessions_kept", len(own["1"]) / 180, "share", ">=0.95")


def _cpu_by_kind(events: list[tuple[float, str, float]]) -> dict[str, list[float]]:
    found: dict[str, list[float]] = {}
    for _, what, cpu in events:
        found.setdefault(what, []).append(cpu)
    return found


def _wait_for_ends(one: Ingress, count: int) -> None:
    """Waits until `count` connections to next hops have ended."""
    end = time.monotonic() + 5.0
    while sum(line.split()[1:3] == ["end", "nexthop"] for line in one.log) < count:
        if time.monotonic() > end:
            raise TimeoutError("a connection did not end")
        time.sleep(0.001)


def measure_requests(report: Report) -> None:
    """Processor time per request at the ingress, with plain TCP and with TLS, alternating in the same run."""
    with Site() as site:
        sides = {}
        for name, tls in (("plain", False), ("tls", True)):
            box = site.box("s-1", tls)
            extra: dict[str, Any] = {} if tls else {"tls": ""}
            one = site.ingress(hops=next_hop_block("s-1", box.address), **extra)
            sides[name] = (one, socket.create_connection(one.address(), 5.0))
        cost: dict[str, list[float]] = {"plain": [], "tls": []}
        for round_number in range(60):
            # alternate, with each side first equally often, so that other load on the machine affects both
            for name in ("plain", "tls") if round_number % 2 else ("tls", "plain"):
                one, sock = sides[name]
                before = one.cpu()
                for serial in range(30):
                    ask_many(sock, [f"{name}{round_number}x{serial}y{n}" for n in range(8)])
                if round_number > 3:
                    cost[name].append((one.cpu() - before) / 240)
        # Other load on the machine only adds time, so a low quantile of many rounds is closest to the cost.
        low = {name: statistics.quantiles(cost[name], n=10)[0] for name in cost}
        report.print_figure("request_plain_ingress", low["plain"] * 1e6, "us")
        report.print_figure("request_tls_ingress", low["tls"] * 1e6, "us")
        report.print_figure("request_tls_over_plain", low["tls"] / low["plain"], "ratio", "<=1.15")
        ratios = [one / other for other, one in zip(cost["plain"], cost["tls"], strict=True)]
        report.print_figure("request_tls_over_plain_median_of_pairs", statistics.median(ratios), "ratio")


def measure_cold(report: Report, ingresses: int, limit: str) -> tuple[float, float]:
    """A box restarts cold and without TLS sessions, while discovery announces it with a delay.

    Returns the worst share of a window that handshakes took, and the seconds until the box does its share of
    the work.
    """
    with Site() as site, Discovery() as discovery:
        boxes = {f"s-{n}": site.box(f"s-{n}") for n in range(BOX_COUNT)}
        for name, box in boxes.items():
            box.do(
                "set",
                work=REQUEST_CPU_SECONDS,
                delay=REQUEST_DELAY_SECONDS,
                cores=BOX_CORES,
                cold_time=COLD_SECONDS,
            )
            discovery.publish(name, box.address)
        discovery_setting = f"discovery {discovery.address[0]}:{discovery.address[1]}"
        values = {
            "ingresses": ingresses,
            "discovery": discovery_setting,
            "cold": COLD_SECONDS,
            "limit": limit,
            "cost": HANDSHAKE_COST_US,
            "cores": BOX_CORES,
            "aim": "2s",
        }
        all_ingresses = [site.ingress(number=number, **values) for number in range(ingresses)]
        callers = [
            Callers(
                one.address(),
                REQUESTS_PER_SECOND / ingresses,
                number,
                connections=180 // ingresses,
                seed=ingresses,
            )
            for number, one in enumerate(all_ingresses)
        ]
        for caller in callers:
            caller.start()
        time.sleep(2.5)
        victim = boxes["s-0"]
        started = victim.do("restart", certificate=site.certificate("s-0"))["started"]
        time.sleep(LIST_DELAY_SECONDS)
        discovery.publish("s-0", victim.address, up_since=started)
        time.sleep(COLD_SECONDS + 2.0 - LIST_DELAY_SECONDS)
        for caller in callers:
            caller.stop()
        # Requests in flight when the process died may have run, and fail for that, not because of handshakes.
        outcomes = sum((caller.outcome_counts(started + 0.1) for caller in callers), Counter[str]())
        stats = {name: box.do("stats") for name, box in boxes.items()}
        worst = _worst_handshake_share(stats["s-0"]["events"], started)
        name = f"cold_{ingresses}_{'limited' if limit == 'on' else 'unlimited'}"
        report.print_figure(f"{name}_worst_share", worst, "share", "<=0.25" if limit == "on" else "-")
        report.print_figure(f"{name}_handshakes", _handshake_count(stats["s-0"]["events"], started), "count")
        after = _seconds_to_fair_share(stats, started)
        report.print_figure(f"{name}_own_share_after", after, "s")
        lost = outcomes["lost"] + outcomes["failed"]
        report.print_figure(f"{name}_requests", sum(outcomes.values()), "count")
        report.print_figure(f"{name}_refused", outcomes["refused"], "count")
        report.print_figure(f"{name}_lost_or_failed", lost, "count", "==0" if limit == "on" else "-")
        twice = sum(count > 1 for seen in stats.values() for count in seen["changes"].values())
        report.print_figure(f"{name}_ran_twice", twice, "count", "==0")
        return worst, after


def _handshake_count(events: list[tuple[float, str, float]], started: float) -> int:
    return sum(what != "request" and at >= started for at, what, _ in events)


def _worst_handshake_share(events: list[tuple[float, str, float]], started: float) -> float:
    """The largest share of the box's capacity that handshakes took in any window since its start."""
    own = [(at, cpu) for at, what, cpu in sorted(events) if what != "request" and at >= started]
    worst, first, spent = 0.0, 0, 0.0
    for at, cpu in own:
        spent += cpu
        while own[first][0] <= at - WINDOW_SECONDS:
            spent -= own[first][1]
            first += 1
        age = at - WINDOW_SECONDS - started
        capacity = (
            _cpu_capacity(age + WINDOW_SECONDS) - _cpu_capacity(age)
            if age > 0
            else _cpu_capacity(WINDOW_SECONDS)
        )
        worst = max(worst, spent / capacity)
    return worst


def _cpu_capacity(age: float) -> float:
    """Processor seconds that the box can deliver between its start and this age."""
    cold_from, within = 0.15, min(age, COLD_SECONDS)
    rise = (1 - cold_from) / COLD_SECONDS
    return BOX_CORES * (cold_from * within + rise * within**2 / 2 + max(0.0, age - COLD_SECONDS))


def _seconds_to_fair_share(stats: dict[str, Any], started: float) -> float:
    """Seconds until the box serves, from then on, at least half of the average rate of the others."""
    seconds = int(COLD_SECONDS) + 1
    rates: dict[str, list[int]] = {}
    for name, seen in stats.items():
        rates[name] = [0] * seconds
        for at, what, _ in seen["events"]:
            if what == "request" and 0 <= at - started < seconds:
                rates[name][int(at - started)] += 1
    others = [
        sum(rates[name][n] for name in rates if name != "s-0") / (BOX_COUNT - 1) for n in range(seconds)
    ]
    good = [rates["s-0"][n] >= 0.5 * others[n] for n in range(seconds)]
    for n in range(seconds):
        if all(good[n:]):
            return float(n)
    return float(seconds)


def measure_rotations(report: Report) -> None:
    """Replaces certificates and roots ten times under load."""
    with Site() as site:
        boxes = {f"s-{n}": site.box(f"s-{n}") for n in range(2)}
        hops = "".join(next_hop_block(name, box.address) for name, box in boxes.items())
        one = site.ingress(hops=hops, watch="100ms")
        callers = Callers(one.address(), 150.0, 0, connections=6)
        callers.start()
        for round_number in range(2, 12):
            before, site.authority = site.authority, Authority()
            site.authority.write_roots(site.folder, before, name="next.pem").replace(site.roots)
            one.wait_for_log(rf"tls: set {round_number} in use")
            for name, box in boxes.items():
                box.do("forget", certificate=site.certificate(name))
            time.sleep(0.7)
        callers.stop()
        outcomes = callers.outcome_counts()
        stats = [box.do("stats") for box in boxes.values()]
        report.print_figure("rotations_requests", sum(outcomes.values()), "count", ">=500")
        report.print_figure("rotations_lost_or_failed", outcomes["lost"] + outcomes["failed"], "count", "==0")
        report.print_figure("rotations_refused", outcomes["refused"], "count", "==0")
        report.print_figure(
            "rotations_handshakes", sum(seen["full"] + seen["resumed"] for seen in stats), "count"
        )
        report.print_figure(
            "rotations_failed_handshakes", sum(seen["failed"] for seen in stats), "count", "==0"
        )


def main() -> int:
    """Runs everything, or the parts named on the command line."""
    report, parts = Report(), sys.argv[1:]

    def wanted(part: str) -> bool:
        return not parts or part in parts

    if wanted("handshakes"):
        measure_handshakes(report)
    if wanted("requests"):
        measure_requests(report)
    if wanted("cold"):
        for ingresses in (3, 20):
            (limited, after), (unlimited, before) = (
                measure_cold(report, ingresses, limit) for limit in ("on", "off")
            )
            report.print_figure(
                f"cold_{ingresses}_limited_over_unlimited", limited / unlimited, "ratio", "<=1"
            )
            report.print_figure(f"cold_{ingresses}_own_share_later_by", after - before, "s", "<=2")
    if wanted("rotations"):
        measure_rotations(report)
    return report.status


if __name__ == "__main__":
    sys.exit(main())
