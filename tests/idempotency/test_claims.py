"""Claims on idempotency keys under faults of the object API."""

import pytest

from guavacleat.errors import NotRunError
from guavacleat.idempotency import (
    AlreadyAcceptedError,
    CallGuard,
    CallRecords,
    KeyReusedError,
    call_name,
)
from guavacleat.idempotency.guard import RELEASE_WAIT_SECONDS
from guavacleat.idempotency.records import OUTCOME_UNKNOWN_SECONDS, UPDATE_RETRY_SECONDS
from guavacleat.store import StoreClient
from tests.conftest import make_request, result_of


class FailableHttp:
    """A gateway's connection to the store; once the gateway is dead, every call fails."""

    def __init__(self, http):
        self.http = http
        self.dead = False

    def request(self, *args, **kwargs):
        if self.dead:
            raise ConnectionError("this gateway is dead")
        return self.http.request(*args, **kwargs)


CLAIM_FAULTS = [
    # (faults during the create, outcome for the claiming request)
    ({}, None),
    ({"lose_acks": 1}, None),
    ({"outage": True}, NotRunError),
]


@pytest.mark.parametrize("faults,outcome", CLAIM_FAULTS)
def test_claim_under_fault(store, store_app, stub_http, clock, faults, outcome):
    """Guards against refusing a call whose create was applied although its response was lost."""
    for field, value in faults.items():
        setattr(store_app.faults, field, value)
    claiming = CallRecords(store, clock).claim("conn-1", "request-a")
    if outcome is None:
        result_of(claiming, stub_http.flush)
    else:
        with pytest.raises(outcome):
            result_of(claiming, stub_http.flush)


def test_second_request_with_same_key_is_not_run_again(store, stub_http, clock):
    records = CallRecords(store, clock)
    result_of(records.claim("conn-1", "request-a"), stub_http.flush)
    with pytest.raises(AlreadyAcceptedError):
        result_of(records.claim("conn-1", "request-b"), stub_http.flush)


def test_retry_after_completion_gets_the_stored_answer_not_a_second_run(store, stub_http, clock):
    """Guards against a retry after a lost response that gets only a 409."""
    records = CallRecords(store, clock)
    result_of(records.claim("slot-1", "request-a"), stub_http.flush)
    result_of(records.finish("slot-1", "request-a", ["slot", "ok"], "stop"), stub_http.flush)
    with pytest.raises(AlreadyAcceptedError) as caught:
        result_of(records.claim("slot-1", "request-b"), stub_http.flush)
    assert caught.value.answer == (["slot", "ok"], "stop")


def test_retry_while_running_is_told_when_to_retry(store, stub_http, clock):
    records = CallRecords(store, clock)
    result_of(records.claim("slot-1", "request-a"), stub_http.flush)
    with pytest.raises(AlreadyAcceptedError) as caught:
        result_of(records.claim("slot-1", "request-b"), stub_http.flush)
    assert caught.value.answer is None and caught.value.retry_after > 0


def test_call_refused_after_its_claim_can_be_retried(store, stub_http, clock):
    """Guards against a claim that stays with a call that was refused without being run."""
    records = CallRecords(store, clock)
    result_of(records.claim("slot-1", "request-a"), stub_http.flush)
    result_of(records.release("slot-1", "request-a"), stub_http.flush)
    result_of(records.claim("slot-1", "request-b"), stub_http.flush)


def test_release_waits_out_a_store_outage(store, store_app, stub_http, clock):
    """Guards against a release that is lost because the store is down when the call is refused."""
    records = CallRecords(store, clock)
    result_of(records.claim("slot-1", "request-a"), stub_http.flush)
    store_app.faults.outage = True
    releasing = records.release("slot-1", "request-a")
    stub_http.flush()
    store_app.faults.outage = False
    clock.advance(UPDATE_RETRY_SECONDS)
    result_of(releasing, stub_http.flush)
    result_of(records.claim("slot-1", "request-b"), stub_http.flush)


