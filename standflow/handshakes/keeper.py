"""Carries the limits on handshakes out: opens connections ahead, shows what is ready, replaces the old."""

from __future__ import annotations

import time
from collections.abc import Callable

from standflow.exchange import Outcome, Phase, Route, RouteSet
from standflow.handshakes.limits import Answer, Limits
from standflow.handshakes.showing import Showing
from standflow.net.backend_connection import Connection
from standflow.net.loop import Loop, Timer
from standflow.net.nexthop import LOCAL_REASONS, NextHops
from standflow.net.stream import Stream
from standflow.start_times import StartTimes

SOONEST = 0.002  # seconds between two looks at the same next hop
NO_ROOM = 0.1  # seconds until the next look where no connection can be opened from here
REPLACE_EVERY = 0.05  # seconds between looks for connections on old material


class Keeper:
    """Stands between the route set, the pools of connections and the driver.

    It is the Admission of backend_connection.py.
    """

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        limits: Limits,
        next_hops: NextHops,
        show: Callable[[RouteSet], None],
        ready: int,
        resumable: Callable[[Route], bool] = lambda route: False,
        forget: Callable[[str], None] = lambda hop: None,
    ) -> None:
        """`ready`: connections that a next hop must have before it is shown. `resumable` and `forget` are of
        the store of sessions.
        """
        self.loop, self.log, self.limits, self.next_hops = loop, log, limits, next_hops
        self.show, self.want_ready, self.resumable, self.forget = show, ready, resumable, forget
        self.showing = Showing()
        self.starts = StartTimes()
        self.wanted: set[str] = set()  # a branch found no connection, and none could be opened for it
        self.timers: dict[str, Timer] = {}
        self.generation = 1
        self.offset = time.time() - time.monotonic()  # one for the whole run, as the driver's
        self.denied = self.opened_ahead = 0
        next_hops.admission = self

    # Route sets.

    def routes_told(self, routes: RouteSet) -> None:
        """Takes in what discovery says; what may be shown goes on to the driver at once."""
        now, wall = self.loop.now(), time.time()
        before = set(self.showing.known)
        passed = self.showing.told(routes, now + self.offset)
        self.next_hops.update_routes(routes)
        for hop, known in self.showing.known.items():
            self.limits.told(hop, known.route.kind, self._started(known.route, now, wall), now)
        for hop in before - set(self.showing.known):
            self.limits.gone(hop)
            self.starts.forget(hop)
            self.forget(hop)
            self.wanted.discard(hop)
        if passed.routes or passed.complete:
            self.show(passed)
        for route in self.showing.waiting():
            self._look(route.hop)

    def _started(self, route: Route, now: float, wall: float) -> float | None:
        """When a next hop started, of the loop's clock; `wall`: Unix time at `now`. None: long ago."""
        if route.up_since is None:
            return None
        return self.starts.started(route.hop, route.up_since, now + self.offset, wall) - self.offset

    # Admission: what NextHops asks before it dials, and tells after.

    def refusal(self, hop: str) -> Outcome | None:
        """None where a branch may dial now, else how it ends: moot, or failed where the next hop does."""
        answer = self._ask(hop)
        if answer is Answer.GO:
            return None
        self.denied += 1
        self.wanted.add(hop)
        self._look(hop)
        return Outcome.CONNECT_FAILED if answer is Answer.FAILING else Outcome.MOOT

    def dial_started(self, hop: str, stream: Stream) -> None:
        """A connection is dialled."""
        self.limits.began(hop, _offered(stream), self.loop.now())

    def opened(self, connection: Connection, reason: str | None) -> None:
        """How it went: empty, the reason of the failure, or None: it was given up from here."""
        hop, stream = connection.hop.route.hop, connection.stream
        now, offered, figures = self.loop.now(), _offered(stream), stream.handshake
        if reason is None:
            self.limits.given_up(hop, offered)
        elif reason:
            self.limits.failed(hop, offered, now)
        elif figures is None:
            self.limits.succeeded(hop, offered, offered, 0.0, 0.0, now)
        else:
            self.limits.succeeded(
                hop, offered, figures.resumed, figures.wait_seconds, figures.round_trip, now
            )
        # Not at once: a failed connection is still counted, and one that rests has yet to replace an old one.
        self.loop.call_later(0.0, self._look, hop)

    def idle_ahead(self, connection: Connection) -> None:
        """A connection opened ahead is idle now: its next hop may be ready, or an old connection may go."""
        hop = connection.hop
        if len(hop.idle) >= self.want_ready and (shown := self.showing.ready(hop.route.hop)) is not None:
            self.log(f"handshakes: next hop {hop.route.hop} is ready and shown")
            self.show(shown)
        if connection.stream.generation == self.generation:
            old = next((one for one in hop.idle if one.stream.generation != self.generation), None)
            if old is not None:
                self.next_hops.end(old, "rotated")

    def closed(self, connection: Connection) -> None:
        """A connection has ended; the last one lost throws doubt on its next hop."""
        hop = connection.hop
        if connection.reason not in LOCAL_REASONS and not any(one.established for one in hop.connections):
            self.limits.lost(hop.route.hop, self.loop.now())

    def _ask(self, hop: str) -> Answer:
        known = self.showing.known.get(hop)
        if known is None:
            return Answer.LATER
        return self.limits.ask(hop, self.resumable(known.route), self.loop.now())

    def _look(self, hop: str) -> None:
        """Opens a connection ahead where one is wanted and allowed; else looks again when it may be."""
        timer = self.timers.pop(hop, None)
        if timer is not None:
            timer.cancel()
        known = self.showing.known.get(hop)
        if known is None or known.route.phase is not Phase.SERVING:
            return
        waiting = not known.shown and not self.next_hops.has_idle(hop, self.want_ready)
        if not waiting and hop not in self.wanted and not self._old(hop):
            return
        now = self.loop.now()
        if self._ask(hop) is Answer.GO:
            self.wanted.discard(hop)
            if not self.next_hops.open_ahead(hop):
                self.timers[hop] = self.loop.call_later(NO_ROOM, self._look, hop)
                return
            self.opened_ahead += 1
            if not waiting or self.next_hops.has_idle(hop, self.want_ready):
                return  # how it ends brings the next look
            now = self.loop.now()
        when = self.limits.when(hop, self.resumable(known.route), now)
        self.timers[hop] = self.loop.call_at(max(when, now + SOONEST), self._look, hop)

    # Replacement.

    def replace(self, generation: int) -> None:
        """Material of another generation is in use: connections on the one before are replaced in turn."""
        self.generation = generation
        self._replace()

    def _old(self, hop: str) -> bool:
        """Every next hop that holds idle connections on old material replaces one at a time.

        One that is on its way up ahead of any branch is waited for, however long its handshake takes.
        """
        held = self.next_hops.hops.get(hop)
        if held is None or any(not one.established and one.pending is None for one in held.connections):
            return False
        return any(one.stream.generation != self.generation for one in held.idle)

    def _replace(self) -> None:
        left = False
        for hop, held in self.next_hops.hops.items():
            if any(one.stream.generation != self.generation for one in held.connections):
                left = True
                if hop not in self.timers and self._old(hop):
                    self._look(hop)
        if left:
            self.loop.call_later(REPLACE_EVERY, self._replace)


def _offered(stream: Stream) -> bool:
    return stream.handshake is not None and stream.handshake.session_offered
