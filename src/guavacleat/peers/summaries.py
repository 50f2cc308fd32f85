"""Load summaries exchanged between data centres.

If every gateway reported to all others, traffic between data centres would grow with the square of
the number of gateways. Instead, two gateways of each data centre, the forwarders, sum up the loads
of its gateways and send the summary to two gateways of each remote data centre, which relay it
unchanged to the gateways of theirs. Forwarders are selected by rendezvous hashing. The first one
sends at each change of load, the second at each heartbeat, so that a failure of the first is
covered.
"""

import random

from guavacleat.peers.directory import GatewayDirectory
from guavacleat.peers.table import PEER_TIMEOUT_SECONDS, PeerTable
from guavacleat.rendezvous import select_members

__all__ = ["FORWARDERS", "BATCH_SECONDS", "SummaryExchange"]

# Changes within this time are batched into one report or summary. Longer batching would let
# several gateways choose the same engine by outdated loads.
BATCH_SECONDS = 0.01
# Bytes of summaries a second from one data centre. Each of them reaches every gateway of the
# others, the smallest of which have links of some megabits.
SUMMARY_BYTES_PER_SECOND = 100_000
# Senders of summaries per data centre, and their recipients in each remote data centre.
FORWARDERS = 2
RECIPIENTS = 2


class SummaryExchange:
    """Sends this data centre's summary if this gateway is a forwarder, and relays received ones.

    :param encode: returns the encoded summary; None if it doesn't fit into a datagram.
    :param send_local: sends a datagram to every known gateway in the same data centre.
    :param send_remote: sends a datagram to an address in a remote data centre.
    :param relay_seconds: returns the time that relaying a number of bytes takes.
    """

    def __init__(
        self,
        clock,
        peer_table: PeerTable,
        directory: GatewayDirectory,
        encode,
        send_local,
        send_remote,
        relay_seconds=lambda size: 0.0,
    ):
        self.clock = clock
        self.peer_table = peer_table
        self.directory = directory
        self.encode = encode
        self.send_local = send_local
        self.send_remote = send_remote
        self.relay_seconds = relay_seconds
        # The latest encoded summary of each remote data centre that has not been relayed yet.
        self.datagrams_by_data_centre: dict[str, bytes] = {}
        self.stopped = False
        self._pending_send = None
        self._pending_relay = None
        # Clock times from which the next summary may be sent and relayed.
        self._next_send_at = float("-inf")
        self._next_relay_at = float("-inf")

    def on_heartbeat(self) -> None:
        """Relay received summaries and send this data centre's one."""
        self._relay()
        self._send()

    def load_changed(self) -> None:
        """Send a summary of changed loads soon if this gateway is the first forwarder."""
        self._schedule_send(1)

    def endpoint_changed(self) -> None:
        """Send a summary of changed endpoints or crashes soon if this gateway is a forwarder."""
        self._schedule_send(FORWARDERS)

    def on_summary_received(self, data_centre: str, data: bytes) -> None:
        """Queue a summary received directly from a remote data centre for relaying."""
        self.datagrams_by_data_centre[data_centre] = data
        if self.is_forwarder(1):
            self._relay()

    def is_forwarder(self, count: int) -> bool:
        """Whether this gateway is one of the first ``count`` forwarders of its data centre."""
        instance = self.directory.instance
        neighbours = [report.instance for report in self.peer_table.alive()]
        return instance in select_members([instance, *neighbours], "forward", count)

    def _schedule_send(self, forwarders: int) -> None:
        if self._pending_send is None and not self.stopped and self.is_forwarder(forwarders):
            delay = max(BATCH_SECONDS, self._next_send_at - self.clock.seconds())
            self._pending_send = self.clock.callLater(delay, self._send)

    def _send(self) -> None:
        if self._pending_send is not None and self._pending_send.active():
            self._pending_send.cancel()
        self._pending_send = None
        remote_addresses = self.directory.remote_addresses_by_data_centre
        if self.stopped or not remote_addresses or not self.is_forwarder(FORWARDERS):
            return
        data = self.encode()
        if data is None:
            return
        self._next_send_at = self.clock.seconds() + len(data) / SUMMARY_BYTES_PER_SECOND
        for data_centre in remote_addresses:
            for address in self._recipients(data_centre):
                self.send_remote(data, address)

    def _relay(self) -> None:
        """Relay the latest summaries, now or when the link has room again."""
        if self._pending_relay is not None and self._pending_relay.active():
            return
        wait = self._next_relay_at - self.clock.seconds()
        if wait > 0:
            self._pending_relay = self.clock.callLater(wait, self._relay_now)
        else:
            self._relay_now()

    def _relay_now(self) -> None:
        self._pending_relay = None
        if self.stopped:
            return
        datagrams = list(self.datagrams_by_data_centre.values())
        self.datagrams_by_data_centre.clear()
        for data in datagrams:
            self.send_local(data)
        seconds = self.relay_seconds(sum(map(len, datagrams)))
        self._next_relay_at = self.clock.seconds() + seconds

    def _recipients(self, data_centre: str) -> list[tuple[str, int]]:
        """Addresses of live forwarders in the data centre, else of random known gateways there.

        The random choice is repeated for each summary until a live gateway is reached.
        """
        addresses = self.directory.remote_addresses_by_data_centre[data_centre]
        oldest = self.clock.seconds() - PEER_TIMEOUT_SECONDS
        senders = self.peer_table.summaries_by_data_centre.get(data_centre, {})
        alive = [
            instance
            for instance, peer in senders.items()
            if peer.received_at >= oldest and instance in addresses
        ]
        if len(alive) < RECIPIENTS:
            others = sorted(addresses.keys() - set(alive))
            alive += random.sample(others, min(len(others), RECIPIENTS - len(alive)))
        return [addresses[instance] for instance in alive[:RECIPIENTS]]
