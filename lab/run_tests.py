"""Runs the test suite: all tests decide the verdict but those of KNOWN-RED.txt, which run after them.

    python -m lab.run_tests [PYTEST ARGUMENT ...]

The arguments go to the run that decides. The exit status is that run's, or 1 where the list is at fault.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from lab.known_red import KnownRed, KnownRedError, load

PYTEST = (sys.executable, "-m", "pytest", "-q", "-p", "lab.known_red")
KNOWN_RED_TIMEOUT_SECONDS = 120  # for all listed tests together; they do not decide, so they may not hang


def _list_names_only_tests_that_exist() -> bool:
    collected = subprocess.run(
        [*PYTEST, "--collect-only", "--known-red", "only"], capture_output=True, text=True, check=False
    )
    if collected.returncode != 0:
        print(collected.stdout, collected.stderr, sep="\n")
    return collected.returncode == 0


def _run_known_red(listed: list[KnownRed]) -> None:
    """Runs the listed tests and prints what became of them."""
    print(f"\nKnown failures, passed over by the run above ({len(listed)}):")
    for known in listed:
        print(f"  {known.test_id}: {known.cause} (issue {known.issue})", flush=True)
    try:
        ran = subprocess.run(
            [*PYTEST, "-rA", "--tb=line", "--show-capture=no", "--known-red", "only"],
            timeout=KNOWN_RED_TIMEOUT_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        print(f"known failures: not finished after {KNOWN_RED_TIMEOUT_SECONDS} s")
        return
    if ran.returncode == 0:
        print("known failures: all passed this time")
    else:
        print(f"known failures: still failing (pytest status {ran.returncode})")


def main(arguments: list[str]) -> int:
    """The exit status."""
    try:
        listed = load(Path.cwd())
    except KnownRedError as error:
        print(error)
        return 1
    if listed and not _list_names_only_tests_that_exist():
        return 1
    verdict = subprocess.run([*PYTEST, "--known-red", "exclude", *arguments], check=False).returncode
    if listed:
        _run_known_red(listed)
    return verdict


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
