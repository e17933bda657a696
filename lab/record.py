"""A hand-written server-side TLS 1.3 record writer, for records that Python's ssl module can't send.

RFC 8446: records 5.2, nonces 5.3, key updates 4.6.3 and 7.2. The traffic secret comes from a key log.
"""

from __future__ import annotations

import struct
from pathlib import Path

from cryptography.hazmat.primitives.ciphers.aead import AESGCM
from cryptography.hazmat.primitives.hashes import SHA384
from cryptography.hazmat.primitives.kdf.hkdf import HKDFExpand

ALERT, HANDSHAKE, DATA = 21, 22, 23
KEY_UPDATE = 24
SIZE = 48  # bytes of a traffic secret with SHA-384


def expand_label(secret: bytes, label: bytes, length: int) -> bytes:
    """HKDF-Expand-Label with an empty context (RFC 8446, 7.1)."""
    name = b"tls13 " + label
    info = struct.pack(">HB", length, len(name)) + name + b"\0"
    return HKDFExpand(SHA384(), length, info).derive(secret)


class RecordWriter:
    """Encrypts records of TLS_AES_256_GCM_SHA384, starting with the first after the handshake."""

    def __init__(self, secret: bytes) -> None:
        """`secret`: SERVER_TRAFFIC_SECRET_0, 48 bytes; no record may have been sent with it yet."""
        self._use(secret)

    @classmethod
    def of(cls, key_log: Path) -> RecordWriter:
        """A writer for the last handshake in a key log."""
        found = [
            line.split() for line in key_log.read_text().splitlines() if "SERVER_TRAFFIC_SECRET_0" in line
        ]
        return cls(bytes.fromhex(found[-1][2]))

    def _use(self, secret: bytes) -> None:
        self.secret, self.serial = secret, 0
        self.key, self.iv = AESGCM(expand_label(secret, b"key", 32)), expand_label(secret, b"iv", 12)

    def record(self, kind: int, data: bytes) -> bytes:
        """Encrypts one record; `kind` is its content type."""
        inner = data + bytes([kind])
        head = struct.pack(">BHH", DATA, 0x0303, len(inner) + 16)
        nonce = (int.from_bytes(self.iv) ^ self.serial).to_bytes(12)
        self.serial += 1
        return head + self.key.encrypt(nonce, inner, head)

    def update(self, requested: bool) -> bytes:
        """A KeyUpdate record; later records use the next key. `requested`: asks the peer to update too."""
        sent = self.record(HANDSHAKE, struct.pack(">BBHB", KEY_UPDATE, 0, 1, requested))
        self._use(expand_label(self.secret, b"traffic upd", SIZE))
        return sent
