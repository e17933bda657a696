"""What a gateway is told and what it may do: settings, events, actions and outcomes.

All times are seconds. Requests, backends and customers are named by opaque strings.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """Whether a request may run more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """The backends that drop a keyed request's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt, a probe or a counter call ended."""

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
        """True when the outcome proves that the backend did not run the request."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class ListKind(Enum):
    """What a backend list holds."""

    CHANGES = "changes"
    FULL = "full"
    SAVED = "saved"


class Availability(Enum):
    """What discovery says of a backend."""

    ACTIVE = "active"
    DRAINING = "draining"
    REMOVED = "gone"


class SizeHint(Enum):
    """What the size figure of a backend means."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


class Feedback(Enum):
    """Where load reports arrive."""

    NONE = "none"
    ANSWERS = "answers"
    PROBES = "probes"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A kind of request."""

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
    """Quotas that hold for each customer over all gateways together; 0 means no such quota."""

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
    """All that a gateway is handed at its start."""

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
    counter_reconciliation: bool = (
        False  # use is noted for a second witness beside the ring, and heard from it
    )
    membership: bool = False  # MembershipChanged tells which gateways are there, as soon as that is known
    may_use_counter: bool = False  # the counter service may be called
    count_limit: float = 0.08  # seconds after which a call of it counts as unanswered


@dataclass(slots=True, frozen=True)
class BackendEntry:
    """One line of the backend list."""

    backend: str
    zone: str
    kind: str
    cell: int
    availability: Availability
    size: float
    started: float | None


@dataclass(slots=True, frozen=True)
class Started:
    """The gateway begins, knowing nothing."""


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings: classes and the number of attempts may differ. What is open keeps its own class."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class BackendsListed:
    """Discovery tells of backends."""

    kind: ListKind
    entries: tuple[BackendEntry, ...]


@dataclass(slots=True, frozen=True)
class ListFailed:
    """A call to discovery failed or the subscription broke."""


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client's try; one final answer is owed within time_left."""

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
    """The client left; nothing more is owed."""

    request: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by the gateway is due."""

    handle: int


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """A streamed answer has begun; the attempt belongs to the client."""

    request: str
    attempt: int
    backend: str
    latency: float


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Bytes from another gateway."""

    sender: int
    content: bytes


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    """The result of a probe."""

    backend: str
    outcome: Outcome
    latency: float
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The one outcome of an attempt; finished when the request has had its final answer."""

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
    """The answer of the counter service."""

    name: int
    outcome: Outcome
    total: float
    latency: float


@dataclass(slots=True, frozen=True)
class UseObserved:
    """A second witness tells a member's running count for a customer, and its level as a part of the burst.

    The place is that of the customer's ring; counts wrap as those of peer messages do.
    """

    tenant_key: bytes
    ring_index: int
    count: int
    level: float


@dataclass(slots=True, frozen=True)
class MembershipChanged:
    """Which gateways are there, by a view that they keep among themselves; without one, no such event comes.

    `missing` are unreachable: dead, or cut off. `major`: this side may take over what is theirs, as no other
    can. Cold backends are divided `among` these. `returned` have come, or come back, since the last event.
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
    """Start an attempt; without a timeout it lasts until the client gives up."""

    request: str
    backend: str
    timeout: float | None


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: a retry is harmless."""

    request: str
    retry_after: float | None
    reason: str = field(default="", compare=False)  # for the log alone; one of few words


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: nothing is promised."""

    request: str


@dataclass(slots=True, frozen=True)
class Probe:
    """Test a backend."""

    backend: str


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """A message to one gateway, or to all when peer is None."""

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
    """Ask for a TimerFired."""

    delay: float
    handle: int


@dataclass(slots=True, frozen=True)
class FetchList:
    """Ask discovery once for the whole list."""


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask discovery for changes from now on, or for no more of them."""

    wanted: bool


@dataclass(slots=True, frozen=True)
class Log:
    """A line for those on call."""

    text: str


@dataclass(slots=True, frozen=True)
class UseReported:
    """This gateway's own running count for a customer, for a second witness.

    `level` is its own part of the window, `fullness` that of all, both as parts of the burst.
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
