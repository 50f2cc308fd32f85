"""The routing configuration in force in one process, which only ever moves forward."""

from eliot import log_message

from guavacleat.routes.model import RouteTable

__all__ = ["RouteHolder"]


class RouteHolder:
    """Holds the newest :class:`RouteTable` that was offered.

    A watch may replay an old version after a gap or a stale read; applying it would revert the
    operators' change, which callers would notice as a dropped route that works again. Versions
    not newer than the one in force are therefore ignored.
    """

    def __init__(self):
        self.table: RouteTable | None = None
        self.ignored = 0

    def offer(self, table: RouteTable) -> bool:
        """Take in a configuration; return True if it is now in force."""
        if self.table is not None and table.version <= self.table.version:
            self.ignored += 1
            return False
        before = self.table.version if self.table else None
        self.table = table
        log_message(
            message_type="config:accepted",
            version=table.version,
            before=before,
            routes=table.route_count(),
            accounts=len(set(account.name for account in table.accounts_by_key.values())),
        )
        return True
