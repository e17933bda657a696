"""Sockets that others connect or send to. OSError where the address can't be had."""

from __future__ import annotations

import errno
import socket

BACKLOG = 1024  # connections that may wait to be accepted


def tcp_listener(address: tuple[str, int], backlog: int = BACKLOG) -> socket.socket:
    """A listener of this process's own; `backlog`: connections that may wait to be accepted."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def udp_socket(address: tuple[str, int], shared: bool) -> socket.socket:
    """A UDP socket; `shared`: another process may hold the address too."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
    try:
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def inherited_listener(number: int) -> socket.socket:
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
