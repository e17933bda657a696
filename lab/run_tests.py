"""Runs the test suite, then the known failures of KNOWN-RED.txt, which do not affect the exit status.

    python -m lab.run_tests [PYTEST ARGUMENT ...]

The arguments are passed to the run without the known failures. The exit status is that of this run, or 1 if
the list is invalid. Each entry of the list is run by its own command; a benchmark is only printed.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from lab.known_red import FILE_NAME, Kind, KnownRed, KnownRedError, load, missing_targets

PYTEST = (sys.executable, "-m", "pytest", "-q", "-p", "lab.known_red")
KNOWN_RED_TIMEOUT_SECONDS = 120  # for one entry, so that a known failure can't hang the run
SHOWN_OUTPUT_LINES = 12  # of a failing entry


def _check_list(listed: list[KnownRed]) -> str:
    """Describes listed tests that don't exist; empty if all do."""
    if missing := missing_targets(Path.cwd(), listed):
        return f"{FILE_NAME}: no such test: {', '.join(missing)}"
    if all(entry.kind is not Kind.PYTEST for entry in listed):
        return ""
    collected = subprocess.run(
        [*PYTEST, "--collect-only", "--known-red", "only"], capture_output=True, text=True, check=False
    )
    return "" if collected.returncode == 0 else f"{collected.stdout}\n{collected.stderr}"


def _run_entry(entry: KnownRed) -> str:
    """Runs an entry and describes the result."""
    if entry.kind is Kind.BENCH:
        return "not run: benchmarks are run by hand"
    try:
        finished = subprocess.run(
            entry.arguments(),
            timeout=KNOWN_RED_TIMEOUT_SECONDS,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return f"not finished after {KNOWN_RED_TIMEOUT_SECONDS} s"
    except OSError as error:
        return f"could not be started: {error}"
    if finished.returncode == 0:
        return "passed this time"
    output_tail = "\n".join(f"      {line}" for line in finished.stdout.splitlines()[-SHOWN_OUTPUT_LINES:])
    return f"still failing (status {finished.returncode})\n{output_tail}"


def _run_known_red(listed: list[KnownRed]) -> None:
    """Runs the entries and prints the listed failure and the present result of each."""
    print(f"\nKnown failures, excluded from the run above ({len(listed)}):")
    for entry in listed:
        print(f"  {entry.command} (issue {entry.issue})\n    seen: {entry.seen}", flush=True)
        print(f"    now: {_run_entry(entry)}", flush=True)


def main(arguments: list[str]) -> int:
    """Returns the exit status."""
    try:
        listed = load(Path.cwd())
    except KnownRedError as error:
        print(error)
        return 1
    if error_text := _check_list(listed):
        print(error_text)
        return 1
    status = subprocess.run([*PYTEST, "--known-red", "exclude", *arguments], check=False).returncode
    if listed:
        _run_known_red(listed)
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
