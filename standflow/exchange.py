"""Transactions and attempts: where the client side and the next-hop side meet.

Nothing here knows a protocol: a client's command is carried as an opaque message, and so is the value that a
next hop returned for it. Decisions come from the driver. The exchange enforces what holds whatever is
decided: each transaction gets exactly one final answer before its deadline, and a command that is not safe to
repeat never runs twice.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from standflow.executed_ids import ExecutedIds
from standflow.isolation import log_fault, run_for_each
from standflow.messages import (
    NEVER_RAN,
    Failed,
    FinalAnswer,
    InvalidRequestError,
    Outcome,
    Refused,
    Request,
    Result,
    Served,
)
from standflow.net.loop import Loop, Timer

ANSWER_COUNTERS: dict[type, str] = {
    Served: "answer.served",
    Refused: "answer.refused",
    Failed: "answer.failed",
}


class AbandonReason(Enum):
    """Why the exchange answered a request without a decision of the module."""

    OVERDUE = "overdue"  # no decision before the deadline
    ENDING = "ending"  # the process is about to exit
    FAULT = "fault"  # the module raised an exception


@dataclass(slots=True)
class TransactionCounts:
    """Transactions of one class since the process started: how many were accepted and how they ended."""

    taken: int = 0
    succeeded: int = 0
    declined: int = 0
    aborted: int = 0
    gone: int = 0  # the client disconnected first

    @property
    def open(self) -> int:
        """Transactions that have not ended."""
        return self.taken - self.succeeded - self.declined - self.aborted - self.gone


class Attempt:
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
        self.first_byte_at: float | None = None  # set when a long value starts to arrive
        self.context: Any = None  # private to the next-hop side

    @property
    def may_have_run(self) -> bool:
        """False only if the outcome proves that the command did not run."""
        return self.outcome not in NEVER_RAN

    @property
    def may_be_followed(self) -> bool:
        """True if another attempt may take the place of this one, whatever becomes of it."""
        return self.transaction.safe and self.number + 1 < self.transaction.max_attempts


class Transaction:
    """One request and the single final answer that it is owed."""

    __slots__ = (
        "attempts", "deadline", "deadline_timer", "max_attempts", "name", "open", "reply", "request",
        "running", "safe", "streaming",
    )  # fmt: skip

    def __init__(
        self,
        name: str,
        request: Request,
        safe: bool,
        deadline: float,
        reply: Callable[[FinalAnswer], None],
        max_attempts: int,
    ) -> None:
        self.max_attempts = max_attempts
        self.name, self.request, self.safe, self.deadline, self.reply = name, request, safe, deadline, reply
        self.attempts: list[Attempt] = []
        self.open = True
        self.running = 0  # attempts without an outcome
        self.deadline_timer: Timer | None = None
        self.streaming: Attempt | None = None  # the attempt whose value is the answer and still arriving

    def answer(self, final: FinalAnswer) -> None:
        """Passes the final answer to the client's connection, which is not kept any longer than that."""
        reply, self.reply = self.reply, _ignore_answer
        reply(final)

    def describe(self) -> str:
        """For the log: the client's request id, the class, and the state of each attempt."""
        ident = self.request.ident
        name = ident.decode("ascii", "replace") if isinstance(ident, bytes) else ident
        attempts = [
            f"{one.hop}:{'out' if one.outcome is None else one.outcome.value}" for one in self.attempts
        ]
        return f"{name} class={self.request.class_name} attempts={','.join(attempts) or 'none'}"

    @property
    def may_refuse(self) -> bool:
        """True while a retry by the client would do no harm."""
        return self.safe or not any(attempt.may_have_run for attempt in self.attempts)


def _ignore_answer(final: FinalAnswer) -> None:
    """In place of a client that has its answer, or has left."""


class NextHopSide(Protocol):
    """The transport towards next hops, as the exchange uses it."""

    def start(self, attempt: Attempt) -> None:
        """Sends the attempt to its next hop; attempt_ended gets the result, never within this call."""

    def give_up(self, attempt: Attempt) -> bool:
        """Ends the attempt without a result; true if its command had been written completely."""

    def unsent(self, attempt: Attempt) -> bool:
        """True while the command is not written completely, so that it can still be withdrawn."""


