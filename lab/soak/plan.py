"""The plan of one soak run, drawn from its seed. No I/O; the same seed draws the same run.

Times of a process run are seconds from its SIGTERM, those of backends and discovery seconds from the start of
the run.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum

from lab.shutdown import kill_time
from standflow.shutdown_schedule import schedule_for

MAX_INGRESSES = 4
BACKENDS = 3
DEADLINES = (0.3, 0.5, 0.8, 1.2, 1.6, 2.4, 3.0, 4.0, 5.0)  # seconds
MAX_PAUSE_SECONDS = 0.15  # longest pause of an ingress that the platform terms allow
RELOAD_SECONDS = 0.2  # in which a file is read after SIGHUP, including a pause
LAST_SEND_SECONDS = 0.01  # before SIGKILL, the latest send of a client
LONG_VALUE_BYTES = 300_000
CUT_FRACTION = 0.9  # of a long value, then its connection is cut
CROWD_SOCKETS = 256  # descriptor limit of an ingress that gets a crowd
CROWD_IDLE, CROWD_AT_ONCE = 140, 200  # connections
# Pending clients send this long before the end of accepting, and before the end of serving.
PENDING_LEAD_SECONDS = 0.05
PENDING_TENANT = 50  # of the pending clients
PLAN_RATE, PLAN_BURST = 4.0, 6.0  # rate (units a second) and burst (units) of each tenant's quota


class Signal(Enum):
    """Signals that an ingress gets besides its SIGTERM and SIGKILL."""

    RELOAD = "reload"  # SIGHUP after its file was rewritten
    TERMINATE = "terminate"  # another SIGTERM
    HOLD = "hold"  # SIGSTOP, then SIGCONT after a pause


class BackendMode(Enum):
    """How a backend fails temporarily."""

    SILENT = "silent"  # reads requests and answers none
    SLOW = "slow"  # answers near the deadline
    LATE = "late"  # answers after it
    TWICE = "twice"  # sends a second answer after each
    REFUSING = "refusing"  # resets new connections
    RESETTING = "resetting"  # resets all open connections once
    LONG = "long"  # answers with long values
    CUT = "cut"  # cuts connections near the end of a long value
    DRAINING = "draining"  # is draining in discovery, then restarts cold


@dataclass(slots=True, frozen=True)
class SignalAt:
    """A signal. A reload also sets the longest deadline and `watched`: whose discovery to follow."""

    at: float
    signal: Signal
    longest_deadline: float = 0.0
    watched: int = 0


@dataclass(slots=True, frozen=True)
class PlannedSend:
    """One request."""

    at: float
    safe: bool
    tenant: int


@dataclass(slots=True, frozen=True)
class PlannedClient:
    """One connection. `disconnects_at`: closes then, even with requests open.

    `open_until_kill`: keeps its side open until SIGKILL, even if the ingress closes.
    """

    connects_at: float
    sends: tuple[PlannedSend, ...]
    disconnects_at: float | None = None
    open_until_kill: bool = False


@dataclass(slots=True, frozen=True)
class Fault:
    """An injected system call failure in the form of lab.faulty_calls; seconds from the process start."""

    call: str
    error: str
    every: int
    begin: float
    end: float


@dataclass(slots=True, frozen=True)
class ProcessRun:
    """One process run of an ingress. `serving_seconds`: from ready to SIGTERM."""

    serving_seconds: float
    signals: tuple[SignalAt, ...]
    clients: tuple[PlannedClient, ...]
    fault: Fault | None

    def counted_deadline(self, longest_deadline: float) -> float:
        """The longest deadline that determines SIGKILL: with reloads, the smallest of those configured."""
        reloads = [one.longest_deadline for one in self.signals if one.signal is Signal.RELOAD]
        return min([longest_deadline, *reloads])


@dataclass(slots=True, frozen=True)
class BackendFault:
    """A backend fault from `begin` to `end`."""

    backend: int
    mode: BackendMode
    begin: float
    end: float


@dataclass(slots=True, frozen=True)
class DiscoveryOutage:
    """An ingress can't reach discovery. `refused`: connections are reset instead of blackholed."""

    ingress: int
    begin: float
    end: float
    refused: bool


