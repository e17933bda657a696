"""What a gateway keeps; the decisions on it are all in brain.py."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from hoistfold import interface as i


@dataclass(slots=True)
class Attempt:
    """One attempt of a request."""

    backend: Backend
    sent: float
    kind: i.RequestClass
    quota: Quota
    ended: i.Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """False only when the outcome proves that it did not run."""
        return self.ended is None or not self.ended.never_ran


@dataclass(slots=True)
class Request:
    """A request that is owed its final answer."""

    name: str
    kind: i.RequestClass
    quota: Quota
    deadline: float
    late: bool  # can hardly be served within the aim
    units: float
    spare: bool = False  # beyond its quota: served only from room that nobody else needs
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class Backend:
    """What this gateway has seen of a backend."""

    entry: i.BackendEntry
    cold_since: float
    rank: int  # of its name, the same for all gateways
    cold_at: float
    stretch: float = 1.0  # latency against what the class usually takes
    judged: float = 0.0  # when stretch was learnt last
    answered: float = -math.inf
    pending: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    suspect_since: float | None = None
    next_trial: float = 0.0
    pause: float = 0.0  # until the trial after that
    resets: int = 0  # connections that broke since it answered last
    errors: int = 0  # errors since then
    cold_credit: float = 0.0

    @property
    def active(self) -> bool:
        """True unless the list says that it drains."""
        return self.entry.availability is i.Availability.ACTIVE

    @property
    def out(self) -> int:
        """Attempts out at once from here."""
        return len(self.pending)

    def remembers_with(self, other: Backend, scope: i.Scope) -> bool:
        """True when both drop repeats of the same keyed requests."""
        if scope is i.Scope.ALL or self is other:
            return True
        return bool(getattr(self.entry, scope.value) == getattr(other.entry, scope.value))


@dataclass(slots=True)
class Quota:
    """One customer's place in the ring: the window's total, which drains at the plan's rate."""

    key: bytes
    plan: i.Plan
    first: int  # the ring is this gateway and the next ones, so many
    size: int
    place: int  # this gateway's own
    at: float  # when it was drained last
    used: float  # when a request or a peer named it last
    counts: dict[int, int] = field(default_factory=dict)  # running, by ring place, merged by maximum
    own: float = 0.0
    others: float = 0.0
    ceiling: float = 0.0
    open: int = 0
    others_rate: float = 0.0
    untold: dict[int, int] = field(default_factory=dict)  # places still to be told, and how
    asking: Request | None = None  # waits for the total of a long ring
    asked: float = 0.0
    owing: list[int] = field(default_factory=list)  # keepers whose answer is due
    fits: bool = True  # every keeper heard has room
    told: bool = False  # a keeper was heard
    refusals: int = 0
    shut_until: float = 0.0
    silent: int = 0  # other members that only the second witness tells of: each is taken to have used
    since: float = 0.0  # as much as we since it told of another member last, so many units
    alone: bool = False  # nobody at all was heard of when it was last asked for
    witnessed: float = -math.inf  # when the second witness told of another member last

    @property
    def fullness(self) -> float:
        """What is used of the window, as a part of the burst."""
        return (self.own + self.others) / self.plan.burst


@dataclass(slots=True, frozen=True)
class Entry:
    """One customer's part of a peer message."""

    key: bytes
    plan: int
    what: int
    first: int
    size: int
    place: int
    count: int
    level: int
    units: int


@dataclass(slots=True)
class Peer:
    """What this gateway has heard of another one."""

    heard: float = -math.inf
    skip_until: float = 0.0


class Kept:
    """The tables that a gateway starts with, all empty, and what is read from them without a decision."""

    def __init__(self, settings: i.Settings) -> None:
        self.settings = settings
        self.classes = {kind.name: kind for kind in settings.classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        self.now = 0.0
        self.actions: list[i.Action] = []
        self.backends: dict[str, Backend] = {}
        self.order: list[Backend] = []  # the active ones, in this gateway's own order
        self.reach = 1  # backends that this gateway works with
        self.sharers = 1.0  # gateways that work with one warm backend
        self.learnt = 0.0
        self.took = 1.0  # seconds of usual work a second that a warm backend was seen to take at ease
        self.busy = 0.0  # attempts out, on average over the last requests
        self.room = 0.0  # attempts that may be out at once from here
        self.requests: dict[str, Request] = {}
        self.usual_left: dict[str, float] = {}
        self.open: dict[tuple[str, int], Attempt] = {}
        self.timers: dict[int, Request] = {}
        self.serial = 0
        self.quotas: dict[bytes, Quota] = {}
        self.telling: dict[bytes, Quota] = {}  # those with places still to be told
        self.touched: dict[bytes, Quota] = {}  # those whose use is noted for the second witness
        self.sweep_at = 0.0
        self.answer_time = 0.05  # seconds until a total asked for is back, learnt

    def quota_of(self, key: bytes, plan: i.Plan, first: int, size: int) -> Quota:
        """A customer's quota, a new one where there is none."""
        if key not in self.quotas:
            place = (self.settings.number - first) % self.settings.gateways
            self.quotas[key] = Quota(key, plan, first, size, place, self.now, self.now, {place: 0})
        return self.quotas[key]

    def members(self, quota: Quota, place: int) -> list[int]:
        """In the ring's order from a place on; it is that of the numbers, wherever its set begins."""
        places = ((place + step) % quota.size for step in range(quota.size))
        return [(quota.first + p) % self.settings.gateways for p in places]

    def used(self) -> set[str]:
        """The classes of what is open or still out."""
        requests = {request.kind.name for request in self.requests.values()}
        return requests | {attempt.kind.name for attempt in self.open.values()}

    def avoided(self) -> set[str]:
        """The backends that are suspected; what merely lies outside this gateway's reach is not."""
        return {name for name, backend in self.backends.items() if backend.suspect_since is not None}
