"""The generations that wait for an engine, at one gateway or at several."""

from guavacleat.totals import Summable

__all__ = ["Backlog"]


class Backlog(Summable):
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
