"""Tests of the dispatcher: order, expected waits, refusals and backbackfilled."""

import pytest

from guavacleat.admission.dispatcher import RECENT_DISPATCHES, Dispatcher
from guavacleat.config.model import Limits
from guavacleat.errors import NotRunError
from guavacleat.membership import MembershipView
from guavacleat.protocol.gen.sidecar.ttypes import Occupancy
from guavacleat.routing import get_router_by_name
from tests.conftest import endpoint_record, make_request, result_of

LIMITS = Limits(queue_per_account=3, in_flight_per_endpoint=1, retry_after=1.5, max_wait=10.0)
LIMITS_OPEN = Limits(queue_per_account=3, in_flight_per_endpoint=8, retry_after=1.5)


@pytest.fixture
def dispatcher(clock):
    view = MembershipView(clock)
    view.observe(endpoint_record("e1"))
    return Dispatcher(clock, view, get_router_by_name("least-loaded", clock))


def test_queued_request_is_dispatched_when_capacity_is_released(dispatcher):
    first, second = make_request(), make_request()
    assert result_of(dispatcher.acquire(first, LIMITS)).name == "e1"
    waiting = dispatcher.acquire(second, LIMITS)
    assert not waiting.called and dispatcher.depth() == {"svc": 1}
    dispatcher.release("e1", first, tokens=10, finished=True)
    assert result_of(waiting).name == "e1" and dispatcher.depth() == {"svc": 0}


def test_queued_request_is_refused_after_max_wait(dispatcher, clock):
    """A request must not wait for a full endpoint for longer than limits.max_wait."""
    dispatcher.acquire(make_request(), LIMITS)
    waiting = dispatcher.acquire(make_request(), LIMITS)
    clock.advance(LIMITS.max_wait - 0.1)
    assert not waiting.called
    clock.advance(0.1)
    with pytest.raises(NotRunError) as caught:
        result_of(waiting)
    assert caught.value.retry_after == LIMITS.retry_after


def test_request_with_too_long_expected_wait_is_refused_immediately(dispatcher, clock):
    """A request must not be queued if the dispatch rate shows that it will be refused later."""
    for _ in range(RECENT_DISPATCHES + 10):
        running = make_request()
        result_of(dispatcher.acquire(running, LIMITS))
        clock.advance(9)
        dispatcher.membership.observe(endpoint_record("e1"))
        dispatcher.release("e1", running, tokens=5, finished=True)
    dispatcher.acquire(make_request(), LIMITS)
    waiting = dispatcher.acquire(make_request(), LIMITS)
    assert not waiting.called
    with pytest.raises(NotRunError) as caught:
        result_of(dispatcher.acquire(make_request(), LIMITS))
    assert caught.value.retry_after > LIMITS.retry_after


def test_full_queue_of_one_account_does_not_affect_others(dispatcher):
    """A burst of one client account must not make the gateway refuse other accounts."""
    dispatcher.acquire(make_request(), LIMITS)
    for _ in range(LIMITS.queue_per_account):
        dispatcher.acquire(make_request(account="a"), LIMITS)
    with pytest.raises(NotRunError):
        result_of(dispatcher.acquire(make_request(account="a"), LIMITS))
    assert not dispatcher.acquire(make_request(account="b"), LIMITS).called


def test_queued_requests_are_refused_when_the_last_endpoint_drains(dispatcher, clock):
    """Requests must not wait until their timeout when no endpoint is left."""
    dispatcher.acquire(make_request(), LIMITS)
    waiting = dispatcher.acquire(make_request(), LIMITS)
    dispatcher.membership.observe(endpoint_record("e1", draining=True))
    dispatcher.dispatch_all()
    with pytest.raises(NotRunError):
        result_of(waiting)


def test_abandoned_request_is_not_dispatched(dispatcher):
    """A request whose caller disconnected while it was queued must not reach an engine."""
    running, queued = make_request(), make_request()
    dispatcher.acquire(running, LIMITS)
    waiting = dispatcher.acquire(queued, LIMITS)
    queued.caller_disconnected = True
    dispatcher.release("e1", running)
    with pytest.raises(NotRunError):
        result_of(waiting)
    assert dispatcher.router.in_flight_by_name["e1"] == 0


