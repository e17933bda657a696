"""What the pages say can be done and is in force, is."""

from __future__ import annotations

import re
import shlex
import socket
import subprocess
import sys
from pathlib import Path

from standflow.config.directives import TOP
from standflow.config.page import page
from standflow.config.schema import Directive
from standflow.tls.reasons import VERIFY_REASONS
from tests.test_adapter import ROOT


def test_the_page_of_directives_is_the_one_that_the_tables_make() -> None:
    assert (ROOT / "docs" / "operators" / "configuration.md").read_text() == page()


def test_every_default_can_be_read_by_its_own_kind() -> None:
    def walk(table: tuple[Directive, ...]) -> None:
        for directive in table:
            for place, word in enumerate((directive.default or "").split()):
                directive.takes[min(place, len(directive.takes) - 1)].read(word)
            walk(directive.block or ())

    walk(TOP)


def test_the_walk_through_from_an_empty_folder_serves_a_request_over_verified_tls(tmp_path: Path) -> None:
    """The commands are the page's own; only places and ports are others, since several may run at once."""
    text = (ROOT / "docs" / "operators" / "tls.md").read_text()
    commands = re.findall(r"```sh\n(.*?)```", text, re.DOTALL)
    assert len(commands) == 1
    ports = []
    for _ in range(2):
        with socket.create_server(("127.0.0.1", 0)) as free:
            ports.append(str(free.getsockname()[1]))
    script = commands[0].replace("7001", ports[0]).replace("7003", ports[1])
    script = script.replace("trial", shlex.quote(str(tmp_path / "trial")))
    python = shlex.quote(sys.executable)
    script = script.replace(".venv/bin/python", python).replace(
        ".venv/bin/standflow", f"{python} -m standflow.cli"
    )
    ended = subprocess.run(["bash", "-eu", "-c", script], cwd=ROOT, capture_output=True, timeout=60)
    assert ended.returncode == 0, ended.stderr.decode()
    assert ": can be used" in ended.stdout.decode()
    assert re.search(r"^served: '\$20\\r\\nran [0-9a-f]{16}'$", ended.stdout.decode(), re.MULTILINE)


def test_every_reason_code_of_tls_is_on_the_operators_page() -> None:
    text = (ROOT / "docs" / "operators" / "tls.md").read_text()
    sources = "".join(path.read_text() for path in (ROOT / "standflow" / "tls").glob("*.py"))
    said = (
        set(re.findall(r'return "([a-z_]+)"', sources))
        | set(VERIFY_REASONS.values())
        | {"truncated", "rotated"}
    )
    assert {"cut_off", "not_tls", "handshake_timeout", "no_name"} <= said
    for reason in said - {"unasked_bytes", "given_up"}:
        assert f"`{reason}`" in text, reason
