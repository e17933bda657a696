"""A listener on loopback whose connections are served on a thread each."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable

RESET = b"\1\0\0\0\0\0\0\0"  # SO_LINGER with no time: a close resets


class Acceptor:
    """Hands each connection to `serve`, on a thread of its own, until it is closed."""

    def __init__(
        self, serve: Callable[[socket.socket], None], address: tuple[str, int] = ("127.0.0.1", 0)
    ) -> None:
        self.serve = serve
        self.sock = socket.create_server(address, backlog=512)
        self.address: tuple[str, int] = self.sock.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accepts nothing more."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()


def reset(sock: socket.socket) -> None:
    """Ends a connection so that the other end sees a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.shutdown(socket.SHUT_RDWR)
