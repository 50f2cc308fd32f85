"""The sidecar as a Twisted service: thrift listener, lease, and drain on a planned stop."""

from uuid import uuid4

from eliot import log_message
from thrift.protocol import TBinaryProtocol
from thrift.transport import TTwisted
from twisted.application import service
from twisted.internet import defer, task

from guavacleat.membership import EndpointRecord, Lease
from guavacleat.periodic import Periodic
from guavacleat.protocol.gen.sidecar import Sidecar
from guavacleat.sidecar.engine_client import EngineClient
from guavacleat.sidecar.handler import SidecarHandler
from guavacleat.sidecar.occupancy import HEADROOM
from guavacleat.sidecar.plain_client import PlainClient
from guavacleat.store import StoreClient

__all__ = ["CLIENTS_BY_KIND", "SidecarService", "DRAIN_GRACE_SECONDS"]

CLIENTS_BY_KIND = {"engine": EngineClient, "plain": PlainClient}

DRAIN_GRACE_SECONDS = 30.0
IDLE_SWEEP_SECONDS = 1.0
FLUSH_SECONDS = 0.5
ENGINE_REFRESH_SECONDS = 5.0


class SidecarService(service.Service):
    """Serves one endpoint.

    :param reactor: provides TCP and time.
    :param name: the endpoint's name in the settings.
    :param service_name: the service the endpoint belongs to.
    :param data_centre: where it runs.
    :param listen: ``(host, port)`` for thrift; port 0 picks a free one.
    :param engine_url: ``http://host:port`` of the engine beside it.
    :param store_url: ``http://host:port`` of the object API.
    :param instance: the platform's name for the instance this runs on, as its list gives it.
    :param headroom: share of the engine's memory kept free for longer outputs.
    :param kind: what stands beside it, see ``CLIENTS_BY_KIND``.
    :param on_superseded: called once drained if another sidecar has taken this endpoint over.
    """

    def __init__(
        self,
        reactor,
        name,
        service_name,
        data_centre,
        listen,
        engine_url,
        store_url,
        instance: str = "",
        on_superseded=None,
        headroom: float = HEADROOM,
        kind: str = "engine",
    ):
        self.reactor = reactor
        self.name = name
        self.listen = listen
        self.store = StoreClient(store_url)
        client = CLIENTS_BY_KIND[kind](engine_url)
        self.handler = SidecarHandler(name, client, self.store, reactor, headroom)
        self.record = EndpointRecord(
            name, service_name, data_centre, address="", instance=instance, session=uuid4().hex
        )
        self.on_superseded = on_superseded or (lambda: None)
        self.lease: Lease | None = None
        self.idle_sweep = Periodic(reactor, IDLE_SWEEP_SECONDS, self.handler.cancel_idle)
        self.engine_refresh = Periodic(
            reactor, ENGINE_REFRESH_SECONDS, self.handler.refresh_capacity
        )
        self.port = None

    def startService(self):  # noqa: N802 - Twisted's name
        super().startService()
        processor = Sidecar.Processor(self.handler)
        factory = TTwisted.ThriftServerFactory(processor, TBinaryProtocol.TBinaryProtocolFactory())
        host, port = self.listen
        self.port = self.reactor.listenTCP(port, factory, interface=host)
        self.record.address = f"{host}:{self.port.getHost().port}"
        self.lease = Lease(self.reactor, self.store, self.record, on_superseded=self._superseded)
        for periodic in (self.lease.rounds, self.idle_sweep, self.engine_refresh):
            periodic.start()
        log_message(message_type="sidecar:started", endpoint=self.name, address=self.record.address)

    def _superseded(self) -> None:
        self.handler.begin_drain().addCallback(lambda _: self.on_superseded())

    @defer.inlineCallbacks
    def stopService(self):  # noqa: N802 - Twisted's name
        """Graceful stop: announce draining, let open streams finish, then close."""
        # Refuse new work before telling the store: the write may be slow or lost, and a start
        # accepted meanwhile would be new work for a leaving endpoint. Refused starts are "not
        # run", so gateways send them elsewhere at once.
        drained = self.handler.begin_drain()
        yield self.lease.mark_draining()
        drained.addTimeout(DRAIN_GRACE_SECONDS, self.reactor)
        try:
            yield drained
        except defer.TimeoutError:
            log_message(
                message_type="sidecar:drain-timeout", open_streams=len(self.handler.streams)
            )
        # The drain is over when the last answer is ready, not when it has been sent: stopping at
        # once would close its connection first, and the caller of a call that may not be repeated
        # would be told that it may have run.
        yield task.deferLater(self.reactor, FLUSH_SECONDS)
        for periodic in (self.lease.rounds, self.idle_sweep, self.engine_refresh):
            periodic.stop()
        yield self.port.stopListening()
        log_message(message_type="sidecar:stopped", endpoint=self.name)
        yield super().stopService()
