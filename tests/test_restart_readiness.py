"""A restarted ingress is ready soon, whatever discovery does and however many start at once."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from pathlib import Path

import pytest

from standflow.assembly import READY_TIMEOUT_SECONDS, Ingress
from standflow.config import read
from standflow.net.loop import Loop
from tests.test_endings import HangingHop, known
from tests.wire import LIMIT, config, listener, program, read_until, run_until

AT_ONCE = 20
LONGEST_WAIT = 1.0  # seconds, of the ten that a restart may take; the rest is for the start of the process
Address = tuple[str, int]
PING = b"*1\r\n$4\r\nPING\r\n"


@contextmanager
def refusing() -> Iterator[Address]:
    """Connections are refused."""
    with listener() as sock:
        address = sock.getsockname()
    yield address


@contextmanager
def silent() -> Iterator[Address]:
    """Connections are established, and nothing is answered."""
    with listener() as sock:
        yield sock.getsockname()


@contextmanager
def unreachable() -> Iterator[Address]:
    """Connections are never established."""
    with HangingHop() as held:
        yield held.sock.getsockname()


DOWN = {"refusing": refusing, "silent": silent, "unreachable": unreachable}


@pytest.mark.parametrize("down", DOWN.values(), ids=DOWN)
def test_an_ingress_serves_from_its_saved_list_while_discovery_is_down(
    down: Callable[[], AbstractContextManager[Address]],
) -> None:
    log: list[str] = []
    with down() as address, listener() as hop:
        raw = config(known=known(hop), discovery=f"{address[0]}:{address[1]}")
        loop = Loop(log.append)
        ingress = Ingress(read(raw, log.append), loop, log.append)
        before = loop.now()
        ingress.start()
        due = [when for when, _, timer in loop.timers if timer.call == ingress._ready]
        assert due
        assert due[0] <= loop.now() + READY_TIMEOUT_SECONDS <= loop.now() + LONGEST_WAIT
        with socket.create_connection(ingress.clients.address, LIMIT) as client:
            client.sendall(PING)
            run_until(loop, lambda: ingress.clients.ready)
            # The list may be stale: it waits for discovery first.
            assert loop.now() >= before + READY_TIMEOUT_SECONDS
            run_until(loop, lambda: any(connection.answered for connection in ingress.clients.connections))
            assert read_until(client, b"\r\n") == b"+PONG\r\n"
        assert not ingress.routes_received
        ingress.close()
        loop.epoll.close()


def test_twenty_that_start_at_once_are_all_ready_while_discovery_is_silent(tmp_path: Path) -> None:
    with ExitStack() as stack:
        address = stack.enter_context(silent())
        hop = stack.enter_context(listener())
        raw = config(known=known(hop), discovery=f"{address[0]}:{address[1]}")
        started = []
        for number in range(AT_ONCE):
            folder = tmp_path / f"{number}"
            folder.mkdir()
            started.append(stack.enter_context(program(folder, raw)))
        for running in started:
            client = stack.enter_context(running.call())
            client.sendall(PING)
            assert read_until(client, b"\r\n") == b"+PONG\r\n"
            assert "routes.told" not in running.log
