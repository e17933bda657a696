"""One ingress put together: every part is made here, and each subsystem attached in one visible place.

A subsystem that the configuration leaves out is not imported. What one asks of the ingress stands in a type
of its own (`Parts` in upgrade/handover.py, ops/operations.py and reloading.py).
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

from standflow.config import Config, ConfigError
from standflow.driver import Driver
from standflow.exchange import Exchange, Route, RouteSet
from standflow.net.client_side import ClientSide
from standflow.net.flow import FlowBudget
from standflow.net.loop import Loop
from standflow.net.nexthop import COOL_DOWN, NextHops
from standflow.net.peers import Peers
from standflow.net.routes import RouteWatch, read_routes, write_route
from standflow.net.watch_timing import MAX_BACK_OFF
from standflow.reloading import Parts as ReloadParts
from standflow.reloading import Reloading
from standflow.shutdown import Shutdown, close_all
from standflow.tally import EVERY, Tally

if TYPE_CHECKING:
    from standflow.counter.asking import Asking
    from standflow.counter.ledger import Told
    from standflow.counter.witness import Witness
    from standflow.fleet.member import Member
    from standflow.handshakes.keeper import Keeper
    from standflow.ops.operations import Operations
    from standflow.recovery.keeper import Keeper as StoreKeeper
    from standflow.recovery.trust import Trusted
    from standflow.tls.streams import TlsStreams
    from standflow.upgrade.handover import Handover

READY_AT_LATEST = 0.25  # seconds that a restarted ingress waits for discovery, its saved list being stale
COME_BACK = 0.1  # seconds after which a caller turned away by no decision may come again


@contextmanager
def named(key: str) -> Iterator[None]:
    """An address that can't be listened at is a fault of its key."""
    try:
        yield
    except OSError as error:
        raise ConfigError(f"{key}: {error.strerror}") from None


