"""Running a Twisted service as a daemon: logs, the ready line, and a graceful stop on SIGTERM."""

import sys

from eliot import to_file
from twisted.internet import reactor

__all__ = ["parse_address", "serve", "start_logging"]


def start_logging() -> None:
    """Send eliot's JSON lines to standard error; standard output carries only the ready line."""
    to_file(sys.stderr)


def parse_address(text: str, flag: str) -> tuple[str, int]:
    """Split ``host:port``; exit with a message naming the flag if it is malformed."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        sys.exit(f"--{flag}={text!r} is not host:port. Remedy: give e.g. --{flag}=127.0.0.1:0.")
    return host, int(port)


def serve(service, ready) -> None:
    """Start ``service`` when the reactor runs, print ``ready()`` once started, run until stopped.

    SIGTERM and SIGINT stop the reactor; the service's ``stopService`` runs before shutdown, so a
    planned stop is graceful (draining, open streams finished).
    """

    def start():
        service.startService()
        print(ready(), flush=True)

    reactor.callWhenRunning(start)
    reactor.addSystemEventTrigger("before", "shutdown", service.stopService)
    reactor.run()
