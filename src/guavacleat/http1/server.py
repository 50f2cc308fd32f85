"""HTTP server for callers' connections; requests on a connection are handled one after another.

The handler receives a :class:`~.exchange.CallerExchange` with a complete request and responds to
it once. Requests with ambiguous framing, such as two lengths, are rejected with 400 and the
connection is closed, which prevents request smuggling.
"""

import h11
from twisted.internet import protocol

from guavacleat.http1.body_memory import BodyMemory
from guavacleat.http1.chunks import ChunkMeter
from guavacleat.http1.closing import ConnectionCloser
from guavacleat.http1.exchange import CallerExchange
from guavacleat.http1.messages import RequestHead
from guavacleat.http1.sockets import UnreachablePeerDetector, configure_socket

__all__ = ["CallerConnection", "CallerListener"]

# Limit on the pipelined data that is buffered while a request is processed, or while the caller
# doesn't read the responses. Reading continues meanwhile in order to detect a disconnect.
READ_AHEAD_BYTES = 65536
# Responses that a caller doesn't read, beyond the transport's send buffer, before its pipelined
# requests wait.
MAX_UNSENT_BYTES = 65536
BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
UNAVAILABLE = 503
# Bodies are sent and released within about this time.
RETRY_AFTER_NO_MEMORY_SECONDS = 0.5
# Colon, space, carriage return and line feed of a header line.
HEADER_OVERHEAD_BYTES = 4


class CallerConnection(protocol.Protocol):
    """A connection from a caller, accepted by ``listener``."""

    def __init__(self, listener: "CallerListener"):
        self.listener = listener
        self.open = False
        self.exchange: CallerExchange | None = None
        self.head: RequestHead | None = None
        self.body = bytearray()
        self.meter = ChunkMeter()
        # Bytes of the current request's body for which memory is reserved.
        self.reserved = 0
        # Bytes written since the transport's send buffer was full.
        self.unsent = 0
        self.timer = None
        self.paused = False
        # Set once this side closes the connection, unless it aborts it.
        self.closer: ConnectionCloser | None = None

    def connectionMade(self):  # noqa: N802 - Twisted's name
        self.open = True
        limits = self.listener.limits()
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_header_bytes)
        configure_socket(self.transport)
        self.transport.registerProducer(self, True)
        self.listener.connections.add(self)
        self._set_timer(limits.idle_timeout, self._idle_timed_out)

    def dataReceived(self, data):  # noqa: N802 - Twisted's name
        if self.closer is not None:
            self.closer.data_discarded()
            return
        self.parser.receive_data(data)
        if self.exchange is not None or self._is_backed_up():
            self._read_ahead()
            return
        self._read()

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802 - Twisted's name
        del reason
        self.open = False
        self._set_timer(None, None)
        if self.closer is not None:
            self.closer.connection_lost()
        self._release_memory()
        self._buffer_drained()
        self.listener.connections.discard(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None and not exchange.ended and exchange.on_disconnect is not None:
            exchange.on_disconnect()

    def _read_ahead(self) -> None:
        """Read on unless enough pipelined data is buffered."""
        if len(self.parser.trailing_data[0]) > READ_AHEAD_BYTES:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def _is_backed_up(self) -> bool:
        """Whether the caller has to read before more requests are handled."""
        return self.unsent > MAX_UNSENT_BYTES

    def _read(self) -> None:
        try:
            while self.open and self.exchange is None and not self._is_backed_up():
                event = self.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    self._wait_for_data()
                    return
                self._handle(event)
            if self.open and self.exchange is None:
                # The caller has to read first.
                self._set_timer(self.listener.limits().idle_timeout, self._idle_timed_out)
        except h11.RemoteProtocolError as exc:
            self._reject(exc.error_status_hint or BAD_REQUEST)

    def _wait_for_data(self) -> None:
        self.transport.resumeProducing()
        limits = self.listener.limits()
        if self.head is not None:
            self._set_timer(limits.idle_timeout, self._request_timed_out)
        elif self.parser.trailing_data[0]:
            if self.timer is None or self.timer.func != self._request_timed_out:
                self._set_timer(limits.header_timeout, self._request_timed_out)
        else:
            self._set_timer(limits.idle_timeout, self._idle_timed_out)

    def _handle(self, event) -> None:
        if isinstance(event, h11.Request):
            self._begin_request(event)
        elif isinstance(event, h11.Data):
            self._body_received(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._request_complete()
        elif isinstance(event, h11.ConnectionClosed):
            self.close()

    def _begin_request(self, event: h11.Request) -> None:
        # h11 limits only incomplete heads: one received in a single read may be larger.
        if _head_bytes(event) > self.listener.limits().max_header_bytes:
            self._reject(HEADERS_TOO_LARGE)
            return
        names = [name for name, _ in event.headers]
        # h11 prefers chunked encoding over a length; another parser on the path may not.
        if b"transfer-encoding" in names and b"content-length" in names:
            self._reject(BAD_REQUEST)
            return
        lengths = [value for name, value in event.headers if name == b"content-length"]
        if lengths and int(lengths[0]) > self.listener.limits().max_body_bytes:
            self._reject(TOO_LARGE)
            return
        if lengths and not self._reserve_memory(int(lengths[0])):
            return
        self.head = RequestHead(event.method, event.target, list(event.headers))
        self.body, self.meter = bytearray(), ChunkMeter()
        if self.parser.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(
                status_code=100, headers=[], reason=b"Continue"
            )
            self.transport.write(self.parser.send(informational))

    def _body_received(self, data: bytes) -> None:
        self.body += data
        size = len(self.body)
        if size > self.listener.limits().max_body_bytes:
            self._reject(TOO_LARGE)
        elif self.meter.is_mostly_framing(len(data)):
            self._reject(BAD_REQUEST)
        elif size > self.reserved:
            self._reserve_memory(size - self.reserved)

    def _reserve_memory(self, size: int) -> bool:
        """Reserve memory for a part of the body; without it, reject the request unread."""
        if self.listener.body_memory.reserve(size, self.reserved):
            self.reserved += size
            return True
        retry_after = b"%g" % RETRY_AFTER_NO_MEMORY_SECONDS
        self._reject(UNAVAILABLE, [(b"retry-after", retry_after)])
        return False

    def _release_memory(self) -> None:
        self.listener.body_memory.release(self.reserved)
        self.reserved = 0

    def _request_complete(self) -> None:
        self._set_timer(None, None)
        head, self.head = self.head, None
        exchange = CallerExchange(self, head, bytes(self.body))
        self.body = bytearray()
        self.exchange = exchange
        self.listener.handle(exchange)

    def _reject(self, status: int, extra_headers=()) -> None:
        """Send an error response and close, since the start of the next request is unknown."""
        self.listener.on_rejected(status)
        self.body = bytearray()
        self._release_memory()
        if self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"content-length", b"0"), (b"connection", b"close"), *extra_headers]
            response = h11.Response(status_code=status, headers=headers, reason=b"")
            self.transport.write(self.parser.send(response))
            self.transport.write(self.parser.send(h11.EndOfMessage()))
        self.close(linger=True)

    def _request_timed_out(self) -> None:
        self._reject(REQUEST_TIMEOUT)

    def _idle_timed_out(self) -> None:
        self.close()

    def _set_timer(self, seconds: float | None, expired) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        if seconds is not None:
            self.timer = self.listener.reactor.callLater(seconds, expired)

    def send_head(self, status: int, reason: bytes, headers) -> None:
        if self.listener.closing:
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers, reason=reason)
        self._send(response)

    def send_body(self, data: bytes) -> None:
        self._send(h11.Data(data=data))

    def send_end(self) -> None:
        self._send(h11.EndOfMessage())
        self.exchange = None
        self._release_memory()
        if not self.open:
            return
        if self.parser.our_state is h11.MUST_CLOSE or self.parser.their_state is not h11.DONE:
            self.close(linger=True)
            return
        self.parser.start_next_cycle()
        self._read_ahead()
        # Deferred, because the handler of this request may not have returned yet.
        self.listener.reactor.callLater(0, self._read)

    def _send(self, event) -> None:
        if not self.open:
            return
        data = self.parser.send(event)
        self.transport.write(data)
        self.listener.detector.data_sent(self.transport)
        if self.paused:
            self.unsent += len(data)
            self.listener.body_memory.add_unsent(len(data))

    def _buffer_drained(self) -> None:
        self.listener.body_memory.remove_unsent(self.unsent)
        self.unsent = 0

    def close(self, linger: bool = False) -> None:
        """Close after sending the buffered data.

        :param linger: whether to read on until the caller has the response to a request of which
            it may still send the rest. A caller whose request crosses the close of an idle
            connection must not see it read, so that it can safely repeat it.
        """
        self._set_timer(None, None)
        if self.open:
            self.open = False
            self.closer = ConnectionCloser(
                self.listener.reactor,
                self.transport,
                self.listener.detector.read_state,
                self.listener.limits().idle_timeout,
                linger,
            )

    def abort(self) -> None:
        if self.open:
            self.open = False
            self.transport.abortConnection()

    def is_sending(self) -> bool:
        """Whether the caller has not acknowledged all data that was sent."""
        state = self.listener.detector.read_state(self.transport)
        return state is not None and state.pending

    def pauseProducing(self):  # noqa: N802 - Twisted's name
        """Called by the transport when its send buffer is full."""
        self.paused = True
        if self.exchange is not None:
            self.listener.flow_changed(self.exchange, paused=True)

    def resumeProducing(self):  # noqa: N802 - Twisted's name
        self.paused = False
        self._buffer_drained()
        if self.exchange is not None:
            self.listener.flow_changed(self.exchange, paused=False)
        else:
            self._read_ahead()
            self._read()

    def stopProducing(self):  # noqa: N802 - Twisted's name
        """The connection is lost; ``connectionLost`` follows."""


