"""The store client and the watch loop against a stand-in of the platform's store."""

import itertools

import pytest
from twisted.internet import defer

from guavacleat.platform.objects import PlatformDialect
from guavacleat.store import ConflictError, StoreClient, StoreUnavailableError
from guavacleat.store.client import CALL_TIMEOUT_SECONDS, WATCH_WAIT_SECONDS
from guavacleat.store.messages import MUST_NOT_EXIST
from guavacleat.store.watch import (
    BACKOFF_MAX_SECONDS,
    MIN_WAIT_FRACTION,
    RECOVERY_WAIT_SECONDS,
    WatchLoop,
)
from tests.conftest import result_of
from tests.platform.store_standin import PAGE_SIZE, StoreStandin


@pytest.fixture
def standin(clock):
    return StoreStandin(clock)


@pytest.fixture
def client(standin):
    return StoreClient("http://store", http=standin, dialect=PlatformDialect())


class WatchedObjects:
    """A watch loop that records what it reports."""

    def __init__(self, clock, client, kind="servers"):
        self.values_by_name = {}
        self.deleted = []
        self.listings = []
        self.health = []
        self.loop = WatchLoop(
            clock,
            client,
            kind,
            self._observe,
            on_health=self.health.append,
            on_listed=self.listings.append,
        )
        self.loop.start()
        clock.advance(0)

    def _observe(self, stored):
        if stored.deleted:
            self.deleted.append(stored.name)
        else:
            self.values_by_name[stored.name] = stored.value


def test_conditional_create_and_replace(client):
    created = result_of(client.put("gateways", "g1", {"a": 1}, MUST_NOT_EXIST))
    replaced = result_of(client.put("gateways", "g1", {"a": 2}, created.version))
    assert replaced.value == {"a": 2} and replaced.version > created.version
    assert result_of(client.get("gateways", "g1")).value == {"a": 2}
    assert result_of(client.get("gateways", "none")) is None


def test_conflict_has_the_current_version(client, standin):
    result_of(client.put("gateways", "g1", {"a": 1}, MUST_NOT_EXIST))
    standin.write("gateways", "g1", {"a": 2})
    for expected in (MUST_NOT_EXIST, 1):
        with pytest.raises(ConflictError) as caught:
            result_of(client.put("gateways", "g1", {"a": 3}, expected))
        assert caught.value.current_version == 2


FAULTS = [("busy", False), ("down", False), ("silent", False), ("lost", True), ("garbled", False)]


@pytest.mark.parametrize("fault,took_effect", FAULTS)
def test_faults_raise_store_unavailable(client, standin, fault, took_effect):
    standin.fault = fault
    with pytest.raises(StoreUnavailableError):
        result_of(client.put("gateways", "g1", {"a": 1}, MUST_NOT_EXIST))
    assert (("gateways", "g1") in standin.objects) is took_effect


def test_slow_response_within_the_call_timeout_is_accepted(client, standin, clock):
    standin.fault, standin.delay = "slow", 0.9 * CALL_TIMEOUT_SECONDS
    written = client.put("gateways", "g1", {"a": 1}, MUST_NOT_EXIST)
    clock.advance(standin.delay)
    assert result_of(written).value == {"a": 1}


def test_write_that_times_out_may_have_been_applied(client, standin, clock):
    """A retry must be conditional, or a gateway could register twice."""
    standin.fault, standin.delay = "slow", 2 * CALL_TIMEOUT_SECONDS
    written = client.put("gateways", "g1", {"a": 1}, MUST_NOT_EXIST)
    clock.advance(2 * CALL_TIMEOUT_SECONDS)
    with pytest.raises(StoreUnavailableError):
        result_of(written)
    standin.fault = None
    with pytest.raises(ConflictError):
        result_of(client.put("gateways", "g1", {"a": 1}, MUST_NOT_EXIST))


