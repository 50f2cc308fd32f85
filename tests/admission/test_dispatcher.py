"""The dispatcher: late binding, refusals at once and true, with cases in a table."""

import pytest

from guavacleat.admission.dispatcher import MARKS, Dispatcher
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


def test_waiting_request_is_dispatched_when_room_comes(dispatcher):
    first, second = make_request(), make_request()
    assert result_of(dispatcher.acquire(first, LIMITS)).name == "e1"
    waiting = dispatcher.acquire(second, LIMITS)
    assert not waiting.called and dispatcher.depth() == {"svc": 1}
    dispatcher.release("e1", first, tokens=10, finished=True)
    assert result_of(waiting).name == "e1" and dispatcher.depth() == {"svc": 0}


def test_wait_ends_in_a_refusal_when_its_time_is_up(dispatcher, clock):
    """
    Symptom: a caller on hold waits for an engine that never has room.
    Sequence: the only endpoint stays full for longer than limits.max_wait.
    Cause: without a bound the request would wait until its caller hangs up.
    """
    dispatcher.acquire(make_request(), LIMITS)
    waiting = dispatcher.acquire(make_request(), LIMITS)
    clock.advance(LIMITS.max_wait - 0.1)
    assert not waiting.called
    clock.advance(0.1)
    with pytest.raises(NotRunError) as caught:
        result_of(waiting)
    assert caught.value.retry_after == LIMITS.retry_after


def test_wait_that_would_be_too_long_is_refused_at_once(dispatcher, clock):
    """
    Symptom: a request is held for its whole patience and then refused.
    Sequence: requests are dispatched one in 9 s; the account already has one waiting.
    Cause: the refusal was certain when it came; the caller must hear it then, and when to
    come back.
    """
    for _ in range(MARKS + 10):
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


def test_one_account_filling_its_queue_leaves_the_others_theirs(dispatcher):
    """
    Symptom: one client account's surge makes the gateway refuse every account.
    Sequence: a has queue_per_account requests waiting and sends another; b sends its first.
    Cause: one bound over all accounts would be used up by the busiest.
    """
    dispatcher.acquire(make_request(), LIMITS)
    for _ in range(LIMITS.queue_per_account):
        dispatcher.acquire(make_request(account="a"), LIMITS)
    with pytest.raises(NotRunError):
        result_of(dispatcher.acquire(make_request(account="a"), LIMITS))
    assert not dispatcher.acquire(make_request(account="b"), LIMITS).called


def test_last_endpoint_leaving_refuses_those_waiting(dispatcher, clock):
    """
    Symptom: requests wait for an endpoint that has left until their patience ends.
    Sequence: a request waits for the only endpoint; it starts draining.
    Cause: only room was waited for; nobody looked whether anybody was left.
    """
    dispatcher.acquire(make_request(), LIMITS)
    waiting = dispatcher.acquire(make_request(), LIMITS)
    dispatcher.membership.observe(endpoint_record("e1", draining=True))
    dispatcher.dispatch_all()
    with pytest.raises(NotRunError):
        result_of(waiting)


def test_abandoned_request_is_not_dispatched(dispatcher):
    """
    Symptom: engines work for callers who have hung up while they waited.
    Sequence: a request waits; its caller leaves; room comes.
    Cause: the queue did not know that the caller had gone.
    """
    running, left = make_request(), make_request()
    dispatcher.acquire(running, LIMITS)
    waiting = dispatcher.acquire(left, LIMITS)
    left.abandoned = True
    dispatcher.release("e1", running)
    with pytest.raises(NotRunError):
        result_of(waiting)
    assert dispatcher.router.in_flight_by_name["e1"] == 0


def test_resumed_stream_goes_before_those_waiting(dispatcher):
    """
    Symptom: an answer half read out stops for as long as new requests have to wait.
    Sequence: one request waits; a stream whose endpoint failed needs another.
    Cause: the stream queued behind requests whose callers have heard nothing yet.
    """
    running, new, broken = make_request(), make_request(), make_request()
    dispatcher.acquire(running, LIMITS)
    waiting = dispatcher.acquire(new, LIMITS)
    resuming = dispatcher.acquire(broken, LIMITS, front=True)
    dispatcher.release("e1", running)
    assert resuming.called and not waiting.called


