"""One request of a caller and its response."""

from guavacleat.http1.messages import RequestHead

__all__ = ["CallerExchange"]


class CallerExchange:
    """A request and its response.

    ``on_disconnect()``, if set, is called if the caller disconnects before the response is
    complete.

    :param connection: the :class:`~.server.CallerConnection`.
    """

    def __init__(self, connection, head: RequestHead, body: bytes):
        self.connection = connection
        self.head = head
        self.body = body
        self.on_disconnect = None
        self._producer = None
        self.status: int | None = None
        self.ended = False
        self.aborted = False

    @property
    def producer(self):
        """The source of the response, with ``pause()`` and ``resume()`` for backpressure."""
        return self._producer

    @producer.setter
    def producer(self, producer) -> None:
        self._producer = producer
        # The send buffer may be full of the response to the request before.
        if producer is not None and self.paused:
            producer.pause()

    @property
    def paused(self) -> bool:
        """Whether the caller has to read before more of a response is sent."""
        return self.connection.paused

    @property
    def head_sent(self) -> bool:
        """Whether the response head was sent."""
        return self.status is not None

    @property
    def disconnected(self) -> bool:
        return not self.connection.open

    def start_response(
        self, status: int, reason: bytes, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Send the response head; without a content-length header the body is sent in chunks."""
        self.status = status
        self.connection.send_head(status, reason, headers)

    def write(self, data: bytes) -> None:
        self.connection.send_body(data)

    def end(self) -> None:
        """Complete the response."""
        self.ended = True
        self.connection.send_end()

    def respond(self, status: int, headers, body: bytes, reason: bytes = b"") -> None:
        """Send a complete response."""
        self.start_response(status, reason, [*headers, (b"content-length", b"%d" % len(body))])
        if body and self.head.method != b"HEAD":
            self.write(body)
        self.end()

    def abort(self) -> None:
        """Close the connection without completing the response, so that it is seen as truncated."""
        self.ended = True
        self.aborted = True
        self.connection.abort()