def test_slow_store_is_not_reported_as_unavailable(client, standin, clock):
    standin.fault, standin.delay = "slow", 0.5 * CALL_TIMEOUT_SECONDS
    standin.write("servers", "e1", {"state": "ready"})
    watched = WatchedObjects(clock, client)
    for _ in range(4):
        clock.advance(standin.delay)
    standin.write("servers", "e1", {"state": "draining"})
    for _ in range(4):
        clock.advance(standin.delay)
    assert watched.values_by_name == {"e1": {"state": "draining"}}
    assert False not in watched.health


def test_listing_reads_all_pages(client, standin):
    names = [f"e{number}" for number in range(2 * PAGE_SIZE + 1)]
    for name in names:
        standin.write("servers", name, {})
    batch = result_of(client.list_objects("servers"))
    assert [stored.name for stored in batch.objects] == names


def test_listing_resumes_after_a_rejected_page(client, standin, clock):
    """Guards against long listings that never finish when many gateways start at once and the
    store's rate limit rejects some of their pages.
    """
    names = [f"e{number:02}" for number in range(4 * PAGE_SIZE)]
    for name in names:
        standin.write("servers", name, {})
    original_request = standin.request
    calls = itertools.count()

    def reject_every_other(*args, **kwargs):
        standin.fault = "busy" if next(calls) % 2 else None
        return original_request(*args, **kwargs)

    standin.request = reject_every_other
    watched = WatchedObjects(clock, client)
    for _ in range(10):
        clock.advance(BACKOFF_MAX_SECONDS)
    assert sorted(watched.values_by_name) == names
    assert watched.listings == [set(names)]


def test_change_between_two_pages_is_received(client, standin, clock):
    """The watch must start at the first page's revision, or it misses this change."""
    for number in range(PAGE_SIZE + 1):
        standin.write("servers", f"e{number}", {})
    original_request = standin.request
    pages = []

    def write_between_pages(method, url, data=None, timeout=None):
        if "after=" in url and not pages:
            pages.append(url)
            standin.write("servers", "a-early", {})
        return original_request(method, url, data, timeout)

    standin.request = write_between_pages
    watched = WatchedObjects(clock, client)
    clock.advance(0)
    clock.advance(0)
    assert "a-early" in watched.values_by_name


def test_changes_and_deletions_are_received(client, standin, clock):
    standin.write("servers", "e1", {"state": "ready"})
    watched = WatchedObjects(clock, client)
    clock.advance(0)
    standin.write("servers", "e1", {"state": "draining"})
    clock.advance(0)
    standin.delete("servers", "e1")
    clock.advance(0)
    assert watched.values_by_name == {"e1": {"state": "draining"}}
    assert watched.deleted == ["e1"]


def test_compacted_history_causes_a_new_listing(client, standin, clock):
    """Guards against a deleted endpoint that stays known because the deletion was compacted."""
    standin.write("servers", "e1", {})
    standin.write("servers", "e2", {})
    watched = WatchedObjects(clock, client)
    clock.advance(0)
    _, _, waiter = standin.pending_watches.pop()
    standin.delete("servers", "e1")
    standin.compact_history()
    waiter.errback(ConnectionError())
    for _ in range(4):
        clock.advance(1)
    assert watched.listings[-1] == {"e2"}


@pytest.mark.parametrize("fault", ["busy", "down", "silent", "garbled"])
def test_watch_loop_reports_faults_and_recovers(client, standin, clock, fault):
    standin.fault = fault
    watched = WatchedObjects(clock, client)
    clock.advance(1)
    standin.fault = None
    standin.write("servers", "e1", {})
    for _ in range(5):
        clock.advance(1)
    assert watched.health[0] is False and watched.health[-1] is True
    assert watched.values_by_name == {"e1": {}}


