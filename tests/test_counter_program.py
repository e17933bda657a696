"""Ingresses without peer messages, which share quotas through the counter alone."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from lab.box import Box
from lab.callers import command, read, reply_outcome
from lab.counter import CounterServer, ServerFaults, Store
from lab.processes import WAIT_LIMIT_SECONDS, Ingress
from standflow.counter.ledger import PERIOD_SECONDS, SETTLE_SECONDS, VERIFY_SECONDS, decode_register
from standflow.counter.rate_limit import DECREASE_FACTOR, DECREASE_INTERVAL_SECONDS, AdaptiveRateLimit

FILE = """
name      n%d
listen    127.0.0.1:0
number    %d
ingresses 2
counter   %s
class look {
    aim       1s
    deadline  3s
}
plan plain {
    rate   0.2
    burst  20
}
limits {
    peer-messages  0
}
next-hop s-1 {
    address  %s
}
witness {
    every  50ms
    near   0%%
}
"""


@contextmanager
def pair(folder: Path, box: Box, server: CounterServer) -> Iterator[list[Ingress]]:
    made: list[Ingress] = []
    try:
        for number in range(2):
            path = folder / f"{number}.conf"
            addresses = [f"{one.address[0]}:{one.address[1]}" for one in (server, box)]
            path.write_text(FILE % (number, number, *addresses))
            made.append(Ingress(path))
        yield made
    finally:
        for one in made:
            one.end()


def served(one: Ingress, tries: int, name: str) -> int:
    """Sends requests of one tenant, whose ring has both ingresses, and counts those that are served."""
    count = 0
    with socket.create_connection(one.address(), 5.0) as sock:
        for serial in range(tries):
            options = b"c=look,t=plain,d=3000,units=1,spread=2,first=0"
            sock.sendall(command([b"Q.ASK", b"%016x" % 7, f"{name}{serial}".encode(), options]))
            count += reply_outcome(read(sock)) == "served"
    return count


def until(met: Callable[[], object]) -> None:
    """Waits for a condition. The timeout is generous, so that a slow machine fails no test."""
    end = time.monotonic() + WAIT_LIMIT_SECONDS
    while not met():
        assert time.monotonic() < end
        time.sleep(0.02)


def units_in_counter(server: CounterServer, ring_index: int) -> int:
    """The highest running count in the counter for a ring index, in units."""
    found = [
        decode_register(b"", ring_index, number.total)
        for name, number in list(server.store.numbers.items())
        if name.endswith(f".{ring_index}")
    ]
    return max((reading.count for reading in found if reading is not None), default=0) // 4


def read_by_the_other(server: CounterServer, ring_index: int) -> int:
    """How often the register of a ring index was read, almost always by the other ingress."""
    with server.store.lock:
        return sum(count for name, count in server.store.reads.items() if name.endswith(f".{ring_index}"))


def test_the_counter_enforces_a_quota_over_two_ingresses_without_peer_messages(tmp_path: Path) -> None:
    with Box() as box, CounterServer(Store()) as server, pair(tmp_path, box, server) as (first, second):
        began = time.monotonic()
        two = served(second, 1, "b")
        until(lambda: units_in_counter(server, 1) == two == 1)
        one = 0

        def most_of_the_burst() -> bool:
            nonlocal one
            one += served(first, 1, f"a{time.monotonic_ns()}x")
            return one >= 16

        until(most_of_the_burst)  # in steps: until the counter is read, the fallback admits four at once
        until(lambda: units_in_counter(server, 0) == one)
        before = read_by_the_other(server, 0)
        until(lambda: read_by_the_other(server, 0) >= before + 3)  # the second ingress has applied the total
        two += served(second, 30, "c")
        assert one + two <= 20 + 1 + 0.2 * (time.monotonic() - began)


def test_after_a_reload_to_an_empty_counter_the_use_is_written_to_it(tmp_path: Path) -> None:
    with (
        Box() as box,
        CounterServer(Store()) as server,
        CounterServer(Store()) as other,
        pair(tmp_path, box, server) as both,
    ):
        first, second = both
        server.faults.delay = 0.05  # the total is there well before its writer knows
        while time.time() % PERIOD_SECONDS > PERIOD_SECONDS - 8.0:
            # a register is empty at the start of a period, so an emptied one would go unnoticed
            time.sleep(0.1)
        assert served(first, 2, "a") == 2
        until(lambda: units_in_counter(server, 0) == 2)
        # A writer that moves before it has its answer does not know its total, and can't miss it. By now it
        # has the answer, or has read its register again.
        time.sleep(SETTLE_SECONDS + VERIFY_SECONDS)
        for one, path in zip(both, ("0.conf", "1.conf"), strict=True):
            text = (tmp_path / path).read_text()
            moved = text.replace(f":{server.address[1]}\n", f":{other.address[1]}\n")
            assert moved != text
            (tmp_path / path).write_text(moved)
            one.signal(signal.SIGHUP)
            one.wait_for_log("reload: done")
            if one is first:  # if both moved at once, either might find it empty, and the other refilled
                until(lambda: units_in_counter(other, 0) == 2)  # the first ingress has rewritten its register
                first.wait_for_log("counter: good -> emptied", 10.0)
        until(lambda: units_in_counter(other, 0) == 2)
        assert second.process.poll() is None


def test_a_restarted_ingress_learns_the_use_of_its_previous_run(tmp_path: Path) -> None:
    with Box() as box, CounterServer(Store()) as server, pair(tmp_path, box, server) as (first, _):
        assert served(first, 3, "a") == 3
        until(lambda: units_in_counter(server, 0) == 3)
        first.process.kill()
        first.process.wait()
        again = Ingress(tmp_path / "0.conf")
        try:
            assert served(again, 1, "b") == 1
            until(lambda: units_in_counter(server, 0) == 4)  # three of the previous run, and one
        finally:
            again.end()


def test_a_counter_that_does_not_answer_delays_no_request(tmp_path: Path) -> None:
    with (
        Box() as box,
        CounterServer(Store(), ServerFaults(cut={0})) as server,
        pair(tmp_path, box, server) as (first, _),
    ):
        assert served(first, 1, "a") == 1
        first.wait_for_log("end counter silent", 10.0)


def test_an_unreachable_counter_is_logged_and_delays_no_request(tmp_path: Path) -> None:
    with Box() as box, CounterServer(Store()) as server, pair(tmp_path, box, server) as (first, _):
        assert served(first, 1, "a") == 1
        until(lambda: units_in_counter(server, 0) == 1)
        server.close()
        first.wait_for_log(r"counter: \w+ -> gone", 10.0)
        first.wait_for_log(r"quotas: \w+ -> neither", 10.0)
        assert served(first, 1, "b") == 1


def test_rejections_lower_the_call_rate_and_it_recovers_later() -> None:
    limit, now, made = AdaptiveRateLimit(100.0, 0.0), 0.0, 0
    for _ in range(100):
        now += 0.01
        for _ in range(limit.available(now)):
            limit.spend()
            made += 1
    assert 95 <= made <= 101
    limit.record_result(True, now)
    limit.record_result(True, now + DECREASE_INTERVAL_SECONDS / 2)  # counts as the same rejection
    assert limit.rate == DECREASE_FACTOR * 100.0
    for _ in range(20):
        now += DECREASE_INTERVAL_SECONDS
        limit.record_result(True, now)
    assert limit.rate == 2.0
    limit.set_max_rate(10.0)
    assert (limit.rate, limit.max_rate) == (0.2, 10.0)
    limit.set_max_rate(100.0)
    assert limit.rate == 2.0
    limit.record_result(False, now)
    assert limit.available(now + 100.0) == 100
    assert limit.rate == 100.0
