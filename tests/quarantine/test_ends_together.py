"""Sound requests in flight at endpoints that end together, and crashing ones sent in parallel."""

import pytest

from tests.quarantine.crashing_fleet import KINDS_BY_PATH, RESTART_SECONDS, CrashingFleet

# Time from the first endpoint's return until a sound request is served again.
SERVED_AGAIN_SECONDS = 3.0
# Endpoints that a crashing request may reach later than 3 s after its third crash.
MAX_LATER_CRASHES = 3
GATEWAY_COUNTS = [None, 6]


def in_flight_everywhere(fleet, path):
    """Send a request until every endpoint runs it."""
    for _ in range(8 * len(fleet.endpoints)):
        fleet.send_harmless(path)
    fleet.network.pass_time(0.02)


def end_all(fleet):
    for endpoint in fleet.endpoints:
        endpoint.crash()


def is_served_within(fleet, path, seconds):
    fleet.harmless_outcomes.clear()
    until = fleet.network.seconds() + seconds
    fleet._schedule_repeatedly(0.2, until, lambda: fleet.send_harmless(path))
    fleet.network.pass_time(seconds + 0.5)
    return fleet.harmless_outcomes[200] > 0


@pytest.mark.parametrize("gateways", GATEWAY_COUNTS)
@pytest.mark.parametrize("endpoints", [2, 3, 4, 6, 12])
@pytest.mark.parametrize("kind", KINDS_BY_PATH)
def test_sound_request_is_served_soon_after_all_endpoints_end_together(kind, endpoints, gateways):
    """Guards against a popular request that is refused for hours after a power cut."""
    fleet = CrashingFleet(endpoints, gateways, work_seconds=0.1)
    path = f"/{kind}/same"
    in_flight_everywhere(fleet, path)
    end_all(fleet)
    fleet.network.pass_time(RESTART_SECONDS)
    assert is_served_within(fleet, path, SERVED_AGAIN_SECONDS)


@pytest.mark.parametrize("gateways", GATEWAY_COUNTS)
@pytest.mark.parametrize("kind", KINDS_BY_PATH)
def test_sound_request_is_served_after_two_racks_end_in_turn(kind, gateways):
    """Guards against a second loss that counts as a trial of the request that failed."""
    fleet = CrashingFleet(8, gateways, work_seconds=2.0)
    path = f"/{kind}/same"
    in_flight_everywhere(fleet, path)
    for endpoint in fleet.endpoints[:4]:
        endpoint.crash()
    fleet.network.pass_time(1.5)
    for endpoint in fleet.endpoints[4:]:
        endpoint.crash()
    for endpoint in fleet.endpoints:
        endpoint.standin.work_seconds = 0.1
    fleet.network.pass_time(RESTART_SECONDS)
    assert is_served_within(fleet, path, SERVED_AGAIN_SECONDS)


@pytest.mark.parametrize("gateways", GATEWAY_COUNTS)
@pytest.mark.parametrize("kind", KINDS_BY_PATH)
def test_crashing_request_sent_in_parallel_reaches_few_endpoints(kind, gateways):
    """Guards against a crashing request that profits from crashes at one moment."""
    fleet = CrashingFleet(gateways=gateways)
    for _ in range(10):
        fleet.send_crasher(kind)
    fleet.network.pass_time(3.5)
    before = fleet.crashes
    until = fleet.network.seconds() + 60.0
    fleet._schedule_repeatedly(0.5, until, lambda: fleet.send_crasher(kind))
    fleet.network.pass_time(62.0)
    assert fleet.crashes <= before + MAX_LATER_CRASHES
