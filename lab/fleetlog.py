"""The logs of a whole fleet added up: `python -m lab.fleetlog DIR`, one file an ingress.

What each ingress does looks harmless in its own log; what hurts shows in the sum. Tables go to standard
output, all times in seconds since the first line of any log. Logs are read as far as they go: what can't be
read is counted and told. Needs polars (extra `lab`).
"""

from __future__ import annotations

import argparse
import re
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import polars as pl

LINE = re.compile(r"^(?:\d+\.\d+ )?(\d{9,}\.\d+) (.+)$")  # a bench may put its own clock in front
END = re.compile(r"^end (?:(nexthop) (\S+)|(caller|routes|counter)) (\S+)(.*)$")
AGE = re.compile(r"\bage=([0-9.]+)")
SERVED = re.compile(r"\bserved=(\d+)")
SUSPECTED = re.compile(r"^module: backend (\S+) suspected: (.+)$")
AGAIN = re.compile(r"^module: backend (\S+) answers again$")
OWN = re.compile(r"^fleet: this is place (\d+) of \d+ in ")
VIEW = re.compile(r"^fleet: place (\d+): .+? -> (\w+)")
COUNT = re.compile(r"^([a-z_.]+)=(\d+)$")
EPISODE = 10.0  # seconds without a new suspicion after which the next one is about something else
TAKEN_BACK = 3.0  # a suspicion of one ingress alone, taken back within so long, counts as wrong

SCHEMAS: dict[str, dict[str, type[pl.DataType]]] = {
    "ends": {
        "t": pl.Float64, "ingress": pl.String, "side": pl.String, "hop": pl.String, "reason": pl.String,
        "age": pl.Float64, "served": pl.Int64,
    },
    "tallies": {"t": pl.Float64, "ingress": pl.String, "name": pl.String, "number": pl.Int64},
    "hops": {"t": pl.Float64, "ingress": pl.String, "hop": pl.String, "name": pl.String, "number": pl.Int64},
    "suspicions": {"t": pl.Float64, "ingress": pl.String, "hop": pl.String, "why": pl.String},
    "again": {"t": pl.Float64, "ingress": pl.String, "hop": pl.String},
    "process_states": {"t": pl.Float64, "ingress": pl.String, "state": pl.String},
    "views": {"t": pl.Float64, "ingress": pl.String, "place": pl.Int64, "state": pl.String},
}  # fmt: skip


class LogError(ValueError):
    """A folder that can't be read; its text says why."""


@dataclass(slots=True)
class Fleet:
    """What the logs of a fleet hold, as tables, and what was wrong with them."""

    tables: dict[str, pl.DataFrame]
    files: int
    faults: list[str] = field(default_factory=list)

    def only(self, hop: str) -> Fleet:
        """What concerns one next hop."""
        kept = {
            name: table.filter(pl.col("hop") == hop) if "hop" in table.columns else table.clear()
            for name, table in self.tables.items()
        }
        return Fleet(kept, self.files, self.faults)


def read_fleet(folder: Path) -> Fleet:
    """Reads every *.log of a folder; LogError where there is none or none has a line."""
    paths = sorted(folder.glob("*.log")) if folder.is_dir() else []
    if not paths:
        raise LogError(f"{folder}: no logs (*.log) there")
    rows: dict[str, list[tuple[object, ...]]] = {name: [] for name in SCHEMAS}
    faults: list[str] = []
    first = float("inf")
    for path in paths:
        raw = path.read_bytes()
        lines = raw.decode("utf-8", "replace").splitlines()
        odd = 0
        if raw and not raw.endswith(b"\n"):
            faults.append(f"{path.name}: cut off in its last line")
        for line in lines:
            match = LINE.match(line)
            if match is None:
                odd += 1
                continue
            first = min(first, float(match[1]))
            _sort(rows, float(match[1]), path.stem, match[2])
        if odd:
            faults.append(f"{path.name}: {odd} of {len(lines)} lines can't be read")
    if first == float("inf"):
        raise LogError(f"{folder}: not one line of {len(paths)} logs can be read")
    tables = {
        name: pl.DataFrame(rows[name], schema=schema, orient="row")
        .with_columns(pl.col("t") - first)
        .sort("t", maintain_order=True)
        for name, schema in SCHEMAS.items()
    }
    return Fleet(tables, len(paths), faults)


