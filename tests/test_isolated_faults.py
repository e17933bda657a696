"""A fault of one client, request or step of a shutdown costs no other its answer."""

from __future__ import annotations

import socket
from collections.abc import Callable

import pytest

from standflow.exchange import Transaction
from standflow.messages import FinalAnswer, Outcome
from standflow.net.client_connection import ClientConnection
from standflow.net.client_side import SWEEP_INTERVAL, ClientSide
from standflow.shutdown import Shutdown
from standflow.shutdown_schedule import schedule_for
from tests.planted_faults import PlantedError, fail
from tests.test_connections import Recorder
from tests.test_long import REPLY, PipelinedRig, Rig
from tests.test_ops import VALUE as SHORT_REPLY
from tests.wire import LIMIT, command, read_until, run_until

REFUSED = b"-BUSY 250\r\n"


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

    def first(self) -> ClientConnection:
        """The connection that comes first wherever a step is run for each."""
        return next(iter(self.side.connections))

    def others(self) -> list[socket.socket]:
        """The clients of the other connections."""
        address = self.first().sock.getpeername()
        return [client for client in self.sockets if client.getsockname() != address]

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


def plant_in(name: str) -> Callable[[Clients, pytest.MonkeyPatch], None]:
    """Plants a fault in a method of the first connection."""
    return lambda clients, patch: patch.setattr(clients.first(), name, fail)


def plant_in_acceptor(clients: Clients, patch: pytest.MonkeyPatch) -> None:
    patch.setattr(clients.side.acceptor, "end", fail)


def plant_in_reply(clients: Clients, patch: pytest.MonkeyPatch) -> None:
    patch.setattr(clients.first().slots[0].transaction, "reply", fail)


def plant_in_description(clients: Clients, patch: pytest.MonkeyPatch) -> None:
    faulty, describe = clients.first().slots[0].transaction, Transaction.describe
    patch.setattr(Transaction, "describe", lambda one: fail() if one is faulty else describe(one))


def plant_in_delivering(clients: Clients, patch: pytest.MonkeyPatch) -> None:
    faulty = clients.first()
    patch.setattr(ClientConnection, "delivering", property(lambda one: fail() if one is faulty else False))


def plant_in_final_deadline(clients: Clients, patch: pytest.MonkeyPatch) -> None:
    patch.setattr(clients.recorder.exchange, "set_final_deadline", fail)


def plant_in_decisions(clients: Clients, patch: pytest.MonkeyPatch) -> None:
    patch.setattr(clients.recorder, "transaction_gone", fail)


