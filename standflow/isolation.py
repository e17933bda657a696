"""Fault isolation: an exception in one step is logged and does not skip the steps after it. No I/O."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable
from typing import TypeVar

ItemT = TypeVar("ItemT")

Log = Callable[[str], None]


def log_fault(log: Log, where: str) -> None:
    """Logs the exception that is being handled, in one line with its traceback."""
    log(f"fault {where}: " + traceback.format_exc().replace("\n", " | "))


def run_isolated(log: Log, step: Callable[..., object], *args: object) -> bool:
    """Runs a step and logs an exception in it; false if there was one."""
    try:
        step(*args)
    except Exception:
        log_fault(log, f"of {getattr(step, '__qualname__', 'a step')}")
        return False
    return True


def check_isolated(log: Log, check: Callable[[ItemT], bool], item: ItemT) -> bool:
    """The result of a check on one item of many; an exception in it is logged and counts as false."""
    try:
        return check(item)
    except Exception:
        log_fault(log, f"of {getattr(check, '__qualname__', 'a check')}")
        return False


def run_for_each(log: Log, items: Iterable[ItemT], step: Callable[[ItemT], object]) -> bool:
    """Runs a step for each item that is there at the beginning; false if there was an exception in any.

    The step may change the table of items. An earlier one may have ended an item, which it has to allow for.
    """
    succeeded = [run_isolated(log, step, item) for item in list(items)]
    return all(succeeded)
