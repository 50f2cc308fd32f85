"""Where an ingress learns its routes and endpoints: the platform's store, or a routes file."""

import random

from eliot import log_message

from guavacleat.addresses import format_address
from guavacleat.http1.calls import PooledHttp
from guavacleat.http1.pool import ConnectionPool
from guavacleat.membership.status_poll import STORE_SILENCE_SECONDS, store_silence
from guavacleat.peers import PeerExchange
from guavacleat.peers.directory import GatewayDirectory
from guavacleat.peers.sync import ConfigurationSyncState, EndpointSyncState, WatcherSelection
from guavacleat.quarantine.record import QuarantineRecord
from guavacleat.rendezvous import select_members
from guavacleat.settings import ProcessSettings
from guavacleat.store import StoreClient
from guavacleat.store.watch import WatchLoop

__all__ = ["ControlTraffic", "FileSource", "StoreSource"]

# A watch waits this long for a change. A store that goes silent shows only by an answer that does
# not come; this and the call's own time-out bound how long a gateway can be deaf. The time-out
# counts from the last byte, as answers may take seconds of a thin link.
WATCH_SECONDS = 2.0
STORE_CALL_SECONDS = 0.8
# Longest pause between attempts to reach the store: within the time in which a configuration must
# be in force after an outage.
STORE_BACKOFF_SECONDS = 0.5
# The same for a gateway that leaves trying to others, who tell when the store is back.
UNREACHABLE_RETRY_SECONDS = 1.5
# Longest pause of a gateway that shares listening with others, between hearing of endpoints and
# asking for more: short against an engine's notice, and some other listener hears meanwhile.
SHARED_PAUSE_SECONDS = 1.0
# So few gateways listen without a pause.
FEW_GATEWAYS = 8
# Gateways of each data centre that read the record of refused requests when all start.
QUARANTINE_READERS = 2


class ControlTraffic:
    """Calls of the store by type, and bytes of reports to peers by how far they went.

    :param store_era: the store's latest era that is known.
    """

    __slots__ = ("calls_by_type", "bytes_by_scope", "store_era")

    def __init__(
        self, calls_by_type: dict[str, int], bytes_by_scope: dict[str, int], store_era: int = 0
    ):
        self.calls_by_type = calls_by_type
        self.bytes_by_scope = bytes_by_scope
        self.store_era = store_era


