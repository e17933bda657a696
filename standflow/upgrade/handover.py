"""Carries the replacing of a process out: reads the others' files, writes its own, and does its part."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from standflow.net.loop import Loop
from standflow.ops.overlay import Overlay, Word
from standflow.upgrade import roles
from standflow.upgrade.files import Files, next_generation
from standflow.upgrade.roles import Role, Seen, Stage

QUICK, SLOW = 0.03, 0.1  # seconds between looks while something goes on, and else
BEAT = 0.5  # seconds between writes of a process that is alone
OLD = 60.0  # seconds after which the file of a process that is over is removed
MOST_WORDS = 2000


@dataclass(slots=True)
class Parts:
    """What the handover asks of the ingress."""

    export: Callable[[], dict[str, Any]]
    absorb: Callable[[dict[str, Any]], None]
    spent: Callable[[], list[list[Any]]]  # by this process alone, since the last export or absorb
    add: Callable[[list[Any]], None]
    resume: Callable[[], None]
    speak: Callable[[bool], None]  # on the ring, or not
    crowd: Callable[[bool], None]  # another process holds descriptors and memory of the same ingress
    routes: Callable[[], list[Any]]  # the route set as told
    take_routes: Callable[[list[Any]], None]
    overlay: Overlay | None
    heard: Callable[[str], None]  # a word on a next hop, said to another process
    evacuated: Callable[[], tuple[bool, float]]
    evacuate: Callable[[bool, float], None]


class Handover:
    """One process's end of it. `begin` is called once, when this process may serve."""

    def __init__(self, loop: Loop, log: Callable[[str], None], folder: str, name: str, parts: Parts) -> None:
        self.loop, self.log, self.parts = loop, log, parts
        generation = next_generation(folder, name, time.time_ns())
        self.files = Files(folder, name, generation, log)
        self.role = Role(generation)
        self.begin: Callable[[], None] = lambda: None
        self.told: dict[str, Any] | None = None  # what was exported to the newer process
        self.taken: dict[tuple[int, str], int] = {}  # of another's use, by generation and customer
        self.took_from = 0  # the older process whose knowledge this one has
        self.crowded = False
        self.written = -math.inf  # of the loop's clock, as all spans of time here
        self.changes: dict[int, tuple[float, float]] = {}  # by generation: what it wrote last, and when
        self.closed = False
        self._look()
        loop.every(self._pace, self._look)

    def ask(self, begin: Callable[[], None]) -> None:
        """This process can serve; `begin` follows when the one before has told what it knows."""
        if self.role.stage is Stage.STARTING:
            self.begin = begin
            self.role.ask(self.loop.now())
            self.write()
            self._look_once()

    def write(self) -> None:
        """Writes this process's file: its part, what operators said, and what it hands on."""
        overlay = self.parts.overlay
        words = (
            []
            if overlay is None
            else [[hop, one.out, one.at, one.went] for hop, one in overlay.words.items()]
        )
        self.written = self.loop.now()
        value: dict[str, Any] = {
            "generation": self.role.generation,
            "at": time.time(),
            "stage": self.role.stage.value,
            "handed_to": self.role.handed_to,
            "words": words,
            "evacuated": list(self.parts.evacuated()),
        }
        if self.role.stage is Stage.HANDED:
            value["spent"] = self.parts.spent()
            if self.told is not None:  # until the newer one has it
                value |= {"told": self.told, "routes": self.parts.routes()}
        elif self.took_from and self.crowded:  # the older one still serves what it has
            value |= {"took_from": self.took_from, "spent": self.parts.spent()}
        self.files.write(value)

    def close(self) -> None:
        """The last word of this process. Its file stays where nobody has taken over what it says."""
        self.closed = True
        self.write()

    def _look(self) -> None:
        if not self.closed:
            self._look_once()

    def _pace(self) -> float:
        """Seconds to the next look."""
        quick = self.crowded or self.role.stage in (Stage.ASKING, Stage.HANDED)
        return QUICK if quick else SLOW

    def _look_once(self) -> None:
        now, raw = self.loop.now(), self.files.others()
        self.changes = {generation: known for generation, known in self.changes.items() if generation in raw}
        seen = []
        for generation, value in sorted(raw.items()):
            try:
                seen.append(self._heard(roles.read(generation, value), now))
                self._words(value)
                if self.role.stage in (Stage.SERVING, Stage.HANDED):
                    self._use(generation, value)
                if now - seen[-1].at > OLD and generation < self.role.generation:
                    self.files.remove(generation)
                    self.taken = {key: units for key, units in self.taken.items() if key[0] != generation}
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                self.log(f"upgrade: what process {generation} says is passed over: {error!r}")
        alive = [one for one in seen if now - one.at < roles.LIVES]
        if bool(alive) != self.crowded:
            self.crowded = bool(alive)
            self.parts.crowd(self.crowded)
        self._do(self.role.step(seen, now), raw)
        tells = self.role.stage is Stage.HANDED or (self.took_from and self.crowded)
        due = QUICK if tells else BEAT
        if now - self.written >= due:
            self.write()

    def _heard(self, one: Seen, now: float) -> Seen:
        """What another process says of its part, `at` being when it was heard last, of the loop's clock.

        Its own time is of a wall clock that may be stepped: it tells only that it has written anew. At the
        first sight it has to tell its age too, and a process whose age can't be so is dead until it writes.
        """
        before = self.changes.get(one.generation)
        if before is None:
            age = time.time() - one.at
            heard = now - (age if age > -roles.LIVES else roles.LIVES)
        else:
            heard = now if before[0] != one.at else before[1]
        self.changes[one.generation] = (one.at, min(heard, now))
        return replace(one, at=min(heard, now))

    def _do(self, what: str, raw: dict[int, dict[str, Any]]) -> None:
        if what == "take":
            before = max(g for g, value in raw.items() if value.get("handed_to") == self.role.generation)
            try:
                self.parts.take_routes(raw[before]["routes"])  # first: what is known of next hops needs them
                self.parts.absorb(raw[before]["told"])
                self.took_from = before
                self.log("upgrade: took over what the process before knows")
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                self.log(f"upgrade: what the process before knows is passed over: {error!r}")
        if what in ("take", "begin"):
            self.write()
            self.begin()
        elif what == "hand":
            self.log("upgrade: a newer process can serve: told it what is known, silent on the ring")
            self.parts.speak(False)
            self.told = self.parts.export()
            self.write()
        elif what == "resume":
            self.log("upgrade: the newer process is gone: on the ring again")
            self.told = None
            self.parts.resume()
            self.parts.speak(True)

    def _words(self, value: dict[str, Any]) -> None:
        overlay = self.parts.overlay
        for hop, out, at, went in value["words"][:MOST_WORDS] if overlay is not None else ():
            if not isinstance(hop, str) or not isinstance(out, bool):
                raise ValueError("a word is none")
            if overlay is not None and overlay.hear(hop, Word(out, float(at), float(went))):
                self.parts.heard(hop)
        evacuated, at = value["evacuated"]
        if float(at) > self.parts.evacuated()[1]:
            self.parts.evacuate(bool(evacuated), float(at))

    def _use(self, generation: int, value: dict[str, Any]) -> None:
        """What the other of the two let through since one told all to the other, as far as it is new."""
        if generation < self.role.generation:
            if value["handed_to"] != self.role.generation:
                return
        elif value.get("took_from") != self.role.generation:
            return
        else:
            self.told = None
        for key, plan, first, size, units in value["spent"]:
            more = int(units) - self.taken.get((generation, key), 0)
            if more > 0:
                self.taken[(generation, key)] = int(units)
                self.parts.add([key, plan, first, size, more])
