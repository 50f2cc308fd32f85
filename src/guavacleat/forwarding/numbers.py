"""Parses numbers in headers, which callers may set to any value."""

import math

__all__ = ["MAX_TOKENS", "parse_number", "parse_token_count"]

# Upper bound for token counts, so that their sums fit the integers in peer reports.
MAX_TOKENS = 10**9


def parse_number(value: bytes | None) -> float | None:
    """Parse a header's number; None if it is absent, invalid or not finite."""
    try:
        number = None if value is None else float(value)
    except ValueError:
        return None
    return number if number is not None and math.isfinite(number) else None


def parse_token_count(value: bytes | None) -> int:
    """Parse a token count, clamped to 0..``MAX_TOKENS``; 0 if it is absent or invalid."""
    return int(min(max(0.0, parse_number(value) or 0.0), MAX_TOKENS))
