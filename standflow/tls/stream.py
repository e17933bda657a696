"""TLS stream of one connection: OpenSSL works on two memory buffers, and this module does the socket I/O.

A command counts as fully written when the last byte of its ciphertext is written to the socket. Bytes that
OpenSSL sends by itself (a key update, an alert, the end of the handshake) are not part of it.
"""

from __future__ import annotations

import contextlib
import socket
import ssl
import time
from collections.abc import Callable

from standflow.net.loop import IN, NO_EVENT, OUT, Coroutine, Loop, error_reason
from standflow.net.stream import READ_SIZE, Handshake
from standflow.tls.reasons import reason_of

CHUNK = 65536  # plaintext bytes passed to or from OpenSSL in one call
MAX_CONFIRM_WAIT = 0.1  # seconds


class TlsStream:
    """See net.stream.Stream. It is created before the handshake, for one name that the server must prove."""

    __slots__ = (
        "_done", "_loop", "_message_unsent", "_obj", "_on_declined", "_on_handshake", "_on_session", "_out",
        "_plain", "_raw_in", "_raw_out", "_session", "_stored_session", "_timeout", "end_reason",
        "generation", "handshake", "name", "sock", "unsent", "wants_write",
    )  # fmt: skip

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        context: ssl.SSLContext,
        name: str,
        session: ssl.SSLSession | None,
        timeout: float,
        generation: int,
        on_session: Callable[[ssl.SSLSession, bool], None],
        on_declined: Callable[[], None],
        on_handshake: Callable[[TlsStream, str], None],
    ) -> None:
        """`timeout` is the handshake timeout in seconds.

        `on_session` gets each new session, with true if it may be used only once. `on_declined` is called
        when the server did not resume the offered session. `on_handshake` is called once, with the reason
        code of the failure or an empty string.
        """
        self._loop, self.sock, self.name, self._session = loop, sock, name, session
        self._timeout, self.generation = timeout, generation
        self._on_session, self._on_declined, self._on_handshake = on_session, on_declined, on_handshake
        self._raw_in, self._raw_out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._obj = context.wrap_bio(self._raw_in, self._raw_out, server_hostname=name, session=session)
        self._out = memoryview(b"")  # unsent ciphertext
        self._message_unsent = 0  # bytes of it up to the end of the message
        self._plain: list[memoryview] = []  # the part of a long message that is not encrypted yet
        self.unsent = 0
        self.wants_write = False
        self.end_reason = ""
        self._done = False
        self._stored_session: ssl.SSLSession | None = None
        self.handshake = Handshake(False, session is not None, 0.0, 0.0, 0.0)

    # The handshake.

    def open(self) -> Coroutine[str]:
        """Does the handshake; no byte of a request is written before the name is verified."""
        reason = "given_up"
        try:
            reason = yield from self._open()
        finally:
            self._on_handshake(self, reason)
        return reason

    def _open(self) -> Coroutine[str]:
        loop, stats = self._loop, self.handshake
        end, first = loop.now() + self._timeout, True
        while True:
            began = time.thread_time()
            try:
                self._obj.do_handshake()
                self._done = True
            except ssl.SSLWantReadError:
                pass
            except ssl.SSLError as error:
                self._send_alert()
                return reason_of(error)
            finally:
                stats.cpu_seconds += time.thread_time() - began
            try:
                self._collect()
                if self._done:
                    break
                waiting_since = loop.now()
                data = yield from self._receive(end)
            except OSError as error:
                return "cut_off" if isinstance(error, ConnectionError) else error_reason(error)
            if data is None:
                return "handshake_timeout"
            if not data:
                return "cut_off"
            if first:
                stats.round_trip = loop.now() - waiting_since
            stats.wait_seconds += loop.now() - waiting_since
            first = False
            self._raw_in.write(data)
        stats.resumed = bool(self._obj.session_reused)
        if stats.session_offered and not stats.resumed:
            self._on_declined()  # before any new session is kept
        if not stats.resumed and self._obj.version() == "TLSv1.3":
            return (yield from self._await_confirmation(min(MAX_CONFIRM_WAIT, 3 * stats.round_trip + 0.005)))
        self._store_session()
        return ""

    def _receive(self, end: float) -> Coroutine[bytes | None]:
        """Receives the next bytes; None when the time is up."""
        while True:
            try:
                return self.sock.recv(READ_SIZE)
            except BlockingIOError:
                pass
            limit = end - self._loop.now()
            mask = IN | OUT if self._out else IN
            if limit <= 0 or (ready := (yield from self._loop.wait(mask, limit))) == NO_EVENT:
                return None
            if ready & OUT:
                self.flush()

    def _await_confirmation(self, limit: float) -> Coroutine[str]:
        """Waits for the server's verdict on the client certificate, or on its absence.

        In TLS 1.3 the server checks it after the client's side of the handshake is done. A session ticket
        means that it was accepted, an alert that it was rejected; no message until `limit` counts as
        accepted.

        Without this wait the first command would be fully written before the alert is read, and an unsafe
        request that was never run would count as one that may have been.
        """
        end = self._loop.now() + limit
        while not self._stored_session:
            try:
                data = yield from self._receive(end)
            except OSError as error:
                return "cut_off" if isinstance(error, ConnectionError) else error_reason(error)
            if data is None:
                return ""
            if not data:
                return self.end_reason or "cut_off"
            if self._decrypt(data):
                return "unasked_bytes"
            if self.end_reason:
                return self.end_reason
        return ""

    def _send_alert(self) -> None:
        with contextlib.suppress(OSError):
            self._collect()

    # Bytes.

    def write(self, *parts: bytes | bytearray) -> None:
        """See Stream. A long message is encrypted in pieces as the socket takes them: the caller keeps the
        message for a retry, and a second complete copy would double the memory use.
        """
        if sum(map(len, parts)) <= CHUNK:
            for part in parts:
                self._obj.write(part)
        else:
            self._plain = [memoryview(part) for part in parts]
            self._encrypt_chunk()
        more = self._raw_out.read()
        self._out = memoryview(bytes(self._out) + more if self._out else more)
        self._message_unsent = len(self._out)
        self._send()

    def flush(self) -> None:
        """See Stream."""
        if not self._out and self._plain:
            self._encrypt_chunk()
            self._out = memoryview(self._raw_out.read())
            self._message_unsent = len(self._out)
        if self._out:
            self._send()
        self.wants_write = bool(self._out or self._plain)

    def _encrypt_chunk(self) -> None:
        """Encrypts the next piece of a long message."""
        space = CHUNK
        while self._plain and space:
            piece = self._plain[0][:space]
            self._obj.write(piece)
            space -= len(piece)
            self._plain[0] = self._plain[0][len(piece) :]
            if not self._plain[0]:
                del self._plain[0]

    def _send(self) -> None:
        """Makes a single send call: if the first one fails, no byte of the message has left this machine."""
        try:
            taken = self.sock.send(self._out)
        except BlockingIOError:
            taken = 0
        self._out = self._out[taken:]  # a view, so that the rest is not copied at each write
        self._message_unsent = max(0, self._message_unsent - taken)
        self.unsent = self._message_unsent + sum(map(len, self._plain))
        self.wants_write = self.unsent > 0

    def _collect(self) -> None:
        """Appends bytes that OpenSSL sends by itself to the unsent ciphertext."""
        if self._raw_out.pending:
            self._out = memoryview(bytes(self._out) + self._raw_out.read())
            self.flush()

    def read(self, max_bytes: int = READ_SIZE) -> bytes:
        """See Stream."""
        try:
            data = self.sock.recv(max_bytes)
        except BlockingIOError:
            return b""
        if not data:
            self.end_reason = self.end_reason or "truncated"  # no close_notify: anybody may have cut it
            return b""
        return self._decrypt(data)

    def _decrypt(self, data: bytes) -> bytes:
        """Decrypts received bytes. If the stream ends in them, `end_reason` is set as well."""
        raw = self._raw_in
        raw.write(data)
        plain = b""
        try:
            # Once OpenSSL has consumed all input, no complete record is left: another read would only raise
            # SSLWantReadError, which costs more than the record itself.
            while True:
                more = self._obj.read(CHUNK)
                if not more:
                    self.end_reason = "peer_closed"
                    break
                plain = plain + more if plain else more
                if not raw.pending and len(more) < CHUNK:
                    break
        except ssl.SSLWantReadError:
            pass
        except ssl.SSLZeroReturnError:
            self.end_reason = "peer_closed"
        except ssl.SSLError as error:
            self.end_reason = reason_of(error)
        if self._raw_out.pending:
            with contextlib.suppress(OSError):  # an error of the socket shows at the next read
                self._collect()
        if self._stored_session is None:
            self._store_session()
        return plain

    def usable(self) -> bool:
        """See Stream. Unread session tickets and key updates don't make the stream unusable."""
        try:
            data = self.sock.recv(READ_SIZE)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return bool(data) and not self._decrypt(data) and not self.end_reason

    def _store_session(self) -> None:
        """Stores the session as soon as it can be resumed."""
        session = self._obj.session
        if session is None or self.end_reason:
            return
        single_use = self._obj.version() == "TLSv1.3"
        if (
            (session.has_ticket or not single_use)
            and session != self._stored_session
            and session != self._session
        ):
            self._stored_session = session
            self._on_session(session, single_use)

    def close(self) -> None:
        """Sends close_notify, unless that would cut off a message."""
        if self._done and not self.unsent and self.end_reason in ("", "peer_closed"):
            with contextlib.suppress(ssl.SSLError, OSError):
                self._obj.unwrap()
            with contextlib.suppress(OSError):
                self._collect()

    def log_suffix(self) -> str:
        """TLS version, whether a session was resumed, and the processor time of the handshake."""
        if not self._done:
            return f" name={self.name}"
        version, stats = self._obj.version() or "", self.handshake
        return f" {version} resumed={stats.resumed:d} handshake={stats.cpu_seconds * 1000:.2f}ms"
