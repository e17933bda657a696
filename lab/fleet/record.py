"""A columnar record of a fleet run, and checks that read only the record.

A row is a request (`asked`), an execution at a box (`ran`, and `came` with its time and work), a step of the
schedule (`step`), the start or exit of an ingress process (`began`, `ended`, where `took` is the time since
SIGKILL was sent and `state` tells whether it was), or a change of a member's membership list (`view`). Times
are seconds since the site began.
"""

from __future__ import annotations

from dataclasses import dataclass

import polars as pl

from lab.fleet.site import BURST, DEADLINE, RATE, Site
from lab.quotas import QuotaReport, TenantRequest, evaluate_quotas

SCHEMA = {
    "t": pl.Float64, "what": pl.String, "member": pl.Int64, "tenant": pl.String, "ident": pl.String,
    "safe": pl.Boolean, "end": pl.String, "took": pl.Float64, "place": pl.Int64, "state": pl.String,
}  # fmt: skip
STOPPED = "stopped"  # state of a process that ended without SIGKILL
AFTER_KILL_SECONDS = 0.1  # in which a request may be sent to a process that was killed, and be lost
IN_FLIGHT_GRACE_SECONDS = 0.5  # after a drain is published, for requests already on their way
# A box fails when it is sent this multiple of its capacity over this window.
OVERLOAD_FACTOR, OVERLOAD_WINDOW_SECONDS = 4.0, 3.0
MAX_QUOTA_USE = 1.10  # of an allowance over any 10 s, as promised to tenants
# Share of a core right after a start, and seconds until all of it, as in the operator's file.
COLD_START_SHARE, WARM_UP_SECONDS = 0.15, 17.0
LATE_SLACK_SECONDS = (
    0.5  # past its deadline an answer counts as late; allows for a machine busy with the whole fleet
)


def record(site: Site) -> pl.DataFrame:
    """Builds the record of a site after its run."""
    rows: list[tuple[object, ...]] = []
    for one in site.asked:
        rows.append(
            (one.at, "asked", one.member, one.tenant, one.ident, one.safe, one.end, one.took, None, None)
        )
    for number, box in enumerate(site.boxes):
        for ident, times in box.run_counts().items():
            rows += [(0.0, "ran", number, None, ident, None, None, None, None, None)] * times
        events = [
            (event.at - site.begin, event.cpu) for event in box.counts.events if event.what == "request"
        ]
        rows += [(at, "came", None, None, None, None, None, cpu, number, None) for at, cpu in events]
    for at, step in site.executed_steps:
        members = step.members or (None,)
        rows += [
            (at, "step", member, None, None, None, None, step.amount, None, step.what) for member in members
        ]
    for at, member, place, state in site.changes():
        what = "began" if state == "began" else "view"
        rows.append((at, what, member, None, None, None, None, None, place, state))
    for end in site.process_ends:
        taken = None if end.killed_at is None else end.at - end.killed_at
        how = STOPPED if end.killed_at is None else None
        rows.append((end.at, "ended", end.member, None, None, None, None, taken, None, how))
    return pl.DataFrame(rows, schema=SCHEMA, orient="row").sort("t", maintain_order=True)


def unanswered(table: pl.DataFrame) -> int:
    """Requests without a complete answer whose ingress was neither killed nor paused in the meantime.

    A kill excuses what was on its way between SIGKILL and the end of the process.
    """
    lost = table.filter((pl.col("what") == "asked") & (pl.col("end") == "lost"))
    ended = table.filter((pl.col("what") == "ended") & pl.col("state").ne_missing(STOPPED))
    ends = ended.select("member", gone="t", killed=pl.col("t") - pl.col("took").fill_null(0.0))
    ends = ends.with_columns(last=pl.max_horizontal("gone", pl.col("killed") + AFTER_KILL_SECONDS))
    held = table.filter((pl.col("what") == "step") & (pl.col("state") == "hold")).select(
        "member", gone="t", for_="took"
    )
    count = 0
    for row in lost.iter_rows(named=True):
        until = row["t"] + row["took"]
        killed = ends.filter(
            (pl.col("member") == row["member"]) & (pl.col("killed") <= until) & (pl.col("last") >= row["t"])
        )
        paused = held.filter(
            (pl.col("member") == row["member"])
            & (pl.col("gone") <= until)
            & (pl.col("gone") + pl.col("for_") >= row["t"])
        )
        count += killed.is_empty() and paused.is_empty()
    return count


def late(table: pl.DataFrame) -> int:
    """Answers that arrived after the caller had given up; none count in a run that paused an ingress."""
    answered = pl.col("end").is_in(["served", "refused", "failed"])
    held = table.filter((pl.col("what") == "step") & (pl.col("state") == "hold")).height
    asked = table.filter(
        (pl.col("what") == "asked") & answered & (pl.col("took") > DEADLINE + LATE_SLACK_SECONDS)
    )
    return 0 if held else asked.height


