"""Timers of requests that have their answers: clients may set their times minutes ahead."""

from __future__ import annotations

import socket

import pytest

from hoistfold import interface as i
from standflow.assembly import Ingress
from standflow.config import read
from standflow.net.loop import MIN_PURGED_TIMERS, Loop
from tests.test_endings import known
from tests.wire import command, config, listener, read_until, run_until
from tests.world import ended, request, sends, started

LATEST_SECONDS = 600.0


def test_cancelled_timers_of_late_times_do_not_fill_the_heap() -> None:
    loop, fired = Loop(lambda text: None), list[int]()
    for number in range(20 * MIN_PURGED_TIMERS):
        loop.call_later(LATEST_SECONDS, int).cancel()
        if number % 100 == 0:
            loop.call_later(0.0, fired.append, number)
    assert len(loop.timers) <= 2 * MIN_PURGED_TIMERS
    run_until(loop, lambda: len(fired) == 200)
    assert fired == sorted(fired)
    loop.epoll.close()


def test_timers_that_are_dropped_while_one_fires_change_no_other() -> None:
    loop, fired = Loop(lambda text: None), list[int]()

    def fill() -> None:
        for _ in range(3 * MIN_PURGED_TIMERS):
            loop.call_later(LATEST_SECONDS, int).cancel()

    loop.call_later(0.0, fill)
    for number in range(5):
        loop.call_later(0.0, fired.append, number)
    run_until(loop, lambda: len(fired) == 5)
    assert fired == [0, 1, 2, 3, 4]
    loop.epoll.close()


@pytest.mark.parametrize("end", ["served", "refused", "cancelled", "stream"])
def test_module_keeps_nothing_of_a_request_that_has_its_answer(end: str) -> None:
    gateway = started()
    actions = gateway.handle(1.0, request("r", time_left=LATEST_SECONDS))
    assert len(gateway.timers) == 1
    (send,) = sends(actions)
    if end == "served":
        gateway.handle(1.1, ended(send, i.Outcome.OK))
    elif end == "refused":
        gateway._refuse(gateway.requests["r"], 1.0, "room")
    elif end == "cancelled":
        gateway.handle(1.1, i.RequestCancelled("r"))
    else:
        gateway.handle(1.1, i.StreamStarted("r", 0, send.backend, 0.1))
    assert not gateway.timers
    assert len(gateway.cancelled_timers) == 1


def test_request_that_is_answered_leaves_no_timer_in_the_loop() -> None:
    with listener() as hop:
        loop = Loop(lambda text: None)
        raw = config(known=known(hop), discovery="127.0.0.1:1")
        ingress = Ingress(read(raw, lambda text: None), loop, lambda text: None)
        ingress.start()
        run_until(loop, lambda: ingress.clients.ready)
        client = socket.create_connection(ingress.clients.address)
        client.sendall(command("aa01", d=600_000))
        run_until(loop, lambda: ingress.next_hops.forwards == 1)
        backend, _ = hop.accept()
        backend.sendall(b"*3\r\n$2\r\nva\r\n$-1\r\n$-1\r\n")
        run_until(loop, lambda: not ingress.exchange.open_count)
        assert read_until(client, b"va\r\n")
        late = loop.now() + LATEST_SECONDS / 2
        assert not [when for when, _, timer in loop.timers if timer.call is not None and when > late]
        assert not ingress.driver.module.timers
        client.close()
        backend.close()
        ingress.close()
        loop.epoll.close()
