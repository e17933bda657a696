"""The state store: damage at any byte, disk errors, wrong clocks, and the assumed use of quota windows."""

from __future__ import annotations

import errno
import os
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standflow.net.loop import Loop
from standflow.recovery.records import Record, encode, header_line, identity, read
from standflow.recovery.store import RECORDS_FILE, Store
from standflow.recovery.trust import (
    EVACUATION,
    HEARTBEAT,
    LEARNED,
    MEMBER,
    NEXT_HOP,
    OPERATOR_OVERRIDE,
    USAGE,
    BootClock,
    Plan,
    select_trusted,
)
from standflow.recovery.writer import StateStoreWriter, WriterCallbacks
from tests.wire import LIMIT

OURS = identity("n1", 1, "lab")
PLANS = {"plain": Plan(12.0, 4.0)}
NAMES = st.text(max_size=6)
VALUES = st.one_of(
    st.none(), st.lists(st.one_of(st.integers(), st.text(max_size=5), st.floats(0, 1e6)), max_size=4)
)
RECORDS = st.lists(
    st.builds(
        Record,
        st.sampled_from([OPERATOR_OVERRIDE, NEXT_HOP, USAGE]),
        NAMES,
        VALUES,
        st.just("b"),
        st.just(1.5),
    ),
    max_size=12,
)


def until(met: Callable[[], bool]) -> None:
    end = time.monotonic() + LIMIT
    while not met():
        assert time.monotonic() < end
        time.sleep(0.005)


def kept(folder: Path) -> dict[tuple[str, str], Any]:
    contents = read((folder / RECORDS_FILE).read_bytes(), OURS)
    return {key: record.value for key, record in contents.records.items()}


