"""Executes a soak run: real ingresses, backends and discovery on loopback, with clients and signals."""

from __future__ import annotations

import json
import re
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from lab.box import Mode
from lab.faulty_calls import VARIABLE
from lab.fleet.schedule import Step
from lab.fleet.site import Deployment, Site
from lab.processes import Ingress
from lab.scheduling import SAMPLE_SECONDS, read_steal
from lab.shutdown import Client, Send, Shutdown, shut_down
from lab.soak.plan import (
    BACKENDS,
    CROWD_SOCKETS,
    CUT_FRACTION,
    LONG_VALUE_BYTES,
    MAX_PAUSE_SECONDS,
    PENDING_TENANT,
    PLAN_BURST,
    PLAN_RATE,
    BackendFault,
    BackendMode,
    DiscoveryOutage,
    ProcessRun,
    Run,
    Signal,
    SignalAt,
)
from lab.soak.record import Row

BACKEND_WORK_SECONDS, BACKEND_CORES = 0.002, 4.0
PAUSE_SECONDS = MAX_PAUSE_SECONDS - 0.01  # leaves room for a late SIGCONT within the allowed pause
LATE_BY_SECONDS = 0.3  # of an answer after the deadline
STARVATION_POLL_SECONDS = 0.01  # between checks of whether the soak itself is scheduled
MIN_STARVATION_SECONDS = 0.02  # shortest delay that is recorded
IDS_PER_PROCESS_RUN = 100_000
SIGNAL_NUMBERS = {Signal.RELOAD: signal.SIGHUP, Signal.TERMINATE: signal.SIGTERM, Signal.HOLD: signal.SIGSTOP}
SOCKETS = 1024
# A log line, with its time.
SHUTDOWN_STEP = re.compile(r"([\d.]+) ((?:stopping|stopped|shutdown: |loop: ).*)")
DISCOVERY_CALL_END = re.compile(r"([\d.]+) end routes (\S+) age=([\d.]+)")
# Lines of the tracebacks that a killed process writes: the first of a thread, and file, line and function.
STACK_BEGIN = re.compile(r"(Current t|T)hread 0x")
STACK_FRAME = re.compile(r'  File ".*?([^/"]+)", line (\d+) in (\S+)')


@dataclass(slots=True)
class SoakResult:
    """The result of a run: rows for the record, and the log of each process run."""

    rows: list[Row]
    logs: list[str]


