"""Quotas without peer messages: the counter service holds each tenant's window."""

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
from lab.callers import command, read, reply_outcome
from lab.counted import CountedFleet
from lab.counter import CounterServer, ServerFaults, Store
from standflow.counter.client import CallEffect, CallResult
from standflow.counter.quota_calls import QuotaCalls
from standflow.messages import Outcome
from standflow.net.loop import Loop
from tests.wire import Program, config, member, program, run_until
from tests.world import BASIC, LIMITED, READ, CounterNetwork, actions_of, ended, sends

UNAVAILABLE = [i.Outcome.TIMEOUT, i.Outcome.FULL, i.Outcome.CONNECT_FAILED, i.Outcome.RESET]


def admitted(network: CounterNetwork, count: int, prefix: str = "a") -> int:
    """Number of requests admitted, submitted to one gateway after the other."""
    return sum(network.submit(n % len(network.gateways), f"{prefix}{n}") for n in range(count))


def test_a_hundred_gateways_hold_a_small_quota_together() -> None:
    network = CounterNetwork(100)
    assert admitted(network, 100) == BASIC.burst
    network.now += 2.0
    assert admitted(network, 100, "b") == 2.0 * BASIC.rate


def test_requests_within_the_quota_are_admitted_at_every_gateway() -> None:
    network = CounterNetwork(3)
    assert all(network.submit(1, f"a{n}") for n in range(10))  # the whole burst at one gateway
    assert not network.submit(0, "b")
    network.now += 0.5
    assert network.submit(0, "c")


def test_an_idle_window_holds_no_more_than_its_burst() -> None:
    network = CounterNetwork(5)
    assert network.submit(0, "a")
    network.now += 20.0  # most of a period
    assert BASIC.burst <= admitted(network, 100, "b") <= (1 + TOLERANCE) * BASIC.burst


def test_the_level_of_a_period_is_carried_over_to_the_next() -> None:
    network = CounterNetwork(5)
    assert admitted(network, 20) == BASIC.burst
    names, step = len(network.numbers), 0.5
    for n in range(round(2 * PERIOD_SECONDS / step)):
        network.now += step
        assert admitted(network, 20, f"{n}.") <= step * BASIC.rate + 1
    assert len(network.numbers) > names  # a new period has begun


def test_a_request_cancelled_during_a_counter_call_is_not_sent() -> None:
    network = CounterNetwork(3)
    network.submit(0, "before")
    network.delayed_calls = []
    assert not sends(network.receive(0, "a"))
    network.gateways[0].handle(network.now, i.RequestCancelled("a"))
    assert not sends(network.release_calls())
    assert admitted(network, 30, "b") == BASIC.burst - 1  # its units are given back


def test_a_total_after_the_final_response_sends_nothing() -> None:
    network = CounterNetwork(3)
    network.delayed_calls = []
    timer = actions_of(network.receive(0, "a"), i.SetTimer)[0]
    network.now += timer.delay
    assert actions_of(network.gateways[0].handle(network.now, i.TimerFired(timer.handle)), i.Fail)
    assert not sends(network.release_calls())


def test_concurrent_corrections_are_applied_once() -> None:
    network = CounterNetwork(3)
    network.submit(2, "a")
    network.now += 20.0  # far below 0
    network.delayed_calls = []
    network.receive(0, "b")
    network.receive(1, "c")
    network.release_calls(at_once=False)  # both read it before either has corrected it
    network.release_calls()
    assert admitted(network, 30, "d") >= BASIC.burst - 3


@pytest.mark.parametrize("outcome", UNAVAILABLE)
def test_without_the_counter_an_even_share_is_admitted(outcome: i.Outcome) -> None:
    network = CounterNetwork(3)
    network.outcome = outcome
    assert BASIC.burst / 3 <= admitted(network, 60) <= BASIC.burst + 3


def test_a_refused_correction_is_retried() -> None:
    network = CounterNetwork(3)
    assert admitted(network, 30) == BASIC.burst
    network.now += 0.3  # the known level allows it, so the counter is called
    network.gateways[1].quotas.clear()
    network.delayed_calls = []
    network.receive(1, "b")
    network.release_calls(at_once=False)  # added and refused; now it is to be given back
    total = max(network.numbers.values())
    network.outcome = i.Outcome.FULL
    network.release_calls()
    network.outcome = i.Outcome.OK
    assert total in network.numbers.values()
    network.deliver(1, network.gateways[1].handle(network.now, i.TimerFired(0)))
    assert total - 1 in network.numbers.values()


