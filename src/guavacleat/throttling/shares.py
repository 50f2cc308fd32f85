"""A gateway's share of the maximum request rate of an endpoint.

A cold endpoint crashes if it gets more requests per second than its maximum rate; others name a
maximum rate in their answers. The gateways share such a rate without asking each other:

- Few gateways each get an equal share of the rate that a cold endpoint takes, and share a rate that
  an endpoint names by their demand. A gateway that lost its peers keeps counting those it knew, so
  that its share does not grow.
- Each gateway with a share may send at least one request at any moment. If all of them doing so at
  once could exceed the bound, only some of them, the senders, get a share, selected per endpoint by
  rendezvous hashing. Within a data centre, gateways that are cut off from each other may select
  twice as many senders; therefore half of what the bound allows is shared. Of a rate that an
  endpoint names, the gateways that get far more requests than others are senders, too.

The other gateways use other endpoints meanwhile, and so does a gateway that doesn't know yet how
many there are.
"""

from guavacleat.rendezvous import select_members
from guavacleat.throttling.demand import DemandMeter

__all__ = ["RateBound", "ShareRule"]

# Share of the rate that the senders use together, as there may be twice as many of them.
SENDERS_RATE_SHARE = 0.5


class RateBound:
    """By how much all gateways together may exceed a maximum rate for a short time.

    Within any ``window`` seconds an endpoint may get ``overshoot`` times the requests that the rate
    allows in that time, and ``slack`` more.
    """

    __slots__ = ("overshoot", "slack", "window")

    def __init__(self, overshoot: float, slack: float, window: float):
        self.overshoot = overshoot
        self.slack = slack
        self.window = window

    def requests(self, rate: float) -> float:
        """Maximum requests within the window at ``rate`` requests per second."""
        return self.overshoot * rate * self.window + self.slack


class ShareRule:
    """Computes this gateway's share.

    :param instance: this gateway's name.
    :param data_centres: names of the data centres of the deployment that the settings list.
    :param gateways: the other gateways, with ``gateway_count()``, ``data_centres()``, which returns
        the names of the data centres where there are some, and ``local_gateways()``, which returns
        the names of the gateways in this data centre as far as they are reachable.
    :param demand: this gateway's :class:`~.demand.DemandMeter`.
    """

    def __init__(
        self,
        instance: str,
        data_centre: str,
        data_centres,
        gateways,
        demand: DemandMeter,
    ):
        self.instance = instance
        self.data_centre = data_centre
        self.listed_data_centres = {data_centre, *data_centres}
        self.gateways = gateways
        self.demand = demand

    def rate(
        self, endpoint_id: str, rate: float, bound: RateBound, service: str | None = None
    ) -> float:
        """Requests per second that this gateway may send the endpoint; 0 if it is not a sender.

        :param rate: maximum requests per second to the endpoint, from all gateways.
        :param service: share the rate by the demand for this service; None for equal shares.
        """
        allowed, sustained = bound.requests(rate), rate * bound.window
        count = self.gateways.gateway_count()
        if count is None:
            return 0.0
        if sustained + count <= allowed:
            return rate * self.demand.share(service, count)
        senders = max(1, int(allowed / 2 - SENDERS_RATE_SHARE * sustained))
        crowd = self.demand.crowd(service, count, senders - 1)
        part = crowd.own_part
        senders -= crowd.gateways
        if self._is_sender(endpoint_id, senders):
            part += (1 - crowd.part) / senders
        return SENDERS_RATE_SHARE * rate * part

    def _is_sender(self, endpoint_id: str, senders: int) -> bool:
        local_senders = self._local_senders(endpoint_id, senders)
        if not local_senders:
            return False
        members = {self.instance, *self.gateways.local_gateways()}
        return self.instance in select_members(members, f"cold {endpoint_id}", local_senders)

    def _local_senders(self, endpoint_id: str, senders: int) -> int:
        """How many of the senders are in this data centre."""
        data_centres = self.listed_data_centres.union(self.gateways.data_centres())
        base, remainder = divmod(senders, len(data_centres))
        extra = select_members(data_centres, f"cold {endpoint_id}", remainder)
        return base + (self.data_centre in extra)
