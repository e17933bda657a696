"""Load generator: callers that send RESP2 requests at a given rate and record each outcome.

python -m lab.callers HOST:PORT CLASS PLAN     # sends one request and prints the answer
"""

from __future__ import annotations

import contextlib
import random
import select
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass

import click


@dataclass(slots=True)
class RequestRecord:
    """One request. `at`: Unix time; `took`: seconds to the answer; `end`: served, refused, failed or lost."""

    at: float
    ident: str
    safe: bool
    took: float
    end: str
    value: bytes
    again: (
        bool  # the connection was closed between two commands as this one crossed, and it was sent once more
    )


class ClosedWithoutReplyError(OSError):
    """The peer closed the connection in order before it sent any part of an answer."""


class Callers:
    """Callers of one ingress, one connection each, with `rate` requests a second in total."""

    def __init__(
        self,
        address: tuple[str, int],
        rate: float,
        number: int,
        connections: int = 4,
        changes: float = 0.2,
        spread: int = 1,
        seed: int = 0,
        plan: str = "plain",
    ) -> None:
        """`number`: of the ingress, the first in its tenants' sets; `changes`: share of unsafe requests."""
        self.address, self.rate, self.number, self.connections = address, rate, number, connections
        self.changes, self.spread, self.seed, self.plan = changes, spread, seed, plan
        self.asked: list[RequestRecord] = []
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self._ask, args=(connection,), daemon=True)
            for connection in range(connections)
        ]

    def start(self) -> None:
        """Starts sending."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stops sending and waits for open requests."""
        self.stopped.set()
        for thread in self.threads:
            thread.join(20.0)

    def outcome_counts(self, since: float = 0.0) -> Counter[str]:
        """Requests by outcome, of those sent since a Unix time."""
        return Counter(one.end for one in list(self.asked) if one.at >= since)

    def _ask(self, connection: int) -> None:
        rng = random.Random(f"{self.seed} {self.number} {connection}")
        sock: socket.socket | None = None
        due, serial = time.monotonic() + rng.expovariate(self.rate / self.connections), 0
        while not self.stopped.wait(max(0.0, due - time.monotonic())):
            due = max(due + rng.expovariate(self.rate / self.connections), time.monotonic() - 1.0)
            serial += 1
            safe = rng.random() >= self.changes
            ident = f"{self.seed:02x}n{self.number}l{connection}s{serial}"
            tenant = b"%016x" % (self.number * 1000 + rng.randrange(20))
            kind = b"look" if safe else b"change"
            options = b"c=%b,t=%b,d=3000,units=1,spread=%d,first=%d" % (
                kind,
                self.plan.encode(),
                self.spread,
                self.number,
            )
            text = command([b"Q.ASK" if safe else b"Q.DO", tenant, ident.encode(), options])
            at, began, answer = time.time(), time.monotonic(), b""
            again = False
            for _ in range(2):
                if sock is not None and select.select([sock], [], [], 0)[0]:
                    sock.close()  # closed while idle: reconnects before sending
                    sock = None
                kept = sock is not None
                try:
                    if sock is None:
                        sock = socket.create_connection(self.address, 5.0)
                        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    sock.sendall(text)
                    answer = read(sock)
                    break
                except OSError as error:
                    if sock is not None:
                        sock.close()
                    sock = None
                    if not kept or not isinstance(error, ClosedWithoutReplyError):
                        break
                    again = True
            took, end = time.monotonic() - began, reply_outcome(answer)
            value = answer.split(b"\r\n")[1] if end == "served" else b""
            self.asked.append(RequestRecord(at, ident, safe, took, end, value, again))
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.close()


def command(parts: list[bytes]) -> bytes:
    """Encodes a command as an array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def read(sock: socket.socket) -> bytes:
    """Reads one answer, a line or a bulk string; raises OSError if it is incomplete."""
    data = b""
    while True:
        more = sock.recv(65536)
        if not more:
            raise ConnectionResetError if data else ClosedWithoutReplyError
        data += more
        if not data.endswith(b"\r\n"):
            continue
        if not data.startswith(b"$") or data.startswith(b"$-1"):
            return data
        head, _, rest = data.partition(b"\r\n")
        if len(rest) == int(head[1:]) + 2:
            return data


def reply_outcome(answer: bytes) -> str:
    """Classifies an answer as served, refused, failed or lost."""
    if answer.startswith(b"$") and not answer.startswith(b"$-1"):
        return "served"
    if answer.startswith(b"-BUSY"):
        return "refused"
    return "failed" if answer else "lost"


@click.command()
@click.argument("address")
@click.argument("kind")
@click.argument("plan")
@click.option("--unsafe", is_flag=True, help="Send Q.DO, for a class that must not run twice.")
def main(address: str, kind: str, plan: str, unsafe: bool) -> None:
    """Send one request of class KIND under PLAN to the ingress at ADDRESS and print the answer."""
    host, _, port = address.rpartition(":")
    options = f"c={kind},t={plan},d=3000,units=1,spread=1,first=0".encode()
    ident = b"%016x" % random.getrandbits(64)
    with socket.create_connection((host, int(port)), 5.0) as sock:
        sock.sendall(command([b"Q.DO" if unsafe else b"Q.ASK", b"%016x" % 7, ident, options]))
        answer = read(sock)
    click.echo(f"{reply_outcome(answer)}: {answer.decode('utf-8', 'replace').strip()!r}")


if __name__ == "__main__":
    main()
