"""What is known of endpoints that ended and of the requests that ran there; typed."""

import enum

__all__ = ["Clearance", "EndpointCrash", "QuarantineStatus", "QuarantineState", "Trial"]


class EndpointCrash:
    """One unplanned end of an endpoint, and the requests that it broke off.

    :param endpoint: the endpoint's id; one that starts again under its id ends more than once.
    :param at: clock time of the end.
    :param fingerprints: of the requests in flight there.
    :param confirmed: false while the endpoint may still turn out to be alive.
    :param restored: true if it stands for an end that a record in the store counts.
    :ivar learned_at: clock time at which this gateway last learnt something of it.
    :ivar observed_locally: true if a request of this gateway was in flight there.
    """

    __slots__ = (
        "endpoint",
        "at",
        "fingerprints",
        "confirmed",
        "restored",
        "learned_at",
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
        self.learned_at = at
        self.observed_locally = False


class Trial:
    """A suspected request that runs, apart from others, to see whether it crashes ``endpoint``.

    :param at: clock time of its begin.
    :param own: whether this gateway runs it.
    """

    __slots__ = ("fingerprint", "endpoint", "at", "own")

    def __init__(self, fingerprint: int, endpoint: str, at: float, own: bool):
        self.fingerprint = fingerprint
        self.endpoint = endpoint
        self.at = at
        self.own = own


class Clearance:
    """A suspected request ran to its end at clock time ``at``: earlier ends are not its doing."""

    __slots__ = ("fingerprint", "at", "learned_at")

    def __init__(self, fingerprint: int, at: float, learned_at: float):
        self.fingerprint = fingerprint
        self.at = at
        self.learned_at = learned_at


class QuarantineState(enum.Enum):
    """How a request is treated."""

    FREE = "free"
    ISOLATED = "only where little else runs"
    REFUSED = "refused"


class QuarantineStatus:
    """How a request is treated now.

    :param crashes: ends of endpoints that are put down to it.
    :param retry_after: seconds after which one that is refused may come back.
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


# Ends of endpoints after which a request is refused: fewer happen to sound ones by chance.
QUARANTINE_CRASHES = 3
