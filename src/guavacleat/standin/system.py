"""A complete system on loopback in one process: object store, engines, sidecars and a gateway.

The parts listen on separate loopback ports and communicate over TCP as separate processes would,
but share one reactor. Used by ``guavacleat demo`` and the benchmarks.
"""

from pathlib import Path

from twisted.application import service
from twisted.internet import defer, task
from twisted.web.server import Site

import guavacleat
from guavacleat.config import load_settings
from guavacleat.ctl import apply_settings
from guavacleat.gateway import GatewayService
from guavacleat.sidecar import SidecarService
from guavacleat.standin.engine import Engine
from guavacleat.standin.engine_http import EngineApp
from guavacleat.standin.listener import HttpListener
from guavacleat.standin.sequences import EngineSettings
from guavacleat.standin.services import ServiceApp
from guavacleat.standin.store import StoreApp, StoreState
from guavacleat.store import StoreClient

__all__ = ["LocalSystem", "EXAMPLES", "LOOPBACK"]

EXAMPLES = Path(guavacleat.__file__).parent / "examples"
LOOPBACK = "127.0.0.1"
READY_POLL_SECONDS = 0.05
READY_TIMEOUT_SECONDS = 10.0


class LocalSystem(service.MultiService):
    """Starts the parts in dependency order; ``endpoints`` maps endpoint names to service names."""

    def __init__(self, reactor, settings_path, endpoints: dict[str, str], engine_settings=None):
        super().__init__()
        self.reactor = reactor
        self.settings_path = str(settings_path)
        self.endpoints = endpoints
        self.engine_settings = engine_settings or {}
        self.engines_by_name: dict[str, Engine] = {}
        self.plain_services_by_name: dict[str, ServiceApp] = {}
        self.store_state = StoreState(reactor)
        self.store_app = StoreApp(self.store_state)
        self.store = HttpListener(reactor, Site(self.store_app.resource()), (LOOPBACK, 0))
        self.gateway: GatewayService | None = None

    @defer.inlineCallbacks
    def start(self):
        """Start all parts, apply the settings, and fire once the gateway can route."""
        self.store.setServiceParent(self)
        self.startService()
        configured_services = load_settings(self.settings_path).services_by_name
        for name, service_name in self.endpoints.items():
            self._start_endpoint(name, service_name, configured_services[service_name].kind)
        yield apply_settings(StoreClient(self.store.url()), self.settings_path)
        self.gateway = GatewayService(self.reactor, (LOOPBACK, 0), self.store.url())
        self.gateway.setServiceParent(self)
        yield self._wait_until_routable()

    def _start_endpoint(self, name: str, service_name: str, kind: str) -> None:
        if kind == "plain":
            standin = ServiceApp(self.reactor)
            self.plain_services_by_name[name] = standin
        else:
            engine = Engine(self.reactor, EngineSettings(name=name, **self.engine_settings))
            self.engines_by_name[name] = engine
            standin = EngineApp(engine)
        listener = HttpListener(self.reactor, Site(standin.resource()), (LOOPBACK, 0))
        listener.setServiceParent(self)
        SidecarService(
            self.reactor,
            name,
            service_name,
            "local",
            (LOOPBACK, 0),
            listener.url(),
            self.store.url(),
            kind=kind,
        ).setServiceParent(self)

    @defer.inlineCallbacks
    def _wait_until_routable(self):
        services = set(self.endpoints.values())
        waited = 0.0
        while waited < READY_TIMEOUT_SECONDS:
            if self.gateway.config.deployment and all(
                self.gateway.membership.live(name) for name in services
            ):
                return
            yield task.deferLater(self.reactor, READY_POLL_SECONDS, lambda: None)
            waited += READY_POLL_SECONDS
        raise TimeoutError("timed out waiting for the gateway's configuration and endpoints")

    def completions_url(self) -> str:
        return f"http://{self.gateway.address()}/v1/completions"
