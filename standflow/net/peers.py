"""Datagrams between the ingresses of a fleet."""

from __future__ import annotations

from collections.abc import Callable

from standflow.isolation import run_isolated
from standflow.net.listening import udp_socket
from standflow.net.loop import IN, Coroutine, Loop
from standflow.net.transient_errors import retry_at_startup

MAX_DATAGRAM = 256  # bytes
MAX_READS = 64  # datagrams in one iteration of the loop

Address = tuple[str, int]

NO_ADDRESS: Address = ("0.0.0.0", 0)  # of a member id that is not in use


class Peers:
    """One UDP socket. Senders are identified by their address alone."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        listen: Address,
        peers: tuple[Address, ...],
        broadcast_address: Address | None,
        own_id: int,
        on_message: Callable[[int, bytes], None],
        tally: Callable[[str], None] = lambda name: None,
        shared: bool = False,
        accept_unlisted: bool = False,
    ) -> None:
        """`accept_unlisted`: members may use addresses that are not listed; see `assign_address`.

        `shared`: another process of this ingress may have bound the same address. Datagrams then reach the
        one that bound it last (Linux, SO_REUSEADDR on both), and the other one again after its end.
        """
        self.log, self.peers, self.broadcast_address, self.own_id, self.on_message = (
            log,
            peers,
            broadcast_address,
            own_id,
            on_message,
        )
        self.tally = tally
        self.member_ids = {address: number for number, address in enumerate(peers) if address != NO_ADDRESS}
        self.accept_unlisted = accept_unlisted
        # Set where the fleet's membership is tracked: the first returns true for a datagram that it has
        # handled, the second is called with the member id of each sender of a ring message.
        self.handle_membership: Callable[[bytes, Address], bool] | None = None
        self.on_received: Callable[[int], None] = lambda number: None
        self.sock = retry_at_startup(lambda: udp_socket(listen, shared))
        self.address: Address = self.sock.getsockname()
        loop.spawn(self.sock.fileno(), loop.supervised(self._receive))

    def _receive(self) -> Coroutine[None]:
        while True:
            yield IN
            for _ in range(MAX_READS):
                try:
                    content, sender = self.sock.recvfrom(MAX_DATAGRAM + 1)
                except OSError:
                    break
                run_isolated(self.log, self._handle, content, sender)  # others wait behind it

    def _handle(self, content: bytes, sender: Address) -> None:
        """Passes on one datagram. Anyone can send here: oversized, own and unknown ones are dropped."""
        number = self.member_ids.get(sender)
        known = number is not None or self.accept_unlisted
        fits = known and len(content) <= MAX_DATAGRAM
        if fits and self.handle_membership is not None and self.handle_membership(content, sender):
            self.tally("peers.view")
            return
        if number is None or number == self.own_id or len(content) > MAX_DATAGRAM:
            self.tally("peers.dropped")
            self.log(f"peers: dropped {len(content)} bytes from {sender[0]}:{sender[1]}")
            return
        self.tally("peers.in")
        self.on_received(number)
        self.on_message(number, content)

    def assign_address(self, number: int, address: Address) -> None:
        """Sets the address of a member."""
        if self.peers[number] != address:
            self.member_ids.pop(self.peers[number], None)
            self.peers = (*self.peers[:number], address, *self.peers[number + 1 :])
            if address != NO_ADDRESS:
                self.member_ids[address] = number

    def send_message(self, peer: int | None, content: bytes) -> None:
        """Sends a datagram to one ingress, or to all. Datagrams may get lost, so a failure is only logged."""
        if len(content) > MAX_DATAGRAM:
            self.log(f"peers: a message of {len(content)} bytes is too long and was not sent")
            return
        if peer is None and self.broadcast_address is not None:
            targets = [self.broadcast_address]
        elif peer is None:
            targets = [address for number, address in enumerate(self.peers) if number != self.own_id]
        else:
            targets = [self.peers[peer]] if 0 <= peer < len(self.peers) else []
        for target in targets:
            if target != NO_ADDRESS:
                self.send_to_address(target, content)

    def send_to_address(self, target: Address, content: bytes) -> None:
        """Sends a datagram to an address."""
        try:
            self.sock.sendto(content, target)
            self.tally("peers.out")
        except OSError as error:
            self.tally("peers.unsent")
            self.log(f"peers: to {target[0]}:{target[1]}: {error}")
