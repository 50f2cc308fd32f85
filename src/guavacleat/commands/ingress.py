"""``guavacleat ingress``: the gateway in front of HTTP routes.

On the platform it reads the settings file that the platform names, and watches the operators'
configuration and the endpoints' records in the store. With --routes=FILE it needs no platform:
routes and endpoints come from a file, see examples/routes.json5. SIGTERM stops it gracefully;
SIGHUP reloads the settings or the routes.
"""

import sys

from absl import flags
from twisted.internet import reactor

from guavacleat.commands.common import FLAGS
from guavacleat.commands.routes import reload_on_hangup, routes_service
from guavacleat.errors import SettingsError
from guavacleat.ingress import IngressService
from guavacleat.ingress.sources import StoreSource
from guavacleat.logs import log_to_descriptor, log_unhandled_errors
from guavacleat.platform.adapter import PlatformAdapter
from guavacleat.platform.settings import load_process_settings, settings_path

flags.DEFINE_string("settings", None, "Settings file; default: the one that the platform names.")
flags.DEFINE_integer("metrics_port", 9464, "Port of /metrics on the instance's address; 0: none.")
flags.DEFINE_bool("check", False, "Check the settings or routes file and exit.")
flags.declare_key_flag("listen")
flags.declare_key_flag("routes")
flags.declare_key_flag("ready_listen")

STDOUT = 1


def main(argv):
    del argv
    try:
        if FLAGS.routes:
            service, reload = routes_service(FLAGS.listen, "listen")
        else:
            service, reload = _on_platform()
    except SettingsError as exc:
        sys.exit(str(exc))
    if FLAGS.check:
        print(f"{service.settings.instance}: settings are usable")
        return
    log_to_descriptor(STDOUT, reactor.seconds)
    log_unhandled_errors()
    reload_on_hangup(service, reload)
    reactor.callWhenRunning(service.start)
    reactor.addSystemEventTrigger("before", "shutdown", service.stop)
    reactor.run()


def _on_platform():
    """Return the service on the platform, and a function that reloads its settings."""
    path = FLAGS.settings or settings_path()
    settings = load_process_settings(path)
    adapter = PlatformAdapter()
    service = IngressService(
        reactor,
        settings,
        adapter.wire,
        StoreSource(reactor, settings, adapter),
        adapter.readiness_path,
        FLAGS.metrics_port or None,
    )
    return service, lambda: service.reload(load_process_settings(path))
