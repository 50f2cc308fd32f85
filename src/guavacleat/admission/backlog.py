"""The generations that wait for an engine, at one gateway or at several."""

__all__ = ["Backlog", "sum_backlogs"]


class Backlog:
    """A service's queued generations.

    :param gateways: number of gateways with queued generations.
    :param waiting: generations queued there that can still meet their latency goal.
    :param dispatched: generations sent to engines within the last ``RATE_WINDOW_SECONDS``.
    """

    __slots__ = ("gateways", "waiting", "dispatched")

    def __init__(self, gateways: int = 0, waiting: int = 0, dispatched: int = 0):
        self.gateways = gateways
        self.waiting = waiting
        self.dispatched = dispatched

    def add(self, other: "Backlog") -> "Backlog":
        """Add ``other`` to this backlog and return this backlog."""
        for slot in self.__slots__:
            setattr(self, slot, getattr(self, slot) + getattr(other, slot))
        return self


def sum_backlogs(backlogs) -> Backlog:
    """The sum of several backlogs."""
    total = Backlog()
    for backlog in backlogs:
        total.add(backlog)
    return total
