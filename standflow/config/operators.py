"""Loads the operator's file (deploy/standflow.conf), validated against directives.py, into a Config.

Its directives are written over the platform's JSON, or over a default one if there is none. Either way
`platform.read` validates the result.
"""

from __future__ import annotations

import os
import secrets
import string
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

from standflow.config.directives import TOP
from standflow.config.model import (
    Config,
    ConfigError,
    FleetOptions,
    HandshakeOptions,
    NameRule,
    ReconciliationOptions,
    StoreOptions,
    TlsOptions,
)
from standflow.config.platform import apply_process_environment
from standflow.config.platform import parse as parse_platform
from standflow.config.platform import read as read_platform
from standflow.config.reload import key_shape
from standflow.config.schema import Block, Setting, Validator, is_host
from standflow.config.text import ConfigFileError, Statement, Word, read_file
from standflow.net.peers import NO_ADDRESS
from standflow.net.routes import read_address

TEMPLATE_FIELDS = ("id", "zone", "kind")
# Top-level directives, and the keys of the platform's JSON that take their values unchanged.
PLATFORM_KEYS = {
    "name": "name",
    "listen": "listen",
    "discovery": "discovery",
    "ops": "ops",
    "counter": "counter",
    "peer-listen": "peer_listen",
    "peers-all": "peers_all",
    "seed": "seed",
}
CAPS_KEYS: dict[str, tuple[str, Callable[[Any], Any]]] = {
    "attempts": ("TryLimit", int),
    "open": ("MaxOpen", int),
    "dial-timeout": ("DialTimeoutUs", lambda v: _microseconds(v)),
    "idle": ("IdleCloseUs", lambda v: _microseconds(v)),
    "retry-after": ("MaxRetryAfterUs", lambda v: _microseconds(v)),
    "probes": ("Probes", bool),
    "second-copies": ("SecondCopies", bool),
}
RULES_KEYS: dict[str, tuple[str, Callable[[Any], Any]]] = {
    "from": ("ColdFrom", float),
    "time": ("ColdUs", lambda v: _microseconds(v)),
    "multiple": ("FallMultiple", float),
    "window": ("OverloadForUs", lambda v: _microseconds(v)),
}


def _microseconds(value: float) -> int:
    return round(value * 1e6)


def read_statements(statements: tuple[Statement, ...], file: str, has_platform: bool = False) -> Block:
    """The settings in force. Raises ConfigFileError with all errors.

    `has_platform`: the platform's JSON provides what the file does not.
    """
    validator = Validator(file)
    block = validator.block(TOP, statements, "", Word("", 1, 1))
    _check(validator, statements, block, has_platform or block.has("platform"))
    if validator.errors:
        raise ConfigFileError(validator.errors)
    return block


def read_block(path: str, environment: Mapping[str, str]) -> Block:
    """The settings in force according to a file."""
    return read_statements(read_file(path), path, "EDGE_CONFIG" in environment)


def load(path: str, environment: Mapping[str, str], log: Callable[[str], None]) -> Config:
    """Loads a file, over the platform's JSON if the file or EDGE_CONFIG names one."""
    return configure(read_block(path, environment), path, environment, log)


def configure(block: Block, path: str, environment: Mapping[str, str], log: Callable[[str], None]) -> Config:
    """Converts settings into a validated configuration. Relative paths are relative to the file's folder."""
    folder = Path(path).resolve().parent
    json_path = block.value("platform") or environment.get("EDGE_CONFIG")
    if json_path is not None:
        full_path = str(folder / json_path) if block.value("platform") else json_path
        raw = parse_platform({**environment, "EDGE_CONFIG": full_path})
        has_platform, platform_keys = True, key_shape(raw)
    else:
        raw, has_platform, platform_keys = _default_platform(), False, None
    static = block.value("discovery") == "off" and (block.has("discovery") or not has_platform)
    _overlay(raw, block, has_platform)
    apply_process_environment(raw, environment)
    raw.setdefault("seed", secrets.token_hex(8))
    fleet = block.block("fleet")
    seeds = () if fleet is None else tuple(read_address(one.values[0]) for one in fleet.all("seed"))
    if seeds and not raw.get("peers"):  # membership provides the addresses
        raw["peers"] = [raw.get("peer_listen")] * raw["settings"]["Balancers"]
    try:
        config = read_platform(raw, log, static)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None
    tls = block.block("tls")
    handshakes = block.block("handshakes")
    reconciliation, limits = block.block("witness"), block.block("limits")
    if reconciliation is not None and config.counter is None:
        raise ConfigError(f"{path}: witness: requires a counter; expected 'counter <address and port>'")
    if fleet is not None and config.peer_listen is None:
        raise ConfigError(f"{path}: fleet: needs datagrams; expected 'peer-listen <address and port>'")
    limit_handshakes = (
        handshakes is not None
        and handshakes.value("limit")
        and (tls is not None or handshakes.value("plain"))
    )
    return replace(
        config,
        platform_keys=platform_keys,
        tls=None if tls is None else _tls(tls, folder),
        handshakes=_handshakes(handshakes) if handshakes is not None and limit_handshakes else None,
        witness=None if reconciliation is None else _reconciliation(reconciliation),
        store=_store(block.block("store"), folder),
        fleet=None if fleet is None else FleetOptions(fleet.value("name"), seeds),
        peers=(NO_ADDRESS,) * config.settings.gateways if seeds else config.peers,
        settings=replace(
            config.settings, counter_reconciliation=reconciliation is not None, membership=fleet is not None
        ),
        max_unread_bytes=limits.value("unread") if limits is not None else config.max_unread_bytes,
    )