def test_short_request_fills_a_gap_the_head_cannot_use(clock):
    """
    Symptom: intent tags wait seconds behind a long prompt although engines have room for them.
    Sequence: the engine has 500 tokens left; the head needs 1,000; a tag needs 60.
    Cause: only the head of the queue was ever offered the room.
    """
    view = MembershipView(clock)
    view.observe(endpoint_record("e1"))
    dispatcher = Dispatcher(clock, view, get_router_by_name("cache-load", clock))
    dispatcher.router.observe("e1", Occupancy(2, 24, 0, 9_500, 10_000))
    tag = make_request(account="b", prompt="w " * 50, max_tokens=10)
    head = dispatcher.acquire(make_request(account="a", prompt="w " * 1000), LIMITS_OPEN)
    filling = dispatcher.acquire(tag, LIMITS_OPEN)
    assert filling.called and not head.called


def test_long_wait_ahead_refuses_only_the_account_it_is_ahead_of(clock):
    """
    Symptom: intent tags are refused in a surge although each would wait less than a second.
    Sequence: account a has dozens of summaries waiting; it, then b, sends an urgent request.
    Cause: an expected wait that looked at the queue's length, or at one account's backlog for
    all, would refuse both.
    """
    view = MembershipView(clock)
    view.observe(endpoint_record("e1"))
    dispatcher = Dispatcher(clock, view, get_router_by_name("least-loaded", clock))
    limits = Limits(queue_per_account=99, in_flight_per_endpoint=1, retry_after=1.5, max_wait=5.0)
    running = make_request(max_tokens=1000, prompt="w " * 100)
    dispatcher.acquire(running, limits)
    for _ in range(MARKS + 10):
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


def test_dispatch_that_pumps_again_gives_no_request_out_twice(clock):
    """
    Symptom: a caller never gets any answer, and its endpoint stays counted busy.
    Sequence: a head has no room; two tags wait; room for tags comes; the first one's dispatch
    ends at once and looks at the queue again while the outer look is still under way.
    Cause: the outer look went on with entries the inner one had given out (found by a fault run).
    """
    view = MembershipView(clock)
    view.observe(endpoint_record("e1"))
    dispatcher = Dispatcher(clock, view, get_router_by_name("cache-load", clock))
    dispatcher.router.observe("e1", Occupancy(8, 8, 0, 9_500, 10_000))
    dispatcher.acquire(make_request(account="a", prompt="w " * 1000), LIMITS_OPEN)
    tags = [make_request(account=name, prompt="w " * 9, max_tokens=5) for name in ("b", "c")]
    waiting = [dispatcher.acquire(tag, LIMITS_OPEN) for tag in tags]
    for given in waiting:
        given.addCallback(lambda _: dispatcher.dispatch_waiting("svc"))
    dispatcher.router.observe("e1", Occupancy(2, 8, 0, 9_500, 10_000))
    dispatcher.dispatch_waiting("svc")
    assert all(given.called for given in waiting)
    assert dispatcher.router.in_flight_by_name["e1"] == 2


def test_a_dispatch_may_ask_for_a_service_that_had_no_queue(dispatcher):
    """
    Symptom: a round of looking at all queues ends with an error; later queues wait for the next.
    Sequence: a request is dispatched in the round; whoever gets it asks for another service.
    Cause: that adds a queue to those being looked at.
    """
    first, waiting = make_request(), make_request()
    result_of(dispatcher.acquire(first, LIMITS))
    given = dispatcher.acquire(waiting, LIMITS)
    other = make_request()
    other.service = "other"
    given.addCallback(lambda _: dispatcher.acquire(other, LIMITS).addErrback(lambda _: None))
    dispatcher.router.end("e1", first)
    dispatcher.dispatch_all()
    assert given.called and set(dispatcher.depth()) == {"svc", "other"}
