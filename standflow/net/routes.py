"""Discovery client: watches the route set over HTTP, with h11 as the parser."""

from __future__ import annotations

import errno
import json
import math
import random
import re
import socket
from collections.abc import Callable, Iterator
from typing import Any

import h11

from standflow.net.loop import IN, NO_EVENT, OUT, Coroutine, Loop, Task, Timer, error_reason
from standflow.net.watch_timing import CONNECT_TIMEOUT, MAX_BACK_OFF, SILENCE_TIMEOUT, CallEnd, WatchTiming
from standflow.route_set import Phase, Route, RouteSet

PHASES = {"SERVING": Phase.SERVING, "DRAINING": Phase.DRAINING, "DELETED": Phase.GONE}
NO_ADDRESS = ("0.0.0.0", 0)  # of a next hop that is gone, whose address is not needed
MAX_OBJECT = 4 * 1024 * 1024  # bytes of one object, on one line or several
CALL_ENDS = {"status:503": CallEnd.UNAVAILABLE, "peer_closed": CallEnd.ENDED}  # by reason code
STRINGS = re.compile(rb'"(?:[^"\\]|\\.)*"')


class RouteError(ValueError):
    """A route set can't be read; the message says why."""


class ObjectSplitter:
    """Splits the watch's data into JSON objects, each on one line or indented over several.

    JSON strings contain no line breaks, so the change of nesting depth can be computed line by line.
    """

    def __init__(self) -> None:
        self.line = bytearray()  # incomplete line
        self.lines: list[bytes] = []  # of the incomplete object
        self.depth = self.size = 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yields each complete object, and an empty string for an empty line between objects."""
        self.line += data
        while (end := self.line.find(b"\n")) >= 0:
            text = bytes(self.line[:end]).strip()
            del self.line[: end + 1]
            self.depth += self._depth_change(text)
            if text:
                self.lines.append(text)
                self.size += len(text)
            if self.depth <= 0:
                yield self._pop_object()
        # An object counts as complete without the end of its line.
        if self.line.rstrip().endswith(b"}") and self.depth + self._depth_change(bytes(self.line)) == 0:
            self.lines.append(bytes(self.line))
            self.line.clear()
            yield self._pop_object()
        if self.size + len(self.line) > MAX_OBJECT:
            raise LineTooLongError

    def _depth_change(self, text: bytes) -> int:
        bare = STRINGS.sub(b"", text)
        return sum(bare.count(mark) * step for mark, step in ((b"{", 1), (b"[", 1), (b"}", -1), (b"]", -1)))

    def _pop_object(self) -> bytes:
        text = b"\n".join(self.lines)
        self.lines, self.depth, self.size = [], 0, 0
        return text


class LineTooLongError(RouteError):
    """An object exceeds MAX_OBJECT."""


def read_routes(raw: Any, zones: tuple[str, ...], log: Callable[[str], None]) -> RouteSet:
    """Decodes a list from discovery; an invalid member is logged and skipped."""
    if not isinstance(raw, dict) or not isinstance(raw.get("members"), list):
        raise RouteError("not an object with a list of members")
    revision, complete = raw.get("revision"), raw.get("complete")
    if not isinstance(revision, int) or not isinstance(complete, bool):
        raise RouteError("revision or complete is missing")
    routes = []
    for member in raw["members"]:
        try:
            routes.append(read_route(member, zones))
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            log(f"routes: a member was passed over: {error!r}")
    return RouteSet(revision, complete, tuple(routes), len(routes) < len(raw["members"]))


def read_route(raw: Any, zones: tuple[str, ...]) -> Route:
    """Decodes one member."""
    if not isinstance(raw, dict):  # an error here skips only this member
        raise RouteError("a member is not an object")
    size, up_since = float(raw.get("size", 1.0)), float(raw.get("up_since_ms", 0))
    if not (math.isfinite(size) and size > 0 and math.isfinite(up_since)):
        raise RouteError("a figure is out of range")
    if not isinstance(raw["id"], str) or not raw["id"]:
        raise RouteError("no id")
    phase = PHASES[raw["phase"]]
    return Route(
        hop=raw["id"],
        address=NO_ADDRESS if phase is Phase.GONE else read_address(raw["host_port"]),
        zone=zone_of(str(raw.get("locality", "")), zones),
        kind=str(raw.get("flavor", "")),
        cell=int(raw.get("cell", 0)),
        phase=phase,
        size=size,
        up_since=up_since / 1000 if up_since else None,
    )


def write_route(route: Route) -> dict[str, Any]:
    """Encodes a member so that `read_route` can decode it."""
    return {
        "id": route.hop,
        "host_port": f"{route.address[0]}:{route.address[1]}",
        "locality": route.zone,
        "flavor": route.kind,
        "cell": route.cell,
        "phase": next(name for name, phase in PHASES.items() if phase is route.phase),
        "size": route.size,
        "up_since_ms": 0 if route.up_since is None else route.up_since * 1000,
    }


def read_address(text: Any) -> tuple[str, int]:
    """Parses host:port. The host must be an IPv4 address, as names are not resolved."""
    if not isinstance(text, str):
        raise RouteError("an address is not a string")
    host, _, port = text.rpartition(":")
    try:
        socket.inet_aton(host)
        number = int(port)
    except (OSError, ValueError):
        raise RouteError(f"'{text}' is not an address and a port") from None
    if host.count(".") != 3 or not 0 <= number <= 65535:
        raise RouteError(f"'{text}' is not an address and a port")
    return host, number


def zone_of(locality: str, zones: tuple[str, ...]) -> str:
    """Maps discovery's locality to a zone of the settings, which may have a prefix: 'a' to 'room-a'."""
    if locality in zones:
        return locality
    fitting = [zone for zone in zones if zone.endswith("-" + locality)]
    return fitting[0] if len(fitting) == 1 else locality


