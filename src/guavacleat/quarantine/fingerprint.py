"""Fingerprints, which identify a request that is sent again with another id."""

import hashlib

__all__ = ["fingerprint", "format_fingerprint", "parse_fingerprint"]

FINGERPRINT_BYTES = 8


def fingerprint(*parts: bytes) -> int:
    """A signed 64-bit hash of the parts of a request that do not change when it is sent again."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return int.from_bytes(digest.digest(), "big", signed=True)


def format_fingerprint(value: int) -> str:
    """Format a fingerprint as in logs: 16 hexadecimal digits."""
    return value.to_bytes(FINGERPRINT_BYTES, "big", signed=True).hex()


def parse_fingerprint(text: str) -> int:
    """Parse the result of :func:`format_fingerprint`; raise ValueError if ``text`` is invalid."""
    data = bytes.fromhex(text)
    if len(data) != FINGERPRINT_BYTES:
        raise ValueError(f"{text!r} is not a fingerprint of {FINGERPRINT_BYTES} bytes")
    return int.from_bytes(data, "big", signed=True)
