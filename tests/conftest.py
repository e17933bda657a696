"""Settings for all tests, and the seed of randomized ones."""

from functools import partial

import pytest
from hypothesis import settings

from standflow.process_memory import ProcessMemory

AT_REST_BYTES = 22 * 1024 * 1024

# The same examples in each run: a failure that occurs once in some hundred runs says nothing about a change.
# As later runs try no others, there are three times as many as by default.
settings.register_profile("same", derandomize=True, max_examples=300, deadline=None)
settings.load_profile("same")

# The files with the longest tests (up to 34, 24 and 7 s each, the rest under 6) start first: a long test that
# starts last would keep one worker busy after the others have finished. This needs `--maxschedchunk` in
# pyproject.toml: by default a worker also gets the neighbours of a long test, which are as long.
LONGEST_FIRST = ("tests/test_power.py", "tests/test_fleet.py", "tests/test_counter_program.py")


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds `--seed`."""
    parser.addoption("--seed", type=int, default=0, help="the seed of randomized tests")


@pytest.fixture
def seed(request: pytest.FixtureRequest) -> int:
    """The seed of a randomized test; a failing test shows the command that reproduces it."""
    value = int(request.config.getoption("--seed"))
    print(f"to reproduce: python -m pytest '{request.node.nodeid}' --seed {value}")
    return value


@pytest.fixture(autouse=True)
def _memory_of_an_ingress(monkeypatch: pytest.MonkeyPatch) -> None:
    """An ingress inside the tests' process has the memory of one at rest, not that of the tests."""
    monkeypatch.setattr(
        "standflow.assembly.ProcessMemory", partial(ProcessMemory, resident=lambda: AT_REST_BYTES)
    )


def _start_rank(item: pytest.Item) -> int:
    file_name = item.nodeid.partition("::")[0]
    return LONGEST_FIRST.index(file_name) if file_name in LONGEST_FIRST else len(LONGEST_FIRST)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Puts the longest tests first and keeps the order of the others."""
    items.sort(key=_start_rank)
