"""One epoll, generators as coroutines, one heap of timers.

A coroutine belongs to one socket. It yields the epoll events it waits for and is sent those that came;
TICK (no event at all) is what it is sent when a timer or another component wakes it.
"""

from __future__ import annotations

import errno
import heapq
import select
import socket
import time
import traceback
from collections.abc import Callable, Generator
from typing import Any, TypeVar

from standflow.net.transient_errors import (
    MAX_TRIES,
    RETRY_PAUSE,
    TRANSIENT_CONNECT_ERRORS,
    TRANSIENT_ERRORS,
    disable_nagle,
    retry_at_startup,
)

IN = select.EPOLLIN | select.EPOLLRDHUP
READ_HANGUP = select.EPOLLRDHUP  # the other end sends nothing more, whatever still lies unread
READABLE = select.EPOLLIN
OUT = select.EPOLLOUT
ERROR_EVENTS = select.EPOLLHUP | select.EPOLLERR
NO_EVENT = 0
SUSPENDED = select.EPOLLONESHOT  # nothing is heard of the descriptor but its first event
SHORT_ITERATION = 0.001
NO_DESCRIPTOR = frozenset((errno.EMFILE, errno.ENFILE))
RESTART_PAUSE = 0.05  # seconds before a supervised coroutine that a fault has ended is begun anew

ReturnT = TypeVar("ReturnT")
Coroutine = Generator[int, int, ReturnT]


def error_reason(error: OSError) -> str:
    """The reason code of a connection that an error ended."""
    return f"broken:{errno.errorcode.get(error.errno or 0, 'OS')}"


