"""How many of the requests the counter is asked about, by what its answers say of it."""

from __future__ import annotations

import pytest

from hoistfold import interface as i
from hoistfold.call_budget import LEAST_SHARE, CallBudget

LIMIT = 0.08
QUICK = (i.Outcome.OK, 0.002)
SLOW = (i.Outcome.OK, 0.07)
SILENT = (i.Outcome.TIMEOUT, LIMIT)
FULL = (i.Outcome.FULL, 0.01)


def told(budget: CallBudget, since: float, *ends: tuple[i.Outcome, float]) -> float:
    """The ends of calls, one after another; returns the share that is asked for after that."""
    for number, (outcome, latency) in enumerate(ends):
        budget.answered(since + 0.1 * number, outcome, latency)
    return budget.share


def test_after_silence_the_first_quick_answer_brings_the_share_back() -> None:
    budget = CallBudget(LIMIT)
    assert told(budget, 10.0, *[SILENT] * 30) == LEAST_SHARE
    assert told(budget, 13.0, QUICK) == 1.0


@pytest.mark.parametrize("pressed", [SLOW, FULL])
@pytest.mark.parametrize("before", [0, 1])
def test_a_pressed_counter_is_asked_less_also_where_it_falls_silent(
    pressed: tuple[i.Outcome, float], before: int
) -> None:
    budget = CallBudget(LIMIT)
    silent = [SILENT] * 5
    ends = [*silent[:before], pressed, *silent]  # the queue is seen before nothing comes in time, or within
    assert told(budget, 10.0, *ends) < 0.2
    assert told(budget, 11.0, QUICK) < 0.3


def test_one_slow_queue_makes_the_share_fall_once() -> None:
    budget = CallBudget(LIMIT)
    for _ in range(20):
        budget.answered(10.0, *SLOW)
    assert budget.share == pytest.approx(0.7)


def test_the_share_grows_with_time_however_few_calls_are_made() -> None:
    budget = CallBudget(LIMIT)
    told(budget, 10.0, *[FULL] * 30)
    for second in range(11):  # a call a second, as one gateway of many makes of a small share
        budget.answered(20.0 + second, *QUICK)
    assert budget.share == 1.0
