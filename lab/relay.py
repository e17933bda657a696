"""A loopback TCP relay that resets a connection after a given number of bytes in either direction."""

from __future__ import annotations

import socket
import threading

from lab.accept import Acceptor, reset


class Relay:
    """Forwards each connection to `to` and resets both ends once a direction reaches its byte limit.

    `up` limits bytes towards `to`, `down` bytes back; None is no limit. `bytes_forwarded` counts per
    connection. A changed limit applies to connections accepted afterwards.
    """

    def __init__(self, to: tuple[str, int]) -> None:
        self.to = to
        self.up: int | None = None
        self.down: int | None = None
        self.bytes_forwarded: list[list[int]] = []  # [up, down] of each connection
        self.ended = threading.Semaphore(0)
        self.acceptor = Acceptor(self._serve)
        self.address = self.acceptor.address

    def __enter__(self) -> Relay:
        return self

    def __exit__(self, *_: object) -> None:
        self.acceptor.close()

    def _serve(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self.to, 20.0)
        except OSError:
            near.close()
            return
        for sock in (near, far):
            sock.settimeout(20.0)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        bytes_forwarded, open_directions = [0, 0], [2]
        self.bytes_forwarded.append(bytes_forwarded)
        for direction, (source, sink, most) in enumerate([(near, far, self.up), (far, near, self.down)]):
            args = (source, sink, most, bytes_forwarded, direction, open_directions)
            threading.Thread(target=self._forward, args=args, daemon=True).start()

    def _forward(
        self,
        source: socket.socket,
        sink: socket.socket,
        most: int | None,
        bytes_forwarded: list[int],
        direction: int,
        open_directions: list[int],
    ) -> None:
        cut = False
        try:
            while not cut:
                data = source.recv(65536)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    break
                if most is not None and bytes_forwarded[direction] + len(data) >= most:
                    data, cut = data[: most - bytes_forwarded[direction]], True
                sink.sendall(data)
                bytes_forwarded[direction] += len(data)
        except OSError:
            cut = True
        if cut:
            for sock in (source, sink):
                reset(sock)
        open_directions[0] -= 1
        if not open_directions[0]:
            source.close()
            sink.close()
            self.ended.release()
