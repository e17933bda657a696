"""A client that sends at full speed lets all others have their turn."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

import pytest

from lab.callers import command as encode
from standflow.net.client_side import ClientSide
from standflow.net.command_turn import TURN_COMMANDS
from tests.test_connections import Recorder
from tests.wire import command, run_until

PING = b"*1\r\n$4\r\nPING\r\n"
UNSOUND = encode([b"Q.ASK", b"0", b"aa", b"c=x"])


class Side:
    """A client side with two clients: the first one sends at full speed."""

    def __init__(self) -> None:
        self.recorder = Recorder()
        self.recorder.exchange.max_open = 100_000
        log = self.recorder.log.append
        self.side = ClientSide(self.recorder.loop, log, self.recorder.exchange, ("127.0.0.1", 0), 10)
        self.side.start_serving()
        self.clients = [socket.create_connection(self.side.address) for _ in range(2)]
        run_until(self.recorder.loop, lambda: len(self.side.connections) == 2)

    def answered(self) -> int:
        return sum(connection.answered for connection in self.side.connections)


@pytest.fixture
def side() -> Iterator[Side]:
    side = Side()
    yield side
    for client in side.clients:
        client.close()
    side.recorder.close()


@pytest.mark.parametrize("text", [PING, UNSOUND], ids=["ping", "unsound"])
def test_commands_at_full_speed_delay_another_client_by_one_turn_only(side: Side, text: bytes) -> None:
    flooding, sound = side.clients
    flooding.sendall(text * 500)
    loop = side.recorder.loop
    run_until(loop, lambda: side.answered() > 0)
    sound.sendall(PING)
    before = side.answered()
    sound.setblocking(True)
    for _ in range(3):
        loop.run_once()
    assert sound.recv(100) == b"+PONG\r\n"
    assert side.answered() - before <= 3 * TURN_COMMANDS + 1


def test_commands_of_several_turns_are_all_answered_and_in_order(side: Side) -> None:
    flooding, loop, got = side.clients[0], side.recorder.loop, bytearray()
    texts = [text for number in range(60) for text in (PING, command(f"aa{number:02}"), UNSOUND)]
    flooding.sendall(b"".join(texts))
    flooding.setblocking(False)

    def all_answered() -> bool:
        for transaction in reversed(side.recorder.opened):
            side.recorder.exchange.fail(transaction.name)
        with contextlib.suppress(BlockingIOError):
            got.extend(flooding.recv(65536))
        return got.count(b"\r\n") >= len(texts)

    run_until(loop, all_answered)
    lines = bytes(got).splitlines()
    assert len(lines) == len(texts)
    assert set(lines[0::3]) == {b"+PONG"}
    assert set(lines[1::3]) == {b"-ERR failed"}
    assert set(lines[2::3]) == {b"-ERR bad customer"}


@pytest.mark.parametrize("end", ["drain", "refuse"])
def test_commands_that_were_read_before_the_end_are_taken_at_once(side: Side, end: str) -> None:
    flooding, loop = side.clients[0], side.recorder.loop
    flooding.sendall(PING * 200)
    run_until(loop, lambda: side.answered() > 0)
    if end == "refuse":
        side.side.refuse_new()
    else:
        side.side.stop(0.0)
        side.side._expire_drain(side.side.drain_count)
    assert side.answered() == 200
