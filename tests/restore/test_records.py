"""Calls, orders, leases and configuration in a store that is restored from a copy."""

import json5
import pytest

from guavacleat.config.holder import ConfigHolder
from guavacleat.errors import NotRunError
from guavacleat.idempotency import AlreadyAcceptedError, CallRecords
from guavacleat.membership import MembershipView
from guavacleat.orders import current_fencing_number, issue_fencing_number
from guavacleat.store import StoreClient
from tests.conftest import endpoint_record, result_of
from tests.e2e.processes import NILE

SETTLE_SECONDS = 10.0


@pytest.fixture
def gateway(stub_http, clock):
    """Returns a factory of the call records of another gateway."""
    return lambda: CallRecords(StoreClient("http://store", http=stub_http), clock)


def settle(clock, stub_http, seconds=SETTLE_SECONDS):
    for _ in range(round(seconds / 0.1)):
        clock.advance(0.1)
        stub_http.flush()


def test_a_call_whose_record_was_lost_does_not_run_twice(gateway, store_app, stub_http, clock):
    """Guards against running a retry because the restored store has lost its record."""
    first, second = gateway(), gateway()
    store_app.state.copy()
    result_of(first.claim("k", "r1", "body"), stub_http.flush)
    store_app.state.restore()
    # The retry arrives before the first gateway has noticed the restore.
    with pytest.raises(NotRunError):
        result_of(second.claim("k", "r2", "body"), stub_http.flush)
    first.store.get("calls", "other")
    stub_http.flush()
    settle(clock, stub_http)
    with pytest.raises(AlreadyAcceptedError):
        result_of(second.claim("k", "r3", "body"), stub_http.flush)


def test_a_response_whose_record_was_lost_is_still_replayed(gateway, store_app, stub_http, clock):
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


def test_calls_are_accepted_again_after_a_restore(gateway, store_app, stub_http, clock):
    records = gateway()
    store_app.state.restore()
    records.store.get("calls", "other")
    stub_http.flush()
    with pytest.raises(NotRunError):
        result_of(records.claim("k", "r1", "body"), stub_http.flush)
    settle(clock, stub_http)
    result_of(records.claim("k", "r2", "body"), stub_http.flush)


def test_no_fencing_number_is_issued_twice(store, store_app, stub_http):
    """Guards against two orders with one fencing number: the engine may apply the older one."""
    store_app.state.copy()
    issued = [result_of(issue_fencing_number(store, "e1"), stub_http.flush) for _ in range(3)]
    store_app.state.restore()
    issued += [result_of(issue_fencing_number(store, "e1"), stub_http.flush) for _ in range(3)]
    assert issued == sorted(set(issued))
    assert result_of(current_fencing_number(store, "e1"), stub_http.flush) == issued[-1]


def test_an_accepted_configuration_is_replaced_only_by_a_newer_one(store, store_app, stub_http):
    """Guards against applying the copy's older configuration, whose era is higher."""
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


def test_a_draining_endpoint_is_not_ready_by_an_older_record(clock):
    """Guards against new work for a draining endpoint that is serving in the copy."""
    view = MembershipView(clock)
    view.observe(endpoint_record("e1", session="s", beat=5))
    view.observe(endpoint_record("e1", session="s", beat=9, draining=True))
    view.observe(endpoint_record("e1", session="s", beat=5))
    assert view.live("svc") == []
    view.observe(endpoint_record("e1", session="later", beat=1))
    assert [record.name for record in view.live("svc")] == ["e1"]
