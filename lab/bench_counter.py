"""The measurement of the second witness: `make bench-counter`. See docs/design/counter.md for what it says.

Real ingress processes on loopback, a box and a counter; heavy, spiky and calm tenants ask through all.
What ran is held against a store that sees everything (lab/quotas.py). Cases run a few at a time.
"""

from __future__ import annotations

import multiprocessing
import random
import resource
import socket
import sys
import tempfile
import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from zlib import crc32

from hoistfold import interface as i
from hoistfold.gateway import Gateway
from lab.box import Box
from lab.callers import Callers, command, read, reply_outcome
from lab.counter import CounterServer, Store
from lab.datagrams import DatagramProxy
from lab.processes import Ingress
from lab.quotas import QuotaReport, TenantRequest, evaluate_quotas
from lab.report import Report
from lab.vast import settings
from standflow.counter.ledger import Ledger

INGRESSES = 3
RATE, BURST = 4.0, 12.0
SPAN = 26.0  # seconds that tenants ask for
GOES_AT = 12.0  # seconds until a case's failure, when few calls are made (modes.CROSS_CHECK_SHARE)
WEIGHTS = (0.5, 0.3, 0.2)  # of a tenant's requests, through which ingress
AT_ONCE = 6  # cases
PARTS = 2  # of the counter
DOWN = 50  # requests that come to an ingress in the 2 s at most in which it is restarted
SCHOOLS = 100_000  # in a window of 10 s
LIKELY = 20_000  # as many as a core has requests for in that time, each of another tenant
FILE = """
name      n{number}
listen    127.0.0.1:0
number    {number}
ingresses {ingresses}
counter   {counter}
class look {{
    aim       1s
    deadline  3s
}}
plan plain {{
    rate   {rate}
    burst  {burst}
}}
{ring}
next-hop s-1 {{
    address  {box}
}}
{witness}
"""
WITNESS = "witness {\n    every  100ms\n    near   20%\n}\n"


class Site:
    """Ingresses with a box and a counter between them; all of it ends with the site."""

    def __init__(self, ring: bool, witness: str, loss: float = 0.0) -> None:
        self.stack = ExitStack()
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.store = Store(PARTS)
        # The way in from the room of the first ingress, and that of the others.
        self.near, self.door = (self.stack.enter_context(CounterServer(self.store)) for _ in range(2))
        self.box = self.stack.enter_context(Box())
        self.ring, self.witness = ring, witness
        self.network = self.stack.enter_context(DatagramProxy(INGRESSES, loss))
        self.ingresses = [self.start(number) for number in range(INGRESSES)]
        self.addresses = [one.address() for one in self.ingresses]

    def __enter__(self) -> Site:
        return self

    def __exit__(self, *error: object) -> None:
        self.stack.close()

    def start(self, number: int) -> Ingress:
        """An ingress by its number, with nothing kept of an earlier life."""
        lines = ["peer-listen {}:{}".format(*self.network.real[number])]
        lines += ["peer {}:{}".format(*address) for address in self.network.addresses_for(number)]
        path = self.folder / f"{number}.conf"
        path.write_text(
            FILE.format(
                number=number,
                ingresses=INGRESSES,
                counter="{}:{}".format(*(self.door if number else self.near).address),
                rate=RATE,
                burst=BURST,
                ring="\n".join(lines) if self.ring else "limits {\n    peer-messages  0\n}",
                box="{}:{}".format(*self.box.address),
                witness=self.witness,
            )
        )
        ingress = Ingress(path)
        self.stack.callback(ingress.end)
        return ingress

    def restart(self) -> None:
        """The ingress with the most requests is killed and comes back with nothing."""
        self.ingresses[0].process.kill()
        self.ingresses[0].process.wait()
        self.ingresses[0] = again = self.start(0)
        self.addresses[0] = again.address()


