"""Many commands behind one whose answer is lost; the platform watches the memory of the ingress."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as s

CLIENTS, COMMANDS, SIZE = 14, 62, 65_000
MEMORY_MB = 64
PACE = 0.03  # seconds between two commands of a client


def resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def play(case: s.Case) -> None:
    async def behaviour(attempt: s.Attempt) -> None:
        if attempt.class_name == "change" and case.trouble:
            case.record(f"the answer to {attempt.ident} gets lost")
            await asyncio.sleep(60)
        await attempt.serve(0.02, SIZE)

    backends = [await s.Backend(case.record, f"s-{n}", behaviour).start() for n in range(10)]
    discovery = await s.Discovery(case.record).start()
    discovery.list_backends(*backends)
    settings = s.settings()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    ingress = case.ingress("n0", case.config(discovery, settings, limits=limits))
    await ingress.ready()
    peak = 0.0
    stop = False
    crossed = ""

    async def platform() -> None:
        nonlocal peak, crossed
        while not stop and ingress.status is None:
            peak = max(peak, resident_mb(ingress.process.pid))
            if peak > MEMORY_MB and not crossed:
                crossed = f"{peak:.1f} MB"
                case.record(f"the ingress has {peak:.1f} MB, its limit is {MEMORY_MB}: it is killed")
                ingress.signal(signal.SIGKILL)
            await asyncio.sleep(0.01)

    watcher = asyncio.create_task(platform())
    await asyncio.sleep(0.3)
    case.record(f"at rest {peak:.1f} MB")

    async def play_client(number: int) -> s.Client:
        client = await s.Client(case, f"c{number}").connect(ingress.config["listen"])
        client.send("change", 100 + number, 3000, unsafe=True, body=b"x")
        await asyncio.sleep(0.1)
        for n in range(COMMANDS):
            if client.end:
                break
            client.send("view", 1000 + 100 * number + n, 1500)
            await asyncio.sleep(PACE)
        await client.settled(5.0)
        return client

    clients = await asyncio.gather(*(play_client(n) for n in range(CLIENTS)))
    stop = True
    await watcher
    asks = [ask for client in clients for ask in client.asks]
    kinds = {kind: sum(ask.kind == kind for ask in asks) for kind in ("served", "refused", "failed", "none")}
    case.record(f"peak {peak:.1f} MB, {kinds}")
    if crossed:
        unanswered = sum(ask.kind == "none" for ask in asks)
        case.fault(f"over its memory limit with {crossed}; {unanswered} requests unanswered")


s.main(__file__, play)
