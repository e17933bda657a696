"""The datagram proxy: sender addresses, cuts and loss."""

from __future__ import annotations

import socket

import pytest

from lab.datagrams import DatagramProxy


def test_a_datagram_arrives_from_its_senders_address_unless_cut_or_lost() -> None:
    with DatagramProxy(3) as network:
        socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
        for number, sock in enumerate(socks):
            sock.bind(network.real[number])
            sock.settimeout(5.0)
        socks[0].sendto(b"one", network.addresses_for(0)[2])
        assert socks[2].recvfrom(64) == (b"one", network.addresses_for(2)[0])
        network.cut.add(0)
        socks[0].sendto(b"two", network.addresses_for(0)[2])
        socks[1].sendto(b"three", network.addresses_for(1)[2])
        assert socks[2].recvfrom(64) == (b"three", network.addresses_for(2)[1])
        network.cut.clear()
        network.loss = 1.0
        socks[1].sendto(b"four", network.addresses_for(1)[2])
        socks[2].settimeout(0.3)
        with pytest.raises(TimeoutError):
            socks[2].recv(64)
        for sock in socks:
            sock.close()
