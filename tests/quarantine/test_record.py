"""The record of quarantined requests in the store."""

import pytest

from guavacleat.quarantine import CrashTracker
from guavacleat.quarantine.record import MAX_STORED_REQUESTS, QuarantineRecord
from tests.peers.fleet import SharedStore, StoreLink

CRASHER, OTHER_CRASHER = 11, -12
SETTLE_SECONDS = 10.0


@pytest.fixture
def store(clock):
    return SharedStore(clock)


def gateway(clock, store, is_reader=lambda: True):
    tracker = CrashTracker(clock)
    record = QuarantineRecord(clock, StoreLink(store), tracker, is_reader)
    record.start()
    return tracker, record


def quarantine(tracker, clock, fingerprint):
    for number in range(3):
        tracker.confirm(tracker.request_interrupted(f"{fingerprint}-{number}", fingerprint))
        clock.pump([0.1] * 20)


def pass_time(clock, seconds=SETTLE_SECONDS):
    clock.pump([0.1] * round(seconds / 0.1))


def test_a_gateway_that_starts_alone_restores_the_quarantine(clock, store):
    """Guards against three more crashes after all gateways were lost together."""
    tracker, _ = gateway(clock, store)
    quarantine(tracker, clock, CRASHER)
    pass_time(clock)
    restarted, _ = gateway(clock, store)
    pass_time(clock)
    assert restarted.status(CRASHER).quarantined


def test_concurrent_writes_are_merged(clock, store):
    first, _ = gateway(clock, store)
    second, _ = gateway(clock, store)
    quarantine(first, clock, CRASHER)
    quarantine(second, clock, OTHER_CRASHER)
    pass_time(clock)
    restarted, _ = gateway(clock, store)
    pass_time(clock)
    assert restarted.status(CRASHER).quarantined and restarted.status(OTHER_CRASHER).quarantined


def test_a_completed_request_is_removed(clock, store):
    tracker, _ = gateway(clock, store)
    quarantine(tracker, clock, CRASHER)
    pass_time(clock)
    tracker.request_completed(CRASHER)
    pass_time(clock)
    restarted, _ = gateway(clock, store)
    pass_time(clock)
    assert restarted.crash_count(CRASHER) == 0


def test_an_outage_delays_the_record(clock, store):
    """Guards against losing a quarantined request because the store was unavailable."""
    tracker, record = gateway(clock, store)
    record.store.set_state("refused")
    quarantine(tracker, clock, CRASHER)
    pass_time(clock)
    assert not store.objects
    record.store.set_state("open")
    pass_time(clock)
    restarted, _ = gateway(clock, store)
    pass_time(clock)
    assert restarted.status(CRASHER).quarantined


def test_only_readers_read(clock, store):
    gateway(clock, store, is_reader=lambda: False)
    pass_time(clock)
    assert store.call_count == 0


@pytest.mark.parametrize("value", [None, {}, {"crashes": 7}, {"crashes": {"xyz": 3}}, []])
def test_an_invalid_record_is_ignored(clock, store, value):
    store.write("quarantine", "requests", value)
    tracker, _ = gateway(clock, store)
    pass_time(clock)
    assert tracker.endpoint_crashes == []


def test_the_record_is_bounded(clock, store):
    crashes = {f"{number:016x}": 3 for number in range(2 * MAX_STORED_REQUESTS)}
    store.write("quarantine", "requests", {"crashes": crashes})
    tracker, _ = gateway(clock, store)
    pass_time(clock)
    quarantine(tracker, clock, CRASHER)
    pass_time(clock)
    stored_crashes = store.objects["quarantine", "requests"].value["crashes"]
    assert len(stored_crashes) == MAX_STORED_REQUESTS
    assert f"{CRASHER:016x}" in stored_crashes


def test_an_unexpected_error_does_not_end_the_writes(clock, store, monkeypatch):
    """Guards against requests that all gateways forget as one write failed in an unknown way."""
    tracker, record = gateway(clock, store)
    put, failures = record.store.put, iter([RuntimeError("unforeseen")])

    def put_or_fail(*args):
        for failure in failures:
            raise failure
        return put(*args)

    monkeypatch.setattr(record.store, "put", put_or_fail)
    quarantine(tracker, clock, CRASHER)
    pass_time(clock)
    restarted, _ = gateway(clock, store)
    pass_time(clock)
    assert restarted.status(CRASHER).quarantined


def test_parts_are_restored_as_parts(clock, store):
    """Guards against a bad part that crashes more endpoints after all gateways were lost."""
    tracker, _ = gateway(clock, store)
    for number in range(3):
        interrupted = tracker.request_interrupted(f"e{number}", 50 + number, parts=[CRASHER])
        tracker.confirm(interrupted)
        clock.pump([0.1] * 20)
    pass_time(clock)
    restarted, _ = gateway(clock, store)
    pass_time(clock)
    assert restarted.is_part(CRASHER) and restarted.status(99, CRASHER).quarantined
    restarted.part_proven(CRASHER, clock.seconds())
    pass_time(clock)
    assert store.objects["quarantine", "requests"].value == {"crashes": {}, "parts": {}}
