"""Handover between two processes of one ingress: state files, roles, state, and no failed requests."""

from __future__ import annotations

import errno
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hoistfold import handover
from hoistfold import interface as i
from hoistfold.gateway import Gateway
from hoistfold.state import COUNTS_PER_UNIT
from lab.accept import Acceptor
from standflow.assembly import Ingress
from standflow.config import load as load_config
from standflow.driver import Driver
from standflow.executed_ids import ExecutedIds
from standflow.net.loop import Loop
from standflow.net.peers import Peers
from standflow.upgrade import files as upgrade_files
from standflow.upgrade.files import MAX_FILE_BYTES, StateFiles, next_generation, pack, unpack
from standflow.upgrade.handover import HEARTBEAT_SECONDS, Handover, HandoverCallbacks
from standflow.upgrade.roles import LIVENESS_SECONDS, STATE_TIMEOUT_SECONDS, ProcessStatus, Role, Stage
from tests.planted_faults import fail
from tests.test_driver import ScriptedDriver
from tests.test_ops import PING, VALUE, ask, with_ops
from tests.wire import LIMIT, Program, command, config, member, program, read_until, run_until
from tests.world import PeerNetwork, backend, listed, request, sends, started

# Files.


def test_torn_foreign_and_oversized_files_are_ignored_and_the_others_read(tmp_path: Path) -> None:
    log: list[str] = []
    one, other = (
        StateFiles(f"{tmp_path}", "n0", 5, log.append),
        StateFiles(f"{tmp_path}", "n0", 7, log.append),
    )
    one.write({"generation": 5, "at": 1})
    assert other.others() == {5: {"generation": 5, "at": 1}}
    whole = pack({"generation": 6, "words": ["a" * 50]})
    for cut in range(len(whole)):
        with pytest.raises(ValueError, match="."):
            unpack(whole[:cut])
        with pytest.raises(ValueError, match="."):
            unpack(whole[:cut] + bytes([whole[cut] ^ 1]) + whole[cut + 1 :])
    stem = tmp_path / "standflow-n0-"
    Path(f"{stem}6.state").write_bytes(whole[:-1])
    Path(f"{stem}8.state").write_bytes(pack({"generation": 9}))
    Path(f"{stem}10.state").write_bytes(b"x" * (MAX_FILE_BYTES + 1))
    Path(f"{stem}x.state").write_bytes(whole)
    (tmp_path / "standflow-n1-5.state").write_bytes(pack({"generation": 5}))
    for _ in range(3):  # a file that is invalid in two reads is logged once
        assert list(other.others()) == [5]
    assert sorted(line.split(": ")[2] for line in log) == ["another process's", "too large", "torn"]
    for number in range(upgrade_files.MAX_FILES + 5):
        Path(f"{stem}{100 + number}.state").write_bytes(pack({"generation": 100 + number}))
    assert len(other.others()) <= upgrade_files.MAX_FILES


def test_a_file_is_written_in_place_and_a_partial_write_keeps_the_previous_record(
    tmp_path: Path,
) -> None:
    log: list[str] = []
    one, other = (
        StateFiles(f"{tmp_path}", "n0", 5, log.append),
        StateFiles(f"{tmp_path}", "n0", 7, log.append),
    )
    one.write({"generation": 5, "words": ["long"] * 50})
    path, first = one.path, one.path.stat().st_ino
    assert other.others()[5]["words"] == ["long"] * 50
    one.write({"generation": 5, "words": ["b"]})  # shorter, and possibly with the same mtime
    assert other.others()[5]["words"] == ["b"]
    assert path.stat().st_ino == first
    whole = pack({"generation": 5, "words": ["new"]})
    path.write_bytes(whole[:-5])
    assert other.others()[5]["words"] == ["b"]
    path.write_bytes(whole)
    assert other.others()[5]["words"] == ["new"]
    path.write_bytes(whole[:-5])
    assert [other.others().get(5, {}).get("words") for _ in range(3)] == [["new"], None, None]
    assert len(log) == 1


