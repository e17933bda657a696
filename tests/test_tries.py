"""Client timeouts: what they reveal about earlier attempts of a request, and how late requests yield."""

from __future__ import annotations

import pytest

from hoistfold import interface as i
from hoistfold.client_timeouts import UsualTimeout
from tests.world import READ, ended, request, sends, started

CAP, DEADLINE = 0.5 * READ.deadline, READ.deadline


def timeout_after(*times: float) -> UsualTimeout:
    """The usual timeout after these requests."""
    known = UsualTimeout(DEADLINE)
    for time in times:
        known.observe(time)
    return known


def test_only_an_unusual_timeout_reveals_how_long_the_client_has_waited() -> None:
    known = timeout_after(*[CAP] * 10)
    assert known.observe(CAP + 0.002) == 0
    assert known.observe(DEADLINE - 0.4) == pytest.approx(0.4)  # a last retry may have more time than usual
    assert known.observe(0.5) == DEADLINE - 0.5


def test_many_last_retries_do_not_change_the_usual_timeout() -> None:
    """In an overload a third of the requests are last retries; theirs became the usual timeout."""
    known = timeout_after(*[CAP, CAP, DEADLINE - 0.4] * 50)
    assert known.timeout == CAP


def test_no_request_is_late_without_a_usual_timeout() -> None:
    assert UsualTimeout(DEADLINE).observe(0.5) == 0
    scattered = timeout_after(*[0.3 + 0.13 * (n * 7 % 20) for n in range(200)])
    assert scattered.observe(1.0) == 0


def test_a_new_usual_timeout_is_learned() -> None:
    known = timeout_after(*[CAP] * 1000, *[0.6 * DEADLINE] * 250)
    assert known.timeout == 0.6 * DEADLINE
    assert known.observe(CAP) == DEADLINE - CAP


def test_under_overload_a_last_retry_yields_to_first_attempts() -> None:
    """It has more time left than first attempts and was taken for one."""
    gateway = started(gateways=1)
    for n in range(30):  # two of three are first attempts
        left = DEADLINE - 0.95 if n % 3 == 2 else CAP
        for send in sends(gateway.handle(0.01 * n, request(f"w{n}", tenant=f"w{n}", time_left=left))):
            gateway.handle(0.01 * n, ended(send, i.Outcome.OK))
    # Fill half of the capacity, more than late requests may use.
    now, in_flight = 1.0, 0
    while gateway.avg_in_flight < 0.5 * gateway.capacity or in_flight < 5:
        in_flight += len(
            sends(gateway.handle(now, request(f"h{in_flight}", tenant=f"h{in_flight}", time_left=CAP)))
        )
        now += 0.0001
        assert in_flight < 100
    last = gateway.handle(now, request("last", tenant="last", time_left=DEADLINE - 0.95))
    first = gateway.handle(now, request("first", tenant="first", time_left=CAP))
    assert not sends(last)
    assert sends(first)


def test_under_overload_a_request_with_a_too_short_timeout_yields() -> None:
    """Guards against clients that give up early and retry, using the capacity of the others."""
    impatient = 1.5 * READ.aim / 8  # the initial baseline is an eighth of the aim
    gateway = started(gateways=1)
    for n in range(30):  # most requests have the short timeout
        for send in sends(gateway.handle(0.01 * n, request(f"w{n}", tenant=f"w{n}", time_left=impatient))):
            gateway.handle(0.01 * n, ended(send, i.Outcome.OK, latency=READ.aim / 8))
    now, in_flight = 1.0, 0
    while gateway.avg_in_flight < 0.5 * gateway.capacity or in_flight < 5:
        in_flight += len(
            sends(gateway.handle(now, request(f"h{in_flight}", tenant=f"h{in_flight}", time_left=DEADLINE)))
        )
        now += 0.0001
        assert in_flight < 100
    assert not sends(gateway.handle(now, request("hasty", tenant="hasty", time_left=impatient)))
    assert sends(gateway.handle(now, request("patient", tenant="patient", time_left=DEADLINE)))
