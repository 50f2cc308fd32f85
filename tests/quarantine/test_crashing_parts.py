"""Parts of prompts that crash each endpoint that begins to write an answer on them."""

import pytest

from guavacleat.quarantine import part_fingerprints
from tests.quarantine.parts_fleet import (
    ALONE,
    BAD,
    ENGINE,
    SHARED_AROUND,
    SHARED_FIRST,
    SHARED_SECOND,
    STABILITY_SECONDS,
    PartsFleet,
)

# Requests with the bad part that may reach endpoints later than that.
MAX_LATE_ARRIVALS = 3
# Sound requests must be served at least half as often as before.
MIN_SERVED = 0.5
GATEWAYS = [None, 3]
PARTS = [
    pytest.param(SHARED_FIRST, id="second-part"),
    pytest.param(SHARED_SECOND, id="first-part"),
    pytest.param(SHARED_AROUND, id="middle-part"),
    pytest.param(ALONE, id="only-part"),
]


def play(fleet, seconds=30.0, **sound):
    """Send sound requests, then bad ones too; return the served shares before and after."""
    fleet.pass_time(5.0, bad_interval=None, **sound)
    before = fleet.served_share()
    fleet.pass_time(2 * STABILITY_SECONDS, **sound)
    fleet.outcomes.clear()
    fleet.pass_time(seconds - 2 * STABILITY_SECONDS, **sound)
    return before, fleet.served_share()


def check(fleet, before, after):
    assert fleet.late_arrivals() <= MAX_LATE_ARRIVALS
    assert after >= MIN_SERVED * before


@pytest.mark.parametrize("gateways", GATEWAYS)
@pytest.mark.parametrize("parts", PARTS)
def test_a_part_that_crashes_endpoints_does_not_take_the_fleet_down(parts, gateways):
    """Guards against requests, no two alike, one part of which crashes endpoint after endpoint."""
    fleet = PartsFleet(parts, gateways=gateways)
    before, after = play(fleet)
    assert fleet.late_arrivals() <= MAX_LATE_ARRIVALS
    assert after >= MIN_SERVED * before


@pytest.mark.parametrize("service", [ENGINE, None], ids=["engine", "plain"])
@pytest.mark.parametrize("path", ["/listing/", "/page/", "/record/"])
def test_a_bad_part_is_found_on_every_kind_of_route(path, service):
    """Guards against a kind of request, repeated within the gateway or not, that is not watched."""
    fleet = PartsFleet(SHARED_FIRST, path, service, gateways=3)
    check(fleet, *play(fleet))


@pytest.mark.parametrize("events", [1, 3])
def test_a_few_events_before_the_crash_do_not_clear_a_part(events):
    """Guards against taking the first event of an answer for proof that its parts are sound."""
    fleet = PartsFleet(SHARED_FIRST, events_before_crash=events, gateways=3)
    check(fleet, *play(fleet))


def test_few_trials_over_all_gateways_in_minutes():
    """Guards against trials at every gateway once a refusal is over."""
    fleet = PartsFleet(SHARED_FIRST, gateways=12, data_centres=3)
    check(fleet, *play(fleet, 180.0, sound_interval=0.5))


@pytest.mark.parametrize("sound_interval", [0.4, 2.0])
def test_a_rare_sound_request_is_served_beside_a_frequent_bad_part(sound_interval):
    """Guards against refusing the shared part as too few requests show that it is sound."""
    fleet = PartsFleet(SHARED_FIRST, gateways=3)
    for _ in range(3):
        fleet.pass_time(2 * STABILITY_SECONDS, sound_interval=sound_interval)
    fleet.outcomes.clear()
    fleet.pass_time(30.0, sound_interval=sound_interval)
    check(fleet, 1.0, fleet.served_share())


def test_the_first_requests_of_a_route_do_not_convict_what_they_share():
    """Guards against refusing a shared part that nobody has seen to be sound before."""
    fleet = PartsFleet(SHARED_FIRST, gateways=3)
    fleet.pass_time(2.0, sound_interval=100.0)
    fleet.pass_time(2 * STABILITY_SECONDS)
    fleet.outcomes.clear()
    fleet.pass_time(10.0)
    check(fleet, 1.0, fleet.served_share())


@pytest.mark.parametrize("gateways", GATEWAYS)
def test_a_part_that_was_sound_for_long_may_turn_bad(gateways):
    """Guards against old answers that clear a part for good."""
    fleet = PartsFleet(SHARED_FIRST, gateways=gateways)
    for endpoint in fleet.fleet.endpoints:
        endpoint.standin.bad_parts = set()
    fleet.pass_time(10.0)
    for endpoint in fleet.fleet.endpoints:
        endpoint.standin.bad_parts = {BAD}
    check(fleet, *play(fleet))


def test_a_part_that_is_sound_again_is_served_again():
    """Guards against refusing a part for ever after the endpoints have been repaired."""
    fleet = PartsFleet(SHARED_FIRST, gateways=3)
    fleet.pass_time(10.0)
    for endpoint in fleet.fleet.endpoints:
        endpoint.standin.bad_parts = set()
    fleet.pass_time(70.0)
    fleet.bad_outcomes.clear()
    fleet.pass_time(5.0)
    assert fleet.bad_outcomes[200] > 0 and fleet.bad_outcomes[503] == 0


