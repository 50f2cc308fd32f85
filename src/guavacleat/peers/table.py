"""The latest report of each peer, until it expires.

Gateways in the same data centre report individually; remote data centres send summaries.
"""

import heapq
import itertools

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

from guavacleat.admission.accounts import sum_accounts
from guavacleat.admission.backlog import (
    MAX_HEADS,
    MAX_SUMMARY_HEADS,
    Backlog,
    WaitingGeneration,
)
from guavacleat.peers.report import GatewayReport
from guavacleat.placement import EndpointLoad
from guavacleat.throttling import ServiceDemand
from guavacleat.totals import sum_of

__all__ = ["PeerTable", "GATEWAY_RESTART_SECONDS", "PEER_TIMEOUT_SECONDS"]

# A peer without reports for this time is considered unreachable: three lost heartbeats.
PEER_TIMEOUT_SECONDS = 1.6
# From the end of a gateway's process until the restarted one takes requests: process start,
# loading the configuration, and the load balancer's next health check.
GATEWAY_RESTART_SECONDS = 1.0
# Maximum age of a report whose waiting generations count: a gateway repeats its report within
# 0.25 s while something waits.
HEAD_SECONDS = 0.3
# The same for a summary: it contains reports of that age, and is limited to a rate in bytes.
SUMMARY_HEAD_SECONDS = 0.7


class _Peer:
    """A peer's latest report and the clock time of its arrival."""

    __slots__ = ("report", "received_at")

    def __init__(self, report: GatewayReport, received_at: float):
        self.report = report
        self.received_at = received_at


