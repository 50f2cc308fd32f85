"""Sources of routes and endpoints for an ingress: the platform's store or a routes file."""

import functools
import random

from eliot import log_message

from guavacleat.addresses import format_address
from guavacleat.evacuations import EvacuationChange
from guavacleat.http1.calls import PooledHttp
from guavacleat.http1.pool import ConnectionPool
from guavacleat.ingress.evacuations import EvacuationSync
from guavacleat.membership.status_poll import STORE_SILENCE_SECONDS, store_silence
from guavacleat.peers import PeerExchange
from guavacleat.peers.directory import GatewayDirectory
from guavacleat.peers.fitting import MAX_DATAGRAM_BYTES
from guavacleat.peers.sync import ConfigurationSyncState, EndpointSyncState, WatcherSelection
from guavacleat.quarantine.record import QuarantineRecord
from guavacleat.rendezvous import select_members
from guavacleat.settings import ProcessSettings
from guavacleat.store import StoreClient
from guavacleat.store.watch import WatchLoop

__all__ = ["ControlTraffic", "FileSource", "StoreSource"]

# Maximum long-poll time of a watch. An unreachable store is detected after this plus the call
# timeout.
WATCH_SECONDS = 2.0
# Timeout until a response begins and, from then on, since the last byte received: on a slow link a
# whole response may take seconds.
STORE_CALL_TIMEOUT_SECONDS = 0.8
# Maximum backoff of calls to the store; short enough to apply a configuration in time after an
# outage.
STORE_BACKOFF_SECONDS = 0.5
# Delay before a gateway that does not watch repeats a failed call; longer than the backoff, since
# watching peers report when the store is reachable again.
UNREACHABLE_RETRY_SECONDS = 1.5
# Maximum pause between endpoint watches of a gateway that shares watching with peers; shorter than
# an engine's notice before it leaves.
MAX_WATCH_PAUSE_SECONDS = 1.0
# Up to this many gateways watch without a pause.
MAX_GATEWAYS_WITHOUT_PAUSE = 8
# Gateways per data centre that read the quarantine record from the store.
QUARANTINE_READERS_PER_DATA_CENTRE = 2


class ControlTraffic:
    """Calls to the store by type, and bytes of reports to peers by scope.

    :param store_era: the latest known era of the store.
    :param shortened_reports: reports that left out what did not fit into a datagram.
    """

    __slots__ = ("calls_by_type", "bytes_by_scope", "store_era", "shortened_reports")

    def __init__(
        self,
        calls_by_type: dict[str, int],
        bytes_by_scope: dict[str, int],
        store_era: int = 0,
        shortened_reports: int = 0,
    ):
        self.calls_by_type = calls_by_type
        self.bytes_by_scope = bytes_by_scope
        self.store_era = store_era
        self.shortened_reports = shortened_reports


