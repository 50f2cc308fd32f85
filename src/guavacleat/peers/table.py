"""The newest report of each peer, for as long as it counts.

Gateways of the own data centre are known one by one, those of another by the summaries that some of
them send.
"""

import itertools

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

from guavacleat.peers.report import GatewayReport
from guavacleat.placement import EndpointLoad, sum_loads

__all__ = ["PeerTable", "RESTART_SECONDS", "PEER_TIMEOUT_SECONDS"]

# A peer not heard for so long counts as gone, and its runs with it: three reports in a row lost.
PEER_TIMEOUT_SECONDS = 1.6
# From the end of a gateway's process until its next start takes callers: the start, then its
# configuration and the balancer's next question.
RESTART_SECONDS = 1.0


class _Peer:
    __slots__ = ("report", "heard_at")

    def __init__(self, report: GatewayReport, heard_at: float):
        self.report = report
        self.heard_at = heard_at


class PeerTable:
    """Reports by instance; those of silent peers are left out.

    ``on_report()`` is called when a report was taken in.
    """

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.on_report = lambda: None
        self.peers_by_instance: dict[str, _Peer] = {}
        # Senders of summaries, by data centre.
        self.summaries_by_data_centre: dict[str, dict[str, _Peer]] = {}

    def observe(self, report: GatewayReport) -> bool:
        """Take in a report unless a newer one of its incarnation is known; tell whether it was."""
        peers = self.peers_by_instance
        if report.is_summary:
            peers = self.summaries_by_data_centre.setdefault(report.data_centre, {})
        known = peers.get(report.instance)
        if known is not None and known.report.incarnation == report.incarnation:
            if report.sequence <= known.report.sequence:
                return False
        else:
            log_message(
                message_type="peer:heard",
                peer=report.instance,
                incarnation=report.incarnation,
                summary=report.is_summary,
            )
        peers[report.instance] = _Peer(report, self.clock.seconds())
        self.on_report()
        return True

    def alive(self) -> list[GatewayReport]:
        """Reports of the peers in the own data centre that were heard of lately."""
        return [peer.report for peer in self._lately(self.peers_by_instance)]

    def summaries(self) -> list[GatewayReport]:
        """One summary of each other data centre that was heard of lately.

        Two senders that hear different gateways add up different sums: the fuller one counts, then
        the newer one.
        """
        lately = map(self._lately, self.summaries_by_data_centre.values())
        return [
            max(peers, key=lambda peer: (peer.report.gateways, peer.heard_at)).report
            for peers in lately
            if peers
        ]

    def _lately(self, peers: dict[str, _Peer]) -> list[_Peer]:
        oldest = self.clock.seconds() - PEER_TIMEOUT_SECONDS
        return [peer for peer in peers.values() if peer.heard_at >= oldest]

    def _all(self) -> itertools.chain:
        """Every peer and every sender of summaries, silent ones too."""
        return itertools.chain(
            self.peers_by_instance.values(),
            *(peers.values() for peers in self.summaries_by_data_centre.values()),
        )

    def newest_configuration(self) -> int | None:
        """The highest version in force at a peer that was heard of lately; None if none tells."""
        versions = (report.configuration for report in [*self.alive(), *self.summaries()])
        return max((version for version in versions if version is not None), default=None)

    def store_silence(self) -> float:
        """Seconds since a peer last heard from the store, as far as they told."""
        now = self.clock.seconds()
        silences = (peer.report.store_silence + now - peer.heard_at for peer in self._all())
        return min(silences, default=float("inf"))

    def seconds_until_ready(self) -> float | None:
        """Seconds until a peer takes callers: 0 if one does; None if none was heard of lately.

        One that is being stopped is expected back after its end, as it told that.
        """
        now = self.clock.seconds()
        waits = [self._ready_at(peer) - now for peer in self._all()]
        lately = [max(0.0, wait) for wait in waits if wait >= -PEER_TIMEOUT_SECONDS]
        return min(lately, default=None)

    @staticmethod
    def _ready_at(peer: _Peer) -> float:
        """When the peer takes callers, or last said that it does."""
        stops_in = peer.report.stops_in
        return peer.heard_at if stops_in is None else peer.heard_at + stops_in + RESTART_SECONDS

    def total(self, endpoint_id: str) -> EndpointLoad:
        """All peers' runs on the endpoint."""
        reports = itertools.chain(self.alive(), self.summaries())
        loads = (report.loads_by_endpoint.get(endpoint_id) for report in reports)
        return sum_loads(load for load in loads if load is not None)
