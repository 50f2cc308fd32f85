"""What forwarding asks and tells of requests that may crash endpoints.

A connection that breaks off does not say whether the endpoint ended or only spoilt one answer. So
the endpoint is tried at once, see :class:`Liveness`. Where that does not tell, membership decides:
an endpoint that is removed soon after, or started again, and had not said that it leaves, crashed.
"""

import enum

from eliot import log_message
from twisted.internet import defer

from guavacleat.quarantine.book import CrashBook
from guavacleat.quarantine.messages import EndpointEnd, Standing, StandingKind

__all__ = ["Liveness", "QuarantineGuard"]

# A crashed endpoint's entry lapses some heartbeats later.
CONFIRM_SECONDS = 4.0


class Liveness(enum.Enum):
    """What trying an endpoint on which a request broke off says."""

    ENDED = "its process is gone"
    ALIVE = "it answers"
    UNKNOWN = "unreachable"


class QuarantineGuard:
    """Tells forwarding how to treat a request, and the :class:`~.book.CrashBook` how it ended.

    Requests are anything with a ``content_key``, their fingerprint; endpoints are named by their
    ids, times are the clock's.

    :param probe: coroutine function that tries an endpoint and returns its :class:`Liveness`.
    """

    def __init__(self, clock, book: CrashBook, probe):
        self.clock = clock
        self.book = book
        self.probe = probe
        # Ends that are not confirmed yet, by endpoint id.
        self._open_by_endpoint: dict[str, EndpointEnd] = {}

    def standing(self, request) -> Standing:
        """How the request is treated now."""
        if not self.book.ends_by_fingerprint:
            return Standing(StandingKind.FREE)
        return self.book.standing(request.content_key)

    def may_share(self, request) -> bool:
        """Whether the request may run anywhere, whatever else runs there."""
        return self.standing(request).kind is StandingKind.FREE

    def sent(self, request, endpoint: str) -> None:
        """The request is sent to the endpoint of this id."""
        if self.standing(request).kind is StandingKind.APART:
            self.book.begin_trial(request.content_key, endpoint)

    def over(self, request) -> None:
        """The request's run on an endpoint is over, whatever its end."""
        if self.book.trials_by_fingerprint:
            self.book.end_trial(request.content_key)

    def completed(self, request) -> None:
        """An endpoint ran the request to its end and lives."""
        if self.book.ends_by_fingerprint:
            self.book.completed(request.content_key)

    def broken(self, request, endpoint: str, began: float) -> None:
        """The request was broken off by the endpoint, not by this gateway or the caller.

        :param began: clock time at which it was sent there.
        """
        end = self.book.broken(endpoint, request.content_key, began)
        if end.confirmed or self._open_by_endpoint.get(endpoint) is end:
            return
        self._open_by_endpoint[endpoint] = end
        self.clock.callLater(CONFIRM_SECONDS, self._settle, endpoint, end, Liveness.ALIVE)
        trying = defer.Deferred.fromCoroutine(self._try(endpoint, end))
        trying.addErrback(self._note_error)

    def left(self, endpoint: str, announced: bool) -> None:
        """Membership has removed or restarted an endpoint.

        :param announced: whether it had said that it leaves: then it did not crash.
        """
        end = self._open_by_endpoint.get(endpoint)
        if end is not None:
            self._settle(endpoint, end, Liveness.ALIVE if announced else Liveness.ENDED)

    def trial_endpoints(self) -> set[str]:
        """Ids of endpoints that a trial may end: nothing else should begin there."""
        return {trial.endpoint for trial in self.book.trials()}

    async def _try(self, endpoint: str, end: EndpointEnd) -> None:
        found = await self.probe(endpoint)
        if found is not Liveness.UNKNOWN:
            self._settle(endpoint, end, found)

    def _settle(self, endpoint: str, end: EndpointEnd, found: Liveness) -> None:
        if self._open_by_endpoint.get(endpoint) is not end:
            return
        del self._open_by_endpoint[endpoint]
        if found is Liveness.ENDED:
            self.book.confirm(end)
        else:
            self.book.withdraw(end)

    def _note_error(self, failure) -> None:
        log_message(message_type="quarantine:error", error=failure.getTraceback())
