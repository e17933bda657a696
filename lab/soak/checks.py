"""Finds rule violations of a soak run from its record alone. The bounds are those of the platform terms."""

from __future__ import annotations

from typing import Any

import polars as pl

from lab.quotas import TenantRequest, evaluate_quotas
from lab.shutdown import IN_FLIGHT_SECONDS
from lab.soak.plan import MAX_PAUSE_SECONDS, PLAN_BURST, PLAN_RATE, Run

ANSWER_SLACK_SECONDS = 0.5 + 0.05  # after the deadline; every limit is extended on real sockets
DISCONNECT_SLACK_SECONDS = 0.1  # in which an attempt may start after its client disconnected
REPORTED_TIME_SLACK_SECONDS = 0.15  # excess allowed in the time sent to a backend
DRAIN_GRACE_SECONDS = 0.5 + 0.05  # as configured; every limit is extended on real sockets
DISCOVERY_RECOVERY_SECONDS = 6.0  # in which an ingress sees a change once discovery is reachable again
READY_SECONDS = 10.0
MAX_QUOTA_USE = 1.10  # of an allowance over any 10 s


def rule_violations(run: Run, table: pl.DataFrame) -> list[str]:
    """One line per rule violation of the run; empty if there are none."""
    return [
        *_unanswered(run, table),
        *_late(table),
        *_ran_twice(table),
        *_after_disconnect(table),
        *_reported_too_much_time(table),
        *_to_draining_backends(table),
        *_exit_statuses(table),
        *_not_ready(table),
        *_quotas(table),
    ]


def violations_in_spite_of_pauses(table: pl.DataFrame) -> list[str]:
    """Violations of rules that a process which is held up at its end and killed can't break by that."""
    return [
        *_ran_twice(table),
        *_after_disconnect(table),
        *_reported_too_much_time(table),
        *_to_draining_backends(table),
        *_not_ready(table),
        *_quotas(table),
    ]


def _rows(table: pl.DataFrame, what: str) -> pl.DataFrame:
    return table.filter(pl.col("what") == what)


def _requests(table: pl.DataFrame) -> pl.DataFrame:
    """Joins each request with the end of its connection and its first arrival at a backend, if any."""
    connections = _rows(table, "connection").select(
        "member", "life", "connection", closed="until", closing="end", begun="detail"
    )
    came = _rows(table, "came").group_by("ident").agg(pl.col("t").min().alias("came"))
    asked = _rows(table, "asked").join(connections, on=["member", "life", "connection"], how="left")
    return asked.join(came, on="ident", how="left").sort("t")


def _unanswered(run: Run, table: pl.DataFrame) -> list[str]:
    """Requests that were read and have no complete answer.

    A request counts as read if it reached a backend, if its connection did not close in order, or if it was
    sent too early to cross an orderly close. Exempt are a value that was cut off while it was forwarded, with
    the unread requests behind it, unless the ingress cut it off by its exit, and, in a run with a crowd,
    requests on a new connection that was closed unread.
    """
    found = []
    requests = _requests(table).filter((pl.col("end") == "open") & (pl.col("closing") != "left"))
    first: set[tuple[int, int, int]] = set()
    for row in requests.iter_rows(named=True):
        connection = (row["member"], row["life"], row["connection"])
        is_first, came = connection not in first, row["came"] is not None
        first.add(connection)
        cut = row["begun"] == "begun" and row["closing"] in ("closed", "reset")
        if cut and (is_first or not came) and not _ended_by_exit(table, row):
            continue
        in_order = row["closing"] == "closed" and row["closed"] is not None
        if in_order and not came and row["t"] >= row["closed"] - IN_FLIGHT_SECONDS:
            continue
        answered = _rows(table, "asked").filter(
            (pl.col("member") == row["member"])
            & (pl.col("life") == row["life"])
            & (pl.col("connection") == row["connection"])
            & (pl.col("end") != "open")
        )
        if run.crowd and not came and answered.is_empty() and row["closing"] in ("closed", "reset"):
            continue
        found.append(
            f"lost: {_name(row)}, connection {row['closing']} at {row['closed']}, came {row['came']}"
        )
    return found


