"""A few of many gateways watch the store; the others learn of changes by gossip.

Engines give 1.5 s of notice, a configuration must be in force within 2 s, and 3 % of the datagrams
are lost.
"""

import random

import pytest

from guavacleat.ingress.sources import STORE_BACKOFF_SECONDS, UNREACHABLE_RETRY_SECONDS
from guavacleat.peers.report import GatewayReport
from guavacleat.peers.sync import (
    GAP_SECONDS,
    RELIST_SECONDS,
    STALE_SECONDS,
    WATCHERS,
    EndpointSyncState,
)
from tests.peers.fleet import Fleet

SETTLE_SECONDS = 6.0
NOTICE_SECONDS = 1.5
CONFIGURATION_SECONDS = 2.0
DATAGRAM_LOSS_RATE = 0.03


@pytest.fixture
def fleet():
    rng = random.Random(7)
    fleet = Fleet(3, 6, drops_datagram=lambda: rng.random() < DATAGRAM_LOSS_RATE)
    for number in range(12):
        fleet.set_endpoint(f"e{number}", "ready")
    fleet.pass_time(SETTLE_SECONDS)
    return fleet


def watchers(fleet):
    return [gateway for gateway in fleet.gateways.values() if gateway.source.should_watch()]


def test_all_gateways_select_the_same_watchers(fleet):
    assert len(watchers(fleet)) == WATCHERS
    for data_centre in ("dc0", "dc1", "dc2"):
        local = [gateway for gateway in watchers(fleet) if gateway.data_centre == data_centre]
        assert len(local) == WATCHERS // 3


def test_store_calls_do_not_grow_with_the_number_of_gateways():
    """Guards against watches by all gateways, each of which is woken by each change."""
    calls = []
    for per_data_centre in (4, 12):
        fleet = Fleet(3, per_data_centre)
        fleet.set_endpoint("e1", "ready")
        fleet.pass_time(SETTLE_SECONDS)
        before = fleet.store.call_count
        for change in range(40):
            fleet.set_endpoint(f"e{change}", "ready")
            fleet.pass_time(0.25)
        calls.append(fleet.store.call_count - before)
    assert calls[1] <= 1.5 * calls[0]


def test_bytes_between_data_centres_do_not_grow_with_the_number_of_gateways():
    """Guards against reports from every gateway to every other one across data centres."""
    sent = []
    for per_data_centre in (4, 12):
        fleet = Fleet(3, per_data_centre)
        fleet.pass_time(SETTLE_SECONDS)
        fleet.remote_bytes = 0
        fleet.pass_time(SETTLE_SECONDS)
        sent.append(fleet.remote_bytes)
    assert sent[1] <= 1.2 * sent[0]


def test_an_engines_notice_reaches_every_gateway_in_time(fleet):
    for number in range(6):
        fleet.set_endpoint(f"e{number}", "draining")
        fleet.pass_time(NOTICE_SECONDS / 2)
        for gateway in fleet.gateways.values():
            assert f"e{number}" in gateway.left_ids, gateway.instance


def test_a_configuration_is_in_force_everywhere_in_time(fleet):
    for version in (2, 3, 7):
        fleet.configure(version)
        fleet.pass_time(CONFIGURATION_SECONDS / 2)
        in_force = {gateway.holder.version for gateway in fleet.gateways.values()}
        assert in_force == {version}


@pytest.mark.parametrize("state", ["refused", "silent"])
def test_watchers_that_lose_the_store_are_replaced(fleet, state):
    """Guards against outdated gateways when only the watchers cannot reach the store."""
    disconnected = watchers(fleet)
    for gateway in disconnected:
        gateway.link.set_state(state)
    fleet.configure(2)
    fleet.remove_endpoint("e1")
    fleet.pass_time(STALE_SECONDS[1] + 1.0)
    for gateway in fleet.gateways.values():
        assert "e1" not in gateway.ready_ids(), gateway.instance
        if gateway not in disconnected:
            assert gateway.holder.version == 2, gateway.instance


