"""The gateway as a Twisted service: watches configuration and endpoints, serves HTTP."""

from uuid import uuid4

from eliot import log_message
from twisted.application import service
from twisted.internet import defer, task

from guavacleat.admission.dispatcher import Dispatcher
from guavacleat.config.holder import CONFIG_KIND, ConfigHolder
from guavacleat.errors import NotRunError
from guavacleat.evacuations import EvacuationRegister
from guavacleat.evacuations.objects import EVACUATION_KIND, decode_evacuation
from guavacleat.gateway.app import GatewayApp
from guavacleat.gateway.sidecars import SidecarPool
from guavacleat.gateway.site import CompletionsSite
from guavacleat.idempotency import CallRecords
from guavacleat.membership import MembershipView
from guavacleat.membership.instances import InstancePoller
from guavacleat.membership.records import ENDPOINT_KIND
from guavacleat.metrics import StreamMetrics
from guavacleat.quarantine.record import RECORD_KIND, QuarantineRecord
from guavacleat.quarantine.trial_order import TrialSpread
from guavacleat.routing import get_router_by_name
from guavacleat.routing.poll import DigestPoller
from guavacleat.store import StoreClient
from guavacleat.store.watch import WatchLoop
from guavacleat.streams import Relay

__all__ = ["GatewayService", "STOP_GRACE_SECONDS"]

# Default time to wait for running streams; long generations take minutes.
STOP_GRACE_SECONDS = 600.0
STOP_POLL_SECONDS = 0.1
FLUSH_SECONDS = 0.5
RETRY_AFTER_STOPPING_SECONDS = 0.1
ENDPOINT_WATCH_PAUSE_SECONDS = 0.2
ROUTER = "cache-load"


class GatewayService(service.Service):
    """One entry daemon.

    :param reactor: provides TCP and time.
    :param listen: ``(host, port)`` of the HTTP interface; port 0 picks a free one.
    :param store_url: ``http://host:port`` of the object API.
    :param deployment: the name of the deployment whose configuration this gateway uses.
    :param stop_grace: maximum seconds that a graceful stop waits for running streams.
    """

    def __init__(
        self,
        reactor,
        listen,
        store_url,
        deployment: str | None = None,
        stop_grace: float = STOP_GRACE_SECONDS,
    ):
        self.reactor = reactor
        self.listen = listen
        self.stop_grace = stop_grace
        self.store = StoreClient(store_url)
        self.config = ConfigHolder(deployment)
        self.evacuations = EvacuationRegister(reactor)
        self.membership = MembershipView(reactor, uuid4().hex, self.evacuations)
        self.router = get_router_by_name(ROUTER, reactor)
        self.dispatcher = Dispatcher(reactor, self.membership, self.router)
        self.metrics = StreamMetrics()
        self.pool = SidecarPool(reactor)
        self.calls = CallRecords(self.store, reactor)
        self.relay = Relay(reactor, self.membership, self.dispatcher, self.pool, self.metrics)
        # The record is read by the watch.
        self.quarantine_record = QuarantineRecord(
            reactor, self.store, self.relay.crash_tracker, lambda: False
        )
        self.relay.crash_tracker.trial_delay = TrialSpread(uuid4().hex).delay
        self.digest_poller = DigestPoller(reactor, self.membership, self.dispatcher, self.pool)
        self.watches = [
            WatchLoop(reactor, self.store, CONFIG_KIND, self.config.offer),
            WatchLoop(
                reactor,
                self.store,
                ENDPOINT_KIND,
                self._endpoint_changed,
                on_health=self.membership.record_store_health,
                pause=lambda: ENDPOINT_WATCH_PAUSE_SECONDS,
            ),
            self._new_evacuation_watch(),
            WatchLoop(reactor, self.store, RECORD_KIND, self.quarantine_record.observe),
        ]
        self.instance_poller = InstancePoller(
            reactor, self.store, self.membership.set_leaving_instances
        )
        self.in_flight = 0
        self.stopping = False
        self.site = CompletionsSite(GatewayApp(self).resource(), reactor)
        self.port = None

    def _new_evacuation_watch(self) -> WatchLoop:
        register = self.evacuations
        watch = WatchLoop(
            self.reactor,
            self.store,
            EVACUATION_KIND,
            lambda stored: register.observe(decode_evacuation(stored)),
            on_listed=lambda names: register.observe_listing(names, watch.revision),
            on_revision=register.observe_complete,
        )
        return watch

    def _endpoint_changed(self, stored) -> None:
        self.membership.observe(stored.value)

    def startService(self):  # noqa: N802 - Twisted's name
        super().startService()
        for watch in self.watches:
            watch.start()
        self.instance_poller.rounds.start()
        self.digest_poller.rounds.start()
        host, port = self.listen
        self.port = self.reactor.listenTCP(port, self.site, interface=host)
        log_message(message_type="gateway:started", address=self.address())

    def address(self) -> str:
        return f"{self.listen[0]}:{self.port.getHost().port}"

    @defer.inlineCallbacks
    def stopService(self):  # noqa: N802 - Twisted's name
        """Stop gracefully: refuse new requests as not run, let running streams finish."""
        self.stopping = True
        stops_at = self.reactor.seconds() + self.stop_grace
        yield self._wait_while(lambda: self.in_flight, stops_at)
        self.dispatcher.refuse_where(_stop_refusal)
        # Leave time to write the last responses.
        yield task.deferLater(self.reactor, FLUSH_SECONDS)
        yield self._wait_while(self.site.is_sending, stops_at)
        for watch in self.watches:
            watch.stop()
        self.quarantine_record.stop()
        self.instance_poller.rounds.stop()
        self.digest_poller.rounds.stop()
        yield self.port.stopListening()
        self.pool.close()
        log_message(message_type="gateway:stopped", unfinished=self.in_flight)
        yield super().stopService()

    @defer.inlineCallbacks
    def _wait_while(self, is_busy, until: float):
        """Wait while ``is_busy()``, at most until this clock time."""
        while is_busy() and self.reactor.seconds() < until:
            yield task.deferLater(self.reactor, STOP_POLL_SECONDS)

    def status(self) -> dict:
        """The body of ``GET /status``."""
        deployment = self.config.deployment
        return {
            "deployment": deployment.name if deployment else None,
            "config_version": self.config.version,
            "config_outcomes": dict(self.config.counts_by_outcome),
            "endpoints": {
                name: {
                    "service": record.service,
                    "draining": record.draining,
                    "in_flight": self.router.in_flight_by_name.get(name, 0),
                }
                for name, record in sorted(self.membership.records_by_name.items())
            },
            "live": {
                name: [record.name for record in self.membership.live(name)]
                for name in sorted(deployment.services_by_name if deployment else ())
            },
            "evacuated_data_centres": self.evacuations.evacuated_names(),
            "in_flight": self.in_flight,
            "waiting": self.dispatcher.depth(),
            "refused": self.dispatcher.refused,
            "resumes": self.relay.resumes,
            "store_calls": dict(self.store.calls_by_type),
            "store_bytes": self.store.bytes,
            "latency": self.metrics.latencies.summary(),
        }


def _stop_refusal(request) -> NotRunError:
    """The refusal of a request that still waits for an endpoint when the process ends."""
    return NotRunError(
        f"this gateway stops before an endpoint takes the request (service {request.service}).",
        "retry another gateway.",
        retry_after=RETRY_AFTER_STOPPING_SECONDS,
    )
