"""Contract of the object API as the client sees it, with fault cases in a table."""

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
    """
    Symptom: two operators apply from the same base version.
    Sequence: both read version 1; the first writes; the second writes expecting 1.
    Cause: the second must lose and learn the version to rebase on.
    """
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
    """
    Symptom: a write raises, yet the object may have changed (lost acknowledgement).
    Sequence: a fault is set; the client writes; the answer is refused or lost.
    Cause: the platform may apply a write and lose its answer; callers must read back.
    """
    for field, value in faults.items():
        setattr(store_app.faults, field, value)
    with pytest.raises(StoreUnavailableError):
        result_of(store.put("config", "d", {"a": 1}, 0), stub_http.flush)
    assert (store_app.state.get("config", "d") is not None) is took_effect


def test_watch_wakes_on_write_and_returns_changes_after_revision(store, stub_http, clock):
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


def test_watch_lists_afresh_when_the_store_forgot_its_history(store, store_app, stub_http, clock):
    """
    Symptom: after a long outage a gateway never hears of later changes.
    Sequence: a watch waits at revision 1; the store forgets its history; e2 is written.
    Cause: the loop went on asking from a revision the store could no longer answer.
    """
    result_of(store.put("endpoints", "e1", {"n": 1}, 0), stub_http.flush)
    seen = []
    loop = WatchLoop(clock, store, "endpoints", lambda s: seen.append(s.name), wait=1)
    loop.start()
    clock.advance(0)
    stub_http.flush()
    result_of(store.put("endpoints", "e2", {"n": 1}, 0), stub_http.flush)
    result_of(store.put("endpoints", "e3", {"n": 1}, 0), stub_http.flush)
    loop.revision = 1
    store_app.state.forgotten_revision = store_app.state.revision
    for _ in range(4):
        clock.advance(1)
        stub_http.flush()
    assert {"e1", "e2", "e3"} <= set(seen) and loop.revision == 3


def test_unreadable_object_does_not_end_the_watch(store, stub_http, clock):
    """
    Symptom: a daemon stops hearing of configuration changes, with nothing in its logs.
    Sequence: somebody writes a config object without 'settings'; a good one follows.
    Cause: the exception from the malformed object ended the watch loop.
    """
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
    assert seen == ["good"] and loop.refused == 1


GARBLED = [(200, b"<html>"), (302, b"{}"), (400, b"{}"), (500, b"")]


@pytest.mark.parametrize("status,body", GARBLED)
def test_garbled_answer_is_no_answer(status, body):
    """
    Symptom: an endpoint's lease lapses for good though its sidecar is well.
    Sequence: one renewal is answered by something that is not the object API's JSON.
    Cause: the ValueError ended the renewal loop; only StoreUnavailableError is retried.
    """

    class Response:
        code = status

        def content(self):
            return defer.succeed(body)

    class Http:
        def request(self, *args, **kwargs):
            return defer.succeed(Response())

    with pytest.raises(StoreUnavailableError):
        result_of(StoreClient("http://store", http=Http()).put("endpoints", "e1", {}, 0))
