"""Sending and hearing reports: a datagram to each peer near, summaries to other data centres.

Within a data centre each gateway reports to each other one, on change and at intervals. Sent to all
gateways everywhere, reports would grow with the square of their number, and most of what crosses
between data centres would be reports. So two gateways of each data centre add up what its gateways
have running and send the sums to two gateways of each other data centre, which pass them on to
their neighbours unread. Who does so is decided by each gateway alone, see ``rendezvous``: the first
sends at each change, the second at intervals, so that nothing is missed for long if the first goes.
"""

import random

from eliot import log_message
from twisted.internet import defer, protocol, task

from guavacleat.membership.registry import RECENT_SECONDS, EndpointRegistry
from guavacleat.peers.book import SILENCE_SECONDS, PeerBook
from guavacleat.peers.hearing import ConfigurationKnown, EndpointsKnown
from guavacleat.peers.report import BadReportError, GatewayReport, decode_report, encode_report
from guavacleat.placement import EndpointLoad, LoadBook, sum_loads
from guavacleat.rendezvous import chosen
from guavacleat.store import ConflictError, StoreClient, StoreUnavailableError
from guavacleat.store.messages import MUST_NOT_EXIST

__all__ = ["PeerExchange"]

GATEWAY_KIND = "gateways"
# Reports of a gateway on which nothing changes.
HEARTBEAT_SECONDS = 0.5
# A change of an endpoint is in the reports of so long, from each gateway that heard of it; then in
# a report every ``RETELL_SECONDS`` for as long as the registry remembers it, for a gateway that was
# cut off. In every report all that time, changes would be most of what is sent.
NEWS_SECONDS = 1.0
RETELL_SECONDS = 2.0
# Changes closer together than this go into one report or summary. A choice of engine is made by
# what is known of its load: what comes later than others' choices lets them fill the same engine.
GATHER_SECONDS = 0.01
# Gateways of a data centre that send summaries, and to how many of each other data centre.
FORWARDERS = 2
CONTACTS = 2
REGISTER_RETRY_SECONDS = 1.0


