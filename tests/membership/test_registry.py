"""Endpoints that register themselves: leaving, lapsing with the store, coming back."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from twisted.internet.task import Clock

from guavacleat.membership.registry import (
    CHANGE_RETENTION_SECONDS,
    REREGISTRATION_SECONDS,
    EndpointChange,
    EndpointRegistry,
    EndpointState,
)
from tests.conftest import examples
from tests.forwarding.harness import make_entry

DRAINING = EndpointState.DRAINING


@pytest.fixture
def left():
    return []


@pytest.fixture
def registry(clock, left):
    registry = EndpointRegistry(clock, left.append)
    registry.observe(make_entry("e1"))
    registry.observe(make_entry("e2"))
    return registry


def ready_ids(registry):
    return [found.id for found in registry.ready("svc")]


def test_a_draining_endpoint_gets_no_new_work_and_is_told_once(registry, left):
    registry.observe(make_entry("e1", state=DRAINING))
    registry.observe(make_entry("e1", state=DRAINING))
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
    registry.record_store_health(False)
    clock.advance(5)
    registry.record_store_health(True)
    registry.observe_listing(set())
    assert ready_ids(registry) == ["e1", "e2"]
    clock.advance(1)
    registry.observe(make_entry("e1"))
    clock.advance(REREGISTRATION_SECONDS)
    assert ready_ids(registry) == ["e1"]
    assert [found.id for found in left] == ["e2"]


def test_a_draining_entry_that_vanishes_in_an_outage_is_gone(registry, clock):
    registry.observe(make_entry("e1", state=DRAINING))
    registry.record_store_health(False)
    registry.record_store_health(True)
    registry.observe_listing({"e2"})
    assert "e1" not in registry.entries_by_id


def test_a_listing_drops_what_was_removed_unseen(registry):
    registry.observe_listing({"e2"})
    assert ready_ids(registry) == ["e2"]


def test_an_address_used_again_belongs_to_the_newer_entry_only(registry):
    """
    Symptom: a request of one service is run by another.
    Sequence: an endpoint is gone; its address is given to an endpoint of another service, which
    answers that it is not the one expected.
    Cause: the old entry must not be used again.
    """
    registry.remove_stale("e1")
    assert ready_ids(registry) == ["e2"]


def test_the_latest_revision_of_an_endpoint_counts(registry):
    """
    Symptom: an endpoint that left gets new work.
    Sequence: it drains and is removed; a peer that heard later of less still tells it as ready.
    Cause: what is known of an endpoint may only be replaced by a later revision.
    """
    registry.observe(make_entry("e1", revision=5, state=DRAINING))
    registry.observe_peer_change(EndpointChange("e1", 4, make_entry("e1", revision=4)))
    assert ready_ids(registry) == ["e2"]
    registry.remove("e1", revision=7)
    registry.observe_peer_change(EndpointChange("e1", 6, make_entry("e1", revision=6)))
    assert ready_ids(registry) == ["e2"]


def test_an_endpoint_that_a_peer_knows_to_be_gone_is_gone_also_in_an_outage(registry, left):
    registry.record_store_health(False)
    registry.observe_peer_change(EndpointChange("e1", 9, None))
    assert ready_ids(registry) == ["e2"]
    assert [found.id for found in left] == ["e1"]


def test_changes_are_told_for_a_time_and_then_forgotten(registry, clock):
    registry.remove("e1", revision=4)
    assert {change.id for change in registry.recent_changes()} == {"e1", "e2"}
    clock.advance(CHANGE_RETENTION_SECONDS + 1)
    assert registry.recent_changes() == []
    assert "e1" not in registry.changes_by_id


@pytest.fixture
def restarted(registry):
    restarted = []
    registry.on_restarted = restarted.append
    return restarted


def test_an_endpoint_that_starts_again_under_its_id_is_told(registry, restarted, left):
    """
    Symptom: streams on an engine that crashed wait for events that never come.
    Sequence: an engine crashes and starts again, under the id that it had, before its entry lapses.
    Cause: its entry looks as before but for the time of its start.
    """
    registry.observe(make_entry("e1", revision=5, started_ms=1000))
    registry.observe(make_entry("e1", revision=6, started_ms=2000))
    assert [former.started_ms for former in restarted] == [1000]
    assert ready_ids(registry) == ["e1", "e2"]
    assert left == []


def test_one_that_was_leaving_takes_work_after_it_started_again(registry, restarted, left):
    registry.observe(make_entry("e1", revision=5, state=DRAINING, started_ms=1000))
    registry.observe(make_entry("e1", revision=6, started_ms=2000))
    assert ready_ids(registry) == ["e1", "e2"]
    registry.observe(make_entry("e1", revision=7, state=DRAINING, started_ms=2000))
    assert [found.started_ms for found in left] == [1000, 2000]


def test_a_late_heartbeat_of_the_former_process_says_nothing(registry, restarted):
    """
    Symptom: an engine that just started gets no work, and its streams are moved off.
    Sequence: its former process wrote that it drains; that write takes effect seconds later.
    Cause: the store's revision is newer, the process that it tells of is older.
    """
    registry.observe(make_entry("e1", revision=5, started_ms=2000))
    registry.observe(make_entry("e1", revision=6, state=DRAINING, started_ms=1000))
    assert ready_ids(registry) == ["e1", "e2"]
    assert restarted == []


def test_a_removal_older_than_what_a_peer_told_is_passed_over(registry):
    """
    Symptom: an engine that is back gets no work until its next change.
    Sequence: a gateway that hears late is told by a peer that the engine is back; then its own
    watch brings the removal from before.
    Cause: the removal has an older revision than the entry.
    """
    registry.observe_peer_change(
        EndpointChange("e1", 9, make_entry("e1", revision=9, started_ms=2000))
    )
    registry.remove("e1", revision=8)
    assert ready_ids(registry) == ["e1", "e2"]


def test_an_unreadable_entry_names_no_endpoint_to_use(registry, left, monkeypatch):
    """
    Symptom: requests go to an endpoint by an entry that another writer spoilt, or all its streams
    are moved off.
    Sequence: an entry is overwritten with something else, with every heartbeat; later the
    endpoint writes its own again.
    Cause: what cannot be read says neither that the endpoint takes work nor that it leaves.
    """
    lines = []
    monkeypatch.setattr(
        "guavacleat.membership.registry.log_message", lambda **fields: lines.append(fields)
    )
    for revision in (5, 6, 7):
        registry.observe_unreadable("e1", revision, "KeyError('service')")
    assert ready_ids(registry) == ["e2"]
    assert left == []
    unreadable = [line for line in lines if line["message_type"] == "endpoint:unreadable"]
    assert len(unreadable) == 1
    told = {change.id: change.entry.state for change in registry.recent_changes()}
    assert told == {"e1": EndpointState.UNUSABLE, "e2": EndpointState.READY}, "also to peers"
    registry.observe(make_entry("e1", revision=8))
    assert ready_ids(registry) == ["e1", "e2"]


def test_an_unreadable_entry_does_not_make_a_leaving_endpoint_stay(registry, left):
    registry.observe(make_entry("e1", revision=5, state=DRAINING))
    registry.observe_unreadable("e1", 6, "KeyError('service')")
    registry.observe_unreadable("nobody", 7, "KeyError('service')")
    assert registry.entries_by_id["e1"].state is DRAINING
    assert [found.id for found in left] == ["e1"]


class RestartMachine(RuleBasedStateMachine):
    """Endpoints start again under their ids; beats come late; entries lapse, go and are spoilt.

    What the store holds last decides, except that an earlier start never replaces a later one.
    """

    ids = st.sampled_from(["a", "b"])

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.revision = 0
        self.started = {"a": 1, "b": 1}
        self.restarts = []
        self.registry = EndpointRegistry(self.clock, on_restarted=self.restarts.append)

    def _write(self, id, state, started_ms):
        self.revision += 1
        written = make_entry(id, state=state, revision=self.revision, started_ms=started_ms)
        self.registry.observe(written)
        return written

    @rule(id=ids, state=st.sampled_from([EndpointState.READY, DRAINING]))
    def beat(self, id, state):
        self._write(id, state, self.started[id])
        assert self.registry.entries_by_id[id].state is state

    @rule(id=ids)
    def start_again(self, id):
        known = self.registry.entries_by_id.get(id)
        before = len(self.restarts)
        self.started[id] += 1
        self._write(id, EndpointState.READY, self.started[id])
        assert len(self.restarts) - before == (0 if known is None else 1)
        assert id in ready_ids(self.registry)

    @rule(id=ids, state=st.sampled_from([EndpointState.READY, DRAINING]))
    def late_beat(self, id, state):
        known = self.registry.entries_by_id.get(id)
        if known is not None and known.started_ms > 1:
            self._write(id, state, known.started_ms - 1)
            assert self.registry.entries_by_id[id] is known

    @rule(id=ids)
    def spoil(self, id):
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
    def restarts_go_forward(self):
        for id in ("a", "b"):
            starts = [former.started_ms for former in self.restarts if former.id == id]
            assert starts == sorted(set(starts))


TestRestartMachine = RestartMachine.TestCase
TestRestartMachine.settings = settings(max_examples=examples(60), stateful_step_count=30)


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
    def draining_endpoints_take_no_work(self):
        assert not self.draining & set(ready_ids(self.registry))

    @invariant()
    def lapsed_entries_are_known_entries(self):
        assert self.registry.lapsed_ids <= set(self.registry.entries_by_id)


TestRegistryMachine = RegistryMachine.TestCase
TestRegistryMachine.settings = settings(max_examples=examples(60), stateful_step_count=30)


def test_an_endpoint_that_registered_again_is_not_dropped_by_late_word_of_its_end(clock):
    """
    Symptom: an endpoint that the store lists as ready gets no work from some gateways.
    Sequence: its entry is removed and written again; one gateway sees only the new one, then hears
    from a peer of the removal before it.
    Cause: the removal was compared with what had been told, not with the entry itself.
    """
    registry = EndpointRegistry(clock)
    registry.observe(make_entry("e1", revision=10))
    registry.observe(make_entry("e1", revision=15))
    registry.observe_peer_change(EndpointChange("e1", 14, None))
    assert ready_ids(registry) == ["e1"]


def test_an_endpoint_that_was_gone_before_the_listing_does_not_come_back(clock):
    """
    Symptom: a gateway that has just started sends to an endpoint that is gone.
    Sequence: an endpoint goes while no gateway reaches the store; one starts again, lists what is
    left, and hears of the endpoint from peers that do not know.
    Cause: an unknown endpoint was taken for a new one, although the listing is newer.
    """
    registry = EndpointRegistry(clock)
    registry.observe_peer_change(
        EndpointChange("e1", 10, make_entry("e1", revision=10)), known_to=18
    )
    registry.observe_peer_change(
        EndpointChange("e2", 19, make_entry("e2", revision=19)), known_to=18
    )
    assert ready_ids(registry) == ["e2"]