class Asker:
    """Sends one ingress its part of the schedule, each request at its time; what ran is noted."""

    def __init__(self, site: Site, number: int, due: list[tuple[float, str]]) -> None:
        self.site, self.number, self.due = site, number, due
        self.tries: list[TenantRequest] = []
        self.unanswered = 0
        self.thread = threading.Thread(target=self._ask, daemon=True)

    def _ask(self) -> None:
        begin = time.monotonic()
        sock: socket.socket | None = None
        for serial, (at, tenant) in enumerate(self.due):
            time.sleep(max(0.0, begin + at - time.monotonic()))
            options = b"c=look,t=plain,d=3000,units=1,spread=%d,first=0" % INGRESSES
            ident = b"n%ds%d" % (self.number, serial)
            answer = b""
            try:
                if sock is None:
                    sock = socket.create_connection(self.site.addresses[self.number], 1.0)
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.sendall(command([b"Q.ASK", b"%016x" % crc32(tenant.encode()), ident, options]))
                answer = read(sock)
            except OSError:
                if sock is not None:
                    sock.close()
                sock = None
            end = reply_outcome(answer)
            if end in ("served", "refused"):
                self.tries.append(TenantRequest(time.monotonic() - begin, tenant, 1.0, end == "served"))
            else:
                self.unanswered += 1
        if sock is not None:
            sock.close()


def schedule(chance: random.Random) -> list[list[tuple[float, str]]]:
    """When which tenant asks through which ingress."""
    due: list[list[tuple[float, str]]] = [[] for _ in range(INGRESSES)]
    kinds = [(f"heavy{n}", 2.0) for n in range(3)] + [(f"spiky{n}", 1.5) for n in range(3)]
    for tenant, part in kinds + [(f"calm{n}", 0.3) for n in range(6)]:
        at = 0.0
        while (at := at + chance.expovariate(part * RATE)) < SPAN:
            when = at - at % 3 + (at % 3) / 3 if tenant.startswith("spiky") else at  # in one second of three
            due[chance.choices(range(INGRESSES), WEIGHTS)[0]].append((when, tenant))
    return [sorted(one) for one in due]


@dataclass(slots=True, frozen=True)
class Case:
    """What goes wrong after GOES_AT seconds, and what is promised then."""

    name: str
    ring: bool = True
    witness: bool = True
    goes: Callable[[Site], None] = lambda site: None
    wrong: float = 0.02  # of what was inside quota, refused
    unanswered: int = 0
    loss: float = 0.0  # part of the datagrams


def ways(**values: Any) -> Callable[[Site], None]:
    """The ways in from both rooms become like this; see lab.counter.ServerFaults."""

    def goes(site: Site) -> None:
        for door in (site.near, site.door):
            for name, value in values.items():
                setattr(door.faults, name, value)

    return goes


def end(site: Site) -> None:
    """The counter is gone."""
    site.near.close()
    site.door.close()


def part_cut(site: Site) -> None:
    """One part is reached from the others' room only."""
    site.near.faults.cut.add(0)


def disagree(site: Site) -> None:
    """From the first ingress's room an empty counter is reached from now on, another than the others'."""
    site.near.store = Store(PARTS)


def silence(site: Site) -> None:
    """No datagram passes any more."""
    site.network.cut.update(range(INGRESSES))


def cut_off(site: Site) -> None:
    """One ingress is cut off from the others, not from the counter."""
    site.network.cut.add(0)


def cut_off_from_all(site: Site) -> None:
    """One ingress is cut off from the others and from the counter."""
    cut_off(site)
    site.near.close()


def silence_and(other: Callable[[Site], None]) -> Callable[[Site], None]:
    """The ring falls silent, and something else goes wrong with it."""

    def goes(site: Site) -> None:
        silence(site)
        other(site)

    return goes


def empty(site: Site) -> None:
    """The counter knows nothing any more."""
    site.store.empty()


