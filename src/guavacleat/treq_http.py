"""HTTP calls with treq, with a read timeout on the response body.

Import this module only where it is used: importing treq takes about 9 MB of memory.
"""

import treq
from twisted.internet import defer, protocol
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from guavacleat.http1.calls import CallBrokenError

__all__ = ["READ_TIMEOUT", "TreqHttp"]

# Seconds without received data after which a response fails. The total time is not limited.
READ_TIMEOUT = 5.0


class _BodyReader(protocol.Protocol):
    """Reads a body; ``done`` fires with its bytes, or fails on an error or the read timeout."""

    def __init__(self, clock, read_timeout: float):
        self.chunks: list[bytes] = []
        self.read_timeout = read_timeout
        self.done = defer.Deferred()
        self._timer = clock.callLater(read_timeout, self._timed_out)

    def dataReceived(self, data):  # noqa: N802 - Twisted's name
        self.chunks.append(data)
        if self._timer.active():
            self._timer.reset(self.read_timeout)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802 - Twisted's name
        if self._timer.active():
            self._timer.cancel()
        if reason.check(ResponseDone, PotentialDataLoss):
            self._finish(self.done.callback, b"".join(self.chunks))
        else:
            self._fail(reason.getErrorMessage())

    def _timed_out(self) -> None:
        self._fail("no byte within the read timeout")
        self.transport.loseConnection()

    def _fail(self, reason: str) -> None:
        self._finish(self.done.errback, CallBrokenError(reason, sum(map(len, self.chunks))))

    def _finish(self, fire, result) -> None:
        if not self.done.called:
            fire(result)


class BoundedResponse:
    """A response whose head has been received; ``content()`` reads the body with a read timeout."""

    def __init__(self, response, clock, read_timeout: float):
        self.code = response.code
        self.headers = response.headers
        self._reader = _BodyReader(clock, read_timeout)
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
    """

    def __init__(self, clock=None, client=None, read_timeout: float = READ_TIMEOUT):
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
        return BoundedResponse(response, self.clock, self.read_timeout)
