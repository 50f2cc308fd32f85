"""Tests of migrating streams from an engine that is reclaimed shortly after its notice."""

import pytest
from twisted.internet import defer

from guavacleat.forwarding.memory import RunCopy
from guavacleat.forwarding.messages import MoveResponse
from guavacleat.forwarding.session import StreamSession
from guavacleat.http1.client import ResponseFailure
from guavacleat.membership.entries import EndpointState
from guavacleat.migration import Evacuator
from guavacleat.routes import RequestKind
from tests.forwarding.harness import ForwardingHarness, encode_event, make_entry


class Calls:
    """Records calls to engines; the test sends the responses.

    Sessions of earlier tests free their copies when they are collected: only the calls of ``pool``
    count.
    """

    def __init__(self, monkeypatch):
        self.made = []
        self.pool = None
        monkeypatch.setattr("guavacleat.forwarding.copies.call", self)

    async def __call__(self, clock, pool, address, method, target, headers, body, timeout, **_):
        answer = defer.Deferred()
        if pool is not self.pool:
            return await answer
        self.made.append((address[0], target.decode(), body.decode(), answer))
        return await answer

    def targets(self):
        return [target for _, target, _, _ in self.made]

    def copies(self):
        return self.targets().count("/copy")

    def answer(self, index, status, handle=""):
        self.made[index][3].callback(Response(status, handle))


class Response:
    def __init__(self, status, handle):
        self.code = status
        self.body = (handle or "").encode()


@pytest.fixture
def calls(monkeypatch):
    return Calls(monkeypatch)


@pytest.fixture
def harness(clock, calls):
    """Cancels the remaining sessions, so that none frees its copy during a later test."""
    harness = ForwardingHarness(clock, names=("leaver",))
    harness.sessions = set()
    calls.pool = harness.pool
    yield harness
    for session in list(harness.sessions):
        session.cancel()


def start_streams(harness, count, events=30):
    """Start ``count`` streams on the endpoint ``leaver``, each with ``events`` events sent."""
    sessions, found = harness.sessions, []
    for number in range(count):
        request, caller = harness.request(
            kind=RequestKind.STREAM, timeout=39.0, max_output_tokens=2000 + number
        )
        request.metadata.id = f"r{number}"
        session = StreamSession(request, harness.context, sessions)
        defer.Deferred.fromCoroutine(session.run()).addErrback(lambda failure: None)
        connection = harness.pool.connections[-1]
        connection.begin(id=f"r{number}".encode())
        connection.send_body(b"".join(encode_event(id) for id in range(1, events + 1)))
        found.append((session, caller, connection))
    return sessions, found


def announce_leaving(harness, sessions):
    """Announce that ``leaver`` is draining, with two other engines ready."""
    harness.set_endpoint("e1")
    harness.set_endpoint("e2")
    evacuator = Evacuator(harness.context, sessions)
    harness.registry.on_leaving = evacuator.endpoint_leaving
    harness.set_endpoint("leaver", state=EndpointState.DRAINING)


def stop_run(calls, connection, status=200, handle="s"):
    """Answer the newest call, which stops a run, as the engine does after ending its stream."""
    assert calls.targets()[-1] == "/stop"
    connection.break_connection(ResponseFailure.CLOSED)
    calls.answer(-1, status, handle)


def send_events(harness, connection, first, count=1):
    """Send the engine's next events at intervals of 30 ms."""
    for id in range(first, first + count):
        harness.clock.advance(0.03)
        connection.send_body(encode_event(id))


def test_streams_are_copied_one_at_a_time_without_stopping(harness, calls):
    """Guards against pauses of stopped runs while other copies use the engine's link."""
    sessions, found = start_streams(harness, 3)
    announce_leaving(harness, sessions)
    for index in range(3):
        assert len(calls.made) == index + 1
        calls.answer(index, 200, f"h{index}")
    harness.clock.advance(0.1)
    assert len(calls.made) == 3
    assert set(calls.targets()) == {"/copy"}
    assert all(connection.open for _, _, connection in found)


