"""Gateways before stand-in endpoints that crash under too many requests while they are cold."""

import pytest

from guavacleat.settings import Bounds
from tests.quarantine.crashing_fleet import CrashingFleet

COLD_SECONDS = 3.0
COLD_RATE = 4.0
COLD_LIMIT = Bounds().cold_overshoot * COLD_RATE + Bounds().cold_slack


def make_fleet(gateways, service):
    return CrashingFleet(
        endpoints=4,
        gateways=gateways,
        data_centres=2,
        cold_seconds=COLD_SECONDS,
        cold_limit=COLD_LIMIT,
        service=service,
    )


def restart_endpoints_under_load(fleet):
    """Restart three of four endpoints together, with 100 requests a second, for ten seconds."""
    until = fleet.network.seconds() + 10.0
    fleet._schedule_repeatedly(0.01, until, lambda: fleet.send_harmless(retry=True))
    for endpoint in fleet.endpoints[1:]:
        endpoint.crash()
    fleet.network.pass_time(12.0)


@pytest.mark.parametrize("gateways", [2, 6, 20])
def test_endpoints_that_return_cold_do_not_crash(gateways):
    """Guards against a herd of requests to endpoints that come back together."""
    fleet = make_fleet(gateways, {"cold_start": COLD_SECONDS, "cold_rate": COLD_RATE})
    restart_endpoints_under_load(fleet)
    assert fleet.crashes == 3
    assert all(endpoint.standin.runs_by_request for endpoint in fleet.endpoints)


def test_endpoints_crash_again_without_the_limit():
    """Shows that the load would crash cold endpoints."""
    fleet = make_fleet(6, {})
    restart_endpoints_under_load(fleet)
    assert fleet.crashes > 3