def _ended_by_exit(table: pl.DataFrame, request: dict[str, Any]) -> bool:
    """True if the exit of the process ended the connection of a request, rather than a backend or a client.

    A process that stays for answers on their way ends their connections only where it says so.
    """
    steps = _rows(table, "step").filter(
        (pl.col("member") == request["member"]) & (pl.col("life") == request["life"])
    )
    stays = steps.filter(pl.col("detail").str.starts_with("shutdown: stays for")).height > 0
    last_step = "shutdown: cuts off" if stays else "shutdown: ends"
    at = steps.filter(pl.col("detail").str.starts_with(last_step))["t"].min()
    return isinstance(at, float) and request["closed"] is not None and request["closed"] >= at


def _late(table: pl.DataFrame) -> list[str]:
    """Answers after their deadline, except for time spent behind earlier answers on the connection."""
    found = []
    before: dict[tuple[int, int, int], float] = {}
    for row in _requests(table).filter(pl.col("end") != "open").iter_rows(named=True):
        connection = (row["member"], row["life"], row["connection"])
        due = row["t"] + row["seconds"] + ANSWER_SLACK_SECONDS
        behind = before.get(connection, 0.0) + IN_FLIGHT_SECONDS
        before[connection] = row["until"]
        if row["until"] > max(due, behind) and row["closing"] != "left":
            found.append(f"late: {_name(row)}, answered at {row['until']:.3f}, due {due:.3f}")
    return found


def _ran_twice(table: pl.DataFrame) -> list[str]:
    unsafe = _rows(table, "came").filter(~pl.col("safe"))
    runs = unsafe.group_by("ident").len().filter(pl.col("len") > 1)
    return [f"ran {row['len']} times: {row['ident']}" for row in runs.iter_rows(named=True)]


def _after_disconnect(table: pl.DataFrame) -> list[str]:
    left = _requests(table).filter(pl.col("closing") == "left").select("ident", "closed")
    came = _rows(table, "came").join(left, on="ident")
    late = came.filter(pl.col("t") > pl.col("closed") + DISCONNECT_SLACK_SECONDS)
    return [
        f"began {row['t'] - row['closed']:.3f} s after its client left: {row['ident']}"
        for row in late.iter_rows(named=True)
    ]


def _reported_too_much_time(table: pl.DataFrame) -> list[str]:
    """Attempts whose stated time exceeds what the client had left.

    The terms allow an ingress to be paused for a limited time. If the soak itself sent SIGCONT late, requests
    waited longer than that; the excess is taken from the recorded times of both signals.
    """
    asked = _rows(table, "asked").select("ident", "member", "life", sent="t", patience="seconds")
    came = _rows(table, "came").drop("member", "life").join(asked, on="ident")
    left = pl.col("sent") + pl.col("patience") - pl.col("t")
    wrong = came.with_columns(left=left).filter(
        pl.col("seconds") > pl.col("left") + REPORTED_TIME_SLACK_SECONDS
    )
    return [
        f"told {row['seconds']:.3f} s with {row['left']:.3f} s left: {row['ident']}"
        for row in wrong.iter_rows(named=True)
        if row["seconds"] > row["left"] + REPORTED_TIME_SLACK_SECONDS + _excess_pause(table, row)
    ]


def _excess_pause(table: pl.DataFrame, request: dict[str, Any]) -> float:
    """Seconds by which a pause between the request and its attempt exceeded the terms."""
    signals = _rows(table, "signal").filter(
        (pl.col("member") == request["member"]) & (pl.col("life") == request["life"])
    )
    longest = 0.0
    for stop in signals.filter(pl.col("detail") == "SIGSTOP")["t"]:
        resumed_at = signals.filter((pl.col("detail") == "SIGCONT") & (pl.col("t") > stop))["t"].min()
        if isinstance(resumed_at, float) and stop < request["t"] and resumed_at > request["sent"]:
            longest = max(longest, resumed_at - stop - MAX_PAUSE_SECONDS)
    return longest


