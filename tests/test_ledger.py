"""The ledger's registers against a counter whose truth is known, with calls that end in every way."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from standflow.counter.ledger import (
    COUNTS,
    FORGET,
    LEVELS,
    LIFE,
    PERIOD,
    SETTLE,
    YOUNG,
    Call,
    End,
    Ledger,
    RegisterReading,
    decode,
    encode,
)

KEY = b"\1\2\3\4\5"


class LedgerModel(RuleBasedStateMachine):
    """Three ingresses write and read their registers of one customer.

    Calls get lost, land late, or are answered; the counter is emptied, ingresses are restarted, at any time.
    """

    @initialize()
    def start(self) -> None:
        self.now = 1000.0
        self.numbers: dict[str, tuple[int, float]] = {}  # by name: total, and when it is forgotten
        self.ledgers = [Ledger() for _ in range(3)]
        self.counts = [0, 0, 0]
        self.out: list[tuple[int, Call, Ledger]] = []
        self.adrift: list[tuple[float, Call]] = []  # lost calls that may yet land, until a time
        self.seen: dict[tuple[int, int], int] = {}  # by reader and place: the greatest count told
        self.greatest = [0, 0, 0]
        self.spoilt = False
        for number in range(3):
            self.use(number, 1)

    def land(self, call: Call) -> int:
        total, until = self.numbers.get(call.name, (0, 0.0))
        if until <= self.now:
            total, until = 0, self.now + LIFE
        self.numbers[call.name] = (total + call.amount, until)
        return total + call.amount

    @rule(number=st.integers(0, 2), units=st.integers(1, 5))
    def use(self, number: int, units: int) -> None:
        self.counts[number] += units
        self.greatest[number] = max(self.greatest[number], self.counts[number])
        self.ledgers[number].record_use(KEY, 3, number, self.counts[number], 0.5, 0.9, self.now)

    @rule(passed=st.sampled_from([0.05, 0.5, SETTLE, 7.0, PERIOD]))
    def wait(self, passed: float) -> None:
        """A call that is adrift lands in time or never: that is what SETTLE stands for."""
        for until, call in [one for one in self.adrift if one[0] <= self.now + passed]:
            self.adrift.remove((until, call))
        self.now += passed

    @rule(number=st.integers(0, 2))
    def call(self, number: int) -> None:
        ledger = self.ledgers[number]
        for call in ledger.due_calls(self.now, 9, 0.5):
            assert not [one for one in self.out if one[2] is ledger and one[1].name == call.name]
            if call.ring_index != number:
                assert call.amount == 0  # nobody else's register is ever written
            self.out.append((number, call, ledger))

    @precondition(lambda self: self.out)
    @rule(
        which=st.integers(0, 99), end=st.sampled_from(["told", "no total", "refused", "lost", "lost after"])
    )
    def end(self, which: int, end: str) -> None:
        number, call, ledger = self.out.pop(which % len(self.out))
        if end == "refused":
            told = ledger.ended(call, End.NOT_ADDED, None, self.now)
        elif end in ("told", "no total"):
            total = self.land(call)
            told = ledger.ended(call, End.ADDED, total if end == "told" else None, self.now)
        else:
            if end == "lost after":
                self.land(call)
            else:
                self.adrift.append((self.now + SETTLE, call))
            told = ledger.ended(call, End.UNCERTAIN, None, self.now)
        if told is not None:
            self.check(number, told, ledger)

    def check(self, number: int, told: RegisterReading, ledger: Ledger) -> None:
        # never more than the writer ever counted, whatever was lost, repeated or emptied
        assert told.count <= self.greatest[told.ring_index]
        # what was added to an emptied register is a part of a number, until the next call puts it right
        assert told.level == round(0.5 * LEVELS) / LEVELS or self.spoilt
        if told.ring_index == number:
            # an earlier life's count: this life's use goes on top, as the module does it
            self.counts[number] += told.count
            self.greatest[number] = max(self.greatest[number], self.counts[number])
            ledger.record_use(KEY, 3, number, self.counts[number], 0.5, 0.9, self.now)

    @precondition(lambda self: self.adrift)
    @rule(which=st.integers(0, 99))
    def lands(self, which: int) -> None:
        _, call = self.adrift.pop(which % len(self.adrift))
        self.land(call)

    @precondition(lambda self: not self.adrift)
    @rule()
    def emptied(self) -> None:
        self.numbers.clear()
        self.spoilt = True

    @precondition(lambda self: not self.adrift and not self.out)
    @rule(number=st.integers(0, 2))
    def restart(self, number: int) -> None:
        self.ledgers[number], self.counts[number] = Ledger(), 0
        self.use(number, 1)

    @precondition(lambda self: not self.out and not self.adrift)
    @rule()
    def calm(self) -> None:
        """Once calls are answered again, each register holds its writer's number."""
        self.now += SETTLE + YOUNG
        for _ in range(6):
            self.now += 0.01
            for number in range(3):
                self.call(number)
                while self.out:
                    self.end(0, "told")
        for number in range(3):
            period = self.ledgers[number].tenants[KEY].own.period
            name = Call(KEY, number, period, 0).name
            assert self.numbers[name][0] == encode(self.counts[number], 0.5)
        self.spoilt = False

    @invariant()
    def bounds_hold(self) -> None:
        for number, ledger in enumerate(self.ledgers):
            own = ledger.tenants[KEY].own
            held, until = self.numbers.get(Call(KEY, number, own.period, 0).name, (0, 0.0))
            if until > self.now and not own.calling and own.held is not None and ledger.emptied == 0:
                least, most = ledger.uncertain(KEY)
                assert least <= held <= most or self.adrift or held == 0