CASES = (
    Case("ring-alone", witness=False),
    Case("both-good"),
    Case("ring-and-slow-70ms", goes=ways(delay=0.07)),
    Case("ring-and-slow-90ms", goes=ways(delay=0.09)),
    Case("ring-and-slow-300ms", goes=ways(delay=0.3)),
    Case("ring-and-gone", goes=end),
    Case("ring-and-part-cut", goes=part_cut),
    Case("ring-and-two-counters", goes=disagree),
    Case("ring-and-emptied", goes=empty),
    Case("ring-and-answers-lost", goes=ways(drop_share=0.5)),
    Case("ring-and-answers-spoilt", goes=ways(corrupt_share=0.3)),
    Case("ring-and-restart", goes=Site.restart, unanswered=DOWN),
    Case("restart-with-ring-alone", witness=False, goes=Site.restart, unanswered=DOWN),
    Case("ring-loses-7-of-100", loss=0.065, witness=False),
    Case("silent-ring", goes=silence, wrong=0.1),
    Case("silent-ring-and-slow-70ms", goes=silence_and(ways(delay=0.07)), wrong=0.1),
    Case("silent-ring-and-gone", goes=silence_and(end), wrong=0.1),
    Case("silent-ring-and-part-cut", goes=silence_and(part_cut), wrong=0.1),
    Case("silent-ring-and-two-counters", goes=silence_and(disagree), wrong=0.1),
    Case("silent-ring-and-emptied", goes=silence_and(empty), wrong=0.1),
    Case("silent-ring-and-answers-lost", goes=silence_and(ways(drop_share=0.5)), wrong=0.1),
    Case("silent-ring-and-answers-spoilt", goes=silence_and(ways(corrupt_share=0.3)), wrong=0.1),
    Case("silent-ring-and-restart", goes=silence_and(Site.restart), wrong=0.1, unanswered=DOWN),
    Case("one-cut-off-from-the-ring", goes=cut_off, wrong=0.1),
    Case("one-cut-off-from-both", goes=cut_off_from_all, wrong=0.1),
    Case("counter-alone", ring=False, wrong=0.1),
    Case("neither", ring=False, witness=False, wrong=0.1),
)


def play(case: Case, seed: int = 1) -> tuple[QuotaReport, int, float]:
    """The verdict, how many got no answer, and calls of the counter a request."""
    with Site(case.ring, WITNESS if case.witness else "", case.loss) as site:
        if case.ring:
            time.sleep(1.0)  # the ring has gone round
        askers = [Asker(site, n, due) for n, due in enumerate(schedule(random.Random(seed)))]
        for one in askers:
            one.thread.start()
        time.sleep(GOES_AT)
        case.goes(site)
        for one in askers:
            one.thread.join(SPAN + 10.0)
            assert not one.thread.is_alive()  # a history cut short proves nothing
        tries = [one for asker in askers for one in asker.tries]
        unanswered = sum(asker.unanswered for asker in askers)
        return evaluate_quotas(tries, RATE, BURST), unanswered, site.store.calls / max(1, len(tries))


def promise(report: Report, cases: list[Case]) -> None:
    """The promise in every case."""
    with ThreadPoolExecutor(AT_ONCE) as pool:
        for case, (verdict, unanswered, calls) in zip(cases, pool.map(play, cases), strict=True):
            report.tell(f"{case.name}_use", verdict.use, "of_allowance", "<=1.1")
            report.tell(f"{case.name}_wrong", verdict.refused_share, "of_inside", f"<={case.wrong}")
            report.tell(
                f"{case.name}_wrong_calm", verdict.compliant_refused_share, "of_inside", f"<={case.wrong}"
            )
            report.tell(f"{case.name}_unanswered", unanswered, "count", f"<={case.unanswered}")
            if case.witness:
                report.tell(f"{case.name}_calls", calls, "per_request")


