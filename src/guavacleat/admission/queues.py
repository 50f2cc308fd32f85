"""Queueing disciplines for the requests of one service.

:class:`FairQueue`, the default, is weighted fair queueing over tokens. An account's virtual time is
the tokens that it has been charged divided by its weight, and the account with the smallest is
served next. Accounts share tokens rather than requests because output lengths are heavy-tailed: by
requests, an account with long outputs would get many times the engine time of one with short
outputs. The expected output is charged at the start and corrected at the end. :class:`FifoQueue` is
a baseline for comparison.
"""

import heapq
import itertools

__all__ = [
    "PROMPT_TOKEN_COST",
    "QUEUES_BY_NAME",
    "SHORT_OUTPUT",
    "FairQueue",
    "FifoQueue",
    "get_queue_by_name",
]

# Engine time for the prefill of one prompt token, relative to one output token: an engine prefills
# 14 prompt tokens per millisecond, and emits a token of each of some 20 streams every 7 ms.
PROMPT_TOKEN_COST = 0.2
# Maximum expected tokens of an output that counts as short.
SHORT_OUTPUT = 64

# Virtual time, in tokens per unit of weight, by which requests of priority 0 are advanced, so that
# they overtake batch requests of other accounts without starving them.
PRIORITY_LEAD = 500.0
# Virtual time by which an idle account may lag behind, so that it can send a short burst when it
# becomes active again without delaying other accounts by much. Without it, the second request in a
# row of a small account would wait until its share has paid for the first.
IDLE_CREDIT = 1500.0
# Number of accounts whose next request is considered for backfilling.
BACKFILL_ACCOUNTS = 8


class FifoQueue:
    """Baseline: first in, first out."""

    def __init__(self):
        self.entries: list = []

    def __len__(self) -> int:
        return len(self.entries)

    def waiting_entries(self) -> list:
        """All entries."""
        return list(self.entries)

    def push(self, entry, front: bool = False) -> None:
        if front:
            self.entries.insert(0, entry)
        else:
            self.entries.append(entry)

    def head(self):
        """The entry to dispatch next, or None."""
        return self.entries[0] if self.entries else None

    def backfill_candidates(self):
        """Entries that may be dispatched before a blocked head: none."""
        return ()

    def remove(self, entry) -> None:
        self.entries.remove(entry)

    def charge(self, request, tokens: float) -> None:
        """Do nothing: the order does not depend on usage."""

    def tokens_ahead(self, request, cost: float) -> float:
        """Tokens dispatched before ``request``, which is expected to cost ``cost``."""
        return len(self.entries) * cost


class FairQueue:
    """Weighted fair queueing over tokens, with bounded priority for urgent requests."""

    def __init__(self):
        self.sequence_numbers = itertools.count()
        self.virtual_time_by_account: dict[str, float] = {}
        self.heaps_by_account: dict[str, list] = {}
        self.virtual_time = -PRIORITY_LEAD
        # Weights of the accounts with queued requests.
        self.weights_by_account: dict[str, float] = {}
        self.waiting_weight = 0.0
        self.front: list = []

    def __len__(self) -> int:
        return len(self.front) + sum(len(heap) for heap in self.heaps_by_account.values())

    def waiting_entries(self) -> list:
        """All entries, in no particular order."""
        items = itertools.chain.from_iterable(self.heaps_by_account.values())
        return [*self.front, *(entry for _, _, entry in items)]

    def push(self, entry, front: bool = False) -> None:
        """Add an entry; with ``front`` before all others (a stream whose endpoint failed)."""
        if front:
            self.front.append(entry)
            return
        account = entry.request.account
        if account not in self.heaps_by_account:
            self._activate_account(account)
            self.heaps_by_account[account] = []
        weight = entry.request.weight
        self.waiting_weight += weight - self.weights_by_account.get(account, 0.0)
        self.weights_by_account[account] = weight
        item = (entry.request.priority, next(self.sequence_numbers), entry)
        heapq.heappush(self.heaps_by_account[account], item)

    def _activate_account(self, account: str) -> None:
        # Without a floor, an account that was idle for an hour would be served alone until its
        # virtual time has caught up.
        floor = self.virtual_time - IDLE_CREDIT
        self.virtual_time_by_account[account] = max(
            self.virtual_time_by_account.get(account, floor), floor
        )

    def head(self):
        """The entry to dispatch next, or None."""
        if self.front:
            return self.front[0]
        if not self.heaps_by_account:
            return None
        account = min(self.heaps_by_account, key=self._start_time)
        return self.heaps_by_account[account][0][2]

    def _start_time(self, account: str) -> float:
        return self.virtual_time_by_account[account] - _priority_lead(
            self.heaps_by_account[account][0][0]
        )

    def backfill_candidates(self):
        """The first entry of each of the next accounts, in order, including the head's."""
        accounts = heapq.nsmallest(BACKFILL_ACCOUNTS, self.heaps_by_account, key=self._start_time)
        return [self.heaps_by_account[account][0][2] for account in accounts]

    def remove(self, entry) -> None:
        """Remove an entry that is dispatched or refused."""
        if entry in self.front:
            self.front.remove(entry)
            return
        account = entry.request.account
        self.virtual_time = max(self.virtual_time, self._start_time(account))
        heap = [item for item in self.heaps_by_account[account] if item[2] is not entry]
        if heap:
            heapq.heapify(heap)
            self.heaps_by_account[account] = heap
        else:
            del self.heaps_by_account[account]
            self.waiting_weight -= self.weights_by_account.pop(account)

    def charge(self, request, tokens: float) -> None:
        """Charge an account for tokens; a negative number is a refund."""
        time = self.virtual_time_by_account.get(request.account, self.virtual_time)
        self.virtual_time_by_account[request.account] = time + tokens / request.weight

    def tokens_ahead(self, request, cost: float) -> float:
        """Tokens dispatched before ``request``, which is expected to cost ``cost``.

        Until the queue's virtual time reaches the request's start time, every waiting account is
        served in proportion to its weight. The minimum is the cost of the account's own earlier
        requests and of this one.
        """
        heap = self.heaps_by_account.get(request.account, ())
        ahead = sum(priority <= request.priority for priority, _, _ in heap)
        time = self.virtual_time_by_account.get(request.account, self.virtual_time)
        start = time + ahead * cost / request.weight - _priority_lead(request.priority)
        weight = self.waiting_weight + (0.0 if heap else request.weight)
        return max((ahead + 1) * cost, (start - self.virtual_time) * weight)


def _priority_lead(priority: int) -> float:
    return PRIORITY_LEAD / (1 + priority)


QUEUES_BY_NAME = {"fair": FairQueue, "fifo": FifoQueue}


def get_queue_by_name(name: str):
    """Create a queue; raises KeyError for an unknown name."""
    return QUEUES_BY_NAME[name]()
