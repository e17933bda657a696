"""One file for each process of an ingress in a folder that they share: written whole, read with suspicion.

A process writes its own file alone. The file has two slots of equal size, written in turn and in place, as
replacing a file again and again makes its writer wait for the disk. Each record has a checksum and a serial
number, and a reader takes the whole one with the higher number, so a write that breaks off leaves the record
before it. The file is made anew, by rename, where a record does not fit. What is torn, foreign or huge is
passed over.
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
MAX_FILES = 64  # looked at in the folder
MTIME_SETTLED_NS = 50_000_000  # nanoseconds after a write until its time tells it from the next one
MAX_CLOCK_STEP_NS = 86_400_000_000_000  # nanoseconds that the generation of a process of ours may lie ahead
HEADER = re.compile(rb"standflow 1 ([0-9a-f]{8}) (\d{1,8})\n")
MAX_HEADER_BYTES = 64
MIN_SLOT_BYTES = 4096
SERIAL_KEY = "serial"  # first key of a record: its number, which grows with each write
SERIAL_VALUE = re.compile(rb'\{"serial":(\d{1,18})')


def pack(value: dict[str, Any]) -> bytes:
    """A file's bytes: a head with checksum and length, then JSON."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return b"standflow 1 %08x %d\n" % (zlib.crc32(body), len(body)) + body


def unpack(data: bytes) -> dict[str, Any]:
    """What a file says; ValueError where it is not whole or not ours."""
    head = HEADER.match(data[:MAX_HEADER_BYTES])
    if head is None:
        raise ValueError("not a file of ours")
    body = data[head.end() : head.end() + int(head[2])]  # behind it may be the rest of a longer one
    if len(body) != int(head[2]) or zlib.crc32(body) != int(head[1], 16):
        raise ValueError("torn")
    value = json.loads(body)
    if not isinstance(value, dict):
        raise ValueError("no object")
    return value


