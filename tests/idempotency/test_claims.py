"""Claims on idempotency keys under the object API's faults, in a table."""

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
from guavacleat.idempotency.records import OUTCOME_UNKNOWN_SECONDS, RECORD_RETRY_SECONDS
from guavacleat.store import StoreClient
from tests.conftest import make_request, result_of


class Dying:
    """The store as a gateway reaches it that may die: from then on nothing of it arrives."""

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
    """
    Symptom: a connection record runs twice, or is refused although it never ran.
    Sequence: the gateway creates the key's record; the answer is lost or the store is down.
    Cause: a lost answer hides a create that applied; reading back by holder resolves it.
    """
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
    """
    Symptom: a garage's slot confirmation is retried after a lost response and gets only 409.
    Sequence: request a claims the key, runs, and finishes; the client retries with the key.
    Cause: the record kept only the holder; the answer must be kept with it to be replayed.
    """
    records = CallRecords(store, clock)
    result_of(records.claim("slot-1", "request-a"), stub_http.flush)
    result_of(records.finish("slot-1", "request-a", ["slot", "ok"], "stop"), stub_http.flush)
    with pytest.raises(AlreadyAcceptedError) as caught:
        result_of(records.claim("slot-1", "request-b"), stub_http.flush)
    assert caught.value.answer == (["slot", "ok"], "stop")


def test_retry_while_running_is_told_when_to_come_back(store, stub_http, clock):
    records = CallRecords(store, clock)
    result_of(records.claim("slot-1", "request-a"), stub_http.flush)
    with pytest.raises(AlreadyAcceptedError) as caught:
        result_of(records.claim("slot-1", "request-b"), stub_http.flush)
    assert caught.value.answer is None and caught.value.retry_after > 0


def test_call_refused_after_its_claim_can_be_retried(store, stub_http, clock):
    """
    Symptom: a slot confirmation refused as not run can never be made: every retry gets 409.
    Sequence: a claims the key; every endpoint refuses; a is refused as not run; b retries.
    Cause: the claim stayed with a although its call never ran.
    """
    records = CallRecords(store, clock)
    result_of(records.claim("slot-1", "request-a"), stub_http.flush)
    result_of(records.release("slot-1", "request-a"), stub_http.flush)
    result_of(records.claim("slot-1", "request-b"), stub_http.flush)


def test_release_waits_out_a_store_outage(store, store_app, stub_http, clock):
    """
    Symptom: as above, when the store goes down between the claim and the release.
    Sequence: a claims; the store goes down; a's call is refused; the store comes back.
    Cause: a release tried once would be lost with the outage.
    """
    records = CallRecords(store, clock)
    result_of(records.claim("slot-1", "request-a"), stub_http.flush)
    store_app.faults.outage = True
    releasing = records.release("slot-1", "request-a")
    stub_http.flush()
    store_app.faults.outage = False
    clock.advance(RECORD_RETRY_SECONDS)
    result_of(releasing, stub_http.flush)
    result_of(records.claim("slot-1", "request-b"), stub_http.flush)


def guarded_call(records):
    """A guard that holds its key; its completion is ``request-a``'s call of ``slot-1``."""
    completion = make_request()
    completion.call, completion.request_id = "slot-1", "request-a"
    guard = CallGuard(records, completion)
    guard.claim()
    return guard


def test_a_refusal_is_told_once_its_key_is_free(store, store_app, stub_http, clock):
    """
    Symptom: a call told "not run, come back" is told "already accepted" when it comes back, and
    after a minute that it may have run; nobody ran it.
    Sequence: a claims the key; every endpoint refuses; its caller is told so while the release is
    under way to a slow store; the gateway dies before the store has it; b retries.
    Cause: the refusal was told before the release was recorded. Found by the state machine with
    fresh draws: store slow by 0.5 s, one refused call, the gateway dies a second later.
    """
    guard = guarded_call(CallRecords(store, clock))
    stub_http.flush()
    store_app.faults.delay = 0.5
    told = []
    guard.release().addCallback(told.append)
    clock.advance(0.5)
    stub_http.flush()
    assert told == [], "the release is read for, not yet written"
    clock.advance(0.5)
    stub_http.flush()
    assert told == [True]
    store_app.faults.delay = 0.0
    result_of(CallRecords(store, clock).claim("slot-1", "request-b"), stub_http.flush)


