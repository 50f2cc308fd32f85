"""An ingress with a routes file and its stand-in endpoints, on loopback in one process."""

from twisted.internet import defer

from guavacleat.forwarding.native import NativeWire
from guavacleat.ingress import IngressService
from guavacleat.ingress.sources import FileSource
from guavacleat.routes.loader import load_routes
from guavacleat.settings import Bounds, ProcessSettings
from guavacleat.standin.listener import HttpListener
from guavacleat.standin.routed import StandinEndpoint

__all__ = ["LocalRoutes"]

LOOPBACK = "127.0.0.1"
STOP_GRACE_SECONDS = 0.5


class LocalRoutes:
    """Runs the ingress and a stand-in, on its own port, for each endpoint in the routes file."""

    def __init__(self, reactor, path):
        self.reactor = reactor
        self.file = load_routes(path)
        self.listeners: list[HttpListener] = []
        self.ingress: IngressService | None = None

    def start(self) -> None:
        for entry in self.file.endpoints:
            endpoint = StandinEndpoint(self.reactor, entry.id)
            listener = HttpListener(self.reactor, endpoint.listener, (LOOPBACK, 0))
            listener.startService()
            self.listeners.append(listener)
            entry.address = (LOOPBACK, listener.port.getHost().port)
        settings = ProcessSettings(
            instance="demo",
            ip=LOOPBACK,
            data_centre="",
            caller_address=(LOOPBACK, 0),
            readiness_address=(LOOPBACK, 0),
            bounds=Bounds(stop_grace=STOP_GRACE_SECONDS),
        )
        source = FileSource(lambda: self.file)
        self.ingress = IngressService(self.reactor, settings, NativeWire(), source, "/ready")
        self.ingress.start()

    @property
    def url(self) -> str:
        return f"http://{LOOPBACK}:{self.ingress.caller_port}"

    @defer.inlineCallbacks
    def stop(self):
        yield self.ingress.stop()
        for listener in self.listeners:
            yield listener.stopService()
