"""Tests of streaming requests: resume, handover, and exactly-once delivery of events."""

import itertools
import re

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet import defer
from twisted.internet.task import Clock

from guavacleat.forwarding.events import EventSplitter
from guavacleat.forwarding.handover import EVENT_DELAY_SECONDS, NEXT_EVENT_TIMEOUT_SECONDS
from guavacleat.forwarding.memory import RunCopy
from guavacleat.forwarding.refusals import RefusalReason
from guavacleat.forwarding.run_stop import (
    CLOSE_TIMEOUT_SECONDS,
    DETACHED_CONNECT_SECONDS,
    DETACHED_STOP_SECONDS,
)
from guavacleat.forwarding.session import StreamSession
from guavacleat.http1.client import ResponseFailure
from guavacleat.membership.entries import EndpointState
from guavacleat.placement import Run
from guavacleat.routes import EngineTraits, RequestKind
from guavacleat.settings import Bounds
from tests.forwarding.harness import (
    FakeEndpointConnection,
    ForwardingHarness,
    encode_event,
    make_entry,
)


@pytest.fixture
def harness(clock):
    return ForwardingHarness(clock)


def start_stream(harness, **metadata):
    """Start a stream; return its session, the caller and a list that receives the refusal."""
    request, caller = harness.request(kind=RequestKind.STREAM, timeout=39.0, **metadata)
    refusals = []
    session = StreamSession(request, harness.context, set())
    done = defer.Deferred.fromCoroutine(session.run())
    done.addErrback(lambda failure: refusals.append(failure.value))
    return session, caller, refusals


def start_running_stream(harness, events=3):
    """Start a stream and send ``events`` events; also return its endpoint connection."""
    session, caller, refusals = start_stream(harness)
    connection = harness.pool.connections[0]
    connection.begin()
    connection.send_body(b"".join(encode_event(id) for id in range(1, events + 1)))
    return session, caller, connection


def count_sends(harness):
    """How often the callers' requests were sent to endpoints."""
    return sum(connection.target == b"/x" for connection in harness.pool.connections)


def start_running_stream_with_copy(harness, names):
    """Start a stream that has a copy on an engine other than its own; return its session."""
    session, _, connection = start_running_stream(harness)
    connection = harness.pool.connections[-1]
    if connection is not harness.pool.connections[0]:
        connection.begin()
        connection.send_body(encode_event(1))
    target = make_entry(next(name for name in names if name != connection.address[0]))
    session.memory.set_copy(RunCopy(target, make_entry(connection.address[0]), "h1"))
    return session


def test_events_and_the_end_are_forwarded(harness):
    _, caller, connection = start_running_stream(harness)
    assert caller.data == encode_event(1) + encode_event(2) + encode_event(3)
    assert not caller.complete
    connection.end()
    assert caller.complete


def test_stream_resumes_from_a_copy_without_gap_or_duplicate(harness):
    """Guards against lost or duplicate events after an engine fails within an event."""
    session, caller, connection = start_running_stream(harness)
    session.memory.set_copy(RunCopy(make_entry("e2"), make_entry("e2"), "h1"))
    connection.send_body(encode_event(4)[:7])
    connection.break_connection()
    second_connection = harness.pool.connections[1]
    assert second_connection.headers[b"resume"] == b"h1 3"
    second_connection.begin()
    second_connection.send_body(encode_event(3) + encode_event(4) + encode_event(5))
    second_connection.end()
    assert caller.data == b"".join(map(encode_event, range(1, 6)))
    assert caller.complete


def test_a_slow_caller_pauses_the_engine_at_which_its_stream_resumes(harness):
    """Guards against buffering the rest of a stream for a caller that does not read."""
    session, caller, connection = start_running_stream(harness)
    session.memory.set_copy(RunCopy(make_entry("e2"), make_entry("e2"), "h1"))
    caller.paused = True
    session.pause()
    connection.break_connection()
    second_connection = harness.pool.connections[1]
    assert connection.paused and second_connection.paused
    session.resume()
    assert not second_connection.paused


