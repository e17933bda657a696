"""Calls to the quota counter: what is known of a call's effect however it ends, and late answers."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lab.counter import CounterServer, ServerFaults, Store
from standflow.counter.client import (
    MAX_BODY_BYTES,
    MAX_SILENT_CONNECTIONS,
    PIPELINE_DEPTH,
    CallEffect,
    CallResult,
    CounterClient,
    encode_request,
    parse_total,
)
from standflow.net.loop import Loop
from tests.wire import LIMIT, listener, read_until, run_until


class Rig:
    """A client and the results of its calls."""

    def __init__(self, address: tuple[str, int], timeout: float = LIMIT, max_connections: int = 32) -> None:
        self.log: list[str] = []
        self.loop = Loop(self.log.append)
        self.client = CounterClient(self.loop, self.log.append, address, timeout, max_connections)
        self.calls: list[list[CallResult]] = []

    def add(self, name: str = "a", amount: float = 1.0, ttl: float = 60.0) -> list[CallResult]:
        results: list[CallResult] = []
        self.calls.append(results)
        self.client.add(name, amount, ttl, results.append)
        return results

    def results(self, *calls: list[CallResult], count: int = 1) -> list[CallResult]:
        run_until(self.loop, lambda: all(len(call) >= count for call in calls))
        return [call[count - 1] for call in calls]

    def reasons(self) -> list[str]:
        return [line.split()[2] for line in self.log if line.startswith("end counter")]


@contextmanager
def open_rig(address: tuple[str, int], timeout: float = LIMIT, max_connections: int = 32) -> Iterator[Rig]:
    made = Rig(address, timeout, max_connections)
    yield made
    made.client.close()
    assert not [line for line in made.log if "fault" in line]
    for results in made.calls:  # one result, and a second one only to settle an uncertain call
        assert [result.late for result in results] in ([False], [False, True])
        assert len(results) == 1 or (
            results[0].effect is CallEffect.UNCERTAIN and results[1].effect is not CallEffect.UNCERTAIN
        )
    made.loop.epoll.close()


def accepted(hop: socket.socket) -> socket.socket:
    sock = hop.accept()[0]
    sock.settimeout(LIMIT)
    return sock


def test_amounts_add_up_by_name_until_the_name_expires() -> None:
    with CounterServer(Store(parts=3)) as server, open_rig(server.address) as rig:
        calls = [
            rig.add("a", 2.5),
            rig.add("b", 4.0),
            rig.add("a", -1.0),
            rig.add("a", 0.0),
            rig.add("c", 1, 0.05),
        ]
        assert [(end.effect, end.total) for end in rig.results(*calls)] == [
            (CallEffect.ADDED, total) for total in (2.5, 4.0, 1.5, 1.5, 1.0)
        ]
        time.sleep(0.06)
        assert rig.results(rig.add("c", 2.0))[0].total == 2.0
        assert len(rig.client.connections) == 1  # the calls are pipelined
        assert rig.results(rig.add("d", 1234567.89))[0].total == 1234568  # seven digits are exact


def test_many_calls_at_once_share_a_bounded_number_of_connections() -> None:
    with (
        CounterServer(Store(per_second=1e6), max_per_peer=2) as server,
        open_rig(server.address, max_connections=2) as rig,
    ):
        calls = [rig.add("a") for _ in range(5 * PIPELINE_DEPTH)]
        totals = [end.total for end in rig.results(*calls)]
        assert sorted(totals, key=lambda total: total or 0) == [
            float(n + 1) for n in range(5 * PIPELINE_DEPTH)
        ]
        assert len(rig.client.connections) == 2


def test_invalid_totals_affect_fewer_and_fewer_pipelined_calls() -> None:
    with (
        CounterServer(Store(per_second=1e6), ServerFaults(corrupt_share=1.0)) as server,
        open_rig(server.address) as rig,
    ):
        known = []
        for _ in range(5):
            ends = rig.results(*[rig.add("a") for _ in range(PIPELINE_DEPTH)])
            known.append(sum(end.effect is CallEffect.ADDED for end in ends))
        assert known[0] < PIPELINE_DEPTH / 4
        assert known[-1] == PIPELINE_DEPTH  # each has a connection of its own, so only its total is lost
        server.faults.corrupt_share = 0.0
        assert rig.results(rig.add("a"))[0].total is not None


def test_a_rejected_call_is_reported_as_not_added_and_overloaded() -> None:
    with CounterServer(Store(per_second=10.0, line=0.05)) as server, open_rig(server.address) as rig:
        first, second = rig.results(rig.add("a"), rig.add("a"))
        assert (first.effect, first.overloaded) == (CallEffect.ADDED, False)
        assert (second.effect, second.overloaded, second.total) == (CallEffect.NOT_ADDED, True, None)


def test_a_slow_answer_is_uncertain_at_the_timeout_and_settled_late() -> None:
    with CounterServer(Store(), ServerFaults(delay=0.1)) as server, open_rig(server.address, 0.02) as rig:
        call = rig.add("a", 3.0)
        assert rig.results(call)[0].effect is CallEffect.UNCERTAIN
        assert 0.02 <= call[0].latency < 0.09
        assert rig.results(call, count=2)[0] == CallResult(
            CallEffect.ADDED, 3.0, call[1].latency, False, True
        )
        assert len(rig.client.connections) == 1  # a slow connection stays in use


def test_a_call_that_is_never_answered_stays_uncertain_and_so_do_those_pipelined_behind_it() -> None:
    with (
        CounterServer(Store(parts=1), ServerFaults(cut={0})) as server,
        open_rig(server.address, 0.02) as rig,
    ):
        assert [end.effect for end in rig.results(rig.add("a"), rig.add("b"))] == [CallEffect.UNCERTAIN] * 2
        run_until(rig.loop, lambda: rig.reasons() == ["silent"])
        server.faults.cut.clear()
        assert rig.results(rig.add("a"))[0].total == 1.0  # on a new connection


def test_calls_avoid_a_connection_that_has_become_silent() -> None:
    with listener() as hop, open_rig(hop.getsockname(), 0.02) as rig:
        lost = rig.add("a")
        silent = accepted(hop)
        assert rig.results(lost)[0].effect is CallEffect.UNCERTAIN
        calls = [rig.add("a")]

        def written() -> bool:
            if calls[-1]:  # on a busy machine a call may time out before it is written
                calls.append(rig.add("a"))
            return len(rig.client.connections) > 1 and bool(rig.client.connections[1].calls)

        run_until(rig.loop, written)
        with silent, accepted(hop) as other:
            other.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7")
            run_until(rig.loop, lambda: any(end.total == 7.0 for call in calls for end in call))


def test_few_connections_are_opened_to_a_counter_that_does_not_answer() -> None:
    with (
        CounterServer(Store(parts=1), ServerFaults(cut={0})) as server,
        open_rig(server.address, 0.02) as rig,
    ):
        for _ in range(3 * MAX_SILENT_CONNECTIONS):
            rig.results(rig.add("a"))
        assert len(rig.client.connections) <= MAX_SILENT_CONNECTIONS


@pytest.mark.parametrize(
    ("answer", "effect", "reason"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nno!", CallEffect.ADDED, "bad_total"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"9" * 99, CallEffect.ADDED, "bad_total"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n12", CallEffect.ADDED, "peer_closed"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnan", CallEffect.ADDED, "bad_total"),
        (b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", CallEffect.UNCERTAIN, "status:500"),
        (b"noise\r\n\r\n", CallEffect.UNCERTAIN, "bad_http"),
        (b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", CallEffect.NOT_ADDED, "peer_closed"),
        (
            b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7",
            CallEffect.ADDED,
            "peer_closed",
        ),
        (
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n7",
            CallEffect.ADDED,
            "peer_closed",
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7HTTP/1.1 ", CallEffect.ADDED, "unasked_bytes"),
        (b"", CallEffect.UNCERTAIN, "peer_closed"),
    ],
)
def test_each_answer_settles_its_call_and_ends_the_connection(
    answer: bytes, effect: CallEffect, reason: str
) -> None:
    with listener() as hop, open_rig(hop.getsockname()) as rig:
        call = rig.add("a", 2.0)
        with accepted(hop) as sock:
            run_until(rig.loop, lambda: rig.client.connections[0].calls)
            written = read_until(sock, b"\r\n\r\n")
            assert written.startswith(b"POST /v1/count/a?add=2&ttl_ms=60000 HTTP/1.1\r\n")
            sock.sendall(answer)
        result = rig.results(call)[0]
        assert result.effect is effect
        assert (result.total is not None) == (b"\r\n\r\n7" in answer)
        run_until(rig.loop, lambda: rig.reasons() == [reason])


def test_a_call_that_is_not_fully_written_is_not_added() -> None:
    with listener() as hop:
        address = hop.getsockname()
    with open_rig(address) as rig:
        assert rig.results(rig.add("a"))[0].effect is CallEffect.NOT_ADDED
        assert rig.reasons() == ["connect_failed:ECONNREFUSED"]
    # The connection is never established; the call times out and is not sent later.
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        queued = [socket.socket() for _ in range(3)]
        for sock in queued:
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
        with open_rig(full.getsockname(), 0.02) as rig:
            assert rig.results(rig.add("a"))[0].effect is CallEffect.NOT_ADDED
            assert not any(one.open_calls for one in rig.client.connections)
        for sock in queued:
            sock.close()


def test_a_call_that_stays_partly_written_ends_its_connection_and_is_not_added() -> None:
    class BlockingSocket:
        """A socket that accepts ten bytes and then blocks."""

        def __init__(self, sock: socket.socket) -> None:
            self.sock, self.capacity = sock, 10

        def send(self, data: bytes) -> int:
            if not self.capacity:
                raise BlockingIOError
            taken, self.capacity = min(self.capacity, len(data)), 0
            return self.sock.send(data[:taken])

        def close(self) -> None:
            self.sock.close()

    store = Store()
    with CounterServer(store) as server, open_rig(server.address, 0.05) as rig:
        assert rig.results(rig.add("a"))[0].effect is CallEffect.ADDED
        connection = rig.client.connections[0]
        connection.sock = BlockingSocket(connection.sock)  # type: ignore[assignment]
        assert rig.results(rig.add("a"))[0].effect is CallEffect.NOT_ADDED
        assert rig.reasons() == ["stuck"]
        assert store.calls == 1


def test_a_connection_closed_at_any_byte_of_the_answers_settles_each_call_correctly() -> None:
    """Of two pipelined calls, each is known to be added once its response head has arrived."""
    one = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n5"
    head = one.index(b"\r\n\r\n") + 4
    for cut in range(2 * len(one) + 1):
        with listener() as hop, open_rig(hop.getsockname()) as rig:
            calls = [rig.add("a"), rig.add("b")]
            with accepted(hop) as sock:
                run_until(rig.loop, lambda rig=rig: len(rig.client.connections[0].calls) == 2)  # type: ignore[misc]
                read_until(
                    sock,
                    b"b?add=1&ttl_ms=60000 HTTP/1.1\r\nHost: %s:%d\r\nContent-Length: 0\r\n\r\n"
                    % (hop.getsockname()[0].encode(), hop.getsockname()[1]),
                )
                sock.sendall((one + one)[:cut])
            for index, result in enumerate(rig.results(*calls)):
                got = cut - index * len(one)
                assert result.effect is (CallEffect.ADDED if got >= head else CallEffect.UNCERTAIN), (
                    cut,
                    index,
                )
                assert result.total == (5.0 if got >= len(one) else None), (cut, index)


def test_a_new_address_is_used_at_once_and_open_calls_are_settled_by_their_bytes() -> None:
    with listener() as old, CounterServer(Store()) as server, open_rig(old.getsockname()) as rig:
        call = rig.add("a")
        with accepted(old) as sock:
            run_until(rig.loop, lambda: rig.client.connections[0].calls)
            read_until(sock, b"\r\n\r\n")
            rig.client.switch_address(server.address)
            assert call[0].effect is CallEffect.UNCERTAIN
            assert rig.reasons() == ["moved"]
            assert rig.results(rig.add("a"))[0].total == 1.0


def test_fault_as_one_call_is_begun_leaves_no_other_unmade(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against registers that are never called again, as the call before theirs had a fault."""
    with CounterServer(Store()) as server, open_rig(server.address) as rig:

        def fail() -> None:
            raise ZeroDivisionError

        with monkeypatch.context() as patch:
            patch.setattr(rig.client, "_pick_connection", fail)
            faulty = rig.add("a")
        sound = rig.add("b")
        assert rig.results(sound)[0].effect is CallEffect.ADDED
        assert rig.results(faulty)[0].effect is CallEffect.UNCERTAIN
        (planted,) = [line for line in rig.log if "ZeroDivisionError" in line]
        rig.log.remove(planted)


