"""The routing configuration in force in one process; it never goes back to an older version."""

from eliot import log_message

from guavacleat.routes.model import RouteTable

__all__ = ["RouteHolder"]


class RouteHolder:
    """Holds the newest :class:`RouteTable` received.

    A watch may replay an old version after a gap or a stale read, so versions that are not newer
    than the one in force are ignored. They are ordered by their version and not by the store's
    revision: a delayed or racing write of an older version would revert a confirmed one.

    A version that is far too high by mistake hides all later ones; ``config:older`` and
    :attr:`older_count` show that.

    :ivar ignored_count: number of versions ignored as not newer.
    :ivar older_count: number of those that were older than the one in force.
    """

    def __init__(self):
        self.table: RouteTable | None = None
        self.ignored_count = 0
        self.older_count = 0

    @property
    def version(self) -> int | None:
        """The version in force; None without a configuration."""
        return None if self.table is None else self.table.version

    def offer(self, table: RouteTable) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        if self.table is not None and table.version <= self.table.version:
            self.ignored_count += 1
            if table.version < self.table.version:
                self.older_count += 1
                log_message(
                    message_type="config:older",
                    version=table.version,
                    in_force=self.table.version,
                )
            return False
        before = self.version
        self.table = table
        log_message(
            message_type="config:accepted",
            version=table.version,
            before=before,
            routes=table.route_count(),
            accounts=len(set(account.name for account in table.accounts_by_key.values())),
        )
        return True
