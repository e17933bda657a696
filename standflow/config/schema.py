"""The schema of the operator's file: types of values with their units, and tables of directives.

The same tables serve to validate a file, to print the settings in force (`standflow show`), and to generate
docs/operators/configuration.md.
"""

from __future__ import annotations

import difflib
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from standflow.config.text import Statement, Word
from standflow.net.routes import RouteError, read_address

TIME_UNITS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
SIZE_UNITS = {"": 1, "k": 1024, "m": 1024**2, "g": 1024**3}
AMOUNT = re.compile(r"(\d+(?:\.\d+)?)([a-z%]*)")


class InvalidValueError(ValueError):
    """A value of the wrong type or out of range; the message says what was expected."""


@dataclass(slots=True, frozen=True)
class ValueType:
    """A type of value: its description on the page, and how a word is parsed."""

    name: str
    read: Callable[[str], Any]


def _parse_amount(text: str, units: dict[str, float], expected: str) -> float:
    match = AMOUNT.fullmatch(text)
    if match is None or match[2] not in units:
        raise InvalidValueError(f"expected {expected}")
    return float(match[1]) * units[match[2]]


def _check_bounds(
    value: float, minimum: float, maximum: float, format_value: Callable[[float], str]
) -> float:
    if not minimum <= value <= maximum:
        raise InvalidValueError(f"expected {format_value(minimum)} to {format_value(maximum)}")
    return value


def format_time(value: float) -> str:
    """Formats seconds in the largest unit that gives a number of at least 1."""
    for unit, size in reversed(TIME_UNITS.items()):
        if value >= size or unit == "us":
            return f"{value / size:g}{unit}"
    raise AssertionError


def time(minimum: float = 1e-6, maximum: float = 86400.0) -> ValueType:
    """A time with its unit, converted to seconds."""

    def read(text: str) -> float:
        value = (
            0.0
            if text == "0"
            else _parse_amount(text, TIME_UNITS, "a time with its unit, such as 250ms or 15s")
        )
        return _check_bounds(value, minimum, maximum, lambda v: format_time(v) if v else "0")

    bounds = f"{format_time(minimum) if minimum else '0'} to {format_time(maximum)}"
    return ValueType(f"time, {bounds}", read)


def size(minimum: int = 0, maximum: int = 1 << 40) -> ValueType:
    """A size in bytes: 512, 64k, 1m."""

    def read(text: str) -> int:
        units: dict[str, float] = {**SIZE_UNITS}
        value = _parse_amount(text.lower(), units, "a size, such as 512, 64k or 1m")
        return int(_check_bounds(value, minimum, maximum, lambda v: f"{v:g}"))

    return ValueType("size, such as 512, 64k or 1m", read)


def integer(minimum: int, maximum: int) -> ValueType:
    """A whole number."""

    def read(text: str) -> int:
        if not re.fullmatch(r"\d{1,15}", text):
            raise InvalidValueError("expected a whole number")
        return int(_check_bounds(int(text), minimum, maximum, lambda v: f"{v:g}"))

    return ValueType(f"whole number, {minimum} to {maximum:g}", read)


def number(minimum: float, maximum: float) -> ValueType:
    """A number, with or without a decimal point."""

    def read(text: str) -> float:
        value = _parse_amount(text, {"": 1.0}, "a number")
        return _check_bounds(value, minimum, maximum, lambda v: f"{v:g}")

    return ValueType(f"number, {minimum:g} to {maximum:g}", read)


def fraction(minimum: float, maximum: float) -> ValueType:
    """A fraction, written as 20% or 0.2."""

    def read(text: str) -> float:
        value = _parse_amount(text, {"": 1.0, "%": 0.01}, "a fraction, such as 20%")
        return _check_bounds(value, minimum, maximum, lambda v: f"{v * 100:g}%")

    return ValueType(f"fraction, {minimum * 100:g}% to {maximum * 100:g}%", read)


