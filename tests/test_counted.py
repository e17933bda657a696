"""Quotas where no peer may be told: the counter keeps each customer's store."""

from __future__ import annotations

import json
import random
import signal
import socket
import time
from collections import deque
from contextlib import ExitStack, suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from hoistfold import interface as i
from hoistfold.counter_quotas import PERIOD_SECONDS, TOLERANCE, CounterQuotas
from hoistfold.state import Quota, Request
from lab.box import Box
from lab.callers import command, kind_of, read
from lab.counted import CountedFleet
from lab.counter import Door, Store, Way
from standflow.counter.client import CallEffect, CallResult
from standflow.counter.quota_calls import QuotaCalls
from standflow.exchange import Outcome
from standflow.net.loop import Loop
from tests.wire import Program, config, member, program, run_until
from tests.world import BASIC, LIMITED, READ, Counting, ended, of, sends

AWAY = [i.Outcome.TIMEOUT, i.Outcome.FULL, i.Outcome.CONNECT_FAILED, i.Outcome.RESET]


def spent(world: Counting, tries: int, tag: str = "a") -> int:
    """How many of so many tries, one gateway after the other, are sent on."""
    return sum(world.ask(n % len(world.live), f"{tag}{n}") for n in range(tries))


def test_a_hundred_gateways_hold_a_small_quota_together() -> None:
    world = Counting(100)
    assert spent(world, 100) == BASIC.burst
    world.now += 2.0
    assert spent(world, 100, "b") == 2.0 * BASIC.rate


def test_what_is_inside_the_quota_is_not_refused_wherever_it_comes() -> None:
    world = Counting(3)
    assert all(world.ask(1, f"a{n}") for n in range(10))  # all of the burst by one gateway
    assert not world.ask(0, "b")
    world.now += 0.5
    assert world.ask(0, "c")


def test_a_store_that_was_full_holds_no_more_than_its_burst() -> None:
    world = Counting(5)
    assert world.ask(0, "a")
    world.now += 20.0  # all of one period
    assert BASIC.burst <= spent(world, 100, "b") <= (1 + TOLERANCE) * BASIC.burst


def test_what_is_left_of_a_period_goes_over_to_the_next() -> None:
    world = Counting(5)
    assert spent(world, 20) == BASIC.burst
    names, step = len(world.numbers), 0.5
    for n in range(round(2 * PERIOD_SECONDS / step)):
        world.now += step
        assert spent(world, 20, f"{n}.") <= step * BASIC.rate + 1
    assert len(world.numbers) > names  # a period has ended


def test_a_request_whose_caller_leaves_while_the_total_is_asked_for_is_not_sent_on() -> None:
    world = Counting(3)
    world.ask(0, "before")
    world.held = []
    assert not sends(world.come(0, "a"))
    world.live[0].handle(world.now, i.RequestCancelled("a"))
    assert not sends(world.release())
    assert spent(world, 30, "b") == BASIC.burst - 1  # and its units are given back


def test_a_total_that_comes_after_the_last_answer_sends_nothing() -> None:
    world = Counting(3)
    world.held = []
    timer = of(world.come(0, "a"), i.SetTimer)[0]
    world.now += timer.delay
    assert of(world.live[0].handle(world.now, i.TimerFired(timer.handle)), i.Fail)
    assert not sends(world.release())


def test_two_that_put_a_number_right_at_once_do_so_once() -> None:
    world = Counting(3)
    world.ask(2, "a")
    world.now += 20.0  # far below nothing
    world.held = []
    world.come(0, "b")
    world.come(1, "c")
    world.release(at_once=False)  # both are told so, before either has put it right
    world.release()
    assert spent(world, 30, "d") >= BASIC.burst - 3


@pytest.mark.parametrize("outcome", AWAY)
def test_without_the_counter_a_share_is_let_in(outcome: i.Outcome) -> None:
    world = Counting(3)
    world.outcome = outcome
    assert BASIC.burst / 3 <= spent(world, 60) <= BASIC.burst + 3


def test_what_the_counter_did_not_take_back_is_told_again() -> None:
    world = Counting(3)
    assert spent(world, 30) == BASIC.burst
    world.now += 0.3  # as far as is known here there is room, so that it is asked for
    world.live[1].quotas.clear()
    world.held = []
    world.come(1, "b")
    world.release(at_once=False)  # added and refused; now it is to be given back
    total = max(world.numbers.values())
    world.outcome = i.Outcome.FULL
    world.release()
    world.outcome = i.Outcome.OK
    assert total in world.numbers.values()
    world.pass_on(1, world.live[1].handle(world.now, i.TimerFired(0)))
    assert total - 1 in world.numbers.values()


