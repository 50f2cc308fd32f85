"""HTTP calls with treq, with a read timeout and a maximum size of the response body.

Import this module only where it is used: importing treq takes about 9 MB of memory.
"""

import treq
from twisted.internet import defer, protocol
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from guavacleat.http1.calls import MAX_LISTING_BYTES, CallBrokenError, ResponseTooLargeError

__all__ = ["READ_TIMEOUT", "TreqHttp"]

# Seconds without received data after which a response fails. The total time is not limited.
READ_TIMEOUT = 5.0


class _BodyReader(protocol.Protocol):
    """Reads a body; ``done`` fires with its bytes, or fails on an error or beyond a limit."""

    def __init__(self, clock, read_timeout: float, max_body_bytes: int):
        self.body = bytearray()
        self.read_timeout = read_timeout
        self.max_body_bytes = max_body_bytes
        self.done = defer.Deferred()
        self._timer = clock.callLater(read_timeout, self._timed_out)

    def dataReceived(self, data):  # noqa: N802 - Twisted's name
        if self.done.called:
            return
        self.body += data
        if len(self.body) > self.max_body_bytes:
            self._fail(ResponseTooLargeError, "the body is too large")
        elif self._timer.active():
            self._timer.reset(self.read_timeout)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802 - Twisted's name
        if self._timer.active():
            self._timer.cancel()
        if reason.check(ResponseDone, PotentialDataLoss):
            self._finish(self.done.callback, bytes(self.body))
        else:
            self._fail(CallBrokenError, reason.getErrorMessage())

    def _timed_out(self) -> None:
        self._fail(CallBrokenError, "no byte within the read timeout")

    def _fail(self, kind: type[CallBrokenError], reason: str) -> None:
        received, self.body = len(self.body), bytearray()
        if self._timer.active():
            self._timer.cancel()
        if self.transport is not None and not self.done.called:
            self.transport.loseConnection()
        self._finish(self.done.errback, kind(reason, received))

    def _finish(self, fire, result) -> None:
        if not self.done.called:
            fire(result)


class BoundedResponse:
    """A response whose head has been received; ``content()`` reads the body with a read timeout."""

    def __init__(self, response, clock, read_timeout: float, max_body_bytes: int):
        self.code = response.code
        self.headers = response.headers
        self._reader = _BodyReader(clock, read_timeout, max_body_bytes)
        response.deliverBody(self._reader)

    def content(self) -> defer.Deferred:
        return self._reader.done


class TreqHttp:
    """HTTP client based on treq, with a read timeout.

    treq's own timeout covers a response only up to its head, so a connection that stalls in the
    middle of a body would block a watch forever.

    :param clock: provides time; Twisted's reactor if None.
    :param client: a treq ``HTTPClient``; the ``treq`` module if None.
    :param read_timeout: seconds without received data after which a response fails.
    :param max_body_bytes: size of the body above which a response fails.
    """

    def __init__(
        self,
        clock=None,
        client=None,
        read_timeout: float = READ_TIMEOUT,
        max_body_bytes: int = MAX_LISTING_BYTES,
    ):
        self.max_body_bytes = max_body_bytes
        self.clock = clock
        self.client = client or treq
        self.read_timeout = read_timeout

    @defer.inlineCallbacks
    def request(self, method: str, url: str, data: bytes | None = None, timeout: float = 5.0):
        """Fire with a :class:`BoundedResponse`; its head must arrive within ``timeout`` seconds."""
        if self.clock is None:
            from twisted.internet import reactor

            self.clock = reactor
        response = yield self.client.request(
            method, url, data=data, timeout=timeout, reactor=self.clock
        )
        return BoundedResponse(response, self.clock, self.read_timeout, self.max_body_bytes)
