"""No unsafe request runs twice, also where its id comes again after its client has left."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest

from lab.box import Box
from standflow.executed_ids import KEPT_SECONDS, ExecutedIds
from standflow.upgrade import id_journal
from standflow.upgrade.id_journal import IdJournal
from standflow.upgrade.roles import LIVENESS_SECONDS
from tests.wire import LIMIT, Program, command, config, member, program, read_until

DELAY_SECONDS = 0.4  # of the backend, in which the client leaves
ALREADY_SENT = b"-ERR the id is "


@pytest.fixture
def box() -> Iterator[Box]:
    with Box(delay=DELAY_SECONDS) as box:
        yield box


def until_arrived(box: Box, number: int) -> None:
    end = time.monotonic() + LIMIT
    while len(box.counts.arrivals) < number:
        assert time.monotonic() < end
        time.sleep(0.005)


def raw_config(box: Box) -> dict[str, object]:
    return config(known={"revision": 1, "complete": True, "members": [member(box.address)]})


@pytest.mark.parametrize("wait", [0.0, 2 * DELAY_SECONDS], ids=["while it runs", "after it has run"])
def test_unsafe_id_that_comes_again_after_its_client_has_left_does_not_run_twice(
    wait: float, box: Box, tmp_path: Path
) -> None:
    with program(tmp_path, raw_config(box)) as running:
        client = running.call()
        client.sendall(command("aa01", "Q.DO", "change"))
        until_arrived(box, 1)
        client.close()
        time.sleep(wait)
        again = running.call()
        again.sendall(command("aa01", "Q.DO", "change"))
        assert read_until(again, b"\r\n").startswith(ALREADY_SENT)
    assert box.run_counts() == {"aa01": 1}


def test_unsafe_id_that_comes_again_after_its_answer_does_not_run_twice(box: Box, tmp_path: Path) -> None:
    with program(tmp_path, raw_config(box)) as running:
        client = running.call()
        for expected in (b"$", ALREADY_SENT):
            client.sendall(command("aa01", "Q.DO", "change"))
            assert read_until(client, b"\r\n").startswith(expected)
    assert box.run_counts() == {"aa01": 1}


def test_safe_id_that_comes_again_has_no_second_copy_beside_the_first(box: Box, tmp_path: Path) -> None:
    with program(tmp_path, raw_config(box)) as running:
        client = running.call()
        client.sendall(command("aa01"))
        until_arrived(box, 1)
        client.close()
        again = running.call()
        again.sendall(command("aa01"))
        assert read_until(again, b"\r\n").startswith(ALREADY_SENT)
        time.sleep(2 * DELAY_SECONDS)
        again.sendall(command("aa01"))
        assert read_until(again, b"aa01\r\n")
    assert box.run_counts() == {"aa01": 2}


def test_unsafe_id_that_never_ran_may_come_again(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as closed:
        address = closed.getsockname()
    raw = config(known={"revision": 1, "complete": True, "members": [member(address)]})
    with program(tmp_path, raw) as running:
        client = running.call()
        for _ in range(2):  # the connection to the backend is refused
            client.sendall(command("aa01", "Q.DO", "change", d=300))
            assert read_until(client, b"\r\n").startswith(b"-BUSY")


class Upgrade:
    """Two processes on one listening socket."""

    def __init__(self, folder: Path, box: Box, stack: ExitStack) -> None:
        self.folder, self.raw, self.stack = folder, raw_config(box), stack
        self.listening = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=64))

    def start(self) -> Program:
        running = self.stack.enter_context(program(self.folder, self.raw, self.listening))
        running.logged("ready n0")
        return running

    def connect(self) -> socket.socket:
        client = self.stack.enter_context(socket.create_connection(self.listening.getsockname(), LIMIT))
        client.settimeout(LIMIT)
        client.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert read_until(client, b"\r\n") == b"+PONG\r\n"
        return client


def test_unsafe_id_whose_client_left_the_old_process_does_not_run_at_the_new_one(
    box: Box, tmp_path: Path
) -> None:
    with ExitStack() as stack:
        upgrade = Upgrade(tmp_path, box, stack)
        old = upgrade.start()
        at_old = upgrade.connect()
        upgrade.start().logged("took over")
        at_old.sendall(command("aa01", "Q.DO", "change"))
        until_arrived(box, 1)
        at_old.close()
        old.terminate()
        old.logged("stopping")
        at_new = upgrade.connect()
        at_new.sendall(command("aa01", "Q.DO", "change"))
        assert read_until(at_new, b"\r\n").startswith(ALREADY_SENT)
    assert box.run_counts() == {"aa01": 1}


def test_unsafe_id_whose_client_left_the_new_process_does_not_run_at_the_old_one(
    box: Box, tmp_path: Path
) -> None:
    with ExitStack() as stack:
        upgrade = Upgrade(tmp_path, box, stack)
        old = upgrade.start()
        at_old = upgrade.connect()
        upgrade.start().logged("took over")
        at_old.sendall(command("aa00", "Q.DO", "change"))  # keeps the connection open
        until_arrived(box, 1)
        old.terminate()
        old.logged("stopping")
        at_new = upgrade.connect()
        at_new.sendall(command("aa01", "Q.DO", "change"))
        until_arrived(box, 2)
        at_new.close()
        at_old.sendall(command("aa01", "Q.DO", "change"))
        assert read_until(at_old, b"run\r\n").partition(ALREADY_SENT)[0] == b"$8\r\nran aa00\r\n"
    assert box.run_counts() == {"aa00": 1, "aa01": 1}


def test_id_that_ran_before_the_other_process_came_is_known_there(box: Box, tmp_path: Path) -> None:
    with ExitStack() as stack:
        upgrade = Upgrade(tmp_path, box, stack)
        old = upgrade.start()
        client = upgrade.connect()
        client.sendall(command("aa01", "Q.DO", "change"))
        until_arrived(box, 1)
        client.close()
        upgrade.start().logged("took over")
        old.terminate()
        old.logged("stopped")
        time.sleep(2 * LIVENESS_SECONDS)
        again = upgrade.connect()
        again.sendall(command("aa01", "Q.DO", "change"))
        assert read_until(again, b"\r\n").startswith(ALREADY_SENT)
    assert box.run_counts() == {"aa01": 1}


def test_table_of_ids_is_bounded_by_number_and_time() -> None:
    now = [0.0]
    ids = ExecutedIds(lambda: now[0], limit=100)
    for number in range(300):
        ids.add(number)
    assert len(ids.added_at) == 100
    assert 299 in ids
    assert 150 not in ids
    now[0] = KEPT_SECONDS + 1.0
    ids.add("new")
    assert len(ids.added_at) == 1


class Pair:
    """The journals of two processes in one folder."""

    def __init__(self, folder: Path) -> None:
        self.time, self.log = 0.0, list[str]()
        self.known: list[list[object]] = [[], []]
        self.journals = [
            IdJournal(f"{folder}", "n0-", number, lambda n=number: self.known[n], self.now, self.log.append)  # type: ignore[misc]
            for number in range(2)
        ]

    def now(self) -> float:
        return self.time

    def update(self, another_alive: bool = True) -> None:
        for journal in self.journals:
            journal.update(another_alive)


def test_journal_tells_at_once_and_takes_back_what_never_ran(tmp_path: Path) -> None:
    pair = Pair(tmp_path)
    one, other = pair.journals
    pair.known[0] = [b"before"]
    pair.update()
    pair.update()
    assert other.known_elsewhere(b"before")
    assert not other.known_elsewhere(b"aa01")
    one.record(b"aa01", True)
    assert other.known_elsewhere(b"aa01")
    assert not one.known_elsewhere(b"aa01")
    one.record(b"aa01", False)
    assert not other.known_elsewhere(b"aa01")


def test_journal_that_is_begun_anew_is_read_from_its_beginning(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(id_journal, "MAX_FILE_BYTES", 20 * id_journal.RECORD_BYTES)
    pair = Pair(tmp_path)
    one, other = pair.journals
    pair.update()
    pair.update()
    for number in range(200):
        pair.known[0] = [f"{n}".encode() for n in range(max(0, number - 5), number + 1)]
        one.record(f"{number}".encode(), True)
        assert other.known_elsewhere(f"{number}".encode())
    assert (tmp_path / one.name).stat().st_size <= 21 * id_journal.RECORD_BYTES


def test_journal_is_kept_for_some_time_after_the_other_process_and_removed_then(tmp_path: Path) -> None:
    pair = Pair(tmp_path)
    one, other = pair.journals
    pair.update()
    pair.update()
    one.record(b"aa01", True)
    other.update(False)
    assert other.known_elsewhere(b"aa01")
    pair.time = 2 * id_journal.KEPT_SECONDS
    other.update(False)
    assert not other.known_elsewhere(b"aa01")
    assert not list(tmp_path.iterdir())


def test_journal_that_can_not_be_written_is_logged_and_ends_nothing(tmp_path: Path) -> None:
    journal = IdJournal(f"{tmp_path}/missing", "n0-", 1, lambda: [], lambda: 0.0, (log := list[str]()).append)
    journal.update(True)
    journal.record(b"aa01", True)
    assert not journal.known_elsewhere(b"aa01")
    assert log
