"""Stand-ins of the second review: clients, backends, discovery, operators, and the platform.

Everything here listens on loopback addresses and free ports and uses the standard library only. The ingresses
are separate processes, started with `run` of deploy/balancer.toml; the stand-ins share one event loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT = 110.0  # seconds for a whole case
# A loopback address of each run's own: the kernel keeps what it has learnt of a pair of addresses (tcp_metrics),
# so that on a shared one a run may change the buffers of later connections, also those of other tests.
HOST = f"127.{random.randint(1, 254)}.{random.randint(0, 255)}.{random.randint(1, 254)}"


class NotRunError(Exception):
    """The case can't be judged: something it needs did not come about."""


class Record:
    """What was sent, answered and run, in record.txt beside the script."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.file = self.path.open("w", buffering=1)
        self.begun = time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def settings() -> dict[str, Any]:
    """The settings of a small deployment: those of deploy/example.json."""
    return copy.deepcopy(json.loads((ROOT / "deploy" / "example.json").read_text())["settings"])


# RESP2


def command(*parts: bytes) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """One command; IncompleteReadError at the end of the stream."""
    line = await reader.readuntil(b"\r\n")
    if line[:1] != b"*":
        raise ValueError(line)
    parts = []
    for _ in range(int(line[1:])):
        head = await reader.readuntil(b"\r\n")
        parts.append((await reader.readexactly(int(head[1:]) + 2))[:-2])
    return parts


def options(parts: list[bytes]) -> dict[str, str]:
    return dict(piece.split("=", 1) for piece in parts[3].decode().split(","))


# Backends

Behaviour = Callable[["Attempt"], Awaitable[None]]


class Attempt:
    """A command that has come whole to a backend."""

    def __init__(self, backend: Backend, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        self.backend, self.parts, self.writer = backend, parts, writer
        self.ident = parts[2].decode()
        self.customer = parts[1].decode()
        self.class_name = options(parts)["c"]
        self.at = time.monotonic()

    def value(self, size: int = 0) -> bytes:
        """A value that names the request it was made for."""
        text = f"{self.backend.name}:{self.ident}:".encode()
        return text + b"x" * max(0, size - len(text))

    def answer(self, value: bytes) -> None:
        self.backend.record(f"backend {self.backend.name} answers {self.ident} with {len(value)} bytes")
        self.writer.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value))

    async def serve(self, work: float = 0.01, size: int = 0) -> None:
        await asyncio.sleep(work)
        self.answer(self.value(size))


class Backend:
    """A backend: begins each command as its last byte has come, and answers as `behaviour` says."""

    def __init__(self, record: Record, name: str, behaviour: Behaviour | None = None) -> None:
        self.record, self.name = record, name
        self.behaviour = behaviour or (lambda attempt: attempt.serve())
        self.attempts: list[Attempt] = []
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.up_since_ms = 0
        self.phase = "SERVING"

    async def start(self) -> Backend:
        self.server = await asyncio.start_server(self._serve, HOST, self.port, limit=8 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """The process dies: its connections are reset and new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def member(self) -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": "room-a",
            "flavor": "small-2c",
            "cell": 0,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.up_since_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                parts = await read_command(reader)
                if parts[0].upper() == b"PING":
                    writer.write(b"+PONG\r\n")
                    continue
                attempt = Attempt(self, parts, writer)
                self.attempts.append(attempt)
                self.record(f"backend {self.name} begins {attempt.ident} class={attempt.class_name}")
                await self.behaviour(attempt)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


# Discovery


