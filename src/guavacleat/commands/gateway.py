"""``guavacleat gateway``: the entry daemon.

With --routes=FILE it also serves plain HTTP routes at --routes_listen, see examples/routes.json5;
SIGHUP reloads that file.
"""

import sys

from absl import flags
from twisted.internet import reactor

from guavacleat.commands.common import FLAGS
from guavacleat.commands.daemon import parse_address, serve, start_logging
from guavacleat.commands.routes import reload_on_hangup, routes_service
from guavacleat.errors import SettingsError
from guavacleat.gateway import GatewayService
from guavacleat.gateway.service import STOP_GRACE_SECONDS

flags.declare_key_flag("listen")
flags.declare_key_flag("store")
flags.DEFINE_string("deployment", None, "Name of the deployment whose configuration to use.")

flags.declare_key_flag("routes")
flags.declare_key_flag("ready_listen")
flags.DEFINE_string(
    "routes_listen", "127.0.0.1:0", "With --routes: host:port to serve the routes on."
)
flags.DEFINE_float(
    "stop_grace",
    STOP_GRACE_SECONDS,
    "Maximum seconds that a graceful stop waits for running streams.",
    lower_bound=0.0,
)


def main(argv):
    del argv
    start_logging()
    gateway = GatewayService(
        reactor,
        parse_address(FLAGS.listen, "listen"),
        FLAGS.store,
        FLAGS.deployment,
        FLAGS.stop_grace,
    )
    if FLAGS.routes:
        _serve_routes()
    serve(gateway, lambda: f"ready gateway http://{gateway.address()}")


def _serve_routes() -> None:
    """Serve the routes file in the gateway's process."""
    try:
        service, reload = routes_service(FLAGS.routes_listen, "routes_listen")
    except SettingsError as exc:
        sys.exit(str(exc))
    reload_on_hangup(service, reload)
    reactor.callWhenRunning(service.start)
    reactor.addSystemEventTrigger("before", "shutdown", service.stop)
