"""Peer messages on the wire: entries of a fixed size behind a checksum. Decides nothing."""

from __future__ import annotations

import struct
import zlib

from hoistfold.interface import Plan
from hoistfold.state import COUNTS_PER_UNIT, Entry, Quota

ENTRY = struct.Struct(">5sBBHHHHHH")  # the fields of state.Entry
CHECKSUM = struct.Struct(">I")
MAX_ENTRY_BYTES = 256 - CHECKSUM.size  # bytes of entries that a message holds


def pack_entry(
    plans: tuple[Plan, ...],
    quota: Quota,
    what: int,
    place: int,
    level: float,
    count: int | None = None,
    units: int = 0,
) -> bytes:
    """One customer's entry; `count` where it isn't the one kept of the place."""
    told, plan = min(round(level * COUNTS_PER_UNIT), 0xFFFF), plans.index(quota.plan)
    count = quota.counts[place] if count is None else count
    return ENTRY.pack(quota.key, plan, what, quota.first, quota.size, place, count, told, units)


def encode_message(entries: bytes) -> bytes:
    """Entries as a message; the checksum lets a garbled one be dropped."""
    return CHECKSUM.pack(zlib.crc32(entries)) + entries


def decode_message(content: bytes) -> list[Entry] | None:
    """The entries of a message, or None where it is not sound."""
    entries = content[CHECKSUM.size :]
    if content[: CHECKSUM.size] != CHECKSUM.pack(zlib.crc32(entries)) or len(entries) % ENTRY.size:
        return None
    return [Entry(*fields) for fields in ENTRY.iter_unpack(entries)]
