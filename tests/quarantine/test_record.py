"""What the store keeps of refused requests."""

import pytest

from guavacleat.quarantine import CrashTracker
from guavacleat.quarantine.record import REQUESTS_KEPT, QuarantineRecord
from tests.peers.fleet import SharedStore, StoreLink

CRASHER, OTHER = 11, -12
SETTLED_SECONDS = 10.0


@pytest.fixture
def store(clock):
    return SharedStore(clock)


def gateway(clock, store, is_reader=lambda: True):
    book = CrashTracker(clock)
    record = QuarantineRecord(clock, StoreLink(store), book, is_reader)
    record.start()
    return book, record


def convict(book, clock, fingerprint):
    for number in range(3):
        book.confirm(book.request_interrupted(f"{fingerprint}-{number}", fingerprint))
        clock.pump([0.1] * 20)


def pass_time(clock, seconds=SETTLED_SECONDS):
    clock.pump([0.1] * round(seconds / 0.1))


def test_a_gateway_that_starts_alone_knows_what_was_refused(clock, store):
    """Guards against three more crashes after all gateways were lost together."""
    book, _ = gateway(clock, store)
    convict(book, clock, CRASHER)
    pass_time(clock)
    later, _ = gateway(clock, store)
    pass_time(clock)
    assert later.status(CRASHER).quarantined


def test_gateways_that_convict_at_once_both_write(clock, store):
    first, _ = gateway(clock, store)
    second, _ = gateway(clock, store)
    convict(first, clock, CRASHER)
    convict(second, clock, OTHER)
    pass_time(clock)
    later, _ = gateway(clock, store)
    pass_time(clock)
    assert later.status(CRASHER).quarantined and later.status(OTHER).quarantined


def test_a_request_that_ran_to_its_end_is_taken_out(clock, store):
    book, _ = gateway(clock, store)
    convict(book, clock, CRASHER)
    pass_time(clock)
    book.request_completed(CRASHER)
    pass_time(clock)
    later, _ = gateway(clock, store)
    pass_time(clock)
    assert later.crash_count(CRASHER) == 0


def test_an_outage_delays_the_record(clock, store):
    """Guards against a conviction that is lost because the store was away."""
    book, record = gateway(clock, store)
    record.store.set_state("refused")
    convict(book, clock, CRASHER)
    pass_time(clock)
    assert not store.objects
    record.store.set_state("open")
    pass_time(clock)
    later, _ = gateway(clock, store)
    pass_time(clock)
    assert later.status(CRASHER).quarantined


def test_only_readers_read(clock, store):
    gateway(clock, store, is_reader=lambda: False)
    pass_time(clock)
    assert store.calls == 0


@pytest.mark.parametrize("value", [None, {}, {"crashes": 7}, {"crashes": {"xyz": 3}}, []])
def test_a_record_that_cannot_be_read_is_left_alone(clock, store, value):
    store.write("quarantine", "requests", value)
    book, _ = gateway(clock, store)
    pass_time(clock)
    assert book.endpoint_crashes == []


def test_the_record_is_bounded(clock, store):
    crashes = {f"{number:016x}": 3 for number in range(2 * REQUESTS_KEPT)}
    store.write("quarantine", "requests", {"crashes": crashes})
    book, _ = gateway(clock, store)
    pass_time(clock)
    convict(book, clock, CRASHER)
    pass_time(clock)
    kept = store.objects["quarantine", "requests"].value["crashes"]
    assert len(kept) == REQUESTS_KEPT
    assert f"{CRASHER:016x}" in kept
