"""A fault of one connection, request or step costs no other its answer."""

from __future__ import annotations

import socket

import pytest

from standflow.net.client_side import ClientSide
from standflow.shutdown import Shutdown
from tests.test_connections import Recorder
from tests.wire import LIMIT, command, run_until


class Clients:
    """A client side and its clients, each with one open request."""

    def __init__(self, number: int) -> None:
        self.recorder = Recorder()
        loop, log, exchange = self.recorder.loop, self.recorder.log.append, self.recorder.exchange
        self.side = ClientSide(loop, log, exchange, ("127.0.0.1", 0), 100)
        self.side.start_serving()
        self.shutdown = Shutdown(loop, log, self.side, exchange)
        self.sockets = [socket.create_connection(self.side.address, LIMIT) for _ in range(number)]
        for position, client in enumerate(self.sockets):
            client.sendall(command(f"{position:04x}", d=60_000))
        run_until(loop, lambda: len(self.recorder.opened) == number)

    def logged(self, text: str) -> int:
        """The number of log lines with this text."""
        return sum(text in line for line in self.recorder.log)

    def close(self) -> None:
        for client in self.sockets:
            client.close()
        self.recorder.close()


def test_requests_that_are_not_answered_by_the_exit_are_named_in_the_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that a shutdown loses without a trace of which they were."""
    clients = Clients(2)
    monkeypatch.setattr(clients.shutdown, "answer_all", lambda: None)
    clients.shutdown.begin(0.3)
    run_until(clients.recorder.loop, lambda: clients.recorder.loop.stopped)
    assert clients.logged("shutdown: not answered by the exit: 0000 class=look attempts=none") == 1
    assert clients.logged("shutdown: not answered by the exit: 0001 class=look attempts=none") == 1
    clients.close()