def test_a_change_seen_by_the_only_gateway_with_the_store_reaches_all(fleet):
    """Guards against missed drains in a partial outage in which one gateway reaches the store."""
    *disconnected, connected = fleet.gateways.values()
    for gateway in disconnected:
        gateway.link.set_state("refused")
    fleet.pass_time(SETTLE_SECONDS)
    assert connected.source.should_watch()
    fleet.set_endpoint("e3", "draining")
    fleet.pass_time(NOTICE_SECONDS / 2)
    assert all("e3" in gateway.left_ids for gateway in fleet.gateways.values())


def test_a_gateway_without_peers_watches_the_store(fleet):
    isolated = fleet.gateways["g1-3"]
    fleet.blocked_links |= {(other, isolated.instance) for other in fleet.gateways}
    fleet.pass_time(SETTLE_SECONDS)
    fleet.configure(2)
    fleet.set_endpoint("e3", "draining")
    fleet.pass_time(NOTICE_SECONDS / 2)
    assert isolated.holder.version == 2 and "e3" in isolated.left_ids


def test_a_partitioned_data_centre_watches_the_store(fleet):
    inside = [gateway for gateway in fleet.gateways.values() if gateway.data_centre == "dc0"]
    outside = [gateway for gateway in fleet.gateways.values() if gateway.data_centre != "dc0"]
    fleet.blocked_links |= {
        (sender.instance, receiver.instance) for sender in outside for receiver in inside
    }
    fleet.set_endpoint("e4", "draining")
    fleet.pass_time(NOTICE_SECONDS)
    assert all("e4" in gateway.left_ids for gateway in fleet.gateways.values())


def test_killed_forwarders_are_replaced(fleet):
    """Guards against missing summaries of a data centre whose forwarders were killed."""
    forwarders = [
        gateway
        for gateway in fleet.gateways.values()
        if gateway.source.exchange.summaries.is_forwarder(1)
    ]
    for gateway in forwarders:
        gateway.stop()
        del fleet.gateways[gateway.instance]
    fleet.pass_time(SETTLE_SECONDS / 2)
    for gateway in fleet.gateways.values():
        summaries = gateway.peers.summaries()
        assert len(summaries) == 2, gateway.instance
    fleet.set_endpoint("e5", "draining")
    fleet.pass_time(NOTICE_SECONDS / 2)
    assert all("e5" in gateway.left_ids for gateway in fleet.gateways.values())


def synced_state(clock, revision):
    sync_state = EndpointSyncState(clock)
    sync_state.record_store_answer(revision)
    return sync_state


def make_report(revision, since, age=0.1):
    return GatewayReport(
        "g2", 1, 1, {}, endpoints_revision=revision, endpoints_age=age, changes_since=since
    )


def test_a_gap_in_reported_changes_is_filled_from_the_store(clock):
    """Guards against requests to a removed endpoint after all reports of its removal were lost."""
    sync_state = synced_state(clock, 5)
    sync_state.observe_report(make_report(revision=9, since=8))
    assert (
        sync_state.revision == 5 and not sync_state.must_query_store()
    ), "another report may fill the gap"
    clock.advance(GAP_SECONDS + 0.1)
    assert sync_state.must_query_store()
    sync_state.record_store_answer(9)
    assert not sync_state.must_query_store()


def test_a_gap_filled_by_a_report_needs_no_store_call(clock):
    sync_state = synced_state(clock, 5)
    sync_state.observe_report(make_report(revision=9, since=8))
    sync_state.observe_report(make_report(revision=9, since=4))
    clock.advance(GAP_SECONDS + 0.1)
    assert sync_state.revision == 9 and not sync_state.must_query_store()


def test_reports_of_outdated_revisions_do_not_prevent_a_store_call(clock):
    sync_state = synced_state(clock, 5)
    for _ in range(10):
        clock.advance(0.5)
        sync_state.observe_report(make_report(revision=5, since=4, age=clock.seconds()))
    assert sync_state.must_query_store()


def test_changes_are_complete_since_the_revision_known_before_them(clock):
    sync_state = synced_state(clock, 5)
    clock.advance(2.0)
    sync_state.record_store_answer(8)
    clock.advance(0.5)
    assert sync_state.complete_since(1.0) == 5
    clock.advance(1.0)
    assert sync_state.complete_since(1.0) == 8


