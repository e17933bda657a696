"""The modes of the two witnesses, and the bound held against gateways whose every unit is counted."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import pytest

from hoistfold import interface as i
from lab.quotas import Try, judge
from standflow.counter.health import State
from standflow.counter.modes import CALM, GIVEN_UP, TRUSTED, WINDOW, Fleet, Mode, ModeTracker, age, bound
from tests.test_witness import Witnessed
from tests.world import BASIC

STEP = 0.25


def test_a_mode_is_left_after_a_moment_and_entered_again_after_a_longer_one() -> None:
    modes, now, seen = ModeTracker(0.1, 0.0), 0.0, list[tuple[float, Mode]]()

    def play(seconds: float, ring: bool, counter: State) -> None:
        nonlocal now
        for _ in range(round(seconds / STEP)):
            now += STEP
            if (mode := modes.look([now if ring else -math.inf] * 2, counter, now)) is not None:
                seen.append((now, mode))

    play(2, True, State.GOOD)
    assert seen == [(STEP, Mode.BOTH)]  # at first one word is enough
    for _ in range(10):  # neither hovers for long enough
        play(0.75, True, State.SLOW)
        play(0.25, True, State.GOOD)
    assert len(seen) == 1
    gone = now
    play(2, True, State.GONE)
    play(3, False, State.DISAGREEING)
    play(3, False, State.EMPTIED)
    play(3, True, State.PART_GONE)
    assert [mode for _, mode in seen[1:]] == [Mode.RING, Mode.NEITHER, Mode.COUNTER, Mode.BOTH]
    assert seen[1][0] == gone + STEP + GIVEN_UP
    assert seen[3][0] == gone + 5 + STEP + TRUSTED
    assert [modes.share(at) for at in (WINDOW - STEP, WINDOW)] == [1.0, CALM]
    modes.look([now, -math.inf], State.GOOD, now)
    assert (modes.mode, modes.share(now)) == (Mode.BOTH, 1.0)  # one is silent: it may be cut off


@pytest.mark.parametrize("loss", [0.0, 0.065, 0.3])
@pytest.mark.parametrize("members", [2, 3, 8])
@pytest.mark.parametrize("mode", list(Mode))
def test_no_customer_goes_beyond_the_bound(mode: Mode, members: int, loss: float) -> None:
    ring = mode in (Mode.BOTH, Mode.RING)
    fleet = Witnessed(members, ring=ring, may_tell_peers=ring, max_units=1.0)
    fleet.reads = mode in (Mode.BOTH, Mode.COUNTER)
    chance, tries = random.Random(members), list[Try]()
    carry = fleet.deliver

    def deliver(sender: int, actions: list[i.Action]) -> None:
        carry(sender, [a for a in actions if not isinstance(a, i.TellPeer) or chance.random() >= loss])

    fleet.deliver = deliver  # type: ignore[method-assign]
    asked = 4 * BASIC.rate
    while fleet.now < 30.0:
        fleet.epochs(1)
        for n in range(members):
            for turn in range(round(chance.random() < asked / members * fleet.live[0].epoch)):
                ran = fleet.ask(n, f"{fleet.now} {n} {turn}", ring_size=members)
                tries.append(Try(fleet.now, "a", 1.0, ran))
    epoch = fleet.live[0].epoch
    told = Fleet(BASIC.rate, BASIC.burst, members, asked, epoch, epoch, loss=loss)
    span = min(age(mode, told), 10.0)
    most = max(sum(one.at <= other.at < one.at + span + epoch / 2 for other in tries) for one in tries)
    told = replace(told, asked=most / span)
    assert judge(tries, BASIC.rate, BASIC.burst).use <= bound(mode, told)


def test_the_bound_grows_with_what_is_asked_for_unseen_and_ends_at_a_burst_for_each() -> None:
    fleet = Fleet(rate=4.0, burst=12.0, members=3, asked=8.0, epoch=0.1, every=0.1)
    assert bound(Mode.RING, fleet) == pytest.approx(1 + 8 * 0.2 / 52)
    assert age(Mode.RING, Fleet(4.0, 12.0, 3, 8.0, 0.1, 0.1, loss=0.065)) == pytest.approx(0.4)
    assert bound(Mode.COUNTER, Fleet(4.0, 12.0, 3, 1e6, 0.1, 0.1)) == pytest.approx(1 + 24 / 52)
    assert bound(Mode.NEITHER, fleet) == pytest.approx((3 * 1 + 40) / 52)
    with pytest.raises(ValueError, match="rate"):
        bound(Mode.RING, Fleet(0.0, 12.0, 3, 8.0, 0.1, 0.1))
