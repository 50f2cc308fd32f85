"""Each request's outcome and its cause, and what they add up to per route and second.

A gateway's logs do not know what an answer is worth. :class:`Worth` says it per route; without
one, each request counts 1 on time and nothing late.
"""

import collections
import enum
import math

from guavacleat.explain import CauseKind, LogIndex, Story, classify, tell

__all__ = ["Ledger", "Outcome", "Result", "Worth", "make_ledger"]

UNKNOWN_ROUTE = "(unknown)"
LATE_KINDS = {
    CauseKind.LATE_WAITED,
    CauseKind.LATE_FIRST,
    CauseKind.LATE_MOVED,
    CauseKind.LATE_PAUSE,
    CauseKind.LATE_ANSWER,
}
# What no gateway can serve: the configuration forbids it, or its caller left by itself.
NOT_OWED = {CauseKind.NOT_ALLOWED, CauseKind.CALLER_LEFT}


class Result(enum.Enum):
    """What the caller got."""

    ON_TIME = "on time"
    LATE = "late"
    LOST = "lost"
    NOT_OWED = "not owed"


class Worth:
    """What an answer of a route is worth."""

    __slots__ = ("on_time", "late")

    def __init__(self, on_time: float = 1.0, late: float = 0.0):
        self.on_time = on_time
        self.late = late

    def missing(self, result: Result) -> float:
        """What is not earned of an answer's worth."""
        if result is Result.LATE:
            return self.on_time - self.late
        return self.on_time if result is Result.LOST else 0.0


class Outcome:
    """How one request ended.

    :param at: when it arrived, seconds.
    :param stream: whether it was a stream.
    """

    __slots__ = ("request", "route", "at", "stream", "result", "kind")

    def __init__(self, request: str, route: str, at: float, stream: bool, kind: CauseKind):
        self.request = request
        self.route = route
        self.at = at
        self.stream = stream
        self.kind = kind
        self.result = _result(kind)


class Ledger:
    """Outcomes, with what they are worth.

    :param worth_by_route: :class:`Worth`; routes without one count 1 for an answer on time.
    """

    def __init__(self, outcomes: list[Outcome], worth_by_route: dict[str, Worth]):
        self.outcomes = outcomes
        self.worth_by_route = worth_by_route

    def worth(self, outcome: Outcome) -> Worth:
        return self.worth_by_route.get(outcome.route, Worth())

    @property
    def owed(self) -> float:
        """What all that is owed is worth."""
        return math.fsum(
            self.worth(outcome).on_time
            for outcome in self.outcomes
            if outcome.result is not Result.NOT_OWED
        )

    def counts(self) -> dict[str, collections.Counter]:
        """Requests by result, by route."""
        counts_by_route: dict[str, collections.Counter] = collections.defaultdict(
            collections.Counter
        )
        for outcome in self.outcomes:
            counts_by_route[outcome.route][outcome.result] += 1
        return counts_by_route

    def losses(self) -> dict[tuple[str, CauseKind], "Loss"]:
        """What is missing by route and cause; together with what is earned it makes all owed."""
        losses: dict[tuple[str, CauseKind], Loss] = {}
        for outcome in self.outcomes:
            missing = self.worth(outcome).missing(outcome.result)
            if missing:
                loss = losses.setdefault((outcome.route, outcome.kind), Loss())
                loss.requests += 1
                loss.worth += missing
        return losses

    def missing_by_second(self, seconds: float) -> dict[CauseKind, collections.Counter]:
        """Worth missing by cause, by the start of the span of ``seconds`` in which it arrived."""
        missing_by_kind: dict[CauseKind, collections.Counter] = collections.defaultdict(
            collections.Counter
        )
        for outcome in self.outcomes:
            missing = self.worth(outcome).missing(outcome.result)
            if missing:
                span = math.floor(outcome.at / seconds) * seconds
                missing_by_kind[outcome.kind][span] += missing
        return missing_by_kind


class Loss:
    """Requests and worth that one cause cost on one route."""

    __slots__ = ("requests", "worth")

    def __init__(self):
        self.requests = 0
        self.worth = 0.0


def make_ledger(index: LogIndex, worth_by_route: dict[str, Worth]) -> Ledger:
    """Tell every request's story and add them up."""
    stories = (tell(request, index) for request in index.by_request)
    return Ledger([_outcome(story) for story in stories], worth_by_route)


def _outcome(story: Story) -> Outcome:
    arrivals = (line.at - line.get("seconds") for line in story.own if line.type == "request:end")
    return Outcome(
        story.request,
        _route(story),
        min([story.own[0].at, *arrivals]),
        any(line.type.startswith("stream:") for line in story.own),
        classify(story).kind,
    )


def _route(story: Story) -> str:
    """The route's name; a request that no route matched is told by its path, each another."""
    end = story.end
    if end is None or end.get("outcome") == "UNKNOWN_ROUTE":
        return UNKNOWN_ROUTE
    return end.get("route")


def _result(kind: CauseKind) -> Result:
    if kind is CauseKind.ON_TIME:
        return Result.ON_TIME
    if kind in LATE_KINDS:
        return Result.LATE
    return Result.NOT_OWED if kind in NOT_OWED else Result.LOST
