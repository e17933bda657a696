"""A planned restart while a backend is still giving a long value."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import CannotRunError, Platform, Run, command, connect, play, read_reply, show

VALUE = 4 * 1024 * 1024  # bytes, the longest value that the pages allow
PIECES, GIVE_SECONDS = 60, 6.0
WAIT_MS = 1500
TERM_AFTER = 1.0  # seconds after the request; the request came before SIGTERM
KILL_AFTER = 8.0  # seconds after SIGTERM; not before 3.0 + 0.7


async def give_slowly(run: Run, writer: asyncio.StreamWriter) -> None:
    """Writes the value in equal pieces at equal intervals; its end goes with the last piece."""
    value = (run.ident.encode() * (VALUE // len(run.ident) + 1))[:VALUE]
    data = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (VALUE, value)
    size = len(data) // PIECES + 1
    for number in range(PIECES):
        writer.write(data[number * size : (number + 1) * size])
        await writer.drain()
        await asyncio.sleep(GIVE_SECONDS / PIECES)


async def case(platform: Platform, trouble: bool) -> bool:
    """True if the ingress ends by itself, before SIGKILL, over a value that it has begun to pass on."""
    await platform.start(give_slowly)
    ingress = platform.ingresses[0]
    ident, data = command(b"Q.ASK", "view", 7, WAIT_MS)
    name = f"request {ident.decode()}"
    reader, writer = await connect(ingress.address)
    begun = time.monotonic()
    writer.write(data)
    platform.record(f"{name}: written whole")

    async def restart() -> None:
        await asyncio.sleep(TERM_AFTER)
        if trouble:
            ingress.signal(signal.SIGTERM)
            await asyncio.sleep(KILL_AFTER)
            if ingress.process.poll() is None:
                ingress.signal(signal.SIGKILL)

    restarting = asyncio.create_task(restart())
    lost = False
    try:
        answer = await asyncio.wait_for(read_reply(reader), 30)
        platform.record(f"{name}: answered with {show(answer)} after {time.monotonic() - begun:.2f} s")
        if not isinstance(answer, bytes):
            raise CannotRunError(f"the value never began: {answer!r}")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        got = len(error.partial) if isinstance(error, asyncio.IncompleteReadError) else "some"
        after = time.monotonic() - begun - TERM_AFTER
        await asyncio.sleep(0.2)
        status = ingress.process.poll()
        platform.record(
            f"{name}: {got} bytes of the value of {VALUE}, then the end of the connection, "
            f"{after:.2f} s after SIGTERM; the ingress has ended with status {status}"
        )
        lost = status != -signal.SIGKILL
        platform.record(f"{name}: {'LOST' if lost else 'ended by SIGKILL'}")
    finally:
        writer.close()
    restarting.cancel()
    return lost


sys.exit(play(Path(__file__).resolve().parent, case))
