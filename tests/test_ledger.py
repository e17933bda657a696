"""The ledger's registers, compared with a simulated counter for calls that end in every possible way."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from standflow.counter.ledger import (
    COUNT_MODULUS,
    LEVEL_STEPS,
    PERIOD_GRACE_SECONDS,
    PERIOD_SECONDS,
    SETTLE_SECONDS,
    TENANT_EXPIRY_SECONDS,
    TTL_SECONDS,
    CallOutcome,
    Ledger,
    RegisterCall,
    RegisterReading,
    decode_register,
    encode_register,
)

KEY = b"\1\2\3\4\5"


class LedgerModel(RuleBasedStateMachine):
    """Three ingresses write and read their registers of one tenant.

    Calls are answered, lost, or take effect late. The counter may be emptied and an ingress restarted at any
    time.
    """

    @initialize()
    def start(self) -> None:
        self.now = 1000.0
        self.numbers: dict[str, tuple[int, float]] = {}  # by name: total and expiry
        self.ledgers = [Ledger() for _ in range(3)]
        self.counts = [0, 0, 0]
        self.open_calls: list[tuple[int, RegisterCall, Ledger]] = []
        self.delayed: list[tuple[float, RegisterCall]] = []  # timed out, but may take effect until a time
        self.seen: dict[tuple[int, int], int] = {}  # by reader and ring index: the highest count read
        self.highest_counts = [0, 0, 0]
        self.emptied_once = False
        for number in range(3):
            self.use(number, 1)

    def apply(self, call: RegisterCall) -> int:
        total, expiry = self.numbers.get(call.name, (0, 0.0))
        if expiry <= self.now:
            total, expiry = 0, self.now + TTL_SECONDS
        self.numbers[call.name] = (total + call.amount, expiry)
        return total + call.amount

    @rule(number=st.integers(0, 2), units=st.integers(1, 5))
    def use(self, number: int, units: int) -> None:
        self.counts[number] += units
        self.highest_counts[number] = max(self.highest_counts[number], self.counts[number])
        self.ledgers[number].record_use(KEY, 3, number, self.counts[number], 0.5, 0.9, self.now)

    @rule(seconds=st.sampled_from([0.05, 0.5, SETTLE_SECONDS, 7.0, PERIOD_SECONDS]))
    def wait(self, seconds: float) -> None:
        """A delayed call takes effect within SETTLE_SECONDS or never."""
        for until, call in [one for one in self.delayed if one[0] <= self.now + seconds]:
            self.delayed.remove((until, call))
        self.now += seconds

    @rule(number=st.integers(0, 2))
    def call(self, number: int) -> None:
        ledger = self.ledgers[number]
        for call in ledger.due_calls(self.now, 9, 0.5):
            assert not [one for one in self.open_calls if one[2] is ledger and one[1].name == call.name]
            if call.ring_index != number:
                assert call.amount == 0  # the registers of other ingresses are never written
            self.open_calls.append((number, call, ledger))

    @precondition(lambda self: self.open_calls)
    @rule(
        which=st.integers(0, 99),
        end=st.sampled_from(["answered", "no total", "rejected", "request lost", "answer lost"]),
    )
    def end(self, which: int, end: str) -> None:
        number, call, ledger = self.open_calls.pop(which % len(self.open_calls))
        if end == "rejected":
            reading = ledger.record_outcome(call, CallOutcome.NOT_ADDED, None, self.now)
        elif end in ("answered", "no total"):
            total = self.apply(call)
            reading = ledger.record_outcome(
                call, CallOutcome.ADDED, total if end == "answered" else None, self.now
            )
        else:
            if end == "answer lost":
                self.apply(call)
            else:
                self.delayed.append((self.now + SETTLE_SECONDS, call))
            reading = ledger.record_outcome(call, CallOutcome.UNCERTAIN, None, self.now)
        if reading is not None:
            self.check(number, reading, ledger)

    def check(self, number: int, reading: RegisterReading, ledger: Ledger) -> None:
        # Whatever was lost, repeated or emptied, a reading never exceeds what its writer has counted.
        assert reading.count <= self.highest_counts[reading.ring_index]
        # An emptied register may hold only a later increment of a number, until the next call corrects it.
        assert reading.level == round(0.5 * LEVEL_STEPS) / LEVEL_STEPS or self.emptied_once
        if reading.ring_index == number:
            # The count of a previous run; the use of this run is added to it, as the module does.
            self.counts[number] += reading.count
            self.highest_counts[number] = max(self.highest_counts[number], self.counts[number])
            ledger.record_use(KEY, 3, number, self.counts[number], 0.5, 0.9, self.now)

    @precondition(lambda self: self.delayed)
    @rule(which=st.integers(0, 99))
    def apply_delayed(self, which: int) -> None:
        _, call = self.delayed.pop(which % len(self.delayed))
        self.apply(call)

    @precondition(lambda self: not self.delayed)
    @rule()
    def emptied(self) -> None:
        self.numbers.clear()
        self.emptied_once = True

    @precondition(lambda self: not self.delayed and not self.open_calls)
    @rule(number=st.integers(0, 2))
    def restart(self, number: int) -> None:
        self.ledgers[number], self.counts[number] = Ledger(), 0
        self.use(number, 1)

    @precondition(lambda self: not self.open_calls and not self.delayed)
    @rule()
    def recover(self) -> None:
        """Once calls are answered again, each register holds its writer's number."""
        self.now += SETTLE_SECONDS + PERIOD_GRACE_SECONDS
        for _ in range(6):
            self.now += 0.01
            for number in range(3):
                self.call(number)
                while self.open_calls:
                    self.end(0, "answered")
        for number in range(3):
            period = self.ledgers[number].tenants[KEY].own.period
            name = RegisterCall(KEY, number, period, 0).name
            assert self.numbers[name][0] == encode_register(self.counts[number], 0.5)
        self.emptied_once = False

    @invariant()
    def bounds_hold(self) -> None:
        for number, ledger in enumerate(self.ledgers):
            own = ledger.tenants[KEY].own
            held, expiry = self.numbers.get(RegisterCall(KEY, number, own.period, 0).name, (0, 0.0))
            if (
                expiry > self.now
                and not own.in_flight
                and own.confirmed is not None
                and ledger.shortfalls == 0
            ):
                least, most = ledger.held_bounds(KEY)
                assert least <= held <= most or self.delayed or held == 0


