"""Work for a process that is gone never reaches another one that has taken its place."""

from __future__ import annotations

import re
import time
from pathlib import Path

from lab.box import Box
from lab.discovery import Discovery
from standflow.address_reuse import AddressOwners
from standflow.messages import Outcome
from standflow.net.stream import PlainStream
from standflow.route_set import Phase, Route, RouteSet
from tests.test_endings import SlowHandshakeStream, Wired
from tests.wire import command, config, listener, program, read_until, run_until

HERE, THERE = ("127.0.0.1", 7001), ("127.0.0.1", 7002)
ANSWER = b"*3\r\n$2\r\nva\r\n$-1\r\n$-1\r\n"


def route(name: str, address: tuple[str, int], up_since: float | None, phase: Phase = Phase.SERVING) -> Route:
    return Route(name, address, "z1", "std", 0, phase, 1.0, up_since)


def changes(*routes: Route, complete: bool = False) -> RouteSet:
    return RouteSet(1, complete, routes)


def phases(routes: RouteSet) -> dict[str, Phase]:
    return {one.hop: one.phase for one in routes.routes}


def move(wired: Wired, address: tuple[str, int], up_since: float) -> None:
    wired.hops.update_routes(changes(route("s-1", address, up_since)))


def test_backend_whose_address_a_newer_one_has_taken_is_gone_before_discovery_says_so() -> None:
    owners = AddressOwners()
    owners.apply(changes(route("s-1", HERE, 10.0), route("s-2", THERE, 10.0), complete=True))
    told = owners.apply(changes(route("s-9", HERE, 20.0)))
    assert phases(told) == {"s-9": Phase.SERVING, "s-1": Phase.GONE}
    assert phases(owners.apply(changes(route("s-2", THERE, 10.0)))) == {"s-2": Phase.SERVING}
    again = owners.apply(changes(route("s-1", HERE, 10.0), route("s-9", HERE, 20.0), complete=True))
    assert phases(again) == {"s-1": Phase.GONE, "s-9": Phase.SERVING}


def test_backends_that_share_an_address_are_kept_where_none_is_newer() -> None:
    for up_since in (None, 10.0):
        owners, both = AddressOwners(), changes(route("a", HERE, up_since), route("b", HERE, up_since))
        assert owners.apply(both) is both


def test_backend_that_moves_away_from_an_address_that_another_takes_is_kept() -> None:
    owners = AddressOwners()
    owners.apply(changes(route("s-1", HERE, 10.0), complete=True))
    owners.apply(changes(route("s-1", THERE, 15.0)))
    assert phases(owners.apply(changes(route("s-9", HERE, 20.0)))) == {"s-9": Phase.SERVING}


def test_connection_to_an_earlier_process_is_not_used_again_after_its_answer() -> None:
    with listener() as old, listener() as new:
        wired = Wired(old.getsockname(), cool_down=0.0)
        client = wired.ask("aa01")
        wired.send()
        at_old = wired.accept(old)
        move(wired, new.getsockname(), 20.0)
        at_old.sendall(ANSWER)
        assert wired.answered(client) == b"$2\r\nva\r\n"
        second = wired.ask("aa02")
        wired.send()
        wired.accept(new)
        second.close()
        assert at_old.recv(100) == b""
        wired.recorder.close()


def test_command_that_waits_for_a_connection_to_an_earlier_address_is_not_written_there() -> None:
    with listener() as old, listener() as new:
        wired = Wired(old.getsockname(), make=lambda route, sock: SlowHandshakeStream(sock))
        client = wired.ask("aa01")
        wired.send()
        at_old = old.accept()[0]
        move(wired, new.getsockname(), 20.0)
        at_old.sendall(b"x")  # the handshake could end now
        run_until(wired.recorder.loop, lambda: wired.recorder.ended)
        assert [outcome for _, outcome in wired.recorder.ended] == [Outcome.MOOT]
        client.close()
        assert at_old.recv(100) == b""
        wired.recorder.close()


def test_command_that_waits_for_a_restarted_backend_at_the_same_address_goes_on() -> None:
    with listener() as hop:
        wired = Wired(hop.getsockname(), make=lambda route, sock: PlainStream(sock))
        client = wired.ask("aa01")
        wired.send()
        move(wired, hop.getsockname(), 20.0)
        wired.accept(hop).sendall(ANSWER)
        assert wired.answered(client) == b"$2\r\nva\r\n"
        wired.recorder.close()


def test_requests_go_to_the_newer_of_two_backends_at_one_address_only(tmp_path: Path) -> None:
    with Box() as box, Discovery(0.2) as discovery:
        discovery.publish("s-1", box.address, zone="room-z1", up_since=time.time() - 100.0)
        raw = config(discovery="{}:{}".format(*discovery.address))
        with program(tmp_path, raw) as running:
            client = running.call()
            client.sendall(command("aa01"))
            read_until(client, b"aa01\r\n")
            discovery.publish("s-9", box.address, zone="room-z1", up_since=time.time() - 50.0)
            running.logged("end nexthop s-1 drained")
            client.sendall(command("aa02"))
            read_until(client, b"aa02\r\n")
            running.terminate()
            running.logged("stopped")
            served = re.findall(r"(s-\d)=ok:(\d)", running.log)
            assert sorted(served) == [("s-1", "1"), ("s-9", "1")]