def test_watch_wait_is_short_after_a_failure(client, standin, clock):
    """Guards against a long wait on a watch that was lost just before the store recovered, which
    delays the next configuration.
    """
    standin.write("servers", "e1", {})
    WatchedObjects(clock, client)
    clock.advance(0)
    standin.fault = "silent"
    standin.pending_watches.pop()[2].errback(ConnectionError())
    clock.advance(1)
    standin.fault = None
    clock.advance(1)
    waits = [int(url.rpartition("waitMs=")[2]) for _, url in standin.calls if "waitMs=" in url]
    assert (
        MIN_WAIT_FRACTION * WATCH_WAIT_SECONDS * 1000 - 1 <= waits[0] <= WATCH_WAIT_SECONDS * 1000
    )
    assert waits[1] == RECOVERY_WAIT_SECONDS * 1000
    standin.write("servers", "e2", {})
    clock.advance(0)
    last = int(standin.calls[-1][1].rpartition("waitMs=")[2])
    assert MIN_WAIT_FRACTION * WATCH_WAIT_SECONDS * 1000 - 1 <= last <= WATCH_WAIT_SECONDS * 1000


def test_invalid_response_does_not_end_the_watch_loop(client, standin, clock):
    """Guards against a loop that ends silently after an unexpected JSON response."""
    original_request = standin.request
    standin.request = lambda *args, **kwargs: defer.succeed(standin._reply(200, {"odd": 1}))
    watched = WatchedObjects(clock, client)
    standin.request = original_request
    standin.write("servers", "e1", {})
    for _ in range(3):
        clock.advance(1)
    assert watched.values_by_name == {"e1": {}}


@pytest.mark.parametrize("ending", ["breaks", "answers"])
def test_stopped_watch_loop_reports_nothing(client, standin, clock, ending):
    """Guards against reports about the store after the process has logged its stop."""
    standin.write("servers", "e1", {})
    watched = WatchedObjects(clock, client)
    clock.advance(0)
    health_at_stop = list(watched.health)
    watched.loop.stop()
    if ending == "breaks":
        standin.pending_watches.pop()[2].errback(ConnectionError())
    else:
        standin.write("servers", "e2", {})
    clock.advance(5)
    assert watched.health == health_at_stop and watched.values_by_name == {"e1": {}}


def test_invalid_objects_are_skipped(clock, client, standin):
    """Guards against a watch that fails forever because one invalid object is in each response."""
    watched = WatchedObjects(clock, client)
    invalid_event = {"object": {"metadata": {"name": "s0"}, "spec": {}}, "tombstone": False}
    standin.history.append((1, "servers", invalid_event))
    standin.history.append((1, "servers", {"tombstone": False}))
    standin.write("servers", "s1", {"a": 1})
    assert watched.values_by_name == {"s1": {"a": 1}}
    assert watched.health[-1] is True


def test_invalid_utf8_affects_only_its_object(client, standin, monkeypatch):
    standin.write("servers", "s1", {"a": "BYTES"})
    standin.write("servers", "s2", {"a": 2})
    original_request = standin.request

    def with_bytes(*args, **kwargs):
        return original_request(*args, **kwargs).addCallback(_corrupt)

    def _corrupt(reply):
        reply.body = reply.body.replace(b"BYTES", b"\xff\xfe")
        return reply

    monkeypatch.setattr(standin, "request", with_bytes)
    listed = result_of(client.list_objects("servers")).objects
    assert [stored.name for stored in listed] == ["s1", "s2"]
    assert listed[1].value == {"a": 2}


def test_watch_waits_have_jitter(clock, client, standin):
    """Without jitter a change synchronizes the watches of all gateways, and they all detect a store
    outage only at the end of the same wait.
    """
    WatchedObjects(clock, client)
    for number in range(20):
        standin.write("servers", "s1", {"a": number})
        clock.advance(0)
    waits = [int(url.rpartition("waitMs=")[2]) for _, url in standin.calls if "waitMs=" in url]
    assert len(set(waits)) > 10
    assert min(waits) >= MIN_WAIT_FRACTION * WATCH_WAIT_SECONDS * 1000 - 1
