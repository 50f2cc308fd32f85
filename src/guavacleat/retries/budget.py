"""How many repeats this gateway may send to a service.

Over any window, all gateways together may repeat ``ratio`` of the requests, and ``extra`` times
besides. Each gateway takes the ratio of its own requests and an even part of the extra: whatever
the others do, the sum then stays within the bound. Without a bound, endpoints that fail under
load would get more load from the repeats, and fail more.
"""

import collections

__all__ = ["RetryBudget"]

# Part of the budget that is used at most: requests are counted here when they arrive and at the
# endpoint a little later, so the two windows never match exactly.
USED_SHARE = 0.8


class _Window:
    """Times of events in the last ``seconds``."""

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
    """Counts requests and repeats by service; ``gateways()`` returns how many share the extra."""

    def __init__(self, clock, bounds, gateways):
        self.clock = clock
        self.bounds = bounds
        self.gateways = gateways
        self.requests_by_service: dict[str, _Window] = {}
        self.repeats_by_service: dict[str, _Window] = {}

    def record_request(self, service: str) -> None:
        """A caller's request for the service arrived."""
        self._window(self.requests_by_service, service).add(self.clock.seconds())

    def record_retry(self, service: str) -> None:
        """A request is sent once more, whatever the budget says."""
        self._window(self.repeats_by_service, service).add(self.clock.seconds())

    def may_retry(self, service: str) -> bool:
        """Whether one more repeat fits the budget."""
        now = self.clock.seconds()
        requests = self._window(self.requests_by_service, service).count(now)
        repeats = self._window(self.repeats_by_service, service).count(now)
        extra = self.bounds.retry_extra / max(1, self.gateways())
        return repeats + 1 <= USED_SHARE * (self.bounds.retry_ratio * requests + extra)

    def _window(self, windows: dict[str, _Window], service: str) -> _Window:
        if service not in windows:
            windows[service] = _Window(self.bounds.retry_window)
        return windows[service]
