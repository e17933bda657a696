"""One ingress as a program: reads the configuration, serves until it is told to stop."""

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
    """The exit status: 2 where the configuration can't be used."""
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
    stop, reload = ingress.stop, ingress.reload
    inbox.serve(loop, {signal.SIGTERM: stop, signal.SIGINT: stop, signal.SIGHUP: reload})
    ingress.start()
    # What is there now stays for good; only the young are worth a collection while requests wait.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20000, 20, 100)
    loop.run()
    ingress.close()
    log("stopped")
    log.flush()
    return 0
