"""The whole program over sockets: the tests act as client, next hop and discovery."""

import json
import signal
import socket
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path

import polars as pl
import pytest

from lab.fleetlog import read_fleet
from standflow.assembly import Ingress
from standflow.config import read
from standflow.net.loop import Loop
from standflow.net.nexthop import COOL_DOWN
from tests.test_adapter import ROOT
from tests.wire import (
    LIMIT,
    command,
    config,
    listener,
    member,
    program,
    read_until,
    run_until,
    with_deadline,
)

VALUE = b"*3\r\n$5\r\nva\r\nl\r\n$-1\r\n$-1\r\n"
ANSWER = b"$5\r\nva\r\nl\r\n"


def known(hop: socket.socket) -> dict[str, object]:
    return {"revision": 1, "complete": True, "members": [member(hop.getsockname())]}


def accepted(hop: socket.socket) -> socket.socket:
    sock = hop.accept()[0]
    sock.settimeout(LIMIT)
    return sock


def test_the_example_configuration_starts_and_refuses_with_a_retry_time(tmp_path: Path) -> None:
    raw = json.loads((ROOT / "deploy" / "example.json").read_text()) | {"listen": "127.0.0.1:0"}
    raw["known"]["members"] = []
    with program(tmp_path, raw) as running:
        client = running.call()
        client.sendall(command("aa01", kind="view").replace(b"t=plain", b"t=basic"))
        answer = read_until(client, b"\r\n")
        assert answer.startswith(b"-BUSY ")
        assert 0 < int(answer[6:]) <= 500


def test_a_command_is_forwarded_and_its_value_returned_byte_for_byte(tmp_path: Path) -> None:
    with listener() as hop, program(tmp_path, config(known=known(hop))) as running:
        client = running.call()
        client.sendall(b"*1\r\n$4\r\nPING\r\n" + command("aa01", body=b"b\r\nd"))
        assert read_until(client, b"\r\n") == b"+PONG\r\n"
        at_hop = accepted(hop)
        got = read_until(at_hop, b"$4\r\nb\r\nd\r\n")
        assert got.startswith(b"*5\r\n$5\r\nQ.ASK\r\n$16\r\n00000000b4d65521\r\n$4\r\naa01\r\n")
        assert b"c=look,t=plain,d=" in got
        assert b",k=a7,units=1,spread=1,first=0\r\n" in got
        assert int(got.split(b",d=")[1].split(b",")[0]) <= 3000
        at_hop.sendall(VALUE)
        assert read_until(client, b"l\r\n") == ANSWER
        client.close()
        assert running.logged(r"end caller peer_closed answered=2")


@pytest.mark.parametrize(
    ("sent", "answer"),
    [
        (command("aa01", kind="other"), b"-ERR unknown class\r\n"),
        (command("aa01").replace(b"t=plain", b"t=other"), b"-ERR unknown plan\r\n"),
        (command("aa01", kind="change"), b"-ERR the class goes with the other command\r\n"),
        (command("aa01").replace(b"units=1", b"units=n"), b"-ERR bad number\r\n"),
        (command("aa01").replace(b"00000000b4", b"0000000zb4"), b"-ERR bad customer\r\n"),
        # an invalid set would be remembered as the ring of the tenant
        (command("aa01").replace(b"spread=1", b"spread=7"), b"-ERR the set is out of range\r\n"),
        (command("aa01").replace(b"first=0", b"first=1"), b"-ERR the set is out of range\r\n"),
        (command("aa01").replace(b"units=1", b"units=9"), b"-ERR units are out of range\r\n"),
        (command("aa01").replace(b"units=1", b"units=0"), b"-ERR bad number\r\n"),
        (command("aa01").replace(b"d=3000", b"d=-300"), b"-ERR bad number\r\n"),
        (b"*1\r\n$4\r\nNOPE\r\n", b"-ERR unknown command\r\n"),
    ],
)
def test_an_invalid_command_gets_an_error_and_the_next_is_read(
    tmp_path: Path, sent: bytes, answer: bytes
) -> None:
    with program(tmp_path, config()) as running:
        client = running.call()
        client.sendall(sent + b"*1\r\n$4\r\nPING\r\n")
        assert read_until(client, b"+PONG\r\n") == answer + b"+PONG\r\n"


@pytest.mark.parametrize(
    "sent", [b"GET / HTTP/1.1\r\n", b"*99999\r\n", b"*1\r\n$70000\r\n", b"*1\r\n$-3\r\n", b"*x\r\n"]
)
def test_lost_framing_closes_only_that_connection(tmp_path: Path, sent: bytes) -> None:
    with program(tmp_path, config()) as running:
        client, other = running.call(), running.call()
        client.sendall(sent)
        assert read_until(client, b"\r\n").startswith(b"-ERR ")
        assert client.recv(10) == b""
        other.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert read_until(other, b"\r\n") == b"+PONG\r\n"
        assert running.logged("end caller bad_framing")


