"""Aggregates the logs of a fleet: `python -m lab.fleetlog DIR`, with one file per ingress.

Some problems only show in the sum over all ingresses, while each single log looks harmless. Prints tables
to standard output, with times in seconds since the first line of any log. Lines that can't be parsed are
skipped, and their number is reported. Needs polars (extra `lab`).
"""

from __future__ import annotations

import argparse
import re
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import polars as pl

LINE_PATTERN = re.compile(
    r"^(?:\d+\.\d+ )?(\d{9,}\.\d+) (.+)$"
)  # a test bench may put a clock of its own in front
END_PATTERN = re.compile(r"^end (?:(nexthop) (\S+)|(caller|routes|counter)) (\S+)(.*)$")
AGE_PATTERN = re.compile(r"\bage=([0-9.]+)")
SERVED_PATTERN = re.compile(r"\bserved=(\d+)")
SUSPECTED_PATTERN = re.compile(r"^module: backend (\S+) suspected: (.+)$")
RECOVERED_PATTERN = re.compile(r"^module: backend (\S+) answers again$")
OWN_PATTERN = re.compile(r"^fleet: this is place (\d+) of \d+ in ")
VIEW_PATTERN = re.compile(r"^fleet: place (\d+): .+? -> (\w+)")
COUNT_PATTERN = re.compile(r"^([a-z_.]+)=(\d+)$")
EPISODE_GAP_SECONDS = 10.0  # a suspicion after a longer gap starts a new episode
FALSE_SUSPICION_SECONDS = 3.0  # a suspicion by a single ingress that ends within this time counts as wrong

SCHEMAS: dict[str, dict[str, type[pl.DataType]]] = {
    "ends": {
        "t": pl.Float64, "ingress": pl.String, "side": pl.String, "hop": pl.String, "reason": pl.String,
        "age": pl.Float64, "served": pl.Int64,
    },
    "tallies": {"t": pl.Float64, "ingress": pl.String, "name": pl.String, "number": pl.Int64},
    "hops": {"t": pl.Float64, "ingress": pl.String, "hop": pl.String, "name": pl.String, "number": pl.Int64},
    "suspicions": {"t": pl.Float64, "ingress": pl.String, "hop": pl.String, "why": pl.String},
    "recoveries": {"t": pl.Float64, "ingress": pl.String, "hop": pl.String},
    "process_states": {"t": pl.Float64, "ingress": pl.String, "state": pl.String},
    "membership": {"t": pl.Float64, "ingress": pl.String, "member_id": pl.Int64, "state": pl.String},
}  # fmt: skip


class LogError(ValueError):
    """The folder has no readable logs; the message says why."""


@dataclass(slots=True)
class Fleet:
    """The contents of a fleet's logs as tables, and the faults found in the logs."""

    tables: dict[str, pl.DataFrame]
    files: int
    faults: list[str] = field(default_factory=list)

    def only(self, hop: str) -> Fleet:
        """The rows about one next hop; tables without next hops become empty."""
        kept = {
            name: table.filter(pl.col("hop") == hop) if "hop" in table.columns else table.clear()
            for name, table in self.tables.items()
        }
        return Fleet(kept, self.files, self.faults)


def read_fleet(folder: Path) -> Fleet:
    """Reads every *.log of a folder; raises LogError if there is none or no line can be parsed."""
    paths = sorted(folder.glob("*.log")) if folder.is_dir() else []
    if not paths:
        raise LogError(f"{folder}: no logs (*.log) found")
    rows: dict[str, list[tuple[object, ...]]] = {name: [] for name in SCHEMAS}
    faults: list[str] = []
    first = float("inf")
    for path in paths:
        raw = path.read_bytes()
        lines = raw.decode("utf-8", "replace").splitlines()
        unparsed = 0
        if raw and not raw.endswith(b"\n"):
            faults.append(f"{path.name}: cut off in its last line")
        for line in lines:
            match = LINE_PATTERN.match(line)
            if match is None:
                unparsed += 1
                continue
            first = min(first, float(match[1]))
            _add_line(rows, float(match[1]), path.stem, match[2])
        if unparsed:
            faults.append(f"{path.name}: {unparsed} of {len(lines)} lines can't be read")
    if first == float("inf"):
        raise LogError(f"{folder}: no line of {len(paths)} logs can be read")
    tables = {
        name: pl.DataFrame(rows[name], schema=schema, orient="row")
        .with_columns(pl.col("t") - first)
        .sort("t", maintain_order=True)
        for name, schema in SCHEMAS.items()
    }
    return Fleet(tables, len(paths), faults)


