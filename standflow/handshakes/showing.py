"""Which next hops the decision module is shown: those that a connection is ready to. No I/O.

A next hop that is new, or that was started anew, is held back until it has proved its name and stands ready;
one that drains or is gone is told at once. So the module neither takes a next hop that waits for its turn to
handshake for a broken one, nor heaps requests up behind a handshake.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from standflow.exchange import Phase, Route, RouteSet


@dataclass(slots=True)
class _Known:
    route: Route
    shown: bool


class Showing:
    """The route set as discovery tells it, and the part of it that is shown."""

    def __init__(self) -> None:
        self.known: dict[str, _Known] = {}
        self.revision = 0

    def told(self, routes: RouteSet, wall: float) -> RouteSet:
        """Takes in what discovery says and returns what may be shown of it at once; `wall` is Unix time."""
        self.revision = routes.revision
        if routes.complete:
            named = {route.hop for route in routes.routes}
            self.known = {hop: known for hop, known in self.known.items() if hop in named}
        passed = [
            route for route in (self._told(one, routes.complete, wall) for one in routes.routes) if route
        ]
        if routes.complete:  # what a whole set does not name is gone
            passed = [route for route in passed if route.phase is not Phase.GONE]
        return RouteSet(routes.revision, routes.complete, tuple(passed))

    def _told(self, route: Route, complete: bool, wall: float) -> Route | None:
        known = self.known.get(route.hop)
        if route.phase is Phase.GONE:
            self.known.pop(route.hop, None)
            return route if known is not None and known.shown else None
        if known is None:
            if route.up_since is None and not complete:
                route = replace(route, up_since=wall)  # new without a start: cold is the safe reading
            self.known[route.hop] = _Known(route, False)
            return None
        before = known.route
        if route.up_since is None:
            route = replace(route, up_since=before.up_since)
        known.route = route
        if not known.shown:
            return None
        if (before.address, before.up_since) != (route.address, route.up_since):
            known.shown = False
            return replace(route, phase=Phase.GONE)
        return route

    def waiting(self) -> list[Route]:
        """The next hops that serve, and are held back until a connection is ready."""
        return [k.route for k in self.known.values() if not k.shown and k.route.phase is Phase.SERVING]

    def ready(self, hop: str) -> RouteSet | None:
        """A connection to a next hop is ready: all that is shown from now on, or None if nothing changes."""
        known = self.known.get(hop)
        if known is None or known.shown or known.route.phase is not Phase.SERVING:
            return None
        known.shown = True
        return RouteSet(self.revision, True, tuple(k.route for k in self.known.values() if k.shown))
