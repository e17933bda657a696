"""RESP2 codec: converts bytes to typed values and back. It does no I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

MAX_VALUE = 64 * 1024  # bytes
MAX_PARTS = 16
MAX_LONG = 4 * 1024 * 1024  # bytes of a body, or of a value that is forwarded as it arrives
MAX_COMMAND = MAX_VALUE + 4096  # bytes, without the body
MAX_REPLY = 4 * MAX_VALUE  # bytes
MAX_DIGITS = 20
BODY_INDEX = 4  # index of the body among a command's parts
MAX_TIME_LEFT = 600_000  # milliseconds; a longer time limit would keep resources in use for as long
MAX_TENANT = 1 << 33
LINE_END = b"\r\n"


class FramingError(ValueError):
    """The stream can't be parsed any further: the start of the next message is unknown."""


class CommandError(ValueError):
    """A complete command is invalid; the next one can be read."""


@dataclass(slots=True, frozen=True)
class Ping:
    """PING."""


@dataclass(slots=True, frozen=True)
class Ask:
    """Q.ASK or Q.DO. Everything except the time left is kept in its encoded form and forwarded unchanged."""

    safe: bool
    ident: bytes
    tenant: str
    class_name: str
    plan: str
    time_left: float
    units: float
    spread: int
    first: int
    head: bytes
    options_before: bytes
    options_after: bytes
    body: Part | None


@dataclass(slots=True, frozen=True)
class SimpleString:
    """A simple string reply, without its type byte. It can't be the answer to a command."""

    text: bytes


@dataclass(slots=True, frozen=True)
class ErrorReply:
    """An error reply, without its type byte."""

    text: bytes


@dataclass(slots=True, frozen=True)
class Value:
    """A next hop's successful answer."""

    value: bytes
    used_percent: float = 0.0
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class BusyReply:
    """A next hop's -BUSY: the command was not run."""

    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class FailedReply:
    """Any other error answer of a next hop: the command may have run."""

    text: str
    report: Mapping[str, float] = field(default_factory=dict)


Part = bytes | bytearray  # of a command; a long body is a bytearray, as it is not copied
Reply = bytes | int | SimpleString | ErrorReply | None | list["Reply"]
Answer = Value | BusyReply | FailedReply