@pytest.mark.parametrize("fails", ["pwrite", "replace", "open"])
def test_a_failed_write_is_made_up_for_by_the_next_one(
    fails: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a failure the writer continued with the temporary file that never replaced its own."""
    log: list[str] = []
    one, other = (
        StateFiles(f"{tmp_path}", "n0", 5, log.append),
        StateFiles(f"{tmp_path}", "n0", 7, log.append),
    )

    def failing(*arguments: Any) -> Any:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    with monkeypatch.context() as patch:
        patch.setattr(os, fails, failing)
        one.write({"generation": 5, "words": ["lost"]})
    assert len(log) == 1
    assert other.others() == {}
    for text in ("a", "b"):
        one.write({"generation": 5, "words": [text]})
        assert other.others()[5]["words"] == [text]
    with monkeypatch.context() as patch:
        patch.setattr(os, fails, failing)
        one.write({"generation": 5, "words": ["c"]})
    one.write({"generation": 5, "words": ["d"]})
    assert other.others()[5]["words"] == ["d"]


def test_a_file_is_complete_however_short_the_writes_are(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    one, other = (StateFiles(f"{tmp_path}", "n0", number, lambda line: None) for number in (5, 7))
    pwrite = os.pwrite
    monkeypatch.setattr(os, "pwrite", lambda fd, data, at: pwrite(fd, data[:7], at))
    for text in ("a", "b"):
        one.write({"generation": 5, "words": [text]})
        assert other.others()[5]["words"] == [text]


def test_a_process_started_after_the_clock_was_set_back_is_the_newer_one(tmp_path: Path) -> None:
    now, hour = time.time_ns(), 3600 * 10**9
    assert next_generation(f"{tmp_path}", "n0", now) == now
    (tmp_path / f"standflow-n0-{now + hour}.state").write_bytes(b"")
    (tmp_path / "standflow-n0-99999999999999999999.state").write_bytes(b"")  # not a valid generation
    (tmp_path / f"standflow-n1-{now + 2 * hour}.state").write_bytes(b"")
    assert next_generation(f"{tmp_path}", "n0", now) == now + hour + 1
    assert next_generation(f"{tmp_path}/nowhere", "n0", now) == now


# Roles.


STEPS = st.tuples(st.sampled_from(["start", "start", "able", "able", "die", "wait"]), st.integers(0, 3))


@given(st.lists(STEPS, min_size=12, max_size=40))
def test_only_the_newest_ready_process_serves_whichever_one_dies(steps: list[tuple[str, int]]) -> None:
    """Model: processes as files in one folder, all stepped after each event until nothing changes."""
    now, roles, dead = 100.0, dict[int, Role](), set[int]()

    def settle() -> None:
        for _ in range(12):
            for generation, role in roles.items():
                if generation not in dead:
                    seen = [
                        ProcessStatus(g, now - (LIVENESS_SECONDS + 1) * (g in dead), r.stage, r.handed_to)
                        for g, r in roles.items()
                        if g != generation
                    ]
                    what = role.step(seen, now)
                    if what == "take":
                        assert any(s.handed_to == generation and s.stage is Stage.HANDED for s in seen)

    for step, which in steps:
        now += 0.1
        live = [g for g in sorted(roles) if g not in dead]
        if step == "start" and len(roles) < 8:
            roles[len(roles) + 1] = Role(len(roles) + 1)
        elif step == "able" and live:
            role = roles[live[which % len(live)]]
            if role.stage is Stage.STARTING:
                role.ask(now)
        elif step == "die" and live:
            dead.add(live[which % len(live)])
        elif step == "wait":
            now += STATE_TIMEOUT_SECONDS
        settle()
        now += STATE_TIMEOUT_SECONDS + 0.1
        settle()
        able = [g for g, r in roles.items() if g not in dead and r.stage is not Stage.STARTING]
        assert [g for g in able if roles[g].stage is Stage.SERVING] == able[-1:]


def test_a_new_process_waits_for_its_predecessor_but_not_forever() -> None:
    role = Role(2)
    role.ask(10.0)
    before = ProcessStatus(1, 10.0, Stage.SERVING, 0)
    assert role.step([before], 10.1) == ""
    assert role.step([ProcessStatus(1, 10.0, Stage.SERVING, 0)], 10.2 + STATE_TIMEOUT_SECONDS) == "begin"


def test_the_old_process_stops_sending_before_the_new_one_begins_and_resumes_when_that_dies(
    tmp_path: Path,
) -> None:
    events: list[str] = []
    loop = Loop(lambda line: None)
    part = partial(handover_part, loop, events, tmp_path)
    part("old")
    new = part("new")
    run_until(loop, lambda: "new adds 2" in events and "old adds 3" in events)
    new.closed = True  # it stops writing
    run_until(loop, lambda: "old sends True" in events)
    events.remove("old adds 3")  # at any time after the new one has begun
    assert [line for line in events if line[:4] in ("old ", "new ")] == [
        *("old begins", "old sends False", "new lists old", "new imports old", "new begins", "new adds 2"),
        *("old resumes", "old sends True"),
    ]
    loop.epoll.close()


@pytest.mark.parametrize("step", [-3600.0, -5.0, 5.0, 3600.0])
def test_steps_of_the_wall_clock_delay_no_process_and_declare_none_dead(
    step: float, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    events: list[str] = []
    loop, wall = Loop(lambda line: None), time.time
    part = partial(handover_part, loop, events, tmp_path)
    old = part("old")
    run_until(loop, lambda: "old begins" in events)
    monkeypatch.setattr(time, "time", lambda: wall() + step)
    last_heartbeat = old.written_at
    # its heartbeats continue
    run_until(loop, lambda: old.written_at > last_heartbeat + 2 * HEARTBEAT_SECONDS)
    new = part("new")
    run_until(loop, lambda: "new adds 2" in events)
    monkeypatch.setattr(time, "time", wall)
    end = time.monotonic() + LIVENESS_SECONDS + 0.5
    run_until(loop, lambda: time.monotonic() > end)
    assert "old resumes" not in events  # the new one is alive
    assert events.count("new begins") == 1
    new.closed = True
    run_until(loop, lambda: "old sends True" in events)
    loop.epoll.close()


def test_a_new_process_waits_no_longer_for_a_stuck_one_after_a_clock_step(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    events: list[str] = []
    loop, wall = Loop(events.append), time.time
    stuck = StateFiles(f"{tmp_path}", "n0", 5, events.append)

    def beat() -> None:
        part = {"generation": 5, "at": time.time(), "stage": "serving", "handed_to": 0}
        stuck.write(part | {"words": [], "evacuated": [False, 0.0], "spent": []})

    beat()
    loop.every(0.05, beat)
    handover_part(loop, events, tmp_path, "new")
    began = time.monotonic()
    monkeypatch.setattr(time, "time", lambda: wall() - 3600.0)
    run_until(loop, lambda: "new begins" in events)
    assert STATE_TIMEOUT_SECONDS - 0.1 < time.monotonic() - began < 2 * STATE_TIMEOUT_SECONDS
    loop.epoll.close()


@pytest.mark.parametrize("callback", ["import_routes", "import_state", "add"])
def test_fault_in_a_step_of_a_handover_does_not_keep_the_new_process_from_serving(
    callback: str, tmp_path: Path
) -> None:
    """Guards against a process that never serves, or falls silent, as taking over its state failed."""
    events: list[str] = []
    loop = Loop(events.append)
    handover_part(loop, events, tmp_path, "old")
    new = handover_part(loop, events, tmp_path, "new")
    setattr(new.callbacks, callback, fail)
    run_until(loop, lambda: "new begins" in events)
    begun_at = new.written_at
    run_until(loop, lambda: new.written_at > begun_at + 2 * HEARTBEAT_SECONDS)
    assert "old resumes" not in events
    assert any("PlantedError" in line for line in events)
    loop.epoll.close()


def test_fault_with_the_next_hops_taken_over_does_not_keep_the_quotas_from_it(tmp_path: Path) -> None:
    """Guards against quotas that are spent twice after an upgrade, as a next hop of its list had a fault."""
    events: list[str] = []
    loop = Loop(events.append)
    handover_part(loop, events, tmp_path, "old")
    new = handover_part(loop, events, tmp_path, "new")
    new.callbacks.import_routes = fail
    run_until(loop, lambda: "new begins" in events)
    assert "new imports old" in events
    assert any("PlantedError" in line for line in events)
    loop.epoll.close()


@pytest.mark.parametrize("told", [[], "text", 7, None, {}, {"known": []}])
def test_state_of_another_form_does_not_keep_the_new_process_from_serving(told: Any, tmp_path: Path) -> None:
    """Guards against a process that never serves, as another version hands over state of another form."""
    events: list[str] = []
    loop = Loop(events.append)
    other = StateFiles(f"{tmp_path}", "n0", 5, events.append)
    scripted = ScriptedDriver()

    def beat(handed_to: int) -> None:
        status = {"generation": 5, "at": time.time(), "stage": "handed", "handed_to": handed_to}
        other.write(
            status | {"words": [], "evacuated": [False, 0.0], "spent": [], "routes": [], "told": told}
        )

    beat(0)
    new = handover_part(loop, events, tmp_path, "new")
    new.callbacks.import_state = scripted.driver.import_state
    loop.every(0.05, lambda: beat(new.role.generation))
    run_until(loop, lambda: "new begins" in events)
    assert any("the state of the previous process is ignored" in line for line in events)
    scripted.recorder.close()
    loop.epoll.close()


@pytest.mark.parametrize("callback", ["export_state", "resume"])
def test_fault_in_a_step_of_the_old_process_leaves_it_sending_once_it_is_alone(
    callback: str, tmp_path: Path
) -> None:
    """Guards against an ingress that sends nothing on the ring for good after a failed handover."""
    events: list[str] = []
    loop = Loop(events.append)
    old = handover_part(loop, events, tmp_path, "old")
    setattr(old.callbacks, callback, fail)
    new = handover_part(loop, events, tmp_path, "new")
    run_until(loop, lambda: "new begins" in events)
    new.closed = True
    run_until(loop, lambda: "old sends True" in events)
    assert any("PlantedError" in line for line in events)
    loop.epoll.close()


def handover_part(loop: Loop, events: list[str], folder: Path, name: str) -> Handover:
    """One process of a handover that records the callbacks it gets."""

    def note(*what: Any) -> Any:
        events.append(" ".join([name, *map(str, what)]))

    callbacks = HandoverCallbacks(
        export_state=lambda: {"known": name},
        import_state=lambda state: note("imports", state["known"]),
        spent=lambda: [["00", "plain", 0, 1, 2 if name == "old" else 3]],
        add=lambda row: note("adds", row[4]),
        resume=lambda: note("resumes"),
        set_peer_sending=lambda enabled: note("sends", enabled),
        share_limits=lambda shared: None,
        routes=lambda: [name],
        import_routes=lambda members: note("lists", *members),
        overlay=None,
        override_changed=note,
        evacuated=lambda: (False, 0.0),
        evacuate=note,
        executed_ids=ExecutedIds(loop.now),
    )
    handover = Handover(loop, events.append, f"{folder}", "n0", callbacks)
    handover.ask(lambda: note("begins"))
    return handover


# State of the module.


def test_use_counts_once_at_the_peers_whichever_process_admitted_it() -> None:
    pair = PeerNetwork()
    pair.run_epochs(4)
    for n in range(4):
        assert pair.submit(0, f"a{n}")
    pair.run_epochs(3)
    old = pair.gateways[0]
    state = json.loads(json.dumps(handover.export_state(old)))
    before = handover.use_counts(old)
    pair.restart(0)
    new = pair.gateways[0]
    handover.import_state(new, state)
    key = next(iter(old.quotas))
    assert new.quotas[key].own == pytest.approx(old.quotas[key].own)
    assert new.quotas[key].others == pytest.approx(old.quotas[key].others)
    actions = old.handle(pair.now, request("late", ring_size=2))  # the old one finishes its open requests
    assert sends(actions)
    (row,) = handover.use_since(old, before)
    handover.add_use(new, pair.now, *row)
    pair.run_epochs(3)
    own = new.quotas[key]
    seen = pair.gateways[1].quotas[key]
    assert own.counts[0] == old.quotas[key].counts[0] == seen.counts[0]  # nothing counted twice, nothing lost
    assert seen.others == pytest.approx(own.own, abs=0.3)


def test_use_reported_by_the_other_process_is_not_reported_back() -> None:
    """The newer one's use is added in the older one too; echoed back, it would use up the quota of both."""
    scripted = [ScriptedDriver(), ScriptedDriver()]
    old, new = (one.driver for one in scripted)

    def ask(driver: Driver, name: str) -> None:
        event = request(name, class_name="look", plan="plain")
        assert sends(Gateway.handle(driver.module, driver.module.now, event))

    for driver in (old, new):
        Gateway.handle(driver.module, driver.loop.now() + driver.clock_offset, listed(backend("b1")))
    ask(old, "a")
    new.import_state(json.loads(json.dumps(old.export_state())))
    ask(old, "b")
    ask(new, "c")
    taken = {old: 0, new: 0}
    for _ in range(3):
        for driver, rows in ((old, new.spent()), (new, old.spent())):
            for row in rows:
                more, taken[driver] = row[4] - taken[driver], row[4]
                if more:
                    driver.add([*row[:4], more])
    (own,), (other,) = old.module.quotas.values(), new.module.quotas.values()
    assert own.counts[0] == other.counts[0] == 3 * COUNTS_PER_UNIT
    for one in scripted:
        one.recorder.loop.epoll.close()


def test_ejections_and_cold_credit_are_handed_over_and_returned_when_the_new_process_dies() -> None:
    old, new = started(), started()
    for gateway in (old, new):
        cold = i.BackendEntry("b1", "a", "std", 0, i.Availability.ACTIVE, 1.0, 5.0)
        gateway.handle(5.0, i.BackendsListed(i.ListKind.CHANGES, (cold,)))
    old.backends["b1"].cold_credit = 0.4
    old.backends["b2"].ejected_since = 4.0
    handover.import_state(new, json.loads(json.dumps(handover.export_state(old))))
    assert new.backends["b1"].cold_credit == 0.4
    assert new.ejected_backends() == {"b2"}
    served = [
        s for n in range(200) for s in sends(old.handle(6.0 + n / 100, request(f"r{n}", tenant=f"c{n}")))
    ]
    assert served
    assert all(send.backend != "b1" for send in served)
    handover.restore_cold_credit(old)
    assert old.backends["b1"].cold_credit == 0.0


@given(st.integers(0, 7), st.one_of(st.none(), st.integers(-3, 99), st.text(max_size=5), st.lists(st.none())))
def test_a_malformed_row_changes_nothing_or_raises(field: int, value: Any) -> None:
    gateway = started(gateways=4, number=1)
    row = ["0011223344", "basic", 1, 2, 0.0, 1.0, 1.0, 0.0, [[0, 4]]]
    row[field] = value
    state = {"quotas": [row], "heard": {}, "backends": {}, "base": {}, "limit": 8.0, "busy": 0.0, "took": 1.0}
    try:
        handover.import_state(gateway, state)
    except (KeyError, TypeError, ValueError):
        return
    for quota in gateway.quotas.values():
        assert quota.index < quota.size <= 4


# Sockets and descriptors.


def test_datagrams_reach_the_process_that_bound_last_and_then_the_other_again() -> None:
    got: list[tuple[str, bytes]] = []
    loop = Loop(lambda line: None)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind(("127.0.0.1", 0))
        peers = (sender.getsockname(), ("127.0.0.1", 1))
        hear = [lambda number, content, who=who: got.append((who, content)) for who in ("old", "new")]
        old = Peers(loop, print, ("127.0.0.1", 0), peers, None, 1, hear[0], shared=True)
        sender.sendto(b"1", old.address)
        run_until(loop, lambda: len(got) == 1)
        new = Peers(loop, print, old.address, peers, None, 1, hear[1], shared=True)
        sender.sendto(b"2", old.address)
        run_until(loop, lambda: len(got) == 2)
        loop.end(loop.tasks[new.sock.fileno()])
        new.sock.close()
        sender.sendto(b"3", old.address)
        run_until(loop, lambda: len(got) == 3)
    assert got == [("old", b"1"), ("new", b"2"), ("old", b"3")]
    loop.epoll.close()


@pytest.mark.parametrize("number", ["x", "99", "0"])
def test_a_passed_descriptor_that_is_no_listener_is_reported(tmp_path: Path, number: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config()))
    env = os.environ | {"EDGE_CONFIG": f"{path}", "EDGE_PASSED_SOCKET": number}
    ended = subprocess.run([sys.executable, "-m", "standflow"], env=env, capture_output=True, timeout=LIMIT)
    assert ended.returncode == 2
    assert ended.stderr.splitlines()[-1].startswith(b"standflow: EDGE_PASSED_SOCKET: ")


