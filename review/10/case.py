"""Many commands at once on one connection; the answers to two of them get lost."""

import asyncio
import fcntl
import struct
import sys
import termios
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as s

COMMANDS, BODY = 360, 300
LOST = (2, 350)  # the commands whose answers get lost
LATE = 0.55  # seconds: half a second, and the 50 ms that each time limit is longer on sockets


async def play(case: s.Case) -> None:
    lost: set[str] = set()

    async def behaviour(attempt: s.Attempt) -> None:
        if attempt.ident in lost and case.trouble:
            case.record(f"the answer to {attempt.ident} gets lost")
            await asyncio.sleep(60)
        await attempt.serve(0.02)

    backends = [await s.Backend(case.record, f"s-{n}", behaviour).start() for n in range(10)]
    discovery = await s.Discovery(case.record).start()
    discovery.list_backends(*backends)
    settings = s.settings()
    ingress = case.ingress("n0", case.config(discovery, settings))
    await ingress.ready()
    client = await s.Client(case, "c").connect(ingress.config["listen"])
    made = [client.make("change", 7 + n, 3000, unsafe=True, body=b"b" * BODY) for n in range(COMMANDS)]
    lost |= {made[number][0].ident for number in LOST}
    client.write([ask for ask, _ in made], b"".join(data for _, data in made))
    await asyncio.sleep(0.5)
    unacknowledged = fcntl.ioctl(
        client.writer.get_extra_info("socket"), termios.TIOCOUTQ, struct.pack("i", 0)
    )
    case.record(
        f"bytes that the machine of the ingress has not acknowledged: {struct.unpack('i', unacknowledged)[0]}"
    )
    await client.settled(20.0)
    before = 0.0
    begun = {attempt.ident: attempt for backend in backends for attempt in backend.attempts}
    too_much = [
        int(s.options(attempt.parts)["d"]) / 1000 - (ask.sent_at + ask.time_limit - attempt.at)
        for ask in client.asks
        if (attempt := begun.get(ask.ident))
    ]
    case.record(
        f"{sum(more > 1 for more in too_much)} attempts were told over 1 s more than their client had left"
    )
    for ask in client.asks:
        if ask.kind == "none":
            case.fault(f"{ask.ident} never answered")
            continue
        late = ask.answered_at - max(before, ask.sent_at + ask.time_limit)
        before = max(before, ask.answered_at)
        if late > LATE:
            case.fault(f"{ask.ident} {ask.kind} {late:.2f} s after its time and the answer before it")


s.main(__file__, play)
