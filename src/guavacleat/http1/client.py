"""A client connection to an endpoint, with one request at a time.

The response is passed to a :class:`ResponseListener` as it arrives. Data that does not belong to
the current request, such as a second response, closes the connection, so that it cannot be
mistaken for the response to a later request.
"""

import enum

import h11
from twisted.internet import protocol
from twisted.internet.error import ConnectionDone

from guavacleat.http1.chunks import ChunkMeter
from guavacleat.http1.messages import ResponseHead
from guavacleat.http1.sockets import UnreachablePeerDetector, configure_socket, read_send_state

__all__ = ["ResponseListener", "ResponseFailure", "EndpointConnection"]

MAX_RESPONSE_HEAD_BYTES = 32768
# h11 refuses statuses that are too small, but not those that are too large (RFC 9110, section 15).
MAX_STATUS = 599
# Interim responses (103) that may precede a response.
MAX_INTERIM_RESPONSES = 16
# Bounds of what is read of a response that nobody needs, so that its connection can be reused.
MAX_SKIPPED_BYTES = 16384
MAX_SKIP_SECONDS = 0.25


class ResponseFailure(enum.Enum):
    """Why no complete response was received."""

    CLOSED = "connection closed"
    RESET = "connection reset"
    MALFORMED = "not HTTP"
    ABANDONED = "abandoned by this gateway"

    @property
    def closed_by_endpoint(self) -> bool:
        """Whether the endpoint closed or reset the connection, as when it crashes."""
        return self in (ResponseFailure.CLOSED, ResponseFailure.RESET)


class ResponseListener:
    """Receives one response; ``response_completed`` or ``response_failed`` is called last."""

    def response_started(self, head: ResponseHead) -> None: ...

    def response_data_received(self, data: bytes) -> None: ...

    def response_completed(self) -> None: ...

    def response_failed(self, reason: ResponseFailure) -> None: ...


class _SkippedResponse(ResponseListener):
    """Takes the place of the listener of a response that nobody needs.

    :param abandon: called once the rest of the response exceeds the bounds.
    """

    def __init__(self, reactor, abandon):
        self.abandon = abandon
        self.size = 0
        self._timer = reactor.callLater(MAX_SKIP_SECONDS, abandon)

    def response_data_received(self, data):
        self.size += len(data)
        if self.size > MAX_SKIPPED_BYTES:
            self.abandon()

    def response_completed(self):
        self._end()

    def response_failed(self, reason):
        del reason
        self._end()

    def _end(self) -> None:
        if self._timer.active():
            self._timer.cancel()