def test_streams_are_handed_over_one_at_a_time(harness, calls):
    """Guards against pauses when several streams resume on the same engine at once."""
    sessions, found = start_streams(harness, 3)
    announce_leaving(harness, sessions)
    for index in range(3):
        calls.answer(index, 200, f"h{index}")
    for _, _, connection in found:
        send_events(harness, connection, 31)
    assert len(harness.pool.connections) == 4, "one handover runs at a time"
    sent = [31, 31, 31]
    for number, stream in enumerate([2, 1, 0], start=3):
        assert calls.targets().count("/stop") == number - 2, "the others go on"
        stop_run(calls, found[stream][2])
        second_connection = harness.pool.connections[number]
        assert second_connection.headers[b"resume"] == b"h%d %d" % (2 - stream, sent[stream])
        second_connection.begin(id=b"r%d" % stream)
        second_connection.send_body(encode_event(sent[stream] + 1))
        for _ in range(3):
            harness.clock.advance(0.03)
            for other in range(stream):
                sent[other] += 1
                found[other][2].send_body(encode_event(sent[other]))
    for number, (session, caller, _) in enumerate(found):
        events = b"".join(map(encode_event, range(1, sent[number] + 2)))
        assert caller.data == events and session.attempt.entry.id != "leaver"


def return_to_leaver(harness, calls, connection):
    """Refuse the stream at its new engine; return its connection to ``leaver``."""
    stop_run(calls, connection, 503)
    harness.pool.connections[1].answer(503, signed=False, not_run=True, id=None)
    returned = harness.pool.connections[2]
    returned.begin(id=b"r0")
    return returned


def test_stream_returns_and_is_copied_again_after_a_refused_handover(harness, calls):
    """Guards against losing a stream that was stopped for an engine which refuses it."""
    sessions, [(session, caller, connection)] = start_streams(harness, 1)
    announce_leaving(harness, sessions)
    calls.answer(0, 200, "h0")
    send_events(harness, connection, 31)
    returned = return_to_leaver(harness, calls, connection)
    assert returned.address[0] == "leaver" and returned.headers[b"resume"] == b"s 31"
    send_events(harness, returned, 32, 5)
    assert returned.open and caller.data.endswith(encode_event(36))
    assert calls.copies() == 2


def test_handover_is_retried_with_the_next_copy(harness, calls):
    """Guards against ignoring the second copy, which would expire unused."""
    sessions, [(session, caller, connection)] = start_streams(harness, 1)
    announce_leaving(harness, sessions)
    calls.answer(0, 200, "h0")
    send_events(harness, connection, 31)
    returned = return_to_leaver(harness, calls, connection)
    send_events(harness, returned, 32, 4)
    calls.answer(-1, 200, "h1")
    send_events(harness, returned, 36, 3)
    stop_run(calls, returned, 503, None)
    assert harness.pool.connections[3].headers[b"resume"].startswith(b"h1 ")


def test_stream_on_an_engine_that_ignores_stops_is_not_resumed_elsewhere(harness, calls):
    """Guards against a generation that executes on two engines after an engine's notice."""
    sessions, [(session, caller, connection)] = start_streams(harness, 1)
    announce_leaving(harness, sessions)
    calls.answer(0, 200, "h0")
    send_events(harness, connection, 31)
    calls.answer(1, 200, "h0")
    send_events(harness, connection, 32, 60)
    assert calls.targets() == ["/copy", "/stop"]
    assert not any(found.target for found in harness.pool.connections[1:])
    connection.end()
    assert caller.complete and caller.data.endswith(encode_event(91))


def test_stream_is_not_copied_during_its_handover(harness, calls):
    """Guards against copying a stream again whose copy is in use by the handover."""
    sessions, [(_, _, connection)] = start_streams(harness, 1)
    announce_leaving(harness, sessions)
    calls.answer(0, 200, "h0")
    send_events(harness, connection, 31)
    harness.clock.advance(0.2)
    assert calls.copies() == 1


def test_copied_stream_resumes_if_its_engine_fails_early(harness, calls):
    """Guards against losing a stream that has a copy when its engine stops before the handover."""
    sessions, [(session, caller, connection)] = start_streams(harness, 1)
    announce_leaving(harness, sessions)
    calls.answer(0, 200, "h0")
    connection.send_body(encode_event(31))
    connection.break_connection()
    calls.answer(1, 404)
    assert harness.pool.connections[-1].headers[b"resume"] == b"h0 31"


def set_backup(session, name="e2"):
    session.memory.set_copy(RunCopy(make_entry(name), make_entry(name), "r0", backup=True))


def test_stream_with_a_backup_is_copied_after_the_others(harness, calls):
    """Guards against engine links that are busy with streams which can resume from a backup."""
    sessions, [(session, _, connection), _] = start_streams(harness, 2)
    set_backup(session)
    announce_leaving(harness, sessions)
    assert [body for _, _, body, _ in calls.made] == ["r1 e1"]
    calls.answer(0, 200, "h1")
    harness.clock.advance(0.1)
    assert calls.made[1][:3] == ("leaver", "/copy", "r0 e1")
    send_events(harness, connection, 31, 3)
    calls.answer(1, 200, "h0")
    assert session.memory.copy.handle == "h0" and not session.memory.backed_up


