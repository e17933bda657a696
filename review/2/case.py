"""Backends that write a long value in pieces, some tenths of a second apart."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import CannotRunError, Platform, Run, command, connect, play, read_reply, served, show

REQUESTS = 5
VALUE = 400_000  # bytes; the pages allow 4 MiB
PIECE = 64 * 1024
PAUSE = 0.3  # seconds between two pieces; the whole answer takes about 2 s
WAIT_MS = 3000
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class SlowBackends:
    """The answers of the backends."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform

    async def answer(self, run: Run, writer: asyncio.StreamWriter) -> None:
        """Writes the value in pieces; what follows the value is the last piece."""
        value = (run.ident.encode() * (VALUE // len(run.ident) + 1))[:VALUE]
        head = b"*3\r\n$%d\r\n" % VALUE
        pieces = [value[at : at + PIECE] for at in range(0, VALUE, PIECE)]
        pieces = [head + pieces[0], *pieces[1:], b"\r\n$-1\r\n$-1\r\n"]
        for number, piece in enumerate(pieces):
            if number and TROUBLE:
                await asyncio.sleep(PAUSE)
            self.platform.record(f"{run.backend} writes piece {number + 1} of {len(pieces)} for {run.ident}")
            writer.write(piece)
            await writer.drain()


async def client(platform: Platform, number: int) -> str:
    """Sends one request that must not run twice; returns `lost` if its answer is cut off."""
    ident, data = command(b"Q.DO", "change", 100 + number, WAIT_MS, body=b"swap two lessons")
    name = f"request {ident.decode()}"
    reader, writer = await connect(platform.ingresses[0].address)
    start = time.monotonic()
    try:
        writer.write(data)
        platform.record(f"{name}: written whole")
        answer = await asyncio.wait_for(read_reply(reader), 20)
        platform.record(f"{name}: answered with {show(answer)} after {time.monotonic() - start:.2f} s")
        return "served" if served(answer) else "other"
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        got = len(error.partial) if isinstance(error, asyncio.IncompleteReadError) else "some"
        platform.record(
            f"{name}: LOST: the ingress ended the connection after {time.monotonic() - start:.2f} s, "
            f"{got} bytes into the value of {VALUE} and its line end"
        )
        return "lost"
    finally:
        writer.close()


async def case(platform: Platform, trouble: bool) -> bool:
    """True if the ingress cuts off a value that a backend still gives."""
    backends = SlowBackends(platform)
    await platform.start(backends.answer)
    ends = await asyncio.gather(*(client(platform, number) for number in range(REQUESTS)))
    await asyncio.sleep(2 * PAUSE)
    ran = sum(len(backend.runs) for backend in platform.backends)
    platform.record(f"{ends.count('lost')} of {REQUESTS} requests were lost; the backends ran {ran}")
    if "lost" not in ends and "served" not in ends:
        raise CannotRunError("no value was begun")
    return "lost" in ends


sys.exit(play(Path(__file__).resolve().parent, case))