def _head_bytes(event: h11.Request) -> int:
    headers = sum(len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in event.headers)
    return len(event.method) + len(event.target) + headers


class CallerListener(protocol.Factory):
    """Protocol factory of :class:`CallerConnection`.

    :param handle: called with each :class:`~.exchange.CallerExchange`.
    :param limits: returns the current :class:`~guavacleat.routes.CallerLimits`.
    :param on_rejected: called with the response status of each rejected request.
    :param body_memory: the :class:`~.body_memory.BodyMemory` of the requests; None for no limit.
    """

    noisy = False

    def __init__(
        self,
        reactor,
        handle,
        limits,
        on_rejected=lambda status: None,
        body_memory: BodyMemory | None = None,
    ):
        self.reactor = reactor
        self.handle = handle
        self.limits = limits
        self.on_rejected = on_rejected
        self.body_memory = body_memory or BodyMemory()
        self.detector = UnreachablePeerDetector(reactor)
        self.connections: set[CallerConnection] = set()
        self.closing = False

    def buildProtocol(self, addr):  # noqa: N802 - Twisted's name
        del addr
        return CallerConnection(self)

    def is_sending(self) -> bool:
        """Whether callers have yet to receive a part of a response that has ended."""
        return any(connection.is_sending() for connection in self.connections)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self.connections):
            if connection.exchange is None and connection.head is None:
                connection.close()

    def flow_changed(self, exchange: CallerExchange, paused: bool) -> None:
        """Pause or resume the producer of the response."""
        if exchange.producer is not None:
            (exchange.producer.pause if paused else exchange.producer.resume)()