class RouteWatch:
    """Keeps a watch open and passes on each change; after an interruption it resumes at the last revision."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        address: tuple[str, int],
        zones: tuple[str, ...],
        revision: int | None,
        on_routes: Callable[[RouteSet], None],
        rng: random.Random,
        tally: Callable[[str], None] = lambda name: None,
        max_back_off: float = MAX_BACK_OFF,
    ) -> None:
        self.loop, self.log, self.address, self.zones, self.on_routes = loop, log, address, zones, on_routes
        self.timing = WatchTiming(max_back_off)
        self.revision = revision
        self.rng, self.tally = rng, tally
        self.task: Task | None = None
        self.reconnect_timer: Timer | None = None  # of the next attempt, while no watch is open
        self.close_reason = "fetch"  # why this side ends the watch
        self.closed = False

    def connect(self) -> None:
        """Opens the watch."""
        self.tally("routes.asked")
        self.reconnect_timer = None
        self.timing.begin(self.loop.now())
        try:
            sock = self.loop.open_socket()
        except OSError as error:
            self.log(f"routes: no socket: {error}")
            self._schedule_reconnect(CallEnd.FAILED)
            return
        try:
            self.task = self.loop.spawn(sock.fileno(), self._run(sock))
        except OSError as error:
            sock.close()
            self.log(f"routes: {error}")
            self._schedule_reconnect(CallEnd.FAILED)

    def refetch(self) -> None:
        """Requests the complete list by reopening the watch without a revision."""
        self.revision = None
        if self.task is not None:
            self.close_reason = "fetch"
            self.loop.end(self.task)

    def move(self, address: tuple[str, int]) -> None:
        """Moves the watch to another address at once, resuming at the current revision."""
        self.address = address
        self.timing.address_changed()
        if self.reconnect_timer is not None:
            self.reconnect_timer.cancel()
            self.connect()
        elif self.task is not None:
            self.close_reason = "moved"
            self.loop.end(self.task)

    def close(self) -> None:
        """Ends the watch for good."""
        self.closed = True
        if self.reconnect_timer is not None:
            self.reconnect_timer.cancel()
        if self.task is not None:
            self.loop.end(self.task)

    def _run(self, sock: socket.socket) -> Coroutine[None]:
        reason, started = "", self.loop.now()
        try:
            reason = yield from self._watch(sock)
        finally:
            sock.close()
            reason = reason or ("shutdown" if self.closed else self.close_reason)
            self.log(f"end routes {reason} age={self.loop.now() - started:.2f}")
            self._schedule_reconnect(CALL_ENDS.get(reason, CallEnd.FAILED))

    def _schedule_reconnect(self, end: CallEnd) -> None:
        if not self.closed:
            pause = self.timing.pause(end, self.loop.now(), self.rng)
            self.reconnect_timer = self.loop.call_later(pause, self.connect)

    def _watch(self, sock: socket.socket) -> Coroutine[str]:
        failed = yield from self.loop.connect(sock, self.address, CONNECT_TIMEOUT)
        if failed:
            return failed
        http = h11.Connection(our_role=h11.CLIENT)
        since = "" if self.revision is None else f"&since={self.revision}"
        host = f"{self.address[0]}:{self.address[1]}"
        request = h11.Request(method="GET", target=f"/v1/endpoints?follow=1{since}", headers=[("Host", host)])
        try:
            yield from self._write(sock, (http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b""))
            return (yield from self._read(sock, http))
        except OSError as error:
            return error_reason(error)
        except h11.RemoteProtocolError:
            return "bad_http"
        except RouteError as error:
            # The content of the bad object is requested again, from the last good revision.
            self.log(f"routes: {error}")
            return "bad_json"

    def _write(self, sock: socket.socket, data: bytes) -> Coroutine[None]:
        """Writes all the data, in as many pieces as needed; raises TimeoutError if that takes too long."""
        due = self.timing.head_due(self.loop.now())
        while data:
            try:
                data = data[sock.send(data) :]
            except BlockingIOError:
                if (yield from self.loop.wait(OUT, max(0.0, due - self.loop.now()))) == NO_EVENT:
                    raise TimeoutError(errno.ETIMEDOUT, "the request could not be sent in time") from None

    def _read(self, sock: socket.socket, http: h11.Connection) -> Coroutine[str]:
        objects, due = ObjectSplitter(), self.timing.head_due(self.loop.now())
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                # Received bytes alone don't extend the deadline: a server that sends single bytes would keep
                # a useless watch open.
                if (yield from self.loop.wait(IN, max(0.0, due - self.loop.now()))) == NO_EVENT:
                    self.timing.timed_out()
                    return "silent"
                try:
                    http.receive_data(sock.recv(65536))
                except BlockingIOError:
                    continue
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    return f"status:{event.status_code}"
                due = self.loop.now() + SILENCE_TIMEOUT
            elif isinstance(event, h11.Data):
                try:
                    for text in objects.feed(bytes(event.data)):
                        self.timing.reset()
                        due = self.loop.now() + SILENCE_TIMEOUT
                        self._handle_object(text)
                except LineTooLongError:
                    return "line_too_long"
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                return "peer_closed"

    def _handle_object(self, text: bytes) -> None:
        if not text:
            return
        try:
            raw = json.loads(text)
        except (ValueError, RecursionError):
            raise RouteError("an object is not valid JSON") from None
        routes = read_routes(raw, self.zones, self.log)
        self.tally("routes.told")
        if not routes.complete and self.revision is not None and routes.revision < self.revision:
            self.revision = None  # the state that it changes is unknown here: request the complete list
            raise RouteError(f"revision {routes.revision} goes back")
        self.revision = routes.revision
        try:
            self.on_routes(routes)
        except Exception:
            self.revision = None  # it was not applied completely: request the complete list
            raise
        if routes.partial and not routes.complete:
            self.revision = None  # a change that was skipped would never be sent again
            raise RouteError("a change could not be read: requesting the complete list")
