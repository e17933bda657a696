"""Closes connections without causing a reset."""

from __future__ import annotations

import contextlib
import socket

READ_SIZE = 65536
MAX_READS = 16  # reads of leftover data before a close; a peer that sends more is flooding


def close_gracefully(sock: socket.socket) -> None:
    """Shuts down sending, drains the receive buffer and closes the socket.

    Closing with unread bytes resets the connection, which also discards what the peer has not read yet. The
    bytes read here arrived after the end and are dropped.
    """
    with contextlib.suppress(OSError):  # not connected or already broken: nothing to preserve
        sock.shutdown(socket.SHUT_WR)
        for _ in range(MAX_READS):
            if not sock.recv(READ_SIZE):
                break
    sock.close()
