"""One caller's connection: requests in turn, each handed whole to a handler.

The handler gets a :class:`CallerExchange` and answers it once. What h11 refuses (two lengths, a
length beside chunks, bad characters) is answered 400 and closed, so that two readers can never
disagree on where a request ends.
"""

import h11
from twisted.internet import protocol

from guavacleat.http1.messages import RequestHead
from guavacleat.http1.sockets import enable_dead_peer_detection

__all__ = ["CallerConnection", "CallerExchange", "CallerListener"]

# Bytes of further requests read ahead while one is being answered; reading goes on to notice a
# caller that leaves.
READ_AHEAD_BYTES = 65536
BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
# Bytes around a header's name and value: colon, space, carriage return and line feed.
HEADER_OVERHEAD_BYTES = 4


class CallerExchange:
    """One request and the way to answer it.

    ``on_disconnect()``, if set, is called when the caller leaves before its answer is complete.
    """

    def __init__(self, connection: "CallerConnection", head: RequestHead, body: bytes):
        self.connection = connection
        self.head = head
        self.body = body
        self.on_disconnect = None
        # Who to tell when the caller reads too slowly: anything with pause() and resume().
        self.source = None
        self.status: int | None = None
        self.ended = False
        self.aborted = False

    @property
    def head_sent(self) -> bool:
        """Whether the head of an answer was sent."""
        return self.status is not None

    @property
    def disconnected(self) -> bool:
        return not self.connection.open

    def start_response(
        self, status: int, reason: bytes, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Send the head; without a content-length header the body goes in chunks."""
        self.status = status
        self.connection.send_head(status, reason, headers)

    def write(self, data: bytes) -> None:
        self.connection.send_body(data)

    def end(self) -> None:
        """The answer is complete."""
        self.ended = True
        self.connection.send_end()

    def respond(self, status: int, headers, body: bytes, reason: bytes = b"") -> None:
        """Send a whole answer."""
        self.start_response(status, reason, [*headers, (b"content-length", b"%d" % len(body))])
        if body and self.head.method != b"HEAD":
            self.write(body)
        self.end()

    def abort(self) -> None:
        """End the connection without completing the answer, so that it cannot look whole."""
        self.ended = True
        self.aborted = True
        self.connection.abort()


class CallerConnection(protocol.Protocol):
    """Serves one caller; ``listener`` is the :class:`CallerListener` it belongs to."""

    def __init__(self, listener: "CallerListener"):
        self.listener = listener
        self.open = False
        self.exchange: CallerExchange | None = None
        self.head: RequestHead | None = None
        self.pieces: list[bytes] = []
        self.size = 0
        self.timer = None
        self.paused = False

    def connectionMade(self):  # noqa: N802 - Twisted's name
        self.open = True
        limits = self.listener.limits()
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_header_bytes)
        enable_dead_peer_detection(self.transport)
        self.transport.registerProducer(self, True)
        self.listener.connections.add(self)
        self._set_timer(limits.idle_timeout, self._idle_too_long)

    def dataReceived(self, data):  # noqa: N802 - Twisted's name
        self.parser.receive_data(data)
        if self.exchange is not None:
            if len(self.parser.trailing_data[0]) > READ_AHEAD_BYTES:
                self.transport.pauseProducing()
            return
        self._read()

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802 - Twisted's name
        del reason
        self.open = False
        self._set_timer(None, None)
        self.listener.connections.discard(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None and not exchange.ended and exchange.on_disconnect is not None:
            exchange.on_disconnect()

    def _read(self) -> None:
        try:
            while self.open and self.exchange is None:
                event = self.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    self._await_more()
                    return
                self._handle(event)
        except h11.RemoteProtocolError as exc:
            self._refuse(exc.error_status_hint or BAD_REQUEST)

    def _await_more(self) -> None:
        limits = self.listener.limits()
        if self.head is not None:
            self._set_timer(limits.idle_timeout, self._request_too_slow)
        elif self.parser.trailing_data[0]:
            if self.timer is None or self.timer.func != self._request_too_slow:
                self._set_timer(limits.header_timeout, self._request_too_slow)
        else:
            self._set_timer(limits.idle_timeout, self._idle_too_long)

    def _handle(self, event) -> None:
        if isinstance(event, h11.Request):
            self._begin_request(event)
        elif isinstance(event, h11.Data):
            self._take_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._request_complete()
        elif isinstance(event, h11.ConnectionClosed):
            self.close()

    def _begin_request(self, event: h11.Request) -> None:
        # h11 bounds only heads that are not yet whole: one that came at once may be larger.
        if _head_bytes(event) > self.listener.limits().max_header_bytes:
            self._refuse(HEADERS_TOO_LARGE)
            return
        names = [name for name, _ in event.headers]
        # h11 lets chunks win over a length; one of the two readers on the way may not.
        if b"transfer-encoding" in names and b"content-length" in names:
            self._refuse(BAD_REQUEST)
            return
        lengths = [value for name, value in event.headers if name == b"content-length"]
        if lengths and int(lengths[0]) > self.listener.limits().max_body_bytes:
            self._refuse(TOO_LARGE)
            return
        self.head = RequestHead(event.method, event.target, list(event.headers))
        self.pieces, self.size = [], 0
        if self.parser.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
            self.transport.write(self.parser.send(go_on))

    def _take_body(self, data: bytes) -> None:
        self.pieces.append(data)
        self.size += len(data)
        if self.size > self.listener.limits().max_body_bytes:
            self._refuse(TOO_LARGE)

    def _request_complete(self) -> None:
        self._set_timer(None, None)
        head, self.head = self.head, None
        exchange = CallerExchange(self, head, b"".join(self.pieces))
        self.pieces = []
        self.exchange = exchange
        self.listener.handle(exchange)

    def _refuse(self, status: int) -> None:
        """Answer a request that could not be read, and close: what follows cannot be told."""
        self.listener.refused(status)
        if self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"content-length", b"0"), (b"connection", b"close")]
            response = h11.Response(status_code=status, headers=headers, reason=b"")
            self.transport.write(self.parser.send(response))
            self.transport.write(self.parser.send(h11.EndOfMessage()))
        self.close()

    def _request_too_slow(self) -> None:
        self._refuse(REQUEST_TIMEOUT)

    def _idle_too_long(self) -> None:
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
        if not self.open:
            return
        if self.parser.our_state is h11.MUST_CLOSE or self.parser.their_state is not h11.DONE:
            self.close()
            return
        self.parser.start_next_cycle()
        self.transport.resumeProducing()
        # Not from within the handler of the answered request: it may still be at work.
        self.listener.reactor.callLater(0, self._read)

    def _send(self, event) -> None:
        if self.open:
            self.transport.write(self.parser.send(event))

    def close(self) -> None:
        """Close after what was written has gone out."""
        self._set_timer(None, None)
        if self.open:
            self.open = False
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def abort(self) -> None:
        if self.open:
            self.open = False
            self.transport.abortConnection()

    def pauseProducing(self):  # noqa: N802 - Twisted's name
        """The caller reads too slowly: called by the transport."""
        self.paused = True
        if self.exchange is not None:
            self.listener.flow_changed(self.exchange, paused=True)

    def resumeProducing(self):  # noqa: N802 - Twisted's name
        self.paused = False
        if self.exchange is not None:
            self.listener.flow_changed(self.exchange, paused=False)

    def stopProducing(self):  # noqa: N802 - Twisted's name
        """The connection is lost; ``connectionLost`` follows."""


def _head_bytes(event: h11.Request) -> int:
    headers = sum(len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in event.headers)
    return len(event.method) + len(event.target) + headers


class CallerListener(protocol.Factory):
    """Accepts callers' connections.

    :param handle: called with each :class:`CallerExchange`.
    :param limits: returns the :class:`~guavacleat.routes.CallerLimits` in force.
    :param refused: called with the status of a request that could not be read.
    """

    noisy = False

    def __init__(self, reactor, handle, limits, refused=lambda status: None):
        self.reactor = reactor
        self.handle = handle
        self.limits = limits
        self.refused = refused
        self.connections: set[CallerConnection] = set()
        self.closing = False

    def buildProtocol(self, addr):  # noqa: N802 - Twisted's name
        del addr
        return CallerConnection(self)

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or answered."""
        for connection in list(self.connections):
            if connection.exchange is None and connection.head is None:
                connection.close()

    def flow_changed(self, exchange: CallerExchange, paused: bool) -> None:
        """Tell the answer's source to wait or go on."""
        if exchange.source is not None:
            (exchange.source.pause if paused else exchange.source.resume)()
