"""Sums of load between data centres, and passing on what comes from others.

Sent to all gateways everywhere, reports would grow with the square of their number, and most of
what crosses between data centres would be reports. So two gateways of each data centre, the
forwarders, add up what its gateways have running and send the sums to two gateways of each other
data centre, which pass them on to their neighbours unread. Who forwards is decided by each gateway
alone, see ``rendezvous``: the first sends at each change, the second at intervals, so that nothing
is missed for long if the first goes.
"""

import random

from guavacleat.peers.directory import GatewayDirectory
from guavacleat.peers.table import PEER_TIMEOUT_SECONDS, PeerTable
from guavacleat.placement import EndpointLoad, sum_loads
from guavacleat.rendezvous import select_members

__all__ = ["FORWARDERS", "GATHER_SECONDS", "SummaryExchange", "add_up"]

# Changes closer together than this go into one report or summary. A choice of engine is made by
# what is known of its load: what comes later than others' choices lets them fill the same engine.
GATHER_SECONDS = 0.01
# Gateways of a data centre that send summaries, and to how many of each other data centre.
FORWARDERS = 2
CONTACTS = 2


class SummaryExchange:
    """Sends this data centre's summary where that is this gateway's task, and passes others' on.

    :param encode: returns the summary as it is to be sent.
    :param send_near: sends a datagram to every known gateway of the own data centre.
    :param send_far: sends a datagram to one address in another data centre.
    """

    def __init__(
        self, clock, book: PeerTable, directory: GatewayDirectory, encode, send_near, send_far
    ):
        self.clock = clock
        self.book = book
        self.directory = directory
        self.encode = encode
        self.send_near = send_near
        self.send_far = send_far
        # The newest summary that came from each other data centre, as it was received.
        self.datagrams_by_data_centre: dict[str, bytes] = {}
        self.stopped = False
        self._gathering = None

    def beat(self) -> None:
        """Do at intervals what no change has caused."""
        self._pass_on()
        self._send()

    def load_changed(self) -> None:
        """Something changed that only the first forwarder tells at once."""
        self._send_soon(1)

    def endpoint_changed(self) -> None:
        """Something changed that must not be missed: each forwarder tells it at once."""
        self._send_soon(FORWARDERS)

    def received(self, data_centre: str, data: bytes) -> None:
        """Take in a summary that came from another data centre itself, not through a neighbour."""
        self.datagrams_by_data_centre[data_centre] = data
        if self.forwards(1):
            self._pass_on()

    def forwards(self, count: int) -> bool:
        """Whether this gateway is among the first ``count`` forwarders of its data centre."""
        instance = self.directory.instance
        near = [report.instance for report in self.book.alive()]
        return instance in select_members([instance, *near], "forward", count)

    def _send_soon(self, forwarders: int) -> None:
        if self._gathering is None and not self.stopped and self.forwards(forwarders):
            self._gathering = self.clock.callLater(GATHER_SECONDS, self._send)

    def _send(self) -> None:
        if self._gathering is not None and self._gathering.active():
            self._gathering.cancel()
        self._gathering = None
        far = self.directory.far_by_data_centre
        if self.stopped or not far or not self.forwards(FORWARDERS):
            return
        data = self.encode()
        for data_centre in far:
            for address in self._contacts(data_centre):
                self.send_far(data, address)

    def _pass_on(self) -> None:
        for data in self.datagrams_by_data_centre.values():
            self.send_near(data)
        self.datagrams_by_data_centre.clear()

    def _contacts(self, data_centre: str) -> list[tuple[str, int]]:
        """Whom to send to: those that send summaries here, else any gateways that are known.

        A gateway that sends is alive. Without one, another draw each time finds one that is.
        """
        known = self.directory.far_by_data_centre[data_centre]
        oldest = self.clock.seconds() - PEER_TIMEOUT_SECONDS
        senders = self.book.summaries_by_data_centre.get(data_centre, {})
        alive = [
            instance
            for instance, peer in senders.items()
            if peer.heard_at >= oldest and instance in known
        ]
        if len(alive) < CONTACTS:
            others = sorted(known.keys() - set(alive))
            alive += random.sample(others, min(len(others), CONTACTS - len(alive)))
        return [known[instance] for instance in alive[:CONTACTS]]


def add_up(parts: list[dict[str, EndpointLoad]]) -> dict[str, EndpointLoad]:
    """The sums of several gateways' loads, by endpoint id."""
    ids = set().union(*parts)
    return {id: sum_loads(loads[id] for loads in parts if id in loads) for id in ids}
