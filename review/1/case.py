"""Clients that take some seconds to write long bodies, and others whose whole requests wait behind them."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import Platform, command, connect, play, read_reply, send_all, show

SLOW_CLIENTS = 6
LONG_BODY = 4 * 1024 * 1024  # bytes, the longest value that the pages allow
PIECES, WRITE_SECONDS = 16, 6.0  # of a slow client's request
OTHERS = 5
OTHER_BODY = 100_000  # bytes
WAIT_MS = 2000  # what the other clients wait for their answers
GRACE = 0.5 + 0.05  # seconds after its time by which a request is lost, with the sockets' 50 ms


async def slow_client(platform: Platform, number: int, trouble: bool) -> None:
    """Writes one long request in equal pieces at equal intervals, and reads its answer."""
    ident, data = command(b"Q.DO", "change", 1000 + number, 3000, body=b"x" * LONG_BODY)
    name, size = f"long request {ident.decode()}", len(data) // PIECES + 1
    reader, writer = await connect(platform.ingresses[0].address)
    try:
        platform.record(f"{name}: the client begins to write {len(data)} bytes")
        for piece in range(PIECES):
            await send_all(writer, data[piece * size : (piece + 1) * size])
            if trouble:
                await asyncio.sleep(WRITE_SECONDS / PIECES)
        written = time.monotonic()
        platform.record(f"{name}: written whole")
        answer = await asyncio.wait_for(read_reply(reader), 10)
        platform.record(f"{name}: answered with {show(answer)} after {time.monotonic() - written:.2f} s")
    except (OSError, EOFError, TimeoutError) as error:
        platform.record(f"{name}: {error!r}")
    finally:
        writer.close()


async def other_client(platform: Platform, number: int) -> bool:
    """Writes one request at once; true if it gets no final answer in time."""
    ident, data = command(b"Q.DO", "change", 50 + number, WAIT_MS, body=b"y" * OTHER_BODY)
    name = f"request {ident.decode()}"
    reader, writer = await connect(platform.ingresses[0].address)
    try:
        await send_all(writer, data)
        written = time.monotonic()
        platform.record(f"{name}: written whole, {len(data)} bytes, the client waits {WAIT_MS} ms")
        try:
            answer = await asyncio.wait_for(read_reply(reader), 20)
        except (OSError, EOFError, TimeoutError) as error:
            platform.record(f"{name}: LOST: {error!r} after {time.monotonic() - written:.2f} s")
            return True
        taken = time.monotonic() - written
        lost = taken > WAIT_MS / 1000 + GRACE
        platform.record(f"{name}: {'LOST: ' if lost else ''}answered with {show(answer)} after {taken:.2f} s")
        return lost
    finally:
        writer.close()


async def case(platform: Platform, trouble: bool) -> bool:
    """True if a request that was written whole got no final answer in time."""
    await platform.start()
    slow = [asyncio.create_task(slow_client(platform, number, trouble)) for number in range(SLOW_CLIENTS)]
    await asyncio.sleep(1.0)
    lost = await asyncio.gather(*(other_client(platform, number) for number in range(OTHERS)))
    await asyncio.gather(*slow)
    platform.record(f"{sum(lost)} of {OTHERS} requests were lost")
    return any(lost)


sys.exit(play(Path(__file__).resolve().parent, case))
