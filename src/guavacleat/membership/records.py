"""The endpoint record that a sidecar stores in the object API under ``endpoints/<name>``."""

__all__ = ["EndpointRecord", "ENDPOINT_KIND"]

ENDPOINT_KIND = "endpoints"


class EndpointRecord:
    """An endpoint as registered by its sidecar.

    :param address: ``host:port`` of the sidecar's thrift listener.
    :param draining: true once the endpoint is leaving; it must get no new requests.
    :param beat: heartbeat counter, incremented by each renewal, so that each renewal is a change.
    :param instance: the instance's name in the platform's list of instances.
    :param session: unique per start of the sidecar.
    :param displaced: sessions that held the record before, newest first. A session whose write got
        no response learns from it that the write was applied and that it has lost the record.
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
        """Whether ``other`` is a later write of the same session."""
        return bool(self.session) and self.session == other.session and self.beat < other.beat

    def to_json(self) -> dict:
        return {slot: getattr(self, slot) for slot in self.__slots__}

    @classmethod
    def from_json(cls, body: dict) -> "EndpointRecord":
        """Build a record; fields unknown to this release are ignored."""
        return cls(**{slot: body[slot] for slot in cls.__slots__ if slot in body})
