"""When the kernel received what a connection has sent, however late this process reads it."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from collections import deque
from dataclasses import dataclass

# The start of struct tcp_info (linux/tcp.h): eight bytes of flags, then 32-bit fields. The twelfth of them is
# tcpi_last_data_recv, the milliseconds since data was last received.
TCP_INFO = struct.Struct("=8x12I")
MILLISECONDS = 1000
READ_SIZE = 64 * 1024  # bytes that one read takes at most
INT = struct.Struct("i")
MAX_SPANS = 8  # of one connection
SPAN_SECONDS = 0.05  # bytes whose times differ by less share a span


def seconds_since_received(sock: socket.socket) -> float:
    """Seconds since data was last received on a TCP connection, or since it was established.

    Raises OSError if the kernel does not tell.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
    return float(TCP_INFO.unpack(info)[-1]) / MILLISECONDS


def count_unread_bytes(sock: socket.socket) -> int:
    """Number of bytes that the kernel holds for a connection; 0 if it is broken."""
    try:
        return int(INT.unpack(fcntl.ioctl(sock.fileno(), termios.FIONREAD, INT.pack(0)))[0])
    except OSError:
        return 0


@dataclass(slots=True)
class Span:
    """Consecutive unread bytes, and the earliest time at which they can have arrived."""

    size: int
    earliest_arrival: float


class UnreadBytes:
    """The bytes that the kernel holds for one connection, and when they can have arrived. No I/O.

    A poll tells when bytes arrive only while it is asked and no older ones are unread. At other times the
    bytes are counted now and then: those that were not there at one count have arrived after it.
    """

    __slots__ = ("counted_at", "spans")

    def __init__(self) -> None:
        self.spans: deque[Span] = deque()
        self.counted_at: float | None = None  # the last count, unless polls have told of arrivals since

    def waited_since(self, when: float) -> None:
        """What is unread may have arrived at any time from `when` on, as no poll was asked."""
        self.counted_at = when

    def count(self, unread: int, now: float, earliest_arrival: float) -> None:
        """The kernel holds `unread` bytes. `earliest_arrival` is that of bytes reported by the last poll."""
        new = unread - sum(span.size for span in self.spans)
        if new > 0:
            self._append(new, earliest_arrival if self.counted_at is None else self.counted_at)
        self.counted_at = now

    def _append(self, size: int, earliest_arrival: float) -> None:
        last = self.spans[-1] if self.spans else None
        if last is None or (
            len(self.spans) < MAX_SPANS and earliest_arrival - last.earliest_arrival >= SPAN_SECONDS
        ):
            self.spans.append(Span(size, earliest_arrival))
        else:
            last.size += size

    def next_read_size(self, limit: int = READ_SIZE) -> int:
        """Bytes that the next read may take, so that the same time holds for all of them."""
        return min(limit, self.spans[0].size) if self.spans else limit

    def bytes_read(self, size: int, asked: int, earliest_arrival: float) -> float:
        """Returns the earliest time at which the bytes of a read can have arrived.

        `asked`: the `next_read_size` of that read. Fewer bytes than that mean that none are left.
        """
        all_read = size < asked
        if self.spans:
            first = self.spans[0]
            earliest_arrival = first.earliest_arrival
            first.size -= size
            if not first.size:
                self.spans.popleft()
        elif self.counted_at is not None:
            earliest_arrival = self.counted_at
        if all_read:
            self.polls_tell()
        return earliest_arrival

    def polls_tell(self) -> None:
        """Nothing is unread, and the next poll tells of new bytes."""
        self.spans.clear()
        self.counted_at = None
