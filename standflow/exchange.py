"""Transactions and branches: where the client side and the next-hop side meet.

Nothing here knows a protocol: what a client asked is carried as an opaque message, and so is the value that
a next hop gave for it. Decisions come from the driver. The exchange holds what must be true whatever is
decided: each transaction gets one final answer before its deadline, and nothing runs twice that must not.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from standflow.net.loop import Loop, Timer


class Outcome(Enum):
    """How a branch, a probe or a count ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT))


class Phase(Enum):
    """What the route set says of a next hop."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class Route:
    """One next hop of the route set."""

    hop: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    phase: Phase
    size: float
    up_since: float | None


@dataclass(slots=True, frozen=True)
class RouteSet:
    """A whole route set, or the changes to it."""

    revision: int
    complete: bool
    routes: tuple[Route, ...]
    partial: bool = False  # more was said, and could not be read


@dataclass(slots=True, frozen=True)
class Request:
    """What the client side took in, for any protocol."""

    class_name: str
    plan: str
    tenant: str
    timeout: float
    units: float
    ring_size: int
    ring_first: int
    message: Any
    ident: object = None  # the client's own name for it; no two open ones may share it
    release: Callable[[], None] | None = None  # called once when nothing of it is needed any more


@dataclass(slots=True, frozen=True)
class Served:
    """Final answer: the value of a next hop."""

    value: Any


@dataclass(slots=True, frozen=True)
class Refused:
    """Final answer: coming again is harmless, best after so many seconds."""

    retry_after: float | None


@dataclass(slots=True, frozen=True)
class Failed:
    """Final answer: nothing is promised."""

    reason: str


FinalAnswer = Served | Refused | Failed
ANSWER_COUNTERS: dict[type, str] = {
    Served: "answer.served",
    Refused: "answer.refused",
    Failed: "answer.failed",
}


class AbandonReason(Enum):
    """Why the exchange answered a request in the module's place."""

    OVERDUE = "overdue"  # the module had not decided in time
    ENDING = "ending"  # the process is about to end
    FAULT = "fault"  # the module failed over it


@dataclass(slots=True, frozen=True)
class Result:
    """How a branch or a probe ended, with what the next hop told beside it."""

    outcome: Outcome
    value: Any = None
    used_percent: float = 0.0
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class TransactionCounts:
    """How many transactions of one class were taken in and how they ended, since the process began."""

    taken: int = 0
    succeeded: int = 0
    declined: int = 0
    aborted: int = 0
    gone: int = 0  # the client had left

    @property
    def open(self) -> int:
        """Those that have not ended."""
        return self.taken - self.succeeded - self.declined - self.aborted - self.gone


class InvalidRequestError(ValueError):
    """A request that can't be taken in; its text tells the client why."""


class Branch:
    """One attempt of a transaction at one next hop."""

    __slots__ = (
        "context", "deadline", "first_byte_at", "hop", "number", "outcome", "started_at", "timer",
        "transaction",
    )  # fmt: skip

    def __init__(
        self, transaction: Transaction, number: int, hop: str, started_at: float, deadline: float
    ) -> None:
        self.transaction, self.number, self.hop = transaction, number, hop
        self.started_at, self.deadline = started_at, deadline
        self.outcome: Outcome | None = None
        self.timer: Timer | None = None
        self.first_byte_at: float | None = None  # when the first bytes of a long value came
        self.context: Any = None  # the next-hop side's own

    @property
    def may_have_run(self) -> bool:
        """False only where the outcome proves that it did not."""
        return self.outcome not in NEVER_RAN


class Transaction:
    """One request and the single final answer that it is owed."""

    __slots__ = (
        "branches", "deadline", "deadline_timer", "max_branches", "name", "open", "reply", "request",
        "running", "safe", "streaming",
    )  # fmt: skip

    def __init__(
        self,
        name: str,
        request: Request,
        safe: bool,
        deadline: float,
        reply: Callable[[FinalAnswer], None],
        max_branches: int,
    ) -> None:
        self.max_branches = max_branches
        self.name, self.request, self.safe, self.deadline, self.reply = name, request, safe, deadline, reply
        self.branches: list[Branch] = []
        self.open = True
        self.running = 0
        self.deadline_timer: Timer | None = None
        self.streaming: Branch | None = None  # its value is being passed on: the answer, and not over yet

    def describe(self) -> str:
        """For the log: the client's id of it, its class, and where its attempts are or how they ended."""
        ident = self.request.ident
        name = ident.decode("ascii", "replace") if isinstance(ident, bytes) else ident
        attempts = [f"{b.hop}:{'out' if b.outcome is None else b.outcome.value}" for b in self.branches]
        return f"{name} class={self.request.class_name} attempts={','.join(attempts) or 'none'}"

    @property
    def may_refuse(self) -> bool:
        """True while a client's repeat would do no harm."""
        return self.safe or not any(branch.may_have_run for branch in self.branches)


