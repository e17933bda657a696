"""Writes the state that must survive a power loss to the store, and loads it at the start."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standflow.isolation import run_for_each, run_isolated
from standflow.net.loop import Loop
from standflow.recovery.records import Record
from standflow.recovery.store import Store
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
    TrustedState,
    Window,
    select_trusted,
)

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
SLOW_WRITE_SECONDS = 2.0  # between writes of measurements, next hops and members
LOCK_RETRY_SECONDS = 0.5  # while another process of this ingress holds the lock


@dataclass(slots=True)
class WriterCallbacks:
    """The ingress functions that the writer calls."""

    used_windows: Callable[[float], list[list[Any]]]  # windows used since a time on the loop's clock
    refill_windows: Callable[[list[Window]], object]
    learned_estimates: Callable[[], dict[str, Any]]
    restore_learned_estimates: Callable[[dict[str, Any]], None]
    routes: Callable[[], list[dict[str, Any]]]
    # by next hop; None if the operators' API is off
    operator_overrides: Callable[[], dict[str, list[Any]] | None]
    evacuation: Callable[[], tuple[bool, float]]
    # by member id; None without a fleet or while the membership is not known
    members: Callable[[], dict[str, list[Any]] | None]


@dataclass(slots=True, frozen=True)
class StoreMetrics:
    """The metrics `recovery.*` that operators fetch."""

    stage: str  # waiting (for the store), holding (windows are assumed full) or normal
    trusted: int
    assumed: int  # windows assumed full
    spoilt: int  # corrupt lines
    written: int  # bytes
    syncs: int


def read_boot_clock() -> BootClock:
    """Reads this machine's boot id and uptime; without a boot id each process start counts as a boot."""
    try:
        boot_id = BOOT_ID_PATH.read_text().replace("-", "")[:12]
    except OSError:
        boot_id = f"start-{time.time_ns()}"
    return BootClock(boot_id, time.clock_gettime(time.CLOCK_BOOTTIME))


