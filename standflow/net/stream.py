"""What a connection to a next hop is made of: bytes out and in, plain here, in TLS in standflow/tls/.

A stream belongs to one socket and one connection. Whoever uses it asks only how much of what was written has
not left yet and why the stream ended: outcomes are decided by bytes, whatever they are wrapped in.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import Protocol

from standflow.net.loop import Coroutine

READ_SIZE = 65536


@dataclass(slots=True)
class Handshake:
    """How a handshake went, in seconds. `own`: this ingress's processor time; `waited`: for the other end's
    answers in all; `round_trip`: of the way alone, as far as that is known.
    """

    resumed: bool
    session_offered: bool  # a session, to be taken up again
    cpu_seconds: float
    wait_seconds: float
    round_trip: float


class Stream(Protocol):
    """The bytes of one connection, after its socket is connected.

    `left` counts the bytes, up to the last one of what was written, that the socket has not taken yet.
    `ended` is empty, or the reason for which nothing more can come.
    """

    unsent: int
    end_reason: str
    wants_write: bool  # bytes of its own are to be written, when nothing else is
    generation: int  # of what the stream was made with; those of an earlier one are replaced in time

    @property
    def handshake(self) -> Handshake | None:
        """How its handshake went, where it has one."""

    def open(self) -> Coroutine[str]:
        """Makes it ready; what is returned is empty or the reason why it can't be."""

    def write(self, *parts: bytes) -> None:
        """Takes a message and writes what can be written at once; OSError where the socket takes nothing."""

    def flush(self) -> None:
        """Writes more of what is left, without waiting."""

    def read(self, most: int = READ_SIZE) -> bytes:
        """What has come, so much at most, maybe nothing; then `ended` tells whether anything can follow."""

    def usable(self) -> bool:
        """False where an idle stream can't be used for another message."""

    def close(self) -> None:
        """Says good-bye as far as that goes without waiting; the socket is closed by its owner."""

    def log_suffix(self) -> str:
        """What the connection's log line says of it, with a space in front, or nothing."""


class PlainStream:
    """TCP as it is."""

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
        """Nothing is to be done."""
        return ""
        yield

    def write(self, *parts: bytes) -> None:
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

    def read(self, most: int = READ_SIZE) -> bytes:
        """See Stream."""
        try:
            data = self.sock.recv(most)
        except BlockingIOError:
            return b""
        if not data:
            self.end_reason = "peer_closed"
        return data

    def usable(self) -> bool:
        """What the other end has closed must not get a command: it would end as a reset."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """The socket's close says it all."""

    def log_suffix(self) -> str:
        """Nothing."""
        return ""
