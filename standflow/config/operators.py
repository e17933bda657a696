"""The operator's own file, deploy/standflow.conf: checked against directives.py, ending in a Config.

What it says is laid over the platform's JSON where there is one, and stands for it where there is none; the
checks of `platform.read` hold for both.
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
    StoreOptions,
    TlsOptions,
    WitnessOptions,
)
from standflow.config.platform import of_process
from standflow.config.platform import parse as parse_platform
from standflow.config.platform import read as read_platform
from standflow.config.reload import shape
from standflow.config.schema import Block, Given, Reader, is_host
from standflow.config.text import FileFaultError, Statement, Word, read_file
from standflow.net.peers import NO_ADDRESS
from standflow.net.routes import read_address

FIELDS = ("id", "zone", "kind")
# Directives of the first level that are keys of the platform's JSON as they stand.
PLAIN = {
    "name": "name",
    "listen": "listen",
    "discovery": "discovery",
    "ops": "ops",
    "counter": "counter",
    "peer-listen": "peer_listen",
    "peers-all": "peers_all",
    "seed": "seed",
}
CAPS: dict[str, tuple[str, Callable[[Any], Any]]] = {
    "attempts": ("TryLimit", int),
    "open": ("MaxOpen", int),
    "dial-timeout": ("DialTimeoutUs", lambda v: _us(v)),
    "idle": ("IdleCloseUs", lambda v: _us(v)),
    "retry-after": ("MaxRetryAfterUs", lambda v: _us(v)),
    "probes": ("Probes", bool),
    "second-copies": ("SecondCopies", bool),
}
RULES: dict[str, tuple[str, Callable[[Any], Any]]] = {
    "from": ("ColdFrom", float),
    "time": ("ColdUs", lambda v: _us(v)),
    "multiple": ("FallMultiple", float),
    "window": ("OverloadForUs", lambda v: _us(v)),
}


def _us(value: float) -> int:
    return round(value * 1e6)


def read_statements(statements: tuple[Statement, ...], file: str, over: bool = False) -> Block:
    """The directives in force; FileFaultError holds every fault. `over`: the platform's JSON lies below."""
    reader = Reader(file)
    block = reader.block(TOP, statements, "", Word("", 1, 1))
    _check(reader, statements, block, over or block.has("platform"))
    if reader.faults:
        raise FileFaultError(reader.faults)
    return block


def read_block(path: str, environment: Mapping[str, str]) -> Block:
    """The directives in force in a file."""
    return read_statements(read_file(path), path, "EDGE_CONFIG" in environment)


def load(path: str, environment: Mapping[str, str], log: Callable[[str], None]) -> Config:
    """The configuration of a file, over the platform's where the file or EDGE_CONFIG names one."""
    return configure(read_block(path, environment), path, environment, log)


def configure(block: Block, path: str, environment: Mapping[str, str], log: Callable[[str], None]) -> Config:
    """The checked configuration of what is in force; relative paths count from the file's folder."""
    folder = Path(path).resolve().parent
    json_path = block.value("platform") or environment.get("EDGE_CONFIG")
    if json_path is not None:
        given = str(folder / json_path) if block.value("platform") else json_path
        raw = parse_platform({**environment, "EDGE_CONFIG": given})
        over, keys = True, shape(raw)
    else:
        raw, over, keys = _empty(), False, None
    static = block.value("discovery") == "off" and (block.has("discovery") or not over)
    _overlay(raw, block, over)
    of_process(raw, environment)
    raw.setdefault("seed", secrets.token_hex(8))
    fleet = block.block("fleet")
    seeds = () if fleet is None else tuple(read_address(one.values[0]) for one in fleet.all("seed"))
    if seeds and not raw.get("peers"):  # who is there is told by the view, and where
        raw["peers"] = [raw.get("peer_listen")] * raw["settings"]["Balancers"]
    try:
        config = read_platform(raw, log, static)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None
    tls = block.block("tls")
    handshakes = block.block("handshakes")
    witness, limits = block.block("witness"), block.block("limits")
    if witness is not None and config.counter is None:
        raise ConfigError(f"{path}: witness: needs a counter; expected 'counter <address and port>'")
    if fleet is not None and config.peer_listen is None:
        raise ConfigError(f"{path}: fleet: needs datagrams; expected 'peer-listen <address and port>'")
    limited = (
        handshakes is not None
        and handshakes.value("limit")
        and (tls is not None or handshakes.value("plain"))
    )
    return replace(
        config,
        keys=keys,
        tls=None if tls is None else _tls(tls, folder),
        handshakes=_handshakes(handshakes) if handshakes is not None and limited else None,
        witness=None if witness is None else _witness(witness),
        store=_store(block.block("store"), folder),
        fleet=None if fleet is None else FleetOptions(fleet.value("name"), seeds),
        peers=(NO_ADDRESS,) * config.settings.gateways if seeds else config.peers,
        settings=replace(config.settings, witness=witness is not None, membership=fleet is not None),
        max_unread=limits.value("unread") if limits is not None else config.max_unread,
    )


