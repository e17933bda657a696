"""One ingress as a program: reads the configuration and serves until it is stopped."""

from __future__ import annotations

import gc
import os
import signal
import sys

from standflow.assembly import Ingress
from standflow.config import ConfigError, load
from standflow.log import Log
from standflow.net.loop import Loop
from standflow.signals import SignalInbox


def run(inbox: SignalInbox) -> int:
    """Returns the exit status: 2 if the configuration is invalid."""
    log = Log()
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
    gc.set_threshold(20000, 20, 100)
    loop.run()
    ingress.close()
    log("stopped")
    log.flush()
    return 0