def test_units_admitted_without_a_call_are_added_with_the_next_one() -> None:
    network = CounterNetwork(3)
    network.submit(1, "first")
    network.outcome = i.Outcome.FULL
    assert network.submit(0, "a")
    network.outcome, network.gateways[0].counter.budget.share = i.Outcome.OK, 1.0
    assert admitted(network, 30, "b") == BASIC.burst - 2


def test_a_number_above_the_burst_is_corrected() -> None:
    network = CounterNetwork(3)
    assert admitted(network, 30) == BASIC.burst
    name = max(network.numbers, key=lambda one: network.numbers[one])
    network.numbers[name] += 30.0  # as concurrent corrections may leave it
    network.now += 1.0
    assert not network.submit(0, "b")
    network.now += 3.0
    assert network.submit(1, "c")  # 30 more would have taken 15 s to drain


def test_without_answers_own_use_drains_at_an_even_share() -> None:
    network = CounterNetwork(100)
    network.outcome = i.Outcome.CONNECT_FAILED
    assert sum(network.submit(0, f"a{n}") for n in range(9)) == 4  # one request of any size
    network.now += 2.0  # 4 units at the full rate, 1/25 of one at an even share
    assert not network.submit(0, "b")


def test_a_request_without_a_backend_is_not_charged() -> None:
    network = CounterNetwork(3)
    network.gateways[0].handle(network.now, i.BackendsListed(i.ListKind.FULL, ()))  # no backend
    assert not network.submit(0, "a")
    assert admitted(network, 1) == 0
    assert not network.calls  # and no call of the counter either
    assert sum(network.submit(1, f"b{n}") for n in range(30)) == BASIC.burst


def test_concurrent_attempts_are_counted_over_all_gateways() -> None:
    network = CounterNetwork(40)
    out = [sends(network.receive(n, f"a{n}", plan="limited")) for n in range(40)]
    assert sum(map(bool, out)) == LIMITED.max_open
    for number, sent in enumerate(out):
        for send in sent:  # one succeeds, the other fails to connect and is retried
            how = i.Outcome.CONNECT_FAILED if number else i.Outcome.OK
            after = network.deliver(number, network.gateways[number].handle(network.now, ended(send, how)))
            again = sends(after)
            assert bool(again) == bool(number)
            out[number] = again
    assert sum(bool(sends(network.receive(n, f"b{n}", plan="limited"))) for n in range(40)) == 1
    network.gateways[1].handle(network.now, i.RequestCancelled("a1"))  # its attempt is still in flight
    assert not sends(network.receive(7, "c", plan="limited"))
    attempt = ended(out[1][0], i.Outcome.CANCELLED, 1)
    network.deliver(1, network.gateways[1].handle(network.now, replace(attempt, finished=True)))
    assert sends(network.receive(7, "d", plan="limited"))
    assert not any(
        gateway.counter.counted_requests
        for n, gateway in enumerate(network.gateways)
        if not gateway.open_attempts
    )


@pytest.mark.parametrize("rate", [0.0, 100.0])
def test_a_ceiling_holds_whatever_the_counter_returns(rate: float) -> None:
    plan = i.Plan("ceiled", rate, 100.0 * bool(rate), 50, 1.0, 0.0, 0.6, 2.0, 8.0, 1.0)
    network = CounterNetwork(4, plans=(plan,))
    assert sum(network.submit(n % 4, f"a{n}", plan="ceiled") for n in range(60)) <= 9
    network.now += 2.0
    assert sum(network.submit(n % 4, f"b{n}", plan="ceiled") for n in range(60)) <= 5


def test_with_peer_messages_or_without_a_counter_no_call_is_made() -> None:
    for changes in (
        {"may_message_peers": True},
        {"may_use_counter": False},
        {"counter_reconciliation": True},
    ):
        network = CounterNetwork(3, **changes)
        admitted(network, 9)
        assert not network.calls


@pytest.mark.parametrize("seed", range(20))
def test_admitted_units_stay_within_an_exact_window(seed: int) -> None:
    """Random requests with idle periods exceed it by the tolerance at most."""
    random_source, network = random.Random(seed), CounterNetwork(7)
    level = over = 0.0
    for n in range(600):
        passed = random_source.expovariate(random_source.choice([0.5, 5.0, 50.0]))
        network.now += passed
        level = max(0.0, level - passed * BASIC.rate)
        units = random_source.choice([1.0, 2.0])
        if network.submit(random_source.randrange(7), f"{n}", units=units):
            level += units
        over = max(over, level - BASIC.burst)
    assert over <= TOLERANCE * BASIC.burst + 1e-6