def test_a_permanently_missed_change_is_found_by_relisting(fleet):
    incomplete = fleet.gateways["g2-5"]
    incomplete.registry.observe_peer_change = lambda change, complete_to_revision: None
    fleet.remove_endpoint("e1")
    fleet.pass_time(RELIST_SECONDS[1] + 1.0)
    assert "e1" not in incomplete.ready_ids()


def test_a_removed_endpoint_is_not_restored_by_old_reports(fleet):
    fleet.remove_endpoint("e1")
    removed_at = fleet.clock.seconds()
    while fleet.clock.seconds() < removed_at + SETTLE_SECONDS:
        fleet.pass_time(0.5)
        assert all("e1" not in gateway.ready_ids() for gateway in fleet.gateways.values())


@pytest.mark.parametrize("per_data_centre", [4, 12])
def test_store_calls_of_gateways_that_start_together_are_bounded(per_data_centre):
    """Guards against a start of all gateways in which each one selects itself as a watcher."""
    fleet = Fleet(3, per_data_centre, endpoints=["e1"])
    # Steps shorter than a report's delay, as gateways wait some milliseconds for each other's.
    fleet.clock.pump([0.005] * 200)
    starting = 4 * len(fleet.gateways)
    assert fleet.store.call_count <= starting + 4 * WATCHERS


def test_only_watchers_retry_often_during_an_outage(fleet):
    """Guards against frequent retries by all gateways while the store is unreachable."""
    for gateway in fleet.gateways.values():
        gateway.link.set_state("refused")
    fleet.pass_time(SETTLE_SECONDS)
    others = len(fleet.gateways) - WATCHERS
    most = WATCHERS / STORE_BACKOFF_SECONDS + others / UNREACHABLE_RETRY_SECONDS
    assert fleet.count_calls(SETTLE_SECONDS) <= 2 * SETTLE_SECONDS * most


def test_changes_during_an_outage_are_known_soon_after_it(fleet):
    for gateway in fleet.gateways.values():
        gateway.link.set_state("refused")
    fleet.pass_time(SETTLE_SECONDS)
    fleet.configure(2)
    fleet.set_endpoint("e3", "draining")
    for gateway in fleet.gateways.values():
        gateway.link.set_state("open")
    fleet.pass_time(CONFIGURATION_SECONDS)
    for gateway in fleet.gateways.values():
        assert gateway.holder.version == 2, gateway.instance
        assert "e3" in gateway.left_ids, gateway.instance


def test_endpoints_that_lapse_in_an_outage_unnoticed_by_most_gateways_are_kept(fleet):
    """Guards against evacuation of live endpoints by gateways that made no call in an outage.

    Such a gateway lists the endpoints just after the outage, before they have registered again.
    """
    for gateway in fleet.gateways.values():
        gateway.link.set_state("silent")
    fleet.pass_time(2.5)
    fleet.remove_endpoint("e1")
    fleet.pass_time(0.5)
    for gateway in fleet.gateways.values():
        gateway.link.set_state("open")
        gateway.source.endpoints._relist_at = 0.0
    fleet.pass_time(1.5)
    fleet.set_endpoint("e1", "ready")
    fleet.pass_time(SETTLE_SECONDS)
    for gateway in fleet.gateways.values():
        assert "e1" not in gateway.left_ids, gateway.instance
        assert "e1" in gateway.ready_ids(), gateway.instance


@pytest.mark.parametrize("per_data_centre", [1, 4])
@pytest.mark.parametrize("cuts", [1, 2])
def test_an_endpoint_removed_after_cut_watches_gets_no_requests(per_data_centre, cuts):
    """Guards against requests to an endpoint that leaves just after all watches were cut off."""
    fleet = Fleet(1, per_data_centre, endpoints=["e1", "e2"])
    fleet.pass_time(SETTLE_SECONDS)
    for _ in range(cuts):
        for gateway in fleet.gateways.values():
            gateway.link.cut()
        fleet.pass_time(0.05)
    fleet.remove_endpoint("e1")
    fleet.pass_time(1.5)
    for gateway in fleet.gateways.values():
        assert gateway.ready_ids() == {"e2"}, gateway.instance
