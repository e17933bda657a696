"""Prints benchmark results, one figure per line: `name value unit bound holds|fails`."""

from __future__ import annotations

import operator
from collections.abc import Callable

COMPARE: dict[str, Callable[[float, float], bool]] = {
    "<=": operator.le,
    ">=": operator.ge,
    "==": operator.eq,
}


class Report:
    """Prints each figure and checks its bound; `status` is 1 once a bound has failed."""

    def __init__(self) -> None:
        self.status = 0

    def print_figure(self, name: str, value: float, unit: str, bound: str = "-") -> None:
        """Prints one figure. `bound` is a comparison such as `<=1.15`, or `-` if there is none."""
        verdict = "holds"
        if bound != "-":
            sign = bound[:2]
            if not COMPARE[sign](value, float(bound[2:])):
                verdict, self.status = "fails", 1
        print(f"{name} {value:.4g} {unit} {bound} {verdict}", flush=True)
