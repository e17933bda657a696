"""The file of records: read at the start, then written and synced by a thread of its own.

The serving loop hands over records and never blocks on the disk. A failed write is logged once and retried
with all current records.
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
MAX_SUPERSEDED_BYTES = (
    256 * 1024
)  # in superseded lines before a rewrite, or the size of current lines if more
RETRY_SECONDS = 1.0  # until a failed write is retried
RETRY_ON_CLOSE_SECONDS = 0.05  # the same while the store is being closed
EVICTED_KIND = "use"  # records of this kind are evicted when the size limit is reached


class Store:
    """The store of one ingress. `log_lines` are written by the thread and logged by the loop."""

    def __init__(
        self, folder: Path, owner: str, max_bytes: int, sync: Callable[[int], None] = os.fdatasync
    ) -> None:
        """`max_bytes`: limit on the size of current records; `sync` flushes a descriptor to disk."""
        self.folder, self.owner, self.max_bytes, self.sync = folder, owner, max_bytes, sync
        self.log_lines: deque[str] = deque(maxlen=100)
        self.lines: dict[tuple[str, str], bytes] = {}  # current records, least recently written first
        self.live_bytes = 0  # total size of `lines`
        self.superseded_bytes = 0  # the rest of the file
        self.written = self.syncs = 0  # bytes and calls since the start
        self.lock_fd = -1  # -1 while this process does not hold the lock
        self._file = -1
        self._pending: dict[tuple[str, str], Record] = {}
        self._wake = threading.Condition()
        self._closed = False
        self._rewrite_needed = True
        self._retry_needed = False  # the last write failed
        self._retry_deadline = 0.0  # for retries after `close`, monotonic clock
        self._thread: threading.Thread | None = None
        self._last_error = ""

    def lock(self) -> bool:
        """Tries to take the lock; False while another process of this ingress holds it."""
        if self.lock_fd < 0:
            try:
                self.folder.mkdir(parents=True, exist_ok=True)
                fd = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            except OSError as error:
                self._report_error(f"{LOCK_FILE}: {error.strerror}")
                return False
            try:
                fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(fd)
                return False
            self.lock_fd = fd
        return True

    def load(self) -> Contents:
        """Reads the file; empty if it can't be read. A file of another ingress is moved aside."""
        path = self.folder / RECORDS_FILE
        try:
            with path.open("rb") as file:
                data = file.read(4 * self.max_bytes + MAX_SUPERSEDED_BYTES)
        except FileNotFoundError:
            return Contents({}, 0, "")
        except OSError as error:
            self._report_error(f"{RECORDS_FILE}: {error.strerror}")
            return Contents({}, 0, "")
        contents = read(data, self.owner)
        if contents.foreign_identity and not contents.records and self.lock_fd >= 0:
            with contextlib.suppress(OSError):
                os.replace(path, self.folder / FOREIGN_FILE)
        if self.lock_fd >= 0:
            for key, record in contents.records.items():
                self.lines[key] = line = encode(record, self.owner)
                self.live_bytes += len(line)
        return contents

    def put(self, records: list[Record]) -> None:
        """Queues records for writing, the latest of each key; ignored unless this process holds the lock."""
        if self.lock_fd < 0 or not records:
            return
        with self._wake:
            for record in records:
                self._pending.pop(record.key, None)
                self._pending[record.key] = record
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, name="store", daemon=True)
                self._thread.start()
            self._wake.notify()

    def close(self, limit: float = 1.0) -> None:
        """Writes what is queued and stops the thread, within `limit` seconds."""
        with self._wake:
            self._closed = True
            self._retry_deadline = time.monotonic() + limit - RETRY_ON_CLOSE_SECONDS
            self._wake.notify()
        if self._thread is not None:
            self._thread.join(limit)
        if self.lock_fd >= 0 and (self._thread is None or not self._thread.is_alive()):
            os.close(self.lock_fd)
            self.lock_fd = -1

    # The thread.

    def _run(self) -> None:
        while True:
            with self._wake:
                # After a failed write the thread must retry even if no further records arrive.
                while not self._pending and not self._closed and not self._retry_needed:
                    self._wake.wait()
                batch, self._pending = self._pending, {}
                closed = self._closed
            try:
                self._write_batch(list(batch.values()))
                if self._last_error:
                    self.log_lines.append("store: written again")
                self._last_error, self._retry_needed = "", False
            except Exception as error:  # without this thread nothing would be kept any more
                self._rewrite_needed = self._retry_needed = True  # the state of the file is unknown
                self._report_error(f"{RECORDS_FILE}: {getattr(error, 'strerror', None) or repr(error)}")
                with self._wake:
                    self._wake.wait_for(lambda: self._closed, RETRY_SECONDS)
                if closed and time.monotonic() < self._retry_deadline:
                    time.sleep(RETRY_ON_CLOSE_SECONDS)
                    continue
            if closed:
                if self._file >= 0:
                    os.close(self._file)
                return

    def _write_batch(self, records: list[Record]) -> None:
        new_lines = []
        for record in records:
            try:
                line = encode(record, self.owner)
            except (TypeError, ValueError) as error:
                self.log_lines.append(f"store: record skipped: {error}")
                continue
            before = self.lines.pop(record.key, b"")
            self.live_bytes -= len(before)
            self.superseded_bytes += len(before)
            new_lines.append(line)
            if record.value is not None:
                self.lines[record.key] = line
                self.live_bytes += len(line)
            else:
                self.superseded_bytes += len(line)
        self._evict()
        if self._rewrite_needed or self.superseded_bytes > max(MAX_SUPERSEDED_BYTES, self.live_bytes):
            self._rewrite()
        elif new_lines:
            self._write_bytes(self._file, b"".join(new_lines))
            self.sync(self._file)
            self.syncs += 1

    def _evict(self) -> None:
        """Drops the oldest usage records; other kinds are few and always kept."""
        if self.live_bytes <= self.max_bytes:
            return
        for key in [key for key in self.lines if key[0] == EVICTED_KIND]:
            line = self.lines.pop(key)
            self.live_bytes -= len(line)
            self.superseded_bytes += len(line)
            if self.live_bytes <= self.max_bytes:
                return

    def _rewrite(self) -> None:
        """Replaces the file atomically after a sync: a power loss leaves either the old or the new one."""
        self.folder.mkdir(parents=True, exist_ok=True)
        part_path = self.folder / (RECORDS_FILE + ".part")
        fd = os.open(part_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)
        try:
            self._write_bytes(fd, header_line(self.owner) + b"".join(self.lines.values()))
            self.sync(fd)
            self.syncs += 1
            os.replace(part_path, self.folder / RECORDS_FILE)
            folder_fd = os.open(self.folder, os.O_RDONLY)
            try:
                os.fsync(folder_fd)
            finally:
                os.close(folder_fd)
        except OSError:
            os.close(fd)
            raise
        if self._file >= 0:
            os.close(self._file)
        self._file, self._rewrite_needed, self.superseded_bytes = fd, False, 0

    def _write_bytes(self, fd: int, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(fd, rest) :]
        self.written += len(data)

    def _report_error(self, text: str) -> None:
        if text != self._last_error:
            self.log_lines.append(f"store: {text}; the ingress goes on without")
        self._last_error = text
