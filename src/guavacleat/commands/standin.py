"""``guavacleat standin engine|store``: stand-ins for the platform, for tests and the demo."""

import sys

from absl import flags
from twisted.application import service
from twisted.internet import reactor
from twisted.web.server import Site

from guavacleat.commands.common import FLAGS
from guavacleat.commands.daemon import parse_address, serve, start_logging
from guavacleat.standin.engine import Engine, EngineSettings
from guavacleat.standin.engine_http import EngineApp
from guavacleat.standin.store import StoreApp, StoreState

flags.declare_key_flag("listen")
flags.declare_key_flag("name")
flags.DEFINE_float("step_ms", 10.0, "Engine: milliseconds per decode step.")
flags.DEFINE_integer("max_batch", 16, "Engine: sequences decoded together.")
flags.DEFINE_integer("kv_capacity", 8192, "Engine: key-value memory, in tokens.")
flags.DEFINE_enum("fencing", "refuse", ["refuse", "ignore"], "Engine: stale orders refused?")
flags.DEFINE_integer("output_length", None, "Engine: fix every output's length (benchmarks).")

KINDS = ("engine", "store")


class HttpService(service.Service):
    """Serves one klein resource on a TCP port."""

    def __init__(self, resource, listen):
        self.resource = resource
        self.listen = listen
        self.port = None

    def startService(self):  # noqa: N802 - Twisted's name
        super().startService()
        host, port = self.listen
        self.port = reactor.listenTCP(port, Site(self.resource), interface=host)

    def url(self) -> str:
        return f"http://{self.listen[0]}:{self.port.getHost().port}"


def build(kind: str, listen) -> HttpService:
    """The HTTP service of stand-in ``kind``."""
    if kind == "store":
        return HttpService(StoreApp(StoreState(reactor)).resource(), listen)
    settings = EngineSettings(
        name=FLAGS.name or "engine",
        step_seconds=FLAGS.step_ms / 1000,
        max_batch=FLAGS.max_batch,
        kv_capacity=FLAGS.kv_capacity,
        fencing=FLAGS.fencing,
        output_length=FLAGS.output_length,
    )
    return HttpService(EngineApp(Engine(reactor, settings)).resource(), listen)


def main(argv):
    if len(argv) != 2 or argv[1] not in KINDS:
        sys.exit(f"usage: guavacleat standin {'|'.join(KINDS)} [--flags]")
    start_logging()
    standin = build(argv[1], parse_address(FLAGS.listen, "listen"))
    serve(standin, lambda: f"ready {argv[1]} {standin.url()}")
