"""Late tries: what the time of a try tells of how long its client has waited, and what follows for room."""

from __future__ import annotations

import pytest

from hoistfold import interface as i
from hoistfold.client_timeouts import UsualTimeout
from tests.world import READ, ended, request, sends, started

CAP, DEADLINE = 0.5 * READ.deadline, READ.deadline


def timeout_after(*times: float) -> UsualTimeout:
    """The usual time after these tries."""
    known = UsualTimeout(DEADLINE)
    for time in times:
        known.observe(time)
    return known


def test_only_an_unusual_timeout_reveals_how_long_the_client_has_waited() -> None:
    known = timeout_after(*[CAP] * 10)
    assert known.observe(CAP + 0.002) == 0
    assert known.observe(DEADLINE - 0.4) == pytest.approx(0.4)  # a last try has more than the usual
    assert known.observe(0.5) == DEADLINE - 0.5


def test_many_last_retries_do_not_change_the_usual_timeout() -> None:
    """In an overload a third of all tries are last ones; they became the usual, and first ones late."""
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
    """It has more time left than they, and was taken for the fresher one."""
    gateway = started(gateways=1)
    for n in range(30):  # two of three are first tries
        left = DEADLINE - 0.95 if n % 3 == 2 else CAP
        for send in sends(gateway.handle(0.01 * n, request(f"w{n}", tenant=f"w{n}", time_left=left))):
            gateway.handle(0.01 * n, ended(send, i.Outcome.OK))
    # fill the room to a half, which a late try may not take
    now, held = 1.0, 0
    while gateway.avg_in_flight < 0.5 * gateway.capacity or held < 5:
        held += len(sends(gateway.handle(now, request(f"h{held}", tenant=f"h{held}", time_left=CAP))))
        now += 0.0001
        assert held < 100
    last = gateway.handle(now, request("last", tenant="last", time_left=DEADLINE - 0.95))
    first = gateway.handle(now, request("first", tenant="first", time_left=CAP))
    assert not sends(last)
    assert sends(first)


def test_under_overload_a_request_with_a_too_short_timeout_yields() -> None:
    """Most clients of a day gave up after a quarter of a second, came again, taking the room of the rest."""
    hasty = 1.5 * READ.aim / 8  # the usual latency is an eighth of the aim at first
    gateway = started(gateways=1)
    for n in range(30):  # the hasty tries are the usual ones
        for send in sends(gateway.handle(0.01 * n, request(f"w{n}", tenant=f"w{n}", time_left=hasty))):
            gateway.handle(0.01 * n, ended(send, i.Outcome.OK, latency=READ.aim / 8))
    now, held = 1.0, 0
    while gateway.avg_in_flight < 0.5 * gateway.capacity or held < 5:
        held += len(sends(gateway.handle(now, request(f"h{held}", tenant=f"h{held}", time_left=DEADLINE))))
        now += 0.0001
        assert held < 100
    assert not sends(gateway.handle(now, request("hasty", tenant="hasty", time_left=hasty)))
    assert sends(gateway.handle(now, request("patient", tenant="patient", time_left=DEADLINE)))