def test_an_overloaded_counter_is_called_first_for_the_most_valuable_plan() -> None:
    made: list[i.Action] = []
    quotas, dear = CounterQuotas(0.08, made.append), replace(BASIC, name="dear", price=3.0)

    def count_calls(plan: i.Plan, count: int) -> int:
        before = len(made)
        for _ in range(count):
            quota = Quota(plan.name.encode(), plan, 0, 9, 0, 0.0, 0.0)
            arrived = Request("r", READ, quota, 3.0, False, 1.0)
            quotas.check(1000.0, arrived, True, lambda used: False)
        return len(made) - before

    now = 1000.0

    def answer(latency: float) -> None:
        nonlocal now
        while made:
            call, now = made.pop(0), now + 0.1
            assert isinstance(call, i.AddToCounter)
            quotas.counter_answered(now, i.CounterAnswered(call.name, i.Outcome.OK, 5.0, latency))

    assert [count_calls(BASIC, 20), count_calls(dear, 20)] == [20, 20]
    quotas.budget.share = 0.5
    few, most = count_calls(BASIC, 20), count_calls(dear, 20)
    assert few <= 6 < 18 <= most
    answer(0.07)  # in time, but with a queue that is about to cause refusals
    assert quotas.budget.share < 0.1
    for _ in range(200):
        count_calls(dear, 1)
        answer(0.002)
    assert quotas.budget.share == 1.0
    assert count_calls(BASIC, 20) == 20


def test_calls_are_made_first_where_they_most_likely_change_the_decision() -> None:
    quotas = CounterQuotas(0.08, lambda action: None)
    inside, refused = (BASIC, True), (BASIC, False)  # admitted without a call, and not
    quotas.budget.over_quota_rate = {inside: 0.0, refused: 0.0}  # the quota is never exhausted
    assert quotas.budget.answer_value(refused) > quotas.budget.answer_value(inside) == 0.0
    # exhausted for half of the calls, and for all
    quotas.budget.over_quota_rate = {inside: 0.5, refused: 1.0}
    assert quotas.budget.answer_value(inside) > quotas.budget.answer_value(refused) == 0.0


def test_a_fleet_with_a_counter_that_serves_all_its_calls_keeps_to_the_quotas() -> None:
    fleet = CountedFleet(8, 8 * 60.0, 13.0)
    fleet.run(10.0)
    assert fleet.figures["beyond"] <= 0.02 * fleet.figures["sent"]
    assert fleet.figures["with-room"] <= 0.01 * fleet.figures["refused"]


def test_totals_of_a_name_arrive_in_call_order() -> None:
    """Even if a later call's answer arrives first, on another connection."""
    loop, outcomes = Loop(print), list[tuple[Outcome, float]]()
    with CounterServer(Store()) as server:
        quota_calls = QuotaCalls(
            loop,
            print,
            server.address,
            1.0,
            lambda *end: outcomes.append((end[1], end[2])),
            lambda name: None,
        )
        first: list[Any] = []
        quota_calls.pending[7] = deque([first])  # a call on a slow connection
        for _ in range(2):
            quota_calls.count(7, 1.0, 60.0)
        run_until(loop, lambda: all(quota_calls.pending[7][n] for n in (1, 2)))
        assert outcomes == []
        quota_calls._finish_call(7, first, CallResult(CallEffect.UNCERTAIN, None, 1.0))
        assert outcomes == [(Outcome.TIMEOUT, 0.0), (Outcome.OK, 1.0), (Outcome.OK, 2.0)]
        assert not quota_calls.pending
        quota_calls.close()


def test_an_unanswered_call_that_is_refused_late_is_retried() -> None:
    """The queue is longer than the timeout: the module was told that the call may have been executed."""
    loop, outcomes = Loop(print), list[Outcome]()
    with socket.create_server(("127.0.0.1", 0)) as server:
        quota_calls = QuotaCalls(
            loop, print, server.getsockname(), 0.05, lambda *end: outcomes.append(end[1]), lambda name: None
        )
        quota_calls.count(7, -1.0, 60.0)
        run_until(loop, lambda: outcomes == [Outcome.TIMEOUT])
        counter = server.accept()[0]
        received = counter.recv(65536)
        counter.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        counter.setblocking(False)
        again = bytearray()

        def received_again() -> bool:
            with suppress(BlockingIOError):
                again.extend(counter.recv(65536))
            return bytes(again) == received

        run_until(loop, received_again)
        counter.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n5")
        run_until(loop, lambda: not quota_calls.client.connections[0].calls)
        assert outcomes == [Outcome.TIMEOUT]
        counter.close()
        quota_calls.close()


