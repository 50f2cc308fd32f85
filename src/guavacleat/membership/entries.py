"""Entries of endpoints in the object API, and changes of them."""

import enum

__all__ = ["ChangeOrigin", "EndpointChange", "EndpointEntry", "EndpointState"]


class EndpointState(enum.Enum):
    """Whether an endpoint takes new requests."""

    READY = "ready"
    DRAINING = "draining"
    # The entry is unreadable or not the endpoint's own; whether the endpoint is leaving is unknown.
    UNUSABLE = "unusable"


class EndpointEntry:
    """One incarnation of an endpoint.

    :param id: the endpoint's id; it usually changes with a restart.
    :param address: ``(ip, port)`` of its HTTP listener; may later be reused by another service.
    :param slots: number of requests it processes concurrently.
    :param revision: the store's revision of the entry.
    :param started_ms: start time of its process in Unix milliseconds; None if unknown.
    :param cold_for: seconds for which it stays cold after the entry was written; 0 if it is warm.
    :param said_leaving: whether the endpoint said in an answer that it is leaving.
    """

    __slots__ = (
        "id",
        "service",
        "address",
        "data_centre",
        "slots",
        "state",
        "revision",
        "started_ms",
        "cold_for",
        "said_leaving",
    )

    def __init__(
        self,
        id: str,
        service: str,
        address: tuple[str, int],
        data_centre: str,
        slots: int,
        state: EndpointState,
        revision: int = 0,
        started_ms: int | None = None,
        cold_for: float = 0.0,
        said_leaving: bool = False,
    ):
        self.id = id
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.state = state
        self.revision = revision
        self.started_ms = started_ms
        self.cold_for = cold_for
        self.said_leaving = said_leaving

    def is_same_process(self, other: "EndpointEntry") -> bool:
        """Whether both entries describe the same process."""
        return self.id == other.id and self.started_ms == other.started_ms

    def started_before(self, other: "EndpointEntry") -> bool:
        """Whether this entry's process started earlier; False if a start time is unknown."""
        if self.started_ms is None or other.started_ms is None:
            return False
        return self.started_ms < other.started_ms

    def in_state(
        self, state: EndpointState, revision: int, said_leaving: bool = False
    ) -> "EndpointEntry":
        """A copy of this entry with another state and revision."""
        return EndpointEntry(
            self.id,
            self.service,
            self.address,
            self.data_centre,
            self.slots,
            state,
            revision,
            self.started_ms,
            self.cold_for,
            said_leaving,
        )


class ChangeOrigin(enum.Enum):
    """Where a gateway learned of a change."""

    STORE = "store"
    PEER = "peer"
    # The endpoint itself, by an answer or a status report.
    ENDPOINT = "endpoint"


class EndpointChange:
    """The latest known state of an endpoint: its entry, or None if it was removed.

    :param recorded_at: clock time at which the registry recorded it; 0 in a peer's report.
    :param origin: where the registry learned of it; a peer's report does not tell.
    """

    __slots__ = ("id", "revision", "entry", "recorded_at", "origin")

    def __init__(
        self,
        id: str,
        revision: int,
        entry: EndpointEntry | None,
        recorded_at: float = 0.0,
        origin: ChangeOrigin = ChangeOrigin.PEER,
    ):
        self.id = id
        self.revision = revision
        self.entry = entry
        self.recorded_at = recorded_at
        self.origin = origin
