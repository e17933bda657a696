"""Datagrams between ingresses."""

from __future__ import annotations

from collections.abc import Callable

from standflow.net.listening import datagrams
from standflow.net.loop import IN, Coroutine, Loop
from standflow.net.momentary import at_start

MAX_DATAGRAM = 256

Address = tuple[str, int]

NOWHERE: Address = ("0.0.0.0", 0)  # of a place that nobody fills


class Peers:
    """One UDP socket; a sender is known by its address alone."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        listen: Address,
        peers: tuple[Address, ...],
        everyone: Address | None,
        own: int,
        told: Callable[[int, bytes], None],
        tally: Callable[[str], None] = lambda name: None,
        shared: bool = False,
        open_to_all: bool = False,
    ) -> None:
        """`open_to_all`: places may be filled from addresses that are not listed; see `fill`.

        `shared`: another process of this ingress may hold the address too. Then datagrams reach the one
        that bound it last (Linux, SO_REUSEADDR on both), and the other again when that one is gone.
        """
        self.log, self.peers, self.everyone, self.own, self.told = log, peers, everyone, own, told
        self.tally = tally
        self.numbers = {address: number for number, address in enumerate(peers) if address != NOWHERE}
        self.open_to_all = open_to_all
        # Where a view of the fleet is kept: true for a datagram of its own; and who was heard on the ring.
        self.of_view: Callable[[bytes, Address], bool] | None = None
        self.heard: Callable[[int], None] = lambda number: None
        self.sock = at_start(lambda: datagrams(listen, shared))
        self.address: Address = self.sock.getsockname()
        loop.spawn(self.sock.fileno(), loop.supervised(self._receive))

    def _receive(self) -> Coroutine[None]:
        while True:
            yield IN
            for _ in range(64):
                try:
                    content, sender = self.sock.recvfrom(MAX_DATAGRAM + 1)
                except OSError:
                    break
                number = self.numbers.get(sender)
                known = number is not None or self.open_to_all
                fits = known and len(content) <= MAX_DATAGRAM
                if fits and self.of_view is not None and self.of_view(content, sender):
                    self.tally("peers.view")
                    continue
                # Anyone can send here: strangers, oversize datagrams and our own are dropped.
                if number is None or number == self.own or len(content) > MAX_DATAGRAM:
                    self.tally("peers.dropped")
                    self.log(f"peers: dropped {len(content)} bytes from {sender[0]}:{sender[1]}")
                    continue
                self.tally("peers.in")
                self.heard(number)
                self.told(number, content)

    def fill(self, number: int, address: Address) -> None:
        """A place is filled from this address from now on."""
        if self.peers[number] != address:
            self.numbers.pop(self.peers[number], None)
            self.peers = (*self.peers[:number], address, *self.peers[number + 1 :])
            if address != NOWHERE:
                self.numbers[address] = number

    def tell(self, peer: int | None, content: bytes) -> None:
        """Sends a datagram to one ingress, or to all; it may get lost, so a failure is only logged."""
        if len(content) > MAX_DATAGRAM:
            self.log(f"peers: a message of {len(content)} bytes is too long and was not sent")
            return
        if peer is None and self.everyone is not None:
            targets = [self.everyone]
        elif peer is None:
            targets = [address for number, address in enumerate(self.peers) if number != self.own]
        else:
            targets = [self.peers[peer]] if 0 <= peer < len(self.peers) else []
        for target in targets:
            if target != NOWHERE:
                self.send(target, content)

    def send(self, target: Address, content: bytes) -> None:
        """Sends a datagram to an address."""
        try:
            self.sock.sendto(content, target)
            self.tally("peers.out")
        except OSError as error:
            self.tally("peers.unsent")
            self.log(f"peers: to {target[0]}:{target[1]}: {error}")
