"""Membership messages and their wire format. No I/O.

A datagram begins with MAGIC and an authentication tag over the rest, keyed by the fleet's name. MAGIC
distinguishes it from ring datagrams; the tag rejects corrupted datagrams and those of another fleet.
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
NO_CURSOR = 0xFFFF  # no table sync requested

_TAG = 6  # bytes
# kind, member id, boot time, incarnation, serial, digest, about, cursor
_HEADER = struct.Struct(">BH6sHIIHH")
_UPDATE = struct.Struct(">H6sHB")  # member id, boot time, incarnation, state
_ADDRESS = struct.Struct(">4sH")

Address = tuple[str, int]


class State(IntEnum):
    """A member's state; of two updates with the same version the higher state wins."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2  # did not refute a suspicion in time: crashed or partitioned
    REMOVED = 3  # dead for so long that a side with a quorum no longer counts it
    LEFT = 4  # announced its own shutdown

    @property
    def log_name(self) -> str:
        """The name of the state in log lines."""
        return _LOG_NAMES[self]


class Kind(IntEnum):
    """The type of a datagram."""

    PING = 0
    ACK = 1
    INDIRECT_PING = 2  # asks the receiver to ping `about`
    GOSSIP = 3  # carries updates only; no reply is expected


@dataclass(slots=True, frozen=True, order=True)
class Update:
    """The state of one member; of two updates the greater by boot time, incarnation and state wins."""

    member_id: int
    boot_time_ms: int  # Unix time of its start, or one more than the boot time of the previous process
    incarnation: int  # incremented by each refutation since that start
    state: State
    address: Address | None = None  # only where the settings do not list member addresses

    @property
    def version(self) -> tuple[int, int]:
        """Boot time and incarnation; a refutation must have a higher version."""
        return self.boot_time_ms, self.incarnation


@dataclass(slots=True, frozen=True)
class Message:
    """A datagram. `member_id`, `boot_time_ms` and `incarnation` are the sender's; `about` is the member that
    an ACK confirms or an INDIRECT_PING asks for; `cursor` is the first member id to sync from."""

    kind: Kind
    member_id: int
    boot_time_ms: int
    incarnation: int
    serial: int
    digest: int
    about: int
    cursor: int
    updates: tuple[Update, ...] = ()


# Operators and the log tools in lab/ rely on these names.
_LOG_NAMES = {
    State.ALIVE: "present",
    State.SUSPECTED: "suspected",
    State.DEAD: "gone",
    State.REMOVED: "buried",
    State.LEFT: "left",
}
_KINDS, _STATES = tuple(Kind), tuple(State)


def derive_key(fleet: str) -> bytes:
    """Derives the key of the authentication tags from the fleet's name."""
    return blake2b(fleet.encode(), digest_size=32).digest()


def updates_per_datagram(with_addresses: bool) -> int:
    """The maximum number of updates in a datagram."""
    update_size = _UPDATE.size + (_ADDRESS.size if with_addresses else 0)
    return (MAX_DATAGRAM_BYTES - len(MAGIC) - _TAG - _HEADER.size - 1) // update_size


def pack_update(update: Update) -> bytes:
    """Packs an update without its address."""
    return _UPDATE.pack(update.member_id, update.boot_time_ms.to_bytes(6), update.incarnation, update.state)


def encode(message: Message, key: bytes, with_addresses: bool) -> bytes:
    """Encodes a message as a datagram."""
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
    """Decodes a datagram; None if it is corrupted or from another fleet."""
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
        updated_id, updated_boot_time, updated_incarnation, state = _UPDATE.unpack_from(rest, at)
        if state >= len(_STATES):
            return None
        address = None
        if with_addresses:
            host, port = _ADDRESS.unpack_from(rest, at + _UPDATE.size)
            address = (socket.inet_ntoa(host), port) if port else None
        updates.append(
            Update(
                updated_id, int.from_bytes(updated_boot_time), updated_incarnation, _STATES[state], address
            )
        )
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
