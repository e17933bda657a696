"""Carries the operators' calls out on the parts of one ingress."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from standflow.exchange import RouteSet
from standflow.net.loop import Loop
from standflow.ops.calls import Calls
from standflow.ops.figures import Counts, Figures, Fleet, Recovery, text
from standflow.ops.overlay import Overlay
from standflow.ops.server import Server


@dataclass(slots=True)
class OperationsCallbacks:
    """What the operators' calls ask of the ingress."""

    ready: Callable[[], bool]
    stopping: Callable[[], bool]
    counts: Callable[[], Counts]
    ejected: Callable[[], set[str]]  # next hops, by the module's choice
    evacuated: Callable[[], bool]
    evacuate: Callable[[bool, float], None]  # emptied or not, since a Unix time
    apply_routes: Callable[[RouteSet], None]  # a change of the route set, for the ingress to go by
    fleet: Callable[[], Fleet | None]  # None where no view is kept
    recovery: Callable[[], Recovery | None]  # None where no store is kept
    state_changed: Callable[[], None]  # a word was said: it is kept for another process of this ingress


class Operations:
    """See calls.Operators."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        address: tuple[str, int],
        name: str,
        parts: OperationsCallbacks,
    ) -> None:
        self.log, self.callbacks = log, parts
        self.overlay = Overlay()
        self.server = Server(loop, log, address, Calls(self).answer)
        log(f"ops {name} on {self.server.address[0]}:{self.server.address[1]}")

    # The calls.

    def ready(self) -> str:
        """See Operators."""
        if self.callbacks.stopping():
            return "stopping"
        return "" if self.callbacks.ready() else "starting"

    def telemetry(self) -> str:
        """See Operators."""
        overlay = self.overlay
        avoided = self.callbacks.ejected() & overlay.routes.keys()
        figures = Figures(
            counts=self.callbacks.counts(),
            discovered=len(overlay.routes),
            ejected=len(overlay.listed_excluded() | avoided),
            fleet=self.callbacks.fleet(),
            recovery=self.callbacks.recovery(),
        )
        return text(figures)

    def exclude(self, hop: str) -> str:
        """See Operators."""
        return self._set_excluded(hop, True)

    def include(self, hop: str) -> str:
        """See Operators."""
        return self._set_excluded(hop, False)

    def evacuate(self) -> str:
        """See Operators."""
        if not self.callbacks.evacuated():
            self.log("ops: evacuated")
        self.callbacks.evacuate(True, time.time())
        self.callbacks.state_changed()
        return ""

    def rejoin(self) -> str:
        """See Operators."""
        if self.callbacks.stopping():
            return "stopping"
        if self.callbacks.evacuated():
            self.log("ops: rejoined")
        self.callbacks.evacuate(False, time.time())
        self.callbacks.state_changed()
        return ""

    def _set_excluded(self, hop: str, out: bool) -> str:
        was = hop in self.overlay.excluded
        fault = self.overlay.set_excluded(hop, out, time.time())
        if not fault and was != out:
            self.log(f"ops: next hop {hop} {'out' if out else 'back'} by hand")
            self.override_changed(hop)
            self.callbacks.state_changed()
        return fault

    def override_changed(self, hop: str) -> None:
        """A word on a next hop was taken in, said here or to another process: the ingress goes by it."""
        change = self.overlay.change(hop)
        if change is not None:
            self.callbacks.apply_routes(change)

    def close(self) -> None:
        """Ends the listener."""
        self.server.close()
