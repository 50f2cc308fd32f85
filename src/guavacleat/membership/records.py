"""The endpoint record a sidecar keeps in the object API under ``endpoints/<name>``."""

__all__ = ["EndpointRecord", "ENDPOINT_KIND"]

ENDPOINT_KIND = "endpoints"


class EndpointRecord:
    """One endpoint as its sidecar announces it.

    :param address: ``host:port`` of the sidecar's thrift listener.
    :param draining: true once the endpoint is leaving; it must get no new work.
    :param beat: heartbeat counter, +1 on each renewal, so every renewal is a visible change.
    """

    __slots__ = ("name", "service", "data_centre", "address", "draining", "beat")

    def __init__(self, name, service, data_centre, address, draining=False, beat=0):
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.address = address
        self.draining = draining
        self.beat = beat

    def to_json(self) -> dict:
        return {slot: getattr(self, slot) for slot in self.__slots__}

    @classmethod
    def from_json(cls, body: dict) -> "EndpointRecord":
        return cls(**{slot: body[slot] for slot in cls.__slots__})
