"""A UDP proxy between ingresses that delays, duplicates, garbles or drops datagrams on demand.

Each ordered pair has its own address, at which the first member sees the second. Members identify a sender
by its address, so a datagram is forwarded from the address at which its receiver sees the sender.
"""

from __future__ import annotations

import contextlib
import heapq
import itertools
import os
import random
import selectors
import socket
import threading
import time

Address = tuple[str, int]
INSTANCE_SERIALS = itertools.count()


class DatagramProxy:
    """A proxy for `members` members, on its own thread. Its settings may be changed at any time."""

    def __init__(self, members: int, loss: float = 0.0, seed: int = 0) -> None:
        self.loss, self.rng = loss, random.Random(seed)
        self.cut: set[int] = set()  # members that neither send nor receive anything
        self.blocked: set[tuple[int, int]] = set()  # datagrams from the first to the second are dropped
        self.delay = 0.0  # mean seconds; uniform from 0 to twice that, so that datagrams are reordered
        self.again = 0.0  # share duplicated; the copy arrives up to a second later
        self.noise = 0.0  # share garbled
        self.passed = 0
        self.waiting: list[tuple[float, int, tuple[int, int], bytes]] = []
        self.real: dict[int, Address] = {}
        self.socks: dict[tuple[int, int], socket.socket] = {}
        self.selector = selectors.DefaultSelector()
        # Members listen on a loopback host of this fleet alone. Everything else binds to 127.0.0.1, so a port
        # reserved here is free once its socket is closed, and stays free while its member is dead.
        number, reserved = next(INSTANCE_SERIALS), []
        host = f"127.{1 + os.getpid() // 200 % 200}.{1 + os.getpid() % 200}.{1 + number % 250}"
        for at in range(members):
            for peer in range(members):
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.bind((host if at == peer else "127.0.0.1", 0))
                if at == peer:
                    self.real[at] = sock.getsockname()
                    reserved.append(sock)
                    continue
                self.socks[at, peer] = sock
                self.selector.register(sock, selectors.EVENT_READ, (at, peer))
        for sock in reserved:
            sock.close()
        self.open = True
        self.thread = threading.Thread(target=self._forward_loop, daemon=True)
        self.thread.start()

    def __enter__(self) -> DatagramProxy:
        return self

    def __exit__(self, *_: object) -> None:
        self.open = False
        self.thread.join(5.0)
        self.selector.close()
        for sock in self.socks.values():
            sock.close()

    def addresses_for(self, member: int) -> list[Address]:
        """The addresses of all members, by number, as `member` sees them; its own is the real one."""
        return [
            self.real[peer] if peer == member else self.socks[member, peer].getsockname()
            for peer in range(len(self.real))
        ]

    def partition(self, *sides: set[int]) -> None:
        """Partitions the network: only members of one side reach each other. Without sides, heals it."""
        of = {member: number for number, side in enumerate(sides) for member in side}
        pairs = self.socks if sides else ()
        self.blocked = {(a, b) for a, b in pairs if of.get(a) != of.get(b)}

    def _forward_loop(self) -> None:
        while self.open:
            due = self.waiting[0][0] - time.monotonic() if self.waiting else 0.1
            for key, _ in self.selector.select(max(0.0, min(0.1, due))):
                sender, peer = key.data
                content = self.socks[sender, peer].recv(2048)
                unreachable = {sender, peer} & self.cut or (sender, peer) in self.blocked
                if unreachable or self.rng.random() < self.loss:
                    continue
                if self.rng.random() < self.noise:
                    at = self.rng.randrange(max(1, len(content)))
                    content = content[:at] + self.rng.randbytes(len(content) - at)
                if self.rng.random() < self.again:
                    self._later(self.rng.random(), (sender, peer), content)
                if self.delay:
                    self._later(self.delay * self.rng.uniform(0.0, 2.0), (sender, peer), content)
                else:
                    self._send(sender, peer, content)
            while self.waiting and self.waiting[0][0] <= time.monotonic():
                _, _, (sender, peer), content = heapq.heappop(self.waiting)
                self._send(sender, peer, content)

    def _later(self, delay: float, pair: tuple[int, int], content: bytes) -> None:
        heapq.heappush(self.waiting, (time.monotonic() + delay, self.rng.getrandbits(60), pair, content))

    def _send(self, sender: int, peer: int, content: bytes) -> None:
        with contextlib.suppress(OSError):  # the receiver may be down
            self.socks[peer, sender].sendto(content, self.real[peer])
            self.passed += 1
