"""Fingerprints, which identify a request that is sent again with another id, and its parts."""

import hashlib
from collections.abc import Iterable

__all__ = ["fingerprint", "format_fingerprint", "parse_fingerprint", "part_fingerprints"]

FINGERPRINT_BYTES = 8
# Number of parts of one prompt that are watched.
MAX_PARTS = 128


def fingerprint(*parts: bytes) -> int:
    """A signed 64-bit hash of the parts of a request that do not change when it is sent again."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return int.from_bytes(digest.digest(), "big", signed=True)


def part_fingerprints(parts: Iterable[bytes]) -> tuple[int, ...]:
    """The fingerprints of a prompt's parts, each once.

    Of too many, those with the lowest fingerprints: these are the same ones in each prompt.
    """
    fingerprints = {fingerprint(b"part", part) for part in parts}
    return tuple(sorted(fingerprints)[:MAX_PARTS])


def format_fingerprint(value: int) -> str:
    """Format a fingerprint as in logs: 16 hexadecimal digits."""
    return value.to_bytes(FINGERPRINT_BYTES, "big", signed=True).hex()


def parse_fingerprint(text: str) -> int:
    """Parse the result of :func:`format_fingerprint`; raise ValueError if ``text`` is invalid."""
    data = bytes.fromhex(text)
    if len(data) != FINGERPRINT_BYTES:
        raise ValueError(f"{text!r} is not a fingerprint of {FINGERPRINT_BYTES} bytes")
    return int.from_bytes(data, "big", signed=True)