@dataclass(slots=True, frozen=True)
class Run:
    """A whole run. `process_runs`: in order, by ingress."""

    seed: int
    look_deadline: float
    change_deadline: float
    crowd: bool
    pending_at_kill: bool  # backends never answer one tenant, whose clients wait until SIGKILL
    process_runs: tuple[tuple[ProcessRun, ...], ...]
    backends: tuple[BackendFault, ...]
    outages: tuple[DiscoveryOutage, ...]

    @property
    def ingresses(self) -> int:
        """The number of ingresses."""
        return len(self.process_runs)

    @property
    def longest_deadline(self) -> float:
        """The longest deadline in seconds."""
        return max(self.look_deadline, self.change_deadline)


def draw(seed: int) -> Run:
    """Draws the run of a seed."""
    rng = random.Random(f"soak {seed}")
    look_deadline, change_deadline = rng.choice(DEADLINES), rng.choice(DEADLINES)
    longest = max(look_deadline, change_deadline)
    ingresses = rng.randint(1, MAX_INGRESSES)
    crowd = seed % 3 == 0
    pending_at_kill = seed % 4 == 2
    process_runs = tuple(
        tuple(
            _draw_process_run(rng, longest, ingresses, crowd and number == 0 and index == 0)
            for index in range(rng.randint(1, 3 if ingresses < 3 else 2))
        )
        for number in range(ingresses)
    )
    span = max(
        sum(process_run.serving_seconds + kill_time(longest) for process_run in of) for of in process_runs
    )
    backends = tuple(_draw_backend_fault(rng, span) for _ in range(rng.randint(2, 4)))
    outages = tuple(_draw_outage(rng, number, span) for number in range(ingresses) if rng.random() < 0.3)
    if pending_at_kill:  # applied after all draws, so that the runs of other seeds stay the same
        process_runs = tuple(
            tuple(_with_pending_clients(process_run, longest) for process_run in of) for of in process_runs
        )
        backends = ()
    return Run(seed, look_deadline, change_deadline, crowd, pending_at_kill, process_runs, backends, outages)


def _draw_process_run(rng: random.Random, longest: float, ingresses: int, crowd: bool) -> ProcessRun:
    serving_seconds = rng.uniform(1.0, 2.5)
    signals = _draw_signals(rng, longest, ingresses)
    reloads = [one.longest_deadline for one in signals if one.signal is Signal.RELOAD]
    end = kill_time(min([longest, *reloads])) - LAST_SEND_SECONDS
    clients = _draw_clients(rng, -serving_seconds + 0.1, end)
    if crowd:
        clients += _draw_crowd(rng, -serving_seconds + 0.1, end)
    fault = _draw_fault(rng, serving_seconds) if rng.random() < 0.4 else None
    return ProcessRun(serving_seconds, signals, tuple(clients), fault)


def _draw_signals(rng: random.Random, longest: float, ingresses: int) -> tuple[SignalAt, ...]:
    signals: list[SignalAt] = []
    for _ in range(rng.randint(0, 4)):
        at = rng.choice([rng.uniform(-0.6, -0.02), rng.uniform(0.001, 0.02), rng.uniform(0.1, 0.5)])
        signal = rng.choice(list(Signal))
        if signal is Signal.RELOAD:
            deadline = rng.choice([longest, rng.choice(DEADLINES)])
            signals.append(SignalAt(at, signal, deadline, rng.randrange(ingresses)))
        elif signal is Signal.TERMINATE and at < 0:
            continue  # the first SIGTERM is sent by the process run itself
        elif signal is Signal.HOLD and any(one.signal is Signal.HOLD for one in signals):
            continue  # two pauses could overlap into a longer one
        else:
            signals.append(SignalAt(at, signal))
    return _without_unread_files(sorted(signals, key=lambda one: one.at))


def _without_unread_files(signals: list[SignalAt]) -> tuple[SignalAt, ...]:
    """Drops reloads that follow another too soon: a file replaced before it is read never takes effect."""
    kept: list[SignalAt] = []
    for one in signals:
        reloads = [other.at for other in kept if other.signal is Signal.RELOAD]
        if one.signal is not Signal.RELOAD or not reloads or one.at - reloads[-1] > RELOAD_SECONDS:
            kept.append(one)
    return tuple(kept)


