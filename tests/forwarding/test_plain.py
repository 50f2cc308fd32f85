"""Tests of plain requests: retries and response validation."""

import pytest
from twisted.internet import defer

from guavacleat.forwarding.plain import ATTEMPT_TIMEOUT_GOALS, PlainForwarder
from guavacleat.forwarding.refusals import RefusalError, RefusalReason
from guavacleat.forwarding.response import MAX_BUFFERED_BYTES
from guavacleat.routes import RequestKind
from guavacleat.settings import Bounds
from tests.forwarding.harness import FakeEndpointConnection, ForwardingHarness

NON_IDEMPOTENT_KIND = RequestKind.NON_IDEMPOTENT


@pytest.fixture
def harness(clock):
    return ForwardingHarness(clock, engine=None)


def start_request(harness, **kind):
    """Start forwarding; return the request, the caller and a list that receives the refusal."""
    request, caller = harness.request(**kind)
    refusals = []
    done = defer.Deferred.fromCoroutine(PlainForwarder(harness.context).forward(request))
    done.addErrback(lambda failure: refusals.append(failure.value))
    return request, caller, refusals


def test_valid_response_is_forwarded(harness):
    _, caller, _ = start_request(harness)
    harness.pool.connections[0].answer(body=b"hello")
    assert (caller.head[0], caller.data, caller.complete) == (200, b"hello", True)


FIRST_ACTIONS = [
    # (action of the first endpoint, whether a non-idempotent request may be retried)
    (lambda connection: connection.answer(503, signed=False, not_run=True, id=None), True),
    (lambda connection: connection.answer(421, signed=False, id=None), True),
    (lambda connection: connection.break_connection(), False),
    (lambda connection: connection.answer(signed=False), False),
    (lambda connection: connection.answer(id=b"another"), False),
    (lambda connection: connection.answer(503, signed=False, id=None), False),
]


@pytest.mark.parametrize("first,may_retry", FIRST_ACTIONS)
def test_non_idempotent_request_is_executed_at_most_once(harness, first, may_retry):
    """Guards against a retry unless the endpoint states that it did not execute the request."""
    _, caller, refusals = start_request(harness, kind=NON_IDEMPOTENT_KIND, attempts=1)
    first(harness.pool.connections[0])
    if may_retry:
        harness.pool.connections[1].answer(body=b"done")
        assert caller.data == b"done"
    else:
        assert len(harness.pool.connections) == 1
        assert [refusal.reason for refusal in refusals] == [RefusalReason.BROKEN]
        assert refusals[0].reason.status == 502


@pytest.mark.parametrize("first", [case for case, _ in FIRST_ACTIONS])
def test_idempotent_request_is_retried_on_another_endpoint(harness, first):
    _, caller, _ = start_request(harness)
    first(harness.pool.connections[0])
    assert harness.pool.connections[1].address != harness.pool.connections[0].address
    harness.pool.connections[1].answer(body=b"done")
    assert caller.data == b"done"


def test_route_limits_the_number_of_attempts(harness):
    _, _, refusals = start_request(harness, attempts=2)
    harness.pool.connections[0].break_connection()
    harness.pool.connections[1].break_connection()
    assert len(harness.pool.connections) == 2
    assert refusals[0].reason is RefusalReason.BROKEN


def test_no_retry_beyond_the_shared_budget(clock):
    """Guards against retries that add load to failing endpoints."""
    harness = ForwardingHarness(clock, engine=None, bounds=Bounds(retry_ratio=0.0, retry_extra=0.0))
    _, _, refusals = start_request(harness)
    harness.pool.connections[0].break_connection()
    assert len(harness.pool.connections) == 1
    assert refusals[0].reason is RefusalReason.BROKEN


def test_idempotent_request_is_retried_when_an_endpoint_hangs(harness):
    """Guards against waiting for the full timeout while other endpoints are idle."""
    request, caller, _ = start_request(harness)
    harness.clock.advance(ATTEMPT_TIMEOUT_GOALS * request.route.latency_goal)
    assert harness.pool.connections[0].abandoned
    harness.pool.connections[1].answer(body=b"done")
    assert caller.data == b"done"


def test_only_endpoint_gets_the_full_timeout(clock):
    """Guards against abandoning a slow attempt when there is no other endpoint to retry on."""
    harness = ForwardingHarness(clock, names=("e1",), engine=None)
    _, caller, _ = start_request(harness)
    clock.advance(1.0)
    harness.pool.connections[0].answer(body=b"late")
    assert caller.data == b"late"


def test_expired_request_fails_without_retry_after(harness):
    _, _, refusals = start_request(harness, kind=NON_IDEMPOTENT_KIND, attempts=1, timeout=0.8)
    harness.clock.advance(0.8)
    assert harness.pool.connections[0].abandoned
    assert refusals[0].reason is RefusalReason.EXPIRED
    assert refusals[0].retry_after is None


def test_unreachable_endpoints_cause_a_retryable_refusal(harness):
    harness.pool.refused = {("e1", 80), ("e2", 80), ("e3", 80)}
    _, _, refusals = start_request(harness, kind=NON_IDEMPOTENT_KIND, attempts=1)
    assert refusals[0].reason.status == 503
    assert refusals[0].retry_after > 0


def test_request_is_refused_if_there_are_no_endpoints(clock):
    _, _, refusals = start_request(ForwardingHarness(clock, names=(), engine=None))
    assert isinstance(refusals[0], RefusalError)
    assert refusals[0].reason is RefusalReason.NO_ENDPOINT


