"""What a fleet of any size does together: properties over 1 to 100 gateways and 0 to 200 backends."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st

from hoistfold import interface as i
from hoistfold.brain import CHOICES, SHARERS, Gateway
from lab.vast import CORES, VIEW, Fleet, settings
from tests.world import backend, listed, of, request, sealed, sends

SIZES = st.tuples(st.integers(1, 100), st.integers(0, 200))


def told(gateways: int, names: list[str], number: int) -> Gateway:
    """A gateway of a fleet with a list of warm backends in three rooms."""
    gateway = Gateway(settings(number, gateways), number)
    gateway.handle(0.0, i.Started())
    gateway.handle(0.0, listed(*(backend(name, zone="abc"[ord(name[-1]) % 3]) for name in names)))
    return gateway


def near(gateway: Gateway) -> set[str]:
    """The backends it works with."""
    return {b.entry.backend for b in gateway._nearest()}


@how(max_examples=25, deadline=None, derandomize=True)
@given(SIZES)
def test_the_union_covers_every_backend_and_shares_are_even(sizes: tuple[int, int]) -> None:
    gateways, count = sizes
    names = [f"b{n}" for n in range(count)]
    uses = Counter(name for number in range(gateways) for name in near(told(gateways, names, number)))
    reach = min(count, max(CHOICES, math.ceil(SHARERS / gateways * count)))
    assert sum(uses.values()) == gateways * reach
    assert set(uses) == set(names)
    assert max(uses.values(), default=0) - min(uses.values(), default=0) <= 1


@how(max_examples=25, deadline=None, derandomize=True)
@given(st.integers(1, 100), st.integers(1, 200), st.integers(0, 199), st.floats(0.0, 16.9))
def test_a_cold_one_has_its_doors_and_they_are_who_works_with_it_anyway(
    gateways: int, count: int, which: int, age: float
) -> None:
    names = [f"b{n}" for n in range(count)]
    cold = names[which % count]
    live = [told(gateways, names, number) for number in range(gateways)]
    users = {n for n, gateway in enumerate(live) if cold in near(gateway)}
    for gateway in live:
        entry = backend(cold, zone="abc"[ord(cold[-1]) % 3], started=99.0 - age)
        gateway.handle(99.0 - age, listed(entry, kind=i.ListKind.CHANGES))
        gateway.now = 99.0
    doors = {n for n, gateway in enumerate(live) if cold in near(gateway)}
    most = live[0]._doors(live[0].backends[cold])
    assert len(doors) <= min(gateways, most)
    assert len(doors) >= min(gateways, int(most))
    assert users <= doors if len(users) <= most else doors < users  # nobody is passed over for another


@pytest.mark.parametrize(("gateways", "backends"), [(3, 10), (10, 20), (20, 30), (40, 60)])
def test_one_put_back_cold_gets_from_all_that_used_it_within_5_s(gateways: int, backends: int) -> None:
    fleet = Fleet(gateways, backends, rate=8.0)
    fleet.run(8.0)
    users = {number for _, number, hop in fleet.sent if hop == "b1"}
    entry = fleet.boxes["b1"].entry
    for at, after in ((8.0, {"availability": i.Availability.DRAINING}), (11.0, {"started": 11.0})):
        fleet.run(at)
        fleet.boxes["b1"].entry = replace(entry, **after)
        for number in range(gateways):
            fleet.send_backend_list(number)
    fleet.run(16.0)
    assert users <= {number for at, number, hop in fleet.sent if hop == "b1" and at > 11.0}


def test_rooms_take_turns_and_neighbours_work_with_others() -> None:
    """Neighbours by number serve the same customers; each next hop met by all was met by each alone."""
    sets = [near(told(40, [f"b{n}-{n % 3}" for n in range(60)], number)) for number in range(40)]
    assert all(set(Counter(name[-1] for name in one).values()) == {2} for one in sets)
    assert sum(not one & sets[number - 1] for number, one in enumerate(sets)) >= 35


@how(max_examples=15, deadline=None, derandomize=True)
@given(st.integers(1, 100), st.integers(2, 200), st.integers(0, 199))
def test_a_join_or_a_loss_moves_few(gateways: int, count: int, lost: int) -> None:
    names = [f"b{n}" for n in range(count)]
    without = [name for name in names if name != f"b{lost % count}"]
    joins = losses = 0
    for number in range(gateways):
        more, fewer = near(told(gateways, names, number)), near(told(gateways, without, number))
        joins, losses = joins + len(more - fewer), losses + len(fewer - more)
    # what the one itself carried, and one more at an end of each ring, where rooms may take turns anew
    carried = gateways * len(more) / count
    assert losses <= joins <= carried + 1.5 * gateways + 1


@pytest.mark.parametrize("gateways", [1, 3, 40, 100])
def test_joint_sends_to_cold_backends_keep_the_budget(gateways: int) -> None:
    """Six in ten replaced at once and told to all at once, whatever the number of ingresses."""
    count = max(6, gateways * 3 // 2)
    fleet = Fleet(gateways, count, rate=0.5 * CORES * count / gateways / 0.19)
    fleet.run(2.0)
    for n in range(count * 6 // 10):
        del fleet.boxes[f"b{n}"]
        fleet.add(f"new{n}", "abc"[n % 3], fleet.now)
    for number in range(gateways):
        fleet.send_backend_list(number)
    fleet.run(14.0)
    cold = [box for name, box in fleet.boxes.items() if name.startswith("new")]
    assert all(box.received for box in cold)  # none is left out either
    for box in cold:
        assert box.entry.started is not None
        for start in {at for at, _ in box.received}:
            work = sum(work for at, work in box.received if start <= at < start + 3.0)
            age = start - box.entry.started
            warmth = min(1.0, 0.15 + 0.85 * (age + 1.5) / 17.0)
            assert work <= 4.0 * CORES * warmth * 3.0 + 1.0  # and some slack for chance, as the rule has


@pytest.mark.parametrize("gateways", [2, 10, 40, 100])
def test_datagrams_keep_their_size_and_at_the_load_of_a_day_the_intake(gateways: int) -> None:
    """Past 26 requests a second at each of forty, what is asked is more than is taken in: see scale.md."""
    fleet = Fleet(gateways, 20, rate=14.0, speedup=2.0)
    fleet.run(8.0)
    assert 0 < fleet.counts["longest"] <= 252
    assert fleet.counts["messages"] / gateways / 8.0 <= 100.0
    assert fleet.counts["lost"] <= 0.01 * fleet.counts["messages"]


@how(max_examples=20, deadline=None, derandomize=True)
@given(st.integers(1, 100), st.lists(st.integers(0, 200), min_size=1, max_size=6))
def test_a_changing_list_leaves_nothing_behind(gateways: int, sizes: list[int]) -> None:
    gateway, now = Gateway(settings(0, gateways), 1), 0.0
    gateway.handle(now, i.Started())
    for turn, size in enumerate(sizes):
        now += 1.0
        names = {f"b{turn}-{n}" for n in range(size)}
        gateway.handle(now, listed(*(backend(name) for name in sorted(names)), kind=i.ListKind.FULL))
        assert set(gateway.backends) == names == {b.entry.backend for b in gateway.order}
        for n in range(3):
            event = request(f"r{turn}-{n}", class_name="view", plan="full", ring_size=1)
            for send in sends(gateway.handle(now, event)):
                assert send.backend in names
        if names:
            gone = sorted(names)[0]
            gateway.handle(
                now, listed(backend(gone, availability=i.Availability.DRAINING), kind=i.ListKind.CHANGES)
            )
            for n in range(3):
                event = request(f"d{turn}-{n}", class_name="view", plan="full", ring_size=1)
                assert all(send.backend != gone for send in sends(gateway.handle(now + 0.6, event)))


@pytest.mark.parametrize("changes", [
    {"peer_intake": 0.0}, {"gateways": 100_000}, {"gateways": 1}, {"peer_intake": 1e9}, {"max_attempts": 1},
])  # fmt: skip
def test_absurd_settings_are_borne(changes: dict[str, float]) -> None:
    gateway = Gateway(replace(settings(0, 40), **changes), 1)  # type: ignore[arg-type]
    gateway.handle(0.0, i.Started())
    gateway.handle(0.0, listed(*(backend(f"b{n}") for n in range(3000))))
    served = 0
    for n in range(40):
        event = request(f"r{n}", class_name="view", plan="full", customer=f"c{n}", ring_size=1)
        served += len(sends(gateway.handle(1.0 + n / 10, event)))
    assert served >= (40 if gateway.sharers < 100 else 1)  # a share below one attempt still serves
    assert len(of(gateway.handle(9.0, i.TimerFired(0)), i.SetTimer)) == 1  # the epoch goes on


@how(max_examples=30, deadline=None, derandomize=True)
@given(st.binary(max_size=256), st.integers(-1, 60))
def test_forged_datagrams_change_nothing_that_lasts(content: bytes, sender: int) -> None:
    gateway = told(40, ["b1", "b2"], 3)
    for message in (content, sealed(content), sealed(content[: len(content) // 19 * 19])):
        gateway.handle(1.0, i.PeerMessage(sender, message))
    assert len(gateway.quotas) <= 3 * (256 // 19)
    event = request("r", class_name="view", plan="full", ring_size=1, customer="honest")
    assert sends(gateway.handle(2.0, event))
    assert VIEW.name in gateway.base
    gateway.handle(60.0, i.TimerFired(0))
    gateway.handle(120.0, i.TimerFired(0))
    assert len(gateway.quotas) == 0 or all(quota.open for quota in gateway.quotas.values())
