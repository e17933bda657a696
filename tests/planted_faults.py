"""Faults that tests plant."""

from __future__ import annotations


class PlantedError(Exception):
    """The fault that a test plants."""


def fail(*arguments: object) -> None:
    """Takes the place of a step that has a fault."""
    raise PlantedError