def _store(block: Block | None, folder: Path) -> StoreOptions | None:
    if block is None:
        return None
    return StoreOptions(folder / block.value("folder"), block.value("every"), block.value("most"))


def _default_platform() -> dict[str, Any]:
    caps = {"Cancel": True}
    family = {"Settles": False}
    prices = {"CrossZone": 0.0072, "Waste": 0.058, "LateFail": 0.1, "Probe": 0.01, "Peer": 0.02}
    settings = {
        "TickUs": 4000,
        "Discovery": "pushed",
        "Weights": "nominal",
        "Feedback": {"Via": "off", "Fields": []},
        "Classes": [],
        "Contracts": [],
        "Caps": caps,
        "FamilyInfo": family,
        "Rules": {"AskWithinUs": 10_000_000},
        "Prices": prices,
    }
    return {"settings": settings}


def _overlay(raw: dict[str, Any], block: Block, has_platform: bool) -> None:
    """Writes the settings into the platform's JSON; defaults only if there is no platform file."""

    def applies(part: Block | None, name: str) -> bool:
        return part is not None and bool(part.all(name)) and (not has_platform or part.has(name))

    for name, key in PLATFORM_KEYS.items():
        if applies(block, name):
            raw[key] = block.value(name)
    for name, key, unit in (("sockets", "sockets", 1), ("memory", "memory_mb", 1 << 20)):
        if applies(block, name):
            raw["limits"] = {**raw.get("limits", {}), key: block.value(name) / unit}
    if block.all("peer"):
        raw["peers"] = [one.values[0] for one in block.all("peer")]
    settings = raw.get("settings")
    if not isinstance(settings, dict):
        return  # reported by platform.read
    for name, key in {"number": "Me", "ingresses": "Balancers", "zone": "Az"}.items():
        if applies(block, name):
            settings[key] = block.value(name)
    if applies(block, "zones"):
        settings["Zones"] = list(block.values("zones"))
    if block.all("class"):
        settings["Classes"] = [_class(one) for one in block.all("class")]
    if block.all("plan"):
        settings["Contracts"] = [_plan(one) for one in block.all("plan")]
    limits, cold = block.block("limits"), block.block("cold")
    caps, rules, family = (settings.setdefault(key, {}) for key in ("Caps", "Rules", "FamilyInfo"))
    for table, part, target in ((CAPS_KEYS, limits, caps), (RULES_KEYS, cold, rules)):
        for name, (key, write) in table.items():
            if part is not None and applies(part, name):
                target[key] = write(part.value(name))
    if limits is not None:
        if applies(limits, "retry-after"):
            caps["RetryAfter"] = limits.value("retry-after") > 0
        if applies(limits, "drain-grace"):
            rules["DrainGraceUs"] = _microseconds(limits.value("drain-grace"))
        if applies(limits, "units"):
            family["MostUnits"] = limits.value("units")
        if applies(limits, "peer-messages"):
            family["PeerIntake"] = limits.value("peer-messages")
            caps["PeerMessages"] = limits.value("peer-messages") > 0
    if block.all("next-hop"):
        members = [_member(one) for one in block.all("next-hop")]
        raw["known"] = {"revision": 0, "complete": True, "members": members}


def _class(setting: Setting) -> dict[str, Any]:
    block = setting.block
    assert block is not None
    return {
        "Name": setting.values[0],
        "AimUs": _microseconds(block.value("aim")),
        "DeadlineUs": _microseconds(block.value("deadline")),
        "Effect": "read_like" if block.value("effect") == "safe" else "non_idempotent",
        "DedupScope": "all",
        "WindowUs": 5_000_000,
        "Value": block.value("worth"),
        "LateWorth": block.value("late-worth"),
        "Stream": False,
    }


def _plan(setting: Setting) -> dict[str, Any]:
    block = setting.block
    assert block is not None
    return {
        "Name": setting.values[0],
        "Rate": block.value("rate"),
        "PeakUnits": block.value("burst"),
        "Parallel": block.value("open"),
        "ValueFactor": block.value("price"),
        "ExtraWorth": block.value("excess-worth"),
        "ExcessCost": block.value("excess-cost"),
        "CeilingRate": block.value("ceiling-rate"),
        "CeilingBurst": block.value("ceiling-burst"),
        "CeilingSlack": 0,
    }


