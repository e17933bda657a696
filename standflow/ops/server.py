"""The operators' listener: HTTP/1.1 through h11, one call per connection. It makes no decisions.

Its descriptors are served first in each iteration of the loop, and its calls are few and small, so that an
answer does not wait behind client traffic. A connection without a complete call is closed after a few
seconds, or earlier, the oldest first, to make room for a new one.
"""

from __future__ import annotations

import contextlib
import socket
from collections import OrderedDict
from collections.abc import Callable

import h11

from standflow.net.listening import tcp_listener
from standflow.net.loop import IN, NO_EVENT, OUT, Coroutine, Loop, Task, error_reason
from standflow.net.transient_errors import retry_at_startup
from standflow.ops.calls import Answer

MAX_CALLS = 32  # connections at once
DESCRIPTORS = MAX_CALLS + 2  # with the listener, and one that is accepted before another is closed
BACKLOG = 64  # connections that may wait to be accepted
MAX_ACCEPTS = 16  # in one iteration of the loop
ACCEPT_PAUSE = 0.1  # seconds without accepting when no descriptor is left
CALL_TIMEOUT = 5.0  # seconds for a complete call to arrive, and for its answer to be written
LINGER = 0.5  # seconds for the client to close first, so that unread bytes don't reset the answer
MAX_HEAD_BYTES = 8192
MAX_BODY_BYTES = 65536  # no call needs a body
READ_SIZE = 16384


class Server:
    """Accepts connections and answers one call on each."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        address: tuple[str, int],
        answer: Callable[[str, str], Answer],
    ) -> None:
        """`answer` maps a method and a target to an answer. OSError if the address can't be bound."""
        self.loop, self.log, self.answer = loop, log, answer
        self.accepting = True
        self.calls: OrderedDict[Task, None] = OrderedDict()  # the oldest first
        self.sock = retry_at_startup(lambda: tcp_listener(address, BACKLOG))
        self.address: tuple[str, int] = self.sock.getsockname()
        loop.priority_fds.add(self.sock.fileno())
        self.listener = loop.spawn(self.sock.fileno(), self._listen())

    def close(self) -> None:
        """Closes the listener and all connections."""
        for task in [self.listener, *self.calls]:
            self.loop.end(task)

    def _listen(self) -> Coroutine[None]:
        number = self.sock.fileno()
        try:
            yield from self.loop.supervised(self._accept_on)
        finally:
            self.loop.priority_fds.discard(number)
            self.sock.close()

    def _accept_on(self) -> Coroutine[None]:
        while True:
            yield IN if self.accepting else 0
            for _ in range(MAX_ACCEPTS if self.accepting else 0):
                if not self._accept():
                    break

    def _resume_accepting(self) -> None:
        self.accepting = True
        self.loop.watch(self.listener, IN)

    def _accept(self) -> bool:
        while len(self.calls) >= MAX_CALLS:
            self.loop.end(next(iter(self.calls)))
        try:
            sock, _ = self.sock.accept()
        except ConnectionError:
            return True
        except BlockingIOError:
            return False
        except OSError as error:
            self.log(f"ops: accept: {error}")
            if not self.calls:  # the listener stays readable: without a pause the loop would spin
                self.accepting = False
                self.loop.call_later(ACCEPT_PAUSE, self._resume_accepting)
                return False
            self.loop.end(next(iter(self.calls)))
            return True
        sock.setblocking(False)
        self.loop.priority_fds.add(sock.fileno())
        call = Call(self, sock)
        try:
            task = call.task = self.loop.spawn(sock.fileno(), call.run())
        except OSError as error:
            self.log(f"ops: {error}")
            self.loop.priority_fds.discard(sock.fileno())
            sock.close()
            return True
        if not call.closed:
            self.calls[task] = None
        return True


class Call:
    """One connection and its call."""

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self.server, self.sock = server, sock
        self.task: Task | None = None
        self.closed = False
        self.accepted_at = server.loop.now()
        self.description = "-"  # for the log: method, target and status

    def run(self) -> Coroutine[None]:
        """Serves the connection and writes one line to the log when it is closed."""
        number, reason = self.sock.fileno(), "cap"
        try:
            reason = yield from self._serve()
        except OSError as error:
            reason = error_reason(error)
        finally:
            self.closed = True
            if self.task is not None:
                self.server.calls.pop(self.task, None)
            self.server.loop.priority_fds.discard(number)
            self.sock.close()
            age = self.server.loop.now() - self.accepted_at
            self.server.log(f"end ops {reason} {self.description} age={age:.2f}")

    def _serve(self) -> Coroutine[str]:
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        end, size = self.accepted_at + CALL_TIMEOUT, 0
        request: h11.Request | None = None
        while True:
            try:
                event = http.next_event()
            except h11.RemoteProtocolError as error:
                return (
                    yield from self._reply(http, Answer(error.error_status_hint, f"{error}\n"), "bad_http")
                )
            if event is h11.NEED_DATA:
                if http.they_are_waiting_for_100_continue:
                    self.sock.send(http.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")
                data = yield from self._read(end)
                if data is None:
                    return (yield from self._reply(http, Answer(408, "no whole call in time\n"), "silent"))
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_BODY_BYTES:
                    return (yield from self._reply(http, Answer(413, "too large\n"), "too_large"))
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                method, target = request.method.decode("ascii"), request.target.decode("latin-1")
                self.description = f"{method} {target[:80]!r}"
                return (yield from self._reply(http, self.server.answer(method, target), "answered"))
            else:
                return "peer_closed"

    def _read(self, end: float) -> Coroutine[bytes | None]:
        """The bytes that have arrived, empty at the end of the stream; None if nothing arrives in time."""
        loop = self.server.loop
        while True:
            with contextlib.suppress(BlockingIOError):
                return self.sock.recv(READ_SIZE)
            left = end - loop.now()
            if left <= 0 or (yield from loop.wait(IN, left)) == NO_EVENT:
                return None

    def _reply(self, http: h11.Connection, answer: Answer, reason: str) -> Coroutine[str]:
        body, loop = answer.text.encode(), self.server.loop
        headers = [
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", f"{len(body)}"),
            ("Connection", "close"),
        ]
        if answer.allow:
            headers.append(("Allow", answer.allow))
        response = h11.Response(status_code=answer.status, headers=headers)
        if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return reason
        parts = (http.send(response), http.send(h11.Data(data=body)), http.send(h11.EndOfMessage()))
        out = memoryview(b"".join(part or b"" for part in parts))
        end = loop.now() + CALL_TIMEOUT
        while out:
            try:
                out = out[self.sock.send(out) :]
            except BlockingIOError:
                if (yield from loop.wait(OUT, max(0.0, end - loop.now()))) == NO_EVENT:
                    return "slow_reader"
        self.description += f" {answer.status}"
        # Closing a socket with unread bytes sends a reset, which could discard the answer at the client.
        with contextlib.suppress(OSError):  # the client may have closed already
            self.sock.shutdown(socket.SHUT_WR)
            end = loop.now() + LINGER
            while (yield from self._read(end)):
                continue
        return reason
