"""The benchmark of counter reconciliation: `make bench-counter`. See docs/design/counter.md for the results.

Real ingress processes on loopback with a box and a counter; heavy, spiky and calm tenants send requests
through all ingresses. The admitted requests are compared with an exact store (lab/quotas.py).
A few cases run in parallel.
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
PLAN_RATE, PLAN_BURST = 4.0, 12.0
SPAN_SECONDS = 26.0  # for which tenants send requests
FAILURE_AT_SECONDS = 12.0  # of the failure: by then few calls are made (modes.CROSS_CHECK_SHARE)
INGRESS_WEIGHTS = (0.5, 0.3, 0.2)  # share of a tenant's requests through each ingress
PARALLEL_CASES = 6
COUNTER_PARTS = 2
RESTART_UNANSWERED = 50  # requests that arrive at an ingress during its restart, which takes at most 2 s
MANY_TENANTS = 100_000  # in a window of 10 s
TENANTS_PER_CORE = 20_000  # as many requests as a core handles in this time, each of another tenant
CONFIG = """
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
WITNESS_CONFIG = "witness {\n    every  100ms\n    near   20%\n}\n"


class Site:
    """Ingresses that share a box and a counter; leaving the context stops all of them."""

    def __init__(self, ring: bool, witness_config: str, loss: float = 0.0) -> None:
        self.stack = ExitStack()
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.store = Store(COUNTER_PARTS)
        # The counter's listener for the zone of the first ingress, and the one for the other ingresses.
        self.first_server, self.other_server = (
            self.stack.enter_context(CounterServer(self.store)) for _ in range(2)
        )
        self.box = self.stack.enter_context(Box())
        self.ring, self.witness_config = ring, witness_config
        self.network = self.stack.enter_context(DatagramProxy(INGRESSES, loss))
        self.ingresses = [self.start(number) for number in range(INGRESSES)]
        self.addresses = [one.address() for one in self.ingresses]

    def __enter__(self) -> Site:
        return self

    def __exit__(self, *error: object) -> None:
        self.stack.close()

    def start(self, number: int) -> Ingress:
        """Starts an ingress, without state of an earlier process run."""
        lines = ["peer-listen {}:{}".format(*self.network.real[number])]
        lines += ["peer {}:{}".format(*address) for address in self.network.addresses_for(number)]
        path = self.folder / f"{number}.conf"
        path.write_text(
            CONFIG.format(
                number=number,
                ingresses=INGRESSES,
                counter="{}:{}".format(*(self.other_server if number else self.first_server).address),
                rate=PLAN_RATE,
                burst=PLAN_BURST,
                ring="\n".join(lines) if self.ring else "limits {\n    peer-messages  0\n}",
                box="{}:{}".format(*self.box.address),
                witness=self.witness_config,
            )
        )
        ingress = Ingress(path)
        self.stack.callback(ingress.end)
        return ingress

    def restart(self) -> None:
        """Kills the ingress with the most requests and starts it again without state."""
        self.ingresses[0].process.kill()
        self.ingresses[0].process.wait()
        self.ingresses[0] = restarted = self.start(0)
        self.addresses[0] = restarted.address()


class TenantLoad:
    """Sends one ingress its part of the schedule, each request at its time, and records the results."""

    def __init__(self, site: Site, number: int, arrivals: list[tuple[float, str]]) -> None:
        self.site, self.number, self.arrivals = site, number, arrivals
        self.results: list[TenantRequest] = []
        self.unanswered = 0
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        begin = time.monotonic()
        sock: socket.socket | None = None
        for serial, (at, tenant) in enumerate(self.arrivals):
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
            outcome = reply_outcome(answer)
            if outcome in ("served", "refused"):
                self.results.append(TenantRequest(time.monotonic() - begin, tenant, 1.0, outcome == "served"))
            else:
                self.unanswered += 1
        if sock is not None:
            sock.close()


def schedule(rng: random.Random) -> list[list[tuple[float, str]]]:
    """For each ingress: the times and tenants of its requests."""
    arrivals: list[list[tuple[float, str]]] = [[] for _ in range(INGRESSES)]
    kinds = [(f"heavy{n}", 2.0) for n in range(3)] + [(f"spiky{n}", 1.5) for n in range(3)]
    for tenant, rate_factor in kinds + [(f"calm{n}", 0.3) for n in range(6)]:
        at = 0.0
        while (at := at + rng.expovariate(rate_factor * PLAN_RATE)) < SPAN_SECONDS:
            # spiky tenants send their requests of three seconds within the first of them
            when = at - at % 3 + (at % 3) / 3 if tenant.startswith("spiky") else at
            arrivals[rng.choices(range(INGRESSES), INGRESS_WEIGHTS)[0]].append((when, tenant))
    return [sorted(one) for one in arrivals]