# Real processes, under load.


class Load:
    """Clients that send on new and reused connections; missing or partial answers are recorded."""

    def __init__(self, address: tuple[str, int], clients: int = 4) -> None:
        self.address, self.stopped = address, False
        self.answered, self.failures = [0] * clients, list[str]()
        self.threads = [threading.Thread(target=self._ask, args=(n,)) for n in range(clients)]
        self.begun = False

    def begin(self) -> None:
        if not self.begun and not self.stopped:
            self.begun = True
            for thread in self.threads:
                thread.start()

    def _ask(self, number: int) -> None:
        rng, serial, sock = random.Random(number), 0, None
        while not self.stopped:
            serial += 1
            fresh = sock is None
            try:
                if sock is None:
                    sock = socket.create_connection(self.address, LIMIT)
                    sock.settimeout(LIMIT)
                sock.sendall(command(f"{number:x}a{serial:x}"))
                got = sock.recv(100)
                if got.endswith(b"\r\n"):
                    self.answered[number] += 1
                elif fresh or got:  # a reused one may be closed between two commands
                    self.failures.append(f"{number}: {got!r}")
            except OSError as error:
                if fresh:
                    self.failures.append(f"{number}: {error!r}")
                got = b""
            if (not got or rng.random() < 0.5) and sock is not None:
                sock.close()
                sock = None
            time.sleep(0.002)

    def until_answered_again(self, seconds: float) -> None:
        """Waits for this long, and until each client has had another answer, however late."""
        before, end = list(self.answered), time.monotonic() + LIMIT
        time.sleep(seconds)
        while not all(after > once for after, once in zip(self.answered, before, strict=True)):
            assert time.monotonic() < end
            time.sleep(0.01)

    def stop(self) -> None:
        self.stopped = True
        for thread in self.threads if self.begun else ():
            thread.join(LIMIT)


