"""The benchmark of recovery after a power loss: `make bench-power`. See docs/design/recovery.md.

Real ingresses on loopback that are all killed at the same time with their boxes, with and without the store;
then the cost of the store. Larger fleets and waves of retries, which the issue lists too, are not covered.
"""

from __future__ import annotations

import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import polars as pl

from lab.callers import Callers
from lab.fleet import schedule
from lab.fleet.record import COLD_START_SHARE, WARM_UP_SECONDS, pushed, quotas, ran_twice, record, unanswered
from lab.fleet.site import REQUEST_CPU_SECONDS, Site
from lab.report import Report
from standflow.recovery.records import Record, encode, header_line, identity
from standflow.recovery.store import RECORDS_FILE, Store
from standflow.recovery.trust import HEARTBEAT, USAGE, BootClock, Plan, select_trusted

INGRESSES, BOXES, LOSS_AT, SPAN = 6, 3, 8.0, 26.0  # times in seconds
ALL_IDS = " ".join(map(str, range(INGRESSES)))
SCHEDULE = f"{LOSS_AT} kill {ALL_IDS}\n{LOSS_AT} back 0 1 2\n{LOSS_AT + 0.5} start {ALL_IDS}"
STORE_TENANTS = 20_000
SERVICE_WINDOW_SECONDS = 1.0  # over which served requests are counted


@dataclass(slots=True, frozen=True)
class Case:
    """The result of one power loss.

    `back`: seconds until the given percentage of the earlier service is reached; `best`: the lower bound.
    """

    use: float
    wrong_later: float  # share refused within quota, from 2 s after the loss
    back: dict[int, float]
    best: dict[int, float]
    pushed: float
    unanswered: int
    twice: int


def run_case(store: bool, seed: int) -> Case:
    """Kills all ingresses and starts them half a second later, with cold boxes."""
    with Site(INGRESSES, boxes=BOXES, seed=seed, store=store, streams=True) as site:
        site.wait_for_agreement(10.0)
        offset = site.now()
        site.run(schedule.read(SCHEDULE, INGRESSES), SPAN)
        table = record(site)
    lost_at = offset + LOSS_AT
    served = table.filter((pl.col("what") == "asked") & (pl.col("end") == "served"))
    times = sorted((served["t"] + served["took"]).to_list())
    before = sum(lost_at - 4.0 <= at < lost_at for at in times) / 4.0
    later = quotas(table.filter((pl.col("what") != "asked") | (pl.col("t") > lost_at + 2.0)))
    back, best = {}, {}
    for percent in (50, 90, 99):
        wanted = percent / 100 * before
        steps = (lost_at + 0.1 * n for n in range(150))
        reached = (
            at
            for at in steps
            if sum(at <= one < at + SERVICE_WINDOW_SECONDS for one in times)
            >= wanted * SERVICE_WINDOW_SECONDS
        )
        back[percent] = next(reached, lost_at + 15.0) - lost_at
        # the capacity of the boxes rises from their start; nothing is served before the ingresses are up
        cold = (
            (wanted * REQUEST_CPU_SECONDS / BOXES - COLD_START_SHARE)
            * WARM_UP_SECONDS
            / (1 - COLD_START_SHARE)
        )
        best[percent] = max(0.5, min(cold, WARM_UP_SECONDS))
    return Case(
        quotas(table).use, later.refused_share, back, best, pushed(table), unanswered(table), ran_twice(table)
    )


def measure_cost(report: Report) -> None:
    """Processor time per request with and without the store, measured at the same time."""
    spent = {}
    with Site(5, True, store=True) as on, Site(5, True) as off:
        time.sleep(2.0)
        sites = {"on": on, "off": off}
        loads = {
            name: [Callers(a, 100.0, 0, spread=5, seed=n) for n, a in site.addresses.items()]
            for name, site in sites.items()
        }
        for load in (one for many in loads.values() for one in many):
            load.start()
        time.sleep(4.0)
        before = {name: sum(one.cpu() for one in site.live.values()) for name, site in sites.items()}
        since = time.time()
        time.sleep(20.0)
        after = {name: sum(one.cpu() for one in site.live.values()) for name, site in sites.items()}
        for name, callers in loads.items():
            for load in callers:
                load.stop()
            count = sum(sum(load.outcome_counts(since).values()) for load in callers)
            spent[name] = (after[name] - before[name]) / max(1, count)
            report.print_figure(f"power.cpu-{name}", 1e6 * spent[name], "us-a-request")
    report.print_figure("power.cpu-on-over-off", spent["on"] / spent["off"], "ratio", "<=1.05")


def measure_store(report: Report) -> None:
    """The store alone with many tenants: how long `put` blocks, what is written, the time to load it."""
    owner = identity("n0", 0, "lab")
    rows = [Record(USAGE, f"{n:010x}", ["plain", 0, 5, 3.25, 1.5], "b", 10.0) for n in range(STORE_TENANTS)]
    with tempfile.TemporaryDirectory() as folder:
        store = Store(Path(folder), owner, 16 << 20)
        store.lock()
        longest_put = 0.0
        began = time.monotonic()
        for batch in range(40):  # 1,000 requests per second, each of another tenant, in batches every 250 ms
            began_at = time.monotonic()
            store.put([rows[(batch * 250 + n) % STORE_TENANTS] for n in range(250)])
            longest_put = max(longest_put, time.monotonic() - began_at)
            time.sleep(0.25)
        took = time.monotonic() - began
        report.print_figure("power.store.held", 1000 * longest_put, "ms", "<=5")
        report.print_figure("power.store.written", store.written / took / 1024, "KB-a-second")
        report.print_figure("power.store.syncs", store.syncs / took, "a-second", "<=8")
        store.close()
        heartbeat = Record(HEARTBEAT, "", 1, "b", 10.0)
        lines = b"".join(encode(row, owner) for row in [*rows, heartbeat])
        (Path(folder) / RECORDS_FILE).write_bytes(header_line(owner) + lines)
        reader = Store(Path(folder), owner, 16 << 20)
        reader.lock()
        began_at = time.monotonic()
        found = select_trusted(
            reader.load().records.values(), BootClock("b", 10.5), {"plain": Plan(12.0, 4.0)}
        )
        report.print_figure(
            "power.store.read-back", time.monotonic() - began_at, f"s-for-{len(found.windows)}", "<=1"
        )
        reader.close()


def main() -> int:
    """Runs everything; the power losses run in parallel."""
    report = Report()
    with ProcessPoolExecutor(2) as pool:
        for seed in (4, 5):
            case_runs = {store: pool.submit(run_case, store, seed) for store in (True, False)}
            for store, future in case_runs.items():
                case, prefix = future.result(), f"power.{'store' if store else 'none'}-{seed}"
                report.print_figure(f"{prefix}.use", case.use, "of-allowance", "<=1.1" if store else "-")
                report.print_figure(f"{prefix}.wrong-later", case.wrong_later, "of-inside")
                for percent in case.back:
                    bound = f"<={1.3 * case.best[percent]:.1f}" if store and percent == 90 else "-"
                    report.print_figure(f"{prefix}.back-{percent}", case.back[percent], "s", bound)
                    report.print_figure(f"{prefix}.best-{percent}", case.best[percent], "s")
                report.print_figure(f"{prefix}.pushed", case.pushed, "of-a-fall", "<=1")
                report.print_figure(f"{prefix}.unanswered", case.unanswered, "requests", "<=0")
                report.print_figure(f"{prefix}.ran-twice", case.twice, "changes", "<=0")
    measure_store(report)
    measure_cost(report)
    return report.status


if __name__ == "__main__":
    sys.exit(main())
