"""Checks quota enforcement against an ideal token bucket per tenant. No I/O.

The ideal bucket sees every request at once and in order; it holds `burst` units and fills at `rate` a second.
What it admits was inside quota, no matter which ingress decided.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

WINDOW = 10.0  # seconds over which the promise on use is given


@dataclass(slots=True, frozen=True)
class TenantRequest:
    """One request of a tenant, answered at `at` seconds: its units ran or were refused."""

    at: float
    tenant: str
    units: float
    ran: bool


@dataclass(slots=True, frozen=True)
class QuotaReport:
    """Greatest use of an allowance, and units refused inside quota, over all tenants."""

    tenants: int
    use: float  # greatest of any tenant over any 10 s, as a fraction of the allowance
    worst_tenant: str  # the tenant with that use
    within_quota: float  # units that the ideal bucket admits
    shortfall: float  # of these, units that did not run
    compliant_units: float  # units requested by tenants that stayed inside quota throughout
    refused_compliant_units: float  # of these, units that did not run

    @property
    def refused_share(self) -> float:
        """The fraction of units inside quota that was refused."""
        return self.shortfall / self.within_quota if self.within_quota else 0.0

    @property
    def compliant_refused_share(self) -> float:
        """The same for tenants that never requested more than their quota."""
        return self.refused_compliant_units / self.compliant_units if self.compliant_units else 0.0


def evaluate_quotas(history: Iterable[TenantRequest], rate: float, burst: float) -> QuotaReport:
    """The report on a history in any order. ValueError if the plan allows nothing."""
    allowance = burst + WINDOW * rate
    if allowance <= 0:
        raise ValueError("a plan without an allowance can't be judged")
    of: dict[str, list[TenantRequest]] = defaultdict(list)
    for one in history:
        of[one.tenant].append(one)
    use, worst_tenant, within_quota, shortfall, compliant_units, refused_compliant_units = (
        0.0,
        "",
        0.0,
        0.0,
        0.0,
        0.0,
    )
    for tenant, tries in of.items():
        tries.sort(key=lambda one: one.at)
        most = _most(tries) / allowance
        if most > use:
            use, worst_tenant = most, tenant
        ideal = _ideal(tries, rate, burst)
        asked, ran = sum(one.units for one in tries), sum(one.units for one in tries if one.ran)
        within_quota += ideal
        shortfall += max(0.0, ideal - ran)
        if ideal == asked:
            compliant_units += asked
            refused_compliant_units += asked - ran
    return QuotaReport(
        len(of), use, worst_tenant, within_quota, shortfall, compliant_units, refused_compliant_units
    )


def _most(tries: Sequence[TenantRequest]) -> float:
    """Most units that ran within any window; a request exactly one window old is outside."""
    window: deque[TenantRequest] = deque()
    total = most = 0.0
    for one in tries:
        if not one.ran:
            continue
        window.append(one)
        total += one.units
        while window[0].at <= one.at - WINDOW:
            total -= window.popleft().units
        most = max(most, total)
    return most


def _ideal(tries: Sequence[TenantRequest], rate: float, burst: float) -> float:
    """Units that the ideal bucket admits."""
    available, at, admitted = burst, tries[0].at, 0.0
    for one in tries:
        available, at = min(burst, available + (one.at - at) * rate), one.at
        if one.units <= available:
            available -= one.units
            admitted += one.units
    return admitted
