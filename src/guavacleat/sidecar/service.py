"""Twisted service of the sidecar: thrift listener, endpoint lease, and drain on shutdown."""

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
from guavacleat.stopping import run_stop_step
from guavacleat.store import StoreClient

__all__ = ["CLIENTS_BY_KIND", "SidecarService", "DRAIN_GRACE_SECONDS"]

CLIENTS_BY_KIND = {"engine": EngineClient, "plain": PlainClient}

DRAIN_GRACE_SECONDS = 30.0
IDLE_SWEEP_SECONDS = 1.0
FLUSH_SECONDS = 0.5
ENGINE_REFRESH_SECONDS = 5.0


class SidecarService(service.Service):
    """Sidecar of one endpoint.

    :param name: the endpoint's name in the settings.
    :param service_name: the service the endpoint belongs to.
    :param data_centre: the data centre of the endpoint.
    :param listen: ``(host, port)`` of the thrift listener; port 0 picks a free port.
    :param engine_url: ``http://host:port`` of the local engine or plain service.
    :param store_url: ``http://host:port`` of the object API.
    :param instance: the platform's name of the instance, as in its instance listing.
    :param on_superseded: called after a drain caused by another sidecar that took over the
        endpoint's lease.
    :param headroom: fraction of the engine's memory kept free for outputs longer than expected.
    :param kind: type of the local backend, a key of ``CLIENTS_BY_KIND``.
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
        for periodic in (self.lease.heartbeat, self.idle_sweep, self.engine_refresh):
            periodic.start()
        log_message(message_type="sidecar:started", endpoint=self.name, address=self.record.address)

    def _superseded(self) -> None:
        self.handler.begin_drain().addCallback(lambda _: self.on_superseded())

    @defer.inlineCallbacks
    def stopService(self):  # noqa: N802 - Twisted's name
        """Shut down gracefully: publish draining, wait for open streams, close the listener."""
        # Starts are refused before draining is written to the store, since that write may be slow
        # or fail. Gateways retry refused starts on other endpoints at once.
        drained = self.handler.begin_drain()
        yield run_stop_step(self.lease.mark_draining)
        drained.addTimeout(DRAIN_GRACE_SECONDS, self.reactor)
        try:
            yield drained
        except defer.TimeoutError:
            log_message(
                message_type="sidecar:drain-timeout", open_streams=len(self.handler.streams)
            )
        # The drain ends when the last reply is ready, not when it has been written to its
        # connection. Closing earlier would lose that reply, and the outcome of a non-repeatable
        # call would be reported as unknown.
        yield task.deferLater(self.reactor, FLUSH_SECONDS)
        for periodic in (self.lease.heartbeat, self.idle_sweep, self.engine_refresh):
            periodic.stop()
        yield self.port.stopListening()
        log_message(message_type="sidecar:stopped", endpoint=self.name)
        yield super().stopService()
