"""The benchmark of the fleet's membership: `make bench-fleet`. See docs/design/fleet.md for the results.

Real ingresses on loopback, and the same membership code for larger fleets in simulated time. "off" and "on"
are the same schedule, seed and load without and with the block `fleet`.
"""

from __future__ import annotations

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from lab.callers import Callers
from lab.fleet import schedule
from lab.fleet.record import quotas, ran_twice, record, unanswered
from lab.fleet.simulated import Members
from lab.fleet.site import Site
from lab.report import Report

REAL_INGRESSES = 20
CUT_SCHEDULE = "8 cut 3 4\n18 heal"
RESTART_SCHEDULE = "\n".join(f"{6 + 1.3 * n:.1f} kill {n}\n{6.4 + 1.3 * n:.1f} start {n}" for n in range(5))
CASES = {
    "nothing": ("", 20.0),
    "crash": ("8 kill 3 4", 24.0),
    "cut": (CUT_SCHEDULE, 26.0),
    "cut-with-loss": ("0 loss 6.5%\n" + CUT_SCHEDULE, 26.0),
    "in-turn": (RESTART_SCHEDULE, 20.0),
}
MAJORITY_SIDE = {0, 1, 2}  # the larger side of the cut


@dataclass(slots=True, frozen=True)
class Case:
    """The result of a schedule."""

    use: float
    wrong: float
    serving: float  # share refused on the larger side of the cut, of tenants that keep within their quota
    unanswered: int
    twice: int


def run_case(name: str, enabled: bool) -> Case:
    """Runs a case with five ingresses under load."""
    text, span = CASES[name]
    with Site(5, enabled, seed=4) as site:
        time.sleep(1.0)
        site.run(schedule.read(text, 5), span)
        table = record(site)
    verdict = quotas(table)
    serving = quotas(table, MAJORITY_SIDE).compliant_refused_share
    return Case(verdict.use, verdict.refused_share, serving, unanswered(table), ran_twice(table))


def convergence_times() -> dict[str, float]:
    """Twenty real ingresses without load: seconds until all agree on the membership after each change."""
    found = {}
    with Site(REAL_INGRESSES, boxes=1) as site:
        found["start"] = site.wait_for_agreement(20.0)
        time.sleep(3.0)
        site.kill(7)
        found["crash"] = site.wait_for_agreement(20.0)
        site.start(7)
        found["join"] = site.wait_for_agreement(20.0)
        time.sleep(1.0)
        site.network.partition(set(range(8)), set(range(8, REAL_INGRESSES)))
        time.sleep(15.0)
        site.network.partition()
        found["healed"] = site.wait_for_agreement(20.0)
        cpu_before = {n: one.cpu() for n, one in site.live.items()}
        time.sleep(5.0)
        found["idle-cpu"] = (
            sum(one.cpu() - cpu_before[n] for n, one in site.live.items()) / REAL_INGRESSES / 5.0
        )
    return found


