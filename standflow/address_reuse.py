"""Backends whose address a newer process has taken: they are gone, whether or not discovery says so. No I/O.

Discovery may name a new backend at an address before it tells that the one before has gone. Commands for the
old one would reach the new process, which is cold and counts as another backend.
"""

from __future__ import annotations

from dataclasses import replace

from standflow.route_set import Phase, Route, RouteSet


class AddressOwners:
    """Which backend each address belongs to, as the route sets told."""

    def __init__(self) -> None:
        self.routes: dict[str, Route] = {}  # present backends, by id

    def apply(self, routes: RouteSet) -> RouteSet:
        """Returns the route set with the backends whose addresses newer processes have taken as gone."""
        if routes.complete:
            self.routes = {}
        for route in routes.routes:
            if route.phase is Phase.GONE:
                self.routes.pop(route.hop, None)
            else:
                self.routes[route.hop] = route
        replaced = {route.hop for route in self._replaced()}
        if not replaced:
            return routes
        named = tuple(self._as_gone(route) if route.hop in replaced else route for route in routes.routes)
        told = {route.hop for route in named}
        others = tuple(self._as_gone(self.routes[hop]) for hop in sorted(replaced - told))
        for hop in replaced:
            del self.routes[hop]
        return replace(routes, routes=(*named, *others))

    def _replaced(self) -> list[Route]:
        """Backends at whose address another one has started later."""
        newest: dict[tuple[str, int], float] = {}
        for route in self.routes.values():
            newest[route.address] = max(newest.get(route.address, 0.0), route.up_since or 0.0)
        return [route for route in self.routes.values() if (route.up_since or 0.0) < newest[route.address]]

    @staticmethod
    def _as_gone(route: Route) -> Route:
        return replace(route, phase=Phase.GONE)
