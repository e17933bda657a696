"""Carries the operators' calls out on the parts of one ingress."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from standflow.exchange import RouteSet
from standflow.net.loop import Loop
from standflow.ops.calls import Calls
from standflow.ops.figures import Figures, text
from standflow.ops.overlay import Overlay
from standflow.ops.server import Server

if TYPE_CHECKING:
    from standflow.__main__ import Ingress


class Operations:
    """See calls.Operators; `show` hands a change of the route set on to the ingress."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        address: tuple[str, int],
        ingress: Ingress,
        show: Callable[[RouteSet], None],
    ) -> None:
        self.log, self.ingress, self.show = log, ingress, show
        self.overlay = Overlay()
        self.server = Server(loop, log, address, Calls(self).answer)
        log(f"ops {ingress.config.name} on {self.server.address[0]}:{self.server.address[1]}")

    # The calls.

    def ready(self) -> str:
        """See Operators."""
        if self.ingress.stopping:
            return "stopping"
        return "" if self.ingress.callers.ready else "starting"

    def telemetry(self) -> str:
        """See Operators."""
        ingress, overlay = self.ingress, self.overlay
        avoided = ingress.driver.avoided() & overlay.routes.keys()
        return text(
            Figures(
                ends=ingress.exchange.ends,
                forwards=ingress.next_hops.forwards,
                outstanding=ingress.exchange.open_count,
                discovered=len(overlay.routes),
                ejected=len(overlay.listed_out() | avoided),
                sighup_applied=ingress.applied,
                sighup_rejected=ingress.rejected,
            )
        )

    def exclude(self, hop: str) -> str:
        """See Operators."""
        return self._say(hop, True)

    def include(self, hop: str) -> str:
        """See Operators."""
        return self._say(hop, False)

    def evacuate(self) -> str:
        """See Operators."""
        if not self.ingress.callers.evacuated:
            self.log("ops: evacuated")
        self.ingress.callers.evacuate(True, time.time())
        self._noted()
        return ""

    def rejoin(self) -> str:
        """See Operators."""
        if self.ingress.stopping:
            return "stopping"
        if self.ingress.callers.evacuated:
            self.log("ops: rejoined")
        self.ingress.callers.evacuate(False, time.time())
        self._noted()
        return ""

    def _say(self, hop: str, out: bool) -> str:
        was = hop in self.overlay.out
        fault = self.overlay.say(hop, out, time.time())
        if not fault and was != out:
            self.log(f"ops: next hop {hop} {'out' if out else 'back'} by hand")
            self.heard(hop)
            self._noted()
        return fault

    def heard(self, hop: str) -> None:
        """A word on a next hop was taken in, said here or to another process: the ingress goes by it."""
        change = self.overlay.change(hop)
        if change is not None:
            self.show(change)

    def _noted(self) -> None:
        """A word is kept for another process of this ingress before the yes is given."""
        if self.ingress.handover is not None:
            self.ingress.handover.write()

    def close(self) -> None:
        """Ends the listener."""
        self.server.close()