def test_what_was_let_in_unasked_is_said_with_the_next_ask() -> None:
    world = Counting(3)
    world.ask(1, "first")
    world.outcome = i.Outcome.FULL
    assert world.ask(0, "a")
    world.outcome, world.live[0].counter.budget.share = i.Outcome.OK, 1.0
    assert spent(world, 30, "b") == BASIC.burst - 2


def test_a_number_above_the_burst_is_put_right() -> None:
    world = Counting(3)
    assert spent(world, 30) == BASIC.burst
    name = max(world.numbers, key=lambda one: world.numbers[one])
    world.numbers[name] += 30.0  # as corrections that crossed may leave it
    world.now += 1.0
    assert not world.ask(0, "b")
    world.now += 3.0
    assert world.ask(1, "c")  # thirty more would have taken fifteen seconds to drain


def test_without_a_word_own_use_drains_at_an_even_share() -> None:
    world = Counting(100)
    world.outcome = i.Outcome.CONNECT_FAILED
    assert sum(world.ask(0, f"a{n}") for n in range(9)) == 4  # one request of any size
    world.now += 2.0  # four units at the whole rate, a twenty-fifth of one at an even share
    assert not world.ask(0, "b")


def test_room_that_is_not_there_takes_nothing_from_a_quota() -> None:
    world = Counting(3)
    world.live[0].handle(world.now, i.BackendsListed(i.ListKind.FULL, ()))  # nowhere to send to
    assert not world.ask(0, "a")
    assert spent(world, 1) == 0
    assert not world.calls  # nor a call of the counter, which has few
    assert sum(world.ask(1, f"b{n}") for n in range(30)) == BASIC.burst


def test_attempts_out_at_once_are_counted_over_all() -> None:
    world = Counting(40)
    out = [sends(world.come(n, f"a{n}", plan="limited")) for n in range(40)]
    assert sum(map(bool, out)) == LIMITED.max_open
    for number, sent in enumerate(out):
        for send in sent:  # one ends well, the other can't be reached and is tried again
            how = i.Outcome.CONNECT_FAILED if number else i.Outcome.OK
            after = world.pass_on(number, world.live[number].handle(world.now, ended(send, how)))
            again = sends(after)
            assert bool(again) == bool(number)
            out[number] = again
    assert sum(bool(sends(world.come(n, f"b{n}", plan="limited"))) for n in range(40)) == 1
    world.live[1].handle(world.now, i.RequestCancelled("a1"))  # its attempt is out all the same
    assert not sends(world.come(7, "c", plan="limited"))
    attempt = ended(out[1][0], i.Outcome.CANCELLED, 1)
    world.pass_on(1, world.live[1].handle(world.now, replace(attempt, finished=True)))
    assert sends(world.come(7, "d", plan="limited"))
    assert not any(
        gateway.counter.counted_requests for n, gateway in enumerate(world.live) if not gateway.open_attempts
    )


@pytest.mark.parametrize("rate", [0.0, 100.0])
def test_a_ceiling_is_kept_whatever_the_counter_tells(rate: float) -> None:
    plan = i.Plan("ceiled", rate, 100.0 * bool(rate), 50, 1.0, 0.0, 0.6, 2.0, 8.0, 1.0)
    world = Counting(4, plans=(plan,))
    assert sum(world.ask(n % 4, f"a{n}", plan="ceiled") for n in range(60)) <= 9
    world.now += 2.0
    assert sum(world.ask(n % 4, f"b{n}", plan="ceiled") for n in range(60)) <= 5


def test_with_peers_or_without_a_counter_none_is_called() -> None:
    for changes in (
        {"may_message_peers": True},
        {"may_use_counter": False},
        {"counter_reconciliation": True},
    ):
        world = Counting(3, **changes)
        spent(world, 9)
        assert not world.calls


