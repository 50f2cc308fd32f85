"""Answers of the gateway's own, each with what it says of the request."""

import enum

__all__ = ["RefusalError", "RefusalReason"]


class RefusalReason(enum.Enum):
    """Why the gateway answers itself; the value is the status.

    429 and 503 promise that the request has not run and never will; 502 and 504 promise nothing.
    """

    UNKNOWN_ROUTE = 404
    UNKNOWN_KEY = 401
    NO_CONFIGURATION = (503, "no configuration yet")
    BEHIND = (503, "not allowed here, but a newer configuration is in force elsewhere")
    NO_ENDPOINT = (503, "no endpoint takes work")
    NO_ROOM = (503, "no room before the deadline")
    NO_MEMORY = (503, "too many bytes of requests held")
    STOPPING = (503, "this gateway stops before it could finish")
    QUARANTINED = (503, "requests alike have ended the endpoints that ran them")
    EXPIRED = (504, "time is up")
    BROKEN = (502, "the endpoint gave no whole answer")

    @property
    def status(self) -> int:
        return self.value[0] if isinstance(self.value, tuple) else self.value


class RefusalError(Exception):
    """Ends a request with an answer of the gateway's own.

    :param retry_after: seconds after which a request that has not run may come back.
    """

    def __init__(self, reason: RefusalReason, retry_after: float | None = None, detail: str = ""):
        super().__init__(reason.name, detail)
        self.reason = reason
        self.retry_after = retry_after
        self.detail = detail
