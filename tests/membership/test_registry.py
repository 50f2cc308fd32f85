"""Endpoints that register themselves: leaving, lapsing with the store, coming back."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from twisted.internet.task import Clock

from guavacleat.membership.registry import (
    RECENT_SECONDS,
    RETURN_SECONDS,
    EndpointChange,
    EndpointRegistry,
    EndpointState,
)
from tests.forwarding.harness import entry

DRAINING = EndpointState.DRAINING


@pytest.fixture
def left():
    return []


@pytest.fixture
def registry(clock, left):
    registry = EndpointRegistry(clock, left.append)
    registry.observe(entry("e1"))
    registry.observe(entry("e2"))
    return registry


def ready_ids(registry):
    return [found.id for found in registry.ready("svc")]


def test_a_draining_endpoint_gets_no_new_work_and_is_told_once(registry, left):
    registry.observe(entry("e1", state=DRAINING))
    registry.observe(entry("e1", state=DRAINING))
    registry.remove("e1")
    assert ready_ids(registry) == ["e2"]
    assert [found.id for found in left] == ["e1"]


def test_an_endpoint_removed_without_notice_is_leaving_too(registry, left):
    """
    Symptom: requests go to an endpoint that is gone.
    Sequence: an endpoint never reports that it drains; its entry is removed.
    Cause: the removal is all the notice there is.
    """
    registry.remove("e1")
    assert ready_ids(registry) == ["e2"]
    assert [found.id for found in left] == ["e1"]


def test_entries_that_lapse_in_an_outage_are_kept_until_they_could_be_back(registry, clock, left):
    """
    Symptom: a gateway has no endpoint right after an outage of the store.
    Sequence: the store is away longer than the entries last; it comes back without them; the
    endpoints register again within two seconds, but for one.
    Cause: a removal in that time says nothing of the endpoint; one still missing later is gone.
    """
    registry.store_health(False)
    clock.advance(5)
    registry.store_health(True)
    registry.listed(set())
    assert ready_ids(registry) == ["e1", "e2"]
    clock.advance(1)
    registry.observe(entry("e1"))
    clock.advance(RETURN_SECONDS)
    assert ready_ids(registry) == ["e1"]
    assert [found.id for found in left] == ["e2"]


def test_a_draining_entry_that_vanishes_in_an_outage_is_gone(registry, clock):
    registry.observe(entry("e1", state=DRAINING))
    registry.store_health(False)
    registry.store_health(True)
    registry.listed({"e2"})
    assert "e1" not in registry.entries_by_id


def test_a_listing_drops_what_was_removed_unseen(registry):
    registry.listed({"e2"})
    assert ready_ids(registry) == ["e2"]


def test_an_address_used_again_belongs_to_the_newer_entry_only(registry):
    """
    Symptom: a request of one service is run by another.
    Sequence: an endpoint is gone; its address is given to an endpoint of another service, which
    answers that it is not the one expected.
    Cause: the old entry must not be used again.
    """
    registry.suspect_gone("e1")
    assert ready_ids(registry) == ["e2"]


def test_the_latest_revision_of_an_endpoint_counts(registry):
    """
    Symptom: an endpoint that left gets new work.
    Sequence: it drains and is removed; a peer that heard later of less still tells it as ready.
    Cause: what is known of an endpoint may only be replaced by a later revision.
    """
    registry.observe(entry("e1", revision=5, state=DRAINING))
    registry.hear(EndpointChange("e1", 4, entry("e1", revision=4)))
    assert ready_ids(registry) == ["e2"]
    registry.remove("e1", revision=7)
    registry.hear(EndpointChange("e1", 6, entry("e1", revision=6)))
    assert ready_ids(registry) == ["e2"]


def test_an_endpoint_that_a_peer_knows_to_be_gone_is_gone_also_in_an_outage(registry, left):
    registry.store_health(False)
    registry.hear(EndpointChange("e1", 9, None))
    assert ready_ids(registry) == ["e2"]
    assert [found.id for found in left] == ["e1"]


def test_changes_are_told_for_a_time_and_then_forgotten(registry, clock):
    registry.remove("e1", revision=4)
    assert {change.id for change in registry.recent_changes()} == {"e1", "e2"}
    clock.advance(RECENT_SECONDS + 1)
    assert registry.recent_changes() == []
    assert "e1" not in registry.changes_by_id


class RegistryMachine(RuleBasedStateMachine):
    """Whatever is observed, removed, listed or lost: draining is final for an incarnation."""

    ids = st.sampled_from(["a", "b", "c"])

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.left = []
        self.registry = EndpointRegistry(self.clock, self.left.append)
        self.draining = set()

    @rule(id=ids)
    def observe(self, id):
        if id not in self.draining:
            self.registry.observe(entry(id))

    @rule(id=ids)
    def drain(self, id):
        self.draining.add(id)
        self.registry.observe(entry(id, state=DRAINING))

    @rule(id=ids)
    def remove(self, id):
        self.registry.remove(id)

    @rule(ids=st.sets(ids))
    def list(self, ids):
        self.registry.listed(ids)

    @rule(healthy=st.booleans())
    def store(self, healthy):
        self.registry.store_health(healthy)

    @rule(seconds=st.floats(0, 4))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def draining_endpoints_take_no_work(self):
        assert not self.draining & set(ready_ids(self.registry))

    @invariant()
    def lapsed_entries_are_known_entries(self):
        assert self.registry.lapsed_ids <= set(self.registry.entries_by_id)


TestRegistryMachine = RegistryMachine.TestCase
TestRegistryMachine.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
