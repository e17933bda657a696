"""Retries of system calls that fail because of a transient shortage of system resources."""

from __future__ import annotations

import errno
import socket
import time
from collections.abc import Callable
from typing import TypeVar

# Transient shortages as documented in accept(2), connect(2), socket(2) and epoll_ctl(2).
TRANSIENT_ERRORS = frozenset((errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
# The same for connect(2), which also reports a missing route at once.
TRANSIENT_CONNECT_ERRORS = TRANSIENT_ERRORS | {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENETUNREACH}
MAX_TRIES = 3  # per call, while clients are being served
RETRY_PAUSE = 0.02  # seconds between tries, where the caller can wait
STARTUP_TIMEOUT = 2.0  # seconds for which startup keeps retrying a call

ResultT = TypeVar("ResultT")


def retry_at_startup(make: Callable[[], ResultT]) -> ResultT:
    """Creates a resource that startup depends on, retrying on transient shortages.

    It blocks, which is harmless while no client is served. Raises OSError on any other error, or after
    STARTUP_TIMEOUT.
    """
    end = time.monotonic() + STARTUP_TIMEOUT
    while True:
        try:
            return make()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or time.monotonic() >= end:
                raise
        time.sleep(RETRY_PAUSE)


def disable_nagle(sock: socket.socket) -> None:
    """Sets TCP_NODELAY, so that small writes are sent at once. Without it the connection works as well."""
    for _ in range(MAX_TRIES):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return
        except OSError:
            continue
