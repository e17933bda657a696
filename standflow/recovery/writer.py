"""Keeps what must last: hands what changed to the store now and then, and what holds to a start."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

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

BOOT = Path("/proc/sys/kernel/random/boot_id")
SLOWLY = 2.0  # seconds between writes of what is a hint, and of the route set
LOCKING = 0.5  # seconds between tries where another process of this ingress holds the store


@dataclass(slots=True)
class WriterCallbacks:
    """What the store asks of the ingress."""

    used_windows: Callable[[float], list[list[Any]]]  # windows used since then, of the loop's clock
    refill_windows: Callable[[list[Window]], None]
    learned: Callable[[], dict[str, Any]]
    restore_learned: Callable[[dict[str, Any]], None]
    routes: Callable[[], list[dict[str, Any]]]
    operator_overrides: Callable[
        [], dict[str, list[Any]] | None
    ]  # by next hop; None where operators have no calls
    evacuation: Callable[[], tuple[bool, float]]
    members: Callable[
        [], dict[str, list[Any]] | None
    ]  # the view's, by place; None where none is kept or told


@dataclass(slots=True, frozen=True)
class StoreMetrics:
    """What operators are shown."""

    stage: str  # waiting for the store, holding windows that may have been spent, or normal
    trusted: int
    assumed: int  # windows taken for full
    spoilt: int
    written: int  # bytes
    syncs: int


def clock() -> BootClock:
    """Of this machine; where it does not name its boot each start counts as one."""
    try:
        boot_id = BOOT.read_text().replace("-", "")[:12]
    except OSError:
        boot_id = f"start-{time.time_ns()}"
    return BootClock(boot_id, time.clock_gettime(time.CLOCK_BOOTTIME))


class StateStoreWriter:
    """One process's end of the store."""

    def __init__(
        self, loop: Loop, log: Callable[[str], None], store: Store, every: float, callbacks: WriterCallbacks
    ) -> None:
        """`every`: seconds between writes."""
        self.loop, self.log, self.store, self.every, self.callbacks = loop, log, store, every, callbacks
        self.boot_id = clock().boot_id
        self.kept: dict[tuple[str, str], Any] = {}  # as the store has it, but for use
        self.stage = "waiting"
        self.trusted = self.assumed = self.spoilt = 0
        self.looked = -1e9  # of the loop's clock: use before that is written
        self.slowly = 0.0
        self.closed = False

    def load(self, plans: dict[str, Plan]) -> TrustedState:
        """What this ingress starts from. Where another process of it lives, that one knows better."""
        alone = self.store.lock()
        contents = self.store.load()
        found = select_trusted(contents.records.values(), clock(), plans)
        self.spoilt = contents.corrupt_lines
        if contents.foreign_identity:
            self.log(f"store: this is the store of {contents.foreign_identity!r}: not used")
        if not alone:
            found.windows, found.learned, found.drained_in = [], None, 0.0
        for (kind, name), record in contents.records.items():
            if alone and kind not in (USAGE, HEARTBEAT):
                self.kept[kind, name] = record.value
        self.assumed = len(found.windows)
        self.trusted = len(found.operator_overrides) + len(found.next_hops) + (found.evacuation is not None)
        if contents.records or contents.corrupt_lines:
            self.log(
                f"store: {len(found.operator_overrides)} operator overrides, "
                f"{len(found.next_hops)} next hops, {len(found.windows)} windows assumed full "
                f"and {found.drained} drained, {contents.corrupt_lines} corrupt lines, "
                f"{found.skipped} records skipped"
            )
        return found

    def start(self, found: TrustedState) -> None:
        """From now on what changes is kept."""
        self._stage("holding" if found.windows else "normal")
        if found.windows:
            self.loop.call_later(found.drained_in, self._stage, "normal")
        self._look()
        self.loop.every(self._pace, self._look)

    def metrics(self) -> StoreMetrics:
        """Of now."""
        store = self.store
        return StoreMetrics(self.stage, self.trusted, self.assumed, self.spoilt, store.written, store.syncs)

    def write_operator_records(self) -> None:
        """What operators said is written at once."""
        if not self.closed and self.store.lock_fd >= 0:
            self.store.put(self._said(clock().uptime))

    def close(self) -> None:
        """The last write."""
        if not self.closed:
            self._write()
            self.closed = True
            self.store.close()
            self._tell()

    def _stage(self, name: str) -> None:
        if name != self.stage:
            self.log(f"store: stage {self.stage} -> {name}")
            self.stage = name

    def _look(self) -> None:
        if self.closed:
            return
        if self.store.lock():
            self._write()
        self._tell()

    def _pace(self) -> float:
        """Seconds to the next look."""
        return self.every if self.store.lock_fd >= 0 else LOCKING

    def _tell(self) -> None:
        while self.store.log_lines:
            self.log(self.store.log_lines.popleft())

    def _write(self) -> None:
        if self.store.lock_fd < 0:
            return
        now, uptime = self.loop.now(), clock().uptime
        records = [
            Record(USAGE, row[0], row[1:], self.boot_id, uptime)
            for row in self.callbacks.used_windows(self.looked)
        ] or [Record(HEARTBEAT, "", 1, self.boot_id, uptime)]
        self.looked = now
        records += self._said(uptime)
        if now >= self.slowly:
            self.slowly = now + SLOWLY
            records.append(Record(LEARNED, "", self.callbacks.learned(), self.boot_id, uptime))
            next_hops = {str(route["id"]): route for route in self.callbacks.routes()}
            records += self._changed(NEXT_HOP, next_hops, uptime)
            if (members := self.callbacks.members()) is not None:
                records += self._changed(MEMBER, members, uptime)
        self.store.put(records)

    def _said(self, uptime: float) -> list[Record]:
        evacuation = list(self.callbacks.evacuation())
        said = self._changed(EVACUATION, {"": evacuation} if evacuation[1] else {}, uptime)
        operator_overrides = self.callbacks.operator_overrides()
        return (
            said
            if operator_overrides is None
            else said + self._changed(OPERATOR_OVERRIDE, operator_overrides, uptime)
        )

    def _changed(self, kind: str, values: dict[str, Any], uptime: float) -> list[Record]:
        """Those of a kind that differ from what is kept, and those that are no more."""
        gone = [name for of, name in self.kept if of == kind and name not in values]
        records = [Record(kind, name, None, self.boot_id, uptime) for name in gone]
        for name in gone:
            del self.kept[kind, name]
        for name, value in values.items():
            if self.kept.get((kind, name)) != value:
                self.kept[kind, name] = value
                records.append(Record(kind, name, value, self.boot_id, uptime))
        return records