def test_missing_event_ends_the_stream(harness):
    """Guards against completing a stream in which an event id was skipped."""
    _, caller, connection = start_running_stream(harness)
    connection.send_body(encode_event(5))
    assert caller.aborted and not caller.complete
    assert encode_event(5) not in caller.data


def test_stream_without_copy_is_aborted_when_its_engine_fails(harness):
    _, caller, connection = start_running_stream(harness)
    connection.break_connection()
    assert caller.aborted and not caller.complete
    assert len(harness.pool.connections) == 1


def test_stream_with_a_truncated_last_event_is_aborted(harness):
    _, caller, connection = start_running_stream(harness)
    connection.send_body(b"id: 4\ndata: half")
    connection.end()
    assert caller.aborted and not caller.complete


def test_refused_stream_is_sent_to_another_engine(harness):
    _, caller, _ = start_stream(harness)
    harness.pool.connections[0].answer(503, signed=False, not_run=True, id=None)
    second_connection = harness.pool.connections[1]
    second_connection.begin()
    second_connection.send_body(encode_event(1))
    second_connection.end()
    assert caller.data == encode_event(1) and caller.complete


def test_stream_is_not_retried_after_a_failure_before_its_first_event(harness):
    """Guards against generating twice, because the engine may have started the run."""
    _, _, refusals = start_stream(harness)
    harness.pool.connections[0].break_connection()
    assert len(harness.pool.connections) == 1
    assert refusals[0].reason is RefusalReason.BROKEN


def test_stream_refused_by_all_engines_may_be_retried_later(harness):
    _, _, refusals = start_stream(harness)
    for index in range(3):
        harness.pool.connections[index].answer(503, signed=False, not_run=True, id=None)
    assert refusals[0].reason is RefusalReason.NO_ROOM
    assert refusals[0].retry_after > 0


def test_engine_error_response_is_forwarded(harness):
    _, caller, _ = start_stream(harness)
    harness.pool.connections[0].answer(500, body=b"sorry")
    assert (caller.head[0], caller.data, caller.complete) == (500, b"sorry", True)


def test_attempt_is_abandoned_when_the_caller_leaves(harness):
    session, caller, connection = start_running_stream(harness)
    caller.open = False
    session.cancel()
    assert connection.abandoned
    assert harness.load.runs_by_endpoint == {}


def test_stream_is_aborted_at_its_deadline(harness):
    _, caller, connection = start_running_stream(harness)
    harness.clock.advance(39.0)
    assert connection.abandoned and caller.aborted


def test_a_stream_is_not_sent_once_the_process_stops(harness, monkeypatch):
    """Guards against running a stream whose connection ends with the process."""
    connecting = defer.Deferred()
    monkeypatch.setattr(harness.pool, "connect", lambda *_, **__: connecting)
    _, _, refusals = start_stream(harness)
    harness.context.stops_at = harness.clock.seconds() + 1.0
    harness.clock.advance(1.0)
    connection = FakeEndpointConnection(("e1", 80))
    connecting.callback(connection)
    assert connection.listener is None and connection.abandoned
    assert [refusal.reason.status for refusal in refusals] == [503]


def test_stream_without_events_gets_504_at_its_deadline(harness):
    _, caller, _ = start_stream(harness)
    harness.clock.advance(39.0)
    assert caller.head[0] == 504 and caller.complete


def test_stream_is_aborted_if_its_copy_no_longer_exists(harness):
    session, caller, connection = start_running_stream(harness)
    session.memory.set_copy(RunCopy(make_entry("e2"), make_entry("e2"), "h1"))
    connection.break_connection()
    harness.pool.connections[1].answer(503, signed=False, not_run=True, id=None)
    assert caller.aborted and not caller.complete


def test_stream_is_aborted_if_its_backup_refuses_to_resume(clock):
    """Guards against resuming on a third engine, or on one that has just crashed."""
    engine = EngineTraits(24, 30000, 163840, 24000.0, 4, moves=True, backups=True)
    harness = ForwardingHarness(clock, engine=engine)
    _, caller, _ = start_stream(harness, max_output_tokens=2000)
    first = harness.pool.connections[0]
    backup_engine = first.headers[b"copy-to"].decode()
    first.begin()
    first.send_body(encode_event(1))
    first.break_connection()
    second_connection = harness.pool.connections[1]
    assert second_connection.address[0] == backup_engine
    assert second_connection.headers[b"copy-to"].decode() not in (backup_engine, first.address[0])
    second_connection.answer(503, signed=False, not_run=True, id=None)
    assert len(harness.pool.connections) == 2
    assert caller.aborted and not caller.complete
    assert harness.load.runs_by_endpoint == {}


