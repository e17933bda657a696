"""Creates the TLS streams of connections to next hops, which share TLS material and sessions."""

from __future__ import annotations

import socket
import ssl
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

from standflow.config.model import TlsOptions
from standflow.net.loop import Coroutine, Loop
from standflow.net.stream import PlainStream, Stream
from standflow.route_set import Route
from standflow.tls import material
from standflow.tls.material import Material, MaterialError
from standflow.tls.names import name_for
from standflow.tls.sessions import Identity, Sessions
from standflow.tls.stream import TlsStream

WARN_INTERVAL = 86400.0  # seconds between warnings of the same expiry
COUNT_INTERVAL = 60.0  # seconds between log lines with the counts, if they have changed
DISABLED_WATCH_INTERVAL = 60.0  # seconds between checks of whether a reload has enabled the file watch


class UnnamedStream(PlainStream):
    """Stream to a next hop without an expected name: it can't be opened, so nothing is ever written to it."""

    def open(self) -> Coroutine[str]:
        """Fails at once."""
        return "no_name"
        yield


class TlsStreams:
    """Creates streams, reloads TLS material and counts handshakes."""

    def __init__(self, loop: Loop, log: Callable[[str], None], options: TlsOptions) -> None:
        """Raises MaterialError on unusable files. `on_change` is called with each later generation."""
        self.loop, self.log, self.options = loop, log, options
        self.on_change: Callable[[int], None] = lambda generation: None
        self.material: Material = material.load(options, 1)
        self.sessions = Sessions(options.sessions, options.session_lifetime)
        self.full = self.resumed = self.failed = self.declined = 0
        self._last_error: tuple[str, material.Stamp] | None = None  # logged error and files
        self._last_stamp = self.material.stamp
        self._logged_counts = ""
        self._log_loaded(self.material)
        loop.every(COUNT_INTERVAL, self.log_counts)
        loop.every(WARN_INTERVAL, self._remind)
        loop.every(lambda: self.options.watch_interval or DISABLED_WATCH_INTERVAL, self._check_files)

    @property
    def generation(self) -> int:
        """Number of the current set of TLS material."""
        return self.material.generation

    # Streams.

    def make(self, route: Route, sock: socket.socket) -> Stream:
        """Creates the stream of a new connection to a next hop, with a session to resume if there is one."""
        name = name_for(self.options, route.hop, route.zone, route.kind)
        if name is None:
            self.log(f"tls: no rule names next hop {route.hop} ({route.zone}, {route.kind})")
            return UnnamedStream(sock)
        using, identity = self.material, self._identity(route, name)
        session = self.sessions.take(route.hop, identity, self.loop.now())

        def keep(session: ssl.SSLSession, single_use: bool) -> None:
            if using is self.material:
                lifetime = float(session.ticket_lifetime_hint or session.timeout)
                self.sessions.put(route.hop, identity, session, self.loop.now(), lifetime, single_use)

        def declined() -> None:
            self.declined += 1
            self.sessions.forget(route.hop)  # it has most likely lost all of them in a restart

        def up(stream: TlsStream, reason: str) -> None:
            self._handshake_ended(route, stream, reason)

        return TlsStream(
            self.loop,
            sock,
            using.context,
            name,
            session,
            self.options.handshake_timeout,
            using.generation,
            keep,
            declined,
            up,
        )

    def resumable(self, route: Route) -> bool:
        """True if a session is stored for a next hop."""
        return self.sessions.count(route.hop) > 0

    def forget(self, hop: str) -> None:
        """Drops the sessions of a next hop that is gone or was restarted."""
        self.sessions.forget(hop)

    def _identity(self, route: Route, name: str) -> Identity:
        return (route.address, route.up_since, name, self.material.generation)

    def _handshake_ended(self, route: Route, stream: TlsStream, reason: str) -> None:
        if reason == "given_up":
            return
        if reason:
            self.failed += 1
            self.sessions.forget(route.hop)  # the offered session may be the cause
        elif stream.handshake.resumed:
            self.resumed += 1
        else:
            self.full += 1

    # Material.

    def reload(self, options: TlsOptions) -> None:
        """Applies new options and rereads the files (on SIGHUP). A bad set changes nothing."""
        names_before = (self.options.names, self.options.name_rules)
        try:
            self._apply(options)
        except MaterialError as error:
            self.log(f"tls: {error}; the set before stays in use")
            return
        if (options.names, options.name_rules) != names_before:
            self.log("tls: names changed")

    def _apply(self, options: TlsOptions) -> None:
        self.material = material.load(options, self.material.generation + 1)
        self.options, self._last_error = options, None
        self._last_stamp = self.material.stamp
        self.sessions.clear()
        self.sessions.limit, self.sessions.max_lifetime = options.sessions, options.session_lifetime
        self._log_loaded(self.material)
        self.on_change(self.material.generation)

    def _log_loaded(self, using: Material) -> None:
        self.log(f"tls: set {using.generation} in use: {', '.join(material.files(self.options))}")
        for warning in using.warnings:
            self.log(f"tls: {warning}")

    def _check_files(self) -> None:
        """Reloads changed files once they are unchanged between two checks: files are replaced one by one."""
        if not self.options.watch_interval:
            return
        found = material.stamp(self.options)
        unchanged, self._last_stamp = found == self._last_stamp, found
        if found == self.material.stamp or not unchanged:
            return
        try:
            self._apply(self.options)
        except MaterialError as error:
            if self._last_error != (str(error), found):
                self._last_error = (str(error), found)
                self.log(f"tls: {error}; the set before stays in use")

    def counts(self) -> str:
        """Handshakes so far: full, resumed, the share of resumed ones, failed, and declined sessions."""
        done = self.full + self.resumed
        share = self.resumed / done if done else 0.0
        return (
            f"full={self.full} resumed={self.resumed} share={share:.2f} "
            f"failed={self.failed} declined={self.declined}"
        )

    def log_counts(self) -> None:
        """Logs the counts if they have changed."""
        if (counts := self.counts()) != self._logged_counts:
            self._logged_counts = counts
            self.log(f"tls: handshakes {counts}")

    def _remind(self) -> None:
        now, expires_at = datetime.now(UTC), self.material.expires_at
        if expires_at is not None and expires_at - now < timedelta(seconds=self.options.warn_before):
            self.log(f"tls: {material.expiry_warning(self.options.certificate or '', expires_at, now)}")
