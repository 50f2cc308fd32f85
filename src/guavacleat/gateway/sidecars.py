"""Pool of Thrift client connections to sidecars, one per address."""

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTwisted
from twisted.internet import defer
from twisted.internet.protocol import ClientCreator

from guavacleat.protocol.gen.sidecar import Sidecar

__all__ = ["SidecarPool"]

CONNECT_TIMEOUT_SECONDS = 2.0


class SidecarPool:
    """Keeps one connection per ``host:port``; a closed one is reopened on next use."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.protocols_by_address: dict[str, TTwisted.ThriftClientProtocol] = {}

    @defer.inlineCallbacks
    def client(self, address: str):
        """Fire with a ``Sidecar.Client`` connected to ``address``."""
        protocol = self.protocols_by_address.get(address)
        if protocol is None or protocol.transport is None or not protocol.transport.connected:
            host, port = address.rsplit(":", 1)
            creator = ClientCreator(
                self.reactor,
                TTwisted.ThriftClientProtocol,
                Sidecar.Client,
                TBinaryProtocol.TBinaryProtocolFactory(),
            )
            protocol = yield creator.connectTCP(host, int(port), timeout=CONNECT_TIMEOUT_SECONDS)
            yield protocol.started
            self.protocols_by_address[address] = protocol
        return protocol.client

    def discard(self, address: str) -> None:
        """Abort the connection to ``address`` after a failed call.

        A stalled connection still counts as connected, so later calls would also time out on it.
        The next :meth:`client` opens a new one.
        """
        protocol = self.protocols_by_address.pop(address, None)
        if protocol is not None and protocol.transport is not None:
            protocol.transport.abortConnection()

    def close(self) -> None:
        for protocol in self.protocols_by_address.values():
            if protocol.transport is not None:
                protocol.transport.loseConnection()
        self.protocols_by_address.clear()
