"""Gossip about the limits that endpoints name in their answers."""

from guavacleat.protocol.gen.peers import ttypes
from guavacleat.throttling import LimitRegister

__all__ = ["LimitGossip"]


class LimitGossip:
    """Encodes the statements in a gateway's :class:`~guavacleat.throttling.LimitRegister`.

    It also merges those of its peers into the register.
    """

    def __init__(self, clock, register: LimitRegister):
        self.clock = clock
        self.register = register

    def build_message(self, include_neighbours: bool) -> list[ttypes.EndpointLimit] | None:
        """Encode the recent statements; None if there are none.

        :param include_neighbours: whether to include those of other gateways of the data centre.
        """
        now = self.clock.seconds()
        return [
            ttypes.EndpointLimit(statement.endpoint, now - statement.at, statement.rate)
            for statement in self.register.reportable(include_neighbours)
        ] or None

    def apply_message(self, message: list[ttypes.EndpointLimit], same_data_centre: bool) -> None:
        """Merge a peer's statements."""
        for limit in message:
            self.register.observe_peer(limit.endpoint, limit.rate, limit.age, same_data_centre)
