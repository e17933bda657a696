"""Sockets that receive connections or datagrams. OSError is raised if the address is not available."""

from __future__ import annotations

import errno
import socket

BACKLOG = 1024  # connections that may wait to be accepted, at most


def tcp_listener(address: tuple[str, int], backlog: int = BACKLOG) -> socket.socket:
    """Opens a TCP listener; `backlog` is the number of connections that may wait to be accepted."""
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
    """Opens a UDP socket; with `shared`, another process may have bound the same address."""
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
    """Wraps an inherited listener. It must never be shut down: other processes share its accept queue."""
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
