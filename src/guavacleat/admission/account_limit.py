"""Per client account bound on requests a gateway has waiting at once.

A request over its account's bound is refused at once as not run, with the time to come back;
it is never held until near its deadline.
"""

from guavacleat.config.model import Limits
from guavacleat.errors import NotRunError

__all__ = ["AccountQueueLimit"]


class AccountQueueLimit:
    """Counts requests held by account and refuses those over the account's bound."""

    def __init__(self):
        self.held_by_account: dict[str, int] = {}

    def enter(self, limits: Limits, account: str) -> None:
        """Count the request in, or raise NotRunError naming when to come back."""
        held = self.held_by_account.get(account, 0)
        if held >= limits.queue_per_account:
            raise NotRunError(
                f"client account {account} has {held} requests waiting.",
                f"retry after {limits.retry_after} s or raise limits.queue_per_account.",
                retry_after=limits.retry_after,
            )
        self.held_by_account[account] = held + 1

    def leave(self, account: str) -> None:
        self.held_by_account[account] -= 1
        if not self.held_by_account[account]:
            del self.held_by_account[account]
