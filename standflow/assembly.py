"""Assembles one ingress: creates its components and connects the optional subsystems.

A subsystem that the configuration leaves out is not imported. What a subsystem needs from the ingress is
declared as a set of callbacks next to it (see upgrade/handover.py, ops/operations.py and reloading.py).
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

from standflow.address_reuse import AddressOwners
from standflow.allocator import Allocator
from standflow.config import Config, ConfigError
from standflow.driver import Driver
from standflow.exchange import Exchange
from standflow.isolation import run_isolated
from standflow.net.client_side import ClientSide
from standflow.net.flow import FlowBudget
from standflow.net.loop import Loop
from standflow.net.nexthop import COOL_DOWN, NextHops
from standflow.net.peers import Peers
from standflow.net.routes import RouteWatch, read_routes, write_route
from standflow.net.watch_timing import MAX_BACK_OFF
from standflow.process_memory import MEASURE_SECONDS, REPORT_SECONDS, ProcessMemory
from standflow.reloading import ReloadCallbacks, Reloading
from standflow.route_set import Route, RouteSet
from standflow.shutdown import Shutdown, close_all
from standflow.tally import INTERVAL_SECONDS, Tally

if TYPE_CHECKING:
    from standflow.counter.ledger import RegisterReading
    from standflow.counter.quota_calls import QuotaCalls
    from standflow.counter.reconciliation import CounterReconciliation
    from standflow.fleet.member import Member
    from standflow.handshakes.limiter import HandshakeLimiter
    from standflow.ops.operations import Operations
    from standflow.recovery.ingress_state import StoredParts
    from standflow.recovery.trust import TrustedState
    from standflow.recovery.writer import StateStoreWriter
    from standflow.tls.streams import TlsStreams
    from standflow.upgrade.handover import Handover

# How long a restarted ingress waits for discovery, as its saved list may be stale.
READY_TIMEOUT_SECONDS = 0.25
TENANTS_SHARE = 0.25  # of the usable memory, for the use of tenants
TENANT_BYTES = 2048  # of one tenant's state, about
IDS_SHARE = 0.05  # of the usable memory, for ids of requests that may have run
ID_BYTES = 256  # of one id with its entry, about
DEFAULT_RETRY_AFTER_SECONDS = 0.1  # advised to clients that are refused without a decision of the module


@contextmanager
def blamed_on(key: str) -> Iterator[None]:
    """Reports an address that can't be bound as an error of its configuration key."""
    try:
        yield
    except OSError as error:
        raise ConfigError(f"{key}: {error.strerror}") from None


