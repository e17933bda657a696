"""Many commands on one connection; the client takes a second before it reads the answers."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as s

COMMANDS, SIZE = 128, 60_000
PAUSE = 1.0  # seconds before the client begins to read


async def play(case: s.Case) -> None:
    async def behaviour(attempt: s.Attempt) -> None:
        await attempt.serve(0.02, SIZE)

    backends = [await s.Backend(case.record, f"s-{n}", behaviour).start() for n in range(10)]
    discovery = await s.Discovery(case.record).start()
    discovery.list_backends(*backends)
    settings = s.settings()
    ingress = case.ingress("n0", case.config(discovery, settings))
    await ingress.ready()
    client = s.Client(case, "c")
    await client.connect(ingress.config["listen"])
    if case.trouble:
        client.writer.transport.pause_reading()
        case.record("client c does not read")
    made = [client.make("view", 7 + n, 1500) for n in range(COMMANDS)]
    client.write([ask for ask, _ in made], b"".join(data for _, data in made))
    await asyncio.sleep(PAUSE)
    if case.trouble:
        case.record("client c begins to read")
        client.writer.transport.resume_reading()
    await client.settled(8.0)
    await asyncio.sleep(0.2)
    lost = [ask for ask in client.asks if ask.kind == "none"]
    if lost and client.end:
        case.fault(f"the ingress ended the connection ({client.end}) with {len(lost)} requests unanswered")


s.main(__file__, play)
