"""HTTP calls over pooled connections that return a complete response."""

from urllib.parse import urlsplit

from twisted.internet import defer

from guavacleat.addresses import format_address
from guavacleat.http1.client import ResponseFailure, ResponseListener
from guavacleat.http1.messages import ResponseHead
from guavacleat.http1.pool import ConnectionPool

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_LISTING_BYTES",
    "CallBrokenError",
    "NotConnectedError",
    "PooledHttp",
    "Response",
    "ResponseTooLargeError",
    "call",
]


# Maximum sizes of the body of a response: an endpoint's, and one of the store, which may list
# all objects of a kind.
MAX_BODY_BYTES = 1 << 20
MAX_LISTING_BYTES = 32 << 20
# Timeout of a call until its response begins.
DEFAULT_TIMEOUT_SECONDS = 5.0


class CallBrokenError(Exception):
    """A call failed without a complete response; the server may have processed the request.

    :param reason: why it failed.
    :param received: bytes of the response body received before the failure.
    """

    def __init__(self, reason: str, received: int = 0):
        super().__init__(f"{reason}, {received} bytes of the body received")
        self.received = received


class NotConnectedError(CallBrokenError):
    """There is no connection: the server can't have read the call."""


class ResponseTooLargeError(CallBrokenError):
    """The response body is larger than ``max_body_bytes``; the connection was closed."""


class Response:
    """A complete response; ``code`` and ``content()`` are as in treq."""

    __slots__ = ("head", "body")

    def __init__(self, head: ResponseHead, body: bytes):
        self.head = head
        self.body = body

    @property
    def code(self) -> int:
        return self.head.status

    def content(self) -> defer.Deferred:
        return defer.succeed(self.body)

    def header(self, name: str) -> str | None:
        """A header's value; ``name`` is in lower case."""
        value = dict(self.head.headers).get(name.encode())
        return None if value is None else value.decode("latin-1")


class _ResponseCollector(ResponseListener):
    """Buffers a response; ``on_progress()`` is called for each part received.

    :param max_body_bytes: size of the body above which ``abandon()`` is called; None for no limit.
    """

    def __init__(self, max_body_bytes: int | None, abandon):
        self.on_progress = lambda: None
        self.max_body_bytes = max_body_bytes
        self.abandon = abandon
        self.done = defer.Deferred()
        self.head = None
        self.body = bytearray()
        self.received = 0
        self.too_large = False

    def response_started(self, head):
        self.head = head
        self.on_progress()
        self._check_size(head.content_length or 0)

    def response_data_received(self, data):
        self.body += data
        self.received += len(data)
        self.on_progress()
        self._check_size(self.received)

    def _check_size(self, size: int) -> None:
        if self.max_body_bytes is not None and size > self.max_body_bytes:
            self.too_large = True
            self.abandon()

    def response_completed(self):
        self.done.callback(Response(self.head, bytes(self.body)))

    def response_failed(self, reason: ResponseFailure):
        kind = ResponseTooLargeError if self.too_large else CallBrokenError
        self.done.errback(kind(reason.value, self.received))


async def call(
    reactor,
    pool: ConnectionPool,
    address,
    method,
    target,
    headers,
    body,
    timeout,
    read_timeout: float | None = None,
    max_body_bytes: int | None = MAX_BODY_BYTES,
    identified: bool = False,
):
    """Return the :class:`Response`, or raise CallBrokenError.

    :param timeout: seconds for the complete response; with ``read_timeout``, until its head.
    :param read_timeout: seconds without received data after which a started response fails.
    :param max_body_bytes: size of the body above which ResponseTooLargeError is raised; None for
        no limit.
    :param identified: whether a late copy of another call's response must not be taken for this
        one's. As responses to calls name none, the connection serves no further such call.
    """
    try:
        connection = await pool.connect(address, identified)
    except Exception as exc:  # noqa: BLE001 - refused, timed out, unreachable: no connection
        raise NotConnectedError(repr(exc)) from exc
    connection.unidentified = connection.unidentified or identified
    collector = _ResponseCollector(max_body_bytes, connection.abandon)
    all_headers = [(b"host", format_address(address).encode()), *headers]
    connection.send(method, target, all_headers, body, collector)
    timer = reactor.callLater(timeout, connection.abandon)
    if read_timeout is not None:
        collector.on_progress = lambda: timer.reset(read_timeout)
    try:
        return await collector.done
    finally:
        if timer.active():
            timer.cancel()


class PooledHttp:
    """Pooled HTTP client with the part of treq's interface that the store client uses.

    :param read_timeout: seconds without received data after which a response fails. There is no
        limit on the total time, which would make a large response on a slow link fail on every
        retry.
    :param max_body_bytes: size of the body above which a response fails, unless a call sets it.
    """

    def __init__(
        self,
        reactor,
        pool: ConnectionPool,
        read_timeout: float,
        max_body_bytes: int = MAX_LISTING_BYTES,
    ):
        self.reactor = reactor
        self.pool = pool
        self.read_timeout = read_timeout
        self.max_body_bytes = max_body_bytes

    def request(
        self,
        method: str,
        url: str,
        data: bytes | None = None,
        timeout: float = DEFAULT_TIMEOUT_SECONDS,
        max_body_bytes: int | None = None,
    ):
        parts = urlsplit(url)
        target = parts.path + (f"?{parts.query}" if parts.query else "")
        headers = [(b"content-type", b"application/json")] if data is not None else []
        coroutine = call(
            self.reactor,
            self.pool,
            (parts.hostname, parts.port),
            method.encode(),
            target.encode(),
            headers,
            data or b"",
            timeout,
            read_timeout=self.read_timeout,
            max_body_bytes=self.max_body_bytes if max_body_bytes is None else max_body_bytes,
        )
        return defer.Deferred.fromCoroutine(coroutine)
