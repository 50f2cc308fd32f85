"""The ingress gateway as a process: start, readiness, reload, graceful stop."""

from eliot import log_message
from twisted.internet import defer, task

from guavacleat.addresses import format_address
from guavacleat.errors import SettingsError
from guavacleat.forwarding.parts import ForwardingParts
from guavacleat.http1.calls import PooledHttp
from guavacleat.http1.pool import ConnectionPool
from guavacleat.http1.server import CallerExchange, CallerListener
from guavacleat.ingress.dispatch import Dispatch
from guavacleat.ingress.metrics import IngressMetrics
from guavacleat.membership.registry import EndpointRegistry
from guavacleat.migration import Evacuator
from guavacleat.peers import PeerBook, PeerExchange
from guavacleat.placement import LoadBook, Placement
from guavacleat.retries import RetryBudget
from guavacleat.routes import CallerLimits
from guavacleat.routes.holder import RouteHolder
from guavacleat.settings import ProcessSettings
from guavacleat.store import StoreClient
from guavacleat.store.watch import WatchLoop

__all__ = ["IngressService"]

# A watch waits this long for a change. A store that goes silent shows only by an answer that does
# not come; this and the call's own time-out bound how long a gateway can be deaf.
WATCH_SECONDS = 2.0
STORE_CALL_SECONDS = 0.8
# Longest pause between attempts to reach the store: within the time in which a configuration must
# be in force after an outage.
STORE_BACKOFF_SECONDS = 0.5
# Share of the process's memory that request bodies may hold.
BODIES_SHARE = 0.2
# Part of the stop's grace that is left for the last answers to go out.
STOP_RESERVE_SECONDS = 0.5
# The balancer notices within two questions, a second apart; callers that it sends until then are
# still served.
STOP_NOTICE_SECONDS = 3.0
STOP_POLL_SECONDS = 0.1
# Connections waiting to be accepted; callers of a surge come within one turn of the loop.
LISTEN_BACKLOG = 512
OK = 200
NOT_READY = 503
NOT_FOUND = 404
METRICS_PATH = "/metrics"


