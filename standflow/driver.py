"""Drives the decision module: its clock, its timers, events in and actions out."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from hoistfold import interface as i
from hoistfold.gateway import Gateway
from standflow.exchange import AbandonReason, Attempt, Exchange, Transaction
from standflow.isolation import log_fault
from standflow.messages import Outcome, Result
from standflow.net.loop import Loop, Timer
from standflow.route_set import Phase, Route, RouteSet
from standflow.start_times import StartTimes

if TYPE_CHECKING:
    from standflow.fleet.snapshot import Snapshot

OUTCOMES = {outcome: i.Outcome(outcome.value) for outcome in Outcome}
PHASES = {
    Phase.SERVING: i.Availability.ACTIVE,
    Phase.DRAINING: i.Availability.DRAINING,
    Phase.GONE: i.Availability.REMOVED,
}


class Driver:
    """Passes events to the module one at a time and carries out the actions it returns, in order."""

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
        # Fixed for the whole run, so that steps of the wall clock don't reach the module.
        self.clock_offset = time.time() - time.monotonic()
        self.start_times = StartTimes()
        self.module = Gateway(settings, seed)
        # Arguments: key, ring size, ring index, count, level, total level. Set by counter reconciliation.
        self.report_use: Callable[[bytes, int, int, int, float, float], None] = lambda *note: None
        # Arguments: name, amount, lifetime of a new counter. Set where the counter service is called.
        self.count: Callable[[int, float, float], None] = self._no_counter
        self.exported_counts: dict[bytes, int] = {}  # the module's own use at the last export or import
        self.events: deque[tuple[i.Event, Transaction | None]] = deque()
        self.dispatching = False
        self.handled_at = loop.now()  # when the current event was passed to the module, on the loop's clock
        self.timers: dict[int, Timer] = {}  # the module's, by handle
        self.handlers: dict[type[i.Action], Callable[[Any], object]] = {
            i.Send: lambda action: self.exchange.send(action.request, action.backend, action.timeout),
            i.Cancel: lambda action: self.exchange.cancel(action.request, action.attempt),
            i.Refuse: self._refuse,
            i.Fail: lambda action: self.exchange.fail(action.request),
            i.SetTimer: self._set_timer,
            i.SendPeerMessage: lambda action: self.send_to_peer(action.peer, action.content),
            i.Probe: self._probe,
            i.CloseIdle: lambda action: self.close_idle(action.backend),
            i.AddToCounter: lambda action: self.count(action.name, action.amount, action.lifetime),
            i.FetchList: lambda action: self.fetch_routes(),
            i.Subscribe: lambda action: None,  # the watch runs from the start
            i.Log: lambda action: self.log(f"module: {action.text}"),
            i.UseReported: lambda action: self.report_use(
                action.tenant_key,
                action.ring_size,
                action.ring_index,
                action.count,
                action.level,
                action.total_level,
            ),
        }

    def start(self, saved: RouteSet | None) -> None:
        """Starts the module, first with the saved route set, which may be stale."""
        self.dispatch(i.Started())
        if saved is not None:
            self.routes_updated(saved, saved=True)

    def dispatch(self, event: i.Event, transaction: Transaction | None = None) -> None:
        """Handles an event; events caused by its actions are queued and handled after it."""
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
        # The process may be paused at any point, so everything is computed from one reading of the clock.
        self.handled_at = self.loop.now()
        if isinstance(event, i.RequestArrived) and transaction is not None:
            event = replace(event, time_left=transaction.deadline - self.handled_at)
        try:
            actions = self.module.handle(self.handled_at + self.clock_offset, event)
        except Exception:
            # The ingress keeps running: this transaction is answered, the others are not affected. What was
            # decided before the fault is part of the module's state: timers, and attempts of other requests.
            log_fault(self.log, f"of the module on {type(event).__name__}")
            self._carry_out(self.module.actions)
            self._cancel_timers()
            if transaction is not None:
                self.exchange.abandon(transaction, AbandonReason.FAULT)
                # The module drops what it still holds of the request.
                if not isinstance(event, i.RequestCancelled):
                    self.events.append((i.RequestCancelled(transaction.name), None))
            return
        self._carry_out(actions)
        self._cancel_timers()

    def _carry_out(self, actions: list[i.Action]) -> None:
        """Carries out actions in order; a fault in one of them is logged."""
        for action in actions:
            try:
                self.handlers[type(action)](action)
            except Exception:
                log_fault(self.log, f"of {action}")

    # Events.

    def transaction_opened(self, transaction: Transaction) -> None:
        """Passes RequestArrived with the time that is left now."""
        request = transaction.request
        event = i.RequestArrived(
            request=transaction.name,
            class_name=request.class_name,
            plan=request.plan,
            tenant=request.tenant,
            time_left=transaction.deadline - self.loop.now(),
            units=request.units,
            ring_size=request.ring_size,
            ring_first=request.ring_first,
        )
        self.dispatch(event, transaction)

    def transaction_gone(self, transaction: Transaction) -> None:
        """Passes RequestCancelled."""
        self.dispatch(i.RequestCancelled(transaction.name))

    def stream_started(self, attempt: Attempt, latency: float) -> None:
        """Passes StreamStarted."""
        self.dispatch(i.StreamStarted(attempt.transaction.name, attempt.number, attempt.hop, latency))

    def attempt_ended(self, attempt: Attempt, result: Result, latency: float, finished: bool) -> None:
        """Passes AttemptEnded, also after the transaction was answered."""
        event = i.AttemptEnded(
            request=attempt.transaction.name,
            backend=attempt.hop,
            attempt=attempt.number,
            latency=latency,
            outcome=OUTCOMES[result.outcome],
            finished=finished,
            true_units=0.0,
            used_percent=result.used_percent,
            report=self._report(result),
        )
        self.dispatch(event, attempt.transaction)

    def routes_updated(self, routes: RouteSet, saved: bool = False) -> None:
        """Passes BackendsListed."""
        complete_kind = i.ListKind.SAVED if saved else i.ListKind.FULL
        now, wall = self.loop.now() + self.clock_offset, time.time()
        if routes.complete:
            self.start_times.keep_only({route.hop for route in routes.routes})
        entries = tuple(self._entry(route, now, wall) for route in routes.routes)
        self.dispatch(i.BackendsListed(complete_kind if routes.complete else i.ListKind.CHANGES, entries))

    def _entry(self, route: Route, now: float, wall: float) -> i.BackendEntry:
        if route.phase is Phase.GONE:
            self.start_times.forget(route.hop)
        up = route.up_since
        started = None if up is None else self.start_times.start_time(route.hop, up, now, wall)
        phase = PHASES[route.phase]
        return i.BackendEntry(route.hop, route.zone, route.kind, route.cell, phase, route.size, started)

    def limit_tenants(self, number: int) -> None:
        """Sets how many tenants the module keeps the use of."""
        self.module.max_quotas = number

    def reconfigure(self, settings: i.Settings) -> None:
        """Passes SettingsChanged."""
        self.settings = settings
        self.dispatch(i.SettingsChanged(settings))

    def use_observed(self, key: bytes, ring_index: int, count: int, level: float) -> None:
        """Passes UseObserved."""
        self.dispatch(i.UseObserved(key, ring_index, count, level))

    def membership_changed(self, seen: Snapshot) -> None:
        """Passes MembershipChanged."""
        event = i.MembershipChanged(
            seen.alive, seen.unreachable, seen.has_quorum, seen.slow_start_members, seen.returned
        )
        self.dispatch(event)

    def peers_last_seen(self) -> list[float]:
        """When the last valid message of each other ingress arrived, on the loop's clock."""
        return [peer.last_seen - self.clock_offset for peer in self.module.peers.values()]

    def export_state(self) -> dict[str, Any]:
        """The module's state, for another process of this ingress."""
        from hoistfold import handover

        state = handover.export_state(self.module) | {"offset": self.clock_offset}
        self.exported_counts = handover.use_counts(self.module)
        return state

    def import_state(self, state: dict[str, Any]) -> None:
        """Takes over another process's state; ValueError, KeyError or TypeError if it is malformed."""
        from hoistfold import handover

        # Both processes read the same monotonic clock; their offsets differ if the wall clock was stepped
        # between their starts.
        handover.import_state(
            self.module, state, self.clock_offset - float(state.get("offset", self.clock_offset))
        )
        self.exported_counts = handover.use_counts(self.module)

    def spent(self) -> list[list[Any]]:
        """Use since `export_state` or `import_state`, without what `add` contributed."""
        from hoistfold import handover

        return handover.use_since(self.module, self.exported_counts)

    def add(self, use: list[Any]) -> None:
        """Adds use by another process of this ingress, a row of its `spent`."""
        from hoistfold import handover

        handover.add_use(self.module, self.loop.now() + self.clock_offset, *use)
        key, more = bytes.fromhex(use[0]), use[4]
        # The other process knows of it, so `spent` must not report it back.
        self.exported_counts[key] = (self.exported_counts.get(key, 0) + more) & 0xFFFF

    def resume(self) -> None:
        """The other process is dead: this one uses again what it handed over."""
        from hoistfold import handover

        handover.restore_cold_credit(self.module)

    def used_since(self, since: float) -> list[list[Any]]:
        """Quota windows used since a time of the loop's clock."""
        from hoistfold import handover

        return handover.used_windows(self.module, since + self.clock_offset)

    def restore_use(self, rows: list[list[Any]]) -> None:
        """Restores quota windows that an earlier process run may have spent."""
        from hoistfold import handover

        handover.restore_windows(self.module, self.loop.now() + self.clock_offset, rows)

    def learned_estimates(self) -> dict[str, Any]:
        """The module's learned estimates of backends and classes, as a hint for a later process run."""
        from hoistfold import handover

        return handover.export_estimates(self.module)

    def restore_learned_estimates(self, estimates: dict[str, Any]) -> None:
        """Takes over learned estimates of an earlier process run, as a hint."""
        from hoistfold import handover

        handover.import_estimates(self.module, self.loop.now() + self.clock_offset, estimates)

    def ejected(self) -> set[str]:
        """The next hops that outlier detection has ejected."""
        return self.module.ejected_backends()

    def peer_message_received(self, sender: int, content: bytes) -> None:
        """Passes PeerMessage."""
        self.dispatch(i.PeerMessage(sender, content))

    def _timer_fired(self, handle: int) -> None:
        self.timers.pop(handle, None)
        self.dispatch(i.TimerFired(handle))

    def _report(self, result: Result) -> tuple[float, ...]:
        fields = self.settings.report_fields
        return tuple(result.report.get(name, 0.0) for name in fields) if result.report else ()

    # Actions.

    def _set_timer(self, action: i.SetTimer) -> None:
        """The delay counts from the module's decision, not from when the action is carried out."""
        due = self.handled_at + max(0.0, action.delay)
        self.timers[action.handle] = self.loop.call_at(due, self._timer_fired, action.handle)

    def _cancel_timers(self) -> None:
        """Cancels timers that the module needs no more."""
        for handle in self.module.cancelled_timers:
            if (timer := self.timers.pop(handle, None)) is not None:
                timer.cancel()
        self.module.cancelled_timers = []

    def _refuse(self, action: i.Refuse) -> None:
        self.exchange.tally(f"refused.{action.reason or 'other'}")
        self.exchange.refuse(action.request, action.retry_after)

    def _probe(self, action: i.Probe) -> None:
        started_at = self.loop.now()

        def ended(result: Result) -> None:
            outcome, latency = OUTCOMES[result.outcome], self.loop.now() - started_at
            self.dispatch(i.ProbeEnded(action.backend, outcome, latency, self._report(result)))

        self.probe(action.backend, ended)

    def count_answered(self, name: int, outcome: Outcome, total: float, latency: float) -> None:
        """Passes CounterAnswered."""
        self.dispatch(i.CounterAnswered(name, OUTCOMES[outcome], total, latency))

    def _no_counter(self, name: int, amount: float, lifetime: float) -> None:
        """No counter client is attached: the call fails without being made."""
        self.log(f"driver: count {name} has no client and was not made")
        self.count_answered(name, Outcome.CONNECT_FAILED, 0.0, 0.0)
