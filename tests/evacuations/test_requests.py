"""What callers get while data centres are evacuated and while endpoints are cold."""

import pytest
from twisted.internet import defer

from guavacleat.evacuations import EvacuationChange, EvacuationRegister
from guavacleat.forwarding.plain import PlainForwarder
from guavacleat.forwarding.refusals import RefusalError, RefusalReason
from guavacleat.forwarding.session import StreamSession
from guavacleat.migration import Evacuator
from guavacleat.routes import Account, RequestKind, ServiceTraits
from tests.forwarding.harness import ForwardingHarness, encode_event

COLD = ServiceTraits("svc", 100, cold_start=2.0, cold_rate=2.0)


@pytest.fixture
def harness(clock):
    harness = ForwardingHarness(clock, names=("e1",))
    harness.set_endpoint("e2", data_centre="b")
    register = EvacuationRegister(clock)
    register.observe_listing((), 1)
    harness.context.placement.evacuations = register
    harness.context.placement.throttle.cold.find_service = {"svc": COLD}.get
    return harness


def evacuate(harness, *data_centres):
    for revision, name in enumerate(data_centres, 2):
        harness.context.placement.evacuations.observe(EvacuationChange(name, revision, True))


def forward(harness, request):
    if request.route.kind is RequestKind.STREAM:
        forwarding = StreamSession(request, harness.context, set()).run()
    else:
        forwarding = PlainForwarder(harness.context).forward(request)
    return defer.Deferred.fromCoroutine(forwarding)


def refusal_of(forwarding):
    failures = []
    forwarding.addErrback(failures.append)
    assert failures and failures[0].check(RefusalError)
    return failures[0].value


@pytest.mark.parametrize("kind", list(RequestKind))
def test_requests_go_to_the_other_data_centre(harness, kind):
    evacuate(harness, "dc")
    for _ in range(5):
        request, _ = harness.request(kind=kind)
        forward(harness, request)
    assert {connection.address[0] for connection in harness.pool.connections} == {"e2"}


@pytest.mark.parametrize("kind", list(RequestKind))
def test_request_is_refused_at_once_when_all_data_centres_are_evacuated(harness, kind):
    """Guards against callers that wait for endpoints that must not be used."""
    evacuate(harness, "dc", "b")
    request, _ = harness.request(kind=kind)
    refusal = refusal_of(forward(harness, request))
    assert refusal.reason is RefusalReason.EVACUATED and refusal.reason.status == 503
    assert refusal.retry_after > 0 and not harness.pool.connections


def test_plain_request_waits_for_a_cold_endpoint(harness, clock):
    entry = harness.registry.entries_by_id["e1"]
    evacuate(harness, "b")
    throttle = harness.context.placement.throttle
    throttle.cold.mark_cold(entry)
    throttle.record_send(entry)
    clock.advance(0.48)
    request, _ = harness.request()
    forward(harness, request)
    assert not harness.pool.connections
    clock.advance(0.03)
    assert len(harness.pool.connections) == 1


def test_request_that_no_cold_endpoint_bears_is_refused_with_a_time(harness):
    """Guards against a herd of requests to endpoints that return cold."""
    entry = harness.registry.entries_by_id["e1"]
    evacuate(harness, "b")
    throttle = harness.context.placement.throttle
    throttle.cold.mark_cold(entry)
    throttle.record_send(entry)
    request, _ = harness.request()
    refusal = refusal_of(forward(harness, request))
    assert refusal.reason is RefusalReason.COLD
    assert refusal.retry_after == pytest.approx(0.5)


def test_generations_wait_for_a_cold_engine_at_its_rate(harness, clock):
    evacuate(harness, "b")
    harness.context.placement.throttle.cold.mark_cold(harness.registry.entries_by_id["e1"])
    for _ in range(4):
        request, _ = harness.request(kind=RequestKind.STREAM, timeout=30.0)
        forward(harness, request)
    assert len(harness.pool.connections) == 1
    clock.pump([0.05] * 24)
    assert len(harness.pool.connections) == 3
    clock.pump([0.05] * 24)
    assert len(harness.pool.connections) == 4


def test_stream_does_not_resume_in_an_evacuated_data_centre(harness, clock):
    """Guards against a copy in an evacuated data centre that gets its stream's next attempt."""
    sessions = set()
    evacuator = Evacuator(harness.context, sessions)
    request, _ = harness.request(kind=RequestKind.STREAM, timeout=30.0, max_output_tokens=800)
    session = StreamSession(request, harness.context, sessions)
    defer.Deferred.fromCoroutine(session.run())
    source = session.attempt.entry
    running = harness.pool.connections[-1]
    running.begin()
    running.send_body(encode_event(1))
    evacuator.endpoint_leaving(source)
    harness.pool.calls[-1].answer(body=b"copy")
    assert session.memory.copy is not None
    data_centre = session.memory.copy.entry.data_centre
    evacuate(harness, data_centre)
    evacuator.data_centre_evacuated(data_centre)
    assert session.memory.copy is None


def test_regions_of_the_route_and_the_account_both_bind(harness):
    placement = harness.context.placement
    placement.regions_by_data_centre = {"dc": "north", "b": "south"}
    request, _ = harness.request()
    request.route.regions = frozenset({"north", "south"})
    request.account = Account("a", regions=frozenset({"south", "west"}))
    assert [entry.id for entry in placement.ready_for(request, set())] == ["e2"]
    request.route.regions = frozenset({"north"})
    assert placement.ready_for(request, set()) == []
