"""Closes connections without causing a reset."""

from __future__ import annotations

import contextlib
import fcntl
import socket
import struct
import termios

READ_SIZE = 65536
NO_BYTES = struct.pack("i", 0)  # as FIONREAD tells the number of unread bytes
MAX_READS = 16  # reads of commands that have arrived, before the last one is served
MAX_CLOSING_READS = (
    80  # reads of leftover data before a close: a whole long body; a peer that sends more is flooding
)


def close_gracefully(sock: socket.socket) -> None:
    """Shuts down sending, drains the receive buffer and closes the socket.

    Closing with unread bytes resets the connection, which also discards what the peer has not read yet. The
    bytes read here arrived after the end and are dropped.
    """
    with contextlib.suppress(OSError):  # not connected or already broken: nothing to preserve
        sock.shutdown(socket.SHUT_WR)
        for _ in range(MAX_CLOSING_READS):
            if not sock.recv(READ_SIZE):
                break
    sock.close()


def shut_down_unless_unread(sock: socket.socket) -> bool:
    """Shuts down sending if all received bytes have been read; returns false, with nothing done, otherwise.

    The process can be paused at any point, and a request that arrives between the check and the shutdown is
    never answered. So nothing but the two system calls happens there.
    """
    fd, shut_down = sock.fileno(), sock.shutdown
    try:
        if fcntl.ioctl(fd, termios.FIONREAD, NO_BYTES) != NO_BYTES:
            return False
        shut_down(socket.SHUT_WR)
    except OSError:  # not connected or already broken: nothing to preserve
        return True
    return True