def serve_hop(sock: socket.socket) -> None:
    """A next hop that answers every command."""
    try:
        while data := sock.recv(65536):
            sock.sendall(VALUE * data.count(b"first=0\r\n"))
    except OSError:
        return


@contextmanager
def upgrading(folder: Path, **changes: Any) -> Iterator[tuple[Any, socket.socket, Load, Acceptor]]:
    """Yields a function that starts processes on one listening socket, under load."""
    acceptor = Acceptor(serve_hop)
    members = [member(acceptor.address), member(acceptor.address) | {"id": "s-2"}]
    raw = with_ops(known={"revision": 1, "complete": True, "members": members}, **changes)
    with socket.create_server(("127.0.0.1", 0), backlog=512) as listening, ExitStack() as stack:

        def start() -> Program:
            running = stack.enter_context(program(folder, raw, listening))
            running.logged("ready n0")
            load.begin()
            return running

        load = Load(listening.getsockname())
        try:
            yield start, listening, load, acceptor
        finally:
            load.stop()
            acceptor.close()


def stop(running: Program) -> None:
    running.terminate()
    assert running.process.wait(LIMIT) == 0


def test_two_upgrades_in_a_row_fail_no_request(tmp_path: Path) -> None:
    with upgrading(tmp_path) as (start, listening, load, _):
        first = start()
        load.until_answered_again(0.3)
        second = start()
        second.logged("took over")
        first.logged("no longer sending on the ring")
        stop(first)
        third = start()
        third.logged("took over")
        stop(second)
        load.until_answered_again(0.3)
        load.stop()
        assert load.failures == []


