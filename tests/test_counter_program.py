"""Ingresses without a ring between them, and the counter as their only witness."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from lab.box import Box
from lab.callers import command, kind_of, read
from lab.counter import Door, Store, Way
from lab.processes import LIMIT, Ingress
from standflow.counter.ledger import PERIOD, decode
from standflow.counter.rate_limit import FALL, PAUSE, AdaptiveRateLimit

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
def pair(folder: Path, box: Box, door: Door) -> Iterator[list[Ingress]]:
    made: list[Ingress] = []
    try:
        for number in range(2):
            path = folder / f"{number}.conf"
            places = [f"{one.address[0]}:{one.address[1]}" for one in (door, box)]
            path.write_text(FILE % (number, number, *places))
            made.append(Ingress(path))
        yield made
    finally:
        for one in made:
            one.end()


def served(one: Ingress, tries: int, name: str) -> int:
    """How many of some requests were served, all for one customer of both ingresses."""
    count = 0
    with socket.create_connection(one.address(), 5.0) as sock:
        for serial in range(tries):
            options = b"c=look,t=plain,d=3000,units=1,spread=2,first=0"
            sock.sendall(command([b"Q.ASK", b"%016x" % 7, f"{name}{serial}".encode(), options]))
            count += kind_of(read(sock)) == "served"
    return count


def until(met: Callable[[], object]) -> None:
    """Waits for something; no verdict hangs on how long it takes."""
    end = time.monotonic() + LIMIT
    while not met():
        assert time.monotonic() < end
        time.sleep(0.02)


def held(door: Door, place: int) -> int:
    """The greatest running count that the counter holds of a ring place, in units."""
    found = [
        decode(b"", place, number.total)
        for name, number in list(door.store.numbers.items())
        if name.endswith(f".{place}")
    ]
    return max((told.count for told in found if told is not None), default=0) // 4


def read_by_the_other(door: Door, place: int) -> int:
    """How often the register of a ring place was read; its own ingress only adds to it."""
    with door.store.lock:
        return sum(count for name, count in door.store.reads.items() if name.endswith(f".{place}"))


def test_the_counter_holds_a_quota_over_two_ingresses_that_hear_nothing_of_each_other(tmp_path: Path) -> None:
    with Box() as box, Door(Store()) as door, pair(tmp_path, box, door) as (first, second):
        began = time.monotonic()
        two = served(second, 1, "b")
        until(lambda: held(door, 1) == two == 1)
        one = 0

        def most_of_the_burst() -> bool:
            nonlocal one
            one += served(first, 1, f"a{time.monotonic_ns()}x")
            return one >= 16

        until(most_of_the_burst)  # the fallback without a word from the other lets in four at once
        until(lambda: held(door, 0) == one)
        before = read_by_the_other(door, 0)
        until(lambda: read_by_the_other(door, 0) >= before + 3)  # what it was told of that is in force
        two += served(second, 30, "c")
        assert one + two <= 20 + 1 + 0.2 * (time.monotonic() - began)


def test_a_reload_moves_to_an_empty_counter_and_takes_the_use_along(
    tmp_path: Path,
) -> None:
    with Box() as box, Door(Store()) as door, Door(Store()) as other, pair(tmp_path, box, door) as both:
        first, second = both
        while time.time() % PERIOD > PERIOD - 6.0:
            time.sleep(0.1)  # a new period's register is empty anyway, so none would be seen to be emptied
        assert served(first, 2, "a") == 2
        until(lambda: held(door, 0) == 2)
        for one, path in zip(both, ("0.conf", "1.conf"), strict=True):
            text = (tmp_path / path).read_text()
            moved = text.replace(f":{door.address[1]}\n", f":{other.address[1]}\n")
            assert moved != text
            (tmp_path / path).write_text(moved)
            one.signal(signal.SIGHUP)
            one.logged("reload: done")
            if one is first:  # moved together, either may find it empty, and the other finds it refilled
                until(lambda: held(other, 0) == 2)  # the empty one is refilled by who knows
                first.logged("counter: good -> emptied", 10.0)
        until(lambda: held(other, 0) == 2)
        assert second.process.poll() is None


def test_a_restarted_ingress_learns_what_its_earlier_life_used(tmp_path: Path) -> None:
    with Box() as box, Door(Store()) as door, pair(tmp_path, box, door) as (first, _):
        assert served(first, 3, "a") == 3
        until(lambda: held(door, 0) == 3)
        first.process.kill()
        first.process.wait()
        again = Ingress(tmp_path / "0.conf")
        try:
            assert served(again, 1, "b") == 1
            until(lambda: held(door, 0) == 4)  # three of its earlier life, and one
        finally:
            again.end()


def test_a_counter_that_says_nothing_delays_no_answer(tmp_path: Path) -> None:
    with Box() as box, Door(Store(), Way(cut={0})) as door, pair(tmp_path, box, door) as (first, _):
        assert served(first, 1, "a") == 1
        first.logged("end counter silent", 10.0)


def test_a_counter_that_is_gone_is_told_and_delays_no_answer(tmp_path: Path) -> None:
    with Box() as box, Door(Store()) as door, pair(tmp_path, box, door) as (first, _):
        assert served(first, 1, "a") == 1
        until(lambda: held(door, 0) == 1)
        door.close()
        first.logged(r"counter: \w+ -> gone", 10.0)
        first.logged(r"quotas: \w+ -> neither", 10.0)
        assert served(first, 1, "b") == 1


def test_a_counter_that_turns_calls_away_is_asked_less_and_later_more_again() -> None:
    budget, now, made = AdaptiveRateLimit(100.0, 0.0), 0.0, 0
    for _ in range(100):
        now += 0.01
        for _ in range(budget.take(now)):
            budget.spend()
            made += 1
    assert 95 <= made <= 101
    budget.ended(True, now)
    budget.ended(True, now + PAUSE / 2)  # of the same burst
    assert budget.rate == FALL * 100.0
    for _ in range(20):
        now += PAUSE
        budget.ended(True, now)
    assert budget.rate == 2.0
    budget.allow(10.0)
    assert (budget.rate, budget.most) == (0.2, 10.0)
    budget.allow(100.0)
    assert budget.rate == 2.0
    budget.ended(False, now)
    assert budget.take(now + 100.0) == 100
    assert budget.rate == 100.0
