"""Reload on SIGHUP. A file is applied completely or, if it is invalid, not at all.

Changes that need a restart are logged.
"""

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
from standflow.isolation import log_fault, run_isolated
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
        self.changed = False  # by the reload that is being applied

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
        except Exception:
            self.rejected += 1
            log_fault(self.log, "of a reload; nothing was changed")
            return
        self.applied += 1
        self._apply(config)

    def _apply(self, config: Config) -> None:
        """Applies each part of a valid configuration. A fault in one of them keeps no other from it."""
        before, self.changed = self.config, False
        self.config = replace(
            before,
            platform_keys=config.platform_keys,
            # The platform may time SIGKILL by either file: a shutdown has to be over by the earlier moment.
            longest_deadline=min(before.longest_deadline, config.longest_deadline),
        )
        steps = (self._apply_classes, self._move_discovery, self._move_counter, self._reload_tls)
        failed = [step for step in steps if not run_isolated(self.log, step, before, config)]
        for key in RESTART_KEYS:
            if getattr(config, key) != getattr(self.config, key):
                self.log(f"reload: {key}: takes a restart to change; it stays as it was")
        if failed:
            self.log("reload: done but for what the faults before name")
        else:
            self.log("reload: done" if self.changed else "reload: nothing to do: all is as it was")

    def _apply_classes(self, before: Config, config: Config) -> None:
        """Applies the classes and the number of attempts if they differ from those in force."""
        classes, max_attempts = config.settings.classes, config.settings.max_attempts
        if (classes, max_attempts) == (before.settings.classes, before.settings.max_attempts):
            return
        self.changed = True
        known = {kind.name: kind for kind in (*self.driver.settings.classes, *before.settings.classes)}
        settings = replace(before.settings, classes=classes, max_attempts=max_attempts)
        retiring = self.exchange.reconfigure(config.classes, max_attempts)
        self.class_changes += 1
        self.loop.call_later(CLASS_OVERLAP_SECONDS, self._finish_reconfigure, self.class_changes, settings)
        dropped = tuple(known[name] for name in retiring if name not in config.classes)
        self.driver.reconfigure(replace(settings, classes=(*classes, *dropped)))
        self.config = replace(self.config, settings=settings)
        self.log(f"reload: classes {' '.join(sorted(config.classes))}, attempts {max_attempts}")

    def _move_discovery(self, before: Config, config: Config) -> None:
        """Moves the watch of discovery to another address."""
        move = self.callbacks.move_discovery
        if config.discovery == before.discovery:
            return
        if move is None or config.discovery is None:
            self.log("reload: discovery: takes a restart to change between an address and off")
            return
        self.changed = True
        self.config = replace(self.config, discovery=config.discovery)
        move(config.discovery)

    def _move_counter(self, before: Config, config: Config) -> None:
        """Sends calls of the counter to another address."""
        if config.counter == before.counter:
            return
        self.changed = True
        self.config = replace(self.config, counter=config.counter)
        if self.callbacks.move_counter is not None and config.counter is not None:
            self.callbacks.move_counter(config.counter)

    def _reload_tls(self, before: Config, config: Config) -> None:
        """Takes up TLS options, and reads the material again even if they are the same."""
        reload_tls = self.callbacks.reload_tls
        if reload_tls is not None and config.tls is not None:
            self.changed = True
            self.config = replace(self.config, tls=config.tls)
            reload_tls(config.tls)
        elif (reload_tls is None) != (config.tls is None):
            self.log("reload: tls: takes a restart to switch on or off")

    def _finish_reconfigure(self, serial: int, settings: Settings) -> None:
        if serial == self.class_changes:
            self.exchange.finish_reconfigure()
            self.driver.reconfigure(settings)