class Buffer:
    """Received bytes that are not parsed yet; messages are taken out one at a time."""

    __slots__ = (
        "awaits_value", "body", "body_start", "command_size", "data", "dropping", "parts_before_body",
    )  # fmt: skip

    def __init__(self) -> None:
        self.data = bytearray()
        self.body = 0  # size of an incomplete body, once the command's other parts have arrived
        self.body_start = 0  # its offset
        self.parts_before_body: list[Part] = []
        self.command_size = 0  # bytes that an incomplete command has at least
        self.awaits_value = False  # the length line of a long value has arrived, and nothing behind it
        self.dropping: int | None = None  # bytes of a dropped body that have not arrived yet

    @property
    def holds_part(self) -> bool:
        """True if a part of a message has arrived."""
        return bool(self.data) or self.dropping is not None

    @property
    def body_missing(self) -> bool:
        """True if a body is known not to have arrived whole."""
        return bool(self.body) and len(self.data) < self.body_start + self.body + len(LINE_END)

    def feed(self, data: bytes) -> None:
        """Appends received bytes."""
        self.data += data

    def command(self) -> list[Part] | None:
        """Takes out the next complete command, or returns None; raises FramingError on invalid bytes.

        In place of a dropped body there is an empty one.
        """
        data = self.data
        if self.dropping is not None:
            return self._command_with_dropped_body(self.dropping)
        self.command_size = len(data) + 1
        if not data:
            return None
        if data[0] != 0x2A:
            raise FramingError("a command is an array of bulk strings")
        count, at = _number(data, 1)
        if at < 0:
            return None
        if not 1 <= count <= MAX_PARTS:
            raise FramingError(f"a command has 1 to {MAX_PARTS} parts")
        parts: list[Part] = []
        self.body = 0
        for index in range(count):
            if at >= len(data):
                return None
            if data[at] != 0x24:
                raise FramingError("a command is an array of bulk strings")
            size, start = _number(data, at + 1)
            if start < 0:
                return None
            long = size > MAX_VALUE and index == BODY_INDEX and count == BODY_INDEX + 1
            if not 0 <= size <= (MAX_LONG if long else MAX_VALUE) or start + size * (not long) > MAX_COMMAND:
                raise FramingError("a value is too long")
            at = start + size + 2
            if at > len(data):
                self.command_size = at
                if index == BODY_INDEX == count - 1:
                    self.body, self.body_start, self.parts_before_body = size, start, parts
                return None
            if data[at - 2 : at] != b"\r\n":
                raise FramingError("a value has another length than it says")
            if long:
                parts.append(self._take_long_body(start, at))
                return parts
            parts.append(bytes(memoryview(data)[start : at - 2]))
        del data[:at]
        self.body = 0
        return parts

    def _take_long_body(self, start: int, end: int) -> bytearray:
        """Takes out a command whose last part is a long body, without a copy of that."""
        body, self.data = self.data, self.data[end:]
        del body[end - len(LINE_END) :]
        del body[:start]
        self.body = 0
        return body

    def drop_body(self) -> None:
        """Drops the incomplete body: what has arrived of it, and what is still to come."""
        if self.body and self.dropping is None:
            del self.data[: self.body_start]
            self.dropping = self.body
            self._drop_received(self.body)

    def _drop_received(self, missing: int) -> int:
        """Drops received bytes of the body, of which `missing` were to come; returns how many still are."""
        missing -= (dropped := min(missing, len(self.data)))
        del self.data[:dropped]
        self.dropping = missing
        return missing

    def _command_with_dropped_body(self, missing: int) -> list[Part] | None:
        if self._drop_received(missing) or len(self.data) < len(LINE_END):
            return None
        if not self.data.startswith(LINE_END):
            raise FramingError("a value has another length than it says")
        del self.data[: len(LINE_END)]
        parts: list[Part] = [*self.parts_before_body, b""]
        self.parts_before_body = []
        self.body, self.dropping = 0, None
        return parts

    def long_reply(self) -> tuple[int, int] | None:
        """Returns the number of parts and the value's length if a reply begins with a long value.

        At least one byte of the value must have arrived; until then `awaits_value` is set. Everything before
        the value is taken out.
        """
        data = self.data
        self.awaits_value = False
        if data[:1] != b"*" or len(data) < 6:
            return None
        end = data.find(b"\r\n$", 1, MAX_DIGITS + 3)
        second = data.find(b"\r\n", end + 3, end + 3 + MAX_DIGITS)
        if end < 0 or second < 0:
            return None
        count, size = data[1:end], data[end + 3 : second]
        if not (count.isdigit() and size.isdigit() and 1 <= int(count) <= MAX_PARTS):
            return None
        if not MAX_VALUE < int(size) <= MAX_LONG:
            return None
        if len(data) == second + 2:
            self.awaits_value = True
            return None
        del data[: second + 2]
        return int(count), int(size)

    def value_trailer(self, parts: int) -> list[Reply] | None:
        """Takes out the parts behind a long value, or returns None while they are incomplete."""
        rest: list[Reply] = []
        at = 0
        for _ in range(parts - 1):
            one, at = _reply(self.data, at, part=True)
            if at < 0:
                return None
            rest.append(one)
        del self.data[:at]
        return rest

    def reply(self) -> tuple[Reply] | None:
        """Takes out the next complete reply in a 1-tuple, or returns None; FramingError on invalid bytes."""
        if not self.data or self.awaits_value:
            return None
        if len(self.data) > MAX_REPLY:
            raise FramingError("a reply is too long")
        reply, at = _reply(self.data, 0)
        if at < 0:
            return None
        del self.data[:at]
        return (reply,)


def _line(data: bytearray, at: int) -> tuple[bytes, int]:
    """Returns the rest of a line and the start of the next one, which is -1 while the line is incomplete."""
    end = data.find(b"\r\n", at)
    if end < 0:
        if len(data) - at > 4096:
            raise FramingError("a line is too long")
        return b"", -1
    return bytes(data[at:end]), end + 2


