"""Kept connections to endpoints, by address."""

import collections

from twisted.internet import defer, protocol

from guavacleat.http1.client import EndpointConnection

__all__ = ["ConnectionPool"]

# Idle time after which a connection is not used again, where the endpoint names none. Engines
# close idle connections without a word; a request that meets the close is lost unless it may be
# repeated.
IDLE_SECONDS = 4.0
# Kept back from the time that an endpoint names, for the way there.
IDLE_MARGIN_SECONDS = 1.0
CONNECT_SECONDS = 1.0


class ConnectionPool:
    """Gives out connections; the newest idle one first, so that the others can lapse."""

    def __init__(self, reactor, connect_timeout: float = CONNECT_SECONDS):
        self.reactor = reactor
        self.connect_timeout = connect_timeout
        self.idle_by_address: dict[tuple[str, int], collections.deque] = {}
        self.timers_by_connection: dict[EndpointConnection, object] = {}
        self.opened = 0

    def connect(self, address: tuple[str, int]) -> defer.Deferred:
        """Fire with a connection to ``address`` that nobody else uses."""
        idle = self.idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            self._cancel_timer(connection)
            if connection.open:
                return defer.succeed(connection)
        return self.connect_new(address)

    def connect_new(self, address: tuple[str, int]) -> defer.Deferred:
        """Fire with a new connection to ``address``."""
        self.opened += 1
        connector = protocol.ClientCreator(
            self.reactor,
            EndpointConnection,
            lambda connection: self._keep(address, connection),
            lambda connection: self._forget(address, connection),
        )
        return connector.connectTCP(*address, timeout=self.connect_timeout)

    def drop(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address whose endpoint is gone."""
        for connection in self.idle_by_address.pop(address, ()):
            self._cancel_timer(connection)
            connection.abandon()

    def close(self) -> None:
        for address in list(self.idle_by_address):
            self.drop(address)

    def _keep(self, address, connection) -> None:
        seconds = IDLE_SECONDS
        if connection.keep_alive_seconds is not None:
            seconds = max(0.0, connection.keep_alive_seconds - IDLE_MARGIN_SECONDS)
        self.idle_by_address.setdefault(address, collections.deque()).append(connection)
        self.timers_by_connection[connection] = self.reactor.callLater(seconds, connection.abandon)

    def _forget(self, address, connection) -> None:
        self._cancel_timer(connection)
        idle = self.idle_by_address.get(address)
        if idle and connection in idle:
            idle.remove(connection)

    def _cancel_timer(self, connection) -> None:
        timer = self.timers_by_connection.pop(connection, None)
        if timer is not None and timer.active():
            timer.cancel()