def newest_record(data: bytes) -> dict[str, Any]:
    """The newest_record whole record of a file with one slot or two; ValueError where none is whole."""
    slots = sorted((data, data[len(data) // 2 :]), key=_serial, reverse=True)
    faults: list[ValueError] = []
    for slot in slots:
        try:
            record = unpack(slot)
        except ValueError as error:
            faults.append(error)
            continue
        record.pop(SERIAL_KEY, None)
        return record
    raise faults[slots.index(data)]


def _serial(slot: bytes) -> int:
    """The number of a slot's record, whole or not; 0 where it has none, as from an earlier version."""
    head = HEADER.match(slot[:MAX_HEADER_BYTES])
    value = SERIAL_VALUE.match(slot, head.end()) if head else None
    return int(value[1]) if value else 0


def _slot_bytes(record_bytes: int) -> int:
    """The size of each slot of a new file; 0 where two of them are more than a file may have."""
    slot = max(MIN_SLOT_BYTES, 1 << (record_bytes - 1).bit_length())
    return slot if 2 * slot <= MAX_FILE_BYTES else 0


def _write_all(fd: int, data: bytes, offset: int) -> None:
    """Writes at the offset, however short the writes are; OSError where they fail."""
    done = 0
    while done < len(data):
        done += os.pwrite(fd, data[done:], offset + done)


def next_generation(folder: str, name: str, now: int) -> int:
    """A generation above all that are there; `now`: Unix time in nanoseconds, maybe stepped back."""
    pattern = re.compile(re.escape(_prefix(name)) + r"(\d{1,20})\.state")
    found = []
    with contextlib.suppress(OSError), os.scandir(folder) as entries:
        found = [int(match[1]) for entry in entries if (match := pattern.fullmatch(entry.name))]
    return max([now, *(number + 1 for number in found if number < now + MAX_CLOCK_STEP_NS)])


def _prefix(name: str) -> str:
    return "standflow-" + re.sub(r"[^A-Za-z0-9_-]", "_", name)[:64] + "-"


class StateFiles:
    """The folder, seen from one process with a `generation` of its own."""

    def __init__(self, folder: str, name: str, generation: int, log: Callable[[str], None]) -> None:
        self.folder, self.generation, self.log = Path(folder), generation, log
        self.prefix = _prefix(name)
        self.path = self.folder / f"{self.prefix}{generation}.state"
        self.cache: dict[str, tuple[tuple[int, int], dict[str, Any] | None]] = {}
        self.unreadable: set[str] = set()  # unreadable at the last look, maybe as they were being written
        self.fd = -1  # of our own file, once it is made
        self.slot_bytes = 0  # of each of its two slots; 0 where it has but one record
        self.newest_slot = 0
        self.serial = 0  # of the record written last

    def write(self, value: dict[str, Any]) -> None:
        """Writes this process's file; what can't be written is logged, and the ingress goes on."""
        self.serial += 1
        data = pack({SERIAL_KEY: self.serial} | value)
        if not self._write_in_place(data):
            self._replace_file(data)

    def _write_in_place(self, data: bytes) -> bool:
        """Writes the slot that does not hold the newest record; False if the file has to be replaced."""
        if self.fd < 0 or len(data) > self.slot_bytes:
            return False
        slot = 1 - self.newest_slot
        try:
            _write_all(self.fd, data, slot * self.slot_bytes)
        except OSError as error:
            self.log(f"upgrade: {self.path.name}: {error.strerror}: written anew")
            return False
        self.newest_slot = slot
        return True

    def _replace_file(self, data: bytes) -> None:
        """Puts a new file in the place of the one before, which stays where that fails."""
        beside = self.path.with_suffix(".part")
        slot_bytes = _slot_bytes(len(data))
        try:
            fd = os.open(beside, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        except OSError as error:
            self.log(f"upgrade: {beside.name}: {error.strerror}")
            return
        try:
            _write_all(fd, data, 0)
            if slot_bytes:
                os.ftruncate(fd, 2 * slot_bytes)
            os.replace(beside, self.path)
        except OSError as error:
            self.log(f"upgrade: {self.path.name}: {error.strerror}")
            os.close(fd)
            return
        if self.fd >= 0:
            os.close(self.fd)
        self.fd, self.slot_bytes, self.newest_slot = fd, slot_bytes, 0

    def others(self) -> dict[int, dict[str, Any]]:
        """What the other processes' files say, by generation; each is read once for each time written."""
        seen: dict[str, tuple[tuple[int, int], dict[str, Any] | None]] = {}
        with contextlib.suppress(OSError), os.scandir(self.folder) as entries:
            for entry in entries:
                number = entry.name[len(self.prefix) : -len(".state")]
                fitting = entry.name.startswith(self.prefix) and entry.name.endswith(".state")
                if not fitting or not number.isdigit() or int(number) == self.generation:
                    continue
                if len(seen) >= MAX_FILES:
                    break
                with contextlib.suppress(OSError):
                    status = entry.stat()
                    mark = (status.st_mtime_ns, status.st_ino)
                    before = self.cache.get(entry.name)
                    settled = time.time_ns() - status.st_mtime_ns > MTIME_SETTLED_NS
                    if before is not None and before[0] == mark and settled:
                        seen[entry.name] = before
                        continue
                    try:
                        seen[entry.name] = (mark, self._read(entry.name, status.st_size))
                        self.unreadable.discard(entry.name)
                    except (OSError, ValueError, RecursionError) as error:
                        if entry.name in self.unreadable:
                            seen[entry.name] = (mark, None)
                            if before != (mark, None):
                                self.log(f"upgrade: {entry.name} is passed over: {error}")
                        else:  # maybe as it was being written: what it said holds until the next look
                            self.unreadable.add(entry.name)
                            if before is not None:
                                seen[entry.name] = ((0, 0), before[1])
        self.cache = seen
        return {
            int(name[len(self.prefix) : -6]): value for name, (_, value) in seen.items() if value is not None
        }

    def remove(self, generation: int) -> None:
        """Removes the file of a process that is over."""
        with contextlib.suppress(OSError):
            (self.folder / f"{self.prefix}{generation}.state").unlink()

    def _read(self, name: str, size: int) -> dict[str, Any]:
        if size > MAX_FILE_BYTES:
            raise ValueError("too large")
        value = newest_record((self.folder / name).read_bytes()[: MAX_FILE_BYTES + 1])
        if str(value.get("generation")) != name[len(self.prefix) : -len(".state")]:
            raise ValueError("another process's")
        return value