TestLedger = LedgerModel.TestCase
TestLedger.settings = settings(derandomize=True, max_examples=200, stateful_step_count=40, deadline=None)


def test_an_uncertain_write_is_read_before_it_is_written_again() -> None:
    ledger = Ledger()
    ledger.record_use(KEY, 1, 0, 5, 0.0, 0.9, 100.0)
    (read,) = ledger.due_calls(100.0, 9, 0.5)
    assert (read.amount, read.name) == (0, "q5.0102030405.0")
    assert ledger.due_calls(100.0, 9, 0.5) == []
    ledger.ended(read, End.ADDED, 0.0, 100.0)
    (write,) = ledger.due_calls(100.0, 9, 0.5)
    assert write.amount == encode(5, 0.0) == 500
    ledger.ended(write, End.UNCERTAIN, None, 100.1)
    assert ledger.uncertain(KEY) == (0, 500)
    assert ledger.due_calls(100.1 + SETTLE / 2, 9, 0.5) == []
    (again,) = ledger.due_calls(100.1 + SETTLE, 9, 0.5)
    assert again.amount == 0
    ledger.ended(again, End.ADDED, 500.0, 102.0)
    assert ledger.due_calls(102.5, 9, 0.5) == []
    assert ledger.due_calls(103.0, 9, 0.5)[0].amount == 0  # it is looked at once in a while
    assert ledger.uncertain(KEY) == (500, 500)


def test_what_landed_too_late_is_taken_off_and_what_was_emptied_is_put_there_again() -> None:
    ledger = Ledger()
    ledger.record_use(KEY, 1, 0, 5, 0.0, 0.9, 100.0)
    ledger.ended(ledger.due_calls(100.0, 9, 0.5)[0], End.ADDED, 0.0, 100.0)
    ledger.ended(ledger.due_calls(100.0, 9, 0.5)[0], End.ADDED, 700.0, 100.0)
    assert ledger.excess == 1
    (less,) = ledger.due_calls(100.0, 9, 0.5)
    assert less.amount == -200
    ledger.ended(less, End.ADDED, 500.0, 100.0)
    ledger.record_use(KEY, 1, 0, 6, 0.0, 0.9, 100.0)
    (more,) = ledger.due_calls(100.0, 9, 0.5)
    ledger.ended(more, End.ADDED, 100.0, 100.0)  # the 500 are gone
    assert ledger.emptied == 1
    (refill,) = ledger.due_calls(100.0, 9, 0.5)
    assert refill.amount == 500