TestLedger = LedgerModel.TestCase
TestLedger.settings = settings(derandomize=True, max_examples=200, stateful_step_count=40, deadline=None)


def test_after_an_uncertain_write_the_register_is_read_before_the_next_write() -> None:
    ledger = Ledger()
    ledger.record_use(KEY, 1, 0, 5, 0.0, 0.9, 100.0)
    (read,) = ledger.due_calls(100.0, 9, 0.5)
    assert (read.amount, read.name) == (0, "q5.0102030405.0")
    assert ledger.due_calls(100.0, 9, 0.5) == []
    ledger.record_outcome(read, CallOutcome.ADDED, 0.0, 100.0)
    (write,) = ledger.due_calls(100.0, 9, 0.5)
    assert write.amount == encode_register(5, 0.0) == 500
    ledger.record_outcome(write, CallOutcome.UNCERTAIN, None, 100.1)
    assert ledger.held_bounds(KEY) == (0, 500)
    assert ledger.due_calls(100.1 + SETTLE_SECONDS / 2, 9, 0.5) == []
    (again,) = ledger.due_calls(100.1 + SETTLE_SECONDS, 9, 0.5)
    assert again.amount == 0
    ledger.record_outcome(again, CallOutcome.ADDED, 500.0, 102.0)
    assert ledger.due_calls(102.5, 9, 0.5) == []
    assert ledger.due_calls(103.0, 9, 0.5)[0].amount == 0  # verified periodically
    assert ledger.held_bounds(KEY) == (500, 500)


def test_a_late_addition_is_subtracted_and_an_emptied_register_is_refilled() -> None:
    ledger = Ledger()
    ledger.record_use(KEY, 1, 0, 5, 0.0, 0.9, 100.0)
    ledger.record_outcome(ledger.due_calls(100.0, 9, 0.5)[0], CallOutcome.ADDED, 0.0, 100.0)
    ledger.record_outcome(ledger.due_calls(100.0, 9, 0.5)[0], CallOutcome.ADDED, 700.0, 100.0)
    assert ledger.excesses == 1
    (less,) = ledger.due_calls(100.0, 9, 0.5)
    assert less.amount == -200
    ledger.record_outcome(less, CallOutcome.ADDED, 500.0, 100.0)
    ledger.record_use(KEY, 1, 0, 6, 0.0, 0.9, 100.0)
    (more,) = ledger.due_calls(100.0, 9, 0.5)
    ledger.record_outcome(more, CallOutcome.ADDED, 100.0, 100.0)  # the previous 500 are lost
    assert ledger.shortfalls == 1
    (refill,) = ledger.due_calls(100.0, 9, 0.5)
    assert refill.amount == 500


