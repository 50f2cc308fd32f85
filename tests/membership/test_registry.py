"""The endpoint registry: drains, removals, store outages, restarts and peers' changes."""

import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from twisted.internet.task import Clock

from guavacleat.membership.entries import EndpointChange, EndpointState
from guavacleat.membership.registry import (
    CHANGE_RETENTION_SECONDS,
    REREGISTRATION_SECONDS,
    EndpointRegistry,
)
from tests.conftest import examples
from tests.forwarding.harness import make_entry

DRAINING = EndpointState.DRAINING
HEARTBEAT_SECONDS = 1.2


@pytest.fixture
def leaving():
    return []


@pytest.fixture
def registry(clock, leaving):
    registry = EndpointRegistry(clock, leaving.append)
    registry.observe(make_entry("e1"))
    registry.observe(make_entry("e2"))
    return registry


def ready_ids(registry):
    return [entry.id for entry in registry.ready("svc")]


def test_a_draining_endpoint_gets_no_new_requests_and_is_reported_once(registry, leaving):
    registry.observe(make_entry("e1", state=DRAINING))
    registry.observe(make_entry("e1", state=DRAINING))
    registry.remove("e1")
    assert ready_ids(registry) == ["e2"]
    assert [entry.id for entry in leaving] == ["e1"]


def test_an_endpoint_removed_without_draining_is_reported_as_leaving(registry, leaving):
    """Guards against requests to an endpoint whose entry was removed without a drain."""
    registry.remove("e1")
    assert ready_ids(registry) == ["e2"]
    assert [entry.id for entry in leaving] == ["e1"]


def test_entries_that_lapse_in_an_outage_are_kept_until_they_could_register_again(
    registry, clock, leaving
):
    """Guards against a gateway without endpoints just after a store outage in which entries lapsed.

    An endpoint that has not registered again in time is removed.
    """
    registry.record_store_health(False)
    clock.advance(5)
    registry.record_store_health(True)
    registry.observe_listing(set())
    assert ready_ids(registry) == ["e1", "e2"]
    clock.advance(1)
    registry.observe(make_entry("e1"))
    clock.advance(REREGISTRATION_SECONDS)
    assert ready_ids(registry) == ["e1"]
    assert [entry.id for entry in leaving] == ["e2"]


def test_a_draining_entry_that_lapses_in_an_outage_is_removed(registry, clock):
    registry.observe(make_entry("e1", state=DRAINING))
    registry.record_store_health(False)
    registry.record_store_health(True)
    registry.observe_listing({"e2"})
    assert "e1" not in registry.entries_by_id


def test_a_listing_removes_entries_whose_removal_was_missed(registry):
    registry.observe_listing({"e2"})
    assert ready_ids(registry) == ["e2"]


def test_a_stale_entry_with_a_reused_address_is_removed(registry):
    """Guards against requests that reach another service at a reused address."""
    registry.remove_stale("e1")
    assert ready_ids(registry) == ["e2"]


def test_a_peers_older_revision_does_not_replace_a_later_one(registry):
    """Guards against new requests to an endpoint that a peer with older data reports as ready."""
    registry.observe(make_entry("e1", revision=5, state=DRAINING))
    registry.observe_peer_change(EndpointChange("e1", 4, make_entry("e1", revision=4)))
    assert ready_ids(registry) == ["e2"]
    registry.remove("e1", revision=7)
    registry.observe_peer_change(EndpointChange("e1", 6, make_entry("e1", revision=6)))
    assert ready_ids(registry) == ["e2"]


def test_a_removal_reported_by_a_peer_applies_during_an_outage(registry, leaving):
    registry.record_store_health(False)
    registry.observe_peer_change(EndpointChange("e1", 9, None))
    assert ready_ids(registry) == ["e2"]
    assert [entry.id for entry in leaving] == ["e1"]


