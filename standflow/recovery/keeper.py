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
    BEAT,
    EMPTIED,
    HOP,
    LEARNT,
    MEMBER,
    USE,
    WORD,
    Clock,
    Plan,
    Trusted,
    Window,
    trust,
)

BOOT = Path("/proc/sys/kernel/random/boot_id")
SLOWLY = 2.0  # seconds between writes of what is a hint, and of the route set
LOCKING = 0.5  # seconds between tries where another process of this ingress holds the store


@dataclass(slots=True)
class Parts:
    """What the store asks of the ingress."""

    used: Callable[[float], list[list[Any]]]  # windows used since then, of the loop's clock
    refill: Callable[[list[Window]], None]
    learnt: Callable[[], dict[str, Any]]
    learn: Callable[[dict[str, Any]], None]
    routes: Callable[[], list[dict[str, Any]]]
    words: Callable[[], dict[str, list[Any]] | None]  # by next hop; None where operators have no calls
    emptied: Callable[[], tuple[bool, float]]
    members: Callable[
        [], dict[str, list[Any]] | None
    ]  # the view's, by place; None where none is kept or told


@dataclass(slots=True, frozen=True)
class Figures:
    """What operators are shown."""

    stage: str  # waiting for the store, holding windows that may have been spent, or normal
    trusted: int
    assumed: int  # windows taken for full
    spoilt: int
    written: int  # bytes
    syncs: int


def clock() -> Clock:
    """Of this machine; where it does not name its boot each start counts as one."""
    try:
        boot = BOOT.read_text().replace("-", "")[:12]
    except OSError:
        boot = f"start-{time.time_ns()}"
    return Clock(boot, time.clock_gettime(time.CLOCK_BOOTTIME))


class Keeper:
    """One process's end of the store."""

    def __init__(
        self, loop: Loop, log: Callable[[str], None], store: Store, every: float, parts: Parts
    ) -> None:
        """`every`: seconds between writes."""
        self.loop, self.log, self.store, self.every, self.parts = loop, log, store, every, parts
        self.boot = clock().boot
        self.kept: dict[tuple[str, str], Any] = {}  # as the store has it, but for use
        self.stage = "waiting"
        self.trusted = self.assumed = self.spoilt = 0
        self.looked = -1e9  # of the loop's clock: use before that is written
        self.slowly = 0.0
        self.closed = False

    def begin(self, plans: dict[str, Plan]) -> Trusted:
        """What this ingress starts from. Where another process of it lives, that one knows better."""
        alone = self.store.lock()
        contents = self.store.load()
        found = trust(contents.records.values(), clock(), plans)
        self.spoilt = contents.spoilt
        if contents.another:
            self.log(f"store: this is the store of {contents.another!r}: not used")
        if not alone:
            found.windows, found.learnt, found.open_in = [], None, 0.0
        for (kind, name), record in contents.records.items():
            if alone and kind not in (USE, BEAT):
                self.kept[kind, name] = record.value
        self.assumed = len(found.windows)
        self.trusted = len(found.words) + len(found.hops) + (found.emptied is not None)
        if contents.records or contents.spoilt:
            self.log(
                f"store: {len(found.words)} words of operators, {len(found.hops)} next hops, "
                f"{len(found.windows)} windows taken for full and {found.drained} drained, "
                f"{contents.spoilt} lines spoilt, {found.passed_over} passed over"
            )
        return found

    def start(self, found: Trusted) -> None:
        """From now on what changes is kept."""
        self._stage("holding" if found.windows else "normal")
        if found.windows:
            self.loop.call_later(found.open_in, self._stage, "normal")
        self._look()
        self.loop.every(self._pace, self._look)

    def figures(self) -> Figures:
        """Of now."""
        store = self.store
        return Figures(self.stage, self.trusted, self.assumed, self.spoilt, store.written, store.syncs)

    def note(self) -> None:
        """What operators said is written at once."""
        if not self.closed and self.store.held >= 0:
            self.store.put(self._said(clock().up))

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
        return self.every if self.store.held >= 0 else LOCKING

    def _tell(self) -> None:
        while self.store.notes:
            self.log(self.store.notes.popleft())

    def _write(self) -> None:
        if self.store.held < 0:
            return
        now, up = self.loop.now(), clock().up
        records = [Record(USE, row[0], row[1:], self.boot, up) for row in self.parts.used(self.looked)] or [
            Record(BEAT, "", 1, self.boot, up)
        ]
        self.looked = now
        records += self._said(up)
        if now >= self.slowly:
            self.slowly = now + SLOWLY
            records.append(Record(LEARNT, "", self.parts.learnt(), self.boot, up))
            hops = {str(route["id"]): route for route in self.parts.routes()}
            records += self._changed(HOP, hops, up)
            if (members := self.parts.members()) is not None:
                records += self._changed(MEMBER, members, up)
        self.store.put(records)

    def _said(self, up: float) -> list[Record]:
        emptied = list(self.parts.emptied())
        said = self._changed(EMPTIED, {"": emptied} if emptied[1] else {}, up)
        words = self.parts.words()
        return said if words is None else said + self._changed(WORD, words, up)

    def _changed(self, kind: str, values: dict[str, Any], up: float) -> list[Record]:
        """Those of a kind that differ from what is kept, and those that are no more."""
        gone = [name for of, name in self.kept if of == kind and name not in values]
        records = [Record(kind, name, None, self.boot, up) for name in gone]
        for name in gone:
            del self.kept[kind, name]
        for name, value in values.items():
            if self.kept.get((kind, name)) != value:
                self.kept[kind, name] = value
                records.append(Record(kind, name, value, self.boot, up))
        return records
