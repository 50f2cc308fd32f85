"""The use of contended services by account."""

__all__ = ["AccountUsage"]


class AccountUsage:
    """Counts no use, so that all accounts are equal."""

    def penalty(self, account: str) -> float:
        """Seconds by which requests of the account are ordered later."""
        return 0.0

    def record(self, account: str, tokens: float) -> None:
        """Add the tokens of a dispatched request to the account's use."""
