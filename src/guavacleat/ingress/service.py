"""The ingress gateway process: start, readiness, reload, graceful stop."""

import functools

from eliot import log_message
from twisted.internet import defer, task

from guavacleat.admission.account_usage import AccountUsage
from guavacleat.admission.generations import GenerationQueue
from guavacleat.errors import SettingsError
from guavacleat.evacuations import EvacuationRegister
from guavacleat.forwarding.context import ForwardingContext
from guavacleat.forwarding.feedback import EndpointFeedback
from guavacleat.forwarding.isolation import quarantine_refusal
from guavacleat.forwarding.wire import Wire
from guavacleat.http1.body_memory import BodyMemory
from guavacleat.http1.exchange import CallerExchange
from guavacleat.http1.pool import ConnectionPool
from guavacleat.http1.server import CallerListener
from guavacleat.ingress.dispatch import Dispatch
from guavacleat.ingress.lag import LoopLag
from guavacleat.ingress.metrics import IngressMetrics
from guavacleat.membership.entries import EndpointState
from guavacleat.membership.liveness import EndpointProbe
from guavacleat.membership.registry import EndpointRegistry
from guavacleat.membership.status_poll import EndpointStatusPoller
from guavacleat.migration import Evacuator
from guavacleat.peers import PeerTable
from guavacleat.placement import LoadTracker, Placement
from guavacleat.quarantine import CrashTracker, QuarantineGuard
from guavacleat.quarantine.trial_order import TrialOrder
from guavacleat.retries import RetryBudget
from guavacleat.routes import CallerLimits, ServiceTraits
from guavacleat.routes.holder import RouteHolder
from guavacleat.settings import Bounds, ProcessSettings
from guavacleat.stopping import run_stop_step
from guavacleat.throttling import (
    ColdEndpoints,
    DemandMeter,
    EndpointThrottle,
    LimitRegister,
    RateBound,
    ServiceDemand,
    ShareRule,
)

__all__ = ["IngressService"]

# Share of the process's memory for buffered request bodies.
BODY_MEMORY_SHARE = 0.3
# Part of the stop grace reserved for sending the last responses.
STOP_RESERVE_SECONDS = 0.5
# Minimum duration of a stop: requests are served until the balancer notices it, which takes two
# readiness checks, 1 s apart.
STOP_NOTICE_SECONDS = 3.0
STOP_POLL_SECONDS = 0.1
# Time in which the requests to a cold endpoint are counted.
COLD_WINDOW_SECONDS = 1.0
# A burst of connections may arrive within one iteration of the event loop.
LISTEN_BACKLOG = 512
OK = 200
NOT_READY = 503
NOT_FOUND = 404
METRICS_PATH = "/metrics"