class NextHopSide(Protocol):
    """What the exchange asks of the component that speaks to next hops."""

    def start(self, branch: Branch) -> None:
        """Takes the branch to its next hop; the result comes back by branch_ended, never within the call."""

    def give_up(self, branch: Branch) -> bool:
        """Ends the branch with no result to come; true where its command had been written whole."""

    def unsent(self, branch: Branch) -> bool:
        """True while its command is not written whole, so that it can still be taken back."""


class Decisions(Protocol):
    """What the exchange tells the driver."""

    def transaction_opened(self, transaction: Transaction) -> None:
        """A transaction waits for its decision."""

    def transaction_gone(self, transaction: Transaction) -> None:
        """A transaction is over by no decision of the module."""

    def stream_started(self, branch: Branch, latency: float) -> None:
        """The first bytes of a long value have come: they are the answer."""

    def branch_ended(self, branch: Branch, result: Result, latency: float, finished: bool) -> None:
        """A branch has its outcome."""


class Exchange:
    """Opens transactions for the client side and branches at the next-hop side."""

    DEADLINE_MARGIN = (
        0.003  # seconds before the deadline at which what is still open is answered here, at most
    )

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        classes: Mapping[str, bool],
        plans: frozenset[str],
        max_branches: int,
        max_open: int,
        default_retry_after: float | None,
        ingresses: int = 1,
        number: int = 0,
        max_units: float = math.inf,
        tally: Callable[[str], None] = lambda name: None,
        count_branch: Callable[[str, str], None] = lambda hop, outcome: None,
        tick: float = DEADLINE_MARGIN,
    ) -> None:
        self.loop, self.log, self.tally, self.count_branch = loop, log, tally, count_branch
        self.classes, self.plans = dict(classes), plans  # classes: by name, true where safe to repeat
        self.retiring: dict[str, bool] = {}  # as classes were until lately: clients may not know yet
        self.max_branches, self.max_open = max_branches, max_open
        self.ingresses, self.number, self.max_units = ingresses, number, max_units
        # The module decides two ticks before the deadline: with a short tick the guard would come before it.
        self.deadline_margin = min(self.DEADLINE_MARGIN, tick)
        self.open_idents: set[object] = set()
        self.default_retry_after = default_retry_after  # what a refusal of the exchange's own advises
        self.decisions: Decisions
        self.next_hops: NextHopSide
        self.transactions: dict[str, Transaction] = {}
        self.open_count = 0
        self.final_deadline = math.inf  # of the loop's clock: the process ends then
        # one dropped keeps its counts
        self.counts: dict[str, TransactionCounts] = {name: TransactionCounts() for name in classes}
        self.serial = 0

    # The client side.

    def open(self, request: Request, received_at: float, reply: Callable[[FinalAnswer], None]) -> Transaction:
        """Takes in a request that came at a time of the loop's clock; reply is called once, maybe at once."""
        if not (said := self.safe_flags(request.class_name)):
            raise InvalidRequestError("unknown class")
        if request.plan not in self.plans:
            raise InvalidRequestError("unknown plan")
        # One bad set would fix a usual customer's ring, and bad units use up its quota.
        if not 1 <= request.ring_size <= self.ingresses or not 0 <= request.ring_first < self.ingresses:
            raise InvalidRequestError("the set is out of range")
        if (self.number - request.ring_first) % self.ingresses >= request.ring_size:
            raise InvalidRequestError("the set is another's")
        if not 0 < request.units <= self.max_units:
            raise InvalidRequestError("units are out of range")
        if request.ident is not None and request.ident in self.open_idents:
            raise InvalidRequestError("the id is another open request's")
        self.tally("taken")
        self.counts[request.class_name].taken += 1
        self.serial += 1
        name = f"{self.serial}"
        deadline = min(received_at + request.timeout, self.final_deadline)
        transaction = Transaction(name, request, all(said), deadline, reply, self.max_branches)
        self.open_count += 1
        if self.open_count > self.max_open or self.loop.now() >= self.final_deadline:
            self.transactions[name] = transaction
            self.tally("refused.ending" if self.open_count <= self.max_open else "refused.max_open")
            self._answer(transaction, Refused(self.default_retry_after))
            return transaction
        self.transactions[name] = transaction
        if request.ident is not None:
            self.open_idents.add(request.ident)
        # The module sets a timer of its own, a little earlier: this one guards against its silence.
        transaction.deadline_timer = self.loop.call_at(
            deadline - self.deadline_margin, self._overdue, transaction
        )
        self.decisions.transaction_opened(transaction)
        return transaction

    def safe_flags(self, class_name: str) -> set[bool]:
        """What holds of a class, true where it is safe to repeat: one thing, or two while it changes."""
        return {where[class_name] for where in (self.classes, self.retiring) if class_name in where}

    def reconfigure(self, classes: Mapping[str, bool], max_branches: int) -> dict[str, bool]:
        """Other classes and another number of branches hold for what comes from now on.

        Classes that were dropped, or have another effect, are taken as they were too until `settled`; they
        are returned. What is open keeps its class, and the smaller number of branches.
        """
        before = self.classes | self.retiring
        self.classes, self.max_branches = dict(classes), max_branches
        self.retiring = {name: safe for name, safe in before.items() if self.classes.get(name) is not safe}
        for name in classes:
            self.counts.setdefault(name, TransactionCounts())
        return self.retiring

    def finish_reconfigure(self) -> None:
        """The classes before the last `retune` are over."""
        self.retiring = {}

    def client_gone(self, transaction: Transaction) -> None:
        """The client has left: nothing is owed any more. A branch whose command is written runs on as the
        module sees fit; one that still waits for its connection is taken back.
        """
        if transaction.open:
            self.tally("answer.gone")
            self.counts[transaction.request.class_name].gone += 1
            self._close(transaction)
            self.decisions.transaction_gone(transaction)
            for waiting in [one for one in transaction.branches if one.outcome is None]:
                if self.next_hops.unsent(waiting):
                    self.next_hops.give_up(waiting)
                    self.branch_ended(waiting, Result(Outcome.CANCELLED))
            self._drop_if_done(transaction)
        elif (branch := transaction.streaming) is not None:
            self.tally("answer.gone")
            self.counts[transaction.request.class_name].gone += 1
            self._release(transaction)
            self.next_hops.give_up(branch)
            self.branch_ended(branch, Result(Outcome.CANCELLED))

    def value_timed_out(self, transaction: Transaction) -> None:
        """The value of which the first bytes have come is not whole in time, and nobody waits for it."""
        if (branch := transaction.streaming) is not None:
            self.tally("answer.cut")
            self.counts[transaction.request.class_name].aborted += 1
            self._release(transaction)
            self.next_hops.give_up(branch)
            self.branch_ended(branch, Result(Outcome.TIMEOUT))

    # The driver.

    def send(self, name: str, hop: str, timeout: float | None) -> Branch | None:
        """Starts a branch; where that isn't allowed, its outcome is told as all outcomes are."""
        transaction = self.transactions.get(name)
        if transaction is None:
            self.log(f"exchange: a branch for transaction {name}, which is over, was not started")
            return None
        now = self.loop.now()
        limit = transaction.deadline if timeout is None else min(transaction.deadline, now + timeout)
        branch = Branch(transaction, len(transaction.branches), hop, now, limit)
        most = min(transaction.max_branches, self.max_branches)
        harmful = not transaction.safe and any(b.may_have_run for b in transaction.branches)
        transaction.branches.append(branch)
        if not transaction.open or limit <= now or branch.number >= most or harmful:
            # A rule that the module has to keep as well; a second effect can't be taken back.
            branch.outcome = Outcome.MOOT
            self.decisions.branch_ended(branch, Result(Outcome.MOOT), 0.0, not transaction.open)
            return branch
        transaction.running += 1
        branch.timer = self.loop.call_at(limit, self._branch_timed_out, branch)
        self.next_hops.start(branch)
        return branch

    def cancel(self, name: str, number: int) -> None:
        """Gives a branch up; its outcome is cancelled unless it has ended."""
        transaction = self.transactions.get(name)
        if transaction is not None and number < len(transaction.branches):
            branch = transaction.branches[number]
            if branch.outcome is None:
                self.next_hops.give_up(branch)
                self.branch_ended(branch, Result(Outcome.CANCELLED))

    def refuse(self, name: str, retry_after: float | None) -> None:
        """Final answer: refused; a failure where a repeat could do harm."""
        transaction = self.transactions.get(name)
        if transaction is not None and transaction.open:
            if transaction.may_refuse:
                self._answer(transaction, Refused(retry_after))
            else:
                self.log(f"exchange: transaction {name} may have run and can't be refused")
                self._answer(transaction, Failed("failed"))

    def fail(self, name: str) -> None:
        """Final answer: failed."""
        transaction = self.transactions.get(name)
        if transaction is not None and transaction.open:
            self._answer(transaction, Failed("failed"))

    def abandon(self, transaction: Transaction, why: AbandonReason) -> None:
        """Final answer where the module gave none: the mildest that is true."""
        if transaction.open:
            self.tally(f"abandoned.{why.value}")
            harmless = transaction.may_refuse
            self._answer(transaction, Refused(self.default_retry_after) if harmless else Failed("failed"))

    def set_final_deadline(self, moment: float) -> None:
        """The ingress ends at a time of the loop's clock: no deadline is later, nothing is opened then."""
        self.final_deadline = moment
        for transaction in self.transactions.values():
            transaction.deadline = min(transaction.deadline, moment)

    def abandon_all(self) -> list[Transaction]:
        """The ingress ends: whatever is open is answered now, as nobody will later. Returns what that was."""
        left = [transaction for transaction in self.transactions.values() if transaction.open]
        for transaction in left:
            self.abandon(transaction, AbandonReason.ENDING)
        for transaction in left:  # only now: the module may take its time over each
            self.decisions.transaction_gone(transaction)
        return left

    # The next-hop side.

    def stream_started(self, branch: Branch, value: Any) -> bool:
        """The first bytes of a long value have come; where they are the answer, nothing cuts it off any more.

        `value` goes to the client as the value that it is the beginning of. False where nobody waits for it.
        """
        transaction = branch.transaction
        if branch.outcome is not None or not transaction.open:
            return False
        branch.first_byte_at = self.loop.now()
        transaction.open, transaction.streaming = False, branch
        for timer in (branch.timer, transaction.deadline_timer):
            if timer is not None:
                timer.cancel()
        self.decisions.stream_started(branch, branch.first_byte_at - branch.started_at)
        for other in transaction.branches:
            if other is not branch and other.outcome is None:
                self.next_hops.give_up(other)
                self.branch_ended(other, Result(Outcome.CANCELLED))
        transaction.reply(Served(value))
        return True

    def branch_ended(self, branch: Branch, result: Result) -> None:
        """Takes a branch's one outcome; the first good one is the client's answer."""
        if branch.outcome is not None:
            return
        transaction = branch.transaction
        branch.outcome = result.outcome
        self.count_branch(branch.hop, result.outcome.value)
        if branch.timer is not None:
            branch.timer.cancel()
        transaction.running -= 1
        branch.context = None
        if result.outcome is Outcome.OK and transaction.open:
            self._answer(transaction, Served(result.value))
        elif transaction.streaming is branch:
            whole, ends = result.outcome is Outcome.OK, self.counts[transaction.request.class_name]
            self.tally("answer.served" if whole else "answer.cut")
            ends.succeeded, ends.aborted = ends.succeeded + whole, ends.aborted + (not whole)
            self._release(transaction)
        latency = (
            self.loop.now() if branch.first_byte_at is None else branch.first_byte_at
        ) - branch.started_at
        self.decisions.branch_ended(branch, result, latency, not transaction.open)
        self._drop_if_done(transaction)

    # Its own guards.

    def _branch_timed_out(self, branch: Branch) -> None:
        """A command that was never written whole has not run: bytes decide."""
        if branch.outcome is None:
            whole = self.next_hops.give_up(branch)
            self.branch_ended(branch, Result(Outcome.TIMEOUT if whole else Outcome.CONNECT_FAILED))

    def _overdue(self, transaction: Transaction) -> None:
        if transaction.open:
            self.log(f"exchange: request {transaction.describe()} was not decided in time")
            self.abandon(transaction, AbandonReason.OVERDUE)
            self.decisions.transaction_gone(transaction)

    def _answer(self, transaction: Transaction, final: FinalAnswer) -> None:
        self._close(transaction)
        self.tally(ANSWER_COUNTERS[type(final)])
        ends = self.counts[transaction.request.class_name]
        if isinstance(final, Served):
            ends.succeeded += 1
        elif isinstance(final, Refused):
            ends.declined += 1
        else:
            ends.aborted += 1
        transaction.reply(final)
        self._drop_if_done(transaction)

    def _close(self, transaction: Transaction) -> None:
        transaction.open = False
        self._release(transaction)
        if transaction.deadline_timer is not None:
            transaction.deadline_timer.cancel()

    def _release(self, transaction: Transaction) -> None:
        """It counts as open no more."""
        transaction.streaming = None
        self.open_count -= 1
        self.open_idents.discard(transaction.request.ident)

    def _drop_if_done(self, transaction: Transaction) -> None:
        """A transaction is kept until it is answered and its last branch has ended."""
        if not transaction.open and not transaction.running:
            if self.transactions.pop(transaction.name, None) and transaction.request.release is not None:
                transaction.request.release()
            transaction.branches = []  # they refer back: no circle may wait for the collector
