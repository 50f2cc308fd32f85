"""Sources of routes and endpoints for an ingress: the platform's store or a routes file."""

import random

from eliot import log_message

from guavacleat.addresses import format_address
from guavacleat.evacuations import EvacuationChange
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
# Range of the delay until a starting gateway lists the evacuations, unless peers report them first.
EVACUATION_LISTING_DELAY_SECONDS = (0.05, 0.4)
# Gateways per data centre that read the quarantine record from the store.
QUARANTINE_READERS_PER_DATA_CENTRE = 2


class ControlTraffic:
    """Calls to the store by type, and bytes of reports to peers by scope.

    :param store_era: the latest known era of the store.
    """

    __slots__ = ("calls_by_type", "bytes_by_scope", "store_era")

    def __init__(
        self, calls_by_type: dict[str, int], bytes_by_scope: dict[str, int], store_era: int = 0
    ):
        self.calls_by_type = calls_by_type
        self.bytes_by_scope = bytes_by_scope
        self.store_era = store_era


class _StoreAnswer:
    """The store's revision in an answer, and the clock time of the answer."""

    __slots__ = ("revision", "at")

    def __init__(self, revision: int, at: float):
        self.revision = revision
        self.at = at


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
        self.store = StoreClient(
            f"http://{format_address(settings.store_address)}",
            http=PooledHttp(reactor, ConnectionPool(reactor), STORE_CALL_TIMEOUT_SECONDS),
            dialect=adapter.dialect,
            call_timeout=STORE_CALL_TIMEOUT_SECONDS,
        )
        self.watches: list[WatchLoop] = []
        self.exchange: PeerExchange | None = None
        self.port = None
        # The last answer to a watch or listing of the endpoints.
        self._endpoint_answer: _StoreAnswer | None = None
        # Revisions of the received endpoint changes that no answer has covered yet.
        self._received_revisions: set[int] = set()

    def start(self, ingress) -> None:
        """Start watching for an :class:`~.service.IngressService`."""
        self.holder, self.registry, self.peers = ingress.holder, ingress.registry, ingress.peers
        self.endpoints = EndpointSyncState(self.reactor)
        self.evacuations = ingress.evacuations
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
        self.endpoint_watch = self._new_watch(
            self.adapter.endpoint_kind,
            self._endpoint_changed,
            pause=self._endpoint_watch_pause,
            on_health=self.registry.record_store_health,
            on_listed=self._endpoints_listed,
            on_revision=self._endpoints_known,
            is_suspended=self._endpoint_watch_suspended,
        )
        self.evacuation_watch = self._new_watch(
            self.adapter.evacuation_kind,
            self._evacuation_changed,
            on_listed=self._evacuations_listed,
            on_revision=self._evacuations_known,
            is_suspended=self._evacuation_watch_suspended,
            wait=0.0,
        )
        self.exchange = PeerExchange(
            self.reactor,
            directory,
            self.peers,
            ingress.load,
            self.registry,
            self.configuration,
            self.endpoints,
            self.evacuations,
            ingress.crash_tracker,
            self._peer_report_received,
            ingress.context.queue.backlogs_by_service,
        )
        self.quarantine_record = QuarantineRecord(
            self.reactor, self.store, ingress.crash_tracker, self._should_read_quarantine
        )
        self.quarantine_record.start()
        self.store.era_listeners.append(self._store_restored)
        self.watches = [self.configuration_watch, self.endpoint_watch, self.evacuation_watch]
        self.configuration_watch.start()
        self.endpoint_watch.start()
        self.evacuation_watch.start(random.uniform(*EVACUATION_LISTING_DELAY_SECONDS))
        host, port = self.address
        self.port = self.reactor.listenUDP(port, self.exchange, interface=host)

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
        if store_silence(self.registry, self.peers) > STORE_SILENCE_SECONDS:
            self.registry.record_store_silence()
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

    def _endpoints_known(self, revision: int) -> None:
        """Record that all changes of endpoints up to ``revision`` are known.

        A watch of the endpoints returns the store's revision. If it is later than the revisions of
        the changes that were received, something else has changed, perhaps an evacuation: these are
        read then, so that they need no watch of their own.
        """
        self._endpoint_answer = _StoreAnswer(revision, self.reactor.seconds())
        received = {changed for changed in self._received_revisions if changed <= revision}
        self._received_revisions -= received
        known_to = self.evacuations.complete_to
        if known_to is not None and _are_consecutive(received, known_to, revision):
            self.evacuations.observe_complete(revision)
        self._confirm_endpoints()
        self.evacuation_watch.recheck()

    def _confirm_endpoints(self) -> None:
        """Record up to which revision both the endpoints and the evacuations are known."""
        answer, known_to = self._endpoint_answer, self.evacuations.complete_to
        if answer is not None and known_to is not None:
            age = self.reactor.seconds() - min(answer.at, self.evacuations.as_of)
            self.endpoints.record_store_answer(min(answer.revision, known_to), age)

    def _evacuation_watch_suspended(self) -> bool:
        """Whether this gateway leaves reading the evacuations to its peers for now."""
        known_to, answer = self.evacuations.complete_to, self._endpoint_answer
        if known_to is None:
            return False
        outdated = answer is not None and known_to < answer.revision
        if not outdated and not self.evacuations.needs_listing():
            return True
        return not self.should_watch() and not self.endpoints.must_query_store()

    def _evacuations_listed(self, names: set[str]) -> None:
        self.evacuations.observe_listing(names, self.evacuation_watch.revision)

    def _evacuations_known(self, revision: int) -> None:
        """Record that all evacuations up to ``revision`` are known."""
        if self.evacuations.needs_listing():
            self.evacuation_watch.relist()
        self.evacuations.observe_complete(revision)
        self._confirm_endpoints()

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
        known_to = self.evacuations.complete_to
        if known_to is not None and not self.evacuations.needs_listing():
            self.evacuation_watch.skip_listing(known_to)
            self.evacuation_watch.advance(known_to)
            if self.endpoints.revision is None:
                self._confirm_endpoints()
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
        return ControlTraffic(self.store.calls_by_type, self.exchange.bytes_by_scope, era)

    def gateway_count(self) -> int:
        """Gateways that share limits such as the retry budget, this one included."""
        return self.exchange.gateway_count() if self.exchange else 1

    def local_gateways(self) -> list[str]:
        """Gateways of this data centre that share limits, this one included."""
        return self.exchange.local_gateways() if self.exchange else [self.instance]

    def _endpoint_watch_pause(self) -> float:
        """Seconds between two endpoint watches.

        Each change completes the watches of all watching gateways. With random pauses fewer calls
        are made, as the gateway that receives a change reports it to its peers.
        """
        if self.gateway_count() <= MAX_GATEWAYS_WITHOUT_PAUSE:
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

    def _evacuation_changed(self, stored) -> None:
        change = EvacuationChange(stored.name, stored.revision, not stored.deleted)
        self.evacuations.observe(change)

    def _endpoint_changed(self, stored) -> None:
        self._received_revisions.add(stored.revision)
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

    def local_gateways(self) -> list[str]:
        """Return no names: a single gateway shares nothing."""
        return []


def _are_consecutive(revisions: set[int], after: int, last: int) -> bool:
    """Whether ``revisions`` contains every revision later than ``after`` up to ``last``."""
    return len({revision for revision in revisions if revision > after}) == last - after
