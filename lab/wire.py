"""The server's end of a connection, plaintext or TLS, with control over every byte that it sends."""

from __future__ import annotations

import contextlib
import socket
import ssl
import time


class CutError(ConnectionError):
    """The connection was cut at `cut_after`, as configured."""


class Wire:
    """A blocking connection of a test server. TLS runs over memory buffers, so that its output can be cut,
    split, withheld or corrupted. `cut_after` counts bytes written to the socket over the whole connection.
    """

    def __init__(self, sock: socket.socket, context: ssl.SSLContext | None, limit: float = 20.0) -> None:
        self.sock, self.written = sock, 0
        self.cut_after: int | None = None
        self.split: int | None = None  # bytes per write to the socket
        self.cpu = 0.0  # CPU seconds of the handshake
        sock.settimeout(limit)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.raw_in, self.raw_out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = None
        if context is not None:
            self.tls = context.wrap_bio(self.raw_in, self.raw_out, server_side=True)

    def write_raw(self, data: bytes) -> None:
        """Sends bytes as they are, up to `cut_after`."""
        if self.cut_after is not None and self.written + len(data) > self.cut_after:
            rest = max(0, self.cut_after - self.written)
            self._send(data[:rest])
            raise CutError
        self._send(data)

    def _send(self, data: bytes) -> None:
        step = self.split or max(1, len(data))
        for at in range(0, len(data), step):
            self.sock.sendall(data[at : at + step])
            if self.split:
                time.sleep(0.0002)  # lets the peer read each piece separately
        self.written += len(data)

    def handshake(self, stall_at: int | None = None) -> bool:
        """Performs the handshake and measures its CPU time; true if a session was resumed.

        `stall_at`: the flight, counted from 0, that is never sent; returns false when it is reached.
        """
        assert self.tls is not None
        flight = 0
        while True:
            began = time.thread_time()
            try:
                self.tls.do_handshake()
            except ssl.SSLWantReadError:
                done = False
            except ssl.SSLError:
                self.cpu += time.thread_time() - began
                with contextlib.suppress(OSError):
                    self.write_raw(self.raw_out.read())  # the alert
                raise
            else:
                done = True
            self.cpu += time.thread_time() - began
            if self.raw_out.pending:
                if flight == stall_at:
                    return False
                flight += 1
                self.write_raw(self.raw_out.read())
            if done:
                return bool(self.tls.session_reused)
            self._receive()

    def _receive(self) -> None:
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionResetError
        self.raw_in.write(data)

    def read(self) -> bytes:
        """Decrypted data; empty at the end of the stream."""
        if self.tls is None:
            return self.sock.recv(65536)
        while True:
            try:
                return self.tls.read(65536)
            except ssl.SSLWantReadError:
                if self.raw_out.pending:
                    self.write_raw(self.raw_out.read())
                try:
                    self._receive()
                except ConnectionResetError:
                    return b""
            except ssl.SSLZeroReturnError:
                return b""

    def encrypt(self, data: bytes) -> bytes:
        """Encrypts a message without sending it; returned unchanged on a plaintext connection."""
        if self.tls is None:
            return data
        self.tls.write(data)
        return self.raw_out.read()

    def write(self, data: bytes) -> None:
        """Encrypts and sends a message."""
        self.write_raw(self.encrypt(data))

    def alert(self) -> bytes:
        """An encrypted fatal alert, as OpenSSL answers a record that it can't decrypt; not sent yet."""
        assert self.tls is not None
        self.raw_in.write(b"\x17\x03\x03\x00\x20" + bytes(32))
        with contextlib.suppress(ssl.SSLError):
            self.tls.read(1)
        return self.raw_out.read()

    def send_close_notify(self) -> None:
        """Sends close_notify."""
        if self.tls is not None:
            with contextlib.suppress(ssl.SSLError):
                self.tls.unwrap()
            with contextlib.suppress(OSError):
                self.write_raw(self.raw_out.read())

    def close(self, notify: bool = True) -> None:
        """Closes the connection, by default after close_notify."""
        if notify:
            self.send_close_notify()
        self.sock.close()
