"""Data types for crashes of endpoints and for the requests in flight at them."""

import enum

__all__ = ["Clearance", "EndpointCrash", "QuarantineStatus", "QuarantineState", "Trial"]


class EndpointCrash:
    """One crash of an endpoint, and the requests that it interrupted.

    :param endpoint: the endpoint's id; one that restarts under the same id can crash repeatedly.
    :param at: clock time of the crash.
    :param fingerprints: the fingerprints of the requests in flight.
    :param confirmed: false while the endpoint may still turn out to be alive.
    :param restored: true if it was restored from the record in the store.
    :ivar updated_at: clock time of the last update at this gateway.
    :ivar observed_locally: true if a request of this gateway was in flight.
    """

    __slots__ = (
        "endpoint",
        "at",
        "fingerprints",
        "confirmed",
        "restored",
        "updated_at",
        "observed_locally",
    )

    def __init__(
        self,
        endpoint: str,
        at: float,
        fingerprints=(),
        confirmed: bool = True,
        restored: bool = False,
    ):
        self.endpoint = endpoint
        self.at = at
        self.fingerprints: set[int] = set(fingerprints)
        self.confirmed = confirmed
        self.restored = restored
        self.updated_at = at
        self.observed_locally = False


class Trial:
    """An isolated run of a suspected request, to see whether it crashes ``endpoint``.

    :param at: clock time of the start.
    :param own: whether this gateway runs it.
    """

    __slots__ = ("fingerprint", "endpoint", "at", "own")

    def __init__(self, fingerprint: int, endpoint: str, at: float, own: bool):
        self.fingerprint = fingerprint
        self.endpoint = endpoint
        self.at = at
        self.own = own


class Clearance:
    """A request completed at clock time ``at``, which clears it of all earlier crashes."""

    __slots__ = ("fingerprint", "at", "updated_at")

    def __init__(self, fingerprint: int, at: float, updated_at: float):
        self.fingerprint = fingerprint
        self.at = at
        self.updated_at = updated_at


class QuarantineState(enum.Enum):
    """How a request must be handled."""

    FREE = "free"
    ISOLATED = "only where little else runs"
    REFUSED = "refused"


class QuarantineStatus:
    """How a request must be handled now.

    :param crashes: the number of crashes attributed to it.
    :param retry_after: seconds after which a refused request may be retried.
    """

    __slots__ = ("state", "crashes", "retry_after")

    def __init__(
        self, state: QuarantineState, crashes: float = 0.0, retry_after: float | None = None
    ):
        self.state = state
        self.crashes = crashes
        self.retry_after = retry_after

    @property
    def quarantined(self) -> bool:
        return self.crashes >= QUARANTINE_CRASHES


# Number of crashes from which a request is refused.
QUARANTINE_CRASHES = 3