class StoreSource:
    """Watches configuration and endpoints in the store, and exchanges reports with peers.

    :param adapter: names and formats of the platform: ``dialect``, ``config_kind``,
        ``config_name``, ``endpoint_kind``, ``evacuation_kind``, ``decode_configuration(spec)`` and
        ``decode_endpoint(id, spec, revision)``.
    """

    def __init__(self, reactor, settings: ProcessSettings, adapter):
        self.reactor = reactor
        self.adapter = adapter
        self.address = (settings.ip, settings.peer_ports[0])
        self.instance = settings.instance
        self.data_centre = settings.data_centre
        self.link_bytes_per_second = settings.limits.link_bytes_per_second
        self.store = StoreClient(
            f"http://{format_address(settings.store_address)}",
            http=PooledHttp(reactor, ConnectionPool(reactor), STORE_CALL_TIMEOUT_SECONDS),
            dialect=adapter.dialect,
            call_timeout=STORE_CALL_TIMEOUT_SECONDS,
        )
        self.watches: list[WatchLoop] = []
        self.exchange: PeerExchange | None = None
        self.port = None

    def start(self, ingress) -> None:
        """Start watching for an :class:`~.service.IngressService`."""
        self.holder, self.registry, self.peers = ingress.holder, ingress.registry, ingress.peers
        self.endpoints = EndpointSyncState(self.reactor)
        self.configuration = ConfigurationSyncState(self.reactor, lambda: self.holder.version)
        directory = GatewayDirectory(
            self.reactor, self.store, self.instance, self.address, self.data_centre
        )
        self.should_watch = WatcherSelection(
            self.reactor,
            self.instance,
            self.peers,
            self.registry,
            directory.data_centre_count,
        )
        self.configuration_watch = self._new_watch(
            self.adapter.config_kind,
            self._configuration_changed,
            on_health=self.registry.record_store_call,
            on_revision=lambda revision: self.configuration.record_store_answer(),
            is_suspended=self._configuration_watch_suspended,
            newest_only=True,
        )
        self.configuration.on_newer = self.configuration_watch.recheck
        self.evacuations = EvacuationSync(
            self.reactor,
            ingress.evacuations,
            self.endpoints,
            self.should_watch,
            functools.partial(self._new_watch, self.adapter.evacuation_kind),
        )
        self.endpoint_watch = self._new_watch(
            self.adapter.endpoint_kind,
            self._endpoint_changed,
            pause=self._endpoint_watch_pause,
            on_health=self._record_store_health,
            on_listed=self._endpoints_listed,
            on_revision=self.evacuations.endpoints_known,
            is_suspended=self._endpoint_watch_suspended,
        )
        self.exchange = PeerExchange(
            self.reactor,
            directory,
            self.peers,
            ingress.load,
            self.registry,
            self.configuration,
            self.endpoints,
            ingress.evacuations,
            ingress.crash_tracker,
            ingress.limits,
            self._peer_report_received,
            ingress.context.queue.backlogs_by_service,
            ingress.demands_by_service,
            self.should_watch.is_selected,
            self.link_bytes_per_second,
            ingress.account_usage.largest,
        )
        ingress.context.queue.listeners.append(self.exchange.on_load_change)
        self.quarantine_record = QuarantineRecord(
            self.reactor, self.store, ingress.crash_tracker, self._should_read_quarantine
        )
        self.quarantine_record.start()
        self.store.era_listeners.append(self._store_restored)
        self.watches = [self.configuration_watch, self.endpoint_watch, self.evacuations.watch]
        self.configuration_watch.start()
        self.endpoint_watch.start()
        self.evacuations.start()
        host, port = self.address
        self.port = self.reactor.listenUDP(
            port, self.exchange, interface=host, maxPacketSize=MAX_DATAGRAM_BYTES
        )

    def _should_read_quarantine(self) -> bool:
        """Whether this gateway reads the quarantine record, also on behalf of its peers."""
        members = [self.instance, *(report.instance for report in self.peers.alive())]
        return self.instance in select_members(
            members, "quarantine", QUARANTINE_READERS_PER_DATA_CENTRE
        )

    def _configuration_watch_suspended(self) -> bool:
        """Whether this gateway leaves watching the configuration to its peers for now."""
        if self.should_watch():
            return False
        return not self.configuration.must_query_store() or self._retry_left_to_peers(
            self.configuration_watch
        )

    def _retry_left_to_peers(self, watch: WatchLoop) -> bool:
        """Whether the last call failed recently, so that retries are left to watching peers."""
        since = self.reactor.seconds() - watch.called_at
        return watch.failures > 0 and since < UNREACHABLE_RETRY_SECONDS

    def _endpoint_watch_suspended(self) -> bool:
        """Whether this gateway leaves watching the endpoints to its peers for now."""
        silence = store_silence(self.registry, self.peers)
        if silence > STORE_SILENCE_SECONDS:
            self.registry.record_store_silence(silence)
        if self.should_watch():
            return False
        if self._retry_left_to_peers(self.endpoint_watch):
            return True
        if self.endpoints.must_query_store():
            return False
        if not self.registry.entries_by_id:
            # No endpoints are known yet.
            return False
        if self.registry.lapsed_ids:
            # Peers that kept an endpoint do not report when it registers again.
            return False
        if self.endpoints.relist_is_due():
            self.endpoint_watch.relist()
            return False
        return True

    def _record_store_health(self, healthy: bool) -> None:
        self.registry.record_store_health(healthy, self.endpoint_watch.silent_since)

    def _store_restored(self, era: int) -> None:
        """Rewrite this gateway's objects after the store was restored from a backup."""
        del era
        self.registry.store_restored()
        self.exchange.store_restored()
        self.quarantine_record.store_restored()

    def _endpoints_listed(self, ids: set[str]) -> None:
        self.registry.observe_listing(ids, self.endpoint_watch.revision)

    def _peer_report_received(self) -> None:
        """Advance the endpoint watch to the revision known after a peer's report."""
        if era := self.endpoints.latest_reported_era():
            self.store.observe_era(era)
        self.evacuations.peer_report_received()
        if self.endpoints.revision is not None:
            self.endpoint_watch.advance(self.endpoints.revision)
            self.registry.record_store_reached_by_peer(self.endpoints.as_of)

    def announce_stop(self, stops_at: float) -> None:
        """Tell peers the clock time at which this process ends at the latest."""
        self.exchange.announce_stop(stops_at)

    def stop(self) -> None:
        self.exchange.stop()
        self.quarantine_record.stop()
        for watch in self.watches:
            watch.stop()
        self.port.stopListening()

    def failures_by_kind(self) -> dict[str, int]:
        """Consecutive failed calls of each watch, by kind of object."""
        return {watch.kind: watch.failures for watch in self.watches}

    def control_traffic(self) -> ControlTraffic:
        """The control traffic so far: store calls and reports to peers."""
        era = self.store.era or 0
        return ControlTraffic(
            self.store.calls_by_type,
            self.exchange.bytes_by_scope,
            era,
            self.exchange.shortened_reports,
        )

    def gateway_count(self) -> int | None:
        """Gateways that share limits such as the retry budget, this one included.

        None while the store hasn't listed them: there may be any number.
        """
        return self.exchange.gateway_count() if self.exchange else None

    def data_centres(self) -> list[str]:
        """Data centres with gateways that share limits, this one included."""
        return self.exchange.data_centres() if self.exchange else [self.data_centre]

    def local_gateways(self) -> list[str]:
        """Gateways of this data centre that share limits, this one included."""
        return self.exchange.local_gateways() if self.exchange else [self.instance]

    def _endpoint_watch_pause(self) -> float:
        """Seconds between two endpoint watches.

        Each change completes the watches of all watching gateways. With random pauses fewer calls
        are made, as the gateway that receives a change reports it to its peers.
        """
        count = self.gateway_count()
        if count is None or count <= MAX_GATEWAYS_WITHOUT_PAUSE:
            return 0.0
        return random.uniform(0.0, MAX_WATCH_PAUSE_SECONDS)

    def _new_watch(self, kind: str, on_object, **watch_options) -> WatchLoop:
        return WatchLoop(
            self.reactor,
            self.store,
            kind,
            on_object,
            **{"wait": WATCH_SECONDS, "backoff_max": STORE_BACKOFF_SECONDS, **watch_options},
        )

    def _configuration_changed(self, stored) -> None:
        if stored.name == self.adapter.config_name and not stored.deleted:
            self.holder.offer(self.adapter.decode_configuration(stored.value))

    def _endpoint_changed(self, stored) -> None:
        self.evacuations.endpoint_changed(stored.revision)
        if stored.deleted:
            self.registry.remove(stored.name, stored.revision)
            return
        try:
            entry = self.adapter.decode_endpoint(stored.name, stored.value, stored.revision)
        except (ArithmeticError, AttributeError, KeyError, TypeError, ValueError) as exc:
            self.registry.observe_unreadable(stored.name, stored.revision, repr(exc))
            return
        self.registry.observe(entry)


