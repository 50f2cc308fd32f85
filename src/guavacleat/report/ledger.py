"""Requests' outcomes with their causes, aggregated per route and per time span.

Logs do not contain the worth of a response. :class:`Worth` gives it per route; by default a
response on time counts 1 and a late one 0.
"""

import collections
import enum
import math

from guavacleat.explain import CauseKind, LogIndex, RequestTimeline, build_timeline, classify

__all__ = ["Ledger", "Outcome", "Result", "Worth", "make_ledger"]

UNKNOWN_ROUTE = "(unknown)"
LATE_KINDS = {
    CauseKind.LATE_QUEUED,
    CauseKind.LATE_FIRST_EVENT,
    CauseKind.LATE_MIGRATION,
    CauseKind.LATE_PAUSE,
    CauseKind.LATE_ANSWER,
}
# Excluded from the total: the configuration forbids the request, or its caller disconnected.
EXCLUDED_CAUSES = {CauseKind.NOT_ALLOWED, CauseKind.CALLER_DISCONNECTED}


class Result(enum.Enum):
    """How the request counts; the report prints the values."""

    ON_TIME = "on time"
    LATE = "late"
    LOST = "lost"
    EXCLUDED = "not owed"


class Worth:
    """Worth of a response on a route."""

    __slots__ = ("on_time", "late")

    def __init__(self, on_time: float = 1.0, late: float = 0.0):
        self.on_time = on_time
        self.late = late

    def lost_worth(self, result: Result) -> float:
        """The part of a response's worth that ``result`` loses."""
        if result is Result.LATE:
            return self.on_time - self.late
        return self.on_time if result is Result.LOST else 0.0


class Outcome:
    """The result of one request, with its cause.

    :param at: arrival time in seconds.
    :param stream: whether it was a stream.
    :param kind: the cause.
    """

    __slots__ = ("request", "route", "at", "stream", "result", "kind")

    def __init__(self, request: str, route: str, at: float, stream: bool, kind: CauseKind):
        self.request = request
        self.route = route
        self.at = at
        self.stream = stream
        self.kind = kind
        self.result = _result_for(kind)


class Ledger:
    """Outcomes, weighted with their routes' worth.

    :param worth_by_route: routes without an entry have the default :class:`Worth`.
    """

    def __init__(self, outcomes: list[Outcome], worth_by_route: dict[str, Worth]):
        self.outcomes = outcomes
        self.worth_by_route = worth_by_route

    def worth(self, outcome: Outcome) -> Worth:
        return self.worth_by_route.get(outcome.route, Worth())

    @property
    def total_worth(self) -> float:
        """Worth of all requests that are not excluded, if each gets a response on time."""
        return math.fsum(
            self.worth(outcome).on_time
            for outcome in self.outcomes
            if outcome.result is not Result.EXCLUDED
        )

    def counts(self) -> dict[str, collections.Counter]:
        """Number of requests by route and result."""
        counts_by_route: dict[str, collections.Counter] = collections.defaultdict(
            collections.Counter
        )
        for outcome in self.outcomes:
            counts_by_route[outcome.route][outcome.result] += 1
        return counts_by_route

    def losses(self) -> dict[tuple[str, CauseKind], "Loss"]:
        """Lost worth by route and cause; with the earned worth it adds up to the total."""
        losses: dict[tuple[str, CauseKind], Loss] = {}
        for outcome in self.outcomes:
            lost_worth = self.worth(outcome).lost_worth(outcome.result)
            if lost_worth:
                loss = losses.setdefault((outcome.route, outcome.kind), Loss())
                loss.requests += 1
                loss.worth += lost_worth
        return losses

    def lost_worth_by_span(self, seconds: float) -> dict[CauseKind, collections.Counter]:
        """Lost worth by cause and by the start of the arrival's span of ``seconds``."""
        lost_worth_by_kind: dict[CauseKind, collections.Counter] = collections.defaultdict(
            collections.Counter
        )
        for outcome in self.outcomes:
            lost_worth = self.worth(outcome).lost_worth(outcome.result)
            if lost_worth:
                span = math.floor(outcome.at / seconds) * seconds
                lost_worth_by_kind[outcome.kind][span] += lost_worth
        return lost_worth_by_kind


class Loss:
    """Requests and worth lost to one cause on one route."""

    __slots__ = ("requests", "worth")

    def __init__(self):
        self.requests = 0
        self.worth = 0.0


def make_ledger(index: LogIndex, worth_by_route: dict[str, Worth]) -> Ledger:
    """Classify every request of the logs."""
    timelines = (build_timeline(request, index) for request in index.by_request)
    return Ledger([_make_outcome(timeline) for timeline in timelines], worth_by_route)


def _make_outcome(timeline: RequestTimeline) -> Outcome:
    arrivals = (
        line.at - line.get("seconds") for line in timeline.own_lines if line.type == "request:end"
    )
    return Outcome(
        timeline.request,
        _route_name(timeline),
        min([timeline.own_lines[0].at, *arrivals]),
        any(line.type.startswith("stream:") for line in timeline.own_lines),
        classify(timeline).kind,
    )


def _route_name(timeline: RequestTimeline) -> str:
    """The route's name; requests without a matching route share one, as their paths differ."""
    route = None if timeline.end is None else timeline.end.get("route")
    # Without a route, the log has the request's path.
    return UNKNOWN_ROUTE if route is None or route.startswith("/") else route


def _result_for(kind: CauseKind) -> Result:
    if kind is CauseKind.ON_TIME:
        return Result.ON_TIME
    if kind in LATE_KINDS:
        return Result.LATE
    return Result.EXCLUDED if kind in EXCLUDED_CAUSES else Result.LOST
