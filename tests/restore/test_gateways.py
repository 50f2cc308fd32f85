"""Gateways whose store comes back from a copy some seconds old."""

import pytest

from guavacleat.membership.registry import EndpointState
from guavacleat.peers.sync import WATCHERS
from tests.restore.fleet import RestoredFleet

# Within so long after the store is back every gateway knows what is there.
SEEN_SECONDS = 2.0
LOST_SECONDS = 4.0
# Calls of the store that a restore may cost, beside those of calm seconds: each gateway registers
# again; a listener also asks its two watches again, lists both kinds and gets out of step.
CALLS_EACH = 1
CALLS_OF_LISTENERS = 7


@pytest.fixture
def fleet():
    fleet = RestoredFleet()
    fleet.pass_time(5.0)
    return fleet


def lose_time(fleet, in_between):
    """Keep a copy, let ``in_between`` happen in the seconds that a restore takes back."""
    fleet.store.copy()
    in_between()
    fleet.pass_time(LOST_SECONDS)
    fleet.restore()


def beliefs(fleet):
    return {frozenset(gateway.ready_ids()) for gateway in fleet.gateways.values()}


def test_an_endpoint_that_comes_after_a_restore_is_seen_by_all(fleet):
    """Guards against entries that pass for old until the counter has caught up."""
    lose_time(fleet, lambda: None)
    fleet.pass_time(1.0)
    fleet.set_endpoint("e3", "ready")
    fleet.pass_time(SEEN_SECONDS)
    assert beliefs(fleet) == {frozenset({"e1", "e2", "e3"})}


def test_an_endpoint_that_came_in_the_lost_time_is_kept(fleet):
    """Guards against dropping an endpoint whose entry the copy does not hold."""
    lose_time(fleet, lambda: fleet.set_endpoint("e3", "ready"))
    seen = []
    for _ in range(30):
        fleet.pass_time(0.1)
        seen.append(beliefs(fleet))
    assert all(belief == {frozenset({"e1", "e2", "e3"})} for belief in seen)


def test_an_endpoint_that_ended_in_the_lost_time_stays_gone(fleet):
    """Guards against work sent to an endpoint that only the copy holds."""
    lose_time(fleet, lambda: fleet.remove_endpoint("e2"))
    for _ in range(30):
        assert beliefs(fleet) == {frozenset({"e1"})}
        fleet.pass_time(0.1)
    fleet.lapse_dead()
    fleet.pass_time(SEEN_SECONDS)
    assert beliefs(fleet) == {frozenset({"e1"})}


def test_an_endpoint_that_drains_gets_no_new_work_after_a_restore(fleet):
    """Guards against new work for an endpoint that the copy calls ready."""
    lose_time(fleet, lambda: fleet.set_endpoint("e2", "draining"))
    for _ in range(30):
        assert beliefs(fleet) == {frozenset({"e1"})}
        fleet.pass_time(0.1)


def test_an_endpoint_is_ready_again_once_it_says_so(fleet):
    """Guards against an endpoint that stays out because of what it said before the restore."""
    lose_time(fleet, lambda: fleet.set_endpoint("e2", "draining"))
    fleet.pass_time(SEEN_SECONDS)
    fleet.set_endpoint("e2", "ready")
    fleet.pass_time(SEEN_SECONDS)
    assert beliefs(fleet) == {frozenset({"e1", "e2"})}


def test_the_configuration_never_goes_back_and_the_next_is_taken(fleet):
    """Guards against the copy's older configuration, and against ignoring what comes after."""
    lose_time(fleet, lambda: fleet.configure(7))
    for _ in range(30):
        fleet.pass_time(0.1)
        assert {gateway.holder.version for gateway in fleet.gateways.values()} == {7}
    fleet.configure(7)
    fleet.pass_time(1.0)
    fleet.configure(8)
    fleet.pass_time(SEEN_SECONDS)
    assert {gateway.holder.version for gateway in fleet.gateways.values()} == {8}


def test_a_gateway_that_is_deaf_to_the_store_hears_of_the_new_order(fleet):
    """Guards against a gateway that takes its peers' news for old."""
    deaf = fleet.gateways["g0-1"]
    lose_time(fleet, lambda: setattr(deaf.link.state_of_way, "state", "refused"))
    fleet.pass_time(1.0)
    fleet.set_endpoint("e3", "ready")
    fleet.remove_endpoint("e1")
    fleet.pass_time(SEEN_SECONDS)
    assert deaf.ready_ids() == {"e2", "e3"}


def test_two_restores_in_a_row(fleet):
    lose_time(fleet, lambda: fleet.set_endpoint("e3", "ready"))
    fleet.pass_time(0.2)
    lose_time(fleet, lambda: fleet.remove_endpoint("e1"))
    fleet.pass_time(1.0)
    fleet.set_endpoint("e4", "ready")
    fleet.pass_time(SEEN_SECONDS)
    assert beliefs(fleet) == {frozenset({"e2", "e3", "e4"})}


def test_gateways_that_start_after_a_restore_find_each_other(fleet):
    """Guards against addresses that were written in the lost time and are gone."""
    lose_time(fleet, lambda: fleet.add("g1-9", "dc1", "10.1.0.9"))
    fleet.pass_time(5.0)
    assert ("gateways", "g1-9") in fleet.store.objects


def test_a_restore_costs_few_calls():
    """Guards against all gateways listing at once what six could tell them."""
    fleet = RestoredFleet(data_centres=2, per_data_centre=12)
    fleet.pass_time(5.0)
    calm = _calls(fleet, 4.0)
    lose_time(fleet, lambda: None)
    allowed = CALLS_EACH * len(fleet.gateways) + CALLS_OF_LISTENERS * WATCHERS
    assert _calls(fleet, 4.0) <= calm + allowed


def _calls(fleet, seconds):
    before = fleet.store.call_count
    fleet.pass_time(seconds)
    return fleet.store.call_count - before


def test_a_late_answer_of_the_former_era_changes_nothing(fleet):
    """Guards against an answer that was under way during the restore."""
    gateway = fleet.gateways["g0-0"]
    answer = fleet.store._list("servers", "")
    lose_time(fleet, lambda: fleet.set_endpoint("e2", "draining"))
    fleet.pass_time(2.0)
    way = gateway.link.state_of_way
    way.request = lambda *args, **kwargs: _done(answer)
    failed = []
    gateway.link.list_objects("servers").addErrback(failed.append)
    assert failed
    assert gateway.registry.entries_by_id["e2"].state is EndpointState.DRAINING


def _done(answer):
    from twisted.internet import defer

    return defer.succeed(answer)
