"""``guavacleat ingress``: the gateway in front of HTTP routes, on the users' platform.

It reads the settings file that the platform names, follows the operators' configuration and the
endpoints' entries in the store, and stops gracefully on SIGTERM. SIGHUP reads the settings again.
"""

import signal
import sys

from absl import flags
from twisted.internet import reactor

from guavacleat.errors import SettingsError
from guavacleat.ingress import IngressService
from guavacleat.logs import log_to_descriptor
from guavacleat.platform.adapter import PlatformAdapter
from guavacleat.platform.settings import load_process_settings, settings_path

FLAGS = flags.FLAGS
flags.DEFINE_string("settings", None, "Settings file; by default the one that the platform names.")
flags.DEFINE_integer("metrics_port", 9464, "Port of /metrics on the instance's address; 0: none.")
flags.DEFINE_bool("check", False, "Check the settings file and exit.")

STDOUT = 1


def main(argv):
    del argv
    path = FLAGS.settings or settings_path()
    try:
        settings = load_process_settings(path)
    except SettingsError as exc:
        sys.exit(str(exc))
    if FLAGS.check:
        print(f"{path}: settings of {settings.instance} are usable")
        return
    log_to_descriptor(STDOUT, reactor.seconds)
    service = IngressService(reactor, settings, PlatformAdapter(), FLAGS.metrics_port or None)
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(_reload, service, path))
    reactor.callWhenRunning(service.start)
    reactor.addSystemEventTrigger("before", "shutdown", service.stop)
    reactor.run()


def _reload(service: IngressService, path: str) -> None:
    try:
        service.reload(load_process_settings(path))
    except SettingsError as exc:
        service.settings_refused(exc)
