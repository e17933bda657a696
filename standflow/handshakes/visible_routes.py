"""Restricts the route set shown to the decision module to next hops with a ready connection. No I/O.

A next hop that is new or restarted is hidden until a connection to it is ready, its name verified; one that
drains or is gone is reported at once. The module therefore neither takes a next hop that waits for its time
slot for a failed one, nor queues requests behind a handshake.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from standflow.route_set import Phase, Route, RouteSet


@dataclass(slots=True)
class _Entry:
    route: Route
    visible: bool


class VisibleRoutes:
    """The route set as reported by discovery, and the visible part of it."""

    def __init__(self) -> None:
        self.entries: dict[str, _Entry] = {}
        self.revision = 0

    def update(self, routes: RouteSet, unix_time: float) -> RouteSet:
        """Applies a report of discovery and returns the part that is visible at once."""
        self.revision = routes.revision
        if routes.complete:
            listed = {route.hop for route in routes.routes}
            self.entries = {hop: entry for hop, entry in self.entries.items() if hop in listed}
        visible = [
            route
            for route in (self._update_one(one, routes.complete, unix_time) for one in routes.routes)
            if route
        ]
        if routes.complete:  # next hops that a complete set does not list count as gone anyway
            visible = [route for route in visible if route.phase is not Phase.GONE]
        return RouteSet(routes.revision, routes.complete, tuple(visible))

    def _update_one(self, route: Route, complete: bool, unix_time: float) -> Route | None:
        entry = self.entries.get(route.hop)
        if route.phase is Phase.GONE:
            self.entries.pop(route.hop, None)
            return route if entry is not None and entry.visible else None
        if entry is None:
            if route.up_since is None and not complete:
                route = replace(route, up_since=unix_time)  # new, start time unknown: assume it is cold
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
        """The serving next hops that are hidden until a connection is ready."""
        return [
            entry.route
            for entry in self.entries.values()
            if not entry.visible and entry.route.phase is Phase.SERVING
        ]

    def mark_ready(self, hop: str) -> RouteSet | None:
        """Makes a next hop visible; returns all visible routes, or None if nothing changes."""
        entry = self.entries.get(hop)
        if entry is None or entry.visible or entry.route.phase is not Phase.SERVING:
            return None
        entry.visible = True
        return RouteSet(
            self.revision, True, tuple(entry.route for entry in self.entries.values() if entry.visible)
        )
