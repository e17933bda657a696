"""State files of the processes of one ingress in a shared folder, one file per process.

A process writes only its own file. The file has two slots of equal size, written alternately and in place,
because replacing a file again and again makes the writer wait for the disk. Each record has a checksum and a
serial number. A reader takes the intact record with the higher number, so an interrupted write leaves the
previous record valid. The file is replaced by rename if a record does not fit. Torn, foreign and oversized
files are ignored.
"""

from __future__ import annotations

import contextlib
import json
import os
import re
import time
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

MAX_FILE_BYTES = 4 * 1024 * 1024
MAX_FILES = 64  # read from the folder
MTIME_SETTLED_NS = 50_000_000  # after a write, the age from which a later one surely has another mtime
MAX_CLOCK_STEP_NS = 86_400_000_000_000  # by which an existing generation may be ahead of the clock
HEADER = re.compile(rb"standflow 1 ([0-9a-f]{8}) (\d{1,8})\n")
MAX_HEADER_BYTES = 64
MIN_SLOT_BYTES = 4096
SERIAL_KEY = "serial"  # first key of a record: its number, which grows with each write
SERIAL_VALUE = re.compile(rb'\{"serial":(\d{1,18})')


def pack(value: dict[str, Any]) -> bytes:
    """Encodes a record: a header with checksum and length, then JSON."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return b"standflow 1 %08x %d\n" % (zlib.crc32(body), len(body)) + body


def unpack(data: bytes) -> dict[str, Any]:
    """Decodes a record; ValueError if it is not intact or not ours."""
    header = HEADER.match(data[:MAX_HEADER_BYTES])
    if header is None:
        raise ValueError("not a file of ours")
    # The rest of a longer, older record may follow.
    body = data[header.end() : header.end() + int(header[2])]
    if len(body) != int(header[2]) or zlib.crc32(body) != int(header[1], 16):
        raise ValueError("torn")
    value = json.loads(body)
    if not isinstance(value, dict):
        raise ValueError("the record is no JSON object")
    return value


def newest_record(data: bytes) -> dict[str, Any]:
    """The newest intact record of a file with one or two slots; ValueError if there is none."""
    slots = sorted((data, data[len(data) // 2 :]), key=_serial, reverse=True)
    errors: list[ValueError] = []
    for slot in slots:
        try:
            record = unpack(slot)
        except ValueError as error:
            errors.append(error)
            continue
        record.pop(SERIAL_KEY, None)
        return record
    raise errors[slots.index(data)]


def _serial(slot: bytes) -> int:
    """The serial number of a slot's record, intact or not; 0 if it has none, as in earlier versions."""
    header = HEADER.match(slot[:MAX_HEADER_BYTES])
    value = SERIAL_VALUE.match(slot, header.end()) if header else None
    return int(value[1]) if value else 0


def _slot_bytes(record_bytes: int) -> int:
    """The size of each slot of a new file; 0 if two of them would exceed the maximum file size."""
    slot = max(MIN_SLOT_BYTES, 1 << (record_bytes - 1).bit_length())
    return slot if 2 * slot <= MAX_FILE_BYTES else 0


def _write_all(fd: int, data: bytes, offset: int) -> None:
    """Writes all data at the offset, across short writes; OSError if a write fails."""
    done = 0
    while done < len(data):
        done += os.pwrite(fd, data[done:], offset + done)


def next_generation(folder: str, name: str, now: int) -> int:
    """A generation above all existing ones; `now`: Unix time in nanoseconds, possibly stepped back."""
    pattern = re.compile(re.escape(_prefix(name)) + r"(\d{1,20})\.state")
    found = []
    with contextlib.suppress(OSError), os.scandir(folder) as entries:
        found = [int(match[1]) for entry in entries if (match := pattern.fullmatch(entry.name))]
    return max([now, *(number + 1 for number in found if number < now + MAX_CLOCK_STEP_NS)])


def _prefix(name: str) -> str:
    return "standflow-" + re.sub(r"[^A-Za-z0-9_-]", "_", name)[:64] + "-"


