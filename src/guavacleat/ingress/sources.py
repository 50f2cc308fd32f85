"""Where an ingress learns its routes and endpoints: the platform's store, or a routes file."""

import random

from eliot import log_message

from guavacleat.addresses import format_address
from guavacleat.http1.calls import PooledHttp
from guavacleat.http1.pool import ConnectionPool
from guavacleat.peers import PeerExchange
from guavacleat.settings import ProcessSettings
from guavacleat.store import StoreClient
from guavacleat.store.watch import WatchLoop

__all__ = ["FileSource", "StoreSource"]

# A watch waits this long for a change. A store that goes silent shows only by an answer that does
# not come; this and the call's own time-out bound how long a gateway can be deaf. The time-out
# counts from the last byte, as answers may take seconds of a thin link.
WATCH_SECONDS = 2.0
STORE_CALL_SECONDS = 0.8
# Longest pause between attempts to reach the store: within the time in which a configuration must
# be in force after an outage.
STORE_BACKOFF_SECONDS = 0.5
# So many gateways hear of endpoints without a pause; each more lets all of them pause a little
# longer. With 28, each is deaf for up to 1 s after a change, and some listen at every moment: all
# of them made 116 calls a second of the store in place of 189.
LISTENERS = 8
PAUSE_SECONDS_PER_GATEWAY = 0.05
LONGEST_PAUSE_SECONDS = 1.0


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
        self.holder, self.registry = ingress.holder, ingress.registry
        self.watches = [
            self._watch(
                self.adapter.config_kind,
                self._configuration_changed,
                on_health=self.registry.store_called,
                newest_only=True,
            ),
            self._watch(
                self.adapter.endpoint_kind,
                self._endpoint_changed,
                pause=self._pause,
                on_health=self.registry.store_health,
                on_listed=self.registry.listed,
            ),
        ]
        for watch in self.watches:
            watch.start()
        self.exchange = PeerExchange(
            self.reactor,
            self.store,
            ingress.peers,
            ingress.load,
            self.registry,
            self.instance,
            self.address,
            lambda: self.holder.version,
        )
        host, port = self.address
        self.port = self.reactor.listenUDP(port, self.exchange, interface=host)

    def announce_stop(self, stops_at: float) -> None:
        """Tell the other gateways that this one ends at a clock time at the latest."""
        self.exchange.announce_stop(stops_at)

    def stop(self) -> None:
        self.exchange.stop()
        for watch in self.watches:
            watch.stop()
        self.port.stopListening()

    def failures_by_kind(self) -> dict[str, int]:
        """For each kind of object that is followed, calls in a row that brought no answer."""
        return {watch.kind: watch.failures for watch in self.watches}

    def gateway_count(self) -> int:
        """Gateways that share the retry budget, this one included."""
        return self.exchange.gateway_count() if self.exchange else 1

    def _pause(self) -> float:
        """Seconds between hearing of endpoints and asking for more.

        Each change wakes the watches of all gateways, and each call is paid for. Gateways tell
        each other what they hear, so that with many of them it is enough that some listen.
        """
        idle = max(0, self.gateway_count() - LISTENERS)
        return random.uniform(0.0, min(LONGEST_PAUSE_SECONDS, PAUSE_SECONDS_PER_GATEWAY * idle))

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
        self.registry.listed({entry.id for entry in found.endpoints})

    def announce_stop(self, stops_at: float) -> None:
        """There is nobody to tell."""

    def stop(self) -> None:
        """Nothing is followed."""

    def failures_by_kind(self) -> dict[str, int]:
        """No store is followed."""
        return {}

    def gateway_count(self) -> int:
        """A gateway with a file knows of no others."""
        return 1