def simulated_times(size: int) -> dict[str, float]:
    """Members in simulated time with 6.5% loss: seconds until all agree, datagrams per second each way."""
    members = Members(size, 1, loss=0.065)
    found = {"start": members.until(members.all_agree, 30.0)}
    members.run(4.0)
    before = sum(membership.outbox.sent + membership.counts.taken for membership in members.live.values())
    members.run(10.0)
    after = sum(membership.outbox.sent + membership.counts.taken for membership in members.live.values())
    found["messages"] = (after - before) / size / 10.0 / 2
    members.kill(size // 2)
    found["crash"] = members.until(members.all_agree, 20.0)
    members.start(size // 2)
    found["join"] = members.until(members.all_agree, 20.0)
    side = set(range(2 * size // 5))
    members.blocked = lambda sender, to: (sender in side) != (to in side)
    members.run(20.0)
    members.blocked = lambda sender, to: False
    found["healed"] = members.until(members.all_agree, 20.0)
    return found


def false_positives(size: int, seconds: float, seed: int) -> tuple[int, float]:
    """How often a live member was declared dead by another one, and in how many member hours."""
    members = Members(size, seed, loss=0.065)
    members.until(members.all_agree, 30.0)
    for membership in members.live.values():
        membership.changes.clear()
    members.run(seconds)
    declared_dead = sum(
        change.after == "gone" for membership in members.live.values() for change in membership.changes
    )
    return declared_dead, size * seconds / 3600.0


def measure_cost(report: Report) -> None:
    """Processor time per request with and without membership, measured at the same time."""
    spent: dict[str, float] = {}
    with Site(5, True) as on, Site(5, False) as off:
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
        time.sleep(15.0)
        after = {name: sum(one.cpu() for one in site.live.values()) for name, site in sites.items()}
        for name, callers in loads.items():
            for load in callers:
                load.stop()
            count = sum(sum(load.outcome_counts(since).values()) for load in callers)
            spent[name] = (after[name] - before[name]) / max(1, count)
            report.print_figure(f"fleet.cpu-{name}", 1e6 * spent[name], "us-a-request")
    report.print_figure("fleet.cpu-on-over-off", spent["on"] / spent["off"], "ratio", "<=1.03")


def main() -> int:
    """Runs everything; the cases and simulations run in parallel."""
    report = Report()
    with ProcessPoolExecutor(6) as pool:
        simulated_runs = {size: pool.submit(simulated_times, size) for size in (3, 20, 100, 200)}
        false_positive_runs = [pool.submit(false_positives, 200, 600.0, seed) for seed in range(3)]
        case_runs = {
            (name, enabled): pool.submit(run_case, name, enabled)
            for name in CASES
            for enabled in (False, True)
        }
        for (name, enabled), future in case_runs.items():
            case, prefix = future.result(), f"fleet.{name}.{'on' if enabled else 'off'}"
            report.print_figure(f"{prefix}.use", case.use, "of-allowance", "<=1.1" if enabled else "-")
            # the smaller side of a cut has to refuse requests; only the larger side has a bound
            bound = "<=0.02" if enabled and not name.startswith("cut") else "-"
            report.print_figure(f"{prefix}.wrong", case.wrong, "of-inside", bound)
            if name.startswith("cut"):
                bound = "<=0.02" if enabled else "-"
                report.print_figure(f"{prefix}.refused-calm-serving", case.serving, "of-inside", bound)
            report.print_figure(f"{prefix}.unanswered", case.unanswered, "requests", "<=0")
            report.print_figure(f"{prefix}.ran-twice", case.twice, "changes", "<=0")
        for size, simulated_run in simulated_runs.items():
            found = simulated_run.result()
            for name, most in (("crash", 5.0), ("join", 3.0), ("healed", 5.0)):
                factor = 2.0 if size > REAL_INGRESSES else 1.0
                report.print_figure(f"fleet.simulated-{size}.{name}", found[name], "s", f"<={most * factor}")
            report.print_figure(f"fleet.simulated-{size}.start", found["start"], "s")
            report.print_figure(
                f"fleet.simulated-{size}.messages", found["messages"], "a-second-each-way", "<=8"
            )
        declared_dead, hours = map(
            sum, zip(*(future.result() for future in false_positive_runs), strict=True)
        )
        report.print_figure("fleet.falsely-gone", declared_dead, f"in-{hours:.0f}-member-hours", "<=0")
    for name, value in convergence_times().items():
        bounds = {"crash": "<=5", "join": "<=3", "healed": "<=5", "idle-cpu": "-", "start": "-"}
        report.print_figure(
            f"fleet.real-{REAL_INGRESSES}.{name}",
            value,
            "of-a-core" if name == "idle-cpu" else "s",
            bounds[name],
        )
    measure_cost(report)
    return report.status


if __name__ == "__main__":
    sys.exit(main())
