"""When the kernel received what a connection has sent, however late this process reads it."""

from __future__ import annotations

import socket
import struct

# The start of struct tcp_info (linux/tcp.h): eight bytes of flags, then 32-bit fields. The twelfth of them is
# tcpi_last_data_recv, the milliseconds since data was last received.
TCP_INFO = struct.Struct("=8x12I")
MILLISECONDS = 1000


def seconds_since_received(sock: socket.socket) -> float:
    """Seconds since data was last received on a TCP connection, or since it was established.

    Raises OSError if the kernel does not tell.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
    return float(TCP_INFO.unpack(info)[-1]) / MILLISECONDS
