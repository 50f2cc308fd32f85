"""Gateways before stand-in endpoints that may limit their rate, and the rule to keep."""

import bisect

from tests.quarantine.crashing_fleet import CrashingFleet

__all__ = ["LimitedFleet"]

# The rule, as endpoints' operators word it: from ``SETTLING_SECONDS`` after the limit was first
# named, an endpoint gets within any ``WINDOW_SECONDS`` at most ``OVERSHOOT`` times what it allows,
# and ``SLACK_REQUESTS`` more, from gateways that were told ``NOTICE_SECONDS`` before or earlier.
SETTLING_SECONDS = 3.0
NOTICE_SECONDS = 0.5
WINDOW_SECONDS = 4.0
OVERSHOOT = 1.5
SLACK_REQUESTS = 5


class _ArrivalLog:
    """The requests that reach one endpoint: (time, gateway, limit named in the answer)."""

    def __init__(self, fleet, endpoint):
        self.fleet, self.endpoint = fleet, endpoint
        self.arrivals = []
        self.told_at_by_gateway = {}
        self.named_at = None
        endpoint.standin.on_arrival = self._record

    def name_limit(self, rate):
        self.endpoint.standin.rate_limit = rate
        self.named_at = self.fleet.network.seconds()
        self.told_at_by_gateway.clear()

    def _record(self, request_id):
        now = self.fleet.network.seconds()
        gateway = self.fleet.gateways_by_request_id[request_id]
        self.arrivals.append((now, gateway))
        if self.endpoint.standin.rate_limit is not None:
            self.told_at_by_gateway.setdefault(gateway, now)

    def counted(self):
        """Times of the arrivals to which the rule applies."""
        return [
            at
            for at, gateway in self.arrivals
            if self.named_at is not None
            and at >= self.named_at + SETTLING_SECONDS
            and at >= self.told_at_by_gateway.get(gateway, at) + NOTICE_SECONDS
        ]

    def most_in_window(self):
        """The most such arrivals within any ``WINDOW_SECONDS``."""
        times = self.counted()
        ends = (bisect.bisect_right(times, start + WINDOW_SECONDS) for start in times)
        return max((end - index for index, end in enumerate(ends)), default=0)

    def count_between(self, start, end):
        return sum(start <= at < end for at, _ in self.arrivals)


class LimitedFleet(CrashingFleet):
    """Endpoints whose arrivals are recorded in ``logs``, by their position."""

    def __init__(self, endpoints=3, gateways=4, **options):
        super().__init__(endpoints=endpoints, gateways=gateways, work_seconds=0.03, **options)
        self.logs = [_ArrivalLog(self, endpoint) for endpoint in self.endpoints]

    def send(self, seconds, per_second=30.0, retry=False):
        """Send harmless requests of all kinds at random gateways."""
        until = self.network.seconds() + seconds
        self._schedule_repeatedly(1 / per_second, until, lambda: self.send_harmless(retry=retry))
        self.network.pass_time(seconds)

    def send_to(self, gateway, seconds, per_second=10.0):
        """Send harmless requests at one gateway."""
        until = self.network.seconds() + seconds
        self._schedule_repeatedly(
            1 / per_second, until, lambda: self.send_harmless(gateway=gateway)
        )
        self.network.pass_time(seconds)

    @staticmethod
    def allowed(rate):
        return OVERSHOOT * WINDOW_SECONDS * rate + SLACK_REQUESTS
