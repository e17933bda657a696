"""Reads and validates the configuration, and fills in defaults. No other package reads it.

`platform.py` reads the JSON file named by EDGE_CONFIG. `operators.py` reads the operator's file named by
STANDFLOW_CONF; it and the parser that it needs are imported only if that is set.
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
    """Loads the configuration named by the environment. ConfigError names the key or directive in error."""
    if path := environment.get("STANDFLOW_CONF"):
        from standflow.config.operators import load as load_operators

        return load_operators(path, environment, log)
    return load_platform(environment, log)
