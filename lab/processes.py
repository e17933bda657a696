"""Ingress and box processes that the lab starts, observes and stops."""

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
WAIT_LIMIT_SECONDS = 20.0  # after which a wait fails


class Ingress:
    """One ingress process, configured by an operator's file or by `environment`; collects its log."""

    def __init__(
        self,
        path: Path | None,
        passed: tuple[int, ...] = (),
        environment: dict[str, str] | None = None,
        module: str = "standflow",
    ) -> None:
        """`passed`: file descriptors to inherit; `module`: the Python module to run."""
        given = {} if path is None else {"STANDFLOW_CONF": str(path)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", module],
            cwd=ROOT,
            # A process that is killed by SIGABRT then writes its stack to the log.
            env={**os.environ, "PYTHONFAULTHANDLER": "1", **given, **(environment or {})},
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
        """Waits for a log line that matches; TimeoutError if there is none in time or the process exits."""
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
        """The listening address, once the ingress is ready."""
        match = self.wait_for_log(r"ready \S+ on ([\d.]+):(\d+)")
        return match[1], int(match[2])

    def cpu(self) -> float:
        """CPU seconds used so far."""
        text = Path(f"/proc/{self.process.pid}/schedstat").read_text()
        return int(text.split()[0]) / 1e9

    def rss_mb(self) -> float:
        """Resident set size in megabytes."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmRSS:\s+(\d+)", status)
        return int(found[1]) / 1024 if found else 0.0

    def peak_rss_mb(self) -> float:
        """Peak resident set size in megabytes."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+)", status)
        return int(found[1]) / 1024 if found else 0.0

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def end(self) -> int:
        """Stops the process with SIGTERM, after a timeout with SIGKILL; returns the exit status."""
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
    """A box in its own process, driven through its control commands."""

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
        """Sends one control command and returns the answer."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps({"do": what, **arguments}).encode() + b"\n")
        self.process.stdin.flush()
        return self._answer()

    def end(self) -> None:
        """Kills the process."""
        self.process.kill()
        self.process.communicate()
