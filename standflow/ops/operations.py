"""Carries out the operators' calls on the components of one ingress."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from standflow.net.loop import Loop
from standflow.ops.calls import Calls
from standflow.ops.figures import Counts, Figures, Fleet, Recovery, text
from standflow.ops.overlay import Overlay
from standflow.ops.server import Server
from standflow.route_set import RouteSet


@dataclass(slots=True)
class OperationsCallbacks:
    """What the operators' calls need from the ingress."""

    ready: Callable[[], bool]
    stopping: Callable[[], bool]
    counts: Callable[[], Counts]
    ejected: Callable[[], set[str]]  # next hops ejected by outlier detection
    evacuated: Callable[[], bool]
    evacuate: Callable[[bool, float], None]  # on or off, and the Unix time of the call
    apply_routes: Callable[[RouteSet], None]  # a change of the route set
    fleet: Callable[[], Fleet | None]  # None if no membership is kept
    recovery: Callable[[], Recovery | None]  # None if no store is kept
    state_changed: Callable[[], None]  # an operator changed something that other processes must know


class Operations:
    """Implements calls.Operators."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        address: tuple[str, int],
        name: str,
        callbacks: OperationsCallbacks,
    ) -> None:
        self.log, self.callbacks = log, callbacks
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
        ejected = self.callbacks.ejected() & overlay.routes.keys()
        figures = Figures(
            counts=self.callbacks.counts(),
            discovered=len(overlay.routes),
            ejected=len(overlay.listed_excluded() | ejected),
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

    def _set_excluded(self, hop: str, excluded: bool) -> str:
        was_excluded = hop in self.overlay.excluded
        error = self.overlay.set_excluded(hop, excluded, time.time())
        if not error and was_excluded != excluded:
            self.log(f"ops: next hop {hop} {'out' if excluded else 'back'} by hand")
            try:
                self.override_changed(hop)
            finally:  # what the operator said holds for other processes and the next start in any case
                self.callbacks.state_changed()
        return error

    def override_changed(self, hop: str) -> None:
        """Applies an override that was set here or received from another process."""
        change = self.overlay.change(hop)
        if change is not None:
            self.callbacks.apply_routes(change)

    def close(self) -> None:
        """Closes the listener."""
        self.server.close()
