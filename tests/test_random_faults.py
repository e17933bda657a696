"""Faults planted at random in a client's connection or at the backends' side: no other loses its answer."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from standflow.net.backend_connection import Connection
from standflow.net.nexthop import NextHops
from standflow.net.stream import PlainStream
from tests.planted_faults import PlantedError
from tests.test_random_shutdowns import Play

# Methods that may fail: those that run for the connection, on its own behalf or for another component.
CONNECTION_METHODS = (
    *("_read", "_process", "_take_commands", "_take_command", "_open_or_answer", "_open", "_admits"),
    *("_new_slot", "_reply", "_fit", "_hold", "_flush", "_write", "_answered", "_may_start", "_cut_off"),
    *(
        "_value_changed",
        "_value_late",
        "_reserve_for_command",
        "_end_long_body",
        "_memory_changed",
        "_finish",
    ),
    *("_count_received", "_give_up", "mask", "full", "start_drain", "fail_late_values", "drop_long_body"),
    "refuse_partial_command",
)
READER_METHODS = ("read", "pause", "note_arrivals", "has_unread_bytes")
BACKEND_METHODS: tuple[tuple[type, str], ...] = (
    *((NextHops, name) for name in ("start", "give_up", "unsent", "_dispatch", "_take_idle", "_dial")),
    *((NextHops, name) for name in ("release", "closed", "_end", "_evict_idle", "_remove_closed")),
    *((Connection, name) for name in ("_begin_value", "_forward_value", "_handle_events", "begin")),
    *((Connection, name) for name in ("_write", "_update_mask", "_resume_reading", "_report_opened")),
    *((Connection, name) for name in ("_expiry_reason", "_stall_timeout", "_wait_for_rest")),
    *((PlainStream, name) for name in ("read", "write", "flush", "close", "usable", "log_suffix")),
)


class FaultyPlay(Play):
    """A shutdown in which the connections of some clients have faults."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.fault_rng = random.Random(seed)
        self.faulty: set[object] = set()  # addresses of clients
        for _ in range(2):
            self.module.loop.call_later(0.6 * self.fault_rng.random(), self.plant)

    def plant(self) -> None:
        """Plants faults in a connection that is there now."""
        rng, peers = self.fault_rng, self.side.peers
        connections = sorted(self.side.connections, key=lambda one: one.created_at)
        if not connections:
            return
        connection = rng.choice(connections)
        self.faulty.add(peers.get(connection.sock))
        for name in rng.sample(CONNECTION_METHODS, rng.choice((1, 2, 4))):
            self._make_faulty(connection, name)
        for name in rng.sample(READER_METHODS, rng.choice((0, 0, 1))):
            self._make_faulty(connection.reader, name)

    def _make_faulty(self, owner: object, name: str) -> None:
        original: Callable[..., object] = getattr(owner, name)
        share, rng = self.fault_rng.choice((1.0, 0.3)), self.fault_rng

        def faulty(*arguments: object) -> object:
            if rng.random() < share:
                raise PlantedError(name)
            return original(*arguments)

        setattr(owner, name, faulty)


@pytest.mark.parametrize("seed", range(24))
def test_random_faults_of_one_client_cost_no_other_an_answer_or_memory(seed: int) -> None:
    """Guards against a client whose fault costs others their answers, or memory for good (review case 7)."""
    play = FaultyPlay(seed)
    play.run()
    play.close()
    faults = [line for line in play.module.log if line.startswith("fault")]
    assert not [line for line in faults if "PlantedError" not in line]
    assert not play.unanswered(besides=play.faulty)
    assert not any(play.held())
    assert any("shutdown: ends" in line for line in play.module.log) or not play.side.connections


@pytest.mark.parametrize("seed", range(24))
def test_random_faults_at_the_backends_side_cost_no_client_an_answer(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a fault at a backend's connection that reaches clients, or keeps the exit back."""
    rng, play = random.Random(seed), Play(seed)
    share = rng.choice((0.02, 0.1, 0.3, 1.0))

    def plant() -> None:
        for owner, name in rng.sample(BACKEND_METHODS, rng.choice((1, 1, 2, 3))):
            original: Callable[..., object] = getattr(owner, name)

            def faulty(*arguments: object, original: Callable[..., object] = original) -> object:
                if rng.random() < share:
                    raise PlantedError
                return original(*arguments)

            monkeypatch.setattr(owner, name, faulty)

    play.module.loop.call_later(0.3 * rng.random(), plant)
    play.run()
    monkeypatch.undo()
    play.close()
    faults = [line for line in play.module.log if line.startswith(("fault", "end caller fault"))]
    assert not [line for line in faults if "PlantedError" not in line]
    assert not play.unanswered()
    assert play.module.exchange.open_count == 0
    assert any("shutdown: ends" in line for line in play.module.log) or not play.side.connections
