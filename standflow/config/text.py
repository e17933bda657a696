"""Parses the operator's file into statements, without interpreting them. The grammar is in conf.lark."""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import cache
from pathlib import Path

from lark import Lark, Token, Transformer, UnexpectedCharacters, UnexpectedInput
from lark.exceptions import UnexpectedEOF

from standflow.config.model import ConfigError

MAX_FILE_BYTES = 4 * 1024 * 1024
TERMINAL_NAMES = {
    "WORD": "a value",
    "STRING": "a quoted value",
    "_NL": "the end of the line",
    "LBRACE": "'{' at the end of the line",
    "RBRACE": "'}' on a line of its own",
    "$END": "the end of the file",
}


class ConfigFileError(ConfigError):
    """Errors in the file, each as FILE:LINE:COLUMN: DIRECTIVE: what is wrong and what was expected.

    `errors` holds all of them; the exception's own message is the first one.
    """

    def __init__(self, errors: list[str]) -> None:
        self.errors = errors
        more = len(errors) - 1
        super().__init__(errors[0] + (f" (and {more} more)" if more else ""))


@dataclass(slots=True, frozen=True)
class Word:
    """A value as written in the file, without its quotes. Lines and columns start at 1."""

    text: str
    line: int
    column: int


@dataclass(slots=True, frozen=True)
class Statement:
    """A directive: its name, its values, and the block that it opens, if any."""

    name: Word
    values: tuple[Word, ...]
    block: tuple[Statement, ...] | None


class _StatementBuilder(Transformer[Token, tuple[Statement, ...]]):
    def start(self, children: list[Statement]) -> tuple[Statement, ...]:
        return tuple(children)

    def value(self, children: list[Token]) -> Word:
        (token,) = children
        text = str(token)
        if token.type == "STRING":
            text = text[1:-1] if text[0] == "'" else re.sub(r"\\(.)", r"\1", text[1:-1])
        return Word(text, token.line or 0, token.column or 0)

    def block(self, children: list[Statement | Token]) -> tuple[Statement, ...]:
        return tuple(child for child in children if isinstance(child, Statement))

    def statement(self, children: list[Word | tuple[Statement, ...]]) -> Statement:
        words = tuple(child for child in children if isinstance(child, Word))
        last = children[-1]
        return Statement(words[0], words[1:], last if isinstance(last, tuple) else None)


@cache
def _parser() -> Lark:
    grammar = (Path(__file__).parent / "conf.lark").read_text()
    return Lark(grammar, parser="lalr", transformer=_StatementBuilder())


def parse(text: str, name: str) -> tuple[Statement, ...]:
    """Parses the text of a file. Raises ConfigFileError with the position and what was expected there."""
    if len(text) > MAX_FILE_BYTES:
        raise ConfigFileError([f"{name}:1:1: the file is larger than {MAX_FILE_BYTES} bytes"])
    text = text.replace("\r\n", "\n") + "\n"
    try:
        parsed = _parser().parse(text)
    except UnexpectedInput as error:
        raise ConfigFileError([_describe(error, text, name)]) from None
    assert isinstance(parsed, tuple)
    return parsed


def _describe(error: UnexpectedInput, text: str, name: str) -> str:
    line, column = error.line, error.column
    allowed: set[str] = set(getattr(error, "accepts", None) or getattr(error, "expected", None) or ())
    at_end = isinstance(error, UnexpectedEOF) or getattr(getattr(error, "token", None), "type", "") == "$END"
    if isinstance(error, UnexpectedCharacters):
        allowed = set(error.allowed or ())
    if at_end:
        line, column = text.count("\n"), 1
        return f"{name}:{line}:{column}: the file ends within a block; expected '}}' on a line of its own"
    lines = text.split("\n")
    source = lines[line - 1] if 0 < line <= len(lines) else ""
    directive = source.split()[0] if source.split() else "?"
    rest = source[column - 1 : column + 11].strip()
    if rest[:1] in ("'", '"'):
        return f"{name}:{line}:{column}: {directive}: unterminated quoted value; expected {rest[0]}"
    expected = (
        ", ".join(sorted(TERMINAL_NAMES[kind] for kind in allowed if kind in TERMINAL_NAMES)) or "a directive"
    )
    return f"{name}:{line}:{column}: {directive}: unexpected '{rest}'; expected {expected}"


def read_file(path: str) -> tuple[Statement, ...]:
    """Reads and parses a file."""
    try:
        return parse(Path(path).read_text("utf-8"), path)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise ConfigFileError([f"{path}:1:1: byte {error.start} is not UTF-8"]) from None
