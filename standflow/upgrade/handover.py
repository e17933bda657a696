"""Carries the replacing of a process out: reads the others' files, writes its own, and does its part."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from standflow.net.loop import Loop
from standflow.ops.overlay import Overlay, Override
from standflow.upgrade import roles
from standflow.upgrade.files import StateFiles, next_generation
from standflow.upgrade.roles import ProcessStatus, Role, Stage

FAST_POLL_SECONDS, SLOW_POLL_SECONDS = 0.03, 0.1  # seconds between looks while something goes on, and else
HEARTBEAT_SECONDS = 0.5  # seconds between writes of a process that is alone
REMOVE_AFTER_SECONDS = 60.0  # seconds after which the file of a process that is over is removed
MAX_OVERRIDES = 2000


@dataclass(slots=True)
class HandoverCallbacks:
    """What the handover asks of the ingress."""

    export_state: Callable[[], dict[str, Any]]
    import_state: Callable[[dict[str, Any]], None]
    spent: Callable[[], list[list[Any]]]  # by this process alone, since the last export or absorb
    add: Callable[[list[Any]], None]
    resume: Callable[[], None]
    set_peer_sending: Callable[[bool], None]  # on the ring, or not
    share_limits: Callable[[bool], None]  # another process holds descriptors and memory of the same ingress
    routes: Callable[[], list[Any]]  # the route set as told
    import_routes: Callable[[list[Any]], None]
    overlay: Overlay | None
    override_changed: Callable[[str], None]  # a word on a next hop, said to another process
    evacuated: Callable[[], tuple[bool, float]]
    evacuate: Callable[[bool, float], None]


class Handover:
    """One process's end of it. `begin` is called once, when this process may serve."""

    def __init__(
        self, loop: Loop, log: Callable[[str], None], folder: str, name: str, parts: HandoverCallbacks
    ) -> None:
        self.loop, self.log, self.callbacks = loop, log, parts
        generation = next_generation(folder, name, time.time_ns())
        self.files = StateFiles(folder, name, generation, log)
        self.role = Role(generation)
        self.begin: Callable[[], None] = lambda: None
        self.exported: dict[str, Any] | None = None  # what was exported to the newer process
        self.applied_use: dict[tuple[int, str], int] = {}  # of another's use, by generation and customer
        self.took_from = 0  # the older process whose knowledge this one has
        self.another_alive = False
        self.written_at = -math.inf  # of the loop's clock, as all spans of time here
        self.last_writes: dict[int, tuple[float, float]] = {}  # by generation: what it wrote last, and when
        self.closed = False
        self._poll()
        loop.every(self._poll_interval, self._poll)

    def ask(self, begin: Callable[[], None]) -> None:
        """This process can serve; `begin` follows when the one before has told what it knows."""
        if self.role.stage is Stage.STARTING:
            self.begin = begin
            self.role.ask(self.loop.now())
            self.write()
            self._poll_once()

    def write(self) -> None:
        """Writes this process's file: its part, what operators said, and what it hands on."""
        overlay = self.callbacks.overlay
        words = (
            []
            if overlay is None
            else [[hop, one.excluded, one.at, one.excluded_at] for hop, one in overlay.overrides.items()]
        )
        self.written_at = self.loop.now()
        value: dict[str, Any] = {
            "generation": self.role.generation,
            "at": time.time(),
            "stage": self.role.stage.value,
            "handed_to": self.role.handed_to,
            "words": words,
            "evacuated": list(self.callbacks.evacuated()),
        }
        if self.role.stage is Stage.HANDED:
            value["spent"] = self.callbacks.spent()
            if self.exported is not None:  # until the newer one has it
                value |= {"told": self.exported, "routes": self.callbacks.routes()}
        elif self.took_from and self.another_alive:  # the older one still serves what it has
            value |= {"took_from": self.took_from, "spent": self.callbacks.spent()}
        self.files.write(value)

    def close(self) -> None:
        """The last word of this process. Its file stays where nobody has taken over what it says."""
        self.closed = True
        self.write()

    def _poll(self) -> None:
        if not self.closed:
            self._poll_once()

    def _poll_interval(self) -> float:
        """Seconds to the next look."""
        quick = self.another_alive or self.role.stage in (Stage.ASKING, Stage.HANDED)
        return FAST_POLL_SECONDS if quick else SLOW_POLL_SECONDS

    def _poll_once(self) -> None:
        now, raw = self.loop.now(), self.files.others()
        self.last_writes = {
            generation: known for generation, known in self.last_writes.items() if generation in raw
        }
        seen = []
        for generation, value in sorted(raw.items()):
            try:
                seen.append(self._with_local_time(roles.read(generation, value), now))
                self._merge_overrides(value)
                if self.role.stage in (Stage.SERVING, Stage.HANDED):
                    self._add_use(generation, value)
                if now - seen[-1].at > REMOVE_AFTER_SECONDS and generation < self.role.generation:
                    self.files.remove(generation)
                    self.applied_use = {
                        key: units for key, units in self.applied_use.items() if key[0] != generation
                    }
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                self.log(f"upgrade: what process {generation} says is passed over: {error!r}")
        alive = [one for one in seen if now - one.at < roles.LIVENESS_SECONDS]
        if bool(alive) != self.another_alive:
            self.another_alive = bool(alive)
            self.callbacks.share_limits(self.another_alive)
        self._perform(self.role.step(seen, now), raw)
        tells = self.role.stage is Stage.HANDED or (self.took_from and self.another_alive)
        due = FAST_POLL_SECONDS if tells else HEARTBEAT_SECONDS
        if now - self.written_at >= due:
            self.write()

    def _with_local_time(self, one: ProcessStatus, now: float) -> ProcessStatus:
        """What another process says of its part, `at` being when it was heard last, of the loop's clock.

        Its own time is of a wall clock that may be stepped: it tells only that it has written anew. At the
        first sight it has to tell its age too, and a process whose age can't be so is dead until it writes.
        """
        before = self.last_writes.get(one.generation)
        if before is None:
            age = time.time() - one.at
            heard = now - (age if age > -roles.LIVENESS_SECONDS else roles.LIVENESS_SECONDS)
        else:
            heard = now if before[0] != one.at else before[1]
        self.last_writes[one.generation] = (one.at, min(heard, now))
        return replace(one, at=min(heard, now))

    def _perform(self, what: str, raw: dict[int, dict[str, Any]]) -> None:
        if what == "take":
            before = max(g for g, value in raw.items() if value.get("handed_to") == self.role.generation)
            try:
                self.callbacks.import_routes(
                    raw[before]["routes"]
                )  # first: what is known of next hops needs them
                self.callbacks.import_state(raw[before]["told"])
                self.took_from = before
                self.log("upgrade: took over what the process before knows")
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                self.log(f"upgrade: what the process before knows is passed over: {error!r}")
        if what in ("take", "begin"):
            self.write()
            self.begin()
        elif what == "hand":
            self.log("upgrade: a newer process can serve: told it what is known, silent on the ring")
            self.callbacks.set_peer_sending(False)
            self.exported = self.callbacks.export_state()
            self.write()
        elif what == "resume":
            self.log("upgrade: the newer process is gone: on the ring again")
            self.exported = None
            self.callbacks.resume()
            self.callbacks.set_peer_sending(True)

    def _merge_overrides(self, value: dict[str, Any]) -> None:
        overlay = self.callbacks.overlay
        for hop, out, at, went in value["words"][:MAX_OVERRIDES] if overlay is not None else ():
            if not isinstance(hop, str) or not isinstance(out, bool):
                raise ValueError("a word is none")
            if overlay is not None and overlay.merge(hop, Override(out, float(at), float(went))):
                self.callbacks.override_changed(hop)
        evacuated, at = value["evacuated"]
        if float(at) > self.callbacks.evacuated()[1]:
            self.callbacks.evacuate(bool(evacuated), float(at))

    def _add_use(self, generation: int, value: dict[str, Any]) -> None:
        """What the other of the two let through since one told all to the other, as far as it is new."""
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
