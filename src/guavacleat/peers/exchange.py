"""Exchange of reports between gateways by UDP datagrams.

Each gateway reports to the other gateways of its data centre on changes and at each heartbeat.
For traffic between data centres see ``summaries``.
"""

import random

from eliot import log_message
from twisted.internet import defer, protocol

from guavacleat.admission.accounts import largest_accounts
from guavacleat.admission.backlog import Backlog
from guavacleat.evacuations import EvacuationRegister
from guavacleat.membership.entries import ChangeOrigin, EndpointChange
from guavacleat.membership.registry import CHANGE_RETENTION_SECONDS, EndpointRegistry
from guavacleat.peers.backlogs import MAX_SUMMARY_ACCOUNTS
from guavacleat.peers.crashes import CrashGossip
from guavacleat.peers.directory import GatewayDirectory
from guavacleat.peers.fitting import fit_report, latest_revision
from guavacleat.peers.limits import LimitGossip
from guavacleat.peers.report import BadReportError, GatewayReport, decode_report
from guavacleat.peers.schedule import MAX_GATEWAYS_REPORTING_ALL, GossipSchedule
from guavacleat.peers.summaries import (
    BATCH_SECONDS,
    FORWARDERS,
    SummaryExchange,
)
from guavacleat.peers.sync import ConfigurationSyncState, EndpointSyncState
from guavacleat.peers.table import PeerTable
from guavacleat.periodic import Periodic
from guavacleat.placement import EndpointLoad, LoadTracker
from guavacleat.quarantine import CrashTracker
from guavacleat.throttling import LimitRegister, ServiceDemand
from guavacleat.totals import sum_by_key

__all__ = ["PeerExchange"]

# Interval of reports while nothing changes.
HEARTBEAT_SECONDS = 0.5
# All reports contain the endpoint changes of the last ``RECENT_CHANGE_SECONDS``, full ones those of
# the last ``CHANGE_RETENTION_SECONDS``.
RECENT_CHANGE_SECONDS = 1.0
# Share of the link that relayed summaries may take in a data centre of many gateways. The
# rest is for callers and for the answers of the store.
RELAY_LINK_SHARE = 0.5