def _add_line(rows: dict[str, list[tuple[object, ...]]], at: float, ingress: str, text: str) -> None:
    """Adds a line to its table; other lines are ignored."""
    if text.startswith("tally "):
        for word in text.split()[1:]:
            count = COUNT_PATTERN.match(word)
            if count is not None:
                rows["tallies"].append((at, ingress, count[1], int(count[2])))
    elif text.startswith("hops "):
        for hop, _, counts in (word.partition("=") for word in text.split()[1:]):
            for name, _, number in (one.partition(":") for one in counts.split(",")):
                if number.isdigit():
                    rows["hops"].append((at, ingress, hop, name, int(number)))
    elif (end := END_PATTERN.match(text)) is not None:
        age, served = AGE_PATTERN.search(end[5]), SERVED_PATTERN.search(end[5])
        figures = (float(age[1]) if age else 0.0, int(served[1]) if served else 0)
        rows["ends"].append((at, ingress, end[1] or end[3], end[2] or "", end[4], *figures))
    elif (suspected := SUSPECTED_PATTERN.match(text)) is not None:
        why = "no answer" if suspected[2].startswith("no answer") else suspected[2]
        rows["suspicions"].append((at, ingress, suspected[1], why))
    elif (recovered := RECOVERED_PATTERN.match(text)) is not None:
        rows["recoveries"].append((at, ingress, recovered[1]))
    elif (own_id := OWN_PATTERN.match(text)) is not None:
        rows["membership"].append((at, ingress, int(own_id[1]), "own"))
    elif (change := VIEW_PATTERN.match(text)) is not None:
        rows["membership"].append((at, ingress, int(change[1]), change[2]))
    elif text.startswith(("starting ", "ready ", "stopping")):
        rows["process_states"].append((at, ingress, text.split()[0]))


def per_second(fleet: Fleet, width: int = 1) -> pl.DataFrame:
    """Totals over all ingresses in slots of `width` seconds: connections dialled and ended, discovery streams
    ended, process states, suspicions.

    Counts only dials whose end was logged; `dials.*` of the tally lines counts all of them.
    """
    ends = fleet.tables["ends"]
    hops = ends.filter(pl.col("side") == "nexthop")
    parts = [
        hops.select(t=pl.col("t") - pl.col("age"), name=pl.lit("dial")),
        hops.select("t", name=pl.lit("hop ") + _without_errno(pl.col("reason"))),
        ends.filter(pl.col("side") == "routes").select(
            "t", name=pl.lit("routes ") + _without_errno(pl.col("reason"))
        ),
        fleet.tables["process_states"].select("t", name=pl.col("state")),
        fleet.tables["suspicions"].select("t", name=pl.lit("suspect ") + pl.col("why")),
    ]
    return _pivot_by_second(pl.concat(parts).with_columns(number=pl.lit(1, pl.Int64)), width)


def tally_totals(fleet: Fleet, width: int = 5) -> pl.DataFrame:
    """Sums of the tally lines over all ingresses; a line covers the seconds before it."""
    return _pivot_by_second(fleet.tables["tallies"].select("t", "name", "number"), width)


