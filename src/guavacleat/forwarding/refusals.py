"""Error responses that the gateway generates itself."""

import enum

__all__ = ["RefusalError", "RefusalReason", "no_endpoint"]

RETRY_AFTER_NO_ENDPOINT_SECONDS = 1.0
MIN_RETRY_AFTER_SECONDS = 0.1


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
    NO_ROOM = (503, "no capacity before the deadline")
    NO_MEMORY = (503, "request body memory limit reached")
    STOPPING = (503, "gateway shuts down before the request could finish")
    QUARANTINED = (503, "identical requests crashed endpoints")
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


def no_endpoint(context, request) -> RefusalError:
    """The refusal of a request for which there is no endpoint at present."""
    wait = context.placement.seconds_until_available(request, set())
    if wait:
        return RefusalError(RefusalReason.COLD, max(MIN_RETRY_AFTER_SECONDS, wait))
    ready = context.registry.ready(request.service)
    reason = RefusalReason.NO_ENDPOINT
    if any(not context.placement.is_allowed(entry) for entry in ready):
        reason = RefusalReason.EVACUATED
    return RefusalError(reason, RETRY_AFTER_NO_ENDPOINT_SECONDS)