def test_a_restarted_ingress_finds_what_its_earlier_life_had_counted() -> None:
    before, after = Ledger(), Ledger()
    before.record_use(KEY, 2, 1, 40, 0.5, 0.9, 100.0)
    after.record_use(KEY, 2, 1, 1, 0.0, 0.9, 101.0)
    read = after.due_calls(101.0, 1, 0.5)[0]
    assert (read.ring_index, read.amount) == (1, 0)
    assert after.ended(read, End.ADDED, encode(40, 0.5), 101.0) == RegisterReading(
        KEY, 1, 40, round(0.5 * LEVELS) / LEVELS
    )
    after.record_use(KEY, 2, 1, 41, 0.5, 0.9, 101.1)
    (write,) = [call for call in after.due_calls(101.1, 9, 0.5) if call.ring_index == 1]
    assert write.amount == encode(41, 0.5) - encode(40, 0.5)
    assert after.ended(write, End.ADDED, encode(41, 0.5), 101.2) is None  # its own, from now on


def test_the_fullest_come_first_within_the_budget_and_calm_ones_are_not_asked_for() -> None:
    ledger = Ledger()
    for number in range(10):
        ledger.record_use(b"%05d" % number, 3, 1, 4, 0.1, number / 10, 100.0)
    calls = ledger.due_calls(100.0, 7, 0.5)
    assert [call.key for call in calls] == [b"00009"] * 3 + [b"00008"] * 3 + [b"00007"]
    assert [call.ring_index for call in calls[:3]] == [1, 0, 2]
    assert {call.key for call in ledger.due_calls(100.0, 100, 0.5)} == {b"00007", b"00006", b"00005"}


def test_a_young_period_is_read_under_the_name_before_and_written_under_its_own() -> None:
    ledger = Ledger()
    ledger.record_use(KEY, 2, 0, 5, 0.0, 0.9, 6 * PERIOD + YOUNG / 2)
    own, other = ledger.due_calls(6 * PERIOD + YOUNG / 2, 9, 0.5)
    assert (own.period, other.period) == (6, 5)
    ledger.ended(own, End.ADDED, 0.0, 123.0)
    ledger.ended(other, End.ADDED, 0.0, 123.0)
    assert [call.period for call in ledger.due_calls(6 * PERIOD + YOUNG, 9, 0.5)] == [6, 6]
    assert LIFE > PERIOD + YOUNG + SETTLE


@given(st.integers(0, 10**6), st.floats(0, 2))
def test_a_number_carries_count_and_level_in_seven_digits(count: int, level: float) -> None:
    number = encode(count, level)
    assert float(f"{number:.7g}") == number
    told = decode(KEY, 1, float(number))
    if number:
        assert told is not None
        assert told.count == count % COUNTS
        assert abs(told.level - min(1.0, level)) <= 0.5 / LEVELS + 1e-9


@given(st.floats(allow_nan=False, allow_infinity=False))
def test_a_total_that_no_register_holds_tells_nothing(total: float) -> None:
    told = decode(KEY, 0, total)
    assert (told is None) == (not 0 < round(total) < COUNTS * (LEVELS + 1))


def test_customers_without_news_are_dropped() -> None:
    ledger = Ledger()
    for number in range(1000):
        ledger.record_use(b"%05d" % number, 2, 0, 1, 0.0, 0.9, 100.0 + number / 100)
    ledger.forget(105.0 + FORGET)
    assert len(ledger.tenants) == 500
    ledger.forget(1000.0)
    assert not ledger.tenants


def test_under_a_short_budget_all_have_their_turn_the_fullest_more_often() -> None:
    ledger, turns = Ledger(), Counter[bytes]()
    for n in range(10):
        ledger.record_use(b"%d" % n, 3, 0, 4, 0.5, 0.1 * (n + 1), 0.0)
    for step in range(200):
        for call in ledger.due_calls(0.1 * step, 3, 0.0):
            turns[call.key] += 1
            ledger.ended(call, End.ADDED, float(call.amount), 0.1 * step + 0.01)
    assert len(turns) == 10
    assert turns[b"9"] > 2 * turns[b"0"]
