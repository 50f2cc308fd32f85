"""Queues of requests waiting for an endpoint, per service: which one goes next.

:class:`FairQueue` is the product's: weighted fair queueing in virtual time over tokens. An
account's virtual time is the tokens it has had, divided by its weight; the account with the
least goes next. Tokens and not requests are shared, because output lengths are unknown and
heavy-tailed: an account sending long summaries would otherwise get many times the engine time
of one sending intent tags. An output's tokens are charged as expected when it starts and put
right when it ends. :class:`FifoQueue` is the baseline.
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

# What reading one prompt token costs next to emitting one output token: an engine reads 14
# prompt tokens in a millisecond and emits a token of each of some 20 streams every 7 (the users'
# engines), so about 0.2 of the time.
PROMPT_TOKEN_COST = 0.2
# An output expected to be at most this many tokens counts as short.
SHORT_OUTPUT = 64

# How far, in tokens per unit of weight, an account's most urgent requests may run ahead of
# accounts that are owed more. It lets an interactive request pass batch work of others, and its
# being bounded keeps any account from being starved by others' urgent classes.
PRIORITY_LEAD = 500.0
# How far, in the same units, an account that asked for little may be owed. With none, a small
# account's second request in a row waits until its share has paid for the first, although the
# account was idle before; more than a request or two and others would notice its return.
IDLE_CREDIT = 1500.0
# Accounts whose next request is looked at when the head has no room.
GAP_ACCOUNTS = 8


class FifoQueue:
    """Baseline: requests in order of arrival."""

    def __init__(self):
        self.entries: list = []

    def __len__(self) -> int:
        return len(self.entries)

    def push(self, entry, front: bool = False) -> None:
        if front:
            self.entries.insert(0, entry)
        else:
            self.entries.append(entry)

    def head(self):
        """The entry to dispatch next, or None."""
        return self.entries[0] if self.entries else None

    def others(self):
        """Entries that may go before a head that has no room: none, in order of arrival."""
        return ()

    def remove(self, entry) -> None:
        self.entries.remove(entry)

    def charge(self, request, tokens: float) -> None:
        """Order of arrival charges nobody."""

    def work_before(self, request, cost: float) -> float:
        """Tokens that will be dispatched before ``request``, which is expected to cost ``cost``."""
        return len(self.entries) * cost


class FairQueue:
    """Weighted fair queueing over tokens, with a bounded lead for urgent classes."""

    def __init__(self):
        self.numbers = itertools.count()
        self.time_by_account: dict[str, float] = {}
        self.heaps_by_account: dict[str, list] = {}
        self.served_time = -PRIORITY_LEAD
        # Of the accounts with requests waiting.
        self.weights_by_account: dict[str, float] = {}
        self.waiting_weight = 0.0
        self.front: list = []

    def __len__(self) -> int:
        return len(self.front) + sum(len(heap) for heap in self.heaps_by_account.values())

    def push(self, entry, front: bool = False) -> None:
        """Add an entry; ``front``: before all others (a stream whose endpoint failed)."""
        if front:
            self.front.append(entry)
            return
        account = entry.request.account
        if account not in self.heaps_by_account:
            self._becomes_active(account)
            self.heaps_by_account[account] = []
        weight = entry.request.weight
        self.waiting_weight += weight - self.weights_by_account.get(account, 0.0)
        self.weights_by_account[account] = weight
        item = (entry.request.priority, next(self.numbers), entry)
        heapq.heappush(self.heaps_by_account[account], item)

    def _becomes_active(self, account: str) -> None:
        # An account that asked for nothing for an hour would otherwise come back owed an hour of
        # everybody's tokens, and stall all others until it had been paid.
        floor = self.served_time - IDLE_CREDIT
        self.time_by_account[account] = max(self.time_by_account.get(account, floor), floor)

    def head(self):
        """The entry to dispatch next, or None."""
        if self.front:
            return self.front[0]
        if not self.heaps_by_account:
            return None
        account = min(self.heaps_by_account, key=self._start_time)
        return self.heaps_by_account[account][0][2]

    def _start_time(self, account: str) -> float:
        return self.time_by_account[account] - _lead(self.heaps_by_account[account][0][0])

    def others(self):
        """The next entries of the accounts next in turn; the head's own comes first."""
        accounts = heapq.nsmallest(GAP_ACCOUNTS, self.heaps_by_account, key=self._start_time)
        return [self.heaps_by_account[account][0][2] for account in accounts]

    def remove(self, entry) -> None:
        """Take an entry out: it is dispatched, or given up."""
        if entry in self.front:
            self.front.remove(entry)
            return
        account = entry.request.account
        self.served_time = max(self.served_time, self._start_time(account))
        heap = [item for item in self.heaps_by_account[account] if item[2] is not entry]
        if heap:
            heapq.heapify(heap)
            self.heaps_by_account[account] = heap
        else:
            del self.heaps_by_account[account]
            self.waiting_weight -= self.weights_by_account.pop(account)

    def charge(self, request, tokens: float) -> None:
        """Charge an account for tokens (negative: give some back)."""
        time = self.time_by_account.get(request.account, self.served_time)
        self.time_by_account[request.account] = time + tokens / request.weight

    def work_before(self, request, cost: float) -> float:
        """Tokens that will be dispatched before ``request``, which is expected to cost ``cost``.

        While its account's virtual time goes from where the queue is to where the request would
        start, every waiting account is served in proportion to its weight. An account that is
        owed something still has its own requests before this one.
        """
        heap = self.heaps_by_account.get(request.account, ())
        ahead = sum(priority <= request.priority for priority, _, _ in heap)
        time = self.time_by_account.get(request.account, self.served_time)
        start = time + ahead * cost / request.weight - _lead(request.priority)
        weight = self.waiting_weight + (0.0 if heap else request.weight)
        return max((ahead + 1) * cost, (start - self.served_time) * weight)


def _lead(priority: int) -> float:
    return PRIORITY_LEAD / (1 + priority)


QUEUES_BY_NAME = {"fair": FairQueue, "fifo": FifoQueue}


def get_queue_by_name(name: str):
    """A new queue; raises KeyError if there is none of that name."""
    return QUEUES_BY_NAME[name]()
