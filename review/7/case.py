"""A planned restart, while backends hang and one backend writes a long value slowly."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as s

WAITING = 20  # clients with a request each, just as some of the backends begin to hang
HANGING = 5  # of ten backends: "a quarter to a half"
DEADLINE = 4.2  # seconds, the longest
KILL = 3.7  # seconds after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s
SIZE, PIECE, PACE = 600_000, 60_000, 0.5  # a value that takes 5 s to write


def classes() -> list[dict[str, object]]:
    """Those of deploy/sites/lima-clinics.toml."""
    common = {"DedupScope": "all", "WindowUs": 5_000_000, "LateWorth": 0.0, "Stream": False}
    return [
        {"Name": "slots", "AimUs": 900_000, "DeadlineUs": 2_600_000, "Effect": "read_like", "Value": 1.0}
        | common,
        {
            "Name": "hold",
            "AimUs": 1_300_000,
            "DeadlineUs": 4_200_000,
            "Effect": "idempotency_key",
            "Value": 4.0,
        }
        | common,
        {
            "Name": "cancel",
            "AimUs": 700_000,
            "DeadlineUs": 1_800_000,
            "Effect": "non_idempotent",
            "Value": 7.0,
        }
        | common,
    ]


async def play(case: s.Case) -> None:
    hanging: set[str] = set()  # backends
    long: dict[str, str] = {}  # by request: the backend that gives its value

    async def behaviour(attempt: s.Attempt) -> None:
        if attempt.backend.name in hanging:
            await asyncio.sleep(60)
        if attempt.ident not in long:
            await attempt.serve(0.02)
            return
        long[attempt.ident] = attempt.backend.name
        value = attempt.value(SIZE)
        attempt.writer.write(b"*3\r\n$%d\r\n" % SIZE)
        for at in range(0, SIZE, PIECE):
            attempt.writer.write(value[at : at + PIECE])
            await asyncio.sleep(PACE if case.trouble else 0.01)
        attempt.writer.write(b"\r\n$-1\r\n$-1\r\n")

    backends = [await s.Backend(case.record, f"s-{n}", behaviour).start() for n in range(10)]
    discovery = await s.Discovery(case.record).start()
    discovery.list_backends(*backends)
    settings = s.settings()
    settings["Classes"] = classes()
    ingress = case.ingress("n0", case.config(discovery, settings))
    await ingress.ready()
    d = round(DEADLINE * 1000)
    clients = []
    for number in range(WAITING + 1):
        clients.append(await s.Client(case, f"c{number}").connect(ingress.config["listen"]))
    reader = clients[WAITING]
    ask, data = reader.make("hold", 7, d, unsafe=True, body=b"b", k="00000000000000ff")
    long[ask.ident] = ""
    second, more = reader.make("slots", 8, 2600)
    reader.write([ask, second], data + more)
    await asyncio.sleep(0.1)
    sound = long[ask.ident]  # it does not hang
    hanging |= {one.name for one in [one for one in backends if one.name != sound][:HANGING]}
    case.record(f"backends that hang from now on: {sorted(hanging)}")
    for number, client in enumerate(clients[:WAITING]):
        ask, data = client.make("hold", 100 + number, d, unsafe=True, body=b"b", k=f"{number:016x}")
        client.write([ask], data)
    await asyncio.sleep(0.5)
    still_open = sum(ask.kind == "none" for client in clients[:WAITING] for ask in client.asks)
    case.record(f"{still_open} requests wait for backends that hang")
    if not still_open:
        raise s.NotRunError("no request has come to a backend that hangs")
    ingress.signal(signal.SIGTERM)
    begun = time.monotonic()
    if not await ingress.ended(KILL):
        ingress.signal(signal.SIGKILL)
    case.record(
        f"the ingress ended {time.monotonic() - begun:.2f} s after SIGTERM with status {ingress.status}"
    )
    await asyncio.gather(*(client.settled(1.0) for client in clients))
    for client in clients:
        for ask in client.asks:
            if ask.kind == "none":
                case.fault(f"{ask.ident} was taken and not answered; connection {client.end or 'open'}")


s.main(__file__, play)
