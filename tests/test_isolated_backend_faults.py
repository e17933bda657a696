"""A fault at the backends' side costs no request its outcome, and no other backend its drain."""

from __future__ import annotations

import threading
from dataclasses import replace

import pytest

from standflow.exchange import Attempt
from standflow.messages import Outcome
from standflow.net.backend_connection import Connection
from standflow.net.nexthop import RoutesNotAppliedError
from standflow.net.stream import PlainStream
from standflow.route_set import Phase, Route, RouteSet
from tests.planted_faults import fail
from tests.test_long import LONG, REPLY, Rig
from tests.test_ops import VALUE as SHORT_REPLY
from tests.wire import LIMIT, command, run_until, write_slowly


def test_fault_as_a_backend_connection_is_cleaned_up_leaves_no_request_without_outcome(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that waits for its deadline, as the end of its connection failed."""
    rig = Rig()
    backend = rig.ask()
    monkeypatch.setattr(PlainStream, "close", fail)
    backend.close()
    rig.until(lambda: rig.recorder.ended)
    assert [outcome for _, outcome in rig.recorder.ended] == [Outcome.RESET]
    assert rig.hops.connections == 0
    rig.close()


def test_fault_as_an_attempt_is_given_up_costs_neither_the_answer_nor_the_outcome(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a value that is not passed on, and attempts that stay in flight for the module."""
    rig = Rig()
    backend = rig.ask()
    exchange, (transaction,) = rig.recorder.exchange, rig.recorder.opened
    exchange.send(transaction.name, "s-1", None)
    monkeypatch.setattr(rig.hops, "give_up", fail)
    backend.sendall(REPLY)
    rig.until(lambda: rig.got.endswith(LONG[-10:] + b"\r\n"))
    assert sorted(outcome.value for _, outcome in rig.recorder.ended) == ["cancelled", "ok"]
    assert exchange.open_count == 0
    monkeypatch.undo()
    rig.close()


def test_fault_as_an_attempt_is_timed_out_does_not_keep_its_outcome_from_the_module(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that gets no other attempt, as giving up the one before failed."""
    rig = Rig()
    rig.client.sendall(command("aa01", d=60_000))
    rig.until(lambda: rig.recorder.opened)
    monkeypatch.setattr(rig.hops, "give_up", fail)
    rig.recorder.exchange.send(rig.recorder.opened[0].name, "s-1", 0.05)
    rig.until(lambda: rig.recorder.ended)
    assert [outcome for _, outcome in rig.recorder.ended] == [Outcome.TIMEOUT]
    monkeypatch.undo()
    rig.close()


def test_fault_as_an_attempt_is_started_leaves_time_for_another(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a request that waits for its deadline over an attempt that was never made."""
    rig = Rig()
    rig.client.sendall(command("aa01", d=60_000))
    rig.until(lambda: rig.recorder.opened)
    monkeypatch.setattr(rig.hops, "make_stream", fail)
    rig.recorder.exchange.send(rig.recorder.opened[0].name, "s-1", None)
    assert not rig.recorder.ended
    rig.until(lambda: rig.recorder.ended)
    assert [outcome for _, outcome in rig.recorder.ended] == [Outcome.MOOT]
    assert rig.hops.connections == 0
    monkeypatch.undo()
    rig.close()


def test_attempt_that_was_never_begun_counts_as_not_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a request that fails, and a backend that is avoided, over a command never written."""
    rig = Rig()
    rig.client.sendall(command("aa01", d=60_000))
    rig.until(lambda: rig.recorder.opened)
    monkeypatch.setattr(rig.hops, "start", fail)
    rig.recorder.exchange.send(rig.recorder.opened[0].name, "s-1", None)
    rig.until(lambda: rig.recorder.ended)
    assert [outcome for _, outcome in rig.recorder.ended] == [Outcome.MOOT]
    assert sum(line.startswith("fault") for line in rig.recorder.log) == 1
    monkeypatch.undo()
    rig.close()


def test_fault_as_a_value_is_resumed_costs_neither_its_client_nor_other_values(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a client that is ended, or values that stop, as a backend's connection had a fault."""
    monkeypatch.setattr("standflow.net.backend_connection.LOGGED_PAUSE_SECONDS", 0.05)
    monkeypatch.setattr(Connection, "_resume_reading", fail)
    rig = Rig()
    rig.use_small_socket_buffers()
    backend, size = rig.ask(), 300_000
    reply = b"*1\r\n$%d\r\n%b\r\n" % (size, bytes(size))
    writer = threading.Thread(target=write_slowly, args=(backend, reply, 0.0), daemon=True)
    writer.start()
    run_until(rig.recorder.loop, lambda: rig.hops.flows.waiting)  # the client has not begun to read
    answer = b"$%d\r\n%b\r\n" % (size, bytes(size))
    rig.until(lambda: len(rig.got) == len(answer) or rig.closed)
    assert bytes(rig.got) == answer
    assert any("PlantedError" in line for line in rig.recorder.log)
    writer.join(LIMIT)
    rig.close()


class FaultyAdmission:
    """An admission of dials with a fault in counting them."""

    dial_started = fail

    def refusal(self, hop: str) -> Outcome | None:
        """See Admission."""
        return None

    def opened(self, connection: object, reason: str | None) -> None:
        """See Admission."""

    def closed(self, connection: object) -> None:
        """See Admission."""


def test_fault_as_a_dial_is_counted_does_not_keep_it_from_being_made() -> None:
    """Guards against connections that count towards the limit for ever and were never dialled."""
    rig = Rig()
    rig.hops.admission = FaultyAdmission()  # type: ignore[assignment]
    rig.ask().sendall(SHORT_REPLY)
    rig.until(lambda: rig.got.endswith(b"va\r\nl\r\n"))
    assert sum("PlantedError" in line for line in rig.recorder.log) == 1
    rig.close()


def test_attempt_that_the_module_ends_while_its_client_leaves_is_ended_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a client's end that stops halfway, as the module ended another of its attempts."""
    rig = Rig()
    rig.client.sendall(command("aa01") + command("aa02"))
    rig.until(lambda: len(rig.recorder.opened) == 2)
    exchange = rig.recorder.exchange
    first, second = rig.recorder.opened
    for transaction in (first, first, second):
        exchange.send(transaction.name, "s-1", None)
    ended: list[tuple[str, int]] = []

    def cancel_the_other(attempt: Attempt, *details: object) -> None:
        ended.append((attempt.transaction.name, attempt.number))
        exchange.cancel(attempt.transaction.name, 1 - attempt.number)

    monkeypatch.setattr(rig.recorder, "attempt_ended", cancel_the_other)
    rig.side.close()
    assert sorted(ended) == [(first.name, 0), (first.name, 1), (second.name, 0)]
    assert not exchange.transactions
    assert not any("fault" in line for line in rig.recorder.log)
    rig.close()


@pytest.mark.parametrize("complete", [False, True])
def test_fault_with_one_next_hop_lets_the_others_be_drained(
    complete: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests to a next hop that is gone, as the one listed before it had a fault."""
    rig = Rig()
    address = rig.hop.getsockname()[:2]
    names = ("s-1", "s-2", "s-3")
    serving = [Route(name, address, "z1", "std", 0, Phase.SERVING, 1.0, None) for name in names]
    rig.hops.update_routes(RouteSet(2, True, tuple(serving)))
    close_idle, faulty = rig.hops._close_idle, rig.hops.hops["s-1"]
    monkeypatch.setattr(
        rig.hops, "_close_idle", lambda hop, why: fail() if hop is faulty else close_idle(hop, why)
    )
    draining = [replace(route, phase=Phase.DRAINING) for route in serving]
    with pytest.raises(RoutesNotAppliedError):  # so that the whole list is asked for
        rig.hops.update_routes(RouteSet(3, complete, () if complete else tuple(draining)))
    assert [name for name in names if rig.hops.hops[name].writes_end_at is not None] == ["s-2", "s-3"]
    monkeypatch.undo()
    rig.close()


@pytest.mark.parametrize("reason", ["drained", "idle", "shutdown"])
def test_fault_with_one_idle_connection_lets_the_others_be_ended(
    reason: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against connections to what drains that stay, as ending the one before them failed."""
    rig = Rig()
    backends = [rig.ask(command(f"aa{number:02}", d=60_000)) for number in range(3)]
    for number, backend in enumerate(backends):
        backend.sendall(SHORT_REPLY)
        rig.until(lambda answered=number + 1: len(rig.recorder.ended) == answered)
    hop, end = rig.hops.hops["s-1"], rig.hops._end
    faulty = hop.idle[0]
    monkeypatch.setattr(rig.hops, "_end", lambda one, why: fail() if one is faulty else end(one, why))
    if reason == "drained":
        rig.hops.update_routes(RouteSet(2, True, (replace(hop.route, phase=Phase.DRAINING),)))
        assert hop.writes_end_at is not None
    elif reason == "idle":
        rig.hops.idle_limit = 0.0
        rig.hops._sweep()
    else:
        rig.hops.close()
    assert hop.connections == {faulty}
    assert sum(f"end nexthop s-1 {reason}" in line for line in rig.recorder.log) == 2
    monkeypatch.undo()
    rig.close()
