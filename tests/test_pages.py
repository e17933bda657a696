"""The operators' pages agree with the code: directives, defaults, commands and reason codes."""

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


def test_the_page_of_directives_is_up_to_date() -> None:
    assert (ROOT / "docs" / "operators" / "configuration.md").read_text() == page()


def test_every_default_is_valid_for_its_value_type() -> None:
    def walk(table: tuple[Directive, ...]) -> None:
        for directive in table:
            for index, word in enumerate((directive.default or "").split()):
                directive.value_types[min(index, len(directive.value_types) - 1)].read(word)
            walk(directive.block or ())

    walk(TOP)


def test_the_tutorial_for_tls_serves_a_request_over_a_verified_connection(tmp_path: Path) -> None:
    """Runs the page's own commands, with other folders and ports, as several runs may be in progress."""
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


def test_every_tls_reason_code_is_on_the_operators_page() -> None:
    text = (ROOT / "docs" / "operators" / "tls.md").read_text()
    sources = "".join(path.read_text() for path in (ROOT / "standflow" / "tls").glob("*.py"))
    codes = (
        set(re.findall(r'return "([a-z_]+)"', sources))
        | set(VERIFY_REASONS.values())
        | {"truncated", "rotated"}
    )
    assert {"cut_off", "not_tls", "handshake_timeout", "no_name"} <= codes
    for reason in codes - {"unasked_bytes", "given_up"}:
        assert f"`{reason}`" in text, reason
