"""Whole calls over pooled connections: for the store's client and for calls to engines."""

from urllib.parse import urlsplit

from twisted.internet import defer

from guavacleat.addresses import format_address
from guavacleat.http1.client import ResponseFailure, ResponseListener
from guavacleat.http1.messages import ResponseHead
from guavacleat.http1.pool import ConnectionPool

__all__ = ["ResponseTooLargeError", "CallBrokenError", "PooledHttp", "WholeAnswer", "call"]


class CallBrokenError(Exception):
    """A call got no whole answer; it may have taken effect.

    :param reason: how it ended.
    :param received: bytes of the answer's body that had arrived; many tell that the answer was
        cut off by the call's own time, none that nobody answered.
    """

    def __init__(self, reason: str, received: int = 0):
        super().__init__(f"{reason}, {received} bytes of the body received")
        self.received = received


class ResponseTooLargeError(CallBrokenError):
    """The answer's body was larger than the caller of it wanted; the rest is not read."""


class WholeAnswer:
    """An answer with its body; has treq's ``code`` and ``content()``."""

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
        """A header's value by its name in lower case."""
        found = dict(self.head.headers).get(name.encode())
        return None if found is None else found.decode("latin-1")


class _Collector(ResponseListener):
    """Gathers an answer; ``on_progress()`` is called as each part of it arrives.

    :param max_body_bytes: a larger body is not read on: ``give_up()`` is called. None is no bound.
    """

    def __init__(self, max_body_bytes: int | None, give_up):
        self.on_progress = lambda: None
        self.max_body_bytes = max_body_bytes
        self.give_up = give_up
        self.done = defer.Deferred()
        self.head = None
        self.pieces: list[bytes] = []
        self.received = 0
        self.too_large = False

    def response_started(self, head):
        self.head = head
        self.on_progress()
        self._check_size(head.content_length or 0)

    def response_data_received(self, data):
        self.pieces.append(data)
        self.received += len(data)
        self.on_progress()
        self._check_size(self.received)

    def _check_size(self, size: int) -> None:
        if self.max_body_bytes is not None and size > self.max_body_bytes:
            self.too_large = True
            self.give_up()

    def response_completed(self):
        self.done.callback(WholeAnswer(self.head, b"".join(self.pieces)))

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
    max_body_bytes: int | None = None,
):
    """Return the :class:`WholeAnswer`, or raise CallBrokenError.

    :param timeout: seconds that the answer may take; with ``read_timeout``, to its beginning.
    :param read_timeout: longest pause in seconds within the answer, which then takes what it takes.
    :param max_body_bytes: a larger body is not read on, and raises ResponseTooLargeError.
    """
    try:
        connection = await pool.connect(address)
    except Exception as exc:  # noqa: BLE001 - refused, timed out, unreachable: no connection
        raise CallBrokenError(repr(exc)) from exc
    collector = _Collector(max_body_bytes, connection.abandon)
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
    """What the store's client needs of treq, over this process's own connections.

    :param read_timeout: longest pause in seconds within an answer. An answer is never given up
        while it arrives: asked again it begins with its first byte, so that one which takes longer
        than any fixed time never ends: on a thin link a large configuration would never be taken.
    """

    def __init__(self, reactor, pool: ConnectionPool, read_timeout: float):
        self.reactor = reactor
        self.pool = pool
        self.read_timeout = read_timeout

    def request(
        self,
        method: str,
        url: str,
        data: bytes | None,
        timeout: float,
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
            max_body_bytes=max_body_bytes,
        )
        return defer.Deferred.fromCoroutine(coroutine)
