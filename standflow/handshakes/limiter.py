"""Applies handshake limits: opens connections in advance, publishes ready next hops, replaces connections."""

from __future__ import annotations

import time
from collections.abc import Callable

from standflow.handshakes.limits import Decision, Limits
from standflow.handshakes.visible_routes import VisibleRoutes
from standflow.isolation import run_for_each
from standflow.messages import Outcome
from standflow.net.backend_connection import Connection
from standflow.net.loop import Loop, Timer
from standflow.net.nexthop import LOCAL_REASONS, NextHops, RoutesNotAppliedError
from standflow.net.stream import Stream
from standflow.route_set import Phase, Route, RouteSet
from standflow.start_times import StartTimes

MIN_CHECK_INTERVAL_SECONDS = 0.002  # between two checks of the same next hop
NO_CAPACITY_RETRY_SECONDS = 0.1  # while this ingress can't open a connection
REPLACE_INTERVAL_SECONDS = 0.05  # between searches for connections with old TLS material


class HandshakeLimiter:
    """Sits between the route set, the connection pools and the driver; implements `Admission`."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        limits: Limits,
        next_hops: NextHops,
        publish: Callable[[RouteSet], None],
        ready: int,
        resumable: Callable[[Route], bool] = lambda route: False,
        forget: Callable[[str], None] = lambda hop: None,
    ) -> None:
        """`ready`: connections that a next hop needs before it is published. `resumable` and `forget` access
        the TLS session store.
        """
        self.loop, self.log, self.limits, self.next_hops = loop, log, limits, next_hops
        self.publish, self.min_ready, self.resumable, self.forget = publish, ready, resumable, forget
        self.visible_routes = VisibleRoutes()
        self.starts = StartTimes()
        self.wanted: set[str] = set()  # next hops for which an attempt was refused a connection
        self.timers: dict[str, Timer] = {}
        self.generation = 1
        self.offset = time.time() - time.monotonic()  # fixed for the process run, as in the driver
        self.denied = self.opened_ahead = 0
        next_hops.admission = self

    # Route sets.

    def update_routes(self, routes: RouteSet) -> None:
        """Applies a report of discovery and publishes the visible part to the driver at once."""
        now, unix_time = self.loop.now(), time.time()
        before = set(self.visible_routes.entries)
        visible = self.visible_routes.update(routes, now + self.offset)
        try:
            self.next_hops.update_routes(routes)
        finally:  # also if a part of it could not be applied
            self._publish_changes(before, visible, now, unix_time)

    def _publish_changes(self, before: set[str], visible: RouteSet, now: float, unix_time: float) -> None:
        """Applies a report to the limits and passes on its visible part. `before`: next hops known before.

        A fault with one next hop is reported after the others, as in NextHops.update_routes.
        """
        entries, log = self.visible_routes.entries, self.log
        listed = [entry.route for entry in entries.values()]
        applied = run_for_each(log, listed, lambda route: self._update_limits(route, now, unix_time))
        applied = run_for_each(log, before - set(entries), self._forget_hop) and applied
        if visible.routes or visible.complete:
            self.publish(visible)
        run_for_each(log, self.visible_routes.awaiting_connection(), lambda route: self._check(route.hop))
        if not applied:
            raise RoutesNotAppliedError

    def _update_limits(self, route: Route, now: float, unix_time: float) -> None:
        self.limits.update_hop(route.hop, route.kind, self._started(route, now, unix_time), now)

    def _forget_hop(self, hop: str) -> None:
        """Drops everything on a next hop that is gone."""
        self.limits.remove(hop)
        self.starts.forget(hop)
        self.forget(hop)
        self.wanted.discard(hop)

    def _started(self, route: Route, now: float, unix_time: float) -> float | None:
        """When a next hop started, of the loop's clock; `unix_time`: Unix time at `now`. None: long ago."""
        if route.up_since is None:
            return None
        return self.starts.start_time(route.hop, route.up_since, now + self.offset, unix_time) - self.offset

    # Admission: called by NextHops before it dials and on events of connections.

    def refusal(self, hop: str) -> Outcome | None:
        """None if an attempt may dial now, else its outcome: CONNECT_FAILED during a back-off, or MOOT."""
        decision = self._decide(hop)
        if decision is Decision.ALLOW:
            return None
        self.denied += 1
        self.wanted.add(hop)
        self._check(hop)
        return Outcome.CONNECT_FAILED if decision is Decision.BACK_OFF else Outcome.MOOT

    def dial_started(self, hop: str, stream: Stream) -> None:
        """Records that a connection is being dialled."""
        self.limits.began(hop, _offered(stream), self.loop.now())

    def opened(self, connection: Connection, reason: str | None) -> None:
        """Records the result of dialling: empty for success, the reason of a failure, None if given up."""
        hop, stream = connection.hop.route.hop, connection.stream
        now, offered, handshake = self.loop.now(), _offered(stream), stream.handshake
        if reason is None:
            self.limits.given_up(hop, offered)
        elif reason:
            self.limits.failed(hop, offered, now)
        elif handshake is None:
            self.limits.succeeded(hop, offered, offered, 0.0, 0.0, now)
        else:
            self.limits.succeeded(
                hop, offered, handshake.resumed, handshake.wait_seconds, handshake.round_trip, now
            )
        # Deferred: a failed connection is still counted, and an idle one has not replaced an old one yet.
        self.loop.call_later(0.0, self._check, hop)

    def idle_ahead(self, connection: Connection) -> None:
        """A connection opened in advance is idle: publishes its next hop, and ends one that it replaces."""
        hop = connection.hop
        if (
            len(hop.idle) >= self.min_ready
            and (visible := self.visible_routes.mark_ready(hop.route.hop)) is not None
        ):
            self.log(f"handshakes: next hop {hop.route.hop} is ready and shown")
            self.publish(visible)
        if connection.stream.generation == self.generation:
            old = next((one for one in hop.idle if one.stream.generation != self.generation), None)
            if old is not None:
                self.next_hops.end(old, "rotated")

    def closed(self, connection: Connection) -> None:
        """A connection ended; the loss of the last one makes a restart of its next hop likely."""
        hop = connection.hop
        if connection.reason not in LOCAL_REASONS and not any(one.established for one in hop.connections):
            self.limits.connection_lost(hop.route.hop, self.loop.now())

    def _decide(self, hop: str) -> Decision:
        entry = self.visible_routes.entries.get(hop)
        if entry is None:
            return Decision.DEFER
        return self.limits.decide(hop, self.resumable(entry.route), self.loop.now())

    def _check(self, hop: str) -> None:
        """Opens a connection in advance if one is needed and allowed, else schedules the next check."""
        timer = self.timers.pop(hop, None)
        if timer is not None:
            timer.cancel()
        entry = self.visible_routes.entries.get(hop)
        if entry is None or entry.route.phase is not Phase.SERVING:
            return
        needs_ready = not entry.visible and not self.next_hops.has_idle(hop, self.min_ready)
        if not needs_ready and hop not in self.wanted and not self._needs_replacement(hop):
            return
        now = self.loop.now()
        if self._decide(hop) is Decision.ALLOW:
            self.wanted.discard(hop)
            if not self.next_hops.open_ahead(hop):
                self.timers[hop] = self.loop.call_later(NO_CAPACITY_RETRY_SECONDS, self._check, hop)
                return
            self.opened_ahead += 1
            if not needs_ready or self.next_hops.has_idle(hop, self.min_ready):
                return  # `opened` schedules the next check
            now = self.loop.now()
        next_attempt = self.limits.next_attempt(hop, self.resumable(entry.route), now)
        self.timers[hop] = self.loop.call_at(
            max(next_attempt, now + MIN_CHECK_INTERVAL_SECONDS), self._check, hop
        )

    # Replacement.

    def replace_connections(self, generation: int) -> None:
        """Replaces connections with TLS material of an older generation, one at a time per next hop."""
        self.generation = generation
        self._replace_old()

    def _needs_replacement(self, hop: str) -> bool:
        """True if a next hop has idle connections with old TLS material and no replacement is under way.

        A connection that is being opened in advance counts as replacement however long its handshake takes.
        """
        held = self.next_hops.hops.get(hop)
        if held is None or any(not one.established and one.pending is None for one in held.connections):
            return False
        return any(one.stream.generation != self.generation for one in held.idle)

    def _replace_old(self) -> None:
        """Begins what can be replaced now, and looks again until no connection is old.

        Opening a connection may end others where descriptors run out, and with them a next hop that is gone.
        """
        old = [
            hop
            for hop, held in self.next_hops.hops.items()
            if any(one.stream.generation != self.generation for one in held.connections)
        ]
        if old:
            self.loop.call_later(REPLACE_INTERVAL_SECONDS, self._replace_old)
        run_for_each(self.log, old, self._check_replacement)

    def _check_replacement(self, hop: str) -> None:
        if hop not in self.timers and self._needs_replacement(hop):
            self._check(hop)


def _offered(stream: Stream) -> bool:
    return stream.handshake is not None and stream.handshake.session_offered
