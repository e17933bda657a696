"""Event loop: one epoll instance, generators as coroutines and a heap of timers.

A coroutine belongs to one socket. It yields the epoll events to wait for and is sent the events that
occurred, or NO_EVENT when a timer or another component resumes it.
"""

from __future__ import annotations

import errno
import heapq
import select
import socket
import time
from collections import deque
from collections.abc import Callable, Generator
from typing import Any, TypeVar

from standflow.isolation import log_fault
from standflow.net.transient_errors import (
    MAX_TRIES,
    RETRY_PAUSE,
    TRANSIENT_CONNECT_ERRORS,
    TRANSIENT_ERRORS,
    disable_nagle,
    retry_at_startup,
)

IN = select.EPOLLIN | select.EPOLLRDHUP
READ_HANGUP = select.EPOLLRDHUP  # the peer has closed its sending side; unread bytes may remain
READABLE = select.EPOLLIN
OUT = select.EPOLLOUT
ERROR_EVENTS = select.EPOLLHUP | select.EPOLLERR
NO_EVENT = 0
SUSPENDED = select.EPOLLONESHOT  # reports only the first hang-up or error, then nothing
SHORT_ITERATION = 0.001  # seconds
LONG_ITERATION = 0.1  # seconds without a poll after which an iteration is logged
LATE_RETURN = 0.005  # seconds after its time limit at which a poll must have been interrupted
NO_DESCRIPTOR = frozenset((errno.EMFILE, errno.ENFILE))
MIN_PURGED_TIMERS = 1000  # heap entries below which cancelled ones are left in it
RESTART_PAUSE = 0.05  # seconds before a supervised coroutine is restarted after a fault

ReturnT = TypeVar("ReturnT")
Coroutine = Generator[int, int, ReturnT]


def error_reason(error: OSError) -> str:
    """Reason code of a connection that was ended by an error."""
    return f"broken:{errno.errorcode.get(error.errno or 0, 'OS')}"


