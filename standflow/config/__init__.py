"""The one place where configuration is read, checked and given defaults.

`platform.py` reads the JSON that EDGE_CONFIG names. `operators.py` reads the operator's own file, which
STANDFLOW_CONF names; without one, neither it nor the parser that it needs is imported.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from standflow.config.model import Address, Config, ConfigError, HandshakeOptions, NameRule, TlsOptions
from standflow.config.platform import load as load_platform
from standflow.config.platform import read

__all__ = [
    "Address",
    "Config",
    "ConfigError",
    "HandshakeOptions",
    "NameRule",
    "TlsOptions",
    "load",
    "read",
]


def load(environment: Mapping[str, str], log: Callable[[str], None]) -> Config:
    """Reads what the environment points to; ConfigError names the key or the directive at fault."""
    if path := environment.get("STANDFLOW_CONF"):
        from standflow.config.operators import load as load_operators

        return load_operators(path, environment, log)
    return load_platform(environment, log)