def test_memory_of_run_and_copy_is_recorded(harness):
    session, _, connection = start_running_stream(harness)
    session.memory.set_copy(RunCopy(make_entry("e3"), make_entry("e3"), "h1"))
    assert harness.load.total("e3").peak_tokens == session.memory.expected_tokens()
    connection.end()
    assert harness.load.runs_by_endpoint == {}


def test_expected_memory_grows_with_a_run_that_exceeds_its_estimate(harness):
    """Guards against placing new runs on an engine whose runs exceeded their estimates."""
    session, _, _ = start_stream(harness, max_output_tokens=2000, expected_output_tokens=8.0)
    connection = harness.pool.connections[0]
    connection.begin()
    connection.send_body(b"".join(encode_event(id) for id in range(1, 101)))
    assert session.memory.tokens == 1400
    assert harness.load.total(connection.address[0]).peak_tokens > 1400


def start_handover(harness, events=3):
    """Start a handover to ``e2`` whose current engine has not yet been stopped.

    Also return both connections, that of the call which stops the run, and the handover's Deferred.
    """
    harness.pool.responses_by_target.clear()
    session, caller, connection = start_running_stream(harness, events)
    session.memory.set_copy(RunCopy(make_entry("e2"), make_entry("e2"), "h1"))
    done = defer.Deferred.fromCoroutine(session.hand_over())
    connection.send_body(encode_event(events + 1))
    return session, caller, connection, harness.pool.connections[1], harness.pool.calls[0], done


def stop_run(connection, stop_call, handle=b"h2"):
    """Stop the run as its engine does: the stream ends incomplete, then the call is answered."""
    connection.break_connection(ResponseFailure.CLOSED)
    stop_call.answer(200, handle)


def test_handover_resumes_once_the_current_engine_has_stopped_the_run(harness):
    """Guards against a generation that executes on two engines."""
    session, caller, connection, second_connection, stop_call, done = start_handover(harness)
    assert stop_call.address == connection.address and second_connection.target is None
    connection.break_connection(ResponseFailure.CLOSED)
    assert second_connection.headers[b"resume"] == b"h1 4"
    second_connection.begin()
    second_connection.send_body(encode_event(5))
    assert session.attempt.entry.id == "e2"
    stop_call.answer(200, b"h2")
    second_connection.send_body(encode_event(6))
    second_connection.end()
    assert caller.complete and caller.data == b"".join(map(encode_event, range(1, 7)))
    assert done.result is True
    assert harness.load.runs_by_endpoint == {}
    assert not harness.crash_tracker.crash_count(session.request.content_key)


@pytest.mark.parametrize("status,body", [(200, b"h2"), (404, b""), (503, b"h2"), (409, b"")])
def test_stream_stays_on_an_engine_that_does_not_stop_it(harness, status, body):
    """Guards against a generation that executes on two engines if one ignores the call."""
    session, caller, connection, second_connection, stop_call, done = start_handover(harness)
    stop_call.answer(status, body)
    for id in range(5, 15):
        harness.clock.advance(0.04)
        connection.send_body(encode_event(id))
    assert second_connection.target is None and done.result is False
    connection.end()
    assert caller.complete and caller.data == b"".join(map(encode_event, range(1, 15)))
    assert harness.load.runs_by_endpoint == {}


def test_engine_that_ignored_a_stop_is_not_asked_again(harness):
    """Guards against calls and retry budget spent on an engine that goes on sending events."""
    session, _, connection, _, stop_call, _ = start_handover(harness)
    stop_call.answer(200, b"h2")
    for id in range(5, 15):
        harness.clock.advance(0.04)
        connection.send_body(encode_event(id))
    again = defer.Deferred.fromCoroutine(session.hand_over())
    assert again.result is False and len(harness.pool.calls) == 1


