"""A simulated network: instances on one virtual clock, connected in memory."""

from twisted.internet.address import IPv4Address
from twisted.internet.error import (
    ConnectionAborted,
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    MessageLengthError,
)
from twisted.internet.task import Clock
from twisted.python.failure import Failure

__all__ = ["DEFAULT_RECEIVED_BYTES", "DatagramPort", "Network", "check_datagram"]

# One-way latency between two instances.
DELAY_SECONDS = 0.001
STEP_SECONDS = 0.005
FIRST_FREE_PORT = 20000
# Maximum payload of a UDP datagram over IPv4.
MAX_DATAGRAM_BYTES = 65_507
# Longer datagrams are truncated by a receiver that does not ask for more, as in Twisted.
DEFAULT_RECEIVED_BYTES = 8192


def check_datagram(data):
    """Raise what Twisted raises for a datagram that is too long."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MessageLengthError("message too long")


class _Listening:
    """A listening TCP port."""

    def __init__(self, network, address, factory):
        self.network, self.address, self.factory = network, address, factory

    def getHost(self):  # noqa: N802 - Twisted's name
        return IPv4Address("TCP", *self.address)

    def stopListening(self):  # noqa: N802 - Twisted's name
        if self.network.listening.get(self.address) is self:
            del self.network.listening[self.address]


class DatagramPort:
    """A UDP port, which is also its protocol's transport.

    :param network: delivers datagrams with ``deliver(port, data, address)``.
    """

    def __init__(self, network, address, protocol, max_received_bytes):
        self.network, self.address, self.protocol = network, address, protocol
        self.max_received_bytes = max_received_bytes

    def write(self, data, address):
        check_datagram(data)
        self.network.deliver(self, data, tuple(address))

    def arrive(self, data, source):
        self.protocol.datagramReceived(data[: self.max_received_bytes], source)

    def stopListening(self):  # noqa: N802 - Twisted's name
        self.network.datagram_ports.pop(self.address, None)


class _Transport:
    """One end of a connection."""

    def __init__(self, network):
        self.network = network
        self.other = None
        self.protocol = None
        self.connected = True

    def write(self, data):
        if self.connected:
            self.network.callLater(DELAY_SECONDS, self.other.arrive, bytes(data))

    def writeSequence(self, data):  # noqa: N802 - Twisted's name
        self.write(b"".join(data))

    def arrive(self, data):
        if self.connected:
            self.protocol.dataReceived(data)

    def loseConnection(self):  # noqa: N802 - Twisted's name
        self._close(ConnectionDone(), ConnectionDone())

    def loseWriteConnection(self):  # noqa: N802 - Twisted's name
        """Close; the other end closes its side as soon as it sees that."""
        self.loseConnection()

    def abortConnection(self):  # noqa: N802 - Twisted's name
        self._close(ConnectionAborted(), ConnectionLost())

    def _close(self, local_error, remote_error):
        if self.connected:
            self.network.callLater(0, self.lose, local_error)
            self.network.callLater(DELAY_SECONDS, self.other.lose, remote_error)

    def lose(self, error):
        if self.connected:
            self.connected = False
            self.protocol.connectionLost(Failure(error))

    def registerProducer(self, producer, streaming):  # noqa: N802 - Twisted's name
        """Does nothing: the simulated network has no flow control."""

    def unregisterProducer(self):  # noqa: N802 - Twisted's name
        """See registerProducer."""

    def pauseProducing(self):  # noqa: N802 - Twisted's name
        """See registerProducer."""

    def resumeProducing(self):  # noqa: N802 - Twisted's name
        """See registerProducer."""


class Network(Clock):
    """The reactor shared by all instances.

    :ivar blocked_links: (source, destination) pairs of IPs whose datagrams are dropped.
    :ivar datagram_bytes: total size of the datagrams sent.
    """

    def __init__(self):
        super().__init__()
        self.listening = {}
        self.datagram_ports = {}
        self.blocked_links = set()
        self.datagram_bytes = 0
        self._next_port = FIRST_FREE_PORT

    def listenTCP(self, port, factory, backlog=50, interface=""):  # noqa: N802 - Twisted's name
        if not port:
            self._next_port += 1
            port = self._next_port
        address = (interface, port)
        assert address not in self.listening, f"{address} is in use"
        self.listening[address] = _Listening(self, address, factory)
        return self.listening[address]

    def listenUDP(  # noqa: N802 - Twisted's name
        self,
        port,
        protocol,
        interface="",
        maxPacketSize=DEFAULT_RECEIVED_BYTES,  # noqa: N803 - Twisted's name
    ):
        opened = DatagramPort(self, (interface, port), protocol, maxPacketSize)
        self.datagram_ports[opened.address] = opened
        protocol.transport = opened
        protocol.startProtocol()
        return opened

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):  # noqa: N802, N803
        self.callLater(DELAY_SECONDS, self._connect, (host, port), factory)

    def _connect(self, address, factory):
        listening = self.listening.get(address)
        if listening is None:
            factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
            return
        client, server = _Transport(self), _Transport(self)
        client.other, server.other = server, client
        client.protocol = factory.buildProtocol(IPv4Address("TCP", *address))
        server.protocol = listening.factory.buildProtocol(None)
        client.protocol.makeConnection(client)
        server.protocol.makeConnection(server)

    def deliver(self, sender, data, address):
        """Deliver a datagram after the link delay, unless its link is blocked."""
        self.datagram_bytes += len(data)
        if (sender.address[0], address[0]) not in self.blocked_links:
            self.callLater(DELAY_SECONDS, self._arrive, data, sender.address, address)

    def _arrive(self, data, source, address):
        port = self.datagram_ports.get(address)
        if port is not None:
            port.arrive(data, source)

    def pass_time(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.advance(STEP_SECONDS)
