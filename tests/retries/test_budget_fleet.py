"""All gateways together stay within the retry budget, whatever each of them knows."""

import collections

import pytest

from guavacleat.settings import Bounds
from guavacleat.standin.routed import EndpointFault
from tests.quarantine.crashing_fleet import CrashingFleet

BOUNDS = Bounds(retry_ratio=0.2, retry_extra=60.0, retry_window=10.0)
REQUESTS_PER_SECOND = 60.0


class RejectingFleet(CrashingFleet):
    """Gateways before endpoints that reject all requests as not run."""

    def __init__(self, **options):
        super().__init__(endpoints=6, **options)
        for endpoint in self.endpoints:
            endpoint.standin.fault = EndpointFault.REFUSE

    def send(self, seconds):
        until = self.network.seconds() + seconds
        self._schedule_repeatedly(1 / REQUESTS_PER_SECOND, until, self.send_harmless)
        self.network.pass_time(seconds)

    def most_beyond_budget(self):
        """The most retries beyond the budget in any window; at most 0 if it is kept.

        A window's requests are those of the window before it if these are more.
        """
        arrivals = collections.Counter()
        retried_at = []
        for at, request_id in self.arrivals:
            if arrivals[request_id]:
                retried_at.append(at)
            arrivals[request_id] += 1
        sent_at = [at for _, at in self.sent_by_request_id.values()]
        seconds = BOUNDS.retry_window

        def requests(end):
            return sum(end - seconds <= at <= end for at in sent_at)

        return max(
            (
                sum(end - seconds <= at <= end for at in retried_at)
                - BOUNDS.retry_ratio * max(requests(end), requests(end - seconds))
                - BOUNDS.retry_extra
                for end in retried_at
            ),
            default=0,
        )


@pytest.mark.parametrize("gateways, killed", [(6, 3), (12, 12)])
def test_gateways_that_restart_stay_within_the_budget(gateways, killed):
    """Guards against processes that use a share again that the one before them has used."""
    fleet = RejectingFleet(gateways=gateways, data_centres=3)
    fleet.send(10.0)
    for number in range(5):
        names = sorted(fleet.gateways)
        fleet.restart(names[number % 2 :: 2] if killed < gateways else names)
        fleet.send(2.0)
    assert fleet.most_beyond_budget() <= 0


def test_gateways_that_know_no_others_stay_within_the_budget():
    """Guards against gateways that each use the whole extra as long as they can't register."""
    fleet = RejectingFleet(gateways=6, data_centres=3)
    fleet.restart_unregistered()
    fleet.send(25.0)
    assert fleet.most_beyond_budget() <= 0


def test_rejected_requests_are_sent_again_within_the_budget():
    """Guards against a budget that is kept by using little of it."""
    fleet = RejectingFleet(gateways=6, data_centres=3)
    fleet.send(25.0)
    assert -60 <= fleet.most_beyond_budget() <= 0