@pytest.mark.parametrize("status", [0, 404, 503])
def test_stream_resumes_from_its_backup_if_it_was_not_copied(harness, calls, status):
    """Guards against losing a backup because the copy that would replace it failed."""
    sessions, [(session, _, connection)] = start_streams(harness, 1)
    set_backup(session)
    announce_leaving(harness, sessions)
    calls.answer(0, status)
    harness.pool.refused.add(connection.address)
    connection.break_connection()
    second_connection = harness.pool.connections[1]
    assert second_connection.address[0] == "e2" and second_connection.headers[b"resume"] == b"r0 30"


def test_backup_is_not_used_while_the_engine_runs_the_stream(harness, calls):
    """Guards against stopping a run whose backup lacks a part of its memory."""
    sessions, [(session, _, connection)] = start_streams(harness, 1, events=5)
    set_backup(session)
    announce_leaving(harness, sessions)
    send_events(harness, connection, 6)
    assert len(harness.pool.connections) == 1 and calls.targets() == ["/copy"]


def test_backup_on_a_leaving_engine_is_dropped(harness, calls):
    """Guards against relying on a backup whose own engine has left."""
    sessions, [(session, _, _)] = start_streams(harness, 1)
    session.memory.set_copy(RunCopy(make_entry("gone"), make_entry("gone"), "r0", backup=True))
    Evacuator(harness.context, sessions).endpoint_leaving(make_entry("gone"))
    assert session.memory.copy is None
    announce_leaving(harness, sessions)
    assert calls.targets() == ["/copy"]


def test_second_target_is_tried_if_the_first_refuses_the_copy(harness, calls):
    sessions, _ = start_streams(harness, 1)
    announce_leaving(harness, sessions)
    calls.answer(0, 503)
    assert calls.targets() == ["/copy", "/copy"]
    assert calls.made[0][2] != calls.made[1][2]


def test_copy_is_retried_if_the_run_has_not_started(harness, calls):
    sessions, _ = start_streams(harness, 1)
    announce_leaving(harness, sessions)
    calls.answer(0, 404)
    assert len(calls.made) == 1
    harness.clock.advance(0.11)
    assert len(calls.made) == 2


def test_stream_with_the_highest_value_per_token_is_copied_first(harness, calls):
    sessions, found = start_streams(harness, 3)
    announce_leaving(harness, sessions)
    assert calls.made[0][2].startswith("r2 ")


def test_copy_to_an_engine_that_has_begun_to_leave_is_not_used(harness, calls):
    """Guards against a handover to an engine whose drain was announced while the copy was made."""
    sessions, [(session, _, connection)] = start_streams(harness, 1)
    announce_leaving(harness, sessions)
    target = calls.made[0][2].split()[1]
    harness.set_endpoint(target, state=EndpointState.DRAINING)
    calls.answer(0, 200, "h0")
    send_events(harness, connection, 31, 3)
    assert session.memory.copy is None and "/free/h0" in calls.targets()
    assert "/stop" not in calls.targets() and connection.open


def test_stream_that_arrives_at_an_engine_after_its_notice_is_moved_on(harness, calls):
    """Guards against a stream that nobody moves, as it was on its way at its engine's notice."""
    sessions, [(session, caller, connection)] = start_streams(harness, 1)
    announce_leaving(harness, sessions)
    calls.answer(0, 200, "h0")
    send_events(harness, connection, 31)
    stop_run(calls, connection)
    second_connection = harness.pool.connections[1]
    harness.set_endpoint(second_connection.address[0], state=EndpointState.DRAINING)
    second_connection.begin(id=b"r0")
    send_events(harness, second_connection, 32, 10)
    assert calls.made[-1][:2] == (second_connection.address[0], "/copy")


def test_late_copy_is_freed(harness, calls):
    """Guards against unused copies that occupy engine memory after the stream has ended."""
    sessions, [(_, _, connection)] = start_streams(harness, 1)
    announce_leaving(harness, sessions)
    connection.end()
    calls.answer(0, 200, "h0")
    assert calls.targets() == ["/copy", "/free/h0"]