class Timer:
    """A call that is due once, unless it is cancelled before."""

    __slots__ = ("args", "call", "when")

    def __init__(self, when: float, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.when, self.args = when, args
        self.call: Callable[..., object] | None = call

    def cancel(self) -> None:
        """Makes the timer do nothing; its place in the heap is given up when it comes up."""
        self.call, self.args = None, ()


class Task:
    """A coroutine and the socket that it waits on."""

    __slots__ = ("started", "created_in", "coroutine", "end_requested", "fd", "mask", "running")

    def __init__(self, fd: int, coroutine: Coroutine[None], born: int) -> None:
        self.fd, self.coroutine, self.created_in = fd, coroutine, born
        self.mask, self.started, self.running, self.end_requested = 0, False, False, False


class Loop:
    """Runs coroutines and timers until it is stopped; a fault in one of them never ends the others."""

    def __init__(self, log: Callable[[str], None]) -> None:
        self.epoll = retry_at_startup(select.epoll)
        self.log = log
        self.tasks: dict[int, Task] = {}
        self.current: Task | None = None
        self.timers: list[tuple[float, int, Timer]] = []
        self.serial = 0
        self.iteration = 0
        self.stopped = False
        # Ends a connection that nobody needs where no descriptor is left; false where there is none.
        self.free_descriptor: Callable[[], bool] = lambda: False
        self.priority_fds: set[int] = set()  # descriptors whose events don't wait for the others of a round
        self.last_poll = time.monotonic()
        # The earliest moment at which what is being read now can have come: the loop's own lateness is taken
        # off what a caller has left.
        self.earliest_arrival = self.last_poll

    def now(self) -> float:
        """The monotonic clock, seconds."""
        return time.monotonic()

    def call_at(self, when: float, call: Callable[..., object], *args: Any) -> Timer:
        """Has something called at a time of the monotonic clock."""
        timer = Timer(when, call, args)
        self.serial += 1
        heapq.heappush(self.timers, (when, self.serial, timer))
        return timer

    def call_later(self, delay: float, call: Callable[..., object], *args: Any) -> Timer:
        """Has something called after so many seconds."""
        return self.call_at(time.monotonic() + max(0.0, delay), call, *args)

    def spawn(self, fd: int, coroutine: Coroutine[None]) -> Task:
        """Starts a coroutine at once; from its first yield on it waits on this descriptor.

        OSError where it can't be waited on; then nothing was started.
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
        """A coroutine that outlives its faults, begun anew after each: nothing works without it."""
        while True:
            try:
                yield from make()
                return
            except Exception:
                self.log("fault of a coroutine, begun anew: " + traceback.format_exc().replace("\n", " | "))
            yield from self.pause(RESTART_PAUSE)

    def every(self, seconds: float | Callable[[], float], call: Callable[[], object]) -> None:
        """Has something called again and again, first after so many seconds; a fault of it ends nothing."""
        self.call_later(seconds() if callable(seconds) else seconds, self._repeat, seconds, call)

    def _repeat(self, seconds: float | Callable[[], float], call: Callable[[], object]) -> None:
        try:
            call()
        finally:
            self.every(seconds, call)

    def resume(self, task: Task, ready: int) -> None:
        """Lets a coroutine go on until its next yield."""
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
            self.log("fault of a coroutine: " + traceback.format_exc().replace("\n", " | "))
            return
        finally:
            task.running = False
            self.current = outer
        if task.end_requested:
            self.end(task)
        else:
            self.watch(task, mask)

    def watch(self, task: Task, mask: int) -> None:
        """Changes what a coroutine waits for."""
        if mask != task.mask and self.tasks.get(task.fd) is task:
            task.mask = mask
            self.epoll.modify(task.fd, mask)

    def end(self, task: Task) -> None:
        """Ends a coroutine from outside: it sees GeneratorExit and closes its socket on its way out."""
        if task.running:  # a generator can't be closed from inside itself
            task.end_requested = True
            return
        self._unregister(task)
        task.coroutine.close()

    def _unregister(self, task: Task) -> None:
        """A closed descriptor's number may belong to a newer task already, which stays."""
        if self.tasks.get(task.fd) is task:
            del self.tasks[task.fd]
            try:
                self.epoll.unregister(task.fd)
            except (OSError, ValueError):  # closed by its coroutine
                return

    def wait(self, mask: int, limit: float) -> Coroutine[int]:
        """Within a coroutine: waits for events, and so long at most; TICK says that none came."""
        assert self.current is not None
        timer = self.call_later(limit, self.resume, self.current, NO_EVENT)
        try:
            return (yield mask)
        finally:
            timer.cancel()

    def pause(self, seconds: float) -> Coroutine[None]:
        """Within a coroutine: waits so long, whatever comes."""
        end = self.now() + seconds
        while (left := end - self.now()) > 0:
            if (yield from self.wait(SUSPENDED, left)) == NO_EVENT:
                return

    def _event_priority(self, event: tuple[int, int]) -> int:
        """The order of a round's events: who has closed is heard before anything is begun for it."""
        fd, ready = event
        if fd in self.priority_fds:
            return 0
        return 1 if ready & (READ_HANGUP | ERROR_EVENTS) else 2

    def ready(self, fd: int, mask: int) -> int:
        """The events that a descriptor has now, without waiting."""
        poll = select.poll()
        poll.register(fd, mask)
        return sum(events for _, events in poll.poll(0))

    def open_socket(self) -> socket.socket:
        """A TCP socket to connect from, before idle clients if no descriptor is left; else OSError."""
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
        """Within a coroutine: connects a socket; what is returned is empty or the reason why not."""
        due = self.now() + limit
        code = sock.connect_ex(address)
        for _ in range(MAX_TRIES - 1):
            if code not in TRANSIENT_CONNECT_ERRORS:
                break
            yield from self.pause(RETRY_PAUSE)
            code = sock.connect_ex(address)
        if code in (errno.EINPROGRESS, errno.EINTR):  # interrupted, it goes on in the background
            if (yield from self.wait(OUT, due - self.now())) == NO_EVENT:
                return "connect_timeout"
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return f"connect_failed:{errno.errorcode.get(code, code)}" if code else ""

    def run(self) -> None:
        """Serves until stop() is called."""
        while not self.stopped:
            self.run_once()

    def stop(self) -> None:
        """Ends run() after the present round."""
        self.stopped = True

    def run_once(self) -> None:
        """One round: what is due, then what is ready."""
        timers = self.timers
        while timers and timers[0][2].call is None:  # most deadlines never come up: no waking for them
            heapq.heappop(timers)
        before = time.monotonic()
        wait = 1.0 if not timers else min(1.0, max(0.0, timers[0][0] - before))
        # What came while the last round was at work has waited since then; a short one isn't worth the call.
        events = self.epoll.poll(0, 256) if before - self.last_poll > SHORT_ITERATION else []
        if events:
            self.earliest_arrival = self.last_poll
            self.last_poll = time.monotonic()
        else:
            events = self.epoll.poll(wait, 256)
            self.earliest_arrival = self.last_poll = time.monotonic()
        if len(events) > 1:
            events.sort(key=self._event_priority)
        self.iteration += 1
        tasks = self.tasks
        for fd, ready in events:
            task = tasks.get(fd)
            # A task born in this round may have got the number of a closed socket: the event isn't its own.
            if task is not None and task.created_in != self.iteration:
                self.resume(task, ready)
        now = time.monotonic()
        while timers and timers[0][0] <= now:
            timer = heapq.heappop(timers)[2]
            if timer.call is None:
                continue
            try:
                timer.call(*timer.args)
            except Exception:
                self.log("fault of a timer: " + traceback.format_exc().replace("\n", " | "))