@pytest.mark.parametrize("seed", range(20))
def test_what_is_let_in_stays_within_an_exact_store(seed: int) -> None:
    """Random tries with idle spells: beyond it by the tolerance at most."""
    chance, world = random.Random(seed), Counting(7)
    level = over = 0.0
    for n in range(600):
        passed = chance.expovariate(chance.choice([0.5, 5.0, 50.0]))
        world.now += passed
        level = max(0.0, level - passed * BASIC.rate)
        units = chance.choice([1.0, 2.0])
        if world.ask(chance.randrange(7), f"{n}", units=units):
            level += units
        over = max(over, level - BASIC.burst)
    assert over <= TOLERANCE * BASIC.burst + 1e-6


def test_of_a_pressed_counter_the_dearest_plan_is_asked_first_and_later_all_again() -> None:
    made: list[i.Action] = []
    stores, dear = CounterQuotas(0.08, made.append), replace(BASIC, name="dear", price=3.0)

    def asks(plan: i.Plan, tries: int) -> int:
        before = len(made)
        for _ in range(tries):
            quota = Quota(plan.name.encode(), plan, 0, 9, 0, 0.0, 0.0)
            asked = Request("r", READ, quota, 3.0, False, 1.0)
            stores.check(1000.0, asked, True, lambda used: False)
        return len(made) - before

    now = 1000.0

    def answer(latency: float) -> None:
        nonlocal now
        while made:
            call, now = made.pop(0), now + 0.1
            assert isinstance(call, i.AddToCounter)
            stores.counter_answered(now, i.CounterAnswered(call.name, i.Outcome.OK, 5.0, latency))

    assert [asks(BASIC, 20), asks(dear, 20)] == [20, 20]
    stores.budget.share = 0.5
    few, most = asks(BASIC, 20), asks(dear, 20)
    assert few <= 6 < 18 <= most
    answer(0.07)  # in time, though with a line that is about to turn calls away
    assert stores.budget.share < 0.1
    for _ in range(200):
        asks(dear, 1)
        answer(0.002)
    assert stores.budget.share == 1.0
    assert asks(BASIC, 20) == 20


def test_of_a_pressed_counter_that_is_asked_which_most_likely_changes_the_answer() -> None:
    stores = CounterQuotas(0.08, lambda action: None)
    inside, refused = (BASIC, True), (BASIC, False)  # what would be let in unasked, and what would not
    stores.budget.over_quota_rate = {inside: 0.0, refused: 0.0}  # there is room for all
    assert stores.budget.answer_value(refused) > stores.budget.answer_value(inside) == 0.0
    stores.budget.over_quota_rate = {inside: 0.5, refused: 1.0}  # there is room for half, and for none
    assert stores.budget.answer_value(inside) > stores.budget.answer_value(refused) == 0.0


def test_a_fleet_with_a_counter_that_serves_all_its_calls_keeps_to_the_quotas() -> None:
    fleet = CountedFleet(8, 8 * 60.0, 13.0)
    fleet.run(10.0)
    assert fleet.figures["beyond"] <= 0.02 * fleet.figures["sent"]
    assert fleet.figures["with-room"] <= 0.01 * fleet.figures["refused"]


def test_totals_of_a_name_are_told_in_the_order_of_the_calls() -> None:
    """Also where a later call's answer comes first, on another connection."""
    loop, told = Loop(print), list[tuple[Outcome, float]]()
    with Door(Store()) as door:
        quota_calls = QuotaCalls(
            loop, print, door.address, 1.0, lambda *end: told.append((end[1], end[2])), lambda name: None
        )
        first: list[Any] = []
        quota_calls.pending[7] = deque([first])  # a call on a connection that is slow
        for _ in range(2):
            quota_calls.count(7, 1.0, 60.0)
        run_until(loop, lambda: all(quota_calls.pending[7][n] for n in (1, 2)))
        assert told == []
        quota_calls._finish_call(7, first, CallResult(CallEffect.UNCERTAIN, None, 1.0))
        assert told == [(Outcome.TIMEOUT, 0.0), (Outcome.OK, 1.0), (Outcome.OK, 2.0)]
        assert not quota_calls.pending
        quota_calls.close()


