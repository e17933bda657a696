"""The measurement of what outlives a power loss: `make bench-power`. See docs/design/recovery.md.

Real ingresses on loopback that all end at one moment with their boxes, with the store and without; then the
price of the store. Of the issue's list this has what is built: no larger fleets, no waves of repeats.
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

SIZE, BOXES, LOSS, SPAN = 6, 3, 8.0, 26.0
ALL = " ".join(map(str, range(SIZE)))
TEXT = f"{LOSS} kill {ALL}\n{LOSS} back 0 1 2\n{LOSS + 0.5} start {ALL}"
TENANTS = 20_000
WINDOW = 1.0  # seconds over which service is counted


@dataclass(slots=True, frozen=True)
class Case:
    """What one loss came to. `back`: seconds from it to so much of the service before."""

    use: float
    wrong_later: float  # inside quota and refused, from 2 s after the loss on
    back: dict[int, float]
    best: dict[int, float]
    pushed: float
    unanswered: int
    twice: int


def play(store: bool, seed: int) -> Case:
    """All end, and come back half a second later to boxes that are cold."""
    with Site(SIZE, boxes=BOXES, seed=seed, store=store, streams=True) as site:
        site.wait_for_agreement(10.0)
        offset = site.now()
        site.run(schedule.read(TEXT, SIZE), SPAN)
        table = record(site)
    lost = offset + LOSS
    served = table.filter((pl.col("what") == "asked") & (pl.col("end") == "served"))
    times = sorted((served["t"] + served["took"]).to_list())
    before = sum(lost - 4.0 <= at < lost for at in times) / 4.0
    later = quotas(table.filter((pl.col("what") != "asked") | (pl.col("t") > lost + 2.0)))
    back, best = {}, {}
    for part in (50, 90, 99):
        wanted = part / 100 * before
        steps = (lost + 0.1 * n for n in range(150))
        reached = (at for at in steps if sum(at <= one < at + WINDOW for one in times) >= wanted * WINDOW)
        back[part] = next(reached, lost + 15.0) - lost
        # what the boxes can do grows from their start on; nothing is served before the ingresses are back
        cold = (
            (wanted * REQUEST_CPU_SECONDS / BOXES - COLD_START_SHARE)
            * WARM_UP_SECONDS
            / (1 - COLD_START_SHARE)
        )
        best[part] = max(0.5, min(cold, WARM_UP_SECONDS))
    return Case(
        quotas(table).use, later.refused_share, back, best, pushed(table), unanswered(table), ran_twice(table)
    )


def cost(report: Report) -> None:
    """Processor time of a request with the store and without, side by side, and what the store writes."""
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
            report.tell(f"power.cpu-{name}", 1e6 * spent[name], "us-a-request")
    report.tell("power.cpu-on-over-off", spent["on"] / spent["off"], "ratio", "<=1.05")


def disk(report: Report) -> None:
    """The store alone with many tenants: how long `put` holds its caller, what is written, reading back."""
    whose = identity("n0", 0, "lab")
    rows = [Record(USAGE, f"{n:010x}", ["plain", 0, 5, 3.25, 1.5], "b", 10.0) for n in range(TENANTS)]
    with tempfile.TemporaryDirectory() as folder:
        store = Store(Path(folder), whose, 16 << 20)
        store.lock()
        held = 0.0
        began = time.monotonic()
        for turn in range(40):  # 1,000 requests a second, each of another tenant, every 250 ms
            at = time.monotonic()
            store.put([rows[(turn * 250 + n) % TENANTS] for n in range(250)])
            held = max(held, time.monotonic() - at)
            time.sleep(0.25)
        took = time.monotonic() - began
        report.tell("power.store.held", 1000 * held, "ms", "<=5")
        report.tell("power.store.written", store.written / took / 1024, "KB-a-second")
        report.tell("power.store.syncs", store.syncs / took, "a-second", "<=8")
        store.close()
        beat = Record(HEARTBEAT, "", 1, "b", 10.0)
        lines = b"".join(encode(row, whose) for row in [*rows, beat])
        (Path(folder) / RECORDS_FILE).write_bytes(header_line(whose) + lines)
        reader = Store(Path(folder), whose, 16 << 20)
        reader.lock()
        at = time.monotonic()
        found = select_trusted(
            reader.load().records.values(), BootClock("b", 10.5), {"plain": Plan(12.0, 4.0)}
        )
        report.tell("power.store.read-back", time.monotonic() - at, f"s-for-{len(found.windows)}", "<=1")
        reader.close()


def main() -> int:
    """Everything; the losses beside each other."""
    report = Report()
    with ProcessPoolExecutor(2) as pool:
        for seed in (4, 5):
            played = {store: pool.submit(play, store, seed) for store in (True, False)}
            for store, future in played.items():
                case, prefix = future.result(), f"power.{'store' if store else 'none'}-{seed}"
                report.tell(f"{prefix}.use", case.use, "of-allowance", "<=1.1" if store else "-")
                report.tell(f"{prefix}.wrong-later", case.wrong_later, "of-inside")
                for part in case.back:
                    bound = f"<={1.3 * case.best[part]:.1f}" if store and part == 90 else "-"
                    report.tell(f"{prefix}.back-{part}", case.back[part], "s", bound)
                    report.tell(f"{prefix}.best-{part}", case.best[part], "s")
                report.tell(f"{prefix}.pushed", case.pushed, "of-a-fall", "<=1")
                report.tell(f"{prefix}.unanswered", case.unanswered, "requests", "<=0")
                report.tell(f"{prefix}.ran-twice", case.twice, "changes", "<=0")
    disk(report)
    cost(report)
    return report.status


if __name__ == "__main__":
    sys.exit(main())
