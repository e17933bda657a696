"""The platform's configuration: one JSON object.

EDGE_CONFIG names the JSON file. EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY provide keys that it lacks.
"""

from __future__ import annotations

import json
import math
import resource
from collections.abc import Callable, Iterator, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

from hoistfold import interface as i
from hoistfold.adapter import read_settings
from standflow.config.model import Address, Config, ConfigError
from standflow.config.reload import key_shape
from standflow.net.routes import RouteError, read_address, read_routes
from standflow.route_set import RouteSet

DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
OPS_SOCKETS = 34  # reserved for the operators' API: ops.server.DESCRIPTORS
MIN_USABLE_SOCKETS = 16  # for clients and next hops
MAX_INGRESSES = 10_000
MAX_DEADLINE_US = 86_400e6
RESERVED_SOCKETS = 32  # for the log, epoll, discovery, peers and files opened by the interpreter


class Section(dict[str, Any]):
    """A JSON object that records the last key looked up in any section, to name it in an error."""

    last_key = ""

    def __getitem__(self, key: str) -> Any:
        Section.last_key = key
        value = super().__getitem__(key)
        if isinstance(value, float) and not math.isfinite(value):
            raise ValueError(f"{value} is not a finite number")  # the json module accepts NaN and 1e999
        return value

    def get(self, key: str, default: Any = None) -> Any:
        """Like dict.get, and records the key."""
        Section.last_key = key
        return super().get(key, default)


def load(environment: Mapping[str, str], log: Callable[[str], None]) -> Config:
    """Loads the file named by EDGE_CONFIG. ConfigError names the key in error."""
    raw = parse(environment)
    return replace(read(raw, log), platform_keys=key_shape(raw))


def parse(environment: Mapping[str, str]) -> dict[str, Any]:
    """Parses the file named by EDGE_CONFIG and adds missing keys from the environment."""
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG: is not set")
    try:
        raw = json.loads(Path(path).read_bytes(), object_pairs_hook=Section)
    except OSError as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: invalid JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"EDGE_CONFIG: {path}: not a JSON object")
    for key in ("name", "listen", "discovery"):
        if key not in raw and f"EDGE_{key.upper()}" in environment:
            raw[key] = environment[f"EDGE_{key.upper()}"]
    apply_process_environment(raw, environment)
    return raw


def apply_process_environment(raw: dict[str, Any], environment: Mapping[str, str]) -> None:
    """Applies the environment's settings for this process; two processes of an ingress may share the file.

    A passed socket and its folder are never taken from the file.
    """
    for key in ("passed", "folder"):
        raw.pop(key, None)
    if environment.get("EDGE_OPS"):
        raw["ops"] = environment["EDGE_OPS"]
    if passed := environment.get("EDGE_PASSED_SOCKET"):
        raw["passed"], raw["folder"] = passed, environment.get("TMPDIR")


def read(raw: dict[str, Any], log: Callable[[str], None], static: bool = False) -> Config:
    """Validates a configuration. A static one has no discovery; its `known` routes are used permanently."""
    settings, zones = _settings(raw)
    section = raw["settings"]
    caps, rules = section["Caps"], section["Rules"]
    limits = raw.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: is not an object")
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    sockets = min(int(_number(limits, "sockets", "limits.sockets", 64, 1e7, DEFAULT_SOCKETS)), allowed)
    ops = _address(raw, "ops", optional=True)
    usable = sockets - RESERVED_SOCKETS - (OPS_SOCKETS if ops is not None else 0)
    if usable < MIN_USABLE_SOCKETS:
        raise ConfigError(f"limits.sockets: {sockets} is too few for the enabled features")
    memory = _number(limits, "memory_mb", "limits.memory_mb", 16, 1 << 20, DEFAULT_MEMORY_MB)
    peer_listen = _address(raw, "peer_listen", optional=True)
    peers = tuple(_peers(raw))
    if settings.may_message_peers and peer_listen is not None and len(peers) != settings.gateways:
        raise ConfigError(f"peers: {len(peers)} addresses for {settings.gateways} ingresses")
    counter = _address(raw, "counter", optional=True)
    settings = replace(settings, may_use_counter=settings.may_use_counter and counter is not None)
    return Config(
        name=_text(raw, "name"),
        listen=_required_address(raw, "listen"),
        ops=ops,
        passed_fd=_passed_fd(raw),
        handover_folder=raw.get("folder") if raw.get("passed") else None,
        discovery=None if static else _required_address(raw, "discovery"),
        counter=counter,
        peer_listen=peer_listen,
        peers=peers,
        peers_all=_address(raw, "peers_all", optional=True),
        seed=_seed(raw),
        sockets=sockets,
        memory=int(memory * (1 << 20)),
        max_clients=usable * 55 // 100,
        max_connections=usable * 45 // 100,
        initial_routes=_initial_routes(raw, zones, log),
        settings=settings,
        zones=zones,
        dial_timeout=_time(caps, "DialTimeoutUs", "settings.Caps."),
        # Next hops close idle connections after IdleCloseUs at the latest. Closing them after a third of that
        # makes races between the two unlikely.
        idle_limit=_time(caps, "IdleCloseUs", "settings.Caps.") / 3,
        drain_grace=_time(rules, "DrainGraceUs", "settings.Rules."),
        max_open=int(_number(caps, "MaxOpen", "settings.Caps.MaxOpen", 1, 1e9)),
        longest_deadline=max(kind.deadline for kind in settings.classes),
    )


