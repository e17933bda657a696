"""The whole program by the operator's file, with boxes that speak TLS."""

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
    """Waits until the box, whose side of a handshake ends after the client's, has counted so many."""
    end = time.monotonic() + LIMIT
    while box.counts.full != handshakes:
        assert time.monotonic() < end, box.counts
        time.sleep(0.01)


def test_a_request_is_served_over_verified_tls_by_a_connection_made_ready_ahead(tmp_path: Path) -> None:
    with Box(server_context(CERT)) as box, running(write(tmp_path, box)) as program:
        program.logged("handshakes: next hop tt-07 is ready and shown")
        until_counted(box, 1)  # before anything was asked
        caller = program.call()
        caller.sendall(command("aa01", "Q.DO", "change"))
        assert read_until(caller, b"aa01\r\n") == b"$8\r\nran aa01\r\n"
        assert box.ran() == {"aa01": 1}
        assert box.counts.connections == 1
        program.terminate()
        assert program.process.wait(LIMIT) == 0
        program.logged(r"end nexthop tt-07 shutdown served=1 .* TLSv1\.3 resumed=0 handshake=")
        program.logged(r"tls: handshakes full=1 resumed=0 share=0\.00 failed=0 declined=0")


def test_a_box_that_does_not_prove_its_name_is_never_shown_and_refused_at_once(tmp_path: Path) -> None:
    wrong = AUTHORITY.issue("tt-08.room-b.example.org")
    with Box(server_context(wrong)) as box, running(write(tmp_path, box)) as program:
        program.logged("end nexthop tt-07 wrong_name")
        caller = program.call()
        caller.sendall(command("aa01", "Q.DO", "change"))
        assert read_until(caller, b"\r\n").startswith(b"-BUSY ")
        assert not box.ran()
        box.forget_sessions(server_context(CERT))  # it is mended: the next try after the pause finds out
        program.logged("next hop tt-07 is ready and shown")
        caller.sendall(command("aa02", "Q.DO", "change"))
        assert read_until(caller, b"aa02\r\n") == b"$8\r\nran aa02\r\n"


def test_sighup_takes_new_material_up_and_a_bad_set_changes_nothing(tmp_path: Path) -> None:
    with Box(server_context(CERT)) as box:
        path = write(tmp_path, box)
        with running(path) as program:
            program.logged("is ready and shown")
            (tmp_path / "roots.pem").write_text("no roots")
            program.process.send_signal(signal.SIGHUP)
            program.logged(r"tls: .*roots\.pem: no PEM file of certificates; the set before stays in use")
            caller = program.call()
            caller.sendall(command("aa01"))
            assert read_until(caller, b"aa01\r\n") == b"$8\r\nran aa01\r\n"
            AUTHORITY.write_roots(tmp_path, Authority())
            program.process.send_signal(signal.SIGHUP)
            program.logged("tls: set 2 in use")
            program.logged("end nexthop tt-07 rotated served=1")  # once another one is ready
            caller.sendall(command("aa02"))
            assert read_until(caller, b"aa02\r\n") == b"$8\r\nran aa02\r\n"
            assert box.counts.full == 2


def test_material_that_can_not_be_used_ends_the_start(tmp_path: Path) -> None:
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


def test_a_change_whose_connection_ends_in_the_answer_fails_and_runs_once(tmp_path: Path) -> None:
    mode = Mode(alert=True)
    with Box(server_context(CERT), mode) as box, running(write(tmp_path, box)) as program:
        program.logged("is ready and shown")
        caller = program.call()
        caller.sendall(command("aa01", "Q.DO", "change"))
        assert read_until(caller, b"\r\n") == b"-ERR failed\r\n"
        program.logged("end nexthop tt-07 alert:20")
        assert box.ran() == {"aa01": 1}
