"""Numbers in headers. Callers may send anything, and nothing of it may spoil what others get."""

import math

__all__ = ["MAX_TOKENS", "parse_number", "parse_token_count"]

# No engine holds a millionth of this; sums of it still fit a report between gateways.
MAX_TOKENS = 10**9


def parse_number(value: bytes | None) -> float | None:
    """A header's number; None if it is absent or not a finite one."""
    try:
        number = None if value is None else float(value)
    except ValueError:
        return None
    return number if number is not None and math.isfinite(number) else None


def parse_token_count(value: bytes | None) -> int:
    """A count of tokens from 0 to ``MAX_TOKENS``; 0 if the header says none."""
    return int(min(max(0.0, parse_number(value) or 0.0), MAX_TOKENS))
