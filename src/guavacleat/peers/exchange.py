"""Sending and hearing reports: a datagram to each gateway of the data centre, on change and at
intervals; what goes between data centres is in ``summaries``.
"""

import random

from eliot import log_message
from twisted.internet import defer, protocol, task

from guavacleat.membership.registry import CHANGE_RETENTION_SECONDS, EndpointRegistry
from guavacleat.peers.crashes import CrashGossip
from guavacleat.peers.directory import GatewayDirectory
from guavacleat.peers.report import BadReportError, GatewayReport, decode_report, encode_report
from guavacleat.peers.summaries import FORWARDERS, GATHER_SECONDS, SummaryExchange, add_up
from guavacleat.peers.sync import ConfigurationSyncState, EndpointSyncState
from guavacleat.peers.table import PeerTable
from guavacleat.placement import LoadTracker
from guavacleat.quarantine import CrashTracker

__all__ = ["PeerExchange"]

# Reports of a gateway on which nothing changes.
HEARTBEAT_SECONDS = 0.5
# A change of an endpoint is in the reports of so long, from each gateway that heard of it; then in
# a report every ``RETELL_SECONDS`` for as long as the registry remembers it, for a gateway that was
# cut off. In every report all that time, changes would be most of what is sent.
NEWS_SECONDS = 1.0
RETELL_SECONDS = 2.0
# What is news of crashes is told again after so long within its second.
REPEAT_SECONDS = 0.25


class _News:
    """How far back the changes go that are told now: to the last second, now and then further."""

    def __init__(self, clock):
        self.clock = clock
        self._told_all_at = float("-inf")
        self._crashes_told_at = float("-inf")

    def retells(self) -> bool:
        """Whether it is time to tell again what was told before."""
        now = self.clock.seconds()
        if now - self._told_all_at < RETELL_SECONDS:
            return False
        self._told_all_at = now
        return True

    def tells_crashes(self, changed_at: float) -> bool:
        """Whether to tell of crashes now: something changed, or what was told may have been lost.

        Load is reported many times a second; each time with the news of a second, the end of a
        rack would multiply what gateways send just then.
        """
        now = self.clock.seconds()
        if changed_at < self._crashes_told_at and now - self._crashes_told_at < REPEAT_SECONDS:
            return False
        self._crashes_told_at = now
        return True


