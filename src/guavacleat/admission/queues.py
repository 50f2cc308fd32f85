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

__all__ = ["FairQueue", "FifoQueue", "QUEUES_BY_NAME", "get_queue_by_name"]

# How far, in tokens per unit of weight, an account's most urgent requests may run ahead of
# accounts that are owed more. It lets an interactive request pass batch work of others, and its
# being bounded keeps any account from being starved by others' urgent classes.
PRIORITY_LEAD = 2000.0
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

    def ahead(self, request) -> int:
        """How many waiting requests of the same account go before ``request``."""
        return sum(entry.request.account == request.account for entry in self.entries)

    def remove(self, entry) -> None:
        self.entries.remove(entry)

    def charge(self, request, tokens: float) -> None:
        """Order of arrival charges nobody."""

    def share(self, account: str) -> float:
        """The part of the dispatches an account's waiting requests can expect."""
        return 1.0


class FairQueue:
    """Weighted fair queueing over tokens, with a bounded lead for urgent classes."""

    def __init__(self):
        self.numbers = itertools.count()
        self.virtual_now = 0.0
        self.time_by_account: dict[str, float] = {}
        self.heaps_by_account: dict[str, list] = {}
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
        active = [self.time_by_account[name] for name in self.heaps_by_account]
        floor = min(active, default=self.virtual_now)
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
        urgency = self.heaps_by_account[account][0][0]
        return self.time_by_account[account] - PRIORITY_LEAD / (1 + urgency)

    def others(self):
        """The next entries of the accounts next in turn; the head's own comes first."""
        accounts = heapq.nsmallest(GAP_ACCOUNTS, self.heaps_by_account, key=self._start_time)
        return [self.heaps_by_account[account][0][2] for account in accounts]

    def ahead(self, request) -> int:
        """How many waiting requests of the same account go before ``request``."""
        heap = self.heaps_by_account.get(request.account, ())
        return sum(priority <= request.priority for priority, _, _ in heap)

    def remove(self, entry) -> None:
        """Take an entry out: it is dispatched, or given up."""
        if entry in self.front:
            self.front.remove(entry)
            return
        account = entry.request.account
        heap = [item for item in self.heaps_by_account[account] if item[2] is not entry]
        self.virtual_now = max(self.virtual_now, self.time_by_account[account])
        if heap:
            heapq.heapify(heap)
            self.heaps_by_account[account] = heap
        else:
            del self.heaps_by_account[account]
            self.waiting_weight -= self.weights_by_account.pop(account)

    def charge(self, request, tokens: float) -> None:
        """Charge an account for tokens (negative: give some back)."""
        time = self.time_by_account.get(request.account, self.virtual_now)
        self.time_by_account[request.account] = time + tokens / request.weight

    def share(self, account: str) -> float:
        """The part of the dispatches an account's waiting requests can expect."""
        weight = self.weights_by_account.get(account)
        return weight / self.waiting_weight if weight else 1.0


QUEUES_BY_NAME = {"fair": FairQueue, "fifo": FifoQueue}


def get_queue_by_name(name: str):
    """A new queue; raises KeyError if there is none of that name."""
    return QUEUES_BY_NAME[name]()
