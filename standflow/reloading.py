"""SIGHUP: the configuration read anew. A file is taken whole or not at all; what needs a restart is named."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass, replace

from hoistfold.interface import Settings
from standflow.config import Config, ConfigError, load
from standflow.config.model import Address, TlsOptions
from standflow.config.reload import missing
from standflow.driver import Driver
from standflow.exchange import Exchange
from standflow.net.loop import Loop

# What a reload names as left alone; `seed` and `known` concern a start only.
RESTART_KEYS = (
    "name",
    "listen",
    "ops",
    "peer_listen",
    "peers",
    "peers_all",
    "settings",
    "sockets",
    "handshakes",
    "witness",
    "fleet",
)
CLASS_OVERLAP_SECONDS = 1.0  # seconds in which callers learn of other classes; until then both are taken


@dataclass(slots=True)
class ReloadCallbacks:
    """What a reload asks of the ingress; None where a part is switched off."""

    move_discovery: Callable[[Address], None] | None
    move_counter: Callable[[Address], None] | None
    reload_tls: Callable[[TlsOptions], None] | None


class Reloading:
    """The configuration in force, and what SIGHUP makes of it."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        config: Config,
        exchange: Exchange,
        driver: Driver,
        parts: ReloadCallbacks,
    ) -> None:
        self.loop, self.log, self.config, self.callbacks = loop, log, config, parts
        self.exchange, self.driver = exchange, driver
        self.applied = self.rejected = 0  # files at SIGHUP
        self.class_changes = 0

    def reload(self) -> None:
        """SIGHUP: reads the configuration anew; what can't be used is named, and all stays as it was."""
        try:
            config = load(os.environ, self.log)
            if key := missing(self.config.keys, config.keys):
                raise ConfigError(f"{key}: is missing; the file in force has it")
        except ConfigError as error:
            self.rejected += 1
            self.log(f"reload: {error}; nothing was changed")
            return
        self.applied += 1
        before = self.config
        moved = self._reconfigure(config)
        settings = replace(
            before.settings, classes=config.settings.classes, max_attempts=config.settings.max_attempts
        )
        self.config = replace(
            before,
            discovery=config.discovery,
            counter=config.counter,
            settings=settings,
            keys=config.keys,
            # Whoever sends SIGKILL may go by either file: a shutdown has to be over by the earlier moment.
            longest_deadline=min(before.longest_deadline, config.longest_deadline),
        )
        parts = self.callbacks
        if parts.move_discovery is not None and config.discovery is not None:
            if config.discovery != before.discovery:
                moved = True
                parts.move_discovery(config.discovery)
        elif config.discovery != before.discovery:
            self.log("reload: discovery: takes a restart to change between an address and off")
            self.config = replace(self.config, discovery=before.discovery)
        if config.counter != before.counter:
            moved = True
            if parts.move_counter is not None and config.counter is not None:
                parts.move_counter(config.counter)
        if parts.reload_tls is not None and config.tls is not None:
            moved = True
            parts.reload_tls(config.tls)
            self.config = replace(self.config, tls=config.tls)
        elif (parts.reload_tls is None) != (config.tls is None):
            self.log("reload: tls: takes a restart to switch on or off")
        for key in RESTART_KEYS:
            if getattr(config, key) != getattr(self.config, key):
                self.log(f"reload: {key}: takes a restart to change; it stays as it was")
        self.log("reload: done" if moved else "reload: nothing to do: all is as it was")

    def _reconfigure(self, config: Config) -> bool:
        """Takes up classes and the number of attempts; true where they are others."""
        before, after = self.config.settings, config.settings
        if (before.classes, before.max_attempts) == (after.classes, after.max_attempts):
            return False
        known = {kind.name: kind for kind in (*self.driver.settings.classes, *before.classes)}
        settings = replace(before, classes=after.classes, max_attempts=after.max_attempts)
        leaving = self.exchange.reconfigure(config.classes, after.max_attempts)
        dropped = tuple(known[name] for name in leaving if name not in config.classes)
        self.driver.reconfigure(replace(settings, classes=(*after.classes, *dropped)))
        self.class_changes += 1
        self.loop.call_later(CLASS_OVERLAP_SECONDS, self._finish_reconfigure, self.class_changes, settings)
        self.log(f"reload: classes {' '.join(sorted(config.classes))}, attempts {after.max_attempts}")
        return True

    def _finish_reconfigure(self, serial: int, settings: Settings) -> None:
        if serial == self.class_changes:
            self.exchange.finish_reconfigure()
            self.driver.reconfigure(settings)