def requests_to_draining(table: pl.DataFrame) -> int:
    """Requests that reached a box between its drain and its return, both as published by discovery."""
    count, phases = 0, table.filter((pl.col("what") == "step") & pl.col("state").is_in(["drain", "back"]))
    for row in phases.filter(pl.col("state") == "drain").iter_rows(named=True):
        of = phases.filter((pl.col("member") == row["member"]) & (pl.col("state") == "back"))
        back = of.filter(pl.col("t") > row["t"])["t"].min()
        until = float(back) if isinstance(back, float) else float("inf")
        came = table.filter((pl.col("what") == "came") & (pl.col("place") == row["member"]))
        count += came.filter(
            pl.col("t").is_between(row["t"] + IN_FLIGHT_GRACE_SECONDS, until, closed="none")
        ).height
    return count


def pushed(table: pl.DataFrame) -> float:
    """The most load on a restarted box over any window, as a fraction of the load that overloads it."""
    most = 0.0
    backs = table.filter((pl.col("what") == "step") & (pl.col("state") == "back"))
    for row in backs.iter_rows(named=True):
        came = table.filter((pl.col("what") == "came") & (pl.col("place") == row["member"]))
        work = came.filter(pl.col("t") >= row["t"]).select("t", "took").rows()
        for begin, _ in work:
            age = begin - row["t"]
            if age < WARM_UP_SECONDS:
                sent = sum(cpu for at, cpu in work if begin <= at < begin + OVERLOAD_WINDOW_SECONDS)
                can = COLD_START_SHARE + (1 - COLD_START_SHARE) * min(
                    1.0, (age + OVERLOAD_WINDOW_SECONDS / 2) / WARM_UP_SECONDS
                )
                most = max(most, sent / (OVERLOAD_FACTOR * can * OVERLOAD_WINDOW_SECONDS))
    return most


def answered_twice(table: pl.DataFrame) -> int:
    """Requests with more than one final answer."""
    asked = table.filter(pl.col("what") == "asked").group_by("ident").len()
    return asked.filter(pl.col("len") > 1).height


def ran_twice(table: pl.DataFrame) -> int:
    """Unsafe requests that ran more than once."""
    unsafe = table.filter((pl.col("what") == "asked") & ~pl.col("safe")).select("ident")
    runs = table.filter(pl.col("what") == "ran").join(unsafe, on="ident").group_by("ident").len()
    return runs.filter(pl.col("len") > 1).height


def quotas(table: pl.DataFrame, members: set[int] | None = None) -> QuotaReport:
    """Quota use over any 10 s and refusals; `members`: counts only requests through these ingresses."""
    rows = table.filter((pl.col("what") == "asked") & pl.col("end").is_in(["served", "refused"]))
    if members is not None:
        rows = rows.filter(pl.col("member").is_in(sorted(members)))
    tries = [
        TenantRequest(row["t"], row["tenant"], 1.0, row["end"] == "served")
        for row in rows.iter_rows(named=True)
    ]
    return evaluate_quotas(tries, RATE, BURST)


@dataclass(slots=True, frozen=True)
class MembershipAgreement:
    """Whether all live members consider exactly the live members alive at the end, and since when."""

    agree: bool
    since: float


def membership_agreement(table: pl.DataFrame) -> MembershipAgreement:
    """Computes the agreement from the recorded changes."""
    held: dict[int, set[int]] = {}
    agree, since = False, 0.0
    for row in table.filter(pl.col("what").is_in(["began", "ended", "view"])).iter_rows(named=True):
        member, place = row["member"], row["place"]
        if row["what"] == "began":
            held[member] = {member}
        elif row["what"] == "ended":
            held.pop(member, None)
        elif member in held:
            (held[member].add if row["state"] in ("present", "suspected") else held[member].discard)(place)
        now = all(view == set(held) for view in held.values())
        if now != agree:
            agree, since = now, row["t"]
    return MembershipAgreement(agree, since)


def faults(table: pl.DataFrame) -> list[str]:
    """Descriptions of all rules that a run violated; empty if none."""
    found = []
    for name, count in (
        ("requests without an answer", unanswered(table)),
        ("answers that came late", late(table)),
        ("requests answered twice", answered_twice(table)),
        ("changes that ran twice", ran_twice(table)),
        ("requests to a box that drains", requests_to_draining(table)),
    ):
        if count:
            found.append(f"{count} {name}")
    if (most := pushed(table)) > 1.0:
        found.append(f"a cold box was sent {most:.2f} times what makes it fall")
    verdict = quotas(table)
    if verdict.use > MAX_QUOTA_USE:
        found.append(f"{verdict.worst_tenant} used {verdict.use:.2f} of its allowance")
    if not membership_agreement(table).agree:
        found.append("views differ at the end")
    return found
