"""The datagrams that a member is about to send, within its rate."""

from __future__ import annotations

from dataclasses import dataclass, field

from standflow.fleet.dissemination import Dissemination
from standflow.fleet.member_table import MemberTable
from standflow.fleet.messages import NO_CURSOR, Address, Kind, Message
from standflow.fleet.rate_limit import TokenBucket

SENDS_PER_SECOND, SEND_BURST = 5.0, 5.0  # datagrams begun from here
CATCH_UP_SENDS_PER_SECOND = 6.5  # the same while this member is new, or nobody holds what it holds


@dataclass(slots=True, frozen=True)
class Send:
    """A datagram to a member, or to an address where the member's id is not known yet."""

    to: int | Address
    message: Message


@dataclass(slots=True)
class Outbox:
    """Puts datagrams together and keeps them until they are taken out."""

    table: MemberTable
    dissemination: Dissemination
    send_limit: TokenBucket
    sent: int = 0
    last_serial: int = 0
    queue: list[Send] = field(default_factory=list)

    def next_serial(self) -> int:
        """A number by which an answer is told from others."""
        self.last_serial = (self.last_serial + 1) & 0xFFFFFFFF
        return self.last_serial

    def send(
        self,
        to: int | Address,
        kind: Kind,
        serial: int = 0,
        about: int | None = None,
        cursor: int = NO_CURSOR,
    ) -> None:
        """A datagram with what is to be spread on it; `about` is this member if nobody else is named."""
        updates, following = self.dissemination.choose(to, cursor)
        own = self.table.own
        message = Message(
            kind,
            own.member_id,
            own.boot_time_ms,
            own.incarnation,
            serial,
            self.table.digest,
            own.member_id if about is None else about,
            following if kind is Kind.ACK else cursor,
            updates,
        )
        self.sent += 1
        self.queue.append(Send(to, message))

    def take(self) -> list[Send]:
        """All that wait, in order."""
        sends, self.queue = self.queue, []
        return sends
