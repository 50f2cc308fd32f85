"""Pool of keep-alive connections to endpoints, by address."""

import collections

from twisted.internet import defer, protocol

from guavacleat.http1.client import EndpointConnection
from guavacleat.http1.sockets import UnreachablePeerDetector

__all__ = ["ConnectionPool"]

# Idle time after which a connection is closed, unless the endpoint's keep-alive header sets one.
# A request sent while the endpoint closes the connection fails, and not all can be retried.
DEFAULT_IDLE_SECONDS = 4.0
# Subtracted from the endpoint's keep-alive timeout, to allow for network latency.
KEEP_ALIVE_MARGIN_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 1.0


class ConnectionPool:
    """Connection pool; reuses the most recently idle connection, so that the others expire."""

    def __init__(self, reactor, connect_timeout: float = CONNECT_TIMEOUT_SECONDS):
        self.reactor = reactor
        self.connect_timeout = connect_timeout
        self.idle_by_address: dict[tuple[str, int], collections.deque] = {}
        self.timers_by_connection: dict[EndpointConnection, object] = {}
        self.opened_count = 0
        self.detector = UnreachablePeerDetector(reactor)

    def connect(self, address: tuple[str, int], identified: bool = False) -> defer.Deferred:
        """Fire with an idle connection to ``address``, or with a new one.

        :param identified: whether a late copy of an earlier response must be told from the response
            to the next request; connections on which that is impossible are left to others.
        """
        while (connection := self._newest_idle(address, identified)) is not None:
            self.idle_by_address[address].remove(connection)
            self._cancel_timer(connection)
            if connection.open:
                return defer.succeed(connection)
        return self.connect_new(address)

    def _newest_idle(self, address: tuple[str, int], identified: bool) -> EndpointConnection | None:
        """The connection to use next; the unidentified ones first, as few requests can use them."""
        idle = self.idle_by_address.get(address, ())
        # The newest of each kind, as they are in the order of use.
        newest = {connection.unidentified: connection for connection in idle}
        if identified:
            return newest.get(False)
        return newest.get(True) or newest.get(False)

    def connect_new(self, address: tuple[str, int]) -> defer.Deferred:
        """Fire with a new connection to ``address``."""
        self.opened_count += 1
        connector = protocol.ClientCreator(
            self.reactor,
            EndpointConnection,
            lambda connection: self.release(address, connection),
            lambda connection: self._remove(address, connection),
            self.detector,
        )
        return connector.connectTCP(*address, timeout=self.connect_timeout)

    def drop(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""
        for connection in self.idle_by_address.pop(address, ()):
            self._cancel_timer(connection)
            connection.abandon()

    def close(self) -> None:
        for address in list(self.idle_by_address):
            self.drop(address)

    def release(self, address: tuple[str, int], connection: EndpointConnection) -> None:
        """Keep an idle connection for a later request."""
        seconds = DEFAULT_IDLE_SECONDS
        if connection.keep_alive_seconds is not None:
            seconds = max(0.0, connection.keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS)
        self.idle_by_address.setdefault(address, collections.deque()).append(connection)
        self.timers_by_connection[connection] = self.reactor.callLater(seconds, connection.abandon)

    def _remove(self, address, connection) -> None:
        self._cancel_timer(connection)
        idle = self.idle_by_address.get(address)
        if idle and connection in idle:
            idle.remove(connection)

    def _cancel_timer(self, connection) -> None:
        timer = self.timers_by_connection.pop(connection, None)
        if timer is not None and timer.active():
            timer.cancel()
