"""A test discovery agent that lists next hops and streams each change to all watchers."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
from typing import Any
from urllib.parse import parse_qs, urlsplit

from lab.accept import Acceptor


class Discovery:
    """Serves `GET /v1/endpoints`, and with `follow=1&since=N` a watch as a chunked response."""

    def __init__(self, keepalive_interval: float = 1.0) -> None:
        """`keepalive_interval`: seconds between the empty lines that keep an idle watch alive."""
        self.keepalive_interval = keepalive_interval
        self.revision = 1
        self.members: dict[
            str, tuple[int, dict[str, Any]]
        ] = {}  # by id: revision of the last change, and entry
        self.changed = threading.Condition()
        self.ended = False
        self.acceptor = Acceptor(self._serve)
        self.address = self.acceptor.address

    def __enter__(self) -> Discovery:
        return self

    def __exit__(self, *_: object) -> None:
        self.ended = True
        with self.changed:
            self.changed.notify_all()
        self.acceptor.close()

    def publish(
        self,
        name: str,
        address: tuple[str, int],
        phase: str = "SERVING",
        zone: str = "room-a",
        kind: str = "small-2c",
        up_since: float = 0.0,
    ) -> None:
        """Publishes a change of one member; `up_since` is Unix time, 0 if it has been up for long."""
        entry = {
            "id": name,
            "host_port": f"{address[0]}:{address[1]}",
            "locality": zone,
            "flavor": kind,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": round(up_since * 1000),
        }
        with self.changed:
            self.revision += 1
            self.members[name] = (self.revision, entry)
            self.changed.notify_all()

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            sock.settimeout(20.0)
            head = b""
            while b"\r\n\r\n" not in head:
                more = sock.recv(4096)
                if not more:
                    return
                head += more
            asked = parse_qs(urlsplit(head.split()[1].decode()).query)
            if "follow" not in asked:
                body = json.dumps(self._since(0, whole=True)).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                return
            self._follow(sock, int(asked["since"][0]) if "since" in asked else None)

    def _follow(self, sock: socket.socket, since: int | None) -> None:
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        with self.changed:
            first = self._since(since or 0, whole=since is None)
            seen = self.revision
        self._line(sock, json.dumps(first).encode())
        while not self.ended:
            with self.changed:
                if self.revision == seen:
                    self.changed.wait(self.keepalive_interval)
                line = json.dumps(self._since(seen)).encode() if self.revision != seen else b""
                seen = self.revision
            self._line(sock, line)

    def _line(self, sock: socket.socket, line: bytes) -> None:
        sock.sendall(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    def _since(self, revision: int, whole: bool = False) -> dict[str, Any]:
        """The changes after a revision, or the whole list without deleted members."""
        members = [entry for at, entry in self.members.values() if at > revision or whole]
        if whole:
            members = [entry for entry in members if entry["phase"] != "DELETED"]
        return {"revision": self.revision, "complete": whole, "members": members}