def test_silent_stream_is_handed_over_after_the_engine_confirmed_its_stop(harness):
    """Guards against waiting for the end of a stopped stream that is lost or late."""
    _, _, connection, second_connection, stop_call, _ = start_handover(harness)
    stop_call.answer(200, b"h2")
    harness.clock.advance(CLOSE_TIMEOUT_SECONDS)
    assert connection.abandoned and second_connection.headers[b"resume"] == b"h1 4"


@pytest.mark.parametrize("answered", [True, False])
def test_stream_stays_if_the_stop_fails(harness, answered):
    """Guards against a generation on two engines if the call is lost."""
    _, caller, connection, second_connection, stop_call, done = start_handover(harness)
    if answered:
        stop_call.break_connection()
    for id in range(5, 25):
        harness.clock.advance(0.04)
        connection.send_body(encode_event(id))
    assert second_connection.target is None and done.result is False
    connection.end()
    assert caller.complete


def test_unframed_stream_is_not_handed_over(harness):
    """Guards against a stopped stream without framing, whose end would look complete."""
    session, _, _ = start_stream(harness)
    connection = harness.pool.connections[0]
    connection.begin(framed=False)
    connection.send_body(encode_event(1))
    session.memory.set_copy(RunCopy(make_entry("e2"), make_entry("e2"), "h1"))
    defer.Deferred.fromCoroutine(session.hand_over())
    connection.send_body(encode_event(2))
    harness.clock.advance(1.0)
    assert harness.pool.calls == [] and connection.open


def test_events_are_delayed_and_not_duplicated_during_a_handover(harness):
    """Guards against a long pause or duplicate events while the new engine starts."""
    _, caller, connection, second_connection, stop_call, _ = start_handover(harness)
    connection.send_body(encode_event(5))
    stop_run(connection, stop_call)
    assert second_connection.headers[b"resume"] == b"h1 5"
    assert caller.data.endswith(encode_event(3))
    harness.clock.advance(EVENT_DELAY_SECONDS)
    assert caller.data.endswith(encode_event(5))
    second_connection.begin()
    second_connection.send_body(encode_event(6) + encode_event(7))
    assert caller.data == b"".join(map(encode_event, range(1, 8)))


def test_delayed_events_precede_those_of_the_new_engine(harness):
    _, caller, connection, second_connection, stop_call, _ = start_handover(harness)
    stop_run(connection, stop_call)
    second_connection.begin()
    second_connection.send_body(encode_event(5))
    assert caller.data == b"".join(map(encode_event, range(1, 6)))


def test_stream_that_ends_during_a_handover_is_complete(harness):
    """Guards against losing delayed events at the end of the stream."""
    _, caller, connection, second_connection, stop_call, done = start_handover(harness)
    connection.send_body(encode_event(5) + encode_event(6))
    connection.end()
    stop_call.answer(404)
    assert caller.complete and caller.data == b"".join(map(encode_event, range(1, 7)))
    assert second_connection.abandoned and done.result is False


def test_no_event_is_lost_if_the_current_engine_fails_during_a_handover(harness):
    _, caller, connection, second_connection, stop_call, done = start_handover(harness)
    connection.send_body(encode_event(5))
    connection.break_connection()
    stop_call.break_connection()
    assert second_connection.headers[b"resume"] == b"h1 5"
    second_connection.begin()
    second_connection.send_body(encode_event(6))
    second_connection.end()
    assert caller.complete and caller.data == b"".join(map(encode_event, range(1, 7)))
    assert done.result is True


def test_run_is_stopped_again_if_its_connections_were_lost(harness):
    """Guards against a run whose stream and stop call were lost before its engine got the call."""
    _, _, connection, second_connection, stop_call, _ = start_handover(harness)
    connection.break_connection()
    stop_call.break_connection()
    assert second_connection.headers[b"resume"] == b"h1 4"
    assert [call.target for call in harness.pool.calls] == [b"/stop", b"/stop"]


