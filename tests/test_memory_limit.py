"""Real processes beside clients that take as much memory as they can: none goes over `memory_mb`."""

from __future__ import annotations

import pytest

from lab.memory.play import Mix, Played, play

LEAST_MB = 32


def assert_within_limit(played: Played) -> None:
    """The process lives, and the sound clients beside it get an answer each."""
    assert not played.killed, played.describe()
    assert not played.died, played.describe()
    assert not played.sound.get("lost"), played.describe()


def assert_served(played: Played, share: float = 0.8) -> None:
    """The sound clients are served: nothing they need is held by others."""
    assert_within_limit(played)
    assert played.sound.get("served", 0) >= share * sum(played.sound.values()), played.describe()


@pytest.mark.parametrize("memory_mb", [LEAST_MB, 64, 80, 128])
def test_more_half_written_bodies_than_room_keep_the_memory_within_its_limit(memory_mb: int) -> None:
    assert_served(play(Mix(memory_mb, {"half_bodies": 900})))


@pytest.mark.parametrize("memory_mb", [LEAST_MB, 64])
def test_clients_that_leave_in_the_middle_of_bodies_leave_no_memory_behind(memory_mb: int) -> None:
    assert_served(play(Mix(memory_mb, {"leavers": 60})))


@pytest.mark.parametrize("kind", ["slow_writers", "half_fields"])
def test_slow_writers_keep_the_memory_within_its_limit(kind: str) -> None:
    assert_served(play(Mix(LEAST_MB, {kind: 500})), 0.5)


@pytest.mark.parametrize("kind", ["open_small", "open_fields", "whole_bodies"])
def test_open_requests_keep_the_memory_within_its_limit(kind: str) -> None:
    assert_within_limit(play(Mix(LEAST_MB, {kind: 500})))


@pytest.mark.parametrize("kind", ["slow_readers", "slow_long_readers"])
def test_slow_readers_keep_the_memory_within_its_limit(kind: str) -> None:
    assert_within_limit(play(Mix(LEAST_MB, {kind: 500})))


@pytest.mark.parametrize("connections", [1, 8])
def test_requests_at_full_speed_under_ever_new_names_keep_the_memory_within_its_limit(
    connections: int,
) -> None:
    assert_within_limit(play(Mix(LEAST_MB, {"flood": connections})))


def test_unsound_requests_at_full_speed_delay_no_other_client() -> None:
    played = play(Mix(64, {"unsound_flood": 1}))
    assert_served(played)
    assert played.slowest_seconds < 0.1, played.describe()


def test_clients_of_all_kinds_for_long_keep_the_memory_within_its_limit() -> None:
    clients = {
        "half_bodies": 220,
        "slow_writers": 120,
        "half_fields": 80,
        "whole_bodies": 60,
        "open_fields": 60,
        "open_small": 60,
        "slow_long_readers": 80,
        "slow_readers": 80,
        "leavers": 40,
        "flood": 2,
        "unsound_flood": 2,
    }
    assert_within_limit(play(Mix(LEAST_MB, clients, seconds=75.0, seed=32)))
