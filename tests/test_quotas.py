"""The quota checker, on histories that are known to respect or exceed a quota."""

from __future__ import annotations

import pytest

from lab.quotas import TenantRequest, evaluate_quotas

RATE, BURST = 2.0, 10.0  # an allowance of 30 units over any 10 s


def steady(a_second: float, seconds: float, ran: bool = True, tenant: str = "a") -> list[TenantRequest]:
    return [TenantRequest(n / a_second, tenant, 1.0, ran) for n in range(round(a_second * seconds))]


@pytest.mark.parametrize(
    ("history", "use"),
    [
        (steady(2, 30), 20 / 30),
        ([TenantRequest(0, "a", 1, True)] * 10 + steady(2, 10), 1.0),
        (steady(4, 30), 40 / 30),
        (list(reversed([TenantRequest(0, "a", 11, True), *steady(2, 10)])), 31 / 30),
        (
            [TenantRequest(0, "a", 20, True), TenantRequest(10, "a", 20, True)],
            20 / 30,
        ),  # a whole window apart
        ([TenantRequest(0, "a", 20, True), TenantRequest(9.99, "a", 20, True)], 40 / 30),
        (steady(4, 30, ran=False), 0.0),
    ],
)
def test_use_over_any_ten_seconds(history: list[TenantRequest], use: float) -> None:
    assert evaluate_quotas(history, RATE, BURST).use == pytest.approx(use)


def test_the_tenant_with_the_highest_use_is_named() -> None:
    history = [one for n in range(50) for one in steady(1, 20, tenant=f"calm{n}")]
    verdict = evaluate_quotas(history + steady(4, 20, tenant="heavy"), RATE, BURST)
    assert (verdict.worst_tenant, verdict.tenants) == ("heavy", 51)
    assert verdict.use == pytest.approx(40 / 30)


def test_refusals_inside_and_beyond_quota_are_distinguished() -> None:
    beyond = [TenantRequest(one.at, "heavy", 1, n < 10 or n % 2 == 0) for n, one in enumerate(steady(4, 20))]
    fair = evaluate_quotas(beyond, RATE, BURST)  # its rate and burst ran, the excess was refused
    assert fair.refused_share < 0.15
    assert fair.compliant == 0
    assert evaluate_quotas(steady(4, 20, ran=False), RATE, BURST).refused_share == 1.0
    calm = [TenantRequest(one.at, "calm", 1, n % 4 > 0) for n, one in enumerate(steady(1, 20))]
    verdict = evaluate_quotas(beyond + calm, RATE, BURST)
    assert verdict.compliant_refused_share == 0.25
    assert verdict.refused_share == pytest.approx((fair.shortfall + 5) / (fair.within_quota + 20))
    with pytest.raises(ValueError, match="allowance"):
        evaluate_quotas(calm, 0.0, 0.0)