@dataclass(slots=True, frozen=True)
class Case:
    """A failure that is injected after FAILURE_AT_SECONDS, and the bounds that still hold."""

    name: str
    ring: bool = True
    reconcile: bool = True
    inject: Callable[[Site], None] = lambda site: None
    max_refused_share: float = 0.02  # share of the requests within quota that may be refused
    max_unanswered: int = 0
    loss: float = 0.0  # share of the datagrams


def set_counter_faults(**values: Any) -> Callable[[Site], None]:
    """Sets attributes of both listeners of the counter; see lab.counter.ServerFaults."""

    def inject(site: Site) -> None:
        for server in (site.first_server, site.other_server):
            for name, value in values.items():
                setattr(server.faults, name, value)

    return inject


def close_counter(site: Site) -> None:
    """The counter becomes unreachable."""
    site.first_server.close()
    site.other_server.close()


def cut_counter_part(site: Site) -> None:
    """The first ingress loses one part of the counter, which the others still reach."""
    site.first_server.faults.cut.add(0)


def split_counters(site: Site) -> None:
    """The first ingress reaches a different, empty counter from now on."""
    site.first_server.store = Store(COUNTER_PARTS)


def cut_ring(site: Site) -> None:
    """All datagrams between the ingresses are dropped."""
    site.network.cut.update(range(INGRESSES))


def cut_off_from_ring(site: Site) -> None:
    """The first ingress is cut off from the others, but not from the counter."""
    site.network.cut.add(0)


def cut_off_from_ring_and_counter(site: Site) -> None:
    """The first ingress is cut off from the others and from the counter."""
    cut_off_from_ring(site)
    site.first_server.close()


def cut_ring_and(other: Callable[[Site], None]) -> Callable[[Site], None]:
    """Drops all datagrams and injects another failure."""

    def inject(site: Site) -> None:
        cut_ring(site)
        other(site)

    return inject


def empty_counter(site: Site) -> None:
    """The counter loses all totals."""
    site.store.empty()


CASES = (
    Case("ring-alone", reconcile=False),
    Case("both-good"),
    Case("ring-and-slow-70ms", inject=set_counter_faults(delay=0.07)),
    Case("ring-and-slow-90ms", inject=set_counter_faults(delay=0.09)),
    Case("ring-and-slow-300ms", inject=set_counter_faults(delay=0.3)),
    Case("ring-and-gone", inject=close_counter),
    Case("ring-and-part-cut", inject=cut_counter_part),
    Case("ring-and-two-counters", inject=split_counters),
    Case("ring-and-emptied", inject=empty_counter),
    Case("ring-and-answers-lost", inject=set_counter_faults(drop_share=0.5)),
    Case("ring-and-answers-spoilt", inject=set_counter_faults(corrupt_share=0.3)),
    Case("ring-and-restart", inject=Site.restart, max_unanswered=RESTART_UNANSWERED),
    Case("restart-with-ring-alone", reconcile=False, inject=Site.restart, max_unanswered=RESTART_UNANSWERED),
    Case("ring-loses-7-of-100", loss=0.065, reconcile=False),
    Case("silent-ring", inject=cut_ring, max_refused_share=0.1),
    Case(
        "silent-ring-and-slow-70ms",
        inject=cut_ring_and(set_counter_faults(delay=0.07)),
        max_refused_share=0.1,
    ),
    Case("silent-ring-and-gone", inject=cut_ring_and(close_counter), max_refused_share=0.1),
    Case("silent-ring-and-part-cut", inject=cut_ring_and(cut_counter_part), max_refused_share=0.1),
    Case("silent-ring-and-two-counters", inject=cut_ring_and(split_counters), max_refused_share=0.1),
    Case("silent-ring-and-emptied", inject=cut_ring_and(empty_counter), max_refused_share=0.1),
    Case(
        "silent-ring-and-answers-lost",
        inject=cut_ring_and(set_counter_faults(drop_share=0.5)),
        max_refused_share=0.1,
    ),
    Case(
        "silent-ring-and-answers-spoilt",
        inject=cut_ring_and(set_counter_faults(corrupt_share=0.3)),
        max_refused_share=0.1,
    ),
    Case(
        "silent-ring-and-restart",
        inject=cut_ring_and(Site.restart),
        max_refused_share=0.1,
        max_unanswered=RESTART_UNANSWERED,
    ),
    Case("one-cut-off-from-the-ring", inject=cut_off_from_ring, max_refused_share=0.1),
    Case("one-cut-off-from-both", inject=cut_off_from_ring_and_counter, max_refused_share=0.1),
    Case("counter-alone", ring=False, max_refused_share=0.1),
    Case("neither", ring=False, reconcile=False, max_refused_share=0.1),
)


