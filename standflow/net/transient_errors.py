"""Calls that fail for want of something that the system lacks for a moment, and what is done about it."""

from __future__ import annotations

import errno
import socket
import time
from collections.abc import Callable
from typing import TypeVar

# What the system may lack for a moment (accept(2), connect(2), socket(2), epoll_ctl(2)).
TRANSIENT_ERRORS = frozenset((errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
# The same for a dial; that there is no route is told at once too.
TRANSIENT_CONNECT_ERRORS = TRANSIENT_ERRORS | {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENETUNREACH}
MAX_TRIES = 3  # of a call that fails for a moment, while clients are served
RETRY_PAUSE = 0.02  # seconds between two tries where one waits for the other
STARTUP_TIMEOUT = 2.0  # seconds for which a start waits for what is lacking

ResultT = TypeVar("ResultT")


def retry_at_startup(make: Callable[[], ResultT]) -> ResultT:
    """Makes something that the process can't begin without; it may wait, as nobody is served yet.

    OSError where it can't be made, or not within START_PATIENCE.
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
    """Has small writes leave at once; where the system can't, the connection is of use all the same."""
    for _ in range(MAX_TRIES):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return
        except OSError:
            continue
