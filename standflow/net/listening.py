"""Sockets that clients connect to."""

from __future__ import annotations

import errno
import socket

BACKLOG = 1024  # connections that may wait to be accepted


def listening(address: tuple[str, int]) -> socket.socket:
    """A listener of this process's own."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


def adopted(number: int) -> socket.socket:
    """A listener that was inherited. It is never shut down: what waits in it belongs to others too."""
    sock = socket.socket(fileno=number)
    if (
        sock.family != socket.AF_INET
        or sock.type != socket.SOCK_STREAM
        or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    ):
        sock.detach()
        raise OSError(errno.EINVAL, "not a listening TCP socket")
    sock.setblocking(False)
    return sock
