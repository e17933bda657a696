"""Drives the decision module: its clock, its timers, events in and actions out."""

from __future__ import annotations

import time
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from hoistfold import interface as i
from hoistfold.brain import Gateway
from standflow.exchange import (
    AbandonReason,
    Branch,
    Exchange,
    Outcome,
    Phase,
    Result,
    Route,
    RouteSet,
    Transaction,
)
from standflow.net.loop import Loop
from standflow.start_times import StartTimes

if TYPE_CHECKING:
    from standflow.fleet.snapshot import Snapshot

OUTCOMES = {outcome: i.Outcome(outcome.value) for outcome in Outcome}
PHASES = {
    Phase.SERVING: i.Availability.ACTIVE,
    Phase.DRAINING: i.Availability.DRAINING,
    Phase.GONE: i.Availability.GONE,
}


class Driver:
    """Hands the module one event at a time and carries out what it decides, in its order."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        settings: i.Settings,
        seed: int,
        exchange: Exchange,
        probe: Callable[[str, Callable[[Result], None]], None],
        close_idle: Callable[[str], None],
        send_to_peer: Callable[[int | None, bytes], None],
        fetch_routes: Callable[[], None],
    ) -> None:
        self.loop, self.log, self.settings, self.exchange = loop, log, settings, exchange
        self.probe, self.close_idle, self.send_to_peer, self.fetch_routes = (
            probe,
            close_idle,
            send_to_peer,
            fetch_routes,
        )
        # One offset for the whole run: steps of the wall clock must not reach the module.
        self.clock_offset = time.time() - time.monotonic()
        self.start_times = StartTimes()
        self.module = Gateway(settings, seed)
        # key, size, place, count, level, fullness: where a second witness takes notes, it stands here
        self.report_use: Callable[[bytes, int, int, int, float, float], None] = lambda *note: None
        self.count: Callable[[int, float, float], None] = self._no_counter  # name, amount, life of a new one
        self.exported_counts: dict[bytes, int] = {}  # counts of own use when they were exported
        self.events: deque[tuple[i.Event, Transaction | None]] = deque()
        self.dispatching = False
        self.handled_at = loop.now()  # when the event in hand was told, of the loop's clock
        self.handlers: dict[type[i.Action], Callable[[Any], object]] = {
            i.Send: lambda action: self.exchange.send(action.request, action.backend, action.timeout),
            i.Cancel: lambda action: self.exchange.cancel(action.request, action.attempt),
            i.Refuse: self._refuse,
            i.Fail: lambda action: self.exchange.fail(action.request),
            i.SetTimer: self._set_timer,
            i.TellPeer: lambda action: self.send_to_peer(action.peer, action.content),
            i.Probe: self._probe,
            i.CloseIdle: lambda action: self.close_idle(action.backend),
            i.Count: lambda action: self.count(action.name, action.amount, action.lifetime),
            i.FetchList: lambda action: self.fetch_routes(),
            i.Subscribe: lambda action: None,  # the watch stands from the start
            i.Log: lambda action: self.log(f"module: {action.text}"),
            i.UseNoted: lambda action: self.report_use(
                action.key, action.size, action.place, action.count, action.level, action.fullness
            ),
        }

    def start(self, saved: RouteSet | None) -> None:
        """Begins the module's life: what it knew last comes first, stale as it may be."""
        self.dispatch(i.Started())
        if saved is not None:
            self.routes_updated(saved, saved=True)

    def dispatch(self, event: i.Event, transaction: Transaction | None = None) -> None:
        """Events that come up while actions are carried out wait their turn."""
        self.events.append((event, transaction))
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.events:
                self._handle(*self.events.popleft())
        finally:
            self.dispatching = False

    def _handle(self, event: i.Event, transaction: Transaction | None) -> None:
        # The process may be held up at any point: what the module reckons with is one reading of the clock.
        self.handled_at = self.loop.now()
        if isinstance(event, i.RequestArrived) and transaction is not None:
            event = replace(event, time_left=transaction.deadline - self.handled_at)
        try:
            actions = self.module.handle(self.handled_at + self.clock_offset, event)
        except Exception:
            # The ingress stays up: the transaction in hand is answered, the others go on.
            name = type(event).__name__
            self.log(f"fault of the module on {name}: " + traceback.format_exc().replace("\n", " | "))
            if transaction is not None:
                self.exchange.abandon(transaction, AbandonReason.FAULT)
                if not isinstance(event, i.RequestGone):  # what the module may still hold of it is over
                    self.events.append((i.RequestGone(transaction.name), None))
            return
        for action in actions:
            try:
                self.handlers[type(action)](action)
            except Exception:
                self.log(f"fault of {action}: " + traceback.format_exc().replace("\n", " | "))

    # Events.

    def transaction_opened(self, transaction: Transaction) -> None:
        """RequestArrived, with the time that is left now."""
        request = transaction.request
        event = i.RequestArrived(
            request=transaction.name,
            class_name=request.class_name,
            plan=request.plan,
            customer=request.tenant,
            time_left=transaction.deadline - self.loop.now(),
            units=request.units,
            ring_size=request.ring_size,
            ring_first=request.ring_first,
        )
        self.dispatch(event, transaction)

    def transaction_gone(self, transaction: Transaction) -> None:
        """RequestGone."""
        self.dispatch(i.RequestGone(transaction.name))

    def stream_started(self, branch: Branch, latency: float) -> None:
        """StreamStarted."""
        self.dispatch(i.StreamStarted(branch.transaction.name, branch.number, branch.hop, latency))

    def branch_ended(self, branch: Branch, result: Result, latency: float, finished: bool) -> None:
        """AttemptEnded; late ones are told as well."""
        event = i.AttemptEnded(
            request=branch.transaction.name,
            backend=branch.hop,
            attempt=branch.number,
            latency=latency,
            outcome=OUTCOMES[result.outcome],
            finished=finished,
            true_units=0.0,
            used_percent=result.used_percent,
            report=self._report(result),
        )
        self.dispatch(event, branch.transaction)

    def routes_updated(self, routes: RouteSet, saved: bool = False) -> None:
        """BackendsListed."""
        whole = i.ListKind.SAVED if saved else i.ListKind.FULL
        now, wall = self.loop.now() + self.clock_offset, time.time()
        if routes.complete:
            self.start_times.keep_only({route.hop for route in routes.routes})
        entries = tuple(self._entry(route, now, wall) for route in routes.routes)
        self.dispatch(i.BackendsListed(whole if routes.complete else i.ListKind.CHANGES, entries))

    def _entry(self, route: Route, now: float, wall: float) -> i.BackendEntry:
        if route.phase is Phase.GONE:
            self.start_times.forget(route.hop)
        up = route.up_since
        started = None if up is None else self.start_times.start_time(route.hop, up, now, wall)
        phase = PHASES[route.phase]
        return i.BackendEntry(route.hop, route.zone, route.kind, route.cell, phase, route.size, started)

    def reconfigure(self, settings: i.Settings) -> None:
        """Retuned."""
        self.settings = settings
        self.dispatch(i.Retuned(settings))

    def use_observed(self, key: bytes, place: int, count: int, level: float) -> None:
        """UseWitnessed."""
        self.dispatch(i.UseWitnessed(key, place, count, level))

    def membership_changed(self, seen: Snapshot) -> None:
        """FleetSeen."""
        event = i.FleetSeen(seen.alive, seen.missing, seen.has_quorum, seen.among, seen.returned)
        self.dispatch(event)

    def peers_last_seen(self) -> list[float]:
        """When a sound message of each other ingress came last, of the loop's clock."""
        return [peer.heard - self.clock_offset for peer in self.module.peers.values()]

    def export_state(self) -> dict[str, Any]:
        """What the module knows, for another process of this ingress."""
        from hoistfold import handover

        told = handover.export(self.module) | {"offset": self.clock_offset}
        self.exported_counts = handover.counts(self.module)
        return told

    def import_state(self, told: dict[str, Any]) -> None:
        """Takes in what another process's module knew; ValueError, KeyError or TypeError where it can't."""
        from hoistfold import handover

        # Both read one monotonic clock; their offsets differ where the wall clock was stepped between starts.
        handover.absorb(self.module, told, self.clock_offset - float(told.get("offset", self.clock_offset)))
        self.exported_counts = handover.counts(self.module)

    def spent(self) -> list[list[Any]]:
        """Use since `export` or `absorb`, without what `add` took in."""
        from hoistfold import handover

        return handover.spent(self.module, self.exported_counts)

    def add(self, use: list[Any]) -> None:
        """Use by another process of this ingress, a row of its `spent`."""
        from hoistfold import handover

        handover.add(self.module, self.loop.now() + self.clock_offset, *use)
        key, more = bytes.fromhex(use[0]), use[4]
        self.exported_counts[key] = (
            self.exported_counts.get(key, 0) + more
        ) & 0xFFFF  # the other process knows of it

    def resume(self) -> None:
        """The other process is gone."""
        from hoistfold import handover

        handover.resume(self.module)

    def used_since(self, since: float) -> list[list[Any]]:
        """Windows used since then, of the loop's clock."""
        from hoistfold import handover

        return handover.used(self.module, since + self.clock_offset)

    def restore_use(self, rows: list[list[Any]]) -> None:
        """Windows that an earlier life may have spent."""
        from hoistfold import handover

        handover.refill(self.module, self.loop.now() + self.clock_offset, rows)

    def learnt(self) -> dict[str, Any]:
        """What the module learnt, as a hint for a later life."""
        from hoistfold import handover

        return handover.learnt(self.module)

    def learn(self, told: dict[str, Any]) -> None:
        """Takes such a hint in."""
        from hoistfold import handover

        handover.learn(self.module, self.loop.now() + self.clock_offset, told)

    def ejected(self) -> set[str]:
        """The next hops that the module avoids now."""
        return self.module.avoided()

    def peer_message_received(self, sender: int, content: bytes) -> None:
        """PeerMessage."""
        self.dispatch(i.PeerMessage(sender, content))

    def _timer_fired(self, handle: int) -> None:
        self.dispatch(i.TimerFired(handle))

    def _report(self, result: Result) -> tuple[float, ...]:
        fields = self.settings.report_fields
        return tuple(result.report.get(name, 0.0) for name in fields) if result.report else ()

    # Actions.

    def _set_timer(self, action: i.SetTimer) -> None:
        """The delay counts from when the module was told, not from when its answer is carried out."""
        self.loop.call_at(self.handled_at + max(0.0, action.delay), self._timer_fired, action.handle)

    def _refuse(self, action: i.Refuse) -> None:
        self.exchange.tally(f"refused.{action.reason or 'other'}")
        self.exchange.refuse(action.request, action.retry_after)

    def _probe(self, action: i.Probe) -> None:
        began = self.loop.now()

        def ended(result: Result) -> None:
            outcome, latency = OUTCOMES[result.outcome], self.loop.now() - began
            self.dispatch(i.ProbeEnded(action.backend, outcome, latency, self._report(result)))

        self.probe(action.backend, ended)

    def count_answered(self, name: int, outcome: Outcome, total: float, took: float) -> None:
        """CountAnswered."""
        self.dispatch(i.CountAnswered(name, OUTCOMES[outcome], total, took))

    def _no_counter(self, name: int, amount: float, life: float) -> None:
        """Nobody was given the calls: this one was never made."""
        self.log(f"driver: count {name} has no client and was not made")
        self.count_answered(name, Outcome.CONNECT_FAILED, 0.0, 0.0)