def _number(data: bytearray, at: int) -> tuple[int, int]:
    """Parses the rest of a line as a length."""
    end = data.find(b"\r\n", at, at + MAX_DIGITS + 2)
    if end < 0 and len(data) < at + MAX_DIGITS + 2:
        return 0, -1
    text = data[at : max(end, at)]
    if not text.isdigit() and not (text[:1] == b"-" and text[1:].isdigit()):
        raise FramingError("a length is not a number")
    return int(text), end + 2


def _reply(data: bytearray, at: int, part: bool = False) -> tuple[Reply, int]:
    """Parses a reply at an offset. Returns it and the offset behind it, or -1 while it is incomplete."""
    if at >= len(data):
        return None, -1
    mark = data[at]
    # Answers contain no nested arrays. An impossible type is rejected at its first byte rather than by a
    # timeout.
    if mark not in (b":$" if part else b"+-:$*"):
        raise FramingError("a reply of no known kind")
    if mark == 0x2B or mark == 0x2D:
        text, after = _line(data, at + 1)
        return (SimpleString(text) if mark == 0x2B else ErrorReply(text)), after
    number, after = _number(data, at + 1)
    if after < 0 or mark == 0x3A:
        return number, after
    if number < 0:
        if number != -1:
            raise FramingError("a length is below nought")
        return None, after
    if mark == 0x24:
        end = after + number + 2
        if number > MAX_VALUE:
            raise FramingError("a value is too long")
        if end > len(data):
            return None, -1
        if data[end - 2 : end] != b"\r\n":
            raise FramingError("a value has another length than it says")
        return bytes(data[after : end - 2]), end
    if number > MAX_PARTS:
        raise FramingError("a reply has too many parts")
    parts: list[Reply] = []
    for _ in range(number):
        one, after = _reply(data, after, part=True)
        if after < 0:
            return None, -1
        parts.append(one)
    return parts, after


def bulk(value: bytes) -> bytes:
    """Encodes a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def bulk_head(size: int) -> bytes:
    """Encodes the length line of a bulk string."""
    return b"$%d\r\n" % size


def decode_command(parts: Sequence[Part]) -> Ping | Ask:
    """Converts a command's parts to its typed value."""
    name = bytes(parts[0]).upper()
    if name == b"PING" and len(parts) == 1:
        return Ping()
    if name not in (b"Q.ASK", b"Q.DO"):
        raise CommandError("unknown command")
    if not 4 <= len(parts) <= 5:
        raise CommandError("wrong number of arguments")
    tenant, ident, options = bytes(parts[1]), bytes(parts[2]), bytes(parts[3])
    try:
        # int() would also take signs, spaces and underscores
        if len(tenant) != 16 or not tenant.isalnum() or int(tenant, 16) >= MAX_TENANT:
            raise CommandError("bad customer")
    except ValueError:
        raise CommandError("bad customer") from None
    if not ident or len(ident) > 64 or not ident.isalnum():
        raise CommandError("bad request id")
    return _ask(name, tenant, ident, options, parts)


def time_limit(parts: Sequence[Part]) -> float:
    """Seconds that the client of a command without its body waits; 0 if the command is invalid."""
    try:
        command = decode_command(parts)
    except CommandError:
        return 0.0
    return command.time_left if isinstance(command, Ask) else 0.0


def _ask(name: bytes, tenant: bytes, ident: bytes, options: bytes, parts: Sequence[Part]) -> Ask:
    named: dict[bytes, bytes] = {}
    pieces = options.split(b",")
    time_index = -1
    for number, piece in enumerate(pieces):
        key, equals, value = piece.partition(b"=")
        if not equals or not key or key in named:
            raise CommandError("bad option")
        named[key] = value
        if key == b"d":
            time_index = number
    try:
        time_left, units = _whole(named[b"d"]), _decimal(named.get(b"units", b"1"))
        spread, first = _whole(named.get(b"spread", b"1")), _whole(named.get(b"first", b"0"))
        class_name, plan = named[b"c"].decode("ascii"), named[b"t"].decode("ascii")
    except KeyError as error:
        raise CommandError(f"no option {error.args[0].decode()}") from None
    except ValueError:
        raise CommandError("bad number") from None
    if not (0 < time_left <= MAX_TIME_LEFT and 0 < units <= 1e6 and 1 <= spread <= 65535 and first <= 65535):
        raise CommandError("bad number")
    before, after = b",".join(pieces[:time_index]), b",".join(pieces[time_index + 1 :])
    return Ask(
        safe=name == b"Q.ASK",
        ident=ident,
        tenant=tenant.decode("ascii").lower(),
        class_name=class_name,
        plan=plan,
        time_left=time_left / 1000,
        units=units,
        spread=spread,
        first=first,
        head=b"*%d\r\n" % len(parts) + bulk(bytes(parts[0])) + bulk(tenant) + bulk(ident),
        options_before=before + b"," if before else b"",
        options_after=b"," + after if after else b"",
        body=parts[4] if len(parts) == 5 else None,
    )