class StateStoreWriter:
    """Loads, writes and closes the store of one process."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        store: Store,
        interval: float,
        callbacks: WriterCallbacks,
    ) -> None:
        """`interval`: seconds between writes."""
        self.loop, self.log, self.store, self.interval, self.callbacks = loop, log, store, interval, callbacks
        self.boot_id = read_boot_clock().boot_id
        self.stored: dict[tuple[str, str], Any] = {}  # the store's current values, without usage
        self.stage = "waiting"
        self.trusted = self.assumed = self.spoilt = 0
        self.last_write = -1e9  # on the loop's clock; usage before it is stored
        self.next_slow_write = 0.0
        self.closed = False

    def load(self, plans: dict[str, Plan]) -> TrustedState:
        """Loads the state that this ingress starts from.

        While another process of the ingress holds the lock, usage and measurements are left out: that process
        has newer ones.
        """
        is_owner = self.store.lock()
        contents = self.store.load()
        state = select_trusted(contents.records.values(), read_boot_clock(), plans)
        self.spoilt = contents.corrupt_lines
        if contents.foreign_identity:
            self.log(f"store: this is the store of {contents.foreign_identity!r}: not used")
        if not is_owner:
            state.windows, state.learned_estimates, state.drained_in = [], None, 0.0
        for (kind, name), record in contents.records.items():
            if is_owner and kind not in (USAGE, HEARTBEAT):
                self.stored[kind, name] = record.value
        self.assumed = len(state.windows)
        self.trusted = len(state.operator_overrides) + len(state.next_hops) + (state.evacuation is not None)
        if contents.records or contents.corrupt_lines:
            self.log(
                f"store: {len(state.operator_overrides)} operator overrides, "
                f"{len(state.next_hops)} next hops, {len(state.windows)} windows assumed full "
                f"and {state.drained} drained, {contents.corrupt_lines} corrupt lines, "
                f"{state.skipped} records skipped"
            )
        return state

    def start(self, state: TrustedState) -> None:
        """Starts periodic writes."""
        self._set_stage("holding" if state.windows else "normal")
        if state.windows:
            self.loop.call_later(state.drained_in, self._set_stage, "normal")
        self._write_if_locked()
        self.loop.every(self._write_interval, self._write_if_locked)

    def metrics(self) -> StoreMetrics:
        """The current metrics."""
        store = self.store
        return StoreMetrics(self.stage, self.trusted, self.assumed, self.spoilt, store.written, store.syncs)

    def write_operator_records(self) -> None:
        """Writes operator overrides and evacuation at once."""
        if not self.closed and self.store.lock_fd >= 0:
            self.store.put(self._operator_records(read_boot_clock().uptime))

    def close(self, limit: float = 1.0) -> None:
        """Writes a last time and closes the store, within `limit` seconds."""
        if not self.closed:
            run_isolated(self.log, self._write)
            self.closed = True
            self.store.close(limit)
            self._flush_log()

    def _set_stage(self, name: str) -> None:
        if name != self.stage:
            self.log(f"store: stage {self.stage} -> {name}")
            self.stage = name

    def _write_if_locked(self) -> None:
        if self.closed:
            return
        if self.store.lock():
            self._write()
        self._flush_log()

    def _write_interval(self) -> float:
        """Seconds until the next write, or until the next attempt to take the lock."""
        return self.interval if self.store.lock_fd >= 0 else LOCK_RETRY_SECONDS

    def _flush_log(self) -> None:
        while self.store.log_lines:
            self.log(self.store.log_lines.popleft())

    def _write(self) -> None:
        if self.store.lock_fd < 0:
            return
        now, uptime = self.loop.now(), read_boot_clock().uptime
        kinds = [self._usage_records, self._operator_records]
        if now >= self.next_slow_write:
            self.next_slow_write = now + SLOW_WRITE_SECONDS
            kinds += [self._learned_records, self._next_hop_records, self._member_records]
        records: list[Record] = []
        # Each kind on its own: a fault in one of them must not keep the others from the disk.
        run_for_each(self.log, kinds, lambda records_of: records.extend(records_of(uptime)))
        self.store.put(records)

    def _usage_records(self, uptime: float) -> list[Record]:
        now = self.loop.now()
        rows = self.callbacks.used_windows(self.last_write)
        self.last_write = now
        usage = [Record(USAGE, row[0], row[1:], self.boot_id, uptime) for row in rows]
        return usage or [Record(HEARTBEAT, "", 1, self.boot_id, uptime)]

    def _learned_records(self, uptime: float) -> list[Record]:
        return [Record(LEARNED, "", self.callbacks.learned_estimates(), self.boot_id, uptime)]

    def _next_hop_records(self, uptime: float) -> list[Record]:
        next_hops = {str(route["id"]): route for route in self.callbacks.routes()}
        return self._changed_records(NEXT_HOP, next_hops, uptime)

    def _member_records(self, uptime: float) -> list[Record]:
        members = self.callbacks.members()
        return [] if members is None else self._changed_records(MEMBER, members, uptime)

    def _operator_records(self, uptime: float) -> list[Record]:
        evacuation = list(self.callbacks.evacuation())
        records = self._changed_records(EVACUATION, {"": evacuation} if evacuation[1] else {}, uptime)
        operator_overrides = self.callbacks.operator_overrides()
        return (
            records
            if operator_overrides is None
            else records + self._changed_records(OPERATOR_OVERRIDE, operator_overrides, uptime)
        )

    def _changed_records(self, kind: str, values: dict[str, Any], uptime: float) -> list[Record]:
        """Records for the values of a kind that changed or were removed since they were last stored."""
        removed = [name for of, name in self.stored if of == kind and name not in values]
        records = [Record(kind, name, None, self.boot_id, uptime) for name in removed]
        for name in removed:
            del self.stored[kind, name]
        for name, value in values.items():
            if self.stored.get((kind, name)) != value:
                self.stored[kind, name] = value
                records.append(Record(kind, name, value, self.boot_id, uptime))
        return records