class Timer:
    """A scheduled one-time call."""

    __slots__ = ("args", "call", "when")

    def __init__(self, when: float, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.when, self.args = when, args
        self.call: Callable[..., object] | None = call

    def cancel(self) -> None:
        """Cancels the call. The heap entry is dropped at the top of the heap, or as that grows."""
        self.call, self.args = None, ()


class Task:
    """A coroutine and the descriptor that it waits on."""

    __slots__ = ("started", "created_in", "coroutine", "end_requested", "fd", "mask", "running")

    def __init__(self, fd: int, coroutine: Coroutine[None], created_in: int) -> None:
        self.fd, self.coroutine, self.created_in = fd, coroutine, created_in
        self.mask, self.started, self.running, self.end_requested = 0, False, False, False


class Loop:
    """Runs coroutines and timers until stopped. An exception in one of them does not affect the others."""

    def __init__(self, log: Callable[[str], None]) -> None:
        self.epoll = retry_at_startup(select.epoll)
        self.log = log
        self.tasks: dict[int, Task] = {}
        self.current: Task | None = None
        self.timers: list[tuple[float, int, Timer]] = []
        self.soon: deque[tuple[Callable[..., object], tuple[Any, ...]]] = (
            deque()
        )  # calls of the next iteration
        self.purge_timers_at = MIN_PURGED_TIMERS  # entries of the heap
        self.serial = 0
        self.iteration = 0
        self.stopped = False
        # Closes an idle connection when the process is out of descriptors; false if there is none to close.
        self.free_descriptor: Callable[[], bool] = lambda: False
        self.priority_fds: set[int] = set()  # descriptors whose events are handled first in an iteration
        self.last_poll = time.monotonic()
        # The earliest time at which the data being read now can have arrived. Deadlines count from it, so
        # that delays of the loop itself are charged against the client's time limit.
        self.earliest_arrival = self.last_poll

    def now(self) -> float:
        """Monotonic time in seconds."""
        return time.monotonic()

    def call_at(self, when: float, call: Callable[..., object], *args: Any) -> Timer:
        """Schedules a call at the given monotonic time."""
        timer = Timer(when, call, args)
        if len(self.timers) >= self.purge_timers_at:
            self._purge_timers()
        self.serial += 1
        heapq.heappush(self.timers, (when, self.serial, timer))
        return timer

    def _purge_timers(self) -> None:
        """Drops cancelled timers, in place: those of answered requests may be due in minutes."""
        self.timers[:] = [entry for entry in self.timers if entry[2].call is not None]
        heapq.heapify(self.timers)
        self.purge_timers_at = max(MIN_PURGED_TIMERS, 2 * len(self.timers))

    def call_later(self, delay: float, call: Callable[..., object], *args: Any) -> Timer:
        """Schedules a call after `delay` seconds."""
        return self.call_at(time.monotonic() + max(0.0, delay), call, *args)

    def call_soon(self, call: Callable[..., object], *args: Any) -> None:
        """Schedules a call in the next iteration, behind the events that have occurred by then."""
        self.soon.append((call, args))

    def spawn(self, fd: int, coroutine: Coroutine[None]) -> Task:
        """Runs a coroutine up to its first yield; from then on it waits on `fd`.

        Raises OSError, without starting the coroutine, if the descriptor can't be registered.
        """
        for number in range(MAX_TRIES):
            try:
                self.epoll.register(fd, 0)
                break
            except OSError as error:
                if error.errno not in TRANSIENT_ERRORS or number == MAX_TRIES - 1:
                    raise
        task = Task(fd, coroutine, self.iteration)
        self.tasks[fd] = task
        self.resume(task, NO_EVENT)
        return task

    def supervised(self, make: Callable[[], Coroutine[None]]) -> Coroutine[None]:
        """Restarts a coroutine that the process can't do without each time it raises an exception."""
        while True:
            try:
                yield from make()
                return
            except Exception:
                log_fault(self.log, "of a coroutine, begun anew")
            yield from self.pause(RESTART_PAUSE)

    def every(self, seconds: float | Callable[[], float], call: Callable[[], object]) -> None:
        """Schedules a call every `seconds`; it stays scheduled if it raises an exception."""
        self.call_later(seconds() if callable(seconds) else seconds, self._repeat, seconds, call)

    def _repeat(self, seconds: float | Callable[[], float], call: Callable[[], object]) -> None:
        try:
            call()
        finally:
            self.every(seconds, call)

    def resume(self, task: Task, ready: int) -> None:
        """Runs a coroutine up to its next yield."""
        if task.running:
            return
        task.running = True
        outer, self.current = self.current, task
        try:
            mask = task.coroutine.send(ready) if task.started else next(task.coroutine)
            task.started = True
        except StopIteration:
            self._unregister(task)
            return
        except Exception:
            self._unregister(task)
            log_fault(self.log, "of a coroutine")
            return
        finally:
            task.running = False
            self.current = outer
        if task.end_requested:
            self.end(task)
        else:
            self.watch(task, mask)

    def watch(self, task: Task, mask: int) -> None:
        """Changes the events that a coroutine waits for. If that is impossible, the coroutine is ended."""
        if mask != task.mask and self.tasks.get(task.fd) is task:
            task.mask = mask
            self._apply_mask(task)

    def _apply_mask(self, task: Task) -> None:
        """Tells the kernel what a coroutine waits for, again after a pause while the kernel lacks memory."""
        if self.tasks.get(task.fd) is not task:
            return
        try:
            self.epoll.modify(task.fd, task.mask)
        except OSError as error:
            if error.errno in TRANSIENT_ERRORS:
                self.call_later(RETRY_PAUSE, self._apply_mask, task)
                return
            log_fault(self.log, "of a poll: a coroutine is ended")
            self.end(task)

    def end(self, task: Task) -> None:
        """Ends a coroutine from outside: it receives GeneratorExit and closes its socket in `finally`.

        An exception in that is logged: whoever ends one connection has others to look after.
        """
        if task.running:  # a generator can't close itself while it runs
            task.end_requested = True
            return
        self._unregister(task)
        try:
            task.coroutine.close()
        except Exception:
            log_fault(self.log, "of a coroutine that was ended")

    def _unregister(self, task: Task) -> None:
        """Removes a task, unless its descriptor number already belongs to a newer one."""
        if self.tasks.get(task.fd) is task:
            del self.tasks[task.fd]
            try:
                self.epoll.unregister(task.fd)
            except (OSError, ValueError):  # closed by its coroutine
                return

    def wait(self, mask: int, limit: float) -> Coroutine[int]:
        """Within a coroutine: waits for events; returns NO_EVENT after `limit` seconds."""
        assert self.current is not None
        timer = self.call_later(limit, self.resume, self.current, NO_EVENT)
        try:
            return (yield mask)
        finally:
            timer.cancel()

    def pause(self, seconds: float) -> Coroutine[None]:
        """Within a coroutine: waits for `seconds` whatever events occur."""
        end = self.now() + seconds
        while (left := end - self.now()) > 0:
            if (yield from self.wait(SUSPENDED, left)) == NO_EVENT:
                return

    def _event_priority(self, event: tuple[int, int]) -> int:
        """Sort key of events: closes come early, so that no work is started for a client that has left."""
        fd, ready = event
        if fd in self.priority_fds:
            return 0
        return 1 if ready & (READ_HANGUP | ERROR_EVENTS) else 2

    def ready(self, fd: int, mask: int) -> int:
        """Polls a descriptor's current events without waiting."""
        poll = select.poll()
        poll.register(fd, mask)
        return sum(events for _, events in poll.poll(0))

    def open_socket(self) -> socket.socket:
        """Opens a TCP socket for an outgoing connection, closing an idle client if descriptors run out.

        Raises OSError if that does not help.
        """
        for number in range(MAX_TRIES):
            try:
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
                break
            except OSError as error:
                made_room = error.errno in NO_DESCRIPTOR and self.free_descriptor()
                last = number == MAX_TRIES - 1
                if last or not (made_room or error.errno in TRANSIENT_ERRORS):
                    raise
        disable_nagle(sock)
        return sock

    def connect(self, sock: socket.socket, address: tuple[str, int], limit: float) -> Coroutine[str]:
        """Within a coroutine: connects a socket. Returns an empty string or the reason of the failure."""
        due = self.now() + limit
        code = sock.connect_ex(address)
        for _ in range(MAX_TRIES - 1):
            if code not in TRANSIENT_CONNECT_ERRORS:
                break
            yield from self.pause(RETRY_PAUSE)
            code = sock.connect_ex(address)
        if code in (errno.EINPROGRESS, errno.EINTR):  # an interrupted connect goes on in the background
            if (yield from self.wait(OUT, due - self.now())) == NO_EVENT:
                return "connect_timeout"
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return f"connect_failed:{errno.errorcode.get(code, code)}" if code else ""

    def run(self) -> None:
        """Runs until stop() is called."""
        while not self.stopped:
            self.run_once()

    def stop(self) -> None:
        """Ends run() after the current iteration."""
        self.stopped = True

    def run_once(self) -> None:
        """Runs one iteration: ready descriptors first, then due timers."""
        timers = self.timers
        while timers and timers[0][2].call is None:  # cancelled timers must not shorten the wait
            heapq.heappop(timers)
        before = time.monotonic()
        wait = 1.0 if not timers else min(1.0, max(0.0, timers[0][0] - before))
        calls_before = len(self.soon)
        if calls_before:
            wait = 0.0
        # Events that occurred during the last iteration have been waiting since its poll. After a short
        # iteration the extra system call isn't worth it.
        events = []
        if (taken := before - self.last_poll) > SHORT_ITERATION:
            events = self.epoll.poll(0, 256)
            if taken > LONG_ITERATION and self.iteration:  # the first one includes the start of the process
                self.log(f"loop: an iteration took {taken:.3f}")
        if events:
            self.earliest_arrival = self.last_poll
            self.last_poll = time.monotonic()
        else:
            events = self.epoll.poll(wait, 256)
            self.earliest_arrival = self.last_poll = time.monotonic()
            # On SIGCONT a poll returns no events if its time is up by then, whatever is ready.
            if not events and self.last_poll - before > wait + LATE_RETURN:
                events = self.epoll.poll(0, 256)
        if len(events) > 1:
            events.sort(key=self._event_priority)
        self.iteration += 1
        tasks = self.tasks
        for fd, ready in events:
            task = tasks.get(fd)
            # A task created in this iteration may have reused the number of a closed socket: the event
            # belongs to the old one.
            if task is not None and task.created_in != self.iteration:
                self.resume(task, ready)
        for _ in range(calls_before):
            call, args = self.soon.popleft()
            try:
                call(*args)
            except Exception:
                log_fault(self.log, "of a call")
        now = time.monotonic()
        while timers and timers[0][0] <= now:
            timer = heapq.heappop(timers)[2]
            if timer.call is None:
                continue
            try:
                timer.call(*timer.args)
            except Exception:
                log_fault(self.log, "of a timer")
