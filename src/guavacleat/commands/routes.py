"""Serving HTTP routes from a file, shared by the commands that can."""

import signal

from absl import flags
from twisted.internet import reactor

from guavacleat.commands.common import FLAGS
from guavacleat.commands.daemon import parse_address
from guavacleat.errors import SettingsError
from guavacleat.forwarding.native import NativeWire
from guavacleat.ingress import IngressService
from guavacleat.ingress.sources import FileSource
from guavacleat.settings import ProcessSettings

__all__ = ["reload_on_hangup", "routes_service"]

flags.DEFINE_string("routes", None, "Routes file (JSON with comments), in place of a platform.")
flags.DEFINE_string("ready_listen", "127.0.0.1:0", "With --routes: host:port of /ready, /metrics.")

READINESS_PATH = "/ready"


def routes_service(listen: str, flag: str):
    """Return the service for --routes at ``host:port``, and what reads the file again.

    ``flag`` names where ``listen`` comes from, for its error. Raises SettingsError.
    """
    # Imported here: a process on the platform needs no parser of JSON with comments.
    from guavacleat.routes.loader import load_routes

    load_routes(FLAGS.routes)
    host, port = parse_address(listen, flag)
    settings = ProcessSettings(
        instance=FLAGS.routes,
        ip=host,
        data_centre="",
        caller_address=(host, port),
        readiness_address=parse_address(FLAGS.ready_listen, "ready_listen"),
    )
    source = FileSource(lambda: load_routes(FLAGS.routes))
    service = IngressService(reactor, settings, NativeWire(), source, READINESS_PATH)
    return service, source.reload


def reload_on_hangup(service: IngressService, reload) -> None:
    """On SIGHUP call ``reload``; settings that cannot be used are refused, with a log line."""

    def read_again():
        try:
            reload()
        except SettingsError as exc:
            service.settings_refused(exc)

    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(read_again))