def run_case(case: Case, seed: int = 1) -> tuple[QuotaReport, int, float]:
    """Returns the verdict, the number of unanswered requests and the counter calls per request."""
    with Site(case.ring, WITNESS_CONFIG if case.reconcile else "", case.loss) as site:
        if case.ring:
            time.sleep(1.0)  # enough for a round of the ring
        loads = [TenantLoad(site, n, arrivals) for n, arrivals in enumerate(schedule(random.Random(seed)))]
        for one in loads:
            one.thread.start()
        time.sleep(FAILURE_AT_SECONDS)
        case.inject(site)
        for one in loads:
            one.thread.join(SPAN_SECONDS + 10.0)
            assert not one.thread.is_alive()  # an incomplete history would prove nothing
        results = [one for load in loads for one in load.results]
        unanswered = sum(load.unanswered for load in loads)
        return (
            evaluate_quotas(results, PLAN_RATE, PLAN_BURST),
            unanswered,
            site.store.calls / max(1, len(results)),
        )


def run_cases(report: Report, cases: list[Case]) -> None:
    """Runs the cases and checks their bounds."""
    with ThreadPoolExecutor(PARALLEL_CASES) as pool:
        for case, (verdict, unanswered, calls) in zip(cases, pool.map(run_case, cases), strict=True):
            report.print_figure(f"{case.name}_use", verdict.use, "of_allowance", "<=1.1")
            report.print_figure(
                f"{case.name}_wrong", verdict.refused_share, "of_inside", f"<={case.max_refused_share}"
            )
            report.print_figure(
                f"{case.name}_wrong_calm",
                verdict.compliant_refused_share,
                "of_inside",
                f"<={case.max_refused_share}",
            )
            report.print_figure(f"{case.name}_unanswered", unanswered, "count", f"<={case.max_unanswered}")
            if case.reconcile:
                report.print_figure(f"{case.name}_calls", calls, "per_request")


def measure_cpu(report: Report) -> None:
    """Processor time per request with and without reconciliation, measured at the same time."""
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
        time.sleep(11.0)  # a window has passed since the start
        before = {name: sum(one.cpu() for one in site.ingresses) for name, site in (("on", on), ("off", off))}
        since, calls = time.time(), on.store.calls
        time.sleep(12.0)
        after = {name: sum(one.cpu() for one in site.ingresses) for name, site in (("on", on), ("off", off))}
        for name, callers in loads.items():
            for load in callers:
                load.stop()
            count = sum(sum(load.outcome_counts(since).values()) for load in callers)
            spent[name] = (after[name] - before[name]) / max(1, count)
            report.print_figure(f"cpu_{name}", 1e6 * spent[name], "us_per_request")
        report.print_figure(
            "cpu_calls", (on.store.calls - calls) / 12.0 / INGRESSES, "per_second_per_ingress"
        )
    report.print_figure("cpu_on_over_off", spent["on"] / spent["off"], "ratio", "<=1.1")


def measure_memory(report: Report) -> None:
    """Memory of a window with many tenants, in the gateway and, with reconciliation, in the ledger."""
    spawn = multiprocessing.get_context("spawn")
    for tenants, epoch_bound_ms in ((TENANTS_PER_CORE, 40), (MANY_TENANTS, 250)):
        for name, witness in ((f"window_{tenants}_off", False), (f"window_{tenants}_on", True)):
            with ProcessPoolExecutor(1, spawn) as pool:
                megabytes, longest_epoch, tenant_count = pool.submit(
                    measure_window, witness, tenants
                ).result()
            report.print_figure(f"{name}_memory", megabytes, "MB", "<=192")
            report.print_figure(f"{name}_epoch", 1000 * longest_epoch, "ms_at_worst", f"<={epoch_bound_ms}")
            report.print_figure(f"{name}_noted", tenant_count, "customers")


def measure_window(witness: bool, tenants: int) -> tuple[float, float, int]:
    """Returns the megabytes of a window with `tenants` tenants, the seconds of the longest epoch in the two
    seconds after it, and the number of tenants in the ledger.
    """
    before, ledger, timers = resident_megabytes(), Ledger(), deque[tuple[float, int]]()
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
    longest_epoch = 0.0
    for n in range(20):
        now, began = 10.0 + 0.1 * n, time.process_time()
        for action in gateway.handle(now, i.TimerFired(0)):
            if isinstance(action, i.UseReported):
                a = action
                ledger.record_use(
                    a.tenant_key, a.ring_size, a.ring_index, a.count, a.level, a.total_level, now
                )
        ledger.due_calls(now, 25, 0.3)
        longest_epoch = max(longest_epoch, time.process_time() - began)
    return resident_megabytes() - before, longest_epoch, len(ledger.tenants)


def resident_megabytes() -> float:
    """Resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


def main() -> int:
    """Runs everything, or the cases and parts named on the command line."""
    report, parts = Report(), sys.argv[1:]
    cases = [case for case in CASES if not parts or case.name in parts]
    if cases:
        run_cases(report, cases)
    if not parts or "cost" in parts:
        measure_cpu(report)
    if not parts or "memory" in parts:
        measure_memory(report)
    return report.status


if __name__ == "__main__":
    sys.exit(main())
