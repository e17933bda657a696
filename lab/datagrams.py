"""The network between ingresses: datagrams pass from one to another, get lost or are cut off, on demand.

Each ordered pair has an address of its own: where the first sees the second. A sender is known by its
address, so what one sends to a peer leaves again from the address at which that peer sees the sender.
"""

from __future__ import annotations

import contextlib
import random
import selectors
import socket
import threading

Address = tuple[str, int]


class Datagrams:
    """A relay for so many members, on a thread of its own."""

    def __init__(self, members: int, loss: float = 0.0, seed: int = 0) -> None:
        self.loss, self.chance = loss, random.Random(seed)
        self.cut: set[int] = set()  # members that nothing comes from or reaches
        self.passed = 0
        self.real: dict[int, Address] = {}
        self.socks: dict[tuple[int, int], socket.socket] = {}
        self.selector = selectors.DefaultSelector()
        for at in range(members):
            for peer in range(members):
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.bind(("127.0.0.1", 0))
                if at == peer:  # where a member itself listens: a port that is free, once this one is closed
                    self.real[at] = sock.getsockname()
                    sock.close()
                    continue
                self.socks[at, peer] = sock
                self.selector.register(sock, selectors.EVENT_READ, (at, peer))
        self.open = True
        self.thread = threading.Thread(target=self._pass, daemon=True)
        self.thread.start()

    def __enter__(self) -> Datagrams:
        return self

    def __exit__(self, *_: object) -> None:
        self.open = False
        self.thread.join(5.0)
        self.selector.close()
        for sock in self.socks.values():
            sock.close()

    def seen_by(self, member: int) -> list[Address]:
        """The addresses of all members, in the order of numbers, as one sees them; its own is real."""
        return [
            self.real[peer] if peer == member else self.socks[member, peer].getsockname()
            for peer in range(len(self.real))
        ]

    def _pass(self) -> None:
        while self.open:
            for key, _ in self.selector.select(0.1):
                sender, peer = key.data
                content = self.socks[sender, peer].recv(2048)
                if {sender, peer} & self.cut or self.chance.random() < self.loss:
                    continue
                with contextlib.suppress(OSError):  # nobody may be there just now
                    self.socks[peer, sender].sendto(content, self.real[peer])
                    self.passed += 1
