"""Limit on the number of requests that a client account may have queued in one gateway.

A request over the limit is refused immediately, before it has run, with a retry delay.
"""

from guavacleat.config.model import Limits
from guavacleat.errors import NotRunError

__all__ = ["AccountQueueLimit"]


class AccountQueueLimit:
    """Counts queued requests by account and refuses those over the account's limit."""

    def __init__(self):
        self.waiting_by_account: dict[str, int] = {}

    def enter(self, limits: Limits, account: str) -> None:
        """Count a queued request; raises NotRunError with a retry delay if the queue is full."""
        waiting = self.waiting_by_account.get(account, 0)
        if waiting >= limits.queue_per_account:
            raise NotRunError(
                f"client account {account} has {waiting} requests waiting.",
                f"retry after {limits.retry_after} s or raise limits.queue_per_account.",
                retry_after=limits.retry_after,
            )
        self.waiting_by_account[account] = waiting + 1

    def leave(self, account: str) -> None:
        self.waiting_by_account[account] -= 1
        if not self.waiting_by_account[account]:
            del self.waiting_by_account[account]
