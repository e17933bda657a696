"""The platform's configuration: one JSON object.

EDGE_CONFIG names a JSON file; EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY stand in for keys that it lacks.
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
from standflow.exchange import RouteSet
from standflow.net.routes import RouteError, read_address, read_routes

DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY = 192  # MB
OPS_SOCKETS = 34  # for the operators' calls: ops.server.DESCRIPTORS
LEAST_SOCKETS = 16  # for callers and next hops
MOST_INGRESSES = 10_000
MOST_DEADLINE = 86_400e6  # microseconds
SPARE_SOCKETS = 32  # for the log, the epoll, discovery, peers and what the interpreter opens


class Section(dict[str, Any]):
    """A JSON object that remembers which of its keys was asked for last, so that a fault can be named."""

    last = ""

    def __getitem__(self, key: str) -> Any:
        Section.last = key
        value = super().__getitem__(key)
        if isinstance(value, float) and not math.isfinite(value):
            raise ValueError(f"{value} is no number to reckon with")  # json reads NaN and 1e999
        return value

    def get(self, key: str, default: Any = None) -> Any:
        """As a dict's, remembering the key."""
        Section.last = key
        return super().get(key, default)


def load(environment: Mapping[str, str], log: Callable[[str], None]) -> Config:
    """Reads what the environment points to; ConfigError names the key that is at fault."""
    raw = parse(environment)
    return replace(read(raw, log), platform_keys=key_shape(raw))


def parse(environment: Mapping[str, str]) -> dict[str, Any]:
    """The JSON object that EDGE_CONFIG names, with the keys that it lacks from the environment."""
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG: is not set")
    try:
        raw = json.loads(Path(path).read_bytes(), object_pairs_hook=Section)
    except OSError as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: no JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"EDGE_CONFIG: {path}: no JSON object")
    for key in ("name", "listen", "discovery"):
        if key not in raw and f"EDGE_{key.upper()}" in environment:
            raw[key] = environment[f"EDGE_{key.upper()}"]
    of_process(raw, environment)
    return raw


def of_process(raw: dict[str, Any], environment: Mapping[str, str]) -> None:
    """What belongs to this process alone, where two of one ingress share the file: the environment has it."""
    for key in ("passed", "folder"):
        raw.pop(key, None)
    if environment.get("EDGE_OPS"):
        raw["ops"] = environment["EDGE_OPS"]
    if passed := environment.get("EDGE_PASSED_SOCKET"):
        raw["passed"], raw["folder"] = passed, environment.get("TMPDIR")


def read(raw: dict[str, Any], log: Callable[[str], None], static: bool = False) -> Config:
    """Checks a configuration's keys one by one; a static one has no discovery, its `known` holds for good."""
    settings, zones = _settings(raw)
    section = raw["settings"]
    caps, rules = section["Caps"], section["Rules"]
    limits = raw.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: is not an object")
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    sockets = min(int(_number(limits, "sockets", "limits.sockets", 64, 1e7, DEFAULT_SOCKETS)), allowed)
    ops = _address(raw, "ops", optional=True)
    usable = sockets - SPARE_SOCKETS - (OPS_SOCKETS if ops is not None else 0)
    if usable < LEAST_SOCKETS:
        raise ConfigError(f"limits.sockets: {sockets} is too few for what is switched on")
    memory = _number(limits, "memory_mb", "limits.memory_mb", 16, 1 << 20, DEFAULT_MEMORY)
    peer_listen = _address(raw, "peer_listen", optional=True)
    peers = tuple(_peers(raw))
    if settings.may_tell_peers and peer_listen is not None and len(peers) != settings.gateways:
        raise ConfigError(f"peers: {len(peers)} addresses for {settings.gateways} ingresses")
    counter = _address(raw, "counter", optional=True)
    settings = replace(settings, may_count=settings.may_count and counter is not None)
    return Config(
        name=_text(raw, "name"),
        listen=_required(raw, "listen"),
        ops=ops,
        passed_fd=_passed(raw),
        handover_folder=raw.get("folder") if raw.get("passed") else None,
        discovery=None if static else _required(raw, "discovery"),
        counter=counter,
        peer_listen=peer_listen,
        peers=peers,
        peers_all=_address(raw, "peers_all", optional=True),
        seed=_seed(raw),
        sockets=sockets,
        memory=int(memory * (1 << 20)),
        max_clients=usable * 55 // 100,
        max_connections=usable * 45 // 100,
        initial_routes=_known(raw, zones, log),
        settings=settings,
        zones=zones,
        dial_timeout=_time(caps, "DialTimeoutUs", "settings.Caps."),
        # The other end closes at the latest then; a third of it leaves no race worth having.
        idle_limit=_time(caps, "IdleCloseUs", "settings.Caps.") / 3,
        drain_grace=_time(rules, "DrainGraceUs", "settings.Rules."),
        max_open=int(_number(caps, "MaxOpen", "settings.Caps.MaxOpen", 1, 1e9)),
        longest_deadline=max(kind.deadline for kind in settings.classes),
    )