def test_truncated_large_response_never_looks_complete(harness):
    """Guards against ending the response normally when the endpoint fails during streaming."""
    _, caller, _ = start_request(harness)
    connection = harness.pool.connections[0]
    connection.begin()
    connection.send_body(b"x" * (MAX_BUFFERED_BYTES + 1))
    assert len(caller.data) == MAX_BUFFERED_BYTES + 1
    connection.break_connection()
    assert caller.aborted and not caller.complete
    assert len(harness.pool.connections) == 1


def test_attempt_is_abandoned_when_the_caller_disconnects(harness):
    request, caller, _ = start_request(harness)
    caller.open = False
    request.exchange.on_disconnect()
    assert harness.pool.connections[0].abandoned
    assert len(harness.pool.connections) == 1


def test_endpoint_with_wrong_incarnation_is_removed(harness):
    start_request(harness, kind=NON_IDEMPOTENT_KIND, attempts=1)
    first = harness.pool.connections[0].address[0]
    harness.pool.connections[0].answer(421, signed=False, id=None)
    assert first not in harness.registry.entries_by_id


def test_remaining_time_is_sent_to_the_endpoint(harness):
    start_request(harness, timeout=0.8)
    assert harness.pool.connections[0].headers[b"time-left"] == b"0.800"


@pytest.mark.parametrize("size", [100, MAX_BUFFERED_BYTES])
def test_an_answer_that_arrives_slowly_is_not_cut(harness, clock, size):
    """Guards against cutting an answer at the time limit of attempts that can be repeated."""
    request, caller, _ = start_request(harness, timeout=8.0)
    connection = harness.pool.connections[0]
    connection.begin()
    for _ in range(10):
        connection.send_body(b"x" * size)
        clock.advance(2 * request.route.latency_goal)
    connection.end()
    assert caller.complete and len(caller.data) == 10 * size
    assert len(harness.pool.connections) == 1


def test_an_endpoint_that_is_still_reading_the_request_is_not_given_up(harness, clock):
    """Guards against sending a long body to one endpoint after the other, each time in part."""
    request, _, _ = start_request(harness, timeout=8.0)
    connection = harness.pool.connections[0]
    attempt_timeout = ATTEMPT_TIMEOUT_GOALS * request.route.latency_goal
    connection.taking_request = True
    clock.advance(attempt_timeout)
    clock.advance(attempt_timeout)
    assert connection.open and len(harness.pool.connections) == 1
    connection.taking_request = False
    clock.advance(attempt_timeout)
    assert connection.abandoned and len(harness.pool.connections) == 2


def test_an_endpoint_that_reads_the_request_until_its_deadline_is_given_up(harness, clock):
    _, _, refusals = start_request(harness, timeout=8.0)
    harness.pool.connections[0].taking_request = True
    for _ in range(20):
        clock.advance(0.5)
    assert harness.pool.connections[0].abandoned
    assert refusals[0].reason is RefusalReason.EXPIRED


def test_an_answer_that_the_caller_gets_waits_for_a_silent_endpoint(harness, clock):
    """Guards against cutting what can't be repeated since its endpoint pauses."""
    _, caller, _ = start_request(harness, timeout=8.0)
    connection = harness.pool.connections[0]
    connection.begin()
    connection.send_body(b"x" * (MAX_BUFFERED_BYTES + 1))
    clock.advance(7.0)
    assert not caller.aborted
    clock.advance(1.1)
    assert caller.aborted


def test_an_answer_that_stops_before_the_caller_gets_any_is_repeated(harness, clock):
    request, _, _ = start_request(harness, timeout=8.0)
    connection = harness.pool.connections[0]
    connection.begin()
    connection.send_body(b"x")
    clock.advance(ATTEMPT_TIMEOUT_GOALS * request.route.latency_goal + 0.01)
    assert len(harness.pool.connections) == 2


def test_a_request_that_waits_when_a_stop_begins_is_refused_before_its_end(
    harness, clock, monkeypatch
):
    """Guards against requests that wait for a throttled endpoint and end with the process."""
    placement = harness.context.placement
    monkeypatch.setattr(placement, "choose_for_plain_request", lambda *arguments: None)
    monkeypatch.setattr(placement, "seconds_until_available", lambda *arguments: 10.0)
    request, _ = harness.request(timeout=60.0)
    request.route.latency_goal = 40.0
    refusals = []
    done = defer.Deferred.fromCoroutine(PlainForwarder(harness.context).forward(request))
    done.addErrback(lambda failure: refusals.append(failure.value))
    clock.advance(0.4)
    assert not refusals
    harness.context.stops_at = clock.seconds() + 7.5
    clock.advance(0.5)
    assert [refusal.reason.status for refusal in refusals] == [503]


def test_nothing_is_sent_once_the_process_stops(harness, clock, monkeypatch):
    """Guards against running a request whose connection ends with the process."""
    connecting = defer.Deferred()
    monkeypatch.setattr(harness.pool, "connect", lambda *_, **__: connecting)
    _, _, refusals = start_request(harness, kind=NON_IDEMPOTENT_KIND, attempts=1)
    harness.context.stops_at = clock.seconds() + 1.0
    clock.advance(1.0)
    connection = FakeEndpointConnection(("e1", 80))
    connecting.callback(connection)
    assert connection.listener is None and connection.abandoned
    assert [refusal.reason.status for refusal in refusals] == [503]
