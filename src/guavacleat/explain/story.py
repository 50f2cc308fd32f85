"""The lines that belong to one request, in order of time."""

import bisect
import operator
from collections import defaultdict

from guavacleat.explain.lines import LogLine

__all__ = ["LogIndex", "Story", "tell"]

# Lines of the endpoints that a request was on count from this long before it arrived: an engine
# that is taken away gives notice a second or two ahead.
BEFORE_SECONDS = 3.0
AFTER_SECONDS = 1.0
ABOUT_ENDPOINTS = ("endpoint:changed", "endpoint:crashed", "move:began")
ABOUT_REQUESTS_ALIKE = ("quarantine:began", "quarantine:cleared", "quarantine:trial")
ABOUT_THE_GATEWAY = (
    "config:accepted",
    "process:stopping",
    "store:back",
    "store:lost",
    "watch:failed",
)


class Story:
    """One request's own lines, and those of its gateway and its endpoints around it.

    :param own: lines that carry the request's id.
    :param around: lines of what it depended on: configuration, store, endpoints.
    """

    __slots__ = ("request", "own", "around")

    def __init__(self, request: str, own: list[LogLine], around: list[LogLine]):
        self.request = request
        self.own = own
        self.around = around

    def in_order(self) -> list[LogLine]:
        """All its lines in order of time."""
        return sorted(self.own + self.around, key=lambda line: line.at)

    def last(self, type: str) -> LogLine | None:
        """The request's last line of a type."""
        return next((line for line in reversed(self.own) if line.type == type), None)

    def every(self, type: str) -> list[LogLine]:
        return [line for line in self.own if line.type == type]

    @property
    def end(self) -> LogLine | None:
        """How it ended, as its gateway told; None if the gateway did not get to it."""
        return self.last("request:end")

    def notice(self, endpoint: str) -> LogLine | None:
        """When its gateway heard that an endpoint was leaving; None if it did not."""
        return next(
            (
                line
                for line in self.around
                if line.type == "endpoint:changed"
                and line.get("endpoint") == endpoint
                and line.get("state") in ("draining", "gone")
            ),
            None,
        )


_time = operator.attrgetter("at")


class LogIndex:
    """Lines of many processes in order of time, by the request and by the instance they tell of.

    :param by_request: the lines that carry a request's id.
    :param by_instance: the lines of an instance that a request's story may need.
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
            if line.type in (*ABOUT_ENDPOINTS, *ABOUT_THE_GATEWAY, *ABOUT_REQUESTS_ALIKE):
                self.by_instance[line.instance].append(line)

    def around(self, instance: str, first: float, last: float) -> list[LogLine]:
        """Lines of the instance about itself and its endpoints between two times."""
        lines = self.by_instance.get(instance, [])
        begin = bisect.bisect_left(lines, first, key=_time)
        return lines[begin : bisect.bisect_right(lines, last, key=_time)]


def tell(request: str, index: LogIndex) -> Story | None:
    """Collect the story of ``request``; None if no line has its id."""
    own = index.by_request.get(request)
    if not own:
        return None
    began, ended = _span(own)
    names = {line.get(field) for line in own for field in ("endpoint", "source", "target")}
    alike = {line.get("fingerprint") for line in own} - {None}
    near = index.around(own[-1].instance, began - BEFORE_SECONDS, ended + AFTER_SECONDS)
    return Story(request, own, [line for line in near if _concerns(line, names, alike)])


def _span(own: list[LogLine]) -> tuple[float, float]:
    """From the request's arrival to its last line."""
    ended = own[-1].at
    arrivals = (line.at - line.get("seconds") for line in own if line.type == "request:end")
    return min([own[0].at, *arrivals]), ended


def _concerns(line: LogLine, endpoints: set, alike: set) -> bool:
    if line.type in ABOUT_ENDPOINTS:
        return line.get("endpoint") in endpoints
    if line.type in ABOUT_REQUESTS_ALIKE:
        return line.get("fingerprint") in alike
    return line.type in ABOUT_THE_GATEWAY
