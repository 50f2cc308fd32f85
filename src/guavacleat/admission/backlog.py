"""The generations that wait for an engine, at one gateway or at several."""

import itertools

from guavacleat.totals import Summable, sum_by_key

__all__ = [
    "MAX_HEADS",
    "MAX_RANKS",
    "MAX_SUMMARY_HEADS",
    "MAX_WAIT_SHARE",
    "RATE_WINDOW_SECONDS",
    "Backlog",
    "RankBacklog",
    "WaitingGeneration",
    "rank_of",
]

# Ranks of generations in the order of a contended service.
MAX_RANKS = 8
# First waiting generations that a gateway reports, and those of a summary.
MAX_HEADS = 8
MAX_SUMMARY_HEADS = 24
# Window over which the dispatch rate is measured.
RATE_WINDOW_SECONDS = 3.0
# Maximum share of a request's timeout spent in the queue, so that its caller can still retry.
MAX_WAIT_SHARE = 1 / 3

# Priorities that are told apart among urgent generations, and among deferrable ones.
PRIORITIES_PER_CLASS = MAX_RANKS // 2


def rank_of(priority: int, deferrable: bool) -> int:
    """The rank of a generation, from 0 (first) to ``MAX_RANKS - 1``.

    Urgent ones come first: an account's priority replaces that of the route, so it doesn't say
    which requests can wait. Within both classes, the priority decides.
    """
    rank = max(0, min(priority, PRIORITIES_PER_CLASS - 1))
    return rank + PRIORITIES_PER_CLASS if deferrable else rank


class RankBacklog(Summable):
    """The generations of one rank; tokens are engine memory expected at their ends.

    :param waiting: generations that wait and can still meet their latency goal.
    :param dispatched: generations sent to engines within the last ``RATE_WINDOW_SECONDS``.
    """

    __slots__ = ("waiting", "waiting_tokens", "dispatched", "dispatched_tokens")

    def __init__(
        self,
        waiting: int = 0,
        waiting_tokens: int = 0,
        dispatched: int = 0,
        dispatched_tokens: int = 0,
    ):
        self.waiting = waiting
        self.waiting_tokens = waiting_tokens
        self.dispatched = dispatched
        self.dispatched_tokens = dispatched_tokens


class WaitingGeneration:
    """A generation that waits for an engine.

    :param key: drawn at random when it is queued.
    :param rank: see :func:`rank_of`.
    :param slack: seconds until its latest start that meets the goal; negative if it will be late.
    """

    __slots__ = ("key", "rank", "slack", "expected_tokens", "prompt_tokens", "deferrable")

    def __init__(
        self,
        key: int,
        rank: int,
        slack: float,
        expected_tokens: int,
        prompt_tokens: int,
        deferrable: bool,
    ):
        self.key = key
        self.rank = rank
        self.slack = slack
        self.expected_tokens = expected_tokens
        self.prompt_tokens = prompt_tokens
        self.deferrable = deferrable

    @property
    def order(self) -> tuple[bool, int, float, int]:
        """Sort key: on time before late, then by rank and by slack."""
        return self.slack < 0, self.rank, self.slack, self.key

    def aged(self, seconds: float) -> "WaitingGeneration":
        """A copy with its slack reduced by ``seconds``."""
        return WaitingGeneration(
            self.key,
            self.rank,
            self.slack - seconds,
            self.expected_tokens,
            self.prompt_tokens,
            self.deferrable,
        )


class Backlog(Summable):
    """A service's queued generations.

    :param gateways: number of gateways with queued generations.
    :param waiting: generations queued there that can still meet their latency goal.
    :param dispatched: generations sent to engines within the last ``RATE_WINDOW_SECONDS``.
    :param backlogs_by_rank: of a contended service, the same by rank.
    :param heads: of a contended service, the first waiting generations in their order.
    """

    __slots__ = ("gateways", "waiting", "dispatched", "backlogs_by_rank", "heads")

    def __init__(
        self,
        gateways: int = 0,
        waiting: int = 0,
        dispatched: int = 0,
        backlogs_by_rank: dict[int, RankBacklog] | None = None,
        heads: tuple[WaitingGeneration, ...] = (),
    ):
        self.gateways = gateways
        self.waiting = waiting
        self.dispatched = dispatched
        self.backlogs_by_rank = backlogs_by_rank or {}
        self.heads = heads

    def add(self, other: "Backlog") -> "Backlog":
        self.gateways += other.gateways
        self.waiting += other.waiting
        self.dispatched += other.dispatched
        ranks = sum_by_key(RankBacklog, [self.backlogs_by_rank, other.backlogs_by_rank])
        self.backlogs_by_rank = dict(itertools.islice(sorted(ranks.items()), MAX_RANKS))
        heads = sorted((*self.heads, *other.heads), key=lambda head: head.order)
        self.heads = tuple(heads[:MAX_SUMMARY_HEADS])
        return self

    def with_heads(self, heads: tuple[WaitingGeneration, ...]) -> "Backlog":
        """A copy with other heads."""
        return Backlog(self.gateways, self.waiting, self.dispatched, self.backlogs_by_rank, heads)
