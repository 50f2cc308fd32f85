"""What an endpoint says of itself in an answer, beside the answer to the request."""

import functools
import math
from collections.abc import Callable
from email.utils import parsedate_to_datetime

__all__ = ["EndpointStatements", "StatementHeaders", "parse_statements"]

UNAVAILABLE = 503
RETRY_AFTER = b"retry-after"
DATE = b"date"
# A longer pause is probably a mistake, and the endpoint would be lost for good.
MAX_PAUSE_SECONDS = 600.0


class StatementHeaders:
    """The names of the headers that differ between wire formats, in lower case.

    :param rate_limit: header with requests per second.
    :param leaving: header that is ``1`` while the endpoint is leaving.
    """

    __slots__ = ("rate_limit", "leaving")

    def __init__(self, rate_limit: bytes, leaving: bytes):
        self.rate_limit = rate_limit
        self.leaving = leaving


class EndpointStatements:
    """What an endpoint says of itself in one answer.

    :param rate_limit: requests per second that it takes from all gateways together; None if it
        names no limit.
    :param leaving: whether it will shut down soon.
    :param pause: seconds for which it wants no requests from this gateway; None if it takes them.
    :param unreadable: names of the attributes whose headers are invalid; these state nothing.
    """

    __slots__ = ("rate_limit", "leaving", "pause", "unreadable")

    def __init__(
        self,
        rate_limit: float | None = None,
        leaving: bool = False,
        pause: float | None = None,
        unreadable: tuple[str, ...] = (),
    ):
        self.rate_limit = rate_limit
        self.leaving = leaving
        self.pause = pause
        self.unreadable = unreadable


def parse_statements(
    status: int, headers: list[tuple[bytes, bytes]], names: StatementHeaders
) -> EndpointStatements:
    """Decode the statements in an answer's head; of a repeated header the strictest value counts.

    Endpoints are trusted no more than callers are: invalid values are listed as unreadable.
    """
    reader = _HeaderReader(headers)
    rate_limit = reader.read("rate_limit", names.rate_limit, _non_negative, min)
    leaving = reader.read("leaving", names.leaving, _flag, any)
    pause = None
    if status == UNAVAILABLE:
        delay = functools.partial(_delay, date=dict(headers).get(DATE))
        pause = reader.read("pause", RETRY_AFTER, delay, max)
    return EndpointStatements(rate_limit, bool(leaving), pause, tuple(reader.unreadable))


class _HeaderReader:
    """Reads headers that may be missing, repeated or invalid.

    :ivar unreadable: the attributes whose headers are invalid.
    """

    def __init__(self, headers: list[tuple[bytes, bytes]]):
        self.headers = headers
        self.unreadable: list[str] = []

    def read(self, attribute: str, name: bytes, parse: Callable, strictest: Callable):
        """The strictest value of the header ``name``; None if it is missing or invalid."""
        values = [value for header, value in self.headers if header == name]
        try:
            return strictest(map(parse, values)) if values else None
        except (ValueError, TypeError, OverflowError):
            self.unreadable.append(attribute)
            return None


def _non_negative(value: bytes) -> float:
    number = float(value)
    if not 0 <= number < math.inf:
        raise ValueError(f"{value!r} is not a finite, non-negative number")
    return number


def _flag(value: bytes) -> bool:
    if value.strip() not in (b"0", b"1"):
        raise ValueError(f"{value!r} is neither 0 nor 1")
    return value.strip() == b"1"


def _delay(value: bytes, date: bytes | None) -> float:
    """Seconds of a Retry-After header, which may be a date; this is compared to the answer's own.

    The clock of the endpoint may differ from that of the gateway.
    """
    try:
        seconds = _non_negative(value)
    except ValueError:
        if date is None:
            raise
        until = parsedate_to_datetime(value.decode("latin-1"))
        seconds = (until - parsedate_to_datetime(date.decode("latin-1"))).total_seconds()
    return min(max(0.0, seconds), MAX_PAUSE_SECONDS)
