"""Calls with treq, with a bound on how long an answer may pause.

Import it only where it is used: treq takes some 9 MB of a process's memory.
"""

import treq
from twisted.internet import defer, protocol
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from guavacleat.http1.calls import CallBrokenError

__all__ = ["READ_TIMEOUT", "TreqHttp"]

# Seconds without a byte after which an answer is given up: as long as the store and engines may
# take to begin one. Not a bound on the whole answer, which takes what the link needs.
READ_TIMEOUT = 5.0


class _BodyReader(protocol.Protocol):
    """Gathers a body; ``done`` fires with its bytes, or fails once it pauses for too long."""

    def __init__(self, clock, read_timeout: float):
        self.pieces: list[bytes] = []
        self.read_timeout = read_timeout
        self.done = defer.Deferred()
        self._timer = clock.callLater(read_timeout, self._give_up)

    def dataReceived(self, data):  # noqa: N802 - Twisted's name
        self.pieces.append(data)
        if self._timer.active():
            self._timer.reset(self.read_timeout)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802 - Twisted's name
        if self._timer.active():
            self._timer.cancel()
        if reason.check(ResponseDone, PotentialDataLoss):
            self._end(self.done.callback, b"".join(self.pieces))
        else:
            self._fail(reason.getErrorMessage())

    def _give_up(self) -> None:
        self._fail("no byte within the read timeout")
        self.transport.loseConnection()

    def _fail(self, reason: str) -> None:
        self._end(self.done.errback, CallBrokenError(reason, sum(map(len, self.pieces))))

    def _end(self, tell, outcome) -> None:
        if not self.done.called:
            tell(outcome)


class BoundedResponse:
    """An answer whose head has arrived; ``content()`` fires with its body."""

    def __init__(self, response, clock, read_timeout: float):
        self.code = response.code
        self.headers = response.headers
        self._reader = _BodyReader(clock, read_timeout)
        response.deliverBody(self._reader)

    def content(self) -> defer.Deferred:
        return self._reader.done


class TreqHttp:
    """Makes calls with treq.

    treq's own time-out ends with the answer's head. A store that is cut off in the middle of an
    answer sends neither another byte nor a close, and a watch that waited for the rest made its
    gateway deaf to every later change, without a line in its log.

    :param clock: provides time; Twisted's reactor if None.
    :param client: a treq ``HTTPClient``; treq itself if None.
    :param read_timeout: longest pause in seconds within an answer.
    """

    def __init__(self, clock=None, client=None, read_timeout: float = READ_TIMEOUT):
        self.clock = clock
        self.client = client or treq
        self.read_timeout = read_timeout

    @defer.inlineCallbacks
    def request(self, method: str, url: str, data: bytes | None = None, timeout: float = 5.0):
        """Fire with the :class:`BoundedResponse`; ``timeout`` is in seconds, to the head."""
        if self.clock is None:
            from twisted.internet import reactor

            self.clock = reactor
        response = yield self.client.request(
            method, url, data=data, timeout=timeout, reactor=self.clock
        )
        return BoundedResponse(response, self.clock, self.read_timeout)