def test_resumed_stream_is_dispatched_before_queued_requests(dispatcher):
    """A stream whose endpoint failed must not queue behind requests without any output yet."""
    running, new, broken = make_request(), make_request(), make_request()
    dispatcher.acquire(running, LIMITS)
    waiting = dispatcher.acquire(new, LIMITS)
    resuming = dispatcher.acquire(broken, LIMITS, front=True)
    dispatcher.release("e1", running)
    assert resuming.called and not waiting.called


def test_short_request_is_backfilled_when_the_head_does_not_fit(clock):
    """A short request must not wait behind a long prompt if only the short one fits."""
    view = MembershipView(clock)
    view.observe(endpoint_record("e1"))
    dispatcher = Dispatcher(clock, view, get_router_by_name("cache-load", clock))
    dispatcher.router.observe("e1", Occupancy(2, 24, 0, 9_500, 10_000))
    short = make_request(account="b", prompt="w " * 50, max_tokens=10)
    head = dispatcher.acquire(make_request(account="a", prompt="w " * 1000), LIMITS_OPEN)
    backfilled = dispatcher.acquire(short, LIMITS_OPEN)
    assert backfilled.called and not head.called


def test_expected_wait_depends_on_the_account(clock):
    """The backlog of one account must not cause the refusal of an urgent request of another."""
    view = MembershipView(clock)
    view.observe(endpoint_record("e1"))
    dispatcher = Dispatcher(clock, view, get_router_by_name("least-loaded", clock))
    limits = Limits(queue_per_account=99, in_flight_per_endpoint=1, retry_after=1.5, max_wait=5.0)
    running = make_request(max_tokens=1000, prompt="w " * 100)
    dispatcher.acquire(running, limits)
    for _ in range(RECENT_DISPATCHES + 10):
        clock.advance(0.2)
        view.observe(endpoint_record("e1"))
        waiting = make_request(max_tokens=1000, prompt="w " * 100)
        dispatcher.acquire(waiting, limits).addErrback(lambda failure: failure.trap(NotRunError))
        dispatcher.release("e1", running, tokens=100, finished=True)
        running = waiting
    for _ in range(90):
        dispatcher.acquire(make_request(max_tokens=1000), limits).addErrback(lambda _: None)
    refused_late = dispatcher.acquire(make_request(max_tokens=1000), limits)
    with pytest.raises(NotRunError):
        result_of(refused_late)
    urgent = make_request(account="b", priority=0, max_tokens=10)
    assert not dispatcher.acquire(urgent, limits).called


def test_nested_dispatch_does_not_dispatch_an_entry_twice(clock):
    """
    A backfilled request that finishes synchronously dispatches again. The outer loop must not then
    dispatch the entries that the nested one has dispatched.
    """
    view = MembershipView(clock)
    view.observe(endpoint_record("e1"))
    dispatcher = Dispatcher(clock, view, get_router_by_name("cache-load", clock))
    dispatcher.router.observe("e1", Occupancy(8, 8, 0, 9_500, 10_000))
    dispatcher.acquire(make_request(account="a", prompt="w " * 1000), LIMITS_OPEN)
    short_requests = [
        make_request(account=name, prompt="w " * 9, max_tokens=5) for name in ("b", "c")
    ]
    waiting = [dispatcher.acquire(short, LIMITS_OPEN) for short in short_requests]
    for deferred in waiting:
        deferred.addCallback(lambda _: dispatcher.dispatch_waiting("svc"))
    dispatcher.router.observe("e1", Occupancy(2, 8, 0, 9_500, 10_000))
    dispatcher.dispatch_waiting("svc")
    assert all(deferred.called for deferred in waiting)
    assert dispatcher.router.in_flight_by_name["e1"] == 2


def test_dispatch_may_add_the_queue_of_another_service(dispatcher):
    """A queue added during dispatch_all must not break its iteration."""
    first, waiting = make_request(), make_request()
    result_of(dispatcher.acquire(first, LIMITS))
    deferred = dispatcher.acquire(waiting, LIMITS)
    other = make_request()
    other.service = "other"
    deferred.addCallback(lambda _: dispatcher.acquire(other, LIMITS).addErrback(lambda _: None))
    dispatcher.router.end("e1", first)
    dispatcher.dispatch_all()
    assert deferred.called and set(dispatcher.depth()) == {"svc", "other"}
