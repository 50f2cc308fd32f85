"""How many requests the gateways get, by service.

The balancer may hand most connections to one gateway. Gateways therefore share the limit of an
endpoint by their demand, as they last reported it to each other.
"""

import heapq
import math

from twisted.internet.interfaces import IReactorTime

from guavacleat.totals import Summable

__all__ = ["Crowd", "DemandMeter", "ServiceDemand", "find_crowd", "share_by_demand"]

# Time constant of the average; a few reports long, so that gateways agree on it.
AVERAGING_SECONDS = 2.0
# Part of a rate that is shared by demand; of the rest, each gateway gets as much as the others.
DEMAND_WEIGHT = 0.75
# A gateway is crowded if its demand is at least this part of all, and twice an equal part.
MIN_CROWDED_PART = 1 / 8
MIN_CROWDED_FACTOR = 2.0
# Bounds the size of a report; no more gateways than this can be crowded.
MAX_LARGEST = int(1 / MIN_CROWDED_PART)


class ServiceDemand(Summable):
    """The demand for a service at one gateway or at several.

    :param gateways: number of gateways that report their demand.
    :param rate: requests per second, those that were refused included.
    :param largest: the largest rates of single gateways, in descending order.
    """

    __slots__ = ("gateways", "rate", "largest")

    def __init__(self, gateways: int = 0, rate: float = 0.0, largest: tuple[float, ...] = ()):
        self.gateways = gateways
        self.rate = rate
        self.largest = tuple(largest)

    @classmethod
    def of_gateway(cls, rate: float):
        """The demand at one gateway."""
        return cls(1, rate, (rate,))

    def add(self, other: "ServiceDemand") -> "ServiceDemand":
        """Add ``other`` to this demand and return it."""
        super().add(other)
        self.largest = tuple(heapq.nlargest(MAX_LARGEST, self.largest))
        return self


class Crowd:
    """The gateways that get far more requests than others.

    :param gateways: their number.
    :param part: the part of a rate that is due to them together.
    :param own_part: the part that is due to this gateway.
    """

    __slots__ = ("gateways", "part", "own_part")

    def __init__(self, gateways: int = 0, part: float = 0.0, own_part: float = 0.0):
        self.gateways = gateways
        self.part = part
        self.own_part = own_part


class DemandMeter:
    """Measures this gateway's demand.

    :param peers: has ``demand(service)``, the :class:`ServiceDemand` of the other gateways that
        are reachable; None if there are none.
    """

    def __init__(self, clock: IReactorTime, peers=None):
        self.clock = clock
        self.peers = peers
        # The average rate of each service, and the clock time for which it holds.
        self._averages: dict[str, tuple[float, float]] = {}
        # The demand at this gateway and at the others, as of the latest report.
        self._reported_by_service: dict[str, tuple[ServiceDemand, ServiceDemand]] = {}

    def record(self, service: str) -> None:
        """Count a request."""
        rate = self._rate(service) + 1 / AVERAGING_SECONDS
        self._averages[service] = rate, self.clock.seconds()

    def report(self, services) -> dict[str, ServiceDemand]:
        """The demand for these services, to report to the other gateways now."""
        own = {service: ServiceDemand.of_gateway(self._rate(service)) for service in services}
        if self.peers is not None:
            self._reported_by_service = {
                service: (demand, self.peers.demand(service)) for service, demand in own.items()
            }
        return own

    def share(self, service: str | None, gateways: int) -> float:
        """This gateway's share of a rate that all gateways share.

        :param service: None for equal shares.
        :param gateways: number of known gateways, this one included.
        """
        reported = self._reported_by_service.get(service)
        return 1 / gateways if reported is None else share_by_demand(*reported, gateways)

    def crowd(self, service: str | None, gateways: int, most: int) -> Crowd:
        """The crowded gateways, none if they are more than ``most``; see :meth:`share`."""
        reported = self._reported_by_service.get(service)
        return Crowd() if reported is None else find_crowd(*reported, gateways, most)

    def _rate(self, service: str) -> float:
        rate, at = self._averages.get(service, (0.0, 0.0))
        return rate * math.exp((at - self.clock.seconds()) / AVERAGING_SECONDS)


def share_by_demand(own: ServiceDemand, others: ServiceDemand, gateways: int) -> float:
    """A gateway's share of a rate; the shares of ``gateways`` that hear of each other sum to 1.

    Each gateway that isn't heard of keeps the share that it has if it hears of no other one.
    """
    total = own.rate + others.rate
    if total <= 0:
        return 1 / gateways
    heard = min(gateways, own.gateways + others.gateways)
    by_demand = heard / gateways * own.rate / total
    return (1 - DEMAND_WEIGHT) / gateways + DEMAND_WEIGHT * by_demand


def find_crowd(own: ServiceDemand, others: ServiceDemand, gateways: int, most: int) -> Crowd:
    """The crowded ones of the ``gateways`` that are known; none if there are more than ``most``."""
    total = own.rate + others.rate
    least = total * max(MIN_CROWDED_PART, MIN_CROWDED_FACTOR / gateways)
    crowded = [rate for rate in (*own.largest, *others.largest) if rate >= least > 0]
    if not 0 < len(crowded) <= most:
        return Crowd()
    part = min(DEMAND_WEIGHT, sum(crowded) / total)
    own_part = part * own.rate / sum(crowded) if own.rate >= least else 0.0
    return Crowd(len(crowded), part, own_part)
