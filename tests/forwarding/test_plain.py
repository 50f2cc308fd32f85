"""Plain requests: what may be sent again, and which answers may reach a caller."""

import pytest
from twisted.internet import defer

from guavacleat.forwarding.answer import HELD_BYTES
from guavacleat.forwarding.plain import ATTEMPT_TIMEOUT_GOALS, PlainForwarder
from guavacleat.forwarding.refusals import RefusalError, RefusalReason
from guavacleat.routes import RequestKind
from guavacleat.settings import Bounds
from tests.forwarding.harness import ForwardingHarness

ONCE = RequestKind.NON_IDEMPOTENT


@pytest.fixture
def harness(clock):
    return ForwardingHarness(clock, engine=None)


def start(harness, **kind):
    """Begin forwarding; return the caller and a list that gets what it was refused with."""
    request, caller = harness.request(**kind)
    refusals = []
    done = defer.Deferred.fromCoroutine(PlainForwarder(harness.context).forward(request))
    done.addErrback(lambda failure: refusals.append(failure.value))
    return request, caller, refusals


def test_a_genuine_answer_reaches_the_caller_whole(harness):
    _, caller, _ = start(harness)
    harness.pool.connections[0].answer(body=b"hello")
    assert (caller.head[0], caller.data, caller.complete) == (200, b"hello", True)


FIRST_ENDS = [
    # (what the first endpoint does, may a non-idempotent request go elsewhere)
    (lambda side: side.answer(503, signed=False, not_run=True, id=None), True),
    (lambda side: side.answer(421, signed=False, id=None), True),
    (lambda side: side.break_off(), False),
    (lambda side: side.answer(signed=False), False),
    (lambda side: side.answer(id=b"another"), False),
    (lambda side: side.answer(503, signed=False, id=None), False),
]


@pytest.mark.parametrize("first,may_go_on", FIRST_ENDS)
def test_non_idempotent_requests_run_once_at_most(harness, first, may_go_on):
    """
    Symptom: a connection record is charged twice.
    Sequence: the first endpoint gets the request and answers as in the table, or not at all.
    Cause: only an endpoint's own word that it did not run the request allows another send.
    """
    _, caller, refusals = start(harness, kind=ONCE, attempts=1)
    first(harness.pool.connections[0])
    if may_go_on:
        harness.pool.connections[1].answer(body=b"done")
        assert caller.data == b"done"
    else:
        assert len(harness.pool.connections) == 1
        assert [refusal.reason for refusal in refusals] == [RefusalReason.BROKEN]
        assert refusals[0].reason.status == 502


@pytest.mark.parametrize("first", [case for case, _ in FIRST_ENDS])
def test_idempotent_requests_go_to_another_endpoint(harness, first):
    _, caller, _ = start(harness)
    first(harness.pool.connections[0])
    assert harness.pool.connections[1].address != harness.pool.connections[0].address
    harness.pool.connections[1].answer(body=b"done")
    assert caller.data == b"done"


def test_attempts_of_a_route_bound_the_endpoints_that_run(harness):
    _, _, refusals = start(harness, attempts=2)
    harness.pool.connections[0].break_off()
    harness.pool.connections[1].break_off()
    assert len(harness.pool.connections) == 2
    assert refusals[0].reason is RefusalReason.BROKEN


def test_no_repeat_beyond_the_shared_budget(clock):
    """
    Symptom: endpoints that fail under load get more load from repeats and fail more.
    Sequence: the budget of the window is used up; an idempotent request fails.
    Cause: a repeat must fit the budget that all gateways share.
    """
    harness = ForwardingHarness(clock, engine=None, bounds=Bounds(retry_ratio=0.0, retry_extra=0.0))
    _, _, refusals = start(harness)
    harness.pool.connections[0].break_off()
    assert len(harness.pool.connections) == 1
    assert refusals[0].reason is RefusalReason.BROKEN


def test_a_hanging_endpoint_is_given_up_for_idempotent_requests(harness):
    """
    Symptom: a page takes until its time-out although other endpoints are idle.
    Sequence: the first endpoint accepts the request and never answers.
    Cause: after a few latency goals the request must be tried elsewhere, and the first stopped.
    """
    request, caller, _ = start(harness)
    harness.clock.advance(ATTEMPT_TIMEOUT_GOALS * request.route.latency_goal)
    assert harness.pool.connections[0].abandoned
    harness.pool.connections[1].answer(body=b"done")
    assert caller.data == b"done"


def test_a_slow_endpoint_is_waited_for_when_there_is_no_other(clock):
    """
    Symptom: a page fails after 0.3 s although its endpoint would have answered after 0.4 s.
    Sequence: the only endpoint is slow; the request is given up as if there were another.
    Cause: giving up early pays only if there is somewhere else to go.
    """
    harness = ForwardingHarness(clock, names=("e1",), engine=None)
    _, caller, _ = start(harness)
    clock.advance(1.0)
    harness.pool.connections[0].answer(body=b"late")
    assert caller.data == b"late"


def test_a_request_whose_time_is_up_fails_at_once_without_promise(harness):
    _, _, refusals = start(harness, kind=ONCE, attempts=1, timeout=0.8)
    harness.clock.advance(0.8)
    assert harness.pool.connections[0].abandoned
    assert refusals[0].reason is RefusalReason.EXPIRED
    assert refusals[0].retry_after is None


def test_an_unreachable_endpoint_has_not_run_anything(harness):
    harness.pool.refused = {("e1", 80), ("e2", 80), ("e3", 80)}
    _, _, refusals = start(harness, kind=ONCE, attempts=1)
    assert refusals[0].reason.status == 503
    assert refusals[0].retry_after > 0


def test_without_endpoints_a_request_is_refused_at_once(clock):
    _, _, refusals = start(ForwardingHarness(clock, names=(), engine=None))
    assert isinstance(refusals[0], RefusalError)
    assert refusals[0].reason is RefusalReason.NO_ENDPOINT


def test_a_large_answer_that_breaks_off_never_looks_complete(harness):
    """
    Symptom: a caller takes half an answer for the whole.
    Sequence: the answer grows past what is held back and is being passed on; the endpoint dies.
    Cause: the caller's connection must be cut instead of ended.
    """
    _, caller, _ = start(harness)
    side = harness.pool.connections[0]
    side.begin()
    side.body_bytes(b"x" * (HELD_BYTES + 1))
    assert len(caller.data) == HELD_BYTES + 1
    side.break_off()
    assert caller.was_cut and not caller.complete
    assert len(harness.pool.connections) == 1


def test_an_endpoint_stops_when_its_caller_leaves(harness):
    request, caller, _ = start(harness)
    caller.open = False
    request.exchange.on_gone()
    assert harness.pool.connections[0].abandoned
    assert len(harness.pool.connections) == 1


def test_an_endpoint_of_another_incarnation_is_not_asked_again(harness):
    start(harness, kind=ONCE, attempts=1)
    first = harness.pool.connections[0].address[0]
    harness.pool.connections[0].answer(421, signed=False, id=None)
    assert first not in harness.registry.entries_by_id


def test_the_time_left_is_handed_on(harness):
    start(harness, timeout=0.8)
    assert harness.pool.connections[0].headers[b"time-left"] == b"0.800"
