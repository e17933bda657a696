"""The measurement of the fleet's membership: `make bench-fleet`. See docs/design/fleet.md for what it says.

Real ingresses on loopback, and the same decisions for larger fleets in simulated time. Off against on is the
same schedule, seed and load with and without the block `fleet`.
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

MANY = 20  # real ingresses
CUT = "8 cut 3 4\n18 heal"
TURN = "\n".join(f"{6 + 1.3 * n:.1f} kill {n}\n{6.4 + 1.3 * n:.1f} start {n}" for n in range(5))
CASES = {
    "nothing": ("", 20.0),
    "crash": ("8 kill 3 4", 24.0),
    "cut": (CUT, 26.0),
    "cut-with-loss": ("0 loss 6.5%\n" + CUT, 26.0),
    "in-turn": (TURN, 20.0),
}
SERVING = {0, 1, 2}  # of the cut


@dataclass(slots=True, frozen=True)
class Case:
    """What a schedule came to."""

    use: float
    wrong: float
    serving: float  # of the side of the cut that goes on, by tenants that keep within their quota
    unanswered: int
    twice: int


def play(name: str, view: bool) -> Case:
    """Five ingresses under load."""
    text, span = CASES[name]
    with Site(5, view, seed=4) as site:
        time.sleep(1.0)
        site.run(schedule.read(text, 5), span)
        table = record(site)
    verdict = quotas(table)
    serving = quotas(table, SERVING).compliant_refused_share
    return Case(verdict.use, verdict.refused_share, serving, unanswered(table), ran_twice(table))


def times() -> dict[str, float]:
    """Twenty real ingresses without load: seconds until all know."""
    found = {}
    with Site(MANY, boxes=1) as site:
        found["start"] = site.wait_for_agreement(20.0)
        time.sleep(3.0)
        site.kill(7)
        found["crash"] = site.wait_for_agreement(20.0)
        site.start(7)
        found["join"] = site.wait_for_agreement(20.0)
        time.sleep(1.0)
        site.network.partition(set(range(8)), set(range(8, MANY)))
        time.sleep(15.0)
        site.network.partition()
        found["healed"] = site.wait_for_agreement(20.0)
        before = {n: one.cpu() for n, one in site.live.items()}
        time.sleep(5.0)
        found["idle-cpu"] = sum(one.cpu() - before[n] for n, one in site.live.items()) / MANY / 5.0
    return found


def simulated(size: int) -> dict[str, float]:
    """Members in simulated time with 6.5% loss: seconds until all know, and datagrams a second each way."""
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


def falsely(size: int, seconds: float, seed: int) -> tuple[int, float]:
    """How often a live member was held for gone by another, and in how many hours of members."""
    members = Members(size, seed, loss=0.065)
    members.until(members.all_agree, 30.0)
    for membership in members.live.values():
        membership.changes.clear()
    members.run(seconds)
    gone = sum(
        change.after == "gone" for membership in members.live.values() for change in membership.changes
    )
    return gone, size * seconds / 3600.0


def cost(report: Report) -> None:
    """Processor time of a request with the view on and off, side by side."""
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
            report.tell(f"fleet.cpu-{name}", 1e6 * spent[name], "us-a-request")
    report.tell("fleet.cpu-on-over-off", spent["on"] / spent["off"], "ratio", "<=1.03")


def main() -> int:
    """Everything; some parts run beside each other."""
    report = Report()
    with ProcessPoolExecutor(6) as pool:
        large = {size: pool.submit(simulated, size) for size in (3, 20, 100, 200)}
        wrongly = [pool.submit(falsely, 200, 600.0, seed) for seed in range(3)]
        played = {(name, view): pool.submit(play, name, view) for name in CASES for view in (False, True)}
        for (name, view), future in played.items():
            case, prefix = future.result(), f"fleet.{name}.{'on' if view else 'off'}"
            report.tell(f"{prefix}.use", case.use, "of-allowance", "<=1.1" if view else "-")
            # a side that is cut off refuses what it may not spend: the bound is for the one that goes on
            bound = "<=0.02" if view and not name.startswith("cut") else "-"
            report.tell(f"{prefix}.wrong", case.wrong, "of-inside", bound)
            if name.startswith("cut"):
                bound = "<=0.02" if view else "-"
                report.tell(f"{prefix}.refused-calm-serving", case.serving, "of-inside", bound)
            report.tell(f"{prefix}.unanswered", case.unanswered, "requests", "<=0")
            report.tell(f"{prefix}.ran-twice", case.twice, "changes", "<=0")
        for size, future_of in large.items():
            found = future_of.result()
            for name, most in (("crash", 5.0), ("join", 3.0), ("healed", 5.0)):
                factor = 2.0 if size > MANY else 1.0
                report.tell(f"fleet.simulated-{size}.{name}", found[name], "s", f"<={most * factor}")
            report.tell(f"fleet.simulated-{size}.start", found["start"], "s")
            report.tell(f"fleet.simulated-{size}.messages", found["messages"], "a-second-each-way", "<=8")
        gone, hours = map(sum, zip(*(future.result() for future in wrongly), strict=True))
        report.tell("fleet.falsely-gone", gone, f"in-{hours:.0f}-member-hours", "<=0")
    for name, value in times().items():
        bounds = {"crash": "<=5", "join": "<=3", "healed": "<=5", "idle-cpu": "-", "start": "-"}
        report.tell(
            f"fleet.real-{MANY}.{name}", value, "of-a-core" if name == "idle-cpu" else "s", bounds[name]
        )
    cost(report)
    return report.status


if __name__ == "__main__":
    sys.exit(main())