def test_at_the_limit_idle_connections_are_closed_for_new_ones(tmp_path: Path) -> None:
    with program(tmp_path, config(limits={"sockets": 64})) as running:
        half, connections = running.call(), []
        half.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert read_until(half, b"\r\n") == b"+PONG\r\n"
        half.sendall(command("aa01", body=b"b" * 9)[:-20])
        for _ in range(40):
            connections.append(running.call())
            connections[-1].sendall(b"*1\r\n$4\r\nPING\r\n")
            assert read_until(connections[-1], b"\r\n") == b"+PONG\r\n"
        assert connections[0].recv(10) == b""
        half.sendall(command("aa01", body=b"b" * 9)[-20:])  # a connection with a partial command is not idle
        assert read_until(half, b"\r\n").startswith(b"-BUSY")
        running.terminate()
        running.logged("stopped")
        assert running.log.count("end caller cap") == 24  # of 41, 17 fit


def test_a_framing_error_arrives_though_much_more_was_sent(tmp_path: Path) -> None:
    with program(tmp_path, config()) as running:
        client = running.call()
        client.sendall(b"nonsense" * 30_000)  # a reset caused by unread bytes would discard the answer
        assert read_until(client, b"\r\n").startswith(b"-ERR ")
        assert client.recv(10) == b""


def test_the_id_of_an_open_request_is_refused_for_another_one(tmp_path: Path) -> None:
    """A next hop tells requests apart by id: the second one interfered with the first."""
    with listener() as hop, program(tmp_path, config(known=known(hop))) as running:
        client, other = running.call(), running.call()
        client.sendall(command("aa01"))
        at_hop = accepted(hop)
        read_until(at_hop, b"first=0\r\n")
        other.sendall(command("aa01", "Q.DO", "change"))
        assert read_until(other, b"\r\n") == b"-ERR the id is another open request's\r\n"
        at_hop.sendall(VALUE)
        assert read_until(client, b"l\r\n") == ANSWER
        time.sleep(2 * COOL_DOWN)  # a connection is quarantined after an answer
        other.sendall(command("aa01"))  # the request is over: its id may be used again
        read_until(at_hop, b"first=0\r\n")
        at_hop.sendall(VALUE)
        assert read_until(other, b"l\r\n") == ANSWER


def test_an_unsafe_command_cut_off_after_its_last_byte_fails_and_is_not_sent_again(tmp_path: Path) -> None:
    with listener() as hop, program(tmp_path, config(known=known(hop))) as running:
        client = running.call()
        client.sendall(command("aa01", "Q.DO", "change"))
        at_hop = accepted(hop)
        read_until(at_hop, b"first=0\r\n")
        at_hop.close()
        assert read_until(client, b"\r\n") == b"-ERR failed\r\n"
        hop.setblocking(False)
        with pytest.raises(BlockingIOError):
            hop.accept()


def test_a_pooled_connection_closed_by_the_next_hop_gets_no_command(tmp_path: Path) -> None:
    with listener() as hop, program(tmp_path, config(known=known(hop))) as running:
        client = running.call()
        client.sendall(command("aa01", "Q.DO", "change"))
        at_hop = accepted(hop)
        read_until(at_hop, b"first=0\r\n")
        at_hop.sendall(VALUE)
        read_until(client, ANSWER)
        at_hop.close()
        assert running.logged("end nexthop s-1 peer_closed served=1")
        client.sendall(command("aa02", "Q.DO", "change"))
        at_hop = accepted(hop)
        read_until(at_hop, b"first=0\r\n")
        at_hop.sendall(VALUE)
        assert read_until(client, b"l\r\n") == ANSWER


def test_after_sigterm_open_requests_are_served_before_the_exit(tmp_path: Path) -> None:
    with listener() as hop, program(tmp_path, config(known=known(hop))) as running:
        busy, idle = running.call(), running.call()
        idle.sendall(b"*1\r\n$4\r\nPING\r\n")
        read_until(idle, b"\r\n")
        busy.sendall(command("aa01"))
        at_hop = accepted(hop)
        read_until(at_hop, b"first=0\r\n")
        running.terminate()
        assert idle.recv(10) == b""
        at_hop.sendall(VALUE)
        assert read_until(busy, b"l\r\n") == ANSWER
        assert busy.recv(10) == b""
        assert running.process.wait(LIMIT) == 0
        running.logged("end nexthop s-1 shutdown")
        running.logged("stopped")