class IngressService:
    """One gateway process.

    :param settings: :class:`ProcessSettings`.
    :param adapter: names and formats of the platform: ``wire``, ``dialect``, ``readiness_path``,
        ``config_kind``, ``config_name``, ``endpoint_kind``, ``decode_configuration(spec)`` and
        ``decode_endpoint(id, spec, revision)``.
    :param metrics_port: where ``/metrics`` is served; None for nowhere.
    """

    def __init__(self, reactor, settings: ProcessSettings, adapter, metrics_port=None):
        self.reactor = reactor
        self.settings = settings
        self.adapter = adapter
        self.metrics_port = metrics_port
        self.stopping = False
        self.holder = RouteHolder()
        self.pool = ConnectionPool(reactor)
        self.registry = EndpointRegistry(reactor, self._endpoint_leaving)
        self.load = LoadBook(reactor)
        self.peers = PeerBook(reactor)
        self.load.peers = self.peers
        self.metrics = IngressMetrics()
        parts = ForwardingParts(
            clock=reactor,
            pool=self.pool,
            wire=adapter.wire,
            registry=self.registry,
            load=self.load,
            placement=Placement(self.registry, self.load, settings.data_centre),
            budget=RetryBudget(reactor, settings.bounds, self._gateway_count),
        )
        self.parts = parts
        bodies = int(settings.limits.memory_bytes * BODIES_SHARE)
        self.dispatch = Dispatch(self.holder, parts, self.metrics, bodies)
        self.evacuator = Evacuator(parts, self.dispatch.sessions, self.peers)
        self.callers = CallerListener(reactor, self.dispatch.handle, self._caller_limits)
        self.questions = CallerListener(reactor, self._answer_question, CallerLimits)
        self.watches = self._watches()
        self.exchange = PeerExchange(
            reactor,
            self.store,
            self.peers,
            self.load,
            self.registry,
            settings.instance,
            self._peer_address(),
        )
        self.ports = []

    def _watches(self) -> list[WatchLoop]:
        store = StoreClient(
            f"http://{format_address(self.settings.store_address)}",
            http=PooledHttp(self.reactor, ConnectionPool(self.reactor)),
            dialect=self.adapter.dialect,
            call_timeout=STORE_CALL_SECONDS,
        )
        self.store = store
        return [
            WatchLoop(
                self.reactor,
                store,
                self.adapter.config_kind,
                self._configuration_changed,
                wait=WATCH_SECONDS,
                backoff_max=STORE_BACKOFF_SECONDS,
            ),
            WatchLoop(
                self.reactor,
                store,
                self.adapter.endpoint_kind,
                self._endpoint_changed,
                wait=WATCH_SECONDS,
                on_health=self.registry.store_health,
                on_listed=self.registry.listed,
                backoff_max=STORE_BACKOFF_SECONDS,
            ),
        ]

    def _peer_address(self) -> tuple[str, int]:
        return self.settings.ip, self.settings.peer_ports[0]

    def _configuration_changed(self, stored) -> None:
        if stored.name == self.adapter.config_name and not stored.deleted:
            self.holder.offer(self.adapter.decode_configuration(stored.value))

    def _endpoint_changed(self, stored) -> None:
        if stored.deleted:
            self.registry.remove(stored.name, stored.revision)
            return
        entry = self.adapter.decode_endpoint(stored.name, stored.value, stored.revision)
        self.registry.observe(entry)

    def _endpoint_leaving(self, entry) -> None:
        self.load.forget(entry.id)
        self.pool.drop(entry.address)
        self.evacuator.leaving(entry)

    def _gateway_count(self) -> int:
        return max(1, self.exchange.gateway_count())

    def _caller_limits(self) -> CallerLimits:
        table = self.holder.table
        return table.limits if table is not None else CallerLimits()

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return (
            not self.stopping
            and self.holder.table is not None
            and bool(self.registry.entries_by_id)
        )

    def start(self) -> None:
        """Listen and begin to follow the store."""
        for watch in self.watches:
            watch.start()
        self._listen(self.settings.caller_address, self.callers)
        self._listen(self.settings.readiness_address, self.questions)
        host, port = self._peer_address()
        self.ports.append(self.reactor.listenUDP(port, self.exchange, interface=host))
        if self.metrics_port is not None:
            self._listen((self.settings.ip, self.metrics_port), self.questions)
        log_message(
            message_type="process:started",
            instance=self.settings.instance,
            data_centre=self.settings.data_centre,
        )

    def _listen(self, address, factory) -> None:
        host, port = address
        self.ports.append(
            self.reactor.listenTCP(port, factory, backlog=LISTEN_BACKLOG, interface=host)
        )

    def _answer_question(self, exchange: CallerExchange) -> None:
        path = exchange.head.path
        if path == self.adapter.readiness_path:
            exchange.answer(OK if self.ready else NOT_READY, [], b"")
        elif path == METRICS_PATH:
            exchange.answer(OK, [(b"content-type", b"text/plain")], self.metrics.exposition())
        else:
            exchange.answer(NOT_FOUND, [], b"")

    def reload(self, settings: ProcessSettings) -> None:
        """Take in changed settings: the bounds; addresses stay until the next start."""
        self.settings = settings
        self.parts.budget.bounds = settings.bounds
        log_message(message_type="process:reloaded", instance=settings.instance)

    def settings_refused(self, error: SettingsError) -> None:
        """Changed settings could not be used: those in force stay."""
        log_message(message_type="process:settings-refused", error=str(error))

    @defer.inlineCallbacks
    def stop(self):
        """Graceful stop: no longer ready, serve what comes and what runs, then close."""
        self.stopping = True
        self.callers.closing = True
        began = self.reactor.seconds()
        log_message(message_type="process:stopping", in_flight=self.dispatch.in_flight)
        grace = self.settings.bounds.stop_grace - STOP_RESERVE_SECONDS
        while True:
            waited = self.reactor.seconds() - began
            if waited >= grace or (waited >= STOP_NOTICE_SECONDS and not self.dispatch.in_flight):
                break
            yield task.deferLater(self.reactor, STOP_POLL_SECONDS)
        self.callers.close_idle()
        self.exchange.stop()
        for watch in self.watches:
            watch.stop()
        for port in self.ports:
            port.stopListening()
        log_message(message_type="process:stopped", unfinished=self.dispatch.in_flight)
        yield task.deferLater(self.reactor, STOP_POLL_SECONDS)
