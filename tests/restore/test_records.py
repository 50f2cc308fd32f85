"""What is kept in a store that comes back from a copy: calls, orders, leases, configuration."""

import json5
import pytest

from guavacleat.config.holder import ConfigHolder
from guavacleat.errors import NotRunError
from guavacleat.idempotency import AlreadyAcceptedError, CallRecords
from guavacleat.membership import MembershipView
from guavacleat.orders import current_fencing, issue_order
from guavacleat.store import StoreClient
from tests.conftest import endpoint_record, result_of
from tests.e2e.processes import NILE

SETTLED_SECONDS = 10.0


@pytest.fixture
def gateway(stub_http, clock):
    """Makes the records of one more gateway."""
    return lambda: CallRecords(StoreClient("http://store", http=stub_http), clock)


def settle(clock, stub_http, seconds=SETTLED_SECONDS):
    for _ in range(round(seconds / 0.1)):
        clock.advance(0.1)
        stub_http.flush()


def test_a_call_whose_record_was_lost_does_not_run_twice(gateway, store_app, stub_http, clock):
    """Guards against a retry that finds no record, as the store has lost it."""
    first, second = gateway(), gateway()
    store_app.state.copy()
    result_of(first.claim("k", "r1", "body"), stub_http.flush)
    store_app.state.restore()
    # Another call of each shows them the restore; the retry comes at once.
    with pytest.raises(NotRunError):
        result_of(second.claim("k", "r2", "body"), stub_http.flush)
    first.store.get("calls", "other")
    stub_http.flush()
    settle(clock, stub_http)
    with pytest.raises(AlreadyAcceptedError):
        result_of(second.claim("k", "r3", "body"), stub_http.flush)


def test_an_answer_whose_record_was_lost_is_still_replayed(gateway, store_app, stub_http, clock):
    first, second = gateway(), gateway()
    store_app.state.copy()
    result_of(first.claim("k", "r1", "body"), stub_http.flush)
    result_of(first.finish("k", "r1", ["a", "b"], "stop"), stub_http.flush)
    store_app.state.restore()
    first.store.get("calls", "other")
    second.store.get("calls", "other")
    stub_http.flush()
    settle(clock, stub_http)
    with pytest.raises(AlreadyAcceptedError) as caught:
        result_of(second.claim("k", "r2", "body"), stub_http.flush)
    assert caught.value.answer == (["a", "b"], "stop")


def test_calls_are_taken_again_after_a_restore(gateway, store_app, stub_http, clock):
    records = gateway()
    store_app.state.restore()
    records.store.get("calls", "other")
    stub_http.flush()
    with pytest.raises(NotRunError):
        result_of(records.claim("k", "r1", "body"), stub_http.flush)
    settle(clock, stub_http)
    result_of(records.claim("k", "r2", "body"), stub_http.flush)


def test_no_fencing_number_is_given_out_twice(store, store_app, stub_http):
    """Guards against two orders under one number, of which the engine may apply the older."""
    store_app.state.copy()
    given = [result_of(issue_order(store, "e1"), stub_http.flush) for _ in range(3)]
    store_app.state.restore()
    given += [result_of(issue_order(store, "e1"), stub_http.flush) for _ in range(3)]
    assert given == sorted(set(given))
    assert result_of(current_fencing(store, "e1"), stub_http.flush) == given[-1]


def test_an_accepted_configuration_stays_until_a_later_one(store, store_app, stub_http):
    """Guards against the copy's older configuration, which is of a later era."""
    holder = ConfigHolder()
    settings = json5.loads(NILE.read_text())

    def put(version):
        writing = store.put("config", "nile", {"settings": settings}, version)
        return result_of(writing, stub_http.flush)

    first = put(0)
    store_app.state.copy()
    second = put(first.version)
    assert [holder.offer(first), holder.offer(second)] == [True, True]
    store_app.state.restore()
    copied = result_of(store.get("config", "nile"), stub_http.flush)
    assert holder.offer(copied) is False
    applied = put(copied.version)
    assert holder.offer(applied) is True
    assert holder.offer(second) is False


def test_an_endpoint_that_drains_is_not_ready_by_an_older_record(clock):
    """Guards against new work for an endpoint that the copy calls serving."""
    view = MembershipView(clock)
    view.observe(endpoint_record("e1", session="s", beat=5))
    view.observe(endpoint_record("e1", session="s", beat=9, draining=True))
    view.observe(endpoint_record("e1", session="s", beat=5))
    assert view.live("svc") == []
    view.observe(endpoint_record("e1", session="later", beat=1))
    assert [record.name for record in view.live("svc")] == ["e1"]
