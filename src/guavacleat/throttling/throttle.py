"""When this gateway may send a request to an endpoint that takes only some.

There are three reasons: the endpoint is cold, it named a limit of its rate in its answers, or it
turned this gateway away and asked for a pause. If several hold, the strictest counts. The gateways
share the rates by one rule, see ``shares``; a pause concerns this gateway alone.
"""

import enum
import math
import random

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

from guavacleat.membership.entries import EndpointEntry
from guavacleat.throttling.cold import ColdEndpoints
from guavacleat.throttling.demand import DemandMeter
from guavacleat.throttling.limits import LimitRegister
from guavacleat.throttling.pauses import PauseRegister
from guavacleat.throttling.shares import RateBound, ShareRule

__all__ = ["EndpointThrottle", "ThrottleCause"]

# By how much endpoints let the limits that they name be exceeded, as the platform documents it.
NAMED_LIMIT_BOUND = RateBound(overshoot=1.5, slack=5.0, window=4.0)
# Requests per second assumed of an endpoint that names a lower limit: without any request it could
# not say that its limit is over.
MIN_RATE = 0.25
# Refused callers are told to return one after another, within this time.
MAX_PROMISE_SECONDS = 5.0
# After an endpoint's pause, callers return spread over this time.
RETURN_SECONDS = 1.0


class ThrottleCause(enum.Enum):
    """Why an endpoint gets no request now; the values complete a sentence in the logs."""

    COLD = "was cold"
    LIMIT = "limited its rate"
    PAUSE = "had asked for a pause"


class _Restriction:
    """One reason why an endpoint takes only some requests.

    :param share: requests per second that this gateway may send.
    :param since: clock time from which requests are counted.
    :param until: clock time at which the reason ends; infinite if unknown.
    """

    __slots__ = ("cause", "share", "since", "until")

    def __init__(self, cause: ThrottleCause, share: float, since: float, until: float):
        self.cause = cause
        self.share = share
        self.since = since
        self.until = until

    @property
    def interval(self) -> float:
        """Seconds between two requests of this gateway."""
        return 1 / self.share if self.share > 0 else math.inf

    def allowed_at(self, last_sent_at: float) -> float:
        """Clock time from which the next request may be sent."""
        return min(self.until, max(self.since, last_sent_at) + self.interval)


