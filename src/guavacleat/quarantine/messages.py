"""Data types for crashes of endpoints and for the requests in flight at them."""

import enum

__all__ = ["Clearance", "EndpointCrash", "QuarantineStatus", "QuarantineState", "Trial"]

# Number of crashes from which a request runs isolated from others, one at a time.
SUSPECT_CRASHES = 2
# Number of crashes from which a request is refused: fewer happen to sound requests by chance.
QUARANTINE_CRASHES = 3
# How long a request is refused after its third crash, and after each failed trial; the last value
# repeats.
QUARANTINE_SECONDS = (2.0, 60.0, 600.0, 21600.0)


class EndpointCrash:
    """One crash of an endpoint, and the requests that it interrupted.

    :param endpoint: the endpoint's id; one that restarts under the same id can crash repeatedly.
    :param crashed_at: clock time of the crash.
    :param fingerprints: the fingerprints of the requests in flight.
    :param confirmed: false while the endpoint may still turn out to be alive.
    :param restored: true if it was restored from the record in the store.
    :ivar updated_at: clock time of the last update at this gateway.
    :ivar observed_locally: true if a request of this gateway was in flight.
    """

    __slots__ = (
        "endpoint",
        "crashed_at",
        "fingerprints",
        "confirmed",
        "restored",
        "updated_at",
        "observed_locally",
    )

    def __init__(
        self,
        endpoint: str,
        crashed_at: float,
        fingerprints=(),
        confirmed: bool = True,
        restored: bool = False,
    ):
        self.endpoint = endpoint
        self.crashed_at = crashed_at
        self.fingerprints: set[int] = set(fingerprints)
        self.confirmed = confirmed
        self.restored = restored
        self.updated_at = crashed_at
        self.observed_locally = False


class Trial:
    """An isolated run of a suspected request, to see whether it crashes ``endpoint``.

    :param started_at: clock time of the start.
    :param own: whether this gateway runs it.
    """

    __slots__ = ("fingerprint", "endpoint", "started_at", "own")

    def __init__(self, fingerprint: int, endpoint: str, started_at: float, own: bool):
        self.fingerprint = fingerprint
        self.endpoint = endpoint
        self.started_at = started_at
        self.own = own


class Clearance:
    """The completion of a request, which clears it of all earlier crashes.

    :param completed_at: clock time of the completion.
    :param updated_at: clock time at which this gateway recorded it.
    """

    __slots__ = ("fingerprint", "completed_at", "updated_at")

    def __init__(self, fingerprint: int, completed_at: float, updated_at: float):
        self.fingerprint = fingerprint
        self.completed_at = completed_at
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
