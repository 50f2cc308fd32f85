"""Tests of forwarding requests that are suspected of crashing endpoints."""

import pytest
from twisted.internet import defer

from guavacleat.forwarding.memory import RunCopy
from guavacleat.forwarding.plain import PlainForwarder
from guavacleat.forwarding.refusals import RefusalReason
from guavacleat.forwarding.session import StreamSession
from guavacleat.http1.client import ResponseFailure
from guavacleat.placement import Run
from guavacleat.quarantine import QuarantineState
from guavacleat.routes import EngineTraits, RequestKind
from tests.forwarding.harness import ForwardingHarness, encode_event, make_entry

BACKED_UP = EngineTraits(24, 30000, 163840, 24000.0, 4, moves=True, backups=True)
ISOLATION_SECONDS = 1.5


def record_crashes(harness, request, crash_count):
    """Record that ``crash_count`` endpoints crashed while the request was running on them."""
    for number in range(crash_count):
        harness.crash_tracker.confirm(
            harness.crash_tracker.request_interrupted(f"gone-{number}", request.content_key)
        )
        harness.clock.advance(ISOLATION_SECONDS)


def start_stream(harness, crash_count=0, **metadata):
    request, caller = harness.request(kind=RequestKind.STREAM, timeout=39.0, **metadata)
    record_crashes(harness, request, crash_count)
    refusals = []
    session = StreamSession(request, harness.context, set())
    done = defer.Deferred.fromCoroutine(session.run())
    done.addErrback(lambda failure: refusals.append(failure.value))
    return session, caller, refusals


def start_plain(harness, crash_count=0, **kind):
    request, caller = harness.request(timeout=60.0, **kind)
    record_crashes(harness, request, crash_count)
    refusals = []
    done = defer.Deferred.fromCoroutine(PlainForwarder(harness.context).forward(request))
    done.addErrback(lambda failure: refusals.append(failure.value))
    return request, caller, refusals


def crash_endpoint(harness, connection):
    harness.pool.refused.add(connection.address)
    connection.break_connection(ResponseFailure.RESET)


def add_runs(harness, name, runs):
    for number in range(runs):
        harness.load.begin(name, Run(f"{name}-{number}", peak_tokens=100))


def test_no_retry_after_the_third_crash(clock):
    """Guards against retries that crash one more endpoint."""
    harness = ForwardingHarness(clock, engine=None)
    request, _, refusals = start_plain(harness, crash_count=2, attempts=3)
    crash_endpoint(harness, harness.pool.connections[0])
    assert len(harness.pool.connections) == 1
    assert refusals[0].reason is RefusalReason.BROKEN
    assert harness.context.quarantine.status(request).state is QuarantineState.REFUSED


def test_executed_suspect_is_not_refused_as_not_run(clock):
    """Guards against a 503 response for a request that has just crashed an endpoint."""
    harness = ForwardingHarness(clock, engine=None)
    for name in ("e1", "e2", "e3"):
        add_runs(harness, name, 6)
    request, _, refusals = start_plain(harness, crash_count=1, attempts=3)
    crash_endpoint(harness, harness.pool.connections[0])
    assert harness.context.quarantine.status(request).state is QuarantineState.ISOLATED
    assert len(harness.pool.connections) == 1
    assert refusals[0].reason is RefusalReason.BROKEN


@pytest.mark.parametrize("start,connections", [(start_plain, 0), (start_stream, 0)])
def test_quarantined_request_is_not_sent(clock, start, connections):
    harness = ForwardingHarness(clock, engine=None)
    _, _, refusals = start(harness, crash_count=3)
    assert len(harness.pool.connections) == connections
    assert refusals[0].reason is RefusalReason.QUARANTINED
    assert refusals[0].retry_after > 0


@pytest.mark.parametrize("start", [start_plain, start_stream])
def test_suspect_runs_on_the_least_loaded_endpoint(clock, start):
    """Guards against a suspect whose crash fails many other requests."""
    harness = ForwardingHarness(clock)
    add_runs(harness, "e1", 4)
    add_runs(harness, "e2", 1)
    add_runs(harness, "e3", 2)
    start(harness, crash_count=2)
    assert [connection.address[0] for connection in harness.pool.connections] == ["e2"]


