"""Translates between the simulator's wire format and the module's interface."""

from __future__ import annotations

import base64
import binascii
import json
import sys
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from hoistfold import interface as i
from hoistfold.gateway import Gateway

Fields = dict[str, str]

OUTCOMES = dict(enumerate(i.Outcome))
EFFECTS = {"read_like": i.Effect.SAFE, "idempotency_key": i.Effect.KEYED, "non_idempotent": i.Effect.UNSAFE}
KINDS = {"INCREMENTAL": i.ListKind.CHANGES, "FULL": i.ListKind.FULL, "SAVED": i.ListKind.SAVED}
AVAILABILITY = {
    "active": i.Availability.ACTIVE,
    "leaving": i.Availability.DRAINING,
    "left": i.Availability.REMOVED,
}
SIZE_HINTS = {
    "off": i.SizeHint.NONE,
    "nominal": i.SizeHint.NOMINAL,
    "rough": i.SizeHint.ROUGH,
    "live": i.SizeHint.LIVE,
}
FEEDBACK = {"off": i.Feedback.NONE, "inline": i.Feedback.ANSWERS, "on_probe": i.Feedback.PROBES}
REPORT_FIELDS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "utilisation",
    "mean_ms": "latency_ms",
    "tps": "rate",
    "err_ps": "error_rate",
}


class MalformedError(ValueError):
    """Input that does not conform to the wire format."""


def seconds(text: str | float) -> float:
    """Converts microseconds to seconds."""
    return int(text) / 1e6


def micros(value: float) -> int:
    """Converts seconds to whole microseconds."""
    return round(value * 1e6)


def read_flag(text: str) -> bool:
    """Parses a bool."""
    if text not in ("0", "1"):
        raise MalformedError(f"'{text}' is not a bool")
    return text == "1"


def read_report(text: str) -> tuple[float, ...]:
    """Parses a load report; empty if there is none."""
    return tuple(float(value) for value in text.split(",")) if text not in ("", "-") else ()


def read_line(line: str) -> tuple[str, Fields]:
    """Splits a line into name and fields; Info runs to the end of the line."""
    head, mark, tail = line.partition(" Info=")
    name, *parts = head.split(" ")
    fields: Fields = {}
    for part in parts:
        key, equals, value = part.partition("=")
        if not equals:
            raise MalformedError(f"'{part}' in {name} is not of the form name=value")
        fields[key] = value
    if mark:
        fields["Info"] = tail
    return name, fields


def read_class(raw: dict[str, Any]) -> i.RequestClass:
    """Parses an entry of Classes."""
    return i.RequestClass(
        name=raw["Name"],
        aim=seconds(raw["AimUs"]),
        deadline=seconds(raw["DeadlineUs"]),
        worth=float(raw["Value"]),
        late_worth=float(raw["LateWorth"]),
        effect=EFFECTS[raw["Effect"]],
        dedup_scope=i.DedupScope(raw["DedupScope"]),
        dedup_window=seconds(raw["WindowUs"]),
        stream=bool(raw["Stream"]),
        aim_stretch=float(raw.get("AimStretch", 0)),
    )


def read_plan(raw: dict[str, Any]) -> i.Plan:
    """Parses an entry of Contracts."""
    return i.Plan(
        name=raw["Name"],
        rate=float(raw["Rate"]),
        burst=float(raw["PeakUnits"]),
        max_open=int(raw["Parallel"]),
        price=float(raw["ValueFactor"]),
        excess_worth=float(raw["ExtraWorth"]),
        excess_cost=float(raw["ExcessCost"]),
        ceiling_rate=float(raw["CeilingRate"]),
        ceiling_burst=float(raw["CeilingBurst"]),
        ceiling_slack=float(raw["CeilingSlack"]),
    )


