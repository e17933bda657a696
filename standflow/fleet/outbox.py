"""Queue of outgoing datagrams and the limit on their rate."""

from __future__ import annotations

from dataclasses import dataclass, field

from standflow.fleet.dissemination import Dissemination
from standflow.fleet.member_table import MemberTable
from standflow.fleet.messages import NO_CURSOR, Address, Kind, Message
from standflow.fleet.rate_limit import TokenBucket

SENDS_PER_SECOND, SEND_BURST = 5.0, 5.0  # datagrams that are not replies
CATCH_UP_SENDS_PER_SECOND = 6.5  # the same while this member is starting or tables differ for long


@dataclass(slots=True, frozen=True)
class Send:
    """A datagram to a member, or to an address whose member id is not known yet."""

    to: int | Address
    message: Message


@dataclass(slots=True)
class Outbox:
    """Builds datagrams and queues them until the caller takes them."""

    table: MemberTable
    dissemination: Dissemination
    send_limit: TokenBucket
    sent: int = 0
    last_serial: int = 0
    queue: list[Send] = field(default_factory=list)

    def next_serial(self) -> int:
        """The serial number that matches a reply to its request."""
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
        """Queues a datagram with piggybacked updates; `about` defaults to this member."""
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
        """Empties the queue and returns its datagrams in order."""
        sends, self.queue = self.queue, []
        return sends