@pytest.mark.parametrize("status,engine", [(200, "e2"), (503, None)])
def test_refused_handover_goes_on_from_the_later_copy(harness, status, engine):
    """Guards against losing a stopped stream whose new engine can't use the first copy.

    If there is no later one, it returns to its engine, which has kept the memory.
    """
    session, caller, connection, second_connection, stop_call, done = start_handover(harness)
    connection.send_body(encode_event(5))
    connection.break_connection(ResponseFailure.CLOSED)
    second_connection.answer(503, signed=False, not_run=True, id=None)
    assert len(harness.pool.connections) == 2, "the later copy is being made"
    stop_call.answer(status, b"h2")
    assert done.result is False
    third_connection = harness.pool.connections[2]
    assert third_connection.address[0] == (engine or connection.address[0])
    assert third_connection.headers[b"resume"] == b"h2 5"
    third_connection.begin()
    third_connection.send_body(encode_event(6))
    third_connection.end()
    assert caller.complete and caller.data == b"".join(map(encode_event, range(1, 7)))
    assert harness.load.runs_by_endpoint == {}


def test_stream_does_not_return_to_an_engine_that_leaves_soon(harness):
    """Guards against a request that reaches an engine late in its drain."""
    _, caller, connection, second_connection, stop_call, _ = start_handover(harness)
    harness.set_endpoint(connection.address[0], state=EndpointState.DRAINING)
    harness.clock.advance(0.4)
    connection.break_connection(ResponseFailure.CLOSED)
    second_connection.answer(503, signed=False, not_run=True, id=None)
    harness.clock.advance(1.0)
    stop_call.answer(503, b"h2")
    assert len(harness.pool.connections) == 2 and caller.aborted


def test_stream_is_not_stopped_for_an_engine_that_has_begun_to_leave(harness):
    """Guards against a handover to an engine whose drain was announced after the copy."""
    harness.pool.responses_by_target.clear()
    session, _, connection = start_running_stream(harness)
    session.memory.set_copy(RunCopy(make_entry("e2"), make_entry("e2"), "h1"))
    done = defer.Deferred.fromCoroutine(session.hand_over())
    harness.set_endpoint("e2", state=EndpointState.DRAINING)
    connection.send_body(encode_event(4))
    assert done.result is False and harness.pool.calls == [] and connection.open


def test_both_attempts_are_abandoned_when_the_caller_leaves_during_a_handover(harness):
    session, _, connection, second_connection, _, _ = start_handover(harness)
    session.cancel()
    assert connection.abandoned and second_connection.abandoned
    assert harness.load.runs_by_endpoint == {}


def test_new_attempt_is_abandoned_when_the_caller_leaves_before_its_first_event(harness):
    """Guards against a generation for a caller who left while the new engine started."""
    session, _, connection, second_connection, stop_call, done = start_handover(harness)
    stop_run(connection, stop_call)
    session.cancel()
    assert second_connection.abandoned and done.result is False
    assert harness.load.runs_by_endpoint == {}


HANDOVER_STEPS = ["present", "other", "wait", "break", "refuse", "stop", "answer"]


@given(st.lists(st.sampled_from(HANDOVER_STEPS), max_size=30))
def test_handover_keeps_events_unique_and_ordered(steps):
    """Guards against gaps, duplicates and two runs, whatever the order of stop and events."""
    harness = ForwardingHarness(Clock())
    session, caller, connection, second_connection, stop_call, _ = start_handover(harness)
    current = itertools.count(5)
    for step in steps:
        if step == "present" and connection.listener is not None:
            connection.send_body(encode_event(next(current)))
        elif step == "other" and second_connection.listener is not None:
            assert connection.listener is None, "the current engine still runs the stream"
            if second_connection.listener.head is None:
                second_connection.begin()
                resumed = itertools.count(int(second_connection.headers[b"resume"].split()[1]) + 1)
            second_connection.send_body(encode_event(next(resumed)))
        elif step == "wait":
            harness.clock.advance(0.05)
        elif step in ("break", "stop"):
            connection.break_connection(ResponseFailure.CLOSED)
        elif step == "answer" and stop_call.listener is not None:
            stop_call.answer(200, b"h2")
        elif step == "refuse":
            second_connection.break_connection()
    harness.clock.advance(1.0)
    all_events = b"".join(map(encode_event, range(1, 100)))
    assert all_events.startswith(caller.data)
    assert not caller.complete
    session.cancel()


