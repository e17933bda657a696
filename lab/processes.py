"""Real ingress processes and box processes, started, watched and ended by the laboratory."""

from __future__ import annotations

import contextlib
import json
import os
import re
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
WAIT_LIMIT_SECONDS = 20.0  # seconds after which what was waited for never comes


class Ingress:
    """One ingress by an operator's file, or by what `environment` says; its log is gathered as it comes."""

    def __init__(
        self,
        path: Path | None,
        passed: tuple[int, ...] = (),
        environment: dict[str, str] | None = None,
        module: str = "standflow",
    ) -> None:
        """`passed`: descriptors that it inherits; `module`: what starts it."""
        given = {} if path is None else {"STANDFLOW_CONF": str(path)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", module],
            cwd=ROOT,
            env={**os.environ, **given, **(environment or {})},
            stderr=subprocess.PIPE,
            pass_fds=passed,
        )
        self.log: list[str] = []
        self.log_changed = threading.Condition()
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            with self.log_changed:
                self.log.append(line.decode("utf-8", "replace").rstrip())
                self.log_changed.notify_all()

    def wait_for_log(self, pattern: str, limit: float = WAIT_LIMIT_SECONDS) -> re.Match[str]:
        """Waits for a line of the log."""
        end, at = time.monotonic() + limit, 0
        while True:
            with self.log_changed:
                while at < len(self.log):
                    if match := re.search(pattern, self.log[at]):
                        return match
                    at += 1
                if time.monotonic() > end or self.process.poll() is not None:
                    raise TimeoutError(f"no '{pattern}' in the log: {self.log[-5:]}")
                self.log_changed.wait(0.1)

    def address(self) -> tuple[str, int]:
        """Where it listens, once it is ready."""
        match = self.wait_for_log(r"ready \S+ on ([\d.]+):(\d+)")
        return match[1], int(match[2])

    def cpu(self) -> float:
        """Processor seconds that it has used."""
        text = Path(f"/proc/{self.process.pid}/schedstat").read_text()
        return int(text.split()[0]) / 1e9

    def rss_mb(self) -> float:
        """Resident megabytes."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmRSS:\s+(\d+)", status)
        return int(found[1]) / 1024 if found else 0.0

    def peak_rss_mb(self) -> float:
        """The most resident megabytes that it has had."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+)", status)
        return int(found[1]) / 1024 if found else 0.0

    def signal(self, number: int) -> None:
        """Sends it a signal."""
        self.process.send_signal(number)

    def end(self) -> int:
        """SIGTERM and, where that does not help, SIGKILL; its status."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(WAIT_LIMIT_SECONDS)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.reader.join(WAIT_LIMIT_SECONDS)
        if self.process.stderr is not None:
            self.process.stderr.close()
        return self.process.returncode


class BoxProcess:
    """A box as a process of its own, with the calls of its control."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lab.box"], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        host, port = self._answer()["address"]
        self.address: tuple[str, int] = (host, port)

    def _answer(self) -> dict[str, Any]:
        assert self.process.stdout is not None
        answer = json.loads(self.process.stdout.readline())
        assert isinstance(answer, dict)
        return answer

    def do(self, what: str, **arguments: Any) -> dict[str, Any]:
        """One command of the control and its answer."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps({"do": what, **arguments}).encode() + b"\n")
        self.process.stdin.flush()
        return self._answer()

    def end(self) -> None:
        """Ends it."""
        self.process.kill()
        self.process.communicate()
