"""``guavacleat standin engine|store|services|routed``: stand-ins for tests and demos."""

import sys

from absl import flags
from twisted.internet import reactor
from twisted.web.server import Site

from guavacleat.commands.common import FLAGS
from guavacleat.commands.daemon import parse_address, serve, start_logging
from guavacleat.standin.engine import Engine
from guavacleat.standin.engine_http import EngineApp
from guavacleat.standin.listener import HttpListener
from guavacleat.standin.routed import EndpointFault, StandinEndpoint
from guavacleat.standin.sequences import EngineSettings
from guavacleat.standin.services import ServiceApp
from guavacleat.standin.store import StoreApp, StoreState, restore_at_intervals

flags.declare_key_flag("listen")
flags.declare_key_flag("name")
flags.DEFINE_float("step_ms", 10.0, "Engine: milliseconds per decode step.")
flags.DEFINE_integer("max_batch", 16, "Engine: maximum sequences in a batch.")
flags.DEFINE_integer("kv_capacity", 8192, "Engine: KV cache capacity in tokens.")
flags.DEFINE_enum(
    "fencing", "refuse", ["refuse", "ignore"], "Engine: what it does with stale orders."
)
flags.DEFINE_integer("output_length", None, "Engine: fixed length of every output, for benchmarks.")

flags.DEFINE_float("work_ms", 20.0, "Services: milliseconds per call.")

flags.DEFINE_enum(
    "fault", "none", [fault.value for fault in EndpointFault], "Routed: the fault to simulate."
)
flags.DEFINE_float("restart_seconds", 1.0, "Routed: seconds until it restarts after a crash.")
flags.DEFINE_float(
    "restore_every", None, "Store: seconds between restores; each from a copy half that old."
)

KINDS = ("engine", "store", "services", "routed")


def build(kind: str, listen) -> HttpListener:
    """Return the HTTP service of stand-in ``kind``."""
    if kind == "store":
        state = StoreState(reactor)
        if FLAGS.restore_every is not None:
            restore_at_intervals(reactor, state, FLAGS.restore_every)
        return HttpListener(reactor, Site(StoreApp(state).resource()), listen)
    if kind == "services":
        return HttpListener(
            reactor, Site(ServiceApp(reactor, FLAGS.work_ms / 1000).resource()), listen
        )
    if kind == "routed":
        endpoint = StandinEndpoint(reactor, FLAGS.name or "routed", EndpointFault(FLAGS.fault))
        listener = HttpListener(reactor, endpoint.listener, listen)
        endpoint.on_crash = lambda: listener.crash(FLAGS.restart_seconds)
        return listener
    settings = EngineSettings(
        name=FLAGS.name or "engine",
        step_seconds=FLAGS.step_ms / 1000,
        max_batch=FLAGS.max_batch,
        kv_capacity=FLAGS.kv_capacity,
        fencing=FLAGS.fencing,
        output_length=FLAGS.output_length,
    )
    return HttpListener(reactor, Site(EngineApp(Engine(reactor, settings)).resource()), listen)


def main(argv):
    if len(argv) != 2 or argv[1] not in KINDS:
        sys.exit(f"usage: guavacleat standin {'|'.join(KINDS)} [--flags]")
    start_logging()
    standin = build(argv[1], parse_address(FLAGS.listen, "listen"))
    serve(standin, lambda: f"ready {argv[1]} {standin.url()}")
