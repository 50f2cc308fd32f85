"""What forwarding asks and tells of requests that may crash endpoints.

A connection that breaks off does not say whether the endpoint ended or only spoilt one answer. So
the endpoint is tried at once, see :class:`Liveness`. Where that does not tell, membership decides:
an endpoint that is removed soon after, or started again, and had not said that it leaves, crashed.
"""

import enum

from eliot import log_message
from twisted.internet import defer

from guavacleat.quarantine.messages import EndpointCrash, QuarantineState, QuarantineStatus
from guavacleat.quarantine.tracker import CrashTracker

__all__ = ["Liveness", "QuarantineGuard"]

# A crashed endpoint's entry lapses some heartbeats later.
CONFIRM_SECONDS = 4.0


class Liveness(enum.Enum):
    """What trying an endpoint on which a request broke off says."""

    ENDED = "its process is gone"
    ALIVE = "it answers"
    UNKNOWN = "unreachable"


class QuarantineGuard:
    """Tells forwarding how to treat a request, and the :class:`CrashTracker` how it ended.

    Requests are anything with a ``content_key``, their fingerprint; endpoints are named by their
    ids, times are the clock's.

    :param probe: coroutine function that tries an endpoint and returns its :class:`Liveness`.
    """

    def __init__(self, clock, book: CrashTracker, probe):
        self.clock = clock
        self.book = book
        self.probe = probe
        # Ends that are not confirmed yet, by endpoint id.
        self._open_by_endpoint: dict[str, EndpointCrash] = {}

    def status(self, request) -> QuarantineStatus:
        """How the request is treated now."""
        if not self.book.crashes_by_fingerprint:
            return QuarantineStatus(QuarantineState.FREE)
        return self.book.status(request.content_key)

    def is_unrestricted(self, request) -> bool:
        """Whether the request may run anywhere, whatever else runs there."""
        return self.status(request).state is QuarantineState.FREE

    def request_sent(self, request, endpoint: str) -> None:
        """The request is sent to the endpoint of this id."""
        if self.status(request).state is QuarantineState.ISOLATED:
            self.book.begin_trial(request.content_key, endpoint)

    def run_finished(self, request) -> None:
        """The request's run on an endpoint is over, whatever its end."""
        if self.book.trials_by_fingerprint:
            self.book.end_trial(request.content_key)

    def request_completed(self, request) -> None:
        """An endpoint ran the request to its end and lives."""
        if self.book.crashes_by_fingerprint:
            self.book.request_completed(request.content_key)

    def request_interrupted(self, request, endpoint: str, began: float) -> None:
        """The request was broken off by the endpoint, not by this gateway or the caller.

        :param began: clock time at which it was sent there.
        """
        end = self.book.request_interrupted(endpoint, request.content_key, began)
        if end.confirmed or self._open_by_endpoint.get(endpoint) is end:
            return
        self._open_by_endpoint[endpoint] = end
        self.clock.callLater(CONFIRM_SECONDS, self._settle, endpoint, end, Liveness.ALIVE)
        trying = defer.Deferred.fromCoroutine(self._try(endpoint, end))
        trying.addErrback(self._note_error)

    def endpoint_removed(self, endpoint: str, announced: bool) -> None:
        """Membership has removed or restarted an endpoint.

        :param announced: whether it had said that it leaves: then it did not crash.
        """
        end = self._open_by_endpoint.get(endpoint)
        if end is not None:
            self._settle(endpoint, end, Liveness.ALIVE if announced else Liveness.ENDED)

    def trial_endpoints(self) -> set[str]:
        """Ids of endpoints that a trial may end: nothing else should begin there."""
        return {trial.endpoint for trial in self.book.trials()}

    async def _try(self, endpoint: str, end: EndpointCrash) -> None:
        found = await self.probe(endpoint)
        if found is not Liveness.UNKNOWN:
            self._settle(endpoint, end, found)

    def _settle(self, endpoint: str, end: EndpointCrash, found: Liveness) -> None:
        if self._open_by_endpoint.get(endpoint) is not end:
            return
        del self._open_by_endpoint[endpoint]
        if found is Liveness.ENDED:
            self.book.confirm(end)
        else:
            self.book.discard(end)

    def _note_error(self, failure) -> None:
        log_message(message_type="quarantine:error", error=failure.getTraceback())