def read_settings(raw: dict[str, Any]) -> i.Settings:
    """Parses the Info of NEW_INSTANCE or the settings of a configuration; unknown keys are ignored."""
    caps, rules, prices, family = raw["Caps"], raw["Rules"], raw["Prices"], raw["FamilyInfo"]
    return i.Settings(
        number=int(raw["Me"]),
        gateways=int(raw["Balancers"]),
        zone=raw["Az"],
        tick=seconds(raw["TickUs"]),
        classes=tuple(read_class(entry) for entry in raw["Classes"]),
        plans=tuple(read_plan(entry) for entry in raw["Contracts"]),
        pushed_discovery={"pushed": True, "on_request": False}[raw["Discovery"]],
        size_hint=SIZE_HINTS[raw["Weights"]],
        feedback=FEEDBACK[raw["Feedback"]["Via"]],
        report_fields=tuple(REPORT_FIELDS.get(name, name) for name in raw["Feedback"]["Fields"]),
        may_cancel=bool(caps["Cancel"]),
        may_probe=bool(caps["Probes"]),
        may_message_peers=bool(caps["PeerMessages"]),
        second_copies=bool(caps["SecondCopies"]),
        retry_after=bool(caps["RetryAfter"]),
        max_attempts=int(caps["TryLimit"]),
        max_retry_after=seconds(caps["MaxRetryAfterUs"]),
        dial_timeout=seconds(caps["DialTimeoutUs"]),
        max_units=float(family["MostUnits"]),
        units_settle=bool(family["Settles"]),
        peer_intake=float(family["PeerIntake"]),
        ask_within=seconds(rules["AskWithinUs"]),
        cold_from=float(rules["ColdFrom"]),
        cold_time=seconds(rules["ColdUs"]),
        drain_grace=seconds(rules["DrainGraceUs"]),
        fall_multiple=float(rules["FallMultiple"]),
        fall_window=seconds(rules["OverloadForUs"]),
        cross_zone_price=float(prices["CrossZone"]),
        waste_price=float(prices["Waste"]),
        late_fail_price=float(prices["LateFail"]),
        probe_price=float(prices["Probe"]),
        peer_price=float(prices["Peer"]),
        may_use_counter=bool(family.get("Counter", False)),
        count_limit=seconds(family.get("CountLimitUs", 80_000)),
    )


def read_entry(fields: Fields) -> i.BackendEntry:
    """Parses an M line of a LIST."""
    started = int(fields.get("UpSinceUs", 0))
    return i.BackendEntry(
        backend=fields["Backend"],
        zone=fields.get("Area", ""),
        kind=fields.get("Type", ""),
        cell=int(fields.get("Block", 0)),
        availability=AVAILABILITY[fields["Availability"]],
        size=float(fields.get("PowerHint", 1)),
        started=seconds(started) if started else None,
    )


def read_request(f: Fields) -> i.Event:
    """Parses CALL."""
    return i.RequestArrived(
        request=f["Ticket"],
        class_name=f["Profile"],
        plan=f["Plan"],
        tenant=f["Customer"],
        time_left=seconds(f["LeftUs"]),
        units=float(f["PriceUnits"]),
        ring_size=int(f["EntryPoints"]),
        ring_first=int(f["SetStart"]),
    )


def read_attempt(f: Fields) -> i.Event:
    """Parses REPLY."""
    return i.AttemptEnded(
        request=f["Ticket"],
        backend=f["Backend"],
        attempt=int(f["Go"]),
        latency=seconds(f["LatencyUs"]),
        outcome=OUTCOMES[int(f["How"])],
        finished=read_flag(f["DoneFlag"]),
        true_units=float(f.get("FinalUnits", 0)),
        used_percent=float(f.get("UsePct", 0)),
        report=read_report(f.get("Usage", "")),
    )


def read_probe(f: Fields) -> i.Event:
    """Parses PROBED."""
    outcome, latency = OUTCOMES[int(f["How"])], seconds(f["LatencyUs"])
    return i.ProbeEnded(f["Backend"], outcome, latency, read_report(f.get("Usage", "")))


