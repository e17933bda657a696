"""Aggregation of a fleet's logs, on logs with known sums."""

from __future__ import annotations

from pathlib import Path

import pytest

from lab.fleetlog import (
    LogError,
    connections_per_hop,
    hop_totals,
    main,
    membership_differences,
    per_second,
    read_fleet,
    starting_and_ready,
    suspicion_episodes,
    tally_totals,
)

N0 = """1796148000.000 starting n0
0.5 1796148000.500 ready n0 on 127.0.0.1:7001
1796148002.000 end nexthop s-1 idle served=3 age=1.00
1796148002.500 end nexthop s-1 connect_failed:ECONNREFUSED served=0 age=0.00
1796148003.000 module: backend s-1 suspected: no answer for 1.20 s
1796148004.000 module: backend s-1 answers again
1796148004.200 end routes status:503 age=0.01
1796148005.000 tally branch.ok=5 dials.first=4 refused.room=2
1796148005.100 hops s-1=ok:3,open:2 s-2=ok:2
1796148006.000 hops s-1=open:1
"""
N1 = """1796148001.000 starting n1
1796148001.800 end nexthop s-1 broken:ECONNRESET served=2 age=0.30
1796148003.500 module: backend s-2 suspected: connect_failed
1796148004.500 module: backend s-2 suspected: connect_failed
1796148005.500 module: backend s-1 suspected: reset
1796148006.000 tally branch.ok=7 dials.first=1
1796148006.000 hops s-1=full:1,ok:7,open:4
"""


def write(folder: Path, **logs: str) -> Path:
    for name, text in logs.items():
        (folder / f"{name}.log").write_text(text)
    return folder


def test_the_sums_over_ingresses(tmp_path: Path) -> None:
    fleet = read_fleet(write(tmp_path, n0=N0, n1=N1))
    assert (fleet.files, fleet.faults) == (2, [])
    seconds = {row["second"]: row for row in per_second(fleet).to_dicts()}
    assert (seconds[0]["starting"], seconds[0]["ready"], seconds[1]["starting"]) == (1, 1, 1)
    assert (seconds[2]["hop idle"], seconds[2]["hop connect_failed"], seconds[1]["hop broken"]) == (1, 1, 1)
    assert (seconds[4]["routes status:503"], seconds[3]["suspect connect_failed"]) == (1, 1)
    assert tally_totals(fleet).to_dicts() == [
        {"second": 5, "branch.ok": 12, "dials.first": 5, "refused.room": 2}
    ]
    assert hop_totals(fleet).to_dicts()[0] == {"second": 5, "hop": "s-1", "full": 1, "ok": 10, "open": 5}
    assert [(row["starting"], row["up"]) for row in starting_and_ready(fleet).to_dicts()] == [
        (1, 0),
        (0, 1),
        (1, 1),
    ]
    assert fleet.only("s-2").tables["ends"].is_empty()
    assert len(hop_totals(fleet.only("s-2"))) == 1
    hop = connections_per_hop(fleet).to_dicts()[0]
    assert hop == {
        "hop": "s-1", "ingresses": 2, "connections": 3, "failed": 1, "served": 5, "unused": 0, "most_open": 2,
    }  # fmt: skip


def test_first_suspicion_and_false_suspicions(tmp_path: Path) -> None:
    log = N1 + "1796148030.000 module: backend s-2 suspected: no answer for 2.00 s\n"
    log += "1796148031.000 module: backend s-2 answers again\n"
    found = suspicion_episodes(read_fleet(write(tmp_path, n0=N0, n1=log))).to_dicts()
    assert [(e["hop"], e["first"], e["last"], e["ingresses"], e["wrong"]) for e in found] == [
        ("s-1", 3.0, 5.5, 2, False),  # a second ingress suspected it too
        ("s-2", 3.5, 3.5, 1, False),  # twice by one ingress, never ended
        ("s-2", 30.0, 30.0, 1, True),
    ]


def test_readable_lines_of_a_damaged_log_are_used(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    write(
        tmp_path,
        n0=N0[:-30] + "1796148005.2 hops s-1 =ok: s-3=ok:x,",
        n1="\0\0\x1b garbage\n" + N1 + "1796148009.000 tally odd=x =3 dials.first=9999\n",
    )
    assert main([str(tmp_path), "--csv", str(tmp_path / "csv")]) == 0
    output = capsys.readouterr().out
    assert "damaged: n0.log: cut off in its last line" in output
    assert "damaged: n1.log: 1 of 9 lines can't be read" in output
    assert sorted(path.name for path in (tmp_path / "csv").iterdir()) == [
        "hop_seconds.csv", "hops.csv", "per_second.csv", "suspicions.csv", "tally.csv", "up.csv", "views.csv",
    ]  # fmt: skip


def test_without_logs_it_prints_one_line_and_returns_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    for folder in (tmp_path, tmp_path / "missing"):
        assert main([str(folder)]) == 2
        assert capsys.readouterr().err.count("\n") == 1
    write(tmp_path, n0="noise\n")
    with pytest.raises(LogError):
        read_fleet(tmp_path)


def test_periods_of_differing_membership(tmp_path: Path) -> None:
    line = "1796148{t:03}.000 fleet: {text}\n"

    def log(member_id: int, *changes: tuple[int, str]) -> str:
        own = line.format(t=0, text=f"this is place {member_id} of 3 in lab")
        return own + "".join(line.format(t=t, text=f"place {text}, 3 present") for t, text in changes)

    alive = "unknown -> present (datagram received)"
    logs = {
        "n0": log(
            0, (1, f"1: {alive}"), (2, f"2: {alive}"), (9, "2: suspected -> gone (suspicion timed out)")
        ),
        "n1": log(1, (1, f"0: {alive}"), (3, f"2: {alive}"), (8, "2: suspected -> gone (reported by 0)")),
        "n2": log(2, (2, f"0: {alive}"), (2, f"1: {alive}")),  # killed at 5, so it logs nothing more
    }
    spans = membership_differences(read_fleet(write(tmp_path, **logs))).rows()
    assert [(round(begin), round(end)) for begin, end, _ in spans[-2:]] == [(2, 3), (8, 9)]
    assert spans[-1][2] == "n0:3 n1:2 n2:3"
