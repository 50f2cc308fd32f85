"""The lines that belong to one request, in order of time."""

from guavacleat.explain.lines import LogLine

__all__ = ["Story", "tell"]

# Lines of the endpoints that a request was on count from this long before it arrived: an engine
# that is taken away gives notice a second or two ahead.
BEFORE_SECONDS = 3.0
AFTER_SECONDS = 1.0
ABOUT_ENDPOINTS = ("endpoint:changed", "move:began")
ABOUT_THE_GATEWAY = ("config:accepted", "store:lost", "store:back", "process:stopping")


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


def tell(request: str, lines: list[LogLine]) -> Story | None:
    """Collect the story of ``request``; None if no line has its id."""
    own = sorted((line for line in lines if line.get("request") == request), key=_time)
    if not own:
        return None
    instance = own[-1].instance
    began, ended = _span(own)
    names = {line.get(field) for line in own for field in ("endpoint", "source", "target")}
    around = [
        line
        for line in lines
        if line.instance == instance
        and began - BEFORE_SECONDS <= line.at <= ended + AFTER_SECONDS
        and _concerns(line, names)
    ]
    return Story(request, own, sorted(around, key=_time))


def _time(line: LogLine) -> float:
    return line.at


def _span(own: list[LogLine]) -> tuple[float, float]:
    """From the request's arrival to its last line."""
    ended = own[-1].at
    arrivals = (line.at - line.get("seconds") for line in own if line.type == "request:end")
    return min([own[0].at, *arrivals]), ended


def _concerns(line: LogLine, endpoints: set) -> bool:
    if line.type in ABOUT_ENDPOINTS:
        return line.get("endpoint") in endpoints
    return line.type in ABOUT_THE_GATEWAY
