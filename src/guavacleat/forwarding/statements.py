"""What an endpoint says of itself in an answer, beside the answer to the request."""

import math
from collections.abc import Iterable

__all__ = ["EndpointStatements", "parse_statements"]


class EndpointStatements:
    """What an endpoint says of itself in one answer.

    :param rate_limit: requests per second that it takes from all gateways together; None if it
        names no limit.
    :param unreadable: the headers whose values are invalid; they state nothing.
    """

    __slots__ = ("rate_limit", "unreadable")

    def __init__(self, rate_limit: float | None = None, unreadable: tuple[bytes, ...] = ()):
        self.rate_limit = rate_limit
        self.unreadable = unreadable


def parse_statements(
    headers: Iterable[tuple[bytes, bytes]], *, rate_limit: bytes
) -> EndpointStatements:
    """Decode the headers with the given names, in lower case; a repeated one means the strictest.

    Endpoints are trusted no more than callers are: values that are not finite and non-negative are
    listed as unreadable.
    """
    values = [value for name, value in headers if name == rate_limit]
    if not values:
        return EndpointStatements()
    try:
        return EndpointStatements(min(map(_non_negative, values)))
    except ValueError:
        return EndpointStatements(unreadable=(rate_limit,))


def _non_negative(value: bytes) -> float:
    number = float(value)
    if not 0 <= number < math.inf:
        raise ValueError(f"{value!r} is not a finite, non-negative number")
    return number
