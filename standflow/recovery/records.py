"""Records and their form in a file: a line each, behind a checksum of its own. No I/O.

The checksum is begun with the identity of the ingress: a line copied from another store is as good as torn.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass
from typing import Any

FORMAT = 1
HEAD = "head"
LONGEST = 64 * 1024  # bytes of a line


@dataclass(slots=True, frozen=True)
class Record:
    """One thing kept. A value of None says that there is nothing more under this kind and name."""

    kind: str
    name: str
    value: Any  # as JSON has it
    boot_id: str  # of the machine, when it was written
    uptime: float  # seconds of that boot's clock

    @property
    def key(self) -> tuple[str, str]:
        """What a later record of the same takes the place of."""
        return self.kind, self.name


@dataclass(slots=True, frozen=True)
class Contents:
    """What a file says: the latest record of each key, and what else was found."""

    records: dict[tuple[str, str], Record]
    corrupt_lines: int  # lines that are torn, flipped or another's
    foreign_identity: str  # the identity in the head, where it is not ours


def identity(name: str, number: int, fleet: str) -> str:
    """Whose a store is; what may change by an operator's hand is no part of it."""
    return f"standflow {FORMAT} {name} {number} {fleet}"


def encode(record: Record, whose: str) -> bytes:
    """The line of a record; ValueError where it is too long."""
    row = [record.kind, record.name, record.value, record.boot_id, round(record.uptime, 3)]
    body = json.dumps(row, separators=(",", ":"), allow_nan=False).encode()
    if len(body) > LONGEST:
        raise ValueError(f"{record.kind} {record.name} is too long")
    return b"%08x %b\n" % (zlib.crc32(body, zlib.crc32(whose.encode())), body)


def header_line(whose: str) -> bytes:
    """The first line: for whoever reads it, and for the log where it is another's."""
    return f"{HEAD} {whose}\n".encode()


def decode(line: bytes, whose: str) -> Record | None:
    """The record of a line without its end; None where it is spoilt."""
    body = line[9:]
    try:
        # as bytes: in capitals the same number would stand there, and a flipped bit be passed over
        if line[:9] != b"%08x " % zlib.crc32(body, zlib.crc32(whose.encode())):
            return None
        kind, name, value, boot_id, uptime = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return Record(kind, name, value, boot_id, float(uptime))


def read(data: bytes, whose: str) -> Contents:
    """All that a file says. The last line counts only with its end: it may be cut."""
    records: dict[tuple[str, str], Record] = {}
    corrupt_lines, foreign_identity = 0, ""
    lines = data.split(b"\n")
    for line in lines[:-1]:
        if line.startswith(HEAD.encode()):
            said = line[len(HEAD) + 1 :].decode(errors="replace")
            foreign_identity = said if said != whose else foreign_identity
            continue
        record = decode(line, whose)
        if record is None:
            corrupt_lines += 1
        else:
            records.pop(record.key, None)
            if record.value is not None:
                records[record.key] = record
    return Contents(records, corrupt_lines + bool(lines[-1]), foreign_identity)
