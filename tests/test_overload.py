"""Priorities of requests while the backends are overloaded."""

from __future__ import annotations

from dataclasses import replace

from hoistfold import interface as i
from hoistfold.gateway import Gateway
from hoistfold.overload import MAX_RESERVED, MIN_RESERVED, ClassPriority
from tests.world import BASIC, READ, ended, request, sends, started

CHEAP = replace(READ, name="cheap", worth=1.0)
DEAR = replace(READ, name="dear", worth=4.0)
PAYING = replace(BASIC, excess_worth=0.3, excess_cost=0.0)


def sent_until_refused(gateway: Gateway, class_name: str) -> int:
    """Number of requests of a class in flight when the first is refused, each by its own tenant."""
    count = 0
    while sends(gateway.handle(1.0, request(f"r{count}", class_name=class_name, tenant=f"c{count}"))):
        count += 1
        assert count < 1000
    return count


def after_refusals(refused: bool) -> Gateway:
    """A gateway whose best class was refused repeatedly, or never."""
    gateway = started(gateways=1, classes=(CHEAP, DEAR))
    for _ in range(50):
        gateway.priority.observe(1.0, refused)
    return gateway


def test_low_earning_requests_yield_when_the_best_class_is_refused() -> None:
    """Guards against low-earning requests using 0.78 of the capacity while the best class is refused."""
    best = sent_until_refused(after_refusals(True), "dear")
    assert 0.3 * best <= sent_until_refused(after_refusals(True), "cheap") <= 0.5 * best


def test_low_earning_requests_alone_use_most_of_the_capacity() -> None:
    best = sent_until_refused(after_refusals(False), "dear")
    assert sent_until_refused(after_refusals(False), "cheap") >= 0.7 * best


def test_requests_over_quota_yield_no_later_than_low_earning_ones_within_it() -> None:
    gateway = started(gateways=1, classes=(CHEAP, DEAR), plans=(PAYING,))
    for _ in range(50):
        gateway.priority.observe(1.0, True)
    for n in range(int(PAYING.burst)):  # one tenant uses its whole quota
        first = sends(gateway.handle(0.9, request(f"q{n}", class_name="cheap", tenant="greedy")))
        gateway.handle(0.9, ended(first[0], i.Outcome.OK))
    assert sent_until_refused(gateway, "cheap") > 0
    for n in range(20):  # none is sent while low-earning requests within quota are refused
        assert not sends(gateway.handle(1.0, request(f"b{n}", class_name="cheap", tenant="greedy")))


def test_the_reserve_grows_only_with_refusals_of_the_best_class() -> None:
    priority = ClassPriority()
    priority.observe(0.5, True)
    assert priority.capacity_share(0.0) == 1.0 - MIN_RESERVED
    for _ in range(200):
        priority.observe(1.0, True)
    assert abs(priority.capacity_share(0.0) - (1.0 - MAX_RESERVED)) < 1e-6
    assert priority.capacity_share(1.0) == 1.0
    for _ in range(200):
        priority.observe(1.0, False)
    assert priority.capacity_share(0.0) > 0.99 * (1.0 - MIN_RESERVED)
