"""Membership in simulated time: joins, crashes, partitions, clock steps, and arbitrary updates."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st

from lab.fleet.simulated import KEY, Members
from standflow.fleet.failure_detector import (
    FINAL_PROBE_MAX_DELAY_SECONDS,
    FINAL_PROBE_TIMEOUT_SECONDS,
    REMOVE_AFTER_SECONDS,
)
from standflow.fleet.membership import SETTLE_SECONDS, TICK_SECONDS, MemberSettings, Membership
from standflow.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    Kind,
    Message,
    State,
    Update,
    decode,
    derive_key,
    encode,
    updates_per_datagram,
)
from standflow.fleet.own_member import ID_CONFLICT_SECONDS
from standflow.fleet.reachability import ISOLATION_TIMEOUT_SECONDS

LOSSES = pytest.mark.parametrize("loss", [0.0, 0.065])


def settled(size: int, loss: float = 0.0) -> Members:
    members = Members(size, 3, loss=loss)
    assert members.until(members.all_agree, 10.0) < 10.0
    members.run(2.0)
    return members


def cut(members: Members, *sides: set[int]) -> None:
    """Only members of one side reach each other."""
    of = {member_id: number for number, side in enumerate(sides) for member_id in side}
    members.blocked = lambda sender, to: of[sender] != of[to]


def heal(members: Members) -> None:
    members.blocked = lambda sender, to: False


@LOSSES
def test_a_crash_and_a_join_reach_all_members_in_time(loss: float) -> None:
    members = settled(20, loss=loss)
    members.kill(7)
    assert members.until(members.all_agree, 5.0) < 5.0
    members.start(7)
    assert members.until(members.all_agree, 3.0) < 3.0


@LOSSES
def test_seven_of_ten_killed_at_once_are_dead_and_back(loss: float) -> None:
    members = settled(10, loss=loss)
    members.kill(*range(3, 10))
    assert members.until(members.all_agree, 10.0) < 10.0
    assert not any(membership.has_quorum() for membership in members.live.values())
    members.run(REMOVE_AFTER_SECONDS + 3.0)
    # a minority removes nobody
    assert not any(membership.has_quorum() for membership in members.live.values())
    for member_id in range(3, 10):
        members.start(member_id)
    assert members.until(members.all_agree, 5.0) < 5.0
    assert all(membership.has_quorum() for membership in members.live.values())


@LOSSES
def test_two_equal_halves_have_one_side_with_a_quorum_and_merge_again(loss: float) -> None:
    members = settled(6, loss=loss)
    cut(members, {0, 2, 4}, {1, 3, 5})
    sides = {0: {0, 2, 4}, 1: {1, 3, 5}}

    def apart() -> bool:
        return all(one.alive_ids() == sides[member_id % 2] for member_id, one in members.live.items())

    assert members.until(apart, 10.0) < 10.0
    assert {member_id for member_id, membership in members.live.items() if membership.has_quorum()} == {
        0,
        2,
        4,
    }
    heal(members)
    assert members.until(members.all_agree, 5.0) < 5.0


def test_removed_members_return_when_the_partition_heals() -> None:
    members = settled(5)
    cut(members, {0, 1, 2}, {3, 4})
    members.run(REMOVE_AFTER_SECONDS + 10.0)
    assert members.live[0].table.updates[3].state is State.REMOVED
    assert members.live[0].has_quorum()
    assert not members.live[3].has_quorum()
    heal(members)
    assert members.until(members.all_agree, 5.0) < 5.0


def test_a_restart_before_and_after_the_suspicion_timeout_is_distinguished_from_the_earlier_process() -> None:
    members = settled(5)
    for wait in (0.3, 6.0):
        before = members.live[2].table.own.boot_time_ms
        members.kill(2)
        members.run(wait)
        members.start(2)
        assert members.until(members.all_agree, 3.0) < 3.0
        assert {membership.table.updates[2].boot_time_ms for membership in members.live.values()} == {
            members.live[2].table.own.boot_time_ms
        }
        assert members.live[2].table.own.boot_time_ms > before
        assert all(
            2 in membership.take_snapshot().returned
            for member_id, membership in members.live.items()
            if member_id != 2
        )


def test_a_member_rejoins_after_its_clock_was_set_back_between_two_process_runs() -> None:
    members = settled(4)
    members.kill(1)
    members.start(1, at=members.now - 3600.0)
    assert members.until(members.all_agree, 3.0) < 3.0
    assert not members.live[1].own.yielded


def test_a_member_stalled_for_3_s_repeatedly_recovers_and_declares_nobody_dead() -> None:
    members = settled(6)
    for _ in range(4):
        members.hold(3)
        members.run(3.0)
        members.resume(3)
        members.run(0.3)
        assert not members.live[3].dead_ids()
        assert members.until(members.all_agree, 5.0) < 5.0


def test_a_chain_where_two_do_not_reach_each_other_keeps_all_three() -> None:
    members = settled(3, loss=0.065)
    members.blocked = lambda sender, to: {sender, to} == {0, 2}
    members.run(30.0)
    assert members.all_agree()
    assert all(not membership.dead_ids() for membership in members.live.values())


def test_a_zone_whose_datagrams_get_lost_on_the_way_out_considers_itself_isolated() -> None:
    members = settled(6)
    members.blocked = lambda sender, to: sender in (4, 5) and to not in (4, 5)
    members.run(ISOLATION_TIMEOUT_SECONDS + 8.0)
    snapshots = {member_id: membership.take_snapshot() for member_id, membership in members.live.items()}
    assert all(
        snapshots[member_id].alive == {0, 1, 2, 3} and snapshots[member_id].has_quorum
        for member_id in range(4)
    )
    assert not any(snapshots[member_id].has_quorum for member_id in (4, 5))
    heal(members)
    assert members.until(members.all_agree, 5.0) < 5.0
    assert all(membership.take_snapshot().has_quorum for membership in members.live.values())


def test_a_member_that_nobody_answers_considers_itself_isolated_before_others_hold_it_for_dead() -> None:
    members = settled(6)
    isolated = members.live[5]
    members.blocked = lambda sender, to: sender == 5
    assert (
        members.until(lambda: isolated.isolated, ISOLATION_TIMEOUT_SECONDS + 5.0)
        < ISOLATION_TIMEOUT_SECONDS + 5.0
    )
    assert not isolated.reachability.not_receiving
    assert not isolated.take_snapshot().has_quorum
    heal(members)
    assert members.until(lambda: isolated.take_snapshot().has_quorum, 5.0) < 5.0


def test_a_stall_of_the_process_does_not_shorten_a_suspicion() -> None:
    members = settled(4)
    members.kill(3)
    one = members.live[0]
    assert members.until(lambda: 3 in one.detector.deadlines, 5.0) < 5.0
    deadline = one.detector.deadlines[3]
    one.tick(members.now + 3.0)  # it was due within TICK_SECONDS
    assert one.detector.deadlines[3] > deadline + 3.0 - 2 * TICK_SECONDS


def test_a_gossiped_suspicion_is_not_confirmed_before_a_probe_could_be_sent() -> None:
    """The send limit is used up when a suspicion learned by gossip reaches its deadline."""
    membership = Membership(MemberSettings(0, 3, 1, updates_per_datagram(False)), 0.0, random.Random(1))
    address = ("127.0.0.1", 1)
    alive, suspected = Update(2, 5, 0, State.ALIVE), Update(2, 5, 0, State.SUSPECTED)
    for serial, update in enumerate((alive, suspected)):
        membership.receive(0.1, Message(Kind.GOSSIP, 1, 7, 0, serial, 0, 1, 0xFFFF, (update,)), address)
    membership.outbox.send_limit.burst = membership.outbox.send_limit.tokens = 0.0
    now = 0.1
    while now < membership.detector.deadlines[2] + FINAL_PROBE_MAX_DELAY_SECONDS / 2:
        now += TICK_SECONDS
        assert membership.tick(now) == []
    assert membership.table.updates[2].state.name == "SUSPECTED"
    membership.outbox.send_limit.burst = membership.outbox.send_limit.tokens = 5.0
    asked = now + TICK_SECONDS
    while not any(send.to == 2 and send.message.kind is Kind.PING for send in membership.tick(asked)):
        asked += TICK_SECONDS
        assert asked < now + 1.0
    membership.tick(asked + FINAL_PROBE_TIMEOUT_SECONDS / 2)
    assert membership.table.updates[2].state.name == "SUSPECTED"
    for step in range(30):
        membership.tick(asked + FINAL_PROBE_TIMEOUT_SECONDS / 2 + step * TICK_SECONDS)
    assert membership.table.updates[2].state.name == "DEAD"


def test_members_that_leave_do_not_count_for_the_quorum() -> None:
    """Three of twelve members remain, and are a fleet of three."""
    members = Members(12, 5, start=False)
    for member_id in range(3):
        members.start(member_id)
    assert members.until(members.all_agree, 5.0) < 5.0
    for member_id in range(3, 12):
        members.start(member_id)
    assert members.until(members.all_agree, 5.0) < 5.0
    for member_id in range(3, 12):
        members.leave(member_id)
        members.run(0.5)
    assert members.until(members.all_agree, 3.0) < 3.0
    assert all(membership.has_quorum() and not membership.dead_ids() for membership in members.live.values())


def test_the_last_member_that_leaves_reports_no_quorum() -> None:
    members = settled(3)
    last = members.live[0]
    for member_id in (1, 2, 0):
        members.leave(member_id)
        members.run(0.5)
    assert not last.alive_ids()
    assert not last.take_snapshot().has_quorum


def test_two_processes_with_one_member_id_are_logged_and_one_yields() -> None:
    members = settled(4)
    first = members.live[2]
    later = MemberSettings(2, 4, first.table.own.boot_time_ms + 5000, 20)
    second = Membership(later, members.now, random.Random(1))
    for _ in range(int(ID_CONFLICT_SECONDS)):
        for one in (first, second):
            members.live[2] = one
            for other in (0, 1, 3):
                boot_time_ms = members.live[other].table.own.boot_time_ms
                about = members.live[other].table.updates[2]
                message = Message(
                    Kind.PING,
                    other,
                    boot_time_ms,
                    members.live[other].table.own.incarnation,
                    1,
                    0,
                    2,
                    0xFFFF,
                    (about,),
                )
                one.receive(members.now, message, ("127.0.0.1", 1))
            members.run(0.5)
    assert [one.own.yielded for one in (first, second)].count(True) == 1
    for one in (first, second):
        assert any(
            "two members share an id" in change.after or "another process" in change.after
            for change in one.changes
        )
    given_up = first if first.own.yielded else second
    assert not given_up.take_snapshot().has_quorum


@LOSSES
def test_messages_stay_within_their_budget(loss: float) -> None:
    for size in (3, 20, 60):
        members = settled(size, loss=loss)
        before = {
            member_id: (membership.outbox.sent, membership.counts.taken)
            for member_id, membership in members.live.items()
        }
        members.run(10.0)
        for counter in (0, 1):
            rates = [
                ((membership.outbox.sent, membership.counts.taken)[counter] - before[member_id][counter])
                / 10.0
                for member_id, membership in members.live.items()
            ]
            assert sum(rates) / size <= 8.0
        members.kill(*range(size // 2))
        members.run(6.0)
        for times in members.taken.values():
            assert max(sum(at <= one < at + 1.0 for one in times) for at in times) <= 25


def test_cold_next_hops_are_divided_among_all_member_ids_until_membership_has_settled() -> None:
    members = Members(5, 1, start=False)
    for member_id in range(3):
        members.start(member_id)
    members.run(2.0)
    assert members.live[0].take_snapshot().slow_start_members == set(range(5))
    members.run(SETTLE_SECONDS + 1.0)
    assert members.live[0].take_snapshot().slow_start_members == {0, 1, 2}
    members.start(3)
    assert members.until(lambda: 3 in members.live[0].take_snapshot().slow_start_members, 2.0) < 2.0
    members.kill(3)
    members.until(members.all_agree, 5.0)
    assert 3 in members.live[0].take_snapshot().slow_start_members
    members.run(SETTLE_SECONDS + 1.0)
    assert 3 not in members.live[0].take_snapshot().slow_start_members


def test_log_lines_keep_the_state_names_that_operators_read() -> None:
    names = [state.log_name for state in State]
    assert names == ["present", "suspected", "gone", "buried", "left"]


# Updates and datagrams.

UPDATES = st.builds(
    Update,
    st.integers(0, 9),
    st.integers(0, 1 << 47),
    st.integers(0, 0xFFFF),
    st.sampled_from(State),
    st.none() | st.just(("10.0.0.7", 7946)),
)


@given(st.lists(UPDATES, max_size=13), st.booleans())
def test_a_datagram_keeps_its_updates_and_a_corrupted_or_foreign_one_is_rejected(
    updates: list[Update], with_addresses: bool
) -> None:
    updates = [update if with_addresses else replace(update, address=None) for update in updates]
    updates = updates[: updates_per_datagram(with_addresses)]
    message = Message(Kind.ACK, 3, 1 << 40, 7, 99, 0xDEADBEEF, 4, 17, tuple(updates))
    content = encode(message, KEY, with_addresses)
    assert len(content) <= MAX_DATAGRAM_BYTES
    assert decode(content, KEY) == message
    assert decode(content, derive_key("another")) is None
    for at in range(0, len(content), 3):
        assert decode(content[:at], KEY) is None
        if at >= 2:
            assert decode(content[:at] + bytes([content[at] ^ 0x10]) + content[at + 1 :], KEY) is None


@how(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(UPDATES.filter(lambda update: update.member_id < 4), max_size=30),
    st.randoms(use_true_random=False),
)
def test_updates_in_any_order_leave_the_same_table(updates: list[Update], rng: random.Random) -> None:
    tables = []
    for attempt in range(2):
        membership = Membership(MemberSettings(5, 9, 1 << 47, 20), 1.0, random.Random(attempt))
        mixed = updates * (attempt + 1)
        rng.shuffle(mixed)
        for update in mixed:
            stored = membership.table.updates.get(update.member_id)
            membership.merge(update, "test")
            if stored is not None:  # an older update must not replace the stored one
                now = membership.table.updates[update.member_id]
                assert (now.version, now.state) >= (stored.version, stored.state)
        tables.append(
            {
                member_id: (update.version, update.state)
                for member_id, update in membership.table.updates.items()
                if member_id != 5
            }
        )
    assert tables[0] == tables[1]


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "start", "cut", "heal", "hold", "leave", "run", "noise"]), st.integers(0, 6)
    ),
    max_size=12,
)


@how(max_examples=40, deadline=None, derandomize=True)
@given(STEPS, st.integers(0, 1000))
def test_all_live_members_agree_once_the_network_has_healed_whatever_happened_before(
    steps: list[tuple[str, int]], seed: int
) -> None:
    members = Members(7, seed, loss=0.1)
    members.again = 0.1
    for what, member_id in steps:
        if what == "kill" and member_id in members.live:
            members.kill(member_id)
        elif what == "start" and member_id not in members.live:
            members.start(member_id)
        elif what == "leave" and member_id in members.live:
            members.leave(member_id)
        elif what == "cut":
            cut(members, set(range(member_id + 1)), set(range(member_id + 1, 7)))
        elif what == "heal":
            heal(members)
        elif what == "hold" and member_id in members.live:
            members.hold(member_id)
            members.run(2.0)
            if member_id in members.stopped:
                members.resume(member_id)
        elif what == "noise":
            for membership in members.live.values():
                odd = Message(Kind.PING, member_id, 5, 5, 0, 0, 200, 9, (Update(99, 1, 1, State.DEAD),))
                membership.receive(members.now, odd, ("127.0.0.1", 9))
        members.run(1.0)
    heal(members)
    assert members.until(members.all_agree, 20.0) < 20.0
    members.run(3.0)
    assert members.all_agree()