@given(RECORDS, st.data())
def test_truncation_or_a_flipped_bit_leaves_each_record_intact_or_absent(
    records: list[Record], data: st.DataObject
) -> None:
    lines = [encode(record, OURS) for record in records]
    whole = header_line(OURS) + b"".join(lines)
    at = data.draw(st.integers(0, len(whole)))
    begins = len(header_line(OURS))
    complete = 0
    for line in lines:
        begins += len(line)
        complete += begins <= at
    expected: dict[tuple[str, str], Any] = {}
    for record in records[:complete]:
        expected.pop(record.key, None)
        if record.value is not None:
            expected[record.key] = record
    assert read(whole[:at], OURS).records == expected

    if lines:
        flipped = bytearray(whole)
        bit = data.draw(st.integers(8 * len(header_line(OURS)), 8 * len(whole) - 1))
        flipped[bit // 8] ^= 1 << bit % 8
        found = read(bytes(flipped), OURS)
        written = [(r.key, r.value) for r in records]
        assert all((key, record.value) in written for key, record in found.records.items())
        assert found.corrupt_lines >= 1


def test_a_checksum_with_upper_case_digits_is_corrupt() -> None:
    """One flipped bit makes a hex digit upper case; the test above meets it once in some hundred runs."""
    line = next(
        line
        for line in (encode(Record("word", str(n), [n], "b", 1.5), OURS) for n in range(99))
        if line[:8] != line[:8].upper()
    )
    assert read(header_line(OURS) + line, OURS).corrupt_lines == 0
    assert read(header_line(OURS) + line[:8].upper() + line[8:], OURS).corrupt_lines == 1


def test_the_store_of_another_ingress_is_recognised_and_not_used(tmp_path: Path) -> None:
    record = Record(OPERATOR_OVERRIDE, "s-1", [True, 5.0, 5.0], "b", 1.0)
    for other in (identity("n2", 1, "lab"), identity("n1", 2, "lab"), identity("n1", 1, "other")):
        (tmp_path / RECORDS_FILE).write_bytes(header_line(other) + encode(record, other))
        store = Store(tmp_path, OURS, 1 << 20)
        assert store.lock()
        contents = store.load()
        assert (contents.records, contents.foreign_identity) == ({}, other)
        store.put([Record(OPERATOR_OVERRIDE, "s-2", [True, 6.0, 6.0], "b", 2.0)])
        store.close()
        assert kept(tmp_path) == {(OPERATOR_OVERRIDE, "s-2"): [True, 6.0, 6.0]}
        assert (tmp_path / "records.aside").exists()


class StoreModel:
    """Compares a store with a plain dictionary across restarts of the process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.expected: dict[tuple[str, str], Any] = {}
        self.open()

    def open(self) -> None:
        self.store = Store(self.folder, OURS, 1 << 20)
        assert self.store.lock()
        found = {key: record.value for key, record in self.store.load().records.items()}
        assert found == self.expected

    def put(self, number: int, size: int) -> None:
        value = None if size == 0 else ["x" * size]
        self.store.put([Record(USAGE, str(number), value, "b", 1.0)])
        self.expected.pop((USAGE, str(number)), None)
        if value is not None:
            self.expected[USAGE, str(number)] = value

    def again(self, torn: bytes) -> None:
        """Closes and reopens the store, with a truncated write at the end of the file."""
        self.store.close()
        if torn and (self.folder / RECORDS_FILE).exists():
            with (self.folder / RECORDS_FILE).open("ab") as file:
                file.write(torn)
            (self.folder / (RECORDS_FILE + ".part")).write_bytes(torn)
        self.open()


@settings(max_examples=20, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.tuples(st.integers(0, 5), st.sampled_from([0, 10, 30_000])),
            st.binary(max_size=40).filter(lambda b: b"\n" not in b),
        ),
        max_size=25,
    )
)
def test_a_store_behaves_as_a_dictionary_across_restarts(
    tmp_path_factory: pytest.TempPathFactory, steps: list[Any]
) -> None:
    model = StoreModel(tmp_path_factory.mktemp("store"))
    for step in steps:
        model.again(step) if isinstance(step, bytes) else model.put(*step)
    model.again(b"")
    model.store.close()


def test_the_file_stays_small_and_the_oldest_usage_records_are_evicted(tmp_path: Path) -> None:
    store = Store(tmp_path, OURS, 100_000)
    assert store.lock()
    store.put([Record(OPERATOR_OVERRIDE, "s-1", [True, 1.0, 1.0], "b", 1.0)])
    for round_ in range(40):
        store.put([Record(USAGE, f"{round_}-{n}", ["x" * 500], "b", 1.0) for n in range(50)])
        until(lambda: not store._pending)
    store.close()
    assert (tmp_path / RECORDS_FILE).stat().st_size < 100_000 + 256 * 1024 + 50_000
    left = kept(tmp_path)
    assert (OPERATOR_OVERRIDE, "s-1") in left
    assert (USAGE, "39-49") in left
    assert (USAGE, "0-0") not in left


def test_a_slow_disk_blocks_no_caller_and_a_full_one_is_logged_once(tmp_path: Path) -> None:
    full, released = threading.Event(), threading.Event()

    def sync(fd: int) -> None:
        if full.is_set():
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        released.wait(LIMIT)

    store = Store(tmp_path, OURS, 1 << 20, sync)
    assert store.lock()
    began = time.monotonic()
    for n in range(1000):
        store.put([Record(USAGE, str(n % 10), [n], "b", 1.0)])
    assert time.monotonic() - began < 1.0  # while the first sync still blocks
    assert len(store._pending) <= 10
    full.set()
    released.set()
    until(lambda: bool(store.log_lines))
    assert list(store.log_lines) == ["store: records: No space left on device; the ingress goes on without"]
    full.clear()
    store.put([Record(USAGE, "last", [1], "b", 1.0)])
    until(lambda: "store: written again" in store.log_lines)
    store.close()
    assert len(store.log_lines) == 2
    assert kept(tmp_path)[USAGE, "9"] == [999]


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_records_of_a_failed_sync_are_written_again_without_further_records(
    code: int, tmp_path: Path
) -> None:
    """The thread used to wait for the next record, so that a power loss dropped records already accepted."""
    failing, synced = threading.Event(), list[int]()

    def sync(fd: int) -> None:
        if failing.is_set():
            raise OSError(code, os.strerror(code))
        synced.append(fd)

    store = Store(tmp_path, OURS, 1 << 20, sync)
    assert store.lock()
    store.put([Record(OPERATOR_OVERRIDE, "s-1", [1], "b", 1.0)])
    until(lambda: bool(synced))
    failing.set()
    store.put([Record(OPERATOR_OVERRIDE, "s-2", [2], "b", 1.0)])
    until(lambda: bool(store.log_lines))
    failing.clear()
    before = len(synced)
    until(lambda: len(synced) > before)
    until(lambda: "store: written again" in store.log_lines)
    assert kept(tmp_path) == {(OPERATOR_OVERRIDE, "s-1"): [1], (OPERATOR_OVERRIDE, "s-2"): [2]}
    store.close()


def test_a_sync_that_fails_while_the_store_closes_is_retried_until_the_deadline(tmp_path: Path) -> None:
    faults = [errno.EIO] * 4

    def sync(fd: int) -> None:
        if faults:
            raise OSError(faults.pop(), "fault")

    store = Store(tmp_path, OURS, 1 << 20, sync)
    assert store.lock()
    store.put([Record(OPERATOR_OVERRIDE, "s-1", [1], "b", 1.0)])
    store.close(LIMIT)
    assert faults == []
    assert kept(tmp_path) == {(OPERATOR_OVERRIDE, "s-1"): [1]}


def test_only_one_of_two_processes_writes_and_an_unusable_folder_is_logged(tmp_path: Path) -> None:
    one, two = Store(tmp_path / "a", OURS, 1 << 20), Store(tmp_path / "a", OURS, 1 << 20)
    assert one.lock()
    assert not two.lock()
    two.put([Record(USAGE, "two", [1], "b", 1.0)])
    one.put([Record(USAGE, "one", [1], "b", 1.0)])
    one.close()
    two.close()
    assert kept(tmp_path / "a") == {(USAGE, "one"): [1]}
    assert two.lock()  # after the other has closed
    two.close()
    (tmp_path / "file").write_text("")
    none = Store(tmp_path / "file" / "b", OURS, 1 << 20)
    assert not none.lock()
    assert not none.load().records
    assert none.log_lines
    assert "goes on without" in none.log_lines[0]


def use(name: str, own: float, others: float, up: float, boot: str = "b") -> Record:
    return Record(USAGE, name, ["plain", 0, 3, own, others], boot, up)


@given(
    at_write=st.floats(0, 12),
    more=st.floats(0, 12),
    passed=st.floats(0, 5),
    uptime=st.one_of(st.none(), st.floats(0, 5)),
)
def test_a_window_is_never_assumed_emptier_than_it_can_be(
    at_write: float, more: float, passed: float, uptime: float | None
) -> None:
    """Whatever was used after the last write and however long the loss lasted; no wall clock is used."""
    records = [use("a", at_write, 0.0, 100.0), Record(HEARTBEAT, "", 1, "b", 100.0)]
    clock = BootClock("b", 100.0 + passed) if uptime is None else BootClock("c", min(uptime, passed))
    truth = max(0.0, min(12.0, at_write + more) - 4.0 * passed)
    found = select_trusted(records, clock, PLANS)
    level = sum(window.own + window.others for window in found.windows)
    assert truth - 1e-6 <= level <= 12.0
    assert found.drained_in <= 3.0 + 1e-6  # burst / rate: it has drained by then at the latest


def test_trusted_records_by_kind_age_and_boot() -> None:
    hint = {"base": {}, "limit": 8.0, "took": 1.0, "stretch": {}}
    records = [
        Record(OPERATOR_OVERRIDE, "s-1", [True, 9e9, 9e9], "b", 10.0),
        Record(EVACUATION, "", [True, 9e9], "b", 10.0),
        Record(NEXT_HOP, "s-2", {"id": "s-2"}, "b", 10.0),
        Record(LEARNED, "", hint, "b", 10.0),
        use("busy", 2.0, 1.0, 99.5),
        use("idle", 0.0, 0.0, 10.0),
        Record(USAGE, "odd", ["plain", 0], "b", 99.0),
        Record(USAGE, "gone", ["no-such-plan", 0, 3, 1.0, 1.0], "b", 99.0),
        Record(HEARTBEAT, "", 1, "b", 100.0),
    ]
    now = select_trusted(records, BootClock("b", 100.0), PLANS)
    assert now.operator_overrides == {"s-1": [True, 9e9, 9e9]}
    assert now.evacuation == (True, 9e9)
    assert now.next_hops == [{"id": "s-2"}]
    assert now.learned_estimates is None
    assert [(w.key, w.own + w.others) for w in now.windows] == [("busy", 12.0)]
    assert (now.drained, now.skipped) == (2, 1)
    soon = select_trusted(records[:4], BootClock("b", 12.0), PLANS)
    assert soon.learned_estimates == hint
    later = select_trusted(records, BootClock("c", 60.0), PLANS)
    assert not later.windows
    assert later.learned_estimates is None
    assert later.operator_overrides
    assert later.next_hops
    # the clock of a boot never goes back, so no time is taken to have passed
    early = select_trusted(records, BootClock("b", 50.0), PLANS)
    assert [w.own + w.others for w in early.windows] == [12.0]


def fail(*arguments: object) -> Any:
    """Takes the place of a callback that has a fault."""
    raise ZeroDivisionError


@pytest.mark.parametrize("callback", ["used_windows", "operator_overrides", "learned_estimates", "routes"])
def test_fault_in_one_kind_of_record_keeps_no_other_from_the_disk(callback: str, tmp_path: Path) -> None:
    """Guards against an exit that saves nothing, as collecting one kind of records failed."""
    log: list[str] = []
    loop = Loop(log.append)
    callbacks = WriterCallbacks(
        used_windows=lambda since: [["aa", "plain", 0, 1, 2.0, 0.0]],
        refill_windows=fail,
        learned_estimates=lambda: {"look": 1.0},
        restore_learned_estimates=fail,
        routes=lambda: [{"id": "s-1"}],
        operator_overrides=lambda: {"s-2": [True, 1.0, 1.0]},
        evacuation=lambda: (False, 0.0),
        members=lambda: {"3": [7, "", 0]},
    )
    kinds = {"used_windows": USAGE, "operator_overrides": OPERATOR_OVERRIDE}
    kinds |= {"learned_estimates": LEARNED, "routes": NEXT_HOP}
    setattr(callbacks, callback, fail)
    store = Store(tmp_path, OURS, 1 << 20)
    writer = StateStoreWriter(loop, log.append, store, 1.0, callbacks)
    assert store.lock()
    writer.close(LIMIT)
    written = {kind for kind, _ in kept(tmp_path)}
    assert written == {USAGE, OPERATOR_OVERRIDE, LEARNED, NEXT_HOP, MEMBER} - {kinds[callback]}
    assert store.lock_fd < 0
    assert sum("ZeroDivisionError" in line for line in log) == 1
    loop.epoll.close()


def test_record_that_can_not_be_written_ends_neither_the_thread_nor_other_records(tmp_path: Path) -> None:
    """Guards against a store that keeps nothing any more after a single bad record."""
    store = Store(tmp_path, OURS, 1 << 20)
    assert store.lock()
    store.put([Record(NEXT_HOP, "bad", [object()], "b", 1.0), Record(NEXT_HOP, "good", [1], "b", 1.0)])
    until(lambda: bool(store.syncs))
    store.put([Record(NEXT_HOP, "later", [2], "b", 1.0)])
    store.close(LIMIT)
    assert kept(tmp_path) == {(NEXT_HOP, "good"): [1], (NEXT_HOP, "later"): [2]}
    assert len(store.log_lines) == 1


def test_fault_of_the_thread_is_retried_as_a_failed_write(tmp_path: Path) -> None:
    """Guards against a store whose thread has ended, which is found out at the next power loss."""
    faults = [ZeroDivisionError()]

    def sync(fd: int) -> None:
        if faults:
            raise faults.pop()

    store = Store(tmp_path, OURS, 1 << 20, sync)
    assert store.lock()
    store.put([Record(NEXT_HOP, "s-1", [1], "b", 1.0)])
    until(lambda: bool(store.log_lines))
    store.close(LIMIT)
    assert kept(tmp_path) == {(NEXT_HOP, "s-1"): [1]}
    assert "ZeroDivisionError()" in store.log_lines[0]
