"""A fleet of real ingresses on loopback, with callers of several tenants, driven by a schedule."""

from __future__ import annotations

import random
import re
import select
import signal
import socket
import tempfile
import threading
import time
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from zlib import crc32

from lab.box import Box
from lab.callers import ClosedWithoutReplyError, command, read, reply_outcome
from lab.datagrams import DatagramProxy
from lab.discovery import Discovery
from lab.fleet.schedule import ON_STREAMS, TO_BOXES, Step
from lab.processes import WAIT_LIMIT_SECONDS, Ingress
from lab.quotas import TenantRequest
from lab.streams import TcpProxy

RATE, BURST = 4.0, 12.0  # of each tenant's plan; a request is one unit
FAILURE_DETECTION_SECONDS = (0.9, 3.1)  # range in which a load balancer keeps sending to a dead ingress
DEADLINE = 3.0
HEAVY_TENANTS, CALM_TENANTS = 3, 6  # tenants
REQUEST_CPU_SECONDS = 0.05  # per request at a box of one core, with streams
SETTINGS_TEMPLATE = """
name      n{number}
listen    127.0.0.1:0
ops       127.0.0.1:0
number    {number}
ingresses {ingresses}
sockets   {sockets}
class look {{
    aim       {look_aim}
    deadline  {look_deadline}
}}
class change {{
    effect    unsafe
    aim       {change_aim}
    deadline  {change_deadline}
}}
plan plain {{
    rate   {rate}
    burst  {burst}
}}
limits {{
    units  1
}}
{peers}
{boxes}
{fleet}
{store}
"""
AIM_FRACTION = 1 / 3  # of the deadline
DATAGRAM_SETTINGS = ("loss", "again", "noise", "delay")
STATE_CHANGE_LINE = re.compile(r"^(\d+\.\d+) fleet: place (\d+): .+? -> (\w+)")


@dataclass(slots=True, frozen=True)
class RequestRecord:
    """One request. `at`: when it was sent; `took`: seconds until it ended as `end`."""

    at: float
    tenant: str
    member: int
    ident: str
    safe: bool
    end: str  # served, refused, failed, lost (no complete answer) or down (connection refused)
    took: float


@dataclass(slots=True, frozen=True)
class ProcessEnd:
    """The end of an ingress process. `killed_at`: when SIGKILL was sent; None if it was not."""

    member: int
    at: float
    killed_at: float | None = None


@dataclass(slots=True, frozen=True)
class Deployment:
    """Request settings in the file of every ingress; deadlines in seconds."""

    look_deadline: float = DEADLINE
    change_deadline: float = DEADLINE
    rate: float = RATE
    burst: float = BURST
    sockets: int = 1024

    @property
    def longest_deadline(self) -> float:
        """The deadline in seconds that a shutdown goes by."""
        return max(self.look_deadline, self.change_deadline)