def _store(block: Block | None, folder: Path) -> StoreOptions | None:
    if block is None:
        return None
    return StoreOptions(folder / block.value("folder"), block.value("every"), block.value("most"))


def _empty() -> dict[str, Any]:
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


def _overlay(raw: dict[str, Any], block: Block, over: bool) -> None:
    """Writes into the JSON's form what the file says; its defaults only where nothing else says it."""

    def tells(part: Block | None, name: str) -> bool:
        return part is not None and bool(part.all(name)) and (not over or part.has(name))

    for name, key in PLAIN.items():
        if tells(block, name):
            raw[key] = block.value(name)
    for name, key, unit in (("sockets", "sockets", 1), ("memory", "memory_mb", 1 << 20)):
        if tells(block, name):
            raw["limits"] = {**raw.get("limits", {}), key: block.value(name) / unit}
    if block.all("peer"):
        raw["peers"] = [one.values[0] for one in block.all("peer")]
    settings = raw.get("settings")
    if not isinstance(settings, dict):
        return  # the platform's check names it
    for name, key in {"number": "Me", "ingresses": "Balancers", "zone": "Az"}.items():
        if tells(block, name):
            settings[key] = block.value(name)
    if tells(block, "zones"):
        settings["Zones"] = list(block.values("zones"))
    if block.all("class"):
        settings["Classes"] = [_class(one) for one in block.all("class")]
    if block.all("plan"):
        settings["Contracts"] = [_plan(one) for one in block.all("plan")]
    limits, cold = block.block("limits"), block.block("cold")
    caps, rules, family = (settings.setdefault(key, {}) for key in ("Caps", "Rules", "FamilyInfo"))
    for table, part, target in ((CAPS, limits, caps), (RULES, cold, rules)):
        for name, (key, write) in table.items():
            if part is not None and tells(part, name):
                target[key] = write(part.value(name))
    if limits is not None:
        if tells(limits, "retry-after"):
            caps["RetryAfter"] = limits.value("retry-after") > 0
        if tells(limits, "drain-grace"):
            rules["DrainGraceUs"] = _us(limits.value("drain-grace"))
        if tells(limits, "units"):
            family["MostUnits"] = limits.value("units")
        if tells(limits, "peer-messages"):
            family["PeerIntake"] = limits.value("peer-messages")
            caps["PeerMessages"] = limits.value("peer-messages") > 0
    if block.all("next-hop"):
        members = [_member(one) for one in block.all("next-hop")]
        raw["known"] = {"revision": 0, "complete": True, "members": members}


def _class(given: Given) -> dict[str, Any]:
    block = given.block
    assert block is not None
    return {
        "Name": given.values[0],
        "AimUs": _us(block.value("aim")),
        "DeadlineUs": _us(block.value("deadline")),
        "Effect": "read_like" if block.value("effect") == "safe" else "non_idempotent",
        "DedupScope": "all",
        "WindowUs": 5_000_000,
        "Value": block.value("worth"),
        "LateWorth": block.value("late-worth"),
        "Stream": False,
    }


