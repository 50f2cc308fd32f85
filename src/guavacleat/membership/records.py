"""The endpoint record a sidecar keeps in the object API under ``endpoints/<name>``."""

__all__ = ["EndpointRecord", "ENDPOINT_KIND"]

ENDPOINT_KIND = "endpoints"


class EndpointRecord:
    """One endpoint as its sidecar announces it.

    :param address: ``host:port`` of the sidecar's thrift listener.
    :param draining: true once the endpoint is leaving; it must get no new work.
    :param beat: heartbeat counter, +1 on each renewal, so every renewal is a visible change.
    :param instance: the platform's name for the instance, as its list of instances gives it.
    :param session: unique per start of the sidecar; tells its own writes from another holder's.
    :param displaced: sessions that held the record before, the last one first. A session whose
        write got no answer learns from it that the write was done, and that it lost the record.
    """

    __slots__ = (
        "name",
        "service",
        "data_centre",
        "address",
        "draining",
        "beat",
        "instance",
        "session",
        "displaced",
    )

    def __init__(
        self,
        name,
        service,
        data_centre,
        address,
        draining=False,
        beat=0,
        instance="",
        session="",
        displaced=(),
    ):
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.address = address
        self.draining = draining
        self.beat = beat
        self.instance = instance
        self.session = session
        self.displaced = tuple(displaced)

    def is_older(self, other: "EndpointRecord") -> bool:
        """Whether the same start of the sidecar wrote ``other`` later."""
        return bool(self.session) and self.session == other.session and self.beat < other.beat

    def to_json(self) -> dict:
        return {slot: getattr(self, slot) for slot in self.__slots__}

    @classmethod
    def from_json(cls, body: dict) -> "EndpointRecord":
        """Build a record; fields a newer release added and this one lacks are ignored."""
        return cls(**{slot: body[slot] for slot in cls.__slots__ if slot in body})