class PeerExchange(protocol.DatagramProtocol):
    """Registers this gateway in the store, finds the others there, and trades reports.

    A gateway lists the others once, at its start; whoever starts later lists it and sends to it,
    so that no watch is needed.

    :param address: ``(ip, port)`` of this gateway's own datagram port.
    :param configuration: a :class:`~.hearing.ConfigurationKnown`.
    :param endpoints: an :class:`~.hearing.EndpointsKnown`.
    :param on_heard: called after each report was taken in.
    """

    def __init__(
        self,
        reactor,
        store: StoreClient,
        book: PeerBook,
        load: LoadBook,
        registry: EndpointRegistry,
        instance: str,
        address: tuple[str, int],
        data_centre: str,
        configuration: ConfigurationKnown,
        endpoints: EndpointsKnown,
        on_heard=lambda: None,
    ):
        self.configuration = configuration
        self.endpoints = endpoints
        self.on_heard = on_heard
        self.registry = registry
        self.reactor = reactor
        self.store = store
        self.book = book
        self.load = load
        self.instance = instance
        self.address = address
        self.data_centre = data_centre
        self.incarnation = random.getrandbits(62)
        self.sequence = 0
        # Gateways of the own data centre, and those of which it is not known.
        self.addresses_by_instance: dict[str, tuple[str, int]] = {}
        self.remote_addresses_by_data_centre: dict[str, dict[str, tuple[str, int]]] = {}
        # The newest summary of each other data centre that came from there, as it was received.
        self.summaries_to_pass_on: dict[str, bytes] = {}
        self.gathering = None
        self.gathering_summary = None
        self.bad_reports = 0
        # Bytes of reports sent within the data centre and to others.
        self.bytes_by_scope = {"near": 0, "far": 0}
        self.stopped = False
        self.stops_at: float | None = None
        self._told_all_at = float("-inf")
        self._summary_told_all_at = float("-inf")
        self._heartbeat = task.LoopingCall(self._beat)
        self._heartbeat.clock = reactor
        load.listeners.append(self.change)
        registry.on_change = self._endpoint_changed

    def startProtocol(self):  # noqa: N802 - Twisted's name
        self._heartbeat.start(HEARTBEAT_SECONDS, now=False)
        self._register().addErrback(self._note_error)

    def stop(self) -> None:
        """Send nothing more."""
        self.stopped = True
        if self._heartbeat.running:
            self._heartbeat.stop()

    def announce_stop(self, stops_at: float) -> None:
        """Tell the peers that this process ends at a clock time at the latest."""
        self.stops_at = stops_at
        self._beat()

    def gateway_count(self) -> int:
        """This gateway and all that it has heard of."""
        near = len(set(self.addresses_by_instance) | set(self.book.peers_by_instance))
        told = {report.data_centre: report.gateways for report in self.book.summaries()}
        listed = {
            data_centre: len(addresses)
            for data_centre, addresses in self.remote_addresses_by_data_centre.items()
        }
        far = sum(
            max(told.get(data_centre, 0), listed.get(data_centre, 0))
            for data_centre in told.keys() | listed.keys()
        )
        return 1 + near + far

    def data_centre_count(self) -> int:
        """Data centres that have gateways, the own one included."""
        return 1 + len(self.remote_addresses_by_data_centre)

    def change(self) -> None:
        """Report soon, and after that sum up."""
        if self.gathering is None and not self.stopped:
            self.gathering = self.reactor.callLater(GATHER_SECONDS, self.report)
        self._sum_up_soon()

    def _endpoint_changed(self) -> None:
        """An endpoint's change is told without waiting for more; by each forwarder at once."""
        if self.gathering is None and not self.stopped:
            self.gathering = self.reactor.callLater(GATHER_SECONDS, self.report)
        self._sum_up_soon(FORWARDERS)

    def _beat(self) -> None:
        self.report()
        self._pass_on()
        self._sum_up()

    def report(self) -> None:
        """Send this gateway's load to every known peer of its data centre."""
        if self.gathering is not None and self.gathering.active():
            self.gathering.cancel()
        self.gathering = None
        if self.transport is None or self.stopped or not self.addresses_by_instance:
            return
        since = self._tell_since(self._told_all_at)
        if since > NEWS_SECONDS:
            self._told_all_at = self.reactor.seconds()
        data = encode_report(
            self._message(
                self.load.generations(),
                since,
                stops_in=self._stops_in(),
                store_away=self.registry.store_unreachable(),
                store_silence=self.registry.store_silence(),
            )
        )
        self._send_near(data)

    def _sum_up_soon(self, forwarders: int = 1) -> None:
        """Send a summary soon, if this gateway is among so many forwarders of its data centre."""
        if self.gathering_summary is None and not self.stopped and self._forwards(forwarders):
            self.gathering_summary = self.reactor.callLater(GATHER_SECONDS, self._sum_up)

    def _sum_up(self) -> None:
        """Send a summary of the data centre if that is this gateway's task."""
        if self.gathering_summary is not None and self.gathering_summary.active():
            self.gathering_summary.cancel()
        self.gathering_summary = None
        if self.transport is None or self.stopped or not self.remote_addresses_by_data_centre:
            return
        if self._forwards(FORWARDERS):
            data = encode_report(self._summary())
            for data_centre in self.remote_addresses_by_data_centre:
                for address in self._contacts(data_centre):
                    self.bytes_by_scope["far"] += len(data)
                    self._send(data, address)

    def _pass_on(self) -> None:
        """Send the newest summaries that came from other data centres to the neighbours."""
        for data in self.summaries_to_pass_on.values():
            self._send_near(data)
        self.summaries_to_pass_on.clear()

    def _summary(self) -> GatewayReport:
        """The sums of this gateway's and its neighbours' reports."""
        reports = self.book.alive()
        stops = [self._stops_in(), *(report.stops_in for report in reports)]
        own_silence = self.registry.store_silence()
        since = self._tell_since(self._summary_told_all_at)
        if since > NEWS_SECONDS:
            self._summary_told_all_at = self.reactor.seconds()
        return self._message(
            self._loads([self.load.generations(), *(near.loads_by_endpoint for near in reports)]),
            since,
            stops_in=None if None in stops else min(stops),
            store_away=self.registry.store_unreachable()
            and all(report.store_away for report in reports),
            store_silence=min([own_silence, *(report.store_silence for report in reports)]),
            gateways=1 + len(set(self.addresses_by_instance) | set(self.book.peers_by_instance)),
        )

    @staticmethod
    def _loads(parts: list[dict[str, EndpointLoad]]) -> dict[str, EndpointLoad]:
        ids = set().union(*parts)
        return {id: sum_loads(loads[id] for loads in parts if id in loads) for id in ids}

    def _message(self, loads, since: float, **fields) -> GatewayReport:
        self.sequence += 1
        return GatewayReport(
            self.instance,
            self.incarnation,
            self.sequence,
            loads,
            self.registry.recent_changes(since),
            configuration=self.configuration.version(),
            configuration_age=self.configuration.age(),
            data_centre=self.data_centre,
            endpoints_revision=self.endpoints.revision,
            endpoints_age=self.endpoints.age(),
            changes_since=self.endpoints.complete_since(since),
            **fields,
        )

    def _tell_since(self, told_all_at: float) -> float:
        """Seconds whose changes are told now."""
        if self.reactor.seconds() - told_all_at < RETELL_SECONDS:
            return NEWS_SECONDS
        return RECENT_SECONDS

    def _stops_in(self) -> float | None:
        return None if self.stops_at is None else self.stops_at - self.reactor.seconds()

    def _forwards(self, count: int) -> bool:
        """Whether this gateway is among the first ``count`` forwarders of its data centre."""
        near = [report.instance for report in self.book.alive()]
        return self.instance in chosen([self.instance, *near], "forward", count)

    def _contacts(self, data_centre: str) -> list[tuple[str, int]]:
        """Whom to send summaries: those that send them here, else any gateways that are known.

        A gateway that sends is alive. Without one, another draw each time finds one that is.
        """
        known = self.remote_addresses_by_data_centre[data_centre]
        oldest = self.reactor.seconds() - SILENCE_SECONDS
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

    def _send_near(self, data: bytes) -> None:
        for address in self.addresses_by_instance.values():
            self.bytes_by_scope["near"] += len(data)
            self._send(data, address)

    def _send(self, data: bytes, address) -> None:
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
        if report.instance == self.instance:
            return
        if report.is_summary:
            self._hear_summary(report, data, tuple(address))
        else:
            self._hear_neighbour(report, tuple(address))

    def _hear_neighbour(self, report: GatewayReport, address) -> None:
        self.addresses_by_instance[report.instance] = address
        known = self.book.peers_by_instance.get(report.instance)
        if not self.book.observe(report):
            return
        self._learn(report)
        if known is None or not _same_loads(known.report, report):
            self._sum_up_soon()

    def _hear_summary(self, report: GatewayReport, data: bytes, address) -> None:
        if report.data_centre == self.data_centre:
            return
        if address not in self.addresses_by_instance.values():
            # It came from the data centre itself, not through a neighbour.
            known = self.remote_addresses_by_data_centre.setdefault(report.data_centre, {})
            known[report.instance] = address
            self.summaries_to_pass_on[report.data_centre] = data
            if self._forwards(1):
                self._pass_on()
        if self.book.observe(report):
            self._learn(report)

    def _learn(self, report: GatewayReport) -> None:
        """Take in what a peer knows of the store."""
        for change in report.changes:
            self.registry.hear(change, self.endpoints.revision)
        self.endpoints.hear(report)
        self.configuration.hear(report)
        self.on_heard()

    @defer.inlineCallbacks
    def _register(self):
        """Write this gateway's address to the store and read the others', until both worked."""
        while not self.stopped:
            try:
                listing = yield self._write_address()
            except StoreUnavailableError as exc:
                log_message(message_type="peer:not-registered", error=str(exc))
                yield task.deferLater(self.reactor, REGISTER_RETRY_SECONDS)
                continue
            for stored in listing.objects:
                if stored.name != self.instance:
                    self._take_in_address(stored)
            self._beat()
            return

    def _take_in_address(self, stored) -> None:
        address = (stored.value["ip"], stored.value["port"])
        data_centre = stored.value.get("data_centre", self.data_centre)
        known = self.addresses_by_instance
        if data_centre != self.data_centre:
            known = self.remote_addresses_by_data_centre.setdefault(data_centre, {})
        known.setdefault(stored.name, address)

    @defer.inlineCallbacks
    def _write_address(self):
        """Write this gateway's address; fire with a listing made after that."""
        value = {
            "ip": self.address[0],
            "port": self.address[1],
            "data_centre": self.data_centre,
        }
        try:
            yield self.store.put(GATEWAY_KIND, self.instance, value, MUST_NOT_EXIST)
        except ConflictError as exc:
            # Registered by an earlier start; its address may have been another.
            listing = yield self.store.list_objects(GATEWAY_KIND)
            known = {stored.name: stored.value for stored in listing.objects}
            if known.get(self.instance) == value:
                return listing
            yield self.store.put(GATEWAY_KIND, self.instance, value, exc.current_version)
        listing = yield self.store.list_objects(GATEWAY_KIND)
        return listing

    def _note_error(self, failure) -> None:
        log_message(message_type="peer:error", error=failure.getTraceback())


def _same_loads(one: GatewayReport, other: GatewayReport) -> bool:
    """Whether two reports of a gateway tell the same of what it runs."""
    mine, theirs = one.loads_by_endpoint, other.loads_by_endpoint
    return mine.keys() == theirs.keys() and all(
        load.same_as(theirs[id]) for id, load in mine.items()
    )
