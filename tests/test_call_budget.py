"""How the share of requests with a counter call follows the counter's answers."""

from __future__ import annotations

import pytest

from hoistfold import interface as i
from hoistfold.call_budget import MIN_SHARE, CallBudget

LIMIT = 0.08
QUICK = (i.Outcome.OK, 0.002)
SLOW = (i.Outcome.OK, 0.07)
SILENT = (i.Outcome.TIMEOUT, LIMIT)
FULL = (i.Outcome.FULL, 0.01)


def share_after(budget: CallBudget, since: float, *ends: tuple[i.Outcome, float]) -> float:
    """Ends calls one after another; returns the share afterwards."""
    for number, (outcome, latency) in enumerate(ends):
        budget.call_ended(since + 0.1 * number, outcome, latency)
    return budget.share


@pytest.mark.parametrize("end", [SLOW, SILENT, FULL])
def test_a_slow_or_silent_counter_gets_fewer_calls(end: tuple[i.Outcome, float]) -> None:
    budget = CallBudget(LIMIT)
    assert share_after(budget, 10.0, *[end] * 5) < 0.2
    assert share_after(budget, 11.0, *[end] * 30) == MIN_SHARE


def test_one_slow_queue_decreases_the_share_once() -> None:
    budget = CallBudget(LIMIT)
    for _ in range(20):
        budget.call_ended(10.0, *SLOW)
    assert budget.share == pytest.approx(0.7)


def test_the_share_grows_only_with_answers_in_time() -> None:
    budget = CallBudget(LIMIT)
    share_after(budget, 10.0, *[FULL] * 30)
    assert share_after(budget, 20.0, *[QUICK] * 40) == pytest.approx(MIN_SHARE + 0.5)
    assert share_after(budget, 99.0, *[QUICK] * 40) == 1.0
