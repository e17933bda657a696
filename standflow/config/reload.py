"""What a file that is read anew must still hold: every key of the file in force."""

from __future__ import annotations

from typing import Any

LOOSE = frozenset(("known", "passed", "folder"))  # what may come and go, or is no key of the file


def key_shape(raw: Any) -> Any:
    """The keys of a JSON value, without the values; of a list of named objects the keys that all have."""
    if isinstance(raw, dict):
        return {key: key_shape(value) for key, value in raw.items() if key not in LOOSE}
    if isinstance(raw, list) and raw and all(isinstance(one, dict) for one in raw):
        common = set.intersection(*(set(one) for one in raw))
        return [{key: key_shape(raw[0][key]) for key in raw[0] if key in common}]
    return None


def first_missing_key(before: Any, after: Any) -> str:
    """The path of the first key that the value before has and the one after lacks, or nothing."""
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