class Discovery:
    """Discovery's agent: the whole list, and a watch that stays open."""

    def __init__(self, record: Record) -> None:
        self.record, self.revision = record, 1
        self.members: dict[str, dict[str, Any]] = {}
        self.watches: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> Discovery:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def known(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def list_backends(self, *backends: Backend) -> None:
        """Lists backends, or changes how they are listed; watches are told at once."""
        self.revision += 1
        changed = [backend.member() for backend in backends]
        self.members |= {member["id"]: member for member in changed}
        for writer in self.watches:
            self._object(writer, {"revision": self.revision, "complete": False, "members": changed})
        self.record(f"discovery tells {[(one['id'], one['phase']) for one in changed]}")

    def _object(self, writer: asyncio.StreamWriter, value: dict[str, Any]) -> None:
        self._chunk(writer, json.dumps(value, separators=(",", ":")).encode() + b"\n")

    def _chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split()[1].decode()
            if "follow=1" not in target:
                body = json.dumps(self.known()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                return
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            if f"since={self.revision}" not in target.split("?")[1].split("&"):
                self._object(writer, self.known())
            else:
                self._chunk(writer, b"\n")
            self.watches.add(writer)
            while not reader.at_eof():
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(1024), 2.0)
                if writer.is_closing():
                    return
                self._chunk(writer, b"\n")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


# Ingresses


def run_command() -> str:
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


class Ingress:
    """One process of an ingress, started as the platform does."""

    def __init__(
        self,
        case: Case,
        label: str,
        config: dict[str, Any],
        tmpdir: Path,
        listener: socket.socket | None = None,
        ops: str = "",
    ) -> None:
        self.case, self.label, self.config = case, label, config
        self.path = case.folder / f"{label}.json"
        self.write_config(config)
        self.log_path = case.folder / f"{label}.log"
        tmpdir.mkdir(exist_ok=True)
        environment = os.environ | {
            "EDGE_NAME": config["name"],
            "EDGE_LISTEN": config["listen"],
            "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(self.path),
            "TMPDIR": str(tmpdir),
        }
        for name in ("STANDFLOW_CONF", "EDGE_OPS", "EDGE_PASSED_SOCKET"):
            environment.pop(name, None)
        if ops:
            environment["EDGE_OPS"] = ops
        self.ops = ops or config.get("ops", "")
        pass_fds: tuple[int, ...] = ()
        if listener is not None:  # inherited as descriptor 3
            environment["EDGE_PASSED_SOCKET"] = "3"
            pass_fds = (3,)
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=pass_fds,
                start_new_session=True,
                preexec_fn=None if listener is None else lambda: os.dup2(listener.fileno(), 3),
            )
        case.record(f"platform starts {label} pid={self.process.pid}")

    def write_config(self, config: dict[str, Any]) -> None:
        beside = self.path.with_suffix(".new")
        beside.write_text(json.dumps(config))
        beside.replace(self.path)

    def signal(self, number: int) -> None:
        self.case.record(f"platform sends {signal.Signals(number).name} to {self.label}")
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    @property
    def status(self) -> int | None:
        return self.process.poll()

    async def ended(self, limit: float) -> bool:
        end = time.monotonic() + limit
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.process.poll() is not None

    async def ready(self, limit: float = 10.0) -> None:
        """Waits until PING is answered with +PONG, as the front does."""
        host, port = self.config["listen"].split(":")
        end = time.monotonic() + limit
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(command(b"PING"))
                line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 2.0)
                writer.close()
                if line == b"+PONG\r\n":
                    self.case.record(f"{self.label} answers PING")
                    return
            await asyncio.sleep(0.05)
        raise NotRunError(f"{self.label} is not ready")

    async def call(self, method: str, target: str, limit: float = 2.0) -> tuple[int, str]:
        """An operators' call; status 0 where it is not answered."""
        host, port = self.ops.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n".encode())
            data = await asyncio.wait_for(reader.read(), limit)
            writer.close()
            status, text = int(data.split()[1]), data.partition(b"\r\n\r\n")[2].decode()
        except (OSError, TimeoutError, IndexError, ValueError):
            status, text = 0, ""
        self.case.record(f"operator {method} {target} at {self.label}: {status}")
        return status, text

    async def ops_ready(self, limit: float = 6.0) -> None:
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if (await self.call("GET", "/api/ready"))[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise NotRunError(f"{self.label} does not say yes")


# Clients


class Ask:
    """One request and what came back for it."""

    def __init__(self, ident: str, sent_at: float, time_limit: float) -> None:
        self.ident, self.sent_at, self.time_limit = ident, sent_at, time_limit
        self.answer: bytes | None = None  # b"$..." served with this value, b"-..." otherwise
        self.answered_at = 0.0

    @property
    def kind(self) -> str:
        if self.answer is None:
            return "none"
        if self.answer.startswith(b"$"):
            return "served"
        return "refused" if self.answer.startswith(b"-BUSY") else "failed"


class Client:
    """One connection of a client. Answers are read in the order of the commands."""

    def __init__(self, case: Case, label: str) -> None:
        self.case, self.label = case, label
        self.asks: list[Ask] = []
        self.end = ""  # how the connection ended: `closed` or `reset`
        self.waiting: list[Ask] = []
        self.changed = asyncio.Event()

    async def connect(self, address: str) -> Client:
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=8 << 20)
        self.task = asyncio.create_task(self._read())
        return self

    def make(
        self,
        class_name: str,
        customer: int,
        d: int,
        body: bytes | None = None,
        unsafe: bool = False,
        **more: object,
    ) -> tuple[Ask, bytes]:
        """A request that is not sent yet, and its bytes."""
        self.case.serial += 1
        ident = f"{self.case.serial:016x}"
        named = {"c": class_name, "t": "full", "d": d, "units": 1, "spread": 1, "first": 0} | more
        text = ",".join(f"{key}={value}" for key, value in named.items()).encode()
        parts = [b"Q.DO" if unsafe else b"Q.ASK", b"%016x" % customer, ident.encode(), text]
        return Ask(ident, 0.0, d / 1000), command(*parts, *([] if body is None else [body]))

    def send(self, class_name: str, customer: int, d: int, **more: Any) -> Ask:
        ask, data = self.make(class_name, customer, d, **more)
        self.write([ask], data)
        return ask

    def write(self, asks: list[Ask], data: bytes) -> None:
        for ask in asks:
            ask.sent_at = time.monotonic()
            self.case.record(f"client {self.label} sends {ask.ident} d={ask.time_limit * 1000:.0f}")
        self.asks += asks
        self.waiting += asks
        self.writer.write(data)

    async def _read(self) -> None:
        try:
            while True:
                line = await self.reader.readuntil(b"\r\n")
                answer = line
                if line[:1] == b"$" and line != b"$-1\r\n":
                    answer = b"$" + (await self.reader.readexactly(int(line[1:]) + 2))[:-2]
                if not self.waiting:
                    self.case.record(
                        f"client {self.label} gets an answer that nobody waits for: {answer[:80]!r}"
                    )
                    continue
                ask = self.waiting.pop(0)
                ask.answer, ask.answered_at = answer, time.monotonic()
                self.case.record(f"client {self.label} gets for {ask.ident}: {ask.kind} {answer[:60]!r}")
                self.changed.set()
        except asyncio.IncompleteReadError:
            self.end = "closed"
        except ConnectionError:
            self.end = "reset"
        self.case.record(f"client {self.label}: connection {self.end}, {len(self.waiting)} unanswered")
        self.changed.set()

    async def settled(self, limit: float) -> None:
        """Until each request has its answer or the connection has ended."""
        end = time.monotonic() + limit
        while self.waiting and not self.end and time.monotonic() < end:
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), max(0.01, end - time.monotonic()))

    def close(self) -> None:
        self.case.record(f"client {self.label} closes")
        self.writer.close()


