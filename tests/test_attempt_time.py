"""The time that an attempt tells its backend is at most what is left to its client."""

from __future__ import annotations

import re
import select
import socket
import time

from standflow.net.client_side import ClientSide
from tests.test_connections import Recorder
from tests.test_endings import Greeted, Wired
from tests.wire import command, listener, run_until

TIME_MS = 60_000  # that the client of `Wired.ask` waits
PASSES = 0.06  # seconds


class Asked:
    """One client and its request, and what is left to it by the test's own clock."""

    def __init__(self, wired: Wired) -> None:
        self.wired = wired
        self.client = wired.ask("aa01")
        self.taken = time.monotonic()

    def passes(self) -> None:
        """Time passes; the loop goes on."""
        end = time.monotonic() + PASSES
        run_until(self.wired.at.loop, lambda: time.monotonic() > end)

    def left(self) -> float:
        """Milliseconds that are left at the most: what has passed since the request was taken has passed."""
        return TIME_MS - 1000 * (time.monotonic() - self.taken)


def told(wired: Wired, sock: socket.socket) -> float:
    """The time, in milliseconds, of the attempt that comes next on a connection."""
    data = b""

    def whole() -> bool:
        nonlocal data
        if select.select([sock], [], [], 0)[0]:
            data += sock.recv(65536)
        return data.endswith(b"first=0\r\n")

    run_until(wired.at.loop, whole)
    match = re.search(rb",d=(\d+)", data)
    assert match is not None
    return float(match[1])


def test_a_dial_that_takes_its_time_takes_it_from_the_attempt_s() -> None:
    with listener() as hop:
        wired = Wired(hop.getsockname(), make=lambda route, sock: Greeted(sock))
        asked = Asked(wired)
        wired.send()
        at_backend = hop.accept()[0]
        asked.passes()
        left = asked.left()
        at_backend.sendall(b"!")  # the connection is up from now on
        assert told(wired, at_backend) <= left
        for sock in (asked.client, at_backend):
            sock.close()
        wired.at.close()


def test_a_further_attempt_has_what_the_first_one_left_whatever_time_it_is_given() -> None:
    with listener() as hop:
        wired = Wired(hop.getsockname(), cool_down=0.0)
        asked = Asked(wired)
        wired.send()
        first = hop.accept()[0]
        told(wired, first)
        asked.passes()
        first.sendall(b"-BUSY\r\n")
        run_until(wired.at.loop, lambda: wired.at.ended)
        left = asked.left()
        wired.send(2 * TIME_MS / 1000)  # on a connection that is up
        assert told(wired, first) <= left
        asked.passes()
        left = asked.left()
        wired.send(2 * TIME_MS / 1000)  # a copy, on another one
        second = hop.accept()[0]
        assert told(wired, second) <= left
        for sock in (asked.client, first, second):
            sock.close()
        wired.at.close()


def test_the_wait_to_be_accepted_is_the_time_of_a_request_that_was_sent_before() -> None:
    """At the cap nobody is accepted while all have a request open."""
    at = Recorder()
    side = ClientSide(at.loop, at.log.append, at.exchange, ("127.0.0.1", 0), 1)
    side.start_serving()
    clients = [socket.create_connection(side.address) for _ in range(3)]

    def accepted(opened: int) -> None:
        run_until(at.loop, lambda: len(at.opened) == opened)

    clients[0].sendall(command("aa01", d=TIME_MS))
    accepted(1)
    clients[1].sendall(command("aa02", d=TIME_MS))
    sent = at.loop.now()
    end = sent + PASSES
    run_until(at.loop, lambda: at.loop.now() > end)
    clients[0].close()
    accepted(2)
    assert at.opened[1].deadline - TIME_MS / 1000 <= sent
    clients[1].close()
    run_until(
        at.loop, lambda: len(at.gone) == 2 and side.connections
    )  # the third has come to wait, and sent nothing
    earliest = at.loop.last_poll
    clients[2].sendall(command("aa03", d=TIME_MS))
    accepted(3)
    assert at.opened[2].deadline - TIME_MS / 1000 >= earliest
    clients[2].close()
    at.close()