@pytest.mark.parametrize(
    "plant",
    [
        plant_in("fail_late_values"),
        plant_in("drop_long_body"),
        plant_in("start_drain"),
        plant_in("full"),
        plant_in("refuse_partial_command"),
        plant_in_acceptor,
        plant_in_reply,
        plant_in_decisions,
        plant_in_description,
        plant_in_delivering,
        plant_in_final_deadline,
    ],
    ids=[
        *("late-values", "long-body", "start-drain", "full", "partial-command"),
        *("acceptor", "reply", "decisions", "description", "delivering", "final-deadline"),
    ],
)
def test_fault_of_one_connection_in_a_shutdown_costs_no_other_its_answer(
    plant: Callable[[Clients, pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against steps of a shutdown that are skipped because of a fault in an earlier one."""
    clients = Clients(4)
    loop, others = clients.recorder.loop, clients.others()
    plant(clients, monkeypatch)
    begin = loop.now()
    clients.shutdown.begin(0.3, begin)
    run_until(loop, lambda: loop.stopped)
    assert loop.now() - begin < schedule_for(0.3).kill
    monkeypatch.undo()
    for client in others:
        assert read_until(client, b"\r\n") == REFUSED
    assert clients.logged("PlantedError")
    clients.close()


@pytest.mark.parametrize("step", ["refuse_new", "abandon_all", "close_unless_delivering"])
def test_fault_of_a_whole_step_of_a_shutdown_costs_no_answer_and_no_time(
    step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an exit that never comes, or without the last answers, after a fault in a step."""
    clients = Clients(3)
    loop, exchange = clients.recorder.loop, clients.recorder.exchange
    faults: list[str] = []

    def fail_once() -> None:
        if not faults:
            faults.append(step)
            raise PlantedError
        original()

    holder = exchange if step == "abandon_all" else clients.side
    original = getattr(holder, step)
    monkeypatch.setattr(holder, step, fail_once)
    begin = loop.now()
    clients.shutdown.begin(0.3, begin)
    run_until(loop, lambda: loop.stopped)
    assert faults
    assert loop.now() - begin < schedule_for(0.3).kill
    for client in clients.sockets:
        assert read_until(client, b"\r\n") == REFUSED
    clients.close()


def test_fault_in_what_is_saved_leaves_the_limit_of_a_process_that_stays(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that stays for ever over an answer, as saving its state failed."""
    clients = Clients(1)
    loop = clients.recorder.loop
    monkeypatch.setattr("standflow.shutdown.MAX_DELIVERY_SECONDS", 0.1)
    monkeypatch.setattr(ClientConnection, "delivering", True)
    clients.shutdown.save = fail
    clients.shutdown.begin(0.3)
    run_until(loop, lambda: loop.stopped)
    assert clients.logged("stays for 1 answers") == 1
    assert clients.logged("cuts off what is still on its way") == 1
    assert clients.logged("PlantedError") == 1
    clients.close()


def test_fault_of_one_connection_in_a_sweep_lets_the_others_be_swept(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against stuck clients that are kept for ever, as each sweep ends at the fault of another."""
    clients = Clients(1)
    loop = clients.recorder.loop
    faulty = clients.first()
    monkeypatch.setattr(faulty.reader, "note_arrivals", fail)
    monkeypatch.setattr("standflow.net.client_side.FIRST_COMMAND_TIMEOUT", 2 * SWEEP_INTERVAL)
    silent = socket.create_connection(clients.side.address, LIMIT)
    clients.sockets.append(silent)
    run_until(loop, lambda: clients.logged("end caller silent"))
    assert read_until(silent, b"\r\n") == b"-ERR no whole command in time\r\n"
    clients.close()


def test_fault_of_one_connection_in_an_evacuation_lets_the_others_be_drained(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an evacuation that stops at the first connection with a fault."""
    clients = Clients(4)
    loop, side = clients.recorder.loop, clients.side
    for transaction in clients.recorder.opened:
        clients.recorder.exchange.refuse(transaction.name, None)
    run_until(loop, lambda: len(side.idle) == 4)
    monkeypatch.setattr(next(iter(side.idle)), "start_drain", fail)
    side.evacuate(True, 1.0)
    run_until(loop, lambda: clients.logged("end caller drained") == 3)
    monkeypatch.undo()
    clients.close()


def test_fault_of_one_connection_at_the_start_lets_the_others_be_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against clients that are never served, as the start ended at the fault of another."""
    clients = Clients(0)
    loop, side = clients.recorder.loop, clients.side
    side.ready = False
    clients.sockets += [socket.create_connection(side.address, LIMIT) for _ in range(4)]
    run_until(loop, lambda: len(side.connections) == 4)
    for number, client in enumerate(clients.others()):
        client.sendall(command(f"{number:04x}", d=60_000))
    monkeypatch.setattr(clients.first(), "mask", fail)
    side.start_serving()
    run_until(loop, lambda: len(clients.recorder.opened) == 3)
    monkeypatch.undo()
    clients.close()


@pytest.mark.parametrize("method", ["reply", "transaction_gone"])
def test_fault_of_one_request_lets_all_others_be_abandoned(
    method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that are left open, as the answer to an earlier one failed."""
    clients = Clients(3)
    recorder = clients.recorder
    answered: list[FinalAnswer] = []
    notified: list[Transaction] = []
    for transaction in recorder.opened:
        transaction.reply = answered.append
    if method == "reply":
        recorder.opened[0].reply = fail
    else:
        monkeypatch.setattr(
            recorder, method, lambda one: fail() if one is recorder.opened[0] else notified.append(one)
        )
    recorder.exchange.abandon_all()
    assert len(answered) == (2 if method == "reply" else 3)
    assert len(notified) == (0 if method == "reply" else 2)
    assert recorder.exchange.open_count == 0
    assert not recorder.exchange.transactions
    clients.close()


def test_fault_as_an_answer_is_sent_ends_its_connection_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a fault of a client that ends its backend's connection and is not told to the module."""
    rig = Rig()
    backend = rig.ask()
    (connection,) = rig.side.connections
    monkeypatch.setattr(connection, "_flush", fail)
    backend.sendall(SHORT_REPLY)
    rig.until(lambda: rig.closed)
    assert [outcome for _, outcome in rig.recorder.ended] == [Outcome.OK]
    assert not rig.recorder.exchange.transactions
    assert any(line.startswith("end caller fault") for line in rig.recorder.log)
    assert not any(line.startswith("end nexthop") for line in rig.recorder.log)
    monkeypatch.undo()
    rig.close()


def test_fault_as_a_value_is_forwarded_ends_its_connection_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a client that waits for the rest of a value whose forwarding failed."""
    rig = Rig()
    backend = rig.ask()
    backend.sendall(REPLY[:1000])
    rig.until(lambda: len(rig.got) > 900)
    (connection,) = rig.side.connections
    monkeypatch.setattr(connection, "_flush", fail)
    backend.sendall(REPLY[1000:2000])
    rig.until(lambda: rig.closed)
    assert [outcome for _, outcome in rig.recorder.ended] == [Outcome.CANCELLED]
    assert (rig.recorder.exchange.open_count, rig.hops.flows.open) == (0, 0)
    assert any(line.startswith("end caller fault") for line in rig.recorder.log)
    monkeypatch.undo()
    rig.close()


def test_fault_of_one_client_as_memory_is_granted_costs_no_other_its_answer() -> None:
    """Guards against an answer that is lost as the memory it gives back is granted to a faulty client."""
    rig = PipelinedRig(1)
    value, answered = rig.sent
    answered.sendall(SHORT_REPLY)
    rig.until(lambda: len(rig.recorder.ended) == 1)
    value.sendall(REPLY[:-100])
    rig.until(lambda: rig.side.value_budget.used)
    waiting = rig.side.value_budget.reserve("another", rig.side.value_budget.budget, fail)
    assert not waiting
    value.sendall(REPLY[-100:])
    rig.until(lambda: rig.got.endswith(b"va\r\nl\r\n"))
    assert sum("PlantedError" in line for line in rig.recorder.log) == 1
    rig.close()


def test_fault_over_a_command_gives_the_memory_of_its_body_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory for long bodies that runs out for all, as each fault over one keeps some."""
    rig = Rig()
    run_until(rig.recorder.loop, lambda: rig.side.connections)
    (connection,) = rig.side.connections
    monkeypatch.setattr(connection, "_new_slot", fail)
    rig.client.setblocking(True)
    rig.client.sendall(command("aa01", "Q.DO", "change", b"x" * 100_000))
    rig.client.setblocking(False)
    rig.until(lambda: rig.closed)
    assert any(line.startswith("end caller fault") for line in rig.recorder.log)
    assert rig.side.body_budget.used == 0
    rig.close()


def test_connection_that_ends_as_its_body_is_dropped_is_not_resumed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a second fault, in the step of a drain, over a connection that has just ended."""
    clients = Clients(0)
    loop, side = clients.recorder.loop, clients.side
    client = socket.create_connection(side.address, LIMIT)
    clients.sockets.append(client)
    monkeypatch.setattr(ClientConnection, "_memory_changed", fail)
    client.sendall(command("aa01", "Q.DO", "change", b"x" * 100_000)[:70_000])
    run_until(loop, lambda: side.body_budget.used)
    side._drain_connection(clients.first())
    assert not side.connections
    assert clients.logged("PlantedError") == 1
    clients.close()


def test_fault_as_a_connection_is_cleaned_up_leaves_nothing_behind(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests and memory that stay taken, as one step of the end of their client failed."""
    rig = PipelinedRig(2)
    rig.sent[0].sendall(REPLY[:-100])
    rig.sent[2].sendall(SHORT_REPLY)
    rig.until(lambda: len(rig.recorder.ended) == 1 and rig.side.client_memory.used)
    (connection,) = rig.side.connections
    give_up = connection._give_up
    first = connection.slots[0]
    monkeypatch.setattr(connection, "_give_up", lambda slot: fail() if slot is first else give_up(slot))
    monkeypatch.setattr("standflow.net.client_side.close_gracefully", fail)
    rig.client.close()
    run_until(rig.recorder.loop, lambda: len(rig.recorder.ended) == 2)
    assert rig.recorder.gone == [rig.recorder.opened[1]]
    assert (rig.side.client_memory.used, rig.side.value_budget.used) == (0, 0)
    assert not rig.side.connections
    monkeypatch.undo()
    connection.sock.close()
    rig.close()


@pytest.mark.parametrize("step", ["has_room", "connection_accepted"])
def test_fault_at_the_end_of_accepting_keeps_no_client_waiting(
    step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a listener that stays open through a shutdown, with clients that nobody answers."""
    clients = Clients(1)
    loop, side = clients.recorder.loop, clients.side
    original, faults = getattr(side, step), list[str]()

    def fail_once(*arguments: object) -> object:
        if not faults:
            faults.append(step)
            raise PlantedError
        return original(*arguments)

    clients.sockets += [socket.create_connection(side.address, LIMIT) for _ in range(3)]
    for number, client in enumerate(clients.sockets[1:]):
        client.sendall(command(f"bb{number:02}", d=60_000))
    monkeypatch.setattr(side, step, fail_once)
    begin = loop.now()
    side.stop()
    run_until(loop, lambda: not side.listening)
    assert loop.now() - begin < 0.3
    served = 4 if step == "has_room" else 3  # the connection with the fault is closed
    run_until(loop, lambda: len(clients.recorder.opened) == served)
    assert faults
    clients.close()


def test_fault_of_an_idle_connection_at_the_limit_keeps_no_other_client_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against clients and dials that get no room, as one idle client has a fault."""
    clients = Clients(3)
    recorder, side = clients.recorder, clients.side
    side.max_clients = 3
    for transaction in list(recorder.opened):
        recorder.exchange.refuse(transaction.name, None)
    run_until(recorder.loop, lambda: len(side.idle) == 3)
    monkeypatch.setattr(next(iter(side.idle)).reader, "has_unread_bytes", fail)
    newcomer = socket.create_connection(side.address, LIMIT)
    clients.sockets.append(newcomer)
    newcomer.sendall(command("bb01", d=60_000))
    run_until(recorder.loop, lambda: len(recorder.opened) == 4)
    assert clients.logged("end caller cap") == 1
    assert recorder.loop.free_descriptor()
    monkeypatch.undo()
    clients.close()
