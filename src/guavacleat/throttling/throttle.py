"""Limits the requests to cold endpoints.

An endpoint is cold for some time after its start, after an evacuation of its data centre, and
whenever it says so. An endpoint that could not be reached may restart: it is considered cold until
``cold_start`` seconds after it was reached again. A gateway whose share allows no request to it
considers it warm after ``UNREACHABLE_SECONDS``; the endpoint's entry says if it is still cold.
"""

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

from guavacleat.membership.registry import EndpointEntry
from guavacleat.routes import ServiceTraits
from guavacleat.throttling.shares import ShareRule

__all__ = ["EndpointThrottle"]

UNREACHABLE_SECONDS = 5.0
UNLIMITED = ServiceTraits("", 0)


class _ColdEndpoint:
    """The state of one cold endpoint.

    :ivar cold_until: clock time at which it is considered warm.
    :ivar next_send_at: clock time at which this gateway may send it the next request.
    :ivar unreachable: whether it could not be reached and has not been reached since.
    """

    __slots__ = ("cold_until", "next_send_at", "unreachable")

    def __init__(self, cold_until: float):
        self.cold_until = cold_until
        self.next_send_at = float("-inf")
        self.unreachable = False


class EndpointThrottle:
    """Tracks cold endpoints and the requests that this gateway sends them.

    :param share: this gateway's :class:`~.shares.ShareRule`; None if it is the only gateway.
    :param find_service: returns the :class:`~guavacleat.routes.ServiceTraits` of a service's name,
        or None.
    """

    def __init__(
        self,
        clock: IReactorTime,
        share: ShareRule | None = None,
        find_service=lambda name: None,
    ):
        self.clock = clock
        self.share = share
        self.find_service = find_service
        self.cold_by_id: dict[str, _ColdEndpoint] = {}

    def mark_cold(self, entry: EndpointEntry, seconds: float | None = None) -> None:
        """Consider an endpoint cold for ``seconds``; by default as long as after a start."""
        traits = self._traits(entry)
        if not traits.cold_rate:
            return
        seconds = traits.cold_start if seconds is None else seconds
        self._extend(entry, self.clock.seconds() + seconds)

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

    def is_cold(self, entry: EndpointEntry) -> bool:
        return self._find(entry) is not None

    def cold_count(self) -> int:
        """The number of cold endpoints."""
        now = self.clock.seconds()
        return sum(cold.cold_until > now for cold in self.cold_by_id.values())

    def may_send(self, entry: EndpointEntry) -> bool:
        """Whether a request to the endpoint is within this gateway's share."""
        cold = self._find(entry)
        if cold is None:
            return True
        return cold.next_send_at <= self.clock.seconds() and self._share(entry) > 0

    def seconds_until_allowed(self, entry: EndpointEntry) -> float:
        """Seconds until :meth:`may_send` becomes true."""
        cold = self._find(entry)
        if cold is None:
            return 0.0
        allowed_at = cold.next_send_at if self._share(entry) > 0 else cold.cold_until
        return max(0.0, allowed_at - self.clock.seconds())

    def record_send(self, entry: EndpointEntry) -> None:
        """Count a request that is being sent to the endpoint."""
        cold = self._find(entry)
        if cold is None:
            return
        share = self._share(entry)
        cold.next_send_at = self.clock.seconds() + 1 / share if share else cold.cold_until

    def _traits(self, entry: EndpointEntry) -> ServiceTraits:
        return self.find_service(entry.service) or UNLIMITED

    def _share(self, entry: EndpointEntry) -> float:
        rate = self._traits(entry).cold_rate
        return rate if self.share is None else self.share.rate(entry.id, rate)

    def _find(self, entry: EndpointEntry) -> _ColdEndpoint | None:
        """The endpoint's state while it is cold; drops it when the endpoint is warm."""
        cold = self.cold_by_id.get(entry.id)
        if cold is None:
            return None
        if cold.cold_until <= self.clock.seconds():
            del self.cold_by_id[entry.id]
            return None
        return cold

    def _extend(self, entry: EndpointEntry, cold_until: float) -> _ColdEndpoint:
        cold = self._find(entry)
        if cold is not None:
            cold.cold_until = max(cold.cold_until, cold_until)
            return cold
        cold = self.cold_by_id[entry.id] = _ColdEndpoint(cold_until)
        log_message(
            message_type="endpoint:cold",
            endpoint=entry.id,
            seconds=round(cold_until - self.clock.seconds(), 3),
            rate=self._traits(entry).cold_rate,
            share=round(self._share(entry), 3),
        )
        return cold
