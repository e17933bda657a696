"""One ingress as a program: reads the configuration and serves until it is stopped."""

from __future__ import annotations

import gc
import os
import signal
import sys

from standflow.allocator import Allocator
from standflow.assembly import Ingress
from standflow.config import ConfigError, load
from standflow.isolation import log_fault
from standflow.log import Log
from standflow.net.loop import Loop
from standflow.signals import SignalInbox

GARBAGE_OBJECTS = 5000  # newly created ones at which young garbage is collected


def run(inbox: SignalInbox) -> int:
    """Returns the exit status: 2 if the configuration is invalid."""
    log = Log()
    Allocator().configure()
    try:
        config = load(os.environ, log)
        log(f"starting {config.name}")
        loop = Loop(log)
        ingress = Ingress(config, loop, log)
    except ConfigError as error:
        sys.stderr.write(f"standflow: {error}\n")
        return 2
    log.serve(loop)
    inbox.serve(
        loop,
        {
            signal.SIGTERM: lambda: ingress.stop(inbox.first_received_at.get(signal.SIGTERM)),
            signal.SIGINT: lambda: ingress.stop(inbox.first_received_at.get(signal.SIGINT)),
            signal.SIGHUP: ingress.reload,
        },
    )
    ingress.start()
    # The objects of the startup live until the exit; collections during service cover only newer ones.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GARBAGE_OBJECTS, 20, 100)
    serve_until_stopped(loop, ingress, log)
    return 0


def serve_until_stopped(loop: Loop, ingress: Ingress, log: Log) -> None:
    """Serves until the ingress is stopped. If the loop itself fails, what is open is answered first."""
    try:
        loop.run()
    except Exception:
        log_fault(log, "of the loop; the process ends")
        ingress.shutdown.answer_all()
        raise
    finally:
        ingress.close()
        log("stopped")
        log.flush()
