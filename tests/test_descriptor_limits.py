"""When idle clients use up all descriptors, new sockets replace idle connections."""

from __future__ import annotations

import json
import os
import resource
import select
import socket
from contextlib import ExitStack
from pathlib import Path

import pytest

from standflow.net.client_side import ClientSide
from tests.test_connections import Recorder
from tests.test_endings import known
from tests.wire import LIMIT, Program, command, config, listener, program, read_until, run_until

FREE_DESCRIPTORS = 20  # for the test's idle clients
VALUE = b"*3\r\n$2\r\nva\r\n$-1\r\n$-1\r\n"
PING = b"*1\r\n$4\r\nPING\r\n"


def fill(running: Program, clients: ExitStack) -> list[socket.socket]:
    """Connects idle clients until new ones replace old ones. Returns the latest ones."""
    pid, opened = running.process.pid, list[socket.socket]()
    most = max(int(fd) for fd in os.listdir(f"/proc/{pid}/fd")) + FREE_DESCRIPTORS
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (most, resource.prlimit(pid, resource.RLIMIT_NOFILE)[1]))
    for _ in range(FREE_DESCRIPTORS + 5):
        opened.append(clients.enter_context(running.call()))
        opened[-1].sendall(PING)
        read_until(opened[-1], b"+PONG\r\n")
    running.logged("caller: accept: .*Too many open files")
    return opened[-10:]


def test_new_connections_replace_idle_clients_when_descriptors_run_out(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as down:
        address = down.getsockname()
    with ExitStack() as stack, listener() as hop:
        raw = config(known=known(hop), discovery=f"{address[0]}:{address[1]}")
        running = stack.enter_context(program(tmp_path, raw))
        running.call().close()
        idle = fill(running, stack)

        def ask(client: socket.socket, ident: str) -> socket.socket:
            """Sends a request that needs a new backend connection."""
            client.sendall(command(ident, d=60_000))
            at_backend = stack.enter_context(hop.accept()[0])
            at_backend.settimeout(LIMIT)
            read_until(at_backend, b"first=0\r\n")
            return at_backend

        asked = [(client, ask(client, f"aa{number:02}")) for number, client in enumerate(idle[-3:])]
        with socket.create_server(address) as agent:
            agent.settimeout(LIMIT)
            watch = stack.enter_context(agent.accept()[0])
            watch.settimeout(LIMIT)
            read_until(watch, b"\r\n\r\n")
            told = json.dumps(known(hop) | {"revision": 5}).encode() + b"\n"
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            watch.sendall(head + b"%x\r\n%b\r\n" % (len(told), told))
            newcomer = stack.enter_context(running.call())
            asked.append((newcomer, ask(newcomer, "bb01")))
        for client, at_backend in asked:
            at_backend.sendall(VALUE)
            assert read_until(client, b"va\r\n") == b"$2\r\nva\r\n"
        running.terminate()
        running.logged("stopped")
        assert "no socket" not in running.log
        assert "fault" not in running.log


def test_eviction_does_not_recurse(monkeypatch: pytest.MonkeyPatch) -> None:
    """Eviction reads requests of many clients; if each evicted in turn, the stack would overflow."""
    recorder = Recorder()
    side = ClientSide(recorder.loop, recorder.log.append, recorder.exchange, ("127.0.0.1", 0), 100)
    side.start_serving()
    clients = [socket.create_connection(side.address) for _ in range(50)]
    for client in clients:
        client.sendall(PING)
    run_until(recorder.loop, lambda: all(select.select([client], [], [], 0)[0] for client in clients))
    made: list[bool] = []
    monkeypatch.setattr(
        recorder, "transaction_opened", lambda transaction: made.append(recorder.loop.free_descriptor())
    )
    for number, client in enumerate(clients):
        client.sendall(command(f"{number:04x}"))
    assert not recorder.loop.free_descriptor()  # all have a request open now
    assert made == [False] * len(clients)
    for client in clients:
        client.close()
    recorder.close()
