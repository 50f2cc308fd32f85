"""A Twisted service that serves an HTTP factory on a TCP port, for the stand-ins and the demo."""

from twisted.application import service
from twisted.internet import defer

__all__ = ["HttpListener"]


class HttpListener(service.Service):
    """Listens on ``listen``, a (host, port) pair; port 0 picks a free port, see :meth:`url`.

    :ivar crashes: number of simulated crashes.
    """

    def __init__(self, reactor, factory, listen):
        self.reactor = reactor
        self.factory = factory
        self.listen = listen
        self.port = None
        self.crashes = 0
        self._restart = None

    def startService(self):  # noqa: N802 - Twisted's name
        super().startService()
        self._open()

    def _open(self) -> None:
        host, port = self.listen
        self.port = self.reactor.listenTCP(port, self.factory, interface=host)
        # Keeps the port across restarts.
        self.listen = (host, self.port.getHost().port)

    def stopService(self):  # noqa: N802 - Twisted's name
        super().stopService()
        if self._restart is not None and self._restart.active():
            self._restart.cancel()
            return defer.succeed(None)
        return self.port.stopListening()

    def crash(self, seconds: float) -> None:
        """Abort a ``CallerListener``'s connections and refuse new ones for ``seconds``."""
        if self._restart is not None and self._restart.active():
            return
        self.crashes += 1
        self.port.stopListening()
        for connection in list(self.factory.connections):
            connection.transport.abortConnection()
        self._restart = self.reactor.callLater(seconds, self._open)

    def url(self) -> str:
        return f"http://{self.listen[0]}:{self.listen[1]}"