def test_two_bad_parts_at_a_time():
    """Guards against each bad part hiding behind the crashes of the other."""
    fleet = PartsFleet(SHARED_FIRST, bad_parts=(BAD, "worse0"), gateways=3)
    before, after = play(fleet)
    assert fleet.late_arrivals() <= 2 * MAX_LATE_ARRIVALS
    assert after >= MIN_SERVED * before


@pytest.mark.parametrize("at", [0.0, 1.0, 2.5, 8.0])
def test_a_rack_that_crashes_meanwhile_changes_nothing(at):
    """Guards against the crash of a rack that hides a bad part, or that convicts a sound one."""
    fleet = PartsFleet(SHARED_FIRST, gateways=3)
    fleet.pass_time(5.0, bad_interval=None)
    before = fleet.served_share()
    fleet.network.callLater(at, lambda: [e.crash() for e in fleet.fleet.endpoints[:4]])
    fleet.pass_time(4 * STABILITY_SECONDS)
    fleet.outcomes.clear()
    fleet.pass_time(18.0)
    check(fleet, before, fleet.served_share())


@pytest.mark.parametrize("gateways", GATEWAYS)
def test_the_loss_of_all_endpoints_convicts_no_part(gateways):
    """Guards against refusing the shared part of a route after a power cut."""
    fleet = PartsFleet(SHARED_FIRST, gateways=gateways)
    fleet.pass_time(5.0, bad_interval=None)
    for endpoint in fleet.fleet.endpoints:
        endpoint.crash()
    fleet.pass_time(4.0, bad_interval=None)
    fleet.outcomes.clear()
    fleet.pass_time(3.0, bad_interval=None)
    assert fleet.served_share() >= MIN_SERVED


def restart(fleet, instances):
    """Kill gateways and start them again a second later."""
    settings = {name: fleet.fleet.gateways[name].settings for name in instances}
    for name in instances:
        fleet.fleet.kill_gateway(name)
    for name, old in settings.items():
        fleet.network.callLater(1.0, fleet.fleet.start_gateway, name, old.ip, old.data_centre)


@pytest.mark.parametrize("at", [0.3, 1.0, 2.0, 6.0, 15.0])
def test_a_gateway_that_restarts_in_the_series_learns_of_the_part(at):
    """Guards against each start of a gateway beginning the count anew."""
    fleet = PartsFleet(SHARED_FIRST, gateways=4, data_centres=2)
    fleet.network.callLater(5.0 + at, restart, fleet, ["g1"])
    check(fleet, *play(fleet))


def test_gateways_that_all_restart_remember_the_part():
    """Guards against five more crashes after all gateways were lost at once."""
    fleet = PartsFleet(SHARED_FIRST, gateways=4, data_centres=2)
    fleet.pass_time(10.0)
    arrivals = fleet.late_arrivals()
    restart(fleet, list(fleet.fleet.gateways))
    fleet.network.pass_time(4.0)
    fleet.pass_time(20.0)
    assert fleet.late_arrivals() <= MAX_LATE_ARRIVALS
    assert fleet.late_arrivals() <= arrivals + 1


def test_a_gateway_that_was_cut_off_learns_of_the_part():
    """Guards against a gateway that was partitioned from its peers in the series."""
    fleet = PartsFleet(SHARED_FIRST, gateways=4, data_centres=2)
    ips = {name: gateway.settings.ip for name, gateway in fleet.fleet.gateways.items()}
    fleet.network.blocked_links = {
        pair
        for name, ip in ips.items()
        if name != "g3"
        for pair in ((ip, ips["g3"]), (ips["g3"], ip))
    }
    for _ in range(20):
        fleet.send_bad("g0")
        fleet.network.pass_time(0.5)
    fleet.network.blocked_links = set()
    fleet.network.pass_time(STABILITY_SECONDS)
    crashes = len(fleet.crashed_at)
    for _ in range(10):
        fleet.send_bad("g3")
        fleet.network.pass_time(0.5)
    assert len(fleet.crashed_at) <= crashes + 1
    assert fleet.late_arrivals() <= MAX_LATE_ARRIVALS


def test_a_queued_request_with_a_bad_part_is_refused_at_once():
    """Guards against holding requests in the queue that can no longer be served."""
    fleet = PartsFleet(SHARED_FIRST, endpoints=2, event_seconds=0.4)
    for _ in range(12):
        fleet.send_sound()
    fleet.network.pass_time(0.1)
    fleet.send_bad()
    fleet.network.pass_time(0.1)
    assert fleet.bad_outcomes.total() == 0 and len(fleet.fleet.arrivals) == 12
    tracker = fleet.fleet.gateways["g0"].crash_tracker
    for number in range(3):
        tracker.merge_crash(f"gone{number}", 0.0, [], parts=part_fingerprints([BAD.encode()]))
    fleet.network.pass_time(0.05)
    assert fleet.bad_outcomes == {503: 1}
