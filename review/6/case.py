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
LONGEST = 45.0  # seconds for which a client reads, at most
GIVEN_UP = 8.0  # seconds without a byte after which a client stops


class Writing:
    """What a backend has still to give of one value."""

    def __init__(self) -> None:
        self.blocked_since: float | None = None  # it has bytes that the ingress does not take
        self.done = False

    def ready_for(self) -> float:
        """Seconds for which the backend has been ready to give the rest."""
        if self.done:
            return LONGEST
        return 0.0 if self.blocked_since is None else time.monotonic() - self.blocked_since


class Reader:
    """A client that asks for one long value, and begins to read after a pause."""

    def __init__(self, case: s.Case, name: str, pause: float, writing: Writing) -> None:
        self.case, self.name, self.pause, self.writing = case, name, pause, writing
        self.held_back = 0.0  # seconds without a byte, while the backend was ready
        self.data = bytearray()
        self.ident = ""
        self.end = ""
        self.last = 0.0  # when the last bytes came, or reading began

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
                    more = await asyncio.wait_for(loop.sock_recv(sock, 65536), HELD_BACK)
                except TimeoutError:
                    waited = time.monotonic() - self.last
                    self.held_back = max(self.held_back, min(waited, self.writing.ready_for()))
                    if waited > GIVEN_UP:
                        self.end = "silent"
                        break
                    continue
                except ConnectionError:
                    self.end = "reset"
                    break
                self.last = time.monotonic()
                if not more:
                    self.end = "closed"
                    break
                self.data += more
        finally:
            sock.close()
        self.case.record(
            f"client {self.name} has {len(self.data)} bytes of {self.ident}, {self.end or 'whole'},"
            f" held back for {self.held_back:.2f} s"
        )

    def whole(self) -> bool:
        if self.data[:1] == b"-":
            return self.data.endswith(b"\r\n")
        return len(self.data) == len(b"$%d\r\n" % SIZE) + SIZE + 2


async def play(case: s.Case) -> None:
    writings: dict[str, Writing] = {}

    async def behaviour(attempt: s.Attempt) -> None:
        """A long value, 64 KiB every 5 ms, as fast as the ingress takes it."""
        await asyncio.sleep(0.01)
        value, writing = attempt.value(SIZE), writings[attempt.ident]
        attempt.writer.write(b"*3\r\n$%d\r\n" % SIZE)
        for at in range(0, SIZE, 65536):
            attempt.writer.write(value[at : at + 65536])
            writing.blocked_since = time.monotonic()
            await attempt.writer.drain()
            writing.blocked_since = None
            await asyncio.sleep(0.005)
        attempt.writer.write(b"\r\n$-1\r\n$-1\r\n")
        writing.done = True
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
        ask, data = maker.make("view", 7 + number, 1500)
        writing = writings[ask.ident] = Writing()
        reader = Reader(case, f"{'slow' if slow else 'prompt'}-{number}", PAUSE if slow else 0.0, writing)
        reader.ident = ask.ident
        readers.append(reader)
        tasks.append(asyncio.create_task(reader.play(ingress.config["listen"], data)))
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    served = [one for one in readers if one.data[:1] == b"$"]
    case.record(f"{len(served)} of {len(readers)} served, {sum(one.whole() for one in served)} whole")
    for one in served:
        if one.held_back >= HELD_BACK:
            case.fault(
                f"{one.ident}: {len(one.data)} of {SIZE} bytes, {one.end or 'whole'}; held back for"
                f" {one.held_back:.1f} s while its backend was ready to give the rest"
            )
        elif not one.whole():
            raise s.NotRunError(f"{one.ident}: {len(one.data)} bytes, {one.end or 'not whole'}")
        elif one.data.count(one.ident.encode(), 0, 64) != 1:
            case.fault(f"{one.ident}: the value is another's")


s.main(__file__, play)