def one_of(*words: str) -> ValueType:
    """One of the given words."""

    def read(text: str) -> str:
        if text not in words:
            near = difflib.get_close_matches(text, words, 1)
            hint = f"; did you mean '{near[0]}'?" if near else ""
            raise InvalidValueError(f"expected {' or '.join(words)}{hint}")
        return text

    return ValueType(" or ".join(words), read)


def _text(text: str) -> str:
    if not text or not text.isprintable():
        raise InvalidValueError("expected printable text")
    return text


def _switch(text: str) -> bool:
    if text not in ("on", "off"):
        raise InvalidValueError("expected on or off")
    return text == "on"


def _address(text: str) -> str:
    try:
        read_address(text)
    except RouteError:
        raise InvalidValueError("expected an IPv4 address and a port, such as 127.0.0.1:7001") from None
    return text


def _seed(text: str) -> str:
    if not re.fullmatch(r"[0-9a-fA-F]{1,64}", text):
        raise InvalidValueError("expected a hexadecimal number")
    return text


def _mode(text: str) -> int:
    if not re.fullmatch(r"0?[0-7]{3}", text):
        raise InvalidValueError("expected permission bits, such as 0600")
    return int(text, 8)


def _host(text: str) -> str:
    if not is_host(text):
        raise InvalidValueError("expected a DNS name, such as tt-07.zone-b.example.org")
    return text.lower()


def is_host(text: str) -> bool:
    """Whether a certificate can be issued for the name: labels of letters, digits and inner hyphens."""
    label = r"[A-Za-z0-9](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?"
    return len(text) <= 253 and re.fullmatch(rf"{label}(?:\.{label})*", text) is not None


TEXT = ValueType("text", _text)
PATH = ValueType("file", _text)
SWITCH = ValueType("on or off", _switch)
ADDRESS = ValueType("address and port", _address)
ADDRESS_OR_OFF = ValueType("address and port, or off", lambda text: text if text == "off" else _address(text))
SEED = ValueType("hexadecimal number", _seed)
MODE = ValueType("permission bits", _mode)
HOST = ValueType("DNS name", _host)


@dataclass(slots=True, frozen=True)
class Directive:
    """One directive of a table.

    `value_types` are the types of its values in order. A `variadic` directive accepts any number of further
    values of the last type. `default` is written as in a file; None means that there is none. `required`: a
    file must contain the directive. `repeatable`: it may be given more than once. `block`: the table for the
    block that it opens.
    """

    name: str
    value_types: tuple[ValueType, ...]
    description: str
    default: str | None = None
    required: bool = False
    repeatable: bool = False
    variadic: bool = False
    block: tuple[Directive, ...] | None = None


@dataclass(slots=True, frozen=True)
class Setting:
    """A directive in force: its parsed values, its block, and its position in the file ("" for a default)."""

    directive: Directive
    values: tuple[Any, ...]
    raw_values: tuple[str, ...]
    origin: str
    block: Block | None = None


@dataclass(slots=True)
class Block:
    """All settings in force in a file or a block, by directive name and in the order of the file."""

    table: tuple[Directive, ...]
    settings: dict[str, list[Setting]] = field(default_factory=dict)

    def all(self, name: str) -> list[Setting]:
        """All settings of a directive."""
        return self.settings.get(name, [])

    def has(self, name: str) -> bool:
        """Whether the file contains the directive, as opposed to a default."""
        return any(one.origin for one in self.all(name))

    def value(self, name: str) -> Any:
        """The first value, given or by default; None if there is none."""
        found = self.all(name)
        return found[0].values[0] if found and found[0].values else None

    def values(self, name: str) -> tuple[Any, ...]:
        """All values of a directive that is not repeatable."""
        found = self.all(name)
        return found[0].values if found else ()

    def block(self, name: str) -> Block | None:
        """The block of a directive that is not repeatable."""
        found = self.all(name)
        return found[0].block if found else None

    def walk(self, path: str = "") -> Iterator[tuple[str, Setting]]:
        """Each setting with its path; the settings of a block follow the directive that opens it."""
        for directive in self.table:
            for one in self.all(directive.name):
                key = " ".join((directive.name, *one.raw_values)) if one.block is not None else directive.name
                yield path + key, one
                if one.block is not None:
                    yield from one.block.walk(path + key + ".")