def test_recent_changes_expire(registry, clock):
    registry.remove("e1", revision=4)
    assert {change.id for change in registry.recent_changes()} == {"e1", "e2"}
    clock.advance(CHANGE_RETENTION_SECONDS + 1)
    assert registry.recent_changes() == []
    assert "e1" not in registry.changes_by_id


@pytest.fixture
def restarted_entries(registry):
    restarted_entries = []
    registry.on_restarted = restarted_entries.append
    return restarted_entries


def test_a_restart_with_the_same_id_is_reported(registry, restarted_entries, leaving):
    """Guards against streams that wait forever on an engine that crashed and restarted.

    The engine keeps its id and restarts before its entry lapses; only the start time differs.
    """
    registry.observe(make_entry("e1", revision=5, started_ms=1000))
    registry.observe(make_entry("e1", revision=6, started_ms=2000))
    assert [previous.started_ms for previous in restarted_entries] == [1000]
    assert ready_ids(registry) == ["e1", "e2"]
    assert leaving == []


def test_a_draining_endpoint_takes_requests_after_its_restart(registry, restarted_entries, leaving):
    registry.observe(make_entry("e1", revision=5, state=DRAINING, started_ms=1000))
    registry.observe(make_entry("e1", revision=6, started_ms=2000))
    assert ready_ids(registry) == ["e1", "e2"]
    registry.observe(make_entry("e1", revision=7, state=DRAINING, started_ms=2000))
    assert [entry.started_ms for entry in leaving] == [1000, 2000]


def test_a_delayed_heartbeat_of_the_previous_process_is_ignored(registry, restarted_entries):
    """Guards against draining a restarted engine because of its previous process's delayed write.

    The delayed write has a newer revision but an older start time.
    """
    registry.observe(make_entry("e1", revision=5, started_ms=2000))
    registry.observe(make_entry("e1", revision=6, state=DRAINING, started_ms=1000))
    assert ready_ids(registry) == ["e1", "e2"]
    assert restarted_entries == []


def test_a_removal_older_than_a_peers_change_is_ignored(registry):
    """Guards against dropping an engine that registered again, as its removal arrives late."""
    registry.observe_peer_change(
        EndpointChange("e1", 9, make_entry("e1", revision=9, started_ms=2000))
    )
    registry.remove("e1", revision=8)
    assert ready_ids(registry) == ["e1", "e2"]


def test_an_unreadable_entry_makes_its_endpoint_unusable(registry, leaving, monkeypatch):
    """Guards against new requests to, or evacuation of, an endpoint with an overwritten entry.

    It is logged once, and the endpoint is used again after it has written a readable entry.
    """
    lines = []
    monkeypatch.setattr(
        "guavacleat.membership.registry.log_message", lambda **fields: lines.append(fields)
    )
    for revision in (5, 6, 7):
        registry.observe_unreadable("e1", revision, "KeyError('service')")
    assert ready_ids(registry) == ["e2"]
    assert leaving == []
    unreadable = [line for line in lines if line["message_type"] == "endpoint:unreadable"]
    assert len(unreadable) == 1
    reported = {change.id: change.entry.state for change in registry.recent_changes()}
    assert reported == {
        "e1": EndpointState.UNUSABLE,
        "e2": EndpointState.READY,
    }, "gossiped to peers"
    registry.observe(make_entry("e1", revision=8))
    assert ready_ids(registry) == ["e1", "e2"]


def is_ready(registry, id):
    return id in {entry.id for entry in registry.ready("svc")}


def test_what_an_endpoint_said_holds_for_its_process(registry, leaving):
    """Guards against an entry that still says ready and undoes what the endpoint said itself."""
    registry.observe(make_entry("e1", revision=3, started_ms=1000))
    registry.observe_said_leaving(registry.entries_by_id["e1"])
    registry.observe(make_entry("e1", revision=9, started_ms=1000))
    assert not is_ready(registry, "e1") and [entry.id for entry in leaving] == ["e1"]
    registry.remove("e1", 10)
    registry.observe(make_entry("e1", revision=11, started_ms=1000))
    assert not is_ready(registry, "e1")
    registry.observe(make_entry("e1", revision=12, started_ms=2000))
    assert is_ready(registry, "e1")


