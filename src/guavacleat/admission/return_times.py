"""When each refused caller may return, so that its request finds room then.

A gateway remembers the requests that it has refused until they are due again. Each further one is
told to return after them. All gateways with a queue refuse at the same time, so each takes the
others to have refused as much as itself.
"""

import heapq
import random

from guavacleat.admission.backlog import Backlog
from guavacleat.admission.expected_wait import dispatch_rate, waiting_tokens

__all__ = ["ReturnTimes", "seconds_since_first_attempt"]

# Minimum Retry-After in seconds: an earlier return meets the load that led to the refusal.
MIN_RETURN_SECONDS = 0.1
# Maximum share of the caller's remaining time: callers honour up to a third, and a request needs
# the rest to run.
MAX_RETURN_SHARE = 0.25
# Random spread, as a share of the Retry-After. Gateways that refuse at the same time would
# otherwise name the same times.
SPREAD = 0.1
# Retry-After in seconds while too few generations are dispatched to tell a rate; as in services
# that aren't contended.
UNKNOWN_RETURN_SECONDS = 1.0
# Returns kept for each rank; a gateway refuses some ten requests a second in a burst, and
# callers return within seconds.
MAX_RETURNS = 256
# Ranks with returns, as many as a report has ranks.
MAX_RANKS_WITH_RETURNS = 8


class ReturnTimes:
    """The returns that are due of requests refused by this gateway, for one service.

    :param random_numbers: source of the spread.
    """

    __slots__ = ("random", "due_by_rank")

    def __init__(self, random_numbers: random.Random):
        self.random = random_numbers
        # By rank, a heap of (clock time of the return, expected peak tokens).
        self.due_by_rank: dict[int, list[tuple[float, int]]] = {}

    def count_by_rank(self, now: float) -> dict[int, int]:
        """Number of returns due after clock time ``now``."""
        self._forget_passed(now)
        return {rank: len(due) for rank, due in self.due_by_rank.items()}

    def assign(
        self, rank: int, tokens: int, seconds_left: float, backlog: Backlog, now: float
    ) -> float:
        """The Retry-After in seconds of a refused request, whose return is due from now on.

        :param tokens: expected peak tokens of the request.
        :param seconds_left: until the caller's deadline.
        :param backlog: of the service, summed over all gateways.
        :param now: clock time in seconds.
        """
        seconds = self._limited(self._until_room(rank, tokens, backlog, now), seconds_left)
        self._remember(rank, now + seconds, tokens)
        return seconds

    def _until_room(self, rank: int, tokens: int, backlog: Backlog, now: float) -> float:
        """Seconds until the requests that wait and those that return earlier are dispatched."""
        rate = _known_rate(backlog, rank)
        if not rate:
            return UNKNOWN_RETURN_SECONDS
        gateways = max(1, backlog.gateways)
        due_tokens = gateways * sum(tokens for _, tokens in self._due(rank, now))
        # The other gateways refuse one more each; a random order keeps these apart.
        own_turn = self.random.random() * (gateways - 1) * tokens
        return (waiting_tokens(backlog, rank) + due_tokens + own_turn) / rate

    def _limited(self, seconds: float, seconds_left: float) -> float:
        """``seconds`` with a random spread and within the bounds, which are spread inwards."""
        spread = self.random.uniform(-SPREAD, SPREAD)
        latest = MAX_RETURN_SHARE * seconds_left
        if seconds * (1 + spread) > latest:
            seconds, spread = latest, -abs(spread)
        if seconds * (1 + spread) < MIN_RETURN_SECONDS:
            seconds, spread = MIN_RETURN_SECONDS, abs(spread)
        return max(MIN_RETURN_SECONDS, min(seconds * (1 + spread), latest))

    def _due(self, rank: int, now: float) -> list[tuple[float, int]]:
        self._forget_passed(now)
        due = self.due_by_rank.items()
        return [item for other, items in due if other <= rank for item in items]

    def _forget_passed(self, now: float) -> None:
        for rank, due in list(self.due_by_rank.items()):
            while due and due[0][0] <= now:
                heapq.heappop(due)
            if not due:
                del self.due_by_rank[rank]

    def _remember(self, rank: int, due_at: float, tokens: int) -> None:
        """Keep a return. Beyond the bounds, the soonest is dropped, or the least urgent ones."""
        due = self.due_by_rank.setdefault(rank, [])
        if len(due) < MAX_RETURNS:
            heapq.heappush(due, (due_at, tokens))
        else:
            heapq.heappushpop(due, (due_at, tokens))
        if len(self.due_by_rank) > MAX_RANKS_WITH_RETURNS:
            del self.due_by_rank[max(self.due_by_rank)]


def seconds_since_first_attempt(timeout: float, seconds_left: float) -> float:
    """Estimate of the time since a caller first sent its request; 0 for a first attempt.

    :param timeout: of the request's route, in seconds.
    :param seconds_left: until the caller's deadline.
    """
    return max(0.0, timeout - seconds_left)


def _known_rate(backlog: Backlog, rank: int) -> float:
    """Tokens a second dispatched for ``rank``; 0 if unknown.

    If too few of them were dispatched, the nearest more urgent rank with a known rate counts: a
    less urgent request must not return before a more urgent one.
    """
    ranks = {rank, *(other for other in backlog.backlogs_by_rank if other < rank)}
    rates = (dispatch_rate(backlog, other) for other in sorted(ranks, reverse=True))
    return next((rate for rate in rates if rate), 0.0)
