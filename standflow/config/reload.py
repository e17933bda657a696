"""Checks that a configuration read on reload still has every key of the one in force."""

from __future__ import annotations

from typing import Any

# Optional keys, and those that do not come from the file.
EXEMPT_KEYS = frozenset(("known", "passed", "folder"))


def key_shape(raw: Any) -> Any:
    """The keys of a JSON value without its values; of a list of objects, the keys that all share."""
    if isinstance(raw, dict):
        return {key: key_shape(value) for key, value in raw.items() if key not in EXEMPT_KEYS}
    if isinstance(raw, list) and raw and all(isinstance(one, dict) for one in raw):
        common = set.intersection(*(set(one) for one in raw))
        return [{key: key_shape(raw[0][key]) for key in raw[0] if key in common}]
    return None


def first_missing_key(before: Any, after: Any) -> str:
    """The path of the first key of `before` that `after` lacks, or an empty string."""
    if isinstance(before, dict):
        for key, inner in before.items():
            if not isinstance(after, dict) or key not in after:
                return str(key)
            if path := first_missing_key(inner, after[key]):
                return f"{key}.{path}"
    elif isinstance(before, list):
        for number, one in enumerate(after if isinstance(after, list) else ()):
            if path := first_missing_key(before[0], one):
                return f"[{number}].{path}"
    return ""