def _settings(raw: dict[str, Any]) -> tuple[i.Settings, tuple[str, ...]]:
    section = raw.get("settings")
    if not isinstance(section, dict):
        raise ConfigError("settings: is missing or no object")
    Section.last = ""
    try:
        settings = read_settings(section)
        zones = tuple(str(zone) for zone in section["Zones"])
        section["Caps"], section["Rules"]
    except KeyError as error:
        raise ConfigError(f"settings: {Section.last or error}: is missing or has an unknown value") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"settings: {Section.last}: {error}") from None
    _classes(section)
    if not settings.classes:
        raise ConfigError("settings: Classes: is empty")
    if not settings.plans:
        raise ConfigError("settings: Contracts: is empty")
    if settings.gateways > MOST_INGRESSES:  # each is kept a place
        raise ConfigError(f"settings: Balancers: {settings.gateways} is more than {MOST_INGRESSES}")
    if not 0 <= settings.number < settings.gateways:
        raise ConfigError("settings: Me: is not the number of one of the ingresses (Balancers)")
    return settings, zones


def _classes(section: dict[str, Any]) -> None:
    """What a typed setting alone would take: a text, a truth value, nought."""
    names = [raw["Name"] for raw in section["Classes"]]
    for raw in section["Classes"]:
        if not isinstance(raw["Name"], str) or not raw["Name"] or names.count(raw["Name"]) > 1:
            raise ConfigError(f"settings: Classes: {raw['Name']!r} is no name, or stands twice")
        for key in ("AimUs", "DeadlineUs"):
            _number(raw, key, f"settings.Classes.{raw['Name']}.{key}", 1, MOST_DEADLINE)
    _number(section["Caps"], "TryLimit", "settings.Caps.TryLimit", 1, 1e6)


def _text(raw: dict[str, Any], key: str) -> str:
    value = raw.get(key)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{key}: is missing or no text")
    return value


def _address(raw: dict[str, Any], key: str, optional: bool = False) -> Address | None:
    if optional and raw.get(key) is None:
        return None
    try:
        return read_address(_text(raw, key))
    except RouteError as error:
        raise ConfigError(f"{key}: {error}") from None


def _required(raw: dict[str, Any], key: str) -> Address:
    address = _address(raw, key)
    assert address is not None
    return address


def _peers(raw: dict[str, Any]) -> Iterator[Address]:
    peers = raw.get("peers", [])
    if not isinstance(peers, list):
        raise ConfigError("peers: is no list")
    for number, text in enumerate(peers):
        try:
            yield read_address(text)
        except RouteError as error:
            raise ConfigError(f"peers[{number}]: {error}") from None


def _passed(raw: dict[str, Any]) -> int | None:
    text = raw.get("passed")
    if text is None:
        return None
    if not isinstance(text, str) or not text.isdigit() or int(text) > 1 << 20:
        raise ConfigError(f"EDGE_PASSED_SOCKET: {text!r} is no descriptor")
    return int(text)


def _seed(raw: dict[str, Any]) -> int:
    try:
        return int(_text(raw, "seed"), 16)
    except ValueError:
        raise ConfigError("seed: is missing or no hexadecimal number") from None


def _known(raw: dict[str, Any], zones: tuple[str, ...], log: Callable[[str], None]) -> RouteSet | None:
    if raw.get("known") is None:
        return None
    try:
        return read_routes(raw["known"], zones, log)
    except RouteError as error:
        raise ConfigError(f"known: {error}") from None


def _number(
    raw: dict[str, Any], key: str, name: str, least: float, most: float, default: float | None = None
) -> float:
    value = raw.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ConfigError(f"{name}: is missing or no number")
    if not least <= value <= most:
        raise ConfigError(f"{name}: {value:g} is not within {least:g} and {most:g}")
    return value


def _time(raw: dict[str, Any], key: str, place: str) -> float:
    return _number(raw, key, place + key, 1, 86_400e6) / 1e6
