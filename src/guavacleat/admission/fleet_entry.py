"""A request in the queue of a contended service."""

from twisted.internet import defer

from guavacleat.admission.backlog import MAX_WAIT_SHARE, WaitingGeneration, rank_of
from guavacleat.admission.fleet_order import Contender
from guavacleat.admission.refusal_policy import Arrival
from guavacleat.admission.return_times import seconds_since_first_attempt
from guavacleat.placement.engine_choice import GenerationDemand

__all__ = ["FleetEntry"]

# Least slack by which a request that returns after a refusal is ordered while it is on time: peers
# reduce the slack by a report's age, at most 0.7 s, and would otherwise take it for late.
MIN_RETURN_SLACK = 0.7
# Largest slack of a late request, as a penalty must not make it look on time.
LATE_SLACK = -0.001
# Keys have 62 bits, so that they are positive in a 64-bit field.
KEY_BITS = 62


class FleetEntry:
    """A request that waits or is about to start; times are clock times in seconds.

    ``result`` fires with the engine, or with None if the caller cancelled.

    :param request: the ``ForwardedRequest``.
    :param tried: ids of engines that it must not be sent to.
    :param latest_start: the latest dispatch that meets its goal.
    :ivar order_start: the latest start by which it is ordered: earlier for a request that returns.
    :ivar wait_deadline: when it is refused.
    :ivar misses_goal: whether it is expected to be late, and goes behind those that aren't.
    """

    __slots__ = (
        "request",
        "tried",
        "key",
        "demand",
        "latest_start",
        "order_start",
        "wait_deadline",
        "misses_goal",
        "queued_at",
        "result",
        "timers",
    )

    def __init__(self, request, tried: set[str], latest_start: float, now: float, rng):
        self.request = request
        self.tried = frozenset(tried)
        self.key = rng.getrandbits(KEY_BITS)
        self.demand = GenerationDemand.of(request)
        self.latest_start = latest_start
        self.order_start = latest_start - _elapsed(request)
        timeout = request.deadline - request.arrived_at
        # After another goal's time the overload is no short burst, and the caller may come back.
        self.wait_deadline = min(
            request.arrived_at + MAX_WAIT_SHARE * timeout,
            max(now, latest_start) + request.route.latency_goal,
        )
        self.misses_goal = False
        self.queued_at = now
        self.result: defer.Deferred | None = None
        self.timers = []

    @property
    def rank(self) -> int:
        """See :func:`~.backlog.rank_of`."""
        return rank_of(self.request.priority, self.demand.deferrable)

    def is_late(self, now: float) -> bool:
        return self.misses_goal or now > self.latest_start

    def slack(self, now: float, penalty: float) -> float:
        """Seconds until its latest start in the order; negative exactly if it is late."""
        if self.is_late(now):
            return min(self.order_start - now + penalty, LATE_SLACK)
        least = min(self.latest_start - now, MIN_RETURN_SLACK)
        return max(self.order_start - now, least) + penalty

    def contender(self, now: float, penalty: float) -> Contender:
        return Contender(self.key, self.rank, self.slack(now, penalty), self.demand, self)

    def head(self, now: float, penalty: float) -> WaitingGeneration:
        """The entry as it is reported to the peers."""
        demand = self.demand
        return WaitingGeneration(
            self.key,
            self.rank,
            self.slack(now, penalty),
            demand.expected_tokens,
            demand.prompt_tokens,
            demand.deferrable,
        )

    def arrival(self) -> Arrival:
        """The entry as the refusal policy sees it."""
        return Arrival(
            self.rank,
            self.demand.expected_tokens,
            self.latest_start,
            self.wait_deadline,
            self.request.deadline,
        )

    def cancel_timers(self) -> None:
        for timer in self.timers:
            if timer.active():
                timer.cancel()


def _elapsed(request) -> float:
    """Seconds since the caller's first attempt; 0 if it stated no remaining time."""
    seconds_left = request.metadata.caller_timeout
    if seconds_left is None:
        return 0.0
    return seconds_since_first_attempt(request.route.timeout, seconds_left)