class Site:
    """Starts a fleet and stops all of it on exit. Times are seconds since `begin`."""

    def __init__(
        self,
        size: int,
        view: bool = True,
        boxes: int = 2,
        seed: int = 0,
        store: bool = False,
        streams: bool = False,
        deployment: Deployment | None = None,
        work: float = REQUEST_CPU_SECONDS,
        cores: float = 1.0,
        relayed: bool = True,
    ) -> None:
        """`store`: each ingress has a store folder that survives restarts. `streams`: ingresses find boxes by
        discovery and reach both through a TCP proxy; boxes then have `cores` cores each, and a request takes
        `work` CPU seconds. Without `relayed` only discovery is proxied, and boxes are reached directly.
        """
        self.deployment, self.relayed = deployment or Deployment(), relayed
        self.size, self.view, self.seed, self.store = size, view, seed, store
        self.stack = ExitStack()
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.network = self.stack.enter_context(DatagramProxy(size, seed=seed))
        work, cores = (work, cores) if streams else (0.0, 0.0)
        self.boxes = [self.stack.enter_context(Box(work=work, cores=cores)) for _ in range(boxes)]
        self.streams: TcpProxy | None = None
        # one per ingress, since each sees the boxes at its own proxy addresses
        self.discoveries = [self.stack.enter_context(Discovery(0.5)) for _ in range(size if streams else 0)]
        if streams:
            endpoints = [box.address for box in self.boxes] + [one.address for one in self.discoveries]
            self.streams = self.stack.enter_context(TcpProxy(size, endpoints))
            for number in range(boxes):
                self._publish_box(number)
        self.live: dict[int, Ingress] = {}
        self.addresses: dict[int, tuple[str, int]] = {}
        self.process_runs: list[tuple[int, float, Ingress]] = []  # member, start time, process
        self.process_ends: list[ProcessEnd] = []
        self.down_since: dict[int, float] = {}
        self.killed: set[int] = set()  # requests in flight there may have run
        self.asked: list[RequestRecord] = []
        self.runs = 0  # number of spans played
        self.executed_steps: list[tuple[float, Step]] = []
        self.begin = time.time()
        try:
            self.start(*range(size))
        except BaseException:
            self.stack.close()
            raise

    def __enter__(self) -> Site:
        return self

    def __exit__(self, *error: object) -> None:
        for ingress in self.live.values():
            ingress.signal(signal.SIGCONT)
        self.stack.close()

    def now(self) -> float:
        """Seconds since the site began."""
        return time.time() - self.begin

    # Steps of a schedule.

    def start(
        self, *members: int, module: str = "standflow", environment: dict[str, str] | None = None
    ) -> None:
        """Starts ingresses by number, all at once; of an earlier run only the store is kept.

        `module`: the Python module to run, with `environment` added to the inherited one.
        """
        for member in members:
            self.configure(member, self.deployment)
            path = self.folder / f"{member}.conf"
            self.live[member] = ingress = Ingress(path, environment=environment, module=module)
            self.stack.callback(ingress.end)
            self.process_runs.append((member, self.now(), ingress))
        for member in members:
            self.addresses[member] = self.live[member].address()
            self.down_since.pop(member, None)
            self.killed.discard(member)

    def configure(self, member: int, deployment: Deployment, watched: int | None = None) -> None:
        """Writes an ingress's file; `watched`: whose discovery it follows, by default its own."""
        lines = ["peer-listen {}:{}".format(*self.network.real[member])]
        lines += ["peer {}:{}".format(*address) for address in self.network.addresses_for(member)]
        hops = [
            "next-hop s-{} {{\n    address {}:{}\n}}".format(n, *box.address)
            for n, box in enumerate(self.boxes)
        ]
        if self.streams is not None:
            watched = member if watched is None else watched
            hops = ["discovery {}:{}".format(*self.streams.addresses_for(member)[len(self.boxes) + watched])]
        (self.folder / f"{member}.conf").write_text(
            SETTINGS_TEMPLATE.format(
                number=member,
                ingresses=self.size,
                rate=deployment.rate,
                burst=deployment.burst,
                sockets=deployment.sockets,
                look_aim=_milliseconds(AIM_FRACTION * deployment.look_deadline),
                look_deadline=_milliseconds(deployment.look_deadline),
                change_aim=_milliseconds(AIM_FRACTION * deployment.change_deadline),
                change_deadline=_milliseconds(deployment.change_deadline),
                peers="\n".join(lines),
                boxes="\n".join(hops),
                fleet="fleet {\n    name lab\n}" if self.view else "",
                store=f"store {{\n    folder {self.disk(member)}\n}}" if self.store else "",
            )
        )

    def disk(self, member: int) -> Path:
        """The folder of an ingress's store."""
        return self.folder / f"disk-{member}"

    def kill(self, *members: int) -> None:
        """Sends SIGKILL to all at once. On a busy machine a process goes on for some time after it."""
        killed_at: dict[int, float] = {}
        for member in members:
            self.down_since[member] = killed_at[member] = self.now()
            self.killed.add(member)
            self.live[member].process.kill()
        for member in members:
            self.live.pop(member).process.wait()
            self.process_ends.append(ProcessEnd(member, self.now(), killed_at[member]))

    def stop(self, *members: int) -> None:
        """Sends SIGTERM and waits for the exits."""
        for member in members:
            self.down_since[member] = self.now()
            self.live[member].signal(signal.SIGTERM)
        for member in members:
            self.live.pop(member).process.wait(WAIT_LIMIT_SECONDS)
            self.process_ends.append(ProcessEnd(member, self.now()))

    def do(self, step: Step) -> None:
        """Executes one step."""
        members, others = set(step.members), set(range(self.size)) - set(step.members)
        if step.what == "cut":
            self.network.partition(members, others)
        elif step.what == "block":
            self.network.blocked |= {(a, b) for a in members for b in members if a != b}
        elif step.what == "mute":
            self.network.blocked |= {(a, b) for a in members for b in others}
        elif step.what == "heal":
            self.network.partition()
        elif step.what in ("kill", "start", "stop"):
            affected = [m for m in step.members if (m in self.live) != (step.what == "start")]
            getattr(self, step.what)(*affected)
        elif step.what == "hold":
            for ingress in [self.live[m] for m in step.members if m in self.live]:
                ingress.signal(signal.SIGSTOP)
                threading.Timer(step.amount, ingress.signal, [signal.SIGCONT]).start()
        elif self.streams is not None and step.what in ON_STREAMS:
            boxes = set(range(len(self.boxes)))
            for member in members:
                to = {len(self.boxes) + member} if step.what == "list-cut" else boxes
                (self.streams.refuse if step.what == "box-reset" else self.streams.cut)({member}, to)
        elif self.streams is not None and step.what == "box-heal":
            self.streams.heal()
        elif self.streams is not None and step.what == "box-delay":
            self.streams.delay = step.amount
        elif self.streams is not None and step.what in TO_BOXES:
            for number in step.members:
                if step.what == "back":
                    self.boxes[number].restart()
                self._publish_box(number, "DRAINING" if step.what == "drain" else "SERVING")
        elif step.what in DATAGRAM_SETTINGS:
            setattr(self.network, step.what, step.amount)
        else:
            raise ValueError(f"{step.what} needs a site with streams")
        self.executed_steps.append((self.now(), step))

    def _publish_box(self, number: int, phase: str = "SERVING") -> None:
        """Publishes a box in every discovery, with the address at which that ingress sees the box."""
        for member, one in enumerate(self.discoveries):
            assert self.streams is not None
            address = (
                self.streams.addresses_for(member)[number] if self.relayed else self.boxes[number].address
            )
            one.publish(f"s-{number}", address, phase, up_since=self.boxes[number].started)

    def run(self, steps: list[Step], span: float, load: bool = True) -> None:
        """Plays a schedule under load; each further call plays another span."""
        self.runs += 1
        began = self.now()
        caller_threads = [
            threading.Thread(target=self._run_callers, args=(n, span), daemon=True) for n in range(self.size)
        ]
        for caller_thread in caller_threads if load else ():
            caller_thread.start()
        for step in steps:
            time.sleep(max(0.0, began + step.at - self.now()))
            self.do(step)
        time.sleep(max(0.0, began + span - self.now()))
        for caller_thread in caller_threads if load else ():
            caller_thread.join(span + WAIT_LIMIT_SECONDS)
            assert not caller_thread.is_alive()  # a truncated history proves nothing

    # Callers: one thread for the load that the load balancers send to one ingress.

    def tenants(self) -> dict[str, float]:
        """Each tenant with its load as a multiple of its rate."""
        return {f"heavy{n}": 2.0 for n in range(HEAVY_TENANTS)} | {
            f"calm{n}": 0.3 for n in range(CALM_TENANTS)
        }

    def _run_callers(self, number: int, span: float) -> None:
        span_name = "" if self.runs == 1 else f"r{self.runs}"
        rng = random.Random(f"{self.seed} {number}{span_name}")
        due = sorted(
            (at, tenant)
            for tenant, times in self.tenants().items()
            for at in _arrivals(rng, span, times * RATE / self.size)
        )
        connections: dict[int, socket.socket] = {}
        began = time.monotonic()
        for serial, (at, tenant) in enumerate(due):
            time.sleep(max(0.0, began + at - time.monotonic()))
            member = self._choose_member(number, rng)
            ident, safe = f"{self.seed:x}{span_name}n{number}s{serial}", rng.random() < 0.8
            sent, begun = self.now(), time.monotonic()
            end = self._send_request(connections, member, tenant, ident, safe)
            self.asked.append(RequestRecord(sent, tenant, member, ident, safe, end, time.monotonic() - begun))
        for sock in connections.values():
            sock.close()

    def _choose_member(self, number: int, rng: random.Random) -> int:
        """Picks an ingress as a load balancer does: a dead one is used until its failure is detected."""
        notice = random.Random(f"{number} {self.down_since.get(number)}").uniform(*FAILURE_DETECTION_SECONDS)
        if self.now() - self.down_since.get(number, self.now()) < notice or len(self.down_since) >= self.size:
            return number
        return rng.choice([m for m in range(self.size) if m not in self.down_since] or [number])

    def _send_request(
        self, connections: dict[int, socket.socket], member: int, tenant: str, ident: str, safe: bool
    ) -> str:
        options = b"c=%b,t=plain,d=%d,units=1,spread=%d,first=0" % (
            b"look" if safe else b"change",
            round(DEADLINE * 1000),
            self.size,
        )
        name = b"Q.ASK" if safe else b"Q.DO"
        text = command([name, b"%016x" % crc32(tenant.encode()), ident.encode(), options])
        if member in connections and select.select([connections[member]], [], [], 0)[0]:
            connections.pop(member).close()  # closed while idle: reconnects before sending
        for reused in (True, False) if member in connections else (False,):
            try:
                if not reused:
                    connections[member] = socket.create_connection(self.addresses[member], 1.0)
                    connections[member].settimeout(DEADLINE + 1.0)
                    connections[member].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connections[member].sendall(text)
                return reply_outcome(read(connections[member]))
            except OSError as error:
                if member in connections:
                    connections.pop(member).close()
                if isinstance(error, ConnectionRefusedError):
                    return "down"
                # The request crossed a close between two commands: it is sent once more on a new connection.
                crossed = isinstance(error, ClosedWithoutReplyError) and member not in self.killed
                if not reused or not crossed:
                    return "lost"
        return "lost"

    # Observations.

    def quota_history(self) -> list[TenantRequest]:
        """The tenants' history, for lab.quotas.evaluate_quotas."""
        return [
            TenantRequest(one.at, one.tenant, 1.0, one.end == "served")
            for one in self.asked
            if one.end in ("served", "refused")
        ]

    def changes(self) -> list[tuple[float, int, int, str]]:
        """Membership changes from the logs: time, observing member, member id and new state."""
        found = []
        for member, began, ingress in self.process_runs:
            found.append((began, member, member, "began"))
            for line in list(ingress.log):
                if (match := STATE_CHANGE_LINE.match(line)) is not None and int(match[2]) != member:
                    found.append((float(match[1]) - self.begin, member, int(match[2]), match[3]))
        return sorted(found, key=lambda change: change[0])  # stable: equal times stay in log order

    def membership_views(self) -> dict[int, set[int]]:
        """The members that each live ingress considers alive."""
        views: dict[int, set[int]] = {}
        for _, member, place, state in self.changes():
            if state == "began":
                views[member] = {member}
            elif state in ("present", "suspected"):
                views[member].add(place)
            else:
                views[member].discard(place)
        return {member: view for member, view in views.items() if member in self.live}

    def all_agree(self) -> bool:
        """True if every live ingress considers exactly the live ingresses alive."""
        return all(view == set(self.live) for view in self.membership_views().values())

    def wait_for_agreement(self, limit: float) -> float:
        """Seconds until all agree; `limit` if they don't by then."""
        began = time.monotonic()
        while not self.all_agree():
            if time.monotonic() - began > limit:
                return limit
            time.sleep(0.05)
        return time.monotonic() - began


def _milliseconds(seconds: float) -> str:
    return f"{seconds * 1000:.0f}ms"


def _arrivals(rng: random.Random, span: float, rate: float) -> list[float]:
    at, times = 0.0, []
    while (at := at + rng.expovariate(rate)) < span:
        times.append(at)
    return times