def _plan(given: Given) -> dict[str, Any]:
    block = given.block
    assert block is not None
    return {
        "Name": given.values[0],
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


def _member(given: Given) -> dict[str, Any]:
    block = given.block
    assert block is not None
    return {
        "id": given.values[0],
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
        minimum=block.value("minimum"),
        alpn=block.values("alpn"),
        names={one.values[0]: one.values[1] for one in block.all("name")},
        rules=tuple(_rule(one) for one in block.all("names")),
        handshake_timeout=block.value("handshake-timeout"),
        sessions=block.value("sessions"),
        session_life=block.value("session-life"),
        watch=block.value("watch"),
        warn=block.value("warn"),
    )


def _rule(given: Given) -> NameRule:
    template, *pairs = given.values
    globs = dict(zip(pairs[::2], pairs[1::2], strict=True))
    return NameRule(template, globs.get("id", "*"), globs.get("zone", "*"), globs.get("kind", "*"))


def _handshakes(block: Block) -> HandshakeOptions:
    return HandshakeOptions(
        share=block.value("share"),
        warm_share=block.value("warm-share"),
        cores={one.values[0]: one.values[1] for one in block.all("cores")},
        cost=block.value("cost"),
        resumed_cost=block.value("resumed-cost"),
        back_off=(block.values("back-off")[0], block.values("back-off")[1]),
        ready=block.value("ready"),
        plain=block.value("plain"),
    )


def _witness(block: Block) -> WitnessOptions:
    return WitnessOptions(block.value("calls"), block.value("every"), block.value("near"))


# What no single directive can tell.


def _check(reader: Reader, statements: tuple[Statement, ...], block: Block, over: bool) -> None:
    for name in ("class", "plan"):
        if not over and not any(statement.name.text == name for statement in statements):
            reader.fault(Word("", 1, 1), name, f"is needed; expected '{name} <text>' and a block")
    for statement in statements:
        if statement.name.text == "tls" and statement.block is not None:
            _check_tls(reader, statement, block.block("tls"))
    for name in ("class", "plan", "next-hop"):
        seen: set[str] = set()
        for statement in statements:
            if statement.name.text == name and statement.values:
                word = statement.values[0]
                if word.text in seen:
                    reader.fault(word, name, f"'{word.text}' stands twice")
                seen.add(word.text)
    number, among = block.value("number"), block.value("ingresses")
    if number is not None and among is not None and number >= among:
        at = next((s.name for s in statements if s.name.text in ("number", "ingresses")), Word("", 1, 1))
        reader.fault(at, "number", f"{number} of {among} ingresses; they count from 0")


def _check_tls(reader: Reader, statement: Statement, block: Block | None) -> None:
    inner = statement.block or ()
    present = {one.name.text: one.name for one in inner}
    for name, other in (("certificate", "key"), ("key", "certificate")):
        if name in present and other not in present:
            reader.fault(present[name], f"tls.{name}", f"needs tls.{other} beside it")
    if "name" not in present and "names" not in present:
        fault = "is needed; expected which names next hops must prove, such as 'names {id}.example.org'"
        reader.fault(statement.name, "tls.names", fault)
    for one in inner:
        if one.name.text == "names" and one.values:
            _check_rule(reader, one)
    ids = [one.values[0] for one in inner if one.name.text == "name" and one.values]
    for place, word in enumerate(ids):
        if word.text in [other.text for other in ids[:place]]:
            reader.fault(word, "tls.name", f"'{word.text}' stands twice")


def _check_rule(reader: Reader, statement: Statement) -> None:
    template, pairs = statement.values[0], statement.values[1:]
    try:
        parts = [(field, spec or turn) for _, field, spec, turn in string.Formatter().parse(template.text)]
        fitting = all(field is None or (field in FIELDS and not odd) for field, odd in parts)
    except ValueError:
        fitting = False
    sample = template.text.format(**dict.fromkeys(FIELDS, "a")) if fitting else ""
    if not fitting or not is_host(sample):
        reader.fault(
            template, "tls.names", f"'{template.text}': expected a DNS name with {{id}}, {{zone}}, {{kind}}"
        )
    if len(pairs) % 2:
        reader.fault(
            pairs[-1], "tls.names", f"'{pairs[-1].text}': expected pairs of id, zone or kind and a pattern"
        )
    for word in pairs[: len(pairs) // 2 * 2 : 2]:
        if word.text not in FIELDS:
            reader.fault(word, "tls.names", f"'{word.text}': expected id, zone or kind")
