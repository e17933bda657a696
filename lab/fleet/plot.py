"""Plots a run: requests a second by outcome, how many members each considers alive, and the steps."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt
import polars as pl


def draw(table: pl.DataFrame, offset: float, path: Path) -> None:
    """`offset`: time at which the schedule began, in seconds of the record."""
    table = table.with_columns(t=pl.col("t") - offset)
    asked = table.filter(pl.col("what") == "asked")
    figure, (above, below) = plt.subplots(2, 1, sharex=True, figsize=(10, 6), height_ratios=(3, 2))
    until = max(1.0, *asked["t"].to_list())
    seconds = list(range(int(until) + 1))
    for end in ("served", "refused", "failed", "lost", "down"):
        counts = Counter(int(at) for at in asked.filter(pl.col("end") == end)["t"])
        if counts:
            above.step(seconds, [counts[second] for second in seconds], where="post", label=end)
    above.set_ylabel("requests a second")
    above.legend(loc="upper left", fontsize="small")
    held: dict[int, set[int]] = {}
    lines: dict[int, tuple[list[float], list[int]]] = {}
    for row in table.filter(pl.col("what").is_in(["began", "ended", "view"])).iter_rows(named=True):
        member = row["member"]
        if row["what"] == "began":
            held[member] = {member}
        elif row["what"] == "ended":
            held[member] = set()
        elif row["state"] in ("present", "suspected"):
            held[member].add(row["place"])
        else:
            held[member].discard(row["place"])
        times, sizes = lines.setdefault(member, ([], []))
        times.append(row["t"])
        sizes.append(len(held[member]))
    for member, (times, sizes) in sorted(lines.items()):
        shift = 0.06 * member  # keeps lines of equal value apart
        steps = [size + shift for size in [*sizes, sizes[-1]]]
        below.step([*times, until], steps, where="post", label=f"n{member}", linewidth=1)
    below.set_ylabel("held for present by each")
    below.set_xlabel("seconds")
    below.set_xlim(-1.0, until)
    below.legend(loc="lower left", fontsize="x-small", ncols=4)
    seen: dict[tuple[float, str], list[str]] = {}
    for row in table.filter(pl.col("what") == "step").iter_rows(named=True):
        named = "" if row["member"] is None else str(row["member"])
        seen.setdefault((row["t"], row["state"]), []).append(named)
    for (at, what), members in seen.items():
        for axes in (above, below):
            axes.axvline(at, color="grey", linewidth=0.8, linestyle=":")
        above.text(
            at, 1.01, f"{what} {' '.join(members)}", transform=above.get_xaxis_transform(), fontsize="small"
        )
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)
