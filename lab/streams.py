"""A TCP proxy between ingresses and their endpoints that delays, blackholes or resets connections on demand.

Each pair of an ingress and an endpoint has its own address, at which the ingress sees that endpoint.
"""

from __future__ import annotations

import contextlib
import heapq
import selectors
import socket
import threading
import time
from dataclasses import dataclass, field

from lab.accept import RESET

Address = tuple[str, int]
Pair = tuple[int, int]  # numbers of an ingress and an endpoint
CHUNK_BYTES = 65536
POLL_SECONDS = 0.02


@dataclass(slots=True, eq=False)
class Direction:
    """One direction of a connection. `waiting`: a heap of pieces by the time at which each is due."""

    pair: Pair
    source: socket.socket
    sink: socket.socket
    other: Direction | None = None
    waiting: list[tuple[float, int, bytes]] = field(default_factory=list)
    ended: bool = False  # end of stream was read from the source


class TcpProxy:
    """A proxy on its own thread. Its settings may be changed at any time.

    `silent`: blackholed pairs; a dial there hangs once the kernel's short accept queue is full.
    `refused`: pairs whose connections are reset, new ones too. `delay`: seconds, each way.
    """

    def __init__(self, ingresses: int, ends: list[Address]) -> None:
        self.ends = ends
        self.silent: set[Pair] = set()
        self.refused: set[Pair] = set()
        self.delay = 0.0
        self.resets = self.passed = 0
        self.directions: list[Direction] = []
        self.serial = 0
        self.lock = threading.Lock()
        self.selector = selectors.DefaultSelector()
        self.listeners: dict[Pair, socket.socket] = {}
        for ingress in range(ingresses):
            for end in range(len(ends)):
                listener = socket.create_server(("127.0.0.1", 0), backlog=8)
                listener.setblocking(False)
                self.listeners[ingress, end] = listener
                self.selector.register(listener, selectors.EVENT_READ, (ingress, end))
        self.open = True
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def __enter__(self) -> TcpProxy:
        return self

    def __exit__(self, *_: object) -> None:
        self.open = False
        self.thread.join(5.0)
        for direction in self.directions:
            direction.source.close()
        for listener in self.listeners.values():
            listener.close()
        self.selector.close()

    def addresses_for(self, ingress: int) -> list[Address]:
        """The addresses at which an ingress sees the endpoints, in order."""
        return [self.listeners[ingress, end].getsockname() for end in range(len(self.ends))]

    def cut(self, ingresses: set[int], ends: set[int]) -> None:
        """Blackholes these pairs: nothing is forwarded and nothing is closed."""
        self.silent |= {(a, b) for a in ingresses for b in ends}

    def refuse(self, ingresses: set[int], ends: set[int]) -> None:
        """Resets open and future connections of these pairs."""
        with self.lock:
            self.refused |= {(a, b) for a in ingresses for b in ends}
            for direction in [direction for direction in self.directions if direction.pair in self.refused]:
                self._close(direction, True)

    def heal(self) -> None:
        """Forwards everything again, including data held back so far."""
        self.silent, self.refused, self.delay = set(), set(), 0.0

    # The proxy thread.

    def _run(self) -> None:
        while self.open:
            with contextlib.suppress(OSError):
                ready = self.selector.select(POLL_SECONDS)
            with self.lock:
                for key, _ in ready:
                    self._accept(key.data) if isinstance(key.data, tuple) else self._read(key.data)
                now = time.monotonic()
                for direction in list(self.directions):
                    if direction in self.directions:
                        self._forward(direction, now)
            if ready and all(self._is_held(key.data) for key, _ in ready):
                time.sleep(POLL_SECONDS)  # held sockets stay readable; avoids a busy loop

    def _is_held(self, data: Pair | Direction) -> bool:
        pair = data if isinstance(data, tuple) else data.pair
        return pair in self.silent or (isinstance(data, Direction) and len(data.waiting) > 64)

    def _accept(self, pair: Pair) -> None:
        if pair in self.silent:
            return
        try:
            client_sock, _ = self.listeners[pair].accept()
        except OSError:
            return
        try:
            if pair in self.refused:
                raise ConnectionRefusedError
            endpoint_sock = socket.create_connection(self.ends[pair[1]], 1.0)
        except OSError:
            self.resets += 1
            client_sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            client_sock.close()
            return
        upstream, downstream = (
            Direction(pair, client_sock, endpoint_sock),
            Direction(pair, endpoint_sock, client_sock),
        )
        upstream.other, downstream.other = downstream, upstream
        for direction in (upstream, downstream):
            direction.source.setblocking(False)
            direction.source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.directions.append(direction)
            self.selector.register(direction.source, selectors.EVENT_READ, direction)

    def _read(self, direction: Direction) -> None:
        if direction not in self.directions or self._is_held(direction):
            return
        try:
            data = direction.source.recv(CHUNK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._close(direction, True)
            return
        self.serial += 1
        heapq.heappush(direction.waiting, (time.monotonic() + self.delay, self.serial, data))
        if not data:
            direction.ended = True
            self.selector.unregister(direction.source)

    def _forward(self, direction: Direction, now: float) -> None:
        while direction.waiting and direction.waiting[0][0] <= now and direction.pair not in self.silent:
            at, serial, data = direction.waiting[0]
            try:
                if data:
                    taken = direction.sink.send(data)
                    self.passed += taken
                    if taken < len(data):
                        direction.waiting[0] = (at, serial, data[taken:])
                        return
                else:
                    direction.sink.shutdown(socket.SHUT_WR)
            except BlockingIOError:
                return
            except OSError:
                self._close(direction, True)
                return
            heapq.heappop(direction.waiting)
        other = direction.other
        if (
            other is not None
            and direction.ended
            and other.ended
            and not direction.waiting
            and not other.waiting
        ):
            self._close(direction, False)

    def _close(self, direction: Direction, abort: bool) -> None:
        for one in (direction, direction.other):
            if one is not None and one in self.directions:
                self.directions.remove(one)
                if not one.ended:
                    self.selector.unregister(one.source)
                if abort:  # before close(), so that no FIN is sent first
                    one.source.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                one.source.close()
        self.resets += abort
