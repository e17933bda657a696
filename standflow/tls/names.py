"""Selects the host name that a next hop's certificate must prove. No I/O."""

from __future__ import annotations

from fnmatch import fnmatchcase

from standflow.config.model import TlsOptions
from standflow.config.schema import is_host


def name_for(options: TlsOptions, hop: str, zone: str, kind: str) -> str | None:
    """Returns the expected name, or None if there is none and the next hop can't be used.

    The exact table is searched first, then the rules in the order of the file. Only a DNS name in the
    certificate's subjectAltName counts, where `*` may stand for the whole leftmost label (RFC 9525, 6.3).
    """
    exact = options.names.get(hop)
    if exact is not None:
        return exact
    for rule in options.name_rules:
        if fnmatchcase(hop, rule.hop) and fnmatchcase(zone, rule.zone) and fnmatchcase(kind, rule.kind):
            name = rule.template.format(id=hop, zone=zone, kind=kind).lower()
            return name if is_host(name) else None
    return None