class Case:
    """One case: its record, its temporary folder and the processes that it started."""

    def __init__(self, script: str) -> None:
        self.here = Path(script).resolve().parent
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(self.here)
        self.folder = Path(tempfile.mkdtemp(prefix="standflow-review-"))
        self.ingresses: list[Ingress] = []
        self.serial = 0x5EED0000
        self.faults: list[str] = []
        self.record(f"trouble={int(self.trouble)}")

    def fault(self, text: str) -> None:
        self.faults.append(text)
        self.record(f"BROKEN {text}")

    def config(self, discovery: Discovery, settings_: dict[str, Any], **more: Any) -> dict[str, Any]:
        return {
            "name": "n0",
            "listen": f"{HOST}:{free_port()}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.known(),
            "settings": settings_,
        } | more

    def ingress(self, label: str, config: dict[str, Any], **more: Any) -> Ingress:
        tmpdir = more.pop("tmpdir", None) or self.folder / f"tmp-{label}"
        one = Ingress(self, label, config, tmpdir, **more)
        self.ingresses.append(one)
        return one

    def close(self) -> None:
        for one in self.ingresses:
            if one.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(one.process.pid, signal.SIGKILL)
                one.process.wait()
            self.record(f"log of {one.label} (exit status {one.process.returncode}):")
            for line in one.log_path.read_text(errors="replace").splitlines()[-400:]:
                self.record(f"  {one.label}| {line[:400]}")
        shutil.rmtree(self.folder, ignore_errors=True)


def main(script: str, play: Callable[[Case], Awaitable[None]]) -> None:
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    case, status = Case(script), NOT_RUN

    def ended(number: int, _frame: object) -> None:
        raise NotRunError(f"ended by {signal.Signals(number).name}")

    signal.signal(signal.SIGTERM, ended)
    try:
        asyncio.run(asyncio.wait_for(play(case), TIME_LIMIT))
        status = BROKEN if case.faults else HELD
    except Exception as error:  # including the time limit
        case.record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        case.close()
    case.record(f"status {status}")
    for fault in case.faults:
        print(f"broken: {fault}")
    sys.exit(status)