class Decisions(Protocol):
    """The driver, as the exchange calls it."""

    def transaction_opened(self, transaction: Transaction) -> None:
        """A transaction needs a decision."""

    def transaction_gone(self, transaction: Transaction) -> None:
        """A transaction ended without a decision of the module."""

    def stream_started(self, attempt: Attempt, latency: float) -> None:
        """The first bytes of a long value arrived, which makes this attempt the answer."""

    def attempt_ended(self, attempt: Attempt, result: Result, latency: float, finished: bool) -> None:
        """An attempt has its outcome."""


class Exchange:
    """Opens transactions for the client side and attempts at the next-hop side."""

    DEADLINE_MARGIN = 0.003  # seconds before its deadline at which an open request is answered here, at most

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        classes: Mapping[str, bool],
        plans: frozenset[str],
        max_attempts: int,
        max_open: int,
        default_retry_after: float | None,
        ingresses: int = 1,
        number: int = 0,
        max_units: float = math.inf,
        tally: Callable[[str], None] = lambda name: None,
        count_attempt: Callable[[str, str], None] = lambda hop, outcome: None,
        tick: float = DEADLINE_MARGIN,
    ) -> None:
        self.loop, self.log, self.tally, self.count_attempt = loop, log, tally, count_attempt
        self.classes, self.plans = dict(classes), plans  # classes: by name, true where safe to repeat
        # Classes from before a reload, accepted until clients know the new ones.
        self.retiring: dict[str, bool] = {}
        self.max_attempts, self.max_open = max_attempts, max_open
        self.ingresses, self.number, self.max_units = ingresses, number, max_units
        # The module decides two ticks before the deadline: with a short tick a fixed margin would come first.
        self.deadline_margin = min(self.DEADLINE_MARGIN, tick)
        self.open_idents: set[object] = set()  # of requests without an answer, or with a running attempt
        self.executed_ids = ExecutedIds(loop.now)
        self.default_retry_after = default_retry_after  # for refusals without a decision of the module
        self.decisions: Decisions
        self.next_hops: NextHopSide
        self.transactions: dict[str, Transaction] = {}
        self.open_count = 0
        self.final_deadline = math.inf  # on the loop's clock: when the process exits
        # Classes that a reload removed keep their counts.
        self.counts: dict[str, TransactionCounts] = {name: TransactionCounts() for name in classes}
        self.serial = 0

    # Called by the client side.

    def open(self, request: Request, received_at: float, reply: Callable[[FinalAnswer], None]) -> Transaction:
        """Accepts a request received at a time of the loop's clock.

        `reply` is called exactly once, possibly before this returns.
        """
        if not (flags := self.safe_flags(request.class_name)):
            raise InvalidRequestError("unknown class")
        if request.plan not in self.plans:
            raise InvalidRequestError("unknown plan")
        # An invalid set would be kept as the ring of its tenant, and invalid units would use up the quota.
        if not 1 <= request.ring_size <= self.ingresses or not 0 <= request.ring_first < self.ingresses:
            raise InvalidRequestError("the set is out of range")
        if (self.number - request.ring_first) % self.ingresses >= request.ring_size:
            raise InvalidRequestError("the set is another's")
        if not 0 < request.units <= self.max_units:
            raise InvalidRequestError("units are out of range")
        if request.ident is not None and request.ident in self.open_idents:
            raise InvalidRequestError("the id is another open request's")
        if not all(flags) and request.ident is not None and request.ident in self.executed_ids:
            raise InvalidRequestError("the id is that of a request that may have run")
        self.tally("taken")
        self.counts[request.class_name].taken += 1
        self.serial += 1
        name = f"{self.serial}"
        deadline = min(received_at + request.timeout, self.final_deadline)
        transaction = Transaction(name, request, all(flags), deadline, reply, self.max_attempts)
        self.open_count += 1
        if self.open_count > self.max_open or self.loop.now() >= self.final_deadline:
            self.transactions[name] = transaction
            self.tally("refused.ending" if self.open_count <= self.max_open else "refused.max_open")
            self._answer(transaction, Refused(self.default_retry_after))
            return transaction
        self.transactions[name] = transaction
        if request.ident is not None:
            self.open_idents.add(request.ident)
        # The module sets its own timer slightly earlier; this one answers if the module does not.
        transaction.deadline_timer = self.loop.call_at(
            deadline - self.deadline_margin, self._overdue, transaction
        )
        self.decisions.transaction_opened(transaction)
        return transaction

    def safe_flags(self, class_name: str) -> set[bool]:
        """Whether a class is safe to repeat: one value, two during a reload, none if it is unknown."""
        return {classes[class_name] for classes in (self.classes, self.retiring) if class_name in classes}

    def reconfigure(self, classes: Mapping[str, bool], max_attempts: int) -> dict[str, bool]:
        """Applies other classes and another number of attempts to requests that arrive from now on.

        Returns the classes that were removed or have another effect. They are accepted with their old
        meaning as well until `finish_reconfigure`. An open request keeps its class, and the smaller number of
        attempts applies to it.
        """
        before = self.classes | self.retiring
        self.classes, self.max_attempts = dict(classes), max_attempts
        self.retiring = {name: safe for name, safe in before.items() if self.classes.get(name) is not safe}
        for name in classes:
            self.counts.setdefault(name, TransactionCounts())
        return self.retiring

    def finish_reconfigure(self) -> None:
        """Stops accepting the classes from before the last `reconfigure`."""
        self.retiring = {}

    def refuse_unopened(self, class_name: str) -> Refused:
        """Refuses a request for which there is no memory, before it is opened."""
        self.tally("refused.memory")
        if (counts := self.counts.get(class_name)) is not None:
            counts.taken, counts.declined = counts.taken + 1, counts.declined + 1
        return Refused(self.default_retry_after)

    def drop_answer(self, transaction: Transaction) -> FinalAnswer:
        """There is no memory to keep a value until its client can be sent it: returns what takes its place.

        The request was served, so that a retry does no harm only if the request is safe to repeat.
        """
        counts = self.counts[transaction.request.class_name]
        counts.succeeded -= 1
        if transaction.safe:
            self.tally("refused.memory")
            counts.declined += 1
            return Refused(self.default_retry_after)
        self.tally("failed.memory")
        counts.aborted += 1
        return Failed("no memory for the value")

    def client_gone(self, transaction: Transaction) -> None:
        """The client disconnected: no answer is owed any more.

        An attempt whose command is written continues if the module wants it to; one that still waits for its
        connection is withdrawn.
        """
        transaction.reply = _ignore_answer
        if transaction.open:
            self.tally("answer.gone")
            self.counts[transaction.request.class_name].gone += 1
            self._close(transaction)
            self.decisions.transaction_gone(transaction)
            for attempt in list(transaction.attempts):
                # The module may have ended it meanwhile, as it was told of an earlier one.
                if attempt.outcome is None and self.next_hops.unsent(attempt):
                    self._give_up(attempt)
                    self.attempt_ended(attempt, Result(Outcome.CANCELLED))
            self._drop_if_done(transaction)
        elif (streaming := transaction.streaming) is not None:
            self.tally("answer.gone")
            self.counts[transaction.request.class_name].gone += 1
            self._release(transaction)
            self._give_up(streaming)
            self.attempt_ended(streaming, Result(Outcome.CANCELLED))

    def value_timed_out(self, transaction: Transaction) -> None:
        """A value that started to arrive is not complete at the deadline of its client."""
        if (attempt := transaction.streaming) is not None:
            self.tally("answer.cut")
            self.counts[transaction.request.class_name].aborted += 1
            self._release(transaction)
            self._give_up(attempt)
            self.attempt_ended(attempt, Result(Outcome.TIMEOUT))

    # Called by the driver.

    def send(self, name: str, hop: str, timeout: float | None) -> Attempt | None:
        """Starts an attempt. One that isn't allowed ends as MOOT, reported like any other outcome."""
        transaction = self.transactions.get(name)
        if transaction is None:
            self.log(f"exchange: a branch for transaction {name}, which is over, was not started")
            return None
        now = self.loop.now()
        limit = transaction.deadline if timeout is None else min(transaction.deadline, now + timeout)
        attempt = Attempt(transaction, len(transaction.attempts), hop, now, limit)
        max_attempts = min(transaction.max_attempts, self.max_attempts)
        may_repeat_effect = not transaction.safe and any(b.may_have_run for b in transaction.attempts)
        transaction.attempts.append(attempt)
        if not transaction.open or limit <= now or attempt.number >= max_attempts or may_repeat_effect:
            # The module has to follow this rule too; it is enforced here since an effect can't be undone.
            attempt.outcome = Outcome.MOOT
            self.decisions.attempt_ended(attempt, Result(Outcome.MOOT), 0.0, not transaction.open)
            return attempt
        if not transaction.safe and transaction.request.ident is not None:
            self.executed_ids.add(transaction.request.ident)
        transaction.running += 1
        attempt.timer = self.loop.call_at(limit, self._end_unanswered, attempt)
        try:
            self.next_hops.start(attempt)
        except Exception:
            log_fault(self.log, f"of an attempt at {hop}")
            # Later, as no outcome may arrive within this call. It says nothing about the next hop.
            self.loop.call_later(0.0, self._end_unanswered, attempt, Outcome.MOOT)
        return attempt

    def cancel(self, name: str, number: int) -> None:
        """Gives up an attempt, with the outcome CANCELLED unless it has one already."""
        transaction = self.transactions.get(name)
        if transaction is not None and number < len(transaction.attempts):
            attempt = transaction.attempts[number]
            if attempt.outcome is None:
                self._give_up(attempt)
                self.attempt_ended(attempt, Result(Outcome.CANCELLED))

    def refuse(self, name: str, retry_after: float | None) -> None:
        """Final answer: refused, or failed if a retry could do harm."""
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
        """Final answer without a decision of the module: refused if a retry does no harm, else failed."""
        if transaction.open:
            self.tally(f"abandoned.{why.value}")
            may_refuse = transaction.may_refuse
            self._answer(transaction, Refused(self.default_retry_after) if may_refuse else Failed("failed"))

    def set_final_deadline(self, moment: float) -> None:
        """No deadline is later than this time of the loop's clock, and no request is opened after it."""
        self.final_deadline = moment
        for transaction in self.transactions.values():
            transaction.deadline = min(transaction.deadline, moment)

    def unanswered(self) -> list[Transaction]:
        """The transactions whose clients wait for an answer that has not begun."""
        return [transaction for transaction in self.transactions.values() if transaction.open]

    def abandon_all(self) -> list[Transaction]:
        """The process exits: answers every open transaction now, and returns them."""
        left = self.unanswered()
        run_for_each(self.log, left, lambda transaction: self.abandon(transaction, AbandonReason.ENDING))
        # After all answers: the module may need some time for each.
        run_for_each(self.log, left, self.decisions.transaction_gone)
        return left

    # Called by the next-hop side.

    def stream_started(self, attempt: Attempt, value: Any) -> bool:
        """The first bytes of a long value arrived. If they become the answer, no timer cuts it off any more.

        `value` is passed to the client as the start of its answer. False if no client waits for it.
        """
        transaction = attempt.transaction
        if attempt.outcome is not None or not transaction.open:
            return False
        attempt.first_byte_at = self.loop.now()
        transaction.open, transaction.streaming = False, attempt
        for timer in (attempt.timer, transaction.deadline_timer):
            if timer is not None:
                timer.cancel()
        self.decisions.stream_started(attempt, attempt.first_byte_at - attempt.started_at)
        for other in list(transaction.attempts):
            if other is not attempt and other.outcome is None:
                self._give_up(other)
                self.attempt_ended(other, Result(Outcome.CANCELLED))
        transaction.answer(Served(value))
        return True

    def attempt_ended(self, attempt: Attempt, result: Result) -> None:
        """Records the single outcome of an attempt; the first OK becomes the client's answer."""
        if attempt.outcome is not None:
            return
        transaction = attempt.transaction
        attempt.outcome = result.outcome
        self.count_attempt(attempt.hop, result.outcome.value)
        if attempt.timer is not None:
            attempt.timer.cancel()
        transaction.running -= 1
        attempt.context = None
        if result.outcome is Outcome.OK and transaction.open:
            self._answer(transaction, Served(result.value))
        elif transaction.streaming is attempt:
            whole, counts = result.outcome is Outcome.OK, self.counts[transaction.request.class_name]
            self.tally("answer.served" if whole else "answer.cut")
            counts.succeeded, counts.aborted = counts.succeeded + whole, counts.aborted + (not whole)
            self._release(transaction)
        latency = (
            self.loop.now() if attempt.first_byte_at is None else attempt.first_byte_at
        ) - attempt.started_at
        self.decisions.attempt_ended(attempt, result, latency, not transaction.open)
        self._drop_if_done(transaction)

    def _give_up(self, attempt: Attempt) -> bool:
        """Ends an attempt at the next-hop side; true if its command may have been written completely.

        A fault there must keep neither the outcome from the module nor the answer from the client.
        """
        try:
            return self.next_hops.give_up(attempt)
        except Exception:
            log_fault(self.log, f"of an attempt that is given up at {attempt.hop}")
            return True

    # Timers.

    def _end_unanswered(self, attempt: Attempt, unwritten: Outcome = Outcome.CONNECT_FAILED) -> None:
        """Ends an attempt that has no outcome yet.

        `unwritten`: the outcome of a command that was not written completely, which can't have run.
        """
        if attempt.outcome is None:
            whole = self._give_up(attempt)
            self.attempt_ended(attempt, Result(Outcome.TIMEOUT if whole else unwritten))

    def _overdue(self, transaction: Transaction) -> None:
        if transaction.open:
            self.log(f"exchange: request {transaction.describe()} was not decided in time")
            self.abandon(transaction, AbandonReason.OVERDUE)
            self.decisions.transaction_gone(transaction)

    def _answer(self, transaction: Transaction, answer: FinalAnswer) -> None:
        self._close(transaction)
        self.tally(ANSWER_COUNTERS[type(answer)])
        counts = self.counts[transaction.request.class_name]
        if isinstance(answer, Served):
            counts.succeeded += 1
        elif isinstance(answer, Refused):
            counts.declined += 1
        else:
            counts.aborted += 1
        try:
            transaction.answer(answer)
        finally:
            self._drop_if_done(transaction)

    def _close(self, transaction: Transaction) -> None:
        transaction.open = False
        self._release(transaction)
        if transaction.deadline_timer is not None:
            transaction.deadline_timer.cancel()

    def _release(self, transaction: Transaction) -> None:
        """The transaction no longer counts as open; its id is still used by attempts that are out."""
        transaction.streaming = None
        self.open_count -= 1

    def _drop_if_done(self, transaction: Transaction) -> None:
        """Keeps a transaction until it is answered and its last attempt has ended."""
        if not transaction.open and not transaction.running:
            self._free_ident(transaction)
            if self.transactions.pop(transaction.name, None) and transaction.request.release is not None:
                transaction.request.release()
            transaction.attempts = []  # breaks the reference cycle: garbage collection is rare here

    def _free_ident(self, transaction: Transaction) -> None:
        """The id of a request may be used again once nothing of it is out, if it is safe or never ran."""
        ident = transaction.request.ident
        if transaction.name not in self.transactions or ident is None:
            return
        self.open_idents.discard(ident)
        if not transaction.safe and transaction.may_refuse:
            self.executed_ids.discard(ident)
