"""The pattern of many gateways: few listen to the store, the others hear of it from them.

Grounds for the figures: data centres with several gateways each, endpoints that change every few
tenths of a second, datagrams of which three in a hundred are lost, engines that give 1.5 s of
notice, a configuration that must be in force within 2 s.
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
LOST_SHARE = 0.03


@pytest.fixture
def fleet():
    draws = random.Random(7)
    fleet = Fleet(3, 6, loses=lambda: draws.random() < LOST_SHARE)
    for number in range(12):
        fleet.set_endpoint(f"e{number}", "ready")
    fleet.pass_time(SETTLE_SECONDS)
    return fleet


def listeners(fleet):
    return [gateway for gateway in fleet.gateways.values() if gateway.source.should_watch()]


def test_all_gateways_choose_the_same_few_listeners(fleet):
    assert len(listeners(fleet)) == WATCHERS
    for data_centre in ("dc0", "dc1", "dc2"):
        near = [gateway for gateway in listeners(fleet) if gateway.data_centre == data_centre]
        assert len(near) == WATCHERS // 3


def test_calls_of_the_store_do_not_grow_with_the_gateways():
    """
    Symptom: calls of the store are the largest price of a deployment of tens of gateways.
    Sequence: endpoints change all the time; each change wakes the watch of each gateway.
    Cause: all listened, although each tells the others what it hears.
    """
    calls = []
    for per_data_centre in (4, 12):
        fleet = Fleet(3, per_data_centre)
        fleet.set_endpoint("e1", "ready")
        fleet.pass_time(SETTLE_SECONDS)
        before = fleet.store.calls
        for change in range(40):
            fleet.set_endpoint(f"e{change}", "ready")
            fleet.pass_time(0.25)
        calls.append(fleet.store.calls - before)
    assert calls[1] <= 1.5 * calls[0]


def test_bytes_between_data_centres_do_not_grow_with_the_gateways_of_each():
    """
    Symptom: bytes between data centres are the second largest price of tens of gateways.
    Sequence: every gateway sends its reports to every other one.
    Cause: reports grew with the square of the gateways; all but some now send none there.
    """
    sent = []
    for per_data_centre in (4, 12):
        fleet = Fleet(3, per_data_centre)
        fleet.pass_time(SETTLE_SECONDS)
        fleet.bytes_far = 0
        fleet.pass_time(SETTLE_SECONDS)
        sent.append(fleet.bytes_far)
    assert sent[1] <= 1.2 * sent[0]


def test_an_engines_notice_reaches_every_gateway_in_time(fleet):
    for number in range(6):
        fleet.set_endpoint(f"e{number}", "draining")
        fleet.pass_time(NOTICE_SECONDS / 2)
        for gateway in fleet.gateways.values():
            assert f"e{number}" in gateway.left, gateway.instance


def test_a_configuration_is_in_force_everywhere_in_time(fleet):
    for version in (2, 3, 7):
        fleet.configure(version)
        fleet.pass_time(CONFIGURATION_SECONDS / 2)
        in_force = {gateway.holder.version for gateway in fleet.gateways.values()}
        assert in_force == {version}


@pytest.mark.parametrize("state", ["refused", "silent"])
def test_listeners_that_lose_the_store_are_replaced(fleet, state):
    """
    Symptom: gateways that reach the store keep an old configuration and endpoints that have gone.
    Sequence: the listeners, and only they, are cut off from the store; both change.
    Cause: the others rely on listeners that hear nothing themselves.
    """
    deaf = listeners(fleet)
    for gateway in deaf:
        gateway.link.set_state(state)
    fleet.configure(2)
    fleet.remove_endpoint("e1")
    fleet.pass_time(STALE_SECONDS[1] + 1.0)
    for gateway in fleet.gateways.values():
        assert "e1" not in gateway.ready_ids(), gateway.instance
        if gateway not in deaf:
            assert gateway.holder.version == 2, gateway.instance


def test_the_store_heard_by_one_gateway_only_is_heard_by_all(fleet):
    """
    Symptom: streams are cut wherever an engine leaves during a partial outage of the store.
    Sequence: the store turns away all gateways but one; an engine leaves.
    Cause: the one that is served has to become a listener, and be believed.
    """
    *deaf, hearing = fleet.gateways.values()
    for gateway in deaf:
        gateway.link.set_state("refused")
    fleet.pass_time(SETTLE_SECONDS)
    assert hearing.source.should_watch()
    fleet.set_endpoint("e3", "draining")
    fleet.pass_time(NOTICE_SECONDS / 2)
    assert all("e3" in gateway.left for gateway in fleet.gateways.values())


def test_a_gateway_without_peers_listens_itself(fleet):
    lonely = fleet.gateways["g1-3"]
    fleet.cuts |= {(other, lonely.instance) for other in fleet.gateways}
    fleet.pass_time(SETTLE_SECONDS)
    fleet.configure(2)
    fleet.set_endpoint("e3", "draining")
    fleet.pass_time(NOTICE_SECONDS / 2)
    assert lonely.holder.version == 2 and "e3" in lonely.left


def test_a_data_centre_that_hears_no_other_one_listens_itself(fleet):
    inside = [gateway for gateway in fleet.gateways.values() if gateway.data_centre == "dc0"]
    outside = [gateway for gateway in fleet.gateways.values() if gateway.data_centre != "dc0"]
    fleet.cuts |= {(far.instance, near.instance) for far in outside for near in inside}
    fleet.set_endpoint("e4", "draining")
    fleet.pass_time(NOTICE_SECONDS)
    assert all("e4" in gateway.left for gateway in fleet.gateways.values())


def test_forwarders_that_are_killed_are_missed_by_nobody(fleet):
    """
    Symptom: gateways of one data centre hear nothing of another.
    Sequence: the gateways that pass reports on between data centres are killed.
    Cause: which gateways do so has to follow from which ones are heard.
    """
    forwarders = [
        gateway
        for gateway in fleet.gateways.values()
        if gateway.source.exchange.summaries.forwards(1)
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
    assert all("e5" in gateway.left for gateway in fleet.gateways.values())


def knows(clock, revision):
    known = EndpointSyncState(clock)
    known.record_store_answer(revision)
    return known


def told(revision, since, age=0.1):
    return GatewayReport(
        "g2", 1, 1, {}, endpoints_revision=revision, endpoints_age=age, changes_since=since
    )


def test_a_gap_in_what_peers_tell_is_filled_from_the_store(clock):
    """
    Symptom: a gateway keeps sending to an endpoint that all others know to be gone.
    Sequence: all datagrams that tell of the change miss one gateway; later ones arrive.
    Cause: a change is told for a time only; that one was missed shows only by its revision.
    """
    known = knows(clock, 5)
    known.observe_report(told(revision=9, since=8))
    assert known.revision == 5 and not known.must_query_store(), "another report may fill it"
    clock.advance(GAP_SECONDS + 0.1)
    assert known.must_query_store()
    known.record_store_answer(9)
    assert not known.must_query_store()


def test_a_gap_that_a_report_fills_needs_no_call(clock):
    known = knows(clock, 5)
    known.observe_report(told(revision=9, since=8))
    known.observe_report(told(revision=9, since=4))
    clock.advance(GAP_SECONDS + 0.1)
    assert known.revision == 9 and not known.must_query_store()


def test_what_peers_knew_long_ago_is_not_relied_on(clock):
    known = knows(clock, 5)
    for _ in range(10):
        clock.advance(0.5)
        known.observe_report(told(revision=5, since=4, age=clock.seconds()))
    assert known.must_query_store()


def test_changes_are_complete_since_what_was_known_before_them(clock):
    known = knows(clock, 5)
    clock.advance(2.0)
    known.record_store_answer(8)
    clock.advance(0.5)
    assert known.complete_since(1.0) == 5
    clock.advance(1.0)
    assert known.complete_since(1.0) == 8


def test_what_was_missed_for_good_is_found_by_the_audit(fleet):
    missing = fleet.gateways["g2-5"]
    missing.registry.observe_peer_change = lambda change, known_to: None
    fleet.remove_endpoint("e1")
    fleet.pass_time(RELIST_SECONDS[1] + 1.0)
    assert "e1" not in missing.ready_ids()


def test_an_endpoint_that_is_gone_does_not_come_back_by_old_reports(fleet):
    fleet.remove_endpoint("e1")
    gone_at = fleet.clock.seconds()
    while fleet.clock.seconds() < gone_at + SETTLE_SECONDS:
        fleet.pass_time(0.5)
        assert all("e1" not in gateway.ready_ids() for gateway in fleet.gateways.values())


@pytest.mark.parametrize("per_data_centre", [4, 12])
def test_gateways_that_start_together_call_the_store_a_few_times_each(per_data_centre):
    """
    Symptom: a start of all gateways costs as many calls of the store as seconds of the day.
    Sequence: 36 gateways start at once; each reads all, then watches both kinds.
    Cause: none knows its peers yet, so each took itself for a listener.
    """
    fleet = Fleet(3, per_data_centre, endpoints=["e1"])
    fleet.pass_time(1.0)
    starting = 4 * len(fleet.gateways)
    assert fleet.store.calls <= starting + 4 * WATCHERS


def test_few_try_while_the_store_is_away_for_all(fleet):
    """
    Symptom: calls that the store refuses are most of the calls of a day with an outage.
    Sequence: the store is away for all gateways.
    Cause: each tried again as often as a listener does, although those tell when it is back.
    """
    for gateway in fleet.gateways.values():
        gateway.link.set_state("refused")
    fleet.pass_time(SETTLE_SECONDS)
    others = len(fleet.gateways) - WATCHERS
    most = WATCHERS / STORE_BACKOFF_SECONDS + others / UNREACHABLE_RETRY_SECONDS
    assert fleet.calls_in(SETTLE_SECONDS) <= 2 * SETTLE_SECONDS * most


def test_what_changed_during_an_outage_is_known_soon_after_it(fleet):
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
        assert "e3" in gateway.left, gateway.instance


def test_endpoints_that_lapse_unseen_by_most_gateways_are_kept(fleet):
    """
    Symptom: just after an outage of the store, streams are moved off endpoints that are well.
    Sequence: the store is silent for 3 s; entries lapse; a gateway that did not ask meanwhile lists
    what is there just after its return; the endpoints register again.
    Cause: only who had asked in vain knew of the outage, and took what was missing for lapsed.
    """
    for gateway in fleet.gateways.values():
        gateway.link.set_state("silent")
    fleet.pass_time(2.5)
    fleet.remove_endpoint("e1")
    fleet.pass_time(0.5)
    for gateway in fleet.gateways.values():
        gateway.link.set_state("open")
        gateway.source.endpoints._audit_at = 0.0
    fleet.pass_time(1.5)
    fleet.set_endpoint("e1", "ready")
    fleet.pass_time(SETTLE_SECONDS)
    for gateway in fleet.gateways.values():
        assert "e1" not in gateway.left, gateway.instance
        assert "e1" in gateway.ready_ids(), gateway.instance
