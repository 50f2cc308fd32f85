"""Gateways before stand-in endpoints that say things of themselves, and the rules to keep."""

import bisect

from guavacleat.standin.routed import EndpointFault
from tests.quarantine.crashing_fleet import CrashingFleet

__all__ = ["StatementFleet"]

# The rules, as endpoints' operators word them. Limits: from ``SETTLING_SECONDS`` after the limit
# was first named, an endpoint gets within any ``WINDOW_SECONDS`` at most ``OVERSHOOT`` times what
# it allows, and ``SLACK_REQUESTS`` more, from gateways that were told ``NOTICE_SECONDS`` before or
# earlier.
SETTLING_SECONDS = 3.0
NOTICE_SECONDS = 0.5
WINDOW_SECONDS = 4.0
OVERSHOOT = 1.5
SLACK_REQUESTS = 5
# Leaving: no request from a gateway that callers sent it later than this after it was told.
DRAIN_SECONDS = 2.0
# Pauses: at most this many requests from a gateway between ``NOTICE_SECONDS`` after the endpoint
# turned it away and the end of the time that it named.
REQUESTS_PER_PAUSE = 2


class _ArrivalLog:
    """The requests that reach one endpoint, and when it told which gateway what."""

    def __init__(self, fleet, endpoint):
        self.fleet, self.endpoint = fleet, endpoint
        self.standin = endpoint.standin
        # (time, gateway) of each arrival, (time, gateway, seconds) of each pause asked for.
        self.arrivals: list[tuple[float, str]] = []
        self.pauses: list[tuple[float, str, float]] = []
        self.told_limit_at_by_gateway = {}
        self.told_leaving_at_by_gateway = {}
        self.named_at = None
        # Seconds by which arrivals were too late at an endpoint that had said that it leaves.
        self.late_arrivals = []
        self.standin.on_arrival = self._record

    def name_limit(self, rate):
        self.standin.rate_limit = rate
        self.named_at = self.fleet.network.seconds()
        self.told_limit_at_by_gateway.clear()

    def turn_away(self, seconds):
        """Refuse all requests and ask for a pause of ``seconds``."""
        self.standin.fault, self.standin.pause = EndpointFault.REFUSE, seconds

    def serve(self):
        self.standin.fault, self.standin.pause = EndpointFault.NONE, None

    def _record(self, request_id):
        now = self.fleet.network.seconds()
        gateway, sent_at = self.fleet.sent_by_request_id[request_id]
        self.arrivals.append((now, gateway))
        told_at = self.told_leaving_at_by_gateway.get(gateway)
        if told_at is not None and sent_at > told_at + DRAIN_SECONDS:
            self.late_arrivals.append(sent_at - told_at)
        if self.standin.rate_limit is not None:
            self.told_limit_at_by_gateway.setdefault(gateway, now)
        if self.standin.leaving:
            self.told_leaving_at_by_gateway.setdefault(gateway, now + self.standin.work_seconds)
        if self.standin.pause is not None:
            self.pauses.append((now, gateway, self.standin.pause))

    def counted(self):
        """Times of the arrivals to which the rule of limits applies."""
        return [
            at
            for at, gateway in self.arrivals
            if self.named_at is not None
            and at >= self.named_at + SETTLING_SECONDS
            and at >= self.told_limit_at_by_gateway.get(gateway, at) + NOTICE_SECONDS
        ]

    def most_in_window(self):
        """The most such arrivals within any ``WINDOW_SECONDS``."""
        times = self.counted()
        ends = (bisect.bisect_right(times, start + WINDOW_SECONDS) for start in times)
        return max((end - index for index, end in enumerate(ends)), default=0)

    def most_in_pause(self):
        """The most requests of a gateway within a pause that the endpoint had asked it for."""
        return max(
            (
                sum(
                    gateway == sender and told_at + NOTICE_SECONDS < at <= told_at + seconds
                    for at, sender in self.arrivals
                )
                for told_at, gateway, seconds in self.pauses
            ),
            default=0,
        )

    def count_between(self, start, end):
        return sum(start <= at < end for at, _ in self.arrivals)


class StatementFleet(CrashingFleet):
    """Endpoints whose arrivals are recorded in ``logs``, by their position."""

    def __init__(self, endpoints=3, gateways=4, **options):
        super().__init__(endpoints=endpoints, gateways=gateways, work_seconds=0.03, **options)
        self.logs = [_ArrivalLog(self, endpoint) for endpoint in self.endpoints]

    def send(self, seconds, per_second=30.0, retry=False, path=None):
        """Send harmless requests of all kinds, or to ``path``, at random gateways."""
        until = self.network.seconds() + seconds
        self._schedule_repeatedly(
            1 / per_second, until, lambda: self.send_harmless(path=path, retry=retry)
        )
        self.network.pass_time(seconds)

    def send_to(self, gateway, seconds, per_second=10.0):
        """Send harmless requests at one gateway."""
        until = self.network.seconds() + seconds
        self._schedule_repeatedly(
            1 / per_second, until, lambda: self.send_harmless(gateway=gateway)
        )
        self.network.pass_time(seconds)

    def set_store_state(self, state):
        for link in self.store_links.values():
            link.set_state(state)

    @staticmethod
    def allowed(rate):
        return OVERSHOOT * WINDOW_SECONDS * rate + SLACK_REQUESTS