def read_count(f: Fields) -> i.Event:
    """Parses TOTAL."""
    outcome = OUTCOMES[int(f["How"])]
    return i.CounterAnswered(int(f["Cname"]), outcome, float(f.get("Sum", 0)), seconds(f["LatencyUs"]))


def read_peer(f: Fields) -> i.Event:
    """Parses FROM_PEER."""
    content = b"" if f["Content"] == "-" else base64.b64decode(f["Content"], validate=True)
    return i.PeerMessage(int(f["Sender"]), content)


def read_stream(f: Fields) -> i.Event:
    """Parses ACK_FIRST."""
    return i.StreamStarted(f["Ticket"], int(f["Go"]), f["Backend"], seconds(f["LatencyUs"]))


READERS: dict[str, Callable[[Fields], i.Event]] = {
    "CALL": read_request,
    "REPLY": read_attempt,
    "REMINDER": lambda f: i.TimerFired(int(f["Handle"])),
    "FROM_PEER": read_peer,
    "VANISHED": lambda f: i.RequestCancelled(f["Ticket"]),
    "PROBED": read_probe,
    "TOTAL": read_count,
    "ACK_FIRST": read_stream,
}


def write(instance: int, action: i.Action) -> str:
    """Formats an action as a line of the reply."""
    match action:
        case i.Send(request, backend, timeout):
            limit = "" if timeout is None else f" TryForUs={micros(timeout) or -1}"
            return f"TRANSMIT Door={instance} Ticket={request} Backend={backend}{limit}"
        case i.SetTimer(delay, handle):
            return f"SET_ALARM Door={instance} OffsetUs={micros(delay)} Handle={handle}"
        case i.Refuse(request, retry_after, _):
            advice = "" if retry_after is None else f" RetryInUs={micros(retry_after)}"
            return f"SHED Door={instance} Ticket={request}{advice}"
        case i.Fail(request):
            return f"RESPOND_ERROR Door={instance} Ticket={request}"
        case i.SendPeerMessage(peer, content):
            text = base64.b64encode(content).decode() or "-"
            return f"TELL Door={instance} Dest={'all' if peer is None else peer} Content={text}"
        case i.Cancel(request, attempt):
            return f"REVOKE Door={instance} Ticket={request} Go={attempt}"
        case i.Probe(backend):
            return f"SAMPLE Door={instance} Backend={backend}"
        case i.Log(text):
            return f"WRITE_LOG Door={instance} BodyText={text}"
        case i.AddToCounter(name, amount, lifetime):
            return f"ADD Door={instance} Cname={name} Step={amount:g} ExpireInUs={micros(lifetime)}"
        case i.CloseIdle(backend):
            return f"RELEASE Door={instance} Backend={backend}"
        case i.FetchList():
            return f"LIST_ALL Door={instance}"
        case i.Subscribe(wanted):
            return f"WATCH Door={instance} Want={int(wanted)}"
        case i.UseReported():
            raise ValueError("counter reconciliation is not part of the wire format")