class EndpointThrottle:
    """Spaces this gateway's requests to endpoints that take only some.

    :param cold: the :class:`~.cold.ColdEndpoints`.
    :param limits: the :class:`~.limits.LimitRegister`.
    :param pauses: the :class:`~.pauses.PauseRegister`.
    :param share: this gateway's :class:`~.shares.ShareRule`; None if it is the only gateway.
    :param cold_bound: by how much the rate of a cold endpoint may be exceeded.
    :param demand: counts the requests, those refused included.
    """

    def __init__(
        self,
        clock: IReactorTime,
        cold: ColdEndpoints | None = None,
        limits: LimitRegister | None = None,
        pauses: PauseRegister | None = None,
        share: ShareRule | None = None,
        cold_bound: RateBound | None = None,
        demand: DemandMeter | None = None,
    ):
        self.clock = clock
        self.cold = cold or ColdEndpoints(clock)
        self.limits = limits or LimitRegister(clock)
        self.pauses = pauses or PauseRegister(clock)
        self.share = share
        self.cold_bound = cold_bound or RateBound(overshoot=1.5, slack=5.0, window=1.0)
        self.demand = demand or DemandMeter(clock)
        self.cold.on_cold = self._log_cold
        # Clock times of the last requests to endpoints with a limit, and the latest times at which
        # refused callers were told to return for them.
        self._sent_at_by_id: dict[str, float] = {}
        self._promised_at_by_id: dict[str, float] = {}
        self.random = random.Random()

    def is_throttled(self, entry: EndpointEntry) -> bool:
        """Whether the endpoint takes only some requests, whether or not it takes one now."""
        return not self._is_unrestricted(entry.id) and bool(self._restrictions(entry))

    def is_paused(self, entry: EndpointEntry) -> bool:
        """Whether the endpoint wants nothing from this gateway for now."""
        return self.pauses.until(entry.id) is not None

    def may_send(self, entry: EndpointEntry) -> bool:
        """Whether a request to the endpoint is within this gateway's share now."""
        return self._is_unrestricted(entry.id) or self.seconds_until_allowed(entry) <= 0

    def seconds_until_allowed(self, entry: EndpointEntry) -> float:
        """Seconds until :meth:`may_send` becomes true; infinite if this gateway has no share."""
        allowed_at = self._allowed_at_by_cause(entry).values()
        return max(0.0, max(allowed_at, default=0.0) - self.clock.seconds())

    def cause(self, entry: EndpointEntry) -> ThrottleCause | None:
        """Why the endpoint gets no request now; None if it may get one."""
        if self.may_send(entry):
            return None
        allowed_at = self._allowed_at_by_cause(entry)
        return max(allowed_at, key=allowed_at.get)

    def record_send(self, entry: EndpointEntry) -> None:
        """Count a request that is being sent to the endpoint."""
        self.limits.record_send(entry.id)
        self.demand.record(entry.service)
        self.space_next(entry)

    def space_next(self, entry: EndpointEntry) -> None:
        """Space the next request to the endpoint from now on."""
        if self.is_throttled(entry):
            self._sent_at_by_id[entry.id] = self.clock.seconds()
        else:
            self._sent_at_by_id.pop(entry.id, None)
            self._promised_at_by_id.pop(entry.id, None)

    def promise(self, entry: EndpointEntry) -> float:
        """Seconds after which a caller that is refused now may return; each gets another time."""
        now = self.clock.seconds()
        self.demand.record(entry.service)
        interval = max((reason.interval for reason in self._restrictions(entry)), default=0.0)
        allowed_at = now + self.seconds_until_allowed(entry)
        if math.isinf(interval):
            return allowed_at - now + self.random.uniform(0.0, RETURN_SECONDS)
        promised_at = max(allowed_at, self._promised_at_by_id.get(entry.id, now) + interval)
        if entry.id not in self._promised_at_by_id or promised_at - interval < now:
            promised_at = allowed_at
        if promised_at > now + MAX_PROMISE_SECONDS:
            # More callers than places: there is no time at which each of them finds one.
            return self.random.uniform(allowed_at - now, MAX_PROMISE_SECONDS)
        self._promised_at_by_id[entry.id] = promised_at
        return promised_at - now

    def is_cold(self, entry: EndpointEntry) -> bool:
        """Whether the endpoint is considered cold."""
        return self.cold.cold_until(entry) is not None

    def forget(self, endpoint_id: str) -> None:
        """Discard the state of an endpoint that has left or restarted."""
        self.cold.forget(endpoint_id)
        self.limits.forget(endpoint_id)
        self.pauses.forget(endpoint_id)
        self._sent_at_by_id.pop(endpoint_id, None)
        self._promised_at_by_id.pop(endpoint_id, None)

    def _is_unrestricted(self, endpoint_id: str) -> bool:
        """Whether nothing is known of the endpoint; each choice asks this of all endpoints."""
        return not (
            endpoint_id in self.cold.cold_by_id
            or endpoint_id in self.limits.latest_by_id
            or endpoint_id in self.pauses.until_by_id
        )

    def _allowed_at_by_cause(self, entry: EndpointEntry) -> dict[ThrottleCause, float]:
        sent_at = self._sent_at_by_id.get(entry.id, -math.inf)
        return {
            restriction.cause: restriction.allowed_at(sent_at)
            for restriction in self._restrictions(entry)
        }

    def _restrictions(self, entry: EndpointEntry) -> list[_Restriction]:
        """Those of the endpoint; empty in the usual case that there is none."""
        restrictions = []
        cold_until = self.cold.cold_until(entry)
        if cold_until is not None:
            share = self._share(entry, self.cold.rate(entry), self.cold_bound)
            restrictions.append(_Restriction(ThrottleCause.COLD, share, -math.inf, cold_until))
        statement = self.limits.find(entry.id)
        if statement is not None:
            rate = max(MIN_RATE, statement.rate)
            share = self._share(entry, rate, NAMED_LIMIT_BOUND, entry.service)
            restrictions.append(_Restriction(ThrottleCause.LIMIT, share, statement.since, math.inf))
        paused_until = self.pauses.until(entry.id)
        if paused_until is not None:
            restrictions.append(_Restriction(ThrottleCause.PAUSE, 0.0, -math.inf, paused_until))
        return restrictions

    def _log_cold(self, entry: EndpointEntry, seconds: float) -> None:
        rate = self.cold.rate(entry)
        log_message(
            message_type="endpoint:cold",
            endpoint=entry.id,
            seconds=round(seconds, 3),
            rate=rate,
            share=round(self._share(entry, rate, self.cold_bound), 3),
        )

    def _share(
        self, entry: EndpointEntry, rate: float, bound: RateBound, service: str | None = None
    ) -> float:
        return rate if self.share is None else self.share.rate(entry.id, rate, bound, service)
