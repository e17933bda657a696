"""Closing a connection without a reset."""

from __future__ import annotations

import contextlib
import socket

READ_SIZE = 65536
MAX_READS = 16  # of what came unread; more is no crossing but a flood


def close_gracefully(sock: socket.socket) -> None:
    """Ends the sending, reads out what has come, and closes.

    A close over unread bytes resets the connection, and with it what the other end has not read yet. What is
    read here is dropped: it came after the end.
    """
    with contextlib.suppress(OSError):  # not connected, or broken: there is nothing to be kept
        sock.shutdown(socket.SHUT_WR)
        for _ in range(MAX_READS):
            if not sock.recv(READ_SIZE):
                break
    sock.close()
