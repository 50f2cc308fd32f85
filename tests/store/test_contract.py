"""Contract of the object API as seen by the client, also under faults."""

import pytest
from twisted.internet import defer

from guavacleat.store import ConflictError, StoreClient, StoreUnavailableError
from guavacleat.store.watch import WatchLoop
from tests.conftest import result_of


def test_create_update_and_read_back(store, stub_http):
    created = result_of(store.put("config", "d", {"a": 1}, 0), stub_http.flush)
    updated = result_of(store.put("config", "d", {"a": 2}, created.version), stub_http.flush)
    read = result_of(store.get("config", "d"), stub_http.flush)
    assert (created.version, updated.version, read.value) == (1, 2, {"a": 2})
    assert updated.revision > created.revision


def test_absent_object_reads_as_none(store, stub_http):
    assert result_of(store.get("config", "none"), stub_http.flush) is None


def test_stale_write_names_current_version(store, stub_http):
    """Guards against a lost update when two operators write from the same base version."""
    result_of(store.put("config", "d", {"by": "first"}, 0), stub_http.flush)
    result_of(store.put("config", "d", {"by": "first"}, 1), stub_http.flush)
    with pytest.raises(ConflictError) as caught:
        result_of(store.put("config", "d", {"by": "second"}, 1), stub_http.flush)
    assert caught.value.current_version == 2
    assert "version 2" in str(caught.value)


FAULTS = [
    # (faults set on the stand-in, does the write take effect)
    ({"outage": True}, False),
    ({"lose_acks": 1}, True),
]


@pytest.mark.parametrize("faults,took_effect", FAULTS)
def test_write_under_fault_raises_unavailable(store, store_app, stub_http, faults, took_effect):
    """Guards against reporting success or a conflict when the outcome of a write is unknown."""
    for field, value in faults.items():
        setattr(store_app.faults, field, value)
    with pytest.raises(StoreUnavailableError):
        result_of(store.put("config", "d", {"a": 1}, 0), stub_http.flush)
    assert (store_app.state.get("config", "d") is not None) is took_effect


def test_watch_returns_changes_after_revision_on_write(store, stub_http, clock):
    first = result_of(store.put("endpoints", "e1", {"n": 1}, 0), stub_http.flush)
    watching = store.watch("endpoints", first.revision, wait=5)
    stub_http.flush()
    assert not watching.called
    result_of(store.put("endpoints", "e2", {"n": 2}, 0), stub_http.flush)
    batch = result_of(watching, stub_http.flush)
    assert [obj.name for obj in batch.objects] == ["e2"]


def test_watch_times_out_empty(store, stub_http, clock):
    watching = store.watch("endpoints", 0, wait=5)
    stub_http.flush()
    clock.advance(5)
    assert result_of(watching, stub_http.flush).objects == []


def test_watch_lists_again_when_the_store_lost_its_history(store, store_app, stub_http, clock):
    """Guards against a loop that keeps watching from a revision which the store no longer holds."""
    result_of(store.put("endpoints", "e1", {"n": 1}, 0), stub_http.flush)
    seen = []
    loop = WatchLoop(clock, store, "endpoints", lambda s: seen.append(s.name), wait=1)
    loop.start()
    clock.advance(0)
    stub_http.flush()
    result_of(store.put("endpoints", "e2", {"n": 1}, 0), stub_http.flush)
    result_of(store.put("endpoints", "e3", {"n": 1}, 0), stub_http.flush)
    loop.revision = 1
    store_app.state.compacted_revision = store_app.state.revision
    for _ in range(4):
        clock.advance(1)
        stub_http.flush()
    assert {"e1", "e2", "e3"} <= set(seen) and loop.revision == 3


def test_unreadable_object_does_not_end_the_watch(store, stub_http, clock):
    """Guards against a malformed object whose exception silently ends the watch loop."""
    seen = []
    loop = WatchLoop(clock, store, "config", lambda s: seen.append(s.value["settings"]), wait=1)
    loop.start()
    result_of(store.put("config", "d", {"oops": 1}, 0), stub_http.flush)
    clock.advance(0)
    stub_http.flush()
    result_of(store.put("config", "d", {"settings": "good"}, 1), stub_http.flush)
    for _ in range(2):
        clock.advance(1)
        stub_http.flush()
    assert seen == ["good"] and loop.rejected_count == 1


INVALID_RESPONSES = [(200, b"<html>"), (302, b"{}"), (400, b"{}"), (500, b"")]


@pytest.mark.parametrize("status,body", INVALID_RESPONSES)
def test_invalid_response_raises_unavailable(status, body):
    """Guards against ending a lease's renewal loop: only StoreUnavailableError is retried."""

    class Response:
        code = status

        def content(self):
            return defer.succeed(body)

    class Http:
        def request(self, *args, **kwargs):
            return defer.succeed(Response())

    with pytest.raises(StoreUnavailableError):
        result_of(StoreClient("http://store", http=Http()).put("endpoints", "e1", {}, 0))
