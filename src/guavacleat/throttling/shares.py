"""A gateway's share of the request rate of a cold endpoint.

A cold endpoint crashes if it gets more requests per second than its maximum rate. The gateways
share this rate without communicating:

- Few gateways each get an equal share of the rate. A gateway that lost its peers keeps counting
  those it knew, so that its share does not grow.
- Each gateway with a share may send at least one request at any moment. If all of them doing so at
  once could exceed the bound, only some of them, the senders, get a share, selected per endpoint by
  rendezvous hashing. Within a data centre, gateways that are cut off from each other may select
  twice as many senders; therefore half of what the bound allows is shared.

The other gateways use other endpoints meanwhile.
"""

from guavacleat.rendezvous import select_members
from guavacleat.settings import Bounds

__all__ = ["ShareRule"]

# Share of the rate that the senders use together, as there may be twice as many of them.
SENDERS_RATE_SHARE = 0.5


class ShareRule:
    """Computes this gateway's share.

    :param instance: this gateway's name.
    :param data_centres: names of all data centres of the deployment.
    :param gateways: the other gateways, with ``gateway_count()`` and ``local_gateways()``, which
        returns the names of the gateways in this data centre as far as they are reachable.
    """

    def __init__(self, instance: str, data_centre: str, data_centres, bounds: Bounds, gateways):
        self.instance = instance
        self.data_centre = data_centre
        self.data_centres = sorted({data_centre, *data_centres})
        self.bounds = bounds
        self.gateways = gateways

    def rate(self, endpoint_id: str, rate: float) -> float:
        """Requests per second that this gateway may send the endpoint; 0 if it is not a sender.

        :param rate: maximum requests per second to the endpoint, from all gateways.
        """
        margin = (self.bounds.cold_overshoot - 1) * rate + self.bounds.cold_slack
        count = max(1, self.gateways.gateway_count())
        if count <= margin:
            return rate / count
        allowed = self.bounds.cold_overshoot * rate + self.bounds.cold_slack
        senders = max(1, int(allowed / 2 - SENDERS_RATE_SHARE * rate))
        if not self._is_sender(endpoint_id, senders):
            return 0.0
        return SENDERS_RATE_SHARE * rate / senders

    def _is_sender(self, endpoint_id: str, senders: int) -> bool:
        local_senders = self._local_senders(endpoint_id, senders)
        if not local_senders:
            return False
        members = {self.instance, *self.gateways.local_gateways()}
        return self.instance in select_members(members, f"cold {endpoint_id}", local_senders)

    def _local_senders(self, endpoint_id: str, senders: int) -> int:
        """How many of the senders are in this data centre."""
        base, remainder = divmod(senders, len(self.data_centres))
        extra = select_members(self.data_centres, f"cold {endpoint_id}", remainder)
        return base + (self.data_centre in extra)
