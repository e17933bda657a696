"""The file of records: read at the start, then written and synced by one thread that holds nothing else.

The serving loop hands over records and never waits. What can't be written is one log line; it is tried again
with all that is known.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import threading
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path

from standflow.recovery.records import Contents, Record, encode, header_line, read

RECORDS_FILE, LOCK_FILE, FOREIGN_FILE = "records", "lock", "records.aside"
WASTE = 256 * 1024  # bytes that superseded lines may take in any case
AGAIN = 1.0  # seconds until a failed write is tried again
AGAIN_AT_END = 0.05  # the same, once the store is being closed
FIRST_OUT = "use"  # the kind of record that gives way where there is no room


class Store:
    """One ingress's store. `notes` are lines for the log, taken out by the loop."""

    def __init__(
        self, folder: Path, whose: str, most: int, sync: Callable[[int], None] = os.fdatasync
    ) -> None:
        """`most`: bytes that records in force may take; `sync` makes a descriptor's bytes last."""
        self.folder, self.whose, self.most, self.sync = folder, whose, most, sync
        self.log_lines: deque[str] = deque(maxlen=100)
        self.lines: dict[tuple[str, str], bytes] = {}  # in force, the one written last is last
        self.size = 0  # bytes of these
        self.appended = 0  # bytes of the file beyond them
        self.written = self.syncs = 0  # bytes and calls, since the start
        self.lock_fd = -1  # the lock's descriptor
        self._file = -1
        self._next: dict[tuple[str, str], Record] = {}
        self._wake = threading.Condition()
        self._closed = False
        self._whole = True  # the file is to be written anew
        self._owed = False  # by a write that failed
        self._last_try = 0.0  # of the monotonic clock, once it is closed
        self._thread: threading.Thread | None = None
        self._failed = ""

    def lock(self) -> bool:
        """True where this process alone may write; another one of this ingress may, else."""
        if self.lock_fd < 0:
            try:
                self.folder.mkdir(parents=True, exist_ok=True)
                fd = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            except OSError as error:
                self._fault(f"{LOCK_FILE}: {error.strerror}")
                return False
            try:
                fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(fd)
                return False
            self.lock_fd = fd
        return True

    def load(self) -> Contents:
        """What was kept; nothing where nothing can be read. Another's file is set aside."""
        path = self.folder / RECORDS_FILE
        try:
            with path.open("rb") as file:
                data = file.read(4 * self.most + WASTE)
        except FileNotFoundError:
            return Contents({}, 0, "")
        except OSError as error:
            self._fault(f"{RECORDS_FILE}: {error.strerror}")
            return Contents({}, 0, "")
        contents = read(data, self.whose)
        if contents.foreign_identity and not contents.records and self.lock_fd >= 0:
            with contextlib.suppress(OSError):
                os.replace(path, self.folder / FOREIGN_FILE)
        if self.lock_fd >= 0:
            for key, record in contents.records.items():
                self.lines[key] = line = encode(record, self.whose)
                self.size += len(line)
        return contents

    def put(self, records: list[Record]) -> None:
        """Takes records in; of one key the latest is written. Only the lock's holder writes."""
        if self.lock_fd < 0 or not records:
            return
        with self._wake:
            for record in records:
                self._next.pop(record.key, None)
                self._next[record.key] = record
            if self._thread is None:
                self._thread = threading.Thread(target=self._write, name="store", daemon=True)
                self._thread.start()
            self._wake.notify()

    def close(self, limit: float = 1.0) -> None:
        """Writes what is waiting, for so many seconds at most."""
        with self._wake:
            self._closed = True
            self._last_try = time.monotonic() + limit - AGAIN_AT_END
            self._wake.notify()
        if self._thread is not None:
            self._thread.join(limit)
        if self.lock_fd >= 0 and (self._thread is None or not self._thread.is_alive()):
            os.close(self.lock_fd)
            self.lock_fd = -1

    # The thread.

    def _write(self) -> None:
        while True:
            with self._wake:
                # What a failed write was to make last is owed still, whether or not more comes.
                while not self._next and not self._closed and not self._owed:
                    self._wake.wait()
                batch, self._next = self._next, {}
                closed = self._closed
            try:
                self._put(list(batch.values()))
                if self._failed:
                    self.log_lines.append("store: written again")
                self._failed, self._owed = "", False
            except OSError as error:
                self._whole = self._owed = True  # what the file holds now is not known
                self._fault(f"{RECORDS_FILE}: {error.strerror}")
                with self._wake:
                    self._wake.wait_for(lambda: self._closed, AGAIN)
                if closed and time.monotonic() < self._last_try:
                    time.sleep(AGAIN_AT_END)
                    continue
            if closed:
                if self._file >= 0:
                    os.close(self._file)
                return

    def _put(self, records: list[Record]) -> None:
        fresh = []
        for record in records:
            try:
                line = encode(record, self.whose)
            except ValueError as error:
                self.log_lines.append(f"store: passed over: {error}")
                continue
            before = self.lines.pop(record.key, b"")
            self.size -= len(before)
            self.appended += len(before)
            fresh.append(line)
            if record.value is not None:
                self.lines[record.key] = line
                self.size += len(line)
            else:
                self.appended += len(line)
        self._make_room()
        if self._whole or self.appended > max(WASTE, self.size):
            self._write_whole()
        elif fresh:
            self._all(self._file, b"".join(fresh))
            self.sync(self._file)
            self.syncs += 1

    def _make_room(self) -> None:
        """The oldest use gives way; operators' words and next hops are few."""
        if self.size <= self.most:
            return
        for key in [key for key in self.lines if key[0] == FIRST_OUT]:
            line = self.lines.pop(key)
            self.size -= len(line)
            self.appended += len(line)
            if self.size <= self.most:
                return

    def _write_whole(self) -> None:
        """A new file takes the old one's place once it lasts: a loss leaves one of the two whole."""
        self.folder.mkdir(parents=True, exist_ok=True)
        beside = self.folder / (RECORDS_FILE + ".part")
        fd = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)
        try:
            self._all(fd, header_line(self.whose) + b"".join(self.lines.values()))
            self.sync(fd)
            self.syncs += 1
            os.replace(beside, self.folder / RECORDS_FILE)
            at = os.open(self.folder, os.O_RDONLY)
            try:
                os.fsync(at)
            finally:
                os.close(at)
        except OSError:
            os.close(fd)
            raise
        if self._file >= 0:
            os.close(self._file)
        self._file, self._whole, self.appended = fd, False, 0

    def _all(self, fd: int, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(fd, rest) :]
        self.written += len(data)

    def _fault(self, text: str) -> None:
        if text != self._failed:
            self.log_lines.append(f"store: {text}; the ingress goes on without")
        self._failed = text