def _sort(rows: dict[str, list[tuple[object, ...]]], at: float, ingress: str, text: str) -> None:
    """Puts a line into the table it belongs to; the rest of a log is of no use here."""
    if text.startswith("tally "):
        for word in text.split()[1:]:
            count = COUNT.match(word)
            if count is not None:
                rows["tallies"].append((at, ingress, count[1], int(count[2])))
    elif text.startswith("hops "):
        for hop, _, counts in (word.partition("=") for word in text.split()[1:]):
            for name, _, number in (one.partition(":") for one in counts.split(",")):
                if number.isdigit():
                    rows["hops"].append((at, ingress, hop, name, int(number)))
    elif (end := END.match(text)) is not None:
        age, served = AGE.search(end[5]), SERVED.search(end[5])
        figures = (float(age[1]) if age else 0.0, int(served[1]) if served else 0)
        rows["ends"].append((at, ingress, end[1] or end[3], end[2] or "", end[4], *figures))
    elif (suspected := SUSPECTED.match(text)) is not None:
        why = "no answer" if suspected[2].startswith("no answer") else suspected[2]
        rows["suspicions"].append((at, ingress, suspected[1], why))
    elif (again := AGAIN.match(text)) is not None:
        rows["again"].append((at, ingress, again[1]))
    elif (own := OWN.match(text)) is not None:
        rows["views"].append((at, ingress, int(own[1]), "own"))
    elif (view := VIEW.match(text)) is not None:
        rows["views"].append((at, ingress, int(view[1]), view[2]))
    elif text.startswith(("starting ", "ready ", "stopping")):
        rows["process_states"].append((at, ingress, text.split()[0]))


def per_second(fleet: Fleet, width: int = 1) -> pl.DataFrame:
    """Over all ingresses and so many seconds: connections dialled and ended, watches, lives, suspicions.

    Dials are those whose end was logged; `dials.*` of the tally lines has them all.
    """
    ends = fleet.tables["ends"]
    hops = ends.filter(pl.col("side") == "nexthop")
    parts = [
        hops.select(t=pl.col("t") - pl.col("age"), name=pl.lit("dial")),
        hops.select("t", name=pl.lit("hop ") + _family(pl.col("reason"))),
        ends.filter(pl.col("side") == "routes").select(
            "t", name=pl.lit("routes ") + _family(pl.col("reason"))
        ),
        fleet.tables["process_states"].select("t", name=pl.col("state")),
        fleet.tables["suspicions"].select("t", name=pl.lit("suspect ") + pl.col("why")),
    ]
    return _spread(pl.concat(parts).with_columns(number=pl.lit(1, pl.Int64)), width)


def tallied(fleet: Fleet, width: int = 5) -> pl.DataFrame:
    """What the tally lines hold, over all ingresses; a line stands for the seconds before it."""
    return _spread(fleet.tables["tallies"].select("t", "name", "number"), width)