class IngressService:
    """One gateway process.

    :param wire: header names and formats.
    :param source: provides routes and endpoints, see ``ingress.sources``.
    :param readiness_path: path of the balancer's readiness check.
    :param metrics_port: additional port that serves ``/metrics``; None for none.
    """

    def __init__(
        self,
        reactor,
        settings: ProcessSettings,
        wire: Wire,
        source,
        readiness_path: str,
        metrics_port: int | None = None,
    ):
        self.reactor = reactor
        self.settings = settings
        self.source = source
        self.readiness_path = readiness_path
        self.metrics_port = metrics_port
        self.stopping = False
        self.holder = RouteHolder()
        self.pool = ConnectionPool(reactor)
        self.registry = EndpointRegistry(
            reactor,
            self._endpoint_leaving,
            self._endpoint_restarted,
            self._endpoint_cold,
            settings.bounds.heartbeat,
        )
        self.evacuations = EvacuationRegister(
            reactor, self._data_centre_evacuated, self._data_centre_restored
        )
        self.load = LoadTracker(reactor)
        self.peers = PeerTable(reactor)
        self.load.peers = self.peers
        self.account_usage = AccountUsage(reactor, self.peers, self._is_known_account)
        self.metrics = IngressMetrics()
        self.loop_lag = LoopLag(reactor)
        self.crash_tracker = CrashTracker(reactor)
        self.crash_tracker.trial_delay = TrialOrder(
            settings.instance, settings.data_centre, source
        ).delay
        quarantine = QuarantineGuard(
            reactor, self.crash_tracker, EndpointProbe(self.pool, self.registry)
        )
        self.limits = LimitRegister(reactor)
        self.demand = DemandMeter(reactor, self.peers)
        self.throttle = EndpointThrottle(
            reactor,
            ColdEndpoints(reactor, self._find_service),
            self.limits,
            share=self._share_rule(),
            cold_bound=_cold_bound(settings.bounds),
            demand=self.demand,
        )
        placement = Placement(
            self.registry,
            self.load,
            settings.data_centre,
            avoided_ids=quarantine.trial_endpoints,
            evacuations=self.evacuations,
            throttle=self.throttle,
            regions_by_data_centre=settings.regions_by_data_centre,
        )
        queue = GenerationQueue(
            reactor, placement, peers=self.peers, account_usage=self.account_usage
        )
        self.load.listeners.append(queue.schedule_dispatch)
        self.peers.on_report = queue.schedule_dispatch
        context = ForwardingContext(
            clock=reactor,
            pool=self.pool,
            wire=wire,
            registry=self.registry,
            load=self.load,
            placement=placement,
            budget=RetryBudget(reactor, settings.bounds, source.gateway_count),
            queue=queue,
            quarantine=quarantine,
            feedback=EndpointFeedback(self.registry, self.throttle),
        )
        self.context = context
        self.crash_tracker.on_crash = self._refuse_quarantined
        self.dispatch = Dispatch(self.holder, context, self.metrics, self.peers)
        self.evacuator = Evacuator(context, self.dispatch.sessions)
        self.endpoint_poller = EndpointStatusPoller(
            reactor,
            self.pool,
            wire,
            self.registry,
            self.load,
            self.peers,
            settings.instance,
        )
        self.caller_listener = CallerListener(
            reactor,
            self.dispatch.handle,
            self._caller_limits,
            self._request_rejected,
            body_memory=BodyMemory(settings.limits.memory_bytes * BODY_MEMORY_SHARE),
        )
        self.status_listener = CallerListener(reactor, self._answer_status_request, CallerLimits)
        self.ports = []

    def _share_rule(self) -> ShareRule:
        settings = self.settings
        return ShareRule(
            settings.instance,
            settings.data_centre,
            settings.regions_by_data_centre,
            self.source,
            self.demand,
        )

    def demands_by_service(self) -> dict[str, ServiceDemand]:
        """This gateway's demand for the services with endpoints that name a limit."""
        entries = map(self.registry.entries_by_id.get, self.limits.limited_ids())
        return self.demand.report({entry.service for entry in entries if entry is not None})

    def _find_service(self, name: str) -> ServiceTraits | None:
        """The service, without limits if it is not listed; None without a configuration."""
        table = self.holder.table
        if table is None:
            return None
        return table.services_by_name.get(name) or ServiceTraits(name, 0)

    def _is_known_account(self, name: str) -> bool:
        """Whether the configuration names the account; False without a configuration."""
        table = self.holder.table
        return table is not None and name in table.account_names

    def _refuse_quarantined(self) -> None:
        """Refuse queued requests that have been quarantined while they waited."""
        self.context.queue.refuse_where(functools.partial(quarantine_refusal, self.context))

    def _data_centre_evacuated(self, data_centre: str) -> None:
        self.evacuator.data_centre_evacuated(data_centre)

    def _data_centre_restored(self, data_centre: str) -> None:
        """Warm up the endpoints of a data centre that may have become cold meanwhile."""
        for entry in self.registry.all_ready():
            if entry.data_centre == data_centre:
                self.throttle.cold.mark_cold(entry)
        self.context.queue.schedule_dispatch()

    def _endpoint_cold(self, entry) -> None:
        self.throttle.cold.mark_cold(entry, entry.cold_for)

    def _endpoint_leaving(self, entry) -> None:
        announced = entry.state is EndpointState.DRAINING
        self.context.quarantine.endpoint_removed(entry.id, announced)
        self.load.forget(entry.id)
        self.throttle.forget(entry.id)
        self.pool.drop(entry.address)
        self.evacuator.endpoint_leaving(entry)

    def _endpoint_restarted(self, previous) -> None:
        self.context.quarantine.endpoint_removed(previous.id, announced=False)
        self.load.forget(previous.id)
        self.throttle.forget(previous.id)
        self.throttle.cold.mark_cold(previous)
        self.pool.drop(previous.address)
        self.evacuator.endpoint_restarted(previous)

    def _caller_limits(self) -> CallerLimits:
        table = self.holder.table
        return table.limits if table is not None else CallerLimits()

    def _request_rejected(self, status: int) -> None:
        """Log a request that was not read: its framing, its size, or no memory for its body."""
        log_message(message_type="request:rejected", status=status)

    @property
    def ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return (
            not self.stopping
            and self.holder.table is not None
            and self.evacuations.complete_to is not None
            and bool(self.registry.entries_by_id)
        )

    @property
    def caller_port(self) -> int:
        """The port for callers, once started."""
        return self.ports[0].getHost().port

    def start(self) -> None:
        """Start the source and listen."""
        self.source.start(self)
        self.endpoint_poller.start()
        self.loop_lag.start()
        self._listen(self.settings.caller_address, self.caller_listener)
        self._listen(self.settings.readiness_address, self.status_listener)
        if self.metrics_port is not None:
            self._listen((self.settings.ip, self.metrics_port), self.status_listener)
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

    def _answer_status_request(self, exchange: CallerExchange) -> None:
        path = exchange.head.path
        if path == self.readiness_path:
            exchange.respond(OK if self.ready else NOT_READY, [], b"")
        elif path == METRICS_PATH:
            exchange.respond(OK, [(b"content-type", b"text/plain")], self._exposition())
        else:
            exchange.respond(NOT_FOUND, [], b"")

    def _exposition(self) -> bytes:
        self.metrics.update_configuration(self.holder, self.source.failures_by_kind())
        self.metrics.update_quarantine(self.crash_tracker)
        self.metrics.update_availability(self.evacuations, self.throttle, self.registry)
        reserves = self.context.placement.engine_chooser.reserves
        self.metrics.update_reserves(reserves.tokens_by_service())
        self.metrics.update_speeds(self.context.placement.engine_speeds.relative_speeds())
        self.metrics.update_accounts(self.account_usage)
        self.metrics.update_queue(self.context.queue.fleet_queues)
        self.metrics.update_control_traffic(self.source.control_traffic())
        self.metrics.loop_lag.set({}, self.loop_lag.longest)
        return self.metrics.exposition()

    def reload(self, settings: ProcessSettings) -> None:
        """Apply changed settings: the bounds; addresses change only at the next start."""
        self.settings = settings
        self.context.budget.bounds = settings.bounds
        self.throttle.cold_bound = _cold_bound(settings.bounds)
        log_message(message_type="process:reloaded", instance=settings.instance)

    def settings_refused(self, error: SettingsError) -> None:
        """Log that changed settings were invalid; the current ones stay in force."""
        log_message(message_type="process:settings-refused", error=str(error))

    def _is_busy(self) -> bool:
        """Whether a request is in progress, or a response is still being sent."""
        return bool(self.dispatch.in_flight) or self.caller_listener.is_sending()

    @defer.inlineCallbacks
    def stop(self):
        """Stop gracefully: report not ready, serve new and running requests, then close."""
        self.stopping = True
        self.caller_listener.closing = True
        began = self.reactor.seconds()
        log_message(message_type="process:stopping", in_flight=self.dispatch.in_flight)
        grace = self.settings.bounds.stop_grace - STOP_RESERVE_SECONDS
        self.dispatch.begin_stop(began + grace)
        run_stop_step(self.source.announce_stop, began + grace)
        while True:
            waited = self.reactor.seconds() - began
            busy = yield run_stop_step(self._is_busy)
            if waited >= grace or (waited >= STOP_NOTICE_SECONDS and not busy):
                break
            run_stop_step(self.dispatch.refuse_queued)
            yield task.deferLater(self.reactor, STOP_POLL_SECONDS)
        # A request may still arrive whole on a connection that stays open.
        self.dispatch.end_stop()
        run_stop_step(self.caller_listener.close_idle)
        run_stop_step(self.source.stop)
        run_stop_step(self.endpoint_poller.stop)
        run_stop_step(self.loop_lag.stop)
        for port in self.ports:
            run_stop_step(port.stopListening)
        log_message(message_type="process:stopped", unfinished=self.dispatch.in_flight)
        yield task.deferLater(self.reactor, STOP_POLL_SECONDS)


def _cold_bound(bounds: Bounds) -> RateBound:
    """By how much the rate of a cold endpoint may be exceeded for a short time."""
    return RateBound(bounds.cold_overshoot, bounds.cold_slack, COLD_WINDOW_SECONDS)