def test_a_caller_whose_key_cannot_be_freed_is_told_so_in_time(store, stub_http, clock):
    """
    Symptom: as above, or a caller waits through an outage for a refusal.
    Sequence: a claims; the gateway loses the store for good; every endpoint refuses.
    Cause: what is not recorded cannot be promised, and waiting for it has no end.
    """
    records = CallRecords(StoreClient("http://store", http=Dying(stub_http)), clock)
    guard = guarded_call(records)
    stub_http.flush()
    records.store.http.dead = True
    told = []
    guard.release().addCallback(told.append)
    clock.advance(RELEASE_WAIT_SECONDS - 0.1)
    assert told == []
    clock.advance(0.1)
    assert told == [False]


def test_create_applied_after_its_refusal_does_not_hold_the_key(store, store_app, stub_http, clock):
    """
    Symptom: a call told "not run, come back" is told "already accepted" when it comes back.
    Sequence: the store is down for a's create, which is refused as not run; the create applies
    late; the client retries as b.
    Cause: nobody released a claim that the gateway never learnt it had.
    """
    records = CallRecords(store, clock)
    store_app.faults.outage = True
    with pytest.raises(NotRunError):
        result_of(records.claim("slot-1", "request-a"), stub_http.flush)
    store_app.faults.outage = False
    late = {"holder": "request-a", "state": "claimed", "fingerprint": ""}
    store_app.state.put("calls", "slot-1", late, 0)
    clock.advance(RECORD_RETRY_SECONDS)
    stub_http.flush()
    result_of(records.claim("slot-1", "request-b"), stub_http.flush)


def test_key_used_for_another_body_is_refused(store, stub_http, clock):
    """
    Symptom: a caller gets the answer to another of its calls.
    Sequence: a client reuses a key by mistake for a call with another prompt.
    Cause: the key alone decided whose answer was replayed.
    """
    records = CallRecords(store, clock)
    result_of(records.claim("slot-1", "request-a", "body-a"), stub_http.flush)
    with pytest.raises(KeyReusedError):
        result_of(records.claim("slot-1", "request-b", "body-b"), stub_http.flush)


def test_same_key_of_two_accounts_names_two_records():
    """
    Symptom: one garage chain is sent the confirmation of another.
    Sequence: two client accounts both number their calls from 1 and use that as the key.
    Cause: the record was named by the key alone.
    """
    names = {call_name(account, "boek-portal", "1") for account in ("chain-a", "chain-b")}
    assert len(names) == 2


def test_call_of_a_lost_gateway_gets_its_final_answer(store, stub_http, clock):
    """
    Symptom: retries of a call whose gateway died are told to come back for ever.
    Sequence: a's gateway claims and dies; b retries now and again after the call's time.
    Cause: the record cannot say that its holder is gone; the time it has been seen held can.
    """
    result_of(CallRecords(store, clock).claim("slot-1", "request-a"), stub_http.flush)
    records = CallRecords(store, clock)
    answers = []
    for wait in (0, OUTCOME_UNKNOWN_SECONDS):
        clock.advance(wait)
        with pytest.raises(AlreadyAcceptedError) as caught:
            result_of(records.claim("slot-1", "request-b"), stub_http.flush)
        answers.append(caught.value.retry_after)
    assert answers[0] is not None and answers[1] is None


def test_retry_of_a_broken_call_gets_its_final_answer_at_once(store, stub_http, clock):
    """
    Symptom: a client is told to come back for a call that has already failed for good.
    Sequence: a's call breaks after it reached its endpoint; b retries with the same key.
    Cause: the record said only that the call was claimed.
    """
    records = CallRecords(store, clock)
    result_of(records.claim("slot-1", "request-a"), stub_http.flush)
    result_of(records.mark_unknown("slot-1", "request-a"), stub_http.flush)
    with pytest.raises(AlreadyAcceptedError) as caught:
        result_of(records.claim("slot-1", "request-b"), stub_http.flush)
    assert caught.value.retry_after is None and "may have run" in str(caught.value)
