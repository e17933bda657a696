"""Reads what a client sends, and tells when it can have arrived."""

from __future__ import annotations

import socket
from collections.abc import Callable

from standflow.net.arrival import READ_SIZE, UnreadBytes, count_unread_bytes
from standflow.net.loop import Loop

LOGGED_UNREAD_SECONDS = 0.5  # for which bytes have waited unread


class TimedReader:
    """The receiving side of one connection. While it is paused, bytes wait in the kernel."""

    def __init__(self, loop: Loop, log: Callable[[str], None], sock: socket.socket) -> None:
        self.loop, self.log, self.sock = loop, log, sock
        self.unread = UnreadBytes()
        self.paused = False
        self.read_at = loop.now()  # when bytes were last read
        self.received_at = self.read_at  # the earliest time at which these can have arrived

    def read(self, limit: int = READ_SIZE) -> bytes:
        """Reads up to `limit` bytes that arrived at one time; none at the end of the stream.

        Raises OSError, also if nothing is unread.
        """
        size = self.unread.next_read_size(limit)
        data = self.sock.recv(size)
        if not data:
            return data
        self.read_at = self.loop.now()
        self.received_at = self.unread.bytes_read(len(data), size, self.loop.earliest_arrival)
        if len(data) == size:
            self._count_unread_bytes()
        waited = self.read_at - self.received_at
        if waited > LOGGED_UNREAD_SECONDS:
            self.log(f"caller: {len(data)} bytes waited unread for up to {waited:.2f} s")
        return data

    def pause(self, paused: bool) -> None:
        """Says whether polls are asked for bytes to read."""
        if paused is not self.paused:
            self.paused = paused
            self._count_unread_bytes()

    def note_arrivals(self) -> None:
        """To be called now and then: notes what has arrived while reading is paused."""
        if self.paused:
            self._count_unread_bytes()

    def has_unread_bytes(self) -> bool:
        """True if the kernel holds unread bytes."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _count_unread_bytes(self) -> None:
        unread = count_unread_bytes(self.sock)
        if unread or self.paused:
            self.unread.count(unread, self.loop.now(), self.loop.earliest_arrival)
        else:
            self.unread.polls_tell()