class Ingress:
    """The connected components of one ingress."""

    def __init__(self, config: Config, loop: Loop, log: Callable[[str], None]) -> None:
        self.config, self.loop, self.log = config, loop, log
        settings = config.settings
        self.tally = Tally(loop, log)
        self.memory = ProcessMemory(config.memory, loop.now, log, trim=Allocator().trim)
        default_retry_after = (
            min(DEFAULT_RETRY_AFTER_SECONDS, settings.max_retry_after) if settings.retry_after else None
        )
        self.exchange = Exchange(
            loop,
            log,
            config.classes,
            config.plans,
            settings.max_attempts,
            config.max_open,
            default_retry_after,
            settings.gateways,
            settings.number,
            settings.max_units,
            self.tally,
            self.tally.attempt,
            settings.tick,
        )
        self.tls = self._make_tls()
        make: dict[str, Any] = {} if self.tls is None else {"make_stream": self.tls.make}
        self.next_hops = NextHops(
            loop,
            log,
            self.exchange,
            config.dial_timeout,
            config.idle_limit,
            config.drain_grace,
            config.max_connections,
            flows=FlowBudget(config.max_flow_bytes),
            cool_down=COOL_DOWN,
            **make,
        )
        self.exchange.next_hops = self.next_hops
        self.tally.open = self.next_hops.open_connections
        self.routes: RouteWatch | None = None
        if config.discovery is not None:
            self.routes = RouteWatch(
                loop,
                log,
                config.discovery,
                config.zones,
                config.initial_routes.revision if config.initial_routes else None,
                self._routes_updated,
                random.Random(config.seed),
                self.tally,
                # With pushed discovery the drain grace starts when the agent has the list, so the back-off
                # must stay below the grace.
                min(MAX_BACK_OFF, config.drain_grace / 2) if settings.pushed_discovery else MAX_BACK_OFF,
            )
        self.peers: Peers | None = None
        self.driver = Driver(
            loop,
            log,
            settings,
            config.seed,
            self.exchange,
            probe=self.next_hops.probe,
            close_idle=self.next_hops.close_idle,
            send_to_peer=self._send_to_peer,
            fetch_routes=self._fetch_routes,
        )
        self.exchange.decisions = self.driver
        self.handshake_limiter = self._make_handshake_limiter()
        self.counter_reconciliation = self._make_counter_reconciliation()
        self.counter_calls = self._make_counter_calls()
        self.sends_to_peers = True  # only one of two processes of an ingress does
        self.fleet_member: Member | None = None
        self.restored: TrustedState | None = None  # what the store held at the start
        if config.passed_fd is None:
            self._listen_to_peers()
        with blamed_on("listen" if config.passed_fd is None else "EDGE_PASSED_SOCKET"):
            self.clients = ClientSide(
                loop,
                log,
                self.exchange,
                config.listen,
                config.max_clients,
                config.max_client_bytes,
                config.passed_fd,
                config.max_body_bytes,
                config.max_value_bytes,
                self.memory,
            )
        self.shutdown = Shutdown(loop, log, self.clients, self.exchange, self._save)
        self.reloading = self._make_reloading()
        self.address_owners = AddressOwners()
        self.routes_received = False  # from discovery, since the start
        self.ops = self._make_ops()
        self.handover = self._make_handover()
        self.store = self._make_store()

    def _listen_to_peers(self) -> None:
        config = self.config
        if config.peer_listen is not None:
            with blamed_on("peer_listen"):
                self.peers = Peers(
                    self.loop,
                    self.log,
                    config.peer_listen,
                    config.peers,
                    config.peers_all,
                    config.settings.number,
                    self.driver.peer_message_received,
                    self.tally,
                    shared=config.passed_fd is not None,
                    accept_unlisted=config.fleet is not None and bool(config.fleet.seeds),
                )
            self.fleet_member = self._make_fleet_member(self.peers)

    def _make_fleet_member(self, peers: Peers) -> Member | None:
        """This ingress as a member of the fleet, if membership is configured."""
        config = self.config
        if config.fleet is None:
            return None
        from standflow.fleet.member import Member, MemberCallbacks
        from standflow.fleet.snapshot import Snapshot

        def send(to: int | tuple[str, int], content: bytes) -> None:
            if self.sends_to_peers:
                peers.send_message(to, content) if isinstance(to, int) else peers.send_to_address(to, content)

        def membership_changed(snapshot: Snapshot) -> None:
            self.driver.membership_changed(snapshot)
            if self.handshake_limiter is not None:
                self.handshake_limiter.limits.sharers = len(snapshot.slow_start_members)

        callbacks = MemberCallbacks(
            send=send, address_learned=peers.assign_address, membership_changed=membership_changed
        )
        settings, rng = config.settings, random.Random(config.seed + 2)
        fleet, position = config.fleet, (settings.number, settings.gateways)
        member = Member(
            self.loop, self.log, fleet.name, *position, peers.address, fleet.seeds, rng, callbacks
        )
        if self.restored is not None:
            run_isolated(self.log, member.restore_members, self.restored.members)
        peers.handle_membership, peers.on_received = member.receive, member.note_ring_datagram
        member.is_active = self.sends_to_peers
        return member

    def _make_handover(self) -> Handover | None:
        """The handover between processes of this ingress, if the platform passes the listening socket in."""
        if self.config.passed_fd is None or self.config.handover_folder is None:
            return None
        from standflow.upgrade.handover import Handover, HandoverCallbacks

        driver, clients, ops = self.driver, self.clients, self.ops
        callbacks = HandoverCallbacks(
            export_state=driver.export_state,
            import_state=driver.import_state,
            spent=driver.spent,
            add=driver.add,
            resume=driver.resume,
            set_peer_sending=self._set_peer_sending,
            share_limits=self._share_limits,
            routes=lambda: [write_route(route) for route in self._discovered_routes()],
            import_routes=self._import_routes,
            overlay=None if ops is None else ops.overlay,
            override_changed=lambda hop: None if ops is None else ops.override_changed(hop),
            evacuated=lambda: (clients.evacuated, clients.evacuated_at),
            evacuate=clients.evacuate,
            executed_ids=self.exchange.executed_ids,
        )
        return Handover(self.loop, self.log, self.config.handover_folder, self.config.name, callbacks)

    def _make_store(self) -> StateStoreWriter | None:
        """The writer of state that survives a power loss, if the operator's file sets a folder for it."""
        if self.config.store is None:
            return None
        from standflow.recovery.ingress_state import make_writer

        return make_writer(self.loop, self.log, self.config, self.config.store, self._stored_parts())

    def _stored_parts(self) -> StoredParts:
        from standflow.recovery.ingress_state import StoredParts

        return StoredParts(
            driver=self.driver,
            clients=self.clients,
            overlay=None if self.ops is None else self.ops.overlay,
            routes=lambda: [write_route(route) for route in self._discovered_routes()],
            members=lambda: None if self.fleet_member is None else self.fleet_member.counted_members(),
        )

    def _load_store(self) -> TrustedState | None:
        """Loads the store, and applies the operators' overrides and the evacuation found in it."""
        if self.store is None:
            return None
        from standflow.recovery.ingress_state import load_state

        self.restored = restored = load_state(self.store, self.config, self._stored_parts())
        if self.fleet_member is not None:
            run_isolated(self.log, self.fleet_member.restore_members, restored.members)
        return restored

    def _discovered_routes(self) -> list[Route]:
        """The route set as discovery reported it; operators' overrides are handed over separately."""
        if self.ops is not None:
            return list(self.ops.overlay.routes.values())
        return [hop.route for hop in self.next_hops.hops.values()]

    def _import_routes(self, members: list[Any]) -> None:
        """Applies the previous process's route set unless discovery has already sent one to this process."""
        if not self.routes_received and members:
            raw = {"revision": 0, "complete": True, "members": members}
            routes = read_routes(raw, self.config.zones, self.log)
            self._apply_routes(routes if self.ops is None else self.ops.overlay.apply(routes))

    def _set_peer_sending(self, enabled: bool) -> None:
        self.sends_to_peers = enabled
        if self.fleet_member is not None:
            self.fleet_member.is_active = enabled

    def _share_limits(self, shared: bool) -> None:
        """Halves the limits on descriptors and memory while another process of this ingress uses them too."""
        config, processes = self.config, 2 if shared else 1
        self.next_hops.max_connections = config.max_connections // processes
        self.next_hops.flows.resize(config.max_flow_bytes // processes)
        self.memory.resize(config.memory // processes)
        self.clients.client_memory.resize(config.max_client_bytes // processes)
        self.clients.command_budget.resize(config.max_value_bytes // processes)
        self.clients.body_budget.resize(config.max_body_bytes // processes)
        self.clients.value_budget.resize(config.max_value_bytes // processes)

    def _make_reloading(self) -> Reloading:
        routes, tls, calls = self.routes, self.tls, self.counter_reconciliation or self.counter_calls
        callbacks = ReloadCallbacks(
            move_discovery=None if routes is None else routes.move,
            move_counter=None if calls is None else calls.client.switch_address,
            reload_tls=None if tls is None else tls.reload,
        )
        return Reloading(self.loop, self.log, self.config, self.exchange, self.driver, callbacks)

    def _make_ops(self) -> Operations | None:
        """The operators' HTTP calls, if an address is configured for them."""
        config = self.config
        if config.ops is None:
            return None
        from standflow.ops.figures import Counts
        from standflow.ops.operations import Operations, OperationsCallbacks

        callbacks = OperationsCallbacks(
            ready=lambda: self.clients.ready,
            stopping=lambda: self.shutdown.begun,
            counts=lambda: Counts(
                by_class=self.exchange.counts,
                forwards=self.next_hops.forwards,
                outstanding=self.exchange.open_count,
                sighup_applied=self.reloading.applied,
                sighup_rejected=self.reloading.rejected,
            ),
            ejected=self.driver.ejected,
            evacuated=lambda: self.clients.evacuated,
            evacuate=self.clients.evacuate,
            apply_routes=self._apply_routes,
            fleet=lambda: None if self.fleet_member is None else self.fleet_member.metrics(),
            recovery=lambda: None if self.store is None else self.store.metrics(),
            state_changed=self._operator_state_changed,
        )
        with blamed_on("ops"):
            return Operations(self.loop, self.log, config.ops, config.name, callbacks)

    def _operator_state_changed(self) -> None:
        """Saves what operators changed, for other processes of this ingress and for the next start."""
        if self.handover is not None:
            run_isolated(self.log, self.handover.write)
        if self.store is not None:
            self.store.write_operator_records()

    def _make_tls(self) -> TlsStreams | None:
        """TLS is imported only if the operator's file has a `tls` block."""
        if self.config.tls is None:
            return None
        try:
            from standflow.tls.material import MaterialError
            from standflow.tls.streams import TlsStreams
        except ImportError as error:
            raise ConfigError(f"tls: needs the package {error.name}: pip install 'standflow[tls]'") from None
        try:
            return TlsStreams(self.loop, self.log, self.config.tls)
        except MaterialError as error:
            raise ConfigError(f"tls: {error}") from None

    def _make_handshake_limiter(self) -> HandshakeLimiter | None:
        """The handshake limiter, if it is configured."""
        options, settings, tls = self.config.handshakes, self.config.settings, self.tls
        if options is None:
            return None
        from standflow.handshakes.limiter import HandshakeLimiter
        from standflow.handshakes.limits import Limits
        from standflow.handshakes.time_slots import WarmUp

        warm_up = WarmUp(settings.cold_from, settings.cold_time)
        rng = random.Random(self.config.seed + 1)
        limits = Limits(options, warm_up, settings.gateways, settings.number, rng, self.driver.clock_offset)
        limiter = HandshakeLimiter(
            self.loop, self.log, limits, self.next_hops, self._show_routes, options.ready_connections
        )
        if tls is not None:
            limiter.resumable, limiter.forget, tls.on_change = (
                tls.resumable,
                tls.forget,
                limiter.replace_connections,
            )
        return limiter

    def _make_counter_reconciliation(self) -> CounterReconciliation | None:
        """Reconciliation of quota use through the counter service, in addition to the ring, if it is on."""
        options, counter = self.config.witness, self.config.counter
        if options is None or counter is None:
            return None
        from standflow.counter.modes import ModeTracker
        from standflow.counter.reconciliation import CounterReconciliation

        reconciliation = CounterReconciliation(
            self.loop,
            self.log,
            options,
            counter,
            self._use_observed,
            ModeTracker(self.driver.module.epoch, self.loop.now()),
            self.driver.peers_last_seen,
        )
        self.driver.report_use = reconciliation.record_use
        return reconciliation

    def _make_counter_calls(self) -> QuotaCalls | None:
        """Quotas by the counter service instead of the ring, if peer messages are not allowed."""
        settings, counter = self.config.settings, self.config.counter
        if counter is None or not self.driver.module.uses_counter:
            return None
        from standflow.counter.quota_calls import QuotaCalls

        limit, answered = settings.count_limit, self.driver.count_answered
        calls = QuotaCalls(self.loop, self.log, counter, limit, answered, self.tally)
        self.driver.count = calls.count
        return calls

    def _use_observed(self, observed: RegisterReading) -> None:
        self.driver.use_observed(observed.key, observed.ring_index, observed.count, observed.level)

    def start(self) -> None:
        """Starts serving: applies the saved route set, connects to discovery, then accepts clients."""
        known, restored = self.config.initial_routes, self._load_store()
        if restored is not None and restored.next_hops and self.routes is not None:
            # Only candidates until discovery answers; the whole list is requested, whatever its revision.
            raw = {"revision": 0, "complete": True, "members": restored.next_hops}
            known = read_routes(raw, self.config.zones, self.log)
            self.routes.revision = None
        if self.ops is not None and known is not None:
            known = self.ops.overlay.apply(known)
        if self.handshake_limiter is not None:
            self.driver.start(None)
            if known is not None:
                run_isolated(self.log, self.handshake_limiter.update_routes, known)
        else:
            if known is not None:
                run_isolated(self.log, self.next_hops.update_routes, known)
            self.driver.start(known)
        if restored is not None and self.store is not None:
            from standflow.recovery.ingress_state import restore_state

            restore_state(self.store, restored)
        if self.routes is not None:
            self.routes.connect()
        at_once = self.routes is None and self.handshake_limiter is None
        self.loop.call_later(0.0 if at_once else READY_TIMEOUT_SECONDS, self._ready)
        self.loop.call_later(INTERVAL_SECONDS * random.Random(self.config.seed).random(), self.tally.serve)

    def _ready(self) -> None:
        if self.handover is not None:
            self.handover.ask(self._begin_serving)
        else:
            self._begin_serving()

    def _begin_serving(self) -> None:
        """Starts serving clients."""
        if not self.clients.ready:
            if self.config.passed_fd is not None:
                run_isolated(self.log, self._listen_to_peers)  # the ring works without this ingress
            self.memory.serving_begins()
            self.exchange.executed_ids.limit = int(IDS_SHARE * self.memory.usable / ID_BYTES)
            self.driver.limit_tenants(int(TENANTS_SHARE * self.memory.usable / TENANT_BYTES))
            self.loop.every(MEASURE_SECONDS, self.memory.tick)
            self.loop.every(REPORT_SECONDS, self.memory.report)
            self.clients.start_serving()
            self.log(f"ready {self.config.name} on {self.clients.address[0]}:{self.clients.address[1]}")

    def _routes_updated(self, routes: RouteSet) -> None:
        self.routes_received = True
        routes = self.address_owners.apply(routes)
        self._apply_routes(routes if self.ops is None else self.ops.overlay.apply(routes))

    def _apply_routes(self, routes: RouteSet) -> None:
        """Applies a route set that already includes the operators' overrides."""
        if self.handshake_limiter is not None:
            self.handshake_limiter.update_routes(routes)
            return
        try:
            self.next_hops.update_routes(routes)
        finally:  # the module hears of the drains also if one of them could not be applied
            self.driver.routes_updated(routes)
            self._ready()

    def _show_routes(self, routes: RouteSet) -> None:
        """Passes on the routes that the handshake limiter has released."""
        self.driver.routes_updated(routes)
        if routes.routes:
            self._ready()

    def _fetch_routes(self) -> None:
        if self.routes is not None:
            self.routes.refetch()

    def _send_to_peer(self, peer: int | None, content: bytes) -> None:
        if self.peers is not None and self.sends_to_peers:
            self.peers.send_message(peer, content)

    def stop(self, received_at: float | None = None) -> None:
        """SIGTERM, received at this time of the loop's clock, now by default."""
        begun = self.shutdown.begin(self.reloading.config.longest_deadline, received_at)
        if begun and self.fleet_member is not None:
            self.fleet_member.leave()

    def reload(self) -> None:
        """SIGHUP, also during a shutdown, which then ends by the shorter deadline of the two files."""
        run_isolated(self.log, self.reloading.reload)
        self.shutdown.shorten(self.reloading.config.longest_deadline)

    def close(self) -> None:
        """Closes every connection; each writes its line to the log."""
        components = (
            *(self.clients, self.next_hops, self.ops, self.handover),
            *(self.counter_reconciliation, self.counter_calls, self.fleet_member, self.routes),
        )
        closes = [component.close for component in components if component is not None]
        last_counts = [] if self.tls is None else [self.tls.log_counts]
        close_all([self.tally.flush, *closes, *last_counts, self._close_store], self.log)

    def _save(self) -> None:
        """Saves what must not be lost by SIGKILL, which may come to a process that stays for a long value."""
        run_isolated(self.log, self.tally.flush)
        if self.handover is not None:
            run_isolated(self.log, self.handover.write)
        self._close_store()

    def _close_store(self) -> None:
        """Last, as it may wait for the disk."""
        if self.store is not None:
            self.store.close(self.shutdown.store_time_limit())
