"""Runs a Twisted service as a daemon: logs, the ready line, graceful shutdown on SIGTERM."""

import sys

from eliot import to_file
from twisted.internet import reactor

__all__ = ["parse_address", "serve", "start_logging"]


def start_logging() -> None:
    """Write eliot's JSON lines to standard error; standard output has only the ready line."""
    to_file(sys.stderr)


def parse_address(text: str, flag: str) -> tuple[str, int]:
    """Split ``host:port``; exit with an error that names the flag if it is malformed."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        sys.exit(f"--{flag}={text!r} is not host:port. Remedy: use e.g. --{flag}=127.0.0.1:0.")
    return host, int(port)


def serve(service, ready) -> None:
    """Start ``service``, print ``ready()`` and run the reactor until it is stopped.

    SIGTERM and SIGINT stop the reactor. The service's ``stopService`` runs before shutdown, so it
    can drain and finish open streams.
    """

    def start():
        service.startService()
        print(ready(), flush=True)

    reactor.callWhenRunning(start)
    reactor.addSystemEventTrigger("before", "shutdown", service.stopService)
    reactor.run()