def cost(report: Report) -> None:
    """Processor time of a request with the counter on and off, side by side."""
    spent: dict[str, float] = {}
    with Site(True, "witness {\n}\n") as on, Site(True, "") as off:
        time.sleep(1.0)
        loads = {}
        for name, site in (("on", on), ("off", off)):
            loads[name] = [
                Callers(a, 100.0, 0, spread=INGRESSES, seed=n) for n, a in enumerate(site.addresses)
            ]
            for load in loads[name]:
                load.start()
        time.sleep(11.0)  # a window after the start
        before = {name: sum(one.cpu() for one in site.ingresses) for name, site in (("on", on), ("off", off))}
        since, calls = time.time(), on.store.calls
        time.sleep(12.0)
        after = {name: sum(one.cpu() for one in site.ingresses) for name, site in (("on", on), ("off", off))}
        for name, callers in loads.items():
            for load in callers:
                load.stop()
            count = sum(sum(load.outcome_counts(since).values()) for load in callers)
            spent[name] = (after[name] - before[name]) / max(1, count)
            report.tell(f"cpu_{name}", 1e6 * spent[name], "us_per_request")
        report.tell("cpu_calls", (on.store.calls - calls) / 12.0 / INGRESSES, "per_second_per_ingress")
    report.tell("cpu_on_over_off", spent["on"] / spent["off"], "ratio", "<=1.1")


def memory(report: Report) -> None:
    """What a window with many tenants takes, in the module and, with the counter, in the ledger."""
    spawn = multiprocessing.get_context("spawn")
    for tenants, longest in ((LIKELY, 40), (SCHOOLS, 250)):
        for name, witness in ((f"window_{tenants}_off", False), (f"window_{tenants}_on", True)):
            with ProcessPoolExecutor(1, spawn) as pool:
                held, worst, noted = pool.submit(window, witness, tenants).result()
            report.tell(f"{name}_memory", held, "MB", "<=192")
            report.tell(f"{name}_epoch", 1000 * worst, "ms_at_worst", f"<={longest}")
            report.tell(f"{name}_noted", noted, "customers")


def window(witness: bool, tenants: int) -> tuple[float, float, int]:
    """Megabytes of a window with so many tenants, seconds of the longest epoch of the two seconds after it,
    and customers in the ledger.
    """
    before, ledger, timers = resident(), Ledger(), deque[tuple[float, int]]()
    gateway = Gateway(settings(0, INGRESSES, counter_reconciliation=witness), 1)
    gateway.handle(0.0, i.Started())
    hops = [i.BackendEntry(f"b{n}", "a", "box", 0, i.Availability.ACTIVE, 1.0, None) for n in range(3)]
    gateway.handle(0.0, i.BackendsListed(i.ListKind.SAVED, tuple(hops)))
    for n in range(tenants):
        now, ident = 10.0 * n / tenants, f"r{n}"
        while timers and timers[0][0] <= now:
            gateway.handle(now, i.TimerFired(timers.popleft()[1]))
        asked = i.RequestArrived(ident, "view", "full", f"{n:016x}", 4.5, 1.0, INGRESSES, 0)
        for action in gateway.handle(now, asked):
            if isinstance(action, i.SetTimer):
                timers.append((now + action.delay, action.handle))
            elif isinstance(action, i.Send):
                ok = i.Outcome.OK
                ended = i.AttemptEnded(ident, action.backend, 0, 0.01, ok, True, 0.0, 0.0, ())
                gateway.handle(now, ended)
    worst = 0.0
    for n in range(20):
        now, began = 10.0 + 0.1 * n, time.process_time()
        for action in gateway.handle(now, i.TimerFired(0)):
            if isinstance(action, i.UseReported):
                a = action
                ledger.record_use(
                    a.tenant_key, a.ring_size, a.ring_index, a.count, a.level, a.total_level, now
                )
        ledger.due_calls(now, 25, 0.3)
        worst = max(worst, time.process_time() - began)
    return resident() - before, worst, len(ledger.tenants)


def resident() -> float:
    """Resident megabytes of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


def main() -> int:
    """Everything, or the cases and parts that are named."""
    report, parts = Report(), sys.argv[1:]
    cases = [case for case in CASES if not parts or case.name in parts]
    if cases:
        promise(report, cases)
    if not parts or "cost" in parts:
        cost(report)
    if not parts or "memory" in parts:
        memory(report)
    return report.status


if __name__ == "__main__":
    sys.exit(main())