class Validator:
    """Validates statements against a table. All errors are collected; none of them ends the validation."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.errors: list[str] = []

    def add_error(self, at: Word, path: str, text: str) -> None:
        """Adds an error at the position of a word."""
        self.errors.append(f"{self.file}:{at.line}:{at.column}: {path}: {text}")

    def block(
        self, table: tuple[Directive, ...], statements: tuple[Statement, ...], path: str, at: Word | None
    ) -> Block:
        """The settings in force according to a table, with defaults for absent directives."""
        known = {directive.name: directive for directive in table}
        block = Block(table)
        for statement in statements:
            name = statement.name.text
            directive = known.get(name)
            if directive is None:
                near = difflib.get_close_matches(name, known, 1)
                hint = f"did you mean '{near[0]}'?" if near else "expected one of " + ", ".join(known)
                self.add_error(statement.name, path + name, f"unknown directive; {hint}")
                continue
            found = block.settings.setdefault(name, [])
            if found and not directive.repeatable:
                self.add_error(statement.name, path + name, f"is given twice, first in {found[0].origin}")
                continue
            setting = self._setting(directive, statement, path)
            if setting is not None:
                found.append(setting)
        for directive in table:
            if directive.name not in {s.name.text for s in statements}:
                self._add_default(directive, block, path, at)
        return block

    def _setting(self, directive: Directive, statement: Statement, path: str) -> Setting | None:
        name, words = path + directive.name, statement.values
        min_count, errors_before = len(directive.value_types), len(self.errors)
        if len(words) < min_count or (len(words) > min_count and not directive.variadic):
            expected = ", ".join(kind.name for kind in directive.value_types) or "no value"
            self.add_error(statement.name, name, f"has {len(words)} values; expected {expected}")
            return None
        if (statement.block is None) != (directive.block is None):
            expected = "a block in braces" if directive.block is not None else "no block"
            self.add_error(statement.name, name, f"expected {expected}")
            return None
        values = []
        for index, word in enumerate(words):
            try:
                values.append(directive.value_types[min(index, min_count - 1)].read(word.text))
            except InvalidValueError as error:
                self.add_error(word, name, f"'{word.text}': {error}")
        raw_values = tuple(word.text for word in words)
        inner = None
        if directive.block is not None:
            inside = " ".join((name, *raw_values))
            inner = self.block(directive.block, statement.block or (), inside + ".", statement.name)
        if len(self.errors) > errors_before:
            return None
        origin = f"{self.file}:{statement.name.line}"
        return Setting(directive, tuple(values), raw_values, origin, inner)

    def _add_default(self, directive: Directive, block: Block, path: str, at: Word | None) -> None:
        if directive.required:
            self.add_error(
                at or Word("", 1, 1), path + directive.name, f"is required; expected {_usage(directive)}"
            )
        elif directive.default is not None:
            raw_values = tuple(directive.default.split())
            kinds = directive.value_types
            values = tuple(
                kinds[min(n, len(kinds) - 1)].read(word) if kinds else word
                for n, word in enumerate(raw_values)
            )
            inner = None if directive.block is None else self.block(directive.block, (), path, at)
            block.settings[directive.name] = [Setting(directive, values, raw_values, "", inner)]


def _usage(directive: Directive) -> str:
    usage = " ".join([directive.name, *(f"<{kind.name}>" for kind in directive.value_types)])
    return f"'{usage}'" + (" and a block" if directive.block is not None else "")
