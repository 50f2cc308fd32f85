"""The log lines that concern one request, in order of time."""

import bisect
import operator
from collections import defaultdict

from guavacleat.explain.lines import LogLine

__all__ = ["LogIndex", "RequestTimeline", "build_timeline"]

# Context starts before the request arrives: an engine announces its termination a second or two
# ahead.
CONTEXT_BEFORE_SECONDS = 3.0
CONTEXT_AFTER_SECONDS = 1.0
ENDPOINT_EVENTS = (
    "endpoint:changed",
    "endpoint:cold",
    "endpoint:crashed",
    "endpoint:limit",
    "endpoint:pause",
    "endpoint:says-leaving",
    "move:began",
)
QUARANTINE_EVENTS = ("quarantine:began", "quarantine:cleared", "quarantine:trial")
GATEWAY_EVENTS = (
    "config:accepted",
    "evacuation:began",
    "evacuation:ended",
    "process:stopping",
    "store:back",
    "store:lost",
    "watch:failed",
)


class RequestTimeline:
    """One request's log lines, with those of its gateway and endpoints at the time.

    :param own_lines: lines that carry the request's id.
    :param context: lines about its configuration, store, endpoints and quarantine.
    """

    __slots__ = ("request", "own_lines", "context")

    def __init__(self, request: str, own_lines: list[LogLine], context: list[LogLine]):
        self.request = request
        self.own_lines = own_lines
        self.context = context

    def sorted_lines(self) -> list[LogLine]:
        return sorted(self.own_lines + self.context, key=lambda line: line.at)

    def last(self, type: str) -> LogLine | None:
        """The request's last line of a type; None if it has none."""
        return next((line for line in reversed(self.own_lines) if line.type == type), None)

    def all_of(self, type: str) -> list[LogLine]:
        return [line for line in self.own_lines if line.type == type]

    def fields_of(self, type: str) -> dict:
        """The fields of the request's last line of a type; empty if it has none."""
        line = self.last(type)
        return {} if line is None else line.fields

    @property
    def end(self) -> LogLine | None:
        """The line with the request's outcome; None if its gateway logged none."""
        return self.last("request:end")

    def leave_notice(self, endpoint: str) -> LogLine | None:
        """The line in which the gateway learns that an endpoint is leaving, or None."""
        return next(
            (
                line
                for line in self.context
                if line.type == "endpoint:changed"
                and line.get("endpoint") == endpoint
                and line.get("state") in ("draining", "gone")
            ),
            None,
        )


_time = operator.attrgetter("at")


class LogIndex:
    """Log lines of many processes in order of time, indexed by request id and by instance.

    :ivar by_request: the lines that carry a request id.
    :ivar by_instance: an instance's context lines, about itself, its endpoints and quarantines.
    """

    __slots__ = ("lines", "by_request", "by_instance")

    def __init__(self, lines: list[LogLine]):
        self.lines = sorted(lines, key=_time)
        self.by_request: dict[str, list[LogLine]] = defaultdict(list)
        self.by_instance: dict[str, list[LogLine]] = defaultdict(list)
        for line in self.lines:
            request = line.get("request")
            if request is not None:
                self.by_request[request].append(line)
            if line.type in (*ENDPOINT_EVENTS, *GATEWAY_EVENTS, *QUARANTINE_EVENTS):
                self.by_instance[line.instance].append(line)

    def context(self, instance: str, first: float, last: float) -> list[LogLine]:
        """Context lines that an instance logged between two times."""
        lines = self.by_instance.get(instance, [])
        begin = bisect.bisect_left(lines, first, key=_time)
        return lines[begin : bisect.bisect_right(lines, last, key=_time)]


def build_timeline(request: str, index: LogIndex) -> RequestTimeline | None:
    """Collect the log lines of ``request``; None if no line has its id."""
    own_lines = index.by_request.get(request)
    if not own_lines:
        return None
    started_at, ended_at = _span(own_lines)
    endpoints = {
        line.get(field) for line in own_lines for field in ("endpoint", "source", "target")
    }
    fingerprints = {line.get("fingerprint") for line in own_lines} - {None}
    context_lines = index.context(
        own_lines[-1].instance,
        started_at - CONTEXT_BEFORE_SECONDS,
        ended_at + CONTEXT_AFTER_SECONDS,
    )
    return RequestTimeline(
        request,
        own_lines,
        [line for line in context_lines if _is_relevant(line, endpoints, fingerprints)],
    )


def _span(own_lines: list[LogLine]) -> tuple[float, float]:
    """Times of the request's arrival and of its last line."""
    ended_at = own_lines[-1].at
    arrivals = (line.at - line.get("seconds") for line in own_lines if line.type == "request:end")
    return min([own_lines[0].at, *arrivals]), ended_at


def _is_relevant(line: LogLine, endpoints: set, fingerprints: set) -> bool:
    if line.type in ENDPOINT_EVENTS:
        return line.get("endpoint") in endpoints
    if line.type in QUARANTINE_EVENTS:
        return line.get("fingerprint") in fingerprints
    return line.type in GATEWAY_EVENTS