def _to_draining_backends(table: pl.DataFrame) -> list[str]:
    """Requests to a draining backend, later than the grace period after its ingress counts as notified."""
    found = []
    by_ident = _rows(table, "asked").select("ident", "member", "life")
    came = _rows(table, "came").drop("member", "life").join(by_ident, on="ident")
    for drain in _rows(table, "drain").iter_rows(named=True):
        of = _rows(table, "back").filter((pl.col("backend") == drain["backend"]) & (pl.col("t") > drain["t"]))
        back = of["t"].min()
        until = back if isinstance(back, float) else float("inf")
        for row in came.filter(pl.col("backend") == drain["backend"]).iter_rows(named=True):
            notified = _notified_by(table, drain["t"], row["member"], row["life"])
            if notified + DRAIN_GRACE_SECONDS < row["t"] < until:
                found.append(
                    f"to draining backend {drain['backend']}: {row['ident']} of n{row['member']} "
                    f"{row['t'] - notified:.3f} s after it was told"
                )
    return found


def _notified_by(table: pl.DataFrame, at: float, member: int, run_number: int) -> float:
    """The latest time at which an ingress counts as notified of a change.

    A process hears of an earlier change by its first call to discovery, which an outage may meet.
    """
    process_run = (pl.col("member") == member) & (pl.col("life") == run_number)
    known = max(at, float(_rows(table, "life").filter(process_run)["t"][0]))
    first_call = _rows(table, "discovery").filter(process_run)["t"].min()
    if isinstance(first_call, float) and _in_outage(table, member, first_call):
        known = max(known, first_call)
    for silence in _rows(table, "silence").filter(pl.col("member") == member).iter_rows(named=True):
        if silence["t"] <= known < silence["until"]:
            refused = silence["detail"] == "refused"
            known = silence["until"] + DISCOVERY_RECOVERY_SECONDS * refused
    return known


def _in_outage(table: pl.DataFrame, member: int, at: float) -> bool:
    """True if an ingress could not reach discovery at that time."""
    covers = (pl.col("member") == member) & (pl.col("t") <= at) & (pl.col("until") > at)
    return not _rows(table, "silence").filter(covers).is_empty()


def _exit_statuses(table: pl.DataFrame) -> list[str]:
    return [
        f"n{row['member']} life {row['life']} ended with {row['end']} ({row['detail']})"
        for row in _rows(table, "life").iter_rows(named=True)
        if row["end"] != "0"
    ]


def _not_ready(table: pl.DataFrame) -> list[str]:
    return [
        f"n{row['member']} life {row['life']} was ready after {row['seconds']:.1f} s"
        for row in _rows(table, "life").iter_rows(named=True)
        if row["seconds"] > READY_SECONDS
    ]


def _quotas(table: pl.DataFrame) -> list[str]:
    answered = _rows(table, "asked").filter(pl.col("end").is_in(["served", "refused"]))
    if answered.is_empty():
        return []
    tries = [
        TenantRequest(row["t"], str(row["tenant"]), 1.0, row["end"] == "served")
        for row in answered.iter_rows(named=True)
    ]
    verdict = evaluate_quotas(tries, PLAN_RATE, PLAN_BURST)
    if verdict.use <= MAX_QUOTA_USE:
        return []
    return [f"tenant {verdict.worst_tenant} used {verdict.use:.2f} of its allowance"]


def _name(row: dict[str, object]) -> str:
    kind = "safe" if row["safe"] else "unsafe"
    where = f"n{row['member']} life {row['life']} connection {row['connection']}"
    return f"{kind} {row['ident']} sent at {row['t']:.3f} on {where}"