class PeerTable:
    """Reports by instance; those of peers that timed out are ignored.

    ``on_report()`` is called after each accepted report.
    """

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.on_report = lambda: None
        self.peers_by_instance: dict[str, _Peer] = {}
        self.summaries_by_data_centre: dict[str, dict[str, _Peer]] = {}

    def observe(self, report: GatewayReport) -> bool:
        """Store a report unless a newer one of its incarnation is known; return whether stored."""
        peers = self.peers_by_instance
        if report.is_summary:
            peers = self.summaries_by_data_centre.setdefault(report.data_centre, {})
        previous = peers.get(report.instance)
        if previous is not None and previous.report.incarnation == report.incarnation:
            if report.sequence <= previous.report.sequence:
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
        """Reports of the peers in the same data centre that have not timed out."""
        return [peer.report for peer in self._recent(self.peers_by_instance)]

    def summaries(self) -> list[GatewayReport]:
        """One summary of each remote data centre that has not timed out.

        Two forwarders may cover different gateways: the summary of more gateways is used, then the
        newer one.
        """
        recent = map(self._recent, self.summaries_by_data_centre.values())
        return [max(peers, key=_coverage).report for peers in recent if peers]

    def _recent(self, peers: dict[str, _Peer]) -> list[_Peer]:
        oldest = self.clock.seconds() - PEER_TIMEOUT_SECONDS
        return [peer for peer in peers.values() if peer.received_at >= oldest]

    def _all_peers(self) -> itertools.chain:
        """All peers and forwarders, including those that timed out."""
        return itertools.chain(
            self.peers_by_instance.values(),
            *(peers.values() for peers in self.summaries_by_data_centre.values()),
        )

    def newest_configuration_version(self) -> int | None:
        """The highest configuration version in force at a live peer; None if none reports one."""
        versions = (report.configuration_version for report in [*self.alive(), *self.summaries()])
        return max((version for version in versions if version is not None), default=None)

    def backlog(self, service: str) -> Backlog:
        """The service's generations that wait for an engine at the other gateways."""
        reports = [*self.alive(), *self.summaries()]
        backlogs = (report.backlogs_by_service.get(service) for report in reports)
        return sum_of(Backlog, (backlog for backlog in backlogs if backlog is not None))

    def fresh_heads(self, service: str) -> list[tuple[WaitingGeneration, float]]:
        """The first waiting generations at the other gateways, each with its report's age (s).

        Their slack is reduced by the age. There are at most ``MAX_SUMMARY_HEADS`` of a data centre.
        """
        now = self.clock.seconds()
        local = _aged_heads(self._fresh_neighbours(), service, MAX_HEADS, now)
        local = heapq.nsmallest(MAX_SUMMARY_HEADS, local, key=lambda aged: aged[0].order)
        remote = _aged_heads(self._fresh_summaries(), service, MAX_SUMMARY_HEADS, now)
        return [*local, *remote]

    def neighbour_backlogs(self) -> list[dict[str, Backlog]]:
        """The backlogs by service of each peer in the same data centre, with fresh heads only."""
        now = self.clock.seconds()
        fresh = {id(peer) for peer in self._fresh_neighbours()}
        return [
            {
                name: _with_heads(backlog, peer, now if id(peer) in fresh else None)
                for name, backlog in peer.report.backlogs_by_service.items()
            }
            for peer in self._recent(self.peers_by_instance)
        ]

    def _fresh_neighbours(self) -> list[_Peer]:
        oldest = self.clock.seconds() - HEAD_SECONDS
        return [peer for peer in self.peers_by_instance.values() if peer.received_at >= oldest]

    def _fresh_summaries(self) -> list[_Peer]:
        """One summary of each remote data centre among those whose heads count."""
        oldest = self.clock.seconds() - SUMMARY_HEAD_SECONDS
        fresh = (
            [peer for peer in peers.values() if peer.received_at >= oldest]
            for peers in self.summaries_by_data_centre.values()
        )
        return [max(peers, key=_coverage) for peers in fresh if peers]

    def demand(self, service: str) -> ServiceDemand:
        """The demand for the service at the other gateways that report theirs."""
        reports = [*self.alive(), *self.summaries()]
        demands = (report.demands_by_service.get(service) for report in reports)
        return sum_of(ServiceDemand, (demand for demand in demands if demand is not None))

    def tokens_by_account(self) -> dict[str, int]:
        """The use of accounts at the other gateways that report it."""
        reports = [*self.alive(), *self.summaries()]
        return sum_accounts(report.tokens_by_account for report in reports)

    def store_silence(self) -> float:
        """Seconds since the store last responded to a peer, according to their reports."""
        now = self.clock.seconds()
        silences = (
            peer.report.store_silence + now - peer.received_at for peer in self._all_peers()
        )
        return min(silences, default=float("inf"))

    def seconds_until_ready(self) -> float | None:
        """Seconds until a peer takes requests: 0 if one does now, None if there is no live peer.

        A peer that is being stopped is expected to be ready again ``GATEWAY_RESTART_SECONDS`` after
        the announced end of its process.
        """
        now = self.clock.seconds()
        waits = [self._ready_at(peer) - now for peer in self._all_peers()]
        recent = [max(0.0, wait) for wait in waits if wait >= -PEER_TIMEOUT_SECONDS]
        return min(recent, default=None)

    @staticmethod
    def _ready_at(peer: _Peer) -> float:
        """Time at which the peer takes requests, or last reported that it does."""
        stops_in = peer.report.stops_in
        return (
            peer.received_at
            if stops_in is None
            else peer.received_at + stops_in + GATEWAY_RESTART_SECONDS
        )

    def total(self, endpoint_id: str) -> EndpointLoad:
        """Sum of all peers' load on the endpoint."""
        reports = itertools.chain(self.alive(), self.summaries())
        loads = (report.loads_by_endpoint.get(endpoint_id) for report in reports)
        return sum_of(EndpointLoad, (load for load in loads if load is not None))

    def totals_by_endpoint(self) -> dict[str, EndpointLoad]:
        """The sums of :meth:`total` of all endpoints with load, read from each report once."""
        totals: dict[str, EndpointLoad] = {}
        for report in itertools.chain(self.alive(), self.summaries()):
            for id, load in report.loads_by_endpoint.items():
                totals.setdefault(id, EndpointLoad()).add(load)
        return totals


def _coverage(peer: _Peer) -> tuple[int, float]:
    return peer.report.gateway_count, peer.received_at


def _aged_heads(
    peers: list[_Peer], service: str, most: int, now: float
) -> list[tuple[WaitingGeneration, float]]:
    """The first ``most`` heads of each peer, each with its age."""
    backlogs = ((peer, peer.report.backlogs_by_service.get(service)) for peer in peers)
    return [
        (head.aged(now - peer.received_at), now - peer.received_at)
        for peer, backlog in backlogs
        if backlog is not None
        for head in backlog.heads[:most]
    ]


def _with_heads(backlog: Backlog, peer: _Peer, now: float | None) -> Backlog:
    """The backlog with its heads as of clock time ``now``, or with none."""
    heads = [] if now is None else [head.aged(now - peer.received_at) for head in backlog.heads]
    return backlog.with_heads(tuple(heads[:MAX_HEADS]))