def test_notice_of_a_former_process_does_not_concern_the_next(registry):
    registry.observe(make_entry("e1", revision=3, started_ms=2000))
    registry.observe_said_leaving(make_entry("e1", started_ms=1000))
    assert is_ready(registry, "e1")


def test_an_unreadable_entry_does_not_cancel_a_drain(registry, leaving):
    registry.observe(make_entry("e1", revision=5, state=DRAINING))
    registry.observe_unreadable("e1", 6, "KeyError('service')")
    registry.observe_unreadable("nobody", 7, "KeyError('service')")
    assert registry.entries_by_id["e1"].state is DRAINING
    assert [entry.id for entry in leaving] == ["e1"]


def beat(registry, clock, revisions, started_ms, **entry):
    registry.observe(make_entry("e1", revision=next(revisions), started_ms=started_ms, **entry))
    clock.advance(HEARTBEAT_SECONDS)


def test_an_endpoint_that_is_back_with_an_earlier_start_is_followed(registry, clock, leaving):
    """Guards against ignoring a process for its whole life since its clock was set back."""
    revisions = itertools.count(3)
    beat(registry, clock, revisions, 5000)
    beat(registry, clock, revisions, 5000)
    for _ in range(3):
        beat(registry, clock, revisions, 3000)
    assert registry.entries_by_id["e1"].started_ms == 3000
    assert is_ready(registry, "e1") and leaving == []
    beat(registry, clock, revisions, 3000, state=DRAINING)
    assert [entry.id for entry in leaving] == ["e1"]


def test_delayed_entries_of_a_former_process_are_ignored(registry, clock):
    """Guards against taking what was still on its way to the store for a new process."""
    revisions = itertools.count(3)
    beat(registry, clock, revisions, 5000)
    for _ in range(4):
        beat(registry, clock, revisions, 5000)
        registry.observe(make_entry("e1", revision=next(revisions), started_ms=3000))
        assert registry.entries_by_id["e1"].started_ms == 5000


def test_a_peer_confirms_that_an_endpoint_is_back(registry, clock):
    """Guards against a gateway that knows endpoints from peers alone and ignores their return."""
    registry.observe(make_entry("e1", revision=3, started_ms=5000))
    clock.advance(3.0)
    back = make_entry("e1", revision=9, started_ms=3000)
    registry.observe_peer_change(EndpointChange("e1", 9, back))
    assert registry.entries_by_id["e1"].started_ms == 3000


