"""A loopback listener that serves each connection on its own thread."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable

RESET = b"\1\0\0\0\0\0\0\0"  # SO_LINGER with a zero timeout: close() sends RST


class Acceptor:
    """Passes each accepted connection to `serve`, on its own thread, until the acceptor is closed."""

    def __init__(
        self, serve: Callable[[socket.socket], None], address: tuple[str, int] = ("127.0.0.1", 0)
    ) -> None:
        self.serve = serve
        self.sock = socket.create_server(address, backlog=512)
        self.address: tuple[str, int] = self.sock.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Closes the listener; accepted connections stay open."""
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
    """Aborts a connection: the peer sees a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.shutdown(socket.SHUT_RDWR)