class StoreSource:
    """Follows configuration and endpoints in the store, and trades reports with other gateways.

    :param adapter: names and formats of the platform: ``dialect``, ``config_kind``,
        ``config_name``, ``endpoint_kind``, ``decode_configuration(spec)`` and
        ``decode_endpoint(id, spec, revision)``.
    """

    def __init__(self, reactor, settings: ProcessSettings, adapter):
        self.reactor = reactor
        self.adapter = adapter
        self.address = (settings.ip, settings.peer_ports[0])
        self.instance = settings.instance
        self.data_centre = settings.data_centre
        self.store = StoreClient(
            f"http://{format_address(settings.store_address)}",
            http=PooledHttp(reactor, ConnectionPool(reactor), STORE_CALL_SECONDS),
            dialect=adapter.dialect,
            call_timeout=STORE_CALL_SECONDS,
        )
        self.watches: list[WatchLoop] = []
        self.exchange: PeerExchange | None = None
        self.port = None

    def start(self, ingress) -> None:
        """Begin to follow, on behalf of an :class:`~.service.IngressService`."""
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
        self.configuration_watch = self._watch(
            self.adapter.config_kind,
            self._configuration_changed,
            on_health=self.registry.record_store_call,
            on_revision=lambda revision: self.configuration.record_store_answer(),
            is_suspended=self._configuration_watch_rests,
            newest_only=True,
        )
        self.configuration.on_newer = self.configuration_watch.recheck
        self.endpoint_watch = self._watch(
            self.adapter.endpoint_kind,
            self._endpoint_changed,
            pause=self._pause,
            on_health=self.registry.record_store_health,
            on_listed=self._endpoints_listed,
            on_revision=self.endpoints.record_store_answer,
            is_suspended=self._endpoint_watch_rests,
        )
        self.exchange = PeerExchange(
            self.reactor,
            directory,
            self.peers,
            ingress.load,
            self.registry,
            self.configuration,
            self.endpoints,
            ingress.crashes,
            self._heard_peer,
        )
        self.record = QuarantineRecord(
            self.reactor, self.store, ingress.crashes, self._reads_quarantine
        )
        self.record.start()
        self.store.era_listeners.append(self._store_restored)
        self.watches = [self.configuration_watch, self.endpoint_watch]
        for watch in self.watches:
            watch.start()
        host, port = self.address
        self.port = self.reactor.listenUDP(port, self.exchange, interface=host)

    def _reads_quarantine(self) -> bool:
        """Whether this gateway reads the record of refused requests, for its neighbours too."""
        members = [self.instance, *(report.instance for report in self.peers.alive())]
        return self.instance in select_members(members, "quarantine", QUARANTINE_READERS)

    def _configuration_watch_rests(self) -> bool:
        """Whether peers tell enough of the configuration for now."""
        if self.should_watch():
            return False
        return not self.configuration.must_query_store() or self._others_try(
            self.configuration_watch
        )

    def _others_try(self, watch: WatchLoop) -> bool:
        """Whether the store did not answer lately, so that trying again is left to listeners."""
        since = self.reactor.seconds() - watch.called_at
        return watch.failures > 0 and since < UNREACHABLE_RETRY_SECONDS

    def _endpoint_watch_rests(self) -> bool:
        """Whether peers tell enough of the endpoints for now."""
        if store_silence(self.registry, self.peers) > STORE_SILENCE_SECONDS:
            self.registry.record_store_silence()
        if self.should_watch():
            return False
        if self._others_try(self.endpoint_watch):
            return True
        if self.endpoints.must_query_store():
            return False
        if not self.registry.entries_by_id:
            # Nothing to serve callers with yet.
            return False
        if self.registry.lapsed_ids:
            # Peers that kept an endpoint tell nothing when it registers again.
            return False
        if self.endpoints.relist_is_due():
            self.endpoint_watch.relist()
            return False
        return True

    def _store_restored(self, era: int) -> None:
        """The store came back from a copy: what it has lost is written again."""
        del era
        self.registry.store_restored()
        self.exchange.store_restored()
        self.record.store_restored()

    def _endpoints_listed(self, ids: set[str]) -> None:
        self.registry.observe_listing(ids, self.endpoint_watch.revision)

    def _heard_peer(self) -> None:
        """Take in, after a peer's report, how far the endpoints' changes are known."""
        if era := self.endpoints.latest_reported_era():
            self.store.observe_era(era)
        if self.endpoints.revision is not None:
            self.endpoint_watch.advance(self.endpoints.revision)
            self.registry.record_store_reached_by_peer(self.endpoints.as_of)

    def announce_stop(self, stops_at: float) -> None:
        """Tell the other gateways that this one ends at a clock time at the latest."""
        self.exchange.announce_stop(stops_at)

    def stop(self) -> None:
        self.exchange.stop()
        self.record.stop()
        for watch in self.watches:
            watch.stop()
        self.port.stopListening()

    def failures_by_kind(self) -> dict[str, int]:
        """For each kind of object that is followed, calls in a row that brought no answer."""
        return {watch.kind: watch.failures for watch in self.watches}

    def control_traffic(self) -> ControlTraffic:
        """What following the store and telling peers took so far."""
        era = self.store.era or 0
        return ControlTraffic(self.store.calls_by_type, self.exchange.bytes_by_scope, era)

    def gateway_count(self) -> int:
        """Gateways that share the retry budget, this one included."""
        return self.exchange.gateway_count() if self.exchange else 1

    def _pause(self) -> float:
        """Seconds between hearing of endpoints and asking for more.

        Each change wakes the watches of all listeners, and each call is paid for. What one hears
        it tells the others.
        """
        if self.gateway_count() <= FEW_GATEWAYS:
            return 0.0
        return random.uniform(0.0, SHARED_PAUSE_SECONDS)

    def _watch(self, kind: str, on_object, **listeners) -> WatchLoop:
        return WatchLoop(
            self.reactor,
            self.store,
            kind,
            on_object,
            wait=WATCH_SECONDS,
            backoff_max=STORE_BACKOFF_SECONDS,
            **listeners,
        )

    def _configuration_changed(self, stored) -> None:
        if stored.name == self.adapter.config_name and not stored.deleted:
            self.holder.offer(self.adapter.decode_configuration(stored.value))

    def _endpoint_changed(self, stored) -> None:
        if stored.deleted:
            self.registry.remove(stored.name, stored.revision)
            return
        try:
            entry = self.adapter.decode_endpoint(stored.name, stored.value, stored.revision)
        except (KeyError, ValueError, TypeError, AttributeError) as exc:
            self.registry.observe_unreadable(stored.name, stored.revision, repr(exc))
            return
        self.registry.observe(entry)


class FileSource:
    """Reads routes and endpoints from a routes file, at the start and at each reload.

    :param load: returns the :class:`~guavacleat.routes.loader.RoutesFile`; raises SettingsError.
    """

    def __init__(self, load):
        self.load = load

    def start(self, ingress) -> None:
        self.holder, self.registry = ingress.holder, ingress.registry
        self.reload()

    def reload(self) -> None:
        """Take in the file if its version is newer; endpoints that it no longer lists leave."""
        found = self.load()
        if not self.holder.offer(found.table):
            log_message(message_type="config:not-newer", version=found.table.version)
            return
        for entry in found.endpoints:
            self.registry.observe(entry)
        self.registry.observe_listing({entry.id for entry in found.endpoints})

    def announce_stop(self, stops_at: float) -> None:
        """There is nobody to tell."""

    def stop(self) -> None:
        """Nothing is followed."""

    def failures_by_kind(self) -> dict[str, int]:
        """No store is followed."""
        return {}

    def control_traffic(self) -> ControlTraffic:
        """Nobody is asked or told."""
        return ControlTraffic({}, {})

    def gateway_count(self) -> int:
        """A gateway with a file knows of no others."""
        return 1
