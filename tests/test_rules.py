"""The five rules, each kept by a single gateway."""

import pytest

from hoistfold import interface as i
from tests.world import actions_of, backend, ended, listed, request, sends, started

RAN = [i.Outcome.ERROR, i.Outcome.TIMEOUT, i.Outcome.RESET, i.Outcome.CANCELLED]
NEVER_RAN = [i.Outcome.FULL, i.Outcome.CONNECT_FAILED, i.Outcome.MOOT]


def test_a_request_without_an_outcome_is_answered_before_its_timeout() -> None:
    gateway = started()
    actions = gateway.handle(1.0, request("r", class_name="buy", time_left=2.0))
    timer = actions_of(actions, i.SetTimer)[-1]
    assert 1.9 < timer.delay <= 2.0
    assert actions_of(gateway.handle(1.0 + timer.delay, i.TimerFired(timer.handle)), i.Fail) == [i.Fail("r")]


def test_nothing_follows_the_final_answer() -> None:
    gateway = started()
    actions = gateway.handle(1.0, request("r"))
    send, timer = sends(actions)[0], actions_of(actions, i.SetTimer)[-1]
    assert not gateway.handle(1.1, ended(send, i.Outcome.OK))
    assert not gateway.handle(4.0, i.TimerFired(timer.handle))


@pytest.mark.parametrize("outcome", RAN)
def test_unsafe_that_may_have_run_is_neither_resent_nor_refused(outcome: i.Outcome) -> None:
    gateway = started()
    send = sends(gateway.handle(1.0, request("r", class_name="buy")))[0]
    actions = gateway.handle(1.1, ended(send, outcome))
    assert not sends(actions)
    assert not actions_of(actions, i.Refuse)


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_unsafe_that_never_ran_is_sent_again(outcome: i.Outcome) -> None:
    gateway = started()
    send = sends(gateway.handle(1.0, request("r", class_name="buy")))[0]
    assert len(sends(gateway.handle(1.1, ended(send, outcome)))) == 1


@pytest.mark.parametrize(("later", "resent"), [(0.5, True), (2.1, False)])
def test_a_keyed_retry_stays_in_its_cell_and_dedup_window(later: float, resent: bool) -> None:
    gateway = started()
    entries = (backend("b1", cell=1), backend("b2", cell=2), backend("b3", cell=1))
    gateway.handle(0.5, listed(*entries, kind=i.ListKind.FULL))
    cells = {entry.backend: entry.cell for entry in entries}
    send = sends(gateway.handle(1.0, request("r", class_name="keyed")))[0]
    actions = gateway.handle(1.0 + later, ended(send, i.Outcome.RESET))
    assert [cells[again.backend] for again in sends(actions)] == ([cells[send.backend]] if resent else [])
    assert not actions_of(actions, i.Refuse)


@pytest.mark.parametrize("state", [i.Availability.DRAINING, i.Availability.REMOVED])
def test_a_draining_backend_gets_nothing_new(state: i.Availability) -> None:
    gateway = started("b1")
    gateway.handle(0.5, listed(backend("b1", availability=state), kind=i.ListKind.CHANGES))
    actions = gateway.handle(0.5, request("r"))
    assert not sends(actions)
    assert len(actions_of(actions, i.Refuse)) == 1


def test_a_cold_backend_is_given_only_its_share() -> None:
    gateway = started("b1")
    gateway.handle(1.0, listed(backend("b1", started=1.0), kind=i.ListKind.CHANGES))
    accepted = 0
    for n in range(60):
        now = 1.0 + n * 0.05
        for send in sends(gateway.handle(now, request(f"r{n}", tenant=f"c{n}"))):
            accepted += 1
            gateway.handle(now + 0.01, ended(send, i.Outcome.OK, latency=0.125))
    # a third of 2.5 x the capacity of one core over 3 s, with 1/8 s of work per request
    assert 1 <= accepted <= 2.5 * 0.5 * 3 / 3 / 0.125


def test_each_gateway_keeps_its_share_of_the_ceiling() -> None:
    gateway = started(gateways=3)
    sent = 0
    for n in range(2000):
        now = n * 0.005
        arrival = request(f"r{n}", plan="capped", ring_size=3)
        for send in sends(gateway.handle(now, arrival)):
            sent += 1
            gateway.handle(now, ended(send, i.Outcome.OK))
    assert sent <= (20.0 * 10 + 40.0) / 3
