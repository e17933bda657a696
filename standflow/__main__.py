"""The entry point of one ingress. Signals are handled before the other imports, which take 0.1 to 0.2 s."""

from __future__ import annotations

import sys

from standflow.signals import SignalInbox


def main() -> int:
    """Runs one ingress; returns 2 if the configuration is invalid."""
    inbox = SignalInbox()
    from standflow.program import run

    return run(inbox)


if __name__ == "__main__":
    sys.exit(main())
