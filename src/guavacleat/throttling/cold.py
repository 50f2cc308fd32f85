"""Which endpoints are cold.

An endpoint is cold for some time after its start, after an evacuation of its data centre, and
whenever it says so. An endpoint that could not be reached may restart: it is considered cold until
``cold_start`` seconds after it was reached again. A gateway whose share allows no request to it
considers it warm after ``UNREACHABLE_SECONDS``; the endpoint's entry says if it is still cold.
"""

import math

from twisted.internet.interfaces import IReactorTime

from guavacleat.membership.entries import EndpointEntry
from guavacleat.routes import ServiceTraits

__all__ = ["ColdEndpoints"]

UNREACHABLE_SECONDS = 5.0
UNLIMITED = ServiceTraits("", 0)


class _ColdEndpoint:
    """The state of one cold endpoint.

    :ivar cold_until: clock time at which it is considered warm; infinite while its service is
        unknown, and with it the time.
    :ivar turned_cold_at: clock time at which it turned cold, if ``cold_until`` follows from that.
    :ivar unreachable: whether it could not be reached and has not been reached since.
    """

    __slots__ = ("cold_until", "turned_cold_at", "unreachable")

    def __init__(self, cold_until: float, turned_cold_at: float | None = None):
        self.cold_until = cold_until
        self.turned_cold_at = turned_cold_at
        self.unreachable = False


class ColdEndpoints:
    """Tracks cold endpoints.

    :param find_service: returns the :class:`~guavacleat.routes.ServiceTraits` of a service's name,
        or None while no configuration is known.
    :ivar on_cold: called with an entry and seconds when the endpoint turns cold for so long.
    """

    def __init__(self, clock: IReactorTime, find_service=lambda name: UNLIMITED):
        self.clock = clock
        self.find_service = find_service
        self.on_cold = lambda entry, seconds: None
        self.cold_by_id: dict[str, _ColdEndpoint] = {}

    def mark_cold(self, entry: EndpointEntry, seconds: float | None = None) -> None:
        """Consider an endpoint cold for ``seconds``; by default as long as after a start.

        Its service may not be known yet: the entries may be read before the configuration.
        """
        now = self.clock.seconds()
        traits = self.find_service(entry.service)
        if traits is None and seconds is None:
            self.cold_by_id[entry.id] = _ColdEndpoint(math.inf, turned_cold_at=now)
        elif traits is None or traits.cold_rate:
            self._extend(entry, now + (traits.cold_start if seconds is None else seconds))

    def record_unreachable(self, entry: EndpointEntry) -> None:
        """Consider an endpoint cold until some time after it is reached again."""
        traits = self._traits(entry)
        if traits.cold_rate:
            seconds = UNREACHABLE_SECONDS + traits.cold_start
            self._extend(entry, self.clock.seconds() + seconds).unreachable = True

    def record_reached(self, entry: EndpointEntry) -> None:
        """Record that the endpoint accepted a connection."""
        cold = self._find(entry)
        if cold is not None and cold.unreachable:
            cold.unreachable = False
            cold.cold_until = self.clock.seconds() + self._traits(entry).cold_start

    def forget(self, endpoint_id: str) -> None:
        """Discard the state of an endpoint that has left."""
        self.cold_by_id.pop(endpoint_id, None)

    def cold_until(self, entry: EndpointEntry) -> float | None:
        """Clock time at which the endpoint is considered warm; None if it is."""
        cold = self._find(entry)
        return None if cold is None else cold.cold_until

    def rate(self, entry: EndpointEntry) -> float:
        """Requests per second, from all gateways, that the endpoint bears while it is cold."""
        return self._traits(entry).cold_rate

    def count(self) -> int:
        """The number of cold endpoints."""
        now = self.clock.seconds()
        return sum(cold.cold_until > now for cold in self.cold_by_id.values())

    def _traits(self, entry: EndpointEntry) -> ServiceTraits:
        return self.find_service(entry.service) or UNLIMITED

    def _find(self, entry: EndpointEntry) -> _ColdEndpoint | None:
        """The endpoint's state while it is cold; drops it when the endpoint is warm."""
        cold = self.cold_by_id.get(entry.id)
        if cold is None:
            return None
        traits = self.find_service(entry.service)
        if traits is None:
            return cold
        if cold.turned_cold_at is not None:
            cold.cold_until = cold.turned_cold_at + traits.cold_start
            cold.turned_cold_at = None
        if not traits.cold_rate or cold.cold_until <= self.clock.seconds():
            del self.cold_by_id[entry.id]
            return None
        return cold

    def _extend(self, entry: EndpointEntry, cold_until: float) -> _ColdEndpoint:
        cold = self._find(entry)
        if cold is not None:
            cold.cold_until = max(cold.cold_until, cold_until)
            return cold
        cold = self.cold_by_id[entry.id] = _ColdEndpoint(cold_until)
        self.on_cold(entry, cold_until - self.clock.seconds())
        return cold
