"""Checks quota enforcement against an ideal token bucket per tenant. No I/O.

The ideal bucket sees every request at once and in order; it holds `burst` units and fills at `rate` a second.
What it admits was inside quota, no matter which ingress decided.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

WINDOW_SECONDS = 10.0  # over which the promise on use is given


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
    compliant: float  # units requested by tenants that stayed inside quota throughout
    refused_compliant: float  # of these, units that did not run

    @property
    def refused_share(self) -> float:
        """The fraction of units inside quota that was refused."""
        return self.shortfall / self.within_quota if self.within_quota else 0.0

    @property
    def compliant_refused_share(self) -> float:
        """The same for tenants that never requested more than their quota."""
        return self.refused_compliant / self.compliant if self.compliant else 0.0


def evaluate_quotas(history: Iterable[TenantRequest], rate: float, burst: float) -> QuotaReport:
    """The report on a history in any order. ValueError if the plan allows nothing."""
    allowance = burst + WINDOW_SECONDS * rate
    if allowance <= 0:
        raise ValueError("a plan without an allowance can't be judged")
    of: dict[str, list[TenantRequest]] = defaultdict(list)
    for one in history:
        of[one.tenant].append(one)
    use, worst_tenant, within_quota, shortfall, compliant, refused_compliant = 0.0, "", 0.0, 0.0, 0.0, 0.0
    for tenant, requests in of.items():
        requests.sort(key=lambda one: one.at)
        most = _peak_window_units(requests) / allowance
        if most > use:
            use, worst_tenant = most, tenant
        ideal = _ideal_units(requests, rate, burst)
        asked, ran = sum(one.units for one in requests), sum(one.units for one in requests if one.ran)
        within_quota += ideal
        shortfall += max(0.0, ideal - ran)
        if ideal == asked:
            compliant += asked
            refused_compliant += asked - ran
    return QuotaReport(len(of), use, worst_tenant, within_quota, shortfall, compliant, refused_compliant)


def _peak_window_units(requests: Sequence[TenantRequest]) -> float:
    """Most units that ran within any window; a request exactly one window old is outside."""
    window: deque[TenantRequest] = deque()
    total = most = 0.0
    for one in requests:
        if not one.ran:
            continue
        window.append(one)
        total += one.units
        while window[0].at <= one.at - WINDOW_SECONDS:
            total -= window.popleft().units
        most = max(most, total)
    return most


def _ideal_units(requests: Sequence[TenantRequest], rate: float, burst: float) -> float:
    """Units that the ideal bucket admits."""
    available, at, admitted = burst, requests[0].at, 0.0
    for one in requests:
        available, at = min(burst, available + (one.at - at) * rate), one.at
        if one.units <= available:
            available -= one.units
            admitted += one.units
    return admitted
