"""Error responses that the gateway generates itself."""

import enum
import math

from guavacleat.throttling import ThrottleCause

__all__ = ["RefusalError", "RefusalReason", "no_endpoint", "throttled"]

RETRY_AFTER_NO_ENDPOINT_SECONDS = 1.0
MIN_RETRY_AFTER_SECONDS = 0.1
# Other gateways have the shares in the endpoints' request rates, and a retry may reach one of them.
RETRY_AFTER_NO_SHARE_SECONDS = 0.2


class RefusalReason(enum.Enum):
    """Why the gateway refuses or fails a request; the value holds the HTTP status.

    401, 404 and 503 guarantee that the request was not executed; 502 and 504 guarantee nothing.
    """

    UNKNOWN_ROUTE = 404
    UNKNOWN_KEY = 401
    NO_CONFIGURATION = (503, "no configuration received yet")
    BEHIND = (503, "not in this configuration, but a peer has a newer one")
    NO_ENDPOINT = (503, "no endpoint is ready")
    EVACUATED = (503, "all data centres with endpoints of the service are evacuated")
    COLD = (503, "the endpoints are cold and get no more requests for now")
    LIMITED = (503, "the endpoints limit their request rate, and this gateway's share is used up")
    PAUSED = (503, "the endpoints turned this gateway away and asked for a pause")
    NO_ROOM = (503, "no capacity before the deadline")
    STOPPING = (503, "gateway shuts down before the request could finish")
    QUARANTINED = (503, "requests like this one crashed endpoints")
    EXPIRED = (504, "deadline expired")
    BROKEN = (502, "incomplete or invalid response from the endpoint")

    @property
    def status(self) -> int:
        return self.value[0] if isinstance(self.value, tuple) else self.value


class RefusalError(Exception):
    """Ends a request with an error response from the gateway.

    :param retry_after: seconds after which the caller may retry a request that was not executed.
    """

    def __init__(self, reason: RefusalReason, retry_after: float | None = None, detail: str = ""):
        super().__init__(reason.name, detail)
        self.reason = reason
        self.retry_after = retry_after
        self.detail = detail


REASONS_BY_CAUSE = {
    ThrottleCause.COLD: RefusalReason.COLD,
    ThrottleCause.LIMIT: RefusalReason.LIMITED,
    ThrottleCause.PAUSE: RefusalReason.PAUSED,
}


def throttled(placement, request, tried: set[str]) -> RefusalError | None:
    """The refusal of a request to whose endpoints nothing may be sent now; None if it may.

    :param placement: the :class:`~guavacleat.placement.Placement`.
    """
    entry = placement.next_available(request, tried)
    cause = None if entry is None else placement.throttle.cause(entry)
    if cause is None:
        return None
    wait = placement.throttle.promise(entry)
    if math.isinf(wait):
        wait = RETRY_AFTER_NO_SHARE_SECONDS
    return RefusalError(REASONS_BY_CAUSE[cause], max(MIN_RETRY_AFTER_SECONDS, wait))


def no_endpoint(context, request) -> RefusalError:
    """The refusal of a request for which there is no endpoint at present."""
    refusal = throttled(context.placement, request, set())
    if refusal is not None:
        return refusal
    ready = context.registry.ready(request.service)
    reason = RefusalReason.NO_ENDPOINT
    if any(not context.placement.is_allowed(entry) for entry in ready):
        reason = RefusalReason.EVACUATED
    return RefusalError(reason, RETRY_AFTER_NO_ENDPOINT_SECONDS)