def test_what_was_unanswered_and_is_turned_away_late_is_added_after_all() -> None:
    """The line is longer than the limit: the module was told that it may have been added."""
    loop, told = Loop(print), list[Outcome]()
    with socket.create_server(("127.0.0.1", 0)) as server:
        quota_calls = QuotaCalls(
            loop, print, server.getsockname(), 0.05, lambda *end: told.append(end[1]), lambda name: None
        )
        quota_calls.count(7, -1.0, 60.0)
        run_until(loop, lambda: told == [Outcome.TIMEOUT])
        counter = server.accept()[0]
        asked = counter.recv(65536)
        counter.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        counter.setblocking(False)
        again = bytearray()

        def heard() -> bool:
            with suppress(BlockingIOError):
                again.extend(counter.recv(65536))
            return bytes(again) == asked

        run_until(loop, heard)
        counter.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n5")
        run_until(loop, lambda: not quota_calls.client.connections[0].calls)
        assert told == [Outcome.TIMEOUT]
        counter.close()
        quota_calls.close()


# Real processes.


def of_two(number: int, box: Box, door: Door | None) -> dict[str, Any]:
    """A configuration of one of two ingresses that may tell each other nothing."""
    raw = config(known={"revision": 1, "complete": True, "members": [member(box.address)]})
    settings = raw["settings"]
    settings |= {"Me": number, "Balancers": 2}
    settings["Caps"]["PeerMessages"] = False
    settings["FamilyInfo"] |= {"Counter": True, "CountLimitUs": 2_000_000}
    settings["Contracts"][0] |= {"PeakUnits": 6, "Rate": 0.01}
    return raw | ({} if door is None else {"counter": f"127.0.0.1:{door.address[1]}"})


def served(connection: socket.socket, tries: int, name: str) -> int:
    """How many of some requests of one customer of both ingresses are served."""
    count = 0
    for serial in range(tries):
        options = b"c=look,t=plain,d=3000,units=1,spread=2,first=0"
        connection.sendall(command([b"Q.ASK", b"%016x" % 7, f"{name}{serial}".encode(), options]))
        count += kind_of(read(connection)) == "served"
    return count


def test_two_ingresses_hold_a_quota_by_the_counter_alone(tmp_path: Path) -> None:
    with ExitStack() as stack:
        box, door = stack.enter_context(Box()), stack.enter_context(Door(Store()))
        both: list[Program] = []
        for number in range(2):
            folder = tmp_path / f"{number}"
            folder.mkdir()
            both.append(stack.enter_context(program(folder, of_two(number, box, door))))
        connections = [one.call() for one in both]
        assert served(connections[0], 5, "a") == 5  # more than an even share
        assert served(connections[1], 5, "b") == 1
        assert served(connections[0], 2, "c") == 0


def test_a_caller_that_leaves_while_the_counter_is_asked_is_not_sent_on(tmp_path: Path) -> None:
    way = Way(delay=0.5)
    with Box() as box, Door(Store(), way) as door, program(tmp_path, of_two(0, box, door)) as running:
        leaves, stays = running.call(), running.call()
        options = b"c=look,t=plain,d=3000,units=1,spread=2,first=0"
        leaves.sendall(command([b"Q.ASK", b"%016x" % 7, b"gone", options]))
        end = time.monotonic() + 20.0
        while not door.store.calls:
            assert time.monotonic() < end
            time.sleep(0.01)
        leaves.close()
        way.delay = 0.0
        assert served(stays, 1, "b") == 1  # answered after the one that left, on the counter's connection
        running.logged(r"end caller peer_closed answered=0 open=1")
        assert sum(box.counts.runs.values()) == 1


def test_a_reload_moves_the_calls_to_another_counter(tmp_path: Path) -> None:
    with ExitStack() as stack:
        box, door = stack.enter_context(Box()), stack.enter_context(Door(Store()))
        other = stack.enter_context(Door(Store()))
        running = stack.enter_context(program(tmp_path, of_two(0, box, door)))
        connection = running.call()
        assert served(connection, 1, "a") == 1
        (tmp_path / "config.json").write_text(json.dumps(of_two(0, box, other)))
        running.process.send_signal(signal.SIGHUP)
        running.logged("reload: done")
        before = door.store.calls
        served(connection, 4, "b")  # a call that was open as it moved makes the next ones rarer
        assert (door.store.calls, other.store.calls > 0) == (before, True), running.log


def test_a_counter_that_never_answers_delays_an_answer_by_its_limit_alone(tmp_path: Path) -> None:
    with Box() as box, Door(Store(), Way(cut={0})) as door:
        raw = of_two(0, box, door)
        raw["settings"]["FamilyInfo"]["CountLimitUs"] = 100_000
        with program(tmp_path, raw) as running:
            assert served(running.call(), 1, "a") == 1
            running.logged(r"tally .*count.timeout=1")