def _member(setting: Setting) -> dict[str, Any]:
    block = setting.block
    assert block is not None
    return {
        "id": setting.values[0],
        "host_port": block.value("address"),
        "locality": block.value("zone"),
        "flavor": block.value("kind"),
        "phase": "SERVING",
        "size": block.value("size"),
    }


def _tls(block: Block, folder: Path) -> TlsOptions:
    def path(name: str) -> str | None:
        value = block.value(name)
        return None if value is None else os.fspath(folder / value)

    roots = path("roots")
    assert roots is not None
    return TlsOptions(
        roots=roots,
        certificate=path("certificate"),
        key=path("key"),
        key_mode=block.value("key-mode"),
        min_version=block.value("minimum"),
        alpn=block.values("alpn"),
        names={one.values[0]: one.values[1] for one in block.all("name")},
        name_rules=tuple(_rule(one) for one in block.all("names")),
        handshake_timeout=block.value("handshake-timeout"),
        sessions=block.value("sessions"),
        session_lifetime=block.value("session-life"),
        watch_interval=block.value("watch"),
        warn_before=block.value("warn"),
    )


def _rule(setting: Setting) -> NameRule:
    template, *pairs = setting.values
    globs = dict(zip(pairs[::2], pairs[1::2], strict=True))
    return NameRule(template, globs.get("id", "*"), globs.get("zone", "*"), globs.get("kind", "*"))


def _handshakes(block: Block) -> HandshakeOptions:
    return HandshakeOptions(
        cold_share=block.value("share"),
        warm_share=block.value("warm-share"),
        cores={one.values[0]: one.values[1] for one in block.all("cores")},
        cost=block.value("cost"),
        resumed_cost=block.value("resumed-cost"),
        back_off=(block.values("back-off")[0], block.values("back-off")[1]),
        ready_connections=block.value("ready"),
        limit_plain=block.value("plain"),
    )


def _reconciliation(block: Block) -> ReconciliationOptions:
    return ReconciliationOptions(block.value("calls"), block.value("every"), block.value("near"))


# Checks that involve more than one directive.


def _check(validator: Validator, statements: tuple[Statement, ...], block: Block, has_platform: bool) -> None:
    for name in ("class", "plan"):
        if not has_platform and not any(statement.name.text == name for statement in statements):
            validator.add_error(Word("", 1, 1), name, f"is required; expected '{name} <text>' and a block")
    for statement in statements:
        if statement.name.text == "tls" and statement.block is not None:
            _check_tls(validator, statement, block.block("tls"))
    for name in ("class", "plan", "next-hop"):
        seen: set[str] = set()
        for statement in statements:
            if statement.name.text == name and statement.values:
                word = statement.values[0]
                if word.text in seen:
                    validator.add_error(word, name, f"'{word.text}' is defined twice")
                seen.add(word.text)
    number, ingresses = block.value("number"), block.value("ingresses")
    if number is not None and ingresses is not None and number >= ingresses:
        at = next((s.name for s in statements if s.name.text in ("number", "ingresses")), Word("", 1, 1))
        validator.add_error(
            at, "number", f"{number} is too high for {ingresses} ingresses; numbers start at 0"
        )


def _check_tls(validator: Validator, statement: Statement, block: Block | None) -> None:
    inner = statement.block or ()
    present = {one.name.text: one.name for one in inner}
    for name, other in (("certificate", "key"), ("key", "certificate")):
        if name in present and other not in present:
            validator.add_error(present[name], f"tls.{name}", f"requires tls.{other} as well")
    if "name" not in present and "names" not in present:
        message = "is required; expected the certificate names of next hops, such as 'names {id}.example.org'"
        validator.add_error(statement.name, "tls.names", message)
    for one in inner:
        if one.name.text == "names" and one.values:
            _check_name_rule(validator, one)
    ids = [one.values[0] for one in inner if one.name.text == "name" and one.values]
    for index, word in enumerate(ids):
        if word.text in [other.text for other in ids[:index]]:
            validator.add_error(word, "tls.name", f"'{word.text}' is defined twice")


def _check_name_rule(validator: Validator, statement: Statement) -> None:
    template, pairs = statement.values[0], statement.values[1:]
    try:
        parts = [
            (field, spec or conversion)
            for _, field, spec, conversion in string.Formatter().parse(template.text)
        ]
        valid = all(field is None or (field in TEMPLATE_FIELDS and not extra) for field, extra in parts)
    except ValueError:
        valid = False
    sample = template.text.format(**dict.fromkeys(TEMPLATE_FIELDS, "a")) if valid else ""
    if not valid or not is_host(sample):
        validator.add_error(
            template, "tls.names", f"'{template.text}': expected a DNS name with {{id}}, {{zone}}, {{kind}}"
        )
    if len(pairs) % 2:
        validator.add_error(
            pairs[-1], "tls.names", f"'{pairs[-1].text}': expected pairs of id, zone or kind and a pattern"
        )
    for word in pairs[: len(pairs) // 2 * 2 : 2]:
        if word.text not in TEMPLATE_FIELDS:
            validator.add_error(word, "tls.names", f"'{word.text}': expected id, zone or kind")
