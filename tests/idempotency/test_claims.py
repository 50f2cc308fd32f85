"""Claims on idempotency keys under the object API's faults, in a table."""

import pytest

from guavacleat.errors import NotRunError
from guavacleat.idempotency import AlreadyAcceptedError, CallRecords
from tests.conftest import result_of

CLAIM_FAULTS = [
    # (faults during the create, outcome for the claiming request)
    ({}, None),
    ({"lose_acks": 1}, None),
    ({"outage": True}, NotRunError),
]


@pytest.mark.parametrize("faults,outcome", CLAIM_FAULTS)
def test_claim_under_fault(store, store_app, stub_http, faults, outcome):
    """
    Symptom: a connection record runs twice, or is refused although it never ran.
    Sequence: the gateway creates the key's record; the answer is lost or the store is down.
    Cause: a lost answer hides a create that applied; reading back by holder resolves it.
    """
    for field, value in faults.items():
        setattr(store_app.faults, field, value)
    claiming = CallRecords(store).claim("conn-1", "request-a")
    if outcome is None:
        result_of(claiming, stub_http.flush)
    else:
        with pytest.raises(outcome):
            result_of(claiming, stub_http.flush)


def test_second_request_with_same_key_is_not_run_again(store, stub_http):
    records = CallRecords(store)
    result_of(records.claim("conn-1", "request-a"), stub_http.flush)
    with pytest.raises(AlreadyAcceptedError):
        result_of(records.claim("conn-1", "request-b"), stub_http.flush)


def test_retry_after_completion_gets_the_stored_answer_not_a_second_run(store, stub_http):
    """
    Symptom: a garage's slot confirmation is retried after a lost response and gets only 409.
    Sequence: request a claims the key, runs, and finishes; the client retries with the key.
    Cause: the record kept only the holder; the answer must be kept with it to be replayed.
    """
    records = CallRecords(store)
    result_of(records.claim("slot-1", "request-a"), stub_http.flush)
    result_of(records.finish("slot-1", "request-a", ["slot", "ok"], "stop"), stub_http.flush)
    with pytest.raises(AlreadyAcceptedError) as caught:
        result_of(records.claim("slot-1", "request-b"), stub_http.flush)
    assert caught.value.answer == (["slot", "ok"], "stop")


def test_retry_while_running_is_told_when_to_come_back(store, stub_http):
    records = CallRecords(store)
    result_of(records.claim("slot-1", "request-a"), stub_http.flush)
    with pytest.raises(AlreadyAcceptedError) as caught:
        result_of(records.claim("slot-1", "request-b"), stub_http.flush)
    assert caught.value.answer is None and caught.value.retry_after > 0