class StateFiles:
    """The shared folder, as used by one process with its own `generation`."""

    def __init__(self, folder: str, name: str, generation: int, log: Callable[[str], None]) -> None:
        self.folder, self.generation, self.log = Path(folder), generation, log
        self.prefix = _prefix(name)
        self.path = self.folder / f"{self.prefix}{generation}.state"
        self.cache: dict[str, tuple[tuple[int, int], dict[str, Any] | None]] = {}  # last reads, by file name
        self.unreadable: set[str] = set()  # file names that failed at the last read, maybe during a write
        self.fd = -1  # of this process's file, once it exists
        self.slot_bytes = 0  # of each of its two slots; 0 if it holds a single record
        self.newest_slot = 0
        self.serial = 0  # of the last record written

    def write(self, value: dict[str, Any]) -> None:
        """Writes this process's file. A failure is logged, and the ingress continues."""
        self.serial += 1
        data = pack({SERIAL_KEY: self.serial} | value)
        if not self._write_in_place(data):
            self._replace_file(data)

    def _write_in_place(self, data: bytes) -> bool:
        """Overwrites the slot without the newest record; False if the file has to be replaced."""
        if self.fd < 0 or len(data) > self.slot_bytes:
            return False
        slot = 1 - self.newest_slot
        try:
            _write_all(self.fd, data, slot * self.slot_bytes)
        except OSError as error:
            self.log(f"upgrade: {self.path.name}: {error.strerror}: replacing the file")
            return False
        self.newest_slot = slot
        return True

    def _replace_file(self, data: bytes) -> None:
        """Replaces the file by rename; on failure the existing one stays."""
        temporary = self.path.with_suffix(".part")
        slot_bytes = _slot_bytes(len(data))
        try:
            fd = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        except OSError as error:
            self.log(f"upgrade: {temporary.name}: {error.strerror}")
            return
        try:
            _write_all(fd, data, 0)
            if slot_bytes:
                os.ftruncate(fd, 2 * slot_bytes)
            os.replace(temporary, self.path)
        except OSError as error:
            self.log(f"upgrade: {self.path.name}: {error.strerror}")
            os.close(fd)
            return
        if self.fd >= 0:
            os.close(self.fd)
        self.fd, self.slot_bytes, self.newest_slot = fd, slot_bytes, 0

    def others(self) -> dict[int, dict[str, Any]]:
        """The records of the other processes, by generation; a file is read only when it has changed."""
        current: dict[str, tuple[tuple[int, int], dict[str, Any] | None]] = {}
        with contextlib.suppress(OSError), os.scandir(self.folder) as entries:
            for entry in entries:
                number = entry.name[len(self.prefix) : -len(".state")]
                matches = entry.name.startswith(self.prefix) and entry.name.endswith(".state")
                if not matches or not number.isdigit() or int(number) == self.generation:
                    continue
                if len(current) >= MAX_FILES:
                    break
                with contextlib.suppress(OSError):
                    status = entry.stat()
                    version = (status.st_mtime_ns, status.st_ino)
                    before = self.cache.get(entry.name)
                    settled = time.time_ns() - status.st_mtime_ns > MTIME_SETTLED_NS
                    if before is not None and before[0] == version and settled:
                        current[entry.name] = before
                        continue
                    try:
                        current[entry.name] = (version, self._read(entry.name, status.st_size))
                        self.unreadable.discard(entry.name)
                    except (OSError, ValueError, RecursionError) as error:
                        if entry.name in self.unreadable:
                            current[entry.name] = (version, None)
                            if before != (version, None):
                                self.log(f"upgrade: {entry.name} is ignored: {error}")
                        else:  # it may be being written: the previous record holds until the next read
                            self.unreadable.add(entry.name)
                            if before is not None:
                                current[entry.name] = ((0, 0), before[1])
        self.cache = current
        return {
            int(name[len(self.prefix) : -6]): value
            for name, (_, value) in current.items()
            if value is not None
        }

    def remove(self, generation: int) -> None:
        """Removes the file of a process that has exited."""
        with contextlib.suppress(OSError):
            (self.folder / f"{self.prefix}{generation}.state").unlink()

    def _read(self, name: str, size: int) -> dict[str, Any]:
        if size > MAX_FILE_BYTES:
            raise ValueError("too large")
        value = newest_record((self.folder / name).read_bytes()[: MAX_FILE_BYTES + 1])
        if str(value.get("generation")) != name[len(self.prefix) : -len(".state")]:
            raise ValueError("another process's")
        return value
