"""Certificates generated at run time: authorities, valid certificates, and ones that are invalid in one way.

python -m lab.authority FOLDER NAME...     # roots.pem, and NAME.pem and NAME.key for each name
"""

from __future__ import annotations

import os
import ssl
from datetime import UTC, datetime, timedelta
from pathlib import Path

import click
import trustme
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID


class Authority:
    """A certificate authority."""

    def __init__(self) -> None:
        self.ca = trustme.CA()

    @property
    def pem(self) -> bytes:
        """The root certificate."""
        return self.ca.cert_pem.bytes()

    def issue(
        self, *names: str, valid_from: float = -3600.0, valid_until: float = 30 * 86400.0
    ) -> trustme.LeafCert:
        """A certificate for DNS names; the validity bounds are seconds from now."""
        now = datetime.now(UTC)
        return self.ca.issue_cert(
            *names,
            not_before=now + timedelta(seconds=valid_from),
            not_after=now + timedelta(seconds=valid_until),
        )

    def issue_nonstandard(self, name: str | None, common_name: str = "") -> trustme.LeafCert:
        """A certificate that no careful authority signs: a malformed wildcard, or a common name alone."""
        good = self.issue("a.example.org")
        like = x509.load_pem_x509_certificate(good.cert_chain_pems[0].bytes())
        key = serialization.load_pem_private_key(self.ca.private_key_pem.bytes(), None)
        assert isinstance(key, ec.EllipticCurvePrivateKey)
        subject = (
            x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)]) if common_name else like.subject
        )
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(like.issuer)
            .public_key(like.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(like.not_valid_before_utc)
            .not_valid_after(like.not_valid_after_utc)
        )
        for extension in like.extensions:
            if not isinstance(extension.value, x509.SubjectAlternativeName):
                builder = builder.add_extension(extension.value, extension.critical)
        if name is not None:
            builder = builder.add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), False)
        made = builder.sign(key, hashes.SHA256())
        return trustme.LeafCert(
            good.private_key_pem.bytes(), made.public_bytes(serialization.Encoding.PEM), []
        )

    def write(self, folder: Path, cert: trustme.LeafCert, name: str = "ingress") -> tuple[Path, Path]:
        """Writes the certificate chain and the key as files; only the owner can read the key."""
        chain, key = folder / f"{name}.pem", folder / f"{name}.key"
        chain.write_bytes(b"".join(blob.bytes() for blob in cert.cert_chain_pems))
        _write_key(key, cert.private_key_pem.bytes())
        return chain, key

    def write_roots(self, folder: Path, *others: Authority, name: str = "roots.pem") -> Path:
        """Writes this root, and those of other authorities, as a file of trusted roots."""
        path = folder / name
        path.write_bytes(b"".join(one.pem for one in (self, *others)))
        return path


def _write_key(path: Path, data: bytes) -> None:
    path.unlink(missing_ok=True)
    with os.fdopen(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "wb") as file:
        file.write(data)


def server_context(
    cert: trustme.LeafCert,
    clients: Authority | None = None,
    newest: ssl.TLSVersion = ssl.TLSVersion.TLSv1_3,
    tickets: int = 2,
    alpn: tuple[str, ...] = (),
) -> ssl.SSLContext:
    """A server's TLS context; a new one can't resume sessions of an earlier one."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version, context.maximum_version = ssl.TLSVersion.TLSv1_2, newest
    cert.configure_cert(context)
    context.num_tickets = tickets
    if clients is not None:
        context.verify_mode = ssl.CERT_REQUIRED
        clients.ca.configure_trust(context)
    if alpn:
        context.set_alpn_protocols(list(alpn))
    return context


@click.command()
@click.argument("folder", type=click.Path(file_okay=False, path_type=Path))
@click.argument("names", nargs=-1, required=True)
def main(folder: Path, names: tuple[str, ...]) -> None:
    """Write a new authority's root, and a certificate with its key for each name, into FOLDER."""
    folder.mkdir(parents=True, exist_ok=True)
    authority = Authority()
    authority.write_roots(folder)
    for name in names:
        chain, key = authority.write(folder, authority.issue(name), name)
        _write_key(folder / f"{name}.both.pem", key.read_bytes() + chain.read_bytes())
        click.echo(f"{chain}, {key}, and both in {folder / name}.both.pem")


if __name__ == "__main__":
    main()
