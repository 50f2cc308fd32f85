"""A paused reactor whose connections lead to the stand-in store over one link of limited rate."""

import collections
import random
from urllib.parse import parse_qs, urlsplit

from twisted.internet.error import ConnectionAborted
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

# Time passes in such steps; the link carries one slice in each.
STEP_SECONDS = 0.01


class Port:
    def stopListening(self):  # noqa: N802 - Twisted's name
        """Nothing is held."""


class LinkReactor(Clock):
    """Time, and connections to one store.

    :param store: the :class:`~tests.platform.store_standin.StoreStandin` at the other end.
    :param bytes_per_second: what the link carries to this side, all connections together.
    """

    def __init__(self, store, bytes_per_second):
        super().__init__()
        self.store = store
        self.bytes_per_second = bytes_per_second
        self.carried = 0
        # Bytes of each answer after which the store falls silent; None: it sends them whole.
        self.stall_after_bytes = None
        self._queue = collections.deque()
        self._carrying = False

    def listenUDP(self, port, protocol, interface=""):  # noqa: N802 - Twisted's name
        return Port()

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):  # noqa: N802, N803
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(Connection(self, protocol))

    def carry(self, connection, data):
        """Bring ``data`` slice by slice, in turn with what other connections are sent."""
        self._queue.append((connection, data))
        if not self._carrying:
            self._carry_next()

    def _carry_next(self):
        self._carrying = bool(self._queue)
        if self._queue:
            connection, data = self._queue.popleft()
            self.callLater(STEP_SECONDS, self._arrive, connection, data)

    def _arrive(self, connection, data):
        slice_bytes = round(self.bytes_per_second * STEP_SECONDS)
        piece, rest = data[:slice_bytes], data[slice_bytes:]
        self.carried += len(piece)
        connection.deliver(piece)
        if rest and not connection.lost:
            self._queue.append((connection, rest))
        self._carry_next()

    def run(self, seconds):
        """Let time pass in steps, so that what is due is done when it is due."""
        self.pump([STEP_SECONDS] * round(seconds / STEP_SECONDS))


class Connection(StringTransport):
    """The side of the gateway; the store answers each request on it."""

    def __init__(self, reactor, protocol):
        super().__init__()
        self.reactor = reactor
        self.owner = protocol
        self.lost = False

    def write(self, data):
        method, url, _ = data.split(b" ", 2)
        asked = self.reactor.store.request(method.decode(), url.decode())
        asked.addCallback(self._answer)
        query = parse_qs(urlsplit(url.decode()).query)
        if "waitMs" in query and not asked.called:
            self.reactor.callLater(int(query["waitMs"][0]) / 1000, self._nothing_new, asked, query)

    def writeSequence(self, data):  # noqa: N802 - Twisted's name
        self.write(b"".join(data))

    def _nothing_new(self, asked, query):
        """The wait is over: an answer without events."""
        store = self.reactor.store
        store.waiting = [waiting for waiting in store.waiting if waiting[2] is not asked]
        if not asked.called:
            asked.callback(store._changes("", int(query["watch"][0])))

    def _answer(self, reply):
        head = b"HTTP/1.1 %d OK\r\ncontent-length: %d\r\n\r\n" % (reply.code, len(reply.body))
        data = head + reply.body
        self.reactor.carry(self, data[: self.reactor.stall_after_bytes])

    def deliver(self, piece):
        if not self.lost:
            self.owner.dataReceived(piece)

    def abortConnection(self):  # noqa: N802 - Twisted's name
        if not self.lost:
            self.lost = True
            reason = Failure(ConnectionAborted())
            self.reactor.callLater(0, self.owner.connectionLost, reason)

    loseConnection = abortConnection  # noqa: N815 - Twisted's name


def seed_waits(source, seed):
    """Make the random waits of a source's watches repeat."""
    for number, watch in enumerate(source.watches):
        watch.random = random.Random(f"{seed}/{number}")
