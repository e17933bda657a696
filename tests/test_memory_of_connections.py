"""What a client connection holds, while it is open and after its end."""

from __future__ import annotations

import gc
import weakref
from collections.abc import Iterator

import pytest

from standflow.messages import Served
from standflow.net.flow import Flow, FlowBudget
from tests.test_long_body import Writers
from tests.wire import command, run_until


@pytest.fixture
def writers() -> Iterator[Writers]:
    writers = Writers()
    gc.disable()
    yield writers
    gc.enable()
    for client in writers.clients:
        client.close()
    writers.recorder.close()


@pytest.mark.parametrize("size", [300_000, 1_500_000], ids=["granted", "waiting"])
def test_connection_that_ended_in_the_middle_of_a_body_is_not_kept_until_a_collection(
    writers: Writers, size: int
) -> None:
    writers.begin("aa00", 900_000, 0.1)
    client = writers.begin("aa01", size, 0.5)
    ended = [weakref.ref(one) for one in writers.side.connections if one.buffer.body == size]
    assert len(ended) == 1
    client.close()
    run_until(writers.loop, lambda: len(writers.side.connections) == 1)
    assert ended[0]() is None


@pytest.mark.parametrize("streaming", [False, True])
def test_connection_that_ended_with_open_requests_is_not_kept_until_a_collection(
    writers: Writers, streaming: bool
) -> None:
    client = writers.begin("aa01", 100)
    client.sendall(command("aa02") + command("aa03"))
    run_until(writers.loop, lambda: len(writers.recorder.opened) == 3)
    ended = weakref.ref(next(iter(writers.side.connections)))
    if streaming:
        flow = Flow(FlowBudget(1 << 20), 100_000, lambda: None)
        writers.recorder.opened[1].answer(Served(flow))
    client.close()
    run_until(writers.loop, lambda: not writers.side.connections)
    assert not any(one.open for one in writers.recorder.opened)
    assert ended() is None
