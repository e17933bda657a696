"""Ids of unsafe requests that may have run, told to the other processes of an ingress as they are sent.

Each process appends fixed records to a file of its own, before a command is sent, and reads what the others
have appended before it opens a request. Both processes of an upgrade accept clients, and one that has left
one of them may come to the other at once: a state file that is written now and then would be too late.

The first record numbers the file's contents: a file that has grown too long is begun anew.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
from collections.abc import Callable, Iterable
from pathlib import Path

RECORD_BYTES = 16  # a digest, and a byte that tells whether the request may have run
DIGEST_BYTES = RECORD_BYTES - 1
MAY_HAVE_RUN, NEVER_RAN = b"\1", b"\0"
HEADER = b"%015d\n"
MAX_FILE_BYTES = 1 << 20
KEPT_SECONDS = 30.0  # after the end of the last other process
MAX_FILES = 8  # of other processes
SUFFIX = ".ids"


def _digest(ident: object) -> bytes:
    data = ident if isinstance(ident, bytes) else str(ident).encode()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


class OtherJournal:
    """What another process has told so far."""

    def __init__(self, fd: int) -> None:
        self.fd, self.offset, self.header = fd, 0, b""
        self.digests: set[bytes] = set()

    def read(self) -> None:
        """Reads what has been appended since the last call; OSError if that fails."""
        header = os.pread(self.fd, RECORD_BYTES, 0)
        if header != self.header:  # the file was begun anew
            self.header, self.offset = header, RECORD_BYTES
            self.digests.clear()
        while data := os.pread(self.fd, MAX_FILE_BYTES, self.offset):
            whole = len(data) - len(data) % RECORD_BYTES
            if not whole:
                return
            self.offset += whole
            for at in range(0, whole, RECORD_BYTES):
                self._apply(data[at : at + DIGEST_BYTES], data[at + DIGEST_BYTES : at + RECORD_BYTES])

    def _apply(self, digest: bytes, flag: bytes) -> None:
        if flag == MAY_HAVE_RUN:
            self.digests.add(digest)
        else:
            self.digests.discard(digest)

    def close(self) -> None:
        """Closes the file."""
        os.close(self.fd)


class IdJournal:
    """The journal of this process, and those of the others."""

    def __init__(
        self,
        folder: str,
        prefix: str,
        generation: int,
        known: Callable[[], Iterable[object]],
        now: Callable[[], float],
        log: Callable[[str], None],
    ) -> None:
        """`known`: the ids that this process keeps."""
        self.folder, self.prefix, self.known, self.now, self.log = Path(folder), prefix, known, now, log
        self.begun = 0  # times that the file was begun
        self.another_seen_at = now()
        self.name = f"{prefix}{generation}{SUFFIX}"
        self.fd = -1  # of this process's file, while there is another process
        self.size = 0
        self.others: dict[str, OtherJournal] = {}  # by file name

    @property
    def active(self) -> bool:
        """True while another process has to be told."""
        return self.fd >= 0

    def update(self, another_alive: bool) -> None:
        """To be called at each poll for other processes."""
        if another_alive:
            self.another_seen_at = self.now()
            if not self.active:
                self.begin()
            self._find_others()
        elif self.active and self.now() - self.another_seen_at > KEPT_SECONDS:
            self.end()

    def begin(self) -> None:
        """Begins the file anew with all ids that are known here."""
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        try:
            if self.fd < 0:
                self.fd = os.open(self.folder / self.name, flags, 0o600)
            os.ftruncate(self.fd, 0)
        except OSError as error:
            self.log(f"upgrade: {self.name}: {error.strerror}")
            return
        self.begun, self.size = self.begun + 1, 0
        self._append(HEADER % self.begun + b"".join(_digest(ident) + MAY_HAVE_RUN for ident in self.known()))

    def end(self) -> None:
        """There has been no other process for some time."""
        os.close(self.fd)
        self.fd = -1
        for name in (self.name, *self.others):
            with contextlib.suppress(OSError):
                (self.folder / name).unlink()
        for journal in self.others.values():
            journal.close()
        self.others = {}

    def record(self, ident: object, may_have_run: bool) -> None:
        """Tells of a request, before it is sent or after it has ended without having run."""
        if self.active and self.size >= MAX_FILE_BYTES:
            self.begin()
        elif self.active:
            self._append(_digest(ident) + (MAY_HAVE_RUN if may_have_run else NEVER_RAN))

    def _append(self, data: bytes) -> None:
        try:
            written = os.pwrite(self.fd, data, self.size)
        except OSError as error:
            self.log(f"upgrade: {self.name}: {error.strerror}")
            return
        self.size += written - written % RECORD_BYTES

    def _find_others(self) -> None:
        """Opens the files of other processes that are new."""
        names = set()
        with contextlib.suppress(OSError), os.scandir(self.folder) as entries:
            names = {
                entry.name
                for entry in entries
                if entry.name.startswith(self.prefix) and entry.name.endswith(SUFFIX)
            } - {self.name}
        for name in sorted(names - self.others.keys())[-MAX_FILES:]:
            with contextlib.suppress(OSError):
                self.others[name] = OtherJournal(os.open(self.folder / name, os.O_RDONLY | os.O_CLOEXEC))

    def known_elsewhere(self, ident: object) -> bool:
        """True if another process has told of this id."""
        digest = _digest(ident) if self.others else b""
        for journal in self.others.values():
            with contextlib.suppress(OSError):
                journal.read()
            if digest in journal.digests:
                return True
        return False
