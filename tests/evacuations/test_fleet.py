"""Gateways of several data centres while data centres are evacuated and restored."""

import pytest

from guavacleat.placement import Placement
from tests.peers.fleet import Fleet

# Time in which an evacuation has to be in force at gateways that reach the store or a peer.
BOUND_SECONDS = 5.0


@pytest.fixture
def fleet():
    fleet = Fleet(2, 3, endpoints=("e1", "e2"))
    fleet.pass_time(3.0)
    return fleet


def usable_ids(gateway):
    placement = Placement(gateway.registry, gateway.load, gateway.data_centre)
    return {entry.id for entry in placement.ready("svc", set())}


def test_evacuated_data_centre_gets_no_new_requests(fleet):
    """Guards against requests to engines of a data centre for as long as it is evacuated."""
    fleet.store.write("evacuations", "dc", {})
    fleet.pass_time(BOUND_SECONDS)
    assert [usable_ids(gateway) for gateway in fleet.gateways.values()] == [set()] * 6
