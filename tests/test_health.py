"""The counter's health, from what one ingress sees of it."""

from __future__ import annotations

from types import SimpleNamespace

from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st

from standflow.config.model import ReconciliationOptions
from standflow.counter.client import CallEffect, CallResult
from standflow.counter.health import ENTER, HEARD, LEAVE, NAMES, Health, State
from standflow.counter.modes import ModeTracker
from standflow.counter.reconciliation import CounterReconciliation

TEN = [f"n{n}" for n in range(10)]


def play(health: Health, begin: float, span: float, failing: int = 0, took: float = 0.01) -> list[State]:
    """Calls to ten names, four times a second; the states entered."""
    entered = []
    for step in range(int(span * 4)):
        now = begin + step / 4
        for number, name in enumerate(TEN):
            if number < failing:
                health.failed(name, now)
            else:
                health.answered(name, took, now)
        state = health.look(now)
        entered += [state] if state is not None else []
    return entered


def test_each_state_is_entered_and_left() -> None:
    health = Health()
    assert play(health, 0, 5) == []
    assert play(health, 5, 5, failing=10) == [State.GONE]
    assert play(health, 10, 5) == [State.GOOD]
    assert play(health, 15, 5, failing=3) == [State.PART_GONE]
    assert health.failing() == frozenset(TEN[:3])
    assert play(health, 20, 5, took=0.079) == [State.SLOW]
    assert play(health, 25, 8) == [State.GOOD]


def test_a_counter_that_hovers_at_its_limit_does_not_flap() -> None:
    health, entered = Health(), []
    for turn in range(20):
        entered += play(health, 3 * turn, 3, took=0.07 if turn % 2 else 0.05)
    assert entered == [State.SLOW]


def test_one_lost_call_is_nothing() -> None:
    health = Health()
    play(health, 0, 5)
    for step in range(20):
        health.failed("n1", 5 + step / 2)
        health.answered("n1", 0.01, 5.25 + step / 2)
        assert health.look(5.25 + step / 2) is None


def test_emptied_and_disagreeing_are_told_apart_and_generations_counted() -> None:
    health = Health()
    play(health, 0, 3)
    for name in TEN[:4]:
        health.fell(name, 3.0)
    assert play(health, 3, 2) == [State.EMPTIED]
    assert health.generation == 1
    assert play(health, 5, 8) == [State.GOOD]
    health.fell("n1", 13.0)
    health.rose("n1", 13.2)
    assert play(health, 13.25, 2) == [State.DISAGREEING]
    assert health.generation == 1


def test_the_witness_passes_on_what_totals_show() -> None:
    clock, log = [1000.0], list[str]()
    loop = SimpleNamespace(now=lambda: clock[0], call_later=lambda *_: None, every=lambda *_: None)
    options, heard = ReconciliationOptions(100.0, 0.05, 0.0), lambda: [clock[0]]
    reconciliation = CounterReconciliation(
        loop,  # type: ignore[arg-type]
        log.append,
        options,
        ("127.0.0.1", 1),
        lambda told: None,
        ModeTracker(0.1, 0.0),
        heard,
    )
    reconciliation.offset, reconciliation.client = 0.0, SimpleNamespace(add=lambda *_: None)  # type: ignore[assignment]
    for total in (0, 400, 450, 350):  # read, written, then above and below what its only writer put there
        reconciliation.record_use(b"k", 2, 0, 4, 0.0, 1.0)
        for call in reconciliation.ledger.due_calls(clock[0], 10, 0.0):
            reconciliation._ended(
                call, CallResult(CallEffect.ADDED, float(total) if call.ring_index == 0 else 0.0, 0.01)
            )
        clock[0] += 1.1
    reconciliation._tick()
    clock[0] += ENTER
    reconciliation._tick()
    told = [line.split(" mean")[0] for line in log]
    assert told == ["quotas: neither -> both", "counter: good -> disagreeing"]


def test_what_is_not_asked_tells_nothing_and_names_are_bounded() -> None:
    health = Health()
    play(health, 0, 5, failing=10)
    assert health.look(5 + 2 * HEARD) is None
    assert health.state is State.GONE
    for number in range(2 * NAMES):
        health.answered(f"x{number}", 0.01, 20.0)
    assert len(health.names) == NAMES


@how(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 10), st.floats(0.0, 0.2), st.booleans(), st.booleans()), max_size=80)
)
def test_no_two_changes_come_within_the_time_that_a_sign_must_last(
    steps: list[tuple[int, float, bool, bool]],
) -> None:
    health, changed, now = Health(), float("-inf"), 0.0
    for failing, took, fell, rose in steps:
        now += 0.25
        for number, name in enumerate(TEN):
            if number < failing:
                health.failed(name, now)
            else:
                health.answered(name, took, now)
        if fell:
            health.fell("n9", now)
        if rose:
            health.rose("n9", now)
        before = health.state
        entered = health.look(now)
        assert (entered is None) == (health.state is before)
        if entered is not None:
            assert now - changed >= (LEAVE if entered is State.GOOD else ENTER)
            changed = now