@pytest.mark.parametrize("deadline", [0.3, 0.8, 3.0, 5.0])
def test_after_sigterm_new_connections_are_accepted_for_a_short_time_and_served(deadline: float) -> None:
    log: list[str] = []
    loop = Loop(log.append)
    ingress = Ingress(read(with_deadline(config(), deadline), log.append), loop, log.append)
    ingress.clients.ready = True
    before = loop.now()
    ingress.stop()
    ends = [when for when, _, timer in loop.timers if timer.call == ingress.shutdown._stop_accepting]
    assert ends[0] >= before + 0.4
    with socket.create_connection(ingress.clients.address) as late:
        late.settimeout(LIMIT)
        late.sendall(b"*1\r\n$4\r\nPING\r\n")
        run_until(loop, lambda: loop.stopped)  # the end of the connection completes the shutdown
        assert read_until(late, b"\r\n") == b"+PONG\r\n"
        assert late.recv(10) == b""
    ingress.close()
    loop.epoll.close()


def test_discovery_drains_a_next_hop_and_a_broken_watch_resumes_at_its_revision(tmp_path: Path) -> None:
    def watch(agent: socket.socket, lines: str) -> tuple[socket.socket, bytes]:
        sock = accepted(agent)
        asked = read_until(sock, b"\r\n\r\n")
        body = lines.encode()
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        sock.sendall(head + b"%x\r\n%b\r\n" % (len(body), body) if body else head)
        return sock, asked

    with listener() as hop, listener() as agent:
        address = agent.getsockname()
        raw = config(known=known(hop), discovery=f"{address[0]}:{address[1]}")
        with program(tmp_path, raw) as running:
            draining = member(hop.getsockname(), "DRAINING")
            change = {"revision": 6, "complete": False, "members": [draining, 3]}
            sock, asked = watch(agent, json.dumps(change) + "\n\n")
            assert b"since=1 " in asked
            assert running.logged("a member was passed over")
            assert sock.recv(10) == b""
            change = {"revision": 7, "complete": True, "members": [draining, 3]}
            sock, asked = watch(agent, json.dumps(change, indent=2) + "\n\n")
            assert b"since" not in asked  # the unparsed member would not be sent again
            client = running.call()
            client.sendall(command("aa01"))
            assert read_until(client, b"\r\n").startswith(b"-BUSY")  # no next hop is serving
            sock.close()
            sock, asked = watch(agent, "no json\n")
            assert b"since=7 " in asked
            assert running.logged("end routes bad_json")
            change = {"revision": 8, "complete": True, "members": [member(hop.getsockname())]}
            sock, asked = watch(agent, json.dumps(change) + "\n")
            assert b"since=7 " in asked


def test_a_reload_moves_the_watch_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    """Without a handler SIGHUP would end the process, and with it all unanswered requests."""

    def report(sock: socket.socket, revision: int, phase: str) -> None:
        body = json.dumps({"revision": revision, "complete": False, "members": [member(at, phase)]}) + "\n"
        head = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        sock.sendall(f"{head}{len(body):x}\r\n{body}\r\n".encode())

    def reload(raw: object) -> None:
        (tmp_path / "config.json").write_text(raw if isinstance(raw, str) else json.dumps(raw))
        running.process.send_signal(signal.SIGHUP)

    with listener() as hop, listener() as old, listener() as new:
        at = hop.getsockname()
        raw = config(known=known(hop), discovery=f"127.0.0.1:{old.getsockname()[1]}")
        with program(tmp_path, raw) as running:
            first = accepted(old)
            read_until(first, b"\r\n\r\n")
            report(first, 7, "SERVING")
            client = running.call()
            client.sendall(command("aa01", "Q.DO", "change"))
            at_hop = accepted(hop)
            read_until(at_hop, b"first=0\r\n")
            for bad, named in [("{", "EDGE_CONFIG"), (raw | {"discovery": "nowhere"}, "discovery")]:
                reload(bad)
                assert running.logged(f"reload: {named}: .*; nothing was changed")
            reload(
                raw
                | {"discovery": f"127.0.0.1:{new.getsockname()[1]}", "counter": "127.0.0.1:9", "name": "x"}
            )
            second = accepted(new)
            assert b"since=7 " in read_until(second, b"\r\n\r\n")
            assert running.logged("end routes moved")
            assert running.logged("reload: name: takes a restart to change")
            assert first.recv(10) == b""
            report(second, 8, "DRAINING")
            at_hop.sendall(VALUE)  # a request that was open at the signal is served
            assert read_until(client, b"l\r\n") == ANSWER
            assert running.logged("end nexthop s-1 drained")


