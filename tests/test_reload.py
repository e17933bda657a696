"""Reloads: which files are accepted, and what then holds for open and for new requests."""

from __future__ import annotations

import json
import signal
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from hoistfold import interface as i
from standflow.assembly import Ingress
from standflow.config import load
from standflow.config.model import ConfigError
from standflow.config.reload import first_missing_key, key_shape
from standflow.exchange import Attempt
from standflow.messages import InvalidRequestError, Outcome, Request, Result
from standflow.net.loop import Loop
from standflow.net.nexthop import COOL_DOWN
from standflow.shutdown_schedule import schedule_for
from tests.test_connections import Recorder
from tests.test_ops import VALUE, telemetry, with_ops
from tests.wire import LIMIT, command, config, listener, member, program, read_until, with_deadline
from tests.world import ended, request, sends, settings, started


def changed(raw: dict[str, Any], **keys: Any) -> dict[str, Any]:
    """A copy with other values in the first class."""
    text = json.loads(json.dumps(raw))
    text["settings"]["Classes"][0] |= keys
    return dict(text)


def loaded(path: Path, text: str) -> Any:
    path.write_text(text)
    return load({"EDGE_CONFIG": str(path)}, lambda line: None)


@pytest.mark.parametrize("key", ["AimUs", "DeadlineUs"])
@pytest.mark.parametrize("value", [0, -5, "1500000", True, None, float("nan"), float("inf"), [1]])
def test_a_time_that_is_no_positive_number_is_reported_with_its_key(
    tmp_path: Path, key: str, value: Any
) -> None:
    with pytest.raises(ConfigError, match=key):
        loaded(tmp_path / "c", json.dumps(changed(config(), **{key: value})))


@pytest.mark.parametrize("value", [0, -1, "5", False, None, float("inf")])
def test_a_number_of_attempts_that_is_not_positive_is_reported_with_its_key(
    tmp_path: Path, value: Any
) -> None:
    raw = config()
    raw["settings"]["Caps"]["TryLimit"] = value
    with pytest.raises(ConfigError, match="TryLimit"):
        loaded(tmp_path / "c", json.dumps(raw))


def test_a_file_truncated_at_any_byte_or_without_a_key_is_rejected(tmp_path: Path) -> None:
    text = json.dumps(config())
    for end in range(0, len(text), 7):
        with pytest.raises(ConfigError):
            loaded(tmp_path / "c", text[:end])
    before = loaded(tmp_path / "c", text).platform_keys

    def paths(value: Any, path: tuple[Any, ...] = ()) -> Any:
        for key in value if isinstance(value, dict) else range(len(value) if isinstance(value, list) else 0):
            if isinstance(value, dict):
                yield (*path, key)
            yield from paths(value[key], (*path, key))

    for path in paths(json.loads(text)):
        raw = json.loads(text)
        inner = raw
        for step in path[:-1]:
            inner = inner[step]
        del inner[path[-1]]
        if path[0] != "known":
            assert first_missing_key(before, key_shape(raw)).endswith(str(path[-1]))
    raw = config()
    raw["settings"]["Classes"].pop()
    raw["new"] = 1
    assert first_missing_key(before, key_shape(raw)) == ""


class Silent:
    """A next-hop side that accepts attempts and never reports on them."""

    def start(self, attempt: Attempt) -> None: ...

    def give_up(self, attempt: Attempt) -> bool:
        return True

    def unsent(self, attempt: Attempt) -> bool:
        return False


def ask(recorder: Recorder, kind: str, finals: list[object]) -> Any:
    return recorder.exchange.open(
        Request(kind, "plain", "7", 5.0, 1.0, 1, 0, None), recorder.loop.now(), finals.append
    )


