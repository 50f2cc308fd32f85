"""The routing configuration in force in one process, which only ever moves forward."""

from eliot import log_message

from guavacleat.routes.model import RouteTable

__all__ = ["RouteHolder"]


class RouteHolder:
    """Holds the newest :class:`RouteTable` that was offered.

    A watch may replay an old version after a gap or a stale read; applying it would revert the
    operators' change, which callers would notice as a dropped route that works again. Versions
    not newer than the one in force are therefore ignored.

    The store's revision could order them too, but it grows with each write: an operator's write
    of an older version, done late by the store or racing a newer one, would revert what had been
    confirmed. The price is that one version far too high hides all later ones. Gateways would then
    keep an old configuration with no sign of it; ``config:older`` and :attr:`older` show it.

    :ivar ignored: offers that were not newer.
    :ivar older: offers that were older than what was in force.
    """

    def __init__(self):
        self.table: RouteTable | None = None
        self.ignored = 0
        self.older = 0

    @property
    def version(self) -> int | None:
        """The version in force, None while there is none."""
        return None if self.table is None else self.table.version

    def offer(self, table: RouteTable) -> bool:
        """Take in a configuration; return True if it is now in force."""
        if self.table is not None and table.version <= self.table.version:
            self.ignored += 1
            if table.version < self.table.version:
                self.older += 1
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
