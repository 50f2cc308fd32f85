"""Limits the retries that this gateway sends to a service.

In any window, all gateways together may retry ``retry_ratio`` of the requests plus ``retry_extra``.
Each gateway may use the ratio of its own requests and an equal share of the extra, so the sum stays
within the limit without coordination. Unlimited retries would amplify an overload.

Moves of running streams go before repeats: they save the work of seconds, while a caller whose
request was rejected can come back. Repeats leave room for the moves of the streams that run here.

What a gateway doesn't know it assumes to its disadvantage: after its start, that the process before
it has just used the share of the extra; while it can't tell how many gateways there are, that its
share is nothing. The ratio of its own requests remains.
"""

import collections
import enum

from eliot import log_message

__all__ = ["RetryBudget", "RetryPurpose"]

# Share of the budget that is used: requests are counted when they arrive here, slightly before the
# endpoint counts them, so the two windows differ.
SAFETY_FACTOR = 0.8


# Part of the budget that repeats leave for moves at most.
MAX_MOVES_RESERVE = 0.5


class RetryPurpose(enum.Enum):
    """Why a request is sent once more; the value is logged."""

    REPEAT = "repeat"
    RESUME = "resume"
    HANDOVER = "handover"


class _Window:
    """Counts events in the last ``seconds``."""

    __slots__ = ("seconds", "times")

    def __init__(self, seconds: float):
        self.seconds = seconds
        self.times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        self.times.append(now)

    def count(self, now: float) -> int:
        while self.times and self.times[0] < now - self.seconds:
            self.times.popleft()
        return len(self.times)


class RetryBudget:
    """Counts requests and retries by service.

    Each send asks the budget right before the request is written: a request may wait for an
    endpoint or a connection after it was found that it could be sent.

    :param gateway_count: returns the number of gateways that share the budget; None if unknown.
    """

    def __init__(self, clock, bounds, gateway_count):
        self.clock = clock
        self.bounds = bounds
        self.gateway_count = gateway_count
        self.started_at = clock.seconds()
        # Streams that run here and could go on elsewhere.
        self.movable_by_service: collections.Counter[str] = collections.Counter()
        self.requests_by_service: dict[str, _Window] = {}
        self.retries_by_service: dict[str, _Window] = {}

    def record_request(self, service: str) -> None:
        """Count a caller's request."""
        self._window(self.requests_by_service, service).add(self.clock.seconds())

    def stream_started(self, service: str) -> None:
        """Keep room for the move of a stream that has begun to run."""
        self.movable_by_service[service] += 1

    def stream_ended(self, service: str) -> None:
        self.movable_by_service[service] -= 1

    def may_retry(self, service: str, purpose: RetryPurpose) -> bool:
        """Whether the budget permits another retry now."""
        now = self.clock.seconds()
        retries = self._window(self.retries_by_service, service).count(now)
        allowed = self._allowed(service, now)
        if purpose is RetryPurpose.REPEAT:
            allowed -= min(self.movable_by_service[service], MAX_MOVES_RESERVE * allowed)
        return retries + 1 <= allowed

    def may_send(self, request, purpose: RetryPurpose) -> bool:
        """Whether the budget permits to send a request now, as it does the first time.

        :param request: a :class:`~guavacleat.forwarding.request.ForwardedRequest`.
        """
        return not request.sends or self.may_retry(request.service, purpose)

    def take(self, request, purpose: RetryPurpose) -> bool:
        """Count a request that is sent right after this call; return whether it may be."""
        permitted = self.may_send(request, purpose)
        if permitted and request.sends:
            retries = self._window(self.retries_by_service, request.service)
            retries.add(self.clock.seconds())
        if request.sends:
            self._log(request, purpose, permitted)
        if permitted:
            request.sends += 1
        return permitted

    def _allowed(self, service: str, now: float) -> float:
        """Retries that this gateway may send within the window that ends now."""
        requests = self._window(self.requests_by_service, service).count(now)
        return SAFETY_FACTOR * (self.bounds.retry_ratio * requests + self._extra(now))

    def _extra(self, now: float) -> float:
        """This gateway's share of the extra."""
        gateways = self.gateway_count()
        if gateways is None or now - self.started_at < self.bounds.retry_window:
            return 0.0
        return self.bounds.retry_extra / gateways

    def _log(self, request, purpose: RetryPurpose, permitted: bool) -> None:
        now = self.clock.seconds()
        log_message(
            message_type="retry:sent" if permitted else "retry:denied",
            request=request.metadata.id,
            service=request.service,
            purpose=purpose.value,
            used=self._window(self.retries_by_service, request.service).count(now),
            allowed=round(self._allowed(request.service, now), 2),
            gateways=self.gateway_count(),
        )

    def _window(self, windows: dict[str, _Window], service: str) -> _Window:
        if service not in windows:
            windows[service] = _Window(self.bounds.retry_window)
        return windows[service]