def test_an_open_request_keeps_its_class_and_the_smaller_number_of_attempts() -> None:
    recorder, finals = Recorder(), list[object]()
    recorder.exchange.next_hops = Silent()
    recorder.exchange.reconfigure({"look": True, "change": False}, 3)
    recorder.exchange.finish_reconfigure()
    safe, unsafe = ask(recorder, "look", finals), ask(recorder, "change", finals)
    assert recorder.exchange.reconfigure({"look": False, "new": True}, 9) == {"look": True, "change": False}
    assert recorder.exchange.safe_flags("look") == {True, False}
    late = ask(recorder, "look", finals)  # the client may know the new file or not
    recorder.exchange.finish_reconfigure()
    assert (safe.safe, unsafe.safe, late.safe, ask(recorder, "new", finals).safe) == (
        True,
        False,
        False,
        True,
    )
    with pytest.raises(InvalidRequestError, match="unknown class"):
        ask(recorder, "change", finals)
    for transaction, sent in ((safe, 3), (unsafe, 1)):
        for _ in range(5):
            attempt = recorder.exchange.send(transaction.name, "s-1", None)
            assert attempt is not None
            if attempt.outcome is None:
                recorder.exchange.attempt_ended(attempt, Result(Outcome.TIMEOUT))
        assert sum(b.outcome is Outcome.TIMEOUT for b in transaction.attempts) == sent
    recorder.close()


def kinds(*names: str, **changes: Any) -> tuple[i.RequestClass, ...]:
    first = settings().classes[0]
    return tuple(replace(first, name=name, **changes) for name in names)


def test_the_module_continues_open_requests_of_a_class_that_was_removed() -> None:
    gateway = started(max_attempts=5)
    first = sends(gateway.handle(1.0, request("r1")))[0]
    gateway.handle(1.0, i.SettingsChanged(settings(classes=kinds("new"), max_attempts=1)))
    again = gateway.handle(1.1, ended(first, i.Outcome.CONNECT_FAILED))
    assert not sends(again)  # five were allowed, now only one
    assert any(isinstance(action, i.Refuse) for action in again)
    assert sends(gateway.handle(1.2, request("r2", class_name="new")))
    assert set(gateway.baseline) == {"read", "new"} | set(gateway.baseline) & {"write"}
    gateway.handle(1.3, i.SettingsChanged(settings(classes=kinds("new"))))
    assert set(gateway.baseline) == {"new"}


def test_a_file_is_applied_completely_or_not_at_all_and_counted(tmp_path: Path) -> None:
    with listener() as hop:
        known = {"revision": 1, "complete": True, "members": [member(hop.getsockname())]}
        raw = with_ops(known=known, counter="127.0.0.1:1")
        with program(tmp_path, raw) as running:
            client = running.call()
            path = tmp_path / "config.json"

            def reload(text: str, pattern: str) -> None:
                path.write_text(text)
                running.process.send_signal(signal.SIGHUP)
                running.logged(pattern)

            def answer(kind: str, name: str = "Q.ASK", ident: str = "aa01") -> bytes:
                client.sendall(command(ident, name, kind))
                return read_until(client, b"\r\n")

            broken = changed(raw, DeadlineUs=0)
            broken["settings"]["Classes"].append(raw["settings"]["Classes"][0] | {"Name": "new"})
            reload(json.dumps(broken), "reload: settings.Classes.look.DeadlineUs: .*; nothing was changed")
            assert answer("new") == b"-ERR unknown class\r\n"
            lacking = changed(raw, DeadlineUs=1000)
            del lacking["counter"]  # a start does not need it
            reload(json.dumps(lacking), "reload: counter: is missing; .*; nothing was changed")
            good = changed(raw)
            good["settings"]["Classes"].append(raw["settings"]["Classes"][0] | {"Name": "new"})
            del good["settings"]["Classes"][1]
            reload(json.dumps(good), "reload: done")
            client.sendall(command("aa02", "Q.DO", "change"))  # the client does not know the new file yet
            at_hop = hop.accept()[0]
            at_hop.settimeout(LIMIT)
            read_until(at_hop, b"first=0\r\n")
            at_hop.sendall(VALUE)
            assert read_until(client, b"l\r\n").startswith(b"$5")
            time.sleep(2 * COOL_DOWN)  # a connection is quarantined after an answer
            client.sendall(command("aa03", "Q.ASK", "new"))
            read_until(at_hop, b"first=0\r\n")
            at_hop.sendall(VALUE)
            assert read_until(client, b"l\r\n").startswith(b"$5")
            over = command("aa04", "Q.DO", "change").replace(b"units=1", b"units=9")  # never forwarded
            while True:
                client.sendall(over)
                if read_until(client, b"\r\n") == b"-ERR unknown class\r\n":
                    break
            with listener() as agent, listener() as other:  # two files, one soon after the other
                moved = [good | {"discovery": "{}:{}".format(*sock.getsockname())} for sock in (agent, other)]
                moved[1]["settings"]["Caps"]["TryLimit"] = 2
                for number, file in enumerate(moved):
                    path.write_text(json.dumps(file))
                    running.process.send_signal(signal.SIGHUP)
                    running.logged(f"(?:reload: done(?:.|\\n)*){{{number + 2}}}")
                assert b"/v1/endpoints" in other.accept()[0].recv(1000)
                running.logged("attempts 2")
            figures = telemetry(running)
            assert (figures["sighup_applied"], figures["sighup_rejected"]) == (3, 2)
            assert figures["results.new.succeeded"] == figures["results.change.succeeded"] == 1


