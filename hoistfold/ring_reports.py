"""Reports of use between the members of a tenant's ring, and the messages that carry them.

Each epoch a member sends its pending reports to its successor, which passes them on. Use that matters more
goes to all members at once (triggered_reports.py). Coordinators hold the totals of long rings instead.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Set

from hoistfold import interface as i
from hoistfold.codec import ENTRY, MAX_ENTRY_BYTES, encode_message, pack_entry
from hoistfold.state import (
    COUNTS_PER_UNIT,
    REPORT_ONCE,
    REPORT_TO_OWNER,
    REPORT_TWICE,
    Entry,
    GatewayState,
    MessageKind,
    Quota,
)
from hoistfold.triggered_reports import (
    REPORT_TO_ALL_URGENCY,
    TRIGGER_URGENCY,
    TriggeredReports,
    urgency,
)

MAX_WINDOW_COUNT = 0xFFFF  # that an entry holds

SelectQuotas = Callable[[dict[bytes, Quota]], list[Quota]]


class RingReports:
    """Sends and receives the reports of one gateway."""

    def __init__(self, gateway: GatewayState) -> None:
        self.gateway = gateway
        peers = len(gateway.peers)
        self.triggered = TriggeredReports(gateway.settings.peer_intake, peers, gateway.epoch)

    def send_pending(self, select: SelectQuotas) -> None:
        """Sends each peer a message with pending reports; without any it shows that this gateway is alive.

        `select`: chooses the quotas to report on, the most important ones first.
        """
        gateway = self.gateway
        if gateway.long_ring or not gateway.settings.may_message_peers or not gateway.peers:
            return
        messages = dict.fromkeys(gateway.peers, b"")
        for quota in select(gateway.unreported):  # what does not fit a message waits for the next epoch
            self._append_pending(quota, messages)
        for number, entries in messages.items():
            gateway.actions.append(i.SendPeerMessage(number, encode_message(entries)))

    def use_recorded(self, quota: Quota) -> None:
        """Queues the report of own use, or sends it at once where waiting may exceed the quota."""
        gateway = self.gateway
        gateway.queue_report(quota, quota.index, REPORT_TWICE)
        if not self._on_ring(quota) or urgency(quota) <= TRIGGER_URGENCY:
            return
        if self.triggered.take(quota, gateway.now):
            message = encode_message(self._pack(quota, quota.index))
            quota.unreported_units = 0.0
            for number in gateway.members(quota, quota.index)[1:]:
                gateway.actions.append(i.SendPeerMessage(number, message))

    def must_wait(self, quota: Quota, units: float) -> bool:
        """Whether other members don't know of earlier use yet that leaves no room for as much from each."""
        if not self._on_ring(quota) or not quota.unreported_units:
            return False
        return urgency(quota, units) > TRIGGER_URGENCY and not self.triggered.covers(quota, self.gateway.now)

    def received(self, quota: Quota, sender: int, entry: Entry) -> None:
        """Merges a report, and forwards news to members that the sender can't reach and skipped."""
        gateway, before = self.gateway, quota.counts.get(entry.index)
        gateway.merge(quota, entry.index, entry.count, entry.level, entry.units)
        if gateway.membership is None or quota.counts.get(entry.index) == before:
            return
        for number in filter(gateway.reachable, gateway.members_between(quota, sender)):
            message = encode_message(self._pack(quota, entry.index))
            gateway.actions.append(i.SendPeerMessage(number, message))

    def queue_windows_for(self, returned: Set[int], alive: Container[int]) -> None:
        """Queues reports of all windows in use for members that return, if they are the successor."""
        for quota in self.gateway.quotas.values():
            following = (n for n in self.gateway.members(quota, quota.index)[1:] if n in alive)
            if next(following, None) in returned and quota.own + quota.others:
                for index in quota.counts:
                    self.gateway.queue_report(quota, index, REPORT_TWICE)

    def _on_ring(self, quota: Quota) -> bool:
        """Whether the totals of the quota pass round a ring."""
        on_ring = self.gateway.settings.may_message_peers and not self.gateway.long_ring
        return on_ring and quota.size > 1 and quota.plan.rate > 0

    def _append_pending(self, quota: Quota, messages: dict[int, bytes]) -> None:
        """Appends a quota's pending reports to the messages of its successor, as far as they fit."""
        gateway = self.gateway
        following, level = gateway.members(quota, quota.index)[1:], quota.own + quota.others
        successor = next((n for n in following if gateway.reachable(n)), following[0])
        for index, report in sorted(quota.unreported.items()):
            owner = (quota.first + index) % gateway.settings.gateways
            target = owner if report == REPORT_TO_OWNER else successor
            # Members know their own use, and drained use is no news.
            if report != REPORT_TO_OWNER and (target == owner or level * COUNTS_PER_UNIT < 1):
                del quota.unreported[index]
            elif len(messages[target]) + ENTRY.size <= MAX_ENTRY_BYTES:
                messages[target] += self._pack(quota, index)
                if report == REPORT_TO_OWNER:  # which has lost this gateway's count as well
                    self._append_own(quota, messages, [target])
                quota.unreported[index] = REPORT_ONCE
                if report != REPORT_TWICE:
                    del quota.unreported[index]
        if not quota.unreported:
            del gateway.unreported[quota.key]
        if urgency(quota) > REPORT_TO_ALL_URGENCY:
            self._append_own(quota, messages, [number for number in following if number != successor])
        quota.unreported_units = 0.0

    def _append_own(self, quota: Quota, messages: dict[int, bytes], targets: list[int]) -> None:
        """Appends the report of own use to the messages of some members, as far as it fits."""
        report = self._pack(quota, quota.index)
        for number in targets:
            if len(messages[number]) + ENTRY.size <= MAX_ENTRY_BYTES:
                messages[number] += report

    def _pack(self, quota: Quota, index: int) -> bytes:
        """Encodes the report of a ring member's count, with the member's part of the window if known."""
        own_count = round(quota.own * quota.share * COUNTS_PER_UNIT)
        window_count = own_count if index == quota.index else quota.window_counts.get(index, 0)
        level, units = quota.own + quota.others, min(window_count, MAX_WINDOW_COUNT)
        return pack_entry(self.gateway.settings.plans, quota, MessageKind.REPORT, index, level, units=units)