class RestartMachine(RuleBasedStateMachine):
    """Endpoints restart with the same ids; heartbeats are delayed; entries lapse and are corrupted.

    The latest write wins, except that an earlier process never replaces a later one that lives:
    one that writes its entry every ``HEARTBEAT_SECONDS``.
    """

    ids = st.sampled_from(["a", "b"])

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.revision = 0
        self.started = {"a": 1, "b": 1}
        self.written_at = {"a": 0.0, "b": 0.0}
        self.restarts = []
        self.registry = EndpointRegistry(self.clock, on_restarted=self.restarts.append)

    def _write(self, id, state, started_ms):
        self.revision += 1
        written = make_entry(id, state=state, revision=self.revision, started_ms=started_ms)
        self.registry.observe(written)
        if started_ms == self.started[id]:
            self.written_at[id] = self.clock.seconds()
        return written

    @rule(id=ids, state=st.sampled_from([EndpointState.READY, DRAINING]))
    def heartbeat(self, id, state):
        self._write(id, state, self.started[id])
        assert self.registry.entries_by_id[id].state is state

    @rule(id=ids)
    def restart(self, id):
        previous = self.registry.entries_by_id.get(id)
        before = len(self.restarts)
        self.started[id] += 1
        self._write(id, EndpointState.READY, self.started[id])
        assert len(self.restarts) - before == (0 if previous is None else 1)
        assert id in ready_ids(self.registry)

    @rule(id=ids, state=st.sampled_from([EndpointState.READY, DRAINING]))
    def delayed_heartbeat(self, id, state):
        entry = self.registry.entries_by_id.get(id)
        if entry is not None and self.clock.seconds() - self.written_at[id] > HEARTBEAT_SECONDS:
            entry = self._write(id, entry.state, self.started[id])
        if entry is not None and entry.started_ms > 1:
            self._write(id, state, entry.started_ms - 1)
            assert self.registry.entries_by_id[id] is entry

    @rule(id=ids)
    def corrupt(self, id):
        self.revision += 1
        self.registry.observe_unreadable(id, self.revision, "unreadable")
        assert id not in ready_ids(self.registry)

    @rule(id=ids, late=st.integers(0, 3))
    def remove(self, id, late):
        self.registry.remove(id, self.revision - late)

    @rule(ids=st.sets(ids))
    def compacted(self, ids):
        self.registry.observe_listing(ids)

    @rule(healthy=st.booleans(), seconds=st.floats(0, 4))
    def store(self, healthy, seconds):
        self.registry.record_store_health(healthy)
        self.clock.advance(seconds)

    @invariant()
    def start_times_increase(self):
        for id in ("a", "b"):
            starts = [previous.started_ms for previous in self.restarts if previous.id == id]
            assert starts == sorted(set(starts))


TestRestartMachine = RestartMachine.TestCase
TestRestartMachine.settings = settings(max_examples=examples(60), stateful_step_count=30)


class RegistryMachine(RuleBasedStateMachine):
    """Draining is final for an incarnation, in any order of changes, listings and outages."""

    ids = st.sampled_from(["a", "b", "c"])

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.leaving = []
        self.registry = EndpointRegistry(self.clock, self.leaving.append)
        self.draining = set()

    @rule(id=ids)
    def observe(self, id):
        if id not in self.draining:
            self.registry.observe(make_entry(id))

    @rule(id=ids)
    def drain(self, id):
        self.draining.add(id)
        self.registry.observe(make_entry(id, state=DRAINING))

    @rule(id=ids)
    def remove(self, id):
        self.registry.remove(id)

    @rule(ids=st.sets(ids))
    def list(self, ids):
        self.registry.observe_listing(ids)

    @rule(healthy=st.booleans())
    def store(self, healthy):
        self.registry.record_store_health(healthy)

    @rule(seconds=st.floats(0, 4))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def draining_endpoints_take_no_requests(self):
        assert not self.draining & set(ready_ids(self.registry))

    @invariant()
    def lapsed_entries_are_known_entries(self):
        assert self.registry.lapsed_ids <= set(self.registry.entries_by_id)


TestRegistryMachine = RegistryMachine.TestCase
TestRegistryMachine.settings = settings(max_examples=examples(60), stateful_step_count=30)


def test_a_peers_delayed_removal_does_not_drop_a_later_registration(clock):
    """Guards against dropping a ready endpoint because a peer reports its earlier removal.

    The removal must be compared with the entry's revision, not with that of the last change.
    """
    registry = EndpointRegistry(clock)
    registry.observe(make_entry("e1", revision=10))
    registry.observe(make_entry("e1", revision=15))
    registry.observe_peer_change(EndpointChange("e1", 14, None))
    assert ready_ids(registry) == ["e1"]


def test_an_endpoint_removed_before_the_listing_is_not_added_by_a_peer(clock):
    """Guards against a restarted gateway that adds a removed endpoint from a peer's old report."""
    registry = EndpointRegistry(clock)
    registry.observe_peer_change(
        EndpointChange("e1", 10, make_entry("e1", revision=10)), complete_to_revision=18
    )
    registry.observe_peer_change(
        EndpointChange("e2", 19, make_entry("e2", revision=19)), complete_to_revision=18
    )
    assert ready_ids(registry) == ["e2"]
