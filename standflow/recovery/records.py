"""Records and their file format: one line each, with its own checksum. No I/O.

The checksum is seeded with the identity of the ingress, so a line of another ingress's store is rejected.
"""

from __future__ import annotations

import json
import math
import zlib
from dataclasses import dataclass
from typing import Any

FORMAT = 1
HEADER = "head"
MAX_LINE_BYTES = 64 * 1024


@dataclass(slots=True, frozen=True)
class Record:
    """One stored value. None deletes what is stored under this kind and name."""

    kind: str
    name: str
    value: Any  # JSON
    boot_id: str  # of the machine at the time of writing
    uptime: float  # seconds since that boot

    @property
    def key(self) -> tuple[str, str]:
        """A later record with the same key replaces this one."""
        return self.kind, self.name


@dataclass(slots=True, frozen=True)
class Contents:
    """The contents of a file: the latest record of each key, and what could not be used."""

    records: dict[tuple[str, str], Record]
    corrupt_lines: int  # truncated, damaged or from another store
    foreign_identity: str  # the identity in the header if it is not the expected one, else empty


def identity(name: str, number: int, fleet: str) -> str:
    """The identity of a store's owner; contains no settings that an operator may change."""
    return f"standflow {FORMAT} {name} {number} {fleet}"


def encode(record: Record, owner: str) -> bytes:
    """Encodes a record as a line; ValueError if it is too long."""
    row = [record.kind, record.name, record.value, record.boot_id, round(record.uptime, 3)]
    body = json.dumps(row, separators=(",", ":"), allow_nan=False).encode()
    if len(body) > MAX_LINE_BYTES:
        raise ValueError(f"{record.kind} {record.name} is too long")
    return b"%08x %b\n" % (zlib.crc32(body, zlib.crc32(owner.encode())), body)


def header_line(owner: str) -> bytes:
    """The first line of the file: names the owner, for human readers and for detecting a foreign store."""
    return f"{HEADER} {owner}\n".encode()


def decode(line: bytes, owner: str) -> Record | None:
    """Decodes a line without its newline; None if it is corrupt, or in a form that is never written."""
    body = line[9:]
    if len(body) > MAX_LINE_BYTES:
        return None
    try:
        # Compared as bytes: parsed as a number, a checksum with upper-case digits would match too, and the
        # bit flip that made them would go unnoticed.
        if line[:9] != b"%08x " % zlib.crc32(body, zlib.crc32(owner.encode())):
            return None
        kind, name, value, boot_id, uptime = json.loads(
            body, parse_float=_read_finite, parse_constant=_read_finite
        )
        return Record(str(kind), str(name), value, str(boot_id), float(uptime))
    except (ValueError, TypeError, RecursionError):
        return None


def _read_finite(text: str) -> float:
    """Reads a number; ValueError for one that can't be written again."""
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text} is out of range")
    return number


def read(data: bytes, owner: str) -> Contents:
    """Reads a whole file. A last line without a newline counts as corrupt, as it may be truncated."""
    records: dict[tuple[str, str], Record] = {}
    corrupt_lines, foreign_identity = 0, ""
    lines = data.split(b"\n")
    for line in lines[:-1]:
        if line.startswith(HEADER.encode()):
            stored_identity = line[len(HEADER) + 1 :].decode(errors="replace")
            foreign_identity = stored_identity if stored_identity != owner else foreign_identity
            continue
        record = decode(line, owner)
        if record is None:
            corrupt_lines += 1
        else:
            records.pop(record.key, None)
            if record.value is not None:
                records[record.key] = record
    return Contents(records, corrupt_lines + bool(lines[-1]), foreign_identity)