class SoakRunner:
    """One run; `play` returns once every ingress has ended."""

    def __init__(self, run: Run) -> None:
        self.plan = run
        self.rows: list[Row] = []
        self.logs: list[str] = []
        self.arrived: set[str] = set()
        self.begin = time.monotonic()
        self.over = threading.Event()

    def play(self) -> SoakResult:
        """Plays the whole run."""
        plan = self.plan
        sockets = CROWD_SOCKETS if plan.crowd else SOCKETS
        deployment = Deployment(plan.look_deadline, plan.change_deadline, PLAN_RATE, PLAN_BURST, sockets)
        with Site(
            plan.ingresses,
            view=plan.ingresses > 1,
            boxes=BACKENDS,
            seed=plan.seed,
            store=True,
            streams=True,
            deployment=deployment,
            work=BACKEND_WORK_SECONDS,
            cores=BACKEND_CORES,
            relayed=False,
        ) as site:
            for box in site.boxes:
                box.received_ids = self.arrived
                box.hung_tenants = frozenset([PENDING_TENANT] if plan.pending_at_kill else [])
            self.begin = time.monotonic()
            background = [
                threading.Thread(target=self._run_backend_faults, args=(site,)),
                threading.Thread(target=self._watch_for_starvation),
            ]
            process_runs = [
                threading.Thread(target=self._run_ingress, args=(site, n)) for n in range(plan.ingresses)
            ]
            for thread in (*background, *process_runs):
                thread.start()
            for thread in process_runs:
                thread.join()
            self.over.set()
            for thread in background:
                thread.join()
            self._record_backends(site)
        return SoakResult(self.rows, self.logs)

    def now(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self.begin

    # The process runs of one ingress.

    def _run_ingress(self, site: Site, member: int) -> None:
        for number, process_run in enumerate(self.plan.process_runs[member]):
            started = self.now()
            if number or process_run.fault is not None:
                self._start(site, member, process_run, first=not number)
            ready = self.now()
            ingress = site.live[member]
            ended = self._play_process_run(site, member, number, process_run, ingress)
            status = "killed" if ended.ended_at is None else str(ingress.process.returncode)
            self._record_process_run(member, number, started, ready, ended, status)
            self._record_scheduling(member, number, ended)
            self._record_steps(member, number, list(ingress.log))
            self._record_discovery_call(member, number, list(ingress.log))
            self._record_stack(member, number, list(ingress.log))
            self.logs += [f"n{member} life {number} {line}" for line in list(ingress.log)]

    def _start(self, site: Site, member: int, process_run: ProcessRun, first: bool) -> None:
        if first:  # the site started it without faults
            site.kill(member)
        module, environment = "standflow", None
        if (fault := process_run.fault) is not None:
            module = "lab.faulty_calls"
            calls = [{"call": fault.call, "error": fault.error, "every": fault.every}]
            environment = {VARIABLE: json.dumps({"calls": calls, "from": fault.begin, "until": fault.end})}
        site.start(member, module=module, environment=environment)

    def _play_process_run(
        self, site: Site, member: int, number: int, process_run: ProcessRun, ingress: Ingress
    ) -> Shutdown:
        clients = [
            Client(
                [Send(send.at, send.safe, send.tenant, self._timeout(send.safe)) for send in one.sends],
                one.connects_at,
                one.disconnects_at,
                one.open_until_kill,
            )
            for one in process_run.clients
        ]
        due, prepared = [], {}
        for one in process_run.signals:
            due.append((one.at, int(SIGNAL_NUMBERS[one.signal])))
            prepared[one.at] = one
            if one.signal is Signal.HOLD:
                due.append((one.at + PAUSE_SECONDS, int(signal.SIGCONT)))

        def prepare(at: float, sent: int) -> None:
            if (one := prepared.get(at)) is not None and one.signal is Signal.RELOAD:
                self._write_settings(site, member, one)
            name = signal.Signals(sent).name
            self.rows.append(Row(what="signal", t=self.now(), member=member, life=number, detail=name))

        ended = shut_down(
            ingress.process,
            site.addresses[member],
            clients,
            process_run.counted_deadline(self.plan.longest_deadline),
            self.plan.longest_deadline,
            self.arrived,
            due,
            extend_by_starvation=False,
            first_serial=(member * 100 + number) * IDS_PER_PROCESS_RUN,
            spread=self.plan.ingresses,
            prepare=prepare,
        )
        self._record_clients(member, number, clients, ended)
        return ended

    def _timeout(self, safe: bool) -> float:
        return self.plan.look_deadline if safe else self.plan.change_deadline

    def _write_settings(self, site: Site, member: int, one: SignalAt) -> None:
        """Rewrites the file with other deadlines and the discovery to follow."""
        part = one.longest_deadline / self.plan.longest_deadline
        deployment = Deployment(
            self.plan.look_deadline * part,
            self.plan.change_deadline * part,
            PLAN_RATE,
            PLAN_BURST,
            site.deployment.sockets,
        )
        site.configure(member, deployment, one.watched)

    # Backends and discovery.

    def _run_backend_faults(self, site: Site) -> None:
        due: list[tuple[float, Callable[[], None]]] = []
        for one in self.plan.backends:
            due.append((one.begin, lambda one=one: self._begin_backend_fault(site, one)))  # type: ignore[misc]
            due.append((one.end, lambda one=one: self._end_backend_fault(site, one)))  # type: ignore[misc]
        for outage in self.plan.outages:
            due.append((outage.begin, lambda one=outage: self._begin_outage(site, one)))  # type: ignore[misc]
            due.append((outage.end, lambda one=outage: self._end_outage(site, one)))  # type: ignore[misc]
        for at, act in sorted(due, key=lambda one: one[0]):
            if self.over.wait(max(0.0, at - self.now())):
                return
            act()

    def _begin_backend_fault(self, site: Site, one: BackendFault) -> None:
        box, mode = site.boxes[one.backend], one.mode
        self.rows.append(
            Row(what="backend", t=self.now(), until=one.end, backend=one.backend, detail=mode.value)
        )
        if mode is BackendMode.SILENT:
            box.mode = Mode(silent=True)
        elif mode is BackendMode.TWICE:
            box.mode = Mode(behind=b"*3\r\n$4\r\nmore\r\n$-1\r\n$-1\r\n")
        elif mode is BackendMode.REFUSING:
            box.mode = Mode(reset_accepts=True)
        elif mode is BackendMode.RESETTING:
            box.cut_all()
        elif mode is BackendMode.SLOW:
            box.delay = 0.8 * self.plan.look_deadline
        elif mode is BackendMode.LATE:
            box.delay = self.plan.longest_deadline + LATE_BY_SECONDS
        elif mode is BackendMode.DRAINING:
            site.do(Step(self.now(), "drain", (one.backend,)))
            self.rows.append(Row(what="drain", t=self.now(), backend=one.backend))
        else:
            box.value = LONG_VALUE_BYTES
            if mode is BackendMode.CUT:
                box.mode = Mode(cut_after=int(CUT_FRACTION * LONG_VALUE_BYTES))

    def _end_backend_fault(self, site: Site, one: BackendFault) -> None:
        box = site.boxes[one.backend]
        if one.mode is BackendMode.DRAINING:
            self.rows.append(Row(what="back", t=self.now(), backend=one.backend))
            site.do(Step(self.now(), "back", (one.backend,)))
            return
        box.mode, box.delay, box.value = Mode(), 0.0, 0

    def _begin_outage(self, site: Site, one: DiscoveryOutage) -> None:
        assert site.streams is not None
        lists = {BACKENDS + n for n in range(self.plan.ingresses)}
        (site.streams.refuse if one.refused else site.streams.cut)({one.ingress}, lists)
        detail = "refused" if one.refused else "silent"
        self.rows.append(Row(what="silence", t=self.now(), until=one.end, member=one.ingress, detail=detail))

    def _end_outage(self, site: Site, one: DiscoveryOutage) -> None:
        assert site.streams is not None
        site.streams.heal()

    # Recording.

    def _record_process_run(
        self, member: int, number: int, started: float, ready: float, ended: Shutdown, status: str
    ) -> None:
        zero = ended.terminated - self.begin
        until = None if ended.ended_at is None else zero + ended.ended_at
        self.rows.append(
            Row(
                what="life",
                t=started,
                until=until,
                member=member,
                life=number,
                seconds=ready - started,
                end=status,
                detail=f"SIGKILL at {zero + ended.killed_at:.3f}",
            )
        )
        if ended.state_at_kill:
            detail = f"at SIGKILL: {ended.state_at_kill}"
            self.rows.append(
                Row(what="step", t=zero + ended.killed_at, member=member, life=number, detail=detail)
            )

    def _record_scheduling(self, member: int, number: int, ended: Shutdown) -> None:
        zero = ended.terminated - self.begin
        for sample in ended.scheduling:
            self.rows.append(
                Row(
                    what="scheduled",
                    t=zero + sample.begin,
                    until=zero + sample.end,
                    member=member,
                    life=number,
                    processor=sample.processor,
                    wait=sample.wait,
                    longest_wait=sample.longest_wait,
                )
            )

    def _record_steps(self, member: int, number: int, log: list[str]) -> None:
        """Records the steps of a shutdown with the times that the process gave them."""
        offset = time.time() - self.now()
        for line in log:
            if match := SHUTDOWN_STEP.match(line):
                at = float(match[1]) - offset
                self.rows.append(Row(what="step", t=at, member=member, life=number, detail=match[2]))

    def _record_discovery_call(self, member: int, number: int, log: list[str]) -> None:
        """Records the first call to discovery: before it a process can't have heard of anything."""
        offset = time.time() - self.now()
        match = next(filter(None, map(DISCOVERY_CALL_END.match, log)), None)
        if match is not None:
            until = float(match[1]) - offset
            begin, reason = until - float(match[3]), match[2]
            self.rows.append(
                Row(what="discovery", t=begin, until=until, member=member, life=number, detail=reason)
            )

    def _record_stack(self, member: int, number: int, log: list[str]) -> None:
        """Records the stacks of a process that was killed, each with its innermost function first."""
        stacks: list[list[str]] = [[]]
        for line in log:
            if STACK_BEGIN.match(line):
                stacks.append([])
            elif match := STACK_FRAME.match(line):
                stacks[-1].append(f"{match[1]}:{match[2]} {match[3]}")
        if found := [" < ".join(frames) for frames in stacks if frames]:
            detail = "stacks at SIGKILL: " + " | ".join(found)
            self.rows.append(Row(what="step", t=self.now(), member=member, life=number, detail=detail))

    def _record_clients(self, member: int, number: int, clients: list[Client], ended: Shutdown) -> None:
        zero = ended.terminated - self.begin
        for serial, client in enumerate(clients):
            if client.connected_at is None:
                continue
            until = None if client.ended_at is None else zero + client.ended_at
            begun = "begun" if client.data else ""
            self.rows.append(
                Row(
                    what="connection",
                    t=zero + client.connected_at,
                    until=until,
                    end=client.ended_by,
                    detail=begun,
                    member=member,
                    life=number,
                    connection=serial,
                )
            )
            for sent in client.sent:
                self.rows.append(
                    Row(
                        what="asked",
                        t=zero + sent.at,
                        until=None if sent.answered_at is None else zero + sent.answered_at,
                        ident=sent.ident,
                        tenant=sent.tenant,
                        safe=sent.safe,
                        seconds=sent.timeout,
                        end=_outcome_of(sent.answer, sent.answered_at),
                        member=member,
                        life=number,
                        connection=serial,
                    )
                )

    def _record_backends(self, site: Site) -> None:
        for number, box in enumerate(site.boxes):
            for one in box.counts.arrivals:
                self.rows.append(
                    Row(
                        what="came",
                        t=one.at - self.begin,
                        until=one.read_at - self.begin,
                        ident=one.ident,
                        safe=one.safe,
                        seconds=one.left,
                        backend=number,
                    )
                )

    def _watch_for_starvation(self) -> None:
        """Records when the soak itself was not scheduled, and what the machine's host took meanwhile.

        Its clients and backends are late then.
        """
        last, steal_read_at, steal = self.now(), self.now(), read_steal()
        while not self.over.wait(STARVATION_POLL_SECONDS):
            now = self.now()
            late = now - last - STARVATION_POLL_SECONDS
            if late > MIN_STARVATION_SECONDS:
                self.rows.append(Row(what="starved", t=last, until=now, detail=f"late by {late:.3f}"))
            last = now
            if now - steal_read_at >= SAMPLE_SECONDS:
                before, steal = steal, read_steal()
                self.rows.append(Row(what="stolen", t=steal_read_at, until=now, wait=steal - before))
                steal_read_at = now


def _outcome_of(answer: bytes, answered_at: float | None) -> str:
    """The outcome of a request, from its answer without framing."""
    if answered_at is None:
        return "open"
    if answer.startswith(b"-BUSY"):
        return "refused"
    return "failed" if answer.startswith(b"-") or answer == b"$-1" else "served"