def guarded_call(records):
    """A guard that has claimed the key ``slot-1`` for ``request-a``."""
    completion = make_request()
    completion.call_record_name, completion.request_id = "slot-1", "request-a"
    guard = CallGuard(records, completion)
    guard.claim()
    return guard


def test_a_refusal_is_sent_once_its_key_is_released(store, store_app, stub_http, clock):
    """Guards against a refusal that is sent before the release of its key is recorded.

    If the gateway then dies, retries are told that the call was accepted although it never ran.
    """
    guard = guarded_call(CallRecords(store, clock))
    stub_http.flush()
    store_app.faults.delay = 0.5
    results = []
    guard.release().addCallback(results.append)
    clock.advance(0.5)
    stub_http.flush()
    assert results == [], "the record has been read, the release is not written yet"
    clock.advance(0.5)
    stub_http.flush()
    assert results == [True]
    store_app.faults.delay = 0.0
    result_of(CallRecords(store, clock).claim("slot-1", "request-b"), stub_http.flush)


def test_a_refusal_does_not_wait_for_an_unavailable_store(store, stub_http, clock):
    """Guards against a caller that waits for its refusal until an outage of the store is over."""
    records = CallRecords(StoreClient("http://store", http=FailableHttp(stub_http)), clock)
    guard = guarded_call(records)
    stub_http.flush()
    records.store.http.dead = True
    results = []
    guard.release().addCallback(results.append)
    clock.advance(RELEASE_WAIT_SECONDS - 0.1)
    assert results == []
    clock.advance(0.1)
    assert results == [False]


def test_create_applied_after_its_refusal_does_not_hold_the_key(store, store_app, stub_http, clock):
    """Guards against a claim that is applied after its call was refused and is never released."""
    records = CallRecords(store, clock)
    store_app.faults.outage = True
    with pytest.raises(NotRunError):
        result_of(records.claim("slot-1", "request-a"), stub_http.flush)
    store_app.faults.outage = False
    late = {"holder": "request-a", "state": "claimed", "fingerprint": ""}
    store_app.state.put("calls", "slot-1", late, 0)
    clock.advance(UPDATE_RETRY_SECONDS)
    stub_http.flush()
    result_of(records.claim("slot-1", "request-b"), stub_http.flush)


def test_key_used_for_another_body_is_refused(store, stub_http, clock):
    """Guards against replaying the response of another call that used the same key."""
    records = CallRecords(store, clock)
    result_of(records.claim("slot-1", "request-a", "body-a"), stub_http.flush)
    with pytest.raises(KeyReusedError):
        result_of(records.claim("slot-1", "request-b", "body-b"), stub_http.flush)


def test_same_key_of_two_accounts_names_two_records():
    """Guards against a client account that gets the response of another one with the same key."""
    names = {call_name(account, "boek-portal", "1") for account in ("chain-a", "chain-b")}
    assert len(names) == 2


def test_retry_of_a_lost_gateways_call_is_told_that_its_outcome_is_unknown(store, stub_http, clock):
    """Guards against telling retries of a call whose gateway died to retry forever."""
    result_of(CallRecords(store, clock).claim("slot-1", "request-a"), stub_http.flush)
    records = CallRecords(store, clock)
    retry_delays = []
    for wait in (0, OUTCOME_UNKNOWN_SECONDS):
        clock.advance(wait)
        with pytest.raises(AlreadyAcceptedError) as caught:
            result_of(records.claim("slot-1", "request-b"), stub_http.flush)
        retry_delays.append(caught.value.retry_after)
    assert retry_delays[0] is not None and retry_delays[1] is None


def test_retry_of_a_failed_call_is_told_that_its_outcome_is_unknown(store, stub_http, clock):
    """Guards against telling a client to retry a call that has failed already."""
    records = CallRecords(store, clock)
    result_of(records.claim("slot-1", "request-a"), stub_http.flush)
    result_of(records.mark_unknown("slot-1", "request-a"), stub_http.flush)
    with pytest.raises(AlreadyAcceptedError) as caught:
        result_of(records.claim("slot-1", "request-b"), stub_http.flush)
    assert caught.value.retry_after is None and "may have run" in str(caught.value)
