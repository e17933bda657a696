"""Stand-ins for the cases of the review: backends, discovery, clients and the platform, over loopback.

They follow the operators' protocol page and behave like sound servers and clients wherever it is silent. Only
the standard library is used. Everything runs in one asyncio loop; the ingresses are separate processes,
started with the `run` command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
LOOPBACK = "127.0.0.1"


class CannotRunError(Exception):
    """The case could not be set up, so that it shows nothing."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.start = time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port of the loopback address that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((LOOPBACK, 0))
        return int(sock.getsockname()[1])


def deploy_command(name: str) -> str:
    """A command of the deploy file."""
    match = re.search(rf'^{name}\s*=\s*"(.*)"\s*$', (ROOT / "deploy/balancer.toml").read_text(), re.MULTILINE)
    if match is None:
        raise CannotRunError(f"the deploy file has no {name}")
    return match[1].replace('\\"', '"')


def words(*parts: bytes) -> bytes:
    """A command: an array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


async def read_reply(reader: asyncio.StreamReader) -> Any:
    """One RESP2 reply; bytes for a bulk string, str for a line with its type."""
    line = await reader.readuntil(b"\r\n")
    kind, rest = line[:1], line[1:-2]
    if kind in b"+-:":
        return line[:-2].decode("latin-1")
    number = int(rest)
    if number < 0:
        return None
    if kind == b"$":
        return (await reader.readexactly(number + 2))[:-2]
    return [await read_reply(reader) for _ in range(number)]


def served(reply: Any) -> bool:
    """True if an answer of an ingress is a value."""
    return isinstance(reply, bytes) or (
        isinstance(reply, list) and bool(reply) and isinstance(reply[0], bytes)
    )


class Run:
    """One command as it reached a backend."""

    def __init__(self, backend: str, parts: list[bytes], at: float) -> None:
        self.backend, self.at = backend, at
        self.command, self.customer, self.ident = (part.decode() for part in parts[:3])
        self.options = dict(piece.split("=", 1) for piece in parts[3].decode().split(","))
        self.body = parts[4] if len(parts) > 4 else None


Answer = Callable[[Run, asyncio.StreamWriter], Awaitable[None]]


async def answer_at_once(run: Run, writer: asyncio.StreamWriter) -> None:
    """The value of a sound server: it names the request."""
    await answer_value(writer, b"value of " + run.ident.encode())


async def answer_value(writer: asyncio.StreamWriter, value: bytes) -> None:
    """Answers with a value, no figures on use and no load report."""
    writer.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value))
    await writer.drain()


class Backend:
    """A backend: it answers the commands of a connection in order."""

    def __init__(self, name: str, record: Record, answer: Answer) -> None:
        self.name, self.record, self.answer = name, record, answer
        self.port = 0
        self.runs: list[Run] = []
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0, limit=8 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                parts = await read_reply(reader)
                name = parts[0].upper()
                if name in (b"Q.ASK", b"Q.DO"):
                    run = Run(self.name, parts, time.monotonic())
                    self.runs.append(run)
                    self.record(f"{self.name} runs {run.command} {run.ident} {parts[3].decode()}")
                    await self.answer(run, writer)
                elif name == b"PING":
                    writer.write(b"+PONG\r\n")
                elif name in (b"CLIENT", b"SELECT"):
                    writer.write(b"+OK\r\n")
                else:
                    writer.write(b"-ERR unknown command\r\n")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Discovery:
    """The agent: the whole list, and a watch that stays open."""

    def __init__(self, record: Record, backends: list[Backend]) -> None:
        self.record, self.port = record, 0
        self.revision = 41
        self.members = [
            {
                "id": backend.name,
                "host_port": f"{LOOPBACK}:{backend.port}",
                "locality": "a",
                "flavor": "small-2c",
                "cell": 0,
                "phase": "SERVING",
                "size": 1.0,
                "up_since_ms": 0,
            }
            for backend in backends
        ]

    def list(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": self.members}

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1]
            body = json.dumps(self.list()).encode() + b"\n"
            if b"follow=1" not in target:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(body), body))
                await writer.drain()
                body = b"\n"
                await asyncio.sleep(2.0)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


CLASSES = [
    {
        "Name": "view",
        "AimUs": 400000,
        "DeadlineUs": 1500000,
        "Effect": "read_like",
        "DedupScope": "all",
        "WindowUs": 5000000,
        "Value": 1.0,
        "LateWorth": 0.0,
        "Stream": False,
    },
    {
        "Name": "change",
        "AimUs": 1000000,
        "DeadlineUs": 3000000,
        "Effect": "non_idempotent",
        "DedupScope": "all",
        "WindowUs": 5000000,
        "Value": 5.0,
        "LateWorth": 0.2,
        "Stream": False,
    },
]


def plan(name: str, rate: float, burst: float, price: float, extra: float, excess: float) -> dict[str, Any]:
    """A plan without a ceiling."""
    return {
        "Name": name,
        "Rate": rate,
        "PeakUnits": burst,
        "Parallel": 0,
        "ValueFactor": price,
        "ExtraWorth": extra,
        "ExcessCost": excess,
        "CeilingRate": 0,
        "CeilingBurst": 0,
        "CeilingSlack": 0,
    }


def settings(number: int, ingresses: int) -> dict[str, Any]:
    """The settings of one ingress of a small deployment, in the form of deploy/example.json."""
    return {
        "Me": number,
        "Balancers": ingresses,
        "Az": "room-a",
        "Zones": ["room-a", "room-b", "room-c"],
        "TickUs": 4000,
        "Discovery": "pushed",
        "Weights": "nominal",
        "Classes": CLASSES,
        "Contracts": [plan("basic", 2.5, 10, 1.2, 0.0, 0.5), plan("full", 16, 40, 1.8, 0.3, 0.0)],
        "Caps": {
            "Cancel": True,
            "Probes": True,
            "PeerMessages": True,
            "SecondCopies": True,
            "RetryAfter": True,
            "TryLimit": 5,
            "MaxRetryAfterUs": 500000,
            "DialTimeoutUs": 250000,
            "IdleCloseUs": 15000000,
            "MaxOpen": 20000,
        },
        "FamilyInfo": {"MostUnits": 4, "Settles": False, "PeerIntake": 100},
        "Feedback": {"Via": "off", "Fields": []},
        "Rules": {
            "AskWithinUs": 10000000,
            "ColdFrom": 0.15,
            "ColdUs": 17000000,
            "DrainGraceUs": 500000,
            "FallMultiple": 4,
            "OverloadForUs": 3000000,
        },
        "Prices": {"CrossZone": 0.0072, "Waste": 0.058, "LateFail": 0.1, "Probe": 0.01, "Peer": 0.02},
    }


class Ingress:
    """One ingress, started as the platform does."""

    def __init__(self, name: str, config: dict[str, Any], folder: Path, record: Record) -> None:
        self.name, self.record = name, record
        host, _, port = config["listen"].rpartition(":")
        self.address = (host, int(port))
        self.memory_mb = config["limits"]["memory_mb"]
        temporary = folder / f"tmp-{name}"
        temporary.mkdir()
        path = folder / f"{name}.json"
        path.write_text(json.dumps(config))
        environment = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environment.pop("STANDFLOW_CONF", None)
        environment |= {
            "EDGE_NAME": name,
            "EDGE_LISTEN": config["listen"],
            "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        self.log = (folder / f"{name}.log").open("wb")
        self.log_path = folder / f"{name}.log"
        self.environment = environment
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy_command("run")],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
        )

    def signal(self, number: int) -> None:
        """Sends a signal to the program that `run` started: the shell has become it by `exec`."""
        self.record(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def resident_mb(self) -> float:
        """Resident memory of the process, as the platform sees it; 0 if it has ended."""
        with contextlib.suppress(OSError, IndexError):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            return int(re.findall(r"^VmRSS:\s+(\d+) kB", status, re.MULTILINE)[0]) / 1024
        return 0.0

    def end(self) -> None:
        """Ends the process, if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class Platform:
    """A small deployment: backends, discovery and ingresses, in a temporary folder that is removed."""

    def __init__(self, folder: Path) -> None:
        self.case = folder
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="standflow-review-"))
        self.backends: list[Backend] = []
        self.ingresses: list[Ingress] = []
        self.discovery: Discovery

    async def start(
        self,
        answer: Answer = answer_at_once,
        backends: int = 9,
        ingresses: int = 3,
        memory_mb: int = 192,
        change: Callable[[dict[str, Any]], None] = lambda settings: None,
    ) -> None:
        """Starts everything and waits until each ingress answers PING."""
        self.backends = [Backend(f"s-{number}", self.record, answer) for number in range(backends)]
        for backend in self.backends:
            await backend.start()
        self.discovery = Discovery(self.record, self.backends)
        await self.discovery.start()
        peers = [f"{LOOPBACK}:{free_port(socket.SOCK_DGRAM)}" for _ in range(ingresses)]
        for number in range(ingresses):
            its = settings(number, ingresses)
            change(its)
            config = {
                "name": f"n{number}",
                "listen": f"{LOOPBACK}:{free_port()}",
                "discovery": f"{LOOPBACK}:{self.discovery.port}",
                "seed": secrets.token_hex(8),
                "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
                "peer_listen": peers[number],
                "peers": peers,
                "known": self.discovery.list(),
                "settings": its,
            }
            self.ingresses.append(Ingress(f"n{number}", config, self.folder, self.record))
        for ingress in self.ingresses:
            await self._wait_until_ready(ingress)
        self.record(f"{ingresses} ingresses are ready, {backends} backends")

    async def _wait_until_ready(self, ingress: Ingress) -> None:
        end = time.monotonic() + 20
        while time.monotonic() < end:
            if ingress.process.poll() is not None:
                break
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                reader, writer = await connect(ingress.address)
                try:
                    writer.write(words(b"PING"))
                    if await asyncio.wait_for(read_reply(reader), 1.0) == "+PONG":
                        return
                finally:
                    writer.close()
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{ingress.name} is not ready: {ingress.log_path.read_text()[-500:]}")

    def keep_logs(self) -> None:
        """Puts the ingresses' own logs at the end of the record."""
        for ingress in self.ingresses:
            for line in ingress.log_path.read_text(errors="replace").splitlines()[-60:]:
                self.record(f"log of {ingress.name}: {line[:300]}")

    def close(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for ingress in self.ingresses:
            ingress.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def new_id() -> bytes:
    """A request's id."""
    return secrets.token_hex(8).encode()


def command(
    name: bytes,
    class_name: str,
    customer: int,
    wait_ms: int,
    plan_name: str = "full",
    units: int = 1,
    spread: int = 3,
    first: int = 0,
    body: bytes | None = None,
    ident: bytes | None = None,
) -> tuple[bytes, bytes]:
    """A request's id and its bytes."""
    ident = ident or new_id()
    options = f"c={class_name},t={plan_name},d={wait_ms},units={units},spread={spread},first={first}"
    parts = [name, b"%016x" % customer, ident, options.encode()]
    return ident, words(*parts, *([] if body is None else [body]))


async def connect(address: tuple[str, int]) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A client's connection."""
    return await asyncio.open_connection(*address, limit=8 << 20)


async def send_all(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes bytes, and returns when the last of them is written to the connection."""
    writer.transport.set_write_buffer_limits(0)
    writer.write(data)
    await writer.drain()


def show(reply: Any) -> str:
    """An answer for the record."""
    if isinstance(reply, bytes):
        return f"a value of {len(reply)} bytes" if len(reply) > 80 else f"the value {reply!r}"
    return repr(reply)


def play(folder: Path, case: Callable[[Platform, bool], Awaitable[bool]]) -> int:
    """Plays a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole() -> int:
        # Connections of the stand-ins that still wait when the case is over are no fault.
        loop, this = asyncio.get_running_loop(), asyncio.current_task()
        loop.set_exception_handler(lambda loop, context: None)
        platform = Platform(folder)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, lambda: this and this.cancel())
        try:
            platform.record(f"trouble={'on' if trouble else 'off'}")
            async with asyncio.timeout(110):
                broken = await case(platform, trouble)
            platform.keep_logs()
            platform.record("VERDICT: the rule was broken" if broken else "VERDICT: the rule held")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:  # shows nothing of the ingress
            platform.record(f"the case could not run: {error!r}")
            return 2
        finally:
            platform.close()

    return asyncio.run(whole())


if __name__ == "__main__":
    sys.exit("a library of the cases")