def hop_seconds(fleet: Fleet, width: int = 5) -> pl.DataFrame:
    """Branches by outcome and connections open, of each next hop, over all ingresses and so many seconds."""
    told = fleet.tables["hops"]
    if told.is_empty():
        return pl.DataFrame()
    slots = told.with_columns(second=(pl.col("t") // width).cast(pl.Int64) * width)
    # an ingress that says twice in a slot what is open, as at its end, has not opened it twice
    last = (pl.col("name") != "open") | pl.struct("second", "hop", "name", "ingress").is_last_distinct()
    summed = slots.filter(last).group_by("second", "hop", "name").agg(pl.col("number").sum()).sort("name")
    table = summed.pivot("name", index=["second", "hop"], values="number").fill_null(0)
    return table.sort("second", "hop")


def ups(fleet: Fleet) -> pl.DataFrame:
    """How many ingresses are starting and how many are up, after each of their lines about it.

    One that was killed counts as what it was until it starts again: its log can't tell.
    """
    before = pl.col("state").shift(1).over("ingress")
    steps = [
        ((pl.col("state") == word).cast(pl.Int64) - (before == word).fill_null(False).cast(pl.Int64))
        .cum_sum()
        .alias(name)
        for name, word in (("starting", "starting"), ("up", "ready"))
    ]
    return fleet.tables["process_states"].sort("t").select("t", *steps)


def differing(fleet: Fleet) -> pl.DataFrame:
    """Spans in which the ingresses' views of the fleet differed, and how many were held for present by each.

    One that nobody else holds for present, as it was killed, is not asked for its view.
    """
    own: dict[str, int] = {}
    held: dict[str, set[int]] = {}
    spans: list[tuple[float, float | None, str]] = []
    for row in fleet.tables["views"].iter_rows(named=True):
        ingress, place = row["ingress"], row["place"]
        if row["state"] == "own":
            own[ingress], held[ingress] = place, {place}
        elif ingress in held and place != own[ingress]:
            there = row["state"] in ("present", "suspected")
            (held[ingress].add if there else held[ingress].discard)(place)
        counted = [one for one in held if any(own[one] in held[other] for other in held if other != one)]
        differ = len({frozenset(held[one]) for one in counted}) > 1
        if differ and (not spans or spans[-1][1] is not None):
            spans.append((row["t"], None, ""))
        elif not differ and spans and spans[-1][1] is None:
            spans[-1] = (spans[-1][0], row["t"], spans[-1][2])
        if differ:
            sizes = " ".join(f"{one}:{len(held[one])}" for one in sorted(counted))
            spans[-1] = (spans[-1][0], None, sizes)
    schema = {"from": pl.Float64, "until": pl.Float64, "last": pl.String}
    return pl.DataFrame(spans, schema=schema, orient="row")


def _family(reason: pl.Expr) -> pl.Expr:
    """connect_failed:ECONNREFUSED and its like, without the number of the error."""
    return reason.str.replace(r"^(connect_failed|broken):.*$", "$1")


def _spread(events: pl.DataFrame, width: int) -> pl.DataFrame:
    if events.is_empty():
        return pl.DataFrame({"second": []}, schema={"second": pl.Int64})
    slots = events.with_columns(second=(pl.col("t") // width).cast(pl.Int64) * width)
    counted = slots.group_by("second", "name").agg(pl.col("number").sum())
    return counted.sort("name").pivot("name", index="second", values="number").fill_null(0).sort("second")


def per_hop(fleet: Fleet) -> pl.DataFrame:
    """Each next hop: connections ended, how many never came up, the most that were up at once, ingresses."""
    ends = fleet.tables["ends"].filter(pl.col("side") == "nexthop")
    failed = pl.col("reason").str.starts_with("connect_")
    table = ends.group_by("hop").agg(
        ingresses=pl.col("ingress").n_unique(),
        connections=pl.len(),
        failed=failed.sum(),
        served=pl.col("served").sum(),
        unused=(~failed & (pl.col("served") == 0)).sum(),
    )
    up = ends.filter(~failed)
    begun = up.select("hop", t=pl.col("t") - pl.col("age"), step=pl.lit(1, pl.Int64))
    steps = pl.concat([begun, up.select("hop", "t", step=pl.lit(-1, pl.Int64))]).sort("t", "step")
    open_ = steps.with_columns(open=pl.col("step").cum_sum().over("hop"))
    most = open_.group_by("hop").agg(most_open=pl.col("open").max())
    return table.join(most, on="hop", how="left").fill_null(0).sort("connections", descending=True)


def episodes(fleet: Fleet) -> pl.DataFrame:
    """Each time that a next hop was suspected: first, median and last ingress, and those that were wrong."""
    suspicions, again = fleet.tables["suspicions"], fleet.tables["again"]
    if suspicions.is_empty():
        return pl.DataFrame()
    gap = pl.col("t").diff().over("hop").fill_null(0.0) > EPISODE
    parts = suspicions.sort("hop", "t").with_columns(gap=gap)
    parts = parts.with_columns(episode=pl.col("gap").cast(pl.Int64).cum_sum().over("hop"))
    firsts = parts.unique(subset=["hop", "episode", "ingress"], keep="first", maintain_order=True)
    back = firsts.sort("t").join_asof(
        again.sort("t").select("t", "ingress", "hop", back=pl.col("t")),
        on="t", by=["ingress", "hop"], strategy="forward", check_sortedness=False,
    )  # fmt: skip
    soon = (pl.col("back") - pl.col("t")) <= TAKEN_BACK
    return (
        back.group_by("hop", "episode")
        .agg(
            first=pl.col("t").min(),
            median=pl.col("t").median(),
            last=pl.col("t").max(),
            ingresses=pl.col("ingress").n_unique(),
            taken_back=soon.fill_null(False).sum(),
            why=pl.col("why").mode().sort().first(),
        )
        .with_columns(wrong=(pl.col("ingresses") == 1) & (pl.col("taken_back") == 1))
        .drop("episode")
        .sort("first")
    )


TABLES: dict[str, tuple[str, Callable[[Fleet], pl.DataFrame]]] = {
    "per_second": ("Per second, all ingresses:", per_second),
    "tally": ("Tally lines, per 5 s, all ingresses:", tallied),
    "up": ("Ingresses starting and up:", ups),
    "hops": ("Next hops, those with most connections first:", per_hop),
    "hop_seconds": ("Branches and open connections by next hop, per 5 s:", hop_seconds),
    "views": ("Spans in which views of the fleet differed; the last sizes of each:", differing),
    "suspicions": ("Suspicions; wrong are those of one ingress alone, taken back at once:", episodes),
}


def report(fleet: Fleet, rows: int) -> str:
    """All tables as text, the longest cut to so many rows."""
    dials = pl.col("name").str.starts_with("dials.")
    dialled = fleet.tables["tallies"].filter(dials)["number"].sum()
    ended = fleet.tables["ends"].filter(pl.col("side") == "nexthop").height
    parts = [f"{fleet.files} logs", *(f"damaged: {fault}" for fault in fleet.faults)]
    parts.append(
        f"{dialled} dials counted, {ended} ends logged: the rest is open, or lost with a killed ingress."
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


def main(words: list[str] | None = None) -> int:
    """The command line; 2 where there is nothing to read."""
    parser = argparse.ArgumentParser(prog="lab.fleetlog", description="The logs of a fleet, added up.")
    parser.add_argument("folder", type=Path, help="a folder with one NAME.log an ingress")
    parser.add_argument("--rows", type=int, default=40, help="rows of a table at most (40)")
    parser.add_argument("--hop", help="only what concerns this next hop")
    parser.add_argument("--csv", type=Path, help="a folder for the tables, whole, as CSV")
    given = parser.parse_args(words)
    try:
        fleet = read_fleet(given.folder)
    except LogError as error:
        sys.stderr.write(f"fleetlog: {error}\n")
        return 2
    fleet = fleet.only(given.hop) if given.hop else fleet
    print(report(fleet, given.rows))
    if given.csv is not None:
        given.csv.mkdir(parents=True, exist_ok=True)
        for name, (_, table) in TABLES.items():
            table(fleet).write_csv(given.csv / f"{name}.csv")
    return 0


if __name__ == "__main__":
    sys.exit(main())
