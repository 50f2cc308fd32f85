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
