"""The modes of ring and counter, and the bound compared with the use admitted by simulated gateways."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import pytest

from hoistfold import interface as i
from lab.quotas import TenantRequest, evaluate_quotas
from standflow.counter.health import State
from standflow.counter.modes import (
    CROSS_CHECK_SHARE,
    FAIL_SECONDS,
    RECOVER_SECONDS,
    WINDOW_SECONDS,
    FleetParameters,
    Mode,
    ModeTracker,
    report_age,
    use_bound,
)
from tests.test_witness import ReconciledNetwork
from tests.world import BASIC

STEP = 0.25


def test_a_source_is_dropped_after_a_short_failure_and_used_again_after_a_longer_recovery() -> None:
    modes, now, seen = ModeTracker(0.1, 0.0), 0.0, list[tuple[float, Mode]]()

    def run(seconds: float, ring: bool, counter: State) -> None:
        nonlocal now
        for _ in range(round(seconds / STEP)):
            now += STEP
            if (mode := modes.update([now if ring else -math.inf] * 2, counter, now)) is not None:
                seen.append((now, mode))

    run(2, True, State.HEALTHY)
    assert seen == [(STEP, Mode.BOTH)]  # the first observation is enough
    for _ in range(10):  # neither state lasts long enough
        run(0.75, True, State.SLOW)
        run(0.25, True, State.HEALTHY)
    assert len(seen) == 1
    failed_at = now
    run(2, True, State.UNREACHABLE)
    run(3, False, State.INCONSISTENT)
    run(3, False, State.EMPTIED)
    run(3, True, State.PARTLY_UNREACHABLE)
    assert [mode for _, mode in seen[1:]] == [Mode.RING, Mode.NEITHER, Mode.COUNTER, Mode.BOTH]
    assert seen[1][0] == failed_at + STEP + FAIL_SECONDS
    assert seen[3][0] == failed_at + 5 + STEP + RECOVER_SECONDS
    assert [modes.call_share(at) for at in (WINDOW_SECONDS - STEP, WINDOW_SECONDS)] == [
        1.0,
        CROSS_CHECK_SHARE,
    ]
    modes.update([now, -math.inf], State.HEALTHY, now)
    assert (modes.mode, modes.call_share(now)) == (Mode.BOTH, 1.0)  # a silent member may be partitioned off


@pytest.mark.parametrize("loss", [0.0, 0.065, 0.3])
@pytest.mark.parametrize("members", [2, 3, 8])
@pytest.mark.parametrize("mode", list(Mode))
def test_the_use_of_no_tenant_exceeds_the_bound(mode: Mode, members: int, loss: float) -> None:
    ring = mode in (Mode.BOTH, Mode.RING)
    fleet = ReconciledNetwork(members, ring=ring, may_message_peers=ring, max_units=1.0)
    fleet.reconciliation_readable = mode in (Mode.BOTH, Mode.COUNTER)
    chance, tries = random.Random(members), list[TenantRequest]()
    carry = fleet.deliver

    def deliver(sender: int, actions: list[i.Action]) -> None:
        carry(sender, [a for a in actions if not isinstance(a, i.SendPeerMessage) or chance.random() >= loss])

    fleet.deliver = deliver  # type: ignore[method-assign]
    demand = 4 * BASIC.rate
    while fleet.now < 30.0:
        fleet.run_epochs(1)
        for n in range(members):
            for serial in range(round(chance.random() < demand / members * fleet.gateways[0].epoch)):
                ran = fleet.submit(n, f"{fleet.now} {n} {serial}", ring_size=members)
                tries.append(TenantRequest(fleet.now, "a", 1.0, ran))
    epoch = fleet.gateways[0].epoch
    parameters = FleetParameters(BASIC.rate, BASIC.burst, members, demand, epoch, epoch, loss=loss)
    span = min(report_age(mode, parameters), 10.0)
    most = max(sum(one.at <= other.at < one.at + span + epoch / 2 for other in tries) for one in tries)
    parameters = replace(parameters, demand=most / span)
    assert evaluate_quotas(tries, BASIC.rate, BASIC.burst).use <= use_bound(mode, parameters)


def test_the_bound_grows_with_unseen_demand_up_to_a_burst_for_each_other_member() -> None:
    fleet = FleetParameters(rate=4.0, burst=12.0, members=3, demand=8.0, epoch=0.1, call_interval=0.1)
    assert use_bound(Mode.RING, fleet) == pytest.approx(1 + 8 * 0.2 / 52)
    assert report_age(Mode.RING, FleetParameters(4.0, 12.0, 3, 8.0, 0.1, 0.1, loss=0.065)) == pytest.approx(
        0.4
    )
    assert use_bound(Mode.COUNTER, FleetParameters(4.0, 12.0, 3, 1e6, 0.1, 0.1)) == pytest.approx(1 + 24 / 52)
    assert use_bound(Mode.NEITHER, fleet) == pytest.approx((3 * 1 + 40) / 52)
    with pytest.raises(ValueError, match="rate"):
        use_bound(Mode.RING, FleetParameters(0.0, 12.0, 3, 8.0, 0.1, 0.1))
