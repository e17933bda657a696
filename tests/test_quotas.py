"""The checker of the promise, on histories that are known to keep or break it."""

from __future__ import annotations

import pytest

from lab.quotas import Try, judge

RATE, BURST = 2.0, 10.0  # an allowance of 30 in any 10 s


def steady(a_second: float, seconds: float, ran: bool = True, tenant: str = "a") -> list[Try]:
    return [Try(n / a_second, tenant, 1.0, ran) for n in range(round(a_second * seconds))]


@pytest.mark.parametrize(
    ("history", "use"),
    [
        (steady(2, 30), 20 / 30),
        ([Try(0, "a", 1, True)] * 10 + steady(2, 10), 1.0),
        (steady(4, 30), 40 / 30),
        (list(reversed([Try(0, "a", 11, True), *steady(2, 10)])), 31 / 30),
        ([Try(0, "a", 20, True), Try(10, "a", 20, True)], 20 / 30),  # a whole window apart
        ([Try(0, "a", 20, True), Try(9.99, "a", 20, True)], 40 / 30),
        (steady(4, 30, ran=False), 0.0),
    ],
)
def test_use_over_any_ten_seconds(history: list[Try], use: float) -> None:
    assert judge(history, RATE, BURST).use == pytest.approx(use)


def test_the_tenant_that_went_beyond_is_named_among_many() -> None:
    history = [one for n in range(50) for one in steady(1, 20, tenant=f"calm{n}")]
    verdict = judge(history + steady(4, 20, tenant="heavy"), RATE, BURST)
    assert (verdict.worst, verdict.tenants) == ("heavy", 51)
    assert verdict.use == pytest.approx(40 / 30)


def test_refusals_inside_quota_are_told_from_refusals_beyond_it() -> None:
    beyond = [Try(one.at, "heavy", 1, n < 10 or n % 2 == 0) for n, one in enumerate(steady(4, 20))]
    fair = judge(beyond, RATE, BURST)  # it got its rate and its burst, and was refused the rest
    assert fair.wrong < 0.15
    assert fair.calm == 0
    assert judge(steady(4, 20, ran=False), RATE, BURST).wrong == 1.0
    calm = [Try(one.at, "calm", 1, n % 4 > 0) for n, one in enumerate(steady(1, 20))]
    verdict = judge(beyond + calm, RATE, BURST)
    assert verdict.wrong_calm == 0.25
    assert verdict.wrong == pytest.approx((fair.short + 5) / (fair.inside + 20))
    with pytest.raises(ValueError, match="allowance"):
        judge(calm, 0.0, 0.0)