class PeerExchange(protocol.DatagramProtocol):
    """Trades reports with the other gateways.

    :param directory: this gateway's :class:`~.directory.GatewayDirectory`.
    :param configuration: a :class:`~.sync.ConfigurationSyncState`.
    :param endpoints: an :class:`~.sync.EndpointSyncState`.
    :param crashes: this gateway's :class:`~guavacleat.quarantine.CrashTracker`.
    :param on_heard: called after each report was taken in.
    """

    def __init__(
        self,
        reactor,
        directory: GatewayDirectory,
        book: PeerTable,
        load: LoadTracker,
        registry: EndpointRegistry,
        configuration: ConfigurationSyncState,
        endpoints: EndpointSyncState,
        crashes: CrashTracker,
        on_heard=lambda: None,
    ):
        self.reactor = reactor
        self.directory = directory
        self.book = book
        self.load = load
        self.registry = registry
        self.configuration = configuration
        self.endpoints = endpoints
        self.crashes = CrashGossip(reactor, crashes)
        self.on_heard = on_heard
        self.summaries = SummaryExchange(
            reactor, book, directory, self._encode_summary, self._send_near, self._send_far
        )
        self.incarnation = random.getrandbits(62)
        self.sequence = 0
        self.gathering = None
        self.bad_reports = 0
        # Bytes of reports sent within the data centre and to others.
        self.bytes_by_scope = {"near": 0, "far": 0}
        self.stopped = False
        self.stops_at: float | None = None
        self._news, self._summary_news = _News(reactor), _News(reactor)
        self._heartbeat = task.LoopingCall(self._beat)
        self._heartbeat.clock = reactor
        load.listeners.append(self.change)
        registry.on_change = self._endpoint_changed
        crashes.on_local_change = self._endpoint_changed
        crashes.on_remote_change = self.summaries.endpoint_changed

    def startProtocol(self):  # noqa: N802 - Twisted's name
        self._heartbeat.start(HEARTBEAT_SECONDS, now=False)
        self._register().addErrback(self._note_error)

    @defer.inlineCallbacks
    def _register(self):
        yield self.directory.register()
        self._beat()

    def store_restored(self) -> None:
        """The store came back from a copy, which may lack this gateway's address."""
        self.directory.register_again().addErrback(self._note_error)

    def stop(self) -> None:
        """Send nothing more."""
        self.stopped = self.summaries.stopped = self.directory.stopped = True
        if self._heartbeat.running:
            self._heartbeat.stop()

    def announce_stop(self, stops_at: float) -> None:
        """Tell the peers that this process ends at a clock time at the latest."""
        self.stops_at = stops_at
        self._beat()

    def gateway_count(self) -> int:
        """This gateway and all that it has heard of."""
        told_by_data_centre = {
            report.data_centre: report.gateways for report in self.book.summaries()
        }
        listed_by_data_centre = {
            data_centre: len(addresses)
            for data_centre, addresses in self.directory.far_by_data_centre.items()
        }
        far = sum(
            max(told_by_data_centre.get(name, 0), listed_by_data_centre.get(name, 0))
            for name in told_by_data_centre.keys() | listed_by_data_centre.keys()
        )
        return self._near_count() + far

    def _near_count(self) -> int:
        """Gateways of the own data centre that were ever heard of, and this one."""
        near = set(self.directory.near_by_instance) | set(self.book.peers_by_instance)
        return 1 + len(near)

    def change(self) -> None:
        """Report soon."""
        self._report_soon()
        self.summaries.load_changed()

    def _endpoint_changed(self) -> None:
        self._report_soon()
        self.summaries.endpoint_changed()

    def _beat(self) -> None:
        self.report()
        if self.transport is not None:
            self.summaries.beat()

    def _report_soon(self) -> None:
        if self.gathering is None and not self.stopped:
            self.gathering = self.reactor.callLater(GATHER_SECONDS, self.report)

    def report(self) -> None:
        """Send this gateway's load to every known peer of its data centre."""
        if self.gathering is not None and self.gathering.active():
            self.gathering.cancel()
        self.gathering = None
        if self.transport is None or self.stopped or not self.directory.near_by_instance:
            return
        report = self._message(
            self.load.generation_loads(),
            self._news,
            self.summaries.forwards(FORWARDERS),
            stops_in=self._stops_in(),
            store_away=self.registry.store_unreachable(),
            store_silence=self.registry.store_silence(),
        )
        self._send_near(encode_report(report))

    def _encode_summary(self) -> bytes:
        """The sums of this gateway's and its neighbours' reports."""
        near = self.book.alive()
        stops = [self._stops_in(), *(report.stops_in for report in near)]
        silences = [self.registry.store_silence(), *(report.store_silence for report in near)]
        away = [self.registry.store_unreachable(), *(report.store_away for report in near)]
        summary = self._message(
            add_up([self.load.generation_loads(), *(report.loads_by_endpoint for report in near)]),
            self._summary_news,
            True,
            stops_in=None if None in stops else min(stops),
            store_away=all(away),
            store_silence=min(silences),
            gateways=self._near_count(),
        )
        return encode_report(summary)

    def _message(self, loads, news: _News, forwards: bool, **fields) -> GatewayReport:
        """A report; with ``forwards`` it passes on what others saw of crashes."""
        retells = news.retells()
        news_seconds = CHANGE_RETENTION_SECONDS if retells else NEWS_SECONDS
        crashes = None
        if news.tells_crashes(self.crashes.book.changed_at) or retells:
            crashes = self.crashes.build_message(news_seconds, forwards, everything=retells)
        self.sequence += 1
        return GatewayReport(
            self.directory.instance,
            self.incarnation,
            self.sequence,
            loads,
            self.registry.recent_changes(news_seconds),
            configuration=self.configuration.version(),
            configuration_age=self.configuration.age(),
            data_centre=self.directory.data_centre,
            endpoints_revision=self.endpoints.revision,
            endpoints_age=self.endpoints.age(),
            changes_since=self.endpoints.complete_since(news_seconds),
            crashes=crashes,
            **fields,
        )

    def _stops_in(self) -> float | None:
        return None if self.stops_at is None else self.stops_at - self.reactor.seconds()

    def _send_near(self, data: bytes) -> None:
        for address in self.directory.near_by_instance.values():
            self.bytes_by_scope["near"] += len(data)
            self._send(data, address)

    def _send_far(self, data: bytes, address) -> None:
        self.bytes_by_scope["far"] += len(data)
        self._send(data, address)

    def _send(self, data: bytes, address) -> None:
        if self.transport is None:
            return
        try:
            self.transport.write(data, address)
        except OSError as exc:
            # No route for now (a cut, say); the next report makes up for this one.
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
            self._hear_summary(report, data, tuple(address))
        else:
            self._hear_neighbour(report, tuple(address))

    def _hear_neighbour(self, report: GatewayReport, address) -> None:
        self.directory.learn_near(report.instance, address)
        known = self.book.peers_by_instance.get(report.instance)
        if not self.book.observe(report):
            return
        self._learn(report)
        if known is None or not _same_loads(known.report, report):
            self.summaries.load_changed()

    def _hear_summary(self, report: GatewayReport, data: bytes, address) -> None:
        if report.data_centre == self.directory.data_centre:
            return
        if address not in self.directory.near_by_instance.values():
            self.directory.learn_far(report.data_centre, report.instance, address)
            self.summaries.received(report.data_centre, data)
        if self.book.observe(report):
            self._learn(report)

    def _learn(self, report: GatewayReport) -> None:
        """Take in what a peer knows of the store."""
        for change in report.changes:
            self.registry.observe_peer_change(change, self.endpoints.revision)
        if report.crashes is not None:
            self.crashes.learn(report.crashes)
        self.endpoints.observe_report(report)
        self.configuration.observe_report(report)
        self.on_heard()

    def _note_error(self, failure) -> None:
        log_message(message_type="peer:error", error=failure.getTraceback())


def _same_loads(one: GatewayReport, other: GatewayReport) -> bool:
    """Whether two reports of a gateway tell the same of what it runs."""
    mine, theirs = one.loads_by_endpoint, other.loads_by_endpoint
    return mine.keys() == theirs.keys() and all(
        load.same_as(theirs[id]) for id, load in mine.items()
    )
