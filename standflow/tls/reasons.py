"""Reason codes of TLS errors. No I/O."""

from __future__ import annotations

import ssl

# X509_V_ERR_* of OpenSSL's x509_vfy.h.
VERIFY_REASONS = {
    2: "unknown_issuer",
    18: "unknown_issuer",  # self-signed
    19: "unknown_issuer",  # the chain ends in a root that is not trusted
    20: "unknown_issuer",
    21: "unknown_issuer",
    62: "wrong_name",
    64: "wrong_name",
    9: "not_yet_valid",
    10: "expired",
}
# AlertDescription of RFC 8446, section 6, by the names that OpenSSL gives them.
ALERTS = {
    "CLOSE_NOTIFY": 0,
    "UNEXPECTED_MESSAGE": 10,
    "BAD_RECORD_MAC": 20,
    "DECRYPTION_FAILED": 21,
    "RECORD_OVERFLOW": 22,
    "DECOMPRESSION_FAILURE": 30,
    "HANDSHAKE_FAILURE": 40,
    "NO_CERTIFICATE": 41,
    "BAD_CERTIFICATE": 42,
    "UNSUPPORTED_CERTIFICATE": 43,
    "CERTIFICATE_REVOKED": 44,
    "CERTIFICATE_EXPIRED": 45,
    "CERTIFICATE_UNKNOWN": 46,
    "ILLEGAL_PARAMETER": 47,
    "UNKNOWN_CA": 48,
    "ACCESS_DENIED": 49,
    "DECODE_ERROR": 50,
    "DECRYPT_ERROR": 51,
    "PROTOCOL_VERSION": 70,
    "INSUFFICIENT_SECURITY": 71,
    "INTERNAL_ERROR": 80,
    "INAPPROPRIATE_FALLBACK": 86,
    "USER_CANCELLED": 90,
    "NO_RENEGOTIATION": 100,
    "MISSING_EXTENSION": 109,
    "UNSUPPORTED_EXTENSION": 110,
    "CERTIFICATE_UNOBTAINABLE": 111,
    "UNRECOGNIZED_NAME": 112,
    "BAD_CERTIFICATE_STATUS_RESPONSE": 113,
    "BAD_CERTIFICATE_HASH_VALUE": 114,
    "UNKNOWN_PSK_IDENTITY": 115,
    "CERTIFICATE_REQUIRED": 116,
    "NO_APPLICATION_PROTOCOL": 120,
}
PREFIXES = ("TLSV13_ALERT_", "TLSV1_ALERT_", "SSLV3_ALERT_", "TLSV1_")


def reason_of(error: ssl.SSLError) -> str:
    """Maps an OpenSSL error, during a handshake or later, to its reason code."""
    if isinstance(error, ssl.SSLCertVerificationError):
        return VERIFY_REASONS.get(error.verify_code, f"bad_certificate:{error.verify_code}")
    name = error.reason or ""
    for prefix in PREFIXES:
        number = ALERTS.get(name.removeprefix(prefix)) if name.startswith(prefix) else None
        if number is not None:
            return f"alert:{number}"
    if name in ("WRONG_VERSION_NUMBER", "HTTP_REQUEST"):
        return "not_tls"
    return f"bad_tls:{name.lower() or 'unknown'}"