def _settings(raw: dict[str, Any]) -> tuple[i.Settings, tuple[str, ...]]:
    section = raw.get("settings")
    if not isinstance(section, dict):
        raise ConfigError("settings: is missing or not an object")
    Section.last_key = ""
    try:
        settings = read_settings(section)
        zones = tuple(str(zone) for zone in section["Zones"])
        section["Caps"], section["Rules"]
    except KeyError as error:
        raise ConfigError(
            f"settings: {Section.last_key or error}: is missing or has an unknown value"
        ) from None
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"settings: {Section.last_key}: {error}") from None
    _classes(section)
    if not settings.classes:
        raise ConfigError("settings: Classes: is empty")
    if not settings.plans:
        raise ConfigError("settings: Contracts: is empty")
    if settings.gateways > MAX_INGRESSES:  # state is kept for each
        raise ConfigError(f"settings: Balancers: {settings.gateways} is more than {MAX_INGRESSES}")
    if not 0 <= settings.number < settings.gateways:
        raise ConfigError("settings: Me: is not an ingress number (0 to Balancers - 1)")
    return settings, zones


def _classes(section: dict[str, Any]) -> None:
    """Rejects values that `read_settings` would accept: numbers as strings, booleans, and zero."""
    names = [raw["Name"] for raw in section["Classes"]]
    for raw in section["Classes"]:
        if not isinstance(raw["Name"], str) or not raw["Name"] or names.count(raw["Name"]) > 1:
            raise ConfigError(f"settings: Classes: {raw['Name']!r} is not a name, or is given twice")
        for key in ("AimUs", "DeadlineUs"):
            _number(raw, key, f"settings.Classes.{raw['Name']}.{key}", 1, MAX_DEADLINE_US)
    _number(section["Caps"], "TryLimit", "settings.Caps.TryLimit", 1, 1e6)


def _text(raw: dict[str, Any], key: str) -> str:
    value = raw.get(key)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{key}: is missing or not a string")
    return value


def _address(raw: dict[str, Any], key: str, optional: bool = False) -> Address | None:
    if optional and raw.get(key) is None:
        return None
    try:
        return read_address(_text(raw, key))
    except RouteError as error:
        raise ConfigError(f"{key}: {error}") from None


def _required_address(raw: dict[str, Any], key: str) -> Address:
    address = _address(raw, key)
    assert address is not None
    return address


def _peers(raw: dict[str, Any]) -> Iterator[Address]:
    peers = raw.get("peers", [])
    if not isinstance(peers, list):
        raise ConfigError("peers: is not a list")
    for number, text in enumerate(peers):
        try:
            yield read_address(text)
        except RouteError as error:
            raise ConfigError(f"peers[{number}]: {error}") from None


def _passed_fd(raw: dict[str, Any]) -> int | None:
    text = raw.get("passed")
    if text is None:
        return None
    if not isinstance(text, str) or not text.isdigit() or int(text) > 1 << 20:
        raise ConfigError(f"EDGE_PASSED_SOCKET: {text!r} is not a descriptor")
    return int(text)


def _seed(raw: dict[str, Any]) -> int:
    try:
        return int(_text(raw, "seed"), 16)
    except ValueError:
        raise ConfigError("seed: is missing or not a hexadecimal number") from None


def _initial_routes(
    raw: dict[str, Any], zones: tuple[str, ...], log: Callable[[str], None]
) -> RouteSet | None:
    if raw.get("known") is None:
        return None
    try:
        return read_routes(raw["known"], zones, log)
    except RouteError as error:
        raise ConfigError(f"known: {error}") from None


def _number(
    raw: dict[str, Any], key: str, name: str, minimum: float, maximum: float, default: float | None = None
) -> float:
    value = raw.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ConfigError(f"{name}: is missing or not a number")
    if not minimum <= value <= maximum:
        raise ConfigError(f"{name}: {value:g} is not between {minimum:g} and {maximum:g}")
    return value


def _time(raw: dict[str, Any], key: str, prefix: str) -> float:
    return _number(raw, key, prefix + key, 1, 86_400e6) / 1e6
