"""A fault in what an ingress starts from, hears, runs on or saves keeps it from nothing else."""

from __future__ import annotations

import json
import os
import socket
import zlib
from dataclasses import replace
from pathlib import Path

import pytest

from standflow.assembly import Ingress
from standflow.config import read
from standflow.config.model import StoreOptions
from standflow.log import Log
from standflow.net.loop import Loop
from standflow.net.nexthop import RoutesNotAppliedError
from standflow.program import serve_until_stopped
from standflow.recovery.records import MAX_LINE_BYTES, header_line, identity
from standflow.recovery.store import RECORDS_FILE
from standflow.recovery.trust import LEARNED, MEMBER, USAGE
from standflow.recovery.writer import read_boot_clock
from standflow.route_set import Phase, Route, RouteSet
from tests.planted_faults import PlantedError, fail
from tests.wire import LIMIT, command, config, member, read_until, run_until


class StubState:
    """Stands in for the handover and the store of an ingress, and records what is called on it."""

    def __init__(self) -> None:
        self.called: list[str] = []

    def write_operator_records(self) -> None:
        """See StateStoreWriter."""
        self.called.append("operator records")

    def close(self, limit: float) -> None:
        """See StateStoreWriter."""
        self.called.append("closed")

    write = fail


@pytest.mark.parametrize(
    ("step", "called"), [("_operator_state_changed", "operator records"), ("_save", "closed")]
)
def test_fault_as_state_is_handed_over_does_not_keep_it_from_the_store(step: str, called: str) -> None:
    """Guards against operators' words that a power loss takes along, as writing them elsewhere failed."""
    log: list[str] = []
    loop, state = Loop(log.append), StubState()
    ingress = Ingress(read(config(), log.append), loop, log.append)
    ingress.handover = ingress.store = state  # type: ignore[assignment]
    getattr(ingress, step)()
    assert state.called == [called]
    assert sum("PlantedError" in line for line in log) == 1
    ingress.handover = ingress.store = None
    ingress.close()
    loop.epoll.close()


def test_fault_with_one_next_hop_lets_the_module_hear_of_the_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests sent to what drains, as the module was not told of a list with a fault."""
    log: list[str] = []
    loop = Loop(log.append)
    ingress = Ingress(read(config(), log.append), loop, log.append)
    told: list[RouteSet] = []
    monkeypatch.setattr(ingress.driver, "routes_updated", told.append)
    monkeypatch.setattr(ingress.next_hops, "_update_route", fail)
    route = Route("s-1", ("127.0.0.1", 1), "z1", "std", 0, Phase.DRAINING, 1.0, None)
    with pytest.raises(RoutesNotAppliedError):
        ingress._routes_updated(RouteSet(2, False, (route,)))
    assert [routes.revision for routes in told] == [2]
    ingress.close()
    loop.epoll.close()


@pytest.mark.parametrize("limited", [False, True])
def test_fault_with_a_next_hop_of_the_saved_list_does_not_keep_a_process_from_starting(
    limited: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that ends at each start, as its saved list holds a next hop with a fault."""
    log: list[str] = []
    loop = Loop(log.append)
    known = {"revision": 1, "complete": True, "members": [member(("127.0.0.1", 1))]}
    ingress = Ingress(read(config(known=known), log.append), loop, log.append)
    told: list[RouteSet] = []
    monkeypatch.setattr(ingress.driver, "routes_updated", lambda routes, saved=False: told.append(routes))
    monkeypatch.setattr(ingress.next_hops, "_update_route", fail)
    if limited:
        ingress.handshake_limiter = FaultyLimiter()  # type: ignore[assignment]
    ingress.start()
    run_until(loop, lambda: ingress.clients.ready)
    assert len(told) == (not limited)
    ingress.handshake_limiter = None
    ingress.close()
    loop.epoll.close()


class FaultyLimiter:
    """A handshake limiter that can't apply a list."""

    update_routes = fail


def line_with_checksum(body: bytes, owner: str) -> bytes:
    """A line of a store, whatever its body is."""
    return b"%08x %b\n" % (zlib.crc32(body, zlib.crc32(owner.encode())), body)


def test_store_with_records_of_another_form_does_not_keep_a_process_from_starting(tmp_path: Path) -> None:
    """Guards against a process that ends at each start, as another version's records are in its store."""
    log: list[str] = []
    loop = Loop(log.append)
    owner, boot = identity("n0", 0, ""), read_boot_clock()
    sound = "00000000b4d65521"
    rows = [
        (USAGE, "no hexadecimal", '["plain", 0, 1, 9.0, 0.0]'),
        (USAGE, "a1", '["plain", 1e999, 1, 9.0, 0.0]'),
        (USAGE, "a2", '["plain", Infinity, 1, 9.0, 0.0]'),
        (USAGE, "a3", json.dumps(["plain", 0, 1, 9.0, 0.0, "x" * MAX_LINE_BYTES])),
        (USAGE, sound, '["plain", 0, 1, 9.0, 0.0]'),
        (LEARNED, "", '{"base": [], "limit": null}'),
        (MEMBER, "3", '[[], "", 0]'),
        ([], "", "null"),
        (USAGE, "a4", "7"),
    ]
    body = header_line(owner)
    for kind, name, value in rows:
        text = f"[{json.dumps(kind)}, {json.dumps(name)}, {value}, {json.dumps(boot.boot_id)}, {boot.uptime}]"
        body += line_with_checksum(text.encode(), owner)
    body += line_with_checksum(b"7", owner)
    (tmp_path / RECORDS_FILE).write_bytes(body)
    kept = StoreOptions(tmp_path, 1.0, 1 << 20)
    raw = config()
    raw["settings"]["Contracts"][0] |= {"Rate": 0.01}  # nothing drains meanwhile
    ingress = Ingress(replace(read(raw, log.append), store=kept), loop, log.append)
    ingress.start()
    run_until(loop, lambda: ingress.clients.ready)
    assert [row[0] for row in ingress.driver.used_since(0.0)] == [sound]
    assert ingress.store is not None
    assert ingress.store.stage == "holding"
    ingress.close()
    loop.epoll.close()


def test_fault_of_the_loop_itself_costs_no_answer_and_no_state(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a process that ends over open requests and unsaved state, by a traceback alone."""
    log = Log(os.open(os.devnull, os.O_WRONLY))
    loop, state = Loop(log), StubState()
    ingress = Ingress(read(config(), log), loop, log)
    ingress.store = state  # type: ignore[assignment]
    ingress.clients.start_serving()
    client = socket.create_connection(ingress.clients.address, LIMIT)
    monkeypatch.setattr(ingress.driver, "transaction_opened", lambda transaction: None)  # it stays open
    client.sendall(command("aa01"))
    run_until(loop, lambda: ingress.exchange.open_count)
    monkeypatch.setattr(loop, "run", fail)
    with pytest.raises(PlantedError):
        serve_until_stopped(loop, ingress, log)
    assert read_until(client, b"\r\n").startswith(b"-BUSY")
    assert state.called == ["closed"]
    client.close()
    loop.epoll.close()
    os.close(log.fd)
