"""Exports the state of a gateway as plain values and imports it into its successor process.

Times are in seconds of the gateway's clock. Where the clock of the importing gateway differs, times are
shifted by `clock_offset`.
"""

from __future__ import annotations

import heapq
import math
from typing import Any

from hoistfold.gateway import Gateway
from hoistfold.state import COUNTS_PER_UNIT, REPORT_TWICE, Backend, Quota

MAX_QUOTAS = 5000  # with the highest utilization
START_TOLERANCE_SECONDS = 0.05  # by which gateways may differ on the start time of a backend
NO_COLD_CREDIT = -1e9  # after an export; the importing gateway owns the credit


def export_state(gateway: Gateway) -> dict[str, Any]:
    """Exports the state. Credit for cold backends is moved, not copied."""
    selected = heapq.nlargest(MAX_QUOTAS, gateway.quotas.values(), key=lambda quota: quota.utilization)
    backends = {
        name: [
            *(
                b.started_at,
                b.latency_ratio,
                b.latency_ratio_at,
                b.ejected_since,
                b.next_trial_at,
                b.trial_interval,
                b.broken_connections,
            ),
            *(max(0.0, b.cold_credit), b.cold_credit_at),
        ]
        for name, b in gateway.backends.items()
    }
    for backend in gateway.backends.values():
        backend.cold_credit = NO_COLD_CREDIT
    return {
        "quotas": [
            [
                *_identity(q),
                q.drained_at,
                q.own,
                q.others,
                q.others_rate,
                [list(pair) for pair in q.counts.items()],
            ]
            for q in selected
        ],
        "heard": {str(n): peer.last_seen for n, peer in gateway.peers.items() if peer.last_seen > 0},
        "backends": {name: [_finite(value) for value in values] for name, values in backends.items()},
        "base": gateway.baseline,
        "limit": gateway.limit,
        "busy": gateway.avg_in_flight,
        "took": gateway.warm_load,
    }


def import_state(gateway: Gateway, state: dict[str, Any], clock_offset: float = 0.0) -> None:
    """Imports an exported state; entries that do not apply to this gateway are skipped.

    `clock_offset`: how far this gateway's clock is ahead of the exporting one's, in seconds.
    """
    gateway.took_over = True
    for key, plan, first, size, at, own, others, rate, counts in state["quotas"]:
        quota = _quota(gateway, key, plan, first, size)
        if quota is not None:
            quota.drained_at = quota.used_at = float(at) + clock_offset
            quota.own, quota.others, quota.others_rate = float(own), float(others), float(rate)
            quota.counts = {int(index): int(count) & 0xFFFF for index, count in counts}
            quota.counts.setdefault(quota.index, 0)
            if not quota.own + quota.others >= 0:
                raise ValueError("level is not a number")
    for number, last_seen in state["heard"].items():
        if int(number) in gateway.peers:
            gateway.peers[int(number)].last_seen = float(last_seen) + clock_offset
    for name, values in state["backends"].items():
        if name in gateway.backends:
            _import_backend(gateway.backends[name], values, clock_offset)
    gateway.baseline |= {
        name: float(state["base"][name]) for name in gateway.baseline if name in state["base"]
    }
    gateway.limit, gateway.avg_in_flight = float(state["limit"]), float(state["busy"])
    gateway.warm_load = float(state["took"])


def _import_backend(backend: Backend, values: list[Any], clock_offset: float) -> None:
    """Imports what was learned about a backend, unless it has been restarted since."""
    (
        started_at,
        latency_ratio,
        latency_ratio_at,
        ejected_since,
        next_trial_at,
        trial_interval,
        broken_connections,
        credit,
        credit_at,
    ) = values
    if (
        started_at is not None
        and backend.started_at > float(started_at) + clock_offset + START_TOLERANCE_SECONDS
    ):
        return
    backend.latency_ratio, backend.latency_ratio_at = (
        float(latency_ratio),
        float(latency_ratio_at) + clock_offset,
    )
    backend.ejected_since = None if ejected_since is None else float(ejected_since) + clock_offset
    backend.next_trial_at, backend.trial_interval = float(next_trial_at) + clock_offset, float(trial_interval)
    backend.broken_connections = int(broken_connections)
    backend.cold_credit, backend.cold_credit_at = float(credit), float(credit_at) + clock_offset