@pytest.mark.parametrize(
    ("raw", "key"),
    [
        ("{", "EDGE_CONFIG"),
        (config(listen="nowhere"), "listen"),
        (config(seed="xyz"), "seed"),
        (config(known={"members": 1}), "known"),
        (config(settings={}), "settings: Caps"),
        (config(limits={"sockets": -1}), "limits.sockets"),
        (config(settings=config()["settings"] | {"Balancers": 30_000_000}), "settings: Balancers"),
        (
            json.dumps(config()).replace('"PeerIntake": ', '"PeerIntake": NaN, "Was": '),
            "settings: PeerIntake",
        ),
    ],
)
def test_an_invalid_configuration_names_its_key_and_exits_with_2(
    tmp_path: Path, raw: object, key: str
) -> None:
    with program(tmp_path, raw) as running:
        assert running.process.wait(LIMIT) == 2
        assert running.process.stderr is not None
        text = running.process.stderr.read().decode()
        assert text.startswith(f"standflow: {key}")
        assert text.count("\n") == 1


def test_the_module_decides_before_the_deadline_timer_however_short_the_tick_is(tmp_path: Path) -> None:
    """With a tick of 1 ms the exchange answered each request that timed out, and logged it as a fault."""
    raw = config()
    raw["settings"]["TickUs"] = 1000
    with listener() as hop, program(tmp_path, raw | {"known": known(hop)}) as running:
        client = running.call()
        client.sendall(command("aa01", d=300))
        at_hop = accepted(hop)  # which never answers
        assert read_until(client, b"\r\n").startswith(b"-ERR")
        at_hop.close()
        running.terminate()
        running.logged("stopped")
        assert "not decided in time" not in running.log


def test_the_tally_lines_cover_what_an_ingress_did(tmp_path: Path) -> None:
    """Read with the tool that adds up the logs of a fleet."""
    with listener() as hop, program(tmp_path, config(known=known(hop))) as running:
        client = running.call()
        client.sendall(command("aa01"))
        at_hop = accepted(hop)
        read_until(at_hop, b"first=0\r\n")
        at_hop.sendall(VALUE)
        assert read_until(client, b"l\r\n") == ANSWER
        at_hop.close()
        hop.close()
        client.sendall(command("aa02"))  # nothing listens there any more
        assert read_until(client, b"\r\n").startswith(b"-BUSY")
        client.close()
        running.terminate()
        running.logged("stopped")
    (tmp_path / "n0.log").write_text(running.log)
    fleet = read_fleet(tmp_path)
    assert [row["state"] for row in fleet.tables["process_states"].to_dicts()] == [
        "starting",
        "ready",
        "stopping",
    ]
    counts = Counter[str]()
    for row in fleet.tables["tallies"].to_dicts():  # an interval of the tally may end within the test
        counts[row["name"]] += row["number"]
    assert {name: number for name, number in counts.items() if not name.startswith("routes.")} == {
        "taken": 2, "answer.served": 1, "answer.refused": 1, "refused.again": 1,
        "branch.ok": 1, "branch.connect_failed": 1, "dials.first": 2,
    }  # fmt: skip
    hops = fleet.tables["hops"].filter(pl.col("name") != "open").to_dicts()
    assert sorted((row["hop"], row["name"], row["number"]) for row in hops) == [
        ("s-1", "connect_failed", 1), ("s-1", "ok", 1),
    ]  # fmt: skip


def test_thousands_of_next_hops_and_unknown_settings_are_tolerated() -> None:
    members = [member(("127.0.0.1", 1)) | {"id": f"s-{n}"} for n in range(5000)]
    raw = config(known={"revision": 1, "complete": True, "members": [*members, 7, {"id": ""}]})
    raw["settings"] |= {"Unknown": {"Deep": [1]}, "Caps": raw["settings"]["Caps"] | {"NewKey": "x"}}
    log: list[str] = []
    loop = Loop(log.append)
    ingress = Ingress(read(raw, log.append), loop, log.append)
    assert sum("a member was passed over" in line for line in log) == 2
    ingress.start()
    assert len(ingress.next_hops.hops) == len(ingress.driver.module.backend_order) == 5000
    ingress.clients.ready = True
    with socket.create_connection(ingress.clients.address) as connection:
        connection.settimeout(LIMIT)
        # Nothing listens there: every attempt fails, and one answer is given.
        connection.sendall(command("00000000000000aa"))
        run_until(loop, lambda: any("connect_failed" in line for line in log))
        run_until(loop, lambda: ingress.tally.counts.get("answer.refused", 0) == 1)
        assert read_until(connection, b"\r\n").startswith(b"-BUSY")
    known = ingress.config.initial_routes
    assert known is not None
    ingress.next_hops.update_routes(replace(known, routes=()))
    ingress.driver.routes_updated(replace(known, routes=()))
    assert not ingress.driver.module.backends
    run_until(loop, lambda: not ingress.next_hops.hops)
    ingress.close()
    loop.epoll.close()
