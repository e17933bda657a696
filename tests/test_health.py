"""The counter's health, as one ingress observes it."""

from __future__ import annotations

from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from standflow.config.model import ReconciliationOptions
from standflow.counter.client import CallEffect, CallResult
from standflow.counter.health import (
    ENTER_SECONDS,
    MAX_NAMES,
    NAME_EXPIRY_SECONDS,
    RECOVER_SECONDS,
    Health,
    State,
)
from standflow.counter.modes import ModeTracker
from standflow.counter.reconciliation import CounterReconciliation

TEN = [f"n{n}" for n in range(10)]


def run_calls(
    health: Health, begin: float, seconds: float, failing: int = 0, latency: float = 0.01
) -> list[State]:
    """Records calls to ten names, four times a second, and returns the states entered."""
    entered = []
    for step in range(int(seconds * 4)):
        now = begin + step / 4
        for number, name in enumerate(TEN):
            if number < failing:
                health.record_failure(name, now)
            else:
                health.record_answer(name, latency, now)
        state = health.update(now)
        entered += [state] if state is not None else []
    return entered


def test_each_state_is_entered_and_left() -> None:
    health = Health()
    assert run_calls(health, 0, 5) == []
    assert run_calls(health, 5, 5, failing=10) == [State.UNREACHABLE]
    assert run_calls(health, 10, 5) == [State.HEALTHY]
    assert run_calls(health, 15, 5, failing=3) == [State.PARTLY_UNREACHABLE]
    assert health.failing_names() == frozenset(TEN[:3])
    assert run_calls(health, 20, 5, latency=0.079) == [State.SLOW]
    assert run_calls(health, 25, 8) == [State.HEALTHY]


def test_a_latency_around_the_threshold_does_not_cause_flapping() -> None:
    health, entered = Health(), []
    for step in range(20):
        entered += run_calls(health, 3 * step, 3, latency=0.07 if step % 2 else 0.05)
    assert entered == [State.SLOW]


def test_a_single_lost_call_does_not_change_the_state() -> None:
    health = Health()
    run_calls(health, 0, 5)
    for step in range(20):
        health.record_failure("n1", 5 + step / 2)
        health.record_answer("n1", 0.01, 5.25 + step / 2)
        assert health.update(5.25 + step / 2) is None


def test_emptied_and_inconsistent_are_distinguished_and_generations_counted() -> None:
    health = Health()
    run_calls(health, 0, 3)
    for name in TEN[:4]:
        health.record_shortfall(name, 3.0)
    assert run_calls(health, 3, 2) == [State.EMPTIED]
    assert health.generation == 1
    assert run_calls(health, 5, 8) == [State.HEALTHY]
    health.record_shortfall("n1", 13.0)
    health.record_excess("n1", 13.2)
    assert run_calls(health, 13.25, 2) == [State.INCONSISTENT]
    assert health.generation == 1


def test_reconciliation_passes_shortfalls_and_excesses_on_to_the_health() -> None:
    clock, log = [1000.0], list[str]()
    loop = SimpleNamespace(now=lambda: clock[0], call_later=lambda *_: None, every=lambda *_: None)
    options, last_received = ReconciliationOptions(100.0, 0.05, 0.0), lambda: [clock[0]]
    reconciliation = CounterReconciliation(
        loop,  # type: ignore[arg-type]
        log.append,
        options,
        ("127.0.0.1", 1),
        lambda reading: None,
        ModeTracker(0.1, 0.0),
        last_received,
    )
    reconciliation.offset, reconciliation.client = 0.0, SimpleNamespace(add=lambda *_: None)  # type: ignore[assignment]
    # read, written, then above and below the number written by its only writer
    for total in (0, 400, 450, 350):
        reconciliation.record_use(b"k", 2, 0, 4, 0.0, 1.0)
        for call in reconciliation.ledger.due_calls(clock[0], 10, 0.0):
            reconciliation._finish_call(
                call, CallResult(CallEffect.ADDED, float(total) if call.ring_index == 0 else 0.0, 0.01)
            )
        clock[0] += 1.1
    reconciliation._tick()
    clock[0] += ENTER_SECONDS
    reconciliation._tick()
    changes = [line.split(" mean")[0] for line in log]
    assert changes == ["quotas: neither -> both", "counter: good -> disagreeing"]


def test_without_calls_the_state_stays_and_the_number_of_names_is_limited() -> None:
    health = Health()
    run_calls(health, 0, 5, failing=10)
    assert health.update(5 + 2 * NAME_EXPIRY_SECONDS) is None
    assert health.state is State.UNREACHABLE
    for number in range(2 * MAX_NAMES):
        health.record_answer(f"x{number}", 0.01, 20.0)
    assert len(health.names) == MAX_NAMES


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 10), st.floats(0.0, 0.2), st.booleans(), st.booleans()), max_size=80)
)
def test_state_changes_are_at_least_the_required_time_apart(
    steps: list[tuple[int, float, bool, bool]],
) -> None:
    health, changed, now = Health(), float("-inf"), 0.0
    for failing, latency, short, excess in steps:
        now += 0.25
        for number, name in enumerate(TEN):
            if number < failing:
                health.record_failure(name, now)
            else:
                health.record_answer(name, latency, now)
        if short:
            health.record_shortfall("n9", now)
        if excess:
            health.record_excess("n9", now)
        before = health.state
        entered = health.update(now)
        assert (entered is None) == (health.state is before)
        if entered is not None:
            assert now - changed >= (RECOVER_SECONDS if entered is State.HEALTHY else ENTER_SECONDS)
            changed = now
