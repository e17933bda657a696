"""What the ingress is told at its start, checked and typed. Times are seconds, sizes bytes."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hoistfold import interface as i
from standflow.exchange import RouteSet

Address = tuple[str, int]


class ConfigError(ValueError):
    """A configuration that can't be used; its text names the key."""


@dataclass(slots=True, frozen=True)
class NameRule:
    """Which name the next hops that fit must prove: `template` with {id}, {zone} and {kind} filled in.

    The globs are of fnmatch; the first rule that fits holds.
    """

    template: str
    hop: str = "*"
    zone: str = "*"
    kind: str = "*"


@dataclass(slots=True, frozen=True)
class TlsOptions:
    """The block `tls` of the operator's file."""

    roots: str
    certificate: str | None
    key: str | None
    key_mode: int  # permission bits that the key's file may have at most
    min_version: str  # "1.2" or "1.3"
    alpn: tuple[str, ...]
    names: dict[str, str]  # the exact table: next hop to name
    name_rules: tuple[NameRule, ...]
    handshake_timeout: float
    sessions: int  # kept per next hop
    session_lifetime: float
    watch_interval: float  # seconds between looks at the files; 0: only on SIGHUP
    warn_before: float  # seconds before a certificate's end from which on it is warned of


@dataclass(slots=True, frozen=True)
class HandshakeOptions:
    """The block `handshakes` of the operator's file."""

    cold_share: float  # of what a next hop can do at the moment, from all ingresses together
    warm_share: float  # the same for one that is warm
    cores: dict[str, float]  # of a next hop by kind; "*" for the others
    cost: float  # processor seconds of a full handshake at a next hop of one core, at least
    resumed_cost: float
    back_off: tuple[float, float]  # the first pause after a failure and the longest
    ready_connections: int  # connections made ready ahead of the first request
    limit_plain: bool  # the same limits for connections without TLS


@dataclass(slots=True, frozen=True)
class ReconciliationOptions:
    """The block `witness` of the operator's file."""

    calls_per_second: float  # a second, from this ingress at most
    interval: float  # seconds between rounds of calls
    min_utilization: float  # of its burst, what a customer must use to be asked for


@dataclass(slots=True, frozen=True)
class FleetOptions:
    """The block `fleet` of the operator's file."""

    name: str  # datagrams of another fleet are dropped
    seeds: tuple[Address, ...]  # to join by; none where every place's address is listed


@dataclass(slots=True, frozen=True)
class StoreOptions:
    """The block `store` of the operator's file."""

    folder: Path
    write_interval: float  # seconds between writes
    max_bytes: int  # bytes of what holds


@dataclass(slots=True, frozen=True)
class Config:
    """Everything the ingress is told at its start."""

    name: str
    listen: Address
    ops: Address | None  # where operators call; None: nowhere
    passed_fd: int | None  # the descriptor of a listening socket that the platform holds
    handover_folder: str | None  # where the processes of this ingress meet, with such a socket
    discovery: Address | None  # None: `initial_routes` hold for good
    counter: Address | None
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    seed: int
    sockets: int
    max_clients: int
    max_connections: int
    initial_routes: RouteSet | None
    settings: i.Settings
    zones: tuple[str, ...]
    dial_timeout: float
    idle_limit: float
    drain_grace: float
    max_open: int
    longest_deadline: float
    tls: TlsOptions | None = None
    handshakes: HandshakeOptions | None = None
    witness: ReconciliationOptions | None = None
    fleet: FleetOptions | None = None
    store: StoreOptions | None = None
    platform_keys: Any = None  # of the platform's JSON, as reload.key_shape has them
    max_unread_bytes: int = 32 * 1024 * 1024  # bytes that slow callers together may leave unread

    memory: int = 192 * 1024 * 1024  # bytes that this ingress may take

    @property
    def max_flow_bytes(self) -> int:
        """Bytes of long values on their way to clients."""
        return self.memory // 16

    @property
    def max_value_bytes(self) -> int:
        """Bytes of long values that are gathered, as other requests were read behind them."""
        return self.memory // 16

    @property
    def max_body_bytes(self) -> int:
        """Bytes of long request bodies; while one is taken out of its buffer it lies there twice."""
        return self.memory // 8

    @property
    def classes(self) -> dict[str, bool]:
        """The classes by name; true where a request is safe to repeat."""
        return {kind.name: kind.effect is i.Effect.SAFE for kind in self.settings.classes}

    @property
    def plans(self) -> frozenset[str]:
        """The names of the plans."""
        return frozenset(plan.name for plan in self.settings.plans)
