"""Wire format of peer messages: a checksum and entries of fixed size."""

from __future__ import annotations

import struct
import zlib

from hoistfold.interface import Plan
from hoistfold.state import COUNTS_PER_UNIT, Entry, Quota

ENTRY = struct.Struct(">5sBBHHHHHH")  # fields of state.Entry
CHECKSUM = struct.Struct(">I")
MAX_ENTRY_BYTES = 256 - CHECKSUM.size  # per message


def pack_entry(
    plans: tuple[Plan, ...],
    quota: Quota,
    kind: int,
    index: int,
    level: float,
    count: int | None = None,
    units: int = 0,
) -> bytes:
    """Encodes an entry; `count` defaults to the known count of the ring member."""
    encoded_level, plan = min(round(level * COUNTS_PER_UNIT), 0xFFFF), plans.index(quota.plan)
    count = quota.counts[index] if count is None else count
    return ENTRY.pack(quota.key, plan, kind, quota.first, quota.size, index, count, encoded_level, units)


def encode_message(entries: bytes) -> bytes:
    """Encodes a message; the checksum detects corrupted ones."""
    return CHECKSUM.pack(zlib.crc32(entries)) + entries


def decode_message(content: bytes) -> list[Entry] | None:
    """Returns the entries of a message, or None if it is corrupted."""
    entries = content[CHECKSUM.size :]
    if content[: CHECKSUM.size] != CHECKSUM.pack(zlib.crc32(entries)) or len(entries) % ENTRY.size:
        return None
    return [Entry(*fields) for fields in ENTRY.iter_unpack(entries)]
