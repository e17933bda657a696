"""Reload on SIGHUP. A file is applied completely or not at all; changes that need a restart are logged."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass, replace

from hoistfold.interface import Settings
from standflow.config import Config, ConfigError, load
from standflow.config.model import Address, TlsOptions
from standflow.config.reload import first_missing_key
from standflow.driver import Driver
from standflow.exchange import Exchange
from standflow.net.loop import Loop

# Attributes of Config that a reload does not change and reports. `seed` and `known` matter at a start only.
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
# Clients learn about changed classes at different times, so old and new ones are accepted for this long.
CLASS_OVERLAP_SECONDS = 1.0


@dataclass(slots=True)
class ReloadCallbacks:
    """What a reload needs from the ingress; None for a component that is switched off."""

    move_discovery: Callable[[Address], None] | None
    move_counter: Callable[[Address], None] | None
    reload_tls: Callable[[TlsOptions], None] | None


class Reloading:
    """Holds the configuration in force and applies a new one on SIGHUP."""

    def __init__(
        self,
        loop: Loop,
        log: Callable[[str], None],
        config: Config,
        exchange: Exchange,
        driver: Driver,
        callbacks: ReloadCallbacks,
    ) -> None:
        self.loop, self.log, self.config, self.callbacks = loop, log, config, callbacks
        self.exchange, self.driver = exchange, driver
        self.applied = self.rejected = 0  # configurations read on SIGHUP
        self.class_changes = 0

    def reload(self) -> None:
        """Reads the configuration again. If it is invalid, the error is logged and nothing changes."""
        try:
            config = load(os.environ, self.log)
            if key := first_missing_key(self.config.platform_keys, config.platform_keys):
                raise ConfigError(f"{key}: is missing; the file in force has it")
        except ConfigError as error:
            self.rejected += 1
            self.log(f"reload: {error}; nothing was changed")
            return
        self.applied += 1
        before = self.config
        changed = self._reconfigure(config)
        settings = replace(
            before.settings, classes=config.settings.classes, max_attempts=config.settings.max_attempts
        )
        self.config = replace(
            before,
            discovery=config.discovery,
            counter=config.counter,
            settings=settings,
            platform_keys=config.platform_keys,
            # The platform may time SIGKILL by either file: a shutdown has to be over by the earlier moment.
            longest_deadline=min(before.longest_deadline, config.longest_deadline),
        )
        callbacks = self.callbacks
        if callbacks.move_discovery is not None and config.discovery is not None:
            if config.discovery != before.discovery:
                changed = True
                callbacks.move_discovery(config.discovery)
        elif config.discovery != before.discovery:
            self.log("reload: discovery: takes a restart to change between an address and off")
            self.config = replace(self.config, discovery=before.discovery)
        if config.counter != before.counter:
            changed = True
            if callbacks.move_counter is not None and config.counter is not None:
                callbacks.move_counter(config.counter)
        if callbacks.reload_tls is not None and config.tls is not None:
            changed = True
            callbacks.reload_tls(config.tls)
            self.config = replace(self.config, tls=config.tls)
        elif (callbacks.reload_tls is None) != (config.tls is None):
            self.log("reload: tls: takes a restart to switch on or off")
        for key in RESTART_KEYS:
            if getattr(config, key) != getattr(self.config, key):
                self.log(f"reload: {key}: takes a restart to change; it stays as it was")
        self.log("reload: done" if changed else "reload: nothing to do: all is as it was")

    def _reconfigure(self, config: Config) -> bool:
        """Applies the classes and the number of attempts; true if they differ from those in force."""
        before, after = self.config.settings, config.settings
        if (before.classes, before.max_attempts) == (after.classes, after.max_attempts):
            return False
        known = {kind.name: kind for kind in (*self.driver.settings.classes, *before.classes)}
        settings = replace(before, classes=after.classes, max_attempts=after.max_attempts)
        retiring = self.exchange.reconfigure(config.classes, after.max_attempts)
        dropped = tuple(known[name] for name in retiring if name not in config.classes)
        self.driver.reconfigure(replace(settings, classes=(*after.classes, *dropped)))
        self.class_changes += 1
        self.loop.call_later(CLASS_OVERLAP_SECONDS, self._finish_reconfigure, self.class_changes, settings)
        self.log(f"reload: classes {' '.join(sorted(config.classes))}, attempts {after.max_attempts}")
        return True

    def _finish_reconfigure(self, serial: int, settings: Settings) -> None:
        if serial == self.class_changes:
            self.exchange.finish_reconfigure()
            self.driver.reconfigure(settings)
