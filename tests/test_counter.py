"""Calls to the quota counter: what each end of a call proves; late answers settle what was uncertain."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lab.counter import Door, Store, Way
from standflow.counter.client import MAX_BODY, MOST_QUIET, PIPELINE, Client, Counted, How, encode, read_total
from standflow.net.loop import Loop
from tests.wire import LIMIT, listener, read_until, run_until


class Rig:
    """A client and what its calls came to."""

    def __init__(self, address: tuple[str, int], limit: float = LIMIT, most: int = 32) -> None:
        self.log: list[str] = []
        self.loop = Loop(self.log.append)
        self.client = Client(self.loop, self.log.append, address, limit, most)
        self.ends: list[list[Counted]] = []

    def add(self, name: str = "a", amount: float = 1.0, life: float = 60.0) -> list[Counted]:
        ends: list[Counted] = []
        self.ends.append(ends)
        self.client.add(name, amount, life, ends.append)
        return ends

    def until(self, *calls: list[Counted], count: int = 1) -> list[Counted]:
        run_until(self.loop, lambda: all(len(call) >= count for call in calls))
        return [call[count - 1] for call in calls]

    def reasons(self) -> list[str]:
        return [line.split()[2] for line in self.log if line.startswith("end counter")]


@contextmanager
def rig(address: tuple[str, int], limit: float = LIMIT, most: int = 32) -> Iterator[Rig]:
    made = Rig(address, limit, most)
    yield made
    made.client.close()
    assert not [line for line in made.log if "fault" in line]
    for ends in made.ends:  # told once, and a second time only to settle what was uncertain
        assert [end.late for end in ends] in ([False], [False, True])
        assert len(ends) == 1 or (ends[0].how is How.UNCERTAIN and ends[1].how is not How.UNCERTAIN)
    made.loop.epoll.close()


def accepted(hop: socket.socket) -> socket.socket:
    sock = hop.accept()[0]
    sock.settimeout(LIMIT)
    return sock


def test_amounts_add_up_by_name_and_names_end_with_their_lives() -> None:
    with Door(Store(parts=3)) as door, rig(door.address) as at:
        calls = [
            at.add("a", 2.5),
            at.add("b", 4.0),
            at.add("a", -1.0),
            at.add("a", 0.0),
            at.add("c", 1, 0.05),
        ]
        assert [(end.how, end.total) for end in at.until(*calls)] == [
            (How.ADDED, total) for total in (2.5, 4.0, 1.5, 1.5, 1.0)
        ]
        time.sleep(0.06)
        assert at.until(at.add("c", 2.0))[0].total == 2.0
        assert len(at.client.connections) == 1  # written one behind another
        assert at.until(at.add("d", 1234567.89))[0].total == 1234568  # seven digits are exact


def test_many_calls_at_once_share_a_bounded_number_of_connections() -> None:
    with Door(Store(per_second=1e6), most=2) as door, rig(door.address, most=2) as at:
        calls = [at.add("a") for _ in range(5 * PIPELINE)]
        totals = [end.total for end in at.until(*calls)]
        assert sorted(totals, key=lambda total: total or 0) == [float(n + 1) for n in range(5 * PIPELINE)]
        assert len(at.client.connections) == 2


def test_a_spoilt_total_takes_fewer_and_fewer_calls_along() -> None:
    with Door(Store(per_second=1e6), Way(spoil=1.0)) as door, rig(door.address) as at:
        known = []
        for _ in range(5):
            ends = at.until(*[at.add("a") for _ in range(PIPELINE)])
            known.append(sum(end.how is How.ADDED for end in ends))
        assert known[0] < PIPELINE / 4
        assert known[-1] == PIPELINE  # each on a connection of its own: all that is lost is the total
        door.way.spoil = 0.0
        assert at.until(at.add("a"))[0].total is not None


def test_a_call_turned_away_has_added_nothing_and_says_so() -> None:
    with Door(Store(per_second=10.0, line=0.05)) as door, rig(door.address) as at:
        first, second = at.until(at.add("a"), at.add("a"))
        assert (first.how, first.full) == (How.ADDED, False)
        assert (second.how, second.full, second.total) == (How.NOTHING, True, None)


def test_a_slow_answer_is_uncertain_in_time_and_settled_late() -> None:
    with Door(Store(), Way(delay=0.1)) as door, rig(door.address, 0.02) as at:
        call = at.add("a", 3.0)
        assert at.until(call)[0].how is How.UNCERTAIN
        assert 0.02 <= call[0].took < 0.09
        assert at.until(call, count=2)[0] == Counted(How.ADDED, 3.0, call[1].took, False, True)
        assert len(at.client.connections) == 1  # it is slow, and serves on


def test_an_answer_that_never_comes_stays_uncertain_and_those_behind_it_too() -> None:
    with Door(Store(parts=1), Way(cut={0})) as door, rig(door.address, 0.02) as at:
        assert [end.how for end in at.until(at.add("a"), at.add("b"))] == [How.UNCERTAIN] * 2
        run_until(at.loop, lambda: at.reasons() == ["silent"])
        door.way.cut.clear()
        assert at.until(at.add("a"))[0].total == 1.0  # on another connection


def test_after_a_connection_fell_silent_calls_take_another_one() -> None:
    with listener() as hop, rig(hop.getsockname(), 0.02) as at:
        lost = at.add("a")
        silent = accepted(hop)
        assert at.until(lost)[0].how is How.UNCERTAIN
        calls = [at.add("a")]

        def written() -> bool:
            if calls[-1]:  # on a busy machine it may be given up before it is written
                calls.append(at.add("a"))
            return len(at.client.connections) > 1 and bool(at.client.connections[1].calls)

        run_until(at.loop, written)
        with silent, accepted(hop) as other:
            other.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7")
            run_until(at.loop, lambda: any(end.total == 7.0 for call in calls for end in call))


def test_a_counter_that_answers_nobody_is_sent_few_connections() -> None:
    with Door(Store(parts=1), Way(cut={0})) as door, rig(door.address, 0.02) as at:
        for _ in range(3 * MOST_QUIET):
            at.until(at.add("a"))
        assert len(at.client.connections) <= MOST_QUIET


@pytest.mark.parametrize(
    ("answer", "how", "reason"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nno!", How.ADDED, "bad_total"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"9" * 99, How.ADDED, "bad_total"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n12", How.ADDED, "peer_closed"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnan", How.ADDED, "bad_total"),
        (b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", How.UNCERTAIN, "status:500"),
        (b"noise\r\n\r\n", How.UNCERTAIN, "bad_http"),
        (b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", How.NOTHING, "peer_closed"),
        (b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7", How.ADDED, "peer_closed"),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n7", How.ADDED, "peer_closed"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7HTTP/1.1 ", How.ADDED, "unasked_bytes"),
        (b"", How.UNCERTAIN, "peer_closed"),
    ],
)
def test_each_answer_proves_what_it_proves(answer: bytes, how: How, reason: str) -> None:
    with listener() as hop, rig(hop.getsockname()) as at:
        call = at.add("a", 2.0)
        with accepted(hop) as sock:
            run_until(at.loop, lambda: at.client.connections[0].calls)
            said = read_until(sock, b"\r\n\r\n")
            assert said.startswith(b"POST /v1/count/a?add=2&ttl_ms=60000 HTTP/1.1\r\n")
            sock.sendall(answer)
        end = at.until(call)[0]
        assert end.how is how
        assert (end.total is not None) == (b"\r\n\r\n7" in answer)
        run_until(at.loop, lambda: at.reasons() == [reason])


def test_what_was_not_written_whole_has_added_nothing() -> None:
    with listener() as hop:
        address = hop.getsockname()
    with rig(address) as at:
        assert at.until(at.add("a"))[0].how is How.NOTHING
        assert at.reasons() == ["connect_failed:ECONNREFUSED"]
    with socket.socket() as full:  # a connection that never comes up: given up in time, and never sent later
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        held = [socket.socket() for _ in range(3)]
        for sock in held:
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
        with rig(full.getsockname(), 0.02) as at:
            assert at.until(at.add("a"))[0].how is How.NOTHING
            assert not any(one.load for one in at.client.connections)
        for sock in held:
            sock.close()


def test_a_call_that_is_stuck_half_written_ends_its_connection_and_has_added_nothing() -> None:
    class Narrow:
        """A socket that takes ten bytes and no more."""

        def __init__(self, sock: socket.socket) -> None:
            self.sock, self.room = sock, 10

        def send(self, data: bytes) -> int:
            if not self.room:
                raise BlockingIOError
            taken, self.room = min(self.room, len(data)), 0
            return self.sock.send(data[:taken])

        def close(self) -> None:
            self.sock.close()

    store = Store()
    with Door(store) as door, rig(door.address, 0.05) as at:
        assert at.until(at.add("a"))[0].how is How.ADDED
        connection = at.client.connections[0]
        connection.sock = Narrow(connection.sock)  # type: ignore[assignment]
        assert at.until(at.add("a"))[0].how is How.NOTHING
        assert at.reasons() == ["stuck"]
        assert store.calls == 1


def test_a_cut_at_any_byte_of_the_answers_settles_each_call_truly() -> None:
    """Two calls on one connection; the first is added for sure once its status has come, and so on."""
    one = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n5"
    head = one.index(b"\r\n\r\n") + 4
    for cut in range(2 * len(one) + 1):
        with listener() as hop, rig(hop.getsockname()) as at:
            calls = [at.add("a"), at.add("b")]
            with accepted(hop) as sock:
                run_until(at.loop, lambda at=at: len(at.client.connections[0].calls) == 2)  # type: ignore[misc]
                read_until(
                    sock,
                    b"b?add=1&ttl_ms=60000 HTTP/1.1\r\nHost: %s:%d\r\nContent-Length: 0\r\n\r\n"
                    % (hop.getsockname()[0].encode(), hop.getsockname()[1]),
                )
                sock.sendall((one + one)[:cut])
            for place, end in enumerate(at.until(*calls)):
                got = cut - place * len(one)
                assert end.how is (How.ADDED if got >= head else How.UNCERTAIN), (cut, place)
                assert end.total == (5.0 if got >= len(one) else None), (cut, place)


def test_another_address_is_used_at_once_and_what_was_open_ends_as_its_bytes_say() -> None:
    with listener() as old, Door(Store()) as door, rig(old.getsockname()) as at:
        call = at.add("a")
        with accepted(old) as sock:
            run_until(at.loop, lambda: at.client.connections[0].calls)
            read_until(sock, b"\r\n\r\n")
            at.client.move(door.address)
            assert call[0].how is How.UNCERTAIN
            assert at.reasons() == ["moved"]
            assert at.until(at.add("a"))[0].total == 1.0


def test_an_idle_connection_that_the_counter_closes_costs_no_call() -> None:
    with Door(Store(), idle=0.02) as door, rig(door.address) as at:
        assert at.until(at.add("a"))[0].total == 1.0
        run_until(at.loop, lambda: at.reasons() == ["peer_closed"])
        assert at.until(at.add("a"))[0].total == 2.0


@given(st.binary(max_size=MAX_BODY + 2))
def test_a_total_is_a_number_or_nothing(body: bytes) -> None:
    total = read_total(body)
    assert total is None or abs(float(body) - total) <= abs(total) * 1e-9


@settings(deadline=None)
@given(st.text(max_size=70), st.floats(), st.floats(-10, 100))
def test_a_call_is_one_that_the_counter_takes_or_none(name: str, amount: float, life: float) -> None:
    try:
        said = encode(name, amount, life, ("127.0.0.1", 1))
    except ValueError:
        return
    server = h11.Connection(our_role=h11.SERVER)
    server.receive_data(said)
    request = server.next_event()
    assert isinstance(request, h11.Request)
    path, _, query = request.target.decode().partition("?")
    assert path == f"/v1/count/{name}"
    added, ttl = query.split("&")
    assert abs(float(added.removeprefix("add=")) - amount) <= 1e-6
    assert 1 <= int(ttl.removeprefix("ttl_ms=")) <= 60000
