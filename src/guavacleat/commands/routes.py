"""Serves HTTP routes from a file; shared by several commands."""

from absl import flags
from twisted.internet import reactor

from guavacleat.commands.common import FLAGS
from guavacleat.commands.daemon import parse_address
from guavacleat.errors import SettingsError
from guavacleat.forwarding.native import NativeWire
from guavacleat.hangup import hangups
from guavacleat.ingress import IngressService
from guavacleat.ingress.sources import FileSource
from guavacleat.settings import ProcessSettings

__all__ = ["reload_on_hangup", "routes_service"]

flags.DEFINE_string("routes", None, "Routes file (JSON with comments), instead of a platform.")
flags.DEFINE_string("ready_listen", "127.0.0.1:0", "With --routes: host:port of /ready, /metrics.")

READINESS_PATH = "/ready"


def routes_service(listen: str, flag: str):
    """Return the service for --routes, and a function that reloads the file.

    :param listen: ``host:port`` to listen on.
    :param flag: the name of the flag that gave ``listen``, for its error message.
    :raises SettingsError: if the file is invalid.
    """
    # Imported lazily: the JSON5 parser is needed with --routes only.
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
    """On SIGHUP call ``reload``; invalid settings are rejected with a log line."""

    def reload_or_refuse():
        try:
            reload()
        except SettingsError as exc:
            service.settings_refused(exc)

    hangups.call(lambda: reactor.callFromThread(reload_or_refuse))
