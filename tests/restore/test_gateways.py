"""Gateways whose store is restored from a copy that is seconds old."""

import pytest

from guavacleat.membership.entries import EndpointState
from guavacleat.peers.sync import WATCHERS
from tests.restore.fleet import RestoredFleet

# Time after a change or a restore until every gateway knows the current state.
PROPAGATION_SECONDS = 2.0
COPY_AGE_SECONDS = 4.0
# Additional store calls that a restore may cause: each gateway registers again; a watcher also
# restarts its two watches and lists both kinds.
CALLS_PER_GATEWAY = 1
CALLS_PER_WATCHER = 7


@pytest.fixture
def fleet():
    fleet = RestoredFleet()
    fleet.pass_time(5.0)
    return fleet


def restore_after(fleet, lost_changes):
    """Copy the store, call ``lost_changes`` to change it, and restore the copy seconds later."""
    fleet.store.copy()
    lost_changes()
    fleet.pass_time(COPY_AGE_SECONDS)
    fleet.restore()


def distinct_ready_ids(fleet):
    return {frozenset(gateway.ready_ids()) for gateway in fleet.gateways.values()}


def test_an_endpoint_added_after_a_restore_reaches_all_gateways(fleet):
    """Guards against ignoring new entries until the revision exceeds the one before the restore."""
    restore_after(fleet, lambda: None)
    fleet.pass_time(1.0)
    fleet.set_endpoint("e3", "ready")
    fleet.pass_time(PROPAGATION_SECONDS)
    assert distinct_ready_ids(fleet) == {frozenset({"e1", "e2", "e3"})}


def test_an_endpoint_added_before_the_restore_is_kept(fleet):
    """Guards against dropping an endpoint whose entry is missing from the copy."""
    restore_after(fleet, lambda: fleet.set_endpoint("e3", "ready"))
    seen = []
    for _ in range(30):
        fleet.pass_time(0.1)
        seen.append(distinct_ready_ids(fleet))
    assert all(ids == {frozenset({"e1", "e2", "e3"})} for ids in seen)


def test_an_endpoint_removed_before_the_restore_stays_removed(fleet):
    """Guards against sending work to an endpoint that exists only in the copy."""
    restore_after(fleet, lambda: fleet.remove_endpoint("e2"))
    for _ in range(30):
        assert distinct_ready_ids(fleet) == {frozenset({"e1"})}
        fleet.pass_time(0.1)
    fleet.remove_stale_entries()
    fleet.pass_time(PROPAGATION_SECONDS)
    assert distinct_ready_ids(fleet) == {frozenset({"e1"})}


def test_a_draining_endpoint_gets_no_new_work_after_a_restore(fleet):
    """Guards against new work for a draining endpoint that is ready in the copy."""
    restore_after(fleet, lambda: fleet.set_endpoint("e2", "draining"))
    for _ in range(30):
        assert distinct_ready_ids(fleet) == {frozenset({"e1"})}
        fleet.pass_time(0.1)


def test_a_draining_endpoint_can_become_ready_after_a_restore(fleet):
    """Guards against an endpoint that stays excluded because of its state before the restore."""
    restore_after(fleet, lambda: fleet.set_endpoint("e2", "draining"))
    fleet.pass_time(PROPAGATION_SECONDS)
    fleet.set_endpoint("e2", "ready")
    fleet.pass_time(PROPAGATION_SECONDS)
    assert distinct_ready_ids(fleet) == {frozenset({"e1", "e2"})}


def test_the_configuration_never_reverts_and_the_next_one_is_applied(fleet):
    """Guards against applying the copy's older configuration, and against ignoring later ones."""
    restore_after(fleet, lambda: fleet.configure(7))
    for _ in range(30):
        fleet.pass_time(0.1)
        assert {gateway.holder.version for gateway in fleet.gateways.values()} == {7}
    fleet.configure(7)
    fleet.pass_time(1.0)
    fleet.configure(8)
    fleet.pass_time(PROPAGATION_SECONDS)
    assert {gateway.holder.version for gateway in fleet.gateways.values()} == {8}


def test_a_gateway_without_the_store_learns_of_changes_after_a_restore(fleet):
    """Guards against a gateway that ignores its peers' reports of the new era as outdated."""
    isolated = fleet.gateways["g0-1"]
    restore_after(fleet, lambda: setattr(isolated.link.store_connection, "state", "refused"))
    fleet.pass_time(1.0)
    fleet.set_endpoint("e3", "ready")
    fleet.remove_endpoint("e1")
    fleet.pass_time(PROPAGATION_SECONDS)
    assert isolated.ready_ids() == {"e2", "e3"}


def test_two_restores_in_a_row(fleet):
    restore_after(fleet, lambda: fleet.set_endpoint("e3", "ready"))
    fleet.pass_time(0.2)
    restore_after(fleet, lambda: fleet.remove_endpoint("e1"))
    fleet.pass_time(1.0)
    fleet.set_endpoint("e4", "ready")
    fleet.pass_time(PROPAGATION_SECONDS)
    assert distinct_ready_ids(fleet) == {frozenset({"e2", "e3", "e4"})}


def test_a_gateway_whose_address_was_lost_registers_again(fleet):
    """Guards against a gateway address that is missing from the copy and never written again."""
    restore_after(fleet, lambda: fleet.add("g1-9", "dc1", "10.1.0.9"))
    fleet.pass_time(5.0)
    assert ("gateways", "g1-9") in fleet.store.objects


def test_a_restore_costs_few_calls():
    """Guards against all gateways listing the store at once instead of a few watchers."""
    fleet = RestoredFleet(data_centres=2, per_data_centre=12)
    fleet.pass_time(5.0)
    baseline = _calls(fleet, 4.0)
    restore_after(fleet, lambda: None)
    allowed = CALLS_PER_GATEWAY * len(fleet.gateways) + CALLS_PER_WATCHER * WATCHERS
    assert _calls(fleet, 4.0) <= baseline + allowed


def _calls(fleet, seconds):
    before = fleet.store.call_count
    fleet.pass_time(seconds)
    return fleet.store.call_count - before


def test_a_late_response_of_an_earlier_era_is_ignored(fleet):
    """Guards against a response that was in flight during the restore."""
    gateway = fleet.gateways["g0-0"]
    response = fleet.store._list("servers", "")
    restore_after(fleet, lambda: fleet.set_endpoint("e2", "draining"))
    fleet.pass_time(2.0)
    connection = gateway.link.store_connection
    connection.request = lambda *args, **kwargs: _done(response)
    failed = []
    gateway.link.list_objects("servers").addErrback(failed.append)
    assert failed
    assert gateway.registry.entries_by_id["e2"].state is EndpointState.DRAINING


def _done(response):
    from twisted.internet import defer

    return defer.succeed(response)
