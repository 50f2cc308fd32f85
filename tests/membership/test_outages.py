"""Removed entries around outages of the store: which ones may have lapsed, and for how long."""

import pytest

from guavacleat.membership.entries import EndpointChange
from guavacleat.membership.outages import REREGISTRATION_SECONDS, StoreOutages
from guavacleat.membership.registry import EndpointRegistry
from tests.forwarding.harness import make_entry

HEARTBEAT_SECONDS = 1.2
DRAIN_SECONDS = 2.0
BACKOFF_SECONDS = 0.4


@pytest.fixture
def outages(clock):
    clock.advance(10.0)
    return StoreOutages(clock, HEARTBEAT_SECONDS)


@pytest.fixture
def registry(clock):
    clock.advance(10.0)
    registry = EndpointRegistry(clock)
    registry.record_store_health(True)
    registry.observe(make_entry("e1"))
    return registry


def fail(registry, seconds=BACKOFF_SECONDS, silent_since=None):
    """Let a watch fail, and the next one succeed after ``seconds``."""
    registry.record_store_health(False, silent_since)
    registry.clock.advance(seconds)
    registry.record_store_health(True)


def is_ready(registry):
    return bool(registry.all_ready())


@pytest.mark.parametrize("cuts,next_call_seconds", [(1, 0.0), (1, 0.8), (2, 0.0), (3, 0.0)])
def test_an_entry_removed_after_a_cut_watch_is_dropped(registry, cuts, next_call_seconds):
    """Guards against requests to an endpoint that leaves just after a watch was cut off."""
    for number in range(cuts):
        fail(registry, BACKOFF_SECONDS + (0 if number else next_call_seconds))
        registry.clock.advance(0.1)
    registry.remove("e1", 9)
    assert not is_ready(registry)


def test_an_entry_missing_from_the_listing_after_a_cut_watch_is_dropped(registry):
    """Guards against requests to an endpoint whose removal is learned from a listing."""
    fail(registry)
    registry.observe_listing(set(), 9)
    assert not is_ready(registry)


def test_a_removal_reported_by_a_peer_after_an_outage_is_applied(registry):
    fail(registry, 5.0)
    registry.observe_peer_change(EndpointChange("e1", 9, None))
    assert not is_ready(registry)


def test_an_entry_removed_after_an_outage_is_kept_until_it_could_be_registered_again(registry):
    """Guards against a gateway without endpoints just after a store outage."""
    fail(registry, 5.0)
    registry.remove("e1", 9)
    registry.clock.advance(REREGISTRATION_SECONDS - 0.1)
    assert is_ready(registry)
    registry.clock.advance(0.2)
    assert not is_ready(registry)


def test_an_entry_is_kept_if_a_cut_follows_an_outage(registry):
    """Guards against an outage that is forgotten at the next failure."""
    fail(registry, 5.0)
    registry.clock.advance(0.5)
    fail(registry)
    registry.remove("e1", 9)
    registry.clock.advance(REREGISTRATION_SECONDS - 0.1)
    assert is_ready(registry)


def test_an_outage_that_began_before_the_watch_failed_counts_from_its_begin(registry):
    """Guards against the drop of live endpoints if a watch times out late in an outage."""
    registry.clock.advance(2.8)
    fail(registry, 0.4, silent_since=registry.clock.seconds() - 2.8)
    registry.remove("e1", 9)
    assert is_ready(registry)


def test_a_kept_entry_outlasts_an_outage_that_goes_on(registry):
    registry.record_store_health(False)
    registry.clock.advance(3.0)
    registry.remove("e1", 9)
    for _ in range(10):
        registry.clock.advance(1.0)
    assert is_ready(registry)
    registry.record_store_health(True)
    registry.clock.pump([0.1] * 23)
    assert not is_ready(registry)


def test_short_outages_in_a_row_count_together(outages, clock):
    """Guards against the drop of endpoints that could not write between two outages."""
    for _ in range(2):
        outages.record_failure(clock.seconds())
        clock.advance(1.5)
        outages.record_answer(clock.seconds())
        clock.advance(0.3)
    assert outages.may_have_lapsed()


def test_short_outages_apart_do_not_count_together(outages, clock):
    for _ in range(5):
        outages.record_failure(clock.seconds())
        clock.advance(1.5)
        outages.record_answer(clock.seconds())
        clock.advance(HEARTBEAT_SECONDS + 0.1)
    assert not outages.may_have_lapsed()


def test_a_silence_that_no_call_noticed_counts(outages, clock):
    """Guards against the drop of live endpoints by a gateway whose watch waited in the outage."""
    outages.record_answer(clock.seconds())
    clock.advance(3.0)
    outages.record_answer(clock.seconds())
    assert outages.may_have_lapsed()


def test_a_store_that_responds_to_a_peer_is_not_silent(outages, clock):
    """Guards against an outage that only this gateway's connection has."""
    outages.record_failure(clock.seconds())
    clock.advance(1.0)
    outages.record_answer(clock.seconds())
    clock.advance(4.0)
    outages.record_failure(clock.seconds() - 0.1)
    clock.advance(0.5)
    outages.record_answer(clock.seconds())
    assert not outages.may_have_lapsed()


@pytest.mark.parametrize("heartbeat,lapsed", [(1.0, True), (1.5, False)])
def test_the_heartbeat_interval_tells_how_long_an_outage_must_last(clock, heartbeat, lapsed):
    outages = StoreOutages(clock, heartbeat)
    outages.record_failure(clock.seconds())
    clock.advance(2.0)
    outages.record_answer(clock.seconds())
    assert outages.may_have_lapsed() is lapsed
