"""Many long values at one time; most clients take two seconds before they read, a few read at once."""

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as s

SLOW, PROMPT = 104, 6
SIZE = 4 * 1024 * 1024
PAUSE = 2.0  # seconds before a slow client begins to read
HELD_BACK = 2.05  # seconds: the 2 s of the page, and the 50 ms that each time limit is longer on sockets
LONGEST = 45.0


class Reader:
    """A client that asks for one long value, and begins to read after a pause."""

    def __init__(self, case: s.Case, name: str, pause: float) -> None:
        self.case, self.name, self.pause = case, name, pause
        self.data = bytearray()
        self.ident = ""
        self.end = ""
        self.last = 0.0  # when the last bytes came, or reading began
        self.longest_wait = 0.0

    async def play(self, address: str, data: bytes) -> None:
        host, port = address.split(":")
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        # As on an ordinary network: segments of 1460 bytes, a window of 64 KiB.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        await loop.sock_connect(sock, (host, int(port)))
        try:
            self.case.record(f"client {self.name} sends {self.ident}")
            await loop.sock_sendall(sock, data)
            await asyncio.sleep(self.pause)
            self.case.record(f"client {self.name} begins to read")
            self.last, end = time.monotonic(), time.monotonic() + LONGEST
            while not self.whole() and time.monotonic() < end:
                try:
                    more = await asyncio.wait_for(loop.sock_recv(sock, 65536), 8.0)
                except TimeoutError:
                    self.longest_wait = time.monotonic() - self.last
                    self.end = "silent"
                    break
                except ConnectionError:
                    self.end = "reset"
                    break
                now = time.monotonic()
                self.longest_wait, self.last = max(self.longest_wait, now - self.last), now
                if not more:
                    self.end = "closed"
                    break
                self.data += more
        finally:
            sock.close()
        self.case.record(
            f"client {self.name} has {len(self.data)} bytes of {self.ident}, {self.end or 'whole'},"
            f" longest wait {self.longest_wait:.2f} s"
        )

    def whole(self) -> bool:
        if self.data[:1] == b"-":
            return self.data.endswith(b"\r\n")
        return len(self.data) == len(b"$%d\r\n" % SIZE) + SIZE + 2


async def play(case: s.Case) -> None:
    async def behaviour(attempt: s.Attempt) -> None:
        """A long value, 64 KiB every 5 ms, as fast as the ingress takes it."""
        await asyncio.sleep(0.01)
        value = attempt.value(SIZE)
        attempt.writer.write(b"*3\r\n$%d\r\n" % SIZE)
        for at in range(0, SIZE, 65536):
            attempt.writer.write(value[at : at + 65536])
            await attempt.writer.drain()
            await asyncio.sleep(0.005)
        attempt.writer.write(b"\r\n$-1\r\n$-1\r\n")
        case.record(f"backend {attempt.backend.name} has written all of {attempt.ident}")

    backends = [await s.Backend(case.record, f"s-{n}", behaviour).start() for n in range(10)]
    discovery = await s.Discovery(case.record).start()
    discovery.list_backends(*backends)
    settings = s.settings()
    ingress = case.ingress("n0", case.config(discovery, settings))
    await ingress.ready()
    maker = s.Client(case, "maker")
    tasks, readers = [], []
    for number in range(SLOW + PROMPT):
        slow = number < SLOW and case.trouble
        reader = Reader(case, f"{'slow' if slow else 'prompt'}-{number}", PAUSE if slow else 0.0)
        ask, data = maker.make("view", 7 + number, 1500)
        reader.ident = ask.ident
        readers.append(reader)
        tasks.append(asyncio.create_task(reader.play(ingress.config["listen"], data)))
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    served = [one for one in readers if one.data[:1] == b"$"]
    case.record(f"{len(served)} of {len(readers)} served, {sum(one.whole() for one in served)} whole")
    for one in served:
        if not one.whole() or one.longest_wait > HELD_BACK:
            case.fault(
                f"{one.ident}: {len(one.data)} of {SIZE} bytes, then nothing for {one.longest_wait:.1f} s"
                f" ({one.end}); the backend was ready to give the rest"
            )
        elif one.data.count(one.ident.encode(), 0, 64) != 1:
            case.fault(f"{one.ident}: the value is another's")


s.main(__file__, play)
