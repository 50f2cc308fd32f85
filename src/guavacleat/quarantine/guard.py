"""The interface between forwarding and the tracker of crashing requests.

A lost connection does not show whether the endpoint crashed or only failed one response, so the
endpoint is probed at once, see :class:`Liveness`. If the probe is inconclusive, membership decides:
an endpoint that is removed or restarted soon after without having announced it has crashed.
"""

import enum

from eliot import log_message
from twisted.internet import defer

from guavacleat.quarantine.messages import EndpointCrash, QuarantineState, QuarantineStatus
from guavacleat.quarantine.tracker import CrashTracker

__all__ = ["Liveness", "QuarantineGuard"]

# Unconfirmed crashes are discarded after this time; a crashed endpoint's entry expires earlier.
CONFIRM_TIMEOUT_SECONDS = 4.0


class Liveness(enum.Enum):
    """The result of probing an endpoint that interrupted a request."""

    ENDED = "its process is gone"
    ALIVE = "it answers"
    UNKNOWN = "unreachable"


class QuarantineGuard:
    """Decides how forwarding handles a request, and reports outcomes to the tracker.

    A request is any object with a ``content_key``, its fingerprint, and ``part_keys``, those of the
    parts of its prompt that others may share; endpoints are identified by their ids; times are
    clock times.

    :param probe: coroutine function that probes an endpoint and returns its :class:`Liveness`.
    """

    def __init__(self, clock, tracker: CrashTracker, probe):
        self.clock = clock
        self.tracker = tracker
        self.probe = probe
        # Crashes that are not confirmed yet, by endpoint id.
        self._unconfirmed_by_endpoint: dict[str, EndpointCrash] = {}

    def status(self, request) -> QuarantineStatus:
        """How the request must be handled now."""
        if not self.tracker.crashes_by_fingerprint:
            return QuarantineStatus(QuarantineState.FREE)
        return self.tracker.status(*_keys(request))

    def is_unrestricted(self, request) -> bool:
        """Whether the request may run on any endpoint, whatever else runs there."""
        return self.status(request).state is QuarantineState.FREE

    def request_sent(self, request, endpoint: str) -> None:
        """Record that the request is sent to an endpoint."""
        if self.tracker.crashes_by_fingerprint:
            for key in self.tracker.suspects(_keys(request)):
                self.tracker.begin_trial(key, endpoint)

    def run_finished(self, request) -> None:
        """Record that the request's run on an endpoint is over, whatever its outcome."""
        if self.tracker.trials_by_fingerprint:
            for key in _keys(request):
                self.tracker.end_trial(key)

    def request_completed(self, request) -> None:
        """Record that an endpoint completed the request and is alive."""
        if self.tracker.crashes_by_fingerprint:
            self.tracker.request_completed(request.content_key)

    def parts_proven(self, request, began_at: float) -> None:
        """Record that an endpoint has begun to answer the request and has not crashed on it.

        :param began_at: clock time of the answer's beginning.
        """
        for part in request.part_keys:
            self.tracker.part_proven(part, began_at)

    def request_interrupted(
        self, request, endpoint: str, sent_at: float, parts_proven: bool = False
    ) -> None:
        """Record that the endpoint, not this gateway or the caller, interrupted the request.

        :param sent_at: clock time at which the request was sent.
        :param parts_proven: whether :meth:`parts_proven` was called for this run.
        """
        parts = () if parts_proven else request.part_keys
        crash = self.tracker.request_interrupted(endpoint, request.content_key, sent_at, parts)
        if crash.confirmed or self._unconfirmed_by_endpoint.get(endpoint) is crash:
            return
        self._unconfirmed_by_endpoint[endpoint] = crash
        self.clock.callLater(
            CONFIRM_TIMEOUT_SECONDS, self._resolve, endpoint, crash, Liveness.ALIVE
        )
        probing = defer.Deferred.fromCoroutine(self._probe_endpoint(endpoint, crash))
        probing.addErrback(self._log_error)

    def endpoint_removed(self, endpoint: str, announced: bool) -> None:
        """Record that membership has removed an endpoint or seen it restart.

        :param announced: whether the endpoint had announced it; then it did not crash.
        """
        crash = self._unconfirmed_by_endpoint.get(endpoint)
        if crash is not None:
            self._resolve(endpoint, crash, Liveness.ALIVE if announced else Liveness.ENDED)

    def trial_endpoints(self) -> set[str]:
        """Ids of the endpoints with an active trial: no other request should start there."""
        return {trial.endpoint for trial in self.tracker.trials()}

    async def _probe_endpoint(self, endpoint: str, crash: EndpointCrash) -> None:
        liveness = await self.probe(endpoint)
        if liveness is not Liveness.UNKNOWN:
            self._resolve(endpoint, crash, liveness)

    def _resolve(self, endpoint: str, crash: EndpointCrash, liveness: Liveness) -> None:
        if self._unconfirmed_by_endpoint.get(endpoint) is not crash:
            return
        del self._unconfirmed_by_endpoint[endpoint]
        if liveness is Liveness.ENDED:
            self.tracker.confirm(crash)
        else:
            self.tracker.discard(crash)

    def _log_error(self, failure) -> None:
        log_message(message_type="quarantine:error", error=failure.getTraceback())


def _keys(request) -> tuple[int, ...]:
    """The fingerprints of a request: its own, and those of its parts."""
    return (request.content_key, *request.part_keys)
