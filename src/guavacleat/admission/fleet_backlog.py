"""What waits in one queue of a contended service, and what it has dispatched."""

import collections
import heapq

from guavacleat.admission.backlog import (
    MAX_HEADS,
    MAX_RANKS,
    Backlog,
    RankBacklog,
    WaitingGeneration,
)

__all__ = ["DispatchHistory", "build_backlog"]


class _Dispatch:
    """The clock time of a dispatch, and the request's rank and expected tokens."""

    __slots__ = ("at", "rank", "tokens")

    def __init__(self, at: float, rank: int, tokens: int):
        self.at = at
        self.rank = rank
        self.tokens = tokens


class DispatchHistory:
    """The recent dispatches of one queue.

    :ivar count_by_rank: all dispatches so far by rank.
    """

    def __init__(self):
        self.count_by_rank: collections.Counter[int] = collections.Counter()
        # Oldest first.
        self._recent: collections.deque[_Dispatch] = collections.deque()

    def record(self, at: float, rank: int, tokens: int) -> None:
        self._recent.append(_Dispatch(at, rank, tokens))
        self.count_by_rank[rank] += 1

    def since(self, oldest: float) -> collections.deque[_Dispatch]:
        """The dispatches since clock time ``oldest``; discards earlier ones."""
        while self._recent and self._recent[0].at < oldest:
            self._recent.popleft()
        return self._recent


def build_backlog(heads: list[WaitingGeneration], dispatches) -> Backlog:
    """The :class:`Backlog` of a queue.

    :param heads: all that wait, in any order.
    :param dispatches: those of the last ``RATE_WINDOW_SECONDS``.
    """
    on_time = [head for head in heads if head.slack >= 0]
    ranks: dict[int, RankBacklog] = collections.defaultdict(RankBacklog)
    for head in on_time:
        ranks[head.rank].add(RankBacklog(1, head.expected_tokens))
    for dispatch in dispatches:
        ranks[dispatch.rank].add(RankBacklog(0, 0, 1, dispatch.tokens))
    return Backlog(
        int(bool(heads)),
        len(on_time),
        len(dispatches),
        dict(sorted(ranks.items())[:MAX_RANKS]),
        tuple(heapq.nsmallest(MAX_HEADS, heads, key=lambda head: head.order)),
    )
