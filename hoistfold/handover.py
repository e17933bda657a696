"""What one gateway knows, for another that takes its place, as plain values. Decides nothing.

Times are of the clock that the gateway is handed, in seconds. Where another gateway's reads otherwise,
`ahead` says by how much: times are moved by it as they are taken in.
"""

from __future__ import annotations

import heapq
import math
from typing import Any

from hoistfold.gateway import Gateway
from hoistfold.state import COUNTS_PER_UNIT, REPORT_TWICE, Backend, Quota

MAX_QUOTAS = 5000  # customers handed on, the fullest
START_TOLERANCE_SECONDS = 0.05  # seconds by which two gateways may read one start of a backend otherwise
NO_COLD_CREDIT = -1e9  # credit at cold backends of one that has handed it on


def export_state(gateway: Gateway) -> dict[str, Any]:
    """All that is worth handing on. The credit at cold backends is handed on too, and not kept."""
    most = heapq.nlargest(MAX_QUOTAS, gateway.quotas.values(), key=lambda quota: quota.utilization)
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
            for q in most
        ],
        "heard": {str(n): peer.last_seen for n, peer in gateway.peers.items() if peer.last_seen > 0},
        "backends": {name: [_finite(value) for value in values] for name, values in backends.items()},
        "base": gateway.baseline,
        "limit": gateway.limit,
        "busy": gateway.avg_in_flight,
        "took": gateway.warm_load,
    }


def import_state(gateway: Gateway, told: dict[str, Any], ahead: float = 0.0) -> None:
    """Takes in what another one exported; what fits nothing here is passed over.

    `ahead`: seconds by which this gateway's clock reads more than the other's.
    """
    gateway.took_over = True
    for key, plan, first, size, at, own, others, rate, counts in told["quotas"]:
        quota = _quota(gateway, key, plan, first, size)
        if quota is not None:
            quota.drained_at = quota.used_at = float(at) + ahead
            quota.own, quota.others, quota.others_rate = float(own), float(others), float(rate)
            quota.counts = {int(place): int(count) & 0xFFFF for place, count in counts}
            quota.counts.setdefault(quota.index, 0)
            if not quota.own + quota.others >= 0:
                raise ValueError("a level is no number")
    for number, heard in told["heard"].items():
        if int(number) in gateway.peers:
            gateway.peers[int(number)].last_seen = float(heard) + ahead
    for name, values in told["backends"].items():
        if name in gateway.backends:
            _import_backend(gateway.backends[name], values, ahead)
    gateway.baseline |= {name: float(told["base"][name]) for name in gateway.baseline if name in told["base"]}
    gateway.limit, gateway.avg_in_flight = float(told["limit"]), float(told["busy"])
    gateway.warm_load = float(told["took"])


def _import_backend(backend: Backend, values: list[Any], ahead: float) -> None:
    """What was learnt of a backend, unless it has been started anew since."""
    cold_since, stretch, judged, since, trial, pause, resets, credit, cold_at = values
    if cold_since is not None and backend.started_at > float(cold_since) + ahead + START_TOLERANCE_SECONDS:
        return
    backend.latency_ratio, backend.latency_ratio_at = float(stretch), float(judged) + ahead
    backend.ejected_since = None if since is None else float(since) + ahead
    backend.next_trial_at, backend.trial_interval = float(trial) + ahead, float(pause)
    backend.broken_connections = int(resets)
    backend.cold_credit, backend.cold_credit_at = float(credit), float(cold_at) + ahead


def used_windows(gateway: Gateway, since: float) -> list[list[Any]]:
    """Windows that a request or a peer named since then: name, own use and others'."""
    quotas = [q for q in gateway.quotas.values() if q.used_at > since and q.plan.rate]
    return [[*_identity(q), round(q.own, 3), round(q.others, 3)] for q in quotas]


def restore_windows(gateway: Gateway, now: float, rows: list[list[Any]]) -> None:
    """Takes windows for used as far as the rows say, where this gateway knows less."""
    gateway.now = now
    for key, plan, first, size, own, others in rows:
        quota = _quota(gateway, key, plan, first, size)
        if quota is not None and quota.own + quota.others < own + others:
            quota.drained_at = quota.used_at = now
            quota.own, quota.others = own, others


def export_estimates(gateway: Gateway) -> dict[str, Any]:
    """What was learnt of backends and classes, as a hint for a later life."""
    stretch = {
        name: round(b.latency_ratio, 3) for name, b in gateway.backends.items() if b.latency_ratio != 1
    }
    return {"base": gateway.baseline, "limit": gateway.limit, "took": gateway.warm_load, "stretch": stretch}


def import_estimates(gateway: Gateway, now: float, told: dict[str, Any]) -> None:
    """Takes a hint in; nobody is suspected for it."""
    gateway.baseline |= {name: float(told["base"][name]) for name in gateway.baseline if name in told["base"]}
    gateway.limit, gateway.warm_load = float(told["limit"]), float(told["took"])
    for name, stretch in told["stretch"].items():
        if name in gateway.backends:
            gateway.backends[name].latency_ratio, gateway.backends[name].latency_ratio_at = (
                float(stretch),
                now,
            )


def restore_cold_credit(gateway: Gateway) -> None:
    """What was handed on is this one's again: the other is gone."""
    for backend in gateway.backends.values():
        backend.cold_credit = max(0.0, backend.cold_credit)


def use_counts(gateway: Gateway) -> dict[bytes, int]:
    """The running count of own use, by customer, to be compared with later."""
    return {key: quota.counts[quota.index] for key, quota in gateway.quotas.items()}


def use_since(gateway: Gateway, before: dict[bytes, int]) -> list[list[Any]]:
    """What was let through since then, by customer, in the fractions that counts are of."""
    rows = []
    for key, quota in gateway.quotas.items():
        more = (quota.counts[quota.index] - before.get(key, 0)) & 0xFFFF
        if more:
            rows.append([*_identity(quota), more])
    return rows


def add_use(gateway: Gateway, now: float, key: str, plan: str, first: int, size: int, more: int) -> None:
    """Adds what the other one let through to this one's own use: the ring is told of the sum."""
    quota = _quota(gateway, key, plan, first, size)
    if quota is not None and 0 < more <= 0x7FFF:
        gateway.now = now
        gateway._drain(quota)
        quota.used_at = now
        quota.own += more / COUNTS_PER_UNIT
        quota.counts[quota.index] = (quota.counts[quota.index] + more) & 0xFFFF
        gateway._queue_report(quota, quota.index, REPORT_TWICE)


def _identity(quota: Quota) -> tuple[str, str, int, int]:
    return quota.key.hex(), quota.plan.name, quota.first, quota.size


def _quota(gateway: Gateway, key: str, plan: str, first: int, size: int) -> Quota | None:
    gateways = gateway.settings.gateways
    place = (gateway.settings.number - int(first)) % gateways
    if plan not in gateway.plans or not place < int(size) <= gateways or not 0 <= int(first) < gateways:
        return None
    return gateway.quota_of(bytes.fromhex(key), gateway.plans[plan], int(first), int(size))


def _finite(value: float | None) -> float | None:
    return value if value is not None and math.isfinite(value) else None