def test_fault_as_one_call_is_settled_leaves_no_other_without_result() -> None:
    """Guards against requests that wait for the counter in vain, as the result of another was not taken."""

    def fail(result: CallResult) -> None:
        raise ZeroDivisionError

    with listener() as old:
        rig = Rig(old.getsockname())
        rig.client.add("a", 1.0, 60.0, fail)
        calls = [rig.add("b"), rig.add("c")]
        with accepted(old):
            run_until(rig.loop, lambda: len(rig.client.connections[0].calls) == 3)
            rig.client.switch_address(("127.0.0.1", 1))
        assert [call[0].effect for call in calls] == [CallEffect.UNCERTAIN] * 2
        assert sum("ZeroDivisionError" in line for line in rig.log) == 1
        rig.loop.epoll.close()


def test_no_call_is_lost_when_the_counter_closes_an_idle_connection() -> None:
    with CounterServer(Store(), idle=0.02) as server, open_rig(server.address) as rig:
        assert rig.results(rig.add("a"))[0].total == 1.0
        run_until(rig.loop, lambda: rig.reasons() == ["peer_closed"])
        assert rig.results(rig.add("a"))[0].total == 2.0


@given(st.binary(max_size=MAX_BODY_BYTES + 2))
def test_a_total_is_a_valid_number_or_none(body: bytes) -> None:
    total = parse_total(body)
    assert total is None or abs(float(body) - total) <= abs(total) * 1e-9


@settings(deadline=None)
@given(st.text(max_size=70), st.floats(), st.floats(-10, 100))
def test_a_call_is_valid_for_the_counter_or_an_error(name: str, amount: float, ttl: float) -> None:
    try:
        encoded = encode_request(name, amount, ttl, ("127.0.0.1", 1))
    except ValueError:
        return
    server = h11.Connection(our_role=h11.SERVER)
    server.receive_data(encoded)
    request = server.next_event()
    assert isinstance(request, h11.Request)
    path, _, query = request.target.decode().partition("?")
    assert path == f"/v1/count/{name}"
    added, ttl_ms = query.split("&")
    assert abs(float(added.removeprefix("add=")) - amount) <= 1e-6
    assert 1 <= int(ttl_ms.removeprefix("ttl_ms=")) <= 60000