def test_reloads_under_load_and_an_upgrade_right_after_fail_no_request(tmp_path: Path) -> None:
    with upgrading(tmp_path) as (start, listening, load, _):
        first = start()
        load.until_answered_again(0.0)
        raw = json.loads((tmp_path / "config.json").read_text())
        for attempts in (4, 5, 2, 7):
            raw["settings"]["Caps"]["TryLimit"] = attempts
            (tmp_path / "config.json").write_text(json.dumps(raw))
            first.process.send_signal(signal.SIGHUP)
            first.logged(f"reload: classes .* attempts {attempts}\\n")
        raw["settings"]["Caps"]["TryLimit"] = 6
        (tmp_path / "config.json").write_text(json.dumps(raw))
        first.process.send_signal(signal.SIGHUP)
        first.logged("attempts 6\n")
        second = start()
        stop(first)
        load.until_answered_again(0.3)
        load.stop()
        assert load.failures == []
        assert "sighup_applied=0" in ask(second, "GET", "/api/telemetry")[1]


def test_two_processes_share_the_limits_on_descriptors_and_memory(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config()))
    loop = Loop(lambda line: None)
    one = Ingress(load_config({"EDGE_CONFIG": f"{path}"}, print), loop, print)

    def limits() -> tuple[int, ...]:
        clients, next_hops = one.clients, one.next_hops
        return (
            next_hops.max_connections,
            next_hops.flows.budget,
            clients.client_memory.limit,
            clients.body_budget.budget,
            clients.value_budget.budget,
        )

    whole = limits()
    one._share_limits(True)
    assert limits() == tuple(most // 2 for most in whole)
    one._share_limits(False)
    assert limits() == whole
    one.close()
    loop.epoll.close()


def test_memory_that_comes_back_after_an_upgrade_is_granted_at_once(tmp_path: Path) -> None:
    """Guards against bodies and values that go on waiting beside free memory until another one ends."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config()))
    loop = Loop(lambda line: None)
    one = Ingress(load_config({"EDGE_CONFIG": f"{path}"}, print), loop, print)
    granted: list[int] = []
    one._share_limits(True)
    budgets = (one.clients.body_budget, one.clients.value_budget)
    for number, budget in enumerate(budgets):
        assert budget.try_reserve(budget.budget)
        assert not budget.reserve(number, budget.budget // 2, lambda number=number: granted.append(number))  # type: ignore[misc]
    one._share_limits(False)
    assert granted == [0, 1]
    one.close()
    loop.epoll.close()


def test_a_new_process_that_dies_before_it_is_ready_changes_nothing(tmp_path: Path) -> None:
    with upgrading(tmp_path) as (start, listening, load, _):
        first = start()
        with program(tmp_path, with_ops(), listening) as second:
            second.logged("starting n0")
            second.process.kill()
            second.process.wait(LIMIT)
        time.sleep(0.2)
        third = start()  # and its predecessor may be killed
        first.process.kill()
        first.process.wait(LIMIT)
        load.until_answered_again(0.5)
        load.stop()
        assert ask(third, "GET", "/api/ready")[0] == 200


def test_operators_calls_hold_across_upgrades_whichever_process_got_them(tmp_path: Path) -> None:
    with upgrading(tmp_path) as (start, listening, load, _):
        load.stop()
        first = start()
        assert ask(first, "POST", "/api/exclude/s-1")[0] == 200
        assert ask(first, "POST", "/api/evacuate")[0] == 200
        second = start()  # it can serve, though it is evacuated
        client = second.process and socket.create_connection(listening.getsockname(), LIMIT)
        client.settimeout(LIMIT)
        client.sendall(PING + command("aa01"))
        assert read_until(client, b"\r\n").startswith(b"-ERR evacuated\r\n")
        assert ask(second, "POST", "/api/rejoin")[0] == 200
        assert ask(second, "POST", "/api/include/s-1")[0] == 200
        end = time.monotonic() + LIMIT
        # It learns of calls to the newer process
        while "ejected=0" not in ask(first, "GET", "/api/telemetry")[1]:
            assert time.monotonic() < end
        # the discovered route set is handed over, and the exclusions with it
        assert "discovered=2" in ask(second, "GET", "/api/telemetry")[1]
        stop(first)
        third = start()
        assert "ejected=0" in ask(third, "GET", "/api/telemetry")[1]
        again = socket.create_connection(listening.getsockname(), LIMIT)
        again.settimeout(LIMIT)
        again.sendall(PING)
        assert read_until(again, b"\r\n") == b"+PONG\r\n"
        for sock in (client, again):
            sock.close()


def test_the_old_process_exits_cleanly_after_sighup_and_with_open_connections(
    tmp_path: Path,
) -> None:
    with upgrading(tmp_path) as (start, listening, load, _):
        first = start()
        connections = [socket.create_connection(listening.getsockname(), LIMIT) for _ in range(40)]
        for connection in connections:
            connection.settimeout(LIMIT)
            connection.sendall(PING)
            assert read_until(connection, b"\r\n") == b"+PONG\r\n"
        first.process.send_signal(signal.SIGHUP)
        second = start()
        second.process.send_signal(signal.SIGHUP)
        stop(first)
        for connection in connections:
            assert connection.recv(10) == b""
        load.stop()
        assert load.failures == []
        second.logged("reload: nothing to do")


def test_without_a_passed_socket_the_handover_is_not_imported() -> None:
    code = (
        "import sys, standflow.__main__; print([m for m in sys.modules if 'upgrade' in m or 'handover' in m])"
    )
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout == b"[]\n"


def test_a_kill_in_the_middle_of_a_write_leaves_the_previous_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A state file torn by a kill lost the previous record too.
    writer = StateFiles(str(tmp_path), "n0", 1, lambda line: None)
    writer.write({"generation": 1, "told": "first", "filler": "x" * 20_000})
    pwrite = os.pwrite

    def killed(fd: int, data: bytes, at: int) -> int:
        pwrite(fd, data[:9_000], at)
        raise KeyboardInterrupt

    monkeypatch.setattr(os, "pwrite", killed)
    with pytest.raises(KeyboardInterrupt):
        writer.write({"generation": 1, "told": "second", "filler": "y" * 20_000})
    monkeypatch.undo()
    reader = StateFiles(str(tmp_path), "n0", 2, lambda line: None)
    reads = [reader.others() for _ in range(3)]
    assert reads[-1].get(1, {}).get("told") in ("first", "second")


@pytest.mark.parametrize(
    "sizes", [(3, 5, 4), (3_000, 9_000, 50, 40_000), (2_000_000, 2_500_000, 3, 2_600_000)]
)
def test_a_write_interrupted_at_any_byte_leaves_the_previous_record(
    sizes: tuple[int, ...], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The only record was overwritten in place, so an interrupted write lost it.
    pwrite, rng = os.pwrite, random.Random(3)
    writer = StateFiles(str(tmp_path), "n0", 1, lambda line: None)
    reader = StateFiles(str(tmp_path), "n0", 2, lambda line: None)
    writer.write({"generation": 1, "number": 0})
    for number, size in enumerate(sizes, start=1):
        record = {"generation": 1, "number": number, "filler": "x" * size}
        length = len(pack(record))
        for cut in [0, 1, 30, length // 2, length - 1, *(rng.randrange(length) for _ in range(20))]:

            def killed(fd: int, data: bytes, at: int, cut: int = cut) -> int:
                pwrite(fd, data[:cut], at)
                raise KeyboardInterrupt

            with monkeypatch.context() as patch:
                patch.setattr(os, "pwrite", killed)
                with pytest.raises(KeyboardInterrupt):
                    writer.write(record)
            assert StateFiles(str(tmp_path), "n0", 3, lambda line: None).others()[1]["number"] == number - 1
        writer.write(record)
        assert reader.others()[1]["number"] == number


def test_no_kill_of_a_process_loses_its_previous_record(tmp_path: Path) -> None:
    # Writes in small pieces, so that most kills hit the middle of a record.
    code = """if True:
        import os, sys
        from standflow.upgrade.files import StateFiles
        pwrite = os.pwrite
        os.pwrite = lambda fd, data, at: pwrite(fd, data[:512], at)
        generation, number = int(sys.argv[2]), 0
        files = StateFiles(sys.argv[1], "n0", generation, print)
        while True:
            number += 1
            filler = chr(ord("a") + number % 26) * 20_000
            files.write({"generation": generation, "number": number, "filler": filler})
            print(number, flush=True)
        """
    rng = random.Random(5)
    for generation in range(1, 16):
        arguments = [sys.executable, "-c", code, f"{tmp_path}", f"{generation}"]
        with subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True) as process:
            assert process.stdout is not None
            assert process.stdout.readline() == "1\n"
            time.sleep(rng.uniform(0.0, 0.02))
            process.kill()
            written = [line for line in process.stdout.read().split("\n")[:-1] if line]
        last = int(written[-1]) if written else 1
        reader = StateFiles(str(tmp_path), "n0", 1_000, lambda line: None)
        reads = [reader.others() for _ in range(3)]
        assert reads[-1].get(generation, {}).get("number") in (last, last + 1)


def test_state_files_are_compatible_with_an_earlier_version_in_both_directions(tmp_path: Path) -> None:
    # The two processes of an upgrade may be of different versions.
    files = StateFiles(str(tmp_path), "n0", 5, lambda line: None)
    (tmp_path / "standflow-n0-4.state").write_bytes(pack({"generation": 4, "stage": "serving"}) + b"rest")
    assert files.others() == {4: {"generation": 4, "stage": "serving"}}
    for number in range(4):
        files.write({"generation": 5, "number": number})
        # An earlier version reads the first slot: at most one write late
        first_slot = unpack(files.path.read_bytes())
        assert first_slot["number"] in (number, number - 1)
