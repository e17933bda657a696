"""Next hops excluded by hand, laid over the discovered route set. No I/O; times are Unix time in seconds.

The discovered route set is kept unchanged, so that including a next hop again shows its current state. An
excluded next hop that is serving is shown as draining, and is drained like any other.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from standflow.route_set import Phase, Route, RouteSet

MAX_EXCLUDED = 1000  # next hops excluded at once; another one is refused
MAX_KNOWN_IDS = 20_000  # ids remembered as listed at some time, the most recent ones


@dataclass(slots=True)
class Override:
    """The last exclude or include call for a next hop. The later of two overrides holds."""

    excluded: bool
    at: float
    excluded_at: float = 0.0  # of the last exclusion; 0: never


class Overlay:
    """The discovered route set and the operators' overrides of its next hops."""

    def __init__(self) -> None:
        self.routes: dict[str, Route] = {}
        self.known_ids: OrderedDict[str, None] = OrderedDict()
        self.overrides: OrderedDict[str, Override] = OrderedDict()  # the most recent one last
        # Included again, and discovery has not reported the restart yet: times of exclusion and inclusion.
        self.included_again: dict[str, tuple[float, float]] = {}

    @property
    def excluded(self) -> set[str]:
        """The excluded ids, listed or not."""
        return {hop for hop, override in self.overrides.items() if override.excluded}

    def listed_excluded(self) -> set[str]:
        """The excluded ids that are listed."""
        return self.excluded & self.routes.keys()

    def apply(self, routes: RouteSet) -> RouteSet:
        """Records a route set from discovery; returns it with the overrides applied."""
        if routes.complete:
            self.routes = {}
        for route in routes.routes:
            if route.phase is Phase.GONE:
                self.routes.pop(route.hop, None)
            else:
                self.routes[route.hop] = route
                self._remember_id(route.hop)
        if routes.complete:
            self.included_again = {
                hop: times for hop, times in self.included_again.items() if hop in self.routes
            }
        return replace(routes, routes=tuple(self._overridden(route) for route in routes.routes))

    def set_excluded(self, hop: str, excluded: bool, now: float) -> str:
        """Excludes or includes a next hop; returns why it can't be done, or nothing. See `change`."""
        before = self.overrides.get(hop)
        if hop not in self.known_ids and before is None:
            return f"{hop} was never listed"
        if excluded and not (before is not None and before.excluded) and len(self.excluded) >= MAX_EXCLUDED:
            return f"{MAX_EXCLUDED} next hops are out already"
        if before is None or before.excluded != excluded:
            # The clock may have been set back since the previous override, which this one must follow.
            now = now if before is None else max(now, before.at + 0.001)
            excluded_at = now if excluded else (0.0 if before is None else before.excluded_at)
            self.merge(hop, Override(excluded, now, excluded_at))
        return ""

    def merge(self, hop: str, override: Override) -> bool:
        """Takes in an override, possibly one from another process, unless a later one is known.

        True if it changes whether the next hop is excluded.
        """
        before = self.overrides.get(hop)
        if before is not None and before.at >= override.at:
            return False
        self.included_again.pop(hop, None)
        if override.excluded_at and not override.excluded:
            self.included_again[hop] = (override.excluded_at, override.at)
        self.overrides[hop] = override
        self.overrides.move_to_end(hop)
        # Drops the oldest inclusions, which are of no use after a while.
        while len(self.overrides) > 2 * MAX_EXCLUDED:
            included = next((name for name, one in self.overrides.items() if not one.excluded), None)
            if included is None:
                break
            del self.overrides[included]
        return before is None or before.excluded != override.excluded

    def change(self, hop: str) -> RouteSet | None:
        """The change of the route set after an override; None if the next hop isn't listed."""
        route = self.routes.get(hop)
        return None if route is None else RouteSet(0, False, (self._overridden(route),))

    def _overridden(self, route: Route) -> Route:
        override = self.overrides.get(route.hop)
        if override is not None and override.excluded and route.phase is Phase.SERVING:
            return replace(route, phase=Phase.DRAINING)
        excluded_at, included_at = self.included_again.get(route.hop, (0.0, 0.0))
        if not included_at or route.phase is not Phase.SERVING:
            return route
        if route.up_since is not None and route.up_since >= excluded_at:
            del self.included_again[route.hop]  # discovery has reported the restart
            return route
        # It may have been restarted while excluded, which discovery reports late: assume that it is cold.
        return replace(route, up_since=included_at)

    def _remember_id(self, hop: str) -> None:
        self.known_ids[hop] = None
        self.known_ids.move_to_end(hop)
        if len(self.known_ids) > MAX_KNOWN_IDS:
            self.known_ids.popitem(last=False)
