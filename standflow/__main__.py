"""The start of one ingress. Signals are taken before anything else is imported, which takes 0.1 to 0.2 s."""

from __future__ import annotations

import sys

from standflow.signals import SignalInbox


def main() -> int:
    """Runs one ingress; 2 where the configuration can't be used."""
    inbox = SignalInbox()
    from standflow.program import run

    return run(inbox)


if __name__ == "__main__":
    sys.exit(main())
