"""Plots a soak run: requests by outcome, process runs, signals and backend faults over time."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt
import polars as pl

COLOURS = {"served": "tab:green", "refused": "tab:blue", "failed": "tab:orange", "open": "tab:red"}


def draw(table: pl.DataFrame, title: str, path: Path) -> None:
    """Draws one band per process run of an ingress, and below them one per backend."""
    process_runs = table.filter(pl.col("what") == "life").sort("member", "life")
    band_heights = {
        (row["member"], row["life"]): n for n, row in enumerate(process_runs.iter_rows(named=True))
    }
    figure, axes = plt.subplots(figsize=(12, 2 + 0.5 * (len(band_heights) + 3)))
    for row in process_runs.iter_rows(named=True):
        end = row["until"] if row["until"] is not None else row["t"]
        axes.hlines(band_heights[row["member"], row["life"]], row["t"], end, color="lightgrey", linewidth=8)
    for end, colour in COLOURS.items():
        asked = table.filter((pl.col("what") == "asked") & (pl.col("end") == end))
        heights = [band_heights[row["member"], row["life"]] for row in asked.iter_rows(named=True)]
        axes.plot(asked["t"], heights, "|", color=colour, label=f"{end} ({asked.height})", markersize=9)
    for row in table.filter(pl.col("what") == "signal").iter_rows(named=True):
        height = band_heights[row["member"], row["life"]]
        axes.annotate(row["detail"].removeprefix("SIG"), (row["t"], height + 0.2), fontsize=6, rotation=45)
    for row in table.filter(pl.col("what") == "backend").iter_rows(named=True):
        axes.hlines(-1 - row["backend"], row["t"], row["until"], color="tab:purple", linewidth=5)
        axes.annotate(row["detail"], (row["t"], -1 - row["backend"]), fontsize=7)
    for row in table.filter(pl.col("what") == "starved").iter_rows(named=True):
        axes.axvspan(row["t"], row["until"], color="tab:red", alpha=0.2)
    names = {height: f"n{member} life {life}" for (member, life), height in band_heights.items()}
    backends = {-1 - n: f"backend {n}" for n in range(3)}
    axes.set_yticks([*names, *backends], [*names.values(), *backends.values()])
    axes.set_xlabel("seconds")
    axes.set_title(title, fontsize=9)
    axes.legend(loc="upper right", fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    plt.close(figure)
