"""Properties of clusters of 1 to 100 gateways and 0 to 200 backends."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st

from hoistfold import interface as i
from hoistfold.gateway import MIN_SHARERS, MIN_SUBSET, Gateway
from lab.vast import CORES, VIEW, Fleet, settings
from tests.world import actions_of, backend, listed, request, sends, with_checksum

SIZES = st.tuples(st.integers(1, 100), st.integers(0, 200))


def gateway_with(gateways: int, names: list[str], number: int) -> Gateway:
    """A gateway with a list of warm backends in three zones."""
    gateway = Gateway(settings(number, gateways), number)
    gateway.handle(0.0, i.Started())
    gateway.handle(0.0, listed(*(backend(name, zone="abc"[ord(name[-1]) % 3]) for name in names)))
    return gateway


def subset(gateway: Gateway) -> set[str]:
    """The backends that a gateway sends to."""
    return {b.entry.backend for b in gateway._subset()}


@how(max_examples=25, deadline=None, derandomize=True)
@given(SIZES)
def test_the_union_covers_every_backend_and_shares_are_even(sizes: tuple[int, int]) -> None:
    gateways, count = sizes
    names = [f"b{n}" for n in range(count)]
    uses = Counter(
        name for number in range(gateways) for name in subset(gateway_with(gateways, names, number))
    )
    subset_size = min(count, max(MIN_SUBSET, math.ceil(MIN_SHARERS / gateways * count)))
    assert sum(uses.values()) == gateways * subset_size
    assert set(uses) == set(names)
    assert max(uses.values(), default=0) - min(uses.values(), default=0) <= 1


@how(max_examples=25, deadline=None, derandomize=True)
@given(st.integers(1, 100), st.integers(1, 200), st.integers(0, 199), st.floats(0.0, 16.9))
def test_a_cold_backend_has_its_sharers_and_they_include_its_usual_gateways(
    gateways: int, count: int, which: int, age: float
) -> None:
    names = [f"b{n}" for n in range(count)]
    cold = names[which % count]
    instances = [gateway_with(gateways, names, number) for number in range(gateways)]
    users = {n for n, gateway in enumerate(instances) if cold in subset(gateway)}
    for gateway in instances:
        entry = backend(cold, zone="abc"[ord(cold[-1]) % 3], started=99.0 - age)
        gateway.handle(99.0 - age, listed(entry, kind=i.ListKind.CHANGES))
        gateway.now = 99.0
    sharers = {n for n, gateway in enumerate(instances) if cold in subset(gateway)}
    max_sharers = instances[0]._slow_start_sharers(instances[0].backends[cold])
    assert len(sharers) <= min(gateways, max_sharers)
    assert len(sharers) >= min(gateways, int(max_sharers))
    assert users <= sharers if len(users) <= max_sharers else sharers < users  # usual gateways come first


@pytest.mark.parametrize(("gateways", "backends"), [(3, 10), (10, 20), (20, 30), (40, 60)])
def test_a_restarted_backend_is_used_by_its_usual_gateways_within_5_s(gateways: int, backends: int) -> None:
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


def test_subsets_alternate_zones_and_differ_between_neighbors() -> None:
    """Neighbors by number serve the same tenants, so their subsets must differ."""
    sets = [subset(gateway_with(40, [f"b{n}-{n % 3}" for n in range(60)], number)) for number in range(40)]
    assert all(set(Counter(name[-1] for name in one).values()) == {2} for one in sets)
    assert sum(not one & sets[number - 1] for number, one in enumerate(sets)) >= 35


@how(max_examples=15, deadline=None, derandomize=True)
@given(st.integers(1, 100), st.integers(2, 200), st.integers(0, 199))
def test_adding_or_removing_a_backend_changes_few_subsets(gateways: int, count: int, removed: int) -> None:
    names = [f"b{n}" for n in range(count)]
    without = [name for name in names if name != f"b{removed % count}"]
    joins = losses = 0
    for number in range(gateways):
        more, fewer = (
            subset(gateway_with(gateways, names, number)),
            subset(gateway_with(gateways, without, number)),
        )
        joins, losses = joins + len(more - fewer), losses + len(fewer - more)
    # What the backend carried itself, and one more at each end of a subset, where the order of zones changes.
    carried = gateways * len(more) / count
    assert losses <= joins <= carried + 1.5 * gateways + 1


@pytest.mark.parametrize("gateways", [1, 3, 40, 100])
def test_joint_sends_to_cold_backends_keep_the_budget(gateways: int) -> None:
    """60% of the backends are replaced at once, and all gateways notified at once."""
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
    assert all(box.received for box in cold)  # every one is used
    for box in cold:
        assert box.entry.started is not None
        for start in {at for at, _ in box.received}:
            work = sum(work for at, work in box.received if start <= at < start + 3.0)
            age = start - box.entry.started
            warmth = min(1.0, 0.15 + 0.85 * (age + 1.5) / 17.0)
            assert work <= 4.0 * CORES * warmth * 3.0 + 1.0  # slack for chance, as in the rule


@pytest.mark.parametrize("gateways", [2, 10, 40, 100])
def test_datagrams_keep_their_size_and_at_the_load_of_a_day_the_intake(gateways: int) -> None:
    """Above 26 requests per second at each of 40 gateways, messages exceed the intake: see scale.md."""
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
        assert set(gateway.backends) == names == {b.entry.backend for b in gateway.backend_order}
        for n in range(3):
            event = request(f"r{turn}-{n}", class_name="view", plan="full", ring_size=1)
            for send in sends(gateway.handle(now, event)):
                assert send.backend in names
        if names:
            drained = sorted(names)[0]
            gateway.handle(
                now, listed(backend(drained, availability=i.Availability.DRAINING), kind=i.ListKind.CHANGES)
            )
            for n in range(3):
                event = request(f"d{turn}-{n}", class_name="view", plan="full", ring_size=1)
                assert all(send.backend != drained for send in sends(gateway.handle(now + 0.6, event)))


@pytest.mark.parametrize("changes", [
    {"peer_intake": 0.0}, {"gateways": 100_000}, {"gateways": 1}, {"peer_intake": 1e9}, {"max_attempts": 1},
])  # fmt: skip
def test_extreme_settings_are_handled(changes: dict[str, float]) -> None:
    gateway = Gateway(replace(settings(0, 40), **changes), 1)  # type: ignore[arg-type]
    gateway.handle(0.0, i.Started())
    gateway.handle(0.0, listed(*(backend(f"b{n}") for n in range(3000))))
    served = 0
    for n in range(40):
        event = request(f"r{n}", class_name="view", plan="full", tenant=f"c{n}", ring_size=1)
        served += len(sends(gateway.handle(1.0 + n / 10, event)))
    assert served >= (40 if gateway.sharers < 100 else 1)  # a capacity below one attempt still serves
    assert len(actions_of(gateway.handle(9.0, i.TimerFired(0)), i.SetTimer)) == 1  # epochs continue


@how(max_examples=30, deadline=None, derandomize=True)
@given(st.binary(max_size=256), st.integers(-1, 60))
def test_forged_messages_have_no_lasting_effect(content: bytes, sender: int) -> None:
    gateway = gateway_with(40, ["b1", "b2"], 3)
    for message in (content, with_checksum(content), with_checksum(content[: len(content) // 19 * 19])):
        gateway.handle(1.0, i.PeerMessage(sender, message))
    assert len(gateway.quotas) <= 3 * (256 // 19)
    event = request("r", class_name="view", plan="full", ring_size=1, tenant="honest")
    assert sends(gateway.handle(2.0, event))
    assert VIEW.name in gateway.baseline
    gateway.handle(60.0, i.TimerFired(0))
    gateway.handle(120.0, i.TimerFired(0))
    assert len(gateway.quotas) == 0 or all(quota.in_flight for quota in gateway.quotas.values())