class PeerExchange(protocol.DatagramProtocol):
    """Sends reports to the other gateways and applies received ones.

    :param directory: this gateway's :class:`~.directory.GatewayDirectory`.
    :param configuration: a :class:`~.sync.ConfigurationSyncState`.
    :param endpoints: an :class:`~.sync.EndpointSyncState`.
    :param evacuations: this gateway's :class:`~guavacleat.evacuations.EvacuationRegister`.
    :param crash_tracker: this gateway's :class:`~guavacleat.quarantine.CrashTracker`.
    :param limits: this gateway's :class:`~guavacleat.throttling.LimitRegister`.
    :param on_report: called after each accepted report.
    :param own_backlogs: returns this gateway's :class:`~guavacleat.admission.backlog.Backlog` by
        service.
    :param own_demands: returns this gateway's :class:`~guavacleat.throttling.ServiceDemand` by
        service.
    :param is_watcher: returns whether this gateway is one of the watchers of the store.
    :param link_bytes_per_second: bandwidth of this instance's link; None if unknown.
    :param own_account_tokens: returns the tokens of the accounts with the largest use here.
    """

    def __init__(
        self,
        reactor,
        directory: GatewayDirectory,
        peer_table: PeerTable,
        load: LoadTracker,
        registry: EndpointRegistry,
        configuration: ConfigurationSyncState,
        endpoints: EndpointSyncState,
        evacuations: EvacuationRegister,
        crash_tracker: CrashTracker,
        limits: LimitRegister,
        on_report=lambda: None,
        own_backlogs=dict,
        own_demands=dict,
        is_watcher=lambda: True,
        link_bytes_per_second: float | None = None,
        own_account_tokens=dict,
    ):
        self.reactor = reactor
        self.directory = directory
        self.peer_table = peer_table
        self.load = load
        self.registry = registry
        self.configuration = configuration
        self.endpoints = endpoints
        self.evacuations = evacuations
        self.crash_gossip = CrashGossip(reactor, crash_tracker)
        self.limit_gossip = LimitGossip(reactor, limits)
        self.on_report = on_report
        self.own_backlogs = own_backlogs
        self.own_demands = own_demands
        self.own_account_tokens = own_account_tokens
        self.is_watcher = is_watcher
        self.link_bytes_per_second = link_bytes_per_second
        self.summaries = SummaryExchange(
            reactor,
            peer_table,
            directory,
            self._encode_summary,
            self._send_local,
            self._send_remote,
            self._relay_seconds,
        )
        self.incarnation = random.getrandbits(62)
        self.sequence = 0
        self._most_gateways = 1
        self.pending_report = None
        # Whether the report that is being built is a heartbeat.
        self._with_timings = False
        self.bad_reports = 0
        self.shortened_reports = 0
        # Bytes sent within the data centre and to remote ones.
        self.bytes_by_scope = {"near": 0, "far": 0}
        self.stopped = False
        self.stops_at: float | None = None
        self._schedule = GossipSchedule(reactor, directory.instance, self._local_count)
        self._summary_schedule = GossipSchedule(reactor, directory.instance)
        self._heartbeat = Periodic(reactor, HEARTBEAT_SECONDS, self._on_heartbeat)
        load.listeners.append(self.on_load_change)
        registry.on_change = self._endpoint_changed
        evacuations.on_change = self._state_changed
        limits.on_change = self._state_changed
        crash_tracker.on_local_change = self._state_changed
        crash_tracker.on_remote_change = self.summaries.endpoint_changed

    def startProtocol(self):  # noqa: N802 - Twisted's name
        self._heartbeat.start()
        self._register().addErrback(self._log_error)

    @defer.inlineCallbacks
    def _register(self):
        yield self.directory.register()
        self._on_heartbeat()

    def store_restored(self) -> None:
        """Register again, as the backup of the store may lack this gateway's address."""
        self.directory.reregister().addErrback(self._log_error)

    def stop(self) -> None:
        """Stop sending reports and retrying the registration."""
        self.stopped = self.summaries.stopped = self.directory.stopped = True
        self._heartbeat.stop()

    def announce_stop(self, stops_at: float) -> None:
        """Report to the peers that this process ends at clock time ``stops_at`` at the latest."""
        self.stops_at = stops_at
        self._on_heartbeat()

    def gateway_count(self) -> int | None:
        """Number of gateways in all data centres, including this one; None while it isn't known.

        It doesn't fall: gateways that aren't heard of any more may be cut off and still running.
        """
        self._most_gateways = max(self._most_gateways, self._known_gateways())
        return self._most_gateways if self.directory.listed else None

    def _known_gateways(self) -> int:
        reported_by_data_centre = {
            report.data_centre: report.gateway_count for report in self.peer_table.summaries()
        }
        listed_by_data_centre = {
            data_centre: len(addresses)
            for data_centre, addresses in self.directory.remote_addresses_by_data_centre.items()
        }
        remote_count = sum(
            max(reported_by_data_centre.get(name, 0), listed_by_data_centre.get(name, 0))
            for name in reported_by_data_centre.keys() | listed_by_data_centre.keys()
        )
        return self._local_count() + remote_count

    def _local_count(self) -> int:
        """Number of known gateways in this data centre, including this one."""
        neighbours = set(self.directory.local_addresses_by_instance) | set(
            self.peer_table.peers_by_instance
        )
        return 1 + len(neighbours)

    def data_centres(self) -> list[str]:
        """The data centres with known gateways, this one included."""
        return [self.directory.data_centre, *self.directory.remote_addresses_by_data_centre]

    def local_gateways(self) -> list[str]:
        """The gateways of this data centre, this one included, that requests may be shared with.

        These are the live ones. A gateway with reports of fewer than half of those it knows is
        probably cut off, and counts all of them.
        """
        alive = {self.directory.instance, *(report.instance for report in self.peer_table.alive())}
        known = alive | set(self.directory.local_addresses_by_instance)
        return sorted(alive if 2 * len(alive) >= len(known) else known)

    def on_load_change(self) -> None:
        """Schedule a report and a summary, after a change of the load or of what waits."""
        self._schedule_report()
        self.summaries.load_changed()

    def _state_changed(self) -> None:
        self._schedule_report()
        self.summaries.endpoint_changed()

    def _endpoint_changed(self, change: EndpointChange) -> None:
        if self.pending_report is None and change.origin in self._reported_origins():
            self._schedule_report()
        self.summaries.endpoint_changed()

    def _reported_origins(self) -> set[ChangeOrigin]:
        """The origins of the recent changes that this gateway's reports contain."""
        if self._local_count() <= MAX_GATEWAYS_REPORTING_ALL:
            return set(ChangeOrigin)
        if self.is_watcher():
            return {ChangeOrigin.ENDPOINT, ChangeOrigin.STORE}
        return {ChangeOrigin.ENDPOINT}

    def _on_heartbeat(self) -> None:
        self._with_timings = True
        try:
            self.report()
            if self.transport is not None:
                self.summaries.on_heartbeat()
        finally:
            self._with_timings = False

    def _reported_loads(self, loads: dict[str, EndpointLoad]) -> dict[str, EndpointLoad]:
        """The loads to send; the timings of tokens are left out of all but the heartbeats.

        They change with every event and make a report a third longer. Summaries are limited by
        bytes, so that longer ones would reach the other data centres later.
        """
        if not self._with_timings:
            for load in loads.values():
                load.timed_tokens = load.timed_micros = 0
        return loads

    def _schedule_report(self) -> None:
        if self.pending_report is None and not self.stopped:
            self.pending_report = self.reactor.callLater(BATCH_SECONDS, self.report)

    def report(self) -> None:
        """Send a report to every known gateway in the same data centre."""
        if self.pending_report is not None and self.pending_report.active():
            self.pending_report.cancel()
        self.pending_report = None
        if self.transport is None or self.stopped or not self.directory.local_addresses_by_instance:
            return
        report = self._build_report(
            self._reported_loads(self.load.generation_loads()),
            self._schedule,
            self.summaries.is_forwarder(FORWARDERS),
            stops_in=self._stops_in(),
            store_failing=self.registry.store_unreachable(),
            store_silence=self.registry.store_silence(),
            backlogs_by_service=self.own_backlogs(),
            demands_by_service=self.own_demands(),
            tokens_by_account=self.own_account_tokens(),
        )
        data = self._encode(report, self._schedule)
        if data is not None:
            self._send_local(data)

    def _encode(self, report: GatewayReport, schedule: GossipSchedule) -> bytes | None:
        """Encode a report for a datagram; None if it can't be shortened enough."""
        fitted = fit_report(report)
        if fitted.left_out:
            self._record_shortened(report, fitted.left_out, schedule)
        if fitted.data is None:
            log_message(message_type="peer:report-too-long", summary=report.is_summary)
        return fitted.data

    def _record_shortened(self, report, left_out: dict[str, int], schedule) -> None:
        if "crashes" in left_out:
            schedule.crashes.reset()
        if "limits" in left_out:
            schedule.limits.reset()
        self.shortened_reports += 1
        if self.shortened_reports.bit_count() == 1:
            # The 1st, 2nd, 4th ... one, since each report of a large deployment may be shortened.
            log_message(
                message_type="peer:report-shortened",
                summary=report.is_summary,
                reports=self.shortened_reports,
                left_out=left_out,
            )

    def _encode_summary(self) -> bytes | None:
        """Encode the summary of the reports of this data centre's gateways."""
        neighbours = self.peer_table.alive()
        stops = [self._stops_in(), *(report.stops_in for report in neighbours)]
        silences = [self.registry.store_silence(), *(report.store_silence for report in neighbours)]
        failing = [
            self.registry.store_unreachable(),
            *(report.store_failing for report in neighbours),
        ]
        summary = self._build_report(
            self._reported_loads(
                sum_by_key(
                    EndpointLoad,
                    [
                        self.load.generation_loads(),
                        *(report.loads_by_endpoint for report in neighbours),
                    ],
                )
            ),
            self._summary_schedule,
            True,
            is_summary=True,
            stops_in=None if None in stops else min(stops),
            store_failing=all(failing),
            store_silence=min(silences),
            gateway_count=self._local_count(),
            backlogs_by_service=sum_by_key(
                Backlog,
                [self.own_backlogs(), *self.peer_table.neighbour_backlogs()],
            ),
            demands_by_service=sum_by_key(
                ServiceDemand,
                [self.own_demands(), *(report.demands_by_service for report in neighbours)],
            ),
            tokens_by_account=largest_accounts(
                [self.own_account_tokens(), *(report.tokens_by_account for report in neighbours)],
                MAX_SUMMARY_ACCOUNTS,
            ),
        )
        return self._encode(summary, self._summary_schedule)

    def _build_report(
        self,
        loads,
        schedule: GossipSchedule,
        include_remote: bool,
        is_summary: bool = False,
        **fields,
    ) -> GatewayReport:
        """Build a report; ``include_remote``: with other gateways' crash observations."""
        should_send_full_report = schedule.should_send_full_report()
        change_seconds = (
            CHANGE_RETENTION_SECONDS if should_send_full_report else RECENT_CHANGE_SECONDS
        )
        crashes = None
        if schedule.crashes.is_due(self.crash_gossip.tracker.changed_at) or should_send_full_report:
            crashes = self.crash_gossip.build_message(
                change_seconds, include_remote, include_quarantined=should_send_full_report
            )
        limits = None
        if schedule.limits.is_due(self.limit_gossip.register.changed_at):
            limits = self.limit_gossip.build_message(include_neighbours=is_summary)
        changes = self.registry.recent_changes(change_seconds)
        omitted = []
        if not (should_send_full_report or is_summary):
            origins = self._reported_origins()
            omitted = [change for change in changes if change.origin not in origins]
            changes = [change for change in changes if change.origin in origins]
        self.sequence += 1
        return GatewayReport(
            self.directory.instance,
            self.incarnation,
            self.sequence,
            loads,
            changes,
            configuration_version=self.configuration.version(),
            configuration_age=self.configuration.age(),
            data_centre=self.directory.data_centre,
            endpoints_revision=self.endpoints.revision,
            endpoints_age=self.endpoints.age(),
            changes_since=latest_revision(self.endpoints.complete_since(change_seconds), omitted),
            crashes=crashes,
            evacuations=tuple(self.evacuations.changes_by_data_centre.values()),
            limits=limits,
            **fields,
        )

    def _stops_in(self) -> float | None:
        return None if self.stops_at is None else self.stops_at - self.reactor.seconds()

    def _send_local(self, data: bytes) -> None:
        for address in self.directory.local_addresses_by_instance.values():
            self.bytes_by_scope["near"] += len(data)
            self._send(data, address)

    def _relay_seconds(self, size: int) -> float:
        """Time that relaying ``size`` bytes takes, within the share of the link for it."""
        if self.link_bytes_per_second is None or self._local_count() <= MAX_GATEWAYS_REPORTING_ALL:
            return 0.0
        sent = size * len(self.directory.local_addresses_by_instance)
        return sent / (RELAY_LINK_SHARE * self.link_bytes_per_second)

    def _send_remote(self, data: bytes, address) -> None:
        self.bytes_by_scope["far"] += len(data)
        self._send(data, address)

    def _send(self, data: bytes, address) -> None:
        if self.transport is None:
            return
        try:
            self.transport.write(data, address)
        except Exception as exc:  # noqa: BLE001 - no route, an invalid address, too long
            # The others get the report all the same; the next one replaces it.
            log_message(message_type="peer:not-sent", address=address[0], error=repr(exc))

    def datagramReceived(self, data, address):  # noqa: N802 - Twisted's name
        try:
            report = decode_report(data)
        except BadReportError as exc:
            self.bad_reports += 1
            log_message(message_type="peer:bad-report", address=address[0], error=str(exc))
            return
        if report.instance == self.directory.instance:
            return
        if report.is_summary:
            self._receive_summary(report, data, tuple(address))
        else:
            self._receive_neighbour_report(report, tuple(address))

    def _receive_neighbour_report(self, report: GatewayReport, address) -> None:
        self.directory.add_local(report.instance, address)
        previous = self.peer_table.peers_by_instance.get(report.instance)
        if not self.peer_table.observe(report):
            return
        if previous is None or previous.report.incarnation != report.incarnation:
            # A gateway that has just started knows neither the load nor the evacuations.
            self._schedule_report()
        self._apply_report(report)
        if (
            previous is None
            or not _same_loads(previous.report, report)
            or _has_heads(previous.report)
            or _has_heads(report)
        ):
            self.summaries.load_changed()

    def _receive_summary(self, report: GatewayReport, data: bytes, address) -> None:
        if report.data_centre == self.directory.data_centre:
            return
        if address not in self.directory.local_addresses_by_instance.values():
            self.directory.add_remote(report.data_centre, report.instance, address)
            self.summaries.on_summary_received(report.data_centre, data)
        if self.peer_table.observe(report):
            self._apply_report(report)

    def _apply_report(self, report: GatewayReport) -> None:
        """Apply a peer's knowledge of the store and of crashes."""
        if report.evacuations is not None:
            self.evacuations.observe_peer(
                report.evacuations, report.endpoints_revision, report.endpoints_age
            )
        for change in report.changes:
            self.registry.observe_peer_change(change, self.endpoints.revision)
        if report.crashes is not None:
            self.crash_gossip.apply_message(report.crashes)
        if report.limits is not None:
            self.limit_gossip.apply_message(report.limits, same_data_centre=not report.is_summary)
        self.endpoints.observe_report(report)
        self.configuration.observe_report(report)
        self.on_report()

    def _log_error(self, failure) -> None:
        log_message(message_type="peer:error", error=failure.getTraceback())


def _same_loads(one: GatewayReport, other: GatewayReport) -> bool:
    """Whether two reports of a gateway contain the same loads."""
    loads, other_loads = one.loads_by_endpoint, other.loads_by_endpoint
    return loads.keys() == other_loads.keys() and all(
        load.same_as(other_loads[id]) for id, load in loads.items()
    )


def _has_heads(report: GatewayReport) -> bool:
    """Whether generations of contended services wait at the gateway.

    Their slack runs out, so that they are summarised again although the loads are the same.
    """
    return any(backlog.heads for backlog in report.backlogs_by_service.values())