class Adapter:
    """Hosts the gateways of one process and answers batch by batch."""

    def __init__(self, source: TextIO, sink: TextIO, errors: TextIO) -> None:
        self.source, self.sink, self.errors = source, sink, errors
        self.gateways: dict[int, Gateway] = {}
        self.lists: dict[int, tuple[i.BackendEntry, ...]] = {}

    def run(self) -> None:
        """Processes batches until the end of the input."""
        lines = iter(self.source)
        for line in lines:
            text = line.rstrip("\n")
            if text:
                self.answer(text, lines)

    def answer(self, opening: str, lines: Iterator[str]) -> None:
        """Processes the events of one batch in order and writes the reply at once."""
        out: list[str] = []
        serial, now = "0", 0.0
        try:
            name, fields = read_line(opening)
            if name != "BEGIN_BATCH":
                raise MalformedError(f"expected BEGIN_BATCH, got '{name}'")
            serial, now = str(int(fields["serial"])), seconds(fields["NowUs"])
        except (ValueError, KeyError) as error:
            self.report(out, None, opening, error)
        for line in lines:
            text = line.rstrip("\n")
            if text == "END":
                break
            self.event(now, text, lines, out)
        else:
            self.report(out, None, opening, MalformedError("unexpected end of input within a batch"))
        out.append(f"ACK serial={serial}\n")
        self.sink.write("\n".join(out))
        self.sink.flush()

    def event(self, now: float, text: str, lines: Iterator[str], out: list[str]) -> None:
        """Processes one event; malformed input and faults of the module are reported as CRASH."""
        instance: int | None = None
        try:
            name, fields = read_line(text)
            if name == "LIST":
                self.read_list(fields, lines)
                return
            instance = int(fields["Door"])
            if name == "EXIT":
                self.gateways.pop(instance, None)
                return
            event = self.read(instance, name, fields)
        except (ValueError, KeyError, TypeError, AttributeError, binascii.Error) as error:
            self.report(out, instance, text, error)
            return
        try:
            actions = self.gateways[instance].handle(now, event)
        except Exception as error:  # a fault ends the instance, never the process
            del self.gateways[instance]
            self.crash(out, instance, f"fault of the module: instance {instance}, {name}: {error!r}")
            return
        out.extend(write(instance, action) for action in actions)

    def read(self, instance: int, name: str, fields: Fields) -> i.Event:
        """Parses a line into an event for a running instance."""
        if name == "NEW_INSTANCE":
            self.gateways[instance] = Gateway(read_settings(json.loads(fields["Info"])), int(fields["Seed"]))
            return i.Started()
        if name not in READERS and name != "SYNC":
            raise MalformedError(f"unknown event '{name}'")
        event = self.read_sync(fields) if name == "SYNC" else READERS[name](fields)
        if instance not in self.gateways:
            raise MalformedError(f"{name} for instance {instance}, which does not exist")
        gateway = self.gateways[instance]
        if isinstance(event, i.RequestArrived):
            if event.class_name not in gateway.classes:
                raise MalformedError(f"unknown class '{event.class_name}'")
            if event.plan not in gateway.plans:
                raise MalformedError(f"unknown plan '{event.plan}'")
        if isinstance(event, i.AttemptEnded) and (event.request, event.attempt) not in gateway.open_attempts:
            raise MalformedError(f"no attempt {event.attempt} of {event.request} is in flight")
        return event

    def read_list(self, fields: Fields, lines: Iterator[str]) -> None:
        """Reads a numbered list, with all of its lines before the first is parsed."""
        raw = [next(lines, "").rstrip("\n") for _ in range(int(fields["Entries"]))]
        entries = []
        for line in raw:
            name, entry = read_line(line)
            if name != "M":
                raise MalformedError(f"expected list entry M, got '{name}'")
            entries.append(read_entry(entry))
        self.lists[int(fields["List"])] = tuple(entries)

    def read_sync(self, fields: Fields) -> i.Event:
        """Parses SYNC; the list is the latest one of that number."""
        if fields["Kind"] == "FAILED":
            return i.ListFailed()
        number = int(fields["List"])
        if number not in self.lists:
            raise MalformedError(f"unknown list {number}")
        return i.BackendsListed(KINDS[fields["Kind"]], self.lists[number])

    def report(self, out: list[str], instance: int | None, text: str, error: Exception) -> None:
        """Reports malformed input."""
        reason = f"missing or unknown {error}" if isinstance(error, KeyError) else f"{error}"
        self.crash(out, instance, f"malformed input: {reason} in: {text[:200]}")

    def crash(self, out: list[str], instance: int | None, message: str) -> None:
        """Writes a message to standard error and CRASH to the reply."""
        self.errors.write(f"hoistfold: {message}\n")
        out.append(f"CRASH Door={0 if instance is None else instance} BodyText={message}")


def main() -> None:
    """Translates standard input to standard output."""
    Adapter(sys.stdin, sys.stdout, sys.stderr).run()


if __name__ == "__main__":
    main()