def _draw_clients(rng: random.Random, begin: float, end: float) -> list[PlannedClient]:
    """Draws clients: steady, pipelining, mostly idle, disconnecting early, and connecting late."""
    clients = []
    for _ in range(3):
        every = rng.uniform(0.15, 0.4)
        clients.append(PlannedClient(begin, _sends(rng, _steps(begin, end, every))))
    for _ in range(2):
        every, depth = rng.uniform(0.3, 0.6), rng.randint(2, 6)
        times = [at for at in _steps(begin, end, every) for _ in range(depth)]
        clients.append(PlannedClient(begin, _sends(rng, times)))
    for _ in range(3):
        times = [begin + rng.uniform(0.0, 0.3), rng.uniform(0.05, end)]
        clients.append(PlannedClient(begin, _sends(rng, times)))
    for _ in range(4):
        at = rng.uniform(begin, min(end, 1.0))
        disconnects = at + rng.choice([0.002, rng.uniform(0.01, 0.4)])
        clients.append(PlannedClient(at - 0.01, _sends(rng, [at] * rng.randint(1, 3)), disconnects))
    for _ in range(6):
        at = rng.uniform(begin, 0.3)
        later = rng.uniform(at, end)
        clients.append(PlannedClient(at, _sends(rng, [at, later])))
    clients.append(PlannedClient(0.1, _sends(rng, [end])))
    return clients


def _with_pending_clients(process_run: ProcessRun, longest: float) -> ProcessRun:
    """Adds clients that still wait for an answer at SIGKILL and keep their connection open until then.

    The first request keeps the connection from being closed as idle; the second is sent just before the end
    of serving, so that its deadline passes only after the ingress must have answered everything.
    """
    schedule = schedule_for(process_run.counted_deadline(longest))
    pending = []
    for safe in (True, False):
        times = (schedule.stop_accepting - PENDING_LEAD_SECONDS, schedule.stop_serving - PENDING_LEAD_SECONDS)
        sends = tuple(PlannedSend(at, safe, PENDING_TENANT) for at in times)
        pending.append(PlannedClient(-PENDING_LEAD_SECONDS, sends, open_until_kill=True))
    return replace(process_run, clients=process_run.clients + tuple(pending))


def _draw_crowd(rng: random.Random, begin: float, end: float) -> list[PlannedClient]:
    """Draws idle connections near the descriptor limit, and hundreds that connect at once."""
    idle = [PlannedClient(begin + n * 0.001, ()) for n in range(CROWD_IDLE)]
    at = rng.uniform(begin + 0.4, -0.1)
    many = [PlannedClient(at, _sends(rng, [at + 0.02])) for _ in range(CROWD_AT_ONCE)]
    return idle + many


def _steps(begin: float, end: float, every: float) -> list[float]:
    return [begin + every * n for n in range(int((end - begin) / every) + 1)]


def _sends(rng: random.Random, times: list[float]) -> tuple[PlannedSend, ...]:
    """Draws requests of two tenants near their quota and many others well within it; a third are unsafe."""
    sends = []
    for at in sorted(times):
        tenant = rng.randrange(2) if rng.random() < 0.3 else 100 + rng.randrange(200)
        sends.append(PlannedSend(at, rng.random() < 0.67, tenant))
    return tuple(sends)


def _draw_fault(rng: random.Random, serving_seconds: float) -> Fault:
    call, error = rng.choice(
        [
            ("accept", "ECONNABORTED"),
            ("accept", "ENFILE"),
            ("connect_ex", "EADDRNOTAVAIL"),
            ("connect_ex", "ENETUNREACH"),
            ("connect_ex", "EINTR"),
            ("send", "short"),
            ("recv", "short"),
        ]
    )
    begin = rng.uniform(0.3, serving_seconds)
    return Fault(call, error, rng.randint(2, 5), begin, begin + rng.uniform(0.3, 1.5))


def _draw_backend_fault(rng: random.Random, span: float) -> BackendFault:
    begin = rng.uniform(0.0, 0.8 * span)
    mode = rng.choice(list(BackendMode))
    return BackendFault(rng.randrange(BACKENDS), mode, begin, begin + rng.uniform(0.5, 4.0))


def _draw_outage(rng: random.Random, ingress: int, span: float) -> DiscoveryOutage:
    begin = rng.uniform(0.0, 0.8 * span)
    return DiscoveryOutage(ingress, begin, begin + rng.uniform(0.3, 2.5), rng.random() < 0.5)
