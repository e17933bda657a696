"""TLS material: loads roots, certificate and key from files, checks them together and builds the SSL context.

A set is used as a whole or not at all: the key must match the certificate and be readable only by its owner,
the chain must have no gap, and nothing may be expired. Errors name the file and the reason.
"""

from __future__ import annotations

import os
import ssl
import stat
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

from cryptography import x509
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat, load_pem_private_key

from standflow.config.model import TlsOptions

MAX_FILE = 8 * 1024 * 1024  # bytes; a bundle of all public roots has about 0.25 MB
Stamp = tuple[tuple[str, int, int, int], ...]


class MaterialError(ValueError):
    """A set of files can't be used; the message has the form FILE: reason."""


@dataclass(slots=True, frozen=True)
class Material:
    """A loaded set. `expires_at` is the earliest expiry in the client chain, if there is one."""

    context: ssl.SSLContext
    generation: int
    stamp: Stamp
    expires_at: datetime | None
    warnings: tuple[str, ...]
    has_client_certificate: bool  # a client certificate is configured


def files(options: TlsOptions) -> tuple[str, ...]:
    """Returns the paths of a set's files."""
    return tuple(path for path in (options.roots, options.certificate, options.key) if path is not None)


def stamp(options: TlsOptions) -> Stamp:
    """Identifies the files' state by inode, size and modification time; zeros for a missing file."""
    stamps = []
    for path in files(options):
        try:
            found = os.stat(path)
        except OSError:
            stamps.append((path, 0, 0, 0))
        else:
            stamps.append((path, found.st_ino, found.st_size, found.st_mtime_ns))
    return tuple(stamps)


def load(options: TlsOptions, generation: int, now: datetime | None = None) -> Material:
    """Loads and checks a set; raises MaterialError. `now` is in UTC and defaults to the current time."""
    now = datetime.now(UTC) if now is None else now
    before = stamp(options)
    warnings: list[str] = []
    roots = _certificates(options.roots)
    current = [root for root in roots if root.not_valid_before_utc <= now < root.not_valid_after_utc]
    if not current:
        raise MaterialError(f"{options.roots}: none of its {len(roots)} roots is valid now")
    if len(current) < len(roots):
        warnings.append(
            f"{options.roots}: {len(roots) - len(current)} of {len(roots)} roots are not valid now"
        )
    context = _context(options)
    pem = "".join(root.public_bytes(Encoding.PEM).decode("ascii") for root in current)
    context.load_verify_locations(cadata=pem)
    expires_at = None
    if options.certificate is not None and options.key is not None:
        chain = _certificates(options.certificate)
        _check_chain(options.certificate, chain, current, now)
        _check_key(options, chain[0])
        try:
            context.load_cert_chain(options.certificate, options.key, password=_no_password)
        except (ssl.SSLError, OSError) as error:
            raise MaterialError(f"{options.certificate}: {error}") from None
        expires_at = min(one.not_valid_after_utc for one in chain)
        if (expires_at - now).total_seconds() < options.warn_before:
            warnings.append(expiry_warning(options.certificate, expires_at, now))
    last = min(current, key=lambda root: root.not_valid_after_utc).not_valid_after_utc
    if (last - now).total_seconds() < options.warn_before:
        warnings.append(expiry_warning(options.roots, last, now))
    if stamp(options) != before:
        raise MaterialError(f"{options.roots}: the files changed while they were read")
    has_client_certificate = options.certificate is not None
    return Material(context, generation, before, expires_at, tuple(warnings), has_client_certificate)


def expiry_warning(path: str, expires_at: datetime, now: datetime) -> str:
    """Returns the warning that a certificate expires soon."""
    days = (expires_at - now).total_seconds() / 86400
    return f"{path}: a certificate ends in {days:.1f} days, at {expires_at:%Y-%m-%dT%H:%M:%SZ}"


def _context(options: TlsOptions) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)  # verifies chain and name; no partial wildcards
    context.hostname_checks_common_name = False  # RFC 9525: the subject's CN must be ignored
    context.verify_flags |= ssl.VERIFY_X509_STRICT
    context.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_COMPRESSION
    context.minimum_version = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}[
        options.min_version
    ]
    if options.alpn:
        context.set_alpn_protocols(list(options.alpn))
    return context


def _read(path: str) -> bytes:
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE + 1)
    except OSError as error:
        raise MaterialError(f"{path}: {error.strerror}") from None
    if len(data) > MAX_FILE:
        raise MaterialError(f"{path}: is over {MAX_FILE} bytes")
    return data


def _certificates(path: str) -> list[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(_read(path))
    except MaterialError:
        raise
    except ValueError:
        raise MaterialError(f"{path}: no PEM file of certificates") from None


def _check_chain(
    path: str, chain: list[x509.Certificate], roots: list[x509.Certificate], now: datetime
) -> None:
    for position, one in enumerate(chain, 1):
        label = f"certificate {position} ({one.subject.rfc4514_string() or 'no subject'})"
        if now < one.not_valid_before_utc:
            raise MaterialError(
                f"{path}: {label} is not valid before {one.not_valid_before_utc:%Y-%m-%dT%H:%M:%SZ}"
            )
        if now >= one.not_valid_after_utc:
            raise MaterialError(f"{path}: {label} expired at {one.not_valid_after_utc:%Y-%m-%dT%H:%M:%SZ}")
        if position < len(chain) and not _issued(one, chain[position]):
            raise MaterialError(f"{path}: {label} is not issued by the one behind it")
    last = chain[-1]
    if last.issuer == last.subject or any(_issued(last, root) for root in roots):
        return
    if len(chain) == 1:  # with intermediates, the peer may know a root that is not among ours
        issuer = last.issuer.rfc4514_string()
        raise MaterialError(f"{path}: the chain is not complete: the certificate of {issuer} is missing")


def _issued(one: x509.Certificate, by: x509.Certificate) -> bool:
    try:
        one.verify_directly_issued_by(by)
    except (ValueError, TypeError, InvalidSignature):
        return False
    return True


def _check_key(options: TlsOptions, leaf: x509.Certificate) -> None:
    path = options.key or ""
    data = _read(path)
    mode = stat.S_IMODE(os.stat(path).st_mode)
    if mode & ~options.key_mode:
        raise MaterialError(f"{path}: its mode {mode:04o} allows more than {options.key_mode:04o}")
    try:
        key = load_pem_private_key(data, password=None)
    except TypeError:
        raise MaterialError(f"{path}: the key is encrypted, which is not supported") from None
    except ValueError:
        raise MaterialError(f"{path}: no PEM file of a private key") from None
    form = (Encoding.DER, PublicFormat.SubjectPublicKeyInfo)
    if key.public_key().public_bytes(*form) != leaf.public_key().public_bytes(*form):
        raise MaterialError(f"{path}: the key does not fit the certificate in {options.certificate}")


def _no_password() -> str:
    raise MaterialError("the key is encrypted, which is not supported")