class Ingress:
    """The parts of one ingress, wired."""

    def __init__(self, config: Config, loop: Loop, log: Callable[[str], None]) -> None:
        self.config, self.loop, self.log = config, loop, log
        settings = config.settings
        self.tally = Tally(loop, log)
        come_back = min(COME_BACK, settings.max_retry_after) if settings.retry_after else None
        self.exchange = Exchange(
            loop,
            log,
            config.classes,
            config.plans,
            settings.max_attempts,
            config.max_open,
            come_back,
            settings.gateways,
            settings.number,
            settings.max_units,
            self.tally,
            self.tally.branch,
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
            flows=FlowBudget(config.max_flows),
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
                config.known.revision if config.known else None,
                self._routes_told,
                random.Random(config.seed),
                self.tally,
                # Where lists are pushed, what the agent has counts as told: no pause may outlast the grace.
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
            tell=self._tell,
            fetch=self._fetch,
        )
        self.exchange.decisions = self.driver
        self.keeper = self._make_keeper()
        self.witness = self._make_witness()
        self.asking = self._make_asking()
        self.speaks = True  # on the ring: of two processes of one ingress one alone does
        self.member: Member | None = None
        self.found: Trusted | None = None  # in the store
        if config.passed is None:
            self._listen_to_peers()
        with named("listen" if config.passed is None else "EDGE_PASSED_SOCKET"):
            self.clients = ClientSide(
                loop,
                log,
                self.exchange,
                config.listen,
                config.max_clients,
                min(config.max_unread, config.memory // 4),
                config.passed,
                config.max_bodies,
                config.max_values,
            )
        self.shutdown = Shutdown(loop, log, self.clients, self.exchange)
        self.reloading = self._make_reloading()
        self.told = False  # by discovery, since the start
        self.ops = self._make_ops()
        self.handover = self._make_handover()
        self.store = self._make_store()

    def _listen_to_peers(self) -> None:
        config = self.config
        if config.peer_listen is not None:
            with named("peer_listen"):
                self.peers = Peers(
                    self.loop,
                    self.log,
                    config.peer_listen,
                    config.peers,
                    config.peers_all,
                    config.settings.number,
                    self.driver.peer_told,
                    self.tally,
                    shared=config.passed is not None,
                    accept_unlisted=config.fleet is not None and bool(config.fleet.seeds),
                )
            self.member = self._make_member(self.peers)

    def _make_member(self, peers: Peers) -> Member | None:
        """This ingress as a member of the fleet, where a membership is kept."""
        config = self.config
        if config.fleet is None:
            return None
        from standflow.fleet.member import Member, Parts
        from standflow.fleet.snapshot import Snapshot

        def send(to: int | tuple[str, int], content: bytes) -> None:
            if self.speaks:
                peers.send_message(to, content) if isinstance(to, int) else peers.send_to_address(to, content)

        def changed(snapshot: Snapshot) -> None:
            self.driver.fleet_seen(snapshot)
            if self.keeper is not None:
                self.keeper.limits.sharers = len(snapshot.among)

        parts = Parts(send=send, filled=peers.assign_address, changed=changed)
        settings, chance = config.settings, random.Random(config.seed + 2)
        fleet, places = config.fleet, (settings.number, settings.gateways)
        member = Member(self.loop, self.log, fleet.name, *places, peers.address, fleet.seeds, chance, parts)
        if self.found is not None:
            member.remember(self.found.members)
        peers.handle_membership, peers.on_received = member.hear, member.ring
        member.speaks = self.speaks
        return member

    def _make_handover(self) -> Handover | None:
        """The meeting with other processes of this ingress, where the platform holds the listening socket."""
        if self.config.passed is None or self.config.folder is None:
            return None
        from standflow.upgrade.handover import Handover, Parts

        driver, clients, ops = self.driver, self.clients, self.ops
        parts = Parts(
            export=driver.export,
            absorb=driver.absorb,
            spent=driver.spent,
            add=driver.add,
            resume=driver.resume,
            speak=self._speak,
            crowd=self._crowd,
            routes=lambda: [write_route(route) for route in self._as_told()],
            take_routes=self._routes_of_another,
            overlay=None if ops is None else ops.overlay,
            heard=lambda hop: None if ops is None else ops.heard(hop),
            evacuated=lambda: (clients.evacuated, clients.evacuated_at),
            evacuate=clients.evacuate,
        )
        return Handover(self.loop, self.log, self.config.folder, self.config.name, parts)

    def _make_store(self) -> StoreKeeper | None:
        """What outlives a power loss, where the operator's file has a place for it."""
        config = self.config
        if config.store is None:
            return None
        from standflow.recovery.keeper import Keeper, Parts
        from standflow.recovery.records import identity
        from standflow.recovery.store import Store

        driver, clients, ops = self.driver, self.clients, self.ops
        fleet = "" if config.fleet is None else config.fleet.name
        whose = identity(config.name, config.settings.number, fleet)

        def words() -> dict[str, list[Any]] | None:
            return (
                None
                if ops is None
                else {hop: [one.out, one.at, one.went] for hop, one in ops.overlay.words.items()}
            )

        parts = Parts(
            used=driver.used,
            refill=lambda windows: driver.refill(
                [[w.key, w.plan, w.first, w.size, w.own, w.others] for w in windows]
            ),
            learnt=driver.learnt,
            learn=driver.learn,
            routes=lambda: [write_route(route) for route in self._as_told()],
            words=words,
            emptied=lambda: (clients.evacuated, clients.evacuated_at),
            members=lambda: None if self.member is None else self.member.counted_members(),
        )
        store = Store(config.store.folder, whose, config.store.most)
        return Keeper(self.loop, self.log, store, config.store.every, parts)

    def _trusted(self) -> Trusted | None:
        """What the store says, and of it what operators said is in force."""
        if self.store is None:
            return None
        from standflow.recovery.trust import Plan

        plans = {plan.name: Plan(plan.burst, plan.rate) for plan in self.config.settings.plans}
        found = self.store.begin(plans)
        if self.ops is not None:
            from standflow.ops.overlay import Word

            for hop, (out, at, went) in found.words.items():
                self.ops.overlay.hear(hop, Word(out, at, went))
        if found.emptied is not None:
            self.clients.evacuate(*found.emptied)
        self.found = found
        if self.member is not None:
            self.member.remember(found.members)
        return found

    def _as_told(self) -> list[Route]:
        """The route set by discovery alone: what operators laid over it is handed on beside it."""
        if self.ops is not None:
            return list(self.ops.overlay.routes.values())
        return [hop.route for hop in self.next_hops.hops.values()]

    def _routes_of_another(self, members: list[Any]) -> None:
        """The route set of the process before, where discovery has told this one nothing yet."""
        if not self.told and members:
            raw = {"revision": 0, "complete": True, "members": members}
            routes = read_routes(raw, self.config.zones, self.log)
            self._laid_over(routes if self.ops is None else self.ops.overlay.told(routes))

    def _speak(self, wanted: bool) -> None:
        self.speaks = wanted
        if self.member is not None:
            self.member.speaks = wanted

    def _crowd(self, another: bool) -> None:
        """Two processes of one ingress have its descriptors and its memory between them."""
        config, part = self.config, 2 if another else 1
        self.next_hops.max_connections = config.max_connections // part
        self.next_hops.flows.budget = config.max_flows // part
        self.clients.body_budget.budget = config.max_bodies // part
        self.clients.value_budget.budget = config.max_values // part

    def _make_reloading(self) -> Reloading:
        routes, tls, calls = self.routes, self.tls, self.witness or self.asking
        parts = ReloadParts(
            move_discovery=None if routes is None else routes.move,
            move_counter=None if calls is None else calls.client.move,
            reload_tls=None if tls is None else tls.reload,
        )
        return Reloading(self.loop, self.log, self.config, self.exchange, self.driver, parts)

    def _make_ops(self) -> Operations | None:
        """The operators' calls, where the platform gives them a place."""
        config = self.config
        if config.ops is None:
            return None
        from standflow.ops.figures import Counts
        from standflow.ops.operations import Operations, Parts

        parts = Parts(
            ready=lambda: self.clients.ready,
            stopping=lambda: self.shutdown.begun,
            counts=lambda: Counts(
                ends=self.exchange.ends,
                forwards=self.next_hops.forwards,
                outstanding=self.exchange.open_count,
                sighup_applied=self.reloading.applied,
                sighup_rejected=self.reloading.rejected,
            ),
            avoided=self.driver.avoided,
            evacuated=lambda: self.clients.evacuated,
            evacuate=self.clients.evacuate,
            show=self._laid_over,
            fleet=lambda: None if self.member is None else self.member.figures(),
            recovery=lambda: None if self.store is None else self.store.figures(),
            noted=self._noted,
        )
        with named("ops"):
            return Operations(self.loop, self.log, config.ops, config.name, parts)

    def _noted(self) -> None:
        """An operator's word is for whoever comes after this process, too."""
        if self.handover is not None:
            self.handover.write()
        if self.store is not None:
            self.store.note()

    def _make_tls(self) -> TlsStreams | None:
        """Nothing of TLS is imported where the operator's file has no block for it."""
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

    def _make_keeper(self) -> Keeper | None:
        """The limits on handshakes, where they are in force."""
        options, settings, tls = self.config.handshakes, self.config.settings, self.tls
        if options is None:
            return None
        from standflow.handshakes.keeper import Keeper
        from standflow.handshakes.limits import Limits
        from standflow.handshakes.turns import Warming

        warming = Warming(settings.cold_from, settings.cold_time)
        chance = random.Random(self.config.seed + 1)
        limits = Limits(options, warming, settings.gateways, settings.number, chance, self.driver.offset)
        keeper = Keeper(self.loop, self.log, limits, self.next_hops, self._show, options.ready)
        if tls is not None:
            keeper.resumable, keeper.forget, tls.on_change = tls.resumable, tls.forget, keeper.replace
        return keeper

    def _make_witness(self) -> Witness | None:
        """The counter beside the ring, where it is switched on."""
        options, counter = self.config.witness, self.config.counter
        if options is None or counter is None:
            return None
        from standflow.counter.modes import Modes
        from standflow.counter.witness import Witness

        witness = Witness(
            self.loop,
            self.log,
            options,
            counter,
            self._use_told,
            Modes(self.driver.module.epoch, self.loop.now()),
            self.driver.heard,
        )
        self.driver.noted = witness.noted
        return witness

    def _make_asking(self) -> Asking | None:
        """The counter in the ring's place, where settings allow calls of it and no word to peers."""
        settings, counter = self.config.settings, self.config.counter
        if counter is None or not self.driver.module.counting:
            return None
        from standflow.counter.asking import Asking

        limit, tell = settings.count_limit, self.driver.counted
        asking = Asking(self.loop, self.log, counter, limit, tell, self.tally)
        self.driver.count = asking.count
        return asking

    def _use_told(self, told: Told) -> None:
        self.driver.use_told(told.key, told.place, told.count, told.level)

    def start(self) -> None:
        """Begins to serve: the saved list first, then discovery's word, then the callers."""
        known, found = self.config.known, self._trusted()
        if found is not None and found.hops and self.routes is not None:
            # candidates until discovery speaks; of it the whole list is asked for, whatever its revision is
            raw = {"revision": 0, "complete": True, "members": found.hops}
            known = read_routes(raw, self.config.zones, self.log)
            self.routes.revision = None
        if self.ops is not None and known is not None:
            known = self.ops.overlay.told(known)
        if self.keeper is not None:
            self.driver.start(None)
            if known is not None:
                self.keeper.routes_told(known)
        else:
            if known is not None:
                self.next_hops.update_routes(known)
            self.driver.start(known)
        if found is not None and self.store is not None:
            self.store.parts.refill(found.windows)
            if found.learnt is not None:
                try:
                    self.store.parts.learn(found.learnt)
                except (KeyError, TypeError, ValueError, AttributeError) as error:
                    self.log(f"store: what was learnt is passed over: {error!r}")
            self.store.start(found)
        if self.routes is not None:
            self.routes.connect()
        at_once = self.routes is None and self.keeper is None
        self.loop.call_later(0.0 if at_once else READY_AT_LATEST, self._ready)
        self.loop.call_later(EVERY * random.Random(self.config.seed).random(), self.tally.serve)

    def _ready(self) -> None:
        if self.handover is not None:
            self.handover.ask(self._begin)
        else:
            self._begin()

    def _begin(self) -> None:
        """Callers are served from now on."""
        if not self.clients.ready:
            if self.config.passed is not None:
                try:
                    self._listen_to_peers()
                except ConfigError as error:  # the ring does without this ingress
                    self.log(f"fault: {error}")
            self.clients.start_serving()
            self.log(f"ready {self.config.name} on {self.clients.address[0]}:{self.clients.address[1]}")

    def _routes_told(self, routes: RouteSet) -> None:
        self.told = True
        self._laid_over(routes if self.ops is None else self.ops.overlay.told(routes))

    def _laid_over(self, routes: RouteSet) -> None:
        """Takes in the route set as operators left it."""
        if self.keeper is not None:
            self.keeper.routes_told(routes)
            return
        self.next_hops.update_routes(routes)
        self.driver.routes_told(routes)
        self._ready()

    def _show(self, routes: RouteSet) -> None:
        """What the keeper lets the driver know."""
        self.driver.routes_told(routes)
        if routes.routes:
            self._ready()

    def _fetch(self) -> None:
        if self.routes is not None:
            self.routes.refetch()

    def _tell(self, peer: int | None, content: bytes) -> None:
        if self.peers is not None and self.speaks:
            self.peers.send_message(peer, content)

    def stop(self) -> None:
        """SIGTERM."""
        if self.shutdown.begin(self.reloading.config.longest_deadline) and self.member is not None:
            self.member.leave()

    def reload(self) -> None:
        """SIGHUP. Also in a shutdown: its end goes by the shorter deadline of the two files."""
        self.reloading.reload()
        self.shutdown.shorten(self.reloading.config.longest_deadline)

    def close(self) -> None:
        """Ends every connection; each leaves its line in the log."""
        parts = (
            *(self.clients, self.next_hops, self.ops, self.handover, self.store),
            *(self.witness, self.asking, self.member, self.routes),
        )
        closes = [part.close for part in parts if part is not None]
        last_counts = [] if self.tls is None else [self.tls.log_counts]
        close_all([self.tally.flush, *closes, *last_counts], self.log)