def test_backup_is_freed_when_the_caller_leaves(harness, calls):
    """Guards against unused backups that occupy engine memory."""
    _, [(session, caller, _)] = start_streams(harness, 1)
    session.memory.set_copy(RunCopy(make_entry("e2"), make_entry("e2"), "r0", backup=True))
    caller.open = False
    session.cancel()
    assert calls.targets() == ["/free/r0"]


def test_backup_of_a_completed_run_is_not_freed_by_the_gateway(harness, calls):
    _, [(session, _, connection)] = start_streams(harness, 1)
    session.memory.set_copy(RunCopy(make_entry("e2"), make_entry("e2"), "r0", backup=True))
    connection.end()
    assert calls.made == []


def test_move_response_requires_a_handle():
    assert MoveResponse(200, "h").copied
    assert not MoveResponse(200, None).copied
    assert not MoveResponse(503, "h").copied


@pytest.mark.parametrize(
    "status,handle,stopped",
    [(200, "h", True), (503, "h", True), (404, None, True), (503, None, False), (409, None, False)],
)
def test_response_tells_whether_the_run_has_stopped(status, handle, stopped):
    assert MoveResponse(status, handle).is_stopped is stopped


def restart_endpoint(harness, evacuator, name, former_start=1000):
    """Report to the registry that the endpoint ``name`` restarted with the same id."""
    harness.registry.on_restarted = evacuator.endpoint_restarted
    harness.registry.observe(make_entry(name, revision=9, started_ms=former_start + 500))


@pytest.fixture
def dated_harness(harness):
    """Harness in which the endpoint ``leaver`` has a start time."""
    harness.registry.observe(make_entry("leaver", revision=1, started_ms=1000))
    return harness


def test_stream_on_a_restarted_engine_resumes_from_its_copy(dated_harness, clock, calls):
    """Guards against a stalled stream if the engine crashes without resetting its connections."""
    _, found = start_streams(dated_harness, 1)
    session, _, connection = found[0]
    dated_harness.set_endpoint("e1")
    session.memory.set_copy(RunCopy(make_entry("e1"), session.attempt.entry, "h0"))
    restart_endpoint(
        dated_harness,
        Evacuator(dated_harness.context, dated_harness.sessions),
        "leaver",
    )
    clock.advance(0.5)
    assert connection.abandoned
    calls.answer(0, 404)
    assert dated_harness.pool.to("e1")[-1].headers[b"resume"] == b"h0 30"


def test_stream_on_the_new_process_is_not_stopped(dated_harness, clock, calls):
    """Guards against stopping a stream that started before the restart was reported."""
    _, found = start_streams(dated_harness, 1)
    session, caller, connection = found[0]
    restart_endpoint(
        dated_harness,
        Evacuator(dated_harness.context, dated_harness.sessions),
        "leaver",
    )
    clock.advance(0.2)
    connection.send_body(encode_event(31))
    clock.advance(1)
    assert not connection.abandoned and not caller.aborted


def test_stream_on_a_restarted_engine_is_aborted_without_a_copy(dated_harness, clock, calls):
    _, found = start_streams(dated_harness, 1)
    _, caller, connection = found[0]
    restart_endpoint(
        dated_harness,
        Evacuator(dated_harness.context, dated_harness.sessions),
        "leaver",
    )
    clock.advance(0.5)
    assert connection.abandoned and caller.aborted


def test_copies_on_a_restarted_engine_are_dropped(dated_harness, clock, calls):
    """Guards against resuming from a copy that was lost with the former process."""
    _, found = start_streams(dated_harness, 1)
    session = found[0][0]
    dated_harness.registry.observe(make_entry("e1", revision=2, started_ms=1000))
    session.memory.set_copy(RunCopy(make_entry("e1"), session.attempt.entry, "h0"))
    restart_endpoint(
        dated_harness,
        Evacuator(dated_harness.context, dated_harness.sessions),
        "e1",
    )
    assert session.memory.copy is None


def test_copy_made_to_a_restarted_engine_is_not_used(dated_harness, clock, calls):
    """Guards against using a copy whose target restarted during the copy."""
    sessions, found = start_streams(dated_harness, 1)
    session = found[0][0]
    evacuator = Evacuator(dated_harness.context, sessions)
    dated_harness.registry.observe(make_entry("e1", revision=2, started_ms=1000))
    leaver = make_entry("leaver", state=EndpointState.DRAINING, revision=3, started_ms=1000)
    dated_harness.registry.observe(leaver)
    evacuator.endpoint_leaving(leaver)
    assert calls.targets() == ["/copy"]
    restart_endpoint(dated_harness, evacuator, "e1")
    calls.answer(0, 200, "h0")
    assert session.memory.copy is None
