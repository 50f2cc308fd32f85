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
    """The clock time of a dispatch, and the request's priority and expected tokens."""

    __slots__ = ("at", "priority", "tokens")

    def __init__(self, at: float, priority: int, tokens: int):
        self.at = at
        self.priority = priority
        self.tokens = tokens


class DispatchHistory:
    """The recent dispatches of one queue.

    :ivar count_by_rank: all dispatches so far by priority, from 0 to ``MAX_RANKS - 1``; the last
        one counts the less urgent ones, too.
    """

    def __init__(self):
        self.count_by_rank: collections.Counter[int] = collections.Counter()
        # Oldest first.
        self._recent: collections.deque[_Dispatch] = collections.deque()

    def record(self, at: float, priority: int, tokens: int) -> None:
        self._recent.append(_Dispatch(at, priority, tokens))
        self.count_by_rank[max(0, min(priority, MAX_RANKS - 1))] += 1

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
        ranks[head.priority].add(RankBacklog(1, head.expected_tokens))
    for dispatch in dispatches:
        ranks[dispatch.priority].add(RankBacklog(0, 0, 1, dispatch.tokens))
    return Backlog(
        int(bool(heads)),
        len(on_time),
        len(dispatches),
        dict(sorted(ranks.items())[:MAX_RANKS]),
        tuple(heapq.nsmallest(MAX_HEADS, heads, key=lambda head: head.order)),
    )
