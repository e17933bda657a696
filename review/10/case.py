"""Clients that stop in the middle of a request and stay, and one sound client that comes meanwhile."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as s

BAD = 130
MISSING = 20  # bytes of a command that bad clients do not write
LATE = 0.55  # seconds: half a second, and the 50 ms that each time limit is longer on sockets


async def play(case: s.Case) -> None:
    backends = [await s.Backend(case.record, f"s-{n}").start() for n in range(10)]
    discovery = await s.Discovery(case.record).start()
    discovery.list_backends(*backends)
    settings = s.settings()
    for plan in settings["Contracts"]:
        plan["Rate"], plan["PeakUnits"] = 200, 400
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 256}
    ingress = case.ingress("n0", case.config(discovery, settings, limits=limits))
    await ingress.ready()
    bad = []
    for number in range(BAD):
        client = s.Client(case, f"bad-{number}")
        await client.connect(ingress.config["listen"])
        client.send("view", 7 + number, 1000)
        bad.append(client)
        await asyncio.sleep(0.005)
    await asyncio.gather(*(client.settled(2.0) for client in bad))
    for client in bad:
        ask, data = client.make("view", 7, 1000)
        if case.trouble:
            case.record(
                f"client {client.label} writes {ask.ident} but for its last {MISSING} bytes, and stays"
            )
            client.writer.write(data[:-MISSING])
        else:
            client.write([ask], data)
    await asyncio.sleep(0.3)
    clients = []
    for n in range(5):
        client = await s.Client(case, f"sound-{n}").connect(ingress.config["listen"])
        client.send("view", 1000 + n, 500)
        clients.append(client)
    await asyncio.gather(*(client.settled(6.0) for client in clients))
    for client in clients:
        ask = client.asks[0]
        if ask.answer is None:
            case.fault(f"{ask.ident} never answered")
        elif (late := ask.answered_at - ask.sent_at - ask.time_limit) > LATE:
            case.fault(f"{ask.ident} {ask.kind} {late:.2f} s after its time")


s.main(__file__, play)
