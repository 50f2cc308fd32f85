"""Data types for crashes of endpoints and for the requests in flight at them."""

import enum

__all__ = ["Clearance", "EndpointCrash", "QuarantineStatus", "QuarantineState", "Trial"]

# Number of crashes from which a request runs isolated from others, one at a time. A part does not:
# all requests of a route may share it.
SUSPECT_CRASHES = 2
# Number of crashes from which a request or part is refused: fewer happen to sound ones by chance.
QUARANTINE_CRASHES = 3
# How long a request is refused after its third crash, and after each failed trial; the last value
# repeats.
QUARANTINE_SECONDS = (2.0, 60.0, 600.0, 21600.0)


class EndpointCrash:
    """One crash of an endpoint, and the requests that it interrupted.

    :param endpoint: the endpoint's id; one that restarts under the same id can crash repeatedly.
    :param crashed_at: clock time of the crash.
    :param confirmed: false while the endpoint may still turn out to be alive.
    :param restored: true if it was restored from the record in the store.
    :ivar requests: fingerprints of the requests in flight.
    :ivar parts: fingerprints of the parts of prompts on which an answer may just have begun.
    :ivar updated_at: clock time of the last update at this gateway.
    :ivar observed_locally: true if a request of this gateway was in flight.
    """

    __slots__ = (
        "endpoint",
        "crashed_at",
        "requests",
        "parts",
        "confirmed",
        "restored",
        "updated_at",
        "observed_locally",
    )

    def __init__(
        self,
        endpoint: str,
        crashed_at: float,
        confirmed: bool = True,
        restored: bool = False,
    ):
        self.endpoint = endpoint
        self.crashed_at = crashed_at
        self.requests: set[int] = set()
        self.parts: set[int] = set()
        self.confirmed = confirmed
        self.restored = restored
        self.updated_at = crashed_at
        self.observed_locally = False

    @property
    def fingerprints(self) -> set[int]:
        """The fingerprints of all that may have caused it."""
        return self.requests | self.parts

    def involves(self, fingerprint: int) -> bool:
        """Whether the request or part was in flight."""
        return fingerprint in self.requests or fingerprint in self.parts


class Trial:
    """An isolated run of a suspected request or part, to see whether it crashes ``endpoint``.

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
    """The completion of a request, or of an answer on a part, which clears it of earlier crashes.

    :param completed_at: clock time of the completion; of a part, of the beginning of the answer.
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
    :param contested: whether something that the request does not contain explains these crashes
        as well.
    """

    __slots__ = ("state", "crashes", "retry_after", "contested")

    def __init__(
        self,
        state: QuarantineState,
        crashes: float = 0.0,
        retry_after: float | None = None,
        contested: bool = False,
    ):
        self.state = state
        self.crashes = crashes
        self.retry_after = retry_after
        self.contested = contested

    @property
    def quarantined(self) -> bool:
        return self.crashes >= QUARANTINE_CRASHES