def test_a_restarted_ingress_reads_the_count_of_its_previous_run() -> None:
    before, after = Ledger(), Ledger()
    before.record_use(KEY, 2, 1, 40, 0.5, 0.9, 100.0)
    after.record_use(KEY, 2, 1, 1, 0.0, 0.9, 101.0)
    read = after.due_calls(101.0, 1, 0.5)[0]
    assert (read.ring_index, read.amount) == (1, 0)
    assert after.record_outcome(read, CallOutcome.ADDED, encode_register(40, 0.5), 101.0) == RegisterReading(
        KEY, 1, 40, round(0.5 * LEVEL_STEPS) / LEVEL_STEPS
    )
    after.record_use(KEY, 2, 1, 41, 0.5, 0.9, 101.1)
    (write,) = [call for call in after.due_calls(101.1, 9, 0.5) if call.ring_index == 1]
    assert write.amount == encode_register(41, 0.5) - encode_register(40, 0.5)
    assert (
        after.record_outcome(write, CallOutcome.ADDED, encode_register(41, 0.5), 101.2) is None
    )  # its own writes are not reported


def test_tenants_with_the_highest_utilization_come_first_and_those_with_little_use_not_at_all() -> None:
    ledger = Ledger()
    for number in range(10):
        ledger.record_use(b"%05d" % number, 3, 1, 4, 0.1, number / 10, 100.0)
    calls = ledger.due_calls(100.0, 7, 0.5)
    assert [call.key for call in calls] == [b"00009"] * 3 + [b"00008"] * 3 + [b"00007"]
    assert [call.ring_index for call in calls[:3]] == [1, 0, 2]
    assert {call.key for call in ledger.due_calls(100.0, 100, 0.5)} == {b"00007", b"00006", b"00005"}


def test_at_the_start_of_a_period_the_previous_name_is_read_and_the_new_one_written() -> None:
    ledger = Ledger()
    ledger.record_use(KEY, 2, 0, 5, 0.0, 0.9, 6 * PERIOD_SECONDS + PERIOD_GRACE_SECONDS / 2)
    own, other = ledger.due_calls(6 * PERIOD_SECONDS + PERIOD_GRACE_SECONDS / 2, 9, 0.5)
    assert (own.period, other.period) == (6, 5)
    ledger.record_outcome(own, CallOutcome.ADDED, 0.0, 123.0)
    ledger.record_outcome(other, CallOutcome.ADDED, 0.0, 123.0)
    assert [call.period for call in ledger.due_calls(6 * PERIOD_SECONDS + PERIOD_GRACE_SECONDS, 9, 0.5)] == [
        6,
        6,
    ]
    assert TTL_SECONDS > PERIOD_SECONDS + PERIOD_GRACE_SECONDS + SETTLE_SECONDS


@given(st.integers(0, 10**6), st.floats(0, 2))
def test_count_and_level_are_encoded_in_seven_digits(count: int, level: float) -> None:
    number = encode_register(count, level)
    assert float(f"{number:.7g}") == number
    reading = decode_register(KEY, 1, float(number))
    if number:
        assert reading is not None
        assert reading.count == count % COUNT_MODULUS
        assert abs(reading.level - min(1.0, level)) <= 0.5 / LEVEL_STEPS + 1e-9


@given(st.floats(allow_nan=False, allow_infinity=False))
def test_a_total_that_no_register_can_hold_is_not_decoded(total: float) -> None:
    reading = decode_register(KEY, 0, total)
    assert (reading is None) == (not 0 < round(total) < COUNT_MODULUS * (LEVEL_STEPS + 1))


def test_tenants_without_recent_updates_are_dropped() -> None:
    ledger = Ledger()
    for number in range(1000):
        ledger.record_use(b"%05d" % number, 2, 0, 1, 0.0, 0.9, 100.0 + number / 100)
    ledger.drop_expired(105.0 + TENANT_EXPIRY_SECONDS)
    assert len(ledger.tenants) == 500
    ledger.drop_expired(1000.0)
    assert not ledger.tenants


def test_with_few_calls_every_tenant_is_called_and_those_with_high_utilization_more_often() -> None:
    ledger, calls = Ledger(), Counter[bytes]()
    for n in range(10):
        ledger.record_use(b"%d" % n, 3, 0, 4, 0.5, 0.1 * (n + 1), 0.0)
    for step in range(200):
        for call in ledger.due_calls(0.1 * step, 3, 0.0):
            calls[call.key] += 1
            ledger.record_outcome(call, CallOutcome.ADDED, float(call.amount), 0.1 * step + 0.01)
    assert len(calls) == 10
    assert calls[b"9"] > 2 * calls[b"0"]
