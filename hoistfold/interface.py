"""Interface of the decision module: settings, events, actions and outcomes.

All times are in seconds. Requests, backends and tenants are identified by opaque strings.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """Whether a request may be executed more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """The backends that share deduplication of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """Result of an attempt, a probe or a counter call."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the backend did not execute the request."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class ListKind(Enum):
    """Contents of a backend list."""

    CHANGES = "changes"
    FULL = "full"
    SAVED = "saved"


class Availability(Enum):
    """State of a backend as reported by discovery."""

    ACTIVE = "active"
    DRAINING = "draining"
    REMOVED = "gone"


class SizeHint(Enum):
    """Meaning of a backend's size."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


class Feedback(Enum):
    """Channel on which load reports arrive."""

    NONE = "none"
    ANSWERS = "answers"
    PROBES = "probes"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests with common targets and semantics."""

    name: str
    aim: float
    deadline: float
    worth: float
    late_worth: float
    effect: Effect
    dedup_scope: DedupScope
    dedup_window: float
    stream: bool
    aim_stretch: float


@dataclass(slots=True, frozen=True)
class Plan:
    """Quotas per tenant, enforced over all gateways together; 0 means no such quota."""

    name: str
    rate: float
    burst: float
    max_open: int
    price: float
    excess_worth: float
    excess_cost: float
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float


@dataclass(slots=True, frozen=True)
class Settings:
    """Configuration of a gateway."""

    number: int
    gateways: int
    zone: str
    tick: float
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    pushed_discovery: bool
    size_hint: SizeHint
    feedback: Feedback
    report_fields: tuple[str, ...]
    may_cancel: bool
    may_probe: bool
    may_message_peers: bool
    second_copies: bool
    retry_after: bool
    max_attempts: int
    max_retry_after: float
    dial_timeout: float
    max_units: float
    units_settle: bool
    peer_intake: float
    ask_within: float
    cold_from: float
    cold_time: float
    drain_grace: float
    fall_multiple: float
    fall_window: float
    cross_zone_price: float
    waste_price: float
    late_fail_price: float
    probe_price: float
    peer_price: float
    counter_reconciliation: bool = False  # a counter service confirms the use that is reported on the ring
    membership: bool = False  # MembershipChanged reports which gateways are reachable
    may_use_counter: bool = False
    count_limit: float = 0.08  # timeout of a counter call


@dataclass(slots=True, frozen=True)
class BackendEntry:
    """One entry of the backend list."""

    backend: str
    zone: str
    kind: str
    cell: int
    availability: Availability
    size: float
    started: float | None


@dataclass(slots=True, frozen=True)
class Started:
    """The gateway starts without any state."""


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New request classes and number of attempts; open requests keep the class they arrived with."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class BackendsListed:
    """Discovery has sent a list of backends."""

    kind: ListKind
    entries: tuple[BackendEntry, ...]


@dataclass(slots=True, frozen=True)
class ListFailed:
    """A call to discovery failed or the subscription was closed."""


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client's request; exactly one final response must be sent within time_left."""

    request: str
    class_name: str
    plan: str
    tenant: str
    time_left: float
    units: float
    ring_size: int
    ring_first: int


@dataclass(slots=True, frozen=True)
class RequestCancelled:
    """The client has disconnected; no response is due any more."""

    request: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by the gateway has expired."""

    handle: int


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """A streamed response has started; the attempt is tied to the client from here on."""

    request: str
    attempt: int
    backend: str
    latency: float


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Message from another gateway."""

    sender: int
    content: bytes


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    """Result of a probe."""

    backend: str
    outcome: Outcome
    latency: float
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """Result of an attempt; `finished` is set once the request has its final response."""

    request: str
    backend: str
    attempt: int
    latency: float
    outcome: Outcome
    finished: bool
    true_units: float
    used_percent: float
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class CounterAnswered:
    """Response of the counter service."""

    name: int
    outcome: Outcome
    total: float
    latency: float


@dataclass(slots=True, frozen=True)
class UseObserved:
    """Running use count of another ring member, as read from the counter service by reconciliation.

    `level` is that member's share of the window as a fraction of the burst. `ring_index` is its index in the
    tenant's ring. Counts wrap like those in peer messages.
    """

    tenant_key: bytes
    ring_index: int
    count: int
    level: float


@dataclass(slots=True, frozen=True)
class MembershipChanged:
    """Current cluster membership. Not sent where no membership is kept.

    `unreachable` members are dead or partitioned. With `has_quorum` this side may take over their share; no
    other side can have a quorum at the same time. Cold backends are divided among the `slow_start_members`.
    `returned` members have joined or come back since the last event.
    """

    alive: frozenset[int]
    unreachable: frozenset[int]
    has_quorum: bool
    slow_start_members: frozenset[int]
    returned: frozenset[int]


Event = (
    Started
    | SettingsChanged
    | BackendsListed
    | ListFailed
    | RequestArrived
    | RequestCancelled
    | TimerFired
    | StreamStarted
    | PeerMessage
    | ProbeEnded
    | AttemptEnded
    | CounterAnswered
    | UseObserved
    | MembershipChanged
)


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; without a timeout it lasts until the client disconnects."""

    request: str
    backend: str
    timeout: float | None


@dataclass(slots=True, frozen=True)
class Cancel:
    """Abandon an attempt."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final response: the request can safely be retried."""

    request: str
    retry_after: float | None
    reason: str = field(default="", compare=False)  # one of a few fixed words, for logs and metrics


@dataclass(slots=True, frozen=True)
class Fail:
    """Final response: the request may or may not have been executed."""

    request: str


@dataclass(slots=True, frozen=True)
class Probe:
    """Send a health probe to a backend."""

    backend: str


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send a message to one gateway, or to all when `peer` is None."""

    peer: int | None
    content: bytes


@dataclass(slots=True, frozen=True)
class AddToCounter:
    """Add to a named number of the counter service."""

    name: int
    amount: float
    lifetime: float


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close idle connections to a backend."""

    backend: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a TimerFired event."""

    delay: float
    handle: int


@dataclass(slots=True, frozen=True)
class FetchList:
    """Fetch the whole backend list from discovery once."""


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Start or stop the subscription to changes of the backend list."""

    wanted: bool


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the operators' log."""

    text: str


@dataclass(slots=True, frozen=True)
class UseReported:
    """This gateway's running use count for a tenant, for reconciliation through the counter service.

    `level` is the gateway's own share of the window and `total_level` that of all members, both as fractions
    of the burst.
    """

    tenant_key: bytes
    ring_size: int
    ring_index: int
    count: int
    level: float
    total_level: float


Action = (
    Send
    | Cancel
    | Refuse
    | Fail
    | Probe
    | SendPeerMessage
    | AddToCounter
    | CloseIdle
    | SetTimer
    | FetchList
    | Subscribe
    | Log
    | UseReported
)
