"""Many fleet members in simulated time: the ingress's membership code on a simulated network.

Uses no sockets and no clock but its own. The same seed gives the same run.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

from standflow.fleet.membership import TICK_SECONDS, MemberSettings, Membership
from standflow.fleet.messages import Message, decode, derive_key, encode, updates_per_datagram
from standflow.fleet.outbox import Send

KEY = derive_key("simulated")


class Members:
    """`size` members, started at once; datagrams take about `delay` seconds; a share of `loss` is lost."""

    def __init__(
        self, size: int, seed: int = 0, loss: float = 0.0, delay: float = 0.01, start: bool = True
    ) -> None:
        self.size, self.loss, self.delay = size, loss, delay
        self.rng = random.Random(seed)
        self.now, self.serial = 1e6, 0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.live: dict[int, Membership] = {}
        self.stopped: dict[int, list[tuple[int, bytes]]] = {}  # paused, with the datagrams queued for them
        self.blocked: Callable[[int, int], bool] = lambda sender, to: False
        self.again = 0.0  # share of datagrams duplicated, the copy delayed
        self.taken: dict[int, list[float]] = {}  # times of accepted datagrams, by member
        self.start_count = 0
        if start:
            for member_id in range(size):
                self.start(member_id)

    def start(self, member_id: int, at: float | None = None) -> Membership:
        """Starts or restarts a member with no known peers."""
        self.start_count += 1
        boot_time_ms = round((self.now if at is None else at) * 1000) + self.start_count
        rng = random.Random(self.rng.random())
        settings = MemberSettings(member_id, self.size, boot_time_ms, updates_per_datagram(False))
        membership = Membership(settings, self.now, rng)
        self.live[member_id] = membership
        self.stopped.pop(member_id, None)
        self._after(TICK_SECONDS * rng.random(), lambda: self._tick(member_id, membership))
        return membership

    def kill(self, *member_ids: int) -> None:
        """Removes members without a message, as by SIGKILL."""
        for member_id in member_ids:
            del self.live[member_id]

    def leave(self, member_id: int) -> None:
        """Shuts a member down in order."""
        self._carry(member_id, self.live[member_id].leave())
        del self.live[member_id]

    def hold(self, member_id: int) -> None:
        """Pauses a member, as by SIGSTOP; datagrams to it are queued."""
        self.stopped[member_id] = []

    def resume(self, member_id: int) -> None:
        """Resumes a paused member, which then reads the queued datagrams."""
        for sender, content in self.stopped.pop(member_id):
            self._deliver(sender, member_id, content)

    def run(self, seconds: float) -> None:
        """Advances the simulated time."""
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = until

    def until(self, met: Callable[[], bool], limit: float) -> float:
        """Seconds until a condition is met; `limit` if it is not met by then."""
        began = self.now
        while not met():
            if self.now - began >= limit:
                return limit
            self.run(0.1)
        return self.now - began

    def all_agree(self, alive: set[int] | None = None) -> bool:
        """True if every live member considers exactly the live members alive."""
        wanted = set(self.live) if alive is None else alive
        return all(membership.alive_ids() == wanted for membership in self.live.values())

    def _after(self, delay: float, call: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (self.now + delay, self.serial, call))

    def _tick(self, member_id: int, membership: Membership) -> None:
        if self.live.get(member_id) is not membership:
            return
        if member_id not in self.stopped:
            self._carry(member_id, membership.tick(self.now))
        self._after(membership.tick_interval, lambda: self._tick(member_id, membership))

    def _carry(self, sender: int, sends: list[Send]) -> None:
        for send in sends:
            assert isinstance(send.to, int)
            content = encode(send.message, KEY, False)
            assert len(content) <= 256
            to = send.to
            if self.blocked(sender, to) or self.rng.random() < self.loss:
                continue
            self._post(sender, to, content, self.delay * self.rng.uniform(0.3, 1.7))
            if self.rng.random() < self.again:
                self._post(sender, to, content, self.rng.uniform(0.0, 3.0))

    def _post(self, sender: int, to: int, content: bytes, delay: float) -> None:
        self._after(delay, lambda: self._deliver(sender, to, content))

    def _deliver(self, sender: int, to: int, content: bytes) -> None:
        if to in self.stopped:
            self.stopped[to].append((sender, content))
            return
        membership = self.live.get(to)
        message: Message | None = decode(content, KEY)
        if membership is not None and message is not None:
            before = membership.counts.taken
            self._carry(to, membership.receive(self.now, message, ("127.0.0.1", sender)))
            if membership.counts.taken > before:
                self.taken.setdefault(to, []).append(self.now)