class FileSource:
    """Reads routes and endpoints from a routes file, on start and on each reload.

    :param load: returns the :class:`~guavacleat.routes.loader.RoutesFile`; raises SettingsError.
    """

    def __init__(self, load):
        self.load = load

    def start(self, ingress) -> None:
        self.holder, self.registry = ingress.holder, ingress.registry
        self.evacuations = ingress.evacuations
        self.reload()

    def reload(self) -> None:
        """Apply the file if its version is newer; endpoints that it no longer lists are removed."""
        routes_file = self.load()
        if not self.holder.offer(routes_file.table):
            log_message(message_type="config:not-newer", version=routes_file.table.version)
            return
        version = routes_file.table.version
        for data_centre in routes_file.evacuated_data_centres:
            self.evacuations.observe(EvacuationChange(data_centre, version, True))
        self.evacuations.observe_listing(routes_file.evacuated_data_centres, version)
        for entry in routes_file.endpoints:
            self.registry.observe(entry)
        self.registry.observe_listing({entry.id for entry in routes_file.endpoints})

    def announce_stop(self, stops_at: float) -> None:
        """Do nothing: there are no peers."""

    def stop(self) -> None:
        """Do nothing: there are no watches."""

    def failures_by_kind(self) -> dict[str, int]:
        """Return no counts: there are no watches."""
        return {}

    def control_traffic(self) -> ControlTraffic:
        """Return no traffic: there are neither store nor peers."""
        return ControlTraffic({}, {})

    def gateway_count(self) -> int:
        """Return 1: there are no peers."""
        return 1

    def data_centres(self) -> list[str]:
        """Return no names: a single gateway shares nothing."""
        return []

    def local_gateways(self) -> list[str]:
        """Return no names: a single gateway shares nothing."""
        return []
