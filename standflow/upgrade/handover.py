"""Carries out the handover between processes: reads the other files, writes its own, performs its role."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from standflow.executed_ids import ExecutedIds
from standflow.isolation import run_isolated
from standflow.net.loop import Loop
from standflow.ops.overlay import Overlay, Override
from standflow.upgrade import roles
from standflow.upgrade.files import StateFiles, next_generation
from standflow.upgrade.id_journal import IdJournal
from standflow.upgrade.roles import ProcessStatus, Role, Stage

FAST_POLL_SECONDS, SLOW_POLL_SECONDS = 0.03, 0.1  # during a handover, and otherwise
HEARTBEAT_SECONDS = 0.5  # between writes of a process outside a handover
REMOVE_AFTER_SECONDS = 60.0  # for which the file of a process that has exited is kept
MAX_OVERRIDES = 2000
# What reading a record raises if another version wrote it in another form.
MALFORMED_RECORD_ERRORS = (AttributeError, LookupError, TypeError, ValueError, OverflowError)


@dataclass(slots=True)
class HandoverCallbacks:
    """What the handover needs from the ingress."""

    export_state: Callable[[], dict[str, Any]]
    import_state: Callable[[dict[str, Any]], None]
    spent: Callable[[], list[list[Any]]]  # use by this process alone since the last export or import
    add: Callable[[list[Any]], None]
    resume: Callable[[], None]
    set_peer_sending: Callable[[bool], None]
    # True while another process uses descriptors and memory of the same ingress.
    share_limits: Callable[[bool], None]
    routes: Callable[[], list[Any]]  # the route set as discovered
    import_routes: Callable[[list[Any]], None]
    overlay: Overlay | None
    override_changed: Callable[[str], None]  # a next hop's override was received from another process
    evacuated: Callable[[], tuple[bool, float]]
    evacuate: Callable[[bool, float], None]
    executed_ids: ExecutedIds


class Handover:
    """The handover as seen by one process. `begin` is called once, when this process may serve."""

    def __init__(
        self, loop: Loop, log: Callable[[str], None], folder: str, name: str, callbacks: HandoverCallbacks
    ) -> None:
        self.loop, self.log, self.callbacks = loop, log, callbacks
        generation = next_generation(folder, name, time.time_ns())
        self.files = StateFiles(folder, name, generation, log)
        known = callbacks.executed_ids.added_at.keys
        self.id_journal = IdJournal(folder, self.files.prefix, generation, known, loop.now, log)
        callbacks.executed_ids.changed = self.id_journal.record
        callbacks.executed_ids.known_elsewhere = self.id_journal.known_elsewhere
        self.role = Role(generation)
        self.begin: Callable[[], None] = lambda: None
        self.exported: dict[str, Any] | None = None  # state for the newer process
        self.applied_use: dict[tuple[int, str], int] = {}  # of the other process, by generation and tenant
        self.took_from = 0  # generation of the older process whose state was taken over, or 0
        self.another_alive = False
        self.written_at = -math.inf  # on the loop's clock, as all times here
        # By generation: the last timestamp written, and when it was first seen.
        self.last_writes: dict[int, tuple[float, float]] = {}
        self.closed = False
        self._poll()
        loop.every(self._poll_interval, self._poll)

    def ask(self, begin: Callable[[], None]) -> None:
        """This process can serve; `begin` is called once its predecessor's state arrived or is overdue."""
        if self.role.stage is Stage.STARTING:
            self.begin = begin
            self.role.ask(self.loop.now())
            self.write()
            self._poll_once()

    def write(self) -> None:
        """Writes this process's file: its status, the operators' overrides, and the state it hands over."""
        overlay = self.callbacks.overlay
        overrides = (
            []
            if overlay is None
            else [
                [hop, override.excluded, override.at, override.excluded_at]
                for hop, override in overlay.overrides.items()
            ]
        )
        self.written_at = self.loop.now()
        value: dict[str, Any] = {
            "generation": self.role.generation,
            "at": time.time(),
            "stage": self.role.stage.value,
            "handed_to": self.role.handed_to,
            "words": overrides,
            "evacuated": list(self.callbacks.evacuated()),
        }
        if self.role.stage is Stage.HANDED:
            value["spent"] = self.callbacks.spent()
            if self.exported is not None:  # until the newer process has taken it over
                value |= {"told": self.exported, "routes": self.callbacks.routes()}
        elif self.took_from and self.another_alive:  # the older process still serves its open connections
            value |= {"took_from": self.took_from, "spent": self.callbacks.spent()}
        self.files.write(value)

    def close(self) -> None:
        """Writes the file a last time. It stays for a process that has not taken over its state yet."""
        self.closed = True
        self.write()

    def _poll(self) -> None:
        if not self.closed:
            self._poll_once()

    def _poll_interval(self) -> float:
        """Seconds to the next poll."""
        fast = self.another_alive or self.role.stage in (Stage.ASKING, Stage.HANDED)
        return FAST_POLL_SECONDS if fast else SLOW_POLL_SECONDS

    def _poll_once(self) -> None:
        now, raw = self.loop.now(), self.files.others()
        self.last_writes = {
            generation: write for generation, write in self.last_writes.items() if generation in raw
        }
        others: list[ProcessStatus] = []
        for generation, value in sorted(raw.items()):
            run_isolated(self.log, self._read_record, generation, value, now, others)
        alive = [process for process in others if now - process.at < roles.LIVENESS_SECONDS]
        if bool(alive) != self.another_alive:
            self.another_alive = bool(alive)
            run_isolated(self.log, self.callbacks.share_limits, self.another_alive)
        run_isolated(self.log, self.id_journal.update, self.another_alive)
        run_isolated(self.log, self._perform, self.role.step(others, now), raw)
        shares_use = self.role.stage is Stage.HANDED or (self.took_from and self.another_alive)
        due = FAST_POLL_SECONDS if shares_use else HEARTBEAT_SECONDS
        if now - self.written_at >= due:
            self.write()

    def _read_record(
        self, generation: int, value: dict[str, Any], now: float, others: list[ProcessStatus]
    ) -> None:
        """Applies the record of another process, and appends its status to `others`."""
        try:
            others.append(self._with_local_time(roles.read(generation, value), now))
            self._merge_overrides(value)
            if self.role.stage in (Stage.SERVING, Stage.HANDED):
                self._add_use(generation, value)
            if now - others[-1].at > REMOVE_AFTER_SECONDS and generation < self.role.generation:
                self.files.remove(generation)
                self.applied_use = {
                    key: units for key, units in self.applied_use.items() if key[0] != generation
                }
        except MALFORMED_RECORD_ERRORS as error:
            self.log(f"upgrade: the record of process {generation} is ignored: {error!r}")

    def _with_local_time(self, process: ProcessStatus, now: float) -> ProcessStatus:
        """Replaces `at`, a process's own timestamp, by when it was last seen writing, on the loop's clock.

        Its timestamp is of the wall clock, which may be stepped: a change only shows that it has written
        again. When a process is first seen, the timestamp also gives its age; if that is implausible, the
        process counts as dead until it writes again.
        """
        before = self.last_writes.get(process.generation)
        if before is None:
            age = time.time() - process.at
            seen_at = now - (age if age > -roles.LIVENESS_SECONDS else roles.LIVENESS_SECONDS)
        else:
            seen_at = now if before[0] != process.at else before[1]
        self.last_writes[process.generation] = (process.at, min(seen_at, now))
        return replace(process, at=min(seen_at, now))

    def _perform(self, action: str, raw: dict[int, dict[str, Any]]) -> None:
        """Carries out an action of the role. It is due once: a fault in one step must not skip the next."""
        log = self.log
        if action == "take":
            run_isolated(log, self._take_over, raw)
        if action in ("take", "begin"):
            run_isolated(log, self.write)
            self.begin()
        elif action == "hand":
            log("upgrade: handing the state over to a newer process: no longer sending on the ring")
            run_isolated(log, self.callbacks.set_peer_sending, False)
            run_isolated(log, self._export)
            self.write()
        elif action == "resume":
            log("upgrade: the newer process is dead: sending on the ring again")
            self.exported = None
            run_isolated(log, self.callbacks.resume)
            self.callbacks.set_peer_sending(True)

    def _take_over(self, raw: dict[int, dict[str, Any]]) -> None:
        """Imports the state that the previous process has handed over."""
        predecessor = max(g for g, value in raw.items() if value.get("handed_to") == self.role.generation)
        try:
            # Routes first: the state of next hops is only imported for those that are known.
            run_isolated(self.log, self.callbacks.import_routes, raw[predecessor]["routes"])
            self.callbacks.import_state(raw[predecessor]["told"])
            self.took_from = predecessor
            self.log("upgrade: took over the state of the previous process")
        except MALFORMED_RECORD_ERRORS as error:
            self.log(f"upgrade: the state of the previous process is ignored: {error!r}")

    def _export(self) -> None:
        self.exported = self.callbacks.export_state()

    def _merge_overrides(self, value: dict[str, Any]) -> None:
        overlay = self.callbacks.overlay
        for hop, excluded, at, excluded_at in value["words"][:MAX_OVERRIDES] if overlay is not None else ():
            if not isinstance(hop, str) or not isinstance(excluded, bool):
                raise ValueError("a malformed override")
            if overlay is not None and overlay.merge(hop, Override(excluded, float(at), float(excluded_at))):
                self.callbacks.override_changed(hop)
        evacuated, at = value["evacuated"]
        if float(at) > self.callbacks.evacuated()[1]:
            self.callbacks.evacuate(bool(evacuated), float(at))

    def _add_use(self, generation: int, value: dict[str, Any]) -> None:
        """Adds, once each, what the other process has admitted since the state was handed over."""
        if generation < self.role.generation:
            if value["handed_to"] != self.role.generation:
                return
        elif value.get("took_from") != self.role.generation:
            return
        else:
            self.exported = None
        for key, plan, first, size, units in value["spent"]:
            more = int(units) - self.applied_use.get((generation, key), 0)
            if more > 0:
                self.applied_use[(generation, key)] = int(units)
                self.callbacks.add([key, plan, first, size, more])