def _whole(text: bytes) -> int:
    """Parses a non-negative integer. Unlike int(), it rejects signs, spaces and underscores."""
    if not text.isdigit() or len(text) > 10:
        raise ValueError(text)
    return int(text)


def _decimal(text: bytes) -> float:
    """Parses a non-negative decimal number without sign or exponent."""
    if not text.replace(b".", b"", 1).isdigit() or len(text) > 20:
        raise ValueError(text)
    return float(text)


def encode_ask(ask: Ask, time_left: float) -> tuple[Part, ...]:
    """Encodes the command for a next hop with a new time left. A long body is not copied."""
    options = b"%bd=%d%b" % (ask.options_before, max(1, int(time_left * 1000)), ask.options_after)
    head = ask.head + bulk(options)
    if ask.body is None:
        return (head,)
    if len(ask.body) <= MAX_VALUE:
        return (head + bulk(bytes(ask.body)),)
    return head + b"$%d\r\n" % len(ask.body), ask.body, b"\r\n"


def decode_answer(reply: Reply) -> Answer:
    """Converts a next hop's reply to an answer; FramingError if it can't be one."""
    if isinstance(reply, ErrorReply):
        word, _, rest = reply.text.partition(b" ")
        report = decode_report(rest.rpartition(b" ")[2])
        # Only a well-formed line proves that the command was not run: a corrupted one may begin with BUSY,
        # too.
        if word == b"BUSY" and (not rest or rest.isdigit() or report):
            return BusyReply(report)
        return FailedReply(reply.text.decode("latin-1"), report)
    if isinstance(reply, list) and reply and isinstance(reply[0], bytes):
        used = reply[1] if len(reply) > 1 else None
        load = reply[2] if len(reply) > 2 else None
        return Value(reply[0], decode_used(used), decode_report(load if isinstance(load, bytes) else b""))
    raise FramingError("a reply of another form")


def decode_trailer(rest: list[Reply]) -> tuple[float, dict[str, float]]:
    """Decodes the parts behind a long value: the usage figure and the load report."""
    load = rest[1] if len(rest) > 1 else None
    return decode_used(rest[0] if rest else None), decode_report(load if isinstance(load, bytes) else b"")


def decode_used(used: Reply) -> float:
    """Decodes the usage figure; 0 if there is none."""
    if isinstance(used, bytes):
        used = int(used) if used.isdigit() and len(used) < 10 else 0
    return float(max(0, used)) if isinstance(used, int) else 0.0


def decode_report(text: bytes) -> dict[str, float]:
    """Decodes a load report into figures by name; invalid entries are skipped."""
    figures: dict[str, float] = {}
    if not text:
        return figures
    for piece in text.split(b","):
        name, _, value = piece.partition(b"=")
        try:
            figure = float(value)
            if name and math.isfinite(figure):  # NaN would make every comparison false
                figures[name.decode("ascii")] = figure
        except ValueError:
            continue
    return figures


PONG = b"+PONG\r\n"
PING = b"*1\r\n$4\r\nPING\r\n"


def busy(retry_after: float | None) -> bytes:
    """Encodes a refusal, with the time after which to retry in whole milliseconds."""
    return b"-BUSY\r\n" if not retry_after else b"-BUSY %d\r\n" % max(1, round(retry_after * 1000))


def error(reason: str) -> bytes:
    """Encodes an error."""
    return b"-ERR %b\r\n" % reason.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ")
