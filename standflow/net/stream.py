"""Byte streams of connections to next hops: plain TCP here, TLS in standflow/tls/.

A stream belongs to one socket and one connection. Its user only looks at how many written bytes the socket
has not taken yet and why the stream ended: outcomes depend on bytes sent and received, not on how they are
encoded.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import Protocol

from standflow.net.loop import Coroutine

READ_SIZE = 65536


@dataclass(slots=True)
class Handshake:
    """Result and timing of a handshake."""

    resumed: bool
    session_offered: bool  # the client offered a session for resumption
    cpu_seconds: float  # processor time spent in this process
    wait_seconds: float  # total time spent waiting for the peer
    round_trip: (
        float  # seconds from the first flight to its answer, the best known estimate of the network delay
    )


class Stream(Protocol):
    """The bytes of one connection, after its socket is connected.

    `unsent` counts the bytes of the written message that the socket has not taken yet. `end_reason` is the
    reason code once nothing more can be received, and empty until then.
    """

    unsent: int
    end_reason: str
    wants_write: bool  # bytes are waiting to be written, including the stream's own (TLS alerts, key updates)
    generation: int  # of the TLS material; connections of an older generation are gradually replaced

    @property
    def handshake(self) -> Handshake | None:
        """Result of the handshake, or None for plain TCP."""

    def open(self) -> Coroutine[str]:
        """Prepares the stream. Returns an empty string or the reason of the failure."""

    def write(self, *parts: bytes | bytearray) -> None:
        """Starts sending a message, writing what the socket takes at once; OSError if it is broken."""

    def flush(self) -> None:
        """Writes more of the unsent bytes, without waiting."""

    def read(self, max_bytes: int = READ_SIZE) -> bytes:
        """Returns up to `max_bytes` received bytes, or none; then `end_reason` says if more can follow."""

    def usable(self) -> bool:
        """Returns false if an idle stream can't carry another message."""

    def close(self) -> None:
        """Sends a closing notification if that needs no waiting; the owner closes the socket."""

    def log_suffix(self) -> str:
        """Text to append to the connection's log line, with a leading space, or an empty string."""


class PlainStream:
    """A stream over plain TCP."""

    handshake: Handshake | None = None
    __slots__ = ("wants_write", "end_reason", "generation", "unsent", "unsent_parts", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.unsent_parts: list[memoryview] = []
        self.unsent = 0
        self.end_reason = ""
        self.wants_write = False
        self.generation = 0

    def open(self) -> Coroutine[str]:
        """Does nothing."""
        return ""
        yield

    def write(self, *parts: bytes | bytearray) -> None:
        """See Stream."""
        self.unsent = sum(map(len, parts))
        try:
            taken = self.sock.send(parts[0]) if len(parts) == 1 else self.sock.sendmsg(parts)
        except BlockingIOError:
            taken = 0
        if taken < self.unsent:
            self.unsent_parts = [memoryview(part) for part in parts]
        self._drop_sent(taken)

    def flush(self) -> None:
        """See Stream."""
        if self.unsent_parts:
            try:
                self._drop_sent(self.sock.sendmsg(self.unsent_parts))
            except BlockingIOError:
                return

    def _drop_sent(self, taken: int) -> None:
        self.unsent -= taken
        while self.unsent_parts and taken >= len(self.unsent_parts[0]):
            taken -= len(self.unsent_parts.pop(0))
        if self.unsent_parts:
            self.unsent_parts[0] = self.unsent_parts[0][taken:]

    def read(self, max_bytes: int = READ_SIZE) -> bytes:
        """See Stream."""
        try:
            data = self.sock.recv(max_bytes)
        except BlockingIOError:
            return b""
        if not data:
            self.end_reason = "peer_closed"
        return data

    def usable(self) -> bool:
        """Returns false if the peer has closed or sent data: a command written now would end as a reset."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Does nothing: closing the socket is the notification."""

    def log_suffix(self) -> str:
        """Returns an empty string."""
        return ""
