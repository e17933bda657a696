"""The table of tenants is bounded, however many names clients make up, and quotas hold all the same."""

from __future__ import annotations

from hoistfold import interface as i
from hoistfold.gateway import Gateway
from hoistfold.state import PURGE_SECONDS
from tests.world import actions_of, ended, request, sends, started

LIMIT = 50


def limited() -> Gateway:
    gateway = started()
    gateway.max_quotas = LIMIT
    return gateway


def serve(gateway: Gateway, now: float, name: str, tenant: str) -> list[i.Action]:
    actions = gateway.handle(now, request(name, tenant=tenant))
    for send in sends(actions):
        gateway.handle(now, ended(send, i.Outcome.OK))
    return actions


def test_ever_new_tenants_do_not_grow_the_table_beyond_its_limit() -> None:
    gateway = limited()
    refused = 0
    for number in range(20 * LIMIT):
        actions = serve(gateway, 1.0 + number / 1000, f"r{number}", f"t{number}")
        refused += len(actions_of(actions, i.Refuse))
        assert len(gateway.quotas) <= LIMIT
    assert refused > 0  # their windows had not drained
    assert refused < 20 * LIMIT - LIMIT


def test_tenant_with_use_in_its_window_is_not_forgotten_for_new_names() -> None:
    gateway = limited()
    burst = int(gateway.settings.plans[0].burst)
    admitted = 0
    for number in range(2 * burst):
        admitted += len(sends(serve(gateway, 1.0, f"a{number}", "heavy")))
    for number in range(5 * LIMIT):
        serve(gateway, 1.0 + number * PURGE_SECONDS / 100, f"r{number}", f"t{number}")
    assert not sends(serve(gateway, 1.2, "late", "heavy"))
    assert admitted <= burst


def test_new_tenant_is_served_again_once_others_have_drained() -> None:
    gateway = limited()
    for number in range(LIMIT):
        serve(gateway, 1.0, f"r{number}", f"t{number}")
    (refused,) = actions_of(serve(gateway, 1.0, "x", "new"), i.Refuse)
    assert refused.reason == "tenants"
    plan = gateway.settings.plans[0]
    assert sends(serve(gateway, 1.0 + plan.burst / plan.rate, "y", "new"))


def test_tenant_that_is_known_is_served_while_the_table_is_full() -> None:
    gateway = limited()
    for number in range(3 * LIMIT):
        serve(gateway, 1.0, f"r{number}", f"t{number}")
    assert sends(serve(gateway, 1.05, "again", "t0"))


def test_tenants_with_requests_in_flight_are_kept() -> None:
    gateway = limited()
    (send,) = sends(gateway.handle(1.0, request("open", tenant="open")))
    for number in range(3 * LIMIT):
        serve(gateway, 60.0 + number, f"r{number}", f"t{number}")
    assert any(quota.in_flight for quota in gateway.quotas.values())
    gateway.handle(300.0, ended(send, i.Outcome.OK))


def test_tenant_that_came_before_is_not_refused_for_names_that_come_once() -> None:
    gateway = limited()
    plan = gateway.settings.plans[0]
    pause, refused = 2 * plan.burst / plan.rate, 0
    for step in range(20):
        now = 1.0 + step * pause
        refused += len(actions_of(serve(gateway, now, f"s{step}", "sound"), i.Refuse))
        for number in range(2 * LIMIT):
            serve(gateway, now + 0.1, f"r{step}-{number}", f"t{step}-{number}")
    assert not refused