# Real processes.


def config_of_two(number: int, box: Box, server: CounterServer | None) -> dict[str, Any]:
    """Configuration of one of two ingresses that may not exchange messages."""
    raw = config(known={"revision": 1, "complete": True, "members": [member(box.address)]})
    settings = raw["settings"]
    settings |= {"Me": number, "Balancers": 2}
    settings["Caps"]["PeerMessages"] = False
    settings["FamilyInfo"] |= {"Counter": True, "CountLimitUs": 2_000_000}
    settings["Contracts"][0] |= {"PeakUnits": 6, "Rate": 0.01}
    return raw | ({} if server is None else {"counter": f"127.0.0.1:{server.address[1]}"})


def served(connection: socket.socket, requests: int, name: str) -> int:
    """Number of requests served, by one tenant of both ingresses."""
    count = 0
    for serial in range(requests):
        options = b"c=look,t=plain,d=3000,units=1,spread=2,first=0"
        connection.sendall(command([b"Q.ASK", b"%016x" % 7, f"{name}{serial}".encode(), options]))
        count += reply_outcome(read(connection)) == "served"
    return count


def test_two_ingresses_hold_a_quota_through_the_counter_only(tmp_path: Path) -> None:
    with ExitStack() as stack:
        box, server = stack.enter_context(Box()), stack.enter_context(CounterServer(Store()))
        both: list[Program] = []
        for number in range(2):
            folder = tmp_path / f"{number}"
            folder.mkdir()
            both.append(stack.enter_context(program(folder, config_of_two(number, box, server))))
        connections = [one.call() for one in both]
        assert served(connections[0], 5, "a") == 5  # more than an even share
        assert served(connections[1], 5, "b") == 1
        assert served(connections[0], 2, "c") == 0


def test_a_request_of_a_disconnected_client_is_not_sent_after_the_counter_call(tmp_path: Path) -> None:
    faults = ServerFaults(delay=0.5)
    with (
        Box() as box,
        CounterServer(Store(), faults) as server,
        program(tmp_path, config_of_two(0, box, server)) as running,
    ):
        leaves, stays = running.call(), running.call()
        options = b"c=look,t=plain,d=3000,units=1,spread=2,first=0"
        leaves.sendall(command([b"Q.ASK", b"%016x" % 7, b"gone", options]))
        end = time.monotonic() + 20.0
        while not server.store.calls:
            assert time.monotonic() < end
            time.sleep(0.01)
        leaves.close()
        faults.delay = 0.0
        # answered after the disconnected client's request, on the counter's connection
        assert served(stays, 1, "b") == 1
        running.logged(r"end caller peer_closed answered=0 open=1")
        assert sum(box.counts.runs.values()) == 1


def test_a_reload_moves_the_calls_to_another_counter(tmp_path: Path) -> None:
    with ExitStack() as stack:
        box, server = stack.enter_context(Box()), stack.enter_context(CounterServer(Store()))
        other = stack.enter_context(CounterServer(Store()))
        running = stack.enter_context(program(tmp_path, config_of_two(0, box, server)))
        connection = running.call()
        assert served(connection, 1, "a") == 1
        (tmp_path / "config.json").write_text(json.dumps(config_of_two(0, box, other)))
        running.process.send_signal(signal.SIGHUP)
        running.logged("reload: done")
        before = server.store.calls
        served(connection, 4, "b")  # a call that was open during the change makes the next ones rarer
        assert (server.store.calls, other.store.calls > 0) == (before, True), running.log


def test_a_silent_counter_delays_a_response_only_by_its_timeout(tmp_path: Path) -> None:
    with Box() as box, CounterServer(Store(), ServerFaults(cut={0})) as server:
        raw = config_of_two(0, box, server)
        raw["settings"]["FamilyInfo"]["CountLimitUs"] = 100_000
        with program(tmp_path, raw) as running:
            assert served(running.call(), 1, "a") == 1
            running.logged(r"tally .*count.timeout=1")
