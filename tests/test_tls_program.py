"""The whole program with an operator's configuration file and backends that use TLS."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from click.testing import CliRunner

from lab.authority import Authority, server_context
from lab.box import Box, Mode
from standflow import cli
from tests.test_adapter import ROOT
from tests.wire import LIMIT, Program, command, read_until

AUTHORITY = Authority()
CERT = AUTHORITY.issue("tt-07.room-b.example.org")
FILE = """
listen 127.0.0.1:0
zones  room-b
class look {
    aim       1s
    deadline  3s
}
class change {
    effect    unsafe
    aim       1s
    deadline  3s
}
plan plain {
    rate   1000
    burst  1000
}
next-hop tt-07 {
    address  %s
    zone     room-b
}
tls {
    roots  roots.pem
    names  {id}.{zone}.example.org
    watch  0
}
"""


def write(folder: Path, box: Box, more: str = "", tls: str = "") -> Path:
    AUTHORITY.write_roots(folder)
    text = FILE % f"{box.address[0]}:{box.address[1]}"
    path = folder / "standflow.conf"
    path.write_text(text.replace("    watch  0\n", "    watch  0\n" + tls) + more)
    return path


@contextmanager
def running(path: Path) -> Iterator[Program]:
    process = subprocess.Popen(
        [sys.executable, "-m", "standflow.cli", "run", str(path)], cwd=ROOT, stderr=subprocess.PIPE
    )
    try:
        yield Program(process)
    finally:
        process.kill()
        process.communicate()


def until_counted(box: Box, handshakes: int) -> None:
    """Waits for the box's handshake counter, as its side of a handshake ends after the client's."""
    end = time.monotonic() + LIMIT
    while box.counts.full != handshakes:
        assert time.monotonic() < end, box.counts
        time.sleep(0.01)


def test_request_is_served_over_verified_tls_on_a_connection_opened_ahead(tmp_path: Path) -> None:
    with Box(server_context(CERT)) as box, running(write(tmp_path, box)) as program:
        program.logged("handshakes: next hop tt-07 is ready and shown")
        until_counted(box, 1)  # before any request
        client = program.call()
        client.sendall(command("aa01", "Q.DO", "change"))
        assert read_until(client, b"aa01\r\n") == b"$8\r\nran aa01\r\n"
        assert box.run_counts() == {"aa01": 1}
        assert box.counts.connections == 1
        program.terminate()
        assert program.process.wait(LIMIT) == 0
        program.logged(r"end nexthop tt-07 shutdown served=1 .* TLSv1\.3 resumed=0 handshake=")
        program.logged(r"tls: handshakes full=1 resumed=0 share=0\.00 failed=0 declined=0")


def test_backend_with_a_wrong_name_is_not_shown_until_it_is_fixed(tmp_path: Path) -> None:
    wrong = AUTHORITY.issue("tt-08.room-b.example.org")
    with Box(server_context(wrong)) as box, running(write(tmp_path, box)) as program:
        program.logged("end nexthop tt-07 wrong_name")
        client = program.call()
        client.sendall(command("aa01", "Q.DO", "change"))
        assert read_until(client, b"\r\n").startswith(b"-BUSY ")
        assert not box.run_counts()
        box.forget_sessions(server_context(CERT))  # fixed: the next attempt after the pause succeeds
        program.logged("next hop tt-07 is ready and shown")
        client.sendall(command("aa02", "Q.DO", "change"))
        assert read_until(client, b"aa02\r\n") == b"$8\r\nran aa02\r\n"


def test_sighup_loads_new_material_and_ignores_invalid_material(tmp_path: Path) -> None:
    with Box(server_context(CERT)) as box:
        path = write(tmp_path, box)
        with running(path) as program:
            program.logged("is ready and shown")
            (tmp_path / "roots.pem").write_text("no roots")
            program.process.send_signal(signal.SIGHUP)
            program.logged(r"tls: .*roots\.pem: no PEM file of certificates; the set before stays in use")
            client = program.call()
            client.sendall(command("aa01"))
            assert read_until(client, b"aa01\r\n") == b"$8\r\nran aa01\r\n"
            AUTHORITY.write_roots(tmp_path, Authority())
            program.process.send_signal(signal.SIGHUP)
            program.logged("tls: set 2 in use")
            program.logged("end nexthop tt-07 rotated served=1")  # after another connection is ready
            client.sendall(command("aa02"))
            assert read_until(client, b"aa02\r\n") == b"$8\r\nran aa02\r\n"
            assert box.counts.full == 2


def test_startup_fails_on_unusable_material(tmp_path: Path) -> None:
    with Box(server_context(CERT)) as box:
        path = write(tmp_path, box)
        (tmp_path / "roots.pem").unlink()
        ended = subprocess.run(
            [sys.executable, "-m", "standflow.cli", "run", str(path)],
            cwd=ROOT,
            capture_output=True,
            timeout=LIMIT,
        )
        assert ended.returncode == 2
        assert ended.stderr.decode().startswith("standflow: tls: ")
        assert ended.stderr.decode().endswith("roots.pem: No such file or directory\n")
        checked = CliRunner().invoke(cli.main, ["check", str(path)])
        assert (checked.exit_code, checked.output) == (2, ended.stderr.decode())
        AUTHORITY.write_roots(tmp_path)
        assert CliRunner().invoke(cli.main, ["check", str(path)]).exit_code == 0


def test_unsafe_request_fails_and_runs_once_if_the_connection_ends_in_its_answer(tmp_path: Path) -> None:
    mode = Mode(alert=True)
    with Box(server_context(CERT), mode) as box, running(write(tmp_path, box)) as program:
        program.logged("is ready and shown")
        client = program.call()
        client.sendall(command("aa01", "Q.DO", "change"))
        assert read_until(client, b"\r\n") == b"-ERR failed\r\n"
        program.logged("end nexthop tt-07 alert:20")
        assert box.run_counts() == {"aa01": 1}
