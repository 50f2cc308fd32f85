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


class _LimitPeriod:
    """The time in which an endpoint named one limit, and the arrivals to which the rule applies."""

    def __init__(self, rate, started_at):
        self.rate, self.started_at = rate, started_at
        self.told_at_by_gateway = {}
        self.times = []

    def record(self, now, gateway):
        told_at = self.told_at_by_gateway.setdefault(gateway, now)
        if now >= max(self.started_at + SETTLING_SECONDS, told_at + NOTICE_SECONDS):
            self.times.append(now)

    def most_in_window(self):
        """The most such arrivals within any ``WINDOW_SECONDS``."""
        ends = (bisect.bisect_right(self.times, start + WINDOW_SECONDS) for start in self.times)
        return max((end - index for index, end in enumerate(ends)), default=0)

    def allowed(self):
        return OVERSHOOT * WINDOW_SECONDS * self.rate + SLACK_REQUESTS


class _ArrivalLog:
    """The requests that reach one endpoint, and when it told which gateway what."""

    def __init__(self, fleet, endpoint):
        self.fleet, self.endpoint = fleet, endpoint
        self.standin = endpoint.standin
        # (time, gateway) of each arrival, (time, gateway, seconds) of each pause asked for.
        self.arrivals: list[tuple[float, str]] = []
        self.pauses: list[tuple[float, str, float]] = []
        self.limits: list[_LimitPeriod] = []
        self.told_leaving_at_by_gateway = {}
        # Seconds by which arrivals were too late at an endpoint that had said that it leaves.
        self.late_arrivals = []
        self.standin.on_arrival = self._record

    def name_limit(self, rate):
        self.standin.rate_limit = rate
        self.limits.append(_LimitPeriod(rate, self.fleet.network.seconds()))

    def end_limit(self):
        self.standin.rate_limit = None

    def turn_away(self, seconds):
        """Refuse all requests and ask for a pause of ``seconds``."""
        self.standin.fault, self.standin.pause = EndpointFault.REFUSE, seconds

    def serve(self):
        self.standin.fault, self.standin.pause = EndpointFault.NONE, None

    def restart(self):
        """Crash; the next process says nothing of itself, and was told nothing."""
        self.serve()
        self.end_limit()
        self.standin.leaving = False
        self.told_leaving_at_by_gateway.clear()
        self.pauses.clear()
        self.endpoint.crash()

    def forget_gateway(self, gateway):
        """Forget what a gateway was told that has restarted."""
        self.told_leaving_at_by_gateway.pop(gateway, None)
        self.pauses = [pause for pause in self.pauses if pause[1] != gateway]
        for period in self.limits:
            period.told_at_by_gateway.pop(gateway, None)

    def _record(self, request_id):
        now = self.fleet.network.seconds()
        gateway, sent_at = self.fleet.sent_by_request_id[request_id]
        self.arrivals.append((now, gateway))
        told_at = self.told_leaving_at_by_gateway.get(gateway)
        if told_at is not None and sent_at > told_at + DRAIN_SECONDS:
            self.late_arrivals.append(sent_at - told_at)
        if self.standin.rate_limit is not None:
            self.limits[-1].record(now, gateway)
        if self.standin.leaving:
            self.told_leaving_at_by_gateway.setdefault(gateway, now + self.standin.work_seconds)
        if self.standin.pause is not None:
            self.pauses.append((now, gateway, self.standin.pause))

    def exceeded_limits(self):
        """(requests, allowed) within ``WINDOW_SECONDS`` of each limit that was not kept."""
        found = ((period.most_in_window(), period.allowed()) for period in self.limits)
        return [(most, allowed) for most, allowed in found if most > allowed]

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