class EndpointConnection(protocol.Protocol):
    """A connection to one address; ``on_idle(connection)`` is called when it can be reused.

    :param detector: aborts the connection if the endpoint becomes unreachable; None for nothing.
    :ivar request_count: number of requests sent on it.
    :ivar unidentified: whether a response on it didn't name its request. A late copy of such a
        response can't be told from the response to a later request.
    """

    def __init__(self, on_idle, on_closed, detector: UnreachablePeerDetector | None = None):
        self.on_idle = on_idle
        self.on_closed = on_closed
        self.detector = detector
        self.parser = None
        self.listener: ResponseListener | None = None
        self.request_count = 0
        self.open = False
        self.unidentified = False
        self.keep_alive_seconds: float | None = None
        self._paused = False
        self._acknowledged_bytes = 0
        self._interim_responses = 0
        self._chunks = ChunkMeter()

    def connectionMade(self):  # noqa: N802 - Twisted's name
        self.open = True
        configure_socket(self.transport)

    def send(self, method, target, headers, body: bytes, listener: ResponseListener) -> None:
        """Send a request; ``headers`` must not include framing or hop-by-hop headers."""
        self.listener = listener
        self.request_count += 1
        self._interim_responses = 0
        self._chunks = ChunkMeter()
        self.parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)
        framed_headers = [(name, value) for name, value in headers if name != b"content-length"]
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            framed_headers.append((b"content-length", b"%d" % len(body)))
        encoded = self.parser.send(
            h11.Request(method=method, target=target, headers=framed_headers)
        )
        # Written separately: joining them would copy the body.
        self.transport.write(encoded)
        if body:
            self.transport.write(self.parser.send(h11.Data(data=body)))
        if self.detector is not None:
            self.detector.data_sent(self.transport)
        self.parser.send(h11.EndOfMessage())

    def abandon(self) -> None:
        """Close the connection immediately, so that the endpoint stops processing the request."""
        if self.open:
            self.open = False
            self.transport.abortConnection()
        self._fail(ResponseFailure.ABANDONED)

    def skip_rest(self, reactor) -> None:
        """Detach the listener; read a short rest of the response, or close the connection."""
        if self.listener is None:
            return
        self.resume()
        self.listener = _SkippedResponse(reactor, self.abandon)

    def is_taking_request(self) -> bool:
        """Whether the endpoint has acknowledged a part of the request since the last call, but not
        yet all of it.
        """
        state = read_send_state(self.transport) if self.open else None
        if state is None or not state.pending:
            return False
        before, self._acknowledged_bytes = self._acknowledged_bytes, state.acknowledged_bytes
        return state.acknowledged_bytes > before

    def pause(self) -> None:
        """Stop reading the current response, as its receiver is slow."""
        if self.open and self.listener is not None and not self._paused:
            self._paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Read on."""
        if self._paused:
            self._paused = False
            if self.open:
                self.transport.resumeProducing()

    def dataReceived(self, data):  # noqa: N802 - Twisted's name
        if self.listener is None:
            self.abandon()
            return
        self._feed(data)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802 - Twisted's name
        self.open = False
        if self.listener is not None and reason.check(ConnectionDone):
            self._closed_cleanly()
        self._fail(ResponseFailure.RESET)
        self.on_closed(self)

    def _closed_cleanly(self) -> None:
        """Handle a clean close, which completes a response without a length and fails any other."""
        try:
            self.parser.receive_data(b"")
            self._handle(self.parser.next_event())
        except h11.RemoteProtocolError:
            pass  # Incomplete response, reported below.
        self._fail(ResponseFailure.CLOSED)

    def _feed(self, data: bytes) -> None:
        try:
            self.parser.receive_data(data)
            while self.listener is not None and self._handle(self.parser.next_event()):
                pass
        except h11.RemoteProtocolError:
            self._malformed()

    def _handle(self, event) -> bool:
        """Handle an h11 event; return whether more events may follow."""
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.Response):
            if event.status_code > MAX_STATUS:
                self._malformed()
                return False
            self._read_keep_alive(event)
            head = ResponseHead(event.status_code, event.reason, list(event.headers))
            self.listener.response_started(head)
        elif isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                self._malformed()
        elif isinstance(event, h11.Data):
            if self._chunks.is_mostly_framing(len(event.data)):
                self._malformed()
            else:
                self.listener.response_data_received(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._response_ended()
            return False
        elif isinstance(event, h11.ConnectionClosed):
            return False
        return True

    def _response_ended(self) -> None:
        reusable = (
            self.open
            and self.parser.our_state is h11.DONE
            and self.parser.their_state is h11.DONE
            and not self.parser.trailing_data[0]
        )
        listener, self.listener = self.listener, None
        # The end of the response may have arrived together with what filled its receiver's buffer.
        self.resume()
        if reusable:
            self.on_idle(self)
        elif self.open:
            self.open = False
            self.transport.abortConnection()
        listener.response_completed()

    def _read_keep_alive(self, response: h11.Response) -> None:
        values = [value for name, value in response.headers if name == b"keep-alive"]
        for part in b",".join(values).split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.keep_alive_seconds = float(seconds)

    def _malformed(self) -> None:
        if self.open:
            self.open = False
            self.transport.abortConnection()
        self._fail(ResponseFailure.MALFORMED)

    def _fail(self, reason: ResponseFailure) -> None:
        listener, self.listener = self.listener, None
        if listener is not None:
            listener.response_failed(reason)