def break_stream_with_copy(harness):
    """Lose the connection of a stream that has a copy on ``e2``; return caller and stop call."""
    harness.pool.responses_by_target.clear()
    session, caller, connection = start_running_stream(harness)
    session.memory.set_copy(RunCopy(make_entry("e2"), make_entry("e2"), "h1"))
    connection.break_connection()
    return caller, harness.pool.calls[0]


@pytest.mark.parametrize("status,body,resume", [(404, b"", b"h1 3"), (200, b"h2", b"h2 3")])
def test_run_whose_connection_was_lost_is_stopped_before_it_resumes(harness, status, body, resume):
    """Guards against a run that its engine continues although its connection was reset."""
    _, stop_call = break_stream_with_copy(harness)
    assert len(harness.pool.connections) == 1
    stop_call.answer(status, body)
    assert harness.pool.connections[1].headers[b"resume"] == resume


def test_stream_does_not_resume_while_its_engine_refuses_to_stop_it(harness):
    caller, stop_call = break_stream_with_copy(harness)
    harness.pool.responses_by_target[b"/stop"] = (409, b"")
    stop_call.answer(409)
    harness.pump(1.0)
    assert len(harness.pool.connections) == 1 and caller.aborted


def test_stream_resumes_if_the_former_engine_does_not_respond(harness):
    """Guards against losing the stream of an engine that accepts connections but is stuck."""
    break_stream_with_copy(harness)
    harness.clock.advance(DETACHED_STOP_SECONDS)
    assert harness.pool.connections[1].headers[b"resume"] == b"h1 3"


def test_stream_resumes_soon_if_the_former_engine_is_unreachable(harness):
    """Guards against a long pause if an engine's machine ended without closing connections."""
    session, _, connection = start_running_stream(harness)
    session.memory.set_copy(RunCopy(make_entry("e2"), make_entry("e2"), "h1"))
    harness.pool.unreachable.add(connection.address)
    connection.break_connection()
    harness.clock.advance(DETACHED_CONNECT_SECONDS)
    assert harness.pool.connections[1].headers[b"resume"] == b"h1 3"


def test_stream_resumes_at_once_if_the_former_engine_has_ended(harness):
    session, _, connection = start_running_stream(harness)
    session.memory.set_copy(RunCopy(make_entry("e2"), make_entry("e2"), "h1"))
    harness.pool.refused.add(connection.address)
    connection.break_connection()
    assert harness.pool.connections[1].headers[b"resume"] == b"h1 3"


@given(st.lists(st.integers(1, 9), min_size=1), st.data())
def test_splitter_returns_complete_events_unchanged(ids, data):
    stream = b"".join(map(encode_event, ids))
    splitter, out = EventSplitter(), []
    while stream:
        cut = data.draw(st.integers(1, len(stream)))
        out += splitter.feed(stream[:cut])
        stream = stream[cut:]
    assert [found.id for found in out] == ids
    assert b"".join(found.data for found in out) == b"".join(map(encode_event, ids))


@given(
    st.lists(st.sampled_from([b"id: 7", b" id:8", b": c", b"data: id:9", b"", b"\r"])),
    st.sampled_from([b"\n", b"\r\n"]),
    st.data(),
)
def test_splitter_finds_the_ids_of_any_lines(lines, line_end, data):
    """Events without an id may come together; those with one are told apart."""
    stream = b"".join(line + line_end for line in lines) + b"data: x" + 2 * line_end
    expected = [
        id for event in re.split(rb"\n\n|\r\n\r\n", stream) if (id := find_id(event)) is not None
    ]
    splitter, out = EventSplitter(), []
    rest = stream
    while rest:
        cut = data.draw(st.integers(1, len(rest)))
        out += splitter.feed(rest[:cut])
        rest = rest[cut:]
    assert [event.id for event in out if event.id is not None] == expected
    assert b"".join(event.data for event in out) == stream


