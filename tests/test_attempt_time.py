"""The time limit that an attempt sends to its backend never exceeds the client's remaining time."""

from __future__ import annotations

import re
import select
import socket
import time

from standflow.net.client_side import ClientSide
from tests.test_connections import Recorder
from tests.test_endings import SlowHandshakeStream, Wired
from tests.wire import command, listener, run_until

TIME_MS = 60_000  # time limit of the client of `Wired.ask`
WAIT = 0.06  # seconds


class OpenRequest:
    """A client with an open request, and its remaining time by the test's own clock."""

    def __init__(self, wired: Wired) -> None:
        self.wired = wired
        self.client = wired.ask("aa01")
        self.taken = time.monotonic()

    def wait(self) -> None:
        """Lets time pass while the loop runs."""
        end = time.monotonic() + WAIT
        run_until(self.wired.recorder.loop, lambda: time.monotonic() > end)

    def left(self) -> float:
        """Upper limit of the remaining time in milliseconds, counted from when the request was opened."""
        return TIME_MS - 1000 * (time.monotonic() - self.taken)


def next_time_limit(wired: Wired, sock: socket.socket) -> float:
    """Reads the next attempt on a connection and returns its time limit in milliseconds."""
    data = b""

    def whole() -> bool:
        nonlocal data
        if select.select([sock], [], [], 0)[0]:
            data += sock.recv(65536)
        return data.endswith(b"first=0\r\n")

    run_until(wired.recorder.loop, whole)
    match = re.search(rb",d=(\d+)", data)
    assert match is not None
    return float(match[1])


def test_dial_time_counts_against_the_attempt() -> None:
    with listener() as hop:
        wired = Wired(hop.getsockname(), make=lambda route, sock: SlowHandshakeStream(sock))
        asked = OpenRequest(wired)
        wired.send()
        at_backend = hop.accept()[0]
        asked.wait()
        left = asked.left()
        at_backend.sendall(b"!")  # completes the connection
        assert next_time_limit(wired, at_backend) <= left
        for sock in (asked.client, at_backend):
            sock.close()
        wired.recorder.close()


def test_retry_gets_at_most_the_remaining_time() -> None:
    with listener() as hop:
        wired = Wired(hop.getsockname(), cool_down=0.0)
        asked = OpenRequest(wired)
        wired.send()
        first = hop.accept()[0]
        next_time_limit(wired, first)
        asked.wait()
        first.sendall(b"-BUSY\r\n")
        run_until(wired.recorder.loop, lambda: wired.recorder.ended)
        left = asked.left()
        wired.send(2 * TIME_MS / 1000)  # on the existing connection
        assert next_time_limit(wired, first) <= left
        asked.wait()
        left = asked.left()
        wired.send(2 * TIME_MS / 1000)  # a copy, on another one
        second = hop.accept()[0]
        assert next_time_limit(wired, second) <= left
        for sock in (asked.client, first, second):
            sock.close()
        wired.recorder.close()


def test_wait_to_be_accepted_counts_against_the_time_left() -> None:
    """At the connection limit nobody is accepted while all connections have open requests."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 1)
    side.start_serving()
    clients = [socket.create_connection(side.address) for _ in range(3)]

    def accepted(opened: int) -> None:
        run_until(recorder.loop, lambda: len(recorder.opened) == opened)

    clients[0].sendall(command("aa01", d=TIME_MS))
    accepted(1)
    clients[1].sendall(command("aa02", d=TIME_MS))
    sent = recorder.loop.now()
    end = sent + WAIT
    run_until(recorder.loop, lambda: recorder.loop.now() > end)
    clients[0].close()
    accepted(2)
    assert recorder.opened[1].deadline - TIME_MS / 1000 <= sent
    clients[1].close()
    # The third client is accepted and has sent nothing.
    run_until(recorder.loop, lambda: len(recorder.gone) == 2 and side.connections)
    earliest = recorder.loop.last_poll
    clients[2].sendall(command("aa03", d=TIME_MS))
    accepted(3)
    assert recorder.opened[2].deadline - TIME_MS / 1000 >= earliest
    clients[2].close()
    recorder.close()
