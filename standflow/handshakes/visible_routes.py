"""Which next hops the decision module is shown: those that a connection is ready to. No I/O.

A next hop that is new, or that was started anew, is held back until it has proved its name and stands ready;
one that drains or is gone is told at once. So the module neither takes a next hop that waits for its turn to
handshake for a broken one, nor heaps requests up behind a handshake.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from standflow.exchange import Phase, Route, RouteSet


@dataclass(slots=True)
class _Entry:
    route: Route
    visible: bool


class VisibleRoutes:
    """The route set as discovery tells it, and the part of it that is shown."""

    def __init__(self) -> None:
        self.entries: dict[str, _Entry] = {}
        self.revision = 0

    def update(self, routes: RouteSet, unix_time: float) -> RouteSet:
        """Takes in what discovery says and returns what may be shown of it at once; `wall` is Unix time."""
        self.revision = routes.revision
        if routes.complete:
            listed = {route.hop for route in routes.routes}
            self.entries = {hop: entry for hop, entry in self.entries.items() if hop in listed}
        visible = [
            route
            for route in (self._update_one(one, routes.complete, unix_time) for one in routes.routes)
            if route
        ]
        if routes.complete:  # what a whole set does not name is gone
            visible = [route for route in visible if route.phase is not Phase.GONE]
        return RouteSet(routes.revision, routes.complete, tuple(visible))

    def _update_one(self, route: Route, complete: bool, unix_time: float) -> Route | None:
        entry = self.entries.get(route.hop)
        if route.phase is Phase.GONE:
            self.entries.pop(route.hop, None)
            return route if entry is not None and entry.visible else None
        if entry is None:
            if route.up_since is None and not complete:
                route = replace(route, up_since=unix_time)  # new without a start: cold is the safe reading
            self.entries[route.hop] = _Entry(route, False)
            return None
        before = entry.route
        if route.up_since is None:
            route = replace(route, up_since=before.up_since)
        entry.route = route
        if not entry.visible:
            return None
        if (before.address, before.up_since) != (route.address, route.up_since):
            entry.visible = False
            return replace(route, phase=Phase.GONE)
        return route

    def awaiting_connection(self) -> list[Route]:
        """The next hops that serve, and are held back until a connection is ready."""
        return [
            entry.route
            for entry in self.entries.values()
            if not entry.visible and entry.route.phase is Phase.SERVING
        ]

    def mark_ready(self, hop: str) -> RouteSet | None:
        """A connection to a next hop is ready: all that is shown from now on, or None if nothing changes."""
        entry = self.entries.get(hop)
        if entry is None or entry.visible or entry.route.phase is not Phase.SERVING:
            return None
        entry.visible = True
        return RouteSet(
            self.revision, True, tuple(entry.route for entry in self.entries.values() if entry.visible)
        )