def find_id(event):
    """The id of an event, from its first line that names one."""
    lines = (line.strip() for line in event.splitlines())
    ids = (line[3:].strip() for line in lines if line.startswith(b"id:"))
    id = next(ids, b"")
    return int(id) if id.isdigit() else None


@given(st.lists(st.sampled_from(["event", "break", "end"]), max_size=25), st.data())
def test_caller_receives_consecutive_events_and_the_real_end(steps, data):
    """Guards against gaps, duplicates or a false end for any mix of events, failures and ends."""
    harness = ForwardingHarness(Clock())
    session, caller, connection = start_running_stream(harness, events=1)
    ended = False
    for step in steps:
        connection = harness.pool.connections[-1]
        if connection.listener is None:
            break
        if step == "event":
            next_id = (session.last_event or 0) + data.draw(st.integers(-1, 2))
            connection.send_body(encode_event(max(1, next_id)))
        elif step == "break":
            session.memory.set_copy(RunCopy(make_entry("e2"), make_entry("e2"), "h"))
            connection.break_connection()
            if harness.pool.connections[-1] is not connection:
                harness.pool.connections[-1].begin()
        else:
            connection.end()
            ended = True
    ids = [found.id for found in EventSplitter().feed(caller.data)]
    assert ids == list(range(1, len(ids) + 1))
    assert caller.complete == ended


def test_moves_of_streams_stay_within_the_retry_budget(clock):
    """Guards against engines that fail one after another and whose streams all go on elsewhere."""
    names = [f"e{number}" for number in range(12)]
    harness = ForwardingHarness(clock, names, bounds=Bounds(retry_ratio=0.0, retry_extra=5.0))
    clock.advance(Bounds().retry_window)
    for _ in range(10):
        start_running_stream_with_copy(harness, names)
    first_sends = count_sends(harness)
    for connection in list(harness.pool.connections):
        connection.break_connection()
    assert 0 < count_sends(harness) - first_sends <= 5


def test_handovers_of_streams_stay_within_the_retry_budget(clock):
    """Guards against engines that leave one after another and whose streams all move."""
    names = [f"e{number}" for number in range(12)]
    harness = ForwardingHarness(clock, names, bounds=Bounds(retry_ratio=0.0, retry_extra=5.0))
    clock.advance(Bounds().retry_window)
    sessions = [start_running_stream_with_copy(harness, names) for _ in range(10)]
    first_sends = count_sends(harness)
    running = list(harness.pool.connections)
    harness.pool.responses_by_target[b"/stop"] = (200, b"h2")
    for session in sessions:
        defer.Deferred.fromCoroutine(session.hand_over())
    clock.advance(NEXT_EVENT_TIMEOUT_SECONDS)
    clock.advance(CLOSE_TIMEOUT_SECONDS)
    assert 0 < count_sends(harness) - first_sends <= 5
    assert sum(connection.open for connection in running) >= 5, "streams without budget stay"


def test_budget_keeps_room_for_a_stream_while_it_runs(harness):
    """Guards against room that is kept for streams that have ended."""
    _, _, connection = start_running_stream(harness)
    assert harness.context.budget.movable_by_service["svc"] == 1
    connection.end()
    assert harness.context.budget.movable_by_service["svc"] == 0


def test_repeats_that_wait_stay_within_the_retry_budget(clock):
    """Guards against rejected streams that wait for an engine and are then all sent again."""
    bounds = Bounds(retry_ratio=0.0, retry_extra=5.0)
    harness = ForwardingHarness(clock, ["e1", "e2"], bounds=bounds)
    clock.advance(Bounds().retry_window)
    other_run = Run("other", 30000)
    harness.load.begin("e2", other_run)
    for _ in range(10):
        start_stream(harness)
    first_sends = list(harness.pool.connections)
    for connection in first_sends:
        connection.answer(503, signed=False, not_run=True, id=None)
    assert len(harness.pool.connections) == len(first_sends)
    harness.load.end("e2", other_run)
    clock.advance(0.1)
    clock.advance(0.1)
    assert 0 < count_sends(harness) - len(first_sends) <= 5
