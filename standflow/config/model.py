"""The validated configuration of an ingress. Times are in seconds, sizes in bytes."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hoistfold import interface as i
from standflow.route_set import RouteSet

Address = tuple[str, int]


class ConfigError(ValueError):
    """An invalid configuration; the message names the key."""


@dataclass(slots=True, frozen=True)
class NameRule:
    """The certificate name required of matching next hops: `template` with {id}, {zone} and {kind} filled in.

    The patterns use fnmatch syntax; the first rule that matches applies.
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
    key_mode: int  # permission bits that the key file may have at most
    min_version: str  # "1.2" or "1.3"
    alpn: tuple[str, ...]
    names: dict[str, str]  # by next hop id; takes precedence over the rules
    name_rules: tuple[NameRule, ...]
    handshake_timeout: float
    sessions: int  # cached per next hop
    session_lifetime: float
    watch_interval: float  # seconds between checks of the files; 0: reload on SIGHUP only
    warn_before: float  # seconds before a certificate expires


@dataclass(slots=True, frozen=True)
class HandshakeOptions:
    """The block `handshakes` of the operator's file."""

    cold_share: float  # of a cold next hop's current capacity, for the handshakes of all ingresses
    warm_share: float  # the same for a warm next hop
    cores: dict[str, float]  # of a next hop, by kind; "*" for all others
    cost: float  # minimum CPU seconds of a full handshake on one core of a next hop
    resumed_cost: float
    back_off: tuple[float, float]  # the first pause after a failure and the longest one
    ready_connections: int  # established before a next hop gets its first request
    limit_plain: bool  # apply the same limits to connections without TLS


@dataclass(slots=True, frozen=True)
class ReconciliationOptions:
    """The block `witness` of the operator's file: counter reconciliation."""

    calls_per_second: float  # maximum, from this ingress
    interval: float  # seconds between rounds of calls
    min_utilization: float  # fraction of its burst that a tenant must use to be reconciled


@dataclass(slots=True, frozen=True)
class FleetOptions:
    """The block `fleet` of the operator's file."""

    name: str  # datagrams of other fleets are dropped
    seeds: tuple[Address, ...]  # to join through; empty if the addresses of all members are configured


@dataclass(slots=True, frozen=True)
class StoreOptions:
    """The block `store` of the operator's file."""

    folder: Path
    write_interval: float  # seconds
    max_bytes: int  # of the records that are kept


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration that an ingress starts with."""

    name: str
    listen: Address
    ops: Address | None  # of the operators' API; None: disabled
    passed_fd: int | None  # the descriptor of a listening socket that the platform holds
    handover_folder: str | None  # where processes of this ingress exchange state, with such a socket
    discovery: Address | None  # None: `initial_routes` are used permanently
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
    platform_keys: Any = None  # the keys of the platform's JSON, from reload.key_shape
    max_unread_bytes: int = 32 * 1024 * 1024  # that may be held for clients
    memory: int = 192 * 1024 * 1024  # bytes that this ingress may use

    @property
    def max_client_bytes(self) -> int:
        """Limit of what is held for clients beside long values and long bodies."""
        return min(self.max_unread_bytes, self.memory // 4)

    @property
    def max_flow_bytes(self) -> int:
        """Limit of long values being streamed to clients."""
        return self.memory // 16

    @property
    def max_value_bytes(self) -> int:
        """Limit of long values buffered whole because other requests were pipelined behind them."""
        return self.memory // 16

    @property
    def max_body_bytes(self) -> int:
        """Limit of long request bodies. While one is copied out of its buffer, it is in memory twice."""
        return self.memory // 8

    @property
    def classes(self) -> dict[str, bool]:
        """The classes by name; true if their requests are safe to repeat."""
        return {kind.name: kind.effect is i.Effect.SAFE for kind in self.settings.classes}

    @property
    def plans(self) -> frozenset[str]:
        """The names of the plans."""
        return frozenset(plan.name for plan in self.settings.plans)
