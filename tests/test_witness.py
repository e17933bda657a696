"""Counter reconciliation: counts of ring members while the ring is silent or after a restart."""

from __future__ import annotations

from typing import Any

import pytest

from hoistfold import interface as i
from hoistfold.gateway import IDLE_QUOTA_SECONDS, MAX_PER_EPOCH
from tests.world import BASIC, PeerNetwork, actions_of, ended, request, sends, started, with_checksum


class ReconciledNetwork(PeerNetwork):
    """Gateways without a ring, connected through registers that each writes and the others read."""

    def __init__(self, count: int = 2, ring: bool = False, **changes: Any) -> None:
        self.registers: dict[tuple[bytes, int], i.UseReported] = {}
        self.ring, self.reconciliation_readable = ring, True
        super().__init__(count, counter_reconciliation=True, **changes)

    def deliver(self, sender: int, actions: list[i.Action]) -> None:
        if self.ring:
            super().deliver(sender, actions)
        for report in actions_of(actions, i.UseReported):
            self.registers[report.tenant_key, report.ring_index] = report
            for (key, ring_index), register in sorted(self.registers.items()):
                if (
                    self.reconciliation_readable
                    and key == report.tenant_key
                    and ring_index != report.ring_index
                ):
                    self.gateways[sender].handle(
                        self.now, i.UseObserved(key, ring_index, register.count, register.level)
                    )

    def admitted(self, number: int, count: int) -> int:
        return sum(self.submit(number, f"{self.now} {number} {n}") for n in range(count))


def test_without_a_ring_reconciliation_holds_the_quota_and_admits_more_than_the_allowance() -> None:
    network = ReconciledNetwork()
    total = 0
    for _ in range(100):
        network.run_epochs(1)
        total += network.admitted(0, 2) + network.admitted(1, 2)
    allowed = BASIC.burst + BASIC.rate * network.now
    assert 0.8 * allowed < total <= 1.1 * allowed


def test_silent_reconciliation_falls_back_to_the_allowance() -> None:
    network = ReconciledNetwork()
    network.run_epochs(1)
    network.admitted(0, 1)
    network.run_epochs(2)
    assert network.admitted(1, 1) == 1
    network.reconciliation_readable = False
    network.run_epochs(40)
    assert network.admitted(0, 20) <= 4


def test_a_restarted_gateway_receives_its_earlier_use_by_reconciliation() -> None:
    network = ReconciledNetwork()
    network.run_epochs(2)
    used = network.admitted(0, 20)
    assert used >= 4
    network.run_epochs(1)
    (key, ring_index), register = next(item for item in network.registers.items() if item[0][1] == 0)
    network.restart(0)
    assert network.submit(0, "again")
    network.gateways[0].handle(network.now, i.UseObserved(key, ring_index, register.count, register.level))
    quota = network.gateways[0].quotas[key]
    assert quota.own + quota.others >= register.level * BASIC.burst
    assert quota.counts[0] == register.count + 4  # in quarters of a unit: use since the restart is added


def test_a_reset_register_and_an_older_count_are_ignored() -> None:
    network = ReconciledNetwork()
    network.run_epochs(2)
    assert network.admitted(0, 6) == 4
    network.run_epochs(2)
    assert network.submit(1, "first")
    network.run_epochs(1)
    quota = next(iter(network.gateways[1].quotas.values()))
    before = (dict(quota.counts), quota.others)
    for count in (0, 1, quota.counts[0], quota.counts[0] - 2):
        network.gateways[1].handle(network.now, i.UseObserved(quota.key, 0, count & 0xFFFF, 1.0))
    assert (dict(quota.counts), quota.others) == before
    network.gateways[1].handle(network.now, i.UseObserved(b"other", 0, 9, 1.0))
    network.gateways[1].handle(network.now, i.UseObserved(quota.key, 7, 9, 1.0))
    assert (dict(quota.counts), quota.others) == before


def test_ring_and_reconciliation_together_count_use_once() -> None:
    alone, both = PeerNetwork(), ReconciledNetwork(ring=True)
    for network in (alone, both):
        network.run_epochs(4)
        assert sum(network.submit(0, f"a{n}") for n in range(6)) == 6
        network.run_epochs(3)
        assert network.submit(1, "b")
        network.run_epochs(3)
    left, right = (next(iter(network.gateways[1].quotas.values())) for network in (alone, both))
    assert left.counts == right.counts
    assert abs(left.others - right.others) < 0.3


def test_without_reconciliation_no_use_is_reported() -> None:
    network = PeerNetwork()
    reports: list[i.Action] = []
    network.submit(0, "a")
    network.now += network.gateways[0].epoch
    reports += actions_of(network.gateways[0].handle(network.now, i.TimerFired(0)), i.UseReported)
    assert not reports


def test_an_epoch_reports_the_most_utilized_quotas_and_idle_ones_are_evicted() -> None:
    gateway = started(counter_reconciliation=True, gateways=2)
    for n in range(4 * MAX_PER_EPOCH):
        units = 4.0 if n == 2 * MAX_PER_EPOCH else 1.0
        event = request(f"r{n}", tenant=f"c{n}", units=units, ring_size=2)
        for send in sends(gateway.handle(0.0, event)):
            gateway.handle(0.0, ended(send, i.Outcome.OK))
    reports = actions_of(gateway.handle(0.1, i.TimerFired(0)), i.UseReported)
    assert len(reports) == MAX_PER_EPOCH
    assert reports[0].level > 0.3 > max(report.level for report in reports[1:])
    gateway.handle(IDLE_QUOTA_SECONDS + 1, i.TimerFired(0))
    assert (gateway.quotas, gateway.unreported, gateway.unreconciled) == ({}, {}, {})


@pytest.mark.parametrize(("heard_from", "admissible"), [((1, 2), 7), ((1,), 4), ((), 3)])
def test_units_are_reserved_for_silent_members_since_their_last_observed_use(
    heard_from: tuple[int, ...], admissible: int
) -> None:
    gateway = started(counter_reconciliation=True, gateways=3)
    gateway.handle(0.0, request("first", ring_size=3))
    quota = next(iter(gateway.quotas.values()))
    now = 10.0
    gateway.handle(now, i.UseObserved(quota.key, 2, 8, 0.2))  # 2 units of a burst of 10
    for sender in heard_from:
        gateway.handle(now, i.PeerMessage(sender, with_checksum(b"")))
    served = 0
    for n in range(12):
        for send in sends(gateway.handle(now, request(f"{n}", ring_size=3))):
            gateway.handle(now, ended(send, i.Outcome.OK))
            served += 1
    assert served == admissible


def test_registers_that_are_read_for_the_first_time_add_up() -> None:
    # Guards against members that are together taken to have used no more than the last of them.
    gateway = started(counter_reconciliation=True, gateways=3)
    gateway.handle(0.0, request("first", ring_size=3))
    (quota,) = gateway.quotas.values()
    for ring_index in (1, 2):
        gateway.handle(0.0, i.UseObserved(quota.key, ring_index, 12, 0.3))  # 3 units of a burst of 10
    assert quota.others == 6.0
