"""What a directive of the operator's file takes: kinds of values with their units, and tables of directives.

A table is data: from the same one a file is checked, `standflow show` prints what is in force, and
`docs/operators/configuration.md` is made.
"""

from __future__ import annotations

import difflib
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from standflow.config.text import Statement, Word
from standflow.net.routes import RouteError, read_address

TIMES = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
SIZES = {"": 1, "k": 1024, "m": 1024**2, "g": 1024**3}
AMOUNT = re.compile(r"(\d+(?:\.\d+)?)([a-z%]*)")


class ValueFaultError(ValueError):
    """A value that a kind can't take; its text says what was expected."""


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of value: how a word is read, and how the page describes it."""

    name: str
    read: Callable[[str], Any]


def _amount(text: str, units: dict[str, float], expected: str) -> float:
    match = AMOUNT.fullmatch(text)
    if match is None or match[2] not in units:
        raise ValueFaultError(f"expected {expected}")
    return float(match[1]) * units[match[2]]


def _bounded(value: float, least: float, most: float, shown: Callable[[float], str]) -> float:
    if not least <= value <= most:
        raise ValueFaultError(f"expected {shown(least)} to {shown(most)}")
    return value


def show_time(value: float) -> str:
    """A time in the largest unit that keeps it whole to three digits."""
    for unit, size in reversed(TIMES.items()):
        if value >= size or unit == "us":
            return f"{value / size:g}{unit}"
    raise AssertionError


def time(least: float = 1e-6, most: float = 86400.0) -> Kind:
    """A time with its unit, in seconds."""

    def read(text: str) -> float:
        value = 0.0 if text == "0" else _amount(text, TIMES, "a time with its unit, such as 250ms or 15s")
        return _bounded(value, least, most, lambda v: show_time(v) if v else "0")

    bounds = f"{show_time(least) if least else '0'} to {show_time(most)}"
    return Kind(f"time, {bounds}", read)


def size(least: int = 0, most: int = 1 << 40) -> Kind:
    """A size in bytes: 512, 64k, 1m."""

    def read(text: str) -> int:
        units: dict[str, float] = {**SIZES}
        value = _amount(text.lower(), units, "a size, such as 512, 64k or 1m")
        return int(_bounded(value, least, most, lambda v: f"{v:g}"))

    return Kind("size, such as 512, 64k or 1m", read)


def whole(least: int, most: int) -> Kind:
    """A whole number."""

    def read(text: str) -> int:
        if not re.fullmatch(r"\d{1,15}", text):
            raise ValueFaultError("expected a whole number")
        return int(_bounded(int(text), least, most, lambda v: f"{v:g}"))

    return Kind(f"whole number, {least} to {most:g}", read)


def number(least: float, most: float) -> Kind:
    """A number with or without a point."""

    def read(text: str) -> float:
        value = _amount(text, {"": 1.0}, "a number")
        return _bounded(value, least, most, lambda v: f"{v:g}")

    return Kind(f"number, {least:g} to {most:g}", read)


def share(least: float, most: float) -> Kind:
    """A part of a whole: 20% or 0.2."""

    def read(text: str) -> float:
        value = _amount(text, {"": 1.0, "%": 0.01}, "a share, such as 20%")
        return _bounded(value, least, most, lambda v: f"{v * 100:g}%")

    return Kind(f"share, {least * 100:g}% to {most * 100:g}%", read)


def one_of(*words: str) -> Kind:
    """One of a few words."""

    def read(text: str) -> str:
        if text not in words:
            near = difflib.get_close_matches(text, words, 1)
            hint = f"; did you mean '{near[0]}'?" if near else ""
            raise ValueFaultError(f"expected {' or '.join(words)}{hint}")
        return text

    return Kind(" or ".join(words), read)


def _text(text: str) -> str:
    if not text or not text.isprintable():
        raise ValueFaultError("expected a text")
    return text


def _switch(text: str) -> bool:
    if text not in ("on", "off"):
        raise ValueFaultError("expected on or off")
    return text == "on"


def _address(text: str) -> str:
    try:
        read_address(text)
    except RouteError:
        raise ValueFaultError("expected an IPv4 address and a port, such as 127.0.0.1:7001") from None
    return text


def _seed(text: str) -> str:
    if not re.fullmatch(r"[0-9a-fA-F]{1,64}", text):
        raise ValueFaultError("expected a hexadecimal number")
    return text


def _mode(text: str) -> int:
    if not re.fullmatch(r"0?[0-7]{3}", text):
        raise ValueFaultError("expected permission bits, such as 0600")
    return int(text, 8)


def _host(text: str) -> str:
    if not is_host(text):
        raise ValueFaultError("expected a DNS name, such as tt-07.room-b.example.org")
    return text.lower()


def is_host(text: str) -> bool:
    """True for a name that a certificate can prove: labels of letters, digits and inner hyphens."""
    label = r"[A-Za-z0-9](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?"
    return len(text) <= 253 and re.fullmatch(rf"{label}(?:\.{label})*", text) is not None


TEXT = Kind("text", _text)
PATH = Kind("file", _text)
SWITCH = Kind("on or off", _switch)
ADDRESS = Kind("address and port", _address)
ADDRESS_OR_OFF = Kind("address and port, or off", lambda text: text if text == "off" else _address(text))
SEED = Kind("hexadecimal number", _seed)
MODE = Kind("permission bits", _mode)
HOST = Kind("DNS name", _host)


@dataclass(slots=True, frozen=True)
class Directive:
    """One directive of a table.

    `takes` are its values in order; with `rest`, further values of the last kind may follow. `default` is
    what holds where it is not written, as it would be written; None: there is none. `needed`: the file
    can't do without it. `many`: it may stand more than once. `block`: the table of what its braces hold.
    """

    name: str
    takes: tuple[Kind, ...]
    text: str
    default: str | None = None
    needed: bool = False
    many: bool = False
    rest: bool = False
    block: tuple[Directive, ...] | None = None


@dataclass(slots=True, frozen=True)
class Given:
    """A directive in force: its values, its block, and where it comes from ("" for a default)."""

    directive: Directive
    values: tuple[Any, ...]
    raw_values: tuple[str, ...]
    origin: str
    block: Block | None = None


@dataclass(slots=True)
class Block:
    """All directives in force in a file or a block, by name, in the order of the file."""

    table: tuple[Directive, ...]
    given: dict[str, list[Given]] = field(default_factory=dict)

    def all(self, name: str) -> list[Given]:
        """Every one of that name."""
        return self.given.get(name, [])

    def has(self, name: str) -> bool:
        """True where the file itself says it."""
        return any(one.origin for one in self.all(name))

    def value(self, name: str) -> Any:
        """The first value, given or by default; None where there is none."""
        found = self.all(name)
        return found[0].values[0] if found and found[0].values else None

    def values(self, name: str) -> tuple[Any, ...]:
        """All values of the one directive of that name."""
        found = self.all(name)
        return found[0].values if found else ()

    def block(self, name: str) -> Block | None:
        """The block of the one directive of that name."""
        found = self.all(name)
        return found[0].block if found else None

    def walk(self, path: str = "") -> Iterator[tuple[str, Given]]:
        """Each directive in force with its path, blocks after their own line."""
        for directive in self.table:
            for one in self.all(directive.name):
                key = " ".join((directive.name, *one.raw_values)) if one.block is not None else directive.name
                yield path + key, one
                if one.block is not None:
                    yield from one.block.walk(path + key + ".")


class Reader:
    """Checks statements against a table; every fault is kept, none ends the reading."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.faults: list[str] = []

    def fault(self, at: Word, path: str, text: str) -> None:
        """Notes a fault at a word."""
        self.faults.append(f"{self.file}:{at.line}:{at.column}: {path}: {text}")

    def block(
        self, table: tuple[Directive, ...], statements: tuple[Statement, ...], path: str, at: Word | None
    ) -> Block:
        """The directives in force by a table, with defaults where nothing is written."""
        known = {directive.name: directive for directive in table}
        block = Block(table)
        for statement in statements:
            name = statement.name.text
            directive = known.get(name)
            if directive is None:
                near = difflib.get_close_matches(name, known, 1)
                hint = f"did you mean '{near[0]}'?" if near else "expected one of " + ", ".join(known)
                self.fault(statement.name, path + name, f"unknown directive; {hint}")
                continue
            found = block.given.setdefault(name, [])
            if found and not directive.many:
                self.fault(statement.name, path + name, f"stands twice, first in {found[0].origin}")
                continue
            given = self._given(directive, statement, path)
            if given is not None:
                found.append(given)
        for directive in table:
            if directive.name not in {s.name.text for s in statements}:
                self._absent(directive, block, path, at)
        return block

    def _given(self, directive: Directive, statement: Statement, path: str) -> Given | None:
        name, words = path + directive.name, statement.values
        least, before = len(directive.takes), len(self.faults)
        if len(words) < least or (len(words) > least and not directive.rest):
            expected = ", ".join(kind.name for kind in directive.takes) or "no value"
            self.fault(statement.name, name, f"has {len(words)} values; expected {expected}")
            return None
        if (statement.block is None) != (directive.block is None):
            expected = "a block in braces" if directive.block is not None else "no block"
            self.fault(statement.name, name, f"expected {expected}")
            return None
        values = []
        for place, word in enumerate(words):
            try:
                values.append(directive.takes[min(place, least - 1)].read(word.text))
            except ValueFaultError as fault:
                self.fault(word, name, f"'{word.text}': {fault}")
        written = tuple(word.text for word in words)
        inner = None
        if directive.block is not None:
            inside = " ".join((name, *written))
            inner = self.block(directive.block, statement.block or (), inside + ".", statement.name)
        if len(self.faults) > before:
            return None
        origin = f"{self.file}:{statement.name.line}"
        return Given(directive, tuple(values), written, origin, inner)

    def _absent(self, directive: Directive, block: Block, path: str, at: Word | None) -> None:
        if directive.needed:
            self.fault(
                at or Word("", 1, 1), path + directive.name, f"is needed; expected {_shape(directive)}"
            )
        elif directive.default is not None:
            written = tuple(directive.default.split())
            kinds = directive.takes
            values = tuple(
                kinds[min(n, len(kinds) - 1)].read(word) if kinds else word for n, word in enumerate(written)
            )
            inner = None if directive.block is None else self.block(directive.block, (), path, at)
            block.given[directive.name] = [Given(directive, values, written, "", inner)]


def _shape(directive: Directive) -> str:
    shape = " ".join([directive.name, *(f"<{kind.name}>" for kind in directive.takes)])
    return f"'{shape}'" + (" and a block" if directive.block is not None else "")
