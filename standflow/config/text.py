"""The operator's file as text: what stands where, with no meaning yet. The grammar is in conf.lark."""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import cache
from pathlib import Path

from lark import Lark, Token, Transformer, UnexpectedCharacters, UnexpectedInput
from lark.exceptions import UnexpectedEOF

from standflow.config.model import ConfigError

MAX_FILE = 4 * 1024 * 1024  # bytes; no operator writes more
EXPECTED = {
    "WORD": "a value",
    "STRING": "a quoted value",
    "_NL": "the end of the line",
    "LBRACE": "'{' at the end of the line",
    "RBRACE": "'}' on a line of its own",
    "$END": "the end of the file",
}


class ConfigFileError(ConfigError):
    """A fault of the file: its text is FILE:LINE:COLUMN: DIRECTIVE: what is wrong and what was expected.

    `errors` holds all that were found, the first of them being the exception's own text.
    """

    def __init__(self, errors: list[str]) -> None:
        self.errors = errors
        more = len(errors) - 1
        super().__init__(errors[0] + (f" (and {more} more)" if more else ""))


@dataclass(slots=True, frozen=True)
class Word:
    """A value as it was written, without its quotes; line and column count from 1."""

    text: str
    line: int
    column: int


@dataclass(slots=True, frozen=True)
class Statement:
    """A directive: its name, the values behind it, and its block where it opens one."""

    name: Word
    values: tuple[Word, ...]
    block: tuple[Statement, ...] | None


class _Build(Transformer[Token, tuple[Statement, ...]]):
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
    return Lark(grammar, parser="lalr", transformer=_Build())


def parse(text: str, name: str) -> tuple[Statement, ...]:
    """The statements of a file's text; FileFaultError says where it can't be read and what was expected."""
    if len(text) > MAX_FILE:
        raise ConfigFileError([f"{name}:1:1: the file is over {MAX_FILE} bytes"])
    text = text.replace("\r\n", "\n") + "\n"
    try:
        parsed = _parser().parse(text)
    except UnexpectedInput as error:
        raise ConfigFileError([_fault(error, text, name)]) from None
    assert isinstance(parsed, tuple)
    return parsed


def _fault(error: UnexpectedInput, text: str, name: str) -> str:
    line, column = error.line, error.column
    allowed: set[str] = set(getattr(error, "accepts", None) or getattr(error, "expected", None) or ())
    ended = isinstance(error, UnexpectedEOF) or getattr(getattr(error, "token", None), "type", "") == "$END"
    if isinstance(error, UnexpectedCharacters):
        allowed = set(error.allowed or ())
    if ended:
        line, column = text.count("\n"), 1
        return f"{name}:{line}:{column}: the file ends within a block; expected '}}' on a line of its own"
    lines = text.split("\n")
    shown = lines[line - 1] if 0 < line <= len(lines) else ""
    directive = shown.split()[0] if shown.split() else "?"
    rest = shown[column - 1 : column + 11].strip()
    if rest[:1] in ("'", '"'):
        return f"{name}:{line}:{column}: {directive}: a quoted value has no end; expected {rest[0]}"
    wanted = ", ".join(sorted(EXPECTED[kind] for kind in allowed if kind in EXPECTED)) or "a directive"
    return f"{name}:{line}:{column}: {directive}: '{rest}' can't stand here; expected {wanted}"


def read_file(path: str) -> tuple[Statement, ...]:
    """The statements of a file."""
    try:
        return parse(Path(path).read_text("utf-8"), path)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise ConfigFileError([f"{path}:1:1: byte {error.start} is not UTF-8"]) from None
