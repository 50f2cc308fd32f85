"""The queued requests of a service without contention, by rank."""

import collections

from twisted.internet import defer

from guavacleat.admission.backlog import Backlog
from guavacleat.admission.queues import FairQueue

__all__ = ["ServiceQueue", "WaitingRequest"]


class _FairQueueRequest:
    """The attributes of a queued request that :class:`FairQueue` reads."""

    __slots__ = ("account", "weight", "priority")

    def __init__(self, account: str | None, priority: int):
        self.account = account
        self.weight = 1.0
        self.priority = priority


class WaitingRequest:
    """A queued request.

    ``request`` is what :class:`FairQueue` reads of ``forwarded``; ``result`` fires with the engine,
    or with None if the caller cancelled.

    :param rank: whether the request will be late, then its priority; the lowest is served first.
    :param queued_at: clock time at which it was queued.
    """

    __slots__ = ("forwarded", "request", "tried", "rank", "result", "timers", "queued_at")

    def __init__(self, forwarded, tried: set[str], rank: tuple[bool, int], queued_at: float):
        self.forwarded = forwarded
        self.request = _FairQueueRequest(forwarded.account_name, forwarded.priority)
        self.tried = frozenset(tried)
        self.rank = rank
        self.queued_at = queued_at
        self.result: defer.Deferred | None = None
        self.timers = []


class ServiceQueue:
    """The queued requests of one service, by rank."""

    __slots__ = ("queues_by_rank", "dispatched_at")

    def __init__(self):
        self.queues_by_rank: dict[tuple[bool, int], FairQueue] = {}
        # Clock times of the most recent dispatches, oldest first.
        self.dispatched_at: collections.deque[float] = collections.deque()

    def __len__(self) -> int:
        return sum(map(len, self.queues_by_rank.values()))

    def queue_for(self, rank: tuple[bool, int]) -> FairQueue:
        return self.queues_by_rank.setdefault(rank, FairQueue())

    def backlog(self, oldest: float) -> Backlog:
        """The backlog, with the dispatches since clock time ``oldest``."""
        while self.dispatched_at and self.dispatched_at[0] < oldest:
            self.dispatched_at.popleft()
        waiting = sum(len(queue) for (late, _), queue in self.queues_by_rank.items() if not late)
        return Backlog(int(len(self) > 0), waiting, len(self.dispatched_at))

    def entries(self) -> list[WaitingRequest]:
        queues = self.queues_by_rank.values()
        return [entry for queue in queues for entry in queue.waiting_entries()]

    def queues_in_order(self) -> list[FairQueue]:
        return [self.queues_by_rank[rank] for rank in sorted(self.queues_by_rank)]