def used_windows(gateway: Gateway, since: float) -> list[list[Any]]:
    """Windows used by requests or peers since then: identity, own use and the others' use."""
    quotas = [q for q in gateway.quotas.values() if q.used_at > since and q.plan.rate]
    return [[*_identity(q), round(q.own, 3), round(q.others, 3)] for q in quotas]


def restore_windows(gateway: Gateway, now: float, rows: list[list[Any]]) -> None:
    """Raises the use of windows to what the rows state."""
    gateway.now = now
    for key, plan, first, size, own, others in rows:
        quota = _quota(gateway, key, plan, first, size)
        if quota is not None and quota.own + quota.others < own + others:
            quota.drained_at = quota.used_at = now
            quota.own, quota.others = own, others


def export_estimates(gateway: Gateway) -> dict[str, Any]:
    """Learned estimates on backends and classes, as a hint for a later boot."""
    latency_ratios = {
        name: round(b.latency_ratio, 3) for name, b in gateway.backends.items() if b.latency_ratio != 1
    }
    return {
        "base": gateway.baseline,
        "limit": gateway.limit,
        "took": gateway.warm_load,
        "stretch": latency_ratios,
    }


def import_estimates(gateway: Gateway, now: float, state: dict[str, Any]) -> None:
    """Imports such a hint; no backend is ejected because of it."""
    gateway.baseline |= {
        name: float(state["base"][name]) for name in gateway.baseline if name in state["base"]
    }
    gateway.limit, gateway.warm_load = float(state["limit"]), float(state["took"])
    for name, latency_ratio in state["stretch"].items():
        if name in gateway.backends:
            gateway.backends[name].latency_ratio, gateway.backends[name].latency_ratio_at = (
                float(latency_ratio),
                now,
            )


def restore_cold_credit(gateway: Gateway) -> None:
    """Reclaims the exported credit for cold backends after the other process has ended."""
    for backend in gateway.backends.values():
        backend.cold_credit = max(0.0, backend.cold_credit)


def use_counts(gateway: Gateway) -> dict[bytes, int]:
    """Running counts of own use by tenant, for `use_since`."""
    return {key: quota.counts[quota.index] for key, quota in gateway.quotas.items()}


def use_since(gateway: Gateway, counts_before: dict[bytes, int]) -> list[list[Any]]:
    """Own use since `counts_before`, by tenant, in counts."""
    rows = []
    for key, quota in gateway.quotas.items():
        increase = (quota.counts[quota.index] - counts_before.get(key, 0)) & 0xFFFF
        if increase:
            rows.append([*_identity(quota), increase])
    return rows


def add_use(gateway: Gateway, now: float, key: str, plan: str, first: int, size: int, count: int) -> None:
    """Adds use by the other process to this one's own, so that the ring receives the sum."""
    quota = _quota(gateway, key, plan, first, size)
    if quota is not None and 0 < count <= 0x7FFF:
        gateway.now = now
        gateway._drain(quota)
        quota.used_at = now
        quota.own += count / COUNTS_PER_UNIT
        quota.counts[quota.index] = (quota.counts[quota.index] + count) & 0xFFFF
        gateway.queue_report(quota, quota.index, REPORT_TWICE)


def _identity(quota: Quota) -> tuple[str, str, int, int]:
    return quota.key.hex(), quota.plan.name, quota.first, quota.size


def _quota(gateway: Gateway, key: str, plan: str, first: int, size: int) -> Quota | None:
    gateways = gateway.settings.gateways
    index = (gateway.settings.number - int(first)) % gateways
    if plan not in gateway.plans or not index < int(size) <= gateways or not 0 <= int(first) < gateways:
        return None
    return gateway.quota_of(bytes.fromhex(key), gateway.plans[plan], int(first), int(size))


def _finite(value: float | None) -> float | None:
    return value if value is not None and math.isfinite(value) else None