def hop_totals(fleet: Fleet, width: int = 5) -> pl.DataFrame:
    """Attempts by outcome and open connections of each next hop, in slots of `width` seconds."""
    counts = fleet.tables["hops"]
    if counts.is_empty():
        return pl.DataFrame()
    slots = counts.with_columns(second=(pl.col("t") // width).cast(pl.Int64) * width)
    # "open" is a level: if an ingress logs it twice in a slot, as it does when it ends, only the last counts
    last = (pl.col("name") != "open") | pl.struct("second", "hop", "name", "ingress").is_last_distinct()
    summed = slots.filter(last).group_by("second", "hop", "name").agg(pl.col("number").sum()).sort("name")
    table = summed.pivot("name", index=["second", "hop"], values="number").fill_null(0)
    return table.sort("second", "hop")


def starting_and_ready(fleet: Fleet) -> pl.DataFrame:
    """How many ingresses are starting and how many are ready, after each change.

    A killed ingress keeps its last state until it starts again, since it doesn't log its end.
    """
    before = pl.col("state").shift(1).over("ingress")
    steps = [
        ((pl.col("state") == word).cast(pl.Int64) - (before == word).fill_null(False).cast(pl.Int64))
        .cum_sum()
        .alias(name)
        for name, word in (("starting", "starting"), ("up", "ready"))
    ]
    return fleet.tables["process_states"].sort("t").select("t", *steps)


def membership_differences(fleet: Fleet) -> pl.DataFrame:
    """Periods in which the ingresses disagreed on the membership, and how many members each took as alive.

    Leaves out an ingress that no other one takes as alive, such as a killed one, whose log just stops.
    """
    own: dict[str, int] = {}
    alive: dict[str, set[int]] = {}
    spans: list[tuple[float, float | None, str]] = []
    for row in fleet.tables["membership"].iter_rows(named=True):
        ingress, member_id = row["ingress"], row["member_id"]
        if row["state"] == "own":
            own[ingress], alive[ingress] = member_id, {member_id}
        elif ingress in alive and member_id != own[ingress]:
            is_alive = row["state"] in ("present", "suspected")
            (alive[ingress].add if is_alive else alive[ingress].discard)(member_id)
        compared = [one for one in alive if any(own[one] in alive[other] for other in alive if other != one)]
        differ = len({frozenset(alive[one]) for one in compared}) > 1
        if differ and (not spans or spans[-1][1] is not None):
            spans.append((row["t"], None, ""))
        elif not differ and spans and spans[-1][1] is None:
            spans[-1] = (spans[-1][0], row["t"], spans[-1][2])
        if differ:
            sizes = " ".join(f"{one}:{len(alive[one])}" for one in sorted(compared))
            spans[-1] = (spans[-1][0], None, sizes)
    schema = {"from": pl.Float64, "until": pl.Float64, "last": pl.String}
    return pl.DataFrame(spans, schema=schema, orient="row")


def _without_errno(reason: pl.Expr) -> pl.Expr:
    """Strips the error code, as of connect_failed:ECONNREFUSED."""
    return reason.str.replace(r"^(connect_failed|broken):.*$", "$1")


def _pivot_by_second(events: pl.DataFrame, width: int) -> pl.DataFrame:
    if events.is_empty():
        return pl.DataFrame({"second": []}, schema={"second": pl.Int64})
    slots = events.with_columns(second=(pl.col("t") // width).cast(pl.Int64) * width)
    summed = slots.group_by("second", "name").agg(pl.col("number").sum())
    return summed.sort("name").pivot("name", index="second", values="number").fill_null(0).sort("second")


def connections_per_hop(fleet: Fleet) -> pl.DataFrame:
    """For each next hop: connections ended, failed and unused, the most open at once, and its ingresses."""
    ends = fleet.tables["ends"].filter(pl.col("side") == "nexthop")
    failed = pl.col("reason").str.starts_with("connect_")
    table = ends.group_by("hop").agg(
        ingresses=pl.col("ingress").n_unique(),
        connections=pl.len(),
        failed=failed.sum(),
        served=pl.col("served").sum(),
        unused=(~failed & (pl.col("served") == 0)).sum(),
    )
    established = ends.filter(~failed)
    begins = established.select("hop", t=pl.col("t") - pl.col("age"), step=pl.lit(1, pl.Int64))
    steps = pl.concat([begins, established.select("hop", "t", step=pl.lit(-1, pl.Int64))]).sort("t", "step")
    levels = steps.with_columns(open=pl.col("step").cum_sum().over("hop"))
    maxima = levels.group_by("hop").agg(most_open=pl.col("open").max())
    return table.join(maxima, on="hop", how="left").fill_null(0).sort("connections", descending=True)


def suspicion_episodes(fleet: Fleet) -> pl.DataFrame:
    """Episodes in which a next hop was suspected: the first, median and last ingress, and if it was wrong."""
    suspicions, recoveries = fleet.tables["suspicions"], fleet.tables["recoveries"]
    if suspicions.is_empty():
        return pl.DataFrame()
    gap = pl.col("t").diff().over("hop").fill_null(0.0) > EPISODE_GAP_SECONDS
    parts = suspicions.sort("hop", "t").with_columns(gap=gap)
    parts = parts.with_columns(episode=pl.col("gap").cast(pl.Int64).cum_sum().over("hop"))
    firsts = parts.unique(subset=["hop", "episode", "ingress"], keep="first", maintain_order=True)
    ended = firsts.sort("t").join_asof(
        recoveries.sort("t").select("t", "ingress", "hop", back=pl.col("t")),
        on="t", by=["ingress", "hop"], strategy="forward", check_sortedness=False,
    )  # fmt: skip
    ended_soon = (pl.col("back") - pl.col("t")) <= FALSE_SUSPICION_SECONDS
    return (
        ended.group_by("hop", "episode")
        .agg(
            first=pl.col("t").min(),
            median=pl.col("t").median(),
            last=pl.col("t").max(),
            ingresses=pl.col("ingress").n_unique(),
            taken_back=ended_soon.fill_null(False).sum(),
            why=pl.col("why").mode().sort().first(),
        )
        .with_columns(wrong=(pl.col("ingresses") == 1) & (pl.col("taken_back") == 1))
        .drop("episode")
        .sort("first")
    )


TABLES: dict[str, tuple[str, Callable[[Fleet], pl.DataFrame]]] = {
    "per_second": ("Per second, all ingresses:", per_second),
    "tally": ("Tally lines, per 5 s, all ingresses:", tally_totals),
    "up": ("Ingresses starting and up:", starting_and_ready),
    "hops": ("Next hops, by number of connections:", connections_per_hop),
    "hop_seconds": ("Attempts and open connections by next hop, per 5 s:", hop_totals),
    "views": ("Periods of differing membership; last sizes by ingress:", membership_differences),
    "suspicions": ("Suspicions; wrong if only one ingress had it and it soon ended:", suspicion_episodes),
}


def report(fleet: Fleet, rows: int) -> str:
    """All tables as text, each cut to `rows` rows."""
    dials = pl.col("name").str.starts_with("dials.")
    dialled = fleet.tables["tallies"].filter(dials)["number"].sum()
    ended = fleet.tables["ends"].filter(pl.col("side") == "nexthop").height
    parts = [f"{fleet.files} logs", *(f"damaged: {fault}" for fault in fleet.faults)]
    parts.append(
        f"{dialled} dials counted, {ended} ends logged: the others are open or belong to a killed ingress."
    )
    for title, table in TABLES.values():
        parts += ["", title, _text(table(fleet), rows)]
    return "\n".join(parts)


def _text(table: pl.DataFrame, rows: int) -> str:
    if table.is_empty():
        return "nothing logged"
    with pl.Config(
        tbl_rows=rows,
        tbl_cols=-1,
        tbl_width_chars=240,
        tbl_formatting="ASCII_FULL_CONDENSED",
        tbl_hide_dataframe_shape=True,
        tbl_hide_column_data_types=True,
        float_precision=2,
    ):
        return str(table)


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line; returns 2 if there is nothing to read."""
    parser = argparse.ArgumentParser(prog="lab.fleetlog", description="Aggregates the logs of a fleet.")
    parser.add_argument("folder", type=Path, help="a folder with one NAME.log per ingress")
    parser.add_argument("--rows", type=int, default=40, help="maximum rows of a table (40)")
    parser.add_argument("--hop", help="only rows about this next hop")
    parser.add_argument("--csv", type=Path, help="a folder for the complete tables as CSV")
    options = parser.parse_args(arguments)
    try:
        fleet = read_fleet(options.folder)
    except LogError as error:
        sys.stderr.write(f"fleetlog: {error}\n")
        return 2
    fleet = fleet.only(options.hop) if options.hop else fleet
    print(report(fleet, options.rows))
    if options.csv is not None:
        options.csv.mkdir(parents=True, exist_ok=True)
        for name, (_, table) in TABLES.items():
            table(fleet).write_csv(options.csv / f"{name}.csv")
    return 0


if __name__ == "__main__":
    sys.exit(main())