class Reloads:
    """One ingress in this process, whose file changes; each callback of a reload can be made to fail."""

    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.path = folder / "config.json"
        monkeypatch.setenv("EDGE_CONFIG", str(self.path))
        monkeypatch.delenv("STANDFLOW_CONF", raising=False)
        self.raw = with_deadline(config(counter="127.0.0.1:1"), 3.0)
        self.log: list[str] = []
        self.loop = Loop(self.log.append)
        self.ingress = Ingress(loaded(self.path, json.dumps(self.raw)), self.loop, self.log.append)
        self.moved: list[tuple[str, int]] = []
        self.ingress.reloading.callbacks.move_discovery = self.moved.append
        self.ingress.reloading.callbacks.move_counter = self.moved.append

    def reload(self) -> None:
        """SIGHUP with a shorter deadline, and other addresses of discovery and the counter."""
        raw = with_deadline(json.loads(json.dumps(self.raw)), 0.8)
        self.path.write_text(json.dumps(raw | {"discovery": "127.0.0.1:2", "counter": "127.0.0.1:3"}))
        self.ingress.reload()

    def close(self) -> None:
        self.ingress.close()
        self.loop.epoll.close()


def raise_fault(*arguments: object) -> None:
    """Takes the place of a step that has a fault."""
    raise ZeroDivisionError


@pytest.mark.parametrize("fault", ["classes", "discovery", "reading"])
def test_fault_in_a_part_of_a_reload_skips_no_other(
    fault: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a shutdown that SIGKILL overtakes, or a counter not moved, after a fault in a reload."""
    reloads = Reloads(tmp_path, monkeypatch)
    ingress = reloads.ingress
    ingress.stop()
    if fault == "classes":
        monkeypatch.setattr(ingress.exchange, "reconfigure", raise_fault)
    elif fault == "discovery":
        ingress.reloading.callbacks.move_discovery = raise_fault
    else:
        monkeypatch.setattr("standflow.reloading.load", raise_fault)
    reloads.reload()
    assert ingress.shutdown.schedule == schedule_for(3.0 if fault == "reading" else 0.8)
    moved = {"classes": [("127.0.0.1", 2), ("127.0.0.1", 3)], "discovery": [("127.0.0.1", 3)], "reading": []}
    assert reloads.moved == moved[fault]
    assert (ingress.reloading.applied, ingress.reloading.rejected) == (fault != "reading", fault == "reading")
    assert any("ZeroDivisionError" in line for line in reloads.log)
    said = "nothing was changed" if fault == "reading" else "reload: done but for what the faults before name"
    assert any(said in line for line in reloads.log)
    monkeypatch.undo()
    reloads.close()
