"""The second witness, as the module hears it: counts of ring places when the ring is silent or forgot."""

from __future__ import annotations

from typing import Any

import pytest

from hoistfold import interface as i
from hoistfold.gateway import IDLE_QUOTA_SECONDS, MAX_PER_EPOCH
from tests.world import BASIC, Pair, ended, of, request, sealed, sends, started


class Witnessed(Pair):
    """Gateways with no ring between them, only registers that each writes and the others read."""

    def __init__(self, count: int = 2, ring: bool = False, **changes: Any) -> None:
        self.registers: dict[tuple[bytes, int], i.UseReported] = {}
        self.ring, self.reads = ring, True
        super().__init__(count, counter_reconciliation=True, **changes)

    def deliver(self, sender: int, actions: list[i.Action]) -> None:
        if self.ring:
            super().deliver(sender, actions)
        for note in of(actions, i.UseReported):
            self.registers[note.tenant_key, note.ring_index] = note
            for (key, place), held in sorted(self.registers.items()):
                if self.reads and key == note.tenant_key and place != note.ring_index:
                    self.live[sender].handle(self.now, i.UseObserved(key, place, held.count, held.level))

    def admitted(self, number: int, tries: int) -> int:
        return sum(self.ask(number, f"{self.now} {number} {n}") for n in range(tries))


def test_without_a_ring_the_witness_holds_the_quota_and_lets_in_far_more_than_the_allowance() -> None:
    pair = Witnessed()
    total = 0
    for _ in range(100):
        pair.epochs(1)
        total += pair.admitted(0, 2) + pair.admitted(1, 2)
    allowed = BASIC.burst + BASIC.rate * pair.now
    assert 0.8 * allowed < total <= 1.1 * allowed


def test_a_silent_witness_falls_back_on_the_allowance() -> None:
    pair = Witnessed()
    pair.epochs(1)
    pair.admitted(0, 1)
    pair.epochs(2)
    assert pair.admitted(1, 1) == 1
    pair.reads = False
    pair.epochs(40)
    assert pair.admitted(0, 20) <= 4


def test_a_restarted_gateway_is_told_what_its_earlier_life_used() -> None:
    pair = Witnessed()
    pair.epochs(2)
    used = pair.admitted(0, 20)
    assert used >= 4
    pair.epochs(1)
    (key, place), held = next(item for item in pair.registers.items() if item[0][1] == 0)
    pair.restart(0)
    assert pair.ask(0, "again")
    pair.live[0].handle(pair.now, i.UseObserved(key, place, held.count, held.level))
    quota = pair.live[0].quotas[key]
    assert quota.own + quota.others >= held.level * BASIC.burst
    assert quota.counts[0] == held.count + 4  # in fourths of a unit: this life's use on top


def test_an_emptied_register_and_an_older_total_tell_nothing() -> None:
    pair = Witnessed()
    pair.epochs(2)
    assert pair.admitted(0, 6) == 4
    pair.epochs(2)
    assert pair.ask(1, "first")
    pair.epochs(1)
    quota = next(iter(pair.live[1].quotas.values()))
    before = (dict(quota.counts), quota.others)
    for count in (0, 1, quota.counts[0], quota.counts[0] - 2):
        pair.live[1].handle(pair.now, i.UseObserved(quota.key, 0, count & 0xFFFF, 1.0))
    assert (dict(quota.counts), quota.others) == before
    pair.live[1].handle(pair.now, i.UseObserved(b"other", 0, 9, 1.0))
    pair.live[1].handle(pair.now, i.UseObserved(quota.key, 7, 9, 1.0))
    assert (dict(quota.counts), quota.others) == before


def test_ring_and_witness_together_count_nothing_twice() -> None:
    alone, both = Pair(), Witnessed(ring=True)
    for pair in (alone, both):
        pair.epochs(4)
        assert sum(pair.ask(0, f"a{n}") for n in range(6)) == 6
        pair.epochs(3)
        assert pair.ask(1, "b")
        pair.epochs(3)
    left, right = (next(iter(pair.live[1].quotas.values())) for pair in (alone, both))
    assert left.counts == right.counts
    assert abs(left.others - right.others) < 0.3


def test_where_it_is_off_nothing_is_noted() -> None:
    pair = Pair()
    noted: list[i.Action] = []
    pair.ask(0, "a")
    pair.now += pair.live[0].epoch
    noted += of(pair.live[0].handle(pair.now, i.TimerFired(0)), i.UseReported)
    assert not noted


def test_of_many_customers_an_epoch_looks_after_the_fullest_and_forgets_all_in_the_end() -> None:
    gateway = started(counter_reconciliation=True, gateways=2)
    for n in range(4 * MAX_PER_EPOCH):
        units = 4.0 if n == 2 * MAX_PER_EPOCH else 1.0
        event = request(f"r{n}", tenant=f"c{n}", units=units, ring_size=2)
        for send in sends(gateway.handle(0.0, event)):
            gateway.handle(0.0, ended(send, i.Outcome.OK))
    notes = of(gateway.handle(0.1, i.TimerFired(0)), i.UseReported)
    assert len(notes) == MAX_PER_EPOCH
    assert notes[0].level > 0.3 > max(note.level for note in notes[1:])
    gateway.handle(IDLE_QUOTA_SECONDS + 1, i.TimerFired(0))
    assert (gateway.quotas, gateway.unreported, gateway.unreconciled) == ({}, {}, {})


@pytest.mark.parametrize(("speaking", "fits"), [((1, 2), 7), ((1,), 4), ((), 3)])
def test_what_silent_members_may_have_used_since_the_counter_told_is_reserved(
    speaking: tuple[int, ...], fits: int
) -> None:
    gateway = started(counter_reconciliation=True, gateways=3)
    gateway.handle(0.0, request("first", ring_size=3))
    quota = next(iter(gateway.quotas.values()))
    now = 10.0
    gateway.handle(now, i.UseObserved(quota.key, 2, 8, 0.2))  # two units of a burst of ten
    for sender in speaking:
        gateway.handle(now, i.PeerMessage(sender, sealed(b"")))
    served = 0
    for n in range(12):
        for send in sends(gateway.handle(now, request(f"{n}", ring_size=3))):
            gateway.handle(now, ended(send, i.Outcome.OK))
            served += 1
    assert served == fits
