"""What members tell of each other, and its form on the wire. No I/O.

A datagram begins with MAGIC and a tag over the rest, keyed by the fleet's name: so it is told from the ring's
datagrams, and a foreign fleet's or a garbled one is dropped.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2b

MAGIC = b"\xf1\xee"
MAX_DATAGRAM_BYTES = 256
MAX_INCARNATION = 0xFFFF
MAX_BOOT_TIME_MS = (1 << 48) - 1
NO_CURSOR = 0xFFFF  # no updates are wanted

_TAG = 6  # bytes
_HEADER = struct.Struct(
    ">BH6sHIIHH"
)  # kind, member id, boot time, incarnation, serial, digest, about, cursor
_UPDATE = struct.Struct(">H6sHB")  # member id, boot time, incarnation, state
_ADDRESS = struct.Struct(">4sH")

Address = tuple[str, int]


class State(IntEnum):
    """What a member is held for; of two updates on one version the higher one holds."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2  # silent: it crashed, or is cut off
    REMOVED = 3  # dead for so long, for a majority, that it counts no more
    LEFT = 4  # it said so itself

    @property
    def log_name(self) -> str:
        """What log lines call it."""
        return _LOG_NAMES[self]


class Kind(IntEnum):
    """What a datagram is for."""

    PING = 0
    ACK = 1
    INDIRECT_PING = 2  # ping `about` for the sender
    GOSSIP = 3  # updates alone; no answer is expected


@dataclass(slots=True, frozen=True, order=True)
class Update:
    """One member as somebody holds it; the greater by boot time, incarnation and state wins."""

    member_id: int
    boot_time_ms: int  # Unix time of its start, or one above that of the process before it
    incarnation: int  # raised by each refutation since that start
    state: State
    address: Address | None = None  # where it is not in the settings' list

    @property
    def version(self) -> tuple[int, int]:
        """Boot time and incarnation: what a refutation must exceed."""
        return self.boot_time_ms, self.incarnation


@dataclass(slots=True, frozen=True)
class Message:
    """A datagram. `member_id`, `boot_time_ms` and `incarnation` are the sender's; `about` the member that it
    vouches for or asks for; `cursor` the member id from which on updates are wanted."""

    kind: Kind
    member_id: int
    boot_time_ms: int
    incarnation: int
    serial: int
    digest: int
    about: int
    cursor: int
    updates: tuple[Update, ...] = ()


# Operators and the reader of logs know the states by these names.
_LOG_NAMES = {
    State.ALIVE: "present",
    State.SUSPECTED: "suspected",
    State.DEAD: "gone",
    State.REMOVED: "buried",
    State.LEFT: "left",
}
_KINDS, _STATES = tuple(Kind), tuple(State)


def derive_key(fleet: str) -> bytes:
    """The key of a fleet's tags, from its name."""
    return blake2b(fleet.encode(), digest_size=32).digest()


def updates_per_datagram(with_addresses: bool) -> int:
    """Updates that a datagram holds."""
    update_size = _UPDATE.size + (_ADDRESS.size if with_addresses else 0)
    return (MAX_DATAGRAM_BYTES - len(MAGIC) - _TAG - _HEADER.size - 1) // update_size


def pack_update(update: Update) -> bytes:
    """An update without its address."""
    return _UPDATE.pack(update.member_id, update.boot_time_ms.to_bytes(6), update.incarnation, update.state)


def encode(message: Message, key: bytes, with_addresses: bool) -> bytes:
    """The datagram."""
    m = message
    boot_time_ms = m.boot_time_ms.to_bytes(6)
    parts = [
        _HEADER.pack(m.kind, m.member_id, boot_time_ms, m.incarnation, m.serial, m.digest, m.about, m.cursor)
    ]
    parts.append(bytes([with_addresses]))
    for update in m.updates:
        parts.append(pack_update(update))
        if with_addresses:
            host, port = update.address or ("0.0.0.0", 0)
            parts.append(_ADDRESS.pack(socket.inet_aton(host), port))
    body = b"".join(parts)
    return MAGIC + blake2b(body, digest_size=_TAG, key=key).digest() + body


def decode(content: bytes, key: bytes) -> Message | None:
    """The message of a datagram; None where it is not one of this fleet's, or not sound."""
    body = content[len(MAGIC) + _TAG :]
    tag = content[len(MAGIC) : len(MAGIC) + _TAG]
    if len(body) <= _HEADER.size or tag != blake2b(body, digest_size=_TAG, key=key).digest():
        return None
    kind, member_id, boot_time_ms, incarnation, serial, digest, about, cursor = _HEADER.unpack_from(body)
    with_addresses, rest = body[_HEADER.size], body[_HEADER.size + 1 :]
    update_size = _UPDATE.size + (_ADDRESS.size if with_addresses else 0)
    if kind >= len(_KINDS) or len(rest) % update_size:
        return None
    updates = []
    for at in range(0, len(rest), update_size):
        of, began, refuted, state = _UPDATE.unpack_from(rest, at)
        if state >= len(_STATES):
            return None
        address = None
        if with_addresses:
            host, port = _ADDRESS.unpack_from(rest, at + _UPDATE.size)
            address = (socket.inet_ntoa(host), port) if port else None
        updates.append(Update(of, int.from_bytes(began), refuted, _STATES[state], address))
    return Message(
        _KINDS[kind],
        member_id,
        int.from_bytes(boot_time_ms),
        incarnation,
        serial,
        digest,
        about,
        cursor,
        tuple(updates),
    )