@pytest.mark.parametrize("start", [start_plain, start_stream])
def test_trial_requires_a_lightly_loaded_endpoint(clock, start):
    harness = ForwardingHarness(clock)
    for name in ("e1", "e2", "e3"):
        add_runs(harness, name, 4)
    request, _ = harness.request(kind=RequestKind.STREAM)
    record_crashes(harness, request, 3)
    clock.advance(5.0)
    _, _, refusals = start(harness)
    assert harness.pool.connections == []
    assert refusals[0].reason is RefusalReason.QUARANTINED


def test_no_other_request_is_sent_to_a_trial_endpoint(clock):
    """Guards against sending other requests to an endpoint that the trial may crash."""
    harness = ForwardingHarness(clock, names=("e1", "e2"), engine=None)
    start_plain(harness, crash_count=2)
    tried = harness.pool.connections[0].address[0]
    for number in range(6):
        request, _ = harness.request(body=b"%d" % number)
        defer.Deferred.fromCoroutine(PlainForwarder(harness.context).forward(request))
    assert {connection.address[0] for connection in harness.pool.connections[1:]} == {
        "e1",
        "e2",
    } - {tried}


def start_resumable_stream(harness, crash_count):
    session, caller, _ = start_stream(harness, crash_count)
    connection = harness.pool.connections[0]
    connection.begin()
    connection.send_body(encode_event(1))
    copy_holder = next(name for name in ("e1", "e2", "e3") if name != connection.address[0])
    session.memory.set_copy(RunCopy(make_entry(copy_holder), make_entry(copy_holder), "h1"))
    return session, caller, connection, copy_holder


def test_stream_resumes_from_its_copy_after_one_crash(clock):
    harness = ForwardingHarness(clock)
    _, caller, connection, copy_holder = start_resumable_stream(harness, 0)
    crash_endpoint(harness, connection)
    assert harness.pool.connections[1].address[0] == copy_holder
    assert not caller.aborted


def test_suspect_does_not_resume_on_a_loaded_endpoint(clock):
    """Guards against repeating the crash on the engine that holds the copy."""
    harness = ForwardingHarness(clock)
    _, caller, connection, copy_holder = start_resumable_stream(harness, 1)
    add_runs(harness, copy_holder, 6)
    crash_endpoint(harness, connection)
    assert len(harness.pool.connections) == 1
    assert caller.aborted


def test_quarantined_stream_does_not_resume(clock):
    harness = ForwardingHarness(clock)
    _, caller, connection, _ = start_resumable_stream(harness, 2)
    crash_endpoint(harness, connection)
    assert len(harness.pool.connections) == 1
    assert caller.aborted


def test_suspect_has_no_backup_and_no_handover(clock):
    harness = ForwardingHarness(clock, engine=BACKED_UP)
    clock.advance(10.0)
    session, _, _, _ = start_resumable_stream(harness, 2)
    assert b"copy-to" not in harness.pool.connections[0].headers
    handover_task = defer.Deferred.fromCoroutine(session.hand_over())
    assert handover_task.result is False


def test_request_quarantined_while_queued_is_refused(clock):
    """Guards against sending queued duplicates of a request that crashed endpoints."""
    harness = ForwardingHarness(clock)
    for name in ("e1", "e2", "e3"):
        harness.load.begin(name, Run("full", peak_tokens=30000, pending_prefill_tokens=5000))
    session, _, refusals = start_stream(harness)
    assert harness.queue.waiting("svc") == 1
    record_crashes(harness, session.request, 3)
    harness.load.end("e1", harness.load.runs_by_endpoint["e1"]["full"])
    clock.advance(0.2)
    assert harness.pool.connections == []
    assert refusals[0].reason is RefusalReason.QUARANTINED


@pytest.mark.parametrize("reason", [ResponseFailure.MALFORMED, ResponseFailure.ABANDONED])
def test_invalid_response_is_not_counted_as_a_crash(clock, reason):
    harness = ForwardingHarness(clock, engine=None)
    request, _, _ = start_plain(harness, attempts=1)
    harness.pool.connections[0].break_connection(reason)
    assert harness.crash_tracker.crash_count(request.content_key) == 0


def test_announced_departure_is_not_counted_as_a_crash(clock):
    """Guards against suspecting requests that were running when an engine was reclaimed."""
    harness = ForwardingHarness(clock, engine=None)
    request, _, _ = start_plain(harness, attempts=1)
    connection = harness.pool.connections[0]
    leaving = harness.registry.entries_by_id[connection.address[0]]
    harness.registry.observe_leaving(leaving)
    crash_endpoint(harness, connection)
    assert harness.crash_tracker.crash_count(request.content_key) == 0
