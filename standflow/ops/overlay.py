"""Next hops taken out by hand, laid over the route set as told. No I/O; times are Unix time in seconds.

What discovery tells is kept as it is, so that putting a next hop back shows what is true then. One that is
out and would serve is shown as draining: the rule on drains does the rest.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from standflow.exchange import Phase, Route, RouteSet

MAX_EXCLUDED = 1000  # next hops out at once; one more is refused
MAX_KNOWN_IDS = 20_000  # ids remembered as listed at some time, the latest


@dataclass(slots=True)
class Override:
    """The last call about a next hop: out or back, and when. The later of two words holds."""

    excluded: bool
    at: float
    excluded_at: float = 0.0  # when it went out last; 0: never


class Overlay:
    """The route set as told, and what operators said of its next hops."""

    def __init__(self) -> None:
        self.routes: dict[str, Route] = {}
        self.known_ids: OrderedDict[str, None] = OrderedDict()
        self.overrides: OrderedDict[str, Override] = OrderedDict()  # the one said last is last
        # Back from being out, and nothing has told of the restart: when it went out, when it came back.
        self.included_again: dict[str, tuple[float, float]] = {}

    @property
    def excluded(self) -> set[str]:
        """The ids that are out, listed or not."""
        return {hop for hop, word in self.overrides.items() if word.excluded}

    def listed_excluded(self) -> set[str]:
        """Those of them that are listed."""
        return self.excluded & self.routes.keys()

    def apply(self, routes: RouteSet) -> RouteSet:
        """Takes in what discovery says; returns what the ingress is to go by."""
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
                hop: when for hop, when in self.included_again.items() if hop in self.routes
            }
        return replace(routes, routes=tuple(self._overridden(route) for route in routes.routes))

    def set_excluded(self, hop: str, out: bool, now: float) -> str:
        """A call, out or back; the fault is returned where it can't be done. `change` shows what follows."""
        word = self.overrides.get(hop)
        if hop not in self.known_ids and word is None:
            return f"{hop} was never listed"
        if out and not (word is not None and word.excluded) and len(self.excluded) >= MAX_EXCLUDED:
            return f"{MAX_EXCLUDED} next hops are out already"
        if word is None or word.excluded != out:
            # the clock may have been put back since the word before, which this one must follow
            now = now if word is None else max(now, word.at + 0.001)
            went = now if out else (0.0 if word is None else word.excluded_at)
            self.merge(hop, Override(out, now, went))
        return ""

    def merge(self, hop: str, word: Override) -> bool:
        """Takes a word in, also one that another process was told; false where a later one is known."""
        before = self.overrides.get(hop)
        if before is not None and before.at >= word.at:
            return False
        self.included_again.pop(hop, None)
        if word.excluded_at and not word.excluded:
            self.included_again[hop] = (word.excluded_at, word.at)
        self.overrides[hop] = word
        self.overrides.move_to_end(hop)
        while len(self.overrides) > 2 * MAX_EXCLUDED:  # words back are of no more use after a while
            back = next((name for name, one in self.overrides.items() if not one.excluded), None)
            if back is None:
                break
            del self.overrides[back]
        return before is None or before.excluded != word.excluded

    def change(self, hop: str) -> RouteSet | None:
        """What the ingress is to be told after a word on a next hop; None where it isn't listed."""
        route = self.routes.get(hop)
        return None if route is None else RouteSet(0, False, (self._overridden(route),))

    def _overridden(self, route: Route) -> Route:
        word = self.overrides.get(route.hop)
        if word is not None and word.excluded and route.phase is Phase.SERVING:
            return replace(route, phase=Phase.DRAINING)
        went, came = self.included_again.get(route.hop, (0.0, 0.0))
        if not came or route.phase is not Phase.SERVING:
            return route
        if route.up_since is not None and route.up_since >= went:
            del self.included_again[route.hop]  # discovery tells of the restart itself
            return route
        # It was restarted while it was out, and discovery's word of that is late: cold is the safe reading.
        return replace(route, up_since=came)

    def _remember_id(self, hop: str) -> None:
        self.known_ids[hop] = None
        self.known_ids.move_to_end(hop)
        if len(self.known_ids) > MAX_KNOWN_IDS:
            self.known_ids.popitem(last=False)
