"""Gateways of several data centres while data centres are evacuated and restored."""

import pytest

from guavacleat.placement import Placement
from tests.peers.fleet import EVACUATIONS, Fleet
from tests.restore.fleet import RestoredFleet

# Time in which an evacuation has to be in force at gateways that reach the store or a peer.
BOUND_SECONDS = 5.0


@pytest.fixture
def fleet():
    fleet = Fleet(2, 3, endpoints=("e1", "e2"))
    fleet.pass_time(3.0)
    return fleet


def usable_ids(gateway):
    placement = Placement(
        gateway.registry, gateway.load, gateway.data_centre, evacuations=gateway.evacuations
    )
    return {entry.id for entry in placement.ready("svc", set())}


def all_usable_ids(fleet):
    return [usable_ids(gateway) for gateway in fleet.gateways.values()]


def evacuate(fleet):
    fleet.store.write(EVACUATIONS, "dc", {})


def end_evacuation(fleet):
    fleet.store.write(EVACUATIONS, "dc", None, deleted=True)


def test_evacuated_data_centre_gets_no_new_requests(fleet):
    """Guards against requests to engines of a data centre for as long as it is evacuated."""
    fleet.store.write("evacuations", "dc", {})
    fleet.pass_time(BOUND_SECONDS)
    assert [usable_ids(gateway) for gateway in fleet.gateways.values()] == [set()] * 6


def test_restored_data_centre_is_used_again(fleet):
    evacuate(fleet)
    fleet.pass_time(BOUND_SECONDS)
    end_evacuation(fleet)
    fleet.pass_time(BOUND_SECONDS)
    assert all_usable_ids(fleet) == [{"e1", "e2"}] * 6


def test_endpoint_that_registers_in_an_evacuated_data_centre_gets_no_requests(fleet):
    evacuate(fleet)
    fleet.pass_time(BOUND_SECONDS)
    fleet.set_endpoint("e3", "ready")
    fleet.pass_time(BOUND_SECONDS)
    assert all_usable_ids(fleet) == [set()] * 6


@pytest.mark.parametrize("state", ["refused", "silent"])
def test_gateways_that_the_store_does_not_serve_learn_from_peers(fleet, state):
    """Guards against a gateway without the store that keeps using an evacuated data centre."""
    isolated = [fleet.gateways[name] for name in ("g0-0", "g1-1")]
    for gateway in isolated:
        gateway.link.set_state(state)
    fleet.pass_time(1.0)
    evacuate(fleet)
    fleet.pass_time(BOUND_SECONDS)
    assert [usable_ids(gateway) for gateway in isolated] == [set(), set()]
    end_evacuation(fleet)
    fleet.pass_time(BOUND_SECONDS)
    assert [usable_ids(gateway) for gateway in isolated] == [{"e1", "e2"}] * 2


def test_gateway_without_peers_reads_evacuations_itself(fleet):
    """Guards against a gateway that is cut off from its peers and waits for their reports."""
    names = list(fleet.gateways)
    fleet.blocked_links |= {(name, "g0-0") for name in names} | {("g0-0", name) for name in names}
    fleet.pass_time(5.0)
    evacuate(fleet)
    fleet.pass_time(BOUND_SECONDS)
    assert usable_ids(fleet.gateways["g0-0"]) == set()


def test_gateway_that_starts_during_an_evacuation_sends_nothing_there(fleet):
    evacuate(fleet)
    fleet.pass_time(BOUND_SECONDS)
    fleet.add("g0-9", "dc0", "10.0.0.9")
    seen = []
    for _ in range(40):
        fleet.pass_time(0.05)
        seen.append(usable_ids(fleet.gateways["g0-9"]))
    assert seen == [set()] * 40


def test_gateway_that_starts_without_the_store_hears_of_evacuations(fleet):
    evacuate(fleet)
    fleet.pass_time(BOUND_SECONDS)
    fleet.add("g0-0", "dc0", "10.0.0.1")
    fleet.gateways["g0-0"].link.set_state("refused")
    fleet.pass_time(2.0)
    assert usable_ids(fleet.gateways["g0-0"]) == set()


def test_a_quiet_store_is_not_asked_about_evacuations(fleet):
    """Guards against a watch of its own, for what changes a few times a year."""
    kinds = []
    for gateway in fleet.gateways.values():
        link, list_objects, watch = gateway.link, gateway.link.list_objects, gateway.link.watch
        link.list_objects = lambda kind, *args, call=list_objects: kinds.append(kind) or call(
            kind, *args
        )
        link.watch = lambda kind, *args, call=watch: kinds.append(kind) or call(kind, *args)
    fleet.pass_time(20.0)
    assert kinds and EVACUATIONS not in kinds


def test_changes_of_endpoints_cause_no_reading_of_evacuations(fleet):
    kinds = []
    for gateway in fleet.gateways.values():
        watch = gateway.link.watch
        gateway.link.watch = lambda kind, *args, call=watch: kinds.append(kind) or call(kind, *args)
    for number in range(5):
        fleet.set_endpoint("e1", "draining" if number % 2 else "ready")
        fleet.pass_time(1.0)
    assert kinds.count(EVACUATIONS) <= 2


@pytest.fixture
def restored_fleet():
    """A fleet whose store was just restored from a copy without the evacuation of ``dc``."""
    fleet = RestoredFleet()
    fleet.pass_time(5.0)
    fleet.store.copy()
    evacuate(fleet)
    fleet.pass_time(4.0)
    fleet.restore()
    return fleet


def test_evacuation_stays_in_force_when_the_store_is_restored_without_it(restored_fleet):
    """Guards against requests to an evacuated data centre until the operators write it again."""
    fleet = restored_fleet
    for _ in range(20):
        fleet.pass_time(0.1)
        assert all_usable_ids(fleet) == [set()] * 6
    evacuate(fleet)
    for _ in range(80):
        fleet.pass_time(0.1)
        assert all_usable_ids(fleet) == [set()] * 6
    end_evacuation(fleet)
    fleet.pass_time(BOUND_SECONDS)
    assert all_usable_ids(fleet) == [{"e1", "e2"}] * 6


def test_evacuation_that_ended_in_a_restore_is_dropped_later(restored_fleet):
    """Guards against endpoints that stay unused as their evacuation is never written again."""
    fleet = restored_fleet
    fleet.pass_time(2 * BOUND_SECONDS)
    assert all_usable_ids(fleet) == [{"e1", "e2"}] * 6
